"""Options that several commands share."""

from __future__ import annotations

import pathlib
import typing

import typer

from laburnumstep_operator import _checks
from laburnumstep_operator import _output

MIN_KEY_LENGTH = 16
"""Shortest key that a VM accepts, in characters."""


def read_address(text: str) -> str:
    """Return an address, or refuse it with its option's name."""
    if not _checks.is_address(text):
        raise typer.BadParameter(f'{text!r} must be <IP number>:<port>')
    return text


DocumentFile = typing.Annotated[
    str, typer.Argument(help='Configuration document; - for standard input.')
]
LogAddress = typing.Annotated[
    str,
    typer.Option(
        '--log',
        envvar='LABURNUMSTEP_LOG',
        parser=read_address,
        metavar='ADDRESS',
        help='IP number and port of the log.',
    ),
]
MadeFrom = typing.Annotated[
    int,
    typer.Option(
        min=0,
        help='Version from which the document was made; 0 for the first.',
    ),
]
_AT: dict[str, typing.Any] = {
    'envvar': 'LABURNUMSTEP_VMS',
    'parser': read_address,
    'metavar': 'ADDRESS',
}
VMAddresses = typing.Annotated[
    list[str],
    typer.Option(
        '--at',
        **_AT,
        help="IP number and port of a VM's operators' interface; may be"
        ' repeated. The variable holds them separated by spaces.',
    ),
]
AskedVMs = typing.Annotated[
    list[str],
    typer.Option(
        '--at',
        **_AT,
        default_factory=list,
        help="IP number and port of a VM's operators' interface; may be"
        ' repeated. Not needed with --logs.',
    ),
]
LogFolder = typing.Annotated[
    str,
    typer.Option(
        '--logs',
        metavar='FOLDER',
        help='Folder with the log of each VM in a file of its name.',
    ),
]
Key = typing.Annotated[
    str,
    typer.Option(
        '--key',
        envvar='LABURNUMSTEP_OPERATORS_KEY',
        help="The operators' key. Prefer the variable or --key-file: other"
        ' users of a machine can read the command line.',
        show_envvar=True,
    ),
]
KeyFile = typing.Annotated[
    str, typer.Option(help="File with the operators' key.")
]
Timeout = typing.Annotated[
    float, typer.Option(min=0.1, help='When to give up, in seconds.')
]
Json = typing.Annotated[
    bool, typer.Option('--json', help='Print JSON for programs.')
]


def read_key(key: str, key_file: str, as_json: bool) -> str:
    """Return the operators' key; end with status 2 where there is none."""
    if key_file:
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            fail_usage(as_json, f'--key-file: {error}')
    if len(key) < MIN_KEY_LENGTH:
        fail_usage(
            as_json,
            "the operators' key is missing or shorter than"
            f' {MIN_KEY_LENGTH} characters; give --key-file',
        )
    return key


def fail_usage(as_json: bool, message: str) -> typing.NoReturn:
    """Report a mistake on the command line."""
    error = {'error': {'code': 'bad_usage', 'message': message}}
    _output.print_problem(as_json, error, [message])
    raise typer.Exit(_output.EXIT_FINDINGS)
