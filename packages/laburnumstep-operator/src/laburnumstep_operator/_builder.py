"""Builds a deployment from declarations in a program."""

from __future__ import annotations

import inspect
import json
import os
import sys
import typing

from laburnumstep import core
from laburnumstep_operator import _checks

EXIT_FINDINGS = 2
"""Exit status of a program whose declarations contain mistakes."""


class DeploymentBuilder:
    """Collects the declarations of a deployment.

    Every mistake is reported with the file and line of its declaration.

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
        self._record_declaration('deployment', name)

    def add_place(
        self, name: str, region: str, data_centres: list[str]
    ) -> None:
        """Declare a place: a region with its data centres."""
        if self._record_declaration('places', name):
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
            data_centre: Data centre in which the engine runs.
            address: IP address and port.
            models: Models that the engine serves.
            kv_tokens: Size of the KV cache for running generations, in
                tokens.
            checks_fence: Whether the engine refuses orders with an
                outdated fencing token.
            version: Version of the models.
            leaving: Whether the engine is draining: it accepts no new
                requests and finishes those in progress.
        """
        if self._record_declaration('targets', name):
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
        """Declare a plain service.

        Args:
            name: Name, unique among the services.
            operations: Operations of the service, by name.
        """
        if self._record_declaration('services', name):
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
            data_centre: Data centre in which the server runs.
            address: IP address and port.
            service: Name of the service.
            leaving: Whether the server is draining: it accepts no new
                requests and finishes those in progress.
        """
        if self._record_declaration('targets', name):
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
            key_digest: SHA-256 digest of the secret, in hexadecimal.
            requests_per_second: Limit of the request rate across all VMs.
            concurrency: Limit of requests in progress across all VMs.
            tokens_per_second: Limit of the token rate across all VMs.
            priority: Default priority of the workspace's requests; higher
                values are served first.
            secret_expires_at: When the secret expires, in epoch seconds;
                None if it does not expire.
        """
        if self._record_declaration('workspaces', name):
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
        """Declare the weights of the placement policy.

        Args:
            stall: Weight of stall time.
            preemption: Weight of preemptions.
            tail: Weight of the tail latency between tokens.
        """
        if self._record_declaration('weights', ''):
            self._weights = core.PolicyWeights(stall, preemption, tail)

    def set_link(
        self, source: str, destination: str, *, bytes_per_second: float
    ) -> None:
        """Declare the bandwidth limit from one region to another.

        Args:
            source: Region that sends.
            destination: Region that receives.
            bytes_per_second: Limit of this direction.
        """
        direction = f'{source}>{destination}'
        if self._record_declaration('links', direction):
            self._links[direction] = bytes_per_second

    def build(self) -> core.Deployment:
        """Check the declarations and return the deployment.

        Raises:
            FindingsError: If there are mistakes; it contains all of them.
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
        """Print the configuration document as JSON on standard output.

        If there are findings, the method prints them on standard error,
        prints nothing on standard output and exits with status 2.
        """
        try:
            deployment = self.build()
        except core.FindingsError as error:
            for finding in error.findings:
                print(finding, file=sys.stderr)
            sys.exit(EXIT_FINDINGS)
        document = core.encode_document(deployment)
        print(json.dumps(document, indent=2))

    def _record_declaration(self, section: str, name: str) -> bool:
        """Record where an item is declared.

        Returns:
            Whether this is the first declaration of the item. A second one
            adds a finding.
        """
        item = _checks.Item(section, name)
        position = _get_caller_position(section, name)
        first = self._positions.setdefault(item, position)
        if first is position:
            return True
        message = f'is already declared at line {first.line}'
        self._findings.append(
            core.Finding(position, 'declared_twice', message)
        )
        return False


def _get_caller_position(section: str, name: str) -> core.SourcePosition:
    """Return the position of the caller outside this module."""
    frame = inspect.currentframe()
    while frame is not None and frame.f_code.co_filename == __file__:
        frame = frame.f_back
    if frame is None:
        return core.SourcePosition('<unknown>', section, name)
    file = frame.f_code.co_filename
    try:
        file = os.path.relpath(file)
    except ValueError:
        pass  # A path on another drive has no relative form.
    line: typing.Any = frame.f_lineno
    return core.SourcePosition(file, section, name, line)
