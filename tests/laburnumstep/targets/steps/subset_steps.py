"""Steps for the subset of engines that a VM uses."""

from __future__ import annotations

import collections
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import targets


def _list_used(
    context: typing.Any, vm: str, data_centre: str = 'dc-0'
) -> set[str]:
    used = targets.limit_engines(context.deployment, vm, data_centre)
    return set(used.targets)


@behave.given(
    '{count:d} engines of {models:d} models in {centres:d} data centres'
)
def step_engines(
    context: typing.Any, count: int, models: int, centres: int
) -> None:
    declared: dict[str, core.Target] = {}
    for number in range(count):
        name = f'engine-{number}'
        data_centre = f'dc-{number % centres}'
        model = f'model-{number // centres % models}'
        declared[name] = core.EngineTarget(
            name, data_centre, '127.0.0.1:1', [model], 1000, True
        )
    names = [f'dc-{number}' for number in range(centres)]
    context.centres = centres
    context.models = models
    context.deployment = core.Deployment(
        'large', {'only': core.Place('only', names)}, declared
    )


@behave.when('an engine of "{vm}" is removed')
def step_remove(context: typing.Any, vm: str) -> None:
    context.before = _list_used(context, vm)
    removed = sorted(context.before)[0]
    remaining = dict(context.deployment.targets)
    del remaining[removed]
    context.deployment = attrs.evolve(context.deployment, targets=remaining)


@behave.then('"{vm}" uses {count:d} engines')
def step_count(context: typing.Any, vm: str, count: int) -> None:
    assert len(_list_used(context, vm)) == count


@behave.then(
    '"{vm}" uses at most {maximum:d} engines and {minimum:d} of each model '
    'at least'
)
def step_bounds(
    context: typing.Any, vm: str, maximum: int, minimum: int
) -> None:
    used = _list_used(context, vm)
    assert len(used) <= maximum, len(used)
    by_model = collections.Counter(
        context.deployment.targets[name].models[0] for name in used
    )
    assert len(by_model) == context.models
    assert min(by_model.values()) >= minimum, by_model


@behave.then('{count:d} VMs together use every engine')
def step_cover(context: typing.Any, count: int) -> None:
    used: set[str] = set()
    for number in range(count):
        centre = f'dc-{number % context.centres}'
        used |= _list_used(context, f'vm-{number}', centre)
    missing = set(context.deployment.targets) - used
    assert not missing, len(missing)


@behave.then('the engines of its own data centre come first')
def step_local_first(context: typing.Any) -> None:
    used = _list_used(context, 'vm-1')
    centres = {context.deployment.targets[n].data_centre for n in used}
    assert centres == {'dc-0'}, centres


@behave.then('"{vm}" uses at most {count:d} new engine')
def step_change(context: typing.Any, vm: str, count: int) -> None:
    added = _list_used(context, vm) - context.before
    assert len(added) <= count, added


@behave.when('an engine of "{vm}" starts leaving')
def step_leave(context: typing.Any, vm: str) -> None:
    context.before = _list_used(context, vm)
    context.leaving = sorted(context.before)[0]
    declared = dict(context.deployment.targets)
    declared[context.leaving] = attrs.evolve(
        declared[context.leaving], leaving=True
    )
    context.deployment = attrs.evolve(context.deployment, targets=declared)


@behave.then('"{vm}" uses that engine and 1 engine more than before')
def step_engine_retained(context: typing.Any, vm: str) -> None:
    used = _list_used(context, vm)
    assert context.before < used, context.before - used
    assert len(used - context.before) == 1, used - context.before
