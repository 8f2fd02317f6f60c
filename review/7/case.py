"""Case 7: a whole list of 3,200 endpoints is never read, and a partner gets another partner's messages."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_2 as c

ENDPOINTS = 3200
GROUP, OTHER = 7, 8
DOWN_MS = 8000.0
TOLD_MS = 6000.0  # a change counts as told at the latest so long after discovery could be reached
GRACE_MS = 500.0


def case(record: c.Record, work: Path, senders: list[c.Sender]) -> int:
    """Play it."""
    world = c.World(record)
    foreign: list[str] = []

    def special(endpoint: c.Endpoint, sock: socket.socket, request: c.Request) -> bool | None:
        id = request.headers.get("x-correlation-id", "")
        if id.startswith(f"n{endpoint.group}-"):
            return None
        foreign.append(id)  # it is the message of another destination
        record.add("answered", endpoint.name, 400, id)
        sock.sendall(c.answer(400))
        return True

    mine = [c.Endpoint(world, f"s-{n:08x}", GROUP, service_ms=350.0, special=special) for n in range(3)]
    others = [c.Endpoint(world, f"s-{n:08x}", OTHER, service_ms=350.0, special=special) for n in range(3, 5)]
    idle = c.Endpoint(world, "idle", 0)  # at the addresses of the endpoints that get nothing here
    lines = [one.line() for one in (*mine, *others)]
    for n in range(len(lines), ENDPOINTS):
        zone = ("north-bldg", "south-bldg")[n % 2]
        address = f"127.{1 + n // 250}.0.{1 + n % 250}:{idle.port}"
        lines.append(c.line(f"s-{n:08x}", address, 100 + n // 2, "dealer", zone))
    discovery = c.Discovery(record, lines)
    sender = c.Sender(record, work, c.settings(), discovery)
    senders.append(sender)
    sender.start()
    sender.wait_ready()
    clients, stop = c.Clients(record, sender.port), threading.Event()
    clients.steady("status-notice", GROUP, 8000, 6.0, stop, f"n{GROUP}-")
    clients.steady("status-notice", OTHER, 8000, 2.0, stop, f"n{OTHER}-")
    time.sleep(5.0)
    if c.TROUBLE:
        discovery.set_mode("down")
        time.sleep(DOWN_MS / 2000.0)
    leaves = max(mine, key=lambda one: sum(run.endpoint == one.name for run in list(world.runs)))
    drained_at = discovery.change(leaves.name, "Terminating")
    if c.TROUBLE:
        time.sleep(DOWN_MS / 2000.0)
        discovery.forget_changes()  # it comes back with the list and no record of earlier changes
        drained_at = discovery.set_mode("up")
    limit = drained_at + TOLD_MS + GRACE_MS + c.LATE_MS
    record.add("no new work any more to", leaves.name, at=limit)
    time.sleep(max(limit + 1000.0 - c.now(), 0.0) / 1000.0)
    # It has gone, and an endpoint of the other destination replaces one at its address.
    gone = leaves.name
    leaves.name, leaves.group = "s-00000c80", OTHER
    record.add("at the address of", gone, "there is now", leaves.name, f"dest={OTHER}")
    discovery.replace(gone, leaves.line())
    time.sleep(25.0)
    stop.set()
    time.sleep(1.0)
    if not any(run.endpoint == gone for run in world.runs):
        raise c.NotRun("the endpoint had no calls before")
    record.add(
        "calls by endpoint",
        {
            name: sum(run.endpoint == name for run in world.runs)
            for name in sorted({run.endpoint for run in world.runs})
        },
    )
    for id in foreign:
        record.add("BROKEN:", id, f"is of dest={GROUP} and went to {leaves.name}, dest={OTHER}")
    return c.BROKEN if foreign else c.HELD


c.play(Path(__file__).resolve().parent, case)
