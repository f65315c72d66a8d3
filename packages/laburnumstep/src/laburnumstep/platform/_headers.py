"""Header names of the platform's HTTP interfaces, in lower case."""

from __future__ import annotations

import typing

from laburnumstep import transport

REQUEST_ID = b'attempt-id'
"""Identifies one attempt of a caller; targets echo it."""
DEADLINE = b'deadline-remaining'
"""Time until the sender stops waiting for the answer, in milliseconds."""
AUTHORIZATION = b'authorization'
"""Credentials of the form `Token KEY`, with the API key of a workspace."""
WORKSPACE = b'tenant'
"""Name of the caller's workspace, set by the VM."""
INSTANCE = b'instance-id'
"""Name of the target that answers."""
EXPECT_INSTANCE = b'expect-instance'
"""Name of the only target that may run the request."""
NOT_EXECUTED = b'not-executed'
"""Present if the target did not run the request."""
SIGNATURE = b'response-stamp'
"""Message authentication code that the target adds to its answer."""
REQUEST_LIMIT = b'server-limit'
"""Requests a second that the target takes from all VMs together."""
SERVER_LEAVING = b'server-leaving'
"""`1` if the target accepts no new work and will stop."""
COLD_MS = b'cold-ms'
"""Time for which the target stays cold, in milliseconds."""
RETRY_AFTER = b'retry-after'
"""Seconds, possibly with a fraction, until the caller may resend."""
MODEL = b'model'
"""Name of the model."""
TOKENS = b'token-usage'
"""Number of prompt tokens and maximum of output tokens, as `N,N`."""
PREFIXES = b'prompt-prefix'
"""Prefixes of the prompt as `ID:TOKENS`, separated by commas."""
LENGTH_HINT = b'length-hint'
"""Number of output tokens that the caller expects."""
PRIORITY = b'request-priority'
"""Priority from 0 (highest) to 9."""
LAST_EVENT = b'last-event-id'
"""ID of the last event that the caller received."""
KV_BACKUP = b'kv-backup'
"""Address of the backup engine that keeps a copy of the run's memory."""
KV_FROM = b'kv-from'
"""`ADDRESS/REFERENCE` of the copy from which a run continues."""

Headers = transport.Headers

_HOP_BY_HOP = frozenset(
    [
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ]
)
_SET_BY_VM = frozenset(
    [
        AUTHORIZATION,
        DEADLINE,
        EXPECT_INSTANCE,
        KV_BACKUP,
        KV_FROM,
        LAST_EVENT,
        PRIORITY,
        WORKSPACE,
        b'hold',
        b'kv-fetch',
        b'pin-ms',
    ]
)


def find(headers: typing.Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first value of a header, or an empty string.

    Args:
        headers: Names in lower case, with values.
        name: Name of the header, in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return b''


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those that apply to one connection.

    These are the hop-by-hop headers and those listed in `Connection`.
    """
    listed = {
        item.strip().lower()
        for key, value in headers
        if key == b'connection'
        for item in value.split(b',')
    }
    # `Connection` must not remove headers that match an answer to its
    # request, describe the prompt, or state whether the request ran.
    listed -= {REQUEST_ID, MODEL, TOKENS, PREFIXES, SIGNATURE, NOT_EXECUTED}
    return [
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP and key not in listed
    ]


def drop_vm_headers(headers: Headers) -> Headers:
    """Return a caller's headers without those that only the VM may set."""
    return [
        (key, value)
        for key, value in drop_hop_by_hop(headers)
        if key not in _SET_BY_VM
    ]
