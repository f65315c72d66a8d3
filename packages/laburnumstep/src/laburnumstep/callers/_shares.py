"""Allocation of a workspace's limits to VMs by its aggregator."""

from __future__ import annotations

import math
import typing

import attrs

SHARE_SECONDS = 5.0
"""Lifetime of a share, in seconds; it spans several gossip rounds."""
MIN_SHARE_FRACTION = 0.2
"""Fraction of an equal share that a VM gets even without demand, so that its
first request is not refused before the demand is reported."""
_ROUNDING = 1e-9


@attrs.frozen
class Share:
    """Fraction of a workspace's limits granted to one VM."""

    fraction: float
    """Fraction of the limits, from 0 to 1."""
    until: float
    """Expiry, in epoch seconds."""


@attrs.frozen
class Demand:
    """Demand of one VM for the limits of a workspace."""

    amount: float
    """Fraction of the limits that the VM could use; may exceed 1."""
    held: Share | None = None
    """Share in use on the VM, if any; reporting it confirms it."""


class ShareAllocator:
    """Allocates one workspace's limits by demand, with a minimum for each VM.

    When the share of a VM shrinks, the difference is granted to others only
    after the VM has confirmed the smaller share or the larger one has
    expired. So the sum over all VMs stays within the limits even while
    messages with new shares are delayed.
    """

    def __init__(self) -> None:
        self._granted: dict[str, list[Share]] = {}

    def allocate(
        self,
        demands: dict[str, Demand],
        vms: typing.Sequence[str],
        concurrency: int,
        now: float,
    ) -> dict[str, Share]:
        """Return a share for each VM.

        Args:
            demands: Demands by VM. A VM without one gets the minimum, and is
                assumed to use an equal share until it confirms a smaller
                one.
            vms: Names of the VMs that share the limits.
            concurrency: Limit of requests in progress. Shares are rounded to
                whole requests.
            now: The time, in epoch seconds.
        """
        names = sorted(set(vms) | set(demands))
        if not names:
            return {}
        self._discard_replaced(demands, names, now)
        amounts = {
            vm: demands[vm].amount if vm in demands else 0.0 for vm in names
        }
        wanted = divide_fairly(amounts, 1.0, MIN_SHARE_FRACTION / len(names))
        wanted = round_to_slots(wanted, amounts, concurrency)
        outstanding = {
            vm: self._get_outstanding(vm, demands, len(names), now)
            for vm in names
        }
        total = sum(outstanding.values())
        shares = {}
        # VMs whose share shrinks come first. The larger share stays
        # outstanding until they confirm the smaller one.
        for vm in sorted(names, key=lambda n: wanted[n] - outstanding[n]):
            available = max(0.0, 1.0 - total + outstanding[vm])
            share = Share(min(wanted[vm], available), now + SHARE_SECONDS)
            total += max(0.0, share.fraction - outstanding[vm])
            self._granted.setdefault(vm, []).append(share)
            shares[vm] = share
        return shares

    def _discard_replaced(
        self, demands: dict[str, Demand], names: list[str], now: float
    ) -> None:
        """Drop shares that have expired or been replaced by a later one."""
        for vm in list(self._granted):
            live = [s for s in self._granted[vm] if s.until > now]
            held = demands[vm].held if vm in demands else None
            if held is not None:
                live = [s for s in live if s.until >= held.until]
            if live:
                self._granted[vm] = live
            else:
                del self._granted[vm]

    def _get_outstanding(
        self, vm: str, demands: dict[str, Demand], count: int, now: float
    ) -> float:
        """Return the largest fraction that a VM may be using now."""
        fractions = [share.fraction for share in self._granted.get(vm, [])]
        held = demands[vm].held if vm in demands else None
        if held is not None and held.until > now:
            fractions.append(held.fraction)
        else:
            fractions.append(1.0 / count)
        return max(fractions)


def divide_fairly(
    demands: dict[str, float], available: float, floor: float
) -> dict[str, float]:
    """Divide a fraction of the limits by max-min fairness.

    Args:
        demands: Demand by name, as a fraction of the limits.
        available: Fraction to divide.
        floor: Minimum fraction for each name.
    """
    result = {name: floor for name in demands}
    remaining = available - floor * len(demands)
    unsatisfied = {
        name: amount - floor
        for name, amount in demands.items()
        if amount > floor
    }
    while unsatisfied and remaining > _ROUNDING:
        fraction = remaining / len(unsatisfied)
        satisfied = {n: a for n, a in unsatisfied.items() if a <= fraction}
        if not satisfied:
            for name in unsatisfied:
                result[name] += fraction
            return result
        for name, amount in satisfied.items():
            result[name] += amount
            remaining -= amount
            del unsatisfied[name]
    # What exceeds the demand is divided equally, to be usable at once by new
    # demand.
    for name in result:
        result[name] += max(0.0, remaining) / len(result)
    return result


def round_to_slots(
    fractions: dict[str, float], demands: dict[str, float], slots: int
) -> dict[str, float]:
    """Round fractions to whole numbers of requests in progress.

    Rounding down alone would leave slots unused, which matters with few
    slots. The unused ones go to the names with demand that lose most by
    rounding.

    Args:
        fractions: Fractions by name, with a sum of at most 1.
        demands: Demand by name, as a fraction of the limits.
        slots: Limit of requests in progress.
    """
    if slots <= 0:
        return dict(fractions)
    exact = {name: fraction * slots for name, fraction in fractions.items()}
    slots_by_name = {
        n: math.floor(number + _ROUNDING) for n, number in exact.items()
    }
    remaining = math.floor(sum(exact.values()) + _ROUNDING) - sum(
        slots_by_name.values()
    )
    by_loss = sorted(
        exact,
        key=lambda n: (
            demands.get(n, 0.0) <= 0,
            slots_by_name[n] - exact[n],
            n,
        ),
    )
    for name in by_loss[:remaining]:
        slots_by_name[name] += 1
    return {name: count / slots for name, count in slots_by_name.items()}
