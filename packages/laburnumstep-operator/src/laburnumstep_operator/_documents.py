"""Reads configuration documents and reports every finding in them."""

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
_REFERENCED_SECTIONS = {
    'unknown_data_centre': 'places',
    'unknown_region': 'places',
    'unknown_service': 'services',
}
"""Section of the missing declaration, by the code of the finding."""


def load_deployment(path: str) -> core.Deployment:
    """Read and check a configuration document.

    Args:
        path: Path of the JSON file, or `-` for standard input.

    Raises:
        FindingsError: If the file is unreadable or the document has
            mistakes; it contains all of them.
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
    """Decode and check the text of a configuration document.

    Args:
        text: The document as JSON.
        source: Name of the input in the findings.

    Raises:
        FindingsError: If there are mistakes; it contains all of them.
    """
    data = core.load_json(text, source)
    reader = _DocumentReader(source)
    deployment = reader.read(data)
    for problem in _checks.check_deployment(deployment):
        # Where a section has undecodable items, a declaration that seems
        # missing may be one of these: report only the decoding mistake.
        if _REFERENCED_SECTIONS.get(problem.code) not in reader.incomplete:
            item = problem.item
            reader.report(
                item.section, item.name, problem.code, problem.message
            )
    if reader.findings:
        raise core.FindingsError(reader.findings)
    return deployment


class _DocumentReader:
    """Decodes a document item by item.

    A mistake in one item does not prevent the report of mistakes in others.

    Args:
        source: Name of the input in the findings.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self.findings: list[core.Finding] = []
        """Mistakes found so far."""
        self.incomplete: set[str] = set()
        """Sections of which at least one item could not be decoded."""

    def report(self, section: str, key: str, code: str, message: str) -> None:
        """Add a finding about a section or about one of its items."""
        position = core.SourcePosition(self._source, section, key)
        self.findings.append(core.Finding(position, code, message))

    def read(self, data: typing.Any) -> core.Deployment:
        """Decode a document; items that cannot be decoded are left out.

        Raises:
            FindingsError: If the document is not a JSON object.
        """
        if not isinstance(data, dict):
            self.report('', '', 'bad_document', 'must be a JSON object')
            raise core.FindingsError(self.findings)
        known = {'name', *_ITEM_CLASSES, *_SINGLE_CLASSES}
        for key in data.keys() - known:
            self.report(key, '', 'bad_document', 'unknown section')
        name = data.get('name')
        if not isinstance(name, str):
            self.report('name', '', 'bad_document', 'must be a string')
            name = 'unnamed'
        sections: dict[str, typing.Any] = {
            section: self._read_items(section, data.get(section, {}), cls)
            for section, cls in _ITEM_CLASSES.items()
        }
        for section, cls in _SINGLE_CLASSES.items():
            if section in data:
                value = self._decode_item(section, '', data[section], cls)
                sections |= {section: value} if value is not None else {}
        return core.Deployment(name, **sections)

    def _read_items(
        self, section: str, items: typing.Any, cls: typing.Any
    ) -> dict[str, typing.Any]:
        if not isinstance(items, dict):
            self.report(section, '', 'bad_document', 'must be an object')
            self.incomplete.add(section)
            return {}
        decoded = {
            name: self._decode_item(section, name, item, cls)
            for name, item in items.items()
        }
        return {n: item for n, item in decoded.items() if item is not None}

    def _decode_item(
        self, section: str, name: str, data: typing.Any, cls: typing.Any
    ) -> typing.Any:
        """Return a decoded item, or None after reporting its mistakes."""
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
