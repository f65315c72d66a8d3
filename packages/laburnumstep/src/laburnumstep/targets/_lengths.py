"""Lengths of answers, learned online for each workspace and model."""

from __future__ import annotations

import math

import attrs

BUCKETS_PER_OCTAVE = 2
"""Buckets for each doubling of the length; each is 41% wide."""
BUCKET_COUNT = 40
"""Number of buckets; the last one begins above 700,000 tokens."""
MAX_WEIGHT = 2000.0
"""Weight at which older observations begin to be forgotten."""
PRIOR_WEIGHT = 8.0
"""Weight of the model's distribution where a workspace is little known."""
PRIOR_LENGTHS = (16, 64, 128, 256, 512, 1024)
"""Lengths assumed of a model of which nothing is known, in tokens."""
MAX_SKETCHES = 5_000
"""Pairs of workspace and model that are kept."""
MAX_CACHED = 20_000
"""Quantiles that are kept until their distributions change."""
CHANGE = 1.05
"""Growth of the weight after which a distribution counts as changed."""


def find_bucket(tokens: float) -> int:
    """Return the bucket of a length in tokens."""
    if tokens < 1:
        return 0
    index = int(math.log2(tokens) * BUCKETS_PER_OCTAVE)
    return min(index, BUCKET_COUNT - 1)


def find_lower_bound(bucket: int) -> float:
    """Return the shortest length of a bucket, in tokens."""
    return float(2 ** (bucket / BUCKETS_PER_OCTAVE)) if bucket else 0.0


@attrs.define
class LengthSketch:
    """A distribution of lengths in logarithmic buckets."""

    counts: dict[int, float] = attrs.field(factory=dict)
    """Weight of each bucket."""
    sums: dict[int, float] = attrs.field(factory=dict)
    """Weighted sum of the lengths of each bucket, in tokens."""
    weight: float = 0.0
    """Weight of all buckets."""
    version: int = 0
    """Raised whenever the distribution has changed noticeably."""
    _version_weight: float = 0.0

    def observe(self, tokens: int, weight: float = 1.0) -> None:
        """Add one length."""
        bucket = find_bucket(tokens)
        self.counts[bucket] = self.counts.get(bucket, 0.0) + weight
        self.sums[bucket] = self.sums.get(bucket, 0.0) + tokens * weight
        self.weight += weight
        self._settle()

    def merge(self, other: LengthSketch) -> None:
        """Add the observations of another sketch."""
        for bucket, count in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0.0) + count
            added = other.sums.get(bucket, 0.0)
            self.sums[bucket] = self.sums.get(bucket, 0.0) + added
        self.weight += other.weight
        self._settle()

    def expect_residual(self) -> float:
        """Return the second moment over twice the mean, in tokens."""
        first = sum(self.sums.values())
        second = sum(
            total * total / self.counts[bucket]
            for bucket, total in self.sums.items()
            if self.counts[bucket] > 0
        )
        return second / (2.0 * first) if first > 0 else 0.0

    def list_tail(self, so_far: float) -> list[tuple[float, float]]:
        """Return (remaining length, weight) of lengths beyond `so_far`."""
        tail = []
        first = find_bucket(so_far)
        for bucket, count in self.counts.items():
            if bucket < first or count <= 0:
                continue
            mean = self.sums[bucket] / count
            if bucket > first:
                tail.append((mean - so_far, count))
                continue
            low = find_lower_bound(bucket)
            high = find_lower_bound(bucket + 1)
            # Lengths are taken as even within the bucket of `so_far`.
            share = min(1.0, (high - so_far) / (high - low))
            if share > 0:
                if so_far <= low:
                    left = mean - so_far
                else:
                    left = (high - so_far) / 2
                tail.append((max(left, 0.0), count * share))
        return tail

    def _settle(self) -> None:
        if self.weight > CHANGE * self._version_weight:
            self.version += 1
            self._version_weight = self.weight
        while self.weight > MAX_WEIGHT:
            for bucket in self.counts:
                self.counts[bucket] *= 0.5
                self.sums[bucket] *= 0.5
            self.weight *= 0.5
            self._version_weight = self.weight


class LengthEstimator:
    """Expected remaining lengths without an oracle.

    A workspace's own distribution for a model is blended with the model's,
    which counts as `PRIOR_WEIGHT` observations.
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
        """Record the length of a complete answer, in tokens."""
        pair = (workspace, model)
        self._find_pair(workspace, model).observe(tokens)
        self._models.setdefault(model, LengthSketch()).observe(tokens)
        if pair in self._changes or len(self._changes) < MAX_SKETCHES:
            self._changes.setdefault(pair, LengthSketch()).observe(tokens)

    def take_changes(self, limit: int) -> list[tuple[str, str, LengthSketch]]:
        """Return own observations that siblings were not told of yet.

        Each is returned once, so a sibling that merges what it receives
        counts no observation twice.

        Args:
            limit: Most pairs of workspace and model to return.
        """
        pairs = list(self._changes)[:limit]
        return [(*pair, self._changes.pop(pair)) for pair in pairs]

    def merge(self, workspace: str, model: str, sketch: LengthSketch) -> None:
        """Add observations that another VM made."""
        self._find_pair(workspace, model).merge(sketch)
        self._models.setdefault(model, LengthSketch()).merge(sketch)

    def get_sketch(self, workspace: str, model: str) -> LengthSketch | None:
        """Return the distribution of a workspace and model, if any."""
        return self._pairs.get((workspace, model))

    def expect_residual(self, model: str) -> float:
        """Return the mean remaining length of requests seen in progress.

        Long answers are in progress for longer, so the mean of what is
        left is the second moment over twice the mean, not half the mean.
        """
        sketch = self._models.get(model)
        if sketch is None or sketch.weight < PRIOR_WEIGHT:
            squares = sum(length**2 for length in PRIOR_LENGTHS)
            return squares / (2.0 * sum(PRIOR_LENGTHS))
        known = self._residuals.get(model)
        if known is not None and known[0] == sketch.version:
            return known[1]
        residual = sketch.expect_residual()
        self._residuals[model] = (sketch.version, residual)
        return residual

    def expect_remaining(
        self, workspace: str, model: str, so_far: float
    ) -> float:
        """Return the mean number of tokens still to come."""
        tail = self._list_tail(workspace, model, so_far)
        weight = sum(count for _, count in tail)
        if weight <= 0:
            # Beyond all that was seen: heavy tails grow with what is past.
            return max(1.0, so_far)
        return sum(left * count for left, count in tail) / weight

    def find_quantile(
        self, workspace: str, model: str, so_far: float, quantile: float
    ) -> float:
        """Return a quantile of the number of tokens still to come."""
        tail = sorted(self._list_tail(workspace, model, so_far))
        weight = sum(count for _, count in tail)
        if weight <= 0:
            return max(1.0, so_far)
        reached = 0.0
        for left, count in tail:
            reached += count
            if reached >= quantile * weight:
                return left
        return tail[-1][0]

    def find_total(
        self, workspace: str, model: str, bucket: int, quantile: float
    ) -> float:
        """Return a quantile of the whole length, in tokens.

        Placement asks for each send that it looks at, so the value is kept
        until a distribution has changed noticeably.

        Args:
            workspace: Name of the workspace.
            model: Name of the model.
            bucket: Bucket that the answer has reached.
            quantile: From 0 to 1.
        """
        pair = self._pairs.get((workspace, model))
        known = self._models.get(model)
        pair_version = pair.version if pair is not None else 0
        model_version = known.version if known is not None else 0
        key = (workspace, model, bucket, quantile)
        cached = self._totals.get(key)
        if cached is not None and cached[:2] == (pair_version, model_version):
            return cached[2]
        so_far = find_lower_bound(bucket)
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
        known = self._models.get(model)
        if known is not None:
            scale = PRIOR_WEIGHT / max(known.weight, PRIOR_WEIGHT)
            tail += [
                (left, count * scale)
                for left, count in known.list_tail(so_far)
            ]
        if known is None or known.weight < PRIOR_WEIGHT:
            tail += [
                (float(length - so_far), 1.0 / len(PRIOR_LENGTHS))
                for length in PRIOR_LENGTHS
                if length > so_far
            ]
        return tail

    def _find_pair(self, workspace: str, model: str) -> LengthSketch:
        pair = (workspace, model)
        sketch = self._pairs.pop(pair, None)
        if sketch is None:
            sketch = LengthSketch()
            while len(self._pairs) >= MAX_SKETCHES:
                del self._pairs[next(iter(self._pairs))]
        # The pair moves to the end: the least recently used one is dropped.
        self._pairs[pair] = sketch
        return sketch
