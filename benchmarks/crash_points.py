"""Every crash point of a journal that outlasts power losses, and faults planted in it.

    python -m benchmarks.crash_points [--seeds 8] [--steps 120] [--csv FILE]

Exits with 1 where a promise is broken, or a planted fault is not found.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.tables import tell, write_table
from springspread.faults.crash_points import correct_journal, faulty_journals, search


def main() -> None:
    """Search and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--steps", type=int, default=120)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows, right = [], True
    for name, make in (("", correct_journal), *faulty_journals()):
        states = points = 0
        broken = ""
        for seed in range(args.seeds):
            found = search(seed, args.steps, make)
            states, points, broken = states + found.states, points + found.points, broken or found.violation
            if broken:
                break
        right &= bool(broken) == bool(name)
        rows.append({"journal": name or "as it is", "points": points, "states": states, "broken": broken})
        tell(rows[-1])
    write_table(args.csv, rows)
    sys.exit(0 if right else 1)


if __name__ == "__main__":
    main()
