"""Registry of the streams in progress."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _stream_run


class RunningStreams:
    """Registry of the streams in progress, by target."""

    def __init__(self) -> None:
        self._by_target: dict[str, dict[_stream_run.StreamRun, None]] = {}

    def add(self, target: str, run: _stream_run.StreamRun) -> None:
        """Register a stream that a target serves."""
        self._by_target.setdefault(target, {})[run] = None

    def remove(self, target: str, run: _stream_run.StreamRun) -> None:
        """Remove a stream from its target."""
        runs = self._by_target.get(target, {})
        runs.pop(run, None)
        if not runs:
            self._by_target.pop(target, None)

    def move_away(self, target: str) -> None:
        """Migrate the streams of a leaving target to other targets."""
        for run in list(self._by_target.get(target, {})):
            run.request_migration()
