"""Divides the limits of workspaces among the VMs that use them.

Each VM reports its demand for a workspace to the workspace's aggregator, the
live VM with the highest rendezvous score, and receives a share that expires.
No request waits for this exchange.
"""

from __future__ import annotations

import json
import typing

import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import siblings

if typing.TYPE_CHECKING:
    from laburnumstep import log

ROUND_SECONDS = 1.5
"""Pause between two rounds, in seconds; a share is valid for three rounds."""
DEMAND_EXPIRY_SECONDS = 5.0
"""Time after which the aggregator ignores a reported demand, in seconds."""
_SHARE_PREFIX = 'share:'
_DEMAND_PREFIX = 'demand:'

_LOGGER = core.get_logger('callers')


@attrs.frozen
class _ReportedDemand:
    """Demand of one VM for one workspace, as its aggregator received it."""

    demand: callers.Demand
    expires_at: float


class ShareExchange:
    """Reports demands to aggregators and grants shares as an aggregator.

    Args:
        limits: Limits of workspaces on this VM.
        membership: Membership of the sibling VMs.
        follower: Follower of the configuration in force.
        clock: Clock for rounds and expiry times.
        vm_name: Name of this VM.
    """

    def __init__(
        self,
        limits: callers.WorkspaceLimits,
        membership: siblings.Membership,
        follower: log.ConfigurationFollower,
        clock: core.Clock,
        vm_name: str,
    ) -> None:
        self._limits = limits
        self._membership = membership
        self._follower = follower
        self._clock = clock
        self._vm_name = vm_name
        self._demands: dict[str, dict[str, _ReportedDemand]] = {}
        self._allocators: dict[str, callers.ShareAllocator] = {}
        membership.subscribe(siblings.EntryKind.DEMAND, self._handle_entry)

    async def run(self) -> None:
        """Exchange demands and shares until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + ROUND_SECONDS)
            self.exchange()

    def exchange(self) -> None:
        """Send own demands to aggregators and shares to other VMs."""
        now = self._clock.now()
        outgoing: dict[str, dict[str, bytes]] = {}
        for workspace, demand in self._limits.measure_demands(now).items():
            aggregator = self._membership.choose_owner(f'limits-{workspace}')
            subject = _DEMAND_PREFIX + workspace
            outgoing.setdefault(aggregator, {})[subject] = _encode_demand(
                demand
            )
        for workspace in list(self._demands):
            for vm, share in self._allocate(workspace, now).items():
                subject = _SHARE_PREFIX + workspace
                data = json.dumps([share.fraction, share.until]).encode()
                outgoing.setdefault(vm, {})[subject] = data
        for vm, entries in outgoing.items():
            self._membership.send_demand(
                vm, entries, now + DEMAND_EXPIRY_SECONDS
            )

    def _allocate(
        self, workspace: str, now: float
    ) -> dict[str, callers.Share]:
        reported = {
            vm: item
            for vm, item in self._demands[workspace].items()
            if item.expires_at > now
        }
        declared = self._find_workspace(workspace)
        if not reported or declared is None:
            del self._demands[workspace]
            self._allocators.pop(workspace, None)
            return {}
        self._demands[workspace] = reported
        allocator = self._allocators.setdefault(
            workspace, callers.ShareAllocator()
        )
        # Idle VMs receive a share too. Until a VM confirms a smaller share it
        # counts as using an equal one, which no other VM can be granted.
        return allocator.allocate(
            {vm: item.demand for vm, item in reported.items()},
            self._membership.live_vms(),
            declared.concurrency,
            now,
        )

    def _find_workspace(self, name: str) -> core.Workspace | None:
        current = self._follower.current
        return current.deployment.workspaces.get(name) if current else None

    def _handle_entry(self, entry: siblings.GossipEntry) -> None:
        match entry.value:
            case siblings.DataValue(data):
                try:
                    self._apply_data(entry, core.parse_json(data))
                except (OverflowError, TypeError, ValueError) as error:
                    _LOGGER.warning('malformed share or demand: %s', error)

    def _apply_data(
        self, entry: siblings.GossipEntry, data: list[typing.Any]
    ) -> None:
        if entry.subject.startswith(_SHARE_PREFIX):
            workspace = entry.subject.removeprefix(_SHARE_PREFIX)
            fraction, until = data
            self._limits.set_share(workspace, float(fraction), float(until))
        elif entry.subject.startswith(_DEMAND_PREFIX):
            workspace = entry.subject.removeprefix(_DEMAND_PREFIX)
            self._demands.setdefault(workspace, {})[entry.origin] = (
                _ReportedDemand(_decode_demand(data), entry.expires_at)
            )


def _encode_demand(demand: callers.Demand) -> bytes:
    held = demand.share
    share = None if held is None else [held.fraction, held.until]
    return json.dumps([demand.fraction, share]).encode()


def _decode_demand(data: list[typing.Any]) -> callers.Demand:
    amount, share = data
    held = None
    if share is not None:
        held = callers.Share(float(share[0]), float(share[1]))
    return callers.Demand(float(amount), held)
