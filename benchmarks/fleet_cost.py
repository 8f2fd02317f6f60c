"""Memory and CPU of a fleet's daemon and instances, and how soon the share of a dead instance is reused.

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

ENDPOINT = Endpoint(1, "s-1", "127.0.0.1", 1, 1, False, 1)
LIMIT = Limit(200, 2_000.0)


def measure_idle(instances: int, seconds: float) -> None:
    """Measure an idle fleet."""
    peer = Peer()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        raw = make(folder, discovery=f"127.0.0.1:{peer.port}", known=peer.members())
        (folder / "sender.json").write_text(json.dumps(raw))
        file = folder / "fleet.toml"
        text = f'folder = "f"\nconfig = "sender.json"\ninstances = {instances}\n[limits.g7]\ncalls = 40\n'
        file.write_text(text)
        command = [sys.executable, "-m", "springspread.cli", "fleet"]
        start = time.monotonic()
        daemon = subprocess.Popen([*command, "run", str(file)], stderr=subprocess.DEVNULL)
        rows: list[dict[str, object]] = []
        while sum(bool(row["in_fleet"] and row["listen"]) for row in rows) < instances:
            time.sleep(0.2)
            done = subprocess.run([*command, "status", str(file), "--json"], capture_output=True, text=True)
            rows = json.loads(done.stdout) if done.returncode == 0 else []
        print(f"{instances} instances serve {time.monotonic() - start:.1f} s after the daemon's start")
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


def call_forever(path: Path, name: str) -> None:
    """Make calls as fast as the shares allow."""
    log, _ = make_log(name, 100)
    shares = FleetShares(path, name, 1, log)
    while True:
        shares.acquire(ENDPOINT)
        time.sleep(0.002)


def takeover_ms() -> float:
    """Return the time from the SIGKILL of one of two senders until the other has 0.9 of the limit."""
    log, _ = make_log("cost", 100)
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "allot"
        server = AllocatorServer(path, Path(name), {"g1": LIMIT}, log)
        victim = multiprocessing.get_context("spawn").Process(target=call_forever, args=(path, "a"))
        victim.start()
        shares, call_times, stop = FleetShares(path, "b", 1, log), list[float](), threading.Event()

        def make_calls() -> None:
            while not stop.is_set():
                if shares.acquire(ENDPOINT):
                    call_times.append(SYSTEM.now())
                time.sleep(0.002)

        thread = threading.Thread(target=make_calls, daemon=True)
        thread.start()
        time.sleep(6.0)
        killed = SYSTEM.now()
        victim.kill()
        time.sleep(6.0)
        stop.set()
        thread.join()
        victim.join()
        shares.close()
        server.close()
    wanted = 0.9 * LIMIT.calls
    for at in call_times:
        if at > killed and sum(at - LIMIT.span_ms < other <= at for other in call_times) >= wanted:
            return at - killed
    return float("inf")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    measure_idle(args.instances, args.seconds)
    took = sorted(takeover_ms() for _ in range(3))
    times = ", ".join(f"{ms:.0f} ms" for ms in took)
    print(f"from a SIGKILL to 0.9 of a limit of 200 in 2 s elsewhere: {times}")
    os._exit(0)


if __name__ == "__main__":
    main()
