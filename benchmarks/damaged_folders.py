"""A fleet that loses power and restarts with one or two damaged files.

    python -m benchmarks.damaged_folders [--pairs 20] [--seed 1] [--csv FILE]

Each file of the fleet and of its first instance is torn, flipped, emptied and deleted in turn; then random
pairs are damaged. Exits with 1 if a message of an undamaged journal has no outcome, an unsafe message ran
twice, or a message has two outcomes."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random

from benchmarks.tables import append_row, print_row
from springspread.faults.chaos import running_fleet
from springspread.faults.damage import DAMAGE_KINDS, DamagedFleet


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rng, broken = Random(f"{args.seed}/damage"), False
    options = {"lease_ms": 1000.0, "message_interval_s": 0.05, "power": "power"}
    with running_fleet(DamagedFleet, 2, **options) as (fleet, _):

        def run_with(damages: Sequence[tuple[str, str]]) -> bool:
            result = fleet.restart_damaged(damages)
            description = " + ".join(f"{name} {how}" for name, how in damages)
            refused = result.startup_error[-150:]
            row = {
                "damage": description,
                "lost": result.lost,
                "gone": result.lost_with_journal,
                "unsafe_twice": result.unsafe_twice,
            }
            row |= {"two_ends": result.conflicting_outcomes, "refused": refused}
            print_row(row)
            append_row(args.csv, row)
            return result.promise_violated

        for kind in dict.fromkeys(name.rstrip("0123456789") for name in fleet.files):
            for how in DAMAGE_KINDS:  # a damaged journal continues under a new number
                name = next(name for name in fleet.files if name.startswith(kind))
                broken |= run_with([(name, how)])
        for _ in range(args.pairs):
            broken |= run_with(
                [(name, rng.choice(list(DAMAGE_KINDS))) for name in rng.sample(fleet.files, 2)]
            )
    sys.exit(broken)


if __name__ == "__main__":
    main()
