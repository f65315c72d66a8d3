"""Reads a configuration document and collects its findings."""

from __future__ import annotations

import pathlib
import sys

from laburnumstep import core
from laburnumstep_operator import _checks

_STANDARD_INPUT = '-'


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
    deployment = core.decode_document(data, core.Deployment, source)
    findings = [
        core.Finding(
            core.SourcePosition(
                source, problem.item.section, problem.item.name
            ),
            problem.code,
            problem.message,
        )
        for problem in _checks.check_deployment(deployment)
    ]
    if findings:
        raise core.FindingsError(findings)
    return deployment
