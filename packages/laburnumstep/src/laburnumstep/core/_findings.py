"""Findings: mistakes in input, collected and reported together."""

from __future__ import annotations

import attrs


@attrs.frozen
class SourcePosition:
    """Where a finding is."""

    file: str
    """Path of the file, or the name of the input."""
    section: str = ''
    """Section of the file; empty where there is none."""
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
    """Where the mistake is."""
    code: str
    """Stable code of the kind of mistake."""
    message: str
    """What is wrong, for people."""

    def __str__(self) -> str:
        return f'{self.position}: {self.code}: {self.message}'


class FindingsError(Exception):
    """Input was refused; carries all findings.

    Args:
        findings: The mistakes, at least one.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = findings
