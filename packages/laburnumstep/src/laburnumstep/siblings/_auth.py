"""Authentication of sibling calls by a shared key in their metadata."""

from __future__ import annotations

import hmac
import typing

import grpc
import grpc.aio

from laburnumstep import core

KEY_METADATA = 'x-laburnumstep-sibling-key'
"""Name of the metadata entry that carries the key."""
_LOG = core.get_logger('siblings')


def build_metadata(key: str) -> tuple[tuple[str, str], ...]:
    """Return the metadata that authenticates a call.

    Args:
        key: Key shared by all VMs of the deployment.
    """
    return ((KEY_METADATA, key),)


class KeyInterceptor(grpc.aio.ServerInterceptor):
    """Refuses calls that do not carry the deployment's sibling key.

    Args:
        key: Key shared by all VMs of the deployment.
    """

    def __init__(self, key: str) -> None:
        self._key = key.encode()

    async def intercept_service(
        self, continuation: typing.Any, handler_call_details: typing.Any
    ) -> typing.Any:
        """Continue a call with the right key and refuse any other.

        A call that carries the key more than once is refused.
        """
        metadata = handler_call_details.invocation_metadata or ()
        given = [value for name, value in metadata if name == KEY_METADATA]
        if len(given) == 1 and self._matches(given[0]):
            return await continuation(handler_call_details)
        _LOG.warning(
            'call of %s refused: the sibling key is wrong or missing',
            handler_call_details.method,
        )
        return grpc.stream_stream_rpc_method_handler(_refuse)

    def _matches(self, given: str | bytes) -> bool:
        text = given.encode() if isinstance(given, str) else given
        return hmac.compare_digest(text, self._key)


async def _refuse(
    messages: typing.AsyncIterator[bytes],
    context: grpc.aio.ServicerContext,
) -> typing.AsyncIterator[bytes]:
    await context.abort(
        grpc.StatusCode.UNAUTHENTICATED, 'the sibling key is wrong or missing'
    )
    yield b''
