"""Command line of operators."""

from __future__ import annotations

import sys
import typing

import anyio
import typer

from laburnumstep import core
from laburnumstep import log
from laburnumstep_operator import _documents

EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3

app = typer.Typer(
    help='Operates deployments of the laburnumstep serving system.',
    no_args_is_help=True,
)
DocumentFile = typing.Annotated[
    str, typer.Argument(help='Configuration document; - for standard input.')
]
Timeout = typing.Annotated[
    float, typer.Option(help='When to give up, in seconds.')
]
LogAddress = typing.Annotated[
    str, typer.Option('--log', help='IP number and port of the log.')
]


def _load(path: str) -> core.Deployment:
    try:
        return _documents.load_deployment(path)
    except core.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_FINDINGS) from error


@app.command()
def check(document: DocumentFile) -> None:
    """Check a configuration document and print every finding.

    Exits 0 when it can be published, 2 when it has findings.

    Example: python examples/cuadrilla.py | laburnumstep-operator check -
    """
    deployment = _load(document)
    print(f'{deployment.name}: no findings')


@app.command()
def publish(
    document: DocumentFile,
    log_address: LogAddress,
    made_from: typing.Annotated[
        int, typer.Option(help='Version from which the document was made.')
    ],
    timeout: Timeout = 15.0,
) -> None:
    """Publish a configuration document.

    Exits 0 when it is in force, 1 when the log does not answer, 2 when the
    document has findings, 3 when another publication was accepted first.

    Example: laburnumstep-operator publish plan.json --log 10.0.0.5:7000
    --made-from 12
    """
    deployment = _load(document)
    result = anyio.run(_publish, deployment, log_address, made_from, timeout)
    match result:
        case log.Published(version=version):
            print(f'{deployment.name}: version {version} is in force')
        case log.Conflict(in_force=in_force):
            print(
                f'conflict: made from version {made_from}, but version'
                f' {in_force} is in force',
                file=sys.stderr,
            )
            raise typer.Exit(EXIT_CONFLICT)
        case _:
            typing.assert_never(result)


async def _publish(
    deployment: core.Deployment,
    address: str,
    made_from: int,
    timeout: float,
) -> log.PublishResult:
    clock = core.SystemClock()
    client = log.LogClient(address, clock)
    try:
        return await log.ConfigurationPublisher(client, clock).publish(
            deployment, made_from, clock.now() + timeout
        )
    except core.CodedError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_FAILED) from error
    finally:
        await client.close()


def main() -> None:
    """Run the command line."""
    app()
