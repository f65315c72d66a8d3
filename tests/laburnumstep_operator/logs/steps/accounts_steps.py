"""Steps for tracing requests through logs."""

from __future__ import annotations

import json
import pathlib
import re
import tempfile
import typing

import behave

from laburnumstep_operator import cli
from typer import testing

_LINE = re.compile(r'([\d.]+) ([a-z].*)')


def run_command(context: typing.Any, *words: str) -> None:
    """Run a command of `laburnumstep-operator`."""
    context.result = testing.CliRunner().invoke(cli.app, list(words))


@behave.given('the log of "{vm}" contains')
def step_log(context: typing.Any, vm: str) -> None:
    if 'folder' not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = pathlib.Path(folder.name)
    lines = []
    for text in context.text.splitlines():
        match = _LINE.fullmatch(text)
        fields = match and {'time': float(match[1]), 'message': match[2]}
        lines.append(json.dumps(fields) if fields else text)
    (context.folder / f'{vm}.log').write_text('\n'.join(lines) + '\n')


@behave.when('request {request} is traced through the logs')
def step_trace(context: typing.Any, request: str) -> None:
    run_command(context, 'explain', request, '--logs', str(context.folder))


@behave.when('explain runs with the options "{options}"')
@behave.when('explain runs with the options ""')
def step_options(context: typing.Any, options: str = '') -> None:
    run_command(context, 'explain', '0df7', *options.split())


@behave.then('the trace is')
def step_output(context: typing.Any) -> None:
    assert context.result.exit_code == 0, context.result.output
    actual = [line.strip() for line in context.result.output.splitlines()]
    expected = context.text.splitlines()
    assert len(actual) == len(expected), context.result.output
    for line, start in zip(actual, expected, strict=True):
        assert line.startswith(start), (line, start)


@behave.then('the command exits with {status:d}')
def step_status(context: typing.Any, status: int) -> None:
    assert context.result.exit_code == status, context.result.output
