"""Forecast of the memory that an engine will need."""

from __future__ import annotations

import typing

from laburnumstep.targets import _lengths

if typing.TYPE_CHECKING:
    from laburnumstep.targets import _sends
    from laburnumstep.targets import _states

MAX_OTHER_GROUPS = 8
"""Maximum number of groups into which other VMs' requests are divided."""


def estimate_total(
    send: _sends.Send, lengths: _lengths.LengthEstimator, quantile: float
) -> float:
    """Return a quantile of the total length of an answer, in tokens.

    The estimate is cached on the send until the answer has grown into the
    next bucket of lengths.

    Args:
        send: The generation.
        lengths: Observed lengths of answers.
        quantile: Quantile of the lengths, from 0 to 1.
    """
    if send.tokens >= send.forecast_until or send.quantile != quantile:
        bucket = _lengths.get_bucket(send.tokens)
        total = send.hinted_tokens or 0.0
        if total <= send.tokens:
            # There is no hint, or the answer is already as long as the
            # hint: use the observed lengths.
            total = lengths.estimate_total(
                send.workspace, send.model, bucket, quantile
            )
        if send.max_tokens is not None:
            total = min(total, float(send.max_tokens))
        send.forecast = total
        send.forecast_until = _lengths.get_lower_bound(bucket + 1)
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
    """Return the expected peak of an engine's memory use, in tokens.

    Each generation grows by one token a step until it ends and frees its
    memory, so the peak is reached right before some generation ends. The
    function computes the memory at each of these ends, which consists of
    the ending generation and all that last longer, and returns the maximum.

    Args:
        state: State of the engine.
        load: Current load of the engine.
        lengths: Observed lengths of answers.
        quantile: Quantile of the lengths, from 0 to 1.
        added: Memory and remaining length of the request to be placed, in
            tokens.
        model: Model of the request to be placed.
    """
    growths = [(added[1], added[0], 1.0)]
    for send in state.sends.values():
        tokens = send.tokens
        total = estimate_total(send, lengths, quantile)
        growths.append((total - tokens, send.prompt_tokens + tokens, 1.0))
    kv_used = 0.0
    if load.others:
        residual = lengths.estimate_residual(model)
        growths += _spread_other_requests(
            load.others_kv, load.others, residual
        )
    else:
        kv_used = load.others_kv
    growths.sort(reverse=True)
    growing = peak = 0.0
    for remaining, kv_tokens, weight in growths:
        kv_used += kv_tokens
        growing += weight
        reached = kv_used + growing * remaining
        if reached > peak:
            peak = reached
    return peak


def _spread_other_requests(
    kv_tokens: float, count: int, residual: float
) -> list[tuple[float, float, float]]:
    """Return groups of other VMs' requests with different lengths.

    How far these requests have progressed is not known, so their remaining
    lengths are spread evenly around the mean.

    Args:
        kv_tokens: Memory of the requests, in tokens.
        count: Number of the requests.
        residual: Mean remaining length, in tokens.

    Returns:
        Remaining length, memory and number of requests of each group.
    """
    groups = min(count, MAX_OTHER_GROUPS)
    return [
        (
            2.0 * residual * (group + 0.5) / groups,
            kv_tokens / groups,
            count / groups,
        )
        for group in range(groups)
    ]
