"""Decodes the entries with which servers register as targets."""

from __future__ import annotations

import ipaddress
import typing

import attrs

from laburnumstep import core
from laburnumstep import log
from laburnumstep.platform import _numbers
from laburnumstep import targets
from laburnumstep.targets import limits

if typing.TYPE_CHECKING:
    from laburnumstep.platform import _configuration

COLD_FIELD = 'coldRemainingMs'
"""Field of an entry: how long its server stays cold, in milliseconds."""
_STATES = ('ready', 'draining')
_MAX_PORT = 65535

_LOGGER = core.get_logger('platform')

EntryListener = typing.Callable[[str, targets.Registration], None]
ColdListener = typing.Callable[[str, limits.ColdEntry], None]


@attrs.frozen
class ServerEntry:
    """Registration of one server, as the server writes it."""

    service: str
    """Name of the service that the server runs."""
    address: str
    """IP address and port."""
    data_centre: str
    """Data centre of the server."""
    version: str
    """Version of the server's software."""
    leaving: bool
    """Whether the server accepts no new work and will stop."""
    models: tuple[str, ...]
    """Names of the models that the server serves."""
    born: int
    """Start of the server, in epoch milliseconds."""
    renewals: int
    """Number of times that the server has written its entry since."""
    cold_seconds: float | None
    """How long the server stays cold, in seconds, if the entry says so."""


class Directory:
    """Applies servers' entries to a registry of targets.

    Implements `log.KeyedReader`.

    Args:
        registry: Receives a target for each valid entry.
        on_entry: Called with the name and the registration of each valid
            entry, before the registry.
        on_cold: Called with the name of each valid entry and what it says
            about the cold time, before the registry.
    """

    def __init__(
        self,
        registry: targets.TargetRegistry,
        on_entry: EntryListener = lambda name, registration: None,
        on_cold: ColdListener = lambda name, entry: None,
    ) -> None:
        self._registry = registry
        self._on_entry = on_entry
        self._on_cold = on_cold
        self._entries: dict[str, ServerEntry] = {}
        self._services: _configuration.Services = {}

    def apply_services(self, services: _configuration.Services) -> None:
        """Rebuild the targets if the services of a configuration changed.

        Args:
            services: Services of the new configuration.
        """
        if services == self._services:
            return
        self._services = services
        if self._registry.loaded:
            self._registry.replace(
                {
                    name: self._make_registration(name, entry)
                    for name, entry in self._entries.items()
                }
            )

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        """Replace all entries by those of the records."""
        self._entries = {}
        registered = {}
        for record in records:
            entry = _decode_entry(record)
            if entry is not None:
                registered[record.key] = self._put_entry(record.key, entry)
        self._registry.replace(registered)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        """Apply changed entries.

        A record without a value or with a malformed one removes its entry.
        """
        changes: dict[str, targets.Registration | None] = {}
        for record in records:
            entry = _decode_entry(record)
            if entry is None:
                self._entries.pop(record.key, None)
                changes[record.key] = None
            else:
                changes[record.key] = self._put_entry(record.key, entry)
        if changes:
            self._registry.update(changes)

    def find_service(self, name: str) -> str:
        """Return the service of a server; empty if it is not known."""
        entry = self._entries.get(name)
        return entry.service if entry is not None else ''

    def record_failure(self) -> None:
        """Let the registry keep entries that lapse during a store outage."""
        self._registry.record_failure()

    def _put_entry(
        self, name: str, entry: ServerEntry
    ) -> targets.Registration:
        self._entries[name] = entry
        registration = self._make_registration(name, entry)
        self._on_entry(name, registration)
        cold = limits.ColdEntry(
            entry.service, entry.born, entry.renewals, entry.cold_seconds
        )
        self._on_cold(name, cold)
        return registration

    def _make_registration(
        self, name: str, entry: ServerEntry
    ) -> targets.Registration:
        return targets.Registration(
            self._make_target(name, entry), entry.born, entry.renewals
        )

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
    """Return the name of the pool of a service's engines for one model.

    Pool names take the place of model names in targets and requests.
    """
    return f'{service}/{model}'


def _decode_entry(record: log.KeyedRecord) -> ServerEntry | None:
    """Return the entry, or None if it was removed or is malformed."""
    if record.value is None:
        return None
    try:
        value = core.parse_json(record.value)
        state, models = value['state'], value.get('models') or []
        if state not in _STATES:
            raise ValueError(f'unknown state {state!r}')
        return ServerEntry(
            _get_text(value, 'service'),
            _get_address(value, 'address'),
            _get_text(value, 'zone'),
            str(value.get('version', '')),
            state == 'draining',
            tuple(str(model['name']) for model in models),
            int(value.get('born', 0)),
            _get_count(value, 'sequence'),
            _get_cold_seconds(value, record.key),
        )
    except core.MALFORMED_ERRORS as error:
        _LOGGER.warning(
            'entry ignored; target=%s reason=%r', record.key, error
        )
        return None


def _get_address(value: dict[str, typing.Any], key: str) -> str:
    """Return an address that a connection can be opened to."""
    address = _get_text(value, key)
    host, _, port = address.partition(':')
    ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit() or len(port) > 5:
        raise ValueError(f'{key} has no port number')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{key} has a port out of range')
    return address


def _get_cold_seconds(value: dict[str, typing.Any], name: str) -> float | None:
    """Return how long a server stays cold, in seconds, if it says so."""
    cold_ms = _numbers.decode_optional(
        value.get(COLD_FIELD),
        limits.MAX_COLD_SECONDS * 1000,
        COLD_FIELD,
        name,
    )
    return None if cold_ms is None else cold_ms / 1000


def _get_count(value: dict[str, typing.Any], key: str) -> int:
    """Return a whole number, or 0 if there is none."""
    count = value.get(key)
    return count if isinstance(count, int) else 0


def _get_text(value: dict[str, typing.Any], key: str) -> str:
    text = value[key]
    if not isinstance(text, str) or not text:
        raise ValueError(f'{key} must be a non-empty string')
    return text
