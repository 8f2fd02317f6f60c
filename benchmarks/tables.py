"""Output of the benchmarks: printed rows and CSV tables."""

from __future__ import annotations

import csv
from collections.abc import Mapping, Sequence
from pathlib import Path

Row = Mapping[str, object]


def print_row(row: Row) -> None:
    """Print a row on one line."""
    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)


def print_columns(row: Row) -> None:
    """Print a row with one line for each column."""
    for key, value in row.items():
        print(f"{key:20} {value}")


def write_table(path: Path | None, rows: Sequence[Row]) -> None:
    """Write a table, replacing an older one; does nothing without a path."""
    if path is not None and rows:
        path.unlink(missing_ok=True)
        for row in rows:
            append_row(path, row)


def append_row(path: Path | None, row: Row) -> None:
    """Append a row to a table, creating it if needed; does nothing without a path."""
    if path is None:
        return
    new = not path.exists()
    with path.open("a", newline="") as out:
        writer = csv.DictWriter(out, list(row), lineterminator="\n")
        if new:
            writer.writeheader()
        writer.writerow(row)


def print_peaks(size: int, rows: Sequence[Row]) -> None:
    """Print the maximum and median peak ratio at one fleet size, and how many exceed 1."""
    for name in ("aware", "all"):
        ratios = sorted(float(str(row[name])) for row in rows)
        over = sum(ratio > 1.0 for ratio in ratios)
        text = f"most {ratios[-1]:.2f}  middle {ratios[len(ratios) // 2]:.2f}  over {over}"
        print(f"{size:4} senders  {len(rows):4} returns  {name:5}  {text}")
