"""Command-line options of the example programs."""

from __future__ import annotations

import json
import pathlib
import typing

import attrs

import laburnumstep_operator
import typer


@attrs.frozen
class Options:
    """Addresses and secrets that override the defaults of a program."""

    addresses: dict[str, str]
    """IP address and port by target."""
    secrets: dict[str, str]
    """Secret by workspace."""

    def find_address(self, target: str, port: int) -> str:
        """Return the address of a target.

        Args:
            target: Name of the target.
            port: Port on loopback if the options have no address.
        """
        return self.addresses.get(target, f'127.0.0.1:{port}')

    def digest_secret(self, workspace: str) -> str:
        """Return the digest of a workspace's secret.

        A workspace `norte` that is not in the file of secrets has the secret
        `norte-example-secret`.
        """
        secret = self.secrets.get(workspace, f'{workspace}-example-secret')
        return laburnumstep_operator.digest_secret(secret)


Addresses = typing.Annotated[
    list[str],
    typer.Option(
        '--address',
        metavar='TARGET=ADDRESS',
        default_factory=list,
        help='IP number and port of a target; may be repeated.',
    ),
]
Secrets = typing.Annotated[
    str,
    typer.Option(
        metavar='FILE', help='JSON object with the secret of each workspace.'
    ),
]


def read_options(address: list[str], secrets: str) -> Options:
    """Return the options as parsed from the command line.

    Args:
        address: Addresses as `TARGET=ADDRESS`.
        secrets: Path of the JSON file of secrets; empty for none.

    Raises:
        typer.BadParameter: If an address does not have this form.
    """
    addresses = {}
    for text in address:
        target, separator, target_address = text.partition('=')
        if not separator:
            raise typer.BadParameter(
                f'--address {text}: must be TARGET=ADDRESS'
            )
        addresses[target] = target_address
    loaded = json.loads(pathlib.Path(secrets).read_text()) if secrets else {}
    return Options(addresses, loaded)
