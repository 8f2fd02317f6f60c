"""Clients by the hundred a second beside usual ones: what the listener lets in, how fast, and what it costs.

    python -m benchmarks.crowd --rates 0,100,500,2000 --seconds 10 --repeats 3 [--old CHECKOUT] [--csv FILE]

A third of the crowd says nothing, a third asks once and stays, a third sends half a request. Usual clients
hand in 40 messages a second, each on a new connection. ``--old`` measures the program of another checkout
beside this one, in turn, so that both meet the same machine.
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

KINDS = (b"", b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", b"POST /api HTTP/1.1\r\nContent-Le")
OWED_S = 3.0
USUAL_PER_S = 40.0
LATE_S = 0.4


@dataclass(frozen=True)
class Row:
    """One run. Times are milliseconds from connecting to the verdict, of usual clients on new connections."""

    program: str  # "new", or "old" for the other checkout
    repeat: int
    rate: int
    admitted_per_s: float  # of the crowd, an answer or a close, a second while it came
    heard_share: float  # of the crowd, an answer or a close within 3 s
    served_share: float  # of the usual messages, taken on within 400 ms
    p50_ms: float
    p99_ms: float
    most_ms: float
    cpu_s_per_s: float
    descriptors: int
    threads: int
    memory_mb: float
    late_ms: float  # how late the generator itself was at worst


def crowd(address: tuple[str, int], rate: int, seconds: float, pipe: Connection) -> None:
    """Open connections at a rate, whatever becomes of them, and count those that heard something in time."""
    selector = selectors.DefaultSelector()
    opened: dict[socket.socket, float] = {}
    heard = total = admitted = 0
    late = 0.0
    start = time.monotonic()
    while (now := time.monotonic()) < start + seconds + OWED_S + 0.5:
        if rate and now < start + seconds:
            while total < (now - start) * rate:
                late = max(late, now - start - total / rate)
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(address)
                selector.register(sock, selectors.EVENT_WRITE, KINDS[total % len(KINDS)])
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
                heard += time.monotonic() - opened.pop(sock) <= OWED_S
                admitted += time.monotonic() < start + seconds
            if not data:
                selector.unregister(sock)
                sock.close()
    pipe.send((heard, total, admitted / seconds, late))


class Usual:
    """Usual clients: open-loop arrivals, each on a thread that does nothing else."""

    def __init__(self, program: Program, seconds: float) -> None:
        self.program, self.seconds = program, seconds
        self.times: list[float] = []
        self.served = self.asked = 0
        self._lock = threading.Lock()

    def _one(self, number: int) -> None:
        begun = time.monotonic()
        try:
            taken = self.program.hand_in(f"u{number}") in (200, 202)
        except OSError:
            taken = False
        took = time.monotonic() - begun
        with self._lock:
            self.served += taken and took <= LATE_S
            self.times.append(1000 * took)

    def run(self) -> None:
        """Hand messages in until the time is over and all have been answered."""
        start = time.monotonic()
        threads = []
        while time.monotonic() < start + self.seconds:
            thread = threading.Thread(target=self._one, args=(self.asked,))
            thread.start()
            threads.append(thread)
            self.asked += 1
            time.sleep(max(start + self.asked / USUAL_PER_S - time.monotonic(), 0.0))
        for thread in threads:
            thread.join()


def status(pid: int) -> tuple[float, int, int, float]:
    """CPU seconds, descriptors, threads and resident MB of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return cpu, len(os.listdir(f"/proc/{pid}/fd")), int(stat[17]), resident / 1e6


def measure(name: str, repeat: int, rate: int, seconds: float, tree: Path) -> Row:
    """One run of one program at one rate."""
    peer = Peer()
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder), peer, tree=tree)
        try:
            ours, theirs = multiprocessing.Pipe()
            work = multiprocessing.Process(target=crowd, args=(program.address, rate, seconds, theirs))
            work.start()
            usual = Usual(program, seconds)
            driver = threading.Thread(target=usual.run)
            cpu, *most = status(program.process.pid)
            begun = time.monotonic()
            driver.start()
            while driver.is_alive():
                time.sleep(0.1)
                now_cpu, *seen = status(program.process.pid)
                most = [max(pair) for pair in zip(most, seen, strict=True)]
            per_s = (now_cpu - cpu) / (time.monotonic() - begun)
            heard, total, admitted, late = ours.recv()
            work.join()
        finally:
            program.process.kill()
            program.process.wait()
            peer.close()
    times = sorted(usual.times)
    return Row(
        name,
        repeat,
        rate,
        round(admitted, 1),
        round(heard / total if total else 1.0, 4),
        round(usual.served / usual.asked, 4),
        round(times[len(times) // 2], 2),
        round(times[int(len(times) * 0.99)], 2),
        round(times[-1], 2),
        round(per_s, 3),
        int(most[0]),
        int(most[1]),
        round(most[2], 1),
        round(1000 * late, 1),
    )


def write(rows: list[Row], out: TextIO) -> None:
    """As CSV, a line a run."""
    writer = csv.DictWriter(out, [item.name for item in fields(Row)], lineterminator="\n")
    writer.writeheader()
    writer.writerows(map(asdict, rows))


def main() -> None:
    """Measure at each rate and write the table."""
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
