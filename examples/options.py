"""Command line of the example programs."""

from __future__ import annotations

import argparse
import json
import pathlib

import attrs

import laburnumstep_operator


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


def read_options(description: str) -> Options:
    """Read the options of the command line."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        '--address',
        action='append',
        default=[],
        metavar='TARGET=ADDRESS',
        help='IP number and port of a target; may be repeated',
    )
    parser.add_argument(
        '--secrets',
        metavar='FILE',
        help='JSON object with the secret of each workspace',
    )
    given = parser.parse_args()
    addresses = {}
    for text in given.address:
        target, equals, address = text.partition('=')
        if not equals:
            parser.error(f'--address {text}: must be TARGET=ADDRESS')
        addresses[target] = address
    secrets = {}
    if given.secrets:
        secrets = json.loads(pathlib.Path(given.secrets).read_text())
    return Options(addresses, secrets)
