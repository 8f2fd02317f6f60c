"""When the list is asked for again after a failure, and when it is acted on no more: no clock, no I/O.

Theory of operation. Pauses double from a first one to a longest one and are drawn apart, wider in larger
fleets, so that senders that failed in the same moment do not come back in step. Fewer senders pause less,
so that a fleet of any size asks about as often as one of ``FLEET``; an agent that lists are pushed to is on
the sender's own machine and is asked again at a short, steady pace. No pause outlasts the time that the
driver gives with the failure (``core.watch``): by then an answer has to be on its way. The driver also says
from when on the list is outdated; then no call is decided until news of it comes, or that time is over.
"""

from __future__ import annotations

from math import inf, log2
from random import Random

from springspread.interface import Listed, Settings

FIRST_MS = 1000.0  # the first pause in a fleet of ``FLEET`` senders or more
FLEET = 40.0
LEAST_MS = 200.0  # no first pause is shorter
LONGEST_MS = 1000.0  # small fleets' longest pause: several requests fit into the 6 s to an answer
AGENT_MS = 100.0  # the pause where lists are pushed
UNANSWERED_MS = 5000.0  # a request that was asked for and brought no word is asked for again after this


class ListRetry:
    """The time of the next request; ``inf`` while a watch is open. Times are milliseconds."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings, self._random = settings, random
        self.next_at = 0.0 if settings.must_ask else inf
        self._pause = self._first_pause()
        self.outdated_from = self.outdated_until = inf

    def failed(self, now: float, event: Listed) -> None:
        """A request failed; the next one goes by ``event.ask_by_ms`` at the latest."""
        self.outdated_from, self.outdated_until = event.outdated_from_ms, event.outdated_until_ms
        part, spread = self._random.random(), max(1.0, log2(self.settings.senders) / 2)
        left = max(event.ask_by_ms - now, 0.0) * (0.2 + 0.8 * part)
        self.next_at = now + min(self._pause * (0.5 + spread * part), left)
        self._pause = min(2 * self._pause, self._longest_pause())

    def answered(self) -> None:
        """A request was answered, and the driver watches on."""
        self.next_at, self._pause = inf, self._first_pause()
        self.outdated_from = self.outdated_until = inf

    def outdated(self, now: float) -> bool:
        """Whether no call may be decided by the list that is held."""
        return self.outdated_from <= now < self.outdated_until

    def due(self, now: float) -> bool:
        """Whether a request is to go now."""
        if now < self.next_at:
            return False
        self.next_at = now + UNANSWERED_MS
        return True

    def _scale(self) -> float:
        return min(self.settings.senders / FLEET, 1.0) if self.settings.must_ask else 0.0

    def _first_pause(self) -> float:
        least = LEAST_MS if self.settings.must_ask else AGENT_MS
        return max(FIRST_MS * self._scale(), least)

    def _longest_pause(self) -> float:
        if not self.settings.must_ask:
            return AGENT_MS
        return max(self.settings.rules.ask_within_ms / 2 * self._scale(), LONGEST_MS)
