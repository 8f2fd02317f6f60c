"""Running a plan: its days side by side in processes, one row each, as CSV that a chart or a person reads."""

from __future__ import annotations

import csv
import tempfile
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from springspread.lab.plan import KNOBS, Plan, Run
from springspread.town.day import CLASSES
from springspread.town.virtual import Town

COLUMNS = (
    "seed",
    *KNOBS,
    "messages",
    "service",
    *(f"service_{spec.name}" for spec in CLASSES),
    "delivered",
    "refused",
    "failed",
    "calls",
    "spans_over_limit",
    "faults",
    "first_fault",
    "digest",
)
"""What a row holds: the day's knobs, what it came to, and the digest of all that crossed the wire."""

Row = dict[str, object]


def play(run: Run) -> tuple[Row, float]:
    """Play one day; the row, and how many seconds it took (in no row, as no two runs agree on it)."""
    begun = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="springspread-lab-") as folder:
        checker = Town(run.day(), Path(folder)).play().checker
    tally = checker.tally
    row: Row = {"seed": run.seed}
    row |= {key: run.knobs.get(key, knob.default) for key, knob in KNOBS.items()}
    row |= {"messages": tally.messages, "service": round(tally.service, 4)}
    for spec in CLASSES:
        asked, kept = tally.by_class.get(spec.name, (0.0, 0.0))
        row[f"service_{spec.name}"] = round(kept / asked, 4) if asked else ""
    row |= {"delivered": tally.delivered, "refused": tally.refused, "failed": tally.failed}
    row |= {"calls": tally.calls, "spans_over_limit": tally.over_limit, "faults": len(checker.faults)}
    first = min(checker.faults, key=lambda fault: fault.at, default=None)
    row["first_fault"] = f"{first.at:.0f} ms {first.rule}: {first.text}" if first else ""
    row["digest"] = checker.digest
    return row, time.perf_counter() - begun


def run_plan(plan: Plan, processes: int) -> Iterator[tuple[Row, float]]:
    """Play all days of a plan, so many at once; the rows come in the plan's order."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(play, plan.runs())


def write_rows(path: Path, rows: Iterable[Row]) -> None:
    """Write a table: whole or not at all."""
    fresh = path.with_suffix(".new")
    with fresh.open("w", newline="") as out:
        writer = csv.DictWriter(out, COLUMNS, lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    fresh.replace(path)


def read_rows(path: Path) -> list[dict[str, str]]:
    """Read a table back."""
    with path.open(newline="") as source:
        return list(csv.DictReader(source))
