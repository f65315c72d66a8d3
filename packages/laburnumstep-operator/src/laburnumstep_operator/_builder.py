"""Declares a deployment in a program."""

from __future__ import annotations

import inspect
import json
import os
import sys
import typing

from laburnumstep import core
from laburnumstep_operator import _checks

EXIT_FINDINGS = 2
"""Exit status of a program whose declarations have findings."""


class DeploymentBuilder:
    """Collects declarations, and every mistake with its file and line.

    Args:
        name: Name of the deployment.

    Example:
        builder = DeploymentBuilder('cuadrilla')
        builder.add_place('lima', 'lima', ['lima-1', 'lima-2'])
        builder.print_document()
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._places: dict[str, core.Place] = {}
        self._targets: dict[str, core.Target] = {}
        self._services: dict[str, core.Service] = {}
        self._workspaces: dict[str, core.Workspace] = {}
        self._weights = core.PolicyWeights()
        self._links: dict[str, float] = {}
        self._positions: dict[_checks.Item, core.SourcePosition] = {}
        self._findings: list[core.Finding] = []
        self._record('deployment', name)

    def add_place(
        self, name: str, region: str, data_centres: list[str]
    ) -> None:
        """Declare a place: a region with its data centres."""
        if self._record('places', name):
            self._places[name] = core.Place(region, list(data_centres))

    def add_engine(
        self,
        name: str,
        *,
        data_centre: str,
        address: str,
        models: list[str],
        kv_tokens: int,
        checks_fence: bool,
        version: str = '',
        leaving: bool = False,
    ) -> None:
        """Declare a model engine.

        Args:
            name: Name, unique among the targets.
            data_centre: Data centre in which it stands.
            address: IP number and port.
            models: Models that it serves.
            kv_tokens: Memory for running generations, in tokens.
            checks_fence: Whether it refuses orders with an old fencing
                number.
            version: Version of its models.
            leaving: Whether it is being drained.
        """
        if self._record('targets', name):
            self._targets[name] = core.EngineTarget(
                name,
                data_centre,
                address,
                list(models),
                kv_tokens,
                checks_fence,
                version,
                leaving,
            )

    def add_service(
        self, name: str, operations: dict[str, core.Operation]
    ) -> None:
        """Declare a plain service with its operations by name."""
        if self._record('services', name):
            self._services[name] = core.Service(dict(operations))

    def add_service_target(
        self,
        name: str,
        *,
        data_centre: str,
        address: str,
        service: str,
        leaving: bool = False,
    ) -> None:
        """Declare a server of a plain service.

        Args:
            name: Name, unique among the targets.
            data_centre: Data centre in which it stands.
            address: IP number and port.
            service: Name of the service.
            leaving: Whether it is being drained.
        """
        if self._record('targets', name):
            self._targets[name] = core.ServiceTarget(
                name, data_centre, address, service, leaving
            )

    def add_workspace(
        self,
        name: str,
        *,
        key_digest: str,
        requests_per_second: float,
        concurrency: int,
        tokens_per_second: float,
        priority: int = 0,
        secret_expires_at: float | None = None,
    ) -> None:
        """Declare a workspace.

        Args:
            name: Name, unique among the workspaces.
            key_digest: SHA-256 of its secret, in hexadecimal.
            requests_per_second: Rate limit across all VMs.
            concurrency: Limit of requests in progress across all VMs.
            tokens_per_second: Limit of tokens across all VMs.
            priority: Default priority; higher goes first.
            secret_expires_at: When the secret ends, in epoch seconds.
        """
        if self._record('workspaces', name):
            self._workspaces[name] = core.Workspace(
                name,
                key_digest,
                requests_per_second,
                concurrency,
                tokens_per_second,
                priority,
                secret_expires_at,
            )

    def set_weights(
        self, *, stall: float, preemption: float, tail: float
    ) -> None:
        """Declare how much each measure counts."""
        if self._record('weights', ''):
            self._weights = core.PolicyWeights(stall, preemption, tail)

    def set_link(
        self, source: str, destination: str, *, bytes_per_second: float
    ) -> None:
        """Declare the budget of one direction between two regions."""
        direction = f'{source}>{destination}'
        if self._record('links', direction):
            self._links[direction] = bytes_per_second

    def build(self) -> core.Deployment:
        """Check the declarations and return the deployment.

        Raises:
            FindingsError: With every mistake.
        """
        deployment = core.Deployment(
            self._name,
            dict(self._places),
            dict(self._targets),
            dict(self._services),
            dict(self._workspaces),
            self._weights,
            core.LinkBudget(dict(self._links)),
        )
        problems = _checks.check_deployment(deployment)
        findings = self._findings + [
            core.Finding(
                self._positions[problem.item], problem.code, problem.message
            )
            for problem in problems
        ]
        if findings:
            findings.sort(key=lambda f: (f.position.file, f.position.line))
            raise core.FindingsError(findings)
        return deployment

    def print_document(self) -> None:
        """Print the configuration document, or the findings.

        Exits with status 2 where there are findings; they go to standard
        error and nothing goes to standard output.
        """
        try:
            deployment = self.build()
        except core.FindingsError as error:
            for finding in error.findings:
                print(finding, file=sys.stderr)
            sys.exit(EXIT_FINDINGS)
        document = core.encode_document(deployment)
        print(json.dumps(document, indent=2))

    def _record(self, section: str, name: str) -> bool:
        item = _checks.Item(section, name)
        position = _find_declaration(section, name)
        first = self._positions.setdefault(item, position)
        if first is position:
            return True
        message = f'is declared at line {first.line} already'
        self._findings.append(
            core.Finding(position, 'declared_twice', message)
        )
        return False


def _find_declaration(section: str, name: str) -> core.SourcePosition:
    frame = inspect.currentframe()
    while frame is not None and frame.f_code.co_filename == __file__:
        frame = frame.f_back
    if frame is None:
        return core.SourcePosition('<unknown>', section, name)
    file = frame.f_code.co_filename
    try:
        file = os.path.relpath(file)
    except ValueError:
        pass  # Another drive: the absolute path is all there is.
    line: typing.Any = frame.f_lineno
    return core.SourcePosition(file, section, name, line)
