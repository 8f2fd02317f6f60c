"""What a measurement is, and how it runs: each size in a process of its own, bounded in time.

    python -m benchmarks.capacity.measurement ROLE NAME SIZE

prints the values of one size as JSON; ``run`` calls that.
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
"""By quantity: the value, or as a text the reason why there is none."""


@dataclass(frozen=True, slots=True)
class Measurement:
    """Quantities that one run at one size gives. ``by`` says what the size counts."""

    name: str
    by: str
    sizes: Sequence[int]
    quick_sizes: Sequence[int]
    units: Mapping[str, str]
    measure: Callable[[int], Values]
    timeout_s: float = 90.0


def measurements_of(role: str) -> Sequence[Measurement]:
    """The measurements of a role."""
    found: Sequence[Measurement] = import_module(f"benchmarks.capacity.{role}").MEASUREMENTS
    return found


def run(role: str, measurement: Measurement, size: int, commit: str, machine: str, label: str) -> list[Row]:
    """One size, in a process of its own; what it does not tell is a row that says so."""
    line = [sys.executable, "-m", "benchmarks.capacity.measurement", role, measurement.name, str(size)]
    try:
        done = subprocess.run(line, capture_output=True, text=True, timeout=measurement.timeout_s)
        found, reason = _values(done)
    except subprocess.TimeoutExpired:
        found, reason = {}, f"not done within {measurement.timeout_s:g} s"
    rows = []
    for what, unit in measurement.units.items():
        value = found.get(what, reason or "no value told")
        kept = NotMeasured(value) if isinstance(value, str) else float(value)
        rows.append(Row(what, float(size), kept, unit, commit, machine, label))
    return rows


def _values(done: subprocess.CompletedProcess[str]) -> tuple[Values, str]:
    """What a process told, and why it told nothing."""
    lines = done.stdout.splitlines()
    if done.returncode == 0 and lines:
        found: Values = json.loads(lines[-1])
        return found, ""
    fault = done.stderr.strip().splitlines()
    return {}, f"ended with {done.returncode}: {fault[-1][:120] if fault else 'nothing said'}"


def resident_bytes() -> float:
    """What this process holds in memory now."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))


def status_of(pid: int) -> tuple[float, float]:
    """A process's processor time (s) and resident memory (bytes)."""
    values = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(values[11]) + int(values[12])
    return ticks / os.sysconf("SC_CLK_TCK"), float(int(values[21]) * os.sysconf("SC_PAGE_SIZE"))


def main() -> None:
    """Measure one size and print it."""
    role, name, size = sys.argv[1:]
    chosen = next(one for one in measurements_of(role) if one.name == name)
    print(json.dumps(dict(chosen.measure(int(size)))), flush=True)
    os._exit(0)  # threads of servers and clients are not waited for


if __name__ == "__main__":
    main()
