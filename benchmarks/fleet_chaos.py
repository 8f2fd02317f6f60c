"""Fifty instances on loopback against the town's partners, killed, ended and frozen at random.

    python -m benchmarks.fleet_chaos [--seconds 600] [--senders 50] [--apart] [--mode adaptive] [--csv FILE]

Tells the most calls in any 2 s over the limit, messages without exactly one end, refusals and worth.
``--apart`` plays the same day without shares. Exits with 1 where the checker finds a broken promise or, in a
fleet with exact limits, a span above its limit; with 3 where the town itself was late.
"""

from __future__ import annotations

import argparse
import resource
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

from benchmarks.tables import add, tell_long
from springspread.fleet.limits import LimitMode
from springspread.simulator.day import Day, SenderOutage, StopMode, draw
from springspread.simulator.sockets import SocketSimulation

LONGEST_MS = {StopMode.KILL: 3_000.0, StopMode.TERM: 6_000.0, StopMode.FREEZE: 10_000.0}


def fates(seed: int, senders: int, length_ms: float, each_ms: float) -> tuple[SenderOutage, ...]:
    """Stops one sender after the other, about every ``each_ms``; none while it is still away."""
    rng, made, free = Random(f"{seed}/fates"), [], [0.0] * senders
    at = 5_000.0
    while at < length_ms - 15_000.0:
        sender = rng.choice([n for n in range(senders) if free[n] <= at])
        stop_mode = rng.choice(list(StopMode))
        back_at = at + rng.uniform(4_500.0 if stop_mode is StopMode.TERM else 300.0, LONGEST_MS[stop_mode])
        made.append(SenderOutage(at, sender, back_at, stop_mode))
        free[sender] = back_at + 4_000.0
        at += rng.expovariate(1.0 / each_ms)
    return tuple(made)


def play(day: Day, mode: LimitMode) -> dict[str, object]:
    """Play it once; what came of it. CPU is that of the fleet's processes, for each call that they made."""
    before = _children_cpu_s()
    with tempfile.TemporaryDirectory(prefix="springspread-chaos-") as folder:
        town = SocketSimulation(day, Path(folder), mode)
        try:
            live = town.play()
        finally:
            town.close()
    tally = live.checker.tally
    for fault in live.checker.faults[:10]:
        print(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}", file=sys.stderr)
    answers = sum(fault.rule in ("lost", "answers") for fault in live.checker.faults)
    return {
        "kind": "fleet" if day.shared else "apart",
        "senders": day.senders,
        "seconds": round(day.length_ms / 1000),
        "kills": sum(death.stop_mode is StopMode.KILL for death in day.deaths),
        "ends": sum(death.stop_mode is StopMode.TERM for death in day.deaths),
        "freezes": sum(death.stop_mode is StopMode.FREEZE for death in day.deaths),
        "messages": tally.messages,
        "calls": tally.calls,
        "limit_ratio": round(tally.limit_ratio, 3),
        "without_one_end": answers,
        "broken": len(live.checker.faults),
        "refused": tally.refused,
        "failed": tally.failed,
        "service": round(tally.service, 4),
        "late_ms_p99": round(live.late_ms[0], 1),
        "cpu_ms_a_call": round(1000.0 * (_children_cpu_s() - before) / max(tally.calls, 1), 3),
    }


def _children_cpu_s() -> float:
    """CPU of processes that have ended and were waited for, by this one or by such a process."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Play and tell."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--senders", type=int, default=50)
    parser.add_argument("--per-s", type=float, default=100.0)
    parser.add_argument("--each-s", type=float, default=2.0, help="mean time between two fates")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--apart", action="store_true")
    parser.add_argument("--mode", choices=[mode.value for mode in LimitMode], default="exact")
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(max(soft, 16_384), hard), hard))
    length_ms = 1000.0 * args.seconds
    day = draw(
        args.seed,
        senders=args.senders,
        partners=20,
        per_s=args.per_s,
        load=0.8,
        length_ms=length_ms,
        shared=not args.apart,
    )
    deaths = fates(args.seed, args.senders, length_ms, 1000.0 * args.each_s)
    row = play(replace(day, deaths=deaths), LimitMode(args.mode))
    tell_long(row)
    add(args.csv, row)
    over = not args.apart and args.mode == "exact" and float(str(row["limit_ratio"])) > 1.0
    sys.exit(1 if row["broken"] or over else 3 if float(str(row["late_ms_p99"])) > 25.0 else 0)


if __name__ == "__main__":
    main()
