"""Divides the limits of workspaces among the VMs that use them.

Each VM tells its demand for a workspace to the workspace's aggregator, the
live VM with the highest rendezvous score, and gets back a share with a
deadline. No request waits for it.
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
"""Pause between two rounds, in seconds; a share holds for three of them."""
DEMAND_SECONDS = 5.0
"""How long a demand counts at the aggregator, in seconds."""
_SHARE_PREFIX = 'share:'
_DEMAND_PREFIX = 'demand:'

_LOGGER = core.get_logger('callers')


@attrs.frozen
class _Reported:
    demand: callers.Demand
    expires_at: float


class ShareExchange:
    """Reports demands and, as an aggregator, answers with shares.

    Args:
        limits: The limits that hold on this VM.
        membership: The sibling VMs.
        follower: The configuration in force.
        clock: The time.
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
        self._vm = vm_name
        self._reported: dict[str, dict[str, _Reported]] = {}
        self._allocators: dict[str, callers.ShareAllocator] = {}
        membership.subscribe(siblings.EntryKind.DEMAND, self._take)

    async def run(self) -> None:
        """Exchange demands and shares until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + ROUND_SECONDS)
            self.exchange()

    def exchange(self) -> None:
        """Report own demands and answer those of the VMs."""
        now = self._clock.now()
        outgoing: dict[str, dict[str, bytes]] = {}
        for workspace, demand in self._limits.measure_demands(now).items():
            owner = self._membership.choose_owner(f'limits-{workspace}')
            subject = _DEMAND_PREFIX + workspace
            outgoing.setdefault(owner, {})[subject] = _encode_demand(demand)
        for workspace in list(self._reported):
            for vm, share in self._allocate(workspace, now).items():
                subject = _SHARE_PREFIX + workspace
                data = json.dumps([share.fraction, share.until]).encode()
                outgoing.setdefault(vm, {})[subject] = data
        for vm, entries in outgoing.items():
            self._membership.tell(vm, entries, now + DEMAND_SECONDS)

    def _allocate(
        self, workspace: str, now: float
    ) -> dict[str, callers.Share]:
        reported = {
            vm: item
            for vm, item in self._reported[workspace].items()
            if item.expires_at > now
        }
        declared = self._find_workspace(workspace)
        if not reported or declared is None:
            del self._reported[workspace]
            self._allocators.pop(workspace, None)
            return {}
        self._reported[workspace] = reported
        allocator = self._allocators.setdefault(
            workspace, callers.ShareAllocator()
        )
        # Idle VMs get a share too: until they confirm a smaller one, they
        # count as using their equal part, and nobody else can have it.
        return allocator.allocate(
            {vm: item.demand for vm, item in reported.items()},
            self._membership.live_vms(),
            declared.concurrency,
            now,
        )

    def _find_workspace(self, name: str) -> core.Workspace | None:
        current = self._follower.current
        return current.deployment.workspaces.get(name) if current else None

    def _take(self, entry: siblings.GossipEntry) -> None:
        match entry.value:
            case siblings.DataValue(data):
                try:
                    self._take_data(entry, json.loads(data))
                except (ValueError, TypeError) as error:
                    _LOGGER.warning('malformed share or demand: %s', error)

    def _take_data(
        self, entry: siblings.GossipEntry, data: list[typing.Any]
    ) -> None:
        if entry.subject.startswith(_SHARE_PREFIX):
            workspace = entry.subject.removeprefix(_SHARE_PREFIX)
            fraction, until = data
            self._limits.set_share(workspace, float(fraction), float(until))
        elif entry.subject.startswith(_DEMAND_PREFIX):
            workspace = entry.subject.removeprefix(_DEMAND_PREFIX)
            self._reported.setdefault(workspace, {})[entry.origin] = _Reported(
                _decode_demand(data), entry.expires_at
            )


def _encode_demand(demand: callers.Demand) -> bytes:
    held = demand.held
    known = None if held is None else [held.fraction, held.until]
    return json.dumps([demand.amount, known]).encode()


def _decode_demand(data: list[typing.Any]) -> callers.Demand:
    amount, known = data
    held = None
    if known is not None:
        held = callers.Share(float(known[0]), float(known[1]))
    return callers.Demand(float(amount), held)
