"""Rows of the capacity tables: a value of a quantity at a size, or the reason why there is none."""

from __future__ import annotations

import csv
import os
import platform
import subprocess
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

NOT_MEASURED = "not measured"
PROGRAM = "springspread"
COLUMNS = ("what", "size", "value", "unit", "commit", "machine", "label")


@dataclass(frozen=True, slots=True)
class NotMeasured:
    """A missing value and the reason."""

    reason: str

    def __str__(self) -> str:
        return f"{NOT_MEASURED}: {self.reason}"


@dataclass(frozen=True, slots=True)
class Row:
    """One measurement. ``what`` names the quantity, ``label`` the program: ``before`` or ``after``."""

    what: str
    size: float
    value: float | NotMeasured
    unit: str
    commit: str
    machine: str
    label: str


def value_of(text: str) -> float | NotMeasured:
    """Parse a value of a table. Raises ``ValueError`` if it is neither a number nor a reason."""
    if text.startswith(NOT_MEASURED):
        return NotMeasured(text.removeprefix(NOT_MEASURED).removeprefix(":").strip())
    return float(text)


def read_rows(path: Path) -> list[Row]:
    """Read a table; empty if there is no file."""
    if not path.exists():
        return []
    with path.open(newline="") as source:
        return [
            Row(
                raw["what"],
                float(raw["size"]),
                value_of(raw["value"]),
                raw["unit"],
                raw["commit"],
                raw["machine"],
                raw["label"],
            )
            for raw in csv.DictReader(source)
        ]


def write_rows(path: Path, rows: Iterable[Row]) -> None:
    """Write a table."""
    with path.open("w", newline="") as target:
        writer = csv.writer(target, lineterminator="\n")
        writer.writerow(COLUMNS)
        for row in rows:
            writer.writerow([_text(getattr(row, column)) for column in COLUMNS])


def merge_rows(old: Sequence[Row], new: Sequence[Row]) -> list[Row]:
    """Replace the old rows of all quantities and labels that have new ones."""
    replaced = {(row.what, row.label) for row in new}
    return [row for row in old if (row.what, row.label) not in replaced] + list(new)


def _text(value: object) -> str:
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def machine() -> str:
    """The properties of the machine that affect measurements."""
    memory_gib = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{os.cpu_count()} cores; {memory_gib:.0f} GiB; Python {platform.python_version()}"


def commit() -> str:
    """The short hash of the last commit that changed the program; ``+`` marks uncommitted changes."""
    line = ["git", "log", "-1", "--format=%h", "--", PROGRAM]
    short = subprocess.run(line, capture_output=True, text=True, check=True).stdout.strip()
    changed = subprocess.run(["git", "diff", "--quiet", "HEAD", "--", PROGRAM], check=False).returncode
    return short + ("+" if changed else "")
