"""Case 7: a repeat of a keyed message whose connection comes up late is sent after the window of its key."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_2 as c

WINDOW_MS = 3000.0
HELD_UP_MS = 150.0  # windows allow for a sender that is held up for so long
PACE_MS, SLOW_MS = 420.0, 4620.0  # 11 times slower
PARTNERS, OTHER = (7, 8, 9), 20
LATE_FROM_MS, LATE_UNTIL_MS = 1700.0, 3200.0  # since the first call of the message in trouble


class LateEndpoint(c.Endpoint):
    """Its connections can come up late: its queue of connections is full, so that the system asks again."""

    def be_late(self) -> list[socket.socket]:
        """Let no connection come up from now on; returns what fills the queue."""
        self.accepting.clear()
        time.sleep(0.05)
        plugs = []
        for _ in range(4):
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(("127.0.0.1", self.port))
            plugs.append(plug)
        return plugs

    def be_prompt(self, plugs: list[socket.socket]) -> None:
        """Let connections come up again."""
        for plug in plugs:
            plug.close()
        self.accepting.set()


def case(record: c.Record, work: Path, senders: list[c.Sender]) -> int:
    """Play it."""
    world = c.World(record)
    slow: set[str] = set()

    def special(endpoint: c.Endpoint, sock: socket.socket, request: c.Request) -> bool | None:
        key = request.headers.get("idempotency-key", "")
        if key in slow:
            slow.remove(key)  # this endpoint is slow, the others are not
            record.add("slow", endpoint.name, request.headers["x-correlation-id"])
            time.sleep((SLOW_MS - PACE_MS) / 1000.0)
        return None

    partners = {
        group: [
            LateEndpoint(
                world,
                f"s-{group}-{n}",
                group,
                "county-office",
                service_ms=PACE_MS,
                special=special,
                backlog=0,
            )
            for n in range(4)
        ]
        for group in PARTNERS
    }
    other = [c.Endpoint(world, f"t-{n}", OTHER, service_ms=100.0) for n in range(2)]
    endpoints = [*(one for group in PARTNERS for one in partners[group]), *other]
    discovery = c.Discovery(record, [one.line() for one in endpoints])
    report = {
        "name": "usage-report",
        "objectiveMs": 1000.0,
        "deadlineMs": 8000.0,
        "effect": "by_key",
        "dedupScope": "all",
        "memorySpanMs": WINDOW_MS,
        "points": 1.0,
        "lateWorth": 0.5,
        "stream": False,
    }
    config = c.settings(limits__connectTimeoutMs=1500.0, limits__secondCopies=False)
    config["classes"].append(report)
    sender = c.Sender(record, work, config, discovery)
    senders.append(sender)
    sender.start()
    sender.wait_ready()
    clients, stop = c.Clients(record, sender.port), threading.Event()
    clients.steady("status-notice", OTHER, 8000, 4.0, stop, "n")
    for group in PARTNERS:
        for warm in range(8):  # the partner at its usual pace
            clients.hand_in("usage-report", group, 8000, prefix="u", Idempotency_Key=f"usual-{group}-{warm}")
            time.sleep(0.25)
        time.sleep(1.0)
        key = f"report-{group}"
        if c.TROUBLE:
            slow.add(key)
        _, status = clients.hand_in("usage-report", group, 8000, prefix="u", Idempotency_Key=key)
        if status != 202:
            raise c.NotRun(f"a message was not taken on: {status}")
        c.until(lambda key=key: any(run.key == key for run in world.runs), "the first call")
        first = next(run.last_at for run in world.runs if run.key == key)
        if c.TROUBLE:
            time.sleep(max(first + LATE_FROM_MS - c.now(), 0.0) / 1000.0)
            record.add("connections of", group, "come up late")
            plugs = [one.be_late() for one in partners[group]]
            time.sleep(max(first + LATE_UNTIL_MS - c.now(), 0.0) / 1000.0)
            for one, held in zip(partners[group], plugs, strict=True):
                one.be_prompt(held)
            record.add("connections of", group, "come up at once")
        time.sleep(max(first + 6000.0 - c.now(), 0.0) / 1000.0)
    stop.set()
    broken = False
    for group in PARTNERS:
        key = f"report-{group}"
        calls = sorted(run.last_at for run in world.runs if run.key == key)
        after = [round(at - calls[0], 1) for at in calls[1:]]
        record.add("message", key, "calls after the first:", after)
        if any(one > WINDOW_MS + c.LATE_MS + HELD_UP_MS for one in after):
            record.add("BROKEN:", key, "was sent again after its window of", WINDOW_MS)
            broken = True
    return c.BROKEN if broken else c.HELD


c.play(Path(__file__).resolve().parent, case)
