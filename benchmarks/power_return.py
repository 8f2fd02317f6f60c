"""The return of a whole fleet from a power loss: as built, without each of its gates, and all at once.

    python -m benchmarks.power_return [--instances 20] [--seconds 15] [--repeats 3]
        [--csv FILE] [--by-second FILE]
    python -m benchmarks.power_return --clocks [--csv FILE]

Half of the messages may be carried once only; the partner takes a little more than is offered. With
``--clocks`` the machine's clock comes up an hour early, an hour late, or in 1970, with and without its gate.
Exits with 1 where a promise is broken."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from benchmarks.tables import add, tell
from springspread.faults.chaos import running_fleet
from springspread.faults.fleet_recovery import RecoveringFleet, RecoveryResult

NONE = "clock_ms = 0.0\npolicy_ms = 0.0\nlist_ms = 0.0\nowed_ms = 0.0\n"
ARMS = {
    "as built": "",
    "no list gate": "list_ms = 0.0",
    "no owed gate": "owed_ms = 0.0",
    "no policy gate": "policy_ms = 0.0",
    "no gates": NONE,
    "all start at once": "at_once = 1000",
    "all at once": NONE + "at_once = 1000",
}
LIMIT = 1.3  # times what is offered


def play(args: argparse.Namespace, recovery: str, clock_s: float) -> RecoveryResult:
    """One return of a new fleet."""
    a_second = args.instances / args.each_s
    made = {"lease_ms": 1000.0, "message_interval_s": args.each_s, "limit": (int(LIMIT * a_second), 1_000.0)}
    made |= {"power": "power", "recovery": recovery}
    with running_fleet(RecoveringFleet, args.instances, **made) as (fleet, _):
        return fleet.recover(args.seconds, clock_s, args.away_s)


def main() -> None:
    """Play and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--each-s", type=float, default=0.2, help="time between an instance's messages")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--away-s", type=float, default=0.0, help="the partner is away for so much longer")
    parser.add_argument("--only", choices=ARMS)
    parser.add_argument("--clocks", action="store_true")
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--by-second", type=Path)
    args = parser.parse_args()
    plays = [(name, recovery, 0.0) for name, recovery in ARMS.items() if args.only in (None, name)]
    if args.clocks:
        clocks = (-3600.0, 3600.0, -time.time())
        arms = (("as built", ""), ("no clock gate", "clock_ms = 0.0"))
        plays = [(arm, how, clock_s) for clock_s in clocks for arm, how in arms]
    broken = False
    for _ in range(args.repeats):
        for name, recovery, clock_s in plays:
            told = play(args, recovery, clock_s)
            clock = "1970" if clock_s < -1e6 else f"{clock_s / 3600.0:+g} h" if clock_s else "right"
            row = {
                "arm": name,
                "clock": clock,
                "away_s": args.away_s,
                "instances": args.instances,
                "owed": told.pending,
                "kept": told.delivered_in_time,
                "given_up": told.given_up,
                "late": told.late,
                "offered": told.submitted,
                "refused": told.refused,
                "taken": told.accepted,
                "failed": told.failed,
                "in_aim": told.in_aim,
                "first_s": round(told.first_s, 2),
                "usual_s": told.full_rate_s,
                "handshakes": told.handshakes,
                "list_requests": told.list_requests,
                "unsafe_twice": told.unsafe_twice,
                "without_end": told.without_outcome,
            }
            tell(row)
            add(args.csv, row)
            for second, counts in enumerate(told.seconds):
                kinds = {kind: counts.get(kind, 0) for kind in ("offered", "taken", "refused", "delivered")}
                add(args.by_second, {"arm": name, "clock": clock, "second": second, **kinds})
            broken |= told.promise_violated
    sys.exit(broken)


if __name__ == "__main__":
    main()
