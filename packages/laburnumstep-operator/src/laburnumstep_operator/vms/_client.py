"""Client for the operators' interface of one VM."""

from __future__ import annotations

import typing
import urllib.parse

import attrs

from laburnumstep import core
from laburnumstep import transport


@attrs.frozen
class Answered:
    """The VM accepted the request."""

    address: str
    """IP address and port of the VM."""
    body: core.DocumentObject
    """Decoded body of the response; empty if it is not a JSON object."""


@attrs.frozen
class NotFound:
    """The VM does not have the requested item."""

    address: str
    """IP address and port of the VM."""
    message: str
    """Error message of the VM."""


@attrs.frozen
class Failed:
    """The VM could not be reached or refused the request."""

    address: str
    """IP address and port of the VM."""
    code: str
    """Error code: `unreachable`, or the code or status of the response."""
    message: str
    """Description of the error, for people."""


VMAnswer = Answered | NotFound | Failed


class VMClient:
    """Sends requests to the operators' interface of one VM.

    Args:
        address: IP address and port of the interface.
        key: The operators' key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._http = transport.JsonClient(address)
        self._headers = {'Authorization': f'Bearer {key}'}

    async def fetch_status(self, deadline: float) -> VMAnswer:
        """Fetch the version in force and the state of the VM.

        Args:
            deadline: When to give up, in epoch seconds.
        """
        return await self._request('GET', '/v1/status', deadline)

    async def fetch_decision(self, request: str, deadline: float) -> VMAnswer:
        """Fetch the VM's placement decision about a request.

        Args:
            request: Idempotency key of the request.
            deadline: When to give up, in epoch seconds.
        """
        key = urllib.parse.quote(request, safe='')
        return await self._request('GET', f'/v1/decisions/{key}', deadline)

    async def drain(
        self, kind: typing.Literal['target', 'vm'], name: str, deadline: float
    ) -> VMAnswer:
        """Order a target or a VM to accept no new work.

        Args:
            kind: Whether `name` is the name of a target or of a VM.
            name: Name of the target or the VM.
            deadline: When to give up, in epoch seconds.
        """
        return await self._request('POST', '/v1/drain', deadline, {kind: name})

    async def fetch_culprits(self, deadline: float) -> VMAnswer:
        """Fetch what the VM refuses because it crashes targets.

        Args:
            deadline: When to give up, in epoch seconds.
        """
        return await self._request('GET', '/v1/culprits', deadline)

    async def order_culprits(
        self, order: core.DocumentObject, deadline: float
    ) -> VMAnswer:
        """Order what is refused, or no longer refused.

        Args:
            order: The order, as a JSON object.
            deadline: When to give up, in epoch seconds.
        """
        return await self._request('POST', '/v1/culprits', deadline, order)

    async def close(self) -> None:
        """Close the connections to the VM."""
        await self._http.close()

    async def _request(
        self,
        method: str,
        path: str,
        deadline: float,
        body: core.DocumentObject | None = None,
    ) -> VMAnswer:
        address = self._http.address
        try:
            reply = await self._http.request(
                method, path, deadline, body, self._headers
            )
        except (transport.ConnectFailed, transport.ExchangeFailed) as error:
            return Failed(address, 'unreachable', str(error))
        answer = reply.body if isinstance(reply.body, dict) else {}
        if 200 <= reply.status < 300:
            return Answered(address, answer)
        code, message = _decode_error(answer, reply.status)
        if reply.status == 404:
            return NotFound(address, message)
        return Failed(address, code, message)


def _decode_error(answer: core.DocumentObject, status: int) -> tuple[str, str]:
    """Return the code and the message of an error response."""
    error = answer.get('error', answer)
    if not isinstance(error, dict):
        error = {}
    code = error.get('code', f'http_{status}')
    return str(code), str(error.get('message', f'status {status}'))
