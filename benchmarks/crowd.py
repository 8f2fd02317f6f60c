"""Connection floods beside normal clients: admission rate, latency and resource use of the listener.

    python -m benchmarks.crowd --rates 0,100,500,2000 --seconds 10 --repeats 3 [--old CHECKOUT] [--csv FILE]

A third of the flood sends nothing, a third sends one request and stays connected, a third sends half a
request. Normal clients submit 40 messages per second, each on a new connection. ``--old`` also measures the
program of another checkout, alternating with this one.
"""

from __future__ import annotations

import argparse
import csv
import multiprocessing
import os
import selectors
import socket
import sys
import tempfile
import threading
import time
from dataclasses import asdict, dataclass, fields
from multiprocessing.connection import Connection
from pathlib import Path
from typing import TextIO

from tests.peer import Peer, Program

FLOOD_PAYLOADS = (b"", b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", b"POST /api HTTP/1.1\r\nContent-Le")
ANSWER_TIMEOUT_S = 3.0
NORMAL_PER_S = 40.0
NORMAL_TIMEOUT_S = 0.4


@dataclass(frozen=True)
class Row:
    """One run. Times are milliseconds from connecting to the answer, of normal clients."""

    program: str  # "new", or "old" for the other checkout
    repeat: int
    rate: int
    admitted_per_s: float  # flood connections answered or closed, per second
    heard_share: float  # flood connections answered or closed within 3 s
    served_share: float  # normal messages accepted within 400 ms
    p50_ms: float
    p99_ms: float
    most_ms: float
    cpu_s_per_s: float
    descriptors: int
    threads: int
    memory_mb: float
    late_ms: float  # maximum delay of the load generator


def flood(address: tuple[str, int], rate: int, seconds: float, pipe: Connection) -> None:
    """Open connections at a fixed rate, and count those answered or closed in time."""
    selector = selectors.DefaultSelector()
    opened: dict[socket.socket, float] = {}
    answered = total = admitted = 0
    max_late = 0.0
    start = time.monotonic()
    while (now := time.monotonic()) < start + seconds + ANSWER_TIMEOUT_S + 0.5:
        if rate and now < start + seconds:
            while total < (now - start) * rate:
                max_late = max(max_late, now - start - total / rate)
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(address)
                selector.register(sock, selectors.EVENT_WRITE, FLOOD_PAYLOADS[total % len(FLOOD_PAYLOADS)])
                opened[sock] = now
                total += 1
        for key, events in selector.select(0.002):
            sock = key.fileobj  # type: ignore[assignment]
            try:
                if events & selectors.EVENT_WRITE:
                    if key.data:
                        sock.send(key.data)
                    selector.modify(sock, selectors.EVENT_READ)
                    continue
                data = sock.recv(4096)
            except OSError:
                data = b""
            if sock in opened:
                answered += time.monotonic() - opened.pop(sock) <= ANSWER_TIMEOUT_S
                admitted += time.monotonic() < start + seconds
            if not data:
                selector.unregister(sock)
                sock.close()
    pipe.send((answered, total, admitted / seconds, max_late))


class NormalTraffic:
    """Normal clients: open-loop arrivals, each on its own thread."""

    def __init__(self, program: Program, seconds: float) -> None:
        self.program, self.seconds = program, seconds
        self.times: list[float] = []
        self.served = self.asked = 0
        self._lock = threading.Lock()

    def _submit(self, number: int) -> None:
        start = time.monotonic()
        try:
            accepted = self.program.hand_in(f"u{number}") in (200, 202)
        except OSError:
            accepted = False
        took = time.monotonic() - start
        with self._lock:
            self.served += accepted and took <= NORMAL_TIMEOUT_S
            self.times.append(1000 * took)

    def run(self) -> None:
        """Submit messages until the time is over, and wait for all answers."""
        start = time.monotonic()
        threads = []
        while time.monotonic() < start + self.seconds:
            thread = threading.Thread(target=self._submit, args=(self.asked,))
            thread.start()
            threads.append(thread)
            self.asked += 1
            time.sleep(max(start + self.asked / NORMAL_PER_S - time.monotonic(), 0.0))
        for thread in threads:
            thread.join()


def process_stats(pid: int) -> tuple[float, int, int, float]:
    """Return CPU seconds, descriptors, threads and resident MB of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return cpu, len(os.listdir(f"/proc/{pid}/fd")), int(stat[17]), resident / 1e6


def measure(name: str, repeat: int, rate: int, seconds: float, tree: Path) -> Row:
    """Measure one program at one rate."""
    peer = Peer()
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder), peer, tree=tree)
        try:
            ours, theirs = multiprocessing.Pipe()
            flooder = multiprocessing.Process(target=flood, args=(program.address, rate, seconds, theirs))
            flooder.start()
            normal = NormalTraffic(program, seconds)
            driver = threading.Thread(target=normal.run)
            cpu, *peak = process_stats(program.process.pid)
            start = time.monotonic()
            driver.start()
            while driver.is_alive():
                time.sleep(0.1)
                now_cpu, *current = process_stats(program.process.pid)
                peak = [max(pair) for pair in zip(peak, current, strict=True)]
            cpu_per_s = (now_cpu - cpu) / (time.monotonic() - start)
            answered, total, admitted, max_late = ours.recv()
            flooder.join()
        finally:
            program.process.kill()
            program.process.wait()
            peer.close()
    times = sorted(normal.times)
    return Row(
        name,
        repeat,
        rate,
        round(admitted, 1),
        round(answered / total if total else 1.0, 4),
        round(normal.served / normal.asked, 4),
        round(times[len(times) // 2], 2),
        round(times[int(len(times) * 0.99)], 2),
        round(times[-1], 2),
        round(cpu_per_s, 3),
        int(peak[0]),
        int(peak[1]),
        round(peak[2], 1),
        round(1000 * max_late, 1),
    )


def write(rows: list[Row], out: TextIO) -> None:
    """Write the rows as CSV."""
    writer = csv.DictWriter(out, [item.name for item in fields(Row)], lineterminator="\n")
    writer.writeheader()
    writer.writerows(map(asdict, rows))


def main() -> None:
    """Measure each rate and write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rates", default="0,100,500,2000")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--old", type=Path)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    programs = {"new": Path.cwd()} | ({"old": args.old} if args.old is not None else {})
    rows = []
    for rate in map(int, args.rates.split(",")):
        for repeat in range(args.repeats):
            for name, tree in programs.items():
                rows.append(measure(name, repeat, rate, args.seconds, tree))
                print(rows[-1], file=sys.stderr)
    write(rows, sys.stdout)
    if args.csv is not None:
        with args.csv.open("w") as out:
            write(rows, out)


if __name__ == "__main__":
    main()
