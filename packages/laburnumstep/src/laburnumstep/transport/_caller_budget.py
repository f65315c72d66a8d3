"""Decides which callers are slowed, refused or closed when memory is short."""

from __future__ import annotations

import enum
import typing

import attrs

CONNECTION_BYTES = 6 * 1024
"""Memory of an open connection without bytes; 4 to 5 KB were measured."""
REQUEST_BYTES = 48 * 1024
"""Memory of a request in progress beside its bytes: 28 KB were measured while
600 requests waited for a server, and 38 KB when they had ended, before the
collector ran."""
READ_AHEAD_BYTES = 32 * 1024
"""Memory of what was read from the target of a stream whose caller does not
read: at most 16 KiB, and a copy of its events."""
LARGE_BYTES = 64 * 1024
"""Bytes from which a caller counts as one that holds much. Smaller ones are
not slowed, and are refused or closed only when no larger one is left."""
PAUSE_FRACTION = 0.75
"""Fraction of the budget from which reading stops for the callers that hold
most."""
RESUME_FRACTION = 0.5
"""Fraction of the budget below which all callers are read again."""
MAX_PAUSE_SECONDS = 2.0
"""How long callers may be paused before the largest one is refused, in
seconds. The others may wait for bytes that never come."""
UNREAD_SECONDS = 30.0
"""How long a caller may accept no byte of its answer, in seconds."""


PROCESS_BYTES = 96_000_000
"""Memory that a process needs beside what it holds for callers. It takes 61 MB
at its start; answers of targets that are being read add up to 16 MiB, and the
rest is for the state of the fleet and for fragmentation."""
MIN_BUDGET_BYTES = 8_000_000
"""Least budget, in bytes. A body of 4 MiB always fits."""
DEFAULT_MEMORY_BYTES = 128_000_000
"""Memory limit that applies if the settings have none: that of the smallest
VM."""
DEFAULT_DESCRIPTORS = 1638
"""Descriptor limit that applies if the settings have none."""
RESERVED_DESCRIPTORS = 264
"""Descriptors that callers and their requests do not take: 200 that are
reserved for files, and 64 for the store, siblings and reports."""


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    """No byte of a request has arrived since the last answer."""
    HEAD = 'head'
    """A head has begun to arrive."""
    BODY = 'body'
    """The head of a request is complete, its body is not. It does not run."""
    RUNNING = 'running'
    """A request is complete and has no complete answer."""


@attrs.frozen
class CallerLimits:
    """Limits on what a process holds for callers."""

    max_bytes: int
    """Budget of all connections together, in bytes."""
    max_connections: int
    """Most connections of callers."""
    max_descriptors: int
    """Most descriptors for connections of callers and of their requests."""


def make_limits(
    memory_bytes: int | None, descriptors: int | None
) -> CallerLimits:
    """Return the limits for a process.

    Args:
        memory_bytes: Memory limit of the VM, in bytes, if it is known.
        descriptors: Descriptor limit of the VM, if it is known.
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    descriptors = descriptors or DEFAULT_DESCRIPTORS
    # A body is held twice for a moment, when it is complete and when it is
    # sent, so only half of the memory that is left is given away.
    budget = max(MIN_BUDGET_BYTES, (memory_bytes - PROCESS_BYTES) // 2)
    usable = max(2, descriptors - RESERVED_DESCRIPTORS)
    # Each request in progress needs a second descriptor for its target.
    return CallerLimits(budget, usable * 3 // 4, usable)


@attrs.frozen
class CallerTimeouts:
    """How long a caller may take for a request."""

    head_seconds: float
    """Time for a head from its first byte, in seconds."""
    body_seconds: float
    """Longest pause in a body, in seconds."""


@attrs.define(eq=False)
class Holder:
    """What the process holds for one connection."""

    progress_at: float
    """When bytes were last received or accepted, in epoch seconds."""
    phase_since: float
    """When the phase began, in epoch seconds."""
    phase: Phase = Phase.IDLE
    """What the connection is doing."""
    input_bytes: int = 0
    """Bytes received for requests that have no complete answer."""
    output_bytes: int = 0
    """Bytes of answers that wait in this process."""
    unaccepted_bytes: int = 0
    """Bytes of answers that the peer has not accepted, in the kernel too."""
    paused_at: float | None = None
    """When reading was stopped, in epoch seconds; None if it was not."""
    is_request: bool = False
    """Whether a request is in progress."""
    is_shed: bool = False
    """Whether the connection was refused or closed; it then counts 0."""

    @property
    def held_bytes(self) -> int:
        """Bytes that count against the budget."""
        if self.is_shed:
            return 0
        held = CONNECTION_BYTES + self.input_bytes + self.output_bytes
        if self.is_request:
            held += REQUEST_BYTES
            held += READ_AHEAD_BYTES if self.output_bytes else 0
        return held

    @property
    def is_expendable(self) -> bool:
        """Whether its end loses no answer that its caller waits for."""
        return self.phase is not Phase.RUNNING or self.output_bytes > 0


@attrs.frozen
class PauseReading:
    """Stop reading from a connection."""

    holder: Holder


@attrs.frozen
class ResumeReading:
    """Read from a connection again."""

    holder: Holder


@attrs.frozen
class Refuse:
    """Answer a request whose body is incomplete, and close the connection."""

    holder: Holder
    status: int
    """HTTP status; it states that the request has not run."""
    reason: str


@attrs.frozen
class Close:
    """Close a connection at once."""

    holder: Holder
    reason: str


Action = PauseReading | ResumeReading | Refuse | Close


class CallerBudget:
    """Counts what a process holds for callers and sheds the largest holder.

    Args:
        limits: The limits.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._holders: set[Holder] = set()
        self._paused: set[Holder] = set()
        self._held_bytes = 0
        self._requests = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that count against the budget."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Connections that were neither closed nor shed."""
        return len(self._holders)

    def open(
        self, now: float, descriptor: int = 0
    ) -> tuple[Holder, list[Action]]:
        """Add a connection; make room for it if there are too many.

        Args:
            now: The time, in epoch seconds.
            descriptor: Descriptor of the connection. All lower ones are in
                use, since the system gives the lowest free one.
        """
        actions: list[Action] = []
        holder = Holder(now, now)
        too_many = len(self._holders) >= self._limits.max_connections
        if too_many or descriptor >= self._limits.max_descriptors:
            victim = self._find_oldest() or holder
            actions.append(self._close(victim, 'too many connections'))
        if not holder.is_shed:
            self._holders.add(holder)
            self._held_bytes += holder.held_bytes
        return holder, actions + self._shed()

    def record(
        self,
        holder: Holder,
        phase: Phase,
        input_bytes: int,
        output_bytes: int,
        now: float,
    ) -> list[Action]:
        """Record that bytes of a connection were received or accepted."""
        if holder not in self._holders:
            return []
        self._held_bytes -= holder.held_bytes
        if phase is not holder.phase or holder.phase is Phase.IDLE:
            holder.phase_since = now
        holder.phase = phase
        holder.input_bytes = input_bytes
        holder.output_bytes = output_bytes
        holder.progress_at = now
        self._held_bytes += holder.held_bytes
        return self._slow_down(now) + self._shed() + self._resume(now)

    def record_output(
        self, holder: Holder, output: int, unaccepted: int, now: float
    ) -> list[Action]:
        """Record what a peer has not accepted of its answers.

        Args:
            holder: The connection.
            output: Bytes that wait in this process.
            unaccepted: Bytes that wait here or in the kernel.
            now: The time, in epoch seconds.
        """
        if holder not in self._holders:
            return []
        self._held_bytes -= holder.held_bytes
        holder.output_bytes = output
        self._held_bytes += holder.held_bytes
        if unaccepted != holder.unaccepted_bytes or not output:
            holder.progress_at = now
        if not output:
            # The next head could not be read until now.
            holder.phase_since = now
        holder.unaccepted_bytes = unaccepted
        return self._shed() + self._resume(now)

    def begin_request(
        self, holder: Holder, now: float
    ) -> tuple[bool, list[Action]]:
        """Begin a request if there is room for it.

        Returns:
            Whether the request may run, and what makes room for it.
        """
        if holder not in self._holders:
            return False, []
        actions: list[Action] = []
        self._set_request(holder, True)
        descriptors = len(self._holders) + self._requests
        if descriptors > self._limits.max_descriptors:
            idle = self._find_oldest(Phase.IDLE, Phase.HEAD)
            if idle is None:
                self._set_request(holder, False)
                return False, []
            actions.append(self._close(idle, 'too many connections'))
        actions += self._shed(holder)
        if self._held_bytes > self._limits.max_bytes:
            self._set_request(holder, False)
            return False, actions
        return True, actions

    def end_request(self, holder: Holder) -> None:
        """Record that a request has ended."""
        if holder.is_request:
            self._set_request(holder, False)

    def close(self, holder: Holder, now: float) -> list[Action]:
        """Remove a connection that was closed."""
        self._remove(holder)
        return self._resume(now)

    def check(self, now: float, timeouts: CallerTimeouts) -> list[Action]:
        """Refuse or close connections that have stalled."""
        actions: list[Action] = []
        for holder in list(self._holders):
            action = self._check_holder(holder, now, timeouts)
            if action is not None:
                actions.append(action)
        self._shed_paused(now, actions)
        return actions + self._resume(now)

    def _check_holder(
        self, holder: Holder, now: float, timeouts: CallerTimeouts
    ) -> Action | None:
        quiet = now - holder.progress_at
        if holder.output_bytes:
            if quiet > UNREAD_SECONDS:
                return self._close(holder, 'the answer is not read')
            return None
        if holder.paused_at is not None:
            return None
        match holder.phase:
            case Phase.HEAD:
                if now - holder.phase_since > timeouts.head_seconds:
                    return self._close(holder, 'the head is incomplete')
            case Phase.BODY:
                if quiet > timeouts.body_seconds:
                    return self._refuse(holder, 408, 'the body has stalled')
            case Phase.IDLE | Phase.RUNNING:
                pass
            case _:
                typing.assert_never(holder.phase)
        return None

    def _shed_paused(self, now: float, actions: list[Action]) -> None:
        """Refuse large bodies if others were paused for too long."""
        expired = now - MAX_PAUSE_SECONDS
        while self._held_bytes > RESUME_FRACTION * self._limits.max_bytes:
            waiting = (h.paused_at for h in self._paused)
            if not any(at is not None and at <= expired for at in waiting):
                return
            # Bodies that have stalled by themselves go first: the paused
            # ones wait for room.
            stalled = [
                h
                for h in self._holders
                if h.phase is Phase.BODY
                and h.paused_at is None
                and h.progress_at <= expired
                and h.held_bytes >= LARGE_BYTES
            ]
            victim = max(stalled or self._paused, key=_rank)
            actions.append(self._refuse(victim, 503, 'memory is short'))

    def _slow_down(self, now: float) -> list[Action]:
        """Stop reading from the largest body if the budget is nearly used."""
        if self._held_bytes <= PAUSE_FRACTION * self._limits.max_bytes:
            return []
        large = [
            holder
            for holder in self._holders
            if holder.phase is Phase.BODY
            and holder.paused_at is None
            and holder.held_bytes >= LARGE_BYTES
        ]
        if not large:
            return []
        holder = max(large, key=_rank)
        holder.paused_at = now
        self._paused.add(holder)
        return [PauseReading(holder)]

    def _resume(self, now: float) -> list[Action]:
        if self._held_bytes >= RESUME_FRACTION * self._limits.max_bytes:
            return []
        actions: list[Action] = []
        for holder in self._paused:
            holder.paused_at = None
            holder.progress_at = now
            actions.append(ResumeReading(holder))
        self._paused.clear()
        return actions

    def _shed(self, newcomer: Holder | None = None) -> list[Action]:
        """Refuse or close the largest holders until the budget suffices."""
        actions: list[Action] = []
        while self._held_bytes > self._limits.max_bytes:
            victim = self._choose_victim(newcomer)
            if victim is None:
                break
            if victim.phase is Phase.BODY:
                actions.append(self._refuse(victim, 503, 'memory is short'))
            else:
                actions.append(self._close(victim, 'memory is short'))
        return actions

    def _choose_victim(self, newcomer: Holder | None) -> Holder | None:
        """Return the connection to shed, or None.

        Large holders go before small ones, and those whose end loses no
        answer before those that wait for one.
        """
        others = [h for h in self._holders if h is not newcomer]
        expendable = [h for h in others if h.is_expendable]
        for group in (expendable, others):
            large = [h for h in group if h.held_bytes >= LARGE_BYTES]
            if large:
                return max(large, key=_rank)
        return max(expendable, key=_rank, default=None)

    def _find_oldest(self, *phases: Phase) -> Holder | None:
        """Return the connection without progress for the longest time.

        Args:
            *phases: Phases to consider; none for all in which no answer is
                waited for.
        """
        idle = [
            holder
            for holder in self._holders
            if (holder.phase in phases if phases else holder.is_expendable)
        ]
        return min(idle, key=lambda h: h.progress_at, default=None)

    def _refuse(self, holder: Holder, status: int, reason: str) -> Refuse:
        self._remove(holder)
        return Refuse(holder, status, reason)

    def _close(self, holder: Holder, reason: str) -> Close:
        self._remove(holder)
        return Close(holder, reason)

    def _remove(self, holder: Holder) -> None:
        if holder in self._holders:
            self._holders.remove(holder)
            self._held_bytes -= holder.held_bytes
            self._requests -= holder.is_request
        holder.is_request = False
        self._paused.discard(holder)
        holder.paused_at = None
        holder.is_shed = True

    def _set_request(self, holder: Holder, is_request: bool) -> None:
        self._held_bytes -= holder.held_bytes
        self._requests += int(is_request) - int(holder.is_request)
        holder.is_request = is_request
        self._held_bytes += holder.held_bytes


def _rank(holder: Holder) -> tuple[int, float]:
    """Return the order of shedding: large ones first, then quiet ones."""
    return holder.held_bytes, -holder.progress_at
