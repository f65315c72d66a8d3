"""Steps for the feature of routes and keys."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep import callers
from laburnumstep import core


def make_route(name: str, prefix: str, public: bool = False) -> core.Route:
    services = (core.WeightedService('s', 1.0),)
    kind = core.CallKind(idempotent=True)
    return core.Route(
        name, 'one', prefix, kind, services, 1.0, 1, 0, public=public
    )


def make_table(version: int, routes: list[core.Route]) -> core.RouteTable:
    keys = {
        'k-port': core.KeyHolder('port'),
        'k-other': core.KeyHolder('other'),
    }
    return core.RouteTable(version, tuple(routes), keys, 1000)


@behave.given('a route table of version {version:d} in force')
def step_table(context: typing.Any, version: int) -> None:
    context.routes_in_force = callers.RouteBook()
    routes = [
        make_route('a', '/a/'),
        make_route('ab', '/a/b/'),
        make_route('open', '/open/', public=True),
    ]
    assert context.routes_in_force.apply(make_table(version, routes))


@behave.given('no route table in force')
def step_empty(context: typing.Any) -> None:
    context.routes_in_force = callers.RouteBook()


@behave.when('version {version:d} without routes is applied')
def step_apply(context: typing.Any, version: int) -> None:
    context.routes_in_force.apply(make_table(version, []))


@behave.when('a request for "{host}" "{path}" arrives with key "{key}"')
@behave.when('a request for "{host}" "{path}" arrives with key ""')
def step_match(
    context: typing.Any, host: str, path: str, key: str | None = None
) -> None:
    context.error = None
    try:
        route, holder = context.routes_in_force.match(host, path, key)
    except core.CodedError as error:
        context.error = error
        context.result = f'error {error.code.value}'
    else:
        workspace = holder.workspace if holder is not None else '-'
        context.result = f'route {route.name} of workspace {workspace}'


@behave.then('it gets {result}')
def step_result(context: typing.Any, result: str) -> None:
    assert context.result == result, context.result


@behave.then('a request for "{host}" "{path}" gets {result}')
def step_match_result(
    context: typing.Any, host: str, path: str, result: str
) -> None:
    step_match(context, host, path, 'k-port')
    step_result(context, result)


@behave.then('it was not run and may be resent')
def step_not_run(context: typing.Any) -> None:
    assert context.error.outcome is core.Outcome.NOT_RUN
    assert context.error.resend


@behave.given(
    'a route with services "{one}" of weight {first:d} and "{other}" of'
    ' weight {second:d}'
)
def step_weights(
    context: typing.Any, one: str, first: int, other: str, second: int
) -> None:
    services = (
        core.WeightedService(one, first),
        core.WeightedService(other, second),
    )
    kind = core.CallKind(idempotent=True)
    context.route = core.Route('r', 'one', '/', kind, services, 1.0, 1, 0)


@behave.then('about {count:d} of 100 requests go to "{name}"')
def step_draw(context: typing.Any, count: int, name: str) -> None:
    rng = random.Random(1)
    drawn = [context.route.choose_service(rng) for _ in range(10_000)]
    share = drawn.count(name) / 100
    assert abs(share - count) < 3, share
