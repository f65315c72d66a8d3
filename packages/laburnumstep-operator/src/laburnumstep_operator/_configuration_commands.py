"""Commands that read documents and publish them to the log."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import attrs
import typer

from laburnumstep import core
from laburnumstep import log
from laburnumstep_operator import _descriptions
from laburnumstep_operator import _documents
from laburnumstep_operator import _options
from laburnumstep_operator import _output

_T = typing.TypeVar('_T')


def check(
    document: _options.DocumentFile, as_json: _options.Json = False
) -> None:
    """Check a configuration document and print every finding.

    Exits 0 when it can be published, 2 when it has findings.

    Example: python examples/cuadrilla.py | laburnumstep-operator check -
    """
    deployment = _load(document, as_json)
    _output.print_answer(
        as_json,
        {'deployment': deployment.name, 'findings': []},
        [f'{deployment.name}: no findings'],
    )


def diff(
    document: _options.DocumentFile,
    log_address: _options.LogAddress,
    timeout: _options.Timeout = 15.0,
    as_json: _options.Json = False,
) -> None:
    """Show how a document differs from the version in force.

    Exits 0, also when there are differences; 1 when the log does not
    answer; 2 when the document has findings.

    Example: laburnumstep-operator diff plan.json --log 10.0.0.5:7000
    """
    deployment = _load(document, as_json)

    async def read(
        publisher: log.ConfigurationPublisher, deadline: float
    ) -> core.VersionedDeployment | None:
        return await publisher.read_in_force(deadline)

    state = _ask_log(read, log_address, timeout, as_json)
    base = state.deployment if state else core.Deployment('')
    version = state.version if state else 0
    if state and base.name != deployment.name:
        _fail_wrong_deployment(document, base.name, as_json)
    changes = log.diff_deployments(base, deployment)
    _print_changes(
        as_json,
        base,
        changes,
        {'deployment': deployment.name, 'in_force': version},
        f'{deployment.name}: version {version} is in force;'
        f' {len(changes)} changes',
    )


def publish(
    document: _options.DocumentFile,
    log_address: _options.LogAddress,
    made_from: _options.MadeFrom,
    dry_run: typing.Annotated[
        bool, typer.Option(help='Show the changes and publish nothing.')
    ] = False,
    found: typing.Annotated[
        bool,
        typer.Option(
            '--found',
            help='Begin anew when neither the log nor a VM tells the'
            ' version in force. Give the highest version that was ever in'
            ' force as --made-from.',
        ),
    ] = False,
    timeout: _options.Timeout = 15.0,
    as_json: _options.Json = False,
) -> None:
    """Publish a configuration document as the next version.

    Exits 0 when it is in force, 1 when the log does not answer, 2 when the
    document has findings, 3 when another version is in force than the one
    that the document was made from.

    Example: laburnumstep-operator publish plan.json --log 10.0.0.5:7000
    --made-from 12
    """
    deployment = _load(document, as_json)

    async def run(
        publisher: log.ConfigurationPublisher, deadline: float
    ) -> log.PrepareResult | log.Published:
        if dry_run:
            return await publisher.prepare(deployment, made_from, deadline)
        if found:
            return await publisher.start_new_history(
                deployment, made_from, deadline
            )
        return await publisher.publish(deployment, made_from, deadline)

    result = _ask_log(run, log_address, timeout, as_json)
    name = deployment.name
    match result:
        case log.Published(version=version):
            _output.print_answer(
                as_json,
                {'deployment': name, 'version': version},
                [f'{name}: version {version} is in force'],
            )
        case log.NotNeeded(version=version):
            _output.print_answer(
                as_json,
                {'deployment': name, 'version': version, 'changes': []},
                [f'{name}: version {version} is in force already'],
            )
        case log.Prepared(base=base, publication=publication):
            _print_changes(
                as_json,
                base,
                publication.changes,
                {'deployment': name, 'would_be': publication.version},
                f'{name}: would be version {publication.version};'
                f' {len(publication.changes)} changes',
            )
        case log.Conflict():
            _fail_conflict(result, as_json)
        case log.WrongDeployment(in_force=in_force):
            _fail_wrong_deployment(document, in_force, as_json)
        case _:
            typing.assert_never(result)


def _load(path: str, as_json: bool) -> core.Deployment:
    try:
        return _documents.load_deployment(path)
    except core.FindingsError as error:
        _fail_findings(error.findings, as_json)


def _ask_log(
    ask: typing.Callable[
        [log.ConfigurationPublisher, float],
        collections.abc.Coroutine[typing.Any, typing.Any, _T],
    ],
    address: str,
    timeout: float,
    as_json: bool,
) -> _T:
    async def run() -> _T:
        clock = core.SystemClock()
        client = log.LogClient(address, clock)
        try:
            publisher = log.ConfigurationPublisher(client, clock)
            return await ask(publisher, clock.now() + timeout)
        finally:
            await client.close()

    try:
        return anyio.run(run)
    except core.CodedError as error:
        _fail(error, as_json)


def _print_changes(
    as_json: bool,
    base: core.Deployment,
    changes: list[log.Change],
    document: core.DocumentObject,
    title: str,
) -> None:
    encoded = [log.encode_change(change) for change in changes]
    _output.print_answer(
        as_json,
        {**document, 'changes': encoded},
        [title, *_descriptions.describe_changes(base, changes)],
    )


def _fail(error: core.CodedError, as_json: bool) -> typing.NoReturn:
    document: core.DocumentObject = {
        'code': error.code.value,
        'message': error.message,
    }
    lines = [str(error)]
    if isinstance(error, log.LogUnavailable):
        document['may_be_in_force'] = error.may_be_appended
        if error.may_be_appended:
            lines.append(
                'the publication may be in force; see diff before you'
                ' publish again'
            )
    _output.print_problem(as_json, {'error': document}, lines)
    raise typer.Exit(_output.EXIT_FAILED)


def _fail_findings(
    findings: list[core.Finding], as_json: bool
) -> typing.NoReturn:
    _output.print_problem(
        as_json,
        _output.encode_findings(findings),
        [str(finding) for finding in findings],
    )
    raise typer.Exit(_output.EXIT_FINDINGS)


def _fail_wrong_deployment(
    path: str, in_force: str, as_json: bool
) -> typing.NoReturn:
    position = core.SourcePosition(path, 'name')
    message = f'the log belongs to the deployment {in_force}'
    finding = core.Finding(position, 'wrong_deployment', message)
    _fail_findings([finding], as_json)


def _fail_conflict(conflict: log.Conflict, as_json: bool) -> typing.NoReturn:
    message = (
        f'conflict: made from version {conflict.made_from}, but version'
        f' {conflict.in_force} is in force'
    )
    error = {
        'code': core.ErrorCode.CONFIGURATION_CONFLICT.value,
        'message': message,
        **attrs.asdict(conflict),
    }
    _output.print_problem(as_json, {'error': error}, [message])
    raise typer.Exit(_output.EXIT_CONFLICT)
