"""Relays streams over the engines on which they run."""

from __future__ import annotations

import typing

from laburnumstep.targets.relay import _copies
from laburnumstep.targets.relay import _evacuation
from laburnumstep.targets.relay import _stream_run

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.targets.relay import _places
    from laburnumstep.targets.relay import _ports
    from laburnumstep.targets.relay import _running


class StreamRelay:
    """Relays streams.

    Args:
        placer: Finds targets.
        port: Sends to targets.
        running: Told of each stream in progress.
        clock: Compared with callers' deadlines.
    """

    def __init__(
        self,
        placer: _places.RelayPlacer,
        port: _ports.TargetPort,
        running: _running.RunningStreams,
        clock: core.Clock,
    ) -> None:
        self._placer = placer
        self._port = port
        self._running = running
        self._clock = clock
        self._evacuations = _evacuation.Evacuations(port, placer, clock)

    async def run(
        self,
        request: _ports.RelayRequest,
        sink: _ports.AnswerSink,
    ) -> None:
        """Relay one stream from its beginning to its end.

        Raises:
            CodedError: The stream is not whole.
        """
        copier = _copies.RunCopier(
            request, self._placer, self._port, self._evacuations, self._clock
        )
        run = _stream_run.StreamRun(
            request,
            sink,
            self._placer,
            self._port,
            copier,
            self._running,
            self._clock,
        )
        try:
            await run.run()
        finally:
            run.close()
