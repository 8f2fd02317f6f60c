"""A policy change on a real fleet whose daemon dies, or finds a full disk, at each of its steps.

    python -m benchmarks.policy_steps [--instances 3] [--csv FILE]

There is a step before and after each write, sync and message of the change. After each fault a new daemon
continues, and the change is requested until it is answered. Exits with 1 if a guarantee was violated.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.tables import print_row, write_table
from springspread.faults.chaos import running_fleet
from springspread.faults.failpoints import FailpointAction
from springspread.faults.policy_change_rounds import PolicyChangeRounds, print_violations

MAX_STEPS = 200


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows, broken = [], 0
    with running_fleet(PolicyChangeRounds, args.instances, lease_ms=1000.0, message_interval_s=0.05) as (
        rounds,
        _,
    ):
        for deed in FailpointAction:
            for at in range(1, MAX_STEPS):
                name, arm = rounds.run_failpoint(at, deed)
                if not name:
                    break
                seconds = round(max(arm.force_times_s, default=float("nan")), 2)
                row = {"deed": deed.value, "at": at, "moment": name, "seconds": seconds, "calls": arm.calls}
                rows.append({**row, "messages": arm.messages, "broken": arm.violation_count})
                print_row(rows[-1])
                print_violations(arm)
                broken += arm.violation_count
    write_table(args.csv, rows)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
