"""Logs with a fixed prefix for each part, for people or as JSON."""

from __future__ import annotations

import json
import logging
import sys
import typing


class PrefixAdapter(logging.LoggerAdapter):
    """Puts the name of the part in front of each message."""

    def process(
        self, msg: str, kwargs: typing.MutableMapping[str, typing.Any]
    ) -> tuple[str, typing.MutableMapping[str, typing.Any]]:
        """Return the message with its prefix."""
        return f'{self.extra["part"]}: {msg}', kwargs  # type: ignore[index]


class JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object."""

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


def get_logger(part: str) -> PrefixAdapter:
    """Return the logger of a part, such as `targets`."""
    logger = logging.getLogger(f'laburnumstep.{part}')
    return PrefixAdapter(logger, {'part': part})


class LogStream(typing.Protocol):
    """Where log lines go."""

    def write(self, text: str) -> typing.Any:
        """Write a line."""
        ...

    def flush(self) -> typing.Any:
        """Write what is kept back."""
        ...


def configure_logging(
    level: str, form: str, stream: LogStream | None = None
) -> None:
    """Send logs to a stream.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        form: `text` or `json`.
        stream: Where the lines go; standard error if None.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    if form == 'json':
        handler.setFormatter(JsonFormatter())
    else:
        layout = '%(asctime)s %(levelname)s %(message)s'
        handler.setFormatter(logging.Formatter(layout))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # uvicorn and httpcore log each request and each read at debug.
    for name in ('uvicorn', 'httpcore', 'hpack', 'grpc'):
        logging.getLogger(name).setLevel(logging.WARNING)
