"""Policy changes on a real fleet under load, by kind of fault: time until in force, and violated guarantees.

    python -m benchmarks.policy_rounds [--instances 20] [--changes 77] [--only NAME] [--csv FILE]

Each arm makes ``--changes`` changes; during each of them ``--many`` instances have the arm's fault. Exits
with 1 if a guarantee was violated.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import numpy as np

from benchmarks.tables import print_row, write_table
from springspread.faults.chaos import running_fleet
from springspread.faults.policy_change_rounds import ArmResult, PolicyChangeRounds, print_violations
from springspread.faults.schedule import FaultKind

ALL_KINDS = tuple(FaultKind)
ARMS: dict[str, tuple[tuple[FaultKind, ...], bool]] = {
    "none": ((), False),
    "none, limits move": ((), True),
    **{kind.value: ((kind,), False) for kind in FaultKind},
    "any kind, limits move": (ALL_KINDS, True),
}


def row_of(arm: ArmResult) -> dict[str, object]:
    """Return the row of an arm; times until in force are seconds, the stall is milliseconds."""
    force_times = np.array(arm.force_times_s or [float("nan")])
    before, after = (np.mean([pair[n] for pair in arm.service] or [float("nan")]) for n in (0, 1))
    return {
        "fault": arm.name,
        "changes": arm.changes,
        "faults": arm.fault_count,
        "messages": arm.messages,
        "calls": arm.calls,
        "mixtures": len(arm.mixtures),
        "undone": len(arm.contradicted),
        "late": len(arm.unresolved),
        "without_end": len(arm.without_outcome),
        "two_ends": len(arm.conflicting_outcomes),
        "over_limit": len(arm.over_limit),
        "unheard": arm.unanswered,
        "p50_s": round(float(np.percentile(force_times, 50)), 2),
        "p99_s": round(float(np.percentile(force_times, 99)), 2),
        "most_s": round(float(force_times.max()), 2),
        "stall_ms": round(arm.stall_ms, 1),
        "before": round(float(before), 4),
        "after": round(float(after), 4),
    }


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--many", type=int, default=5, help="instances with a fault at a time")
    parser.add_argument("--changes", type=int, default=77)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lease-ms", type=float, default=1000.0)
    parser.add_argument("--load-s", type=float, default=0.1, help="time between an instance's messages")
    parser.add_argument("--only", choices=list(ARMS))
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    broken, rows = 0, []
    options = {"lease_ms": args.lease_ms, "message_interval_s": args.load_s}
    with running_fleet(PolicyChangeRounds, args.instances, **options) as (rounds, _):
        for name, (kinds, limits) in ARMS.items():
            if args.only in (None, name):
                arm = rounds.run_arm(name, kinds, args.changes, args.many, args.seed, limits)
                rows.append(row_of(arm))
                print_row(rows[-1])
                print_violations(arm)
                broken += arm.violation_count
    write_table(args.csv, rows)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
