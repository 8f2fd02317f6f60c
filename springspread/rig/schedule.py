"""Faults drawn from a seed, written down before they are played: what happens to whom, when, and for how
long.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random


class Kind(Enum):
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
    DAEMON = "daemon killed"


@dataclass(frozen=True, slots=True)
class Act:
    """From ``at`` for ``lasts`` (milliseconds); ``who`` is an instance's number, of no account for the
    daemon.
    """

    at: float
    kind: Kind
    who: int
    lasts: float


def drawn(seed: int, instances: int, length_ms: float, each_ms: float) -> tuple[Act, ...]:
    """One act about every ``each_ms``; nobody meets two at a time, and all are over before the end."""
    rng, free, made, at = Random(f"{seed}/acts"), [0.0] * instances, list[Act](), 1_000.0
    while at < length_ms - 4_000.0:
        kind, lasts = rng.choice(list(Kind)), rng.uniform(100.0, 4_000.0)
        idle = [n for n in range(instances) if free[n] <= at]
        if idle:
            who = rng.choice(idle)
            free[who] = at + lasts + 500.0
            made.append(Act(at, kind, who, min(lasts, length_ms - at - 2_000.0)))
        at += rng.expovariate(1.0 / each_ms)
    return tuple(made)
