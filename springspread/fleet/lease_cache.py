"""A sender's rights to call: its leases, the statuses of keys, and the calls that wait for leases.

Theory of operation. Before each call the sender asks ``take`` for the right to make it. What that requires
depends on the key's status, which the allocator sends (``messages.KeyStatus``):

    status      a call may begin                                                  if the allocator is silent
    UNLIMITED   always                                                            unchanged
    FREE        while the allocator's last acknowledgement is fresh, and fewer    until ``FRESH_MS`` pass
                than ``use_ledger.MAX_UNACKNOWLEDGED`` calls are unacknowledged
                (of a failing key, ``key_health.HALF_OPEN_CALLS``)
    BOUND       against an unexpired lease                                        until the leases expire

Leases and freshness are checked against the clock at each call, so that a sender that was frozen finds them
expired. An acknowledgement is fresh from when its report was sent, not from when the answer came: a delayed
answer extends nothing, and no two clocks are compared.

``take`` is called by the threads that write, before each call's first byte; updates come from the thread
that talks to the allocator. Times are milliseconds.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf

from springspread.fleet.limits import Lease
from springspread.fleet.messages import (
    Fingerprint,
    KeyStatus,
    KeyStatuses,
    LeaseReport,
    UseReport,
    Welcome,
    fingerprint,
)
from springspread.fleet.use_ledger import UseLedger

FRESH_MS = (
    2_000.0  # the longest exposure after a limit becomes bound, as a silent allocator may have bound it
)
REPORT_MS = 1_000.0  # the interval of use reports; with a round trip well below FRESH_MS
IDLE_MS = 10_000.0  # heartbeats stop after so long without a free call
MIN_REPORT_INTERVAL_MS = 50.0


@dataclass(slots=True)
class CachedLease:
    """A lease and the calls made against it."""

    lease: Lease
    received_at: float
    made: int = 0
    last_at: float = 0.0


class LeaseCache:
    """Leases and statuses by key. Before the first welcome every call needs a lease."""

    def __init__(
        self, retry_ms: float = 25.0, waiter_ttl_ms: float = 60.0, idle_lease_ms: float = 60.0
    ) -> None:
        """``retry_ms``: when a call that got no right may ask again.

        ``waiter_ttl_ms``: how long it counts as waiting.
        ``idle_lease_ms``: after so long an unused lease is returned. If it is too short, leases expire before
        the call that waits for them asks again; if too long, they are idle while other senders wait.
        """
        self._retry_ms, self._waiter_ttl_ms, self._idle_lease_ms = retry_ms, waiter_ttl_ms, idle_lease_ms
        self._lock = threading.Lock()
        self._leases: dict[str, deque[CachedLease]] = {}
        self._default = KeyStatus.BOUND
        self._statuses: dict[Fingerprint, KeyStatus] = {}
        self._waiters: dict[str, deque[float]] = {}
        self._seen_serials: set[int] = set()  # of unexpired leases
        self._seen_expiries: deque[tuple[float, int]] = deque()
        self._ledger = UseLedger()
        self._fresh_until = -inf
        self._reported_at = -inf
        self._free_call_at = -inf  # when a free call was last made or refused

    def apply_welcome(self, message: Welcome, sent_at: float, statuses: Sequence[KeyStatuses] = ()) -> None:
        """Apply the answer to a ``Register`` sent at ``sent_at``, with the statuses that follow it."""
        with self._lock:
            if message.complete or message.default is KeyStatus.BOUND or message.default is not self._default:
                self._statuses.clear()  # statuses are exceptions from their own default only
            self._default = message.default
            self._fresh_until = max(self._fresh_until, sent_at + FRESH_MS)
            for update in statuses:
                self._apply(update)

    def apply_statuses(self, message: KeyStatuses) -> None:
        """Apply changes of statuses and the acknowledgement of reports."""
        with self._lock:
            self._apply(message)

    def _apply(self, message: KeyStatuses) -> None:
        self._set_statuses(message.bound, KeyStatus.BOUND)
        self._set_statuses(message.free, KeyStatus.FREE)
        self._set_statuses(message.unlimited, KeyStatus.UNLIMITED)
        sent_at = self._ledger.acknowledge(message.acknowledged)
        if sent_at is not None:
            self._fresh_until = max(self._fresh_until, sent_at + FRESH_MS)

    def _set_statuses(self, fingerprints: Sequence[Fingerprint], status: KeyStatus) -> None:
        for digest in fingerprints:
            if status is self._default:
                self._statuses.pop(digest, None)
            else:
                self._statuses[digest] = status

    def _status(self, key: str) -> KeyStatus:
        return self._statuses.get(fingerprint(key), self._default)

    def is_limited(self, key: str) -> bool:
        """Whether calls to a key are subject to a limit."""
        with self._lock:
            return self._status(key) is not KeyStatus.UNLIMITED

    def is_bound(self, key: str) -> bool:
        """Whether each call to a key needs a lease."""
        with self._lock:
            return self._status(key) is KeyStatus.BOUND

    def take(self, key: str, now: float, waiting: bool = False) -> float:
        """Take the right to one call: 0 if granted, else the milliseconds after which to ask again.

        ``waiting``: the call has asked before, and must not be counted twice among the waiting ones.
        """
        with self._lock:
            match self._status(key):
                case KeyStatus.UNLIMITED:
                    return 0.0
                case KeyStatus.FREE:
                    return self._take_free(key, now)
                case KeyStatus.BOUND:
                    return self._take_leased(key, now, waiting)

    def _take_free(self, key: str, now: float) -> float:
        self._free_call_at = now
        if now >= self._fresh_until or not self._ledger.allows(key):
            self._ledger.report_early = True
            return self._retry_ms
        self._ledger.add_call(key, now)
        return 0.0

    def _take_leased(self, key: str, now: float, waiting: bool) -> float:
        for cached in self._leases.get(key, ()):
            if now < cached.lease.until and cached.made < cached.lease.calls:
                cached.made += 1
                cached.last_at = now
                return 0.0
        times = self._waiters.setdefault(key, deque())
        while times and times[0] + self._waiter_ttl_ms <= now:
            times.popleft()  # bounds memory while the allocator is away and ``demands`` is not called
        if waiting and times:
            times.popleft()  # its own entry, or an equivalent one
        times.append(now)
        return self._retry_ms

    def failed(self, key: str) -> None:
        """Record a failed call to a key."""
        with self._lock:
            if self._status(key) is not KeyStatus.UNLIMITED:
                self._ledger.add_failure(key)

    def served(self, key: str) -> bool:
        """Record a successful call to a key; whether it recovered, which the allocator has to learn."""
        with self._lock:
            return self._ledger.add_success(key)

    def add_lease(self, lease: Lease, now: float) -> None:
        """Add a granted lease, which serves as many waiting calls; duplicates are ignored."""
        with self._lock:
            while self._seen_expiries and self._seen_expiries[0][0] <= now:
                self._seen_serials.discard(self._seen_expiries.popleft()[1])
            if lease.until <= now or lease.serial in self._seen_serials:
                return
            self._seen_serials.add(lease.serial)
            self._seen_expiries.append((lease.until, lease.serial))
            self._leases.setdefault(lease.key, deque()).append(CachedLease(lease, now))
            times = self._waiters.get(lease.key, deque())
            for _ in range(min(lease.calls, len(times))):
                times.popleft()

    def demands(self, now: float) -> Mapping[str, int]:
        """How many calls wait for a lease, by key."""
        with self._lock:
            demands = {}
            for key, times in list(self._waiters.items()):
                while times and times[0] + self._waiter_ttl_ms <= now:
                    times.popleft()
                if not times or self._status(key) is not KeyStatus.BOUND:
                    del self._waiters[key]
                    continue
                demands[key] = len(times)
            return demands

    def take_finished(self, now: float) -> list[LeaseReport]:
        """Remove leases that are used up, expired or idle; their reports for the allocator."""
        with self._lock:
            reports = []
            for key, leases in list(self._leases.items()):
                kept: deque[CachedLease] = deque()
                for cached in leases:
                    used_up, idle = (
                        cached.made >= cached.lease.calls,
                        now >= cached.received_at + self._idle_lease_ms,
                    )
                    if now < cached.lease.until and not used_up and not idle:
                        kept.append(cached)
                        continue
                    reports.append(LeaseReport(key, cached.lease.serial, cached.made, cached.last_at))
                if kept:
                    self._leases[key] = kept
                else:
                    del self._leases[key]
            return reports

    def use_report(self, now: float) -> UseReport | None:
        """The report of free calls that is due now, if any."""
        with self._lock:
            if now < self._use_report_at(now):
                return None
            self._reported_at = now
            return self._ledger.report(now)

    @property
    def reports_early(self) -> bool:
        """Whether a use report should be sent before its interval is over."""
        return self._ledger.report_early

    def use_report_at(self, now: float) -> float:
        """When the next use report is due; inf: there is nothing to report."""
        with self._lock:
            return self._use_report_at(now)

    def _use_report_at(self, now: float) -> float:
        if self._ledger.report_early:
            return self._reported_at + MIN_REPORT_INTERVAL_MS
        if self._ledger.unreported or now < self._free_call_at + IDLE_MS:
            return self._reported_at + REPORT_MS
        return inf

    def resend(self, now: float) -> list[UseReport]:
        """Unacknowledged reports, which a broken connection may have lost."""
        with self._lock:
            return self._ledger.resend(now)

    @property
    def has_leases(self) -> bool:
        """Whether there are any leases."""
        with self._lock:
            return bool(self._leases)
