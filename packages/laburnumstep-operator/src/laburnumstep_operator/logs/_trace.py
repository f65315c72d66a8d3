"""Traces one request through the logs of all VMs."""

from __future__ import annotations

import collections.abc
import re
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep_operator.logs import _reader

# VMs of all supported builds write log lines with these texts.
_TARGET = re.compile(r'\b(?:on target |target=|destination=)([\w.-]+)')
_ROUTES_PREFIX = 'callers: routes in force;'
_TOPIC_STATE = re.compile(
    r'^log: (topic is unavailable|topic is back|history lost)'
)
_ENGINE_STATE = re.compile(r'^targets: engine (answers|does not answer);')
_DROPPED_LINES = 'log lines dropped'


@attrs.frozen
class TraceLine:
    """One line about a request, with the state that its VM knew then."""

    line: _reader.LogLine
    """The line about the request."""
    known: list[_reader.LogLine]
    """Earlier lines of the same VM that state the routes, log topics and
    target that the line depends on.
    """


@attrs.frozen
class RequestTrace:
    """Log lines about one request."""

    lines: list[TraceLine]
    """Lines about the request, sorted by time."""
    dropped: list[str]
    """Names of the VMs that dropped log lines, so the trace may have gaps."""


@attrs.define
class _VMState:
    """Latest lines of one VM about the state that its decisions depend on."""

    routes: _reader.LogLine | None = None
    """Latest line about the routes in force."""
    topics: dict[str, _reader.LogLine] = attrs.field(factory=dict)
    """Latest line about the availability of each log topic."""
    targets: dict[str, _reader.LogLine] = attrs.field(factory=dict)
    """Latest line about each target, other than about its reachability."""
    engines: dict[str, _reader.LogLine] = attrs.field(factory=dict)
    """Latest line about whether each engine answers, by target."""
    reported: set[_reader.LogLine] = attrs.field(factory=set)
    """Lines that an earlier line of the trace already lists as known."""

    def apply_line(self, line: _reader.LogLine) -> None:
        """Replace the state that a line is about."""
        message = line.message
        target = _find_target(message)
        if message.startswith(_ROUTES_PREFIX):
            self.routes = line
        elif _TOPIC_STATE.match(message):
            self.topics[message.partition('topic=')[2].partition(' ')[0]] = (
                line
            )
        elif target and _ENGINE_STATE.match(message):
            self.engines[target] = line
        elif target and message.startswith('targets: '):
            self.targets[target] = line

    def collect_known(
        self, line: _reader.LogLine
    ) -> collections.abc.Iterator[_reader.LogLine]:
        """Yield the state that a line depends on.

        Each line is yielded once for the whole trace, so that the trace
        repeats only state that has changed.
        """
        target = _find_target(line.message) or ''
        candidates = [
            self.routes,
            *self.topics.values(),
            self.targets.get(target),
            self.engines.get(target),
        ]
        for known in candidates:
            if known is not None and known not in self.reported:
                self.reported.add(known)
                yield known


def build_trace(
    request: str, lines: collections.abc.Iterable[_reader.LogLine]
) -> RequestTrace:
    """Return the lines about one request and the state they depend on.

    Args:
        request: Identifier of the request.
        lines: Lines of all VMs, sorted by time.
    """
    mention = re.compile(rf'\brequest[= ]{re.escape(request)}\b')
    states: dict[str, _VMState] = {}
    found: list[TraceLine] = []
    dropped: dict[str, None] = {}
    for line in lines:
        state = states.setdefault(line.vm, _VMState())
        if mention.search(line.message):
            found.append(TraceLine(line, list(state.collect_known(line))))
            continue
        if _DROPPED_LINES in line.message:
            dropped[line.vm] = None
        state.apply_line(line)
    return RequestTrace(found, list(dropped))


def _find_target(message: str) -> str | None:
    match = _TARGET.search(message)
    return match.group(1) if match is not None else None
