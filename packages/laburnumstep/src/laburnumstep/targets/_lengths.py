"""Estimation of answer lengths from observed lengths.

Distributions are learned online for each workspace and model.
"""

from __future__ import annotations

import math

import attrs

BUCKETS_PER_OCTAVE = 2
"""Number of buckets for each doubling of the length. The upper bound of a
bucket is 41% above its lower bound."""
BUCKET_COUNT = 40
"""Number of buckets; the last one begins above 700,000 tokens."""
MAX_WEIGHT = 2000.0
"""Weight above which the weights of all observations are halved, so that newer
observations prevail."""
PRIOR_WEIGHT = 8.0
"""Weight of the model's distribution when it is blended with that of a
workspace, in observations."""
PRIOR_LENGTHS = (16, 64, 128, 256, 512, 1024)
"""Lengths assumed for a model with few observations, in tokens."""
MAX_SKETCHES = 5_000
"""Maximum number of pairs of workspace and model with a distribution."""
MAX_CACHED = 20_000
"""Maximum number of cached quantiles."""
VERSION_GROWTH = 1.05
"""Growth factor of the weight at which the version of a distribution is
incremented and values cached for the old version expire."""


def get_bucket(tokens: float) -> int:
    """Return the index of the bucket of a length in tokens."""
    if tokens < 1:
        return 0
    index = int(math.log2(tokens) * BUCKETS_PER_OCTAVE)
    return min(index, BUCKET_COUNT - 1)


def get_lower_bound(bucket: int) -> float:
    """Return the shortest length of a bucket, in tokens."""
    return float(2 ** (bucket / BUCKETS_PER_OCTAVE)) if bucket else 0.0


@attrs.define
class LengthSketch:
    """A histogram of lengths with logarithmic buckets."""

    counts: dict[int, float] = attrs.field(factory=dict)
    """Weight of each bucket."""
    sums: dict[int, float] = attrs.field(factory=dict)
    """Weighted sum of the lengths of each bucket, in tokens."""
    weight: float = 0.0
    """Weight of all buckets."""
    version: int = 0
    """Incremented when the weight has grown by `VERSION_GROWTH`."""
    _version_weight: float = 0.0

    def observe(self, tokens: int, weight: float = 1.0) -> None:
        """Add one observed length, in tokens."""
        bucket = get_bucket(tokens)
        self.counts[bucket] = self.counts.get(bucket, 0.0) + weight
        self.sums[bucket] = self.sums.get(bucket, 0.0) + tokens * weight
        self.weight += weight
        self._update_version_and_decay()

    def merge(self, other: LengthSketch) -> None:
        """Add the observations of another sketch."""
        for bucket, count in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0.0) + count
            added = other.sums.get(bucket, 0.0)
            self.sums[bucket] = self.sums.get(bucket, 0.0) + added
        self.weight += other.weight
        self._update_version_and_decay()

    def estimate_residual(self) -> float:
        """Return the mean residual length, in tokens.

        It is the second moment over twice the mean, the mean remaining
        length of an answer that is observed at a random time.
        """
        first = sum(self.sums.values())
        second = sum(
            total * total / self.counts[bucket]
            for bucket, total in self.sums.items()
            if self.counts[bucket] > 0
        )
        return second / (2.0 * first) if first > 0 else 0.0

    def list_tail(self, so_far: float) -> list[tuple[float, float]]:
        """Return (remaining length, weight) of the lengths above `so_far`.

        Args:
            so_far: Tokens that have been produced.
        """
        tail = []
        first = get_bucket(so_far)
        for bucket, count in self.counts.items():
            if bucket < first or count <= 0:
                continue
            mean = self.sums[bucket] / count
            if bucket > first:
                tail.append((mean - so_far, count))
                continue
            low = get_lower_bound(bucket)
            high = get_lower_bound(bucket + 1)
            # Lengths are assumed to be uniform within the bucket that
            # contains `so_far`.
            fraction = min(1.0, (high - so_far) / (high - low))
            if fraction > 0:
                if so_far <= low:
                    remaining = mean - so_far
                else:
                    remaining = (high - so_far) / 2
                tail.append((max(remaining, 0.0), count * fraction))
        return tail

    def _update_version_and_decay(self) -> None:
        if self.weight > VERSION_GROWTH * self._version_weight:
            self.version += 1
            self._version_weight = self.weight
        while self.weight > MAX_WEIGHT:
            for bucket in self.counts:
                self.counts[bucket] *= 0.5
                self.sums[bucket] *= 0.5
            self.weight *= 0.5
            self._version_weight = self.weight


class LengthEstimator:
    """Estimates the lengths of answers from the lengths observed so far.

    The distribution of a workspace and model is blended with the
    distribution of the model over all workspaces, which has a weight of
    `PRIOR_WEIGHT` observations.
    """

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], LengthSketch] = {}
        self._models: dict[str, LengthSketch] = {}
        self._changes: dict[tuple[str, str], LengthSketch] = {}
        self._residuals: dict[str, tuple[int, float]] = {}
        self._totals: dict[
            tuple[str, str, int, float], tuple[int, int, float]
        ] = {}

    def observe(self, workspace: str, model: str, tokens: int) -> None:
        """Add the length of a complete answer, in tokens."""
        pair = (workspace, model)
        self._ensure_pair(workspace, model).observe(tokens)
        self._models.setdefault(model, LengthSketch()).observe(tokens)
        if pair in self._changes or len(self._changes) < MAX_SKETCHES:
            self._changes.setdefault(pair, LengthSketch()).observe(tokens)

    def take_changes(self, limit: int) -> list[tuple[str, str, LengthSketch]]:
        """Return and clear observations of this VM to send to siblings.

        Each observation is returned once, so that a sibling that merges
        all sketches it receives counts no observation twice.

        Args:
            limit: Maximum number of pairs of workspace and model.
        """
        pairs = list(self._changes)[:limit]
        return [(*pair, self._changes.pop(pair)) for pair in pairs]

    def merge(self, workspace: str, model: str, sketch: LengthSketch) -> None:
        """Add the observations of another VM."""
        self._ensure_pair(workspace, model).merge(sketch)
        self._models.setdefault(model, LengthSketch()).merge(sketch)

    def get_sketch(self, workspace: str, model: str) -> LengthSketch | None:
        """Return the distribution of a workspace and model, or None."""
        return self._pairs.get((workspace, model))

    def estimate_residual(self, model: str) -> float:
        """Return the mean remaining length of requests in progress.

        Long answers are in progress for longer, so the mean remaining
        length is the second moment over twice the mean, not half the mean.
        """
        sketch = self._models.get(model)
        if sketch is None or sketch.weight < PRIOR_WEIGHT:
            squares = sum(length**2 for length in PRIOR_LENGTHS)
            return squares / (2.0 * sum(PRIOR_LENGTHS))
        cached = self._residuals.get(model)
        if cached is not None and cached[0] == sketch.version:
            return cached[1]
        residual = sketch.estimate_residual()
        self._residuals[model] = (sketch.version, residual)
        return residual

    def expect_remaining(
        self, workspace: str, model: str, so_far: float
    ) -> float:
        """Return the expected number of tokens still to be produced."""
        tail = self._list_tail(workspace, model, so_far)
        weight = sum(count for _, count in tail)
        if weight <= 0:
            # The answer is longer than all observed ones. With a heavy
            # tail, the remaining length grows with the current length.
            return max(1.0, so_far)
        return sum(remaining * count for remaining, count in tail) / weight

    def find_quantile(
        self, workspace: str, model: str, so_far: float, quantile: float
    ) -> float:
        """Return a quantile of the number of tokens still to be produced."""
        tail = sorted(self._list_tail(workspace, model, so_far))
        weight = sum(count for _, count in tail)
        if weight <= 0:
            return max(1.0, so_far)
        reached = 0.0
        for remaining, count in tail:
            reached += count
            if reached >= quantile * weight:
                return remaining
        return tail[-1][0]

    def estimate_total(
        self, workspace: str, model: str, bucket: int, quantile: float
    ) -> float:
        """Return a quantile of the total length, in tokens.

        Placement needs it for each send on each candidate, so the value is
        cached until the version of one of the distributions changes.

        Args:
            workspace: Name of the workspace.
            model: Name of the model.
            bucket: Bucket of the current length of the answer.
            quantile: Quantile of the lengths, from 0 to 1.
        """
        pair = self._pairs.get((workspace, model))
        model_sketch = self._models.get(model)
        pair_version = pair.version if pair is not None else 0
        model_version = model_sketch.version if model_sketch is not None else 0
        key = (workspace, model, bucket, quantile)
        cached = self._totals.get(key)
        if cached is not None and cached[:2] == (pair_version, model_version):
            return cached[2]
        so_far = get_lower_bound(bucket)
        total = so_far + self.find_quantile(workspace, model, so_far, quantile)
        if len(self._totals) >= MAX_CACHED:
            self._totals.clear()
        self._totals[key] = (pair_version, model_version, total)
        return total

    def _list_tail(
        self, workspace: str, model: str, so_far: float
    ) -> list[tuple[float, float]]:
        pair = self._pairs.get((workspace, model))
        tail = pair.list_tail(so_far) if pair is not None else []
        model_sketch = self._models.get(model)
        if model_sketch is not None:
            scale = PRIOR_WEIGHT / max(model_sketch.weight, PRIOR_WEIGHT)
            tail += [
                (remaining, count * scale)
                for remaining, count in model_sketch.list_tail(so_far)
            ]
        if model_sketch is None or model_sketch.weight < PRIOR_WEIGHT:
            tail += [
                (float(length - so_far), 1.0 / len(PRIOR_LENGTHS))
                for length in PRIOR_LENGTHS
                if length > so_far
            ]
        return tail

    def _ensure_pair(self, workspace: str, model: str) -> LengthSketch:
        pair = (workspace, model)
        sketch = self._pairs.pop(pair, None)
        if sketch is None:
            sketch = LengthSketch()
            while len(self._pairs) >= MAX_SKETCHES:
                del self._pairs[next(iter(self._pairs))]
        # Move the pair to the end, so that the first one is the least
        # recently used.
        self._pairs[pair] = sketch
        return sketch
