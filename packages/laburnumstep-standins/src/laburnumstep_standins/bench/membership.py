"""Benchmark of gossip among in-process entry VMs.

Run it with `python -m laburnumstep_standins.bench.membership`.
"""

from __future__ import annotations

import logging
import random
import sys
import time

import attrs

from laburnumstep import core
from laburnumstep_standins import siblings

VM_COUNTS = (8, 50, 370)
"""Numbers of VMs to measure with; the last is the one that the system
is designed for."""
TARGETS_PER_VM = 4300 / 370
"""Targets for each VM in a deployment of the size designed for."""
UNAVAILABLE_FRACTION = 0.02
"""Fraction of the targets that are leaving or failed at one time."""
FRAME_BYTES = 66
"""Overhead of each message: 14 bytes of gRPC and HTTP/2 frames, 52 bytes of
TCP and IP headers. Acknowledgements without data are not counted."""
BYTES_PER_SECOND_BUDGET = 10_000.0
"""Budget of a VM for control messages, in bytes a second."""
CORE_FRACTION_BUDGET = 0.016
"""Budget of a VM for control messages, as a fraction of a processor core."""
_SEED = 20_261


@attrs.frozen
class MembershipRow:
    """Results for one number of VMs."""

    vm_count: int
    """Number of entry VMs."""
    entries: int
    """Entries in the gossip store of each VM."""
    push_hops: int
    """Hops until no VM pushes the announcement of a leaving target further."""
    push_reach: float
    """Fraction of the VMs that have received the announcement by then."""
    seconds_to_all: int
    """Seconds from then until all VMs have it; 0 if the pushes reach all."""
    bytes_per_second: float
    """Bytes that a VM sends a second, including `FRAME_BYTES`."""
    messages_per_second: float
    """Messages that a VM sends a second."""
    core_fraction: float
    """Processor use of a VM, in cores, without sockets and gRPC."""
    cpu_microseconds_per_message: float
    """Processor time of each message, in microseconds."""


def measure_membership(
    sizes: tuple[int, ...] = VM_COUNTS, seconds: int = 20
) -> list[MembershipRow]:
    """Measure gossip for several numbers of VMs.

    Args:
        sizes: Numbers of entry VMs.
        seconds: Duration of the rate measurement on the fleet's clock.

    Returns:
        One row for each number of VMs.
    """
    return [_measure(vm_count, seconds) for vm_count in sizes]


def _measure(vm_count: int, seconds: int) -> MembershipRow:
    clock = core.ManualClock()
    fleet = siblings.Fleet(clock, _SEED, measure=True)
    rng = random.Random(_SEED)
    for number in range(vm_count):
        fleet.add(f'vm-{number}', f'dc-{number % 19}')
    fleet.settle()
    unavailable = max(
        1, round(vm_count * TARGETS_PER_VM * UNAVAILABLE_FRACTION)
    )
    for number in range(unavailable):
        _announce_leaving(fleet, rng, clock, f'engine-{number}')
    for _ in range(3):
        fleet.pass_second()
    hops, reach, seconds_to_all = _measure_spread(fleet, rng, clock)
    fleet.network.traffic.clear()
    started = time.process_time()
    for second in range(seconds):
        _announce_renewals(fleet, rng, clock, vm_count, second)
        fleet.pass_second()
    spent = time.process_time() - started
    traffic = fleet.network.traffic.values()
    messages = sum(sent.messages for sent in traffic)
    size = sum(sent.size for sent in traffic) + FRAME_BYTES * messages
    vm_seconds = vm_count * seconds
    known = fleet.vms['vm-0'].membership.target_statuses()
    return MembershipRow(
        vm_count,
        vm_count + len(known),
        hops,
        reach,
        seconds_to_all,
        size / vm_seconds,
        messages / vm_seconds,
        spent / vm_seconds,
        spent / max(1, messages) * 1e6,
    )


def _announce_leaving(
    fleet: siblings.Fleet,
    rng: random.Random,
    clock: core.ManualClock,
    target: str,
) -> None:
    vm = rng.choice(list(fleet.vms.values()))
    until = clock.now() + 3600
    vm.membership.announce_target_leaving(target, 'operator', until)


def _announce_renewals(
    fleet: siblings.Fleet,
    rng: random.Random,
    clock: core.ManualClock,
    vm_count: int,
    second: int,
) -> None:
    """Publish entries at the rate at which VMs renew their own, every 120 s.

    New entries replace the renewals, for which the measurement is too short.
    """
    due = vm_count / 120
    count = int(due) + (rng.random() < due - int(due))
    for number in range(count):
        _announce_leaving(fleet, rng, clock, f'renewed-{second}-{number}')


def _measure_spread(
    fleet: siblings.Fleet, rng: random.Random, clock: core.ManualClock
) -> tuple[int, float, int]:
    _announce_leaving(fleet, rng, clock, 'engine-measured')
    hops = fleet.settle()
    reach = _compute_reached_fraction(fleet)
    seconds_to_all = 0
    while _compute_reached_fraction(fleet) < 1.0:
        fleet.pass_second()
        seconds_to_all += 1
    return hops, reach, seconds_to_all


def _compute_reached_fraction(fleet: siblings.Fleet) -> float:
    known = sum(
        vm.membership.is_leaving('engine-measured')
        for vm in fleet.vms.values()
    )
    return known / len(fleet.vms)


def main() -> None:
    """Print the results and the budgets of a VM."""
    logging.disable(logging.INFO)
    sizes = tuple(int(text) for text in sys.argv[1:]) or VM_COUNTS
    print('nodes entries push-hops push-reach s-to-all B/s msg/s cpu-% us/msg')
    for row in measure_membership(sizes):
        print(
            f'{row.vm_count:5} {row.entries:7} {row.push_hops:9}'
            f' {row.push_reach:10.3f} {row.seconds_to_all:8}'
            f' {row.bytes_per_second:.0f} {row.messages_per_second:.1f}'
            f' {row.core_fraction * 100:.3f}'
            f' {row.cpu_microseconds_per_message:.0f}'
        )
    print(
        f'target: {BYTES_PER_SECOND_BUDGET:.0f} B/s,'
        f' {CORE_FRACTION_BUDGET * 100} % of a core'
    )


if __name__ == '__main__':
    main()
