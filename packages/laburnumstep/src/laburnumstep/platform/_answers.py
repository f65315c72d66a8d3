"""What the head of a server's answer says about its request."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep.platform import _headers

if typing.TYPE_CHECKING:
    from laburnumstep.targets import relay
    from laburnumstep import transport

DEFAULT_IDLE_SECONDS = 1.0
"""Idle timeout of a connection whose server states none, in seconds."""
IDLE_MARGIN_SECONDS = 0.5
"""How long before its server this client drops an idle connection, in
seconds."""
_EVENT_STREAM = b'text/event-stream'


def is_own_answer(
    attempt: relay.Attempt,
    connection: transport.HttpConnection,
    response: transport.ResponseHead,
) -> bool:
    """Return whether an answer belongs to the request of an attempt."""
    echoed = response.find(_headers.REQUEST_ID)
    refused = response.find(_headers.NOT_EXECUTED) is not None
    # Only the first answer on a connection cannot be a repetition of an
    # earlier one, so only there may a refusal lack the ID.
    if echoed is None and refused and not connection.was_reused:
        return True
    return (echoed or b'').decode('latin-1') == attempt.request.key


def is_stream(
    request: relay.RelayRequest, response: transport.ResponseHead
) -> bool:
    """Return whether an answer is a stream of events."""
    content_type = response.find(b'content-type') or b''
    return isinstance(request.route.kind, core.StreamKind) and (
        content_type.startswith(_EVENT_STREAM)
    )


def compute_idle_seconds(response: transport.ResponseHead) -> float:
    """Return how long an idle connection may be reused, in seconds.

    This is the idle timeout that the server states, less a margin.
    """
    value = response.find(b'keep-alive') or b''
    for item in value.split(b','):
        name, _, seconds = item.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds) - IDLE_MARGIN_SECONDS
    return DEFAULT_IDLE_SECONDS
