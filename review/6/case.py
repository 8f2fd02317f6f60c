"""Case 6: one connection to the platform falls quiet, and the messages that end meanwhile are lost."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_2 as c

SHUT, USUAL = 7, (8, 9, 10)  # each partner gets a quarter of the traffic
SHUT_MS = 20_000.0
PER_S = 5.0
END_MS = 300.0  # after its time is up, a message has to have its end


def case(record: c.Record, work: Path, senders: list[c.Sender]) -> int:
    """Play it."""
    world = c.World(record)
    shut_until = [0.0]
    served_at: dict[str, float] = {}

    def special(endpoint: c.Endpoint, sock: socket.socket, request: c.Request) -> bool | None:
        id = request.headers.get("x-correlation-id", "")
        if endpoint.group == SHUT and c.now() < shut_until[0]:
            record.add("answered", endpoint.name, 503, id)
            sock.sendall(c.answer(503))
            return True
        time.sleep(0.3)
        sock.sendall(c.answer(200))
        served_at.setdefault(id, c.now())
        record.add("answered", endpoint.name, 200, id)
        return True

    endpoints = [
        c.Endpoint(world, f"s-{group}-{n}", group, "county-office", special=special)
        for group in (SHUT, *USUAL)
        for n in range(2)
    ]
    discovery = c.Discovery(record, [one.line() for one in endpoints])
    sender = c.Sender(record, work, c.settings(), discovery)
    senders.append(sender)
    sender.start()
    sender.wait_ready()
    clients, stop = c.Clients(record, sender.port), threading.Event()
    for group in (SHUT, *USUAL):
        clients.steady("status-notice", group, 8000, PER_S, stop, f"n{group}-")
    time.sleep(2.0)
    shut_until[0] = c.now() + SHUT_MS
    record.add("shut", SHUT)
    c.until(lambda: len(discovery.noticed_at) > 5, "messages that end by a notice")
    if c.TROUBLE:
        discovery.quiet_notices = 1
        record.add("the next connection for notices falls quiet")
    time.sleep(4.0)
    stop.set()
    time.sleep(9.5)
    taken = [id for id, status in clients.statuses.items() if status == 202]
    if len(taken) < 50 or (c.TROUBLE and discovery.quiet_notices):
        raise c.NotRun("too few messages, or no connection fell quiet")
    broken = False
    for id in taken:
        limit = clients.due[id] + END_MS + c.LATE_MS
        ends = [at for ended in (served_at, discovery.noticed_at) if (at := ended.get(id)) is not None]
        if not ends or min(ends) > limit:
            late = f"{min(ends) - clients.due[id]:.0f} ms after its time" if ends else "never"
            record.add("BROKEN:", id, "lost; it ended", late)
            broken = True
    return c.BROKEN if broken else c.HELD


c.play(Path(__file__).resolve().parent, case)
