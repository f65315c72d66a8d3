"""Renders settings files of entry VMs on loopback."""

from __future__ import annotations

OPERATORS_KEY = 'operators-loopback-key'
"""Key that authenticates operators."""
SIBLINGS_KEY = 'siblings-loopback-key'
"""Key that authenticates sibling VMs."""
SIGNING_KEY = 'signing-loopback-key'
"""Key that signs resume handles."""


def render_settings(
    name: str = 'vm-1',
    data_centre: str = 'lima-1',
    region: str = 'lima',
    log: str = '127.0.0.1:1',
    vmlist: str = '127.0.0.1:1',
    weights: str = '127.0.0.1:1',
    seeds: str = '',
) -> str:
    """Return the content of a settings file.

    The VM listens on free ports that the operating system assigns.

    Args:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        region: Region of the VM.
        log: Address of the log.
        vmlist: Address of the VM list.
        weights: Address of the weight store.
        seeds: Addresses of sibling VMs, separated by commas.
    """
    return f"""[vm]
name = {name}
data_centre = {data_centre}
region = {region}
deployment = cuadrilla

[callers]
address = 127.0.0.1:0

[operators]
address = 127.0.0.1:0
key = {OPERATORS_KEY}

[siblings]
address = 127.0.0.1:0
key = {SIBLINGS_KEY}
signing_key = {SIGNING_KEY}
seeds = {seeds}

[log]
address = {log}

[vmlist]
address = {vmlist}

[weights]
address = {weights}
"""
