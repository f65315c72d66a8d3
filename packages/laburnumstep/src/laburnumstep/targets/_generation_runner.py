"""Runs one generation to its end for one caller."""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep.targets import _engine_client
from laburnumstep.targets import _engine_events
from laburnumstep.targets import _generation_ports
from laburnumstep.targets import _retry_decisions
from laburnumstep.targets import _stream_follower

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _abandoned

CANCEL_SECONDS = 1.0
"""Longest wait for an engine to cancel, in seconds."""

_LOGGER = core.get_logger('targets')


class Moved(Exception):
    """The request goes to another engine before this one is reclaimed."""


class GenerationRunner:
    """Runs generations, on another engine where that is safe.

    Args:
        placer: Finds engines.
        clock: The time.
        abandoned: Takes generations whose callers are gone.
    """

    def __init__(
        self,
        placer: _generation_ports.Placer,
        clock: core.Clock,
        abandoned: _abandoned.AbandonedGenerations,
    ) -> None:
        self._placer = placer
        self._clock = clock
        self._abandoned = abandoned
        self._attempts: dict[str, _Attempt] = {}

    def move(self, generations: list[str]) -> None:
        """Run generations on other engines, where no token was delivered.

        Args:
            generations: Identifiers, the ones to move first in front.
        """
        for generation in generations:
            attempt = self._attempts.get(generation)
            if attempt is not None and not attempt.delivered:
                attempt.move()

    async def run(
        self, request: core.Generation, sink: _generation_ports.GenerationSink
    ) -> None:
        """Run a generation and hand its whole answer to a sink.

        Args:
            request: What to generate.
            sink: Where the tokens go.

        Raises:
            CodedError: The answer is not whole.
        """
        excluded: frozenset[str] = frozenset()
        started = False
        while True:
            try:
                placement = await self._placer.place(request, excluded)
            except core.CodedError as error:
                if started:
                    error.outcome = core.Outcome.RAN
                raise
            attempt = _Attempt(self._clock, placement, request, sink)
            self._attempts[attempt.generation] = attempt
            try:
                await attempt.run()
                return
            except Moved:
                # The engine is not at fault, so this is no retry.
                started = True
                excluded |= {attempt.target}
                await attempt.abandon()
            except anyio.get_cancelled_exc_class():
                self._abandoned.add(attempt.target, attempt.generation)
                raise
            except (
                _stream_follower.EngineLost,
                _stream_follower.EngineGaveUp,
            ) as error:
                started = started or attempt.started
                await attempt.abandon()
                excluded = self._exclude(
                    request, attempt, excluded, started, error
                )
            finally:
                del self._attempts[attempt.generation]

    async def resume(
        self,
        placement: _generation_ports.GenerationPlace,
        position: int,
        deadline: float,
        sink: _generation_ports.GenerationSink,
    ) -> None:
        """Hand the rest of a generation to a sink.

        Args:
            placement: Where the generation runs.
            position: Position of the first token that is wanted.
            deadline: When to give up, in epoch seconds.
            sink: Where the tokens go.

        Raises:
            CodedError: The answer is not whole.
        """
        state = _engine_events.StreamPosition(placement.generation, position)
        follower = _stream_follower.StreamFollower(
            self._clock, placement, state, sink.send
        )
        follower.unreachable_seconds = (
            _stream_follower.SHOWN_UNREACHABLE_SECONDS
        )
        try:
            tokens = await follower.resume(deadline)
            await sink.finish(placement.generation, tokens)
        except anyio.get_cancelled_exc_class():
            self._abandoned.add(placement.target, placement.generation)
            raise
        except _stream_follower.EngineLost as error:
            raise _lost_error(error, self._clock.now()) from error
        except _stream_follower.EngineGaveUp as error:
            if _is_cancelled(error):
                raise _cancelled_error() from error
            raise _lost_error(error, self._clock.now()) from error
        finally:
            # The length of a resumed answer is learned where it began.
            placement.release(complete=False)

    def _exclude(
        self,
        request: core.Generation,
        attempt: _Attempt,
        excluded: frozenset[str],
        started: bool,
        error: _stream_follower.EngineLost | _stream_follower.EngineGaveUp,
    ) -> frozenset[str]:
        """Return the engines to avoid, or raise when there is no retry."""
        if _is_cancelled(error):
            raise _cancelled_error() from error
        outcome = core.Outcome.RAN if started else core.Outcome.NOT_RUN
        failed = _generation_ports.FailedRun(
            attempt.target, excluded, outcome, attempt.delivered
        )
        decision = self._placer.decide_retry(request, failed)
        match decision:
            case _retry_decisions.Retry():
                _LOGGER.info(
                    'retry; request=%s failed=%s reason=%s',
                    request.key,
                    attempt.target,
                    error,
                )
                return decision.excluded
            case _retry_decisions.GiveUp():
                raise core.CodedError(
                    decision.code,
                    f'the engine failed: {error}',
                    decision.outcome,
                    decision.resend,
                    self._clock.now() if decision.resend else None,
                ) from error
            case _:
                typing.assert_never(decision)


def _is_cancelled(error: Exception) -> bool:
    return (
        isinstance(error, _stream_follower.EngineGaveUp)
        and error.code == 'cancelled'
    )


def _lost_error(error: Exception, now: float) -> core.CodedError:
    # Another generation would differ from the tokens that the caller holds,
    # so the caller has to start over.
    return core.CodedError(
        core.ErrorCode.GENERATION_LOST,
        f'the engine lost the generation: {error}',
        core.Outcome.RAN,
        resend=True,
        resend_at=now,
    )


def _cancelled_error() -> core.CodedError:
    return core.CodedError(
        core.ErrorCode.GENERATION_CANCELLED,
        'the generation was cancelled',
        core.Outcome.RAN,
    )


class _Attempt:
    """One generation of a request on one engine."""

    def __init__(
        self,
        clock: core.Clock,
        placement: _generation_ports.GenerationPlace,
        request: core.Generation,
        sink: _generation_ports.GenerationSink,
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._request = request
        self._sink = sink
        self._held: list[bytes] = []
        self._position = _engine_events.StreamPosition(placement.generation)
        self._follower = _stream_follower.StreamFollower(
            clock, placement, self._position, self._deliver
        )
        self._announced = False
        self._scope = anyio.CancelScope()
        self.started = True

    @property
    def target(self) -> str:
        return self._placement.target

    @property
    def generation(self) -> str:
        return self._position.generation

    @property
    def delivered(self) -> int:
        return self._position.following if self._announced else 0

    def move(self) -> None:
        """End the attempt so that the request runs on another engine."""
        self._scope.cancel()

    async def run(self) -> None:
        complete = False
        request = self._request
        start = _engine_client.StartGeneration(
            self._position.generation,
            request.model,
            request.prompt,
            request.max_tokens,
            request.priority,
        )
        try:
            with self._scope:
                tokens = await self._follower.start(start, request.deadline)
                complete = True
            if not complete:
                raise Moved
            await self._hand_over(tokens)
        except _stream_follower.EngineLost as error:
            self.started = error.started
            self._placement.record_loss(error.crashed)
            raise
        finally:
            self._placement.release(complete)

    async def _hand_over(self, tokens: int) -> None:
        """Send what is held back, and the end of the answer."""
        if not self._announced:
            await self._announce()
            await self._sink.send(self._held)
        await self._sink.finish(self._position.generation, tokens)

    async def abandon(self) -> None:
        """Cancel the generation where the engine may still run it."""
        if not self.started:
            return
        deadline = self._clock.now() + CANCEL_SECONDS
        try:
            await self._placement.client.cancel(
                self._position.generation, deadline
            )
        except _engine_client.StreamBroken as error:
            _LOGGER.info('cancel was not confirmed; reason=%s', error)

    async def _announce(self) -> None:
        self._announced = True
        self._follower.unreachable_seconds = (
            _stream_follower.SHOWN_UNREACHABLE_SECONDS
        )
        await self._sink.accept(
            _generation_ports.PlacedGeneration(
                self._request, self._position.generation, self.target
            )
        )

    async def _deliver(self, events: list[bytes]) -> None:
        match self._request.delivery:
            case core.Delivery.WHOLE:
                self._held.extend(events)
            case core.Delivery.STREAM:
                if not self._announced:
                    await self._announce()
                await self._sink.send(events)
            case _:
                typing.assert_never(self._request.delivery)
