"""Reads a topic of the log through a sibling VM.

Of the VMs in a data centre, one reads a topic from the log, chosen by
rendezvous hashing. The others read it from that VM, so that the calls to the
log grow with the number of data centres and not with the number of VMs. A VM
whose sibling does not answer, or does not know the topic's end, reads from
the log itself.
"""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep import siblings

MIN_SHARING_VMS = 4
"""Smallest number of live VMs in a data centre that share reads. Fewer VMs
would save few calls and depend on one another."""
MAX_RANK = 4
"""Number of VMs of a data centre that may be chosen as its reader."""
ANY_OFFSET = -1
"""Offset in a read of the newest records of a VM that knows none."""
WAIT_SECONDS = 1.0
"""Longest wait for a record in one read, in seconds. With the reply margin it
bounds how long a failed reader or log goes unnoticed."""
REPLY_MARGIN_SECONDS = 0.5
"""Time allowed for a reply in addition to the wait, in seconds."""
MAX_AGE_SECONDS = 1.8
"""Longest time since the sibling knew the topic's end, in seconds: one wait,
the reply margin and the pause between two reads of the log."""
FOLLOWER_PAUSE_SECONDS = 0.05
"""Pause between two reads from a sibling, in seconds. The sibling leaves out
unchanged records, so a read ends only after a change or a wait."""
EXCLUDED_SECONDS = 4.0
"""How long a sibling that could not answer is not asked again, in seconds."""

_LOGGER = core.get_logger('siblings')


class TopicSiblings(typing.Protocol):
    """The siblings through which a topic can be read."""

    def rank_neighbours(self, subject: str) -> list[siblings.Member]:
        """Return the live VMs of the data centre, best reader first."""
        ...

    async def read_topic(
        self, address: str, request: siblings.TopicRead
    ) -> siblings.TopicAnswer:
        """Read records of a topic that a sibling follows.

        Raises:
            SiblingUnavailable: The sibling did not answer.
        """
        ...


@attrs.frozen
class _LogSource:
    """The log itself."""

    shared: bool
    """Whether other VMs may read through this one."""


@attrs.frozen
class _SiblingSource:
    """A sibling that reads the log."""

    name: str
    """Name of the sibling."""
    address: str
    """IP address and port of its sibling server."""


_Source = _LogSource | _SiblingSource


class _SiblingFailed(Exception):
    """A sibling could not answer a read."""


class SharedTopic:
    """Reads a topic from a sibling or from the log, as `log.KeyedTopic`.

    Args:
        name: Name of the topic.
        vm_name: Name of this VM.
        topic: Reads from the log.
        neighbours: The siblings.
        cache: Keeps the records for siblings that read through this VM.
        epochs: The epoch of the log.
        clock: Clock of deadlines and exclusions.
    """

    def __init__(
        self,
        name: str,
        vm_name: str,
        topic: log.KeyedTopic,
        neighbours: TopicSiblings,
        cache: log.TopicCache,
        epochs: log.EpochTracker,
        clock: core.Clock,
    ) -> None:
        self._name = name
        self._vm_name = vm_name
        self._topic = topic
        self._neighbours = neighbours
        self._cache = cache
        self._epochs = epochs
        self._clock = clock
        self._excluded_until: dict[str, float] = {}
        self._source: _Source = _LogSource(shared=False)

    async def read_newest(self, deadline: float) -> log.KeyedPage:
        """Return the newest record of each key.

        Raises:
            TopicUnavailable: The topic could not be read.
        """
        source = self._choose_source()
        if isinstance(source, _SiblingSource):
            wait_until = self._clock.now() + WAIT_SECONDS
            known = self._cache.position
            read = siblings.TopicRead(
                self._name,
                True,
                known.epoch if known is not None else 0,
                known.offset if known is not None else ANY_OFFSET,
                wait_until,
                wait_until + REPLY_MARGIN_SECONDS,
            )
            try:
                page, complete_at = await self._ask(source, read)
            except _SiblingFailed as error:
                self._exclude(source, error)
            else:
                self._cache.replace(page, complete_at)
                return page
        try:
            page = await self._topic.read_newest(deadline)
        except log.TopicUnavailable:
            self._cache.record_failure()
            raise
        self._cache.replace(page, self._clock.now())
        return page

    async def read_from(
        self, position: log.TopicPosition, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        """Return the records from a position on.

        Raises:
            HistoryLost: The position is no longer retained.
            EpochChanged: The position belongs to another epoch.
            TopicUnavailable: The topic could not be read.
        """
        source = self._choose_source()
        match source:
            case _LogSource(shared=False):
                return await self._read_log(position, wait_until, deadline)
            case _LogSource():
                wait_until = self._clock.now() + WAIT_SECONDS
                return await self._read_log(
                    position, wait_until, wait_until + REPLY_MARGIN_SECONDS
                )
            case _SiblingSource():
                return await self._read_sibling(source, position)
            case _:
                typing.assert_never(source)

    def find_pause(self, alone: float, shared: float) -> float:
        """Return the pause before the next read, in seconds.

        Args:
            alone: Pause if this VM reads the log for itself.
            shared: Pause if it reads the log for its data centre.
        """
        match self._source:
            case _LogSource(shared=False):
                return alone
            case _LogSource():
                return shared
            case _SiblingSource():
                return FOLLOWER_PAUSE_SECONDS
            case _:
                typing.assert_never(self._source)

    async def serve(self, read: siblings.TopicRead) -> siblings.TopicAnswer:
        """Answer the read of a sibling from the cache."""
        start = log.TopicPosition(read.epoch, read.start)
        try:
            if read.newest:
                reached = start if read.start != ANY_OFFSET else None
                page = await self._cache.read_newest(reached, read.wait_until)
            else:
                page = await self._cache.read_from(start, read.wait_until)
        except log.EpochChanged:
            return siblings.TopicHistoryLost(epoch_changed=True)
        except log.HistoryLost:
            return siblings.TopicHistoryLost()
        except log.TopicUnavailable:
            return siblings.TopicUnavailable()
        return siblings.TopicPage(
            [
                siblings.TopicRecord(item.key, item.value, item.offset)
                for item in page.records
            ],
            page.next_position.epoch,
            page.next_position.offset,
            self._cache.complete_at,
        )

    def _choose_source(self) -> _Source:
        """Return from where the next read is made.

        The first VM by rank that has not failed lately reads the log.
        """
        ranked = self._neighbours.rank_neighbours(f'topic|{self._name}')
        source: _Source = _LogSource(shared=False)
        if len(ranked) >= MIN_SHARING_VMS:
            source = self._choose_reader(ranked[:MAX_RANK])
        if source != self._source:
            self._source = source
            _LOGGER.info(
                'topic source; topic=%s source="%s" neighbours=%d',
                self._name,
                _describe(source),
                len(ranked),
            )
        return source

    def _choose_reader(self, ranked: list[siblings.Member]) -> _Source:
        now = self._clock.now()
        for member in ranked:
            if member.name == self._vm_name:
                break
            if self._excluded_until.get(member.name, 0.0) <= now:
                return _SiblingSource(member.name, member.address)
        return _LogSource(shared=True)

    async def _read_sibling(
        self, source: _SiblingSource, position: log.TopicPosition
    ) -> log.KeyedPage:
        wait_until = self._clock.now() + WAIT_SECONDS
        deadline = wait_until + REPLY_MARGIN_SECONDS
        read = siblings.TopicRead(
            self._name,
            False,
            position.epoch,
            position.offset,
            wait_until,
            deadline,
        )
        try:
            page, complete_at = await self._ask(source, read)
        except _SiblingFailed as error:
            self._exclude(source, error)
            # The sibling may have missed records for the whole wait, so the
            # log is asked for what it has now.
            now = self._clock.now()
            return await self._read_log(
                position, now, now + REPLY_MARGIN_SECONDS
            )
        self._cache.extend(page, complete_at)
        return page

    async def _read_log(
        self, position: log.TopicPosition, wait_until: float, deadline: float
    ) -> log.KeyedPage:
        try:
            page = await self._topic.read_from(position, wait_until, deadline)
        except log.TopicUnavailable:
            self._cache.record_failure()
            raise
        self._cache.extend(page, self._clock.now())
        return page

    async def _ask(
        self, source: _SiblingSource, read: siblings.TopicRead
    ) -> tuple[log.KeyedPage, float]:
        """Read from a sibling.

        Returns:
            The records and when they were complete, in epoch seconds.

        Raises:
            HistoryLost: The sibling no longer has the first record.
            EpochChanged: The first record belongs to an earlier epoch.
            _SiblingFailed: The sibling did not answer, cannot read the topic,
                last knew its end too long ago or is of an earlier epoch.
        """
        try:
            answer = await self._neighbours.read_topic(source.address, read)
        except siblings.SiblingUnavailable as error:
            raise _SiblingFailed(str(error)) from error
        match answer:
            case siblings.TopicPage():
                age = self._clock.now() - answer.complete_at
                if age > MAX_AGE_SECONDS:
                    raise _SiblingFailed(f'last complete {age:.1f} s ago')
                records = [
                    log.KeyedRecord(item.key, item.value, item.offset)
                    for item in answer.records
                ]
                if not self._epochs.observe(answer.epoch, source.name):
                    raise _SiblingFailed('the sibling is of an earlier epoch')
                following = log.TopicPosition(answer.epoch, answer.next_offset)
                return log.KeyedPage(records, following), answer.complete_at
            case siblings.TopicHistoryLost(epoch_changed=True):
                raise log.EpochChanged
            case siblings.TopicHistoryLost():
                raise log.HistoryLost
            case siblings.TopicUnavailable():
                raise _SiblingFailed('the sibling cannot read the topic')
            case _:
                typing.assert_never(answer)

    def _exclude(self, source: _SiblingSource, error: Exception) -> None:
        self._excluded_until[source.name] = (
            self._clock.now() + EXCLUDED_SECONDS
        )
        _LOGGER.info(
            'reader excluded; topic=%s vm=%s reason=%s',
            self._name,
            source.name,
            error,
        )


def _describe(source: _Source) -> str:
    match source:
        case _LogSource(shared=shared):
            return 'log, for its data centre' if shared else 'log'
        case _SiblingSource(name=name):
            return name
        case _:
            typing.assert_never(source)
