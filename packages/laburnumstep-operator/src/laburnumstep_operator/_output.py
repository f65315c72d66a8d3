"""Prints the results of commands as text for people or as JSON."""

from __future__ import annotations

import json
import sys
import typing

from laburnumstep import core

EXIT_FAILED = 1
"""Exit status if the command failed."""
EXIT_FINDINGS = 2
"""Exit status if the input has mistakes or VMs have different versions."""
EXIT_CONFLICT = 3
"""Exit status if another publication was accepted first."""


def print_result(
    as_json: bool, document: core.DocumentObject, lines: list[str]
) -> None:
    """Print the result of a command on standard output.

    Args:
        as_json: Whether to print JSON.
        document: The result as a JSON object.
        lines: The result as lines of text.
    """
    if as_json:
        print(json.dumps(document))
    else:
        for line in lines:
            print(line)


def print_error(
    as_json: bool, document: core.DocumentObject, lines: list[str]
) -> None:
    """Print an error: JSON on standard output, text on standard error.

    Args:
        as_json: Whether to print JSON.
        document: The error as a JSON object.
        lines: The error as lines of text.
    """
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
