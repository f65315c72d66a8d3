"""Runs the demo, as `python -m laburnumstep_standins.demo`."""

from __future__ import annotations

import sys

import anyio

from laburnumstep_standins.demo import _demo

sys.exit(anyio.run(_demo.run))
