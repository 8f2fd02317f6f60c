"""A fleet of stub senders: the cost of control for each sender and each allocator at a large size.

    python -m benchmarks.hollow_fleet [--senders 1100] [--destinations 140000] [--per-s 200000]
        [--seconds 15] [--warm-s 6] [--seed 1] [--faults calm] [--tight 0.0] [--csv FILE]

Virtual time, with the real control code; ``springspread.faults.hollow`` describes the model.
``--faults`` is one of the names in ``springspread.faults.hollow.faults.SCHEDULES``, or several joined with
``+``.

    python -m benchmarks.hollow_fleet --sockets [--senders 200] [--destinations 5000] [--per-s 2000]
        [--seconds 60] [--processes 4] [--mode adaptive]

Real sockets on loopback, against one real allocator.

    python -m benchmarks.hollow_fleet --true [--senders 8] [--per-s 60] [--seconds 60] [--mode exact]

The same day with real instances of the program and with as many stubs: lines and bytes of both.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import tempfile
from collections.abc import Sequence
from pathlib import Path

from benchmarks.tables import append_row
from springspread.faults.hollow.comparison import compare
from springspread.faults.hollow.faults import SCHEDULES
from springspread.faults.hollow.fleet import FleetSize
from springspread.faults.hollow.report import Row, digest
from springspread.faults.hollow.runner import Plan, run_fleet
from springspread.faults.hollow.sockets import SocketPlan, run_on_sockets
from springspread.faults.hollow.traffic import TrafficModel
from springspread.fleet.limits import LimitMode
from springspread.rollout.document import Policy
from springspread.simulator.day import draw


def machine() -> str:
    """Return the number and model of the processors."""
    lines = Path("/proc/cpuinfo").read_text().splitlines()
    models = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return f"{len(models)} x {models[0]}" if models else "unknown"


def commit() -> str:
    """Return the commit of the working copy, marked if it has changes."""
    line = ["git", "describe", "--always", "--dirty", "--exclude", "*"]
    return subprocess.run(line, capture_output=True, text=True).stdout.strip() or "unknown"


def write_figures(run: str, rows: Sequence[Row], csv: Path | None) -> None:
    """Print the figures and append them to a table."""
    revision, host = commit(), machine()
    print(f"run {run}")
    for row in rows:
        value = float(f"{row.value:.5g}")
        print(f"  {row.role:10} {row.what:42} {row.statistic:30} {value:>12g} {row.unit}")
        line = {
            "run": run,
            "role": row.role,
            "what": row.what,
            "statistic": row.statistic,
            "value": value,
            "unit": row.unit,
            "commit": revision,
            "machine": host,
        }
        append_row(csv, line)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--senders", type=int, default=1_100)
    parser.add_argument("--destinations", type=int, default=140_000)
    parser.add_argument("--allocators", type=int, default=12)
    parser.add_argument("--per-s", type=float, default=200_000.0)
    parser.add_argument("--seconds", type=float, default=15.0, help="measured virtual seconds")
    parser.add_argument("--warm-s", type=float, default=6.0, help="virtual seconds of calls before that")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", default="calm", help=", ".join(SCHEDULES))
    parser.add_argument("--calm", action="store_true", help="the same as --faults calm")
    parser.add_argument("--headroom", type=float, default=TrafficModel(1, 1.0).headroom)
    parser.add_argument("--tight", type=float, default=0.0, help="part of the limits with little headroom")
    parser.add_argument("--down", type=float, default=TrafficModel(1, 1.0).down_fraction)
    parser.add_argument("--changes", type=int, default=0, help="changes of policy while measured")
    parser.add_argument("--config", type=Path, default=Path("deploy/sender.json"))
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--sockets", action="store_true", help="real senders' clients and a real allocator")
    parser.add_argument("--true", action="store_true", help="beside real instances of the program")
    parser.add_argument("--load", type=float, default=0.8, help="part of the limits, beside real instances")
    parser.add_argument("--processes", type=int, default=4, help="of the senders on sockets")
    parser.add_argument("--no-control", action="store_true", help="on sockets: what the driver alone costs")
    parser.add_argument("--mode", choices=[mode.value for mode in LimitMode], default="adaptive")
    return parser.parse_args()


def compare_with_real(args: argparse.Namespace) -> None:
    """Run one day with real instances and with stubs."""
    length_ms = 1000.0 * args.seconds
    day = draw(
        args.seed,
        senders=args.senders,
        partners=20,
        per_s=args.per_s,
        load=args.load,
        length_ms=length_ms,
        shared=True,
    )
    with tempfile.TemporaryDirectory(prefix="springspread-hollow-") as folder:
        rows = compare(day, Path(folder), LimitMode(args.mode))
    write_figures(
        f"true {args.mode} {args.senders} at {args.per_s:g}/s load {args.load:g} seed {args.seed}",
        rows,
        args.csv,
    )


def main() -> None:
    """Run the benchmark."""
    args = parse_arguments()
    policy = Policy(json.loads(args.config.read_text())["settings"], {})
    law = TrafficModel(
        args.destinations,
        args.per_s,
        down_fraction=args.down,
        headroom=args.headroom,
        tight_fraction=args.tight,
        mode=LimitMode(args.mode),
    )
    shape = f"{args.senders}/{args.destinations}/{args.per_s:g} seed {args.seed}"
    if args.true:
        compare_with_real(args)
        return
    if args.sockets:
        plan = SocketPlan(
            args.senders, args.processes, law, args.seconds, seed=args.seed, control=not args.no_control
        )
        mode = args.mode if plan.control else "driver alone"
        write_figures(f"sockets {mode} {shape}", run_on_sockets(plan), args.csv)
        return
    size = FleetSize(args.senders, args.allocators, law, args.seed)
    faults = "calm" if args.calm else args.faults
    fleet, rows = run_fleet(size, Plan(args.seconds, args.warm_s, faults, args.changes), policy)
    suffix = "" if not args.tight else f" tight={args.tight:g}"
    suffix += "" if args.down == TrafficModel(1, 1.0).down_fraction else f" down={args.down:g}"
    suffix += "" if args.headroom == TrafficModel(1, 1.0).headroom else f" headroom={args.headroom:g}"
    suffix += "" if law.mode is LimitMode.ADAPTIVE else f" {args.mode}"
    run = f"virtual {faults}{suffix} {shape}"
    write_figures(run, rows, args.csv)
    print(f"history {digest(fleet)}")


if __name__ == "__main__":
    main()
