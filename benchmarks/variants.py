"""Ranks variants of the decision module by the simulator and by an external bench.

    python -m benchmarks.variants PLAN --bench 'COMMAND' [--pattern REGEX] [--csv FILE] [--processes 8]

PLAN's arms are the variants: each overrides constants of the decision module. The simulator runs the plan;
the bench's command runs in a copy of this checkout with the arm's constants, and the pattern's group extracts
the score from its output. The rank correlation is Spearman's.
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
from springspread.experiments.pool import run_plan

MODULE_PATH = Path("springspread") / "policy.py"
BENCH_TIMEOUT_S = 900.0


def simulator_grades(plan: Plan, processes: int) -> dict[str, float]:
    """Return the mean grade by arm."""
    values: dict[str, list[float]] = defaultdict(list)
    for row, _ in run_plan(plan, processes):
        # A day with a violated guarantee scores 0, as in the external bench.
        values[str(row["arm"])].append(0.0 if row["faults"] else float(str(row["grade"])))
    return {arm: mean_of(grades).mean for arm, grades in values.items()}


def bench_score(tree: Path, module: Mapping[str, float], command: str, pattern: str) -> float:
    """Return the score of a checkout with other constants; raises ``ValueError`` if there is none."""
    with tempfile.TemporaryDirectory(prefix="springspread-variant-") as folder:
        copy = Path(folder) / "tree"
        ignored = shutil.ignore_patterns(".mypy_cache", ".ci", "journal")
        shutil.copytree(tree, copy, symlinks=True, ignore=ignored)
        text = (copy / MODULE_PATH).read_text()
        for name, value in module.items():
            number = type(getattr(policy, name))(value)
            text, count = re.subn(rf"(?m)^{name} = \S+", f"{name} = {number}", text)
            if count != 1:
                raise ValueError(f"{name}: not assigned on exactly one line of {MODULE_PATH}")
        (copy / MODULE_PATH).write_text(text)
        done = subprocess.run(
            command, shell=True, cwd=copy, capture_output=True, text=True, timeout=BENCH_TIMEOUT_S
        )
    match = re.search(pattern, done.stdout)
    if match is None:
        raise ValueError(f"no score in the bench's output: {done.stdout[-300:]}{done.stderr[-300:]}")
    return float(match[1])


def main() -> None:
    """Rank the variants and write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("plan", type=Path)
    parser.add_argument("--bench", default="")
    parser.add_argument("--pattern", default=r"result[^:]*: ([0-9.]+)")
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--known", type=Path, help="table of an earlier run, whose bench scores are reused")
    args = parser.parse_args()
    plan = read_plan(args.plan)
    ours = simulator_grades(plan, args.processes)
    theirs = {}
    if args.known is not None:
        with args.known.open(newline="") as source:
            theirs = {row["variant"]: float(row["bench"]) for row in csv.DictReader(source)}
    for name, arm in plan.arms.items():
        if name not in theirs:
            theirs[name] = bench_score(Path.cwd(), arm.module, args.bench, args.pattern)
        print(f"{name}: town {ours[name]:.4f}, bench {theirs[name]:.4f}", file=sys.stderr)
    correlation = rank_correlation(list(ours.values()), [theirs[name] for name in ours])
    ranked = sorted(ours, key=lambda arm: ours[arm])
    rows = [[name, f"{ours[name]:.4f}", f"{theirs[name]:.4f}"] for name in ranked]
    for out in [sys.stdout] + ([args.csv.open("w", newline="")] if args.csv else []):
        csv.writer(out, lineterminator="\n").writerows([["variant", "town", "bench"], *rows])
    print(f"rank correlation over {len(ours)} variants: {correlation:.3f}")


if __name__ == "__main__":
    main()
