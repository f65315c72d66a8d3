"""Sends requests as callers do, and resumes on another VM."""

from __future__ import annotations

import itertools
import json
import typing

import anyio.lowlevel
import httpcore

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins.caller import _answers

MAX_RESUMES = 20
"""Tries to resume one stream."""
RESUME_PAUSE_SECONDS = 0.2
"""Pause before a stream is resumed, in seconds."""


class Caller:
    """One workspace's caller.

    Args:
        addresses: Addresses of the VMs, tried in turn.
        workspace: Name of the workspace.
        secret: Its secret.
        clock: Tells when tokens came.
    """

    def __init__(
        self,
        addresses: list[str],
        workspace: str,
        secret: str,
        clock: core.Clock,
    ) -> None:
        self._vms = itertools.cycle(addresses)
        self._headers = {'Authorization': f'Bearer {workspace}:{secret}'}
        self._clock = clock
        self._pool = httpcore.AsyncConnectionPool(max_connections=10_000)

    def issue_key(self) -> core.RequestKey:
        """Return a key for a new request."""
        return core.RequestKey.new(self._clock.now())

    async def generate(
        self,
        body: dict[str, typing.Any],
        deadline: float,
        answer: _answers.Answer | None = None,
    ) -> _answers.Answer:
        """Ask for a generation and follow it to its end.

        Args:
            body: Body of the request.
            deadline: When to give up, in epoch seconds.
            answer: Filled as events come, for those who watch it.

        Raises:
            Broken: A promise about the tokens was broken.
        """
        answer = answer or _answers.Answer()
        path = '/v1/generations'
        headers = {'Idempotency-Key': str(self.issue_key())}
        sent = body
        for _ in range(MAX_RESUMES):
            await self._follow(path, sent, headers, deadline, answer)
            ended = answer.whole or not self._may_resume(answer)
            if ended or self._clock.now() >= deadline:
                break
            answer.error = None
            if answer.handle:
                answer.resumed += 1
                path, headers = '/v1/generations/resume', {}
                sent = {'handle': answer.handle, 'position': answer.position}
            pause = self._clock.now() + RESUME_PAUSE_SECONDS
            await self._clock.sleep_until(pause)
        return answer

    async def call(
        self,
        body: dict[str, typing.Any],
        key: core.RequestKey,
        deadline: float,
    ) -> _answers.CallReply:
        """Ask one VM for an operation of a plain service."""
        headers = {**self._headers, 'Idempotency-Key': str(key)}
        return await self._exchange(
            'POST', '/v1/calls', deadline, body, headers
        )

    async def ask_outcome(
        self, key: core.RequestKey, deadline: float
    ) -> _answers.CallReply:
        """Ask one VM what became of a request."""
        return await self._exchange(
            'GET', f'/v1/outcomes/{key}', deadline, None, self._headers
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _exchange(
        self,
        method: str,
        path: str,
        deadline: float,
        body: dict[str, typing.Any] | None,
        headers: dict[str, str],
    ) -> _answers.CallReply:
        client = transport.JsonClient(next(self._vms), self._pool)
        try:
            reply = await client.request(method, path, deadline, body, headers)
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return _answers.CallReply(0, {'message': str(error)})
        return _answers.CallReply(reply.status, reply.body)

    def _may_resume(self, answer: _answers.Answer) -> bool:
        if answer.error is None:
            return True
        code = answer.error['code']
        return bool(code == core.ErrorCode.VM_STOPPING.value)

    async def _follow(
        self,
        path: str,
        body: dict[str, typing.Any],
        headers: dict[str, str],
        deadline: float,
        answer: _answers.Answer,
    ) -> None:
        timeouts = transport.timeouts_until(deadline)
        try:
            async with self._pool.stream(
                'POST',
                f'http://{next(self._vms)}{path}',
                headers=list({**self._headers, **headers}.items()),
                content=json.dumps(body).encode(),
                extensions={'timeout': timeouts},
            ) as response:
                if response.status != 200:
                    content = await response.aread()
                    answer.error = json.loads(content)['error']
                    return
                await self._read(response, answer)
        except transport.EXCHANGE_ERRORS:
            await anyio.lowlevel.checkpoint()

    async def _read(
        self, response: httpcore.Response, answer: _answers.Answer
    ) -> None:
        rest = b''
        async for chunk in response.aiter_stream():
            now = self._clock.now()
            *events, rest = (rest + chunk).split(b'\n\n')
            for event in events:
                answer.take_event(event.decode(), now)
