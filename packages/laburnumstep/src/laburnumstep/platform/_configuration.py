"""Decodes the configuration that operators write to the store."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log
from laburnumstep.platform import _numbers
from laburnumstep.targets import limits

CONFIGURATION_KEY = 'config'
"""Key of the record that holds the configuration."""
_DEFAULT_BODY_BYTES = 1024 * 1024
_DEFAULT_HEAD_MS = 10_000.0
_DEFAULT_IDLE_MS = 30_000.0
_MAX_OBJECTIVE_SECONDS = 3600.0

_LOGGER = core.get_logger('platform')


@attrs.frozen
class EngineService:
    """Configuration of a service whose targets are model engines."""

    kv_tokens: int
    """Capacity of each engine's memory, in tokens."""
    tokens_per_event: int
    """Number of tokens in one event of a stream."""
    copy_seconds: float
    """Time to copy the memory of one token to another engine, in seconds.

    0 if the configuration does not give a link rate.
    """


Services = dict[str, EngineService | None]
"""Services by name; None stands for a plain service."""


@attrs.frozen
class ColdService:
    """Configuration of a service whose cold targets take few requests."""

    start: limits.ColdStart
    """What a cold target takes."""
    health_path: str
    """Path of the health of a target; empty if there is none."""


ColdServices = dict[str, ColdService]
"""Services whose cold targets take few requests, by name."""


class ConfigurationReader:
    """Applies configuration records; implements `log.KeyedReader`.

    Args:
        active_routes: Receives the routes of each version.
        apply_services: Called with the services of each version that
            comes into force.
        apply_cold: Called before it with the services whose cold targets
            take few requests.
    """

    def __init__(
        self,
        active_routes: callers.ActiveRoutes,
        apply_services: typing.Callable[[Services], None],
        apply_cold: typing.Callable[[ColdServices], None] = (
            lambda services: None
        ),
    ) -> None:
        self._active_routes = active_routes
        self._apply_services = apply_services
        self._apply_cold = apply_cold

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        """Apply the newest configuration."""
        self.apply_records(records)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        """Apply the configurations in the order of their offsets.

        Records of other keys are ignored.
        """
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._apply_document(record.value)

    def record_failure(self) -> None:
        """Do nothing: the active configuration outlasts a store outage."""

    def _apply_document(self, value: bytes) -> None:
        try:
            document = core.parse_json(value)
            table = _decode_table(document)
            services = _decode_services(document)
            cold = _decode_cold_services(document)
        except core.MALFORMED_ERRORS as error:
            _LOGGER.error('configuration is malformed; reason=%r', error)
            return
        if self._active_routes.apply(table):
            self._apply_cold(cold)
            self._apply_services(services)


def _decode_table(document: dict[str, typing.Any]) -> core.RouteTable:
    limits = document.get('limits') or {}
    keys: dict[str, core.KeyHolder] | None = None
    if 'tenants' in document:
        keys = {
            key: _decode_key_holder(tenant)
            for tenant in document['tenants']
            for key in tenant.get('apiKeys') or ()
        }
    return core.RouteTable(
        int(document['version']),
        tuple(_decode_route(item) for item in document['routes']),
        keys,
        int(limits.get('maxBodyBytes', _DEFAULT_BODY_BYTES)),
        float(limits.get('headerTimeoutMs', _DEFAULT_HEAD_MS)) / 1000,
        float(limits.get('idleTimeoutMs', _DEFAULT_IDLE_MS)) / 1000,
    )


def _decode_key_holder(tenant: dict[str, typing.Any]) -> core.KeyHolder:
    priority = tenant.get('priority')
    # On the platform 0 is the highest priority; in `core` a higher number
    # is a higher priority.
    return core.KeyHolder(
        tenant['name'],
        None if priority is None else -int(priority),
        _decode_regions(tenant),
    )


def _decode_route(item: dict[str, typing.Any]) -> core.Route:
    return core.Route(
        name=item['name'],
        host=item['host'].lower(),
        path_prefix=item['pathPrefix'],
        kind=_decode_kind(item),
        services=_decode_split(item),
        timeout_seconds=item['timeoutMs'] / 1000,
        attempts=int(item.get('attempts', 1)),
        priority=-int(item.get('priority', 0)),
        public=bool(item.get('skipAuth', False)),
        regions=_decode_regions(item),
        first_answer_seconds=_decode_objective(item, 'targetLatencyMs'),
        gap_seconds=_decode_objective(item, 'targetGapMs'),
    )


def _decode_regions(item: dict[str, typing.Any]) -> core.Regions:
    """Return the regions that a route or a workspace allows.

    Raises:
        ValueError: The value is not a list of names. The configuration does
            not come into force then, since a request that runs in a wrong
            region cannot be undone.
    """
    names = item.get('allowedRegions')
    if names is None or names == []:
        return core.AnyRegion()
    if not isinstance(names, list) or not all(
        isinstance(name, str) for name in names
    ):
        raise ValueError(f'allowedRegions is not a list of names: {names!r}')
    return core.OnlyRegions(frozenset(names))


def _decode_objective(item: dict[str, typing.Any], key: str) -> float | None:
    """Return an objective in seconds; one that is not positive is none."""
    value = item.get(key)
    if value is None or not value > 0:
        return None
    return min(value / 1000, _MAX_OBJECTIVE_SECONDS)


def _decode_kind(item: dict[str, typing.Any]) -> core.RouteKind:
    match item['kind']:
        case 'safe':
            return core.CallKind(idempotent=True)
        case 'streaming':
            return core.StreamKind(bool(item.get('streamResumption', False)))
        case _:
            # Only requests of routes declared `safe` may run twice.
            return core.CallKind(idempotent=False)


def _decode_split(
    item: dict[str, typing.Any],
) -> tuple[core.WeightedService, ...]:
    split = item.get('trafficSplit')
    if split:
        return tuple(
            core.WeightedService(entry['service'], float(entry['weight']))
            for entry in split
        )
    return (core.WeightedService(item['service'], 1.0),)


def _decode_services(document: dict[str, typing.Any]) -> Services:
    services: Services = {}
    for item in document['services']:
        engine = item.get('engine')
        services[item['name']] = None
        if engine:
            services[item['name']] = EngineService(
                int(engine['kvCapacityTokens']),
                int(engine.get('stride', 1)),
                _compute_copy_seconds(engine),
            )
    return services


def _decode_cold_services(document: dict[str, typing.Any]) -> ColdServices:
    services: ColdServices = {}
    for item in document['services']:
        name = item['name']
        per_second = _numbers.decode_optional(
            item.get('coldPerS'), limits.MAX_RATE, 'coldPerS', name
        )
        ramp_seconds = _numbers.decode_optional(
            item.get('coldStartS'),
            limits.MAX_RAMP_SECONDS,
            'coldStartS',
            name,
        )
        if per_second:
            path = item.get('healthPath')
            services[name] = ColdService(
                limits.ColdStart(per_second, ramp_seconds or 0.0),
                path if isinstance(path, str) and path.isascii() else '',
            )
    return services


def _compute_copy_seconds(engine: dict[str, typing.Any]) -> float:
    bits_per_token = 8.0 * float(engine.get('kvTokenBytes', 0))
    bits_per_second = 1e6 * float(engine.get('linkMbps', 0))
    return bits_per_token / bits_per_second if bits_per_second > 0 else 0.0
