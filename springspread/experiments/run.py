"""Simulates a day of a plan, and writes the table of an experiment: one CSV row a day.

The record beside the table holds the plan, the commit and the library versions, so that the experiment can be
repeated. Rows are written to a temporary file as they arrive, and the file is renamed at the end; if a signal
or a full disk stops the run, finished rows are kept and the others are marked as not run.
"""

from __future__ import annotations

import csv
import json
import platform
import subprocess
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from importlib.metadata import distributions
from pathlib import Path
from typing import Any

from springspread import policy
from springspread.experiments.plan import Knobs, Plan, Run
from springspread.simulator.day import CLASSES
from springspread.simulator.virtual import VirtualSimulation

MEASURES = ("grade", "service", *(f"service_{spec.name}" for spec in CLASSES))
COLUMNS = (
    "arm",
    "seed",
    *Knobs.model_fields,
    "state",
    "messages",
    *MEASURES,
    "p50_ms",
    "p99_ms",
    "delivered",
    "refused",
    "failed",
    "calls",
    "rejected",
    "handshakes",
    "pushed_over",
    "spans_over_limit",
    "limit_ratio",
    "fleet_messages",
    "faults",
    "first_fault",
    "digest",
    "latencies",
)
"""Columns of a row: the day's knobs, its results, the digest of its traffic, and the latency histogram (HDR,
compressed, base64)."""
DONE, NOT_RUN = "done", "not run"

Row = dict[str, object]


def simulate(run: Run) -> tuple[Row, float]:
    """Simulate one day; returns its row and the seconds it took (not in the row, which is reproducible)."""
    start = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="springspread-lab-") as folder, _override_constants(run.module):
        outcome = VirtualSimulation(run.knobs.day(run.seed), Path(folder)).play()
    checker = outcome.checker
    tally = checker.tally
    row = _input_columns(run) | {
        "state": DONE,
        "messages": tally.messages,
        "service": round(tally.service, 4),
    }
    row["grade"] = round(tally.grade, 4)
    for spec in CLASSES:
        asked, kept = tally.by_class.get(spec.name, (0.0, 0.0))
        row[f"service_{spec.name}"] = round(kept / asked, 4) if asked else ""
    row["p50_ms"] = checker.latency.get_value_at_percentile(50)
    row["p99_ms"] = checker.latency.get_value_at_percentile(99)
    row |= {"delivered": tally.delivered, "refused": tally.refused, "failed": tally.failed}
    row |= {"calls": tally.calls, "rejected": tally.rejected, "handshakes": tally.handshakes}
    row |= {"pushed_over": tally.pushed_over}
    row |= {"spans_over_limit": tally.over_limit, "faults": len(checker.faults)}
    row |= {"limit_ratio": round(tally.limit_ratio, 3), "fleet_messages": outcome.fleet_messages}
    first = min(checker.faults, key=lambda fault: fault.at, default=None)
    row["first_fault"] = f"{first.at:.0f} ms {first.rule}: {first.text}" if first else ""
    row["digest"] = checker.digest
    row["latencies"] = checker.latency.encode().decode()
    return row, time.perf_counter() - start


@contextmanager
def _override_constants(values: Mapping[str, float]) -> Iterator[None]:
    """Override constants of the decision module for the duration of the context."""
    before = {name: getattr(policy, name) for name in values}
    try:
        for name, value in values.items():
            setattr(policy, name, type(before[name])(value))
        yield
    finally:
        for name, value in before.items():
            setattr(policy, name, value)


def _input_columns(run: Run) -> Row:
    return {"arm": run.arm, "seed": run.seed, **run.knobs.model_dump()}


class Table:
    """Writes the table of an experiment and its record; raises ``OSError`` on disk errors."""

    def __init__(self, path: Path, plan: Plan) -> None:
        self._path, self._plan, self._written = path, plan, 0
        self.partial_path = path.with_suffix(".new")
        self._write_record(complete=False)
        self._out = self.partial_path.open("w", newline="")
        self._writer = csv.DictWriter(self._out, COLUMNS, lineterminator="\n", restval="")
        self._writer.writeheader()

    def add(self, row: Row) -> None:
        """Write one row and flush it."""
        self._writer.writerow(row)
        self._out.flush()
        self._written += 1

    def close(self) -> None:
        """Add rows for the runs not done, and rename the temporary file to the table."""
        for run in list(self._plan.runs())[self._written :]:
            self._writer.writerow(_input_columns(run) | {"state": NOT_RUN})
        self._out.close()
        self.partial_path.replace(self._path)
        self._write_record(complete=self._written == sum(1 for _ in self._plan.runs()))

    def _write_record(self, complete: bool) -> None:
        record = {
            "plan": self._plan.model_dump(exclude_unset=True),
            "complete": complete,
            "commit": _commit(),
            "python": platform.python_version(),
            "libraries": dict(sorted((dist.name, dist.version) for dist in distributions())),
        }
        record_path(self._path).write_text(json.dumps(record, indent=1) + "\n")


def record_path(table: Path) -> Path:
    """Return the path of the record of a table."""
    return table.with_suffix(".json")


def _commit() -> str:
    """Return the commit of the program, with a + if files have changed; empty outside a checkout."""
    here = Path(__file__).parent
    try:
        head, changed = (
            subprocess.check_output(args, cwd=here, text=True, stderr=subprocess.DEVNULL, timeout=10)
            for args in (["git", "rev-parse", "HEAD"], ["git", "status", "--porcelain", "--", ".."])
        )
    except (OSError, subprocess.SubprocessError):
        return ""
    return head.strip() + ("+" if changed.strip() else "")


def read_rows(path: Path) -> list[dict[str, str]]:
    """Read the finished rows of a table; raises ``ValueError`` if the file is not one."""
    with path.open(newline="") as source:
        rows = list(csv.DictReader(source))
    if not rows or not {"arm", "seed", "state", "service"} <= set(rows[0]):
        raise ValueError(f"{path}: not an experiment table")
    return [row for row in rows if row["state"] == DONE]


def measure_value(row: Mapping[str, Any], measure: str) -> float | None:
    """Return a measure of a row, or None if it is empty."""
    return float(row[measure]) if row[measure] not in ("", None) else None


def combinations(rows: Sequence[Mapping[str, str]], knobs: Sequence[str]) -> list[tuple[str, ...]]:
    """Return the distinct combinations of some columns, in table order."""
    return list(dict.fromkeys(tuple(row[knob] for knob in knobs) for row in rows))
