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
        total = send.tokens + left
        if send.max_tokens is not None:
            total = min(total, float(send.max_tokens))
        send.forecast = total
        send.forecast_bucket = bucket
        send.forecast_quantile = quantile
    return max(send.forecast, float(send.tokens))


def forecast_peak(
    state: _states.TargetState,
    lengths: _lengths.LengthEstimator,
    quantile: float,
    added: tuple[float, float],
    model: str,
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
        model: Model of the request to be placed.
        now: In epoch seconds.
    """
    parts = [(added[1], added[0], 1.0)]
    own = 0.0
    for send in state.sends.values():
        held = float(send.kv_tokens)
        own += held
        total = expect_total(send, lengths, quantile)
        parts.append((total - send.tokens, held, 1.0))
    others = max(0.0, state.estimate_kv(now) - own)
    count = state.estimate_requests() - len(state.sends)
    if count > 0:
        residual = lengths.expect_residual(model)
        parts += _spread_others(others, count, residual)
    parts.sort(reverse=True)
    held = 0.0 if count > 0 else others
    growing = peak = 0.0
    for remaining, kv_tokens, size in parts:
        held += kv_tokens
        growing += size
        peak = max(peak, held + growing * remaining)
    return peak


def _spread_others(
    kv_tokens: float, count: int, residual: float
) -> list[tuple[float, float, float]]:
    """Divide the memory of other VMs' requests among likely lengths.

    They are somewhere between their begin and their end, so remaining
    lengths are spread evenly around the mean one.
    """
    groups = min(count, MAX_UNKNOWN_GROUPS)
    return [
        (
            2.0 * residual * (group + 0.5) / groups,
            kv_tokens / groups,
            count / groups,
        )
        for group in range(groups)
    ]
