"""Execution of generations, with retries on other engines."""

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
"""Longest wait for an engine to confirm a cancellation, in seconds."""

_LOGGER = core.get_logger('targets')


class Moved(Exception):
    """The attempt was stopped so that the request runs on another engine."""


class GenerationRunner:
    """Runs generations and retries them on other engines where safe.

    Args:
        placer: Assigns engines to generations.
        clock: Clock for deadlines.
        abandoned: Cancels generations whose callers have disconnected.
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
        """Move generations to other engines.

        Generations of which the caller has received tokens stay where they
        are. Unknown identifiers are ignored.

        Args:
            generations: Identifiers, in the order of moving.
        """
        for generation in generations:
            attempt = self._attempts.get(generation)
            if attempt is not None and not attempt.delivered:
                attempt.move()

    async def run(
        self, request: core.Generation, sink: _generation_ports.GenerationSink
    ) -> None:
        """Run a generation and send its answer to a sink.

        Args:
            request: The request.
            sink: Receives the tokens.

        Raises:
            CodedError: The answer is not complete.
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
                # The engine did not fail, so this does not count as a
                # retry.
                started = True
                excluded |= {attempt.target}
                await attempt.cancel()
            except anyio.get_cancelled_exc_class():
                self._abandoned.add(attempt.target, attempt.generation)
                raise
            except (
                _stream_follower.EngineFailed,
                _stream_follower.GenerationFailed,
            ) as error:
                started = started or attempt.started
                await attempt.cancel()
                excluded = self._decide_retry(
                    request, attempt, excluded, started, error
                )
            finally:
                del self._attempts[attempt.generation]

    async def resume(
        self,
        placement: _generation_ports.GenerationPlacement,
        position: int,
        deadline: float,
        sink: _generation_ports.GenerationSink,
    ) -> None:
        """Send the rest of a generation's answer to a sink.

        Args:
            placement: The engine that runs the generation.
            position: Position of the first token to send.
            deadline: When to give up, in epoch seconds.
            sink: Receives the tokens.

        Raises:
            CodedError: The answer is not complete.
        """
        state = _engine_events.StreamPosition(placement.generation, position)
        follower = _stream_follower.StreamFollower(
            self._clock, placement, state, sink.send
        )
        follower.unreachable_seconds = (
            _stream_follower.DELIVERED_UNREACHABLE_SECONDS
        )
        try:
            tokens = await follower.resume(deadline)
            await sink.finish(placement.generation, tokens)
        except anyio.get_cancelled_exc_class():
            self._abandoned.add(placement.target, placement.generation)
            raise
        except _stream_follower.EngineFailed as error:
            raise _make_generation_lost_error(
                error, self._clock.now()
            ) from error
        except _stream_follower.GenerationFailed as error:
            if _is_cancelled(error):
                raise _make_cancelled_error() from error
            raise _make_generation_lost_error(
                error, self._clock.now()
            ) from error
        finally:
            # The VM that began the generation learns its length.
            placement.release(complete=False)

    def _decide_retry(
        self,
        request: core.Generation,
        attempt: _Attempt,
        excluded: frozenset[str],
        started: bool,
        error: _stream_follower.EngineFailed
        | _stream_follower.GenerationFailed,
    ) -> frozenset[str]:
        """Return the engines to exclude from the retry.

        Raises:
            CodedError: The request is not retried.
        """
        if _is_cancelled(error):
            raise _make_cancelled_error() from error
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
        isinstance(error, _stream_follower.GenerationFailed)
        and error.code == 'cancelled'
    )


def _make_generation_lost_error(
    error: Exception, now: float
) -> core.CodedError:
    # Another generation would not continue the tokens that the caller has
    # received, so the caller has to start over.
    return core.CodedError(
        core.ErrorCode.GENERATION_LOST,
        f'the engine lost the generation: {error}',
        core.Outcome.RAN,
        resend=True,
        resend_at=now,
    )


def _make_cancelled_error() -> core.CodedError:
    return core.CodedError(
        core.ErrorCode.GENERATION_CANCELLED,
        'the generation was cancelled',
        core.Outcome.RAN,
    )


class _Attempt:
    """One attempt of a request: one generation on one engine."""

    def __init__(
        self,
        clock: core.Clock,
        placement: _generation_ports.GenerationPlacement,
        request: core.Generation,
        sink: _generation_ports.GenerationSink,
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._request = request
        self._sink = sink
        self._buffered: list[bytes] = []
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
        return self._position.next_position if self._announced else 0

    def move(self) -> None:
        """Stop the attempt so that the request runs on another engine."""
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
            await self._complete(tokens)
        except _stream_follower.EngineFailed as error:
            self.started = error.started
            self._placement.record_failure(error.crashed)
            raise
        finally:
            self._placement.release(complete)

    async def _complete(self, tokens: int) -> None:
        """Send the buffered events and the end of the answer."""
        if not self._announced:
            await self._announce()
            await self._sink.send(self._buffered)
        await self._sink.finish(self._position.generation, tokens)

    async def cancel(self) -> None:
        """Cancel the generation if the engine may still run it."""
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
            _stream_follower.DELIVERED_UNREACHABLE_SECONDS
        )
        await self._sink.begin(
            _generation_ports.PlacedGeneration(
                self._request, self._position.generation, self.target
            )
        )

    async def _deliver(self, events: list[bytes]) -> None:
        match self._request.delivery:
            case core.Delivery.WHOLE:
                self._buffered.extend(events)
            case core.Delivery.STREAM:
                if not self._announced:
                    await self._announce()
                await self._sink.send(events)
            case _:
                typing.assert_never(self._request.delivery)
