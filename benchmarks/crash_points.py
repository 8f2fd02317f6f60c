"""Exhaustive crash-point search of the power-safe journal, and of variants with injected faults.

    python -m benchmarks.crash_points [--seeds 8] [--steps 120] [--csv FILE]

Exits with 1 if a guarantee is violated or an injected fault is not found.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.tables import print_row, write_table
from springspread.faults.crash_points import correct_journal, faulty_journals, search


def main() -> None:
    """Run the searches and print the results."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--steps", type=int, default=120)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows, passed = [], True
    for name, factory in (("", correct_journal), *faulty_journals()):
        states = points = 0
        broken = ""
        for seed in range(args.seeds):
            result = search(seed, args.steps, factory)
            states, points, broken = (
                states + result.states,
                points + result.points,
                broken or result.violation,
            )
            if broken:
                break
        passed &= bool(broken) == bool(name)
        rows.append({"journal": name or "as it is", "points": points, "states": states, "broken": broken})
        print_row(rows[-1])
    write_table(args.csv, rows)
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
