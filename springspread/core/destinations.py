"""Known destinations: those that discovery lists, or has listed lately."""

from __future__ import annotations

from springspread.core.clock import Clock


class KnownDestinations:
    """Destinations (groups of endpoints) that messages may be sent to. Times are milliseconds of one clock.

    ``listed``: whether discovery has answered yet, with a list or with changes to the cached one.
    """

    def __init__(self, kept_ms: float, clock: Clock) -> None:
        """``kept_ms``: how long a destination without endpoints stays known."""
        self._kept_ms, self._clock = kept_ms, clock
        self._last_seen: dict[int, float] = {}  # when it last had an endpoint
        self.listed = False

    def note(self, groups: set[int], listed: bool) -> None:
        """Record the groups that have an endpoint now."""
        now = self._clock.now()
        self.listed = self.listed or listed
        self._last_seen.update(dict.fromkeys(groups, now))
        for group in [group for group, at in self._last_seen.items() if now - at > self._kept_ms]:
            del self._last_seen[group]

    def knows(self, group: int) -> bool:
        """Whether messages may be sent there."""
        return group in self._last_seen
