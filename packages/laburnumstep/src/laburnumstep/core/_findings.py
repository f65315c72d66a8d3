"""Findings: mistakes in an input, reported together."""

from __future__ import annotations

import attrs


@attrs.frozen
class SourcePosition:
    """Position of a finding in a file or another input."""

    file: str
    """Path of the file, or the name of the input."""
    section: str = ''
    """Section of the file; empty if it has no sections."""
    key: str = ''
    """Key in the section; empty for the section as a whole."""
    line: int | None = None
    """Line number, from 1."""

    def __str__(self) -> str:
        line = f':{self.line}' if self.line is not None else ''
        section = f' [{self.section}]' if self.section else ''
        key = f' {self.key}' if self.key else ''
        return f'{self.file}{line}{section}{key}'


@attrs.frozen
class Finding:
    """One mistake and its position."""

    position: SourcePosition
    """Position of the mistake."""
    code: str
    """Stable code of the kind of mistake."""
    message: str
    """Human-readable description."""

    def __str__(self) -> str:
        return f'{self.position}: {self.code}: {self.message}'


class FindingsError(Exception):
    """An input is invalid.

    Args:
        findings: All mistakes in the input, at least one.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings
