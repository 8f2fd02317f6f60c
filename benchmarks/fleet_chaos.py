"""Fifty instances against simulated partners on loopback, killed, terminated and frozen at random.

    python -m benchmarks.fleet_chaos [--seconds 600] [--senders 50] [--apart] [--mode adaptive] [--csv FILE]

Prints the peak number of calls in 2 s relative to the limit, messages without exactly one outcome, refusals
and worth. ``--apart`` runs the same day without shares. Exits with 1 if a guarantee is violated or, in a
fleet with exact limits, a window exceeds its limit; with 3 if the simulator itself was late.
"""

from __future__ import annotations

import argparse
import resource
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

from benchmarks.tables import append_row, print_columns
from springspread.fleet.limits import LimitMode
from springspread.simulator.day import Day, SenderOutage, StopMode, draw
from springspread.simulator.sockets import SocketSimulation

MAX_AWAY_MS = {StopMode.KILL: 3_000.0, StopMode.TERM: 6_000.0, StopMode.FREEZE: 10_000.0}


def draw_deaths(seed: int, senders: int, length_ms: float, each_ms: float) -> tuple[SenderOutage, ...]:
    """Draw deaths of random senders, about one per ``each_ms``; no sender dies while it is away."""
    rng, drawn, available_at = Random(f"{seed}/fates"), [], [0.0] * senders
    at = 5_000.0
    while at < length_ms - 15_000.0:
        available = [n for n in range(senders) if available_at[n] <= at]
        if not available:
            at = min(available_at)  # all are away: the next death waits for a return
            continue
        sender = rng.choice(available)
        stop_mode = rng.choice(list(StopMode))
        back_at = at + rng.uniform(4_500.0 if stop_mode is StopMode.TERM else 300.0, MAX_AWAY_MS[stop_mode])
        drawn.append(SenderOutage(at, sender, back_at, stop_mode))
        available_at[sender] = back_at + 4_000.0
        at += rng.expovariate(1.0 / each_ms)
    return tuple(drawn)


def run_day(day: Day, mode: LimitMode) -> dict[str, object]:
    """Run a day and return its row; CPU is that of the fleet's processes, per call."""
    cpu_before_s = _children_cpu_s()
    with tempfile.TemporaryDirectory(prefix="springspread-chaos-") as folder:
        town = SocketSimulation(day, Path(folder), mode)
        try:
            outcome = town.play()
        finally:
            town.close()
    tally = outcome.checker.tally
    for fault in outcome.checker.faults[:10]:
        print(f"BROKEN {fault.rule} at {fault.at:.0f} ms, {fault.sender}: {fault.text}", file=sys.stderr)
    without_one_outcome = sum(fault.rule in ("lost", "answers") for fault in outcome.checker.faults)
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
        "without_one_end": without_one_outcome,
        "broken": len(outcome.checker.faults),
        "refused": tally.refused,
        "failed": tally.failed,
        "service": round(tally.service, 4),
        "late_ms_p99": round(outcome.late_ms[0], 1),
        "cpu_ms_a_call": round(1000.0 * (_children_cpu_s() - cpu_before_s) / max(tally.calls, 1), 3),
    }


def _children_cpu_s() -> float:
    """Return the CPU seconds of ended descendant processes."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--senders", type=int, default=50)
    parser.add_argument("--per-s", type=float, default=100.0)
    parser.add_argument("--each-s", type=float, default=2.0, help="mean time between two deaths")
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
    deaths = draw_deaths(args.seed, args.senders, length_ms, 1000.0 * args.each_s)
    row = run_day(replace(day, deaths=deaths), LimitMode(args.mode))
    print_columns(row)
    append_row(args.csv, row)
    over = not args.apart and args.mode == "exact" and float(str(row["limit_ratio"])) > 1.0
    sys.exit(1 if row["broken"] or over else 3 if float(str(row["late_ms_p99"])) > 25.0 else 0)


if __name__ == "__main__":
    main()
