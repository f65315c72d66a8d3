"""Decoding of the VM list from JSON."""

from __future__ import annotations

import typing

from laburnumstep.vmlist import _records


def decode_list(
    body: typing.Any, encoded_bytes: int
) -> tuple[_records.VMList, list[str]]:
    """Decode a list as the platform sends it.

    Malformed VMs are left out, so that they do not hide the others.

    Args:
        body: The JSON value.
        encoded_bytes: Size of the answer, in bytes.

    Returns:
        The list, and a message for each VM that was left out.

    Raises:
        ValueError: The answer is not a list of VMs.
    """
    try:
        as_of = float(body['as_of'])
        items = list(body['vms'])
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f'the answer is no VM list: {error!r}') from error
    vms = []
    skipped = []
    for item in items:
        try:
            vms.append(_decode_vm(item))
        except (KeyError, TypeError, ValueError) as error:
            skipped.append(f'{item!r:.120}: {error!r}')
    return _records.VMList(as_of, vms, encoded_bytes), skipped


def _decode_vm(item: typing.Any) -> _records.ListedVM:
    return _records.ListedVM(
        str(item['name']),
        _records.VMKind(item['kind']),
        str(item['address']),
        str(item['data_centre']),
        _records.ListedState(item['state']),
    )
