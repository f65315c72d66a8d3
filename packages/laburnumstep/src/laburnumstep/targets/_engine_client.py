"""Client of one model engine."""

from __future__ import annotations

import contextlib
import json
import secrets
import time
import typing

import anyio
import attrs
import httpcore

from laburnumstep.targets import _bounds
from laburnumstep.targets import _coalescing
from laburnumstep.targets import _engine_codec
from laburnumstep.targets import _engine_events
from laburnumstep.targets import _stream_progress
from laburnumstep import transport

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep.targets import _reports

_MAX_CONNECTIONS = 2000
"""Maximum number of connections to one engine; each stream uses one."""
_ID_BYTES = 10

RecordHeaders = typing.Callable[[dict[str, str], float], None]
"""Called with the headers of an answer, by name in lower case, and when its
request was sent, in epoch seconds."""
Deliver = typing.Callable[[_engine_events.EngineEvent], typing.Awaitable[bool]]
"""Called with an event; returns whether it was new."""


class NotStarted(Exception):
    """The engine cannot have begun the generation."""


class NotReached(NotStarted):
    """The engine did not answer in time; it may be unreachable or hung."""


class StreamBroken(Exception):
    """The stream broke; the engine may still run the generation."""


class StreamIdle(StreamBroken):
    """The engine answered the request and sent no event in time."""


class GenerationUnknown(Exception):
    """The engine does not know the generation."""


@attrs.frozen
class StartGeneration:
    """An order to an engine to begin a generation."""

    generation: str
    """Identifier of the generation, chosen by the VM."""
    model: str
    """Name of the model."""
    prompt: str
    """Prompt of the generation."""
    max_tokens: int
    """Upper bound of the answer, in tokens."""
    priority: int
    """Higher goes first."""


class EngineClient:
    """Client of the HTTP interface of one model engine.

    Args:
        address: IP number and port of the engine.
        pacer: Computes the pause between reads from the number of streams
            of this process.
        record_headers: Receives the headers of each answer.
    """

    def __init__(
        self,
        address: str,
        pacer: _coalescing.ReadPacer,
        record_headers: RecordHeaders,
    ) -> None:
        self._pacer = pacer
        self._record_headers = record_headers
        # Short requests have a separate pool: httpcore iterates over all
        # connections of a pool for each request.
        self._http = transport.JsonClient(
            address, max_bytes=_bounds.MAX_ANSWER_BYTES
        )
        self._streams = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_CONNECTIONS,
            network_backend=_coalescing.CoalescingBackend(pacer),
        )

    async def start(
        self,
        start: StartGeneration,
        deliver: Deliver,
        idle_deadline: float,
    ) -> None:
        """Begin a generation and deliver its events until it ends.

        Args:
            start: The generation to begin.
            deliver: Called with each event, in order.
            idle_deadline: When to give up on an engine that sends nothing,
                in epoch seconds.

        Raises:
            NotStarted: The engine cannot have begun the generation.
            StreamBroken: The stream ended before the generation did.
        """
        content = json.dumps(attrs.asdict(start)).encode()
        await self._stream_events(
            'POST', '/v1/generations', content, deliver, idle_deadline
        )

    async def resume(
        self,
        generation: str,
        position: int,
        deliver: Deliver,
        idle_deadline: float,
    ) -> None:
        """Deliver the events of a generation, starting at a position.

        Args:
            generation: Identifier of the generation.
            position: Position of the first token to deliver.
            deliver: Called with each event, in order.
            idle_deadline: When to give up on an engine that sends nothing,
                in epoch seconds.

        Raises:
            GenerationUnknown: The engine does not know the generation.
            NotStarted: The engine was not reached.
            StreamBroken: The stream ended before the generation did.
        """
        path = f'/v1/generations/{generation}/events?from={position}'
        await self._stream_events('GET', path, None, deliver, idle_deadline)

    async def cancel(self, generation: str, deadline: float) -> None:
        """Cancel a generation.

        Raises:
            StreamBroken: The engine may not have received the request.
        """
        path = f'/v1/generations/{generation}'
        await self._request('DELETE', path, deadline)

    async def cancel_unread(self, generation: str, deadline: float) -> None:
        """Cancel a generation unless a connection reads its stream.

        Raises:
            StreamBroken: The engine may not have received the request.
        """
        path = f'/v1/generations/{generation}?unless=read'
        await self._request('DELETE', path, deadline)

    async def read_load(self, deadline: float) -> _reports.LoadReport:
        """Return the engine's load report, which lags behind its load.

        Raises:
            StreamBroken: The engine does not answer.
            MalformedStream: The report does not follow the protocol.
        """
        reply = await self._request('GET', '/v1/load', deadline)
        if reply.status != 200:
            raise StreamBroken(f'the engine answered {reply.status}')
        return _engine_codec.decode_load_report(reply.body)

    async def read_cache_events(
        self, start: int, deadline: float
    ) -> _engine_codec.CachePage:
        """Return changes of the engine's prefix cache.

        Events can be late, and some can be missing.

        Args:
            start: Number of the first event to return.
            deadline: When to give up, in epoch seconds.

        Raises:
            StreamBroken: The engine does not answer.
            MalformedStream: The answer does not follow the protocol.
        """
        path = f'/v1/cache/events?from={start}'
        reply = await self._request('GET', path, deadline)
        if reply.status != 200:
            raise StreamBroken(f'the engine answered {reply.status}')
        return _engine_codec.decode_cache_page(reply.body)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
        await self._streams.aclose()

    async def _request(
        self, method: str, path: str, deadline: float
    ) -> transport.JsonResponse:
        sent_at = time.time()
        try:
            reply = await self._http.request(method, path, deadline)
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            raise StreamBroken(str(error)) from error
        self._record_headers(reply.headers, sent_at)
        return reply

    async def _stream_events(
        self,
        method: str,
        path: str,
        content: bytes | None,
        deliver: Deliver,
        idle_deadline: float,
    ) -> None:
        timeouts = transport.timeouts_until(idle_deadline)
        self._pacer.add_stream()
        sent_at = time.time()
        try:
            async with self._open(method, path, content, timeouts) as response:
                headers = transport.join_headers(response.headers)
                self._record_headers(headers, sent_at)
                await self._read_events(response, deliver, timeouts['read'])
        except httpcore.ConnectError as error:
            raise NotStarted(f'refused: {error}') from error
        except (httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise NotReached(f'{type(error).__name__}: {error}') from error
        except transport.EXCHANGE_ERRORS as error:
            name = type(error).__name__
            raise StreamBroken(f'{name}: {error}') from error
        finally:
            self._pacer.remove_stream()

    @contextlib.asynccontextmanager
    async def _open(
        self,
        method: str,
        path: str,
        content: bytes | None,
        timeouts: dict[str, float],
    ) -> collections.abc.AsyncIterator[httpcore.Response]:
        """Send a request and open its response, whose head has been read."""
        observer = transport.SendObserver()
        request = self._streams.stream(
            method,
            f'http://{self._http.address}{path}',
            headers=[('Content-Type', 'application/json')],
            content=content,
            extensions={'timeout': timeouts, 'trace': observer.trace},
        )
        async with contextlib.AsyncExitStack() as stack:
            try:
                # The timeouts of httpcore apply to each read, and responses
                # 1xx may come without end.
                with anyio.fail_after(timeouts['read']):
                    response = await stack.enter_async_context(request)
            except TimeoutError as error:
                message = 'no response within the idle timeout'
                if observer.has_begun:
                    raise StreamBroken(message) from error
                raise NotReached(message) from error
            yield response

    async def _read_events(
        self,
        response: httpcore.Response,
        deliver: Deliver,
        idle_seconds: float,
    ) -> None:
        if response.status == 404:
            raise GenerationUnknown(self._http.address)
        if response.status == 503:
            raise NotStarted('the engine refused the generation')
        if response.status != 200:
            raise StreamBroken(f'the engine answered {response.status}')
        decoder = _engine_codec.EventDecoder()
        turn = transport.Turn()
        pending: list[bytes] = []
        ended = False
        progress = _stream_progress.StreamProgress(
            time.monotonic() + idle_seconds
        )

        async def flush() -> None:
            nonlocal ended
            data = b''.join(pending)
            overhead = len(pending) * transport.CHUNK_OVERHEAD_BYTES
            pending.clear()
            progress.record_bytes(len(data) + overhead)
            for event in decoder.decode(data):
                if await deliver(event):
                    progress.record_new_event(time.monotonic() + idle_seconds)
                match event:
                    case _engine_events.Finished() | _engine_events.Failed():
                        ended = True
                    case _:
                        pass
            if progress.is_flooded:
                raise StreamBroken('too many bytes without a new event')
            if progress.is_idle and not ended:
                raise StreamIdle('no new event within the idle timeout')

        network = response.extensions['network_stream']
        network.flush = flush
        try:
            async for chunk in response.aiter_stream():
                pending.append(chunk)
                turn.record_item()
                if turn.is_over:
                    await turn.yield_to_others()
            await flush()
        except httpcore.ReadTimeout as error:
            raise StreamIdle('no event within the idle timeout') from error
        finally:
            network.flush = None
        if not ended:
            raise StreamBroken('the stream ended before the generation')


def new_generation_id() -> str:
    """Return a new unique identifier of a generation.

    It is random rather than derived from the request key. Two generations
    of one request must have different identifiers, so that a caller cannot
    mix their tokens.
    """
    return secrets.token_hex(_ID_BYTES)
