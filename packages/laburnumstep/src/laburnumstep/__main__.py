"""Runs the command line as `python -m laburnumstep`."""

from __future__ import annotations

from laburnumstep import cli

cli.main()
