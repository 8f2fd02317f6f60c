"""Fault schedules for a hollow fleet, drawn before the run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from springspread.faults.hollow.network import ZONES

RESTART_MS = 1_500.0  # downtime of a restarted sender
TAKEOVER_MS = 1_000.0  # downtime of an allocator
SECONDS_PER_DAY = 86_400.0
RESTARTS_PER_DAY = 250
FULL_SIZE_SENDERS = 1_100
SENDERS_PER_MACHINE = 8
JUMP_FACTOR = 100.0


class FaultKind(Enum):
    """Kinds of faults."""

    RESTART = "senders are killed; their next processes begin at the end"
    CUT = "zones are cut off from all others until the end"
    ALLOCATOR = "an allocator is killed; its successor has the record"
    ALLOCATOR_AMNESIA = "an allocator is killed; its successor has no record"
    JUMP = "the demand of a destination is multiplied until the end"
    LIMIT = "the limit of a destination is multiplied until the end"
    RETURN = "a destination that was down serves again; calls to it wait at every sender"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. ``targets`` are numbers of senders, zones, an allocator or a destination; times in ms.

    Limits and demand are multiplied by ``factor``. For a return, the target is a rank among the destinations
    that are down at the start, the busiest first, and ``factor`` the number of calls waiting at each sender.
    """

    kind: FaultKind
    begin: float
    end: float
    targets: tuple[int, ...]
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class ScheduleSpec:
    """Input of a schedule: numbers of senders and allocators, the measured time (ms) and the seed."""

    senders: int
    allocators: int
    begin: float
    end: float
    seed: int

    @property
    def fault_at(self) -> float:
        """A third into the measured time, which leaves time to observe the recovery."""
        return self.begin + (self.end - self.begin) / 3.0


def calm(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """No faults."""
    return ()


def restarts(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """Restarts at a rate of ``RESTARTS_PER_DAY`` for ``FULL_SIZE_SENDERS``, at least one."""
    rng = Random(f"{spec.seed}/restarts")
    seconds = (spec.end - spec.begin) / 1000.0
    mean = RESTARTS_PER_DAY / SECONDS_PER_DAY * seconds * spec.senders / FULL_SIZE_SENDERS
    faults = []
    for sender in rng.sample(range(spec.senders), max(round(mean), 1)):
        at = rng.uniform(spec.begin, spec.fault_at)
        faults.append(Fault(FaultKind.RESTART, at, at + RESTART_MS, (sender,)))
    return tuple(sorted(faults, key=lambda fault: fault.begin))


def machine(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """A machine with ``SENDERS_PER_MACHINE`` senders fails."""
    senders = tuple(range(min(SENDERS_PER_MACHINE, spec.senders)))
    return (Fault(FaultKind.RESTART, spec.fault_at, spec.fault_at + RESTART_MS, senders),)


def most_restart(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """Two thirds of the senders restart within a second."""
    rng = Random(f"{spec.seed}/most_restart")
    faults = []
    for sender in rng.sample(range(spec.senders), 2 * spec.senders // 3):
        at = spec.fault_at + rng.uniform(0.0, 1_000.0)
        faults.append(Fault(FaultKind.RESTART, at, at + RESTART_MS, (sender,)))
    return tuple(sorted(faults, key=lambda fault: fault.begin))


def zone(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """The last zone is cut off for four seconds."""
    return (Fault(FaultKind.CUT, spec.fault_at, spec.fault_at + 4_000.0, (len(ZONES) - 1,)),)


def region(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """The last region is cut off from the others for four seconds."""
    last = tuple(one.number for one in ZONES if one.region == ZONES[-1].region)
    return (Fault(FaultKind.CUT, spec.fault_at, spec.fault_at + 4_000.0, last),)


def allocator(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """An allocator is killed."""
    return (Fault(FaultKind.ALLOCATOR, spec.fault_at, spec.fault_at + TAKEOVER_MS, (0,)),)


def allocator_without_record(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """An allocator is killed, and its record is lost."""
    return (Fault(FaultKind.ALLOCATOR_AMNESIA, spec.fault_at, spec.fault_at + TAKEOVER_MS, (0,)),)


def jump(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """The demand of an average destination jumps to ``JUMP_FACTOR`` times its mean."""
    return (Fault(FaultKind.JUMP, spec.fault_at, spec.end, (JUMP_RANK,), JUMP_FACTOR),)


def fall(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """The limit of a busy destination falls to a tenth."""
    return (Fault(FaultKind.LIMIT, spec.fault_at, spec.end, (FALL_RANK,), 0.1),)


def returns(spec: ScheduleSpec) -> tuple[Fault, ...]:
    """Destinations that were down recover one after the other."""
    step_ms = (spec.end - spec.begin) / 2.0 / len(RETURN_RANKS)
    return tuple(
        Fault(FaultKind.RETURN, spec.begin + step_ms * number, spec.end, (rank,), WAITING_CALLS_PER_SENDER)
        for number, rank in enumerate(RETURN_RANKS)
    )


RETURN_RANKS = range(20)  # among the destinations that are down
WAITING_CALLS_PER_SENDER = 20.0  # far above the limits of these destinations
JUMP_RANK = 1_000  # about 20 calls/s at full size
FALL_RANK = 100

SCHEDULES: dict[str, Callable[[ScheduleSpec], tuple[Fault, ...]]] = {
    draw.__name__.replace("_", "-"): draw
    for draw in (
        calm,
        restarts,
        machine,
        most_restart,
        zone,
        region,
        allocator,
        allocator_without_record,
        jump,
        fall,
        returns,
    )
}


def schedule(name: str, spec: ScheduleSpec) -> tuple[Fault, ...]:
    """A schedule by name, or several joined with ``+``; raises ``ValueError`` for an unknown name."""
    faults: list[Fault] = []
    for part in name.split("+"):
        if part not in SCHEDULES:
            raise ValueError(f"unknown fault schedule: {part}; known: {', '.join(SCHEDULES)}")
        faults += SCHEDULES[part](spec)
    return tuple(sorted(faults, key=lambda fault: fault.begin))
