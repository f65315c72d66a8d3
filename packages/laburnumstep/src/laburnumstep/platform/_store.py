"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
import typing
import urllib.parse

from laburnumstep import log
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from laburnumstep import core

KEYED_PREFIX = 'keyed.'
"""Beginning of the names of topics that keep the newest of each key."""
MAX_PAGE_BYTES = 8 * 1024 * 1024
"""Largest page that is read, in bytes."""
_IDLE_SECONDS = 30.0
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_CONNECTION_HEADERS = [(b'Host', b'store')]


class KeyedTopicClient:
    """Reads one keyed topic, as `log.KeyedTopic`.

    Args:
        address: IP number and port of the store.
        name: Name of the topic without the prefix of keyed topics.
        clock: Compared with deadlines.
    """

    def __init__(self, address: str, name: str, clock: core.Clock) -> None:
        self._pool = transport.ConnectionPool(address, clock)
        self._topic = KEYED_PREFIX + name
        self._clock = clock

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        """Return the newest record of each key.

        Raises:
            TopicUnavailable: The topic could not be read.
        """
        records: list[log.KeyedRecord] = []
        following: int | None = None
        after: str | None = None
        while True:
            query = {'topic': self._topic, 'part': '0'}
            if after is not None:
                query['after'] = after
            status, body = await self._get('log-newest', query, deadline)
            if status != 200:
                raise log.TopicUnavailable(f'the store answered {status}')
            try:
                page = json.loads(body)
                records += [_decode_item(item) for item in page['items']]
                # Pages are no snapshot: reading on from the first one's
                # end repeats what changed meanwhile.
                if following is None:
                    following = int(page['endOffset'])
                if not page['hasMore'] or not page['items']:
                    return log.KeyedPage(records, following)
                after = str(page['items'][-1]['key'])
            except (KeyError, TypeError, ValueError) as error:
                message = f'the store sent a malformed page: {error!r}'
                raise log.TopicUnavailable(message) from error

    async def read_from(
        self, offset: int, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        """Return records from an offset on.

        Raises:
            HistoryLost: The offset is no longer retained.
            TopicUnavailable: The topic could not be read.
        """
        wait = max(0.0, wait_until - self._clock.now())
        query = {
            'topic': self._topic,
            'part': '0',
            'startFrom': str(offset),
            'waitMs': str(int(wait * 1000)),
        }
        status, body = await self._get('log-read', query, deadline)
        if status == 410:
            raise log.HistoryLost
        if status != 200:
            raise log.TopicUnavailable(f'the store answered {status}')
        try:
            return _decode_page(offset, body)
        except (IndexError, struct.error, UnicodeDecodeError) as error:
            message = f'the store sent malformed records: {error!r}'
            raise log.TopicUnavailable(message) from error

    async def _get(
        self, call: str, query: dict[str, str], deadline: float
    ) -> tuple[int, bytes]:
        target = f'/v1/{call}?{urllib.parse.urlencode(query)}'
        head = transport.RequestHead(
            b'GET', target.encode(), _CONNECTION_HEADERS
        )
        try:
            connection = await self._pool.acquire(False, deadline)
        except transport.ConnectFailed as error:
            raise log.TopicUnavailable(str(error)) from error
        complete = False
        try:
            await connection.send(head, b'', deadline)
            response = await connection.read_head(deadline)
            body = await connection.read_body(MAX_PAGE_BYTES, deadline)
            complete = True
        except transport.ExchangeFailed as error:
            raise log.TopicUnavailable(str(error)) from error
        finally:
            if not complete:
                connection.close()
        self._pool.release(connection, self._clock.now() + _IDLE_SECONDS)
        return response.status, body


def _decode_item(item: typing.Any) -> log.KeyedRecord:
    value = base64.b64decode(item['value'])
    return log.KeyedRecord(str(item['key']), value, int(item['offset']))


def _decode_page(offset: int, body: bytes) -> log.KeyedPage:
    """Decode the two offsets and the records behind them."""
    end, _first = _OFFSETS.unpack_from(body)
    position = _OFFSETS.size
    records: list[log.KeyedRecord] = []
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise IndexError('a record is cut off')
        position += length
        records.append(_decode_record(offset + len(records), content))
    # The end is that of the partition; a page may stop before it.
    following = offset + len(records)
    if not records:
        following = max(offset, end)
    return log.KeyedPage(records, following)


def _decode_record(offset: int, content: bytes) -> log.KeyedRecord:
    size = content[0]
    key = content[1 : 1 + size].decode()
    value = content[1 + size :]
    return log.KeyedRecord(key, value or None, offset)
