"""Recovery of a whole fleet from a power loss: as built, without each of its recovery gates, and all at once.

    python -m benchmarks.power_return [--instances 20] [--seconds 15] [--repeats 3]
        [--csv FILE] [--by-second FILE]
    python -m benchmarks.power_return --clocks [--csv FILE]

Half of the messages are unsafe to repeat; the limit of the partner is slightly above the load. With
``--clocks`` the machine's clock starts an hour early, an hour late, or in 1970, with and without its gate.
Exits with 1 if a guarantee is violated."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from benchmarks.tables import append_row, print_row
from springspread.faults.chaos import running_fleet
from springspread.faults.fleet_recovery import RecoveringFleet, RecoveryResult

NO_GATES = "clock_ms = 0.0\npolicy_ms = 0.0\nlist_ms = 0.0\nowed_ms = 0.0\n"
ARMS = {
    "as built": "",
    "no list gate": "list_ms = 0.0",
    "no owed gate": "owed_ms = 0.0",
    "no policy gate": "policy_ms = 0.0",
    "no gates": NO_GATES,
    "all start at once": "at_once = 1000",
    "all at once": NO_GATES + "at_once = 1000",
}
LIMIT_FACTOR = 1.3  # relative to the load


def run_return(args: argparse.Namespace, recovery: str, clock_s: float) -> RecoveryResult:
    """Run one power loss and return of a new fleet."""
    load_per_s = args.instances / args.each_s
    options = {
        "lease_ms": 1000.0,
        "message_interval_s": args.each_s,
        "limit": (int(LIMIT_FACTOR * load_per_s), 1_000.0),
    }
    options |= {"power": "power", "recovery": recovery}
    with running_fleet(RecoveringFleet, args.instances, **options) as (fleet, _):
        return fleet.recover(args.seconds, clock_s, args.away_s)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--each-s", type=float, default=0.2, help="time between an instance's messages")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--away-s", type=float, default=0.0, help="further outage of the partner")
    parser.add_argument("--only", choices=ARMS)
    parser.add_argument("--clocks", action="store_true")
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--by-second", type=Path)
    args = parser.parse_args()
    runs = [(name, recovery, 0.0) for name, recovery in ARMS.items() if args.only in (None, name)]
    if args.clocks:
        clocks = (-3600.0, 3600.0, -time.time())
        arms = (("as built", ""), ("no clock gate", "clock_ms = 0.0"))
        runs = [(arm, gates, clock_s) for clock_s in clocks for arm, gates in arms]
    broken = False
    for _ in range(args.repeats):
        for name, recovery, clock_s in runs:
            result = run_return(args, recovery, clock_s)
            clock = "1970" if clock_s < -1e6 else f"{clock_s / 3600.0:+g} h" if clock_s else "right"
            row = {
                "arm": name,
                "clock": clock,
                "away_s": args.away_s,
                "instances": args.instances,
                "owed": result.pending,
                "kept": result.delivered_in_time,
                "given_up": result.given_up,
                "late": result.late,
                "offered": result.submitted,
                "refused": result.refused,
                "taken": result.accepted,
                "failed": result.failed,
                "in_aim": result.in_aim,
                "first_s": round(result.first_s, 2),
                "usual_s": result.full_rate_s,
                "handshakes": result.handshakes,
                "list_requests": result.list_requests,
                "unsafe_twice": result.unsafe_twice,
                "without_end": result.without_outcome,
            }
            print_row(row)
            append_row(args.csv, row)
            for second, counts in enumerate(result.seconds):
                kinds = {kind: counts.get(kind, 0) for kind in ("offered", "taken", "refused", "delivered")}
                append_row(args.by_second, {"arm": name, "clock": clock, "second": second, **kinds})
            broken |= result.promise_violated
    sys.exit(broken)


if __name__ == "__main__":
    main()
