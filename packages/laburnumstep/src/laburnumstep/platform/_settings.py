"""Reads the settings file that the platform writes for a process."""

from __future__ import annotations

import math
import tomllib
import typing

import attrs

from laburnumstep import core

SETTINGS_VARIABLE = 'LABURNUMSTEP_SETTINGS'
"""Environment variable that holds the path of the settings file."""

_Value = typing.TypeVar('_Value')

_MB = 1_000_000
METRICS_PORT = 9464
"""Port of the metrics page; `deploy/system.toml` names the same port."""


@attrs.frozen
class RetryBudgetSettings:
    """Budget of the retries that all VMs together may send to a service."""

    share: float
    """Retries allowed for each request, as a fraction."""
    extra: float
    """Retries allowed in each window in addition to `share`."""
    window: int
    """Length of the window, in seconds."""


@attrs.frozen
class PlatformVMSettings:
    """Settings of one entry VM on the platform."""

    name: str
    """Name of the VM."""
    data_centre: str
    """Data centre in which the VM runs."""
    places: dict[str, core.Place]
    """Places of the deployment, by region."""
    callers_address: str
    """IP address and port of the callers' server."""
    ready_address: str
    """IP address and port of the server for readiness probes."""
    metrics_address: str
    """IP address and port of the metrics server."""
    store_address: str
    """IP address and port of the platform's store."""
    grace_seconds: float
    """Time between SIGTERM and SIGKILL, in seconds."""
    retries: RetryBudgetSettings
    """Retry budget of each service."""
    siblings_address: str
    """IP address and port of the server for sibling VMs."""
    sibling_seeds: tuple[str, ...] = ()
    """Addresses of siblings that are contacted first."""
    memory_bytes: int | None = None
    """Memory limit of the VM, in bytes; None if it is not known."""
    max_descriptors: int | None = None
    """Descriptor limit of the VM; None if it is not known."""


class _SettingsReader:
    """Reads typed values from a settings document.

    Args:
        path: Path of the file, for the positions of findings.
        document: The decoded file.
    """

    def __init__(self, path: str, document: dict[str, typing.Any]) -> None:
        self._path = path
        self._document = document
        self.findings: list[core.Finding] = []

    def find(self, key: str) -> typing.Any:
        """Return an optional value of the top level, or None."""
        return self._document.get(key)

    def find_limit(self, key: str) -> int | None:
        """Return a positive number of the table `limits`, or None."""
        limits = self._document.get('limits')
        value = limits.get(key) if isinstance(limits, dict) else None
        if not isinstance(value, (int, float)) or not math.isfinite(value):
            return None
        return int(value) if value > 0 else None

    def read(
        self, section: str, key: str, value_type: type[_Value], default: _Value
    ) -> _Value:
        """Return a value, or record a finding and return the default.

        Args:
            section: Name of the table; empty for the top level.
            key: Key in the table.
            value_type: Expected type; integers are accepted as floats.
            default: Returned if the value is missing or has another type.
        """
        table = self._document
        if section:
            table = self._document.get(section, {})
        value = table.get(key) if isinstance(table, dict) else None
        if value_type is float and isinstance(value, int):
            value = float(value)
        if isinstance(value, value_type) and not isinstance(value, bool):
            return value
        code = 'missing' if value is None else 'invalid_type'
        self.findings.append(
            core.Finding(
                core.SourcePosition(self._path, section, key),
                code,
                f'must be of type {value_type.__name__}',
            )
        )
        return default


def load_settings(path: str) -> PlatformVMSettings:
    """Read the settings file; unknown keys are ignored.

    Args:
        path: Path of the TOML file.

    Raises:
        FindingsError: The file cannot be read or has missing or mistyped
            values. The error lists all of them.
    """
    try:
        with open(path, 'rb') as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        position = core.SourcePosition(path)
        finding = core.Finding(position, 'unreadable', str(error))
        raise core.FindingsError([finding]) from error
    reader = _SettingsReader(path, document)
    settings = _read_settings(reader)
    if reader.findings:
        raise core.FindingsError(reader.findings)
    return settings


def _read_settings(reader: _SettingsReader) -> PlatformVMSettings:
    read = reader.read
    zones: dict[str, typing.Any] = read('', 'zones', dict, {})
    regions: dict[str, list[str]] = {}
    for zone, region in zones.items():
        regions.setdefault(str(region), []).append(zone)
    places = {
        region: core.Place(region, zones) for region, zones in regions.items()
    }
    retries = RetryBudgetSettings(
        read('bounds', 'retryBudgetRatio', float, 0.0),
        read('bounds', 'budgetExtraRetries', float, 0.0),
        int(read('bounds', 'budgetWindowS', float, 1.0)),
    )
    address = read('', 'ip', str, '')
    ports: list[int] = read('', 'internalPortRange', list, [0])
    port = int(ports[0]) if ports else 0
    return PlatformVMSettings(
        name=read('', 'nodeName', str, ''),
        data_centre=read('', 'zone', str, ''),
        places=places,
        callers_address=read('listen', 'front', str, ''),
        ready_address=read('listen', 'ready', str, ''),
        metrics_address=f'{address}:{METRICS_PORT}',
        store_address=read('platform', 'address', str, ''),
        grace_seconds=read('bounds', 'graceS', float, 0.0),
        retries=retries,
        siblings_address=f'{address}:{port}',
        sibling_seeds=_list_seeds(reader.find('seedNodes'), port),
        memory_bytes=(reader.find_limit('memoryMb') or 0) * _MB or None,
        max_descriptors=reader.find_limit('maxFds'),
    )


def _list_seeds(nodes: typing.Any, port: int) -> tuple[str, ...]:
    """Return the sibling addresses of the machines that the platform names.

    The platform gives other ports of theirs. All VMs use the same port for
    their siblings.
    """
    if not isinstance(nodes, list):
        return ()
    hosts = (str(node).rpartition(':')[0] for node in nodes)
    return tuple(f'{host}:{port}' for host in hosts if host)
