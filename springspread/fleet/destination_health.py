"""Detects from senders' reports whether a destination is failing. No I/O; times are milliseconds.

    state     event                                                                  next
    serving   at least ``FAILING_CALLS`` and half of the calls in a span failed      failing
    any       a sender that had only failures reports a success                      serving (recovered)
    failing   ``FAILING_CALLS`` calls since then, fewer than half of them failed     serving (recovered)

The last transition covers destinations that no sender calls often enough to see only failures. It looks at
several spans, because a call is reported before its failure is known.
"""

from __future__ import annotations

from springspread.fleet.demand import SMOOTHING_SPANS, DemandEstimate

FAILING_CALLS = 3
FAILING_FRACTION = 0.5


class DestinationHealth:
    """One destination, from its first failure on."""

    __slots__ = ("_calls", "_failures", "_span_ms", "failing")

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self.failing = False
        self._failures = DemandEstimate(span_ms)
        self._calls = DemandEstimate(span_ms)  # since it began to fail

    def record(self, now: float, calls: int, failed: int, recent_calls: float) -> bool:
        """Record reported calls and failures; whether the destination has recovered.

        ``recent_calls``: the calls in the span that ends now.
        """
        self._failures.add(now, failed)
        if self.failing:
            self._calls.add(now, calls)
            return self._has_recovered(now)
        recent = self._failures.recent(now)
        if recent >= FAILING_CALLS and recent >= FAILING_FRACTION * recent_calls:
            self.failing = True
            self._reset()
        return False

    def record_recovery(self) -> None:
        """Record that a sender had a success after only failures."""
        self.failing = False
        self._reset()

    def _has_recovered(self, now: float) -> bool:
        calls = SMOOTHING_SPANS * self._calls.smoothed(now)
        failed = SMOOTHING_SPANS * self._failures.smoothed(now)
        if calls < FAILING_CALLS or failed >= FAILING_FRACTION * calls:
            return False
        self.record_recovery()
        return True

    def _reset(self) -> None:
        self._failures, self._calls = DemandEstimate(self._span_ms), DemandEstimate(self._span_ms)
