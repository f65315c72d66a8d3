"""Steps for programs that declare a deployment with `DeploymentBuilder`."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import typing

import behave

from laburnumstep_operator import cli
from typer import testing

PROGRAM = """
from laburnumstep_operator import DeploymentBuilder
from laburnumstep_operator import digest_secret
from laburnumstep_operator import Operation

b = DeploymentBuilder('cuadrilla')
b.add_place('lima', 'lima', ['lima-1', 'lima-2'])
b.add_service('booking', {'confirm': Operation(idempotent=False)})
b.add_engine(
    'gang-1', data_centre='lima-1', address='127.0.0.1:7001',
    models=['plan'], kv_tokens=1000, checks_fence=True)
b.add_service_target(
    'booking-1', data_centre='lima-1', address='127.0.0.1:7002',
    service='booking')
b.add_workspace(
    'norte', key_digest=digest_secret('s'), requests_per_second=1,
    concurrency=1, tokens_per_second=1)
"""


@behave.given('a program that declares a correct deployment')
def step_program(context: typing.Any) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.program = pathlib.Path(folder) / 'program.py'
    context.lines = PROGRAM.splitlines()


@behave.given('its line {number:d} is {text}')
def step_line(context: typing.Any, number: int, text: str) -> None:
    context.lines += [''] * (number - len(context.lines))
    context.lines[number - 1] = text


@behave.when('the program runs')
def step_run(context: typing.Any) -> None:
    lines = [*context.lines, 'b.print_document()', '']
    context.program.write_text('\n'.join(lines))
    context.run = subprocess.run(
        [sys.executable, str(context.program)], capture_output=True, text=True
    )


@behave.then('its exit status is {status:d}')
def step_status(context: typing.Any, status: int) -> None:
    assert context.run.returncode == status, context.run.stderr


@behave.then('nothing is on its standard output')
def step_no_output(context: typing.Any) -> None:
    assert context.run.stdout == ''


@behave.then('the check accepts its output')
def step_check(context: typing.Any) -> None:
    runner = testing.CliRunner()
    result = runner.invoke(cli.app, ['check', '-'], input=context.run.stdout)
    assert result.exit_code == 0, result.output


@behave.then('"{position}" is reported with "{code}"')
def step_reported(context: typing.Any, position: str, code: str) -> None:
    lines = context.run.stderr.splitlines()
    found = [n for n in lines if f'{position} ' in n and f': {code}: ' in n]
    assert found, context.run.stderr


@behave.given('the example program "{name}"')
def step_example(context: typing.Any, name: str) -> None:
    root = pathlib.Path(__file__).resolve().parents[3]
    context.program = root / 'examples' / f'{name}.py'


@behave.when('the example runs with "{target}" at the address "{address}"')
def step_run_example(context: typing.Any, target: str, address: str) -> None:
    command = [sys.executable, str(context.program)]
    command += ['--address', f'{target}={address}']
    context.run = subprocess.run(command, capture_output=True, text=True)


@behave.then('target "{target}" has the address "{address}"')
def step_address(context: typing.Any, target: str, address: str) -> None:
    document = json.loads(context.run.stdout)
    assert document['targets'][target]['address'] == address
