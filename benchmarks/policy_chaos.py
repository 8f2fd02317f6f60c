"""Successive policy changes on a real fleet, under load and random faults between its processes.

    python -m benchmarks.policy_chaos [--seconds 120] [--instances 8] [--seed 1] [--calm] [--csv FILE]
    python -m benchmarks.policy_chaos --replay FILE [--smaller TRIES] [--keep FILE]

Prints mixtures, answers that were undone, messages without an outcome, and the time from a proposal until it
is in force. Exits with 1 if there are any of the first three, or a window has more calls than ``--limit``;
the schedule is then saved, and can be replayed and minimized. ``--old`` runs the fleet of another checkout
without relays and changes, with faults of processes only."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import numpy as np

from benchmarks.tables import append_row, print_columns
from springspread.faults.chaos import ChaosFleet, ChaosResult, running_fleet
from springspread.faults.schedule import (
    FaultKind,
    ScheduledFault,
    format_schedule,
    minimize_schedule,
    parse_schedule,
    random_schedule,
)

LIMIT_SPAN_MS = 1_000.0
PROCESSES = (FaultKind.KILL, FaultKind.FREEZE, FaultKind.DAEMON)


def run_schedule(args: argparse.Namespace, acts: Sequence[ScheduledFault]) -> ChaosResult:
    """Run a schedule on a new fleet."""
    limit = (args.limit, LIMIT_SPAN_MS) if args.limit else None
    options = {
        "lease_ms": args.lease_ms,
        "message_interval_s": args.load_s,
        "limit": limit,
        "program": args.old,
    }
    with running_fleet(ChaosFleet, args.instances, **options) as (chaos, _):
        return chaos.play(acts, 1000.0 * args.seconds)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--each-s", type=float, default=1.0, help="mean time between two faults")
    parser.add_argument("--lease-ms", type=float, default=1500.0)
    parser.add_argument("--load-s", type=float, default=0.1, help="time between an instance's messages")
    parser.add_argument("--calm", action="store_true", help="no faults")
    parser.add_argument("--limit", type=int, default=0, help=f"calls in {LIMIT_SPAN_MS:g} ms at the partner")
    parser.add_argument("--processes", action="store_true", help="only kills, freezes and daemon deaths")
    parser.add_argument("--old", type=Path, help="a checkout from before there were policies")
    parser.add_argument("--replay", type=Path, help="replay this schedule")
    parser.add_argument("--smaller", type=int, default=0, help="runs for minimizing a failing schedule")
    parser.add_argument(
        "--keep", type=Path, default=Path("failing.json"), help="where a failing schedule is saved"
    )
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    length_ms = 1000.0 * args.seconds
    acts = () if args.calm else random_schedule(args.seed, args.instances, length_ms, 1000.0 * args.each_s)
    if args.replay is not None:
        acts = parse_schedule(args.replay.read_text())
    if args.processes or args.old:
        acts = tuple(act for act in acts if act.kind in PROCESSES)
    result = run_schedule(args, acts)
    if not result.promises_kept:
        if args.smaller:
            acts = minimize_schedule(
                acts, lambda part: not run_schedule(args, part).promises_kept, args.smaller
            )
        args.keep.write_text(format_schedule(acts))
        print(f"{args.keep}: the schedule, {len(acts)} acts; play it again with --replay")
    force_times = np.array(result.in_force or [float("nan")])
    row = {
        "program": "old" if args.old else "new",
        "instances": args.instances,
        "seconds": args.seconds,
        "seed": "calm" if args.calm else args.seed,
        "lease_ms": args.lease_ms,
        "proposals": result.proposals,
        "in_force": len(result.in_force),
        "refused": sum(result.refused.values()),
        "undecided": result.undecided,
        "unheard": result.unanswered,
        "calls": result.calls,
        "messages": len(result.accepted),
        "mixtures": len(result.mixtures),
        "undone": len(result.contradicted),
        "without_end": len(result.without_outcome),
        "two_ends": len(result.conflicting_outcomes),
        "limit_ratio": round(result.limit_ratio, 3),
        "begun_ratio": round(result.start_ratio, 3),
        "delivered": result.delivered,
        "p50_s": round(float(np.percentile(force_times, 50)), 2),
        "p99_s": round(float(np.percentile(force_times, 99)), 2),
        "most_s": round(float(force_times.max()), 2),
        "gap_p99_ms": round(float(np.percentile(result.gaps_within_policy or [float("nan")], 99)), 1),
        "gap_most_ms": round(max(result.gaps_within_policy, default=float("nan")), 1),
        "change_p99_ms": round(float(np.percentile(result.gaps_across_change or [float("nan")], 99)), 1),
        "change_most_ms": round(max(result.gaps_across_change, default=float("nan")), 1),
    }
    print_columns(row)
    for what, count in sorted(result.fault_counts.items()):
        print(f"  {what:24} {count}")
    for line in [
        *result.mixtures[:10],
        *result.contradicted[:10],
        *(f"{n} refused: {why}" for why, n in result.refused.items()),
    ]:
        print(f"  {line}")
    append_row(args.csv, row)
    sys.exit(0 if result.promises_kept else 1)


if __name__ == "__main__":
    main()
