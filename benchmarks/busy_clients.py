"""How long a normal client waits while others send requests at full speed.

    python -m benchmarks.busy_clients --kinds gets,heads --clients 1,4 --seconds 3 [--tree CHECKOUT]

The busy clients run in processes of their own; the normal one hands in a message every 30 ms, every second
one over a new connection. ``--tree`` measures the program of another checkout. A line for each run: the
waits (ms), how many were over the 400 ms that clients wait, and the peak of the program's memory.
"""

from __future__ import annotations

import argparse
import http.client
import multiprocessing
import socket
import statistics
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from tests.peer import Peer, Program

PAUSE_S = 0.03
CLIENT_WAIT_MS = 400.0
PIPELINED = 300

Address = tuple[str, int]


def many_gets(number: int) -> bytes:
    """Small requests, many at once."""
    return b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * PIPELINED


def new_paths(number: int) -> bytes:
    """Small requests for paths that were never asked for before."""
    paths = range(number * PIPELINED, (number + 1) * PIPELINED)
    return b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % path for path in paths)


def many_fields(number: int) -> bytes:
    """One head of 2,600 short fields."""
    return b"GET /_health HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % n for n in range(16, 2616)) + b"\r\n"


def new_classes(number: int) -> bytes:
    """Messages of classes that do not exist."""
    form = (
        b"POST /api HTTP/1.1\r\nX-Correlation-Id: u%d\r\nX-Service-Class: c%d\r\nX-Time-Left-Ms: 1000\r\n"
        b"X-Consignee: dest=7\r\nContent-Length: 2\r\n\r\nhi"
    )
    return b"".join(form % (n, n) for n in range(number * PIPELINED, (number + 1) * PIPELINED))


KINDS: dict[str, Callable[[int], bytes]] = {
    "gets": many_gets,
    "paths": new_paths,
    "heads": many_fields,
    "classes": new_classes,
}


def discard(sock: socket.socket) -> None:
    """Read answers until the connection ends."""
    try:
        while sock.recv(65536):
            pass
    except OSError:
        pass


def send_at_full_speed(address: Address, kind: str, until: float) -> None:
    """Send on one connection, and on another where that one is ended."""
    number = 0
    while time.monotonic() < until:
        try:
            with socket.create_connection(address) as sock:
                threading.Thread(target=discard, args=(sock,), daemon=True).start()
                while time.monotonic() < until:
                    sock.sendall(KINDS[kind](number))
                    number += 1
        except OSError:
            time.sleep(0.001)


def hand_in(connection: http.client.HTTPConnection, id: str) -> float:
    """Hand in one message; returns how long its answer took (ms)."""
    begun = time.monotonic()
    fields = {
        "X-Correlation-Id": id,
        "X-Service-Class": "note",
        "X-Time-Left-Ms": "4000",
        "X-Consignee": "dest=7",
    }
    connection.request("POST", "/api", b"hi", fields)
    connection.getresponse().read()
    return (time.monotonic() - begun) * 1000.0


def measure_waits(program: Program, until: float) -> list[float]:
    """The waits of the normal client; a kept connection that was ended counts for nothing."""
    waits: list[float] = []
    kept = program.connect()
    for number in range(100_000):
        if time.monotonic() >= until:
            break
        fresh = number % 2 == 0
        connection = program.connect() if fresh else kept
        try:
            waits.append(hand_in(connection, f"normal-{number}"))
        except (OSError, http.client.HTTPException):
            kept = kept if fresh else program.connect()
        if fresh:
            connection.close()
        time.sleep(PAUSE_S)
    return sorted(waits)


def peak_memory_mb(process_id: int) -> int:
    """The most memory that a process has had."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) // 1024


def run(kind: str, clients: int, seconds: float, tree: Path | None) -> None:
    """Measure one combination and print its line."""
    with tempfile.TemporaryDirectory() as folder:
        peer = Peer()
        program = Program(Path(folder), peer, tree=tree)
        until = time.monotonic() + seconds
        busy = [
            multiprocessing.Process(target=send_at_full_speed, args=(program.address, kind, until))
            for _ in range(clients)
        ]
        for process in busy:
            process.start()
        waits = measure_waits(program, until)
        for process in busy:
            process.join()
        late = sum(wait > CLIENT_WAIT_MS for wait in waits)
        memory = peak_memory_mb(program.process.pid)
        print(
            f"{kind:8} clients {clients:3} messages {len(waits):4} median {statistics.median(waits):7.1f} "
            f"most {waits[-1]:7.1f} over {CLIENT_WAIT_MS:g} ms {late:3} memory {memory} MB",
            flush=True,
        )
        program.end()
        peer.close()


def main() -> None:
    """Measure all combinations."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--clients", default="1,4")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--tree", type=Path)
    options = parser.parse_args()
    for kind in options.kinds.split(","):
        if kind not in KINDS:
            parser.error(f"--kinds: no such kind: {kind}; there are {', '.join(KINDS)}")
        for clients in options.clients.split(","):
            run(kind, int(clients), options.seconds, options.tree)


if __name__ == "__main__":
    main()
