"""Which destinations there are: those that discovery names, or has named lately."""

from __future__ import annotations

from springspread.core.clock import Clock


class KnownDestinations:
    """Destinations (groups of endpoints) that messages may go to. Times are milliseconds of one clock.

    ``listed``: whether discovery itself has answered with a list, or with changes to the one that is held.
    """

    def __init__(self, kept_ms: float, clock: Clock) -> None:
        """``kept_ms``: how long a destination without an endpoint is known."""
        self._kept_ms, self._clock = kept_ms, clock
        self._seen: dict[int, float] = {}  # when each was last seen with an endpoint
        self.listed = False

    def note(self, groups: set[int], listed: bool) -> None:
        """Take in the groups that have an endpoint now."""
        now = self._clock.now()
        self.listed = self.listed or listed
        self._seen.update(dict.fromkeys(groups, now))
        for group in [group for group, at in self._seen.items() if now - at > self._kept_ms]:
            del self._seen[group]

    def knows(self, group: int) -> bool:
        """Whether messages may go there."""
        return group in self._seen
