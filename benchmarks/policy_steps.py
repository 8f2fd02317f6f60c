"""A change of policy on a real fleet whose daemon dies, or meets a full disk, at each of its moments.

    python -m benchmarks.policy_steps [--instances 3] [--csv FILE]

A moment stands before and after each write, sync and message of the change. After each the next daemon goes
on, and the change is asked for until there is one answer. Exits with 1 where a promise was broken.
"""

from __future__ import annotations

import argparse
import csv
import sys
import tempfile
from pathlib import Path

from springspread.rig.partner import Outside
from springspread.rig.rounds import Rounds
from springspread.rig.steps import Deed

MOST = 200


def main() -> None:
    """Play and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    outside, rows, broken = Outside(), [], 0
    with tempfile.TemporaryDirectory(prefix="springspread-steps-") as place:
        rounds = Rounds(Path(place), outside, args.instances, 1000.0, 0.05)
        try:
            for deed in Deed:
                for at in range(1, MOST):
                    name, arm = rounds.moment(at, deed)
                    if not name:
                        break
                    seconds = round(max(arm.seconds, default=float("nan")), 2)
                    row = {
                        "deed": deed.value,
                        "at": at,
                        "moment": name,
                        "seconds": seconds,
                        "calls": arm.calls,
                    }
                    row |= {"messages": arm.messages, "broken": arm.broken}
                    rows.append(row)
                    print("  ".join(map(str, row.values())), flush=True)
                    faults = [*arm.mixtures, *arm.undone, *arm.late, *sorted(arm.without_end)]
                    for line in faults[:5]:
                        print(f"  BROKEN {line}", flush=True)
                    broken += arm.broken
        finally:
            rounds.close()
            outside.close()
    if args.csv is not None:
        with args.csv.open("w", newline="") as out:
            writer = csv.DictWriter(out, list(rows[0]), lineterminator="\n")
            writer.writeheader()
            writer.writerows(rows)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
