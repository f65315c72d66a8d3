"""Exchanges load reports of engines and own sends with sibling VMs.

One VM of an engine's data centre reads its reports, chosen by rendezvous
hashing. It sends each report to one VM of every data centre, the distributor,
which passes it to the others there. The reads of an engine do not grow with
the number of VMs, and all VMs know loads that are a few tenths of a second
old. Each VM announces its sends in the same way, because a report does not
count the requests of the last half second.
"""

from __future__ import annotations

import typing

import anyio

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep import targets

MIN_SHARING_VMS = 4
"""Smallest number of live VMs in an engine's data centre that share its
reports."""
READ_INTERVAL_SECONDS = 0.25
"""Interval of the reports that a VM reads for the others, in seconds. With the
lag of the reports and the distribution, a report is younger than the age at
which placement reads a new one."""
BATCH_SECONDS = 0.1
"""Time for which reports are collected before they are distributed in a data
centre, in seconds."""
MAX_ANNOUNCED_PARTS = 4
"""Most parts of a prompt that are announced with a send, so that a datagram
stays small."""
MAX_ANNOUNCED_TOKENS = 1e6
"""Largest expected length of an answer that is announced, in tokens."""
_DISTRIBUTOR_SUBJECT = 'loads'


class LoadSiblings(typing.Protocol):
    """The siblings with which load reports are exchanged."""

    def rank_neighbours(
        self, subject: str, data_centre: str = ''
    ) -> list[siblings.Member]:
        """Return the live VMs of a data centre, best reader first."""
        ...

    def list_data_centres(self) -> list[str]:
        """Return the data centres of the known VMs."""
        ...

    def send_loads(
        self, addresses: list[str], message: siblings.EngineLoads
    ) -> None:
        """Send load reports to siblings without waiting."""
        ...


FindTarget = typing.Callable[[str], core.Target | None]
ApplyReport = typing.Callable[[str, targets.LoadReport], None]
ApplySend = typing.Callable[[str, targets.SiblingSend], None]


class LoadSharing:
    """Publishes and distributes reports, as `targets.SharedReports`.

    Args:
        vm_name: Name of this VM.
        neighbours: The siblings.
        find_target: Returns a registered target by name.
        clock: Clock of the batches.
    """

    def __init__(
        self,
        vm_name: str,
        neighbours: LoadSiblings,
        find_target: FindTarget,
        clock: core.Clock,
    ) -> None:
        self._vm_name = vm_name
        self._neighbours = neighbours
        self._find_target = find_target
        self._clock = clock
        self._pending: dict[str, siblings.EngineLoad] = {}
        self._pending_sends: list[siblings.EngineSend] = []
        self._arrived = anyio.Event()
        self._apply_report: ApplyReport | None = None
        self._apply_send: ApplySend | None = None

    def subscribe(
        self, apply_report: ApplyReport, apply_send: ApplySend
    ) -> None:
        """Set the functions that are called with what siblings announce.

        Args:
            apply_report: Called with each report.
            apply_send: Called with each send.
        """
        self._apply_report = apply_report
        self._apply_send = apply_send

    def find_interval(self, target: str) -> float | None:
        """Return the interval of the reports that this VM reads for others.

        Args:
            target: Name of the engine.

        Returns:
            The interval in seconds, or None if another VM reads them or
            reports are not shared.
        """
        engine = self._find_target(target)
        if engine is None or engine.leaving:
            return None
        ranked = self._neighbours.rank_neighbours(
            f'load|{target}', engine.data_centre
        )
        if len(ranked) < MIN_SHARING_VMS or ranked[0].name != self._vm_name:
            return None
        return READ_INTERVAL_SECONDS

    def publish(self, target: str, report: targets.LoadReport) -> None:
        """Distribute a report if this VM reads the engine for others."""
        if self.find_interval(target) is None:
            return
        self._announce([_make_load(target, report)], [])

    def publish_send(self, send: targets.Send) -> None:
        """Announce a request that this VM has sent to an engine.

        Args:
            send: The send, already counted on this VM.
        """
        ranked = self._neighbours.rank_neighbours(_DISTRIBUTOR_SUBJECT)
        if len(ranked) < MIN_SHARING_VMS:
            return
        self._announce([], [_make_engine_send(self._vm_name, send)])

    def _announce(
        self,
        loads: list[siblings.EngineLoad],
        sends: list[siblings.EngineSend],
    ) -> None:
        """Send reports and sends to the distributor of each data centre."""
        message = siblings.EngineLoads(loads, sends, distribute=True)
        addresses = []
        for data_centre in self._neighbours.list_data_centres():
            ranked = self._neighbours.rank_neighbours(
                _DISTRIBUTOR_SUBJECT, data_centre
            )
            if ranked and ranked[0].name == self._vm_name:
                self._queue(message)
            elif ranked:
                addresses.append(ranked[0].address)
        self._neighbours.send_loads(addresses, message)

    def receive(self, message: siblings.EngineLoads) -> None:
        """Apply what a sibling announces and distribute it if it asks to."""
        if message.distribute:
            self._queue(message)
        for load in message.loads:
            engine = self._find_target(load.target)
            if self._apply_report is not None and isinstance(
                engine, core.EngineTarget
            ):
                self._apply_report(load.target, _make_report(load, engine))
        for send in message.sends:
            if self._apply_send is not None and send.vm != self._vm_name:
                self._apply_send(send.target, _make_sibling_send(send))

    async def run(self) -> None:
        """Distribute collected reports in the data centre until cancelled."""
        while True:
            await self._arrived.wait()
            await self._clock.sleep_until(self._clock.now() + BATCH_SECONDS)
            self._arrived = anyio.Event()
            self.distribute()

    def distribute(self) -> None:
        """Pass what was collected to the other VMs of the data centre."""
        loads, self._pending = list(self._pending.values()), {}
        sends, self._pending_sends = self._pending_sends, []
        if not loads and not sends:
            return
        message = siblings.EngineLoads(loads, sends, distribute=False)
        ranked = self._neighbours.rank_neighbours(_DISTRIBUTOR_SUBJECT)
        self._neighbours.send_loads(
            [item.address for item in ranked if item.name != self._vm_name],
            message,
        )

    def _queue(self, message: siblings.EngineLoads) -> None:
        for load in message.loads:
            known = self._pending.get(load.target)
            if known is None or known.measured_at < load.measured_at:
                self._pending[load.target] = load
        self._pending_sends += message.sends
        self._arrived.set()


def _make_engine_send(vm_name: str, send: targets.Send) -> siblings.EngineSend:
    """Return the announcement of a send.

    The last part of a prompt belongs to its request or session, so it is not
    announced.
    """
    return siblings.EngineSend(
        send.target,
        vm_name,
        send.sent_at,
        send.prompt_tokens,
        tuple(
            (part.digest, part.tokens)
            for part in send.parts[:-1][:MAX_ANNOUNCED_PARTS]
        ),
        send.gap_seconds,
        0 if send.gap_seconds is None else round(_expect_tokens(send)),
    )


def _expect_tokens(send: targets.Send) -> float:
    """Return the expected length of the answer of a send, in tokens."""
    tokens = send.hinted_tokens or send.expected_tokens
    if send.max_tokens is not None:
        tokens = min(tokens, float(send.max_tokens))
    return min(tokens, MAX_ANNOUNCED_TOKENS)


def _make_sibling_send(send: siblings.EngineSend) -> targets.SiblingSend:
    return targets.SiblingSend(
        send.sent_at,
        send.prompt_tokens,
        tuple(
            targets.PromptPart(digest, tokens)
            for digest, tokens in send.parts[:MAX_ANNOUNCED_PARTS]
            if tokens <= send.prompt_tokens
        ),
        send.gap_seconds,
        min(float(send.expected_tokens), MAX_ANNOUNCED_TOKENS),
    )


def _make_load(target: str, report: targets.LoadReport) -> siblings.EngineLoad:
    return siblings.EngineLoad(
        target,
        report.measured_at,
        report.running,
        report.waiting,
        report.kv_used,
        report.kv_total,
        report.reclaim_at,
    )


def _make_report(
    load: siblings.EngineLoad, engine: core.EngineTarget
) -> targets.LoadReport:
    return targets.LoadReport(
        measured_at=load.measured_at,
        running=load.running,
        waiting=load.waiting,
        kv_used=load.kv_used,
        kv_total=load.kv_total,
        preemptions=0,
        models=list(engine.models),
        reclaim_at=load.reclaim_at,
    )
