"""Whether to reuse a kept connection: the cost of a handshake against the risk that it is stale.

Theory of operation: a *break* is a connection that ends under a call, soon and without a byte of an answer.
Breaks are counted by how long the connection was idle, for all endpoints and for each one, with exponential
decay; new connections give the base rate that idleness does not explain. An endpoint's own rate is smoothed
by that of all endpoints, and that by a prior. Longer idleness is never rated safer. A break costs a call that
may run once its message, and one that may be repeated some milliseconds: each has its own bound on the risk.
As the second kind keeps trying connections that the first kind avoids, the estimate recovers.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from math import exp

IDLE_BUCKETS_MS = (25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
"""Edges of the idle-time buckets that are counted separately."""
PRIOR_SHARE = 0.01  # assumed share of stale connections, on top of the rate of new ones
PRIOR_WEIGHT = 10.0  # calls
ENDPOINT_WEIGHT = 8.0  # calls
DECAY_MS = 60_000.0  # time constant of the exponential decay


@dataclass(slots=True)
class BreakCounts:
    """Calls and the breaks among them, with exponential decay."""

    at: float = 0.0
    calls: float = 0.0
    breaks: float = 0.0

    def add(self, now: float, broke: bool) -> None:
        """Count a call."""
        decay = exp((self.at - now) / DECAY_MS)
        self.calls, self.breaks, self.at = self.calls * decay + 1.0, self.breaks * decay + broke, now

    def break_share(self, now: float, prior: float, weight: float) -> float:
        """The share of breaks, smoothed by a prior that weighs as much as ``weight`` calls."""
        decay = exp((self.at - now) / DECAY_MS)
        return (self.breaks * decay + prior * weight) / (self.calls * decay + weight)


def _empty_buckets() -> list[BreakCounts]:
    return [BreakCounts() for _ in range(len(IDLE_BUCKETS_MS) + 1)]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The highest risk of a break that a call accepts: if it may run once, and if it may be repeated."""

    once: float
    repeat: float


@dataclass(slots=True)
class Reuse:
    """Break statistics of all endpoints, by number. Times are milliseconds of one clock."""

    bounds: Bounds
    _new_connections: BreakCounts = field(default_factory=BreakCounts)
    _all_endpoints: list[BreakCounts] = field(default_factory=_empty_buckets)
    _endpoints: dict[int, list[BreakCounts]] = field(default_factory=dict)

    def note(self, endpoint: int, idle_ms: float | None, broke: bool, now: float) -> None:
        """Record whether a call's connection broke; ``idle_ms`` is ``None`` for a new connection."""
        if idle_ms is None:
            self._new_connections.add(now, broke)
            return
        bucket = bisect_right(IDLE_BUCKETS_MS, idle_ms)
        self._all_endpoints[bucket].add(now, broke)
        self._endpoints.setdefault(endpoint, _empty_buckets())[bucket].add(now, broke)

    def risk(self, endpoint: int, idle_ms: float, now: float) -> float:
        """The probability that a connection has become stale by idleness."""
        base = self._new_connections.break_share(now, 0.0, PRIOR_WEIGHT)
        prior, highest = base + PRIOR_SHARE, 0.0
        own = self._endpoints.get(endpoint)
        for bucket in range(bisect_right(IDLE_BUCKETS_MS, idle_ms) + 1):
            break_share = self._all_endpoints[bucket].break_share(now, prior, PRIOR_WEIGHT)
            if own is not None:
                break_share = own[bucket].break_share(now, break_share, ENDPOINT_WEIGHT)
            highest = max(highest, break_share)
        return max(highest - base, 0.0)

    def allows(self, endpoint: int, idle_ms: float, once: bool, now: float) -> bool:
        """Whether a call may use a connection that has been idle for ``idle_ms``."""
        return self.risk(endpoint, idle_ms, now) <= (self.bounds.once if once else self.bounds.repeat)

    def forget(self, endpoint: int) -> None:
        """Drop the statistics of an endpoint that is gone."""
        self._endpoints.pop(endpoint, None)
