"""Virtual time: a heap of events; ties run in the order of scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any

UPTIME_MS = 2_592_000_000.123456  # the clocks' value at time zero: thirty days of uptime


class EventQueue:
    """Runs events in the order of their time (ms); ``now`` is the time of the current event.

    Control code gets ``clock`` instead: the encoded length of times depends on their number of digits.
    """

    def __init__(self, uptime_ms: float = UPTIME_MS) -> None:
        """``uptime_ms``: the value of ``clock`` at time zero."""
        self.now = 0.0
        self._uptime_ms = uptime_ms
        self._count = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule ``callback(*arguments)`` at a time, or immediately if it is in the past."""
        self._count += 1
        heappush(self._heap, (max(when, self.now), self._count, callback, arguments))

    @property
    def clock(self) -> float:
        """The current value of the machines' clocks (ms)."""
        return self._uptime_ms + self.now

    @property
    def next_at(self) -> float:
        """The time of the next event; inf if there is none."""
        return self._heap[0][0] if self._heap else inf

    def run_until(self, end: float) -> None:
        """Run all events up to a time and advance ``now`` to it."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, callback, arguments = heappop(heap)
            callback(*arguments)
        self.now = end
