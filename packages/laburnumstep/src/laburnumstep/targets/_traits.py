"""Traits of requests: what crashes of targets may be blamed on."""

from __future__ import annotations

import hashlib
import json
import typing

import attrs

from laburnumstep import core
from laburnumstep.targets import _prefixes

MAX_PART_LENGTH = 64
"""Longest identifier of a prompt part, in characters. Callers choose it, and
it is stored and sent to siblings."""


@attrs.frozen(cache_hash=True)
class PromptPart:
    """A part that the prompts of several requests share."""

    model: str
    """Name of the pool of engines that runs the prompt."""
    part: str
    """Identifier of the part."""


@attrs.frozen(cache_hash=True)
class WholeRequest:
    """One request with all of its content, whoever sends it again."""

    digest: str
    """Digest of the request within its workspace."""


Trait = PromptPart | WholeRequest
Traits = frozenset[Trait]


def list_generation_traits(generation: core.Generation) -> Traits:
    """Return the traits of a generation."""
    parts = _prefixes.digest_prefixes(generation.prompt)
    return list_part_traits(generation.model, parts) | {
        WholeRequest(fingerprint_generation(generation))
    }


def list_part_traits(model: str, parts: typing.Iterable[str]) -> Traits:
    """Return the traits of prompt parts.

    Args:
        model: Name of the pool of engines that runs the prompt.
        parts: Identifiers of the parts.
    """
    return frozenset(
        PromptPart(model, part[:MAX_PART_LENGTH]) for part in parts
    )


def fingerprint_generation(generation: core.Generation) -> str:
    """Return the fingerprint of a generation within its workspace."""
    return digest_fields(
        generation.workspace.encode(),
        generation.model.encode(),
        generation.prompt.encode(),
    )


def fingerprint_call(call: core.ServiceCall) -> str:
    """Return the fingerprint of a service call within its workspace."""
    payload = json.dumps(call.payload, sort_keys=True)
    fields = (call.workspace, call.service, call.operation, payload)
    return digest_fields(*(field.encode() for field in fields))


def digest_fields(*fields: bytes) -> str:
    """Return one digest of several fields."""
    digest = hashlib.blake2b(digest_size=16)
    for field in fields:
        # The length prefix distinguishes ('ab', 'c') from ('a', 'bc').
        digest.update(len(field).to_bytes(8, 'big') + field)
    return digest.hexdigest()


def encode_trait(trait: Trait) -> list[str]:
    """Return a trait as a JSON array."""
    match trait:
        case PromptPart(model, part):
            return ['part', model, part]
        case WholeRequest(digest):
            return ['request', digest]
        case _:
            typing.assert_never(trait)


def decode_trait(data: typing.Any) -> Trait:
    """Return the trait that a JSON array encodes.

    Raises:
        ValueError: The array encodes no trait.
    """
    match data:
        case ['part', str(model), str(part)]:
            return PromptPart(model, part)
        case ['request', str(digest)]:
            return WholeRequest(digest)
        case _:
            raise ValueError(f'no trait: {data!r:.80}')


def parse_trait(text: str) -> Trait:
    """Return the trait that a text as in a log line describes.

    Raises:
        ValueError: The text describes no trait.
    """
    kind, _, rest = text.partition(':')
    # The name of a model may contain colons; identifiers of parts do not.
    model, _, part = rest.rpartition(':')
    match kind:
        case 'part' if model and part:
            return PromptPart(model, part)
        case 'request' if rest:
            return WholeRequest(rest)
        case _:
            raise ValueError(f'no trait: {text:.80}')


def digest_traits(traits: Traits) -> str:
    """Return a digest that is equal for equal sets of traits."""
    return digest_fields(describe_traits(traits).encode())


def describe_traits(traits: typing.Iterable[Trait]) -> str:
    """Return traits as text for a log line, in a stable order."""
    return ','.join(sorted(':'.join(encode_trait(item)) for item in traits))
