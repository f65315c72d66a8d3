"""What the relay of requests asks of the sides of caller and target."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import transport

if typing.TYPE_CHECKING:
    from laburnumstep import core

Headers = transport.Headers


@attrs.frozen
class PromptShape:
    """What a caller tells of a prompt without the prompt itself."""

    model: str
    """Pool of engines that can run it."""
    prompt_tokens: int
    """Length of the prompt, in tokens."""
    max_tokens: int
    """Upper bound of the answer, in tokens."""
    prefixes: list[str]
    """Prefixes that it shares with other prompts, shortest first."""
    hinted_tokens: float | None = None
    """Length of the answer that the caller expects, in tokens, if any."""


@attrs.frozen
class RelayRequest:
    """A caller's request that is forwarded as it came."""

    key: str
    """Identifier of the caller's attempt."""
    workspace: str
    """Name of the workspace; empty for public routes."""
    route: core.Route
    """The route that it takes."""
    service: str
    """Service that answers it."""
    method: bytes
    """HTTP method."""
    target: bytes
    """Path with its query."""
    headers: Headers
    """Headers that are passed on."""
    body: bytes
    """The whole body."""
    priority: int
    """Higher goes first."""
    arrived_at: float
    """When it arrived, in epoch seconds."""
    deadline: float
    """Time after which its answer is useless, in epoch seconds."""
    prompt: PromptShape | None = None
    """Its prompt, where an engine answers."""
    position: bytes | None = None
    """Last event that the caller received of an earlier attempt."""


@attrs.frozen
class Fresh:
    """The request runs from its beginning."""


@attrs.frozen
class Resumed:
    """Another run goes on after an event."""

    position: bytes
    """Last event that the caller received."""


@attrs.frozen
class Continued:
    """The same run goes on from a copy of its memory."""

    position: bytes
    """Last event that the caller received."""
    copy: str
    """Reference of the copy, as targets understand it."""


Start = Fresh | Resumed | Continued


@attrs.frozen
class Attempt:
    """One send of a request to one target."""

    request: RelayRequest
    """The caller's request."""
    target: core.Target
    """Where it is sent."""
    start: Start
    """Where it begins."""
    deadline: float
    """When to give up on this target, in epoch seconds."""
    backup: core.EngineTarget | None = None
    """Engine that keeps a copy of the run's memory as it grows."""


@attrs.frozen
class Answered:
    """The target's whole answer."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers for the caller."""
    body: bytes
    """The whole body."""


@attrs.frozen
class Streaming:
    """The target answers with a stream."""

    status: int
    """HTTP status."""
    headers: Headers
    """Headers for the caller."""
    source: EventSource
    """The events."""


@attrs.frozen
class NotRun:
    """The target said that it did not run the request."""

    reason: str
    """What it said."""


@attrs.frozen
class NotReached:
    """The target cannot have seen the request."""

    reason: str
    """What failed."""


@attrs.frozen
class Lost:
    """The target may have run the request; its answer is lost."""

    reason: str
    """What failed."""


Reply = Answered | Streaming | NotRun | NotReached | Lost


@attrs.frozen
class StreamEvent:
    """One whole event of a stream."""

    data: bytes
    """The event as it was sent."""
    position: bytes | None
    """Its identifier, where it has one."""
    tokens: int = 1
    """Tokens that it carries."""


class StreamBroken(Exception):
    """A stream ended before its end was sent."""


class EventSource(typing.Protocol):
    """Events of one run."""

    async def read(self, deadline: float) -> list[StreamEvent] | None:
        """Return the next events, or None at the end of the stream.

        Raises:
            StreamBroken: No whole event came before the deadline, or the
                connection ended.
        """
        ...

    def close(self) -> None:
        """End the run if it still goes on."""
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
    copy: str | None = None
    """Reference under which the source keeps a run that it stopped."""


CopyResult = Copied | CopyFailed


@attrs.frozen
class EngineRun:
    """One run in an engine's own list."""

    key: str
    """Identifier of the request."""
    tokens: int
    """Memory that it holds, in tokens."""


class TargetPort(typing.Protocol):
    """Sends requests to targets."""

    async def send(self, attempt: Attempt) -> Reply:
        """Send a request and return the beginning of its answer."""
        ...

    async def copy_run(
        self,
        request: RelayRequest,
        source: core.Target,
        destination: core.Target,
        stop: bool,
        deadline: float,
    ) -> CopyResult:
        """Copy the memory of a run to another engine.

        Args:
            request: The request that runs.
            source: Engine that runs it.
            destination: Engine that gets the copy.
            stop: Whether the run ends with this copy.
            deadline: When to give up, in epoch seconds.
        """
        ...

    async def list_runs(
        self, target: core.Target, deadline: float
    ) -> list[EngineRun]:
        """Return the runs of an engine; none when it does not answer."""
        ...

    def refer_backup(
        self, request: RelayRequest, backup: core.EngineTarget
    ) -> str:
        """Return the reference of the copy that a backup keeps."""
        ...


class AnswerSink(typing.Protocol):
    """Where an answer goes."""

    async def answer(self, answer: Answered) -> None:
        """Hand over a whole answer."""
        ...

    async def begin(self, status: int, headers: Headers) -> None:
        """Hand over the beginning of a stream."""
        ...

    async def send(self, data: bytes) -> None:
        """Hand over events of a stream."""
        ...

    async def finish(self) -> None:
        """Hand over the end of a whole stream."""
        ...
