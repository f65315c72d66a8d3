"""Evidence about crashes of targets, and what is refused because of it."""

from __future__ import annotations

import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _crashes
from laburnumstep.targets import _culprits
from laburnumstep.targets import _traits

EVIDENCE_SECONDS = 86400.0
"""How long a crash report counts, in seconds."""
REFUSAL_SECONDS = 1800.0
"""How long a culprit is refused after its second crash, in seconds. The time
doubles with each further crash."""
MAX_REFUSAL_SECONDS = 43200.0
"""Longest refusal after a crash, in seconds."""
PROBE_SECONDS = 10.0
"""Time between two requests that try whether a culprit still crashes targets,
in seconds."""
FAMILIAR_SECONDS = 60.0
"""How long a trait is familiar after a target has survived it, in seconds."""
MAX_REPORTS = 512
"""Most crash reports that are kept; the oldest are dropped first."""
MAX_SURVIVALS = 4096
"""Most traits of which the last survival is kept; the oldest are dropped
first."""

_LOGGER = core.get_logger('targets')

Listener = typing.Callable[[_crashes.CrashEvidence], None]


@attrs.define(eq=False)
class Culprit:
    """Traits whose requests are refused because they crash targets."""

    traits: _traits.Traits
    """The traits; only requests that have all of them are refused."""
    crashes: int
    """Number of crashes that they explain; 0 if an operator refuses them."""
    last_crash_at: float
    """Time of the last crash or of the order, in epoch seconds."""
    refused_until: float
    """When a request is let through again to try it, in epoch seconds."""


class CrashLedger:
    """Collects crash reports of all VMs and decides what is refused.

    Args:
        clock: Clock of the expiry times.
        metrics: Receives the number of culprits.
        may_probe: Returns whether this VM lets a request through when the
            refusal of its traits has ended, given their description. One VM
            of the fleet does.
    """

    def __init__(
        self,
        clock: core.Clock,
        metrics: core.Metrics | None = None,
        may_probe: typing.Callable[[str], bool] = lambda subject: True,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._may_probe = may_probe
        self._reports: dict[_crashes.CrashReport, None] = {}
        self._cleared: dict[_traits.Trait, float] = {}
        self._survived: dict[_traits.Trait, float] = {}
        self._open: set[_traits.Trait] = set()
        self._shared: _traits.Traits = frozenset()
        self._newest_crash_at = 0.0
        self._refusals: dict[_traits.Traits, _crashes.OperatorRefusal] = {}
        self._culprits: list[Culprit] = []
        self._is_outdated = False
        self._probe_at: dict[_traits.Traits, float] = {}
        self._listeners: list[Listener] = []
        self._change_listeners: list[typing.Callable[[], None]] = []

    @property
    def culprits(self) -> list[Culprit]:
        """What is refused, or is tried from time to time."""
        self._update()
        now = self._clock.now()
        ordered = [
            _make_ordered_culprit(order)
            for order in self._refusals.values()
            if order.refused_until > now
        ]
        return ordered + self._culprits

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with the evidence that this VM observes."""
        self._listeners.append(listener)

    def subscribe_changes(self, listener: typing.Callable[[], None]) -> None:
        """Call a listener when evidence of any VM has arrived."""
        self._change_listeners.append(listener)

    def list_culprit_reports(self) -> list[_crashes.CrashReport]:
        """Return the crash reports that culprits explain."""
        self._update()
        return [
            report for report in self._reports if self._is_explained(report)
        ]

    def _is_explained(self, report: _crashes.CrashReport) -> bool:
        requests = [
            _culprits.drop_cleared(traits, report.crashed_at, self._cleared)
            for traits in report.requests
        ]
        return any(
            culprit.traits <= request
            for culprit in self._culprits
            for request in requests
        )

    def record(self, evidence: _crashes.CrashEvidence) -> None:
        """Add evidence that this VM has observed, and pass it on."""
        self.merge(evidence)
        for listener in self._listeners:
            listener(evidence)

    def merge(self, evidence: _crashes.CrashEvidence) -> None:
        """Add evidence that a sibling has observed."""
        is_relevant = True
        match evidence:
            case _crashes.CrashReport():
                if evidence.crashed_at + EVIDENCE_SECONDS <= self._clock.now():
                    return
                self._reports[evidence] = None
                while len(self._reports) > MAX_REPORTS:
                    del self._reports[next(iter(self._reports))]
            case _crashes.Clearance(trait, cleared_at):
                known = self._cleared.get(trait, 0.0)
                self._cleared[trait] = max(known, cleared_at)
                is_relevant = (
                    trait in self._shared
                    or cleared_at <= self._newest_crash_at
                )
                # Several VMs may observe it; one line is enough.
                if trait in self._open:
                    self._open.discard(trait)
                    _LOGGER.info(
                        'trait cleared; trait=%s',
                        _traits.describe_traits([trait]),
                    )
            case _crashes.OperatorRefusal(traits):
                known_order = self._refusals.get(traits)
                if (
                    known_order is None
                    or known_order.ordered_at <= evidence.ordered_at
                ):
                    self._refusals[traits] = evidence
            case _:
                typing.assert_never(evidence)
        # A crash leaves many suspects that share no trait with those of other
        # crashes. They are cleared one by one, and no culprit depends on it.
        self._is_outdated |= is_relevant
        for listener in self._change_listeners:
            listener()

    def refuse(self, traits: _traits.Traits, until: float) -> None:
        """Refuse requests with these traits by an operator's order.

        Args:
            traits: Requests that have all of them are refused.
            until: When the refusal ends, in epoch seconds.
        """
        now = self._clock.now()
        self.record(_crashes.OperatorRefusal(traits, until, now))

    def clear(self, traits: _traits.Traits) -> None:
        """Accept requests with these traits by an operator's order.

        The crashes so far no longer count against them.
        """
        now = self._clock.now()
        for trait in traits:
            self.record(_crashes.Clearance(trait, now))
        if traits in self._refusals:
            self.record(_crashes.OperatorRefusal(traits, now, now))

    def record_survival(self, traits: _traits.Traits) -> None:
        """Record that a target has survived a request with these traits."""
        now = self._clock.now()
        for trait in traits:
            core.put_bounded(self._survived, trait, now, MAX_SURVIVALS)
        self._update()
        for trait in traits & self._open:
            self.record(_crashes.Clearance(trait, now))

    def get_survived_at(self, trait: _traits.Trait) -> float:
        """Return when this VM last saw a target survive a trait.

        In epoch seconds; 0 if it is not known.
        """
        return self._survived.get(trait, 0.0)

    def is_suspect(self, traits: _traits.Traits) -> bool:
        """Return whether the same request was on a target that crashed.

        Prompt parts do not make a request a suspect, as most of them are
        shared by many sound requests.
        """
        self._update()
        return any(
            isinstance(trait, _traits.WholeRequest) and trait in self._open
            for trait in traits
        )

    def find_culprit(self, traits: _traits.Traits) -> Culprit | None:
        """Return what a request has in common with those that crash targets.

        None if there is nothing.
        """
        self._update()
        now = self._clock.now()
        for traits_refused, order in self._refusals.items():
            if traits_refused <= traits and order.refused_until > now:
                return _make_ordered_culprit(order)
        for culprit in self._culprits:
            if culprit.traits <= traits:
                return culprit
        return None

    def admit(self, traits: _traits.Traits) -> Culprit | None:
        """Return why a new request is refused, or None if it may run.

        A refusal of the same request renews itself, so a request that is sent
        repeatedly stays refused. Other refusals end, and then one request at
        a time tries whether its traits still crash targets.
        """
        culprit = self.find_culprit(traits)
        if culprit is None:
            return None
        now = self._clock.now()
        if culprit.refused_until <= now:
            return None if self._try_probe(culprit, now) else culprit
        if any(isinstance(i, _traits.WholeRequest) for i in culprit.traits):
            culprit.refused_until = max(
                culprit.refused_until, now + REFUSAL_SECONDS
            )
        return culprit

    def _try_probe(self, culprit: Culprit, now: float) -> bool:
        """Return whether a request may try if a culprit is harmless now."""
        subject = _traits.describe_traits(culprit.traits)
        if self._probe_at.get(culprit.traits, 0.0) > now:
            return False
        if not self._may_probe(subject):
            return False
        self._probe_at[culprit.traits] = now + PROBE_SECONDS
        _LOGGER.info('culprit is tried; traits=%s', subject)
        return True

    def _update(self) -> None:
        """Derive the culprits from the evidence if it has changed."""
        if not self._is_outdated:
            return
        self._is_outdated = False
        self._drop_expired()
        incidents = _culprits.group_incidents(self._reports, self._cleared)
        self._shared = _culprits.list_shared_traits(incidents)
        self._newest_crash_at = max(
            (report.crashed_at for report in self._reports), default=0.0
        )
        known = {culprit.traits: culprit for culprit in self._culprits}
        self._culprits = [
            self._update_culprit(
                explanation, known.pop(explanation.traits, None)
            )
            for explanation in _culprits.explain_incidents(
                incidents, self._list_familiar_traits()
            )
        ]
        for culprit in known.values():
            _LOGGER.info(
                'culprit cleared; traits=%s',
                _traits.describe_traits(culprit.traits),
            )
            self._probe_at.pop(culprit.traits, None)
        self._open = self._list_open_traits(incidents)
        if self._metrics is not None:
            self._metrics.set_gauge('routing.culprits', len(self._culprits))

    def _drop_expired(self) -> None:
        """Drop evidence that no longer counts, so that none accumulates."""
        oldest = self._clock.now() - EVIDENCE_SECONDS
        self._reports = {
            report: None
            for report in self._reports
            if report.crashed_at > oldest
        }
        self._cleared = {
            trait: at for trait, at in self._cleared.items() if at > oldest
        }
        self._refusals = {
            traits: order
            for traits, order in self._refusals.items()
            if max(order.refused_until, order.ordered_at) > oldest
        }

    def _update_culprit(
        self, explanation: _culprits.Explanation, known: Culprit | None
    ) -> Culprit:
        if known is not None and known.crashes == explanation.incidents:
            return known
        doublings = explanation.incidents - _culprits.MIN_INCIDENTS
        refusal = min(REFUSAL_SECONDS * 2.0**doublings, MAX_REFUSAL_SECONDS)
        culprit = Culprit(
            explanation.traits,
            explanation.incidents,
            explanation.last_at,
            explanation.last_at + refusal,
        )
        _LOGGER.warning(
            'culprit found; traits=%s crashes=%d last_age_ms=%d until=%d',
            _traits.describe_traits(culprit.traits),
            culprit.crashes,
            (self._clock.now() - culprit.last_crash_at) * 1000,
            culprit.refused_until,
        )
        return culprit

    def _list_familiar_traits(self) -> _traits.Traits:
        oldest = self._clock.now() - FAMILIAR_SECONDS
        return frozenset(
            trait for trait, at in self._survived.items() if at > oldest
        )

    def _list_open_traits(
        self, incidents: list[_culprits.Incident]
    ) -> set[_traits.Trait]:
        """Return the traits that crashes without an explanation name."""
        found: set[_traits.Trait] = set()
        for incident in incidents:
            explained = any(
                incident.involves(culprit.traits) for culprit in self._culprits
            )
            for request in incident.requests:
                if not explained:
                    found |= request
        for culprit in self._culprits:
            found |= culprit.traits
        return found


def _make_ordered_culprit(order: _crashes.OperatorRefusal) -> Culprit:
    return Culprit(order.traits, 0, order.ordered_at, order.refused_until)
