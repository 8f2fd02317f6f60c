"""Calls that wait at senders for a destination that is down, and go out once it serves again.

A sender learns of the return from its own next call to the destination, which traffic draws. Then it makes
the calls that wait, the next one ``NEXT_MS`` after one was served; one that got no right is tried again
after ``AGAIN_MS``.
"""

from __future__ import annotations

from collections.abc import Callable

from springspread.faults.hollow.events import EventQueue
from springspread.fleet.key_health import OPENING_FAILURES

NEXT_MS = 5.0
AGAIN_MS = 1_000.0
FAILURES = OPENING_FAILURES  # that each sender has had of a destination that will return

Caller = Callable[[int, int], None]
"""Makes a sender's call to a destination."""


class WaitingCalls:
    """By sender and destination."""

    def __init__(self, queue: EventQueue, call: Caller) -> None:
        self._queue, self._call = queue, call
        self._left: dict[tuple[int, int], int] = {}
        self._scheduled: set[tuple[int, int]] = set()

    def add(self, sender: int, destination: int, calls: int) -> None:
        """So many calls wait."""
        self._left[sender, destination] = calls

    def served(self, sender: int, destination: int) -> None:
        """A call was served: the next one goes out soon."""
        self._schedule(sender, destination, NEXT_MS)

    def given_up(self, sender: int, destination: int) -> None:
        """A call got no right: it waits again."""
        if (sender, destination) in self._left:
            self._left[sender, destination] += 1
            self._schedule(sender, destination, AGAIN_MS)

    def _schedule(self, sender: int, destination: int, after_ms: float) -> None:
        pair = (sender, destination)
        if self._left.get(pair, 0) and pair not in self._scheduled:
            self._scheduled.add(pair)
            self._queue.at(self._queue.now + after_ms, self._next, sender, destination)

    def _next(self, sender: int, destination: int) -> None:
        pair = (sender, destination)
        self._scheduled.discard(pair)
        if self._left[pair]:
            self._left[pair] -= 1
            self._call(sender, destination)
