"""Answers that a caller received, checked against the guarantees."""

from __future__ import annotations

import json
import typing

import attrs


class Broken(Exception):
    """An answer violates a guarantee of the stream protocol."""


@attrs.define
class Answer:
    """One streamed answer, as far as it was received."""

    generation: str = ''
    """Identifier of the generation, from the `accepted` event."""
    handle: str = ''
    """Handle with which any VM resumes the stream."""
    tokens: list[str] = attrs.field(factory=list)
    """Received tokens in order."""
    arrived_at: list[float] = attrs.field(factory=list)
    """Time of arrival of each token, in epoch seconds."""
    whole: bool = False
    """Whether the answer is complete."""
    error: dict[str, typing.Any] | None = None
    """Error object from the VM, or None."""
    resumed: int = 0
    """Number of times that the stream was resumed on another VM."""

    @property
    def position(self) -> int:
        """Position of the next token."""
        return len(self.tokens)

    def handle_event(self, event: str, now: float) -> None:
        """Check and record one event of the stream.

        Args:
            event: Text of the event without its final blank line.
            now: Time of arrival, in epoch seconds.

        Raises:
            Broken: A token is repeated, missing, after the end or from
                another generation, or the event is unknown.
        """
        fields = dict(line.split(': ', 1) for line in event.split('\n'))
        data = json.loads(fields['data'])
        match fields.get('event'):
            case None:
                self._handle_token(fields['id'], data, now)
            case 'accepted':
                self.generation = data['generation']
                self.handle = data['handle']
            case 'done':
                if data['tokens'] != self.position:
                    raise Broken(
                        f'{self.position} tokens received, but {data}'
                    )
                self.whole = True
            case 'error':
                self.error = data['error']
            case name:
                raise Broken(f'unknown event {name}')

    def _handle_token(self, identifier: str, text: str, now: float) -> None:
        generation, _, position = identifier.rpartition(':')
        if generation != self.generation:
            raise Broken(
                f'token of generation {generation}, not {self.generation}'
            )
        if int(position) != self.position:
            raise Broken(
                f'token {position} received instead of {self.position}'
            )
        if self.whole:
            raise Broken('token received after the end')
        self.tokens.append(text)
        self.arrived_at.append(now)


@attrs.frozen
class CallReply:
    """Response to a service call or an outcome query."""

    status: int
    """HTTP status; 0 if no response was received."""
    body: dict[str, typing.Any]
    """Body of the response; a message if none was received."""

    @property
    def outcome(self) -> str:
        """Whether the operation ran: `ran`, `not_run` or `unknown`."""
        error = self.body.get('error')
        outcome = error['outcome'] if error else self.body.get('outcome')
        return str(outcome or 'unknown')
