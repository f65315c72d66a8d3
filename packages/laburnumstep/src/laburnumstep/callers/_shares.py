"""Division of a workspace's limits among VMs, at its aggregator."""

from __future__ import annotations

import math
import typing

import attrs

SHARE_SECONDS = 5.0
"""How long a share holds, in seconds; several rounds of gossip."""
FLOOR = 0.2
"""Part of an equal share that each VM gets without demand, so that a
first request is not refused before its demand is known."""
_ROUNDING = 1e-9


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
        self,
        demands: dict[str, Demand],
        vms: typing.Sequence[str],
        concurrency: int,
        now: float,
    ) -> dict[str, Share]:
        """Return a share for each VM.

        Args:
            demands: Demands by VM. A VM without one counts as idle, and
                as using its equal share until it confirms a smaller one.
            vms: Names of the VMs that share the limits.
            concurrency: Limit of requests in progress; a part of a
                request is of no use to a VM.
            now: In epoch seconds.
        """
        names = sorted(set(vms) | set(demands))
        if not names:
            return {}
        self._confirm(demands, names, now)
        amounts = {
            vm: demands[vm].amount if vm in demands else 0.0 for vm in names
        }
        wanted = divide_fairly(amounts, 1.0, FLOOR / len(names))
        wanted = round_to_slots(wanted, amounts, concurrency)
        outstanding = {
            vm: self._get_outstanding(vm, demands, len(names), now)
            for vm in names
        }
        total = sum(outstanding.values())
        shares = {}
        # Those that give up something go first; it stays outstanding until
        # they confirm.
        for vm in sorted(names, key=lambda n: wanted[n] - outstanding[n]):
            room = max(0.0, 1.0 - total + outstanding[vm])
            share = Share(min(wanted[vm], room), now + SHARE_SECONDS)
            total += max(0.0, share.fraction - outstanding[vm])
            self._granted.setdefault(vm, []).append(share)
            shares[vm] = share
        return shares

    def _confirm(
        self, demands: dict[str, Demand], names: list[str], now: float
    ) -> None:
        """Forget shares that have expired or been replaced."""
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
        """Return the most that a VM may be using at this time."""
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
    while needy and left > _ROUNDING:
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


def round_to_slots(
    fractions: dict[str, float], demands: dict[str, float], slots: int
) -> dict[str, float]:
    """Round parts so that each is a whole number of requests in progress.

    With few slots, rounding down alone would leave some of them unused.
    They go to those with demand that lose most by rounding.

    Args:
        fractions: Parts whose sum is at most 1.
        demands: Wanted parts.
        slots: Requests that may be in progress.
    """
    if slots <= 0:
        return dict(fractions)
    exact = {name: part * slots for name, part in fractions.items()}
    whole = {n: math.floor(part + _ROUNDING) for n, part in exact.items()}
    left = math.floor(sum(exact.values()) + _ROUNDING) - sum(whole.values())
    by_loss = sorted(
        exact,
        key=lambda n: (demands.get(n, 0.0) <= 0, whole[n] - exact[n], n),
    )
    for name in by_loss[:left]:
        whole[name] += 1
    return {name: count / slots for name, count in whole.items()}
