"""Tokens and lengths of answers, as functions of the prompt."""

from __future__ import annotations

import hashlib
import math
import random
import typing

if typing.TYPE_CHECKING:
    from laburnumstep_standins.engine import _config

CHARACTERS_PER_TOKEN = 4
"""Characters of a prompt for each token."""
_WORDS = [
    f' {first}{second}{third}'
    for first in ('ka', 'lo', 'mi', 'nu', 're', 'sa', 'to', 've')
    for second in ('', 'l', 'n', 'r', 's', 't', 'nd', 'st')
    for third in ('a', 'e', 'i', 'o', 'u', 'an', 'el', 'or')
]
_ENCODED = [f'"{word}"'.encode() for word in _WORDS]
_MULTIPLIER = 2_654_435_761
"""Odd number near 2**32 divided by the golden ratio (Fibonacci hashing)."""
_INDEX_SHIFT = 23
"""Shift that leaves the upper 9 of 32 bits, the index of one of 512 words."""


def derive_seed(prompt: str) -> int:
    """Return the seed of the answer to a prompt."""
    digest = hashlib.sha256(prompt.encode()).digest()
    return int.from_bytes(digest[:8], 'big')


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def compute_token(prompt: str, position: int) -> str:
    """Return the token at a position of the answer to a prompt."""
    return _WORDS[_word_index(derive_seed(prompt), position)]


def encode_tokens(name: bytes, seed: int, start: int, end: int) -> bytes:
    """Return the encoded events of some tokens.

    Args:
        name: Identifier of the generation.
        seed: Seed of the answer.
        start: Position of the first token.
        end: Position after the last token.
    """
    return b''.join(
        b'id: %b:%d\ndata: %b\n\n'
        % (name, position, _ENCODED[_word_index(seed, position)])
        for position in range(start, end)
    )


def draw_length(prompt: str, config: _config.EngineConfig) -> int:
    """Return the length of the answer to a prompt, in tokens.

    Raises:
        ValueError: No length profile matches the prompt.
    """
    for profile in config.length_profiles:
        if profile.marker in prompt:
            break
    else:
        raise ValueError('no length profile matches the prompt')
    number = random.Random(derive_seed(prompt))
    length = number.lognormvariate(
        math.log(profile.median_tokens), profile.sigma
    )
    return max(1, min(config.max_length, round(length)))


def _word_index(seed: int, position: int) -> int:
    mixed = (seed + position) * _MULTIPLIER & 0xFFFFFFFF
    return mixed >> _INDEX_SHIFT
