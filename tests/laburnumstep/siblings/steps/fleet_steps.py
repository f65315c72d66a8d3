"""Steps for VMs on the in-process network."""

from __future__ import annotations

import itertools
import random
import re
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.siblings import _members
from laburnumstep.siblings import _messages
from laburnumstep import vmlist
from laburnumstep_standins import siblings as standin

SEED = 20_261


def split_names(names: str) -> list[str]:
    return re.split(r', | and ', names)


def memberships(
    context: typing.Any, left_out: typing.Container[str] = ()
) -> dict[str, siblings.Membership]:
    """Return the memberships of the running VMs, by name."""
    faults = context.fleet.network.faults
    stopped = faults.ended | faults.paused
    return {
        name: vm.membership
        for name, vm in context.fleet.vms.items()
        if vm.address not in stopped and name not in left_out
    }


def start_fleet(context: typing.Any) -> None:
    context.clock = core.ManualClock()
    context.fleet = standin.Fleet(context.clock, SEED, measure=True)


@behave.given('{count:d} VMs that know each other')
def step_fleet(context: typing.Any, count: int) -> None:
    start_fleet(context)
    for number in range(count):
        context.fleet.add(f'vm-{number}')
    context.fleet.settle()
    step_pass(context, 3)
    for membership in memberships(context).values():
        assert len(membership.live_vms()) == count, membership.live_vms()


@behave.given('VMs vm-0 and vm-1 in lima-1, vm-2 in lima-2, vm-3 in piura-1')
def step_data_centres(context: typing.Any) -> None:
    start_fleet(context)
    for number, data_centre in enumerate(
        ('lima-1', 'lima-1', 'lima-2', 'piura-1')
    ):
        context.fleet.add(f'vm-{number}', data_centre)
    step_pass(context, 2)


@behave.given('{seconds:d} s pass for the VMs')
@behave.when('{seconds:d} s pass for the VMs')
def step_pass(context: typing.Any, seconds: int) -> None:
    for _ in range(seconds):
        context.fleet.pass_second()


@behave.given('{names} end')
@behave.when('{names} end')
def step_end(context: typing.Any, names: str) -> None:
    for name in split_names(names):
        address = context.fleet.vms[name].address
        context.fleet.network.faults.ended.add(address)


@behave.when('{name:S} is paused')
def step_pause(context: typing.Any, name: str) -> None:
    context.paused = context.fleet.vms[name]
    context.fleet.network.faults.paused.add(context.paused.address)


@behave.when('{name:S} resumes')
def step_resume(context: typing.Any, name: str) -> None:
    context.fleet.network.faults.paused.clear()
    context.resumed_stamp = int(context.clock.now() * 1e6)
    context.fleet.settle()


@behave.when('the messages for {name:S} are lost')
def step_lose(context: typing.Any, name: str) -> None:
    context.fleet.network.drop_queued()


@behave.when('{name:S} sends its heartbeats')
def step_beats(context: typing.Any, name: str) -> None:
    context.fleet.vms[name].membership.check_siblings()
    context.fleet.settle()


@behave.when('the earlier {name:S} resumes')
def step_resume_earlier(context: typing.Any, name: str) -> None:
    context.fleet.network.faults.paused.clear()
    context.fleet.vms['earlier'] = context.paused


@behave.when(
    '{name:S} restarts at "{address}" with its clock {ahead:d} s ahead'
)
def step_restart(
    context: typing.Any, name: str, address: str, ahead: int
) -> None:
    context.fleet.add(name, address=address, ahead=ahead)
    context.fleet.settle()


def watched_by(context: typing.Any, name: str) -> list[str]:
    """Return the addresses of the VMs that a VM watches."""
    members = context.fleet.vms[name].membership.members
    ring = _members.order_ring(members)
    watched = _members.choose_watched(name, ring, members, 3, 16)
    return [member.address for member in watched]


@behave.given('the link between vm-1 and a VM that it watches is cut')
def step_cut(context: typing.Any) -> None:
    watched = watched_by(context, 'vm-1')[0]
    pair = frozenset(('address-of-vm-1', watched))
    context.fleet.network.faults.cut.add(pair)


@behave.given('the links between {name:S} and the VMs that watch it are cut')
def step_cut_watchers(context: typing.Any, name: str) -> None:
    address = context.fleet.vms[name].address
    for observer, vm in context.fleet.vms.items():
        if address in watched_by(context, observer):
            pair = frozenset((address, vm.address))
            context.fleet.network.faults.cut.add(pair)
    context.own_entries = set()
    observer = context.fleet.vms[name].membership
    observer.subscribe(
        siblings.EntryKind.VM,
        lambda entry: (
            context.own_entries.add(entry.stamp)
            if entry.subject == entry.origin == name
            else None
        ),
    )


@behave.then(
    '{name:S} has published at most {count:d} entries about itself since'
)
def step_own_entries(context: typing.Any, name: str, count: int) -> None:
    published = len(context.own_entries)
    assert 1 <= published <= count, published


@behave.when('{names} are separated from the others')
def step_separate(context: typing.Any, names: str) -> None:
    addresses = {vm.address for vm in context.fleet.vms.values()}
    separated = {
        context.fleet.vms[name].address for name in split_names(names)
    }
    context.fleet.network.faults.cut = {
        frozenset(pair)
        for pair in itertools.product(separated, addresses - separated)
    }


@behave.when('the partition heals')
def step_heal(context: typing.Any) -> None:
    context.fleet.network.faults.cut = set()


@behave.given('the network has fault "{fault}"')
def step_fault(context: typing.Any, fault: str) -> None:
    faults = context.fleet.network.faults
    addresses = sorted(vm.address for vm in context.fleet.vms.values())
    random_links = random.Random(SEED)
    match fault:
        case 'none':
            return
        case 'a tenth of messages is lost':
            faults.loss = 0.1
        case 'ten VMs have ended':
            faults.ended.update(addresses[-10:])
        case 'a third of links cut':
            pairs = list(itertools.combinations(addresses, 2))
            cut = random_links.sample(pairs, len(pairs) // 3)
            faults.cut = {frozenset(pair) for pair in cut}
        case _:
            raise ValueError(fault)


@behave.given('each message is delivered {count:d} times')
def step_repeats(context: typing.Any, count: int) -> None:
    context.fleet.network.faults.repeats = count


@behave.when('{name:S} announces that it is stopping')
def step_stopping(context: typing.Any, name: str) -> None:
    context.fleet.vms[name].membership.announce_stopping()


@behave.given('{name:S} has announced that "{target}" is leaving')
@behave.when('{name:S} announces that "{target}" is leaving')
def step_leaving(context: typing.Any, name: str, target: str) -> None:
    until = context.clock.now() + 600
    context.fleet.network.traffic.clear()
    vm = context.fleet.vms[name].membership
    vm.announce_target_leaving(target, 'operator', until)
    context.hops = context.fleet.settle()


@behave.when('every VM announces that "{target}" is leaving')
def step_all_leaving(context: typing.Any, target: str) -> None:
    for membership in memberships(context).values():
        until = context.clock.now() + 599
        membership.announce_target_leaving(target, 'reclaim', until)
    context.fleet.settle()


@behave.given('{name:S} has reported that "{target}" failed')
@behave.when('{name} report that "{target}" failed')
def step_failed(context: typing.Any, name: str, target: str) -> None:
    for observer in split_names(name):
        membership = context.fleet.vms[observer].membership
        membership.announce_target_failed(target)
        context.fleet.settle()


@behave.when('{name:S} reports "{first}" and then "{second}" for "{target}"')
def step_reports(
    context: typing.Any, name: str, first: str, second: str, target: str
) -> None:
    membership = context.fleet.vms[name].membership
    for report in (first, second):
        match report.split():
            case ['leaving', seconds]:
                until = context.clock.now() + int(seconds)
                membership.announce_target_leaving(target, 'operator', until)
            case ['failed']:
                membership.announce_target_failed(target)


@behave.when(
    '{name:S} receives a leaving report for "{target}" among malformed entries'
)
def step_malformed(context: typing.Any, name: str, target: str) -> None:
    now = context.clock.now()
    leaving = siblings.TargetValue(siblings.TargetState.LEAVING, 'test')
    good = siblings.GossipEntry(
        siblings.EntryKind.TARGET,
        target,
        'vm-9',
        int(now * 1e6),
        leaving,
        now + 600,
    )
    bad = [
        attrs.evolve(good, subject='bad', stamp=-1),
        attrs.evolve(good, subject='bad', value=siblings.DataValue(b'')),
        attrs.evolve(good, subject='bad', expires_at=float('nan')),
    ]
    message = _messages.Entries([bad[0], bad[1], good, bad[2]])
    context.fleet.vms[name].membership.receive(message)


def build_vm_list(
    context: typing.Any, listed: vmlist.ListedVM, state: str, age: int
) -> vmlist.VMList:
    vms = []
    if state != 'absent':
        shown = vmlist.ListedState(state)
        vms = [attrs.evolve(listed, state=shown)]
    return vmlist.VMList(context.clock.now() - age, vms)


@behave.when(
    'the VM list shows {name:S} as "{state}" {age:d} s ago to all VMs'
)
def step_list(context: typing.Any, name: str, state: str, age: int) -> None:
    entry = vmlist.ListedVM(
        name,
        vmlist.VMKind.ENTRY,
        context.fleet.vms[name].address,
        'lima-1',
        vmlist.ListedState.LIVE,
    )
    shown = build_vm_list(context, entry, state, age)
    for membership in memberships(context).values():
        membership.apply_vm_list(shown)


@behave.when('the VM list shows target "{target}" as "{state}" {age:d} s ago')
@behave.when(
    'the VM list shows target "{target}" as "{state}" {age:d} s ago to {vm:S}'
)
def step_target_list(
    context: typing.Any, target: str, state: str, age: int, vm: str = ''
) -> None:
    entry = vmlist.ListedVM(
        target,
        vmlist.VMKind.TARGET,
        '127.0.0.1:1',
        'lima-1',
        vmlist.ListedState.LIVE,
    )
    shown = build_vm_list(context, entry, state, age)
    for name, membership in memberships(context).items():
        if vm in ('', name):
            membership.apply_vm_list(shown)


@behave.when('{name:S} starts without seeds and reads the VM list')
def step_start_by_list(context: typing.Any, name: str) -> None:
    listed = [
        vmlist.ListedVM(
            other,
            vmlist.VMKind.ENTRY,
            vm.address,
            'lima-1',
            vmlist.ListedState.LIVE,
        )
        for other, vm in context.fleet.vms.items()
    ]
    vms, context.fleet.vms = context.fleet.vms, {}
    vm = context.fleet.add(name)
    context.fleet.vms = {**vms, name: vm}
    vm.membership.apply_vm_list(vmlist.VMList(context.clock.now(), listed))


@behave.then('the running VMs see {names} as "{state}"')
def step_see_vms(context: typing.Any, names: str, state: str) -> None:
    for observer, membership in memberships(
        context, split_names(names)
    ).items():
        for name in split_names(names):
            seen = membership.members[name]
            assert seen.state.value == state, (observer, seen)


@behave.then('the running VMs choose owners among the same {count:d} VMs')
def step_owners(context: typing.Any, count: int) -> None:
    subjects = [f'claims-{number:02}' for number in range(64)]
    owners = {
        tuple(membership.choose_owner(subject) for subject in subjects)
        for membership in memberships(context).values()
    }
    live = {tuple(m.live_vms()) for m in memberships(context).values()}
    assert len(owners) == 1, owners
    assert len(live) == 1 and len(next(iter(live))) == count, live


@behave.then('all VMs see {count:d} live VMs')
def step_all_live(context: typing.Any, count: int) -> None:
    for name, membership in memberships(context).items():
        live = membership.live_vms()
        assert len(live) == count, (name, live)


@behave.then('all VMs but {left_out} see {count:d} live VMs')
def step_all_but(context: typing.Any, left_out: str, count: int) -> None:
    for name, membership in memberships(context, [left_out]).items():
        live = membership.live_vms()
        assert len(live) == count, (name, live)


@behave.then('{name:S} sees {count:d} live VMs')
def step_sees(context: typing.Any, name: str, count: int) -> None:
    live = context.fleet.vms[name].membership.live_vms()
    assert len(live) == count, live


@behave.then('all VMs see "{target}" as "{status}"')
@behave.then('the reachable VMs see "{target}" as "{status}"')
def step_see_target(context: typing.Any, target: str, status: str) -> None:
    wrong = {
        name: membership.target_status(target)
        for name, membership in memberships(context).items()
        if membership.target_status(target).availability.value != status
        or membership.is_leaving(target) != (status == 'leaving')
    }
    assert not wrong, wrong


@behave.then('{name:S} sees target "{target}" as "{status}"')
def step_sees_target(
    context: typing.Any, name: str, target: str, status: str
) -> None:
    seen = context.fleet.vms[name].membership.target_status(target)
    assert seen.availability.value == status, seen


@behave.then('{name:S} has a report of {vm:S} with source "{source}"')
def step_source(context: typing.Any, name: str, source: str, vm: str) -> None:
    membership = context.fleet.vms[name].membership
    reports = membership.target_status('engine-1').reports
    assert [(r.source, r.vm) for r in reports] == [(source, vm)], reports


@behave.then('there is {count:d} entry about "{target}"')
def step_entries(context: typing.Any, count: int, target: str) -> None:
    for membership in memberships(context).values():
        kind = siblings.EntryKind.TARGET
        entries = membership.list_entries(kind, target)
        assert len(entries) == count, entries


@behave.then('no VM has stored a malformed entry')
def step_no_malformed(context: typing.Any) -> None:
    for membership in memberships(context).values():
        names = list(membership.target_statuses())
        assert names == ['engine-1'], names


@behave.then('no VM has reported another since {name:S} resumed')
def step_no_reports(context: typing.Any, name: str) -> None:
    for membership in memberships(context).values():
        for subject in membership.members:
            kind = siblings.EntryKind.VM
            for entry in membership.list_entries(kind, subject):
                late = entry.stamp > context.resumed_stamp
                reports = late and entry.value.observed
                assert not reports, entry


@behave.then('the running VMs reach {name:S} at "{address}"')
def step_reach(context: typing.Any, name: str, address: str) -> None:
    for observer, membership in memberships(context, ['earlier']).items():
        member = membership.members[name]
        assert member.address == address, (observer, member)


@behave.then('the earlier {name:S} has yielded')
def step_yielded(context: typing.Any, name: str) -> None:
    assert context.paused.membership.superseded


@behave.then('the later {name:S} has not yielded')
def step_not_yielded(context: typing.Any, name: str) -> None:
    assert not context.fleet.vms[name].membership.superseded


@behave.then('the running VMs do not know {name:S}')
@behave.then('the running VMs apart from {names} do not know {name:S}')
def step_unknown(context: typing.Any, name: str, names: str = '') -> None:
    for observer, membership in memberships(
        context, split_names(names)
    ).items():
        assert name not in membership.members, observer


@behave.then('at most {count:d} VMs push the entry')
def step_pushes(context: typing.Any, count: int) -> None:
    sent = {a: t.messages for a, t in context.fleet.network.traffic.items()}
    assert all(messages <= 3 for messages in sent.values()), sent
    assert len(sent) <= count, sent


@behave.given(
    '{name:S} divides limits by {divisor:d}, where {assumed:d} VMs are assumed'
)
@behave.then(
    '{name:S} divides limits by {divisor:d}, where {assumed:d} VMs are assumed'
)
def step_divisor(
    context: typing.Any, name: str, divisor: int, assumed: int
) -> None:
    membership = context.fleet.vms[name].membership
    found = membership.count_sharing_vms(assumed)
    assert found == divisor, found
