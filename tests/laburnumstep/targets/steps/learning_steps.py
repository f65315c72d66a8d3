"""Steps for the estimation of answer lengths."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep import targets
from support import fleets

_TRUTH_DRAWS = 200_000


def _make_draw(
    distribution: str, rng: random.Random
) -> typing.Callable[[], int]:
    match distribution.split():
        case ['log-normal', median, 'sigma', sigma]:
            scale, width = float(median), float(sigma)
            return lambda: int(scale * rng.lognormvariate(0.0, width)) + 1
        case ['Pareto', least, 'alpha', alpha]:
            low, shape = float(least), float(alpha)
            return lambda: int(low * rng.paretovariate(shape))
        case _:
            raise ValueError(distribution)


@behave.given('{count:d} answers drawn from {distribution}, seed {seed:d}')
def step_draw(
    context: typing.Any, count: int, distribution: str, seed: int
) -> None:
    rng = random.Random(seed)
    draw = _make_draw(distribution, rng)
    context.lengths = targets.LengthEstimator()
    for _ in range(count):
        context.lengths.observe('plans', fleets.MODEL, draw())
    context.truth = sorted(draw() for _ in range(_TRUTH_DRAWS))


@behave.then(
    'at {so_far:d} tokens the expected remaining length is within '
    '{percent:d}% of the true mean'
)
def step_mean(context: typing.Any, so_far: int, percent: int) -> None:
    left = [length - so_far for length in context.truth if length > so_far]
    truth = sum(left) / len(left)
    estimated = context.lengths.expect_remaining('plans', fleets.MODEL, so_far)
    assert abs(estimated - truth) <= truth * percent / 100, (estimated, truth)


@behave.then(
    'at {so_far:d} tokens the {quantile:f} quantile is within one bucket of '
    'the true one'
)
def step_quantile(context: typing.Any, so_far: int, quantile: float) -> None:
    left = [length for length in context.truth if length > so_far]
    truth = left[int(len(left) * quantile)]
    estimated = so_far + context.lengths.find_quantile(
        'plans', fleets.MODEL, so_far, quantile
    )
    # Buckets are half an octave wide.
    assert truth / 2**0.5 <= estimated <= truth * 2**0.5, (estimated, truth)


@behave.given('{count:d} answers of {tokens:d} tokens by workspace {name:w}')
def step_observe(
    context: typing.Any, count: int, tokens: int, name: str
) -> None:
    if 'lengths' not in context:
        context.lengths = targets.LengthEstimator()
    for _ in range(count):
        context.lengths.observe(name, fleets.MODEL, tokens)


@behave.given(
    '{count:d} answers of {tokens:d} tokens by workspace {name:w} on a sibling'
)
def step_sibling(
    context: typing.Any, count: int, tokens: int, name: str
) -> None:
    context.sibling = targets.LengthEstimator()
    for _ in range(count):
        context.sibling.observe(name, fleets.MODEL, tokens)


@behave.when("the sibling's changes are encoded, sent and merged")
def step_merge(context: typing.Any) -> None:
    context.encoded = []
    for workspace, model, sketch in context.sibling.take_changes(10):
        data = targets.encode_lengths(sketch)
        context.encoded.append(data)
        context.lengths.merge(workspace, model, targets.decode_lengths(data))


@behave.then(
    'workspace {name:w} expects {tokens:d} tokens within {percent:d}%'
)
def step_expects(
    context: typing.Any, name: str, tokens: int, percent: int
) -> None:
    estimated = context.lengths.expect_remaining(name, fleets.MODEL, 0)
    assert abs(estimated - tokens) <= tokens * percent / 100, estimated


@behave.then(
    'an unknown workspace expects between {low:d} and {high:d} tokens'
)
def step_unknown(context: typing.Any, low: int, high: int) -> None:
    estimated = context.lengths.expect_remaining('other', fleets.MODEL, 0)
    assert low <= estimated <= high, estimated


@behave.then('the encoded changes are at most {size:d} bytes')
def step_size(context: typing.Any, size: int) -> None:
    assert len(context.encoded) == 1
    assert 0 < len(context.encoded[0]) <= size


@behave.then('the sibling has no further changes')
def step_no_changes(context: typing.Any) -> None:
    assert context.sibling.take_changes(10) == []


@behave.when('the bytes {text} are decoded as a sketch')
def step_decode(context: typing.Any, text: str) -> None:
    context.error = None
    try:
        targets.decode_lengths(bytes.fromhex(text))
    except ValueError as error:
        context.error = error


@behave.then('a ValueError is raised')
def step_error(context: typing.Any) -> None:
    assert context.error is not None
