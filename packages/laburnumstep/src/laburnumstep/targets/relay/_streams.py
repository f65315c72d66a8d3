"""Relays streamed responses."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _evacuation
from laburnumstep.targets.relay import _run_lists
from laburnumstep.targets.relay import _stream_run

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets.relay import _placements
    from laburnumstep.targets.relay import _ports
    from laburnumstep.targets.relay import _running


class StreamRelay:
    """Relays streams, continuing them on another engine if needed.

    Args:
        placer: Places requests on targets.
        port: Sends requests to targets.
        running: Registry of the streams in progress.
        clock: Clock that callers' deadlines are compared with.
    """

    def __init__(
        self,
        placer: _placements.RelayPlacer,
        port: _ports.TargetPort,
        running: _running.RunningStreams,
        clock: core.Clock,
    ) -> None:
        self._placer = placer
        self._port = port
        self._running = running
        self._clock = clock
        self._schedules = _evacuation.EvacuationSchedules(port, placer, clock)
        self._lists = _run_lists.RunLists(port, clock)

    async def run(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
    ) -> None:
        """Relay one stream from its beginning to its end.

        Args:
            request: The request.
            sink: Receives the response.

        Raises:
            CodedError: The stream is incomplete.
        """
        copier = _copies.RunCopier(
            request, self._placer, self._port, self._schedules, self._clock
        )
        run = _stream_run.StreamRun(
            request,
            sink,
            self._placer,
            self._port,
            copier,
            self._lists,
            self._running,
            self._clock,
        )
        try:
            await run.run()
        finally:
            run.close()
