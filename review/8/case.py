"""Case 8: two upgrades while much is held put more into the lasting folder than it may hold."""

from __future__ import annotations

import contextlib
import http.client
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_2 as c

SILENT, USUAL = 7, (8, 9, 10)  # each partner gets a quarter of the traffic
SILENT_MS = 24_000.0
BODY = b"x" * 60_000
PER_S = 24.0
DISK_BYTES = 3 * 1024 * 1024  # ``disk_mb``: 3; the larger reading of it
BLOCK = 512


def scan(folder: Path) -> dict[str, int]:
    """The sizes of all files in a folder, by path."""
    found = {}
    for place, _, names in os.walk(folder):
        for name in names:
            found[os.path.join(place, name)] = os.stat(os.path.join(place, name)).st_size
    return found


class Gauge:
    """Measures the lasting folder: only where two scans in a row agree, so that no change falls between."""

    def __init__(self, record: c.Record, folder: Path) -> None:
        self.most, self._record, self._folder, self._open = 0, record, folder, True
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while self._open:
            with contextlib.suppress(OSError):
                sizes = scan(self._folder)
                used = sum(-(-size // BLOCK) * BLOCK for size in sizes.values())
                if used > self.most and sizes == scan(self._folder):
                    self.most = used
                    by_folder: dict[str, int] = {}
                    for path, size in sizes.items():
                        place = str(Path(path).parent.relative_to(self._folder))
                        by_folder[place] = by_folder.get(place, 0) + size
                    self._record.add("folder", used, by_folder)
            time.sleep(0.002)

    def close(self) -> None:
        """Stop."""
        self._open = False


def case(record: c.Record, work: Path, senders: list[c.Sender]) -> int:
    """Play it."""
    world = c.World(record)
    silent_until = [float("inf")]

    def special(endpoint: c.Endpoint, sock: socket.socket, request: c.Request) -> bool | None:
        if c.now() >= silent_until[0]:
            return None
        record.add("no answer", endpoint.name)
        return False

    silent = [c.Endpoint(world, f"s-{n}", SILENT, special=special) for n in range(2)]
    usual = [c.Endpoint(world, f"t-{group}-{n}", group) for group in USUAL for n in range(2)]
    discovery = c.Discovery(record, [one.line() for one in (*silent, *usual)])
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)  # the platform holds it
    fd, port = listener.fileno(), listener.getsockname()[1]

    def process() -> c.Sender:
        made = c.Sender(record, work, c.settings(), discovery, fd=fd, port=port)
        senders.append(made)
        return made

    running = process()
    gauge = Gauge(record, running.state)
    running.start(mgmt=c.free_port())
    running.wait_ready()
    clients, stop = c.Clients(record, port), threading.Event()

    def load() -> None:
        for n in range(100_000):
            if stop.wait(1.0 / PER_S):
                return
            group = (SILENT, *USUAL)[n % 4]
            cls, left = (("fee-payment", 28_000), ("status-notice", 8000))[n // 4 % 2]
            threading.Thread(target=clients.hand_in, args=(cls, group, left, BODY), daemon=True).start()

    silent_until[0] = c.now() + SILENT_MS
    threading.Thread(target=load, daemon=True).start()
    time.sleep(2.5)
    for _ in range(2 if c.TROUBLE else 0):
        mgmt = c.free_port()
        new = process()
        new.start(mgmt=mgmt)
        c.until(lambda mgmt=mgmt: ready(mgmt), "the new process", 6.0)
        record.add("the new process is ready")
        running.send(signal.SIGTERM)
        assert running.process is not None
        with contextlib.suppress(subprocess.TimeoutExpired):
            running.process.wait(3.7)
        record.add("the old process has ended", running.process.poll())
        running.end()
        running = new
        time.sleep(4.0)
    time.sleep(max(silent_until[0] + 2000.0 - c.now(), 0.0) / 1000.0)
    stop.set()
    gauge.close()
    record.add("most in the folder:", gauge.most, "allowed:", DISK_BYTES)
    if gauge.most > DISK_BYTES:
        record.add("BROKEN: the folder held more than disk_mb")
        return c.BROKEN
    return c.HELD


def ready(port: int) -> bool:
    """Whether the process that operators call at this port says that it can serve."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1.0)
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    return False


c.play(Path(__file__).resolve().parent, case)
