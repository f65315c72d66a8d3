"""Permits to send requests to a limited target."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep.targets.limits import _knowledge


@attrs.frozen
class PermitRequest:
    """A VM's request for permits to send to a limited target."""

    target: str
    """Name of the target."""
    limit: _knowledge.KnownLimit
    """The limit as the VM knows it."""
    count: int
    """Number of permits that the VM could use now."""


@attrs.frozen
class Granted:
    """Permits that the VM may use."""

    count: int
    """Number of permits, at least one."""
    until: float
    """When they expire, in epoch seconds."""


@attrs.frozen
class Withheld:
    """No permit is available now."""

    until: float
    """When the VM may ask again, in epoch seconds."""


@attrs.frozen
class Unanswered:
    """No VM that issues permits can be reached."""


PermitAnswer = Granted | Withheld
PermitResult = Granted | Withheld | Unanswered


class PermitSource(typing.Protocol):
    """Issues permits for all VMs together."""

    async def request(self, wanted: PermitRequest) -> PermitResult:
        """Request permits from the VM that issues those of a target."""
        ...

    def count_vms(self) -> int:
        """Return the number of VMs that share a limit."""
        ...
