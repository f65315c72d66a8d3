"""Reads a folder of VM log files."""

from __future__ import annotations

import json
import pathlib
import typing

import attrs


@attrs.frozen(order=True)
class LogLine:
    """One line of a VM's log."""

    time: float
    """Time of the line by the VM's clock, in epoch seconds."""
    vm: str
    """Name of the VM: the name of its log file without the extension."""
    message: str
    """Text of the line; it starts with the component that wrote it."""


def read_folder(folder: pathlib.Path) -> tuple[list[LogLine], int]:
    """Return the lines of all log files in a folder, sorted by time.

    Args:
        folder: Folder with one log file for each VM.

    Returns:
        The decoded lines, and the number of lines that could not be decoded.

    Raises:
        OSError: If the folder or a file cannot be read.
    """
    lines: list[LogLine] = []
    unread = 0
    for path in sorted(folder.iterdir()):
        if not path.is_file():
            continue
        for text in path.read_text(errors='replace').splitlines():
            line = _decode_line(path.stem, text)
            if line is not None:
                lines.append(line)
            elif text.strip():
                unread += 1
    # The sort is stable: lines of one VM with equal times keep the order of
    # the file.
    lines.sort(key=lambda line: line.time)
    return lines, unread


def _decode_line(vm: str, text: str) -> LogLine | None:
    """Return a decoded line, or None if it is not valid.

    A line can be truncated because the VM crashed while writing it or the
    collector of the log cut it.
    """
    try:
        fields: dict[str, typing.Any] = json.loads(text)
        return LogLine(float(fields['time']), vm, str(fields['message']))
    except (KeyError, TypeError, ValueError):
        return None
