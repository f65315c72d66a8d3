"""Prompts that an engine computes before those of a new request."""

from __future__ import annotations

from laburnumstep.targets import _states


def estimate_backlog(
    state: _states.TargetState, rate: float, usual_tokens: float, now: float
) -> float:
    """Return the prompt tokens that an engine has still to compute.

    The requests that wait according to the report and those sent since are
    computed one after another from the time of the report on.

    Args:
        state: State of the engine.
        rate: Prompt tokens that it computes in a second.
        usual_tokens: Length of the prompts that the report counts, in
            tokens.
        now: Current time, in epoch seconds.
    """
    backlog, reached = 0.0, state.measured_at
    if state.report is not None:
        backlog = state.report.waiting * usual_tokens
    arrivals = [
        (send.sent_at, send.new_tokens)
        for send in state.sends.values()
        if send.sent_at >= state.measured_at and not send.tokens
    ]
    oldest = now - _states.MAX_SIBLING_SEND_SECONDS
    arrivals += [
        (send.sent_at, send.new_tokens)
        for send in state.sibling_sends
        if send.sent_at >= oldest
    ]
    arrivals.sort()
    for sent_at, tokens in arrivals:
        backlog = max(0.0, backlog - rate * (sent_at - reached)) + tokens
        reached = sent_at
    return max(0.0, backlog - rate * max(0.0, now - reached))
