"""An instance's side of the shares: the leases that it holds, and what it waits for.

Asked by the threads that write, before each call's first byte; fed by the thread that talks to the allocator.
A lease is looked at against the clock as the call asks: an instance that was frozen finds its leases over.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from springspread.fleet.allocator import Lease


@dataclass(slots=True)
class HeldLease:
    """A lease and what was done with it."""

    lease: Lease
    since: float
    made: int = 0
    last_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Report:
    """A lease that is done with: so many calls were made against it, the last one then."""

    key: str
    serial: int
    made: int
    last_at: float


class LeaseCache:
    """Leases by limit. Until it is told which keys are limited, all are."""

    def __init__(self, retry_ms: float = 25.0, want_ms: float = 60.0, keep_ms: float = 60.0) -> None:
        """``retry_ms``: after how long a call that got nothing may ask again.

        It counts as waiting for ``want_ms``, and a lease that nobody uses goes back after ``keep_ms``: with
        less, leases come too late for the call that wanted them; with more, others wait for what lies idle.
        """
        self._retry_ms, self._want_ms, self._keep_ms = retry_ms, want_ms, keep_ms
        self._lock = threading.Lock()
        self._held: dict[str, deque[HeldLease]] = {}
        self._limited: set[str] | None = None
        self._wants: dict[str, deque[float]] = {}
        self._known: dict[int, float] = {}  # serials of leases that are not over yet, and their ends

    def limited(self, keys: set[str]) -> None:
        """Which keys need a lease from now on."""
        with self._lock:
            self._limited = set(keys)

    def binds(self, key: str) -> bool:
        """Whether calls to a key need a lease."""
        with self._lock:
            return self._limited is None or key in self._limited

    def take(self, key: str, now: float) -> float:
        """Take the right to one call, at once; else the milliseconds after which to ask again."""
        with self._lock:
            if self._limited is not None and key not in self._limited:
                return 0.0
            for held in self._held.get(key, ()):
                if now < held.lease.until and held.made < held.lease.calls:
                    held.made += 1
                    held.last_at = now
                    return 0.0
            times = self._wants.setdefault(key, deque())
            while times and times[0] + self._want_ms <= now:
                times.popleft()  # guards memory while nobody asks for them, as the allocator is away
            times.append(now)
            return self._retry_ms

    def received(self, lease: Lease, now: float) -> None:
        """A lease came in: so many calls wait no longer. One that comes again gives nothing more."""
        with self._lock:
            self._known = {serial: until for serial, until in self._known.items() if until > now}
            if lease.until <= now or lease.serial in self._known:
                return
            self._known[lease.serial] = lease.until
            self._held.setdefault(lease.key, deque()).append(HeldLease(lease, now))
            times = self._wants.get(lease.key, deque())
            for _ in range(min(lease.calls, len(times))):
                times.popleft()

    def wants(self, now: float) -> Mapping[str, int]:
        """How many calls wait, by key: each that got nothing lately and has no lease yet."""
        with self._lock:
            found = {}
            for key, times in list(self._wants.items()):
                while times and times[0] + self._want_ms <= now:
                    times.popleft()
                if not times:
                    del self._wants[key]
                    continue
                found[key] = len(times)
            return found

    def done(self, now: float) -> list[Report]:
        """Leases that are used up, over or idle: they are told to the allocator, once, and forgotten."""
        with self._lock:
            reports = []
            for key, line in list(self._held.items()):
                kept: deque[HeldLease] = deque()
                for held in line:
                    used_up, idle = held.made >= held.lease.calls, now >= held.since + self._keep_ms
                    if now < held.lease.until and not used_up and not idle:
                        kept.append(held)
                        continue
                    reports.append(Report(key, held.lease.serial, held.made, held.last_at))
                if kept:
                    self._held[key] = kept
                else:
                    del self._held[key]
            return reports

    @property
    def holding(self) -> bool:
        """Whether it holds any lease."""
        with self._lock:
            return bool(self._held)
