"""Measures, second by second, how a whole fleet recovers from a power loss with many pending messages.

The partner rejects calls before the power loss, so that messages stay pending. During the outage the endpoint
on record is replaced, and the wall clock may be wrong afterwards.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from threading import Timer

from springspread.faults.chaos import ChaosFleet

OBJECTIVE_MS = 1_000.0
DEADLINE_MS = 8_000.0
NOTICE_GRACE_MS = 500.0  # from a message's outcome to its notice
DEAD_PORT = 1
REJECTING_S = 2.5


@dataclass(slots=True)
class RecoveryResult:
    """The result of a recovery; times are seconds since power on."""

    pending: int = 0  # answered 202, safe to repeat, and without an outcome at the power loss
    delivered_in_time: int = 0  # of these, delivered before their deadline
    given_up: int = 0  # of these, reported as not delivered before their deadline
    late: int = 0  # of these, ended after their deadline
    submitted: int = 0
    refused: int = 0
    accepted: int = 0
    failed: int = 0  # accepted after power on, and not delivered in time
    in_aim: int = 0  # submitted after power on, and delivered within the class's objective
    first_s: float = float("inf")
    full_rate_s: float = float("inf")  # the first second with 0.9 of the usual deliveries
    handshakes: int = 0
    list_requests: int = 0
    unsafe_twice: int = 0
    without_outcome: int = 0
    seconds: list[Counter[str]] = field(default_factory=list)

    @property
    def promise_violated(self) -> bool:
        """Whether a promise was violated."""
        return bool(self.unsafe_twice or self.without_outcome)


class RecoveringFleet(ChaosFleet):
    """A ``ChaosFleet`` with ``power``; call ``recover`` once, then ``close``."""

    def recover(self, length_s: float, clock_s: float = 0.0, extra_outage_s: float = 0.0) -> RecoveryResult:
        """Cut the power and recover under load; the partner rejects calls for ``extra_outage_s`` more."""
        services = self._services
        self.start_load()
        time.sleep(1.0)
        services.rejecting.set()
        time.sleep(REJECTING_S)
        # The list on record is outdated: its endpoint has been replaced.
        self._sender_config["known"] = services.members("s-0", DEAD_PORT)
        self._config_file.write_text(json.dumps(self._sender_config))
        self.power_cut(clock_s)
        power_on = time.monotonic() * 1000.0
        pending = self.result.accepted - self.unsafe - services.ended
        logs = {path: path.stat().st_size for path in self._folder.glob("n*/log")}
        Timer(extra_outage_s, services.rejecting.clear).start()
        while time.monotonic() * 1000.0 < power_on + 1000.0 * length_s:
            self.refresh_status()
            time.sleep(0.05)
        self.stop_load()
        return self._evaluate(power_on, length_s, pending, logs)

    def _evaluate(
        self, power_on: float, length_s: float, pending: Iterable[str], logs: Mapping[Path, int]
    ) -> RecoveryResult:
        result, services = RecoveryResult(without_outcome=len(self.result.without_outcome)), self._services
        result.unsafe_twice = sum(services.call_counts[id] > 1 for id in self.unsafe)
        first_call_at, never = services.first_call_at, float("inf")
        for id in pending:
            deadline = self.accepted_at[id] + DEADLINE_MS
            notified_at = services.notice_at.get(id, never)
            result.pending += 1
            result.delivered_in_time += first_call_at.get(id, never) <= deadline
            result.given_up += id not in first_call_at and notified_at < deadline - NOTICE_GRACE_MS
            result.late += min(first_call_at.get(id, never), notified_at) > deadline + NOTICE_GRACE_MS
        delivered = [at for at in first_call_at.values() if at >= power_on]
        result.first_s = (min(delivered, default=never) - power_on) / 1000.0
        rows: list[Counter[str]] = [Counter() for _ in range(int(length_s))]
        for at in delivered:
            if at < power_on + 1000.0 * len(rows):
                rows[int((at - power_on) / 1000.0)]["delivered"] += 1
        for id, (at, status) in self.submitted.items():
            if at < power_on or at >= power_on + 1000.0 * len(rows):
                continue
            accepted = status in (200, 202)
            result.submitted += 1
            result.accepted += accepted
            result.refused += not accepted
            result.failed += accepted and first_call_at.get(id, never) > at + DEADLINE_MS
            result.in_aim += first_call_at.get(id, never) <= at + OBJECTIVE_MS
            row = rows[int((at - power_on) / 1000.0)]
            row["offered"] += 1
            row["taken" if accepted else "refused"] += 1
        usual_rate = 0.9 / (self._message_interval_s / len(self._names))
        result.full_rate_s = next((n for n, row in enumerate(rows) if row["delivered"] >= usual_rate), never)
        result.seconds = rows
        for path, size in logs.items():
            logged = path.read_bytes()[size:]
            result.handshakes += logged.count(b'"event": "connecting"')
            result.list_requests += logged.count(b'"event": "list request"')
        return result
