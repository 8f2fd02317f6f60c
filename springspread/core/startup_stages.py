"""The order in which a sender returns to service. No I/O, no clock; times are milliseconds.

Theory of operation. A start goes through gates, in this order. Each opens as soon as what it names is so, or
when its longest wait is over; a gate that has opened stays open, and a start that is cut off begins anew at
the first one, as nothing is kept of it.

    gate    opens when                                  its longest wait over    held back until it opens
    clock   nothing is owed, or the world's time is     the best that is known   what is owed: neither sent
            known                                       (``core.wall_clock``)     nor given up
    policy  this process may act under the policy       goes on: each call       what is owed
            that holds; at once where it stands alone   asks for itself
    list    discovery has told its whole list           the list as last held    what is owed
    owed    of what was owed at the start no more is    they compete             new clients: they are refused
            left than there are slots                                            at once, with a time to
                                                                                 come back
    open    (never left)

What was decided before, and what may have run and may not be repeated, waits for none of them: it is told at
once. With no waits (a sender that no fleet started) all are open from the first moment.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from springspread.config import Waits


class Stage(Enum):
    """What a start waits for."""

    CLOCK = "clock"
    POLICY = "policy"
    LIST = "list"
    OWED = "owed"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class Conditions:
    """What there is at a moment. ``owed``: of what was owed at the start, how many have no end yet."""

    backlog: int
    slots: int
    time_known: bool  # the world's time is known
    policy: bool
    listed: bool


@dataclass(frozen=True, slots=True)
class Passed:
    """A gate that is open: when it opened, and whether that was for what it names."""

    stage: Stage
    at: float
    met: bool


@dataclass(frozen=True, slots=True)
class Progress:
    """Before which gate a start stands, and since when."""

    stage: Stage
    since: float
    passed: tuple[Passed, ...] = ()


STAGES: tuple[tuple[Stage, Callable[[Conditions], bool], Callable[[Waits], float]], ...] = (
    (Stage.CLOCK, lambda seen: not seen.backlog or seen.time_known, lambda waits: waits.clock_ms),
    (Stage.POLICY, lambda seen: seen.policy, lambda waits: waits.policy_ms),
    (Stage.LIST, lambda seen: seen.listed, lambda waits: waits.list_ms),
    (Stage.OWED, lambda seen: seen.backlog <= seen.slots, lambda waits: waits.owed_ms),
)


def advance(progress: Progress, seen: Conditions, waits: Waits, now: float) -> Progress:
    """Through as many gates as are open."""
    for n, (stage, met, longest) in enumerate(STAGES):
        if stage is not progress.stage:
            continue
        if not met(seen) and now < progress.since + longest(waits):
            return progress
        after = STAGES[n + 1][0] if n + 1 < len(STAGES) else Stage.OPEN
        passed = (*progress.passed, Passed(stage, now, met(seen)))
        progress = Progress(after, now, passed)
    return progress
