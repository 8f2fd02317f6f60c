"""Decides when calls under an adaptive limit need leases. No I/O; the time is an argument.

Theory of operation. A limit is free while its demand is well below it: senders call without asking and report
their calls at an interval. It is bound while each call needs a lease.

    status   event                                                              next
    free     the smoothed demand reaches ``BIND_AT`` of the limit               bound
    free     the same reaches ``FAILING_BIND_AT``, and the destination fails    bound
    free     a span has 2 x root of N calls more than the limit's N             bound
    free     the destination recovered (``destination_health``)                 bound: it may be cold
    free     the limit is lowered                                               bound
    free     a lease is requested while a successor learns                      bound: it was before
    bound    any of these, or somebody waits for a lease                        bound for another ``HOLD_MS``
    bound    for ``HOLD_MS`` none, and the demand is below ``RELEASE_AT``, or   free
             ``FAILING_RELEASE_AT`` where the destination fails

Failing alone does not bind a destination: its calls are few, as retries back off, and each would wait for a
lease. Its limit is at risk when it recovers and all waiting messages are sent. So the first report of a
recovery binds it, and until that report is acknowledged, no sender that saw only failures makes more than
one call (``key_health``).

Binding and release have different thresholds and a hold time, so that demand near the limit does not flap.

Guarantees. Let R be the interval of reports, D the delay of a report or a status plus the allocator's tick,
and N the limit's calls in a span.

- While bound and every sender knows: at most N in any span, as of an exact limit.
- After a jump of demand to L calls a millisecond: senders' reports are spread over R, so the allocator knows
  after R + D at the latest, batches status changes for G (``sender_notifier``: BATCH_DELAY_MS, or
  BROADCAST_INTERVAL_MS after an earlier broadcast), and senders know after another D. The exposure is
  R + G + 2 D, and at most ``lease_cache.FRESH_MS`` for a sender that the allocator does not reach. Calls of a
  span that overlaps it: at most N + 2 x root of N + L (R + G + 2 D), and never more than senders x
  ``use_ledger.MAX_UNACKNOWLEDGED`` above N + 2 x root of N, as an acknowledgement carries the status.
- While free with no jump: the mean is below ``BIND_AT`` of N, and a span of N + 2 x root of N + 2 calls is
  rare (see ``benchmarks.hollow_fleet``).

Limitation: the estimate (``demand``) takes calls as made when they are reported, and those of its previous
bucket as evenly spread. Bursts just under a span apart, each of less than two thirds of N, often go
undetected, and a span that holds two of them has up to a third more than N.
"""

from __future__ import annotations

from enum import Enum
from math import inf, sqrt

from springspread.fleet.demand import DemandEstimate
from springspread.fleet.destination_health import DestinationHealth
from springspread.fleet.limits import Limit

BIND_AT = 0.75  # smoothed demand as a fraction of the limit
RELEASE_AT = 0.5
FAILING_BIND_AT = 0.5  # lower for a failing destination, as its demand grows when it recovers
FAILING_RELEASE_AT = 0.33
HOLD_MS = 10_000.0  # five of the usual spans, as long as demand is smoothed over


class Cause(Enum):
    """Why a limit is bound."""

    DEMAND = "demand near the limit"
    BURST = "a span over the limit"
    FAILING = "the destination fails"
    RETURNED = "the destination is back"
    LOWERED = "the limit fell"
    LEARNING = "asked for while the allocator learns"


class Binding:
    """The status and demand of one adaptive limit."""

    __slots__ = ("_demand", "_health", "_last_pressure_at", "cause", "limit")

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.cause: Cause | None = None  # why it is bound; None: it is free
        self._demand = DemandEstimate(limit.span_ms)
        self._health: DestinationHealth | None = None  # None: no call has failed
        self._last_pressure_at = -inf  # when there was last a reason to be bound

    def record_calls(self, now: float, calls: int, failed: int = 0) -> Cause | None:
        """Record calls, made with or without leases; the cause if they bind the limit."""
        self._demand.add(now, calls)
        if failed and self._health is None:
            self._health = DestinationHealth(self.limit.span_ms)
        if self._health is not None and self._health.record(now, calls, failed, self._demand.recent(now)):
            return self._bind(now, Cause.RETURNED)
        return self._bind(now, self._cause_to_bind(now))

    def recovered(self, now: float) -> Cause | None:
        """Record a sender's success after only failures; the cause if that binds the limit.

        Binds even if no failure is known here: a successor does not know that the destination failed.
        """
        if self._health is not None:
            self._health.record_recovery()
        return self._bind(now, Cause.RETURNED)

    def record_request(self, now: float, learning: bool) -> Cause | None:
        """Record a request for a lease; the cause if that binds the limit."""
        return self._bind(now, Cause.LEARNING if learning else None)

    def change_limit(self, now: float, limit: Limit) -> Cause | None:
        """Replace the limit; the cause if that binds it."""
        lowered = limit.calls * self.limit.span_ms < self.limit.calls * limit.span_ms
        if limit.span_ms != self.limit.span_ms:
            self._demand, self._health = DemandEstimate(limit.span_ms), None
        self.limit = limit
        return self._bind(now, Cause.LOWERED if lowered else None)

    def record_contention(self, now: float) -> None:
        """Record that somebody waits for a lease."""
        self._last_pressure_at = now

    def try_release(self, now: float) -> bool:
        """Release the limit if nothing requires it to stay bound; whether it was released."""
        if not self.bound or now < self._last_pressure_at + HOLD_MS:
            return False
        if self._cause_to_bind(now) is not None:
            return False
        if self._demand_above(now, FAILING_RELEASE_AT if self._failing else RELEASE_AT):
            return False
        self.cause = None
        return True

    @property
    def bound(self) -> bool:
        """Whether each call needs a lease."""
        return self.cause is not None

    def recent_calls(self, now: float) -> int:
        """An upper bound of the calls reported for the span that ends now."""
        return self._demand.upper_bound(now)

    def _bind(self, now: float, cause: Cause | None) -> Cause | None:
        if cause is None:
            return None
        self._last_pressure_at = now
        if self.bound:
            return None
        self.cause = cause
        return cause

    @property
    def _failing(self) -> bool:
        return self._health is not None and self._health.failing

    def _cause_to_bind(self, now: float) -> Cause | None:
        calls = self.limit.calls
        if self._demand.recent(now) >= calls + 2.0 * sqrt(calls):
            return Cause.BURST
        if self._demand.smoothed(now) >= (FAILING_BIND_AT if self._failing else BIND_AT) * calls:
            return Cause.FAILING if self._failing else Cause.DEMAND
        return None

    def _demand_above(self, now: float, fraction: float) -> bool:
        threshold = fraction * self.limit.calls
        return self._demand.smoothed(now) > threshold or self._demand.recent(now) > max(threshold, 1.0)
