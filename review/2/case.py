"""A usage report is applied twice, as its repeat does not carry the client's Idempotency-Key."""

from __future__ import annotations

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CouldNotRun, Link, Platform, Record, Sender, Server, hand_in, line, now_ms, play, say

SEED = 51
MESSAGES = 60
PACE_S = 0.1
WORK_S = 0.05
LEFT_MS = 20_000
SETTLE_S = 8.0  # for repeats of the last messages
MEMORY_MS = 20_000.0
FAILED = 0.4  # share of the calls that fail quickly, within the 33 to 100% that the users name
TROUBLE_FROM_S, TROUBLE_S = 1.0, 6.5
OTHERS = 3  # messages to the other partner for each one to the troubled partner, which gets 25% so


class Room:
    """The endpoints of a destination in one room, which drop repeats of a key for 20 s."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self._record, self._trouble, self._random = record, trouble, random.Random(SEED)
        self._lock = threading.Lock()
        self._seen: dict[str, float] = {}  # when a key was first run
        self._begun = now_ms()
        self.servers = [Server(self._serve), Server(self._serve)]

    def _serve(self, link: Link) -> None:
        while (call := link.read_request()) is not None:
            key = call.headers.get("idempotency-key", "")
            with self._lock:
                repeat = bool(key) and call.last_byte_at < self._seen.get(key, -MEMORY_MS) + MEMORY_MS
                if key and not repeat:
                    self._seen[key] = call.last_byte_at
                since_s = (call.last_byte_at - self._begun) / 1000.0 - TROUBLE_FROM_S
                failing = self._trouble and 0.0 <= since_s < TROUBLE_S
                failed = failing and self._random.random() < FAILED
            status = 500 if failed else 200
            self._record.add("dropped" if repeat else "applied", id=call.id, key=key, answer=status)
            if not failed:
                time.sleep(WORK_S)
            link.answer(status)


def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Whether each usage report was applied at most once."""
    platform, rooms = Platform(record), {3: Room(record, trouble), 4: Room(record, False)}
    platform.set_list(
        [
            line(f"s-{dest}-{n}", one.address, dest, "room-a", "web-hosts")
            for dest, room in rooms.items()
            for n, one in enumerate(room.servers)
        ]
    )
    config = {
        "discovery": platform.server.address,
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": {
            "classes": [
                {
                    "name": "usage-report",
                    "objectiveMs": 2500,
                    "deadlineMs": 20000,
                    "effect": "by_key",
                    "dedupScope": "zone",
                    "memorySpanMs": 20000,
                    "points": 1,
                    "lateWorth": 0.5,
                }
            ],
            "kinds": ["web-hosts"],
            "zones": ["room-a", "room-b", "room-c"],
            "discovery": "push",
            "weightSource": "rough",
            "tickMs": 5,
            "limits": {
                "attemptsCap": 12,
                "cancelling": True,
                "secondCopies": False,
                "connIdleMs": 10000,
                "connectTimeoutMs": 1000,
                "mostHeld": 200,
            },
            "rules": {"drainGraceMs": 250, "orderSettleMs": 300},
            "specifics": {"callsOut": 20},
        },
    }
    sender = Sender(folder, config, record)
    taken: dict[str, str] = {}  # keys by id
    try:
        sender.start()
        time.sleep(0.5)
        for n in range(MESSAGES * (1 + OTHERS)):
            id, key, dest = f"use-{n:04d}", f"{n:032x}", 4 if n % (1 + OTHERS) else 3
            extra = {"Idempotency-Key": key, "X-Account": "webfonts"}
            if hand_in(sender, record, id, "usage-report", dest, LEFT_MS, f"use {n}".encode(), extra):
                taken[id] = key
            time.sleep(PACE_S / (1 + OTHERS))
        if len(taken) < MESSAGES:
            raise CouldNotRun(f"only {len(taken)} messages were taken on")
        time.sleep(SETTLE_S)
    finally:
        sender.end()
    runs: dict[str, int] = {}
    for entry in record.of("applied"):
        runs[entry["id"]] = runs.get(entry["id"], 0) + 1
    twice = sorted(id for id, count in runs.items() if count > 1)
    without = sum(not entry["key"] for entry in record.of("applied"))
    record.add("result", taken_on=len(taken), applied=len(runs), twice=twice, calls_without_key=without)
    say(f"taken on {len(taken)}, applied more than once {len(twice)}, calls without their key {without}")
    return not twice


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
