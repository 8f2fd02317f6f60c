"""Service for normal traffic beside 200 slow peers, against the same traffic without them.

    python -m benchmarks.slow [--seconds 20] [--rounds 3] [--csv FILE]

Of the 200, 60 clients send a byte per second, 60 send requests and never read an answer, and 80 partners
either accept a connection and read nothing or answer a byte per second. A tenth of the messages go to the
slow partners; the others go to a normal partner and are measured.
"""

from __future__ import annotations

import argparse
import contextlib
import csv
import json
import socket
import sys
import tempfile
import threading
import time
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

from benchmarks.crowd import NormalTraffic, process_stats
from tests.peer import Peer, Program

SLOW_CLIENTS, NON_READING_CLIENTS, SLOW_ENDPOINTS = 60, 60, 80
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass(frozen=True)
class Row:
    """One run, as seen by normal traffic. Times are milliseconds."""

    slow_peers: int
    messages: int
    taken_share: float  # answered 202 within 400 ms
    delivered_share: float  # reached the partner
    p50_ms: float
    p99_ms: float
    memory_mb: float
    threads: int


class SlowEndpoints:
    """Partners on one port: half of the connections are never read, half are answered a byte a second."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.sock.getsockname()[1]
        self.open = True
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        connections: list[socket.socket] = []
        self.sock.settimeout(1.0)
        while self.open:
            try:
                sock, _ = self.sock.accept()
                connections.append(sock)
            except TimeoutError:
                pass
            for sock in connections[::2]:
                try:
                    sock.send(b"H")
                except OSError:
                    connections.remove(sock)
                    sock.close()


def members(peer: Peer, endpoints: SlowEndpoints | None) -> dict[str, Any]:
    """Return the list: one normal partner, and the slow ones, each its own destination."""
    raw = peer.members()
    for n in range(SLOW_ENDPOINTS if endpoints is not None else 0):
        assert endpoints is not None
        line = {**raw["endpoints"][0], "name": f"slow-{n}", "group": 100 + n, "type": "dealer"}
        raw["endpoints"].append({**line, "address": f"127.0.0.1:{endpoints.port}"})
    return raw


class SlowClients:
    """Clients that send slowly and clients that never read; each reconnects when it is closed."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.open = address, True
        for n in range(SLOW_CLIENTS + NON_READING_CLIENTS):
            behavior = self._send_slowly if n < SLOW_CLIENTS else self._never_read
            threading.Thread(target=self._reconnect, args=(behavior,), daemon=True).start()

    def _reconnect(self, behavior: Any) -> None:
        while self.open:
            try:
                with socket.create_connection(self.address, timeout=5) as sock:
                    behavior(sock)
            except OSError:
                time.sleep(0.05)

    def _send_slowly(self, sock: socket.socket) -> None:
        for byte in b"POST /api HTTP/1.1\r\nHost: x\r\n":
            sock.send(bytes([byte]))
            time.sleep(1.0)

    def _never_read(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        sock.settimeout(10.0)
        while self.open:
            sock.sendall(HEALTH * 20)
            time.sleep(0.2)


class SlowTraffic:
    """Messages for the slow partners, four per second."""

    def __init__(self, program: Program) -> None:
        self.program, self.open = program, True
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        n = 0
        while self.open:
            n += 1
            with contextlib.suppress(OSError):
                self.program.hand_in(f"slow{n}", body=b"x" * 60_000, group=100 + n % SLOW_ENDPOINTS)
            time.sleep(0.25)


def measure(slow: bool, seconds: float) -> Row:
    """Measure one run."""
    peer, endpoints = Peer(), SlowEndpoints() if slow else None
    with tempfile.TemporaryDirectory() as folder:
        peer.watch_bodies = [json.dumps(members(peer, endpoints)).encode()]
        program = Program(Path(folder), peer, known=members(peer, endpoints), slots=100)
        try:
            background = [SlowClients(program.address), SlowTraffic(program)] if slow else []
            normal = NormalTraffic(program, seconds)
            normal.run()
            time.sleep(1.0)
            _, _, threads, memory = process_stats(program.process.pid)
            for generator in background:
                generator.open = False
            delivered = sum(id.startswith("u") for id in set(peer.ids()))
        finally:
            program.process.kill()
            program.process.wait()
            peer.close()
            if endpoints is not None:
                endpoints.open = False
    times = sorted(normal.times)
    return Row(
        SLOW_CLIENTS + NON_READING_CLIENTS + SLOW_ENDPOINTS if slow else 0,
        normal.asked,
        round(normal.served / normal.asked, 4),
        round(delivered / normal.asked, 4),
        round(times[len(times) // 2], 2),
        round(times[int(len(times) * 0.99)], 2),
        round(memory, 1),
        threads,
    )


def main() -> None:
    """Alternate runs without and with slow peers."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows = [measure(slow, args.seconds) for _ in range(args.rounds) for slow in (False, True)]
    for out in [sys.stdout] + ([args.csv.open("w")] if args.csv else []):
        writer = csv.DictWriter(out, [item.name for item in fields(Row)], lineterminator="\n")
        writer.writeheader()
        writer.writerows(map(asdict, rows))


if __name__ == "__main__":
    main()
