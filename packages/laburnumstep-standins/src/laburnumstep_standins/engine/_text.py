"""Texts and lengths that depend on nothing but the prompt."""

from __future__ import annotations

import hashlib
import math
import random
import typing

if typing.TYPE_CHECKING:
    from laburnumstep_standins.engine import _config

CHARACTERS_PER_TOKEN = 4
"""Characters of a prompt that count as one token."""
_WORDS = [
    f' {first}{second}{third}'
    for first in ('ka', 'lo', 'mi', 'nu', 're', 'sa', 'to', 've')
    for second in ('', 'l', 'n', 'r', 's', 't', 'nd', 'st')
    for third in ('a', 'e', 'i', 'o', 'u', 'an', 'el', 'or')
]
_ENCODED = [f'"{word}"'.encode() for word in _WORDS]
_MULTIPLIER = 2_654_435_761
"""Odd number near 2**32 divided by the golden ratio; spreads positions."""
_INDEX_SHIFT = 23
"""Takes the upper 9 of 32 bits, one of the 512 words."""


def seed_of(prompt: str) -> int:
    """Return a number that is equal for equal prompts."""
    digest = hashlib.sha256(prompt.encode()).digest()
    return int.from_bytes(digest[:8], 'big')


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def token_text(prompt: str, position: int) -> str:
    """Return the token at a position of the answer to a prompt."""
    return _WORDS[_index(seed_of(prompt), position)]


def encode_tokens(name: bytes, seed: int, start: int, end: int) -> bytes:
    """Return the events of the tokens from `start` up to `end`."""
    return b''.join(
        b'id: %b:%d\ndata: %b\n\n'
        % (name, position, _ENCODED[_index(seed, position)])
        for position in range(start, end)
    )


def draw_length(prompt: str, config: _config.EngineConfig) -> int:
    """Return the length of the answer to a prompt, in tokens."""
    for profile in config.length_profiles:
        if profile.marker in prompt:
            break
    else:
        raise ValueError('no length profile holds for the prompt')
    number = random.Random(seed_of(prompt))
    length = number.lognormvariate(
        math.log(profile.median_tokens), profile.sigma
    )
    return max(1, min(config.max_length, round(length)))


def _index(seed: int, position: int) -> int:
    mixed = (seed + position) * _MULTIPLIER & 0xFFFFFFFF
    return mixed >> _INDEX_SHIFT
