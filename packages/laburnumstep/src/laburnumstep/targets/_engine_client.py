"""Client of one model engine."""

from __future__ import annotations

import json
import secrets
import typing

import attrs
import httpcore

from laburnumstep.targets import _coalescing
from laburnumstep.targets import _engine_codec
from laburnumstep.targets import _engine_events
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _reports

_MAX_CONNECTIONS = 2000
"""Connections to one engine; each stream has one of its own."""
_ID_BYTES = 10

Deliver = typing.Callable[[_engine_events.EngineEvent], typing.Awaitable[None]]


class NotStarted(Exception):
    """The engine cannot have begun the generation."""


class NotReached(NotStarted):
    """The engine did not answer in time; it may be cut off or frozen."""


class StreamBroken(Exception):
    """The stream broke; the engine may go on with the generation."""


class EngineSilent(StreamBroken):
    """The engine answered the request and sent nothing for a while."""


class GenerationUnknown(Exception):
    """The engine does not hold the generation."""


@attrs.frozen
class StartGeneration:
    """What an engine needs to begin a generation."""

    generation: str
    """Identifier, chosen by the VM."""
    model: str
    """Name of the model."""
    prompt: str
    """Text to continue."""
    max_tokens: int
    """Upper bound of the answer, in tokens."""
    priority: int
    """Higher goes first."""


class EngineClient:
    """Talks to one model engine.

    Args:
        address: IP number and port of the engine.
        pacer: Spaces out the reads of all streams of this process.
    """

    def __init__(self, address: str, pacer: _coalescing.ReadPacer) -> None:
        self._pacer = pacer
        # Short requests have connections of their own: httpcore looks at
        # every connection of a pool for each request.
        self._http = transport.JsonClient(address)
        self._streams = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_CONNECTIONS,
            network_backend=_coalescing.CoalescingBackend(pacer),
        )

    async def start(
        self,
        start: StartGeneration,
        deliver: Deliver,
        silent_until: float,
    ) -> None:
        """Begin a generation and deliver its events until it ends.

        Args:
            start: The generation.
            deliver: Called with each event, in order.
            silent_until: When to give up on a silent engine, in epoch
                seconds.

        Raises:
            NotStarted: The engine cannot have begun the generation.
            StreamBroken: The stream ended before the generation did.
        """
        content = json.dumps(attrs.asdict(start)).encode()
        await self._relay(
            'POST', '/v1/generations', content, deliver, silent_until
        )

    async def resume(
        self,
        generation: str,
        position: int,
        deliver: Deliver,
        silent_until: float,
    ) -> None:
        """Deliver the events of a generation from a position on.

        Raises:
            GenerationUnknown: The engine does not hold the generation.
            NotStarted: The engine was not reached.
            StreamBroken: The stream ended before the generation did.
        """
        path = f'/v1/generations/{generation}/events?from={position}'
        await self._relay('GET', path, None, deliver, silent_until)

    async def cancel(self, generation: str, deadline: float) -> None:
        """Cancel a generation.

        Raises:
            StreamBroken: The engine may not have seen the request.
        """
        path = f'/v1/generations/{generation}'
        await self._request('DELETE', path, deadline)

    async def cancel_unread(self, generation: str, deadline: float) -> None:
        """Cancel a generation unless somebody reads its stream.

        Raises:
            StreamBroken: The engine may not have seen the request.
        """
        path = f'/v1/generations/{generation}?unless=read'
        await self._request('DELETE', path, deadline)

    async def read_load(self, deadline: float) -> _reports.LoadReport:
        """Return the engine's load report, which lags.

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
        """Return changes of the engine's prefix cache, late and with gaps.

        Args:
            start: Number of the first event wanted.
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
        try:
            return await self._http.request(method, path, deadline)
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            raise StreamBroken(str(error)) from error

    async def _relay(
        self,
        method: str,
        path: str,
        content: bytes | None,
        deliver: Deliver,
        silent_until: float,
    ) -> None:
        url = f'http://{self._http.address}{path}'
        timeouts = transport.timeouts_until(silent_until)
        self._pacer.begin()
        try:
            async with self._streams.stream(
                method,
                url,
                headers=[('Content-Type', 'application/json')],
                content=content,
                extensions={'timeout': timeouts},
            ) as response:
                await self._read_events(response, deliver)
        except httpcore.ConnectError as error:
            raise NotStarted(f'refused: {error}') from error
        except (httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise NotReached(f'{type(error).__name__}: {error}') from error
        except transport.EXCHANGE_ERRORS as error:
            name = type(error).__name__
            raise StreamBroken(f'{name}: {error}') from error
        finally:
            self._pacer.end()

    async def _read_events(
        self, response: httpcore.Response, deliver: Deliver
    ) -> None:
        if response.status == 404:
            raise GenerationUnknown(self._http.address)
        if response.status == 503:
            raise NotStarted('the engine refused the generation')
        if response.status != 200:
            raise StreamBroken(f'the engine answered {response.status}')
        decoder = _engine_codec.EventDecoder()
        pending: list[bytes] = []
        ended = False

        async def flush() -> None:
            nonlocal ended
            if not pending:
                return
            data = b''.join(pending)
            pending.clear()
            for event in decoder.decode(data):
                await deliver(event)
                match event:
                    case _engine_events.Finished() | _engine_events.Failed():
                        ended = True
                    case _:
                        pass

        network = response.extensions['network_stream']
        network.flush = flush
        try:
            async for chunk in response.aiter_stream():
                pending.append(chunk)
            await flush()
        except httpcore.ReadTimeout as error:
            raise EngineSilent('no event for a while') from error
        finally:
            network.flush = None
        if not ended:
            raise StreamBroken('the stream ended before the generation')


def new_generation_id() -> str:
    """Return an identifier that no other generation has.

    It is never derived from the request key: two generations of one request
    must differ in it, so that a caller cannot mix their tokens.
    """
    return secrets.token_hex(_ID_BYTES)
