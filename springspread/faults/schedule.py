"""Faults drawn from a seed, written down before they are played: what happens to whom, when, and for how
long.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random


class FaultKind(Enum):
    """What may befall an instance's process, its way to the daemon, or the daemon."""

    KILL = "killed"
    FREEZE = "frozen"
    CUT = "cut off"
    HALF_OPEN = "half-open both ways"
    DEAF = "hears nothing"
    MUTE = "is not heard"
    HOLD = "held back"
    DOUBLE = "doubled"
    REPLAY = "told old things again"
    VOTED = "deaf once it has voted"
    DAEMON = "daemon killed"


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """From ``at`` for ``lasts`` (milliseconds); ``who`` is an instance's number, of no account for the
    daemon.
    """

    at: float
    kind: FaultKind
    who: int
    lasts: float


def random_schedule(
    seed: int, instances: int, length_ms: float, each_ms: float
) -> tuple[ScheduledFault, ...]:
    """One act about every ``each_ms``; nobody meets two at a time, and all are over before the end."""
    rng, free, made, at = Random(f"{seed}/acts"), [0.0] * instances, list[ScheduledFault](), 1_000.0
    while at < length_ms - 4_000.0:
        kind, lasts = rng.choice(list(FaultKind)), rng.uniform(100.0, 4_000.0)
        idle = [n for n in range(instances) if free[n] <= at]
        if idle:
            who = rng.choice(idle)
            free[who] = at + lasts + 500.0
            made.append(ScheduledFault(at, kind, who, min(lasts, length_ms - at - 2_000.0)))
        at += rng.expovariate(1.0 / each_ms)
    return tuple(made)


def worst_case_schedule(seed: int, instances: int, length_ms: float) -> tuple[ScheduledFault, ...]:
    """Faults where they hurt a change most, round after round.

    One instance goes deaf as soon as it has voted; later one is half-open, and right after that the daemon
    is killed, or, every second time, one instance is frozen, one killed and one not heard.
    """
    rng, made, round_ms = Random(f"{seed}/pressed"), list[ScheduledFault](), 9_000.0
    for turn in range(int((length_ms - 4_000.0) / round_ms)):
        begin = 1_000.0 + turn * round_ms
        who = rng.sample(range(instances), instances)
        made.append(ScheduledFault(begin, FaultKind.VOTED, who[0], 2_000.0))
        half_at = begin + 2_500.0 + rng.uniform(0.0, 500.0)
        made.append(ScheduledFault(half_at, FaultKind.HALF_OPEN, who[1 % instances], 4_000.0))
        if turn % 2 == 0:  # nobody else is silent then: waiting for another would be waiting for this one
            made.append(ScheduledFault(half_at + 100.0, FaultKind.DAEMON, 0, 150.0))
            continue
        for one, kind in zip(who[2:], (FaultKind.FREEZE, FaultKind.KILL, FaultKind.MUTE), strict=False):
            made.append(ScheduledFault(half_at + rng.uniform(500.0, 1_000.0), kind, one, 1_000.0))
    return tuple(sorted(made, key=lambda act: act.at))


def format_schedule(acts: Sequence[ScheduledFault]) -> str:
    """As JSON, one act a line, to be kept and played again."""
    lines = [json.dumps([act.at, act.kind.value, act.who, act.lasts]) for act in acts]
    return "[\n" + ",\n".join(lines) + "\n]\n"


def parse_schedule(text: str) -> tuple[ScheduledFault, ...]:
    """What ``format_schedule`` made; raises ``ValueError`` that names the act."""
    made = []
    for number, raw in enumerate(json.loads(text), 1):
        try:
            at, kind, who, lasts = raw
            made.append(ScheduledFault(float(at), FaultKind(kind), int(who), float(lasts)))
        except (TypeError, ValueError) as exc:
            raise ValueError(f"act {number}: {exc}") from exc
    return tuple(sorted(made, key=lambda act: act.at))


def minimize_schedule(
    acts: Sequence[ScheduledFault], fails: Callable[[tuple[ScheduledFault, ...]], bool], tries: int
) -> tuple[ScheduledFault, ...]:
    """A part of a failing schedule that still fails, of which no single act can go; at most ``tries`` plays.

    Halves are left out first, then ever smaller parts (delta debugging, after Zeller and Hildebrandt).
    """
    left, parts = tuple(acts), 2
    while len(left) >= 2 and tries > 0:
        size = -(-len(left) // parts)
        for begin in range(0, len(left), size):
            rest = left[:begin] + left[begin + size :]
            tries -= 1
            if fails(rest):
                left, parts = rest, max(parts - 1, 2)
                break
            if tries <= 0:
                return left
        else:
            if size == 1:
                return left
            parts = min(2 * parts, len(left))
    return left
