"""Exchanges routing state with sibling VMs.

Sketches of observed lengths spread by anti-entropy. Live VMs and the
availability of targets, which membership learns from siblings, are applied to
routing.
"""

from __future__ import annotations

import json
import typing

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep import callers

REFRESH_SECONDS = 1.0
"""Pause between two refreshes from membership, in seconds. Announcements that
arrive in between are applied at once."""
REFRESHES_PER_LENGTHS_ROUND = 5
"""Refreshes from one round of length sketches to the next."""
MAX_SKETCHES = 20
"""Maximum number of sketches in one round; 20 of about 200 bytes every 5 s are
0.8 KB/s."""
LENGTHS_EXPIRY_SECONDS = 60.0
"""Time after which a published sketch expires, in seconds."""
FAILED_SECONDS = 5.0
"""How long a target that siblings report as failed is ejected, in seconds."""
RECLAIM_MARGIN_SECONDS = 600.0
"""How long a target counts as leaving after its reclaim, in seconds."""

_LOGGER = core.get_logger('siblings')


class RoutingGossip:
    """Applies siblings' gossip to routing and publishes own observations.

    Args:
        state: Routing state of this VM.
        membership: Membership of the sibling VMs.
        vm_name: Name of this VM.
        handle_superseded: Called when a later process uses this VM's name.
    """

    def __init__(
        self,
        state: callers.RoutingState,
        membership: siblings.Membership,
        vm_name: str,
        handle_superseded: typing.Callable[[], None],
    ) -> None:
        self._state = state
        self._vm_name = vm_name
        self._handle_superseded = handle_superseded
        self._membership = membership
        self._leaving: set[str] = set()
        self._rounds = 0
        kinds = siblings.EntryKind
        membership.subscribe(kinds.TARGET, lambda entry: self.refresh())
        membership.subscribe(kinds.VM, lambda entry: self.refresh())
        membership.subscribe(kinds.LENGTHS, self._handle_lengths)

    async def run(self) -> None:
        """Apply expired state and publish length sketches until cancelled."""
        clock = self._state.clock
        while True:
            await clock.sleep_until(clock.now() + REFRESH_SECONDS)
            self.refresh()
            if self._membership.superseded:
                self._handle_superseded()
            self._rounds += 1
            if self._rounds % REFRESHES_PER_LENGTHS_ROUND == 0:
                self._publish_lengths()

    def refresh(self) -> None:
        """Apply live VMs and the availability of targets to routing."""
        known_vms = len(self._membership.live_vms())
        self._state.view.set_known_vms(known_vms)
        self._state.limits.set_known_vms(known_vms)
        leaving = set()
        for name, status in self._membership.target_statuses().items():
            match status.availability:
                case siblings.Availability.LEAVING:
                    leaving.add(name)
                case siblings.Availability.FAILED:
                    until = self._state.clock.now() + FAILED_SECONDS
                    self._state.view.set_failed(name, until)
                case siblings.Availability.AVAILABLE:
                    pass
                case _:
                    typing.assert_never(status.availability)
        self._apply_leaving(leaving)

    def announce_reclaim(self, target: str, reclaim_at: float) -> None:
        """Announce to all VMs that a target will be reclaimed.

        Args:
            target: Name of the target.
            reclaim_at: Time of the reclaim, in epoch seconds.
        """
        if not self._membership.is_leaving(target):
            until = reclaim_at + RECLAIM_MARGIN_SECONDS
            self._membership.announce_target_leaving(target, 'reclaim', until)
            self.refresh()

    def _apply_leaving(self, leaving: set[str]) -> None:
        for name in leaving - self._leaving:
            _LOGGER.info(
                'target is leaving; target=%s status=%s',
                name,
                self._membership.target_status(name),
            )
            self._state.view.set_leaving(name, True)
        for name in self._leaving - leaving:
            _LOGGER.info('target is back; target=%s', name)
            self._state.view.set_leaving(name, False)
        self._leaving = leaving

    def _publish_lengths(self) -> None:
        expires_at = self._state.clock.now() + LENGTHS_EXPIRY_SECONDS
        for workspace, model, sketch in self._state.lengths.pop_changes(
            MAX_SKETCHES
        ):
            self._membership.publish(
                siblings.EntryKind.LENGTHS,
                json.dumps([workspace, model]),
                targets.encode_lengths(sketch),
                expires_at,
            )

    def _handle_lengths(self, entry: siblings.GossipEntry) -> None:
        if entry.origin == self._vm_name:
            return
        match entry.value:
            case siblings.DataValue(data):
                try:
                    workspace, model = core.parse_json(entry.subject)
                    sketch = targets.decode_lengths(data)
                except ValueError as error:
                    _LOGGER.warning('malformed lengths: %s', error)
                    return
                self._state.lengths.merge(workspace, model, sketch)
