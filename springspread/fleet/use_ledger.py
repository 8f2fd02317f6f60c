"""Calls that a sender made without a lease: what is not reported yet, and what is not acknowledged yet.

No I/O, no clock. A sender may have ``MAX_UNACKNOWLEDGED`` such calls of one key outstanding; with as many
it waits for the allocator's acknowledgement. That bounds what a fleet can do to a free limit before its
allocator knows: senders times this.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from springspread.fleet.line_parts import COUNT_BYTES, key_bytes
from springspread.fleet.messages import LINE_BYTES, MAX_KEYS, UseReport

MAX_UNACKNOWLEDGED = 32  # calls of one key
EARLY_CALLS = MAX_UNACKNOWLEDGED // 2  # as many of one key are reported at once
REPORT_BYTES = 7 * LINE_BYTES // 16  # the keys of the calls of a report, and those of its failures
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
        self._made_at = 0.0
        self._calls_bytes = self._failed_bytes = 0  # of their keys, as they will be written
        self.early = False  # whether a report should not wait for its interval

    def allows(self, key: str) -> bool:
        """Whether one more call of a key may go unacknowledged."""
        if self._unacknowledged.get(key, 0) >= MAX_UNACKNOWLEDGED:
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
        if key in self._failed:
            self._failed[key] += 1
        elif len(self._failed) < MAX_KEYS and self._failed_bytes < REPORT_BYTES:
            self._failed_bytes += key_bytes(key) + COUNT_BYTES
            self._failed[key] = 1

    @property
    def unreported(self) -> bool:
        """Whether there is anything to report."""
        return bool(self._calls or self._failed)

    def report(self, now: float) -> UseReport | None:
        """What is to be reported now, which may be nothing but a heartbeat; none while too many are out."""
        if len(self._in_flight) >= MAX_IN_FLIGHT:
            return None
        self._sequence += 1
        age_ms = max(now - self._made_at, 0.0) if self._calls else 0.0
        report = UseReport(self._sequence, round(age_ms, 1), self._calls, self._failed)
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
            for key, calls in sent.report.calls.items():
                left = self._unacknowledged.get(key, 0) - calls
                if left > 0:
                    self._unacknowledged[key] = left
                else:
                    self._unacknowledged.pop(key, None)
        return sent_at

    def resend(self, now: float) -> list[UseReport]:
        """Over a new connection: what the one before may have lost, with the same sequence numbers."""
        again = [
            SentReport(
                UseReport(
                    sent.report.sequence,
                    round(max(now - sent.made_at, 0.0), 1) if sent.report.calls else 0.0,
                    sent.report.calls,
                    sent.report.failed,
                ),
                now,
                sent.made_at,
            )
            for sent in self._in_flight
        ]
        self._in_flight = deque(again)
        return [sent.report for sent in again]
