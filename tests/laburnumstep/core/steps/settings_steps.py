"""Steps for the parsing of settings files."""

from __future__ import annotations

import configparser
import io
import pathlib
import subprocess
import sys
import tempfile
import typing

import behave

from laburnumstep import core
from laburnumstep_standins import settings


@behave.given('a valid settings file')
def step_valid_file(context: typing.Any) -> None:
    context.parser = configparser.ConfigParser(interpolation=None)
    context.parser.read_string(settings.render_settings())


@behave.given('key "{key}" in section "{section}" is "{value}"')
def step_set_key(
    context: typing.Any, key: str, section: str, value: str
) -> None:
    if not context.parser.has_section(section):
        context.parser.add_section(section)
    context.parser[section][key] = value


@behave.given('key "{key}" in section "{section}" is missing')
def step_remove_key(context: typing.Any, key: str, section: str) -> None:
    context.parser.remove_option(section, key)


@behave.when('the settings are parsed')
def step_parse(context: typing.Any) -> None:
    text = io.StringIO()
    context.parser.write(text)
    context.findings = []
    try:
        core.parse_settings(text.getvalue(), 'vm.ini')
    except core.FindingsError as error:
        context.findings = error.findings


@behave.then('there are no findings')
def step_no_findings(context: typing.Any) -> None:
    assert context.findings == [], context.findings


@behave.then('there are {count:d} findings')
def step_finding_count(context: typing.Any, count: int) -> None:
    assert len(context.findings) == count, context.findings


@behave.then('there is a finding "{code}" at "{section}" "{key}" with a line')
def step_finding(
    context: typing.Any, code: str, section: str, key: str
) -> None:
    found = [
        finding
        for finding in context.findings
        if finding.code == code
        and finding.position.section == section
        and finding.position.key == key
        and finding.position.line is not None
    ]
    assert found, context.findings


@behave.then('docs/settings.md equals the printed documentation')
def step_settings_page(context: typing.Any) -> None:
    page = pathlib.Path('docs/settings.md').read_text()
    assert page == core.describe_settings()


@behave.when('"laburnumstep check" runs on the file')
def step_run_check(context: typing.Any) -> None:
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'vm.ini'
        with path.open('w') as file:
            context.parser.write(file)
        context.process = subprocess.run(
            [sys.executable, '-m', 'laburnumstep', 'check', str(path)],
            capture_output=True,
            text=True,
        )


@behave.then('it exits with {status:d} and prints "{text}"')
def step_exit_status(context: typing.Any, status: int, text: str) -> None:
    process = context.process
    assert process.returncode == status, process
    assert text in process.stdout + process.stderr, process
