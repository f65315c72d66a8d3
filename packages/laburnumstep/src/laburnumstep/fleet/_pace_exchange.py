"""Exchanges the pace of engines with sibling VMs.

A VM has few streams, so it publishes what each of them shows about its engine
where that differs from what all VMs know.
"""

from __future__ import annotations

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep import targets

_LOGGER = core.get_logger('siblings')


class PaceExchange:
    """Publishes the pace of engines and applies that of the siblings.

    Args:
        vm_name: Name of this VM.
        paces: Pace of the engines as this VM knows it.
        neighbours: The siblings.
        clock: Clock of the expiry times.
    """

    def __init__(
        self,
        vm_name: str,
        paces: targets.EnginePaces,
        neighbours: siblings.EntrySiblings,
        clock: core.Clock,
    ) -> None:
        self._vm_name = vm_name
        self._paces = paces
        self._neighbours = neighbours
        self._clock = clock
        paces.subscribe(self._publish)
        neighbours.subscribe(siblings.EntryKind.PACE, self._handle_entry)

    def _publish(self, engine: str, sample: targets.PaceSample) -> None:
        self._neighbours.publish(
            siblings.EntryKind.PACE,
            engine,
            targets.encode_pace(sample),
            self._clock.now() + targets.PACE_EXPIRY_SECONDS,
        )

    def _handle_entry(self, entry: siblings.GossipEntry) -> None:
        if entry.origin == self._vm_name:
            return
        match entry.value:
            case siblings.DataValue(data):
                try:
                    sample = targets.decode_pace(data)
                except ValueError as error:
                    _LOGGER.warning(
                        'pace ignored; target=%s origin=%s reason=%s',
                        entry.subject,
                        entry.origin,
                        error,
                    )
                    return
                self._paces.apply(
                    entry.subject,
                    sample,
                    entry.stamp / 1e6,
                    self._clock.now(),
                )
