"""Calls that a sender made without a lease: what is not reported yet, and what is not acknowledged yet.

No I/O, no clock. A sender may have ``MAX_UNACKNOWLEDGED`` such calls of one key outstanding, and fewer of one
that failed lately (``key_health``); with as many it waits for the allocator's acknowledgement. That bounds
what a fleet can do to a free limit before its allocator knows: senders times this.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from msgspec.structs import replace

from springspread.fleet.chunking import COUNT_BYTES, key_bytes
from springspread.fleet.key_health import HALF_OPEN_CALLS, KeyHealth
from springspread.fleet.messages import LINE_BYTES, MAX_KEYS, UseReport

MAX_UNACKNOWLEDGED = 32  # calls of one key
EARLY_CALLS = MAX_UNACKNOWLEDGED // 2  # as many of one key are reported at once
REPORT_BYTES = 3 * LINE_BYTES // 8  # the keys of the calls of a report, and those of its failures
MAX_IN_FLIGHT = 16  # reports; more wait for an acknowledgement


@dataclass(frozen=True, slots=True)
class SentReport:
    """A report that is not acknowledged. ``made_at``: when the last of its calls was made (ms)."""

    report: UseReport
    sent_at: float
    made_at: float


class UseLedger:
    """Counts calls by key until the allocator has them."""

    def __init__(self) -> None:
        self._sequence = 0
        self._calls: dict[str, int] = {}
        self._failed: dict[str, int] = {}
        self._in_flight: deque[SentReport] = deque()
        self._unacknowledged: dict[str, int] = {}
        self._health = KeyHealth()
        self._made_at = 0.0
        self._calls_bytes = self._failed_bytes = 0  # of their keys, as they will be written
        self.early = False  # whether a report should not wait for its interval

    def allows(self, key: str) -> bool:
        """Whether one more call of a key may go unacknowledged."""
        most = HALF_OPEN_CALLS if self._health.limits(key) else MAX_UNACKNOWLEDGED
        if self._unacknowledged.get(key, 0) >= most:
            return False
        return len(self._calls) < MAX_KEYS and self._calls_bytes < REPORT_BYTES

    def add(self, key: str, now: float) -> None:
        """A call is made without a lease."""
        if key not in self._calls:
            self._calls_bytes += key_bytes(key) + COUNT_BYTES
        calls = self._calls.get(key, 0) + 1
        self._calls[key] = calls
        self._unacknowledged[key] = self._unacknowledged.get(key, 0) + 1
        self._made_at = now
        half_full = len(self._calls) >= MAX_KEYS // 2 or self._calls_bytes >= REPORT_BYTES // 2
        self.early = self.early or calls >= EARLY_CALLS or half_full

    def add_failure(self, key: str) -> None:
        """A call of a key failed."""
        self._health.failed(key)
        if key in self._failed:
            self._failed[key] += 1
        elif len(self._failed) < MAX_KEYS and self._failed_bytes < REPORT_BYTES:
            self._failed_bytes += key_bytes(key) + COUNT_BYTES
            self._failed[key] = 1

    def add_success(self, key: str) -> bool:
        """A call of a key was served; whether that is news, which is reported early."""
        news = self._health.served(key)
        self.early = self.early or news
        return news

    @property
    def unreported(self) -> bool:
        """Whether there is anything to report."""
        return bool(self._calls or self._failed or self._health.unreported)

    def report(self, now: float) -> UseReport | None:
        """What is to be reported now, which may be nothing but a heartbeat; none while too many are out."""
        if len(self._in_flight) >= MAX_IN_FLIGHT:
            return None
        self._sequence += 1
        age_ms = max(now - self._made_at, 0.0) if self._calls else 0.0
        recovered = self._health.take_recovered(self._sequence)
        report = UseReport(self._sequence, round(age_ms, 1), self._calls, self._failed, recovered)
        self._in_flight.append(SentReport(report, now, self._made_at))
        self._calls, self._failed, self.early = {}, {}, False
        self._calls_bytes = self._failed_bytes = 0
        return report

    def acknowledged(self, sequence: int) -> float | None:
        """The allocator counts reports up to this one; when that one was sent, where it was in flight."""
        sent_at = None
        while self._in_flight and self._in_flight[0].report.sequence <= sequence:
            sent = self._in_flight.popleft()
            sent_at = sent.sent_at
            self._health.acknowledged(sent.report.sequence, sent.report.recovered)
            for key, calls in sent.report.calls.items():
                left = self._unacknowledged.get(key, 0) - calls
                if left > 0:
                    self._unacknowledged[key] = left
                else:
                    self._unacknowledged.pop(key, None)
        return sent_at

    def resend(self, now: float) -> list[UseReport]:
        """Over a new connection: what the one before may have lost, with the same sequence numbers."""
        again = [SentReport(_aged(sent, now), now, sent.made_at) for sent in self._in_flight]
        self._in_flight = deque(again)
        return [sent.report for sent in again]


def _aged(sent: SentReport, now: float) -> UseReport:
    """The same report, with the age that its calls have now."""
    age_ms = max(now - sent.made_at, 0.0) if sent.report.calls else 0.0
    return replace(sent.report, age_ms=round(age_ms, 1))
