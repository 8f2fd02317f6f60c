"""Service for normal traffic beside 200 slow peers, against the same traffic without them.

    python -m benchmarks.slow [--seconds 20] [--rounds 3] [--csv FILE]

Of the 200, 60 clients send a byte a second, 60 ask without ever reading an answer, and 80 partners either
accept a request and read nothing or answer a byte a second. A tenth of the messages go to the slow partners;
what is counted are the others, which go to a partner of usual pace.
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

SLOW_CLIENTS, DEAF_CLIENTS, SLOW_ENDPOINTS = 60, 60, 80
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass(frozen=True)
class Row:
    """One run: what normal traffic got. Times are milliseconds."""

    slow_peers: int
    messages: int
    taken_share: float  # told 202 within 400 ms
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
        held: list[socket.socket] = []
        self.sock.settimeout(1.0)
        while self.open:
            try:
                sock, _ = self.sock.accept()
                held.append(sock)
            except TimeoutError:
                pass
            for sock in held[::2]:
                try:
                    sock.send(b"H")
                except OSError:
                    held.remove(sock)
                    sock.close()


def members(peer: Peer, endpoints: SlowEndpoints | None) -> dict[str, Any]:
    """The list: one partner of usual pace, and the slow ones, each a destination of its own."""
    raw = peer.members()
    for n in range(SLOW_ENDPOINTS if endpoints is not None else 0):
        assert endpoints is not None
        line = {**raw["endpoints"][0], "name": f"slow-{n}", "group": 100 + n, "type": "dealer"}
        raw["endpoints"].append({**line, "address": f"127.0.0.1:{endpoints.port}"})
    return raw


class SlowClients:
    """Clients that drip and clients that never read; each comes anew when it is ended."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.open = address, True
        for n in range(SLOW_CLIENTS + DEAF_CLIENTS):
            work = self._drip if n < SLOW_CLIENTS else self._deaf
            threading.Thread(target=self._again, args=(work,), daemon=True).start()

    def _again(self, work: Any) -> None:
        while self.open:
            try:
                with socket.create_connection(self.address, timeout=5) as sock:
                    work(sock)
            except OSError:
                time.sleep(0.05)

    def _drip(self, sock: socket.socket) -> None:
        for byte in b"POST /api HTTP/1.1\r\nHost: x\r\n":
            sock.send(bytes([byte]))
            time.sleep(1.0)

    def _deaf(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        sock.settimeout(10.0)
        while self.open:
            sock.sendall(HEALTH * 20)
            time.sleep(0.2)


class SlowTraffic:
    """Messages for the slow partners, four a second."""

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
    """One run."""
    peer, endpoints = Peer(), SlowEndpoints() if slow else None
    with tempfile.TemporaryDirectory() as folder:
        peer.watch_bodies = [json.dumps(members(peer, endpoints)).encode()]
        program = Program(Path(folder), peer, known=members(peer, endpoints), slots=100)
        try:
            others = [SlowClients(program.address), SlowTraffic(program)] if slow else []
            usual = NormalTraffic(program, seconds)
            usual.run()
            time.sleep(1.0)
            _, _, threads, memory = process_stats(program.process.pid)
            for other in others:
                other.open = False
            delivered = sum(id.startswith("u") for id in set(peer.ids()))
        finally:
            program.process.kill()
            program.process.wait()
            peer.close()
            if endpoints is not None:
                endpoints.open = False
    times = sorted(usual.times)
    return Row(
        SLOW_CLIENTS + DEAF_CLIENTS + SLOW_ENDPOINTS if slow else 0,
        usual.asked,
        round(usual.served / usual.asked, 4),
        round(delivered / usual.asked, 4),
        round(times[len(times) // 2], 2),
        round(times[int(len(times) * 0.99)], 2),
        round(memory, 1),
        threads,
    )


def main() -> None:
    """Runs with and without, in turn."""
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
