"""HTTP client for the platform's servers."""

from __future__ import annotations

import json
import math
import typing

from laburnumstep import core
from laburnumstep.platform import _answers
from laburnumstep.platform import _events
from laburnumstep.platform import _headers
from laburnumstep.platform import _self_reports
from laburnumstep import targets
from laburnumstep.targets import limits
from laburnumstep.targets import relay
from laburnumstep import transport

CONNECT_TIMEOUT_SECONDS = 0.5
"""Limit for opening a connection, in seconds. The latency between regions
is 12 ms."""
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Size limit of an answer that is read as a whole, in bytes. Several servers
in trouble may send bytes without end to a VM with 128 MB of memory."""
MAX_BODIES_BYTES = 16 * 1024 * 1024
"""Limit on the answers that are read as a whole at the same time, in bytes.
Most answers are shorter than 1 KB."""
MAX_REFUSAL_BYTES = 64 * 1024
"""Size limit of the body of a refusal, which nobody reads, in bytes."""
REFUSAL_TIMEOUT_SECONDS = 0.2
"""Limit for reading the body of a refusal, in seconds. The connection is
closed after it, and the request goes to another server."""
REPORT_LAG_SECONDS = 0.5
"""Age of a load report when it arrives, in seconds."""
_LOWEST_PRIORITY = 9
_MULTIPLE_CHOICES = 300
_NOT_FOUND = 404
_MOVE_REFUSALS = (400, 409, 421, 429, 503)
"""Statuses with which an engine refuses a move, so that the run goes on."""
_MISDIRECTED_REQUEST = 421

_LOGGER = core.get_logger('platform')

SelfReportListener = typing.Callable[[str, targets.SelfReport, float], None]
"""Called with the name of a target, what its answer says about it, and when
the request was sent, in epoch seconds."""


class ServerClient:
    """Sends requests to servers; implements `relay.TargetPort`.

    Args:
        clock: Source of the current time.
        get_tokens_per_event: Returns the number of tokens in one event of
            a service.
        target_limits: Receives the limits that servers name.
        on_self_report: Receives what else servers say about themselves.
        max_bodies_bytes: Limit on the answers that are read as a whole at the
            same time, in bytes.
    """

    def __init__(
        self,
        clock: core.Clock,
        get_tokens_per_event: typing.Callable[[str], int],
        target_limits: limits.TargetLimits,
        on_self_report: SelfReportListener = lambda *arguments: None,
        max_bodies_bytes: int = MAX_BODIES_BYTES,
    ) -> None:
        self._clock = clock
        self._get_tokens_per_event = get_tokens_per_event
        self._target_limits = target_limits
        self._on_self_report = on_self_report
        self._pools: dict[str, transport.ConnectionPool] = {}
        self._body_budget = transport.BodyBudget(max_bodies_bytes)

    async def send(self, attempt: relay.Attempt) -> relay.Reply:
        """Send a request to a target.

        Args:
            attempt: The request and the target.

        Returns:
            The whole answer, an open stream, or the failure.
        """
        fresh = not relay.is_repeatable(attempt.request.route.kind)
        try:
            connection = await self._connect(
                attempt.target, fresh, attempt.deadline
            )
        except transport.ConnectFailed as error:
            return relay.NotReached(str(error))
        intact = False
        try:
            head = self._encode_head(attempt)
            sent_at = self._clock.now()
            attempt.on_sent()
            await connection.send(head, attempt.request.body, attempt.deadline)
            response = await connection.read_head(attempt.deadline)
            if _answers.is_own_answer(attempt, connection, response):
                self._record_notices(attempt.target, response, sent_at)
            reply = await self._read_reply(attempt, connection, response)
            intact = not isinstance(reply, relay.Lost)
            return reply
        except transport.ExchangeFailed as error:
            return relay.Lost(str(error), error.closed)
        finally:
            if not intact:
                connection.close()

    async def copy_run(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> relay.CopyResult:
        """Copy the memory of a run to another engine.

        Args:
            request: The request that the run serves.
            source: The engine of the run.
            destination: The engine that receives the copy.
            deadline: End of the request, in epoch seconds.
        """
        try:
            status, handle = await self._order_move(
                request, source, destination, False, deadline
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return relay.CopyFailed(str(error), refused=False)
        if status == 200 and handle is not None:
            return relay.Copied(handle)
        return relay.CopyFailed(f'the engine answered {status}')

    async def move_run(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> relay.MoveResult:
        """Stop a run and move its memory to another engine.

        Args:
            request: The request that the run serves.
            source: The engine of the run.
            destination: The engine that receives the memory.
            deadline: When to give up, in epoch seconds.
        """
        try:
            status, handle = await self._order_move(
                request, source, destination, True, deadline
            )
        except transport.ConnectFailed as error:
            return relay.NotMoved(str(error))
        except transport.ExchangeFailed as error:
            return relay.MoveUnknown(str(error))
        if handle is not None:
            # An engine that fails to send the memory keeps it and names its
            # handle, too.
            return (
                relay.Moved(handle) if status == 200 else relay.Stopped(handle)
            )
        if status == _NOT_FOUND:
            return relay.NoSuchRun()
        if status in _MOVE_REFUSALS:
            return relay.NotMoved(f'the engine answered {status}')
        return relay.MoveUnknown(f'the engine answered {status}')

    async def _order_move(
        self,
        request: relay.RelayRequest,
        source: core.Target,
        destination: core.Target,
        stop: bool,
        deadline: float,
    ) -> tuple[int, str | None]:
        """Order an engine to send the memory of a run to another engine.

        Args:
            request: The request that the run serves.
            source: The engine of the run.
            destination: The engine that receives the memory.
            stop: Whether the run ends on its engine.
            deadline: When to give up, in epoch seconds.

        Returns:
            The status, and the reference of the memory if one was named.

        Raises:
            ConnectFailed: No connection could be opened.
            ExchangeFailed: No complete answer arrived.
        """
        body = {
            'id': request.key,
            'target': destination.address,
            'last': stop,
        }
        status, answer = await self._request_json(
            source,
            b'POST',
            '/v1/kv-move',
            json.dumps(body).encode(),
            deadline,
        )
        handle = answer.get('handle') if isinstance(answer, dict) else None
        return status, f'{source.address}/{handle}' if handle else None

    async def read_report(
        self, target: core.EngineTarget, deadline: float
    ) -> targets.LoadReport:
        """Return the load report of an engine.

        Args:
            target: The engine.
            deadline: End of the request, in epoch seconds.

        Raises:
            StreamBroken: The engine did not answer.
            MalformedStream: The answer is an error or cannot be decoded.
        """
        try:
            status, report = await self._request_json(
                target, b'GET', '/v1/report', b'', deadline
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            raise targets.StreamBroken(str(error)) from error
        if status != 200:
            raise targets.MalformedStream(f'the engine answered {status}')
        try:
            return targets.LoadReport(
                measured_at=self._clock.now() - REPORT_LAG_SECONDS,
                running=core.decode_count(report['running']),
                waiting=core.decode_count(report['queued']),
                kv_used=core.decode_count(report['kvUsed']),
                kv_total=core.decode_count(report['kvTotal']),
                preemptions=0,
                models=list(target.models),
                reclaim_at=self._find_reclaim_time(report),
            )
        except core.MALFORMED_ERRORS as error:
            raise targets.MalformedStream(repr(error)) from error

    async def check_health(
        self, target: core.Target, path: str, deadline: float
    ) -> str:
        """Ask a server for its health; its answer may say that it is cold.

        Args:
            target: The server.
            path: Path of its health.
            deadline: End of the request, in epoch seconds.

        Returns:
            Why it did not answer; empty if it did.
        """
        try:
            await self._request_json(target, b'GET', path, b'', deadline)
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return str(error)
        return ''

    def _find_reclaim_time(
        self, report: dict[str, typing.Any]
    ) -> float | None:
        """Return when an engine will be reclaimed, in epoch seconds.

        An engine that is draining and states no time counts as reclaimed
        now. None stands for an engine that stays.
        """
        now = self._clock.now()
        remaining_ms = report.get('leaves_ms')
        if remaining_ms is not None:
            remaining_seconds = float(remaining_ms) / 1000.0
            if not math.isfinite(remaining_seconds):
                raise ValueError(f'the time {remaining_ms} is not finite')
            return now + remaining_seconds
        return now if report.get('state') == 'draining' else None

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> relay.RunListResult:
        """Return the runs of an engine.

        Args:
            target: The engine.
            deadline: End of the request, in epoch seconds.
        """
        try:
            _status, report = await self._request_json(
                target, b'GET', '/v1/report', b'', deadline
            )
            return relay.RunList(
                [
                    relay.EngineRun(str(run[0]), core.decode_count(run[1]))
                    for run in report['runs']
                ]
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            _LOGGER.info(
                'runs cannot be listed; target=%s reason=%s',
                target.name,
                error,
            )
            refused = isinstance(error, transport.ConnectRefused)
            return relay.NoRunList(str(error), refused=refused)
        except core.MALFORMED_ERRORS as error:
            _LOGGER.warning(
                'list of runs is malformed; target=%s reason=%r',
                target.name,
                error,
            )
            return relay.NoRunList(repr(error), answered=True)

    def get_backup_reference(
        self, request: relay.RelayRequest, backup: core.EngineTarget
    ) -> str:
        """Return the reference of the copy of a run on its backup.

        Args:
            request: The request that the run serves.
            backup: The engine that holds the copy.
        """
        return f'{backup.address}/{request.key}'

    def close_removed(self, known: typing.Container[str]) -> None:
        """Close the pooled connections of targets that were removed.

        Args:
            known: Names of the targets that remain.
        """
        for name in list(self._pools):
            if name not in known:
                self._pools.pop(name).close()

    async def _request_json(
        self,
        target: core.Target,
        method: bytes,
        path: str,
        body: bytes,
        deadline: float,
    ) -> tuple[int, typing.Any]:
        """Send a request of this VM to a server.

        Returns:
            The status and the decoded JSON body; None if the body is not
            JSON.

        Raises:
            ConnectFailed: No connection could be opened.
            ExchangeFailed: No complete answer arrived.
        """
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
            sent_at = self._clock.now()
            await connection.send(head, body, deadline)
            response = await connection.read_head(deadline)
            self._record_notices(target, response, sent_at)
            content = await connection.read_body(
                MAX_RESPONSE_BYTES, deadline, self._body_budget
            )
            complete = True
        finally:
            if not complete:
                connection.close()
        self._release_connection(target, connection, response)
        try:
            return response.status, core.parse_json(content)
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
        connect_deadline = self._clock.now() + CONNECT_TIMEOUT_SECONDS
        return await pool.acquire(fresh, min(deadline, connect_deadline))

    def _encode_head(self, attempt: relay.Attempt) -> transport.RequestHead:
        request = attempt.request
        remaining_seconds = max(0.0, attempt.deadline - self._clock.now())
        headers = list(request.headers)
        headers += [
            (_headers.DEADLINE, b'%d' % int(remaining_seconds * 1000)),
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
            case relay.NewRun():
                pass
            case relay.ResumedRun(position=position):
                headers.append((_headers.LAST_EVENT, position))
            case relay.ContinuedRun(position=position, copy=copy):
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
        if not _answers.is_own_answer(attempt, connection, response):
            return relay.Lost('the answer has the ID of another request')
        if response.find(_headers.NOT_EXECUTED) is not None:
            return await self._read_refusal(attempt, connection, response)
        if response.find(b'content-encoding') is not None:
            return relay.Lost('the answer has a content encoding')
        succeeded = response.status < _MULTIPLE_CHOICES
        if succeeded and response.find(_headers.SIGNATURE) is None:
            return relay.Lost('the answer has no signature')
        headers = _headers.drop_hop_by_hop(response.headers)
        if succeeded and _answers.is_stream(attempt.request, response):
            return self._open_stream(attempt, connection, response, headers)
        body = await connection.read_body(
            MAX_RESPONSE_BYTES, attempt.deadline, self._body_budget
        )
        self._release_connection(attempt.target, connection, response)
        return relay.Answered(response.status, headers, body)

    def _record_notices(
        self,
        target: core.Target,
        response: transport.ResponseHead,
        sent_at: float,
    ) -> None:
        # A server that has taken over the address speaks for itself.
        if response.status == _MISDIRECTED_REQUEST:
            return
        word = limits.parse_limit(
            [
                value.decode('latin-1')
                for name, value in response.headers
                if name == _headers.REQUEST_LIMIT
            ]
        )
        self._target_limits.record_answer(target.name, word, sent_at)
        report = _self_reports.decode_self_report(target.name, response)
        if report is not None:
            self._on_self_report(target.name, report, sent_at)

    async def _read_refusal(
        self,
        attempt: relay.Attempt,
        connection: transport.HttpConnection,
        response: transport.ResponseHead,
    ) -> relay.Reply:
        refusal_deadline = self._clock.now() + REFUSAL_TIMEOUT_SECONDS
        try:
            await connection.read_body(
                MAX_REFUSAL_BYTES,
                min(attempt.deadline, refusal_deadline),
                self._body_budget,
            )
            self._release_connection(attempt.target, connection, response)
        except transport.ExchangeFailed:
            # The head already states that the request did not run, so it is
            # not lost although the body could not be read.
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
            self._release_connection(attempt.target, connection, response)

        tokens = self._get_tokens_per_event(attempt.request.service)
        source = _events.EventReader(connection, release, tokens)
        return relay.Streaming(response.status, headers, source)

    def _release_connection(
        self,
        target: core.Target,
        connection: transport.HttpConnection,
        response: transport.ResponseHead,
    ) -> None:
        pool = self._pools.get(target.name)
        if pool is None:
            connection.close()
            return
        seconds = _answers.compute_idle_seconds(response)
        pool.release(connection, self._clock.now() + seconds)
