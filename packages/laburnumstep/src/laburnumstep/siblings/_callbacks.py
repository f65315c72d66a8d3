"""Functions of the VM that membership calls."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.siblings import _configurations
from laburnumstep.siblings import _messages

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep import core

ClaimHandler = typing.Callable[
    [_messages.ClaimForward],
    'collections.abc.Awaitable[core.DocumentObject]',
]


TopicHandler = typing.Callable[
    [_messages.TopicRead],
    'collections.abc.Awaitable[_messages.TopicAnswer]',
]
LoadsHandler = typing.Callable[[_messages.EngineLoads], None]
PermitsHandler = typing.Callable[
    [_messages.PermitAsk | _messages.PermitReply],
    list[_messages.SiblingMessage],
]


async def _refuse_topic_read(
    request: _messages.TopicRead,
) -> _messages.TopicAnswer:
    """Answer as a VM that follows no topic."""
    return _messages.TopicUnavailable()


def _ignore_loads(message: _messages.EngineLoads) -> None:
    """Ignore load reports, as a VM that reads them all itself."""


def _ignore_permits(
    message: _messages.PermitAsk | _messages.PermitReply,
) -> list[_messages.SiblingMessage]:
    """Answer nothing, as a VM that issues no permits."""
    return []


@attrs.frozen
class MembershipCallbacks:
    """Functions of the VM that membership calls."""

    read_configuration: _configurations.ReadConfiguration
    """Returns the configuration in force on this VM, or None."""
    adopt: _configurations.AdoptConfiguration
    """Applies a configuration of a sibling; returns whether it is in force."""
    claim: ClaimHandler
    """Handles claim records for the owner of their partition."""
    read_topic: TopicHandler = _refuse_topic_read
    """Returns records of a topic that this VM follows."""
    receive_loads: LoadsHandler = _ignore_loads
    """Receives load reports that a sibling read."""
    receive_permits: PermitsHandler = _ignore_permits
    """Handles questions for permits and their answers; returns answers."""
