"""Answers to the platform itself: readiness and metrics."""

from __future__ import annotations

import typing

from laburnumstep import core

if typing.TYPE_CHECKING:
    from starlette import types


async def ask_ready(
    ready: typing.Callable[[], bool], send: types.Send
) -> None:
    """Answer the platform's question whether the VM takes requests."""
    status = 200 if ready() else 503
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-length', b'0')],
        }
    )
    await send({'type': 'http.response.body', 'body': b''})


async def serve_metrics(page: core.MetricsPage, send: types.Send) -> None:
    """Answer a request for the metrics."""
    content = page.render()
    headers = [
        (b'content-type', core.METRICS_CONTENT_TYPE.encode()),
        (b'content-length', b'%d' % len(content)),
    ]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': content})
