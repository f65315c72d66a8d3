"""Finds the traits that explain crashes, by intersection of the suspects.

Each crash names the requests that may have caused it. The traits that
suspects of several crashes have in common are the culprit: a prompt part, a
whole request, or several parts as long as no request tells them apart.
"""

from __future__ import annotations

import itertools
import typing

import attrs

from laburnumstep.targets import _crashes
from laburnumstep.targets import _traits

MIN_INCIDENTS = 2
"""Fewest incidents that a culprit explains."""
MIN_FAMILIAR_INCIDENTS = 4
"""Fewest incidents that a culprit of familiar traits explains. Sound requests
with such traits are on many targets, so on those that crash as well."""
MAX_INCIDENTS = 32
"""Most incidents that are compared; the newest are used."""
SAME_CRASH_SECONDS = 2.5
"""Time within which reports about one target describe one crash, in seconds.
VMs notice a crash at different times and their clocks differ; a target needs
longer to start and crash again."""
SIMULTANEOUS_SECONDS = 0.3
"""Time within which crashes of several targets are one incident, in seconds.
A rack or a data centre that fails crashes its targets together, whatever they
run."""
GENERALISATION_MARGIN = 2
"""Additional incidents for which a culprit with fewer parts is preferred to
one with more parts. Naming more parts than necessary lets some further
requests through; naming fewer would refuse sound requests."""
REQUEST_MARGIN = 1
"""Additional incidents for which parts are preferred to a single request. A
request that is retried explains several crashes by itself."""


@attrs.frozen
class Incident:
    """Crashes that have one cause."""

    crashed_at: float
    """Time of the first crash, in epoch seconds."""
    targets: frozenset[str]
    """Names of the targets that crashed."""
    requests: frozenset[_traits.Traits]
    """Traits of each suspect that no target has survived since."""

    def involves(self, traits: _traits.Traits) -> bool:
        """Return whether a suspect has all of the traits."""
        return any(traits <= request for request in self.requests)


@attrs.frozen
class Explanation:
    """Traits that the suspects of several incidents have in common."""

    traits: _traits.Traits
    """The traits; a request that has all of them crashes targets."""
    incidents: int
    """Number of incidents."""
    last_at: float
    """Time of the last of them, in epoch seconds."""


def group_incidents(
    reports: typing.Iterable[_crashes.CrashReport],
    cleared: typing.Mapping[_traits.Trait, float],
) -> list[Incident]:
    """Group crash reports into incidents, oldest first.

    Args:
        reports: The reports of all VMs.
        cleared: When a target last survived a request with the trait, in
            epoch seconds.
    """
    incidents: list[Incident] = []
    for report in sorted(reports, key=lambda item: item.crashed_at):
        requests = {
            drop_cleared(traits, report.crashed_at, cleared)
            for traits in report.requests
        }
        found = _find_incident(incidents, report)
        if found is None:
            incident = Incident(report.crashed_at, frozenset(), frozenset())
            incidents.append(incident)
            found = len(incidents) - 1
        incident = incidents[found]
        incidents[found] = attrs.evolve(
            incident,
            targets=incident.targets | {report.target},
            requests=incident.requests | {item for item in requests if item},
        )
    return incidents


def drop_cleared(
    traits: _traits.Traits,
    crashed_at: float,
    cleared: typing.Mapping[_traits.Trait, float],
) -> _traits.Traits:
    """Return the traits that no target has survived since a crash.

    Args:
        traits: Traits of a request that was on the target.
        crashed_at: When the target crashed, in epoch seconds.
        cleared: When a target last survived a request with the trait, in
            epoch seconds.
    """
    return frozenset(
        trait for trait in traits if cleared.get(trait, 0.0) < crashed_at
    )


def _find_incident(
    incidents: list[Incident], report: _crashes.CrashReport
) -> int | None:
    """Return the index of the incident that a report belongs to, if any."""
    for index in range(len(incidents) - 1, -1, -1):
        incident = incidents[index]
        age = report.crashed_at - incident.crashed_at
        if age > SAME_CRASH_SECONDS:
            return None
        if report.target in incident.targets:
            return index
        # A request that was sent after the first crash can have caused the
        # second one, however soon it follows.
        sent_before = report.last_sent_at < incident.crashed_at
        if age <= SIMULTANEOUS_SECONDS and sent_before:
            return index
    return None


def explain_incidents(
    incidents: list[Incident], familiar: _traits.Traits = frozenset()
) -> list[Explanation]:
    """Return the fewest explanations of the incidents, strongest first.

    An incident that one of them explains does not count for the others, so a
    sound request that was on the target as well is not blamed.

    Args:
        incidents: The incidents, oldest first.
        familiar: Traits that targets have survived lately.
    """
    remaining = [item for item in incidents if item.requests][-MAX_INCIDENTS:]
    explanations: list[Explanation] = []
    while True:
        counts = _count_common_traits(remaining, familiar)
        if not counts:
            return explanations
        traits = _choose(counts)
        explained = [item for item in remaining if item.involves(traits)]
        explanations.append(
            Explanation(traits, len(explained), explained[-1].crashed_at)
        )
        remaining = [item for item in remaining if item not in explained]


def list_shared_traits(incidents: list[Incident]) -> _traits.Traits:
    """Return the traits that suspects of several incidents have.

    Only these can be part of an explanation.
    """
    seen: set[_traits.Trait] = set()
    shared: set[_traits.Trait] = set()
    for incident in incidents:
        traits = frozenset().union(*incident.requests)
        shared |= seen & traits
        seen |= traits
    return frozenset(shared)


def _count_common_traits(
    incidents: list[Incident], familiar: _traits.Traits
) -> dict[_traits.Traits, int]:
    """Return how many incidents involve each common set of traits.

    Sets in too few incidents are left out.
    """
    # Most suspects share nothing with those of other incidents. Comparing all
    # of them in pairs would take a second for 32 incidents of 7 VMs.
    involved = _index_suspects(incidents)
    common = {
        first & second
        for first, second in itertools.combinations(involved, 2)
        if len(involved[first] | involved[second]) > 1
    }
    common |= {traits for traits, found in involved.items() if len(found) > 1}
    counts = {
        traits: len(_list_involved(traits, involved))
        for traits in common
        if traits
    }
    return {
        traits: count
        for traits, count in counts.items()
        if count >= _get_min_incidents(traits, familiar)
    }


def _index_suspects(
    incidents: list[Incident],
) -> dict[_traits.Traits, set[int]]:
    """Return the incidents in which each set of shared traits is a suspect."""
    shared = list_shared_traits(incidents)
    involved: dict[_traits.Traits, set[int]] = {}
    for index, incident in enumerate(incidents):
        for request in incident.requests:
            traits = request & shared
            if traits:
                involved.setdefault(traits, set()).add(index)
    return involved


def _list_involved(
    traits: _traits.Traits, involved: dict[_traits.Traits, set[int]]
) -> set[int]:
    """Return the incidents that have a suspect with all of the traits."""
    return set().union(
        *(found for suspect, found in involved.items() if traits <= suspect)
    )


def _get_min_incidents(
    traits: _traits.Traits, familiar: _traits.Traits
) -> int:
    return MIN_FAMILIAR_INCIDENTS if traits <= familiar else MIN_INCIDENTS


def _choose(counts: dict[_traits.Traits, int]) -> _traits.Traits:
    """Return the traits that explain most, as specific as possible."""

    def rank(traits: _traits.Traits) -> tuple[int, int, str]:
        return counts[traits], len(traits), _traits.describe_traits(traits)

    best = max(counts, key=rank)
    while True:
        more_specific = [
            traits
            for traits in counts
            if traits > best
            and counts[best] < counts[traits] + _get_margin(traits - best)
        ]
        if not more_specific:
            return best
        best = max(more_specific, key=rank)


def _get_margin(additional: _traits.Traits) -> int:
    """Return how many more incidents a set without these traits needs."""
    if any(isinstance(trait, _traits.WholeRequest) for trait in additional):
        return REQUEST_MARGIN
    return GENERALISATION_MARGIN
