"""Running a plan: its days side by side in processes, one row each, as CSV that a chart or a person reads.

Beside the table stands its record: the plan, the commit and the library versions, from which it can be run
again. Rows are written as they come, to a file of another name that takes the table's name at the end; where
a signal or a full disk stops the run, what is done is kept and the rest is marked as not run.
"""

from __future__ import annotations

import csv
import json
import platform
import signal
import subprocess
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
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
"""What a row holds: the day's knobs, what it came to, the digest of all that crossed the wire, and the
histogram of latencies (HDR, compressed, base64)."""
DONE, NOT_RUN = "done", "not run"

Row = dict[str, object]


def play(run: Run) -> tuple[Row, float]:
    """Play one day; the row, and how many seconds it took (in no row, as no two runs agree on it)."""
    begun = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="springspread-lab-") as folder, _module(run.module):
        outcome = VirtualSimulation(run.knobs.day(run.seed), Path(folder)).play()
    checker = outcome.checker
    tally = checker.tally
    row = _head(run) | {"state": DONE, "messages": tally.messages, "service": round(tally.service, 4)}
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
    return row, time.perf_counter() - begun


@contextmanager
def _module(values: Mapping[str, float]) -> Iterator[None]:
    """Give numbers of the decision module other values, and then their own back."""
    before = {name: getattr(policy, name) for name in values}
    try:
        for name, value in values.items():
            setattr(policy, name, type(before[name])(value))
        yield
    finally:
        for name, value in before.items():
            setattr(policy, name, value)


def _head(run: Run) -> Row:
    return {"arm": run.arm, "seed": run.seed, **run.knobs.model_dump()}


def run_plan(plan: Plan, processes: int) -> Iterator[tuple[Row, float]]:
    """Play all days of a plan, so many at once; the rows come in the plan's order."""
    # A signal to all of the terminal's processes is the parent's alone to handle.
    pool = ProcessPoolExecutor(processes, initializer=signal.signal, initargs=(signal.SIGINT, signal.SIG_IGN))
    try:
        yield from pool.map(play, plan.runs())
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


class Table:
    """Writes an experiment's table and its record; raises ``OSError`` where the disk takes no more."""

    def __init__(self, path: Path, plan: Plan) -> None:
        self._path, self._plan, self._written = path, plan, 0
        self.fresh = path.with_suffix(".new")
        self._record(complete=False)
        self._out = self.fresh.open("w", newline="")
        self._writer = csv.DictWriter(self._out, COLUMNS, lineterminator="\n", restval="")
        self._writer.writeheader()

    def add(self, row: Row) -> None:
        """Write one row, to the disk's file."""
        self._writer.writerow(row)
        self._out.flush()
        self._written += 1

    def close(self) -> None:
        """Mark what did not run, and give the table its name. A table that is cut off keeps the other one."""
        for run in list(self._plan.runs())[self._written :]:
            self._writer.writerow(_head(run) | {"state": NOT_RUN})
        self._out.close()
        self.fresh.replace(self._path)
        self._record(complete=self._written == sum(1 for _ in self._plan.runs()))

    def _record(self, complete: bool) -> None:
        record = {
            "plan": self._plan.model_dump(exclude_unset=True),
            "complete": complete,
            "commit": _commit(),
            "python": platform.python_version(),
            "libraries": dict(sorted((dist.name, dist.version) for dist in distributions())),
        }
        record_path(self._path).write_text(json.dumps(record, indent=1) + "\n")


def record_path(table: Path) -> Path:
    """Where a table's record stands."""
    return table.with_suffix(".json")


def _commit() -> str:
    """The commit of the program, with a + where its files were changed since; empty outside a checkout."""
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
    """Read a table's finished rows back; raises ``ValueError`` where it is none."""
    with path.open(newline="") as source:
        rows = list(csv.DictReader(source))
    if not rows or not {"arm", "seed", "state", "service"} <= set(rows[0]):
        raise ValueError(f"{path}: no table of an experiment")
    return [row for row in rows if row["state"] == DONE]


def number(row: Mapping[str, Any], measure: str) -> float | None:
    """A measure of a row that was read back."""
    return float(row[measure]) if row[measure] not in ("", None) else None


def points(rows: Sequence[Mapping[str, str]], knobs: Sequence[str]) -> list[tuple[str, ...]]:
    """Which combinations of some columns a table holds, in its order."""
    return list(dict.fromkeys(tuple(row[knob] for knob in knobs) for row in rows))
