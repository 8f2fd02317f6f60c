"""Every interleaving of a change of policy, up to a number of worlds, and the planted faults.

    python -m benchmarks.rollout_search [--most 1000000] [--csv FILE]

Exits with 1 where the machine breaks a promise, or where a planted fault is not found.
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
SMALL = Bounds(1, moments=6, proposals=2, deaths=0, daemon_deaths=1, refusals=1)
OWN = {"a generation is not synced": Bounds(1, moments=4, proposals=1, deaths=0, daemon_deaths=2, refusals=0)}


def look(job: tuple[str, int]) -> tuple[str, SearchResult, float]:
    """One search, by its name."""
    name, most = job
    begun = time.monotonic()
    if name in SIZES:
        found = search(SIZES[name][0], max_worlds=most, running=SIZES[name][1])
    else:
        found = search(OWN.get(name, SMALL), MUTANTS[name], most, running=True)
    return name, found, time.monotonic() - begun


def main() -> None:
    """Search and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--most", type=int, default=1_000_000, help="worlds for each size of the real machine"
    )
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    jobs = [(name, args.most) for name in (*SIZES, *MUTANTS)]
    rows, wrong = [], 0
    with Pool() as pool:
        for name, found, took in pool.imap(look, jobs):
            wrong += bool(found.violation) == (name in SIZES)
            whole = found.worlds < args.most and not found.violation
            rows.append(
                (name, found.worlds, whole, found.decided, found.violation, len(found.trace), round(took))
            )
            print(
                f"{name}: {found.worlds} worlds{' (all)' * whole}, {found.violation or 'no promise broken'}"
            )
            for step in found.trace:
                print(f"    {step}")
    if args.csv is not None:
        with args.csv.open("w", newline="") as out:
            writer = csv.writer(out, lineterminator="\n")
            writer.writerow(("search", "worlds", "all", "decided", "broken", "steps", "seconds"))
            writer.writerows(rows)
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
