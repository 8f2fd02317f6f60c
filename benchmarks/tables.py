"""What the long measurements tell: rows on the screen, and tables as CSV."""

from __future__ import annotations

import csv
from collections.abc import Mapping, Sequence
from pathlib import Path

Row = Mapping[str, object]


def tell(row: Row) -> None:
    """A row in one line, at once."""
    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)


def tell_long(row: Row) -> None:
    """A row with a line for each of its values."""
    for key, value in row.items():
        print(f"{key:20} {value}")


def write_table(path: Path | None, rows: Sequence[Row]) -> None:
    """A table anew; none where no path is given."""
    if path is not None and rows:
        path.unlink(missing_ok=True)
        for row in rows:
            add(path, row)


def add(path: Path | None, row: Row) -> None:
    """A row more to a table, which is begun where there is none."""
    if path is None:
        return
    new = not path.exists()
    with path.open("a", newline="") as out:
        writer = csv.DictWriter(out, list(row), lineterminator="\n")
        if new:
            writer.writeheader()
        writer.writerow(row)


def tell_fullest(size: int, found: Sequence[Row]) -> None:
    """Of the returns at one size of a fleet: the fullest span, the middle, and how many are over 1."""
    for name in ("aware", "all"):
        parts = sorted(float(str(row[name])) for row in found)
        over = sum(part > 1.0 for part in parts)
        told = f"most {parts[-1]:.2f}  middle {parts[len(parts) // 2]:.2f}  over {over}"
        print(f"{size:4} senders  {len(found):4} returns  {name:5}  {told}")
