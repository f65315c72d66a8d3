"""Client of the operators' interface of one VM."""

from __future__ import annotations

import typing
import urllib.parse

import attrs

from laburnumstep import core
from laburnumstep import transport


@attrs.frozen
class Answered:
    """The VM answered."""

    address: str
    """IP number and port that was asked."""
    body: core.DocumentObject
    """The answer."""


@attrs.frozen
class NotFound:
    """The VM does not know what was asked for."""

    address: str
    """IP number and port that was asked."""
    message: str
    """What the VM says, for people."""


@attrs.frozen
class Failed:
    """The VM was not reached or refused the request."""

    address: str
    """IP number and port that was asked."""
    code: str
    """Stable code."""
    message: str
    """What happened, for people."""


VMAnswer = Answered | NotFound | Failed


class VMClient:
    """Asks one VM.

    Args:
        address: IP number and port of its operators' interface.
        key: The operators' key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._http = transport.JsonClient(address)
        self._headers = {'Authorization': f'Bearer {key}'}

    async def fetch_status(self, deadline: float) -> VMAnswer:
        """Ask what is in force; `deadline` in epoch seconds."""
        return await self._request('GET', '/v1/status', deadline)

    async def fetch_decision(self, request: str, deadline: float) -> VMAnswer:
        """Ask why a request was routed where it was."""
        name = urllib.parse.quote(request, safe='')
        return await self._request('GET', f'/v1/decisions/{name}', deadline)

    async def drain(
        self, kind: typing.Literal['target', 'vm'], name: str, deadline: float
    ) -> VMAnswer:
        """Ask for a target or a VM to get no new work."""
        return await self._request('POST', '/v1/drain', deadline, {kind: name})

    async def close(self) -> None:
        """Close the connections."""
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
        code, message = _read_error(answer, reply.status)
        if reply.status == 404:
            return NotFound(address, message)
        return Failed(address, code, message)


def _read_error(answer: core.DocumentObject, status: int) -> tuple[str, str]:
    error = answer.get('error', answer)
    if not isinstance(error, dict):
        error = {}
    code = error.get('code', f'http_{status}')
    return str(code), str(error.get('message', f'status {status}'))
