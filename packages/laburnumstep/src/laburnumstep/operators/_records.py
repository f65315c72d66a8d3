"""What operators read and order."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep import siblings


@attrs.frozen
class VMStatus:
    """Status of this VM."""

    vm: str
    """Name of the VM."""
    data_centre: str
    """Its data centre."""
    version: int | None
    """Version of the configuration in force; None where none is known."""
    digest: str | None
    """Digest of the configuration in force."""
    members: list[siblings.Member]
    """Entry VMs that it knows, itself included."""
    targets: list[siblings.TargetStatus]
    """Targets and who said what about them."""
    requests_in_progress: int
    """Requests of callers that are not complete."""
    stopping: bool
    """Whether it accepts no new work."""


@attrs.frozen
class DrainTarget:
    """Orders that a target gets no new work."""

    target: str
    """Name of the target."""


@attrs.frozen
class DrainVM:
    """Orders that an entry VM accepts no new work."""

    vm: str
    """Name of the VM."""


DrainOrder = DrainTarget | DrainVM


class StatusSource(typing.Protocol):
    """Knows the status of this VM."""

    def read_status(self) -> VMStatus:
        """Return the status now."""
        ...


class DrainHandler(typing.Protocol):
    """Carries out drain orders."""

    async def drain(self, order: DrainOrder) -> None:
        """Carry out an order.

        Raises:
            CodedError: The order cannot be carried out, such as
                `no_target` for a name that is not known.
        """
        ...
