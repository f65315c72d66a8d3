"""Routing policy that uses the project's admission and placement."""

from __future__ import annotations

import typing

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import targets
from laburnumstep_standins.bench import policies
from laburnumstep_standins.bench import workload
from laburnumstep_standins import engine

if typing.TYPE_CHECKING:
    import random

DATA_CENTRE = 'lima-1'
"""Data centre of all VMs and targets."""
FAILED_SECONDS = 2.0
"""How long a target gets no new work after a failed poll or attempt, in
seconds."""
_MAX_SHARED_SKETCHES = 100


class OwnPolicy:
    """Admission and placement of one VM.

    Args:
        clock: Clock of the VM.
        addresses: Addresses of the targets by name.
        vms: Number of VMs that send to the same targets.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        clock: core.Clock,
        addresses: typing.Mapping[str, str],
        vms: int,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._view = targets.FleetView(clock, DATA_CENTRE)
        self._lengths = targets.LengthEstimator()
        self._admission = callers.Admission(
            clock, self._view, self._lengths, rng
        )
        self._admitted: dict[str, callers.Admitted] = {}
        self._siblings: list[OwnPolicy] = []
        deployment = build_deployment(addresses)
        self._view.apply_deployment(deployment)
        self._view.set_known_vms(vms)
        self._admission.apply_deployment(deployment)

    def connect(self, siblings: list[OwnPolicy]) -> None:
        """Set the VMs that receive observed lengths, as siblings do by gossip.

        Args:
            siblings: Policies of all VMs; this one is ignored.
        """
        self._siblings = [other for other in siblings if other is not self]

    def observe_past_lengths(self, past: list[workload.Request]) -> None:
        """Observe the answer lengths of requests before the run.

        These lengths are not shared, as every VM observes all of them.

        Args:
            past: Requests that were answered before the run.
        """
        for request in past:
            length = engine.draw_length(request.prompt, workload.ENGINE)
            self._lengths.observe(request.workspace, workload.MODEL, length)
        self._lengths.pop_changes(len(past))

    async def choose(
        self, attempt: policies.Attempt, view: policies.View
    ) -> policies.Choice:
        """Wait in the admission queue for capacity, as a VM does.

        Returns:
            The target, or a refusal when the request is shed.
        """
        result = await self._admission.admit(_build_admission_request(attempt))
        match result:
            case callers.Admitted():
                self._admitted[attempt.generation] = result
                return policies.Send(result.placed.target)
            case callers.Shed():
                return policies.Refuse(result.resend_at)
            case _ as other:
                typing.assert_never(other)

    def record_tokens(self, attempt: policies.Attempt, count: int) -> None:
        """Record the tokens of an attempt in the fleet view."""
        send = self._admitted[attempt.generation].send
        self._view.record_tokens(send, count)

    def record_end(self, attempt: policies.Attempt, complete: bool) -> None:
        """Release the capacity and observe the length of a complete answer."""
        admitted = self._admitted.pop(attempt.generation)
        self._admission.release(admitted)
        if complete and not attempt.request.warm_up:
            self._lengths.observe(
                attempt.request.workspace,
                workload.MODEL,
                admitted.send.tokens,
            )

    def record_target_state(
        self,
        target: policies.TargetView,
        events: list[policies.CacheEvent],
        now: float,
    ) -> None:
        """Record a load report, or that the target failed.

        A failed target gets no new work for `FAILED_SECONDS`.
        """
        if not target.reachable or target.report is None:
            self._view.set_failed(target.name, now + FAILED_SECONDS)
            return
        report = {**target.report, 'models': [workload.MODEL]}
        self._view.record_report(target.name, targets.LoadReport(**report))
        decoded = [
            targets.CacheEvent(
                event.seq, targets.CacheEventKind(event.kind), event.prefix
            )
            for event in events
        ]
        self._view.hints.apply_events(target.name, decoded, target.next_event)
        self._share_lengths()

    def _share_lengths(self) -> None:
        for change in self._lengths.pop_changes(_MAX_SHARED_SKETCHES):
            for sibling in self._siblings:
                sibling._lengths.merge(*change)


def build_deployment(
    addresses: typing.Mapping[str, str],
) -> core.Deployment:
    """Return a deployment of engines in one data centre.

    Args:
        addresses: Addresses of the engines by name.
    """
    return core.Deployment(
        name='bench',
        places={'lima': core.Place('lima', [DATA_CENTRE])},
        targets={
            name: core.EngineTarget(
                name=name,
                data_centre=DATA_CENTRE,
                address=address,
                models=[workload.MODEL],
                kv_tokens=workload.ENGINE.kv_tokens,
                checks_fence=True,
            )
            for name, address in addresses.items()
        },
    )


def _build_admission_request(
    attempt: policies.Attempt,
) -> callers.AdmissionRequest:
    request = attempt.request
    return callers.AdmissionRequest(
        placement=targets.PlacementRequest(
            request=request.name,
            workspace=request.workspace,
            model=workload.MODEL,
            prompt_tokens=request.prompt_tokens,
            prefixes=engine.digest_prefixes(request.prompt),
            priority=request.kind.priority,
            excluded=attempt.excluded,
            max_tokens=workload.ENGINE.max_length,
        ),
        generation_id=attempt.generation,
        deadline=attempt.deadline,
        max_tokens=workload.ENGINE.max_length,
    )
