"""What became of one request, from the logs of all VMs."""

from __future__ import annotations

import collections.abc
import re
import typing

import attrs

if typing.TYPE_CHECKING:
    from laburnumstep_operator.logs import _reader

_TARGET = re.compile(r'\b(?:on target |target=|destination=)([\w.-]+)')
_ROUTES = 'callers: routes in force;'
_TOPIC = re.compile(r'^log: (topic is unavailable|topic is back|history lost)')
_ENGINE = re.compile(r'^targets: engine (answers|does not answer);')
_DROPPED = 'log lines dropped'


@attrs.frozen
class AccountLine:
    """One line about the request, with what its VM knew then."""

    line: _reader.LogLine
    """The line."""
    known: list[_reader.LogLine]
    """Earlier lines of the same VM that it rests on."""


@attrs.frozen
class Account:
    """What became of one request."""

    lines: list[AccountLine]
    """Lines about the request, in the order of their times."""
    dropped: list[str]
    """VMs that dropped lines of their logs."""


@attrs.define
class _Knowledge:
    """What one VM has last logged about the things decisions rest on."""

    routes: _reader.LogLine | None = None
    store: dict[str, _reader.LogLine] = attrs.field(factory=dict)
    targets: dict[str, _reader.LogLine] = attrs.field(factory=dict)
    engines: dict[str, _reader.LogLine] = attrs.field(factory=dict)
    told: set[_reader.LogLine] = attrs.field(factory=set)

    def learn(self, line: _reader.LogLine) -> None:
        """Take in a line."""
        message = line.message
        target = _find_target(message)
        if message.startswith(_ROUTES):
            self.routes = line
        elif _TOPIC.match(message):
            self.store[message.partition('topic=')[2].partition(' ')[0]] = line
        elif target and _ENGINE.match(message):
            self.engines[target] = line
        elif target and message.startswith('targets: '):
            self.targets[target] = line

    def recall(
        self, line: _reader.LogLine
    ) -> collections.abc.Iterator[_reader.LogLine]:
        """Yield what a line about a request rests on, each thing once."""
        target = _find_target(line.message) or ''
        found = [
            self.routes,
            *self.store.values(),
            self.targets.get(target),
            self.engines.get(target),
        ]
        for known in found:
            if known is not None and known not in self.told:
                self.told.add(known)
                yield known


def build_account(
    request: str, lines: collections.abc.Iterable[_reader.LogLine]
) -> Account:
    """Return what the logs say of one request.

    Args:
        request: Identifier of the request.
        lines: Lines of all VMs, in the order of their times.
    """
    names = re.compile(rf'\brequest[= ]{re.escape(request)}\b')
    knowledge: dict[str, _Knowledge] = {}
    found: list[AccountLine] = []
    dropped: dict[str, None] = {}
    for line in lines:
        vm = knowledge.setdefault(line.vm, _Knowledge())
        if names.search(line.message):
            found.append(AccountLine(line, list(vm.recall(line))))
            continue
        if _DROPPED in line.message:
            dropped[line.vm] = None
        vm.learn(line)
    return Account(found, list(dropped))


def _find_target(message: str) -> str | None:
    match = _TARGET.search(message)
    return match.group(1) if match is not None else None
