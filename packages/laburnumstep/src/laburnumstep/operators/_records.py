"""Status and orders exchanged with operators."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import siblings
    from laburnumstep import targets


@attrs.frozen
class VMStatus:
    """Status of this VM."""

    vm: str
    """Name of the VM."""
    data_centre: str
    """Data centre of the VM."""
    version: int | None
    """Version of the configuration in force; None without one."""
    digest: str | None
    """Digest of the configuration in force; None without one."""
    members: list[siblings.Member]
    """Entry VMs known to this VM, including itself."""
    targets: list[siblings.TargetStatus]
    """Targets with the reports about them."""
    requests_in_progress: int
    """Number of callers' requests in progress."""
    stopping: bool
    """Whether the VM refuses new requests."""


@attrs.frozen
class DrainTarget:
    """Order to send no new work to a target."""

    target: str
    """Name of the target."""


@attrs.frozen
class DrainVM:
    """Order for an entry VM to refuse new requests."""

    vm: str
    """Name of the VM."""


DrainOrder = DrainTarget | DrainVM


@attrs.frozen
class RefuseTraits:
    """Order to refuse requests that have all of some traits."""

    traits: targets.Traits
    """The traits."""
    until: float
    """When the refusal ends, in epoch seconds."""


@attrs.frozen
class ClearTraits:
    """Order to accept requests with these traits again."""

    traits: targets.Traits
    """The traits."""


CulpritOrder = RefuseTraits | ClearTraits


class CulpritSource(typing.Protocol):
    """What is refused because it crashes targets."""

    @property
    def culprits(self) -> list[targets.Culprit]:
        """The traits that are refused, with their evidence."""
        ...

    def refuse(self, traits: targets.Traits, until: float) -> None:
        """Refuse requests with these traits until a time."""
        ...

    def clear(self, traits: targets.Traits) -> None:
        """Accept requests with these traits."""
        ...


class StatusSource(typing.Protocol):
    """Source of the status of this VM."""

    def read_status(self) -> VMStatus:
        """Return the current status."""
        ...


class DrainHandler(typing.Protocol):
    """Executes drain orders."""

    async def drain(self, order: DrainOrder) -> None:
        """Execute an order.

        Raises:
            CodedError: The order cannot be executed; `no_target` for an
                unknown name.
        """
        ...
