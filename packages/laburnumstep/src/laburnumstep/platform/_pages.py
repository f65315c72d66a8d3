"""HTTP responses to the platform's readiness probe and metrics scrape."""

from __future__ import annotations

import typing

from laburnumstep import core

if typing.TYPE_CHECKING:
    from starlette import types


async def serve_readiness(
    is_ready: typing.Callable[[], bool], send: types.Send
) -> None:
    """Answer a readiness probe: 200 if the VM accepts requests, else 503.

    Args:
        is_ready: Returns whether the VM accepts requests.
        send: The ASGI send function of the request.
    """
    status = 200 if is_ready() else 503
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-length', b'0')],
        }
    )
    await send({'type': 'http.response.body', 'body': b''})


async def serve_metrics(page: core.MetricsPage, send: types.Send) -> None:
    """Send the metrics page.

    Args:
        page: The metrics of the VM.
        send: The ASGI send function of the request.
    """
    content = page.render()
    headers = [
        (b'content-type', core.METRICS_CONTENT_TYPE.encode()),
        (b'content-length', b'%d' % len(content)),
    ]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': content})
