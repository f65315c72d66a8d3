"""HTTP client for keyed topics in the platform's store."""

from __future__ import annotations

import base64
import json
import struct
import typing
import urllib.parse

from laburnumstep import core
from laburnumstep import log
from laburnumstep import transport

KEYED_PREFIX = 'keyed.'
"""Prefix of the names of topics that retain the newest record of a key."""
MAX_PAGE_BYTES = 8 * 1024 * 1024
"""Size limit of one page, in bytes."""
_STORE_EPOCH = b'store-era'
"""Header with the epoch of the store, which rises by one each time that the
store comes back from an older copy."""
_IDLE_SECONDS = 30.0
_PAGE_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')
_LOGGER = core.get_logger('platform')
_REQUEST_HEADERS = [(b'Host', b'store')]


class KeyedTopicClient:
    """Reads and writes one keyed topic; implements `log.KeyedTopic`.

    Args:
        address: IP address and port of the store.
        name: Name of the topic without `KEYED_PREFIX`.
        clock: Source of the current time.
    """

    def __init__(self, address: str, name: str, clock: core.Clock) -> None:
        self._pool = transport.ConnectionPool(address, clock)
        self._topic = KEYED_PREFIX + name
        self._clock = clock
        self._epoch: bytes | None = None

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        """Return the newest record of each key.

        Args:
            deadline: End of the reads, in epoch seconds.

        Raises:
            TopicUnavailable: The topic could not be read.
        """
        records: list[log.KeyedRecord] = []
        next_offset: int | None = None
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
                records += [_decode_newest(item) for item in page['items']]
                # The pages are not read at one point in time. The follower
                # continues from the end offset of the first page, so that
                # it sees every change made while the others were read.
                if next_offset is None:
                    next_offset = int(page['endOffset'])
                if not page['hasMore'] or not page['items']:
                    return log.KeyedPage(records, next_offset)
                after = str(page['items'][-1]['key'])
            except (KeyError, TypeError, ValueError) as error:
                message = f'the store sent a malformed page: {error!r}'
                raise log.TopicUnavailable(message) from error

    async def read_from(
        self, offset: int, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        """Return the records from an offset on.

        Args:
            offset: Offset of the first record.
            wait_until: End of the store's wait for a first record, in
                epoch seconds.
            deadline: End of the read, in epoch seconds.

        Raises:
            HistoryLost: The offset is no longer retained.
            TopicUnavailable: The topic could not be read.
        """
        wait_seconds = max(0.0, wait_until - self._clock.now())
        query = {
            'topic': self._topic,
            'part': '0',
            'startFrom': str(offset),
            'waitMs': str(int(wait_seconds * 1000)),
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

    async def append(
        self, key: str, value: bytes | None, deadline: float
    ) -> None:
        """Set the value of a key; None removes it.

        Args:
            key: Key of the record, at most 255 bytes.
            value: The value.
            deadline: End of the call, in epoch seconds.

        Raises:
            TopicUnavailable: It is not known that the record was written.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + (value or b'')
        body = _RECORD_LENGTH.pack(len(content)) + content
        query = {'topic': self._topic, 'part': '0'}
        status, _ = await self._send(
            b'POST', 'log-append', query, body, deadline
        )
        if status != 200:
            raise log.TopicUnavailable(f'the store answered {status}')

    async def _get(
        self, endpoint: str, query: dict[str, str], deadline: float
    ) -> tuple[int, bytes]:
        return await self._send(b'GET', endpoint, query, b'', deadline)

    async def _send(
        self,
        method: bytes,
        endpoint: str,
        query: dict[str, str],
        content: bytes,
        deadline: float,
    ) -> tuple[int, bytes]:
        target = f'/v1/{endpoint}?{urllib.parse.urlencode(query)}'
        head = transport.RequestHead(method, target.encode(), _REQUEST_HEADERS)
        try:
            connection = await self._pool.acquire(False, deadline)
        except transport.ConnectFailed as error:
            raise log.TopicUnavailable(str(error)) from error
        complete = False
        try:
            await connection.send(head, content, deadline)
            response = await connection.read_head(deadline)
            body = await connection.read_body(MAX_PAGE_BYTES, deadline)
            complete = True
        except transport.ExchangeFailed as error:
            raise log.TopicUnavailable(str(error)) from error
        finally:
            if not complete:
                connection.close()
        self._pool.release(connection, self._clock.now() + _IDLE_SECONDS)
        epoch = response.find(_STORE_EPOCH)
        if epoch != self._epoch:
            _LOGGER.info(
                'store epoch; topic=%s epoch=%s before=%s request=%s',
                self._topic,
                epoch,
                self._epoch,
                target,
            )
            self._epoch = epoch
        return response.status, body


def _decode_newest(item: typing.Any) -> log.KeyedRecord:
    value = base64.b64decode(item['value'])
    return log.KeyedRecord(str(item['key']), value, int(item['offset']))


def _decode_page(offset: int, body: bytes) -> log.KeyedPage:
    """Decode a page: two offsets of the partition, then its records.

    Raises:
        IndexError: A record is cut off or empty.
        struct.error: An offset or a length is cut off.
        UnicodeDecodeError: A key is not UTF-8.
    """
    end, _first = _PAGE_HEADER.unpack_from(body)
    position = _PAGE_HEADER.size
    records: list[log.KeyedRecord] = []
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise IndexError('a record is cut off')
        position += length
        records.append(_decode_record(offset + len(records), content))
    # `end` is the end offset of the partition. The page may hold fewer
    # records, so the next read starts after its last one.
    next_offset = offset + len(records)
    if not records:
        next_offset = max(offset, end)
    return log.KeyedPage(records, next_offset)


def _decode_record(offset: int, content: bytes) -> log.KeyedRecord:
    key_length = content[0]
    key = content[1 : 1 + key_length].decode()
    value = content[1 + key_length :]
    return log.KeyedRecord(key, value or None, offset)
