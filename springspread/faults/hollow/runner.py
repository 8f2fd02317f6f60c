"""Runs a hollow fleet once: warm-up, then measurement."""

from __future__ import annotations

import gc
import time
from dataclasses import dataclass
from resource import RUSAGE_SELF, getrusage

from springspread.faults.hollow.faults import ScheduleSpec, schedule
from springspread.faults.hollow.fleet import JOIN_MS, FleetSize, HollowFleet
from springspread.faults.hollow.report import Measurement, Row
from springspread.rollout.document import Policy


@dataclass(frozen=True, slots=True)
class Plan:
    """Measured seconds, the warm-up before them, the fault schedule and the number of policy changes."""

    seconds: float
    warmup_s: float
    faults: str = "calm"
    changes: int = 0


def run_fleet(size: FleetSize, plan: Plan, policy: Policy) -> tuple[HollowFleet, list[Row]]:
    """Run the fleet and return it with its measurements; raises ``ValueError`` for an unknown schedule.

    The cyclic garbage collector is disabled meanwhile: in a process as large as the simulator it would
    distort the CPU times of the control code.
    """
    begin = JOIN_MS + 1_000.0 * plan.warmup_s
    end = begin + 1_000.0 * plan.seconds
    faults = schedule(plan.faults, ScheduleSpec(size.senders, size.allocators, begin, end, size.seed))
    started = time.monotonic()
    gc.disable()
    try:
        fleet = HollowFleet(size, policy, faults)
        fleet.run_until(begin)
        measurement = Measurement(fleet)
        for change in range(plan.changes):
            fleet.queue.at(begin + (change + 0.5) * (end - begin) / plan.changes, fleet.coordinator.propose)
        fleet.run_until(end)
        rows = measurement.rows()
    finally:
        gc.enable()
    took = time.monotonic() - started
    peak_mb = getrusage(RUSAGE_SELF).ru_maxrss / 1024.0
    return fleet, [
        *rows,
        Row("simulator", "time of the run", "sum", took, "s"),
        Row("simulator", "memory", "most", peak_mb, "MB"),
    ]
