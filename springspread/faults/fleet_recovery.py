"""A whole fleet that lost its power while much was owed comes back; what became of what, by the second.

The partner turns calls away for a while, so that messages are owed; then the power goes. Meanwhile the
endpoint that the instances held on record has been replaced, and the machine's clock may have come up wrong.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from threading import Timer

from springspread.faults.chaos import Chaos

AIM_MS = 1_000.0  # the class's objective
LIFE_MS = 8_000.0  # its give-up time
GRACE_MS = 500.0  # from a message's end in time to the notice of it
DEAD_PORT = 1
SHUT_S = 2.5


@dataclass(slots=True)
class RecoveryResult:
    """What came of a return; times are seconds from power on, or milliseconds where they say so."""

    pending: int = 0  # answered 202, repeatable, and without an end as the power went
    delivered_in_time: int = 0  # of these, delivered in their time
    given_up: int = 0  # of these, told as not delivered before their time
    late: int = 0  # of these, ended after their time
    submitted: int = 0
    refused: int = 0
    accepted: int = 0
    failed: int = 0  # taken after power on, and not delivered in time
    in_aim: int = 0  # offered after power on and delivered within the class's aim
    first_s: float = float("inf")
    full_rate_s: float = float("inf")  # the first second with 0.9 of the usual deliveries
    handshakes: int = 0
    list_requests: int = 0
    unsafe_twice: int = 0
    without_outcome: int = 0
    seconds: list[Counter[str]] = field(default_factory=list)

    @property
    def promise_violated(self) -> bool:
        """Whether a promise was."""
        return bool(self.unsafe_twice or self.without_outcome)


class RecoveringFleet(Chaos):
    """Made as ``Chaos`` with ``power``; ``recover`` once, then ``close``."""

    def recover(self, length_s: float, clock_s: float = 0.0, away_s: float = 0.0) -> RecoveryResult:
        """Lose the power and return, under load, for so long; the partner is ``away_s`` longer away."""
        services = self._services
        self.start_load()
        time.sleep(1.0)
        services.rejecting.set()
        time.sleep(SHUT_S)
        # What the instances hold on record is of before: its endpoint has been replaced since.
        self._sender_config["known"] = services.members("s-0", DEAD_PORT)
        self._config_file.write_text(json.dumps(self._sender_config))
        self.power_cut(clock_s)
        power_on = time.monotonic() * 1000.0
        owed = self.result.accepted - self.unsafe - services.ended
        logs = {path: path.stat().st_size for path in self._folder.glob("n*/log")}
        Timer(away_s, services.rejecting.clear).start()
        while time.monotonic() * 1000.0 < power_on + 1000.0 * length_s:
            self.refresh_status()
            time.sleep(0.05)
        self.stop_load()
        return self._judged(power_on, length_s, owed, logs)

    def _judged(
        self, power_on: float, length_s: float, owed: Iterable[str], logs: Mapping[Path, int]
    ) -> RecoveryResult:
        made, services = RecoveryResult(without_outcome=len(self.result.without_outcome)), self._services
        made.unsafe_twice = sum(services.call_counts[id] > 1 for id in self.unsafe)
        first, never = services.first_call_at, float("inf")
        for id in owed:
            end = self.accepted_at[id] + LIFE_MS
            told = services.notice_at.get(id, never)
            made.pending += 1
            made.delivered_in_time += first.get(id, never) <= end
            made.given_up += id not in first and told < end - GRACE_MS
            made.late += min(first.get(id, never), told) > end + GRACE_MS
        delivered = [at for at in first.values() if at >= power_on]
        made.first_s = (min(delivered, default=never) - power_on) / 1000.0
        rows: list[Counter[str]] = [Counter() for _ in range(int(length_s))]
        for at in delivered:
            if at < power_on + 1000.0 * len(rows):
                rows[int((at - power_on) / 1000.0)]["delivered"] += 1
        for id, (at, status) in self.submitted.items():
            if at < power_on or at >= power_on + 1000.0 * len(rows):
                continue
            taken = status in (200, 202)
            made.submitted += 1
            made.accepted += taken
            made.refused += not taken
            made.failed += taken and first.get(id, never) > at + LIFE_MS
            made.in_aim += first.get(id, never) <= at + AIM_MS
            row = rows[int((at - power_on) / 1000.0)]
            row["offered"] += 1
            row["taken" if taken else "refused"] += 1
        usual = 0.9 / (self._message_interval_s / len(self._names))
        made.full_rate_s = next((n for n, row in enumerate(rows) if row["delivered"] >= usual), never)
        made.seconds = rows
        for path, size in logs.items():
            since = path.read_bytes()[size:]
            made.handshakes += since.count(b'"event": "connecting"')
            made.list_requests += since.count(b'"event": "list request"')
        return made
