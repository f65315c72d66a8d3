"""Reads the log files of a folder."""

from __future__ import annotations

import json
import pathlib
import typing

import attrs


@attrs.frozen(order=True)
class LogLine:
    """One line of a VM's log."""

    time: float
    """When it was written, in epoch seconds of the VM's clock."""
    vm: str
    """Name of the VM: the name of its file without the ending."""
    message: str
    """What it says, with the prefix of the part that wrote it."""


def read_folder(folder: pathlib.Path) -> tuple[list[LogLine], int]:
    """Return the lines of all files, in the order of their times.

    Args:
        folder: Folder with one file for each VM.

    Returns:
        The lines, and how many others could not be read.

    Raises:
        OSError: A file cannot be read.
    """
    lines: list[LogLine] = []
    unread = 0
    for path in sorted(folder.iterdir()):
        if not path.is_file():
            continue
        for text in path.read_text(errors='replace').splitlines():
            line = _decode(path.stem, text)
            if line is not None:
                lines.append(line)
            elif text.strip():
                unread += 1
    # Lines of one VM with the same time stay in the order of its file.
    lines.sort(key=lambda line: line.time)
    return lines, unread


def _decode(vm: str, text: str) -> LogLine | None:
    """Return a line, or None where a crash or a reader cut it."""
    try:
        fields: dict[str, typing.Any] = json.loads(text)
        return LogLine(float(fields['time']), vm, str(fields['message']))
    except (KeyError, TypeError, ValueError):
        return None
