"""Measures gossip over an in-process fleet of entry VMs.

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

NODES = (8, 50, 370)
"""Sizes measured; the last one is the target scale."""
TARGETS_PER_NODE = 4300 / 370
"""Targets for each node at the target scale."""
NOTICED_SHARE = 0.02
"""Share of the targets that are leaving or failed at one time."""
FRAME_BYTES = 66
"""Bytes around each message: 14 of gRPC and HTTP/2 frames, 52 of TCP and IP
headers. Acknowledgements without data are not counted."""
BYTES_TARGET = 10_000.0
"""Bytes a second that a node may spend on control."""
CPU_TARGET = 0.016
"""Share of a core that a node may spend on control."""
_SEED = 20_261


@attrs.frozen
class MembershipRow:
    """Figures of one size."""

    nodes: int
    """Entry VMs."""
    entries: int
    """Entries in each store."""
    push_hops: int
    """Hops of a leave notice until no push is left."""
    push_reach: float
    """Share of the VMs that know it then."""
    seconds_to_all: int
    """Seconds until all VMs know it; 0 where the push reaches all."""
    bytes_per_second: float
    """Bytes that a node sends in a second, frames included."""
    messages_per_second: float
    """Messages that a node sends in a second."""
    cpu_share: float
    """Share of a core for a node, without sockets and gRPC."""
    exchange_microseconds: float
    """Processor time for each message."""


def measure_membership(
    sizes: tuple[int, ...] = NODES, seconds: int = 20
) -> list[MembershipRow]:
    """Return one row for each size.

    Args:
        sizes: Numbers of entry VMs.
        seconds: Seconds of the fleet's clock over which rates are taken.
    """
    return [_measure(nodes, seconds) for nodes in sizes]


def _measure(nodes: int, seconds: int) -> MembershipRow:
    clock = core.ManualClock()
    fleet = siblings.Fleet(clock, _SEED, measure=True)
    randomness = random.Random(_SEED)
    for number in range(nodes):
        fleet.add(f'vm-{number}', f'dc-{number % 19}')
    fleet.settle()
    noted = max(1, round(nodes * TARGETS_PER_NODE * NOTICED_SHARE))
    for number in range(noted):
        _note(fleet, randomness, clock, f'engine-{number}')
    for _ in range(3):
        fleet.pass_second()
    hops, reach, waited = _spread(fleet, randomness, clock)
    fleet.network.traffic.clear()
    started = time.process_time()
    for second in range(seconds):
        _renew(fleet, randomness, clock, nodes, second)
        fleet.pass_second()
    spent = time.process_time() - started
    traffic = fleet.network.traffic.values()
    messages = sum(sent.messages for sent in traffic)
    size = sum(sent.size for sent in traffic) + FRAME_BYTES * messages
    share = nodes * seconds
    known = fleet.vms['vm-0'].membership.target_statuses()
    return MembershipRow(
        nodes,
        nodes + len(known),
        hops,
        reach,
        waited,
        size / share,
        messages / share,
        spent / share,
        spent / max(1, messages) * 1e6,
    )


def _note(
    fleet: siblings.Fleet,
    randomness: random.Random,
    clock: core.ManualClock,
    target: str,
) -> None:
    vm = randomness.choice(list(fleet.vms.values()))
    until = clock.now() + 3600
    vm.membership.announce_target_leaving(target, 'operator', until)


def _renew(
    fleet: siblings.Fleet,
    randomness: random.Random,
    clock: core.ManualClock,
    nodes: int,
    second: int,
) -> None:
    """Make entries at the rate at which VMs renew their own, once in 120 s.

    The measured time is too short for the renewals themselves.
    """
    due = nodes / 120
    count = int(due) + (randomness.random() < due - int(due))
    for number in range(count):
        _note(fleet, randomness, clock, f'renewed-{second}-{number}')


def _spread(
    fleet: siblings.Fleet, randomness: random.Random, clock: core.ManualClock
) -> tuple[int, float, int]:
    _note(fleet, randomness, clock, 'engine-measured')
    hops = fleet.settle()
    reach = _reach(fleet)
    waited = 0
    while _reach(fleet) < 1.0:
        fleet.pass_second()
        waited += 1
    return hops, reach, waited


def _reach(fleet: siblings.Fleet) -> float:
    known = sum(
        vm.membership.is_leaving('engine-measured')
        for vm in fleet.vms.values()
    )
    return known / len(fleet.vms)


def main() -> None:
    """Print the rows and the targets."""
    logging.disable(logging.INFO)
    sizes = tuple(int(text) for text in sys.argv[1:]) or NODES
    print('nodes entries push-hops push-reach s-to-all B/s msg/s cpu-% us/msg')
    for row in measure_membership(sizes):
        print(
            f'{row.nodes:5} {row.entries:7} {row.push_hops:9}'
            f' {row.push_reach:10.3f} {row.seconds_to_all:8}'
            f' {row.bytes_per_second:.0f} {row.messages_per_second:.1f}'
            f' {row.cpu_share * 100:.3f} {row.exchange_microseconds:.0f}'
        )
    print(f'target: {BYTES_TARGET:.0f} B/s, {CPU_TARGET * 100} % of a core')


if __name__ == '__main__':
    main()
