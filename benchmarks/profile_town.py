"""Profile of the virtual-time simulator on a day of 60 s, and its speed without the profiler.

python -m benchmarks.profile_town [--repeats 5] [--out FILE]
"""

from __future__ import annotations

import argparse
import cProfile
import io
import pstats
import statistics
import sys
import tempfile
import time
from pathlib import Path

from springspread.simulator.day import Day, draw
from springspread.simulator.virtual import VirtualSimulation

TOP = 10


def run_day(day: Day) -> float:
    """Simulate a day and return the seconds taken."""
    with tempfile.TemporaryDirectory(prefix="springspread-profile-") as folder:
        town = VirtualSimulation(day, Path(folder))
        start = time.perf_counter()
        town.play()
        return time.perf_counter() - start


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    out = io.StringIO()
    large = draw(1, senders=50, partners=50, per_s=300.0, length_ms=20_000.0)
    for name, day in {
        "3 senders, 30 messages a second, 60 s": draw(1),
        "the same with 3 troubles and 3 drains": draw(1, troubles=3, drains=3),
        "50 senders, 300 messages a second, 20 s": large,
    }.items():
        times = [run_day(day) for _ in range(args.repeats)]
        median = statistics.median(times)
        out.write(f"{name}: {median:.2f} s ({min(times):.2f} to {max(times):.2f}), ")
        out.write(f"{len(day.arrivals) / median:.0f} messages/s\n")
    profiler = cProfile.Profile()
    profiler.runcall(run_day, draw(1))
    out.write(f"\nThe first of them, under the profiler: the top {TOP} by own time\n")
    stats = pstats.Stats(profiler, stream=out)
    stats.strip_dirs().sort_stats("tottime").print_stats(TOP)
    text = "\n".join(line.rstrip() for line in out.getvalue().splitlines()) + "\n"
    sys.stdout.write(text)
    if args.out is not None:
        args.out.write_text(text)


if __name__ == "__main__":
    main()
