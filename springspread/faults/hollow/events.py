"""Virtual time: a heap of events, ties in the order in which they were scheduled."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any

UPTIME_MS = 2_592_000_000.123456  # what machines' clocks show at time zero: up for thirty days


class EventQueue:
    """Runs events in the order of their time (ms); ``now`` is the time of the one that runs.

    Control code is told ``clock`` instead, as the length of what it writes goes with the digits of its times.
    """

    def __init__(self, uptime_ms: float = UPTIME_MS) -> None:
        """``uptime_ms``: what the clock shows at time zero."""
        self.now = 0.0
        self._uptime_ms = uptime_ms
        self._count = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, work: Callable[..., None], *values: Any) -> None:
        """Have ``work(*values)`` called at a time; at once where that is over."""
        self._count += 1
        heappush(self._heap, (max(when, self.now), self._count, work, values))

    @property
    def clock(self) -> float:
        """What the machines' clocks show now (ms)."""
        return self._uptime_ms + self.now

    @property
    def next_at(self) -> float:
        """The time of the next event; inf: there is none."""
        return self._heap[0][0] if self._heap else inf

    def run_until(self, end: float) -> None:
        """Run all events up to a time, and let it be that time."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, work, values = heappop(heap)
            work(*values)
        self.now = end
