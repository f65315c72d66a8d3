"""The settings file that the platform writes for a process."""

from __future__ import annotations

import tomllib
import typing

import attrs

from laburnumstep import core

SETTINGS_VARIABLE = 'LABURNUMSTEP_SETTINGS'
"""Environment variable that holds the path of the settings file."""

_Value = typing.TypeVar('_Value')


METRICS_PORT = 9464
"""Port of the metrics; `deploy/system.toml` names the same."""


@attrs.frozen
class RetryAllowance:
    """How many repeated sends all VMs together may make to a service."""

    share: float
    """Repeated sends for each request."""
    extra: float
    """Repeated sends in a window beside the share."""
    window: int
    """Length of the window, in whole seconds."""


@attrs.frozen
class NodeSettings:
    """What a process is told about its VM and the platform."""

    name: str
    """Name of the VM."""
    data_centre: str
    """Data centre in which the VM stands."""
    places: dict[str, core.Place]
    """Regions with their data centres."""
    callers_address: str
    """IP number and port on which callers are served."""
    ready_address: str
    """IP number and port on which the platform asks for readiness."""
    metrics_address: str
    """IP number and port on which metrics are served."""
    store_address: str
    """IP number and port of the platform's store."""
    grace_seconds: float
    """Time between SIGTERM and SIGKILL."""
    retries: RetryAllowance
    """Repeated sends that are allowed."""


class _Reader:
    """Reads typed values and collects findings."""

    def __init__(self, path: str, document: dict[str, typing.Any]) -> None:
        self._path = path
        self._document = document
        self.findings: list[core.Finding] = []

    def read(
        self, section: str, key: str, kind: type[_Value], default: _Value
    ) -> _Value:
        """Return a value; a missing or mistyped one is a finding."""
        table = self._document
        if section:
            table = self._document.get(section, {})
        value = table.get(key) if isinstance(table, dict) else None
        if kind is float and isinstance(value, int):
            value = float(value)
        if isinstance(value, kind) and not isinstance(value, bool):
            return value
        code = 'missing' if value is None else 'invalid_type'
        self.findings.append(
            core.Finding(
                core.SourcePosition(self._path, section, key),
                code,
                f'must be of type {kind.__name__}',
            )
        )
        return default


def load_settings(path: str) -> NodeSettings:
    """Read the settings file; keys that are not known are ignored.

    Raises:
        FindingsError: With every mistake.
    """
    try:
        with open(path, 'rb') as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        position = core.SourcePosition(path)
        finding = core.Finding(position, 'unreadable', str(error))
        raise core.FindingsError([finding]) from error
    reader = _Reader(path, document)
    settings = _read_settings(reader)
    if reader.findings:
        raise core.FindingsError(reader.findings)
    return settings


def _read_settings(reader: _Reader) -> NodeSettings:
    read = reader.read
    zones: dict[str, typing.Any] = read('', 'zones', dict, {})
    regions: dict[str, list[str]] = {}
    for zone, region in zones.items():
        regions.setdefault(str(region), []).append(zone)
    places = {
        region: core.Place(region, zones) for region, zones in regions.items()
    }
    retries = RetryAllowance(
        read('bounds', 'retryBudgetRatio', float, 0.0),
        read('bounds', 'budgetExtraRetries', float, 0.0),
        int(read('bounds', 'budgetWindowS', float, 1.0)),
    )
    return NodeSettings(
        name=read('', 'nodeName', str, ''),
        data_centre=read('', 'zone', str, ''),
        places=places,
        callers_address=read('listen', 'front', str, ''),
        ready_address=read('listen', 'ready', str, ''),
        metrics_address=f'{read("", "ip", str, "")}:{METRICS_PORT}',
        store_address=read('platform', 'address', str, ''),
        grace_seconds=read('bounds', 'graceS', float, 0.0),
        retries=retries,
    )
