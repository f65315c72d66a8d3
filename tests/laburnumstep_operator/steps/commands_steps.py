"""Steps for the commands of `laburnumstep-operator`."""

from __future__ import annotations

import json
import pathlib
import shlex
import tempfile
import typing

import attrs
import behave

from laburnumstep import core
from laburnumstep import log
from laburnumstep import transport
from laburnumstep_operator import cli
from laburnumstep_standins import log as log_standin
from support import clocks
from support import deployments
from support import hooks
from support import operators_interface
from typer import testing


@behave.given('a log')
def step_log(context: typing.Any) -> None:
    context.log = log_standin.LogStandIn(clocks.ObservedClock())
    context.server = hooks.enter_context(
        context, transport.serve_app(context.log.app)
    )


@behave.given('the log has the fault {fault}')
def step_fault(context: typing.Any, fault: str) -> None:
    context.log.set_faults(**json.loads(fault))


@behave.given('version {version:d} of "cuadrilla" is in force')
def step_in_force(context: typing.Any, version: int) -> None:
    new = deployments.make_deployment()
    previous = core.Deployment('')
    for number in range(version):
        changes = log.diff_deployments(previous, new)
        publication = log.Publication(
            'cuadrilla', number + 1, number, f'n{number}', changes
        )
        record = log.encode_publication(publication)
        context.portal.call(deployments.get_stream(context).append, [record])
        previous = new


def make_document(kind: str) -> typing.Any:
    """Return a configuration document.

    Args:
        kind: Name of the deployment, or `two drained` for a document with
            two draining targets, or `mistakes` for one with five mistakes.
    """
    deployment = deployments.make_deployment()
    if kind == 'omake':
        deployment = deployments.make_deployment('omake')
    if kind == 'two drained':
        targets = {
            name: attrs.evolve(target, leaving=True)
            for name, target in deployment.targets.items()
        }
        deployment = attrs.evolve(deployment, targets=targets)
    document = core.encode_document(deployment)
    if kind == 'mistakes':
        document['extra'] = 1
        document['targets']['gang-1']['kv_tokens'] = 'many'
        document['targets']['booking-1']['service'] = 'bookings'
        document['workspaces']['workspace-0']['key_digest'] = 'secret'
        document['places']['lima'] = 7
    return document


def write_document(context: typing.Any, text: str) -> None:
    """Write the document file of a scenario."""
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.document = pathlib.Path(folder) / 'document.json'
    context.document.write_text(text)


@behave.given('a configuration document "{kind}"')
def step_document(context: typing.Any, kind: str) -> None:
    write_document(context, json.dumps(make_document(kind)))


@behave.given('a document file with the text {text}')
def step_text(context: typing.Any, text: str) -> None:
    write_document(context, text)


@behave.given('VMs in the states "{states}"')
def step_vms(context: typing.Any, states: str) -> None:
    context.vms = []
    context.at = []
    for state in states.split(', '):
        if state == 'down':
            # Nothing listens on port 1 of loopback.
            context.at.append('127.0.0.1:1')
            continue
        fault = '' if state.startswith('at ') else state
        version = int(state[3:]) if state.startswith('at ') else 0
        vm = operators_interface.FakeVM(version, fault)
        server = hooks.enter_context(context, transport.serve_app(vm.app))
        context.vms.append(vm)
        context.at.append(server.address)


@behave.when('the operator runs: {command}')
def step_run(context: typing.Any, command: str) -> None:
    # Of a repeated option typer uses the last. The scenario appends --key to
    # the row's command, so remove the last --key if the row has its own.
    words = shlex.split(command)
    if words.count('--key') == 2:
        index = len(words) - words[::-1].index('--key') - 1
        del words[index : index + 2]
    arguments = []
    for word in words:
        match word:
            case 'DOCUMENT':
                arguments.append(str(context.document))
            case 'LOG':
                arguments.append(context.server.address)
            case 'AT':
                for address in context.at:
                    arguments += ['--at', address]
            case _:
                arguments.append(word)
    runner = testing.CliRunner(env={'TERMINAL_WIDTH': '200'})
    context.result = runner.invoke(cli.app, arguments)


@behave.then('the exit status is {status:d}')
def step_status(context: typing.Any, status: int) -> None:
    result = context.result
    assert result.exit_code == status, (result.exit_code, result.output)


@behave.then('the output has "{text}"')
def step_output(context: typing.Any, text: str) -> None:
    assert text in context.result.output, context.result.output


@behave.then('the log contains {count:d} records')
def step_records(context: typing.Any, count: int) -> None:
    assert deployments.get_stream(context).end == count


@behave.then('the findings are "{codes}"')
def step_findings(context: typing.Any, codes: str) -> None:
    findings = json.loads(context.result.output)['findings']
    found = sorted(finding['code'] for finding in findings)
    assert found == sorted(codes.split()), findings


@behave.then('the VMs accepted "{counts}" drain orders {order}')
def step_drained(context: typing.Any, counts: str, order: str) -> None:
    accepted = ' '.join(str(len(vm.drained)) for vm in context.vms)
    assert accepted == counts, accepted
    orders = [item for vm in context.vms for item in vm.drained]
    assert orders == [json.loads(order)], orders
