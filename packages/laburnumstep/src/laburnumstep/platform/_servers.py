"""Sends requests to the platform's servers."""

from __future__ import annotations

import json
import typing

from laburnumstep import core
from laburnumstep.platform import _events
from laburnumstep.platform import _headers
from laburnumstep import targets
from laburnumstep.targets import relay
from laburnumstep import transport

CONNECT_SECONDS = 0.5
"""Longest wait for a connection; regions are 12 ms apart."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest answer that is held, in bytes."""
IDLE_SECONDS = 1.0
"""How long a connection is kept whose server names no time, in seconds."""
IDLE_MARGIN_SECONDS = 0.5
"""How much sooner than its server a connection is given up, in seconds."""
REPORT_LAG_SECONDS = 0.5
"""Age of a report when it arrives, in seconds."""
_LOWEST_PRIORITY = 9
_MULTIPLE_CHOICES = 300
_EVENT_STREAM = b'text/event-stream'

_LOGGER = core.get_logger('platform')


class ServerPort:
    """Sends requests to servers, as `relay.TargetPort`.

    Args:
        clock: Compared with deadlines.
        find_tokens: Returns the tokens of one event of a service.
    """

    def __init__(
        self,
        clock: core.Clock,
        find_tokens: typing.Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._find_tokens = find_tokens
        self._pools: dict[str, transport.ConnectionPool] = {}

    async def send(self, attempt: relay.Attempt) -> relay.Reply:
        """Send a request and return the beginning of its answer."""
        fresh = not relay.is_repeatable(attempt.request.route.kind)
        try:
            connection = await self._connect(
                attempt.target, fresh, attempt.deadline
            )
        except transport.ConnectFailed as error:
            return relay.NotReached(str(error))
        kept = False
        try:
            head = self._encode(attempt)
            await connection.send(head, attempt.request.body, attempt.deadline)
            response = await connection.read_head(attempt.deadline)
            reply = await self._read_reply(attempt, connection, response)
            kept = not isinstance(reply, relay.Lost)
            return reply
        except transport.ExchangeFailed as error:
            return relay.Lost(str(error))
        finally:
            if not kept:
                connection.close()

    async def copy_run(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        stop: bool,
        deadline: float,
    ) -> relay.CopyResult:
        """Copy the memory of a run to another engine."""
        body = {
            'id': request.key,
            'target': destination.address,
            'last': stop,
        }
        try:
            status, answer = await self._call(
                source,
                b'POST',
                '/v1/kv-move',
                json.dumps(body).encode(),
                deadline,
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return relay.CopyFailed(str(error))
        handle = answer.get('handle') if isinstance(answer, dict) else None
        reference = f'{source.address}/{handle}' if handle else None
        if status == 200 and reference is not None:
            return relay.Copied(reference)
        return relay.CopyFailed(f'the engine answered {status}', reference)

    async def read_report(
        self, target: core.EngineTarget, deadline: float
    ) -> targets.LoadReport:
        """Return what an engine reports of its load.

        Raises:
            StreamBroken: The engine did not answer.
            MalformedStream: The answer cannot be read.
        """
        try:
            status, report = await self._call(
                target, b'GET', '/v1/report', b'', deadline
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            raise targets.StreamBroken(str(error)) from error
        if status != 200:
            raise targets.MalformedStream(f'the engine answered {status}')
        try:
            return targets.LoadReport(
                measured_at=self._clock.now() - REPORT_LAG_SECONDS,
                running=int(report['running']),
                waiting=int(report['queued']),
                kv_used=int(report['kvUsed']),
                kv_total=int(report['kvTotal']),
                preemptions=0,
                models=list(target.models),
                reclaim_at=self._find_leaving(report),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise targets.MalformedStream(repr(error)) from error

    def _find_leaving(self, report: dict[str, typing.Any]) -> float | None:
        """Return when an engine ends that says so, in epoch seconds."""
        now = self._clock.now()
        left = report.get('leaves_ms')
        if left is not None:
            return now + float(left) / 1000.0
        return now if report.get('state') == 'draining' else None

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> list[relay.EngineRun]:
        """Return the runs of an engine; none when it does not answer."""
        try:
            _status, report = await self._call(
                target, b'GET', '/v1/report', b'', deadline
            )
            return [
                relay.EngineRun(str(run[0]), int(run[1]))
                for run in report['runs']
            ]
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            _LOGGER.info(
                'no list of runs; target=%s reason=%s', target.name, error
            )
        except (IndexError, KeyError, TypeError, ValueError) as error:
            _LOGGER.warning(
                'malformed list of runs; target=%s reason=%r',
                target.name,
                error,
            )
        return []

    def refer_backup(
        self, request: relay.RelayRequest, backup: core.EngineTarget
    ) -> str:
        """Return the reference of the copy that a backup keeps."""
        return f'{backup.address}/{request.key}'

    def forget(self, known: typing.Container[str]) -> None:
        """Close the kept connections of targets that are gone."""
        for name in list(self._pools):
            if name not in known:
                self._pools.pop(name).close()

    async def _call(
        self,
        target: core.Target,
        method: bytes,
        path: str,
        body: bytes,
        deadline: float,
    ) -> tuple[int, typing.Any]:
        """Call a server's own interface; return status and JSON body."""
        connection = await self._connect(target, method != b'GET', deadline)
        complete = False
        try:
            head = transport.RequestHead(
                method,
                path.encode(),
                [
                    (b'Host', target.address.encode()),
                    (b'Content-Type', b'application/json'),
                ],
            )
            await connection.send(head, body, deadline)
            response = await connection.read_head(deadline)
            content = await connection.read_body(MAX_BODY_BYTES, deadline)
            complete = True
        finally:
            if not complete:
                connection.close()
        self._keep(target, connection, response)
        try:
            return response.status, json.loads(content)
        except ValueError:
            return response.status, None

    async def _connect(
        self, target: core.Target, fresh: bool, deadline: float
    ) -> transport.HttpConnection:
        pool = self._pools.get(target.name)
        if pool is None or pool.address != target.address:
            if pool is not None:
                pool.close()
            pool = transport.ConnectionPool(target.address, self._clock)
            self._pools[target.name] = pool
        limit = self._clock.now() + CONNECT_SECONDS
        return await pool.acquire(fresh, min(deadline, limit))

    def _encode(self, attempt: relay.Attempt) -> transport.RequestHead:
        request = attempt.request
        left = max(0.0, attempt.deadline - self._clock.now())
        headers = list(request.headers)
        headers += [
            (_headers.DEADLINE, b'%d' % int(left * 1000)),
            (_headers.EXPECT_INSTANCE, attempt.target.name.encode()),
        ]
        if request.workspace:
            headers.append((_headers.WORKSPACE, request.workspace.encode()))
        if request.prompt is not None:
            rank = min(max(-request.priority, 0), _LOWEST_PRIORITY)
            headers.append((_headers.PRIORITY, b'%d' % rank))
        if attempt.backup is not None:
            address = attempt.backup.address.encode()
            headers.append((_headers.KV_BACKUP, address))
        match attempt.start:
            case relay.Fresh():
                pass
            case relay.Resumed(position=position):
                headers.append((_headers.LAST_EVENT, position))
            case relay.Continued(position=position, copy=copy):
                headers.append((_headers.LAST_EVENT, position))
                headers.append((_headers.KV_FROM, copy.encode()))
            case _:
                typing.assert_never(attempt.start)
        return transport.RequestHead(request.method, request.target, headers)

    async def _read_reply(
        self,
        attempt: relay.Attempt,
        connection: transport.HttpConnection,
        response: transport.ResponseHead,
    ) -> relay.Reply:
        if response.find(_headers.NOT_EXECUTED) is not None:
            return await self._read_refusal(attempt, connection, response)
        echoed = response.find(_headers.REQUEST_ID) or b''
        if echoed.decode('latin-1') != attempt.request.key:
            return relay.Lost('the answer belongs to another request')
        if response.find(b'content-encoding') is not None:
            return relay.Lost('the answer is encoded')
        succeeded = response.status < _MULTIPLE_CHOICES
        if succeeded and response.find(_headers.SIGNATURE) is None:
            return relay.Lost('the answer has no signature')
        headers = _headers.drop_hop_by_hop(response.headers)
        if succeeded and _is_stream(attempt.request, response):
            return self._open_stream(attempt, connection, response, headers)
        body = await connection.read_body(MAX_BODY_BYTES, attempt.deadline)
        self._keep(attempt.target, connection, response)
        return relay.Answered(response.status, headers, body)

    async def _read_refusal(
        self,
        attempt: relay.Attempt,
        connection: transport.HttpConnection,
        response: transport.ResponseHead,
    ) -> relay.Reply:
        try:
            await connection.read_body(MAX_BODY_BYTES, attempt.deadline)
            self._keep(attempt.target, connection, response)
        except transport.ExchangeFailed:
            # The head has said that the request did not run.
            connection.close()
        return relay.NotRun(f'status {response.status}')

    def _open_stream(
        self,
        attempt: relay.Attempt,
        connection: transport.HttpConnection,
        response: transport.ResponseHead,
        headers: _headers.Headers,
    ) -> relay.Streaming:
        def release() -> None:
            self._keep(attempt.target, connection, response)

        tokens = self._find_tokens(attempt.request.service)
        source = _events.EventReader(connection, release, tokens)
        return relay.Streaming(response.status, headers, source)

    def _keep(
        self,
        target: core.Target,
        connection: transport.HttpConnection,
        response: transport.ResponseHead,
    ) -> None:
        pool = self._pools.get(target.name)
        if pool is None:
            connection.close()
            return
        seconds = _find_idle_seconds(response)
        pool.release(connection, self._clock.now() + seconds)


def _is_stream(
    request: relay.RelayRequest, response: transport.ResponseHead
) -> bool:
    kind = response.find(b'content-type') or b''
    return isinstance(request.route.kind, core.StreamKind) and (
        kind.startswith(_EVENT_STREAM)
    )


def _find_idle_seconds(response: transport.ResponseHead) -> float:
    """Return how long a server keeps an idle connection, less a margin."""
    value = response.find(b'keep-alive') or b''
    for item in value.split(b','):
        name, _, seconds = item.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds) - IDLE_MARGIN_SECONDS
    return IDLE_SECONDS
