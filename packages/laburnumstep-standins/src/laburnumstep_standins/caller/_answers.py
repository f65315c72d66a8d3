"""What a caller got, and whether it is what it was promised."""

from __future__ import annotations

import json
import typing

import attrs


class Broken(Exception):
    """An answer breaks a promise."""


@attrs.define
class Answer:
    """One streamed answer as it came."""

    generation: str = ''
    """Identifier of the generation."""
    handle: str = ''
    """With which any VM resumes the stream."""
    tokens: list[str] = attrs.field(factory=list)
    """Tokens in order."""
    arrived_at: list[float] = attrs.field(factory=list)
    """When each token came, in epoch seconds."""
    whole: bool = False
    """Whether the answer is complete."""
    error: dict[str, typing.Any] | None = None
    """Why it is not, as the VM told."""
    resumed: int = 0
    """How often the stream was resumed on another VM."""

    @property
    def position(self) -> int:
        """Position of the next token."""
        return len(self.tokens)

    def take_event(self, event: str, now: float) -> None:
        """Take in one event of the stream.

        Args:
            event: The event without its blank line.
            now: When it came, in epoch seconds.

        Raises:
            Broken: A token is repeated, missing or of another generation.
        """
        fields = dict(line.split(': ', 1) for line in event.split('\n'))
        data = json.loads(fields['data'])
        match fields.get('event'):
            case None:
                self._take_token(fields['id'], data, now)
            case 'accepted':
                self.generation = data['generation']
                self.handle = data['handle']
            case 'done':
                if data['tokens'] != self.position:
                    raise Broken(f'{self.position} tokens of {data}')
                self.whole = True
            case 'error':
                self.error = data['error']
            case name:
                raise Broken(f'unknown event {name}')

    def _take_token(self, identifier: str, text: str, now: float) -> None:
        generation, _, position = identifier.rpartition(':')
        if generation != self.generation:
            raise Broken(f'token of {generation}, not {self.generation}')
        if int(position) != self.position:
            raise Broken(f'token {position} in place of {self.position}')
        if self.whole:
            raise Broken('a token after the end')
        self.tokens.append(text)
        self.arrived_at.append(now)


@attrs.frozen
class CallReply:
    """Reply to a service call."""

    status: int
    """HTTP status; 0 where no reply came."""
    body: dict[str, typing.Any]
    """The reply, or the error object."""

    @property
    def outcome(self) -> str:
        """Whether the operation ran: `ran`, `not_run` or `unknown`."""
        error = self.body.get('error')
        outcome = error['outcome'] if error else self.body.get('outcome')
        return str(outcome or 'unknown')
