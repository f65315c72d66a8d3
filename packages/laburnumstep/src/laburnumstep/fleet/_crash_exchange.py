"""Exchanges evidence about crashes of targets with sibling VMs.

Evidence is pushed at once and spreads by anti-entropy exchanges as well, so a
VM that starts receives what its siblings know.
"""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep import siblings
from laburnumstep import targets

MAX_EVIDENCE_BYTES = 4096
"""Largest encoded evidence, in bytes; that of a gossip entry's value."""

_LOGGER = core.get_logger('siblings')


class CrashExchange:
    """Publishes the evidence of a ledger and merges that of the siblings.

    Args:
        ledger: The ledger of this VM.
        neighbours: The siblings.
    """

    def __init__(
        self, ledger: targets.CrashLedger, neighbours: siblings.EntrySiblings
    ) -> None:
        self._ledger = ledger
        self._neighbours = neighbours
        neighbours.subscribe(siblings.EntryKind.CRASH, self._handle_entry)
        ledger.subscribe(self._publish)

    def _publish(self, evidence: targets.CrashEvidence) -> None:
        match evidence:
            case targets.CrashReport(target, crashed_at):
                self._send(
                    f'crash {target} {crashed_at:.3f}',
                    _encode_report(evidence),
                    crashed_at + targets.EVIDENCE_SECONDS,
                )
            case targets.Clearance(trait, cleared_at):
                self._send(
                    f'clearance {targets.describe_traits([trait])}',
                    targets.encode_evidence(evidence),
                    cleared_at + targets.EVIDENCE_SECONDS,
                )
            case targets.OperatorRefusal(traits, _, ordered_at):
                self._send(
                    f'refusal {targets.digest_traits(traits)}',
                    targets.encode_evidence(evidence),
                    ordered_at + targets.EVIDENCE_SECONDS,
                )
            case _:
                typing.assert_never(evidence)

    def _send(self, subject: str, data: bytes, expires_at: float) -> None:
        self._neighbours.publish(
            siblings.EntryKind.CRASH, subject, data, expires_at
        )

    def _handle_entry(self, entry: siblings.GossipEntry) -> None:
        match entry.value:
            case siblings.DataValue(data):
                try:
                    evidence = targets.decode_evidence(data)
                except ValueError as error:
                    _LOGGER.warning('malformed crash evidence: %s', error)
                    return
                self._ledger.merge(evidence)


def _encode_report(report: targets.CrashReport) -> bytes:
    """Encode a report without the requests that exceed the size limit."""
    while True:
        data = targets.encode_evidence(report)
        if len(data) <= MAX_EVIDENCE_BYTES or len(report.requests) <= 1:
            return data
        report = attrs.evolve(report, requests=report.requests[:-1])
