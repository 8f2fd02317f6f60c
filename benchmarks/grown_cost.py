"""CPU time per message of a large fleet, compared with another checkout.

    python -m benchmarks.grown_cost --old CHECKOUT [--repeats 5]

Both simulate the same days in virtual time. The other checkout needs a simulator with the same knobs: to
compare an older decision module, copy its policy.py and state.py into a current checkout.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

SCRIPT = """
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


def cpu_us(tree: Path, seed: int) -> float:
    """Return microseconds of CPU time per message, including the simulator."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT, str(seed)], cwd=tree, capture_output=True, text=True, check=True
    )
    return float(done.stdout)


def main() -> None:
    """Measure both checkouts alternately and print the ratio of the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--repeats", type=int, default=5)
    args = parser.parse_args()
    trees = {"old": args.old, "new": Path.cwd()}
    costs: dict[str, list[float]] = {name: [] for name in trees}
    for seed in range(1, args.repeats + 1):
        for name, tree in trees.items():
            costs[name].append(cpu_us(tree, seed))
    for name, values in costs.items():
        median = statistics.median(values)
        print(f"{name}: {median:.0f} us a message ({min(values):.0f} to {max(values):.0f})")
    print(f"new / old: {statistics.median(costs['new']) / statistics.median(costs['old']):.3f}")


if __name__ == "__main__":
    main()
