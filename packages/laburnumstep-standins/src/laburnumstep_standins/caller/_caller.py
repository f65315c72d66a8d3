"""Sends requests as a caller and resumes streams on another VM."""

from __future__ import annotations

import itertools
import json
import typing

import anyio.lowlevel
import httpcore

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins.caller import _answers

MAX_STREAM_REQUESTS = 20
"""Limit of requests for one stream, the first one included."""
RESUME_PAUSE_SECONDS = 0.2
"""Delay before a stream is resumed, in seconds."""


class Caller:
    """Client of one workspace.

    Args:
        addresses: Addresses of the VMs, used in turn.
        workspace: Name of the workspace.
        secret: Secret of the workspace.
        clock: Time source for deadlines and arrival times.
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
        """Request a generation and return its answer when it ends.

        Args:
            body: Body of the request.
            deadline: When to stop resuming, in epoch seconds.
            answer: Answer to fill as events arrive, so that others can
                follow it; None makes a new one.

        Raises:
            Broken: An event violates a guarantee.
        """
        answer = answer or _answers.Answer()
        path = '/v1/generations'
        headers = {'Idempotency-Key': str(self.issue_key())}
        sent = body
        for _ in range(MAX_STREAM_REQUESTS):
            await self._send_and_follow(path, sent, headers, deadline, answer)
            ended = answer.whole or not self._is_resumable(answer)
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
        """Call an operation of a plain service through one VM.

        Args:
            body: Body of the request.
            key: Key of the request.
            deadline: When to give up, in epoch seconds.
        """
        headers = {**self._headers, 'Idempotency-Key': str(key)}
        return await self._exchange(
            'POST', '/v1/calls', deadline, body, headers
        )

    async def query_outcome(
        self, key: core.RequestKey, deadline: float
    ) -> _answers.CallReply:
        """Query the outcome of a request at one VM.

        Args:
            key: Key of the request.
            deadline: When to give up, in epoch seconds.
        """
        return await self._exchange(
            'GET', f'/v1/outcomes/{key}', deadline, None, self._headers
        )

    async def close(self) -> None:
        """Close all connections."""
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

    def _is_resumable(self, answer: _answers.Answer) -> bool:
        if answer.error is None:
            return True
        code = answer.error['code']
        return bool(code == core.ErrorCode.VM_STOPPING.value)

    async def _send_and_follow(
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
                await self._read_events(response, answer)
        except transport.EXCHANGE_ERRORS:
            await anyio.lowlevel.checkpoint()

    async def _read_events(
        self, response: httpcore.Response, answer: _answers.Answer
    ) -> None:
        incomplete = b''
        async for chunk in response.aiter_stream():
            now = self._clock.now()
            *events, incomplete = (incomplete + chunk).split(b'\n\n')
            for event in events:
                answer.handle_event(event.decode(), now)
