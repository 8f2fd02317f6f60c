"""What a fleet costs: memory and CPU of daemon and instances, and how soon a dead one's share is used.

python -m benchmarks.fleet_cost [--instances 50] [--seconds 10]
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from benchmarks.crowd import process_stats
from springspread.core.clock import SYSTEM
from springspread.core.types import Endpoint
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares
from springspread.fleet.limits import Limit
from springspread.logs import make_log
from tests.peer import Peer
from tests.test_config import make

LINK = Endpoint(1, "s-1", "127.0.0.1", 1, 1, False, 1)
LIMIT = Limit(200, 2_000.0)


def cost(instances: int, seconds: float) -> None:
    """An idle fleet of so many instances."""
    peer = Peer()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        raw = make(folder, discovery=f"127.0.0.1:{peer.port}", known=peer.members())
        (folder / "sender.json").write_text(json.dumps(raw))
        file = folder / "fleet.toml"
        text = f'folder = "f"\nconfig = "sender.json"\ninstances = {instances}\n[limits.g7]\ncalls = 40\n'
        file.write_text(text)
        line = [sys.executable, "-m", "springspread.cli", "fleet"]
        begun = time.monotonic()
        daemon = subprocess.Popen([*line, "run", str(file)], stderr=subprocess.DEVNULL)
        rows: list[dict[str, object]] = []
        while sum(bool(row["in_fleet"] and row["listen"]) for row in rows) < instances:
            time.sleep(0.2)
            done = subprocess.run([*line, "status", str(file), "--json"], capture_output=True, text=True)
            rows = json.loads(done.stdout) if done.returncode == 0 else []
        print(f"{instances} instances serve {time.monotonic() - begun:.1f} s after the daemon's start")
        pids = [int(str(row["pid"])) for row in rows]
        before = {pid: process_stats(pid)[0] for pid in [daemon.pid, *pids]}
        time.sleep(seconds)
        after = {pid: process_stats(pid) for pid in before}
        used = {pid: (after[pid][0] - before[pid]) / seconds for pid in before}
        memory = [after[pid][3] for pid in pids]
        print(f"an instance: {statistics.median(memory):.1f} MB (most {max(memory):.1f}),", end=" ")
        print(f"{1000 * statistics.mean(used[pid] for pid in pids):.1f} ms of CPU a second, idle")
        print(f"the daemon: {after[daemon.pid][3]:.1f} MB, {1000 * used[daemon.pid]:.1f} ms of CPU a second")
        daemon.terminate()
        daemon.wait()
    peer.close()


def call(path: Path, name: str) -> None:
    """Make calls as fast as the shares allow."""
    log, _ = make_log(name, 100)
    shares = FleetShares(path, name, 1, log)
    while True:
        shares.acquire(LINK)
        time.sleep(0.002)


def taken_over() -> float:
    """Milliseconds from the SIGKILL of one of two to the other's having 0.9 of the limit."""
    log, _ = make_log("cost", 100)
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "allot"
        server = AllocatorServer(path, Path(name), {"g1": LIMIT}, log)
        work = multiprocessing.get_context("spawn").Process(target=call, args=(path, "a"))
        work.start()
        shares, made, over = FleetShares(path, "b", 1, log), list[float](), threading.Event()

        def calls() -> None:
            while not over.is_set():
                if shares.acquire(LINK):
                    made.append(SYSTEM.now())
                time.sleep(0.002)

        thread = threading.Thread(target=calls, daemon=True)
        thread.start()
        time.sleep(6.0)
        killed = SYSTEM.now()
        work.kill()
        time.sleep(6.0)
        over.set()
        thread.join()
        work.join()
        shares.close()
        server.close()
    want = 0.9 * LIMIT.calls
    for at in made:
        if at > killed and sum(at - LIMIT.span_ms < other <= at for other in made) >= want:
            return at - killed
    return float("inf")


def main() -> None:
    """Measure and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    cost(args.instances, args.seconds)
    took = sorted(taken_over() for _ in range(3))
    told = ", ".join(f"{ms:.0f} ms" for ms in took)
    print(f"from a SIGKILL to 0.9 of a limit of 200 in 2 s elsewhere: {told}")
    os._exit(0)


if __name__ == "__main__":
    main()
