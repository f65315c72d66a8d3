"""Steps for the settings feature."""

from __future__ import annotations

import configparser
import io
import typing

import behave

from laburnumstep import core
from laburnumstep_standins import settings


@behave.given('a valid settings file')
def step_valid_file(context: typing.Any) -> None:
    context.parser = configparser.ConfigParser(interpolation=None)
    context.parser.read_string(settings.render_settings())


@behave.given('key "{key}" in section "{section}" is "{value}"')
def step_set(context: typing.Any, key: str, section: str, value: str) -> None:
    if not context.parser.has_section(section):
        context.parser.add_section(section)
    context.parser[section][key] = value


@behave.given('key "{key}" in section "{section}" is missing')
def step_remove(context: typing.Any, key: str, section: str) -> None:
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
def step_count(context: typing.Any, count: int) -> None:
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
