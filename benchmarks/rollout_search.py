"""Exhaustive search of the interleavings of a policy change, up to a number of states, with injected faults.

    python -m benchmarks.rollout_search [--most 1000000] [--csv FILE]

Exits with 1 if the protocol violates a guarantee or an injected fault is not found.
"""

from __future__ import annotations

import argparse
import csv
import sys
import time
from multiprocessing import Pool
from pathlib import Path

from springspread.faults.model_checker import Bounds, SearchResult, search
from springspread.faults.protocol_mutants import MUTANTS

SIZES = {
    "3 instances, from the first start": (Bounds(3), False),
    "3 instances, acting": (Bounds(3, moments=6, proposals=2), True),
    "2 instances, acting, deep": (Bounds(2, moments=5, proposals=1, refusals=0), True),
    "1 instance, acting, deep": (Bounds(1, moments=8, proposals=2, daemon_deaths=2), True),
}
FAULT_BOUNDS = Bounds(1, moments=6, proposals=2, deaths=0, daemon_deaths=1, refusals=1)
FAULT_BOUNDS_BY_NAME = {
    "a generation is not synced": Bounds(1, moments=4, proposals=1, deaths=0, daemon_deaths=2, refusals=0)
}


def run_search(job: tuple[str, int]) -> tuple[str, SearchResult, float]:
    """Run one search by name."""
    name, most = job
    start = time.monotonic()
    if name in SIZES:
        result = search(SIZES[name][0], max_worlds=most, running=SIZES[name][1])
    else:
        result = search(FAULT_BOUNDS_BY_NAME.get(name, FAULT_BOUNDS), MUTANTS[name], most, running=True)
    return name, result, time.monotonic() - start


def main() -> None:
    """Run all searches and print the results."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--most", type=int, default=1_000_000, help="states for each size of the real protocol"
    )
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    jobs = [(name, args.most) for name in (*SIZES, *MUTANTS)]
    rows, failures = [], 0
    with Pool() as pool:
        for name, result, took in pool.imap(run_search, jobs):
            failures += bool(result.violation) == (name in SIZES)
            complete = result.worlds < args.most and not result.violation
            rows.append(
                (
                    name,
                    result.worlds,
                    complete,
                    result.decided,
                    result.violation,
                    len(result.trace),
                    round(took),
                )
            )
            print(
                f"{name}: {result.worlds} worlds{' (all)' * complete}, "
                f"{result.violation or 'no promise broken'}"
            )
            for step in result.trace:
                print(f"    {step}")
    if args.csv is not None:
        with args.csv.open("w", newline="") as out:
            writer = csv.writer(out, lineterminator="\n")
            writer.writerow(("search", "worlds", "all", "decided", "broken", "steps", "seconds"))
            writer.writerows(rows)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
