"""Command line of the entry VM."""

from __future__ import annotations

import json
import sys
import typing

import anyio
import typer

from laburnumstep import core
from laburnumstep import vm

_EXIT_FINDINGS = 2
app = typer.Typer(
    help='Entry VM of the laburnumstep serving system.',
    no_args_is_help=True,
)
SettingsFile = typing.Annotated[str, typer.Argument(help='INI settings file.')]


def _load(path: str) -> core.Settings:
    try:
        return core.load_settings(path)
    except core.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(_EXIT_FINDINGS) from error


@app.command()
def check(settings: SettingsFile) -> None:
    """Check a settings file and print every finding.

    Exits 0 when the file can be used, 2 when it has findings.

    Example: laburnumstep check /etc/laburnumstep.ini
    """
    _load(settings)
    print(f'{settings}: no findings')


@app.command()
def run(settings: SettingsFile) -> None:
    """Run the entry VM until SIGTERM, then shut down gracefully.

    The first line on standard output is a JSON object with the addresses
    on which the VM listens.

    Example: laburnumstep run /etc/laburnumstep.ini
    """
    checked = _load(settings)
    core.configure_logging(checked.logging.level, checked.logging.format)
    anyio.run(_run, checked)


async def _run(settings: core.Settings) -> None:
    entry = vm.EntryVM(settings, core.SystemClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.run)
        await entry.wait_started()
        print(json.dumps(entry.addresses), flush=True)


def main() -> None:
    """Run the command line."""
    app()
