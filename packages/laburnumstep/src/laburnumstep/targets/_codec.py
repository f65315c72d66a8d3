"""Encoding of length sketches for gossip."""

from __future__ import annotations

import struct

from laburnumstep.targets import _lengths

_ENTRY = struct.Struct('<BHf')
"""Bucket, weight in quarters and mean length, in 7 bytes. A sketch that uses
all buckets takes 280 bytes."""
_MAX_QUARTERS = 0xFFFF


def encode(sketch: _lengths.LengthSketch) -> bytes:
    """Encode a sketch; weights are rounded to quarters."""
    parts = []
    for bucket, count in sorted(sketch.counts.items()):
        quarters = min(round(count * 4), _MAX_QUARTERS)
        if quarters:
            mean = sketch.sums[bucket] / count
            parts.append(_ENTRY.pack(bucket, quarters, mean))
    return b''.join(parts)


def decode(data: bytes) -> _lengths.LengthSketch:
    """Decode a sketch.

    Raises:
        ValueError: The bytes are not an encoded sketch.
    """
    if len(data) % _ENTRY.size:
        raise ValueError('the sketch is truncated')
    sketch = _lengths.LengthSketch()
    for bucket, quarters, mean in _ENTRY.iter_unpack(data):
        if bucket >= _lengths.BUCKET_COUNT or not 0 <= mean < 1e9:
            raise ValueError('the sketch contains a bucket out of range')
        sketch.counts[bucket] = quarters / 4
        sketch.sums[bucket] = mean * quarters / 4
        sketch.weight += quarters / 4
    return sketch
