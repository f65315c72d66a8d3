"""Client of the platform's VM list."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import transport
from laburnumstep.vmlist import _codec

if typing.TYPE_CHECKING:
    from laburnumstep.vmlist import _records

_LOG = core.get_logger('vmlist')


class VMListUnavailable(Exception):
    """The VM list did not answer, or its answer is not a list."""


class VMListClient:
    """Reads the list of live and leaving VMs.

    Args:
        address: IP address and port of the VM list.
    """

    def __init__(self, address: str) -> None:
        self._http = transport.JsonClient(address)

    async def read(self, deadline: float) -> _records.VMList:
        """Read the list once.

        Args:
            deadline: When to give up, in epoch seconds.

        Raises:
            VMListUnavailable: The list could not be read.
        """
        try:
            reply = await self._http.request('GET', '/v1/vms', deadline)
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            raise VMListUnavailable(str(error)) from error
        if reply.status != 200:
            raise VMListUnavailable(f'the VM list answered {reply.status}')
        try:
            size = int(reply.headers.get('content-length', '0'))
            vm_list, skipped = _codec.decode_list(reply.body, size)
        except ValueError as error:
            raise VMListUnavailable(str(error)) from error
        for message in skipped:
            _LOG.warning('skipped a malformed VM of the list: %s', message)
        return vm_list

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
