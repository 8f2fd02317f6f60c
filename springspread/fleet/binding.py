"""When an adaptive limit asks for leases, and when it lets go. A pure rule: no I/O, time handed in.

Theory of operation. A limit is free while its demand is well below it: senders call without asking and report
their calls at an interval. It is bound while each call needs a lease. Events and what follows:

    status   event                                                              next
    free     the smoothed demand reaches ``BIND_AT`` of the limit               bound
    free     the same reaches ``FAILING_BIND_AT``, and the destination fails    bound
    free     a span has 2 x root of N calls more than the limit's N             bound
    free     the destination is back after it failed (``destination_health``)   bound: it may be cold
    free     the limit falls                                                    bound
    free     it is asked for while a successor learns                           bound: it was before
    bound    any of these, or somebody waits for a lease                        bound, held anew
    bound    for ``HOLD_MS`` none, and the demand is below ``RELEASE_AT``, or   free
             ``FAILING_RELEASE_AT`` where the destination fails

A destination that fails is not bound for that alone: its calls are few, as they are tried again with backoff,
and each of them would wait for a lease. What its limit has to be kept from is the moment of its return, when
all that waits for it goes out. So it is bound then, at the first sender's word, and until that word is
acknowledged no sender that met only failures makes more than one call (``key_health``).

Binding and letting go differ in threshold and in time, so that a demand near the limit does not flap.

What is promised. Let R be the interval of reports, D the way of a report or a status and the allocator's
tick, and N the limit's calls in a span.

- While bound and every sender knows: at most N in any span, as of an exact limit.
- After a jump of demand to L calls a millisecond: senders' reports come spread over R, so the allocator knows
  after R + D at the latest, gathers news for G (``sender_notifier``: GATHER_MS, after others
  BROADCAST_INTERVAL_MS), and senders know after another D. The exposure is R + G + 2 D, and ends in any case
  after ``lease_cache.FRESH_MS`` for a sender that the allocator does not reach. Calls of a span that touches
  it: at most N + 2 x root of N + L (R + G + 2 D), and never more than senders x
  ``use_ledger.MAX_UNACKNOWLEDGED`` above N + 2 x root of N, as an acknowledgement brings the status with it.
- While free with no jump: the mean is below ``BIND_AT`` of N, and a span of N + 2 x root of N + 2 calls is a
  rare accident of its spread (measured in ``benchmarks.hollow_fleet``).

Spans are those of the estimate (``demand``): it takes calls as made when they are reported, and those of the
bucket before as evenly spread. Demand that comes in heaps just under a span apart, each of less than two
thirds of N, is in most phases not seen as near the limit, and a span that holds two of them has up to a third
more than N.
"""

from __future__ import annotations

from enum import Enum
from math import inf, sqrt

from springspread.fleet.demand import DemandEstimate
from springspread.fleet.destination_health import DestinationHealth
from springspread.fleet.limits import Limit

BIND_AT = 0.75  # of the limit, as smoothed demand
RELEASE_AT = 0.5
FAILING_BIND_AT = 0.5  # of a destination that fails, whose demand grows at its return
FAILING_RELEASE_AT = 0.33
HOLD_MS = 10_000.0  # five of the usual spans: as long as the smoothing looks back


class Cause(Enum):
    """Why a limit is bound."""

    DEMAND = "demand near the limit"
    BURST = "a span over the limit"
    FAILING = "the destination fails"
    RETURNED = "the destination is back"
    LOWERED = "the limit fell"
    LEARNING = "asked for while the allocator learns"


class Binding:
    """The status of one adaptive limit, and what is known of its demand."""

    __slots__ = ("_demand", "_health", "_pressed_at", "cause", "limit")

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.cause: Cause | None = None  # why it is bound; none: it is free
        self._demand = DemandEstimate(limit.span_ms)
        self._health: DestinationHealth | None = None  # none: no call has failed
        self._pressed_at = -inf  # when there was last a reason to be bound

    def used(self, now: float, calls: int, failed: int = 0) -> Cause | None:
        """Calls were made, with or without leases; the cause if that binds the limit."""
        self._demand.add(now, calls)
        if failed and self._health is None:
            self._health = DestinationHealth(self.limit.span_ms)
        if self._health is not None and self._health.used(now, calls, failed, self._demand.recent(now)):
            return self._bind(now, Cause.RETURNED)
        return self._bind(now, self._cause(now))

    def recovered(self, now: float) -> Cause | None:
        """A sender was served after failures alone; the cause if that binds the limit.

        Its word is enough: a successor does not know that the destination failed.
        """
        if self._health is not None:
            self._health.recovered()
        return self._bind(now, Cause.RETURNED)

    def asked(self, now: float, learning: bool) -> Cause | None:
        """Somebody asks for a lease; the cause if that binds the limit."""
        return self._bind(now, Cause.LEARNING if learning else None)

    def changed(self, now: float, limit: Limit) -> Cause | None:
        """The limit is another one from now on; the cause if that binds it."""
        lowered = limit.calls * self.limit.span_ms < self.limit.calls * limit.span_ms
        if limit.span_ms != self.limit.span_ms:
            self._demand, self._health = DemandEstimate(limit.span_ms), None
        self.limit = limit
        return self._bind(now, Cause.LOWERED if lowered else None)

    def contended(self, now: float) -> None:
        """Somebody waits for a lease that is not free."""
        self._pressed_at = now

    def released(self, now: float) -> bool:
        """Whether the limit lets go now."""
        if not self.bound or now < self._pressed_at + HOLD_MS:
            return False
        if self._cause(now) is not None:
            return False
        if self._above(now, FAILING_RELEASE_AT if self._failing else RELEASE_AT):
            return False
        self.cause = None
        return True

    @property
    def bound(self) -> bool:
        """Whether each call needs a lease."""
        return self.cause is not None

    def recent_calls(self, now: float) -> int:
        """No fewer calls than were reported for the span that ends now."""
        return self._demand.at_most(now)

    def _bind(self, now: float, cause: Cause | None) -> Cause | None:
        if cause is None:
            return None
        self._pressed_at = now
        if self.bound:
            return None
        self.cause = cause
        return cause

    @property
    def _failing(self) -> bool:
        return self._health is not None and self._health.failing

    def _cause(self, now: float) -> Cause | None:
        calls = self.limit.calls
        if self._demand.recent(now) >= calls + 2.0 * sqrt(calls):
            return Cause.BURST
        if self._demand.smoothed(now) >= (FAILING_BIND_AT if self._failing else BIND_AT) * calls:
            return Cause.FAILING if self._failing else Cause.DEMAND
        return None

    def _above(self, now: float, part: float) -> bool:
        most = part * self.limit.calls
        return self._demand.smoothed(now) > most or self._demand.recent(now) > max(most, 1.0)
