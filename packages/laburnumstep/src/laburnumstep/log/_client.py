"""Client of the platform's append-only log."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.log import _codec
from laburnumstep.log import _epochs
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from laburnumstep.log import _records

REPLY_MARGIN_SECONDS = 2.0
"""Time allowed for a reply in addition to the requested wait, in seconds."""


class LogUnavailable(core.CodedError):
    """The log did not answer, or its answer was lost.

    Args:
        message: Description of the failure.
        may_be_appended: Whether an append may have taken effect.
    """

    def __init__(self, message: str, may_be_appended: bool) -> None:
        super().__init__(core.ErrorCode.LOG_UNAVAILABLE, message, resend=True)
        self.may_be_appended = may_be_appended


class AppendRateExceeded(core.CodedError):
    """The log refused an append because its rate limit was exceeded.

    Args:
        retry_at: Earliest time for a retry, in epoch seconds.
    """

    def __init__(self, retry_at: float) -> None:
        super().__init__(
            core.ErrorCode.LOG_APPEND_RATE,
            'the log refused the append because of its rate limit',
            resend=True,
            resend_at=retry_at,
        )
        self.retry_at = retry_at


@attrs.frozen
class AppendResult:
    """Position of appended records in their stream."""

    first_offset: int
    """Offset of the first record."""


class LogClient:
    """Reads and appends to the streams of the log.

    Args:
        address: IP address and port of the log.
        clock: Clock for the retry time of refused appends.
    """

    def __init__(self, address: str, clock: core.Clock) -> None:
        self._http = transport.JsonClient(address)
        self._clock = clock
        self._epochs = _epochs.EpochTracker()

    async def append(
        self,
        stream: str,
        records: list[core.DocumentObject],
        deadline: float,
    ) -> AppendResult:
        """Append records in one call.

        Args:
            stream: Name of the stream.
            records: JSON objects, at least one.
            deadline: When to give up, in epoch seconds.

        Raises:
            LogUnavailable: The log did not answer. Its attribute
                `may_be_appended` shows whether the records may have been
                appended.
            AppendRateExceeded: The log refused the append.
        """
        path = f'/v1/streams/{stream}/records'
        body = {'records': records}
        try:
            reply = await self._http.request('POST', path, deadline, body)
        except transport.ConnectFailed as error:
            raise LogUnavailable(str(error), False) from error
        except transport.ExchangeFailed as error:
            raise LogUnavailable(str(error), True) from error
        if reply.status == 429:
            wait = float(reply.headers.get('retry-after', '1'))
            raise AppendRateExceeded(self._clock.now() + wait)
        if reply.status != 200:
            message = f'the log answered {reply.status}'
            raise LogUnavailable(message, reply.status >= 500)
        try:
            return AppendResult(int(reply.body['first_offset']))
        except core.MALFORMED_ERRORS as error:
            message = f'the log sent a malformed reply: {error!r}'
            raise LogUnavailable(message, True) from error

    async def read(
        self,
        stream: str,
        start: int,
        limit: int,
        wait: float,
        deadline: float,
    ) -> _records.LogPage:
        """Read records, starting at an offset.

        The page starts later if the log no longer retains that offset.

        Args:
            stream: Name of the stream.
            start: Offset of the first record to read.
            limit: Maximum number of records to return.
            wait: How long the log may wait for a record, in seconds.
            deadline: When to give up, in epoch seconds.

        Raises:
            LogUnavailable: The log did not answer, or one of an earlier epoch
                did.
        """
        path = (
            f'/v1/streams/{stream}/records'
            f'?from={start}&limit={limit}&wait={wait}'
        )
        try:
            reply = await self._http.request('GET', path, deadline)
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            raise LogUnavailable(str(error), False) from error
        if reply.status != 200:
            message = f'the log answered {reply.status}'
            raise LogUnavailable(message, False)
        try:
            page = _codec.decode_page(reply.body)
        except core.MALFORMED_ERRORS as error:
            message = f'the log sent a malformed page: {error!r}'
            raise LogUnavailable(message, False) from error
        if not self._epochs.observe(page.epoch, f'stream {stream}'):
            raise LogUnavailable('the answer is of an earlier epoch', False)
        return page

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
