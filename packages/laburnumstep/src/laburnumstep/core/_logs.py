"""Logging as text or JSON, with a prefix for each component."""

from __future__ import annotations

import json
import logging
import sys
import typing


class PrefixAdapter(logging.LoggerAdapter):
    """Prefixes each message with the name of its component."""

    def process(
        self, msg: str, kwargs: typing.MutableMapping[str, typing.Any]
    ) -> tuple[str, typing.MutableMapping[str, typing.Any]]:
        """Return the message with its prefix."""
        return (
            f'{self.extra["component"]}: {msg}',  # type: ignore[index]
            kwargs,
        )


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON text."""
        entry = {
            'time': record.created,
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': record.getMessage(),
        }
        if record.exc_info:
            entry['exception'] = self.formatException(record.exc_info)
        return json.dumps(entry)


def get_logger(component: str) -> PrefixAdapter:
    """Return the logger of a component, such as `targets`."""
    logger = logging.getLogger(f'laburnumstep.{component}')
    return PrefixAdapter(logger, {'component': component})


class LogStream(typing.Protocol):
    """Destination of log lines."""

    def write(self, text: str) -> typing.Any:
        """Write a line."""
        ...

    def flush(self) -> typing.Any:
        """Write buffered lines."""
        ...


def configure_logging(
    level: str, output_format: str, stream: LogStream | None = None
) -> None:
    """Configure the root logger to write to a stream.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        output_format: `text` or `json`.
        stream: Destination of the lines; standard error if None.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    if output_format == 'json':
        handler.setFormatter(JsonFormatter())
    else:
        layout = '%(asctime)s %(levelname)s %(message)s'
        handler.setFormatter(logging.Formatter(layout))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # At debug level, uvicorn and httpcore log each request and each read.
    for name in ('uvicorn', 'httpcore', 'hpack', 'grpc'):
        logging.getLogger(name).setLevel(logging.WARNING)
