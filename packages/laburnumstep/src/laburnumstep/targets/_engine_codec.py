"""Decoding of an engine's event stream.

Token events are matched with one regular expression and stay encoded. All
other events are rare and are decoded in full.
"""

from __future__ import annotations

import re
import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _engine_events
from laburnumstep.targets import _hints
from laburnumstep.targets import _reports

_TOKEN = re.compile(
    rb'id: ([0-9a-z-]{1,64}):([0-9]{1,9})\n'
    rb'data: "(?:[^"\\\n]|\\.)*"\n\n'
)
_MAX_EVENT_BYTES = 64 * 1024
"""Longest accepted event, in bytes."""


class EventDecoder:
    """Decodes the bytes of one stream into events, incrementally."""

    def __init__(self) -> None:
        self._incomplete = b''

    def decode(self, chunk: bytes) -> list[_engine_events.EngineEvent]:
        """Return the events that are complete with this chunk.

        Raises:
            MalformedStream: The bytes do not follow the protocol.
        """
        data = self._incomplete + chunk if self._incomplete else chunk
        end = data.rfind(b'\n\n') + 2
        if end == 1:
            end = 0
        self._incomplete = data[end:]
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise _engine_events.MalformedStream('an event is too long')
        return list(_decode_events(data[:end])) if end else []


def _decode_events(
    data: bytes,
) -> typing.Iterator[_engine_events.EngineEvent]:
    start = 0
    batch: _engine_events.TokenBatch | None = None
    while start < len(data):
        match = _TOKEN.match(data, start)
        if match is None:
            if batch is not None:
                yield batch
                batch = None
            end = data.index(b'\n\n', start) + 2
            yield _decode_other_event(data[start:end])
            start = end
            continue
        generation, position = match[1].decode(), int(match[2])
        start = match.end()
        if (
            batch is not None
            and batch.generation == generation
            and batch.next_position == position
        ):
            batch.events.append(match[0])
            continue
        if batch is not None:
            yield batch
        batch = _engine_events.TokenBatch(generation, position, [match[0]])
    if batch is not None:
        yield batch


def _decode_other_event(event: bytes) -> _engine_events.EngineEvent:
    try:
        lines = event.decode().strip('\n').split('\n')
        fields = dict(line.split(': ', 1) for line in lines)
        body = core.parse_json(fields.get('data', '{}'))
        match fields.get('event'):
            case 'preempted':
                return _engine_events.Preempted()
            case 'done':
                return _engine_events.Finished(
                    int(body['tokens']), str(body['reason'])
                )
            case 'failed':
                return _engine_events.Failed(str(body['code']))
    except core.MALFORMED_ERRORS as error:
        message = f'malformed event: {event[:80]!r}'
        raise _engine_events.MalformedStream(message) from error
    raise _engine_events.MalformedStream(f'unknown event: {event[:80]!r}')


def decode_load_report(body: typing.Any) -> _reports.LoadReport:
    """Decode the body of an engine's load report.

    Raises:
        MalformedStream: A field is missing or has the wrong type.
    """
    try:
        reclaim_at = body['reclaim_at']
        return _reports.LoadReport(
            measured_at=float(body['measured_at']),
            running=core.decode_count(body['running']),
            waiting=core.decode_count(body['waiting']),
            kv_used=core.decode_count(body['kv_used']),
            kv_total=core.decode_count(body['kv_total']),
            preemptions=core.decode_count(body['preemptions']),
            models=[str(model['name']) for model in body['models']],
            reclaim_at=None if reclaim_at is None else float(reclaim_at),
            versions={
                str(model['name']): str(model.get('version', ''))
                for model in body['models']
            },
        )
    except core.MALFORMED_ERRORS as error:
        message = f'malformed load report: {body!r}'[:120]
        raise _engine_events.MalformedStream(message) from error


@attrs.frozen
class CachePage:
    """One page of an engine's cache events."""

    events: list[_hints.CacheEvent]
    """Events in the order of their numbers."""
    next: int
    """Number of the first event of the next page."""


def decode_cache_page(body: typing.Any) -> CachePage:
    """Decode a page of an engine's cache events.

    Raises:
        MalformedStream: A field is missing or has the wrong type.
    """
    try:
        events = [
            _hints.CacheEvent(
                int(item['seq']),
                _hints.CacheEventKind(item['kind']),
                str(item['prefix']),
            )
            for item in body['events']
        ]
        return CachePage(events, int(body['next']))
    except core.MALFORMED_ERRORS as error:
        message = f'malformed cache events: {body!r}'[:120]
        raise _engine_events.MalformedStream(message) from error
