"""The record of a run: calls that began, calls that were held up, and the statuses of keys over time."""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field

from springspread.fleet.limits import Limit
from springspread.fleet.messages import Fingerprint, KeyStatuses


@dataclass(slots=True)
class HeldUp:
    """A call that had to wait for a lease. ``wait_ms``: until it began or was given up."""

    sender: int
    destination: int
    since: float
    wait_ms: float
    began: bool


@dataclass(slots=True)
class History:
    """Columns of the calls in the order in which they began (times in ms), and what happened meanwhile."""

    destination_of: Mapping[Fingerprint, int]
    times: array[float] = field(default_factory=lambda: array("d"))
    destinations: array[int] = field(default_factory=lambda: array("q"))
    senders: array[int] = field(default_factory=lambda: array("q"))
    held_up: list[HeldUp] = field(default_factory=list)
    statuses: dict[int, list[tuple[float, bool]]] = field(default_factory=dict)  # time, bound
    limits: dict[int, list[tuple[float, Limit]]] = field(default_factory=dict)  # changes of limits
    jumps: dict[int, list[float]] = field(default_factory=dict)  # when demand jumped
    returns: dict[int, float] = field(default_factory=dict)  # recovery times of destinations
    takeovers: list[tuple[int, float, float]] = field(default_factory=list)  # shard, begin, end of learning

    def record_call(self, when: float, destination: int, sender: int) -> None:
        """Record the begin of a call."""
        self.times.append(when)
        self.destinations.append(destination)
        self.senders.append(sender)

    def record_statuses(self, now: float, message: KeyStatuses) -> None:
        """Record a change of status that an allocator broadcasts."""
        for one in message.bound:
            self._set(now, one, True)
        for one in (*message.free, *message.unlimited):
            self._set(now, one, False)

    def _set(self, now: float, one: Fingerprint, bound: bool) -> None:
        entries = self.statuses.setdefault(self.destination_of[one], [])
        if not entries or entries[-1][1] is not bound:
            entries.append((now, bound))
