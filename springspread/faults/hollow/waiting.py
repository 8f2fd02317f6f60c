"""Calls that wait at senders for a destination that is down and are made once it has recovered.

A sender learns of the recovery from its next regular call to the destination. It then makes the waiting
calls, each ``NEXT_CALL_MS`` after the last one was served; one that got no lease is retried after
``RETRY_MS``.
"""

from __future__ import annotations

from collections.abc import Callable

from springspread.faults.hollow.events import EventQueue
from springspread.fleet.key_health import OPENING_FAILURES

NEXT_CALL_MS = 5.0
RETRY_MS = 1_000.0
PRIOR_FAILURES = OPENING_FAILURES  # of each sender, at a destination that will recover

Caller = Callable[[int, int], None]
"""Makes a sender's call to a destination."""


class WaitingCalls:
    """Waiting calls by sender and destination."""

    def __init__(self, queue: EventQueue, call: Caller) -> None:
        self._queue, self._call = queue, call
        self._remaining: dict[tuple[int, int], int] = {}
        self._scheduled: set[tuple[int, int]] = set()

    def add(self, sender: int, destination: int, calls: int) -> None:
        """Set the number of waiting calls."""
        self._remaining[sender, destination] = calls

    def served(self, sender: int, destination: int) -> None:
        """A call was served: schedule the next one."""
        self._schedule(sender, destination, NEXT_CALL_MS)

    def given_up(self, sender: int, destination: int) -> None:
        """A call got no lease: it waits again."""
        if (sender, destination) in self._remaining:
            self._remaining[sender, destination] += 1
            self._schedule(sender, destination, RETRY_MS)

    def _schedule(self, sender: int, destination: int, after_ms: float) -> None:
        pair = (sender, destination)
        if self._remaining.get(pair, 0) and pair not in self._scheduled:
            self._scheduled.add(pair)
            self._queue.at(self._queue.now + after_ms, self._next, sender, destination)

    def _next(self, sender: int, destination: int) -> None:
        pair = (sender, destination)
        self._scheduled.discard(pair)
        if self._remaining[pair]:
            self._remaining[pair] -= 1
            self._call(sender, destination)
