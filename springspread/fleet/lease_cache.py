"""A sender's rights to call: the leases that it holds, the statuses of keys, and what it waits for.

Theory of operation. Before each call the sender asks ``take`` for the right to it. What that needs follows
from the key's status, which the allocator tells (``messages.KeyStatus``):

    status      right to a call                                                   while the allocator is
    silent
    UNLIMITED   always                                                            as before
    FREE        while the allocator's last acknowledgement is fresh, and fewer    ends after ``FRESH_MS``
                than ``use_ledger.MAX_UNACKNOWLEDGED`` calls are unacknowledged
                (of a key that failed, ``key_health.HALF_OPEN_CALLS``)
    BOUND       against a lease that has not ended                                ends with the leases

A lease and an acknowledgement are looked at against the clock as the call asks: a sender that was frozen
finds that both are over. An acknowledgement counts from when the acknowledged report was sent, not from
when the answer came, so that no answer that was held up extends a right, and no two clocks are compared.

It is asked by the threads that write, before each call's first byte, and fed by the thread that talks to the
allocator. Times are milliseconds.
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

FRESH_MS = 2_000.0  # the longest exposure after a limit becomes bound: a silent allocator may have bound it
REPORT_MS = 1_000.0  # the interval of use reports; with the way there and back well below FRESH_MS
IDLE_MS = 10_000.0  # without a free call for so long, no heartbeats are sent
EARLY_MS = 50.0  # the least between two reports


@dataclass(slots=True)
class HeldLease:
    """A lease and what was done with it."""

    lease: Lease
    since: float
    made: int = 0
    last_at: float = 0.0


class LeaseCache:
    """Leases and statuses by key. Until it is welcomed, every call needs a lease."""

    def __init__(self, retry_ms: float = 25.0, want_ms: float = 60.0, keep_ms: float = 60.0) -> None:
        """``retry_ms``: after how long a call that got nothing may ask again.

        It counts as waiting for ``want_ms``, and a lease that nobody uses goes back after ``keep_ms``: with
        less, leases come too late for the call that wanted them; with more, others wait for what lies idle.
        """
        self._retry_ms, self._want_ms, self._keep_ms = retry_ms, want_ms, keep_ms
        self._lock = threading.Lock()
        self._held: dict[str, deque[HeldLease]] = {}
        self._default = KeyStatus.BOUND
        self._statuses: dict[Fingerprint, KeyStatus] = {}
        self._wants: dict[str, deque[float]] = {}
        self._known: set[int] = set()  # serials of leases that are not over yet
        self._known_ends: deque[tuple[float, int]] = deque()
        self._ledger = UseLedger()
        self._fresh_until = -inf
        self._reported_at = -inf
        self._free_used_at = -inf  # when a free call was last made, or asked for in vain

    def welcomed(self, message: Welcome, sent_at: float, statuses: Sequence[KeyStatuses] = ()) -> None:
        """The allocator answers a ``Register`` that was sent then; ``statuses`` belong to the answer."""
        with self._lock:
            if message.complete or message.default is KeyStatus.BOUND or message.default is not self._default:
                self._statuses.clear()  # those of another default say nothing of this one
            self._default = message.default
            self._fresh_until = max(self._fresh_until, sent_at + FRESH_MS)
            for one in statuses:
                self._change(one)

    def statuses_changed(self, message: KeyStatuses) -> None:
        """Statuses change, and reports are acknowledged."""
        with self._lock:
            self._change(message)

    def _change(self, message: KeyStatuses) -> None:
        self._set(message.bound, KeyStatus.BOUND)
        self._set(message.free, KeyStatus.FREE)
        self._set(message.unlimited, KeyStatus.UNLIMITED)
        sent_at = self._ledger.acknowledge(message.acknowledged)
        if sent_at is not None:
            self._fresh_until = max(self._fresh_until, sent_at + FRESH_MS)

    def _set(self, fingerprints: Sequence[Fingerprint], status: KeyStatus) -> None:
        for one in fingerprints:
            if status is self._default:
                self._statuses.pop(one, None)
            else:
                self._statuses[one] = status

    def _status(self, key: str) -> KeyStatus:
        return self._statuses.get(fingerprint(key), self._default)

    def is_limited(self, key: str) -> bool:
        """Whether calls to a key need a right."""
        with self._lock:
            return self._status(key) is not KeyStatus.UNLIMITED

    def is_bound(self, key: str) -> bool:
        """Whether each call to a key needs a lease."""
        with self._lock:
            return self._status(key) is KeyStatus.BOUND

    def take(self, key: str, now: float, waiting: bool = False) -> float:
        """Take the right to one call, at once; else the milliseconds after which to ask again.

        ``waiting``: the call has asked before, and counts once among those that wait.
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
        self._free_used_at = now
        if now >= self._fresh_until or not self._ledger.allows(key):
            self._ledger.report_early = True
            return self._retry_ms
        self._ledger.add_call(key, now)
        return 0.0

    def _take_leased(self, key: str, now: float, waiting: bool) -> float:
        for held in self._held.get(key, ()):
            if now < held.lease.until and held.made < held.lease.calls:
                held.made += 1
                held.last_at = now
                return 0.0
        times = self._wants.setdefault(key, deque())
        while times and times[0] + self._want_ms <= now:
            times.popleft()  # guards memory while nobody asks for them, as the allocator is away
        if waiting and times:
            times.popleft()  # its own entry, or one like it
        times.append(now)
        return self._retry_ms

    def failed(self, key: str) -> None:
        """A call to a key failed: its destination may be down."""
        with self._lock:
            if self._status(key) is not KeyStatus.UNLIMITED:
                self._ledger.add_failure(key)

    def served(self, key: str) -> bool:
        """A call to a key succeeded; whether that is news for the allocator, as earlier ones failed."""
        with self._lock:
            return self._ledger.add_success(key)

    def received(self, lease: Lease, now: float) -> None:
        """A lease came in: so many calls wait no longer. One that comes again gives nothing more."""
        with self._lock:
            while self._known_ends and self._known_ends[0][0] <= now:
                self._known.discard(self._known_ends.popleft()[1])
            if lease.until <= now or lease.serial in self._known:
                return
            self._known.add(lease.serial)
            self._known_ends.append((lease.until, lease.serial))
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
                if not times or self._status(key) is not KeyStatus.BOUND:
                    del self._wants[key]
                    continue
                found[key] = len(times)
            return found

    def done(self, now: float) -> list[LeaseReport]:
        """Leases that are used up, over or idle: they are reported to the allocator, once, and forgotten."""
        with self._lock:
            reports = []
            for key, line in list(self._held.items()):
                kept: deque[HeldLease] = deque()
                for held in line:
                    used_up, idle = held.made >= held.lease.calls, now >= held.since + self._keep_ms
                    if now < held.lease.until and not used_up and not idle:
                        kept.append(held)
                        continue
                    reports.append(LeaseReport(key, held.lease.serial, held.made, held.last_at))
                if kept:
                    self._held[key] = kept
                else:
                    del self._held[key]
            return reports

    def use_report(self, now: float) -> UseReport | None:
        """The report of free calls that is due now: after an interval, or early where much is unreported."""
        with self._lock:
            if now < self._use_report_at(now):
                return None
            self._reported_at = now
            return self._ledger.report(now)

    @property
    def reports_early(self) -> bool:
        """Whether so many calls are unreported that a report should not wait for its interval."""
        return self._ledger.report_early

    def use_report_at(self, now: float) -> float:
        """When the next report is due; inf: there is nothing to report."""
        with self._lock:
            return self._use_report_at(now)

    def _use_report_at(self, now: float) -> float:
        if self._ledger.report_early:
            return self._reported_at + EARLY_MS
        if self._ledger.unreported or now < self._free_used_at + IDLE_MS:
            return self._reported_at + REPORT_MS
        return inf

    def resend(self, now: float) -> list[UseReport]:
        """Reports that a connection which broke may have lost."""
        with self._lock:
            return self._ledger.resend(now)

    @property
    def holding(self) -> bool:
        """Whether it holds any lease."""
        with self._lock:
            return bool(self._held)
