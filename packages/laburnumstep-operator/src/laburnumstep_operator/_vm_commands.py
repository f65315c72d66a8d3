"""Commands that ask entry VMs."""

from __future__ import annotations

import json
import pathlib
import time
import typing

import anyio
import attrs
import typer

from laburnumstep import core
from laburnumstep_operator import _options
from laburnumstep_operator import _output
from laburnumstep_operator import logs as log_files
from laburnumstep_operator import vms


def status(
    at: _options.VMAddresses,
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Show which version is in force at each VM.

    Exits 0 when all VMs have the same version, 1 when one does not answer,
    2 when their versions differ.

    Example: laburnumstep-operator status --at 10.0.1.7:9000
    --at 10.0.1.8:9000 --key-file operators.key
    """
    secret = _options.read_key(key, key_file, as_json)
    answers = anyio.run(vms.fetch_status, at, secret, time.time() + timeout)
    lines = [_describe_status(answer) for answer in answers]
    versions = {
        json.dumps([answer.body.get('version'), answer.body.get('digest')])
        for answer in answers
        if isinstance(answer, vms.Answered)
    }
    agreed = len(versions) <= 1
    if not agreed:
        lines.append('the VMs do not have the same version in force')
    _output.print_answer(
        as_json,
        {'agreed': agreed, 'vms': [_encode(answer) for answer in answers]},
        lines,
    )
    if not all(isinstance(answer, vms.Answered) for answer in answers):
        raise typer.Exit(_output.EXIT_FAILED)
    if not agreed:
        raise typer.Exit(_output.EXIT_FINDINGS)


def explain(
    request: typing.Annotated[
        str, typer.Argument(help='Idempotency key of the request.')
    ],
    at: _options.AskedVMs,
    logs: _options.LogFolder = '',
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Show why a request was routed where it was.

    The VMs remember their last decisions; their logs tell all that touched
    the request, and what the VM knew then and since when.

    Exits 0 when a VM remembers the decision or the logs name the request,
    1 when none does.

    Example: laburnumstep-operator explain 1764800000000-5f2c9a01
    --at 10.0.1.7:9000 --key-file operators.key

    Example: laburnumstep-operator explain 795b20d889d1e2b2 --logs ./logs
    """
    if logs:
        _explain_from_logs(request, pathlib.Path(logs), as_json)
        return
    if not at:
        _options.fail_usage(as_json, 'give --at or --logs')
    secret = _options.read_key(key, key_file, as_json)
    answers = anyio.run(
        vms.explain, at, secret, request, time.time() + timeout
    )
    found = [a for a in answers if isinstance(a, vms.Answered)]
    if not found:
        _fail(answers, as_json, f'no VM remembers a decision about {request}')
    lines = []
    for answer in found:
        lines.append(f'decided by the VM at {answer.address}:')
        lines += [f'  {line}' for line in _describe_body(answer.body)]
    _output.print_answer(
        as_json, {'decisions': [_encode(answer) for answer in found]}, lines
    )


def _explain_from_logs(
    request: str, folder: pathlib.Path, as_json: bool
) -> None:
    try:
        read, unread = log_files.read_folder(folder)
    except OSError as error:
        _options.fail_usage(as_json, f'--logs: {error}')
    account = log_files.build_account(request, read)
    if not account.lines:
        _fail([], as_json, f'no log in {folder} names request {request}')
    lines = []
    for item in account.lines:
        for known in item.known:
            age = item.line.time - known.time
            lines.append(f'    known for {age:.3f} s: {known.message}')
        lines.append(
            f'{item.line.time:.3f} {item.line.vm}: {item.line.message}'
        )
    if account.dropped:
        lines.append(f'lines were dropped by: {", ".join(account.dropped)}')
    if unread:
        lines.append(f'lines that cannot be read: {unread}')
    _output.print_answer(
        as_json, {**attrs.asdict(account), 'unread': unread}, lines
    )


def drain(
    at: _options.VMAddresses,
    target: typing.Annotated[
        str, typer.Option(help='Target that is to get no new work.')
    ] = '',
    vm: typing.Annotated[
        str, typer.Option(help='Entry VM that is to get no new work.')
    ] = '',
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Give a target or a VM no new work, and let its streams finish.

    The VMs are asked in turn until one accepts; it tells the others.

    Exits 0 when a VM has accepted, 1 when none has.

    Example: laburnumstep-operator drain --target gang-3
    --at 10.0.1.7:9000 --key-file operators.key
    """
    secret = _options.read_key(key, key_file, as_json)
    if bool(target) == bool(vm):
        _options.fail_usage(as_json, 'give either --target or --vm')
    answers = anyio.run(
        vms.drain,
        at,
        secret,
        'target' if target else 'vm',
        target or vm,
        time.time() + timeout,
    )
    last = answers[-1] if answers else None
    if not isinstance(last, vms.Answered):
        _fail(answers, as_json, f'no VM accepted to drain {target or vm}')
    _output.print_answer(
        as_json,
        {'draining': target or vm, **_encode(last)},
        [f'{target or vm} is draining; the VM at {last.address} accepted'],
    )


def _encode(answer: vms.VMAnswer) -> core.DocumentObject:
    match answer:
        case vms.Answered(address=address, body=body):
            return {'at': address, 'answer': body}
        case vms.NotFound(address=address, message=message):
            return {
                'at': address,
                'error': {'code': 'not_found', 'message': message},
            }
        case vms.Failed(address=address, code=code, message=message):
            return {'at': address, 'error': {'code': code, 'message': message}}
        case _:
            typing.assert_never(answer)


def _describe_status(answer: vms.VMAnswer) -> str:
    match answer:
        case vms.Answered(address=address, body=body):
            parts = [f'{name} {_shorten(body[name])}' for name in body]
            return f'{address}: {", ".join(parts)}'
        case vms.NotFound() | vms.Failed():
            return _describe_problem(answer)
        case _:
            typing.assert_never(answer)


def _describe_problem(answer: vms.NotFound | vms.Failed) -> str:
    match answer:
        case vms.NotFound(address=address, message=message):
            return f'{address}: not found: {message}'
        case vms.Failed(address=address, code=code, message=message):
            return f'{address}: {code}: {message}'
        case _:
            typing.assert_never(answer)


def _describe_body(body: core.DocumentObject) -> list[str]:
    decisions = body.get('decisions')
    if not isinstance(decisions, list):
        decisions = [body]
    return [
        f'{name}: {_format(value)}'
        for decision in decisions
        if isinstance(decision, dict)
        for name, value in decision.items()
    ]


def _shorten(value: typing.Any) -> str:
    # The members and targets of a whole deployment are for --json.
    return str(len(value)) if isinstance(value, list) else _format(value)


def _format(value: typing.Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value)


def _fail(
    answers: list[vms.VMAnswer], as_json: bool, message: str
) -> typing.NoReturn:
    problems = [a for a in answers if not isinstance(a, vms.Answered)]
    _output.print_problem(
        as_json,
        {
            'error': {'code': 'failed', 'message': message},
            'vms': [_encode(answer) for answer in problems],
        },
        [message, *[_describe_problem(answer) for answer in problems]],
    )
    raise typer.Exit(_output.EXIT_FAILED)
