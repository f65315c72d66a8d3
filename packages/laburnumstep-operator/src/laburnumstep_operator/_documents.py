"""Reads a configuration document and collects its findings."""

from __future__ import annotations

import pathlib
import sys
import typing

from laburnumstep import core
from laburnumstep_operator import _checks

_STANDARD_INPUT = '-'
_ITEM_CLASSES: dict[str, typing.Any] = {
    'places': core.Place,
    'targets': core.Target,
    'services': core.Service,
    'workspaces': core.Workspace,
}
_SINGLE_CLASSES: dict[str, typing.Any] = {
    'weights': core.PolicyWeights,
    'links': core.LinkBudget,
}
_REFERENCES = {
    'unknown_data_centre': 'places',
    'unknown_region': 'places',
    'unknown_service': 'services',
}
"""Section that a finding about a missing declaration refers to."""


def load_deployment(path: str) -> core.Deployment:
    """Read and check a configuration document.

    Args:
        path: JSON file, or `-` for standard input.

    Raises:
        FindingsError: With every mistake.
    """
    try:
        if path == _STANDARD_INPUT:
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        position = core.SourcePosition(path)
        finding = core.Finding(position, 'unreadable', str(error))
        raise core.FindingsError([finding]) from error
    return parse_deployment(text, path)


def parse_deployment(text: str, source: str) -> core.Deployment:
    """Check the text of a configuration document.

    Raises:
        FindingsError: With every mistake.
    """
    data = core.load_json(text, source)
    reader = _Reader(source)
    deployment = reader.read(data)
    for problem in _checks.check_deployment(deployment):
        # What refers to an item that cannot be read is no mistake itself.
        if _REFERENCES.get(problem.code) not in reader.incomplete:
            item = problem.item
            reader.report(
                item.section, item.name, problem.code, problem.message
            )
    if reader.findings:
        raise core.FindingsError(reader.findings)
    return deployment


class _Reader:
    """Reads a document item by item, so that one bad item hides no other."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.findings: list[core.Finding] = []
        self.incomplete: set[str] = set()

    def report(self, section: str, key: str, code: str, message: str) -> None:
        position = core.SourcePosition(self._source, section, key)
        self.findings.append(core.Finding(position, code, message))

    def read(self, data: typing.Any) -> core.Deployment:
        if not isinstance(data, dict):
            self.report('', '', 'bad_document', 'must be a JSON object')
            raise core.FindingsError(self.findings)
        known = {'name', *_ITEM_CLASSES, *_SINGLE_CLASSES}
        for key in data.keys() - known:
            self.report(key, '', 'bad_document', 'unknown section')
        name = data.get('name')
        if not isinstance(name, str):
            self.report('name', '', 'bad_document', 'must be a text')
            name = 'unnamed'
        sections: dict[str, typing.Any] = {
            section: self._read_items(section, data.get(section, {}), cls)
            for section, cls in _ITEM_CLASSES.items()
        }
        for section, cls in _SINGLE_CLASSES.items():
            if section in data:
                found = self._decode(section, '', data[section], cls)
                sections |= {section: found} if found is not None else {}
        return core.Deployment(name, **sections)

    def _read_items(
        self, section: str, items: typing.Any, cls: typing.Any
    ) -> dict[str, typing.Any]:
        if not isinstance(items, dict):
            self.report(section, '', 'bad_document', 'must be an object')
            self.incomplete.add(section)
            return {}
        found = {
            name: self._decode(section, name, item, cls)
            for name, item in items.items()
        }
        return {n: item for n, item in found.items() if item is not None}

    def _decode(
        self, section: str, name: str, data: typing.Any, cls: typing.Any
    ) -> typing.Any:
        try:
            return core.decode_document(data, cls, self._source)
        except core.FindingsError as error:
            self.incomplete.add(section)
            for finding in error.findings:
                path = finding.position.key.removeprefix('document')
                self.report(
                    section, name + path, finding.code, finding.message
                )
            return None
