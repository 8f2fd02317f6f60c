"""When the list is requested again after a failure, and when it may not be used: no clock, no I/O.

Pauses double from a first to a longest one with random jitter, wider in larger fleets, so that senders that
failed at the same moment do not retry together. Small fleets pause less, so that any fleet makes about as
many requests as one of ``FULL_FLEET`` senders. An agent that lists are pushed to runs on the sender's own
machine and is asked again at a short, constant interval. No pause outlasts the time that the driver gives
with the failure (``core.watch``). The driver also says from when on the list is outdated: no call is decided
then until an update arrives, or that period ends.
"""

from __future__ import annotations

from math import inf, log2
from random import Random

from springspread.interface import Listed, Settings

FIRST_PAUSE_MS = 1000.0  # for ``FULL_FLEET`` senders or more
FULL_FLEET = 40.0  # senders
MIN_FIRST_PAUSE_MS = 200.0
SMALL_FLEET_MAX_PAUSE_MS = 1000.0  # leaves room for several requests before an answer has to be there
AGENT_PAUSE_MS = 100.0
REQUEST_TIMEOUT_MS = 5000.0  # a request without an answer is made again after this


class ListRetry:
    """Schedules list requests; ``next_at`` is ``inf`` while a watch is open. Times are milliseconds."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings, self._random = settings, random
        self.next_at = 0.0 if settings.must_ask else inf
        self._pause = self._first_pause()
        self.outdated_from = self.outdated_until = inf

    def failed(self, now: float, event: Listed) -> None:
        """Schedule the next request after a failed one, at ``event.ask_by_ms`` at the latest."""
        self.outdated_from, self.outdated_until = event.outdated_from_ms, event.outdated_until_ms
        fraction, spread = self._random.random(), max(1.0, log2(self.settings.senders) / 2)
        left_ms = max(event.ask_by_ms - now, 0.0) * (0.2 + 0.8 * fraction)
        self.next_at = now + min(self._pause * (0.5 + spread * fraction), left_ms)
        self._pause = min(2 * self._pause, self._longest_pause())

    def answered(self) -> None:
        """Stop requesting: a request was answered and the driver keeps watching."""
        self.next_at, self._pause = inf, self._first_pause()
        self.outdated_from = self.outdated_until = inf

    def outdated(self, now: float) -> bool:
        """Whether the list is too old to send calls by it."""
        return self.outdated_from <= now < self.outdated_until

    def due(self, now: float) -> bool:
        """Whether to make a request now."""
        if now < self.next_at:
            return False
        self.next_at = now + REQUEST_TIMEOUT_MS
        return True

    def _scale(self) -> float:
        return min(self.settings.senders / FULL_FLEET, 1.0) if self.settings.must_ask else 0.0

    def _first_pause(self) -> float:
        min_pause_ms = MIN_FIRST_PAUSE_MS if self.settings.must_ask else AGENT_PAUSE_MS
        return max(FIRST_PAUSE_MS * self._scale(), min_pause_ms)

    def _longest_pause(self) -> float:
        if not self.settings.must_ask:
            return AGENT_PAUSE_MS
        return max(self.settings.rules.ask_within_ms / 2 * self._scale(), SMALL_FLEET_MAX_PAUSE_MS)
