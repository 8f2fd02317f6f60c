"""A fleet that loses its power, and of whose files one, or two, come back damaged.

    python -m benchmarks.damaged_folders [--pairs 20] [--seed 1] [--csv FILE]

Each file of the fleet and of its first instance, torn, flipped, emptied and missing, one by one; then drawn
pairs. Exits with 1 where a message of an undamaged journal has no end, an unsafe one ran twice, or one has
two ends."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random

from benchmarks.tables import add, tell
from springspread.faults.chaos import running_fleet
from springspread.faults.damage import DAMAGE_KINDS, DamagedFleet


def main() -> None:
    """Play and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rng, broken = Random(f"{args.seed}/damage"), False
    made = {"lease_ms": 1000.0, "message_interval_s": 0.05, "power": "power"}
    with running_fleet(DamagedFleet, 2, **made) as (fleet, _):

        def play(damages: Sequence[tuple[str, str]]) -> bool:
            told = fleet.restart_damaged(damages)
            what = " + ".join(f"{name} {how}" for name, how in damages)
            refused = told.startup_error[-150:]
            row = {
                "damage": what,
                "lost": told.lost,
                "gone": told.lost_with_journal,
                "unsafe_twice": told.unsafe_twice,
            }
            row |= {"two_ends": told.conflicting_outcomes, "refused": refused}
            tell(row)
            add(args.csv, row)
            return told.promise_violated

        for kind in dict.fromkeys(name.rstrip("0123456789") for name in fleet.files):
            for how in DAMAGE_KINDS:  # a damaged journal goes on under another number
                name = next(name for name in fleet.files if name.startswith(kind))
                broken |= play([(name, how)])
        for _ in range(args.pairs):
            broken |= play([(name, rng.choice(list(DAMAGE_KINDS))) for name in rng.sample(fleet.files, 2)])
    sys.exit(broken)


if __name__ == "__main__":
    main()
