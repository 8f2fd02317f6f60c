"""Power cuts of a whole fleet under load: the daemon and all instances lose unsynced data at once.

    python -m benchmarks.power_cuts [--instances 6] [--cuts 60] [--durability power] [--csv FILE]

Half of the messages are unsafe to repeat. Prints messages that were answered 202 and have no outcome, unsafe
messages that ran twice, and messages with two outcomes. Exits with 1 if there are any with durability
``power``, or none with ``process``, where losses are expected.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path
from random import Random

from benchmarks.tables import append_row, print_columns
from springspread.faults.chaos import ChaosFleet, running_fleet
from springspread.faults.observer import peak_ratio

LIMIT = (100, 1_000.0)  # low, so that messages are always pending


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--cuts", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--durability", choices=["process", "power"], default="power")
    parser.add_argument("--each-s", type=float, default=0.05, help="time between an instance's messages")
    parser.add_argument("--whole", action="store_true", help="no unsynced data reaches the disk")
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rng = Random(f"{args.seed}/cuts")
    write_back = "" if args.whole else str(args.seed)
    options = {
        "lease_ms": 1000.0,
        "message_interval_s": args.each_s,
        "limit": LIMIT,
        "power": args.durability,
    }
    options |= {"write_back": write_back}
    with running_fleet(ChaosFleet, args.instances, **options) as (chaos, outside):
        chaos.start_load()
        for _ in range(args.cuts):
            # Some cuts come while the fleet is still recovering.
            end = time.monotonic() + rng.choice((0.2, 1.0, 2.0, 3.0))
            while time.monotonic() < end:
                chaos.refresh_status()
                time.sleep(0.05)
            chaos.power_cut()
        chaos.wait_until_ready()
        chaos.stop_load()
    ran_twice = [id for id in chaos.unsafe if outside.call_counts[id] > 1]
    ran_and_answered = [id for id in chaos.unsafe if outside.call_counts[id] and outside.notices.get(id)]
    row = {
        "durability": args.durability,
        "instances": args.instances,
        "cuts": args.cuts,
        "losses": "whole" if args.whole else "parts, blocks",
        "messages": len(chaos.result.accepted),
        "unsafe": len(chaos.unsafe),
        "without_end": len(chaos.result.without_outcome),
        "unsafe_twice": len(ran_twice),
        "two_ends": len(chaos.result.conflicting_outcomes),
        "over_limit": round(peak_ratio(outside.arrivals, LIMIT), 3),
        "ran_and_told_as_not": len(ran_and_answered),  # the answer was in flight or unrecorded
    }
    print_columns(row)
    append_row(args.csv, row)
    over_limit = peak_ratio(outside.arrivals, LIMIT) > 1.0
    violated = bool(
        chaos.result.without_outcome or ran_twice or chaos.result.conflicting_outcomes or over_limit
    )
    sys.exit(violated if args.durability == "power" else not violated)


if __name__ == "__main__":
    main()
