"""What happened in a run: calls that began, calls that were held up, and the statuses of keys over time."""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field

from springspread.fleet.limits import Limit
from springspread.fleet.messages import Fingerprint, KeyStatuses


@dataclass(slots=True)
class HeldUp:
    """A call that got no right at first. ``wait_ms``: until it began or was given up."""

    sender: int
    destination: int
    since: float
    wait_ms: float
    began: bool


@dataclass(slots=True)
class History:
    """Calls in the order in which they began, by time (ms), destination and sender."""

    destination_of: Mapping[Fingerprint, int]
    times: array[float] = field(default_factory=lambda: array("d"))
    destinations: array[int] = field(default_factory=lambda: array("q"))
    senders: array[int] = field(default_factory=lambda: array("q"))
    held_up: list[HeldUp] = field(default_factory=list)
    statuses: dict[int, list[tuple[float, bool]]] = field(default_factory=dict)  # when, and whether bound
    limits: dict[int, list[tuple[float, Limit]]] = field(default_factory=dict)  # changes of limits
    jumps: dict[int, list[float]] = field(default_factory=dict)  # when demand jumped
    returns: dict[int, float] = field(default_factory=dict)  # when a destination that was down served again
    takeovers: list[tuple[int, float, float]] = field(default_factory=list)  # shard, and while it learns

    def began(self, when: float, destination: int, sender: int) -> None:
        """A call begins."""
        self.times.append(when)
        self.destinations.append(destination)
        self.senders.append(sender)

    def record_statuses(self, now: float, message: KeyStatuses) -> None:
        """An allocator tells everybody a change of status."""
        for one in message.bound:
            self._set(now, one, True)
        for one in (*message.free, *message.unlimited):
            self._set(now, one, False)

    def _set(self, now: float, one: Fingerprint, bound: bool) -> None:
        line = self.statuses.setdefault(self.destination_of[one], [])
        if not line or line[-1][1] is not bound:
            line.append((now, bound))
