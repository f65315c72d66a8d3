"""Requests of the load generator.

The lengths of answers and the memory of the engines are about a tenth of
real ones, so that a run of some seconds reaches a steady state. Step times
are not scaled.
"""

from __future__ import annotations

import random

import attrs

from laburnumstep_standins import engine

MODEL = 'gang-plan'
"""Model of all engines."""
WORKSPACES = 10
"""Workspaces of a deployment; the first ones are the larger ones."""
_TEMPLATE_CHARACTERS = engine.PREFIX_BLOCK_CHARACTERS
_MAX_TAIL_CHARACTERS = 160
_CAPACITY_SAMPLES = 4000


@attrs.frozen
class Kind:
    """A sort of request."""

    name: str
    """For tables."""
    marker: str
    """Ends the prompt and selects the engine's length profile."""
    share: float
    """Part of all requests."""
    median_tokens: float
    """Median length of the answer, in tokens."""
    sigma: float
    """Standard deviation of the logarithm of the length."""
    priority: int
    """Higher goes first."""
    deadline_seconds: float
    """Time after which the answer is useless, in seconds."""
    shown: bool
    """Whether the caller sees each token; others need the whole answer."""


KINDS = (
    Kind('plan', 'Shift plan.', 0.3, 60.0, 1.0, 0, 60.0, True),
    Kind('question', 'Answer yes or no.', 0.5, 5.0, 0.5, 2, 10.0, True),
    Kind('letter', 'Letter.', 0.2, 50.0, 0.8, -1, 120.0, False),
)
"""Plans and questions of supervisors and foremen, letters of the fund."""

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
"""Engine on which the workload runs."""


@attrs.frozen
class Request:
    """One request of a caller."""

    name: str
    """Unique in a run."""
    arrives_at: float
    """Time since the start of the run, in seconds."""
    kind: Kind
    """Sort of request."""
    workspace: str
    """Workspace of the caller."""
    prompt: str
    """Text to continue."""
    max_tokens: int
    """Upper bound of the answer, told to the engine alone."""
    filling: bool = False
    """Whether it only fills the engines at the start and is not measured."""

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt."""
        return engine.count_prompt_tokens(self.prompt)


def generate(seed: int, rate: float, seconds: float) -> list[Request]:
    """Return requests with Poisson arrivals, in order of arrival.

    Args:
        seed: Equal seeds give equal requests.
        rate: Requests a second.
        seconds: Length of the run.
    """
    numbers = random.Random(seed)
    requests: list[Request] = []
    at = numbers.expovariate(rate)
    while at < seconds:
        requests.append(_draw(numbers, seed, len(requests), at))
        at += numbers.expovariate(rate)
    return requests


def fill(seed: int, rate: float) -> list[Request]:
    """Return requests that bring the engines near their steady state.

    Those in progress at a moment are the longer ones, each at a random
    position. Such a position is a longer prompt with the rest as the upper
    bound of the answer.

    Args:
        seed: Equal seeds give equal requests.
        rate: Requests a second.
    """
    numbers = random.Random(seed + 1_000_000)
    drawn = [
        _draw(numbers, seed, -index, 0.0)
        for index in range(1, _CAPACITY_SAMPLES)
    ]
    lengths = [engine.draw_length(each.prompt, ENGINE) for each in drawn]
    mean = sum(lengths) / len(lengths)
    held = [
        length * (each.prompt_tokens + length / 2)
        for each, length in zip(drawn, lengths, strict=True)
    ]
    step = find_step_seconds(sum(lengths), sum(held))
    count = round(rate * mean * step)
    chosen = numbers.choices(range(len(drawn)), lengths, k=count)
    return [
        _shorten(drawn[index], lengths[index], number, numbers.random())
        for number, index in enumerate(chosen)
    ]


def find_step_seconds(lengths: float, held: float) -> float:
    """Return the duration of a step of an engine with full memory.

    Args:
        lengths: Sum of the lengths of the answers, in tokens.
        held: Sum of the memory that each holds in each of its steps.
    """
    running = ENGINE.kv_tokens * lengths / held
    return ENGINE.step_seconds + running * ENGINE.step_seconds_per_running


def find_capacity(seed: int, engines: int) -> float:
    """Return the request rate that fills the memory of the engines.

    A request holds its prompt and the tokens so far in every step until
    it ends, so its share of the memory is the sum over its steps. The rate
    is the one at which the shares add up to the memory; it leaves out
    prefill and the unevenness of arrivals.
    """
    numbers = random.Random(seed)
    held = lengths = 0.0
    for index in range(_CAPACITY_SAMPLES):
        request = _draw(numbers, seed, index, 0.0)
        length = engine.draw_length(request.prompt, ENGINE)
        lengths += length
        held += length * (request.prompt_tokens + length / 2)
    step = find_step_seconds(lengths, held)
    per_request = held / _CAPACITY_SAMPLES
    return engines * ENGINE.kv_tokens / step / per_request


def _draw(numbers: random.Random, seed: int, index: int, at: float) -> Request:
    kind = numbers.choices(KINDS, [kind.share for kind in KINDS])[0]
    # A few workspaces make most of the requests.
    weights = [1 / (rank + 1) for rank in range(WORKSPACES)]
    workspace = numbers.choices(range(WORKSPACES), weights)[0]
    template = f'Workspace {workspace}, rules of {kind.name}s. '
    repeats = _TEMPLATE_CHARACTERS // len(template) + 1
    tail = f'Case {seed}-{index}: ' * numbers.randint(1, 40)
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


def _shorten(
    request: Request, length: int, number: int, part: float
) -> Request:
    """Return a request that has produced a part of its answer."""
    past = int(length * part)
    padding = f'Answer {number} so far. ' * (past // 4 + 1)
    body = request.prompt.removesuffix(request.kind.marker)
    added = padding[: past * 4]
    return attrs.evolve(
        request,
        name=f'fill-{number}',
        prompt=body + added + request.kind.marker,
        max_tokens=length - past,
        filling=True,
    )
