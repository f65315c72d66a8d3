"""Requests of the load generator and the engine that serves them.

Answer lengths and engine memory are about a tenth of those in production, so
that a run of a few seconds reaches a steady state. Step times are not scaled.
"""

from __future__ import annotations

import random

import attrs

from laburnumstep_standins import engine

MODEL = 'gang-plan'
"""Model of all engines."""
WORKSPACES = 10
"""Number of workspaces; those with lower numbers send more requests."""
_TEMPLATE_CHARACTERS = engine.PREFIX_BLOCK_CHARACTERS
_MAX_TAIL_CHARACTERS = 160
_CAPACITY_SAMPLES = 4000


@attrs.frozen
class Kind:
    """A kind of request, with the distribution of its answer lengths."""

    name: str
    """Name in prompts and tests."""
    marker: str
    """Last words of the prompt; they select the engine's length profile."""
    fraction: float
    """Fraction of all requests."""
    median_tokens: float
    """Median length of the answers, in tokens."""
    sigma: float
    """Standard deviation of the natural logarithm of the length."""
    priority: int
    """Priority; requests with a higher one are placed first."""
    deadline_seconds: float
    """Time from the request to its deadline, in seconds."""
    shown: bool
    """Whether the caller displays each token as it arrives; otherwise it needs
    the whole answer only."""


KINDS = (
    Kind('plan', 'Shift plan.', 0.3, 60.0, 1.0, 0, 60.0, True),
    Kind('question', 'Answer yes or no.', 0.5, 5.0, 0.5, 2, 10.0, True),
    Kind('letter', 'Letter.', 0.2, 50.0, 0.8, -1, 120.0, False),
)
"""Plans and questions of supervisors and foremen, and letters of the fund."""

ENGINE = engine.EngineConfig(
    model=MODEL,
    kv_tokens=3500,
    cache_tokens=1024,
    max_running=64,
    step_seconds=0.02,
    step_seconds_per_running=0.001,
    prefill_seconds_per_token=0.0001,
    prefill_chunk_tokens=512,
    max_length=4000,
    length_profiles=tuple(
        engine.LengthProfile(kind.marker, kind.median_tokens, kind.sigma)
        for kind in KINDS
    ),
)
"""Properties of the engines that serve the workload."""


@attrs.frozen
class Request:
    """One request of a caller."""

    name: str
    """Name, unique in a run."""
    arrives_at: float
    """Arrival time, in seconds since the start of the run."""
    kind: Kind
    """Kind of the request."""
    workspace: str
    """Workspace of the caller."""
    prompt: str
    """Text that the model continues."""
    max_tokens: int
    """Upper bound of the answer, in tokens. Only the engine receives it;
    policies do not use it."""
    warm_up: bool = False
    """Whether the request only loads the engines before the run and is not
    measured."""

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt, in tokens."""
        return engine.count_prompt_tokens(self.prompt)


def generate(seed: int, rate: float, seconds: float) -> list[Request]:
    """Return requests with Poisson arrivals, in order of arrival.

    Args:
        seed: Random seed; equal seeds return equal requests.
        rate: Requests a second.
        seconds: Duration of the run.
    """
    rng = random.Random(seed)
    requests: list[Request] = []
    at = rng.expovariate(rate)
    while at < seconds:
        requests.append(_draw_request(rng, seed, len(requests), at))
        at += rng.expovariate(rate)
    return requests


def generate_warm_up(seed: int, rate: float) -> list[Request]:
    """Return requests that bring the engines close to their steady state.

    A request with a longer answer is more likely to be in progress at a given
    time, at a random position of its answer. A warm-up request represents
    that position by a longer prompt, and by the remaining length as the upper
    bound of the answer.

    Args:
        seed: Random seed; equal seeds return equal requests.
        rate: Requests a second in the steady state.
    """
    rng = random.Random(seed + 1_000_000)
    samples = [
        _draw_request(rng, seed, -index, 0.0)
        for index in range(1, _CAPACITY_SAMPLES)
    ]
    lengths = [engine.draw_length(each.prompt, ENGINE) for each in samples]
    mean = sum(lengths) / len(lengths)
    token_steps = [
        length * (each.prompt_tokens + length / 2)
        for each, length in zip(samples, lengths, strict=True)
    ]
    step_seconds = compute_step_seconds(sum(lengths), sum(token_steps))
    count = round(rate * mean * step_seconds)
    indexes = rng.choices(range(len(samples)), lengths, k=count)
    return [
        _advance_request(samples[index], lengths[index], number, rng.random())
        for number, index in enumerate(indexes)
    ]


def compute_step_seconds(lengths: float, token_steps: float) -> float:
    """Return the duration of a step of an engine with full memory.

    Args:
        lengths: Sum of the lengths of the answers, in tokens.
        token_steps: Sum over all steps of all answers of the memory that each
            uses, in tokens.

    Returns:
        Duration in seconds.
    """
    running = ENGINE.kv_tokens * lengths / token_steps
    return ENGINE.step_seconds + running * ENGINE.step_seconds_per_running


def compute_capacity(seed: int, engines: int) -> float:
    """Return the request rate that uses all memory of the engines.

    In each of its steps a request uses memory for its prompt and the tokens
    produced so far. At the returned rate, this memory, summed over the steps
    of all requests, equals the memory of the engines, summed over their steps.
    Prefill and the variation of arrivals are left out.

    Args:
        seed: Random seed of the sampled requests.
        engines: Number of engines.

    Returns:
        Requests a second.
    """
    rng = random.Random(seed)
    token_steps = lengths = 0.0
    for index in range(_CAPACITY_SAMPLES):
        request = _draw_request(rng, seed, index, 0.0)
        length = engine.draw_length(request.prompt, ENGINE)
        lengths += length
        token_steps += length * (request.prompt_tokens + length / 2)
    step_seconds = compute_step_seconds(lengths, token_steps)
    token_steps_per_request = token_steps / _CAPACITY_SAMPLES
    return engines * ENGINE.kv_tokens / step_seconds / token_steps_per_request


def _draw_request(
    rng: random.Random, seed: int, index: int, at: float
) -> Request:
    kind = rng.choices(KINDS, [kind.fraction for kind in KINDS])[0]
    # Zipf distribution: a few workspaces send most of the requests.
    weights = [1 / (rank + 1) for rank in range(WORKSPACES)]
    workspace = rng.choices(range(WORKSPACES), weights)[0]
    template = f'Workspace {workspace}, rules of {kind.name}s. '
    repeats = _TEMPLATE_CHARACTERS // len(template) + 1
    tail = f'Case {seed}-{index}: ' * rng.randint(1, 40)
    prompt = (
        (template * repeats)[:_TEMPLATE_CHARACTERS]
        + tail[:_MAX_TAIL_CHARACTERS]
        + kind.marker
    )
    return Request(
        name=f'{seed}-{index}',
        arrives_at=at,
        kind=kind,
        workspace=f'workspace-{workspace}',
        prompt=prompt,
        max_tokens=ENGINE.max_length,
    )


def _advance_request(
    request: Request, length: int, number: int, fraction: float
) -> Request:
    """Return a warm-up request with a fraction of its answer in the prompt.

    Args:
        request: Request without an answer.
        length: Length of its whole answer, in tokens.
        number: Number of the warm-up request.
        fraction: Fraction of the answer that has been produced.
    """
    produced = int(length * fraction)
    padding = f'Answer {number} so far. ' * (produced // 4 + 1)
    body = request.prompt.removesuffix(request.kind.marker)
    partial_answer = padding[: produced * 4]
    return attrs.evolve(
        request,
        name=f'fill-{number}',
        prompt=body + partial_answer + request.kind.marker,
        max_tokens=length - produced,
        warm_up=True,
    )
