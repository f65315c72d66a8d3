"""Steps for the budget of bodies that are being read."""

from __future__ import annotations

import random
import typing

import behave

from laburnumstep.transport import _body_budget


@behave.given(
    'bodies of {sizes} bytes are held within a budget of {limit:d} bytes'
)
def step_bodies(context: typing.Any, sizes: str, limit: int) -> None:
    context.budget = _body_budget.BodyBudget(limit)
    context.bodies = []
    for size in sizes.split(','):
        body = context.budget.open()
        context.budget.extend(body, bytes(int(size)))
        context.bodies.append(body)


@behave.when('body {number:d} grows by {growth:d} bytes')
def step_grow(context: typing.Any, number: int, growth: int) -> None:
    context.budget.extend(context.bodies[number - 1], bytes(growth))


@behave.then('the bodies {dropped} are dropped and {held:d} bytes are held')
def step_dropped(context: typing.Any, dropped: str, held: int) -> None:
    found = [
        str(number)
        for number, body in enumerate(context.bodies, 1)
        if body.is_dropped
    ]
    assert (','.join(found) or 'none') == dropped, found
    assert context.budget.held_bytes == held, context.budget.held_bytes


@behave.when(
    '{count:d} random operations are applied to a budget of {limit:d} bytes'
    ' with seed {seed:d}'
)
def step_random(
    context: typing.Any, count: int, limit: int, seed: int
) -> None:
    rng = random.Random(seed)
    context.budget = _body_budget.BodyBudget(limit)
    context.bodies = []
    context.found = []
    for _ in range(count):
        action = rng.random()
        if not context.bodies or action < 0.2:
            context.bodies.append(context.budget.open())
        elif action < 0.85:
            body = rng.choice(context.bodies)
            context.budget.extend(body, bytes(rng.randrange(150)))
        else:
            body = context.bodies.pop(rng.randrange(len(context.bodies)))
            context.budget.close(body)
        size = sum(len(body.data) for body in context.bodies)
        context.found.append((context.budget.held_bytes, size, limit))


@behave.then(
    'the bytes held were always those of the open bodies and within the budget'
)
def step_consistent(context: typing.Any) -> None:
    for held, size, limit in context.found:
        assert held == size <= limit, (held, size, limit)


@behave.then('no byte is held after the bodies are closed')
def step_closed(context: typing.Any) -> None:
    for body in context.bodies:
        context.budget.close(body)
    assert context.budget.held_bytes == 0, context.budget.held_bytes
