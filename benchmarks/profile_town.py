"""Where virtual time's seconds go: a day of 60 s under the standard profiler, and its speed without one.

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


def play(day: Day) -> float:
    """Play it; the seconds that it took."""
    with tempfile.TemporaryDirectory(prefix="springspread-profile-") as folder:
        town = VirtualSimulation(day, Path(folder))
        begun = time.perf_counter()
        town.play()
        return time.perf_counter() - begun


def main() -> None:
    """Measure and write."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    out = io.StringIO()
    many = draw(1, senders=50, partners=50, per_s=300.0, length_ms=20_000.0)
    for name, day in {
        "3 senders, 30 messages a second, 60 s": draw(1),
        "the same with 3 troubles and 3 drains": draw(1, troubles=3, drains=3),
        "50 senders, 300 messages a second, 20 s": many,
    }.items():
        took = [play(day) for _ in range(args.repeats)]
        middle = statistics.median(took)
        out.write(f"{name}: {middle:.2f} s ({min(took):.2f} to {max(took):.2f}), ")
        out.write(f"{len(day.arrivals) / middle:.0f} messages/s\n")
    profiler = cProfile.Profile()
    profiler.runcall(play, draw(1))
    out.write(f"\nThe first of them, under the profiler: the top {TOP} by own time\n")
    stats = pstats.Stats(profiler, stream=out)
    stats.strip_dirs().sort_stats("tottime").print_stats(TOP)
    text = "\n".join(line.rstrip() for line in out.getvalue().splitlines()) + "\n"
    sys.stdout.write(text)
    if args.out is not None:
        args.out.write_text(text)


if __name__ == "__main__":
    main()
