"""Entry point for the platform, which starts it without arguments."""

from __future__ import annotations

import sys

from laburnumstep import core
from laburnumstep import platform

EXIT_FINDINGS = 2


def main() -> int:
    """Serve until SIGTERM.

    Returns:
        The exit code: 0 after a shutdown, 2 if the settings are invalid.
    """
    try:
        platform.run_vm()
    except core.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
