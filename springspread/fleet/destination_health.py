"""Whether a destination fails, by what senders report of their calls to it. No I/O; times are milliseconds.

    state     event                                                                       next
    serving   ``FAILING_CALLS`` or more failed in a span, and half of its calls           failing
    any       a sender that had only failures says that it was served                     serving: it is back
    failing   since it fails, ``FAILING_CALLS`` calls lately, fewer than half of them     serving: it is back
              failed

The second way back is for destinations that nobody called often enough to have only failures; it looks at
several spans, as a call is reported before its failure is known.
"""

from __future__ import annotations

from springspread.fleet.demand import SMOOTHING_SPANS, DemandEstimate

FAILING_CALLS = 3
FAILING_PART = 0.5


class DestinationHealth:
    """One destination, from its first failure on."""

    __slots__ = ("_calls", "_failures", "_span_ms", "failing")

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self.failing = False
        self._failures = DemandEstimate(span_ms)
        self._calls = DemandEstimate(span_ms)  # since it fails

    def used(self, now: float, calls: int, failed: int, recent_calls: float) -> bool:
        """Calls and failures are reported; whether the destination is back.

        ``recent_calls``: of the span that ends now.
        """
        self._failures.add(now, failed)
        if self.failing:
            self._calls.add(now, calls)
            return self._serves_again(now)
        recent = self._failures.recent(now)
        if recent >= FAILING_CALLS and recent >= FAILING_PART * recent_calls:
            self.failing = True
            self._forget()
        return False

    def recovered(self) -> None:
        """A sender was served after failures alone."""
        self.failing = False
        self._forget()

    def _serves_again(self, now: float) -> bool:
        calls = SMOOTHING_SPANS * self._calls.smoothed(now)
        failed = SMOOTHING_SPANS * self._failures.smoothed(now)
        if calls < FAILING_CALLS or failed >= FAILING_PART * calls:
            return False
        self.recovered()
        return True

    def _forget(self) -> None:
        self._failures, self._calls = DemandEstimate(self._span_ms), DemandEstimate(self._span_ms)
