"""Arguments and options that several commands share."""

from __future__ import annotations

import pathlib
import typing

import typer

from laburnumstep import targets
from laburnumstep_operator import _checks
from laburnumstep_operator import _output

MIN_KEY_LENGTH = 16
"""Shortest key that a VM accepts, in characters."""


def parse_address(text: str) -> str:
    """Return an address from the command line unchanged.

    Raises:
        typer.BadParameter: If it does not have the form
            `<IP number>:<port>`; typer adds the name of the option.
    """
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
        parser=parse_address,
        metavar='ADDRESS',
        help='IP number and port of the log.',
    ),
]
MadeFrom = typing.Annotated[
    int,
    typer.Option(
        min=0,
        help='Version from which the document was made; 0 for the first'
        ' publication.',
    ),
]
_VM_ADDRESS_OPTION: dict[str, typing.Any] = {
    'envvar': 'LABURNUMSTEP_VMS',
    'parser': parse_address,
    'metavar': 'ADDRESS',
}
VMAddresses = typing.Annotated[
    list[str],
    typer.Option(
        '--at',
        **_VM_ADDRESS_OPTION,
        help="IP number and port of a VM's operators' interface; may be"
        ' repeated. The environment variable lists them separated by'
        ' spaces.',
    ),
]
OptionalVMAddresses = typing.Annotated[
    list[str],
    typer.Option(
        '--at',
        **_VM_ADDRESS_OPTION,
        default_factory=list,
        help="IP number and port of a VM's operators' interface; may be"
        ' repeated. Not needed with --logs.',
    ),
]


def parse_trait(text: str) -> str:
    """Return a trait from the command line unchanged.

    Raises:
        typer.BadParameter: If it does not have the form `part:MODEL:ID` or
            `request:DIGEST`.
    """
    try:
        targets.parse_trait(text)
    except ValueError as error:
        raise typer.BadParameter(
            f'{text!r} must be part:MODEL:ID or request:DIGEST'
        ) from error
    return text


RefusedTraits = typing.Annotated[
    list[str],
    typer.Option(
        '--refuse',
        parser=parse_trait,
        metavar='TRAIT',
        default_factory=list,
        help='Refuse requests with this trait, as it stands in the logs; may'
        ' be repeated for requests that have all of them.',
    ),
]
ClearedTraits = typing.Annotated[
    list[str],
    typer.Option(
        '--clear',
        parser=parse_trait,
        metavar='TRAIT',
        default_factory=list,
        help='Accept requests with this trait again; may be repeated.',
    ),
]
LogFolder = typing.Annotated[
    str,
    typer.Option(
        '--logs',
        metavar='FOLDER',
        help='Folder with one log file for each VM, named after the VM.',
    ),
]
Key = typing.Annotated[
    str,
    typer.Option(
        '--key',
        envvar='LABURNUMSTEP_OPERATORS_KEY',
        help="The operators' key. Prefer the environment variable or"
        ' --key-file: other users of a machine can read the command line.',
        show_envvar=True,
    ),
]
KeyFile = typing.Annotated[
    str, typer.Option(help="File that contains the operators' key.")
]
Timeout = typing.Annotated[
    float,
    typer.Option(
        min=0.1, help='Longest time to wait for answers, in seconds.'
    ),
]
Json = typing.Annotated[
    bool, typer.Option('--json', help='Print JSON instead of text.')
]


def read_key(key: str, key_file: str, as_json: bool) -> str:
    """Return the operators' key from the file or from the option.

    Args:
        key: The key as given on the command line or in the environment.
        key_file: File that contains the key; empty for none. It has
            priority over `key`.
        as_json: Whether to report an error as JSON.

    Raises:
        typer.Exit: With status 2 if the key is missing or too short, or
            the file cannot be read.
    """
    if key_file:
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            exit_with_usage_error(as_json, f'--key-file: {error}')
    if len(key) < MIN_KEY_LENGTH:
        exit_with_usage_error(
            as_json,
            "the operators' key is missing or shorter than"
            f' {MIN_KEY_LENGTH} characters; set it with --key-file',
        )
    return key


def exit_with_usage_error(as_json: bool, message: str) -> typing.NoReturn:
    """Print a mistake on the command line and exit with status 2."""
    error = {'error': {'code': 'bad_usage', 'message': message}}
    _output.print_error(as_json, error, [message])
    raise typer.Exit(_output.EXIT_FINDINGS)
