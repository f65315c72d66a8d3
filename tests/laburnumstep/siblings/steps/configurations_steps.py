"""Steps for the configurations feature."""

from __future__ import annotations

import contextlib
import random
import re
import typing

import anyio
import behave

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep.siblings import _configurations
from laburnumstep.siblings import _gossip
from support import hooks


def make_configuration(version: int) -> core.VersionedDeployment:
    deployment = core.Deployment(f'cuadrilla-{version}')
    digest = core.digest_deployment(deployment)
    return core.VersionedDeployment(version, digest, version, deployment)


def get_running_vms(context: typing.Any) -> dict[str, typing.Any]:
    ended = context.fleet.network.faults.ended
    vms = context.fleet.vms
    return {name: vm for name, vm in vms.items() if vm.address not in ended}


@behave.given('all VMs hold version {version:d}')
def step_all_hold(context: typing.Any, version: int) -> None:
    for vm in context.fleet.vms.values():
        vm.adopt(make_configuration(version))
    context.fleet.settle()


@behave.when('{name:S} receives version {version:d} from the log')
def step_receive(context: typing.Any, name: str, version: int) -> None:
    context.fleet.vms[name].adopt(make_configuration(version))
    context.fleet.settle()


@behave.when(
    'the VM with the lowest score for version {version:d} receives it'
)
def step_receive_lowest(context: typing.Any, version: int) -> None:
    lowest = min(
        context.fleet.vms, key=lambda n: core.stable_hash(f'{version}|{n}')
    )
    step_receive(context, lowest, version)


@behave.then(
    '{name:S} sends {what} document to a sibling that holds version {known:d}'
)
def step_sends(context: typing.Any, name: str, what: str, known: int) -> None:
    membership = context.fleet.vms[name].membership
    sent = membership.read_configuration(known)
    assert (sent is None) == (what == 'no'), sent


@behave.given('{name:S} holds version {version:d} that it has not announced')
def step_unannounced(context: typing.Any, name: str, version: int) -> None:
    vm = context.fleet.vms[name]
    vm.configuration = make_configuration(version)


@behave.when('{seconds:d} s pass in which the VMs fetch configurations')
def step_fetch(context: typing.Any, seconds: int) -> None:
    for _ in range(seconds):
        context.fleet.pass_second()
        context.portal.call(context.fleet.fetch_configurations)


@behave.given(
    '{name:S} announces version {version:d} and sends an invalid document'
)
def step_invalid_document(
    context: typing.Any, name: str, version: int
) -> None:
    vm = context.fleet.vms[name]
    vm.adopt(make_configuration(version))

    def read(known: int) -> core.VersionedDeployment | None:
        finding = core.Finding(core.SourcePosition(name), 'wrong_digest', '')
        raise core.FindingsError([finding])

    vm.membership.read_configuration = read
    context.fleet.settle()


@behave.given('{name:S} refuses every configuration')
def step_refuses_all(context: typing.Any, name: str) -> None:
    context.fleet.vms[name].refuses = True
    context.fleet.vms[name].offer_count = 0


@behave.then('the reachable VMs hold version {version:d}')
@behave.then('the reachable VMs but {name:S} hold version {version:d}')
def step_version(context: typing.Any, version: int, name: str = '') -> None:
    for other, vm in get_running_vms(context).items():
        if other != name:
            assert vm.configuration.version == version, other


@behave.then('{name:S} holds version {version:d}')
def step_holds_version(context: typing.Any, name: str, version: int) -> None:
    active = context.fleet.vms[name].configuration
    assert active.version == version, active


@behave.then('{name:S} was offered a configuration once')
def step_offered(context: typing.Any, name: str) -> None:
    offered = context.fleet.vms[name].offer_count
    assert offered == 1, offered


@behave.then('at most {count:d} VMs announce a version')
def step_announce(context: typing.Any, count: int) -> None:
    for vm in context.fleet.vms.values():
        kind = siblings.EntryKind.CONFIGURATION
        entries = vm.membership.list_entries(kind, _configurations.SUBJECT)
        assert 1 <= len(entries) <= count, len(entries)


class FakeLinks:
    """Links whose fetches return version 5 after a number of failures."""

    def __init__(self) -> None:
        self.failures = 0
        self.fetched = anyio.Event()

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment:
        if self.failures:
            self.failures -= 1
            raise siblings.SiblingUnavailable('no answer', True)
        return make_configuration(5)


@contextlib.asynccontextmanager
async def run_exchange(context: typing.Any) -> typing.AsyncIterator[None]:
    context.clock = core.ManualClock()
    context.links = FakeLinks()
    context.adopted = None
    metrics = core.Metrics(None, 'test')
    context.gossip = _gossip.Gossip('vm-1', context.clock, metrics)

    def adopt(configuration: core.VersionedDeployment) -> bool:
        context.adopted = configuration
        context.links.fetched.set()
        return True

    exchange = _configurations.ConfigurationExchange(
        context.gossip,
        context.links,
        context.clock,
        random.Random(1),
        lambda: context.adopted,
        adopt,
        lambda name: 'address-2',
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(exchange.run)
        yield
        tasks.cancel_scope.cancel()


@behave.given('a configuration exchange with a manual clock')
def step_exchange(context: typing.Any) -> None:
    hooks.enter_context(context, run_exchange(context))


@behave.given('the sibling does not answer the first fetch')
def step_no_answer(context: typing.Any) -> None:
    context.links.failures = 1


@behave.when('a sibling announces version {version:d}')
def step_announces(context: typing.Any, version: int) -> None:
    now = context.clock.now()
    digest = make_configuration(version).digest
    entry = siblings.GossipEntry(
        siblings.EntryKind.CONFIGURATION,
        _configurations.SUBJECT,
        'vm-2',
        int(now * 1e6),
        siblings.ConfigurationValue(version, digest),
        now + 600,
    )
    context.portal.call(context.gossip.receive_entries, [entry])
    context.portal.call(anyio.wait_all_tasks_blocked)


async def advance(context: typing.Any, seconds: float) -> None:
    context.clock.advance(seconds)
    await anyio.wait_all_tasks_blocked()


@behave.then('nothing is fetched before {seconds:g} s have passed')
def step_nothing_fetched(context: typing.Any, seconds: float) -> None:
    context.portal.call(advance, context, seconds - 0.1)
    assert not context.links.fetched.is_set()


@behave.then('version {version:d} is fetched after {seconds:g} s')
def step_fetched(context: typing.Any, version: int, seconds: float) -> None:
    for _ in range(round(seconds / 0.05)):
        context.portal.call(advance, context, 0.05)
    assert context.links.fetched.is_set()
    assert context.adopted.version == version, context.adopted


@behave.when('{forwarder} forwards a claim for "{partition}" owned by {owner}')
@behave.when('{forwarder} forwards a claim for "{partition}"')
def step_forward(
    context: typing.Any, forwarder: str, partition: str, owner: str = ''
) -> None:
    vms = context.fleet.vms
    any_vm = next(iter(get_running_vms(context).values()))
    context.owner = any_vm.membership.choose_owner(partition)
    sender = next(
        vm
        for name, vm in vms.items()
        if (name == context.owner) == (forwarder == 'the owner')
    )
    number = int(re.sub(r'\D', '', partition))
    request = siblings.ClaimForward(number, {'key': 'k'}, 0.0)
    try:
        context.answer = context.portal.call(
            sender.membership.forward_claim, partition, request
        )
    except siblings.SiblingUnavailable as error:
        context.error = error


@behave.then('the claim is handled by {owner}')
def step_handled(context: typing.Any, owner: str) -> None:
    vm = context.fleet.vms[context.owner]
    assert len(vm.claims) == 1, vm.claims
    assert context.answer == {'handled_at': vm.address}, context.answer


@behave.given('the owner of "{partition}" is {fault}')
def step_owner_fault(context: typing.Any, partition: str, fault: str) -> None:
    membership = context.fleet.vms['vm-0'].membership
    owner = context.fleet.vms[membership.choose_owner(partition)]
    faults = context.fleet.network.faults
    stopped = {'ended': faults.ended, 'paused': faults.paused}[fault]
    stopped.add(owner.address)


@behave.then('the claim may have been acted on: {acted}')
def step_may_have_acted(context: typing.Any, acted: str) -> None:
    assert context.error.may_have_acted == (acted == 'yes')
