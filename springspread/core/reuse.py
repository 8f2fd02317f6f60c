"""Whether a kept connection is used again: what a handshake costs against the chance that it is stale.

Theory of operation: a *break* is a connection that ended, soon and without a byte of an answer, under a
call. How often that happens is counted by how long the connection had stood idle, for all endpoints and for
each endpoint, fading with time; new connections give the rate that idleness has nothing to do with. What an
endpoint itself has shown weighs against what all have shown, and that against a guess. Longer idleness is
never taken to be safer than a shorter one. A call that may run once loses its message by a break, one that
may be repeated some milliseconds: each has its own bound on the chance that it takes. As calls of the
second kind go on trying connections that the first kind leaves alone, what was learnt can be unlearnt.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from math import exp

EDGES_MS = (25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
"""Between these lie the spans of idleness that are counted apart."""
GUESS = 0.01  # the share of stale connections that is taken for granted, above what idleness does not explain
GUESS_WEIGHT = 10.0  # the calls that the guess is worth
ENDPOINT_WEIGHT = 8.0  # the calls of an endpoint that weigh as much as what all endpoints have shown
FADE_MS = 60_000.0  # what was seen counts for a third after this


@dataclass(slots=True)
class Tally:
    """Calls and how many of them met a break; both fade."""

    at: float = 0.0
    calls: float = 0.0
    breaks: float = 0.0

    def add(self, now: float, broke: bool) -> None:
        """Count a call."""
        kept = exp((self.at - now) / FADE_MS)
        self.calls, self.breaks, self.at = self.calls * kept + 1.0, self.breaks * kept + broke, now

    def share(self, now: float, guess: float, weight: float) -> float:
        """The share of breaks, drawn to a guess that is worth so many calls."""
        kept = exp((self.at - now) / FADE_MS)
        return (self.breaks * kept + guess * weight) / (self.calls * kept + weight)


def _tallies() -> list[Tally]:
    return [Tally() for _ in range(len(EDGES_MS) + 1)]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The chance of a break by idleness that a call takes, by what it costs it."""

    once: float
    repeat: float


@dataclass(slots=True)
class Reuse:
    """What is known of all endpoints, by number. Times are milliseconds of one clock."""

    bounds: Bounds
    _fresh: Tally = field(default_factory=Tally)  # of new connections: idleness did not break these
    _all: list[Tally] = field(default_factory=_tallies)
    _endpoints: dict[int, list[Tally]] = field(default_factory=dict)

    def note(self, endpoint: int, idle_ms: float | None, broke: bool, now: float) -> None:
        """A call's connection has broken or served; ``idle_ms`` is ``None`` for a new connection."""
        if idle_ms is None:
            self._fresh.add(now, broke)
            return
        span = bisect_right(EDGES_MS, idle_ms)
        self._all[span].add(now, broke)
        self._endpoints.setdefault(endpoint, _tallies())[span].add(now, broke)

    def risk(self, endpoint: int, idle_ms: float, now: float) -> float:
        """The chance that idleness has made a connection stale."""
        base = self._fresh.share(now, 0.0, GUESS_WEIGHT)
        guess, worst = base + GUESS, 0.0
        own = self._endpoints.get(endpoint)
        for span in range(bisect_right(EDGES_MS, idle_ms) + 1):
            share = self._all[span].share(now, guess, GUESS_WEIGHT)
            if own is not None:
                share = own[span].share(now, share, ENDPOINT_WEIGHT)
            worst = max(worst, share)
        return max(worst - base, 0.0)

    def allows_reuse(self, endpoint: int, idle_ms: float, once: bool, now: float) -> bool:
        """Whether a call may go over a connection that has stood idle for so long."""
        return self.risk(endpoint, idle_ms, now) <= (self.bounds.once if once else self.bounds.repeat)

    def forget(self, endpoint: int) -> None:
        """An endpoint is gone, and what it has shown with it."""
        self._endpoints.pop(endpoint, None)
