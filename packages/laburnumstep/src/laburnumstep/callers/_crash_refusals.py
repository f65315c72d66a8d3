"""Refusal of requests that crash the targets that run them."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.callers import _engine_placer

_LOGGER = core.get_logger('callers')


def check(
    state: _engine_placer.RoutingState, request: str, traits: targets.Traits
) -> None:
    """Refuse a request that has what crashes targets.

    Args:
        state: State of this VM for routing decisions.
        request: Key of the request.
        traits: Traits of the request.

    Raises:
        CodedError: `request_crashes_targets`.
    """
    culprit = state.ledger.admit(traits)
    if culprit is not None:
        raise _refuse(state, request, culprit)


def check_send(
    state: _engine_placer.RoutingState,
    request: str,
    traits: targets.Traits,
    send: targets.Send,
) -> None:
    """Refuse a request whose culprit was found while it waited for capacity.

    Args:
        state: State of this VM for routing decisions.
        request: Key of the request.
        traits: Traits of the request.
        send: The dispatch, which has not been sent; released on refusal.

    Raises:
        CodedError: `request_crashes_targets`.
    """
    culprit = state.ledger.find_culprit(traits)
    # A request that tries a culprit has been let through.
    if culprit is not None and culprit.refused_until > state.clock.now():
        state.view.end(send)
        raise _refuse(state, request, culprit)


def _refuse(
    state: _engine_placer.RoutingState, request: str, culprit: targets.Culprit
) -> core.CodedError:
    state.metrics.count('routing.crash_refused')
    now = state.clock.now()
    _LOGGER.info(
        'refused request=%s reason="it crashes targets" traits=%s crashes=%d'
        ' last_crash_age_ms=%d refused_until_in_s=%d',
        request,
        targets.describe_traits(culprit.traits),
        culprit.crashes,
        (now - culprit.last_crash_at) * 1000,
        culprit.refused_until - now,
    )
    return core.CodedError(
        core.ErrorCode.REQUEST_CRASHES_TARGETS,
        f'{culprit.crashes} targets that ran such a request have crashed',
    )
