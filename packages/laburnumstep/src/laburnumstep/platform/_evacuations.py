"""Decodes what operators write to the store: evacuations, configurations."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import log

if typing.TYPE_CHECKING:
    from laburnumstep.targets import places

EVACUATION_PREFIX = 'evacuate/'
"""Prefix of the keys of evacuations; the name of a data centre follows."""

_LOGGER = core.get_logger('platform')


class OperatorsReader:
    """Applies the records of operators; implements `log.KeyedReader`.

    Evacuations are applied before a configuration of the same read, so that
    a VM knows them before it accepts its first request.

    Args:
        evacuations: Receives the data centres that are being evacuated.
        configuration: Applies all records for the configuration.
    """

    def __init__(
        self, evacuations: places.Evacuations, configuration: log.KeyedReader
    ) -> None:
        self._evacuations = evacuations
        self._configuration = configuration

    def apply_snapshot(self, records: list[log.KeyedRecord]) -> None:
        """Replace the evacuations and apply the newest configuration."""
        self._evacuations.replace(_apply(records, frozenset()))
        self._configuration.apply_snapshot(records)

    def apply_records(self, records: list[log.KeyedRecord]) -> None:
        """Apply records in the order of their offsets."""
        self._evacuations.replace(_apply(records, self._evacuations.names))
        self._configuration.apply_records(records)

    def record_failure(self) -> None:
        """Keep the evacuations: they outlast a store outage."""
        self._configuration.record_failure()


def _apply(
    records: list[log.KeyedRecord], names: frozenset[str]
) -> frozenset[str]:
    """Return the data centres that are evacuated after some records.

    Args:
        records: Records in the order of their offsets, also of other keys.
        names: Data centres that are evacuated before them.
    """
    for record in records:
        if not record.key.startswith(EVACUATION_PREFIX):
            continue
        name = record.key.removeprefix(EVACUATION_PREFIX)
        if not name:
            _LOGGER.error('evacuation names no data centre; ignored')
        elif record.value:
            _check_value(name, record.value)
            names |= {name}
        else:
            names -= {name}
    return names


def _check_value(name: str, value: bytes) -> None:
    """Log a value that cannot be read; its evacuation holds all the same."""
    try:
        document = core.parse_json(value)
        if not isinstance(document, dict):
            raise ValueError('not an object')
    except core.MALFORMED_ERRORS as error:
        _LOGGER.error(
            'evacuation is malformed, but holds; data_centre=%s reason=%r',
            name,
            error,
        )
