"""Headers of the platform's HTTP interfaces, in lower case."""

from __future__ import annotations

import typing

from laburnumstep import transport

REQUEST_ID = b'attempt-id'
"""Identifies one attempt of a caller; servers echo it."""
DEADLINE = b'deadline-remaining'
"""Milliseconds for which the sender waits."""
AUTHORIZATION = b'authorization'
"""`Token KEY`, the key of a workspace."""
WORKSPACE = b'tenant'
"""Name of the workspace, set by the entry VM."""
INSTANCE = b'instance-id'
"""Name of the target that answers."""
EXPECT_INSTANCE = b'expect-instance'
"""Name of the target that may run the request."""
NOT_EXECUTED = b'not-executed'
"""Present where the target did not run the request."""
SIGNATURE = b'response-stamp'
"""The target's MAC of its answer."""
RETRY_AFTER = b'retry-after'
"""Seconds, possibly with a fraction, until the caller may come back."""
MODEL = b'model'
"""Name of the model."""
TOKENS = b'token-usage'
"""Prompt tokens and the most output tokens, separated by a comma."""
PREFIXES = b'prompt-prefix'
"""Parts of the prompt as `ID:TOKENS`, separated by commas."""
LENGTH_HINT = b'length-hint'
"""Output tokens that the caller expects."""
PRIORITY = b'request-priority'
"""0 to 9; 0 goes first."""
LAST_EVENT = b'last-event-id'
"""Last event that the caller received."""
KV_BACKUP = b'kv-backup'
"""Address of the engine that keeps a copy of the run's memory."""
KV_FROM = b'kv-from'
"""`ADDRESS/REFERENCE` of the copy from which a run goes on."""

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
    """Return the first value of a header, or nothing."""
    for key, value in headers:
        if key == name:
            return value
    return b''


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that do not concern only one connection."""
    named = {
        item.strip().lower()
        for key, value in headers
        if key == b'connection'
        for item in value.split(b',')
    }
    # A caller must not have the headers removed that tell its requests
    # and answers apart.
    named -= {REQUEST_ID, MODEL, TOKENS, PREFIXES, SIGNATURE, NOT_EXECUTED}
    return [
        (key, value)
        for key, value in headers
        if key not in _HOP_BY_HOP and key not in named
    ]


def drop_own(headers: Headers) -> Headers:
    """Return a caller's headers without those that the VM sets itself."""
    return [
        (key, value)
        for key, value in drop_hop_by_hop(headers)
        if key not in _SET_BY_VM
    ]
