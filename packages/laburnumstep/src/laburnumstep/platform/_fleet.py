"""Connects the entry VM to its siblings on the platform."""

from __future__ import annotations

import json
import math
import operator
import random
import typing

import attrs

from laburnumstep import core
from laburnumstep import fleet
from laburnumstep import log
from laburnumstep.platform import _directory
from laburnumstep.platform import _store
from laburnumstep import siblings
from laburnumstep.targets import limits

if typing.TYPE_CHECKING:
    from laburnumstep.platform import _settings
    from laburnumstep import targets

SIBLING_KEY = ''
"""Key of sibling calls. The platform gives its VMs no common secret, so calls
are not authenticated; only VMs of the deployment reach the port."""
CRASH_TOPIC = 'status'
"""Name of the keyed topic in which crash reports are stored. VMs may not write
the other topics whose newest records are retained."""
DEFAULT_VMS = 200
"""Assumed number of VMs as long as no sibling has been heard of. It exceeds
the usual size of a deployment, so that shares of a common limit stay small."""

_LOGGER = core.get_logger('platform')


class Fleet:
    """This VM's part in the fleet: membership, topics and load reports.

    Args:
        settings: Settings of the VM.
        clock: Source of the current time.
        metrics: Counts live VMs and malformed entries.
        registry: The registered targets.
        target_limits: The limits that targets have named.
    """

    def __init__(
        self,
        settings: _settings.PlatformVMSettings,
        clock: core.Clock,
        metrics: core.Metrics,
        registry: targets.TargetRegistry,
        target_limits: limits.TargetLimits,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._topics: dict[str, fleet.SharedTopic] = {}
        self._epochs = log.EpochTracker()
        self._membership = siblings.Membership(
            siblings.Identity(settings.name, settings.data_centre),
            siblings.GrpcLinks(settings.siblings_address, SIBLING_KEY, clock),
            list(settings.sibling_seeds),
            siblings.MembershipCallbacks(
                lambda: None,
                lambda configuration: False,
                _refuse_claim,
                self._serve_topic,
                self._receive_loads,
                self._receive_permits,
            ),
            clock,
            metrics,
            random.Random(),
        )
        self._loads = fleet.LoadSharing(
            settings.name, self._membership, registry.find, clock
        )
        self._permits = fleet.PermitExchange(
            settings.name,
            self._membership,
            target_limits,
            limits.PermitIssuer(target_limits, clock),
            clock,
            DEFAULT_VMS if settings.sibling_seeds else 1,
        )

    @property
    def loads(self) -> fleet.LoadSharing:
        """Exchange of load reports with the siblings."""
        return self._loads

    @property
    def permits(self) -> fleet.PermitExchange:
        """Permits to send to limited targets, shared with the siblings."""
        return self._permits

    def count_vms(self) -> int:
        """Return the number of VMs that share the limits of the deployment."""
        return self._membership.count_sharing_vms(DEFAULT_VMS)

    def share_topic(
        self,
        name: str,
        find_fingerprint: log.Fingerprint,
        is_changed: log.FingerprintCheck = operator.ne,
    ) -> fleet.SharedTopic:
        """Return a topic of the store that siblings can read from this VM.

        Args:
            name: Name of the topic.
            find_fingerprint: Returns what has to differ for a value to count
                as changed.
            is_changed: Compares the fingerprints of two values of a key.
        """
        client = _store.KeyedTopicClient(
            self._settings.store_address, name, self._clock, self._epochs
        )
        topic = fleet.SharedTopic(
            name,
            self._settings.name,
            client,
            self._membership,
            log.TopicCache(self._clock, find_fingerprint, is_changed),
            self._epochs,
            self._clock,
        )
        self._topics[name] = topic
        return topic

    def share_crashes(self, ledger: targets.CrashLedger) -> fleet.CrashArchive:
        """Exchange the evidence of a crash ledger with the siblings.

        Returns:
            The archive of the evidence in the store, which has to be run.
        """
        fleet.CrashExchange(ledger, self._membership)
        store = _store.KeyedTopicClient(
            self._settings.store_address,
            CRASH_TOPIC,
            self._clock,
            self._epochs,
        )
        archive = fleet.CrashArchive(
            ledger, store, self._membership.owns, self._clock
        )
        self._epochs.subscribe(archive.record_restore)
        return archive

    def share_paces(self, paces: targets.EnginePaces) -> None:
        """Exchange the pace of engines with the siblings."""
        fleet.PaceExchange(
            self._settings.name, paces, self._membership, self._clock
        )

    def owns(self, subject: str) -> bool:
        """Return whether this VM is the one that decides about a subject."""
        return self._membership.owns(subject)

    def announce_stopping(self) -> None:
        """Announce to the siblings that this VM accepts no new work."""
        self._membership.announce_stopping()

    async def run(self) -> None:
        """Serve and follow the siblings until cancelled.

        A VM whose sibling server cannot listen reads everything itself.
        """
        try:
            await self._membership.run()
        except* RuntimeError as errors:
            _LOGGER.error(
                'siblings are not served; address=%s reason=%r',
                self._settings.siblings_address,
                errors.exceptions,
            )

    async def _serve_topic(
        self, request: siblings.TopicRead
    ) -> siblings.TopicAnswer:
        topic = self._topics.get(request.topic)
        if topic is None:
            return siblings.TopicUnavailable()
        return await topic.serve(request)

    def _receive_loads(self, message: siblings.EngineLoads) -> None:
        self._loads.receive(message)

    def _receive_permits(
        self, message: siblings.PermitAsk | siblings.PermitReply
    ) -> list[siblings.SiblingMessage]:
        return self._permits.receive(message)


async def _refuse_claim(request: siblings.ClaimForward) -> core.DocumentObject:
    raise core.CodedError(
        core.ErrorCode.INTERNAL, 'claims are not used on the platform'
    )


@attrs.frozen
class EntryFingerprint:
    """What has to differ for a server's entry to count as changed."""

    text: str
    """The entry without the fields that change with each renewal."""
    cold_ms: float
    """How long the server stays cold, in milliseconds."""


def find_entry_fingerprint(value: bytes) -> typing.Hashable:
    """Return a server's entry without what each renewal changes."""
    try:
        entry = core.parse_json(value)
        entry.pop('sequence', None)
        cold_ms = entry.get(_directory.COLD_FIELD)
        if type(cold_ms) not in (int, float) or not 0 <= cold_ms < math.inf:
            cold_ms = 0
        else:
            del entry[_directory.COLD_FIELD]
        return EntryFingerprint(json.dumps(entry, sort_keys=True), cold_ms)
    except (AttributeError, TypeError, ValueError):
        return value


def is_entry_changed(
    previous: typing.Hashable, current: typing.Hashable
) -> bool:
    """Return whether an entry says more than that time has passed.

    The cold time in renewals counts down; passing each of them on would let
    all VMs apply the entries of cold servers once a second. A longer cold
    time than before means that the server has become cold anew.

    Args:
        previous: Fingerprint of the entry before.
        current: Fingerprint of the entry.
    """
    match previous, current:
        case EntryFingerprint(text, before), EntryFingerprint(other, now):
            ended = (before > 0) != (now > 0)
            return text != other or now > before or ended
        case _:
            return previous != current
