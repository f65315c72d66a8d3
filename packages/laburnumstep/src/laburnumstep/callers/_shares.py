"""Division of a workspace's limits among VMs, at its aggregator."""

from __future__ import annotations

import attrs

SHARE_SECONDS = 5.0
"""How long a share holds, in seconds; several rounds of gossip."""
FLOOR = 0.2
"""Part of an equal share that each VM gets without demand, so that a
first request is not refused before its demand is known."""


@attrs.frozen
class Share:
    """A part of a workspace's limits for one VM."""

    fraction: float
    """From 0 to 1."""
    until: float
    """When it expires, in epoch seconds."""


@attrs.frozen
class Demand:
    """What one VM reports of a workspace."""

    amount: float
    """Part of the limits that the VM could use; may be above 1."""
    held: Share | None = None
    """Share that the VM holds now, if any."""


class ShareAllocator:
    """Divides one workspace's limits by demand, with a floor for each VM.

    A part that one VM gives up is handed to others only when that VM has
    confirmed its smaller share or its larger one has expired, so the sum
    over the VMs stays within the limit while shares are on their way.
    """

    def __init__(self) -> None:
        self._granted: dict[str, list[Share]] = {}

    def allocate(
        self, demands: dict[str, Demand], known_vms: int, now: float
    ) -> dict[str, Share]:
        """Return a share for each VM that reported a demand.

        Args:
            demands: Demands by VM.
            known_vms: How many VMs share the limits; those that report no
                demand fall back to an equal share, which is set aside.
            now: In epoch seconds.
        """
        count = max(known_vms, len(demands))
        if not demands:
            return {}
        self._expire(demands, now)
        available = len(demands) / count
        floor = FLOOR / count
        wanted = divide_fairly(
            {vm: demand.amount for vm, demand in demands.items()},
            available,
            floor,
        )
        shares = {}
        for vm in sorted(demands):
            others = sum(
                self._get_outstanding(other)
                for other in demands
                if other != vm
            )
            room = max(0.0, available - others)
            share = Share(min(wanted[vm], room), now + SHARE_SECONDS)
            self._granted.setdefault(vm, []).append(share)
            shares[vm] = share
        return shares

    def _expire(self, demands: dict[str, Demand], now: float) -> None:
        for vm in list(self._granted):
            live = [s for s in self._granted[vm] if s.until > now]
            held = demands[vm].held if vm in demands else None
            if held is not None:
                # Shares from before the one that the VM holds are void.
                live = [s for s in live if s.until >= held.until]
            if live:
                self._granted[vm] = live
            else:
                del self._granted[vm]

    def _get_outstanding(self, vm: str) -> float:
        shares = self._granted.get(vm, [])
        return max((share.fraction for share in shares), default=0.0)


def divide_fairly(
    demands: dict[str, float], available: float, floor: float
) -> dict[str, float]:
    """Divide by demand: nobody gets more while another gets less in need.

    Args:
        demands: Wanted parts.
        available: What there is.
        floor: What each gets in any case.
    """
    result = {name: floor for name in demands}
    left = available - floor * len(demands)
    needy = {
        name: amount - floor
        for name, amount in demands.items()
        if amount > floor
    }
    while needy and left > 1e-12:
        part = left / len(needy)
        satisfied = {n: a for n, a in needy.items() if a <= part}
        if not satisfied:
            for name in needy:
                result[name] += part
            return result
        for name, amount in satisfied.items():
            result[name] += amount
            left -= amount
            del needy[name]
    # What nobody asks for is spread evenly, ready for new demand.
    for name in result:
        result[name] += max(0.0, left) / len(result)
    return result
