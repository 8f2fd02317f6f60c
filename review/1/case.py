"""A surplus copy of an earlier answer is taken for the answer to a payment."""

from __future__ import annotations

import random
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CouldNotRun, Link, Platform, Record, Sender, Server, hand_in, line, now_ms, play, say

SEED = 51
MESSAGES = 500
PACE_S = 0.03
WORK_S = 0.03
LEFT_MS = 6_000
ANSWER_SLACK_MS = 350.0  # 300 ms after its time, and 50 ms as for every time limit
SPARE_S = 1.5
TURNED_AWAY = 0.25  # share of the calls that the endpoint turns away, as its queue is full
COPIED = 0.5  # share of the good answers that bring a second copy


class Partner:
    """The only endpoint of destination 7."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self._record, self._trouble, self._random = record, trouble, random.Random(SEED)
        self._lock = threading.Lock()
        self.server = Server(self._serve)

    def _serve(self, link: Link) -> None:
        while (call := link.read_request()) is not None:
            with self._lock:
                full, copied = self._random.random() < TURNED_AWAY, self._random.random() < COPIED
            if full:
                self._record.add("turned away", id=call.id)
                link.answer(503)
                continue
            time.sleep(WORK_S)
            data = link.answer(200)
            self._record.add("delivered", id=call.id)
            if self._trouble and copied and not link.has_waiting():
                # Nothing else waits on the connection: a second copy of the answer, right behind.
                link.sock.sendall(data)
                self._record.add("second copy", id=call.id)


def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Whether each payment that was taken on was delivered or ended by a notice, and none was run twice."""
    platform, partner = Platform(record), Partner(record, trouble)
    platform.set_list([line("s-1", partner.server.address, 7)])
    config = {
        "discovery": platform.server.address,
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": {
            "classes": [
                {"name": "payment", "objectiveMs": 4000, "deadlineMs": 28000, "effect": "once", "points": 2}
            ],
            "kinds": ["portal"],
            "zones": ["a", "b"],
            "discovery": "ask",
            "weightSource": "rough",
            "tickMs": 5,
            "limits": {
                "attemptsCap": 8,
                "cancelling": True,
                "connIdleMs": 5000,
                "connectTimeoutMs": 1000,
                "mostHeld": 200,
            },
            "rules": {"drainGraceMs": 500, "mustAskInMs": 10000},
            "specifics": {"callsOut": 20},
        },
    }
    sender = Sender(folder, config, record)
    try:
        sender.start()
        time.sleep(0.5)
        due: dict[str, float] = {}
        for n in range(MESSAGES):
            id = f"pay-{n:04d}"
            if hand_in(sender, record, id, "payment", 7, LEFT_MS, f"fee {n}".encode()):
                due[id] = now_ms() + LEFT_MS
            time.sleep(PACE_S)
        if len(due) < MESSAGES // 2:
            raise CouldNotRun(f"only {len(due)} of {MESSAGES} messages were taken on")
        # Longer than the rule gives, so that a slow machine is no fault.
        time.sleep(max(max(due.values()) + ANSWER_SLACK_MS - now_ms(), 0.0) / 1000.0 + SPARE_S)
    finally:
        sender.end()
    ended = {entry["id"] for event in ("delivered", "notice") for entry in record.of(event)}
    lost = sorted(set(due) - ended)
    runs = Counter(entry["id"] for entry in record.of("delivered"))
    twice = sorted(id for id, count in runs.items() if count > 1)
    record.add("result", taken_on=len(due), delivered=len(runs), lost=lost, run_twice=twice)
    say(f"taken on {len(due)}, neither delivered nor ended by a notice {len(lost)}, run twice {len(twice)}")
    return not lost and not twice


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
