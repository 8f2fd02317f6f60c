"""The stages of a sender's startup. No I/O, no clock; times are milliseconds.

Theory of operation. A start passes these stages in order. Each ends as soon as its condition holds, or after
its longest wait, and does not come back; an interrupted start begins with the first one again, as nothing of
it is stored.

    stage   ends when                                  after its longest wait    held back until then
    clock   there is no backlog, or the true time is   the best known time       the backlog: neither sent
            known from an answer's date                (``core.wall_clock``)     nor ended
    policy  this process may act under the current     each call still checks    the backlog
            policy; at once for a single sender        it
    list    discovery has returned its list            the last known list       the backlog
    owed    no more of the backlog is left than        both share the slots      new clients: they are refused
            there are slots                                                      with a retry-after
    open    (final)

The backlog is what earlier processes accepted and did not end. Messages that have ended already, or that may
have run and may not be repeated, wait for no stage: their final status is sent at once. With no waits (a
sender that no fleet started) all stages end at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from springspread.config import Waits


class Stage(Enum):
    """A stage, named after what it waits for."""

    CLOCK = "clock"
    POLICY = "policy"
    LIST = "list"
    OWED = "owed"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class Conditions:
    """What the stages check. ``backlog``: how many recovered messages are still open."""

    backlog: int
    slots: int
    time_known: bool  # from an answer's date
    policy: bool
    listed: bool


@dataclass(frozen=True, slots=True)
class PassedStage:
    """A stage that is over: when it ended, and whether by its condition or by its longest wait."""

    stage: Stage
    at: float
    met: bool


@dataclass(frozen=True, slots=True)
class Progress:
    """The current stage, and since when."""

    stage: Stage
    since: float
    passed: tuple[PassedStage, ...] = ()


STAGES: tuple[tuple[Stage, Callable[[Conditions], bool], Callable[[Waits], float]], ...] = (
    (
        Stage.CLOCK,
        lambda conditions: not conditions.backlog or conditions.time_known,
        lambda waits: waits.clock_ms,
    ),
    (Stage.POLICY, lambda conditions: conditions.policy, lambda waits: waits.policy_ms),
    (Stage.LIST, lambda conditions: conditions.listed, lambda waits: waits.list_ms),
    (Stage.OWED, lambda conditions: conditions.backlog <= conditions.slots, lambda waits: waits.owed_ms),
)


def advance(progress: Progress, conditions: Conditions, waits: Waits, now: float) -> Progress:
    """Leave all stages that are over."""
    for n, (stage, met, longest) in enumerate(STAGES):
        if stage is not progress.stage:
            continue
        if not met(conditions) and now < progress.since + longest(waits):
            return progress
        after = STAGES[n + 1][0] if n + 1 < len(STAGES) else Stage.OPEN
        passed = (*progress.passed, PassedStage(stage, now, met(conditions)))
        progress = Progress(after, now, passed)
    return progress
