"""HTTP client for keyed topics in the platform's store."""

from __future__ import annotations

import base64
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
_MAX_EPOCH_DIGITS = 15
_IDLE_SECONDS = 30.0
_PAGE_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')
_REQUEST_HEADERS = [(b'Host', b'store')]

_LOGGER = core.get_logger('platform')


class KeyedTopicClient:
    """Reads and writes one keyed topic; implements `log.KeyedTopic`.

    Args:
        address: IP address and port of the store.
        name: Name of the topic without `KEYED_PREFIX`.
        clock: Source of the current time.
        epochs: The epoch of the store.
    """

    def __init__(
        self,
        address: str,
        name: str,
        clock: core.Clock,
        epochs: log.EpochTracker,
    ) -> None:
        self._pool = transport.ConnectionPool(address, clock)
        self._topic = KEYED_PREFIX + name
        self._clock = clock
        self._epochs = epochs

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        """Return the newest record of each key.

        Args:
            deadline: End of the reads, in epoch seconds.

        Raises:
            TopicUnavailable: The topic could not be read.
        """
        records: list[log.KeyedRecord] = []
        position: log.TopicPosition | None = None
        after: str | None = None
        while True:
            query = {'topic': self._topic, 'part': '0'}
            if after is not None:
                query['after'] = after
            epoch, status, body = await self._get(
                'log-newest', query, deadline
            )
            if status != 200:
                raise log.TopicUnavailable(f'the store answered {status}')
            if position is not None and position.epoch != epoch:
                message = 'the store came back older during the read'
                raise log.TopicUnavailable(message)
            try:
                page = core.parse_json(body)
                records += _decode_newest_records(page['items'])
                # The pages are not read at one point in time. The follower
                # continues from the end offset of the first page, so that
                # it sees every change made while the others were read.
                if position is None:
                    end = int(page['endOffset'])
                    position = log.TopicPosition(epoch, end)
                if not page['hasMore'] or not page['items']:
                    return log.KeyedPage(records, position)
                after = str(page['items'][-1]['key'])
            except core.MALFORMED_ERRORS as error:
                message = f'the store sent a malformed page: {error!r}'
                raise log.TopicUnavailable(message) from error

    async def read_from(
        self, position: log.TopicPosition, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        """Return the records from a position on.

        Args:
            position: Position of the first record.
            wait_until: End of the store's wait for a first record, in
                epoch seconds.
            deadline: End of the read, in epoch seconds.

        Raises:
            HistoryLost: The position is no longer retained.
            EpochChanged: The position belongs to another epoch.
            TopicUnavailable: The topic could not be read.
        """
        wait_seconds = max(0.0, wait_until - self._clock.now())
        query = {
            'topic': self._topic,
            'part': '0',
            'startFrom': str(position.offset),
            'waitMs': str(int(wait_seconds * 1000)),
        }
        epoch, status, body = await self._get('log-read', query, deadline)
        if epoch != position.epoch:
            raise log.EpochChanged
        if status == 410:
            raise log.HistoryLost
        if status != 200:
            raise log.TopicUnavailable(f'the store answered {status}')
        try:
            return _decode_page(position, body)
        except (IndexError, struct.error) as error:
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
        _, status, _ = await self._send(
            b'POST', 'log-append', query, body, deadline
        )
        if status != 200:
            raise log.TopicUnavailable(f'the store answered {status}')

    async def _get(
        self, endpoint: str, query: dict[str, str], deadline: float
    ) -> tuple[int, int, bytes]:
        return await self._send(b'GET', endpoint, query, b'', deadline)

    async def _send(
        self,
        method: bytes,
        endpoint: str,
        query: dict[str, str],
        content: bytes,
        deadline: float,
    ) -> tuple[int, int, bytes]:
        """Send a request; return epoch, status and body of its answer.

        Raises:
            TopicUnavailable: There is no answer of the current epoch.
        """
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
        epoch = _decode_epoch(response.find(_STORE_EPOCH))
        if not self._epochs.observe(epoch, f'store {self._topic}'):
            raise log.TopicUnavailable('the answer is of an earlier epoch')
        return epoch, response.status, body


def _decode_epoch(value: bytes | None) -> int:
    """Return the epoch of an answer; 0 for a store that names none.

    Raises:
        TopicUnavailable: The epoch cannot be read.
    """
    if value is None:
        return 0
    if not value.isdigit() or len(value) > _MAX_EPOCH_DIGITS:
        raise log.TopicUnavailable(f'the store named epoch {value!r}')
    return int(value)


def _decode_newest_records(
    items: list[dict[str, typing.Any]],
) -> list[log.KeyedRecord]:
    """Return the records of a page; those that cannot be read are left out."""
    records = []
    for item in items:
        try:
            # A key that is no text cannot be sent to siblings.
            item['key'].encode()
            value = base64.b64decode(item['value'])
            records.append(
                log.KeyedRecord(item['key'], value, int(item['offset']))
            )
        except core.MALFORMED_ERRORS as error:
            _LOGGER.warning('record ignored; key=%.80r reason=%r', item, error)
    return records


def _decode_page(position: log.TopicPosition, body: bytes) -> log.KeyedPage:
    """Decode a page: two offsets of the partition, then its records.

    Raises:
        IndexError: A record is cut off.
        struct.error: An offset or a length is cut off.
    """
    end, _first = _PAGE_HEADER.unpack_from(body)
    index = _PAGE_HEADER.size
    offset = position.offset
    records: list[log.KeyedRecord] = []
    count = 0
    while index < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, index)
        index += _RECORD_LENGTH.size
        content = body[index : index + length]
        if len(content) < length:
            raise IndexError('a record is cut off')
        index += length
        try:
            records.append(_decode_record(offset + count, content))
        except (IndexError, UnicodeDecodeError) as error:
            _LOGGER.warning(
                'record ignored; offset=%d reason=%r', offset + count, error
            )
        count += 1
    # `end` is the end offset of the partition. The page may hold fewer
    # records, so the next read starts after its last one.
    next_offset = offset + count
    if not count:
        next_offset = max(offset, end)
    following = log.TopicPosition(position.epoch, next_offset)
    return log.KeyedPage(records, following)


def _decode_record(offset: int, content: bytes) -> log.KeyedRecord:
    """Decode one record.

    Raises:
        IndexError: The record is empty.
        UnicodeDecodeError: The key is not UTF-8.
    """
    key_length = content[0]
    key = content[1 : 1 + key_length].decode()
    value = content[1 + key_length :]
    return log.KeyedRecord(key, value or None, offset)
