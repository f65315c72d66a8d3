"""Simulated VM of a policy run: polls targets, sends and measures."""

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
"""Interval of the load reports of a target, in seconds, as in a VM."""
_POLLS_PER_CACHE_READ = 4
"""Cache events are read with every fourth report only: they are delayed in
any case, and reading them costs as much as a report."""
_POLL_TIMEOUT_SECONDS = 1.0
_RETRY_SECONDS = 0.2
"""Delay before another attempt after one that produced no tokens."""
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Gateway:
    """Routes requests by a policy and measures what callers see.

    Args:
        clock: Clock that the policy uses.
        policy: Policy that chooses the targets.
        addresses: Addresses of the targets by name.
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
        """Measurements, one for each request."""

    async def poll(self, name: str) -> None:
        """Poll a target for load reports and cache events until cancelled.

        Args:
            name: Name of the target.
        """
        target = self._view[name]
        for poll_number in itertools.count():
            try:
                events = await self._fetch_report(
                    target, poll_number % _POLLS_PER_CACHE_READ == 0
                )
                self._policy.record_target_state(
                    target, events, self._clock.now()
                )
            except (transport.ConnectFailed, transport.ExchangeFailed):
                self._record_failure(name)
            await anyio.sleep(POLL_SECONDS)

    async def serve(self, request: workload.Request) -> None:
        """Serve one request, with further attempts until its deadline."""
        record = records.Record(request, time.monotonic())
        self.records.append(record)
        deadline = self._clock.now() + request.kind.deadline_seconds
        excluded: frozenset[str] = frozenset()
        attempt_number = 0
        while self._clock.now() < deadline:
            attempt = policies.Attempt(
                request, f'{request.name}-{attempt_number}', deadline, excluded
            )
            attempt_number += 1
            choice = await self._policy.choose(attempt, self._view)
            match choice:
                case policies.Send(target=target):
                    if await self._run_attempt(attempt, target, record):
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
        """Return the number of preemptions that the targets report.

        Reports are fetched again; where that fails, the last one counts.
        """
        for target in self._view.values():
            with contextlib.suppress(
                transport.ConnectFailed, transport.ExchangeFailed
            ):
                await self._fetch_report(target, False)
        return sum(
            target.report['preemptions']
            for target in self._view.values()
            if target.report is not None
        )

    async def close(self) -> None:
        """Close the connections to the targets."""
        await self._pool.aclose()

    async def _run_attempt(
        self, attempt: policies.Attempt, target: str, record: records.Record
    ) -> bool:
        record.begin_attempt()
        complete = False
        try:
            complete = await self._stream_generation(attempt, target, record)
        except _FAILURES:
            self._record_failure(target)
        finally:
            self._policy.record_end(attempt, complete)
        if complete:
            record.complete(time.monotonic())
        elif record.tokens:
            record.lost += 1
        else:
            await anyio.sleep(_RETRY_SECONDS)
        return complete

    async def _stream_generation(
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
            remainder = b''
            async for chunk in response.aiter_stream():
                data = remainder + chunk
                end = data.rfind(b'\n\n') + 2
                events, remainder = data[:end], data[end:]
                count = events.count(b'id: ')
                if count:
                    record.add_tokens(count, time.monotonic())
                    self._policy.record_tokens(attempt, count)
                complete |= b'event: done' in events
        return complete

    async def _fetch_report(
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

    def _record_failure(self, name: str) -> None:
        target = self._view[name]
        target.reachable = False
        self._policy.record_target_state(target, [], self._clock.now())
