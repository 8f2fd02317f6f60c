"""How many calls a limit's span has had lately, from reports. No I/O; times are milliseconds.

Two buckets of one span each make a sliding window in constant memory: the bucket that runs counts whole, the
one before in the part of it that the window still covers. A smoothed rate over ``SMOOTHING_SPANS`` tells a
lasting demand from a chance heap of calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

SMOOTHING_SPANS = 5.0


@dataclass(slots=True)
class DemandEstimate:
    """Calls in spans of ``span_ms``."""

    span_ms: float
    bucket: int = 0  # the running bucket's number since time zero
    running: int = 0
    before: int = 0
    smoothed_calls: float = 0.0  # decays over SMOOTHING_SPANS spans
    smoothed_at: float = 0.0

    def add(self, now: float, calls: int) -> None:
        """Calls were made."""
        self._advance(now)
        self.running += calls
        self.smoothed_calls = self._decayed(now) + calls
        self.smoothed_at = now

    def recent(self, now: float) -> float:
        """Calls in the span that ends now, as a sliding window of two buckets has it."""
        self._advance(now)
        elapsed = now / self.span_ms - self.bucket
        return self.running + self.before * (1.0 - elapsed)

    def smoothed(self, now: float) -> float:
        """Calls in a mean span of the last few."""
        return self._decayed(now) / SMOOTHING_SPANS

    def at_most(self, now: float) -> int:
        """No fewer calls than the span that ends now has had."""
        self._advance(now)
        return self.running + self.before

    def _decayed(self, now: float) -> float:
        elapsed = max(now - self.smoothed_at, 0.0)
        return self.smoothed_calls * exp(-elapsed / (self.span_ms * SMOOTHING_SPANS))

    def _advance(self, now: float) -> None:
        bucket = int(now // self.span_ms)
        if bucket <= self.bucket:
            return
        self.before = self.running if bucket == self.bucket + 1 else 0
        self.running = 0
        self.bucket = bucket
