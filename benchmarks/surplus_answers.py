"""Plays days on which answers are written twice, around real senders, one play for each seed and moment.

python -m benchmarks.surplus_answers [--seeds 1,2,3] [--share 0.2] [--seconds 8] [--csv FILE]

Endpoints, discovery and the platform write the copies. Exits with 1 if a promise was broken.
"""

from __future__ import annotations

import argparse
import csv
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from springspread.simulator.day import draw
from springspread.simulator.sockets import SocketSimulation
from springspread.simulator.surplus import CopyMoment

COLUMNS = ("seed", "moment", "messages", "copies", "lost", "twice", "other faults", "service", "late_ms_p99")
TAIL_MS = 10_000.0  # after the day, for the messages that are still pending


def play(seed: int, moment: CopyMoment, share: float, length_ms: float) -> dict[str, object]:
    """Play one day with three senders and three partners that reject calls for a while."""
    day = draw(seed, senders=3, length_ms=length_ms, troubles=3, trouble="shut", copies=share)
    with tempfile.TemporaryDirectory(prefix="springspread-surplus-") as folder:
        town = SocketSimulation(day, Path(folder))
        town.copier.moments = (moment,)
        try:
            result = town.play(tail_ms=TAIL_MS)
        finally:
            town.close()
    checker = result.checker
    broken = Counter(fault.rule for fault in checker.faults)
    for fault in checker.faults[:3]:
        print(f"seed {seed}, {moment.value}: {fault}", file=sys.stderr)
    return {
        "seed": seed,
        "moment": moment.value,
        "messages": checker.tally.messages,
        "copies": sum(town.copier.written.values()),
        "lost": broken["lost"],
        "twice": broken["twice"],
        "other faults": broken.total() - broken["lost"] - broken["twice"],
        "service": round(checker.tally.service, 4),
        "late_ms_p99": round(result.late_ms[0], 1),
    }


def main() -> int:
    """Play all days and write the table; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", default="1,2,3", help="comma-separated")
    parser.add_argument("--share", type=float, default=0.2, help="of all answers that are written twice")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of a day")
    parser.add_argument("--processes", type=int, default=4, help="days at once; each takes two cores")
    parser.add_argument("--csv", type=Path, help="where the table goes; standard output by default")
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    with ProcessPoolExecutor(options.processes) as pool:
        plays = [
            pool.submit(play, seed, moment, options.share, 1000.0 * options.seconds)
            for seed in seeds
            for moment in CopyMoment
        ]
        rows = [one.result() for one in plays]
    with options.csv.open("w") if options.csv else sys.stdout as out:
        table = csv.DictWriter(out, COLUMNS, lineterminator="\n")
        table.writeheader()
        table.writerows(rows)
    return int(any(row["lost"] or row["twice"] or row["other faults"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
