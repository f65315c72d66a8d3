"""Order of the events of a stream."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from laburnumstep.targets.relay import _ports


def select_new(
    events: list[_ports.StreamEvent], last: bytes | None
) -> list[_ports.StreamEvent]:
    """Return the events that come after the last one delivered.

    An engine that continues a run may repeat events that the previous engine
    has sent, and one in trouble may repeat its own.

    Args:
        events: Events in the order of their arrival.
        last: Position of the last event delivered, or None.
    """
    selected = []
    for event in events:
        if _is_after(event.position, last):
            selected.append(event)
            last = event.position or last
    return selected


def _is_after(position: bytes | None, last: bytes | None) -> bool:
    """Return whether an event comes after another one; unknown counts."""
    if last is None or position is None:
        return True
    if not (last.isdigit() and position.isdigit()):
        return position != last
    return int(position) > int(last)
