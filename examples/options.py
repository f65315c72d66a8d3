"""Command line of the example programs."""

from __future__ import annotations

import json
import pathlib
import typing

import attrs

import laburnumstep_operator
import typer


@attrs.frozen
class Options:
    """What differs between one run of a program and the next."""

    addresses: dict[str, str]
    """IP number and port by target, where given."""
    secrets: dict[str, str]
    """Secret by workspace, where given."""

    def find_address(self, target: str, port: int) -> str:
        """Return the address of a target; on loopback unless given."""
        return self.addresses.get(target, f'127.0.0.1:{port}')

    def digest_secret(self, workspace: str) -> str:
        """Return the digest of a workspace's secret.

        Without a file of secrets, a workspace `norte` has the secret
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
    """Return what the command line gives.

    Args:
        address: Addresses as `TARGET=ADDRESS`.
        secrets: File with the secrets, or nothing.
    """
    addresses = {}
    for text in address:
        target, equals, found = text.partition('=')
        if not equals:
            raise typer.BadParameter(
                f'--address {text}: must be TARGET=ADDRESS'
            )
        addresses[target] = found
    known = json.loads(pathlib.Path(secrets).read_text()) if secrets else {}
    return Options(addresses, known)
