"""Power cuts of a whole fleet under load: the daemon and all instances at once, and what they did not sync.

    python -m benchmarks.power_cuts [--instances 6] [--cuts 60] [--durability power] [--csv FILE]

Half of the messages may be carried once only. Tells messages that were answered 202 and have no end, unsafe
ones that ran twice, and messages with two ends. With durability ``power`` it exits with 1 where there is any;
with ``process`` where there is none, as the run should find what it takes away.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path
from random import Random

from benchmarks.tables import add, tell_long
from springspread.faults.chaos import ChaosFleet, running_fleet
from springspread.faults.observer import peak_ratio

LIMIT = (100, 1_000.0)  # so that there is always something held


def main() -> None:
    """Play and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--cuts", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--durability", choices=["process", "power"], default="power")
    parser.add_argument("--each-s", type=float, default=0.05, help="time between an instance's messages")
    parser.add_argument("--whole", action="store_true", help="nothing unsynced is ever on disk")
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rng = Random(f"{args.seed}/cuts")
    back = "" if args.whole else str(args.seed)
    made = {"lease_ms": 1000.0, "message_interval_s": args.each_s, "limit": LIMIT, "power": args.durability}
    made |= {"write_back": back}
    with running_fleet(ChaosFleet, args.instances, **made) as (chaos, outside):
        chaos.start_load()
        for _ in range(args.cuts):
            # Some come while the fleet returns from the one before.
            end = time.monotonic() + rng.choice((0.2, 1.0, 2.0, 3.0))
            while time.monotonic() < end:
                chaos.refresh_status()
                time.sleep(0.05)
            chaos.power_cut()
        chaos.wait_until_ready()
        chaos.stop_load()
    twice = [id for id in chaos.unsafe if outside.call_counts[id] > 1]
    ran_and_told = [id for id in chaos.unsafe if outside.call_counts[id] and outside.notices.get(id)]
    row = {
        "durability": args.durability,
        "instances": args.instances,
        "cuts": args.cuts,
        "losses": "whole" if args.whole else "parts, blocks",
        "messages": len(chaos.result.accepted),
        "unsafe": len(chaos.unsafe),
        "without_end": len(chaos.result.without_outcome),
        "unsafe_twice": len(twice),
        "two_ends": len(chaos.result.conflicting_outcomes),
        "over_limit": round(peak_ratio(outside.arrivals, LIMIT), 3),
        "ran_and_told_as_not": len(ran_and_told),  # an answer that was on its way, or on record nowhere yet
    }
    tell_long(row)
    add(args.csv, row)
    over = peak_ratio(outside.arrivals, LIMIT) > 1.0
    found = bool(chaos.result.without_outcome or twice or chaos.result.conflicting_outcomes or over)
    sys.exit(found if args.durability == "power" else not found)


if __name__ == "__main__":
    main()
