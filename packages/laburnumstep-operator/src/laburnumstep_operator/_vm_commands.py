"""Commands that query or control entry VMs, or read their logs."""

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

DEFAULT_REFUSAL_SECONDS = 3600.0
"""How long an operator's refusal lasts if it is not given, in seconds."""


def status(
    at: _options.VMAddresses,
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Show which version is in force at each VM.

    Exits 0 if all VMs answer and have the same version, 1 if a VM does not
    answer or refuses, 2 if all answer and their versions differ.

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
    _output.print_result(
        as_json,
        {
            'agreed': agreed,
            'vms': [_encode_answer(answer) for answer in answers],
        },
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
    at: _options.OptionalVMAddresses,
    logs: _options.LogFolder = '',
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Show why a request was routed where it was.

    Each VM keeps its latest decisions; --at queries them. The logs of the
    VMs contain the events of the request; --logs prints these, with the
    state that the VM knew at the time and since when it knew it.

    Exits 0 if a VM remembers the decision or a log mentions the request, 1
    if none does.

    Example: laburnumstep-operator explain 1764800000000-5f2c9a01
    --at 10.0.1.7:9000 --key-file operators.key

    Example: laburnumstep-operator explain 795b20d889d1e2b2 --logs ./logs
    """
    if logs:
        _explain_from_logs(request, pathlib.Path(logs), as_json)
        return
    if not at:
        _options.exit_with_usage_error(as_json, '--at or --logs is required')
    secret = _options.read_key(key, key_file, as_json)
    answers = anyio.run(
        vms.fetch_decisions, at, secret, request, time.time() + timeout
    )
    found = [a for a in answers if isinstance(a, vms.Answered)]
    if not found:
        _exit_with_failures(
            answers, as_json, f'no VM remembers a decision about {request}'
        )
    lines = []
    for answer in found:
        lines.append(f'decided by the VM at {answer.address}:')
        lines += [f'  {line}' for line in _describe_decisions(answer.body)]
    _output.print_result(
        as_json,
        {'decisions': [_encode_answer(answer) for answer in found]},
        lines,
    )


def _explain_from_logs(
    request: str, folder: pathlib.Path, as_json: bool
) -> None:
    """Print the log lines about a request from all VMs."""
    try:
        log_lines, unread = log_files.read_folder(folder)
    except OSError as error:
        _options.exit_with_usage_error(as_json, f'--logs: {error}')
    trace = log_files.build_trace(request, log_lines)
    if not trace.lines:
        _exit_with_failures(
            [], as_json, f'no log in {folder} mentions request {request}'
        )
    lines = []
    for entry in trace.lines:
        for known in entry.known:
            age = entry.line.time - known.time
            lines.append(f'    known for {age:.3f} s: {known.message}')
        lines.append(
            f'{entry.line.time:.3f} {entry.line.vm}: {entry.line.message}'
        )
    if trace.dropped:
        lines.append(f'lines were dropped by: {", ".join(trace.dropped)}')
    if unread:
        lines.append(f'lines that cannot be read: {unread}')
    _output.print_result(
        as_json, {**attrs.asdict(trace), 'unread': unread}, lines
    )


def drain(
    at: _options.VMAddresses,
    target: typing.Annotated[
        str, typer.Option(help='Target that is to accept no new work.')
    ] = '',
    vm: typing.Annotated[
        str, typer.Option(help='Entry VM that is to accept no new work.')
    ] = '',
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Give a target or a VM no new work, and let its streams finish.

    The order is sent to one VM after the other until one accepts it; that
    VM announces it to its siblings.

    Exits 0 if a VM accepted the order, 1 if none did.

    Example: laburnumstep-operator drain --target gang-3
    --at 10.0.1.7:9000 --key-file operators.key
    """
    secret = _options.read_key(key, key_file, as_json)
    if bool(target) == bool(vm):
        _options.exit_with_usage_error(as_json, 'set either --target or --vm')
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
        _exit_with_failures(
            answers, as_json, f'no VM accepted to drain {target or vm}'
        )
    _output.print_result(
        as_json,
        {'draining': target or vm, **_encode_answer(last)},
        [f'{target or vm} is draining; the VM at {last.address} accepted'],
    )


def culprits(
    at: _options.VMAddresses,
    refuse: _options.RefusedTraits,
    clear: _options.ClearedTraits,
    seconds: typing.Annotated[
        float, typer.Option(min=1, help='How long to refuse, in seconds.')
    ] = DEFAULT_REFUSAL_SECONDS,
    key: _options.Key = '',
    key_file: _options.KeyFile = '',
    timeout: _options.Timeout = 5.0,
    as_json: _options.Json = False,
) -> None:
    """Show, add or clear what is refused because it crashes targets.

    A request is refused if it has all traits of a culprit. Without --refuse
    and --clear, each VM shows its culprits, the crashes that they explain and
    when the refusal ends. An order is sent to one VM after the other until
    one accepts it; that VM announces it to its siblings.

    Exits 0 if all VMs answered, or one accepted the order, otherwise 1.

    Example: laburnumstep-operator culprits --clear part:gang-plan:8bb043f7bc2
    --at 10.0.1.7:9000 --key-file operators.key
    """
    secret = _options.read_key(key, key_file, as_json)
    if refuse and clear:
        _options.exit_with_usage_error(
            as_json, 'set either --refuse or --clear'
        )
    deadline = time.time() + timeout
    if refuse or clear:
        order: core.DocumentObject = {'clear': clear}
        if refuse:
            until = time.time() + seconds
            order = {'refuse': refuse, 'until': until}
        answers = anyio.run(vms.order_culprits, at, secret, order, deadline)
        found = [a for a in answers[-1:] if isinstance(a, vms.Answered)]
    else:
        answers = anyio.run(vms.fetch_culprits, at, secret, deadline)
        found = [a for a in answers if isinstance(a, vms.Answered)]
        if len(found) < len(answers):
            found = []
    if not found:
        _exit_with_failures(answers, as_json, 'the culprits are not known')
    lines = []
    for answer in found:
        lines.append(f'refused by the VM at {answer.address}:')
        listed = answer.body.get('culprits')
        lines += [
            f'  {line}'
            for item in (listed if isinstance(listed, list) else [])
            for line in _describe_culprit(item)
        ]
    _output.print_result(
        as_json, {'vms': [_encode_answer(answer) for answer in found]}, lines
    )


def _describe_culprit(item: core.DocumentObject) -> list[str]:
    now = time.time()
    return [
        f'traits: {" ".join(item["traits"])}',
        f'  crashes: {item["crashes"]}, the last'
        f' {now - item["last_crash_at"]:.0f} s ago;'
        f' refused for {item["refused_until"] - now:.0f} s',
    ]


def _encode_answer(answer: vms.VMAnswer) -> core.DocumentObject:
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
            fields = [
                f'{name} {_summarize_value(body[name])}' for name in body
            ]
            return f'{address}: {", ".join(fields)}'
        case vms.NotFound() | vms.Failed():
            return _describe_failure(answer)
        case _:
            typing.assert_never(answer)


def _describe_failure(answer: vms.NotFound | vms.Failed) -> str:
    match answer:
        case vms.NotFound(address=address, message=message):
            return f'{address}: not found: {message}'
        case vms.Failed(address=address, code=code, message=message):
            return f'{address}: {code}: {message}'
        case _:
            typing.assert_never(answer)


def _describe_decisions(body: core.DocumentObject) -> list[str]:
    decisions = body.get('decisions')
    if not isinstance(decisions, list):
        decisions = [body]
    return [
        f'{name}: {_format_value(value)}'
        for decision in decisions
        if isinstance(decision, dict)
        for name, value in decision.items()
    ]


def _summarize_value(value: typing.Any) -> str:
    """Return a list as its length, any other value as text."""
    # Lists of members or targets are too long for one line of text; --json
    # prints them whole.
    return str(len(value)) if isinstance(value, list) else _format_value(value)


def _format_value(value: typing.Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value)


def _exit_with_failures(
    answers: list[vms.VMAnswer], as_json: bool, message: str
) -> typing.NoReturn:
    """Print an error with the failed answers and exit with status 1."""
    failures = [a for a in answers if not isinstance(a, vms.Answered)]
    _output.print_error(
        as_json,
        {
            'error': {'code': 'failed', 'message': message},
            'vms': [_encode_answer(answer) for answer in failures],
        },
        [message, *[_describe_failure(answer) for answer in failures]],
    )
    raise typer.Exit(_output.EXIT_FAILED)
