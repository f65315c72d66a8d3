"""Commands that check configuration documents and publish them."""

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

    Exits 0 if the document has no findings, 2 if it has some.

    Example: python examples/cuadrilla.py | laburnumstep-operator check -
    """
    deployment = _load_document(document, as_json)
    _output.print_result(
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

    Exits 0 with or without differences, 1 if the log does not answer, 2 if
    the document has findings.

    Example: laburnumstep-operator diff plan.json --log 10.0.0.5:7000
    """
    deployment = _load_document(document, as_json)

    async def read_in_force(
        publisher: log.ConfigurationPublisher, deadline: float
    ) -> core.VersionedDeployment | None:
        return await publisher.read_in_force(deadline)

    state = _run_log_request(read_in_force, log_address, timeout, as_json)
    base = state.deployment if state else core.Deployment('')
    version = state.version if state else 0
    if state and base.name != deployment.name:
        _exit_with_wrong_deployment(document, base.name, as_json)
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
            help='Start a new history if neither the log nor a VM has the'
            ' version in force. Set --made-from to the highest version that'
            ' was ever in force.',
        ),
    ] = False,
    timeout: _options.Timeout = 15.0,
    as_json: _options.Json = False,
) -> None:
    """Publish a configuration document as the next version.

    Exits 0 if the document is in force, 1 if the log does not answer, 2 if
    the document has findings, 3 if the version in force is not the one that
    the document was made from.

    Example: laburnumstep-operator publish plan.json --log 10.0.0.5:7000
    --made-from 12
    """
    deployment = _load_document(document, as_json)

    async def publish_document(
        publisher: log.ConfigurationPublisher, deadline: float
    ) -> log.PrepareResult | log.Published:
        if dry_run:
            return await publisher.prepare(deployment, made_from, deadline)
        if found:
            return await publisher.start_new_history(
                deployment, made_from, deadline
            )
        return await publisher.publish(deployment, made_from, deadline)

    result = _run_log_request(publish_document, log_address, timeout, as_json)
    name = deployment.name
    match result:
        case log.Published(version=version):
            _output.print_result(
                as_json,
                {'deployment': name, 'version': version},
                [f'{name}: version {version} is in force'],
            )
        case log.NotNeeded(version=version):
            _output.print_result(
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
            _exit_with_conflict(result, as_json)
        case log.WrongDeployment(in_force=in_force):
            _exit_with_wrong_deployment(document, in_force, as_json)
        case _:
            typing.assert_never(result)


def _load_document(path: str, as_json: bool) -> core.Deployment:
    try:
        return _documents.load_deployment(path)
    except core.FindingsError as error:
        _exit_with_findings(error.findings, as_json)


def _run_log_request(
    request: typing.Callable[
        [log.ConfigurationPublisher, float],
        collections.abc.Coroutine[typing.Any, typing.Any, _T],
    ],
    address: str,
    timeout: float,
    as_json: bool,
) -> _T:
    """Run a request to the log; exit with status 1 if it fails.

    Args:
        request: Coroutine function that takes a publisher and a deadline in
            epoch seconds.
        address: IP address and port of the log.
        timeout: Longest duration of the request, in seconds.
        as_json: Whether to report an error as JSON.
    """

    async def run() -> _T:
        clock = core.SystemClock()
        client = log.LogClient(address, clock)
        try:
            publisher = log.ConfigurationPublisher(client, clock)
            return await request(publisher, clock.now() + timeout)
        finally:
            await client.close()

    try:
        return anyio.run(run)
    except core.CodedError as error:
        _exit_with_error(error, as_json)


def _print_changes(
    as_json: bool,
    base: core.Deployment,
    changes: list[log.Change],
    document: core.DocumentObject,
    title: str,
) -> None:
    """Print changes; `document` has the other fields of the JSON object."""
    encoded = [log.encode_change(change) for change in changes]
    _output.print_result(
        as_json,
        {**document, 'changes': encoded},
        [title, *_descriptions.describe_changes(base, changes)],
    )


def _exit_with_error(error: core.CodedError, as_json: bool) -> typing.NoReturn:
    document: core.DocumentObject = {
        'code': error.code.value,
        'message': error.message,
    }
    lines = [str(error)]
    if isinstance(error, log.LogUnavailable):
        document['may_be_in_force'] = error.may_be_appended
        if error.may_be_appended:
            lines.append(
                'the publication may be in force; run diff before'
                ' publishing again'
            )
    _output.print_error(as_json, {'error': document}, lines)
    raise typer.Exit(_output.EXIT_FAILED)


def _exit_with_findings(
    findings: list[core.Finding], as_json: bool
) -> typing.NoReturn:
    _output.print_error(
        as_json,
        _output.encode_findings(findings),
        [str(finding) for finding in findings],
    )
    raise typer.Exit(_output.EXIT_FINDINGS)


def _exit_with_wrong_deployment(
    path: str, in_force: str, as_json: bool
) -> typing.NoReturn:
    position = core.SourcePosition(path, 'name')
    message = f'the log belongs to the deployment {in_force}'
    finding = core.Finding(position, 'wrong_deployment', message)
    _exit_with_findings([finding], as_json)


def _exit_with_conflict(
    conflict: log.Conflict, as_json: bool
) -> typing.NoReturn:
    message = (
        f'conflict: made from version {conflict.made_from}, but version'
        f' {conflict.in_force} is in force'
    )
    error = {
        'code': core.ErrorCode.CONFIGURATION_CONFLICT.value,
        'message': message,
        **attrs.asdict(conflict),
    }
    _output.print_error(as_json, {'error': error}, [message])
    raise typer.Exit(_output.EXIT_CONFLICT)
