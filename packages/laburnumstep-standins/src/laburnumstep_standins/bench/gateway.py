"""One VM's part of a policy run: polls, sends and measurement."""

from __future__ import annotations

import contextlib
import itertools
import json
import time
import typing

import anyio
import httpcore

from laburnumstep import core
from laburnumstep import transport
from laburnumstep_standins.bench import policies
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import workload

POLL_SECONDS = 0.5
"""Time between two load reports of a target, in seconds, as in a VM."""
_POLLS_PER_CACHE_READ = 4
"""Cache events are late anyway; reading them costs as much as a report."""
_POLL_TIMEOUT_SECONDS = 1.0
_RETRY_SECONDS = 0.2
"""Wait before another attempt after a refusal of an engine."""
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Gateway:
    """Routes requests by a policy and measures what callers see.

    Args:
        clock: Tells the time to the policy.
        policy: Chooses targets.
        addresses: Targets by name, with their address.
    """

    def __init__(
        self,
        clock: core.Clock,
        policy: policies.Policy,
        addresses: typing.Mapping[str, str],
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._view = {
            name: policies.TargetView(name, address)
            for name, address in addresses.items()
        }
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=1000
        )
        self._clients = {
            name: transport.JsonClient(address, self._pool)
            for name, address in addresses.items()
        }
        self.records: list[records.Record] = []
        """One for each request."""

    async def poll(self, name: str) -> None:
        """Fetch reports and cache events of a target until cancelled."""
        target = self._view[name]
        for turn in itertools.count():
            try:
                events = await self._fetch(
                    target, turn % _POLLS_PER_CACHE_READ == 0
                )
                self._policy.record_contact(target, events, self._clock.now())
            except (transport.ConnectFailed, transport.ExchangeFailed):
                self._note_failure(name)
            await anyio.sleep(POLL_SECONDS)

    async def serve(self, request: workload.Request) -> None:
        """Answer one request, with as many attempts as it takes."""
        record = records.Record(request, time.monotonic())
        self.records.append(record)
        deadline = self._clock.now() + request.kind.deadline_seconds
        excluded: frozenset[str] = frozenset()
        turn = 0
        while self._clock.now() < deadline:
            attempt = policies.Attempt(
                request, f'{request.name}-{turn}', deadline, excluded
            )
            turn += 1
            choice = await self._policy.choose(attempt, self._view)
            match choice:
                case policies.Send(target=target):
                    if await self._try(attempt, target, record):
                        return
                    excluded |= {target}
                    if len(excluded) >= len(self._view):
                        excluded = frozenset()
                case policies.Wait(until=until):
                    await self._clock.sleep_until(until)
                case policies.Refuse(resend_at=resend_at):
                    record.refusals += 1
                    await self._clock.sleep_until(resend_at)
                case _ as other:
                    typing.assert_never(other)

    async def count_preemptions(self) -> int:
        """Return the preemptions of all targets, by their last reports."""
        for target in self._view.values():
            with contextlib.suppress(
                transport.ConnectFailed, transport.ExchangeFailed
            ):
                await self._fetch(target, False)
        return sum(
            target.report['preemptions']
            for target in self._view.values()
            if target.report is not None
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _try(
        self, attempt: policies.Attempt, target: str, record: records.Record
    ) -> bool:
        record.begin_attempt()
        complete = False
        try:
            complete = await self._follow(attempt, target, record)
        except _FAILURES:
            self._note_failure(target)
        finally:
            self._policy.record_end(attempt, complete)
        if complete:
            record.complete(time.monotonic())
        elif record.tokens:
            record.lost += 1
        else:
            await anyio.sleep(_RETRY_SECONDS)
        return complete

    async def _follow(
        self, attempt: policies.Attempt, target: str, record: records.Record
    ) -> bool:
        request = attempt.request
        body = {
            'generation': attempt.generation,
            'model': workload.MODEL,
            'prompt': request.prompt,
            'max_tokens': request.max_tokens,
            'priority': request.kind.priority,
        }
        async with self._pool.stream(
            'POST',
            f'http://{self._view[target].address}/v1/generations',
            content=json.dumps(body).encode(),
            extensions={'timeout': {'connect': _POLL_TIMEOUT_SECONDS}},
        ) as response:
            if response.status != 200:
                return False
            complete = False
            rest = b''
            async for chunk in response.aiter_stream():
                data = rest + chunk
                end = data.rfind(b'\n\n') + 2
                whole, rest = data[:end], data[end:]
                count = whole.count(b'id: ')
                if count:
                    record.add_tokens(count, time.monotonic())
                    self._policy.record_tokens(attempt, count)
                complete |= b'event: done' in whole
        return complete

    async def _fetch(
        self, target: policies.TargetView, with_cache: bool
    ) -> list[policies.CacheEvent]:
        client = self._clients[target.name]
        deadline = self._clock.now() + _POLL_TIMEOUT_SECONDS
        load = await client.request('GET', '/v1/load', deadline)
        target.report = load.body
        target.reachable = True
        if not with_cache:
            return []
        path = f'/v1/cache/events?from={target.next_event}'
        cache = await client.request('GET', path, deadline)
        events = [policies.CacheEvent(**e) for e in cache.body['events']]
        for event in events:
            if event.kind == 'stored':
                target.prefixes.add(event.prefix)
            else:
                target.prefixes.discard(event.prefix)
        target.next_event = cache.body['next']
        return events

    def _note_failure(self, name: str) -> None:
        target = self._view[name]
        target.reachable = False
        self._policy.record_contact(target, [], self._clock.now())
