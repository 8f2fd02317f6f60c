"""Messages that are handed in again under their id after their clients have left: how many run twice.

    python -m benchmarks.repeated_ids --count 120 [--modes same,upgrade,term,kill] [--tree CHECKOUT]

Each client sends a payment and leaves 4 ms later, every second one with a reset. The same id comes again:
at once to the same process, or to the newer one of an upgrade, or after SIGTERM or SIGKILL and a start; and
later twice more. ``--tree`` plays the program of another checkout.
"""

from __future__ import annotations

import argparse
import signal
import socket
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from tests.peer import Peer, Program

LEAVES_AFTER_S = 0.004
CLIENT_WAIT_S = 0.4
SETTLE_S = 6.0  # an old process has ended, and what it owed has been taken over
RESET = b"\x01\0\0\0\0\0\0\0"
MODES = {"same": None, "upgrade": signal.SIGTERM, "term": signal.SIGTERM, "kill": signal.SIGKILL}

Address = tuple[str, int]


def request(id: str) -> bytes:
    """A payment."""
    return (
        f"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: pay\r\n"
        "X-Time-Left-Ms: 8000\r\nX-Consignee: dest=7\r\nContent-Length: 2\r\n\r\nhi"
    ).encode()


def hand_in_and_leave(address: Address, id: str, reset: bool) -> None:
    """Send a payment, and leave before its answer is read."""
    with socket.create_connection(address, timeout=1.0) as sock:
        sock.sendall(request(id))
        time.sleep(LEAVES_AFTER_S)
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def hand_in_again(address: Address, ids: list[str], statuses: Counter[str]) -> None:
    """Hand payments in again, and count the answers."""
    for id in ids:
        try:
            with socket.create_connection(address, timeout=CLIENT_WAIT_S) as sock:
                sock.sendall(request(id))
                statuses[sock.recv(4096)[9:12].decode()] += 1
        except OSError as exc:
            statuses[type(exc).__name__] += 1


def play(mode: str, count: int, tree: Path | None) -> None:
    """Play one mode and print its line."""
    statuses: Counter[str] = Counter()
    ids = [f"{mode}-{number}" for number in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        peer = Peer()
        program = Program(Path(folder), peer, slots=40, tree=tree)
        other = Program(Path(folder), peer, slots=40, tree=tree) if mode == "upgrade" else program
        for number, id in enumerate(ids):
            hand_in_and_leave(program.address, id, reset=number % 2 == 1)
            if mode in ("same", "upgrade"):
                hand_in_again(other.address, [id], statuses)
            if mode == "upgrade" and number == count // 2:
                threading.Thread(target=program.end, args=(signal.SIGTERM,)).start()
        if mode in ("term", "kill"):
            program.end(MODES[mode] or signal.SIGKILL)
            program.start()
            hand_in_again(program.address, ids, statuses)
        for _ in range(2):
            time.sleep(SETTLE_S)
            hand_in_again(other.address, ids, statuses)
        calls = Counter(peer.ids())
        twice = sum(calls[id] > 1 for id in ids)
        print(f"{mode:8} ran twice {twice:3} of {len(calls)}; answers {dict(statuses)}", flush=True)
        Program.kill_all()
        peer.close()


def main() -> None:
    """Play all modes."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--count", type=int, default=120)
    parser.add_argument("--modes", default=",".join(MODES))
    parser.add_argument("--tree", type=Path)
    options = parser.parse_args()
    for mode in options.modes.split(","):
        if mode not in MODES:
            parser.error(f"--modes: no such mode: {mode}; there are {', '.join(MODES)}")
        play(mode, options.count, options.tree)


if __name__ == "__main__":
    main()
