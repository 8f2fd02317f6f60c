"""Estimates the recent demand for a limit from reports. No I/O; times are milliseconds.

A sliding window of one span in constant memory: the current bucket counts in full, the previous one for the
fraction that the window still covers. A rate smoothed over ``SMOOTHING_SPANS`` tells lasting demand from a
random cluster of calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

SMOOTHING_SPANS = 5.0


@dataclass(slots=True)
class DemandEstimate:
    """Calls in spans of ``span_ms``."""

    span_ms: float
    bucket: int = 0  # the current bucket's number since time zero
    current: int = 0
    previous: int = 0
    smoothed_calls: float = 0.0  # decays over SMOOTHING_SPANS spans
    smoothed_at: float = 0.0

    def add(self, now: float, calls: int) -> None:
        """Count calls."""
        self._advance(now)
        self.current += calls
        self.smoothed_calls = self._decayed(now) + calls
        self.smoothed_at = now

    def recent(self, now: float) -> float:
        """The calls in the span that ends now, estimated from the two buckets."""
        self._advance(now)
        elapsed = now / self.span_ms - self.bucket
        return self.current + self.previous * (1.0 - elapsed)

    def smoothed(self, now: float) -> float:
        """The calls per span, averaged over the last few spans."""
        return self._decayed(now) / SMOOTHING_SPANS

    def upper_bound(self, now: float) -> int:
        """An upper bound of the calls in the span that ends now."""
        self._advance(now)
        return self.current + self.previous

    def _decayed(self, now: float) -> float:
        elapsed = max(now - self.smoothed_at, 0.0)
        return self.smoothed_calls * exp(-elapsed / (self.span_ms * SMOOTHING_SPANS))

    def _advance(self, now: float) -> None:
        bucket = int(now // self.span_ms)
        if bucket <= self.bucket:
            return
        self.previous = self.current if bucket == self.bucket + 1 else 0
        self.current = 0
        self.bucket = bucket
