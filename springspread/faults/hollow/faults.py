"""What happens to a hollow fleet, and when: a schedule that is drawn first and played after."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from springspread.faults.hollow.network import ZONES

RESTART_MS = 1_500.0  # until a restarted sender's next process talks
TAKEOVER_MS = 1_000.0  # until an allocator's successor serves
SECONDS_A_DAY = 86_400.0
RESTARTS_A_DAY = 250
FULL_SENDERS = 1_100
MACHINE_SENDERS = 8  # that share a machine
JUMP_FACTOR = 100.0


class FaultKind(Enum):
    """What is done."""

    RESTART = "senders are killed; their next processes begin at the end"
    CUT = "zones are cut off from all others until the end"
    ALLOCATOR = "an allocator is killed; its successor has the record"
    ALLOCATOR_AMNESIA = "an allocator is killed; its successor has no record"
    JUMP = "the demand of a destination is multiplied until the end"
    LIMIT = "the limit of a destination is multiplied until the end"
    RETURN = "a destination that was down serves again; calls to it wait at every sender"


@dataclass(frozen=True, slots=True)
class Fault:
    """One event. ``targets`` are numbers of senders, zones, an allocator or a destination; ms.

    Limits and demand are multiplied by ``factor``. The target of a return counts the destinations that are
    down at the begin, the busiest first; ``factor`` is how many calls wait at each sender.
    """

    kind: FaultKind
    begin: float
    end: float
    targets: tuple[int, ...]
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class ScheduleSpec:
    """What a schedule is drawn for: numbers of senders and allocators, and the span of time (ms)."""

    senders: int
    allocators: int
    begin: float
    end: float
    seed: int

    @property
    def middle(self) -> float:
        """A third into the span, so that what follows a fault is seen."""
        return self.begin + (self.end - self.begin) / 3.0


def calm(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """Nothing."""
    return ()


def restarts(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """Restarts at the rate of 250 a day of 1,100 senders, at least one."""
    rng = Random(f"{stage.seed}/restarts")
    seconds = (stage.end - stage.begin) / 1000.0
    mean = RESTARTS_A_DAY / SECONDS_A_DAY * seconds * stage.senders / FULL_SENDERS
    made = []
    for sender in rng.sample(range(stage.senders), max(round(mean), 1)):
        at = rng.uniform(stage.begin, stage.middle)
        made.append(Fault(FaultKind.RESTART, at, at + RESTART_MS, (sender,)))
    return tuple(sorted(made, key=lambda fault: fault.begin))


def machine(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """A machine with some senders fails."""
    ones = tuple(range(min(MACHINE_SENDERS, stage.senders)))
    return (Fault(FaultKind.RESTART, stage.middle, stage.middle + RESTART_MS, ones),)


def most_restart(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """Two thirds of the senders restart within a second."""
    rng = Random(f"{stage.seed}/most_restart")
    made = []
    for sender in rng.sample(range(stage.senders), 2 * stage.senders // 3):
        at = stage.middle + rng.uniform(0.0, 1_000.0)
        made.append(Fault(FaultKind.RESTART, at, at + RESTART_MS, (sender,)))
    return tuple(sorted(made, key=lambda fault: fault.begin))


def zone(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """The last zone is cut off for four seconds."""
    return (Fault(FaultKind.CUT, stage.middle, stage.middle + 4_000.0, (len(ZONES) - 1,)),)


def region(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """The last region is cut off from the others for four seconds."""
    last = tuple(one.number for one in ZONES if one.region == ZONES[-1].region)
    return (Fault(FaultKind.CUT, stage.middle, stage.middle + 4_000.0, last),)


def allocator(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """An allocator is killed."""
    return (Fault(FaultKind.ALLOCATOR, stage.middle, stage.middle + TAKEOVER_MS, (0,)),)


def allocator_without_record(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """An allocator is killed, and its record is lost."""
    return (Fault(FaultKind.ALLOCATOR_AMNESIA, stage.middle, stage.middle + TAKEOVER_MS, (0,)),)


def jump(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """The demand of a middling destination is a hundredfold from one moment on."""
    return (Fault(FaultKind.JUMP, stage.middle, stage.end, (JUMP_RANK,), JUMP_FACTOR),)


def fall(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """The limit of a busy destination falls to a tenth."""
    return (Fault(FaultKind.LIMIT, stage.middle, stage.end, (FALL_RANK,), 0.1),)


def returns(stage: ScheduleSpec) -> tuple[Fault, ...]:
    """Destinations that were down serve again, one after the other."""
    step_ms = (stage.end - stage.begin) / 2.0 / len(RETURN_RANKS)
    return tuple(
        Fault(FaultKind.RETURN, stage.begin + step_ms * number, stage.end, (rank,), WAITING_CALLS)
        for number, rank in enumerate(RETURN_RANKS)
    )


RETURN_RANKS = range(20)  # among the destinations that are down
WAITING_CALLS = 20.0  # at each sender: far more than any of their limits
JUMP_RANK = 1_000  # some 20 calls a second at the full size
FALL_RANK = 100

SCHEDULES: dict[str, Callable[[ScheduleSpec], tuple[Fault, ...]]] = {
    made.__name__.replace("_", "-"): made
    for made in (
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


def schedule(name: str, stage: ScheduleSpec) -> tuple[Fault, ...]:
    """A schedule by name, or several joined with ``+``; raises ``ValueError`` for an unknown name."""
    made: list[Fault] = []
    for part in name.split("+"):
        if part not in SCHEDULES:
            raise ValueError(f"no such faults: {part}; there are {', '.join(SCHEDULES)}")
        made += SCHEDULES[part](stage)
    return tuple(sorted(made, key=lambda fault: fault.begin))
