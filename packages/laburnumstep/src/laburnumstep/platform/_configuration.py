"""Decoding of the operators' configuration."""

from __future__ import annotations

import json
import typing

import attrs

from laburnumstep import callers
from laburnumstep import core
from laburnumstep import log

CONFIGURATION_KEY = 'config'
"""Key of the record that holds the configuration."""
_DEFAULT_BODY_BYTES = 1024 * 1024

_LOGGER = core.get_logger('platform')


@attrs.frozen
class EngineService:
    """What the configuration says of a service of model engines."""

    kv_tokens: int
    """Memory of each engine, in tokens."""
    tokens_per_event: int
    """Tokens that one event of a stream carries."""
    copy_seconds: float
    """How long one token of a run takes to another engine, in seconds."""


Services = dict[str, EngineService | None]
"""Services by name; None for plain services."""


class ConfigurationReader:
    """Takes in the operators' records, as `log.KeyedReader`.

    Args:
        book: Holds the routes.
        apply_services: Called with the services of each new version.
    """

    def __init__(
        self,
        book: callers.RouteBook,
        apply_services: typing.Callable[[Services], None],
    ) -> None:
        self._book = book
        self._apply_services = apply_services

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        """Take in the newest records."""
        self.apply_records(records)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        """Take in records in the order of their offsets."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._apply(record.value)

    def note_failure(self) -> None:
        """Keep the configuration in force while the store is away."""

    def _apply(self, value: bytes) -> None:
        try:
            document = json.loads(value)
            table = _decode_table(document)
            services = _decode_services(document)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            _LOGGER.error('configuration is malformed; reason=%r', error)
            return
        if self._book.apply(table):
            self._apply_services(services)


def _decode_table(document: dict[str, typing.Any]) -> core.RouteTable:
    limits = document.get('limits') or {}
    keys: dict[str, core.KeyHolder] | None = None
    if 'tenants' in document:
        keys = {
            key: _decode_holder(tenant)
            for tenant in document['tenants']
            for key in tenant.get('apiKeys') or ()
        }
    return core.RouteTable(
        int(document['version']),
        tuple(_decode_route(item) for item in document['routes']),
        keys,
        int(limits.get('maxBodyBytes', _DEFAULT_BODY_BYTES)),
    )


def _decode_holder(tenant: dict[str, typing.Any]) -> core.KeyHolder:
    priority = tenant.get('priority')
    # The platform ranks 0 highest, the product the highest number.
    return core.KeyHolder(
        tenant['name'], None if priority is None else -int(priority)
    )


def _decode_route(item: dict[str, typing.Any]) -> core.Route:
    return core.Route(
        name=item['name'],
        host=item['host'].lower(),
        path_prefix=item['pathPrefix'],
        kind=_decode_kind(item),
        services=_decode_split(item),
        answer_seconds=item['timeoutMs'] / 1000,
        attempts=int(item.get('attempts', 1)),
        priority=-int(item.get('priority', 0)),
        public=bool(item.get('skipAuth', False)),
    )


def _decode_kind(item: dict[str, typing.Any]) -> core.RouteKind:
    match item['kind']:
        case 'safe':
            return core.CallKind(idempotent=True)
        case 'streaming':
            return core.StreamKind(bool(item.get('streamResumption', False)))
        case _:
            # What is not declared safe must not be repeated.
            return core.CallKind(idempotent=False)


def _decode_split(
    item: dict[str, typing.Any],
) -> tuple[core.WeightedService, ...]:
    split = item.get('trafficSplit')
    if split:
        return tuple(
            core.WeightedService(part['service'], float(part['weight']))
            for part in split
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
                _find_copy_seconds(engine),
            )
    return services


def _find_copy_seconds(engine: dict[str, typing.Any]) -> float:
    bits = 8.0 * float(engine.get('kvTokenBytes', 0))
    rate = 1e6 * float(engine.get('linkMbps', 0))
    return bits / rate if rate > 0 else 0.0
