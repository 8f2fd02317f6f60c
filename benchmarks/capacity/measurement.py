"""Runs measurements: each size in a separate process with a timeout.

    python -m benchmarks.capacity.measurement ROLE NAME SIZE

prints the values of one size as JSON; ``run`` calls it.
"""

from __future__ import annotations

import gc
import json
import os
import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path

from benchmarks.capacity.rows import NotMeasured, Row

ROLES = ("allocator", "sender", "policy", "membership", "health")
Values = Mapping[str, float | str]
"""By quantity: the value, or the reason why there is none."""


@dataclass(frozen=True, slots=True)
class Measurement:
    """A set of quantities measured together at one size. ``by`` says what the size counts."""

    name: str
    by: str
    sizes: Sequence[int]
    quick_sizes: Sequence[int]
    units: Mapping[str, str]
    measure: Callable[[int], Values]
    timeout_s: float = 90.0


def measurements_of(role: str) -> Sequence[Measurement]:
    """The measurements of a role."""
    values: Sequence[Measurement] = import_module(f"benchmarks.capacity.{role}").MEASUREMENTS
    return values


def run(role: str, measurement: Measurement, size: int, commit: str, machine: str, label: str) -> list[Row]:
    """Measure one size in a separate process; missing values become rows with the reason."""
    command = [sys.executable, "-m", "benchmarks.capacity.measurement", role, measurement.name, str(size)]
    try:
        process = subprocess.run(command, capture_output=True, text=True, timeout=measurement.timeout_s)
        values, reason = _values(process)
    except subprocess.TimeoutExpired:
        values, reason = {}, f"not done within {measurement.timeout_s:g} s"
    rows = []
    for what, unit in measurement.units.items():
        value = values.get(what, reason or "no value told")
        result = NotMeasured(value) if isinstance(value, str) else float(value)
        rows.append(Row(what, float(size), result, unit, commit, machine, label))
    return rows


def _values(process: subprocess.CompletedProcess[str]) -> tuple[Values, str]:
    """The values that a process printed, or the reason why there are none."""
    lines = process.stdout.splitlines()
    if process.returncode == 0 and lines:
        values: Values = json.loads(lines[-1])
        return values, ""
    errors = process.stderr.strip().splitlines()
    return {}, f"ended with {process.returncode}: {errors[-1][:120] if errors else 'nothing said'}"


def resident_bytes() -> float:
    """Resident memory of this process."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))


def status_of(pid: int) -> tuple[float, float]:
    """CPU time (s) and resident memory (bytes) of a process."""
    values = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(values[11]) + int(values[12])
    return ticks / os.sysconf("SC_CLK_TCK"), float(int(values[21]) * os.sysconf("SC_PAGE_SIZE"))


def main() -> None:
    """Measure one size and print it."""
    role, name, size = sys.argv[1:]
    chosen = next(one for one in measurements_of(role) if one.name == name)
    print(json.dumps(dict(chosen.measure(int(size)))), flush=True)
    os._exit(0)  # without waiting for threads of servers and clients


if __name__ == "__main__":
    main()
