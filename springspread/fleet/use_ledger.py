"""Tracks the unreported and unacknowledged calls that a sender made without a lease. No I/O, no clock.

A sender may have at most ``MAX_UNACKNOWLEDGED`` such calls of one key, and fewer of a failing one
(``key_health``); then it waits for the allocator's acknowledgement. This bounds how far a fleet can exceed a
free limit before the allocator knows: the number of senders times this.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from msgspec.structs import replace

from springspread.fleet.chunking import COUNT_BYTES, key_bytes
from springspread.fleet.key_health import HALF_OPEN_CALLS, KeyHealth
from springspread.fleet.messages import LINE_BYTES, MAX_KEYS, UseReport

MAX_UNACKNOWLEDGED = 32  # calls of one key
EARLY_REPORT_CALLS = MAX_UNACKNOWLEDGED // 2  # of one key; so many are reported without delay
REPORT_BYTES = 3 * LINE_BYTES // 8  # for the call counts in a report, and again for its failures
MAX_IN_FLIGHT = 16  # unacknowledged reports


@dataclass(frozen=True, slots=True)
class SentReport:
    """An unacknowledged report. ``made_at``: when the last of its calls was made (ms)."""

    report: UseReport
    sent_at: float
    made_at: float


class UseLedger:
    """Counts calls by key until the allocator has acknowledged them."""

    def __init__(self) -> None:
        self._sequence = 0
        self._calls: dict[str, int] = {}
        self._failed: dict[str, int] = {}
        self._in_flight: deque[SentReport] = deque()
        self._unacknowledged: dict[str, int] = {}
        self._health = KeyHealth()
        self._made_at = 0.0
        self._calls_bytes = self._failed_bytes = 0  # encoded sizes
        self.report_early = False  # whether to report before the interval is over

    def allows(self, key: str) -> bool:
        """Whether one more call of a key may be made without an acknowledgement."""
        most = HALF_OPEN_CALLS if self._health.limits(key) else MAX_UNACKNOWLEDGED
        if self._unacknowledged.get(key, 0) >= most:
            return False
        return len(self._calls) < MAX_KEYS and self._calls_bytes < REPORT_BYTES

    def add_call(self, key: str, now: float) -> None:
        """Count a call made without a lease."""
        if key not in self._calls:
            self._calls_bytes += key_bytes(key) + COUNT_BYTES
        calls = self._calls.get(key, 0) + 1
        self._calls[key] = calls
        self._unacknowledged[key] = self._unacknowledged.get(key, 0) + 1
        self._made_at = now
        half_full = len(self._calls) >= MAX_KEYS // 2 or self._calls_bytes >= REPORT_BYTES // 2
        self.report_early = self.report_early or calls >= EARLY_REPORT_CALLS or half_full

    def add_failure(self, key: str) -> None:
        """Count a failed call of a key."""
        self._health.record_failure(key)
        if key in self._failed:
            self._failed[key] += 1
        elif len(self._failed) < MAX_KEYS and self._failed_bytes < REPORT_BYTES:
            self._failed_bytes += key_bytes(key) + COUNT_BYTES
            self._failed[key] = 1

    def add_success(self, key: str) -> bool:
        """Record a successful call of a key; whether the key recovered, which is reported early."""
        recovered = self._health.record_success(key)
        self.report_early = self.report_early or recovered
        return recovered

    @property
    def unreported(self) -> bool:
        """Whether there is anything to report."""
        return bool(self._calls or self._failed or self._health.unreported)

    def report(self, now: float) -> UseReport | None:
        """The next report, empty for a heartbeat; none while ``MAX_IN_FLIGHT`` are unacknowledged."""
        if len(self._in_flight) >= MAX_IN_FLIGHT:
            return None
        self._sequence += 1
        age_ms = max(now - self._made_at, 0.0) if self._calls else 0.0
        recovered = self._health.take_recovered(self._sequence)
        report = UseReport(self._sequence, round(age_ms, 1), self._calls, self._failed, recovered)
        self._in_flight.append(SentReport(report, now, self._made_at))
        self._calls, self._failed, self.report_early = {}, {}, False
        self._calls_bytes = self._failed_bytes = 0
        return report

    def acknowledge(self, sequence: int) -> float | None:
        """Settle all reports up to this sequence; when the last of them was sent, none if there was none."""
        sent_at = None
        while self._in_flight and self._in_flight[0].report.sequence <= sequence:
            sent = self._in_flight.popleft()
            sent_at = sent.sent_at
            self._health.acknowledge(sent.report.sequence, sent.report.recovered)
            for key, calls in sent.report.calls.items():
                left = self._unacknowledged.get(key, 0) - calls
                if left > 0:
                    self._unacknowledged[key] = left
                else:
                    self._unacknowledged.pop(key, None)
        return sent_at

    def resend(self, now: float) -> list[UseReport]:
        """The unacknowledged reports, to send again over a new connection with the same sequence numbers."""
        resent = [SentReport(_with_current_age(sent, now), now, sent.made_at) for sent in self._in_flight]
        self._in_flight = deque(resent)
        return [sent.report for sent in resent]


def _with_current_age(sent: SentReport, now: float) -> UseReport:
    """The same report with its age updated."""
    age_ms = max(now - sent.made_at, 0.0) if sent.report.calls else 0.0
    return replace(sent.report, age_ms=round(age_ms, 1))
