"""Compares the simulator's two drivers: the same ten days in virtual time and on sockets.

python -m benchmarks.drivers [--seconds 8] [--csv FILE]
"""

from __future__ import annotations

import argparse
import csv
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from springspread.simulator.day import Day, draw
from springspread.simulator.sockets import SocketSimulation
from springspread.simulator.virtual import VirtualSimulation

COLUMNS = (
    "scenario",
    "messages",
    "service_virtual",
    "service_sockets",
    "difference",
    "refused_virtual",
    "refused_sockets",
    "faults_virtual",
    "faults_sockets",
    "late_ms_p99",
    "virtual_messages_per_s",
)


def scenarios(length_ms: float) -> dict[str, Day]:
    """Return ten days by name."""
    days = {"calm": draw(1, senders=2, length_ms=length_ms)}
    for n, trouble in enumerate(("refusing", "silent", "failing", "shut", "slow")):
        days[trouble] = draw(2 + n, senders=2, length_ms=length_ms, troubles=3, trouble=trouble)
    days["drains"] = draw(7, senders=2, length_ms=length_ms, drains=5)
    days["overload"] = draw(8, senders=2, length_ms=length_ms, load=1.2)
    days["all"] = draw(9, senders=3, length_ms=length_ms, load=0.9, troubles=3, drains=3)
    days["five senders"] = draw(10, senders=5, length_ms=length_ms, per_s=50.0, troubles=2)
    return days


def compare(name: str, day: Day) -> dict[str, object]:
    """Run one day with both drivers."""
    with tempfile.TemporaryDirectory(prefix="springspread-drivers-") as folder:
        start = time.perf_counter()
        virtual = VirtualSimulation(day, Path(folder) / "virtual").play().checker
        took = time.perf_counter() - start
        town = SocketSimulation(day, Path(folder) / "sockets")
        try:
            sockets = town.play()
        finally:
            town.close()
    virtual_tally, sockets_tally = virtual.tally, sockets.checker.tally
    for fault in sockets.checker.faults[:3]:
        print(name, fault, file=sys.stderr)
    return {
        "scenario": name,
        "messages": virtual_tally.messages,
        "service_virtual": round(virtual_tally.service, 4),
        "service_sockets": round(sockets_tally.service, 4),
        "difference": round(sockets_tally.service - virtual_tally.service, 4),
        "refused_virtual": virtual_tally.refused,
        "refused_sockets": sockets_tally.refused,
        "faults_virtual": len(virtual.faults),
        "faults_sockets": len(sockets.checker.faults),
        "late_ms_p99": round(sockets.late_ms[0], 1),
        "virtual_messages_per_s": round(virtual_tally.messages / took),
    }


def main() -> None:
    """Run each day with both drivers and write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--processes", type=int, default=4, help="days at once; each takes two cores")
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(compare, *zip(*scenarios(1000 * args.seconds).items(), strict=True)))
    for out in [sys.stdout] + ([args.csv.open("w", newline="")] if args.csv else []):
        writer = csv.DictWriter(out, COLUMNS, lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


if __name__ == "__main__":
    main()
