"""Runs the entry VM as the platform starts it, without a command line."""

from __future__ import annotations

import sys

from laburnumstep import core
from laburnumstep import platform

EXIT_FINDINGS = 2


def main() -> int:
    """Run until SIGTERM; return 2 where the settings cannot be used."""
    try:
        platform.run_vm()
    except core.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
