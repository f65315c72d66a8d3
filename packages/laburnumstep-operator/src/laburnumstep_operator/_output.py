"""Prints answers for people or as JSON."""

from __future__ import annotations

import json
import sys
import typing

from laburnumstep import core

EXIT_FAILED = 1
"""Something could not be done."""
EXIT_FINDINGS = 2
"""The input has mistakes, or VMs differ from each other."""
EXIT_CONFLICT = 3
"""Another publication was accepted first."""


def print_answer(
    as_json: bool, document: core.DocumentObject, lines: list[str]
) -> None:
    """Print an answer on standard output.

    Args:
        as_json: Whether to print JSON.
        document: The answer for programs.
        lines: The answer for people.
    """
    if as_json:
        print(json.dumps(document))
    else:
        for line in lines:
            print(line)


def print_problem(
    as_json: bool, document: core.DocumentObject, lines: list[str]
) -> None:
    """Print what went wrong; for people on standard error."""
    if as_json:
        print(json.dumps(document))
    else:
        for line in lines:
            print(line, file=sys.stderr)


def encode_findings(
    findings: list[core.Finding],
) -> core.DocumentObject:
    """Return findings as a JSON object."""
    encoded: list[typing.Any] = [
        {
            'file': finding.position.file,
            'section': finding.position.section,
            'key': finding.position.key,
            'line': finding.position.line,
            'code': finding.code,
            'message': finding.message,
        }
        for finding in findings
    ]
    return {'findings': encoded}
