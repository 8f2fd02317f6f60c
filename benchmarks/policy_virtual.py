"""The cost of policy changes, and of being ready for them, by fleet size, in virtual time.

    python -m benchmarks.policy_virtual [--sizes 10 50 200 1000] [--csv FILE]

The cost of a line at the daemon is measured first, in this process.
"""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path

import numpy as np

from benchmarks.tables import print_row, write_table
from springspread.faults.virtual_fleet import Costs, VirtualFleet
from springspread.fleet.wire import encode
from springspread.rollout.document import Policy
from springspread.rollout.protocol import Grant

IDLE_MS = 20_000.0
CHANGES = 10


def encode_ms() -> float:
    """Return the time to encode one grant (ms), without the socket."""
    grant = Grant((1, 2), 3, 123456.789, 234567.891)
    start = time.perf_counter()
    for _ in range(20_000):
        encode(grant)
    return (time.perf_counter() - start) / 20.0


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 50, 200, 1000])
    parser.add_argument("--socket-ms", type=float, default=0.02, help="time for the daemon to send a line")
    parser.add_argument("--config", type=Path, default=Path("deploy/sender.json"))
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    policy = Policy(json.loads(args.config.read_text())["settings"], {})
    costs = Costs(line=encode_ms() + args.socket_ms)
    print(f"a line: {costs.line * 1000:.0f} microseconds; the policy: {len(policy.text)} bytes")
    rows = []
    for size in args.sizes:
        for deaf in (0, size // 4):
            fleet = VirtualFleet(size, policy, deaf, costs=costs)
            before = (fleet.traffic.lines, fleet.traffic.bytes, time.process_time())
            fleet.run(IDLE_MS)
            seconds = size * IDLE_MS / 1000.0
            idle = (fleet.traffic.lines - before[0], fleet.traffic.bytes - before[1])
            cpu_us = 1e6 * (time.process_time() - before[2])
            start = (fleet.traffic.lines, fleet.traffic.bytes)
            change_ms, changing_ms = [], 0.0
            for _ in range(CHANGES):
                at = fleet.now
                change_ms.append(fleet.change())
                changing_ms += fleet.now - at
                newest = max(fleet.acting())
                assert fleet.acting()[newest] == size - deaf, fleet.acting()
            baseline = [count / IDLE_MS * changing_ms for count in idle]
            rows.append(
                {
                    "instances": size,
                    "deaf": deaf,
                    "idle_lines_each_s": round(idle[0] / seconds, 2),
                    "idle_bytes_each_s": round(idle[1] / seconds),
                    "idle_cpu_us_each_s": round(cpu_us / seconds),
                    "change_lines": round((fleet.traffic.lines - start[0] - baseline[0]) / CHANGES),
                    "change_bytes": round((fleet.traffic.bytes - start[1] - baseline[1]) / CHANGES),
                    "force_p50_ms": round(float(np.percentile(change_ms, 50))),
                    "force_most_ms": round(max(change_ms)),
                }
            )
            print_row(rows[-1])
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
