"""Steps for the figures, policies and workload of the benchmarks."""

from __future__ import annotations

import collections
import contextlib
import io
import json
import math
import random
import typing

import behave

from laburnumstep_standins.bench import figures
from laburnumstep_standins.bench import policies
from laburnumstep_standins.bench import records
from laburnumstep_standins.bench import workload
from laburnumstep_standins import engine

_TOLERANCE = 1e-9


def _make_request(kind: str = 'plan') -> workload.Request:
    found = next(k for k in workload.KINDS if k.name == kind)
    prompt = 'x' * engine.PREFIX_BLOCK_CHARACTERS + found.marker
    return workload.Request('r', 0.0, found, 'w', prompt, 100)


@behave.given('a caller that sends a "{kind}" request at {at:g}')
def step_caller(context: typing.Any, kind: str, at: float) -> None:
    context.record = records.Record(_make_request(kind), at)


@behave.when('tokens arrive at {times}')
def step_tokens(context: typing.Any, times: str) -> None:
    if times != 'never':
        for time in times.split(','):
            context.record.add_tokens(1, float(time))


@behave.when('the answer is complete at {at:g}')
def step_complete(context: typing.Any, at: float) -> None:
    context.record.complete(at)


@behave.when('the run ends at {at:g}')
def step_run_ends(context: typing.Any, at: float) -> None:
    context.record.add_unfinished_wait(at)


@behave.then('its stall time is {seconds:g} seconds')
def step_stall(context: typing.Any, seconds: float) -> None:
    found = context.record.stall_seconds
    assert abs(found - seconds) < _TOLERANCE, found


@behave.then('the goodput over 1 second is {tokens:g}')
def step_goodput(context: typing.Any, tokens: float) -> None:
    row = records.summarize('p', 90, [context.record], 0, 1.0, 0.0)
    assert row.goodput == tokens, row


@behave.then('the 95th percentile of the first token is infinite')
def step_infinite_percentile(context: typing.Any) -> None:
    row = records.summarize('p', 90, [context.record], 0, 1.0, 0.0)
    assert math.isinf(row.first_token_p95), row


@behave.then('percentile {percent:g} of {values} is {value:g}')
def step_percentile(
    context: typing.Any, percent: float, values: str, value: float
) -> None:
    numbers = [float(each) for each in values.split(',')]
    random.Random(1).shuffle(numbers)
    assert records.compute_percentile(numbers, percent) == value


@behave.when('figure {value} is printed')
def step_print(context: typing.Any, value: str) -> None:
    number = None if value == 'none' else float(value)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        figures.print_figure(figures.Figure('name', number, 's'))
    context.line = output.getvalue().strip()


@behave.then('the line is "{line}"')
def step_line(context: typing.Any, line: str) -> None:
    assert context.line == line, context.line


@behave.then('the ratio of {own:g} to {best:g} is {ratio:g}')
def step_ratio(
    context: typing.Any, own: float, best: float, ratio: float
) -> None:
    assert figures.compute_ratio(own, best) == ratio


@behave.given('{count:d} targets')
def step_targets(context: typing.Any, count: int) -> None:
    context.excluded = frozenset()
    context.view = {
        f'target-{number}': policies.TargetView(
            f'target-{number}', '127.0.0.1:1'
        )
        for number in range(count)
    }


@behave.given('target "{name}" reports {report}')
def step_report(context: typing.Any, name: str, report: str) -> None:
    context.view[name].report = json.loads(report)


@behave.given('target "{name}" caches the prefix of the request')
def step_cached_prefix(context: typing.Any, name: str) -> None:
    prefixes = engine.digest_prefixes(_make_request().prompt)
    context.view[name].prefixes.update(prefixes)


@behave.given('target "{name}" is {state}')
def step_state(context: typing.Any, name: str, state: str) -> None:
    match state:
        case 'unreachable':
            context.view[name].reachable = False
        case 'excluded':
            context.excluded = frozenset({name})
        case _:
            raise ValueError(state)


@behave.when('policy "{name}" chooses {count:d} times')
def step_choose(context: typing.Any, name: str, count: int) -> None:
    rng = random.Random(1)
    policy = {
        'round_robin': lambda: policies.RoundRobin(rng),
        'least_load': lambda: policies.LeastLoad(rng),
        'prefix': policies.PrefixAffinity,
    }[name]()
    context.chosen = collections.Counter()
    for number in range(count):
        attempt = policies.Attempt(
            _make_request(), f'g-{number}', 0.0, context.excluded
        )
        choice = context.portal.call(policy.choose, attempt, context.view)
        context.chosen[choice.target] += 1


@behave.then('each target was chosen {count:d} times')
def step_chosen_equally(context: typing.Any, count: int) -> None:
    assert context.chosen == dict.fromkeys(context.view, count)


@behave.then('target "{name}" was chosen {count:d} times')
def step_chosen(context: typing.Any, name: str, count: int) -> None:
    assert context.chosen == {name: count}, context.chosen


@behave.then('{count:d} target was chosen')
def step_distinct_targets(context: typing.Any, count: int) -> None:
    assert len(context.chosen) == count, context.chosen


@behave.then('seed {seed:d} generates the same requests twice')
def step_same_requests(context: typing.Any, seed: int) -> None:
    first = workload.generate(seed, 10.0, 5.0)
    assert first and first == workload.generate(seed, 10.0, 5.0)


@behave.then('seeds {first:d} and {second:d} generate different requests')
def step_other_requests(context: typing.Any, first: int, second: int) -> None:
    requests = [workload.generate(s, 10.0, 5.0) for s in (first, second)]
    assert requests[0] != requests[1]


@behave.then(
    'seed {seed:d} generates between {low:d} and {high:d} requests at {rate:g}'
    ' a second in {seconds:g} s'
)
def step_rate(
    context: typing.Any,
    seed: int,
    low: int,
    high: int,
    rate: float,
    seconds: float,
) -> None:
    assert low <= len(workload.generate(seed, rate, seconds)) <= high


@behave.when('warm-up requests are generated for {rate:g} requests a second')
def step_warm_up(context: typing.Any, rate: float) -> None:
    context.warm_up = workload.generate_warm_up(1, rate)


@behave.then('no warm-up answer is longer than the maximum length')
def step_warm_up_lengths(context: typing.Any) -> None:
    lengths = [request.max_tokens for request in context.warm_up]
    assert lengths and min(lengths) >= 1
    assert max(lengths) <= workload.ENGINE.max_length


@behave.then('the warm-up answers are longer than half the mean answer')
def step_mean_warm_up_length(context: typing.Any) -> None:
    requests = workload.generate(1, 1000.0, 1.0)
    lengths = [
        engine.draw_length(request.prompt, workload.ENGINE)
        for request in requests
    ]
    remaining = [request.max_tokens for request in context.warm_up]
    mean = sum(lengths) / len(lengths)
    assert sum(remaining) / len(remaining) > mean / 2, (remaining, mean)
