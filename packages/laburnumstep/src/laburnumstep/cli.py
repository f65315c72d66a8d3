"""Command line of the entry VM."""

from __future__ import annotations

import json
import sys
import typing

import anyio
import attrs
import typer

from laburnumstep import core
from laburnumstep import platform
from laburnumstep import vm

_EXIT_FINDINGS = 2
app = typer.Typer(
    help='Entry VM of the laburnumstep serving system.',
    no_args_is_help=True,
)
SettingsFile = typing.Annotated[str, typer.Argument(help='INI settings file.')]


def _load_settings(path: str, as_json: bool = False) -> core.Settings:
    try:
        return core.load_settings(path)
    except core.FindingsError as error:
        if as_json:
            findings = [attrs.asdict(item) for item in error.findings]
            print(json.dumps({'findings': findings}))
        else:
            _print_findings(error)
        raise typer.Exit(_EXIT_FINDINGS) from error


def _print_findings(error: core.FindingsError) -> None:
    for finding in error.findings:
        print(finding, file=sys.stderr)


@app.command()
def check(
    settings: SettingsFile,
    as_json: typing.Annotated[
        bool, typer.Option('--json', help='Print findings as JSON.')
    ] = False,
) -> None:
    """Check a settings file and print every finding.

    Exits 0 when the file can be used, 2 when it has findings.

    Example: laburnumstep check /etc/laburnumstep.ini
    """
    _load_settings(settings, as_json)
    if as_json:
        print(json.dumps({'findings': []}))
    else:
        print(f'{settings}: no findings')


@app.command('settings')
def show_settings() -> None:
    """Print the documentation of every settings key, as Markdown.

    Example: laburnumstep settings > settings.md
    """
    print(core.describe_settings(), end='')


@app.command()
def run(settings: SettingsFile) -> None:
    """Run the entry VM until SIGTERM, then shut down gracefully.

    The first line on standard output is a JSON object with the addresses
    on which the VM listens.

    Example: laburnumstep run /etc/laburnumstep.ini
    """
    checked = _load_settings(settings)
    core.configure_logging(checked.logging.level, checked.logging.format)
    anyio.run(_run, checked)


@app.command('run-platform')
def run_platform() -> None:
    """Run the entry VM on the platform until SIGTERM.

    The environment variable LABURNUMSTEP_SETTINGS names the settings file.

    Example: laburnumstep run-platform
    """
    try:
        platform.run_vm()
    except core.FindingsError as error:
        _print_findings(error)
        raise typer.Exit(_EXIT_FINDINGS) from error


async def _run(settings: core.Settings) -> None:
    entry = vm.EntryVM(settings, core.SystemClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.run)
        await entry.wait_started()
        print(json.dumps(entry.addresses), flush=True)


def main() -> None:
    """Run the command line."""
    app()
