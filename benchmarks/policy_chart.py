"""Chart of the time from a proposal until it is in force, by fault, from a table of ``policy_rounds``.

python -m benchmarks.policy_chart docs/data/rollout/rounds.csv docs/data/rollout/rounds.svg
"""

from __future__ import annotations

import argparse
import csv
from pathlib import Path

from matplotlib import rc_context
from matplotlib.figure import Figure

MARKERS = {"p50_s": ("median", "o"), "p99_s": ("99th percentile", "s"), "most_s": ("most", "x")}


def main() -> None:
    """Draw the chart."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("table", type=Path)
    parser.add_argument("picture", type=Path, help="SVG or PNG, by suffix")
    args = parser.parse_args()
    with args.table.open(newline="") as source:
        rows = list(csv.DictReader(source))[::-1]
    figure = Figure(figsize=(7.0, 0.8 + 0.34 * len(rows)), layout="constrained")
    axes = figure.subplots()
    for key, (label, marker) in MARKERS.items():
        axes.plot([float(row[key]) for row in rows], range(len(rows)), marker, label=label, markersize=5)
    axes.set_yticks(range(len(rows)), [f"{row['fault']} ({row['changes']})" for row in rows])
    axes.set_xlim(left=0.0)
    axes.set_xlabel("seconds from a proposal until it is in force")
    axes.grid(alpha=0.3)
    axes.legend()
    with rc_context({"svg.hashsalt": "springspread"}):  # reproducible element ids
        metadata = {"Date": None} if args.picture.suffix == ".svg" else {"Software": None}
        figure.savefig(args.picture, dpi=120, metadata=metadata)


if __name__ == "__main__":
    main()
