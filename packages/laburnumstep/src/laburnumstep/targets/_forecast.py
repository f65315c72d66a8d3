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

    The estimate is kept until the answer has grown by one bucket.
    """
    if send.tokens >= send.forecast_until or send.quantile != quantile:
        bucket = _lengths.find_bucket(send.tokens)
        total = send.hinted_tokens or 0.0
        if total <= send.tokens:
            # Without a hint, or beyond it, only experience tells.
            total = lengths.find_total(
                send.workspace, send.model, bucket, quantile
            )
        if send.max_tokens is not None:
            total = min(total, float(send.max_tokens))
        send.forecast = total
        send.forecast_until = _lengths.find_lower_bound(bucket + 1)
        send.quantile = quantile
    return max(send.forecast, float(send.tokens))


def forecast_peak(
    state: _states.TargetState,
    load: _states.TargetLoad,
    lengths: _lengths.LengthEstimator,
    quantile: float,
    added: tuple[float, float],
    model: str,
) -> float:
    """Return the most memory that will be in use, in tokens.

    Every generation grows by a token a step until it ends and frees its
    memory. So memory peaks right before some generation ends: with those
    that outlive it at the same growth.

    Args:
        state: The target.
        load: Its load.
        lengths: Expected lengths.
        quantile: Quantile of the lengths, from 0 to 1.
        added: Memory and remaining length of the request to be placed.
        model: Model of the request to be placed.
    """
    parts = [(added[1], added[0], 1.0)]
    for send in state.sends.values():
        tokens = send.tokens
        total = expect_total(send, lengths, quantile)
        parts.append((total - tokens, send.prompt_tokens + tokens, 1.0))
    held = 0.0
    if load.others:
        residual = lengths.expect_residual(model)
        parts += _spread_others(load.others_kv, load.others, residual)
    else:
        held = load.others_kv
    parts.sort(reverse=True)
    growing = peak = 0.0
    for remaining, kv_tokens, size in parts:
        held += kv_tokens
        growing += size
        reached = held + growing * remaining
        if reached > peak:
            peak = reached
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
