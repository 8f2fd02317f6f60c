"""Time until a change of the fleet file is in force, from the command line, by the number of limits."""

from __future__ import annotations

import subprocess
import sys
import time

from benchmarks.capacity.measurement import Measurement, Values
from benchmarks.capacity.membership import running_fleet

INSTANCES = 2
WITHIN_S = 60.0


def limits_text(limits: int, first_calls: int) -> str:
    """The adaptive limits of a fleet file; the first one has ``first_calls`` calls."""
    tables = (
        f'[limits.g{number}]\ncalls = {first_calls if number == 0 else 50}\nmode = "adaptive"\n'
        for number in range(limits)
    )
    return 'default_mode = "adaptive"\n' + "".join(tables)


def propose_by_limits(limits: int) -> Values:
    """Raise one of the limits; the time of the whole command."""
    with running_fleet(INSTANCES, limits_text(limits, 50)) as fleet:
        fleet.wait_until_all_serve(INSTANCES)
        head = fleet.file.read_text().partition("default_mode")[0]
        fleet.file.write_text(head + limits_text(limits, 60))
        command = [sys.executable, "-m", "springspread.cli", "fleet", "policy", "propose", str(fleet.file)]
        started = time.monotonic()
        process = subprocess.run(
            [*command, "--within", f"{WITHIN_S:g}"], capture_output=True, text=True, timeout=2.0 * WITHIN_S
        )
        took_ms = 1000.0 * (time.monotonic() - started)
    if process.returncode:
        return {"propose_ms_by_limits": f"ended with {process.returncode}: {process.stderr[-100:]}"}
    return {"propose_ms_by_limits": took_ms}


PROPOSE = Measurement(
    "propose_by_limits",
    "limits",
    (100, 10_000, 40_000, 80_000, 140_000),
    (10, 50, 100, 200),
    {"propose_ms_by_limits": "ms"},
    propose_by_limits,
    180.0,
)
