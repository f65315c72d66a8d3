"""Decides what to do about a run that sends no event.

An engine that preempts a run sends nothing for seconds and goes on later, so
silence alone does not show that it has crashed. Another engine may take the
run only if the first one no longer works on it.
"""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core

FIRST_ASK_SECONDS = 0.5
"""Silence after which the engine is asked for its runs, in seconds. Pauses of
a sound run reach 0.35 s on slow engines."""
ASK_INTERVAL_SECONDS = 0.4
"""Time between two questions, in seconds. It is longer than the timeout of an
answer, 0.3 s."""
ASK_INTERVAL_FRACTION = 0.25
"""Time between two questions to an engine that answers, as a fraction of the
silence, if that is longer than `ASK_INTERVAL_SECONDS`."""
UNANSWERED_ASKS = 2
"""Questions without an answer in time after which an engine counts as gone. A
single one may be late because a VM or a link is busy."""
UNLISTED_SECONDS = 1.0
"""Silence after which a missing entry in the list of runs counts, in seconds.
Reports are up to 0.5 s old."""
MIN_PATIENCE_SECONDS = 2.0
"""Shortest gap after which callers disconnect, in seconds."""
FIRST_ANSWER_PATIENCE = 4.0
"""Gap after which callers disconnect, as a multiple of the objective for the
first event."""
GAP_PATIENCE = 8.0
"""Gap after which callers disconnect, as a multiple of the objective for
pauses."""
MAX_PATIENCE_SECONDS = 60.0
"""Limit on the patience that is computed from objectives, in seconds."""
STOP_MARGIN_SECONDS = 1.0
"""Time before the caller disconnects at which a silent run is moved, in
seconds. Moves within a region take up to 0.7 s."""
FIRST_EVENT_SECONDS = 6.0
"""Time without a first event after which another engine starts the run, in
seconds, if the route allows it."""
GIVE_UP_SECONDS = 10.0
"""Silence after which a stream is broken off, in seconds. Callers disconnect
before it unless their objectives allow longer gaps."""
GIVE_UP_MARGIN_SECONDS = 1.0
"""Time after the caller should have disconnected at which a stream is broken
off, in seconds, if that is later than `GIVE_UP_SECONDS`."""


@attrs.frozen
class NotAsked:
    """The engine has not been asked since the last event."""


@attrs.frozen
class Unanswered:
    """The engine did not answer in time."""

    asks: int
    """Number of questions without an answer, one after the other."""
    refused: bool = False
    """Whether nothing accepts connections at its address."""


@attrs.frozen
class Listed:
    """The engine lists the run."""


@attrs.frozen
class NotListed:
    """The engine lists runs, but not this one."""


@attrs.frozen
class NoRunsKnown:
    """The engine answers, but has never listed a run.

    A missing entry then tells nothing.
    """


@attrs.frozen
class NotAskable:
    """The target is no engine and lists no runs."""


EngineAnswer = (
    NotAsked | Unanswered | Listed | NotListed | NoRunsKnown | NotAskable
)


@attrs.frozen
class SilentRun:
    """What is known about a run that has sent no event for a while."""

    now: float
    """Current time, in epoch seconds."""
    last_event_at: float
    """When it sent its last new event, or began, in epoch seconds."""
    begun: bool
    """Whether it has sent an event."""
    patience_seconds: float
    """Gap after which the caller disconnects, in seconds."""
    answer: EngineAnswer
    """What its engine last answered."""
    can_continue: bool
    """Whether another engine holds a copy or may start the run anew."""
    may_move: bool
    """Whether its memory may be moved to another engine."""
    move_from: float = 0.0
    """When a refused move may be tried again, in epoch seconds."""
    is_continued: bool = False
    """Whether it began from a copy, so that its engine admits it first."""

    @property
    def disconnects_at(self) -> float:
        """When the caller disconnects, in epoch seconds."""
        return self.last_event_at + self.patience_seconds


@attrs.frozen
class KeepWaiting:
    """Read on until a time and decide again."""

    until: float
    """The time, in epoch seconds."""
    ask: bool = True
    """Whether to ask the engine for its runs meanwhile."""


@attrs.frozen
class ContinueElsewhere:
    """Another engine takes the run; its engine no longer works on it."""

    reason: str
    """Why the engine is taken for gone."""


@attrs.frozen
class StopFirst:
    """The engine is asked to stop the run and to move its memory.

    Only then may another engine take it.
    """

    reason: str
    """Why the run is moved."""


@attrs.frozen
class GiveUp:
    """The stream counts as broken."""

    reason: str
    """Why it is given up."""


SilenceDecision = KeepWaiting | ContinueElsewhere | StopFirst | GiveUp


def compute_patience(route: core.Route) -> float:
    """Return the gap after which callers of a route disconnect, in seconds."""
    first = FIRST_ANSWER_PATIENCE * (route.first_answer_seconds or 0.0)
    gap = GAP_PATIENCE * (route.gap_seconds or 0.0)
    return min(MAX_PATIENCE_SECONDS, max(MIN_PATIENCE_SECONDS, first, gap))


def decide(run: SilentRun) -> SilenceDecision:
    """Decide what to do about a run without new events.

    Args:
        run: What is known about the run.
    """
    gives_up_at = _compute_give_up(run)
    if run.now >= gives_up_at:
        silent = run.now - run.last_event_at
        return GiveUp(f'no new event for {silent:.1f} s')
    match run.answer:
        case NotAsked():
            first_ask = run.last_event_at + FIRST_ASK_SECONDS
            if run.now < first_ask:
                return KeepWaiting(first_ask, ask=False)
        case Unanswered(asks=asks, refused=refused):
            if run.can_continue and (refused or asks >= UNANSWERED_ASKS):
                return ContinueElsewhere('the engine does not answer')
        case NotListed() if _is_lost_at_start(run):
            return ContinueElsewhere('the engine has not begun the run')
        case NotListed() | Listed() | NoRunsKnown():
            if _is_move_due(run):
                return StopFirst(_explain_move(run))
        case NotAskable():
            move_at = run.disconnects_at - STOP_MARGIN_SECONDS
            if run.can_continue and run.now >= move_at:
                return ContinueElsewhere('the caller is about to disconnect')
            return KeepWaiting(
                min(gives_up_at, max(move_at, run.now + ASK_INTERVAL_SECONDS)),
                ask=False,
            )
        case _:
            typing.assert_never(run.answer)
    return KeepWaiting(min(_compute_next(run), gives_up_at))


def _compute_give_up(run: SilentRun) -> float:
    seconds = max(
        GIVE_UP_SECONDS, run.patience_seconds + GIVE_UP_MARGIN_SECONDS
    )
    if not run.begun and run.can_continue:
        seconds = max(FIRST_EVENT_SECONDS, run.patience_seconds)
    return run.last_event_at + seconds


def _compute_move(run: SilentRun) -> float:
    """Return when to move the run, in epoch seconds."""
    if isinstance(run.answer, NotListed):
        due = run.last_event_at + UNLISTED_SECONDS
    else:
        due = run.disconnects_at - STOP_MARGIN_SECONDS
    return max(due, run.move_from)


def _is_move_due(run: SilentRun) -> bool:
    return run.begun and run.may_move and run.now >= _compute_move(run)


def _is_lost_at_start(run: SilentRun) -> bool:
    """Return whether an engine that does not list a run will not begin it.

    A run that begins from a copy does not wait in the engine's queue.
    """
    is_due = run.now >= run.last_event_at + UNLISTED_SECONDS
    return not run.begun and run.is_continued and run.can_continue and is_due


def _explain_move(run: SilentRun) -> str:
    if isinstance(run.answer, NotListed):
        return 'the engine does not list the run'
    return 'the caller is about to disconnect'


def _compute_next(run: SilentRun) -> float:
    """Return when to ask and decide again, in epoch seconds."""
    if isinstance(run.answer, Unanswered):
        return run.now + ASK_INTERVAL_SECONDS
    silent = run.now - run.last_event_at
    until = run.now + max(ASK_INTERVAL_SECONDS, ASK_INTERVAL_FRACTION * silent)
    move_at = _compute_move(run)
    return move_at if run.now < move_at < until else until
