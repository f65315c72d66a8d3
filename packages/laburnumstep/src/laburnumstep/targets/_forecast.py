"""Memory that an engine is expected to need."""

from __future__ import annotations

import typing

from laburnumstep.targets import _lengths

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _sends
    from laburnumstep.targets import _states

MAX_UNKNOWN_GROUPS = 8
"""Groups into which requests of other VMs are divided."""


def expect_total(
    send: _sends.Send, lengths: _lengths.LengthEstimator, quantile: float
) -> float:
    """Return the length that an answer reaches at a quantile, in tokens.

    The estimate is kept until the answer has grown by one bucket, because
    working it out for each send would dominate a decision.
    """
    bucket = _lengths.find_bucket(send.tokens)
    if send.forecast_bucket != bucket or send.forecast_quantile != quantile:
        left = lengths.find_quantile(
            send.workspace, send.model, send.tokens, quantile
        )
        send.forecast = send.tokens + left
        send.forecast_bucket = bucket
        send.forecast_quantile = quantile
    return max(send.forecast, float(send.tokens))


def forecast_peak(
    state: _states.TargetState,
    lengths: _lengths.LengthEstimator,
    quantile: float,
    added: tuple[float, float],
    now: float,
) -> float:
    """Return the most memory that will be in use, in tokens.

    Every generation grows by a token a step until it ends and frees its
    memory. So memory peaks right before some generation ends: with those
    that outlive it at the same growth.

    Args:
        state: The target.
        lengths: Expected lengths.
        quantile: Quantile of the lengths, from 0 to 1.
        added: Memory and remaining length of the request to be placed.
        now: In epoch seconds.
    """
    parts = [added]
    own = 0.0
    for send in state.sends.values():
        held = float(send.kv_tokens)
        own += held
        total = expect_total(send, lengths, quantile)
        parts.append((held, total - send.tokens))
    others = max(0.0, state.estimate_kv(now) - own)
    count = state.estimate_requests() - len(state.sends)
    parts += _spread_others(others, count, added[1])
    parts.sort(key=lambda part: -part[1])
    held = peak = 0.0
    for index, (kv_tokens, remaining) in enumerate(parts, 1):
        held += kv_tokens
        peak = max(peak, held + index * remaining)
    return peak


def _spread_others(
    kv_tokens: float, count: int, typical: float
) -> list[tuple[float, float]]:
    """Divide the memory of other VMs' requests among likely lengths.

    They are somewhere between their begin and their end, so remaining
    lengths are spread evenly from nothing to the typical one.
    """
    if count <= 0:
        return [(kv_tokens, 0.0)] if kv_tokens else []
    groups = min(count, MAX_UNKNOWN_GROUPS)
    parts = []
    for group in range(groups):
        remaining = typical * (group + 0.5) / groups
        size = count / groups
        # The growth of a group counts once for each of its requests.
        parts.append((kv_tokens / groups + (size - 1) * remaining, remaining))
    return parts
