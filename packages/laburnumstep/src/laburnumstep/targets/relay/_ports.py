"""Interfaces of the relay to callers and targets, and their data classes."""

from __future__ import annotations

import functools
import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _residency
from laburnumstep.targets import _traits
from laburnumstep import transport

Headers = transport.Headers


@attrs.frozen
class PromptShape:
    """Description of a prompt for placement, without its text."""

    model: str
    """Name of the pool of engines that can run it."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    max_tokens: int
    """Upper bound of the answer's length, in tokens."""
    prefixes: list[str]
    """Identifiers of the parts of the prompt, in order. All but the last are
    shared with other prompts."""
    hinted_tokens: float | None = None
    """Answer length that the caller expects, in tokens, if given."""
    parts: tuple[_residency.PromptPart, ...] = ()
    """Parts of the prompt with their lengths, in order, as far as known. All
    but the last are shared with other prompts."""


@attrs.frozen
class RelayRequest:
    """A caller's request, forwarded unchanged."""

    key: str
    """Request key, which identifies one attempt by the caller."""
    workspace: str
    """Name of the workspace; empty for public routes."""
    route: core.Route
    """Route that matched the request."""
    service: str
    """Service that answers it."""
    method: bytes
    """HTTP method."""
    target: bytes
    """Request target: path with query."""
    headers: Headers
    """Headers to forward."""
    body: bytes
    """Complete body."""
    priority: int
    """Requests of higher priority are placed first."""
    arrived_at: float
    """Time of arrival, in epoch seconds."""
    deadline: float
    """Time after which its answer is useless, in epoch seconds."""
    prompt: PromptShape | None = None
    """Description of the prompt, if an engine answers."""
    position: bytes | None = None
    """Last event that the caller received in an earlier attempt."""
    regions: core.Regions = core.AnyRegion()
    """Regions in which the request may run."""

    @functools.cached_property
    def traits(self) -> _traits.Traits:
        """What a crash of its target may be blamed on.

        The last part of a prompt belongs to the request alone, so it is
        covered by the digest of the whole request.
        """
        whole = _traits.WholeRequest(
            _traits.digest_fields(
                self.workspace.encode(),
                self.service.encode(),
                self.method,
                self.target,
                self.body,
            )
        )
        if self.prompt is None:
            return frozenset([whole])
        parts = self.prompt.prefixes[:-1]
        return _traits.list_part_traits(self.prompt.model, parts) | {whole}


@attrs.frozen
class NewRun:
    """A new run starts at the beginning of the answer."""


@attrs.frozen
class ResumedRun:
    """A new run continues the answer after an event."""

    position: bytes
    """Last event that the caller received."""


@attrs.frozen
class ContinuedRun:
    """The same run continues from a copy of its memory."""

    position: bytes
    """Last event that the caller received."""
    copy: str
    """Reference of the copy, as targets understand it."""


Start = NewRun | ResumedRun | ContinuedRun


@attrs.frozen
class Attempt:
    """One attempt of a request at one target."""

    request: RelayRequest
    """The caller's request."""
    target: core.Target
    """Target of the attempt."""
    start: Start
    """Where in the answer the attempt starts."""
    deadline: float
    """Deadline of this attempt, in epoch seconds."""
    backup: core.EngineTarget | None = None
    """Engine that holds a growing copy of the run's memory, if any."""
    on_sent: typing.Callable[[], None] = attrs.field(
        default=lambda: None, eq=False
    )
    """Called before the first byte is sent; from then on the target may have
    received the request."""


@attrs.frozen
class Answered:
    """The target sent a complete response."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers for the caller."""
    body: bytes
    """Complete body."""


@attrs.frozen
class Streaming:
    """The target began to stream its response."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers for the caller."""
    source: EventSource
    """Source of the events."""


@attrs.frozen
class Underway:
    """The target has taken over a run, but its response has not begun.

    Ports do not return it.
    """

    source: EventSource
    """Source of the events. It breaks if the target does not stream."""


@attrs.frozen
class NotRun:
    """The target reported that it did not run the request."""

    reason: str
    """Reason reported by the target."""


@attrs.frozen
class Held:
    """The request was not sent, because the target takes no more for now."""

    until: float
    """When the target may take another request, in epoch seconds."""
    reason: str = 'the limit that the target names is used up'
    """Why it was not sent."""


@attrs.frozen
class Barred:
    """The request was not sent, because it may not run at the target."""

    reason: str
    """Why it may not."""


@attrs.frozen
class NotReached:
    """The request did not reach the target."""

    reason: str
    """What failed."""


@attrs.frozen
class Lost:
    """The target may have run the request, but its response was lost."""

    reason: str
    """What failed."""
    closed: bool = False
    """Whether the target closed or reset the connection."""


Reply = (
    Answered
    | Streaming
    | Underway
    | NotRun
    | Held
    | Barred
    | NotReached
    | Lost
)


def is_running(reply: Reply) -> typing.TypeGuard[Streaming | Underway]:
    """Return whether the target of an attempt runs the stream."""
    return isinstance(reply, Streaming | Underway)


@attrs.frozen
class StreamEvent:
    """One complete event of a stream."""

    data: bytes
    """Encoded event, unchanged."""
    position: bytes | None
    """Identifier of the event, if it has one."""
    tokens: int = 1
    """Number of tokens in the event."""


class StreamBroken(Exception):
    """A stream ended before its end marker arrived.

    Args:
        message: What failed.
        closed: Whether the target closed or reset the connection.
    """

    def __init__(self, message: str, closed: bool = False) -> None:
        super().__init__(message)
        self.closed = closed


class StreamRefused(StreamBroken):
    """A target that was to stream a run has not run it."""


class EventsDelayed(Exception):
    """No complete event arrived before a deadline; the stream is intact."""


class EventSource(typing.Protocol):
    """Source of the events of one run."""

    async def read(self, deadline: float) -> list[StreamEvent] | None:
        """Return the next events, or None at the end of the stream.

        Raises:
            EventsDelayed: No complete event arrived before the deadline. The
                source can be read on.
            StreamBroken: The connection ended.
        """
        ...

    def close(self) -> None:
        """Cancel the run if it has not ended."""
        ...


@attrs.frozen
class Copied:
    """A run's memory was copied to another engine."""

    copy: str
    """Reference of the copy."""


@attrs.frozen
class CopyFailed:
    """A run's memory was not copied."""

    reason: str
    """What failed."""
    refused: bool = True
    """Whether the engine of the run answered; another destination may then
    take the copy."""


CopyResult = Copied | CopyFailed


@attrs.frozen
class Moved:
    """A run was stopped and its memory moved to another engine."""

    copy: str
    """Reference of the memory."""


@attrs.frozen
class Stopped:
    """A run was stopped, but its memory is still at its engine."""

    copy: str
    """Reference of the memory."""


@attrs.frozen
class NotMoved:
    """The engine refused the move; the run goes on there."""

    reason: str
    """What the engine answered."""


@attrs.frozen
class NoSuchRun:
    """The engine answered that it does not have the run."""


@attrs.frozen
class MoveUnknown:
    """No answer arrived; the run may have been stopped."""

    reason: str
    """What failed."""


MoveResult = Moved | Stopped | NotMoved | NoSuchRun | MoveUnknown


@attrs.frozen
class EngineRun:
    """One run in the list that an engine reports."""

    key: str
    """Identifier of the request."""
    tokens: int
    """Memory used by the run, in tokens."""


@attrs.frozen
class RunList:
    """The runs that an engine reports.

    The report is some hundred milliseconds old when it arrives.
    """

    runs: list[EngineRun]
    """The runs, in the order of the report."""


@attrs.frozen
class NoRunList:
    """An engine did not report its runs."""

    reason: str
    """What failed."""
    refused: bool = False
    """Whether nothing accepts connections at the engine's address."""
    answered: bool = False
    """Whether it answered, but without a list that can be read."""


RunListResult = RunList | NoRunList


class TargetPort(typing.Protocol):
    """Sends requests and orders to targets."""

    async def send(self, attempt: Attempt) -> Reply:
        """Send a request; return the response or the start of its stream."""
        ...

    async def copy_run(
        self,
        request: RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> CopyResult:
        """Copy the memory of a run to another engine.

        The run continues on its source.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            destination: Engine that receives the copy.
            deadline: Deadline of the copy, in epoch seconds.
        """
        ...

    async def move_run(
        self,
        request: RelayRequest,
        source: core.Target,
        destination: core.Target,
        deadline: float,
    ) -> MoveResult:
        """Stop a run and move its memory to another engine.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            destination: Engine that receives the memory.
            deadline: Deadline of the move, in epoch seconds.
        """
        ...

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> RunListResult:
        """Return the runs of an engine.

        Args:
            target: The engine.
            deadline: Deadline of the answer, in epoch seconds.
        """
        ...

    def get_backup_reference(
        self, request: RelayRequest, backup: core.EngineTarget
    ) -> str:
        """Return the reference of the copy that a backup engine holds."""
        ...


class AnswerSink(typing.Protocol):
    """Receives the response for a caller."""

    async def answer(self, answer: Answered) -> None:
        """Send a complete response."""
        ...

    async def begin(self, status: int, headers: Headers) -> None:
        """Send status and headers of a streamed response."""
        ...

    async def send(self, data: bytes) -> None:
        """Send encoded events of a stream."""
        ...

    async def finish(self) -> None:
        """End a complete stream."""
        ...
