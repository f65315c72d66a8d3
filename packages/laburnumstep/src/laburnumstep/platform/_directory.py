"""Decoding of the entries under which servers register themselves."""

from __future__ import annotations

import json
import typing

import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep import targets

if typing.TYPE_CHECKING:
    from laburnumstep.platform import _configuration

_STATES = ('ready', 'draining')

_LOGGER = core.get_logger('platform')


@attrs.frozen
class ServerEntry:
    """What a server says of itself."""

    service: str
    """Name of its service."""
    address: str
    """IP number and port."""
    data_centre: str
    """Data centre in which it stands."""
    version: str
    """Version of its software."""
    leaving: bool
    """Whether it ends soon."""
    models: tuple[str, ...]
    """Models that it serves."""
    born: int
    """When it started, in epoch milliseconds."""


class Directory:
    """Takes in the servers' entries, as `log.KeyedReader`.

    Args:
        registry: Keeps the targets.
    """

    def __init__(self, registry: targets.TargetRegistry) -> None:
        self._registry = registry
        self._entries: dict[str, ServerEntry] = {}
        self._services: _configuration.Services = {}

    def apply_services(self, services: _configuration.Services) -> None:
        """Use the services of a new configuration."""
        if services == self._services:
            return
        self._services = services
        if self._registry.known:
            self._registry.update(
                {
                    name: (self._make_target(name, entry), entry.born)
                    for name, entry in self._entries.items()
                }
            )

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        """Replace all entries."""
        self._entries = {}
        found = {}
        for record in records:
            entry = _decode_entry(record)
            if entry is not None:
                self._entries[record.key] = entry
                target = self._make_target(record.key, entry)
                found[record.key] = (target, entry.born)
        self._registry.replace(found)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        """Take in changed entries."""
        changes: dict[str, tuple[core.Target, int] | None] = {}
        for record in records:
            entry = _decode_entry(record)
            if entry is None:
                self._entries.pop(record.key, None)
                changes[record.key] = None
            else:
                self._entries[record.key] = entry
                target = self._make_target(record.key, entry)
                changes[record.key] = (target, entry.born)
        if changes:
            self._registry.update(changes)

    def note_failure(self) -> None:
        """Take note that entries may lapse while the store is away."""
        self._registry.note_failure()

    def _make_target(self, name: str, entry: ServerEntry) -> core.Target:
        engine = self._services.get(entry.service)
        if engine is None:
            return core.ServiceTarget(
                name,
                entry.data_centre,
                entry.address,
                entry.service,
                entry.leaving,
            )
        return core.EngineTarget(
            name,
            entry.data_centre,
            entry.address,
            [make_pool_name(entry.service, model) for model in entry.models],
            engine.kv_tokens,
            checks_fence=False,
            version=entry.version,
            leaving=entry.leaving,
            copy_seconds=engine.copy_seconds,
        )


def make_pool_name(service: str, model: str) -> str:
    """Return the name under which a service's engines of a model pool."""
    return f'{service}/{model}'


def _decode_entry(record: log.KeyedRecord) -> ServerEntry | None:
    """Return the entry, or None where it names no server to use."""
    if record.value is None:
        return None
    try:
        value = json.loads(record.value)
        state, models = value['state'], value.get('models') or []
        if state not in _STATES:
            raise ValueError(f'unknown state {state!r}')
        return ServerEntry(
            _take_text(value, 'service'),
            _take_text(value, 'address'),
            _take_text(value, 'zone'),
            str(value.get('version', '')),
            state == 'draining',
            tuple(str(model['name']) for model in models),
            int(value.get('born', 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        _LOGGER.warning(
            'entry ignored; target=%s reason=%r', record.key, error
        )
        return None


def _take_text(value: dict[str, typing.Any], key: str) -> str:
    text = value[key]
    if not isinstance(text, str) or not text:
        raise ValueError(f'{key} must be text')
    return text
