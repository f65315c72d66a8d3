"""A valid settings file."""

from __future__ import annotations


def render(
    name: str = 'vm-1',
    data_centre: str = 'lima-1',
    region: str = 'lima',
    log: str = '127.0.0.1:1',
    vmlist: str = '127.0.0.1:1',
    weights: str = '127.0.0.1:1',
    seeds: str = '',
) -> str:
    """Return the text of a settings file; ports are given by the system."""
    return f"""[vm]
name = {name}
data_centre = {data_centre}
region = {region}
deployment = cuadrilla

[callers]
address = 127.0.0.1:0

[operators]
address = 127.0.0.1:0
key = operators-test-key

[siblings]
address = 127.0.0.1:0
key = siblings-test-key
signing_key = signing-test-key-1
seeds = {seeds}

[log]
address = {log}

[vmlist]
address = {vmlist}

[weights]
address = {weights}
"""
