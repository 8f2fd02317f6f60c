"""Variants of the decision module ranked twice: by the town, and by a bench that is not the project's own.

    python -m benchmarks.variants PLAN --bench 'COMMAND' [--pattern REGEX] [--csv FILE] [--processes 8]

PLAN's arms are the variants: each sets numbers of the decision module. The town plays the plan; the
bench's command is run in a copy of this checkout in which the module's file holds the arm's numbers, and the
number in its output that the pattern's group takes is its score. The rank correlation is Spearman's.
"""

from __future__ import annotations

import argparse
import csv
import re
import shutil
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Mapping
from pathlib import Path

from springspread import policy
from springspread.experiments.compare import mean_of, rank_correlation
from springspread.experiments.plan import Plan, read_plan
from springspread.experiments.run import run_plan

MODULE = Path("springspread") / "policy.py"
BENCH_S = 900.0


def town(plan: Plan, processes: int) -> dict[str, float]:
    """Mean grade by arm."""
    values: dict[str, list[float]] = defaultdict(list)
    for row, _ in run_plan(plan, processes):
        # A day on which a promise was broken counts nothing, as on the other bench.
        values[str(row["arm"])].append(0.0 if row["faults"] else float(str(row["grade"])))
    return {arm: mean_of(grades).mean for arm, grades in values.items()}


def bench(tree: Path, module: Mapping[str, float], command: str, pattern: str) -> float:
    """The bench's score of a copy of a checkout with other numbers; raises ``ValueError`` without one."""
    with tempfile.TemporaryDirectory(prefix="springspread-variant-") as folder:
        copy = Path(folder) / "tree"
        left_out = shutil.ignore_patterns(".mypy_cache", ".ci", "journal")
        shutil.copytree(tree, copy, symlinks=True, ignore=left_out)
        text = (copy / MODULE).read_text()
        for name, value in module.items():
            number = type(getattr(policy, name))(value)
            text, count = re.subn(rf"(?m)^{name} = \S+", f"{name} = {number}", text)
            if count != 1:
                raise ValueError(f"{name}: not set in one line of {MODULE}")
        (copy / MODULE).write_text(text)
        done = subprocess.run(command, shell=True, cwd=copy, capture_output=True, text=True, timeout=BENCH_S)
    found = re.search(pattern, done.stdout)
    if found is None:
        raise ValueError(f"no score in the bench's output: {done.stdout[-300:]}{done.stderr[-300:]}")
    return float(found[1])


def main() -> None:
    """Rank, and write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("plan", type=Path)
    parser.add_argument("--bench", default="")
    parser.add_argument("--pattern", default=r"result[^:]*: ([0-9.]+)")
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--known", type=Path, help="a table of an earlier run: its bench scores are taken")
    args = parser.parse_args()
    plan = read_plan(args.plan)
    ours = town(plan, args.processes)
    theirs = {}
    if args.known is not None:
        with args.known.open(newline="") as source:
            theirs = {row["variant"]: float(row["bench"]) for row in csv.DictReader(source)}
    for name, arm in plan.arms.items():
        if name not in theirs:
            theirs[name] = bench(Path.cwd(), arm.module, args.bench, args.pattern)
        print(f"{name}: town {ours[name]:.4f}, bench {theirs[name]:.4f}", file=sys.stderr)
    correlation = rank_correlation(list(ours.values()), [theirs[name] for name in ours])
    ranked = sorted(ours, key=lambda arm: ours[arm])
    rows = [[name, f"{ours[name]:.4f}", f"{theirs[name]:.4f}"] for name in ranked]
    for out in [sys.stdout] + ([args.csv.open("w", newline="")] if args.csv else []):
        csv.writer(out, lineterminator="\n").writerows([["variant", "town", "bench"], *rows])
    print(f"rank correlation over {len(ours)} variants: {correlation:.3f}")


if __name__ == "__main__":
    main()
