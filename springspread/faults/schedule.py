"""Schedules of faults, drawn from a seed: which instance meets which fault, when, and for how long."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random


class FaultKind(Enum):
    """A fault of an instance's process, of its connection to the daemon, or of the daemon."""

    KILL = "killed"
    FREEZE = "frozen"
    CUT = "cut off"
    HALF_OPEN = "half-open both ways"
    DEAF = "hears nothing"
    MUTE = "is not heard"
    HOLD = "held back"
    DOUBLE = "doubled"
    REPLAY = "told old things again"
    DEAF_AFTER_VOTE = "deaf once it has voted"
    DAEMON = "daemon killed"


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault of one instance, given by its number; faults of the daemon ignore the number."""

    at_ms: float
    kind: FaultKind
    instance: int
    duration_ms: float


def random_schedule(
    seed: int, instances: int, length_ms: float, interval_ms: float
) -> tuple[ScheduledFault, ...]:
    """A fault about every ``interval_ms``, one at a time per instance, all over before the end."""
    rng, free_at, schedule, at = Random(f"{seed}/acts"), [0.0] * instances, list[ScheduledFault](), 1_000.0
    while at < length_ms - 4_000.0:
        kind, duration_ms = rng.choice(list(FaultKind)), rng.uniform(100.0, 4_000.0)
        idle = [n for n in range(instances) if free_at[n] <= at]
        if idle:
            chosen = rng.choice(idle)
            free_at[chosen] = at + duration_ms + 500.0
            schedule.append(ScheduledFault(at, kind, chosen, min(duration_ms, length_ms - at - 2_000.0)))
        at += rng.expovariate(1.0 / interval_ms)
    return tuple(schedule)


def worst_case_schedule(seed: int, instances: int, length_ms: float) -> tuple[ScheduledFault, ...]:
    """Rounds of the faults that hurt a policy change most.

    One instance goes deaf as soon as it has voted. Later another is half-open, and right after that the
    daemon is killed; in every second round an instance is frozen, one killed and one mute instead.
    """
    rng, schedule, round_ms = Random(f"{seed}/pressed"), list[ScheduledFault](), 9_000.0
    for round_number in range(int((length_ms - 4_000.0) / round_ms)):
        start = 1_000.0 + round_number * round_ms
        chosen = rng.sample(range(instances), instances)
        schedule.append(ScheduledFault(start, FaultKind.DEAF_AFTER_VOTE, chosen[0], 2_000.0))
        half_open_at = start + 2_500.0 + rng.uniform(0.0, 500.0)
        schedule.append(ScheduledFault(half_open_at, FaultKind.HALF_OPEN, chosen[1 % instances], 4_000.0))
        if round_number % 2 == 0:  # no other silent instance may hold up the new daemon
            schedule.append(ScheduledFault(half_open_at + 100.0, FaultKind.DAEMON, 0, 150.0))
            continue
        for one, kind in zip(chosen[2:], (FaultKind.FREEZE, FaultKind.KILL, FaultKind.MUTE), strict=False):
            schedule.append(ScheduledFault(half_open_at + rng.uniform(500.0, 1_000.0), kind, one, 1_000.0))
    return tuple(sorted(schedule, key=lambda fault: fault.at_ms))


def format_schedule(faults: Sequence[ScheduledFault]) -> str:
    """Format a schedule as JSON, one fault a line."""
    lines = [
        json.dumps([fault.at_ms, fault.kind.value, fault.instance, fault.duration_ms]) for fault in faults
    ]
    return "[\n" + ",\n".join(lines) + "\n]\n"


def parse_schedule(text: str) -> tuple[ScheduledFault, ...]:
    """Parse the output of ``format_schedule``; raises ``ValueError`` with the number of an invalid fault."""
    schedule = []
    for number, raw in enumerate(json.loads(text), 1):
        try:
            at, kind, instance, duration_ms = raw
            schedule.append(ScheduledFault(float(at), FaultKind(kind), int(instance), float(duration_ms)))
        except (TypeError, ValueError) as exc:
            raise ValueError(f"fault {number}: {exc}") from exc
    return tuple(sorted(schedule, key=lambda fault: fault.at_ms))


def minimize_schedule(
    faults: Sequence[ScheduledFault], fails: Callable[[tuple[ScheduledFault, ...]], bool], max_plays: int
) -> tuple[ScheduledFault, ...]:
    """Reduce a failing schedule until no single fault can be left out, in at most ``max_plays`` plays.

    Delta debugging after Zeller and Hildebrandt: leaves out halves first, then smaller and smaller chunks.
    """
    remaining, chunks = tuple(faults), 2
    while len(remaining) >= 2 and max_plays > 0:
        size = -(-len(remaining) // chunks)
        for start in range(0, len(remaining), size):
            rest = remaining[:start] + remaining[start + size :]
            max_plays -= 1
            if fails(rest):
                remaining, chunks = rest, max(chunks - 1, 2)
                break
            if max_plays <= 0:
                return remaining
        else:
            if size == 1:
                return remaining
            chunks = min(2 * chunks, len(remaining))
    return remaining
