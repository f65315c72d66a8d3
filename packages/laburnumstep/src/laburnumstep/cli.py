"""Command line of the entry VM."""

from __future__ import annotations

import sys
import typing

import typer

from laburnumstep import core

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


def main() -> None:
    """Run the command line."""
    app()
