"""Processor time for each message of a grown fleet, against another checkout, in turn.

    python -m benchmarks.grown_cost --old CHECKOUT [--repeats 5]

Both play the same days of the town in virtual time. The other checkout needs a town with the same knobs, so
an older decision module is compared by putting its policy.py and state.py into a checkout of today's.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

PLAY = """
import sys, tempfile, time
from pathlib import Path
from springspread.simulator.day import draw
from springspread.simulator.virtual import VirtualSimulation
knobs = dict(senders=40, partners=5, per_s=60.0, load=1.0, length_ms=12000.0, tight=True, skew=0.5)
with tempfile.TemporaryDirectory() as folder:
    town = VirtualSimulation(draw(int(sys.argv[1]), **knobs), Path(folder))
    begun = time.process_time()
    tally = town.play().checker.tally
    print(1e6 * (time.process_time() - begun) / tally.messages)
"""


def cost(tree: Path, seed: int) -> float:
    """Microseconds of processor time a message, town included."""
    done = subprocess.run(
        [sys.executable, "-c", PLAY, str(seed)], cwd=tree, capture_output=True, text=True, check=True
    )
    return float(done.stdout)


def main() -> None:
    """Play in turn and print the ratio of the medians."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--old", type=Path, required=True)
    options.add_argument("--repeats", type=int, default=5)
    chosen = options.parse_args()
    trees = {"old": chosen.old, "new": Path.cwd()}
    took: dict[str, list[float]] = {name: [] for name in trees}
    for seed in range(1, chosen.repeats + 1):
        for name, tree in trees.items():
            took[name].append(cost(tree, seed))
    for name, values in took.items():
        middle = statistics.median(values)
        print(f"{name}: {middle:.0f} us a message ({min(values):.0f} to {max(values):.0f})")
    print(f"new / old: {statistics.median(took['new']) / statistics.median(took['old']):.3f}")


if __name__ == "__main__":
    main()
