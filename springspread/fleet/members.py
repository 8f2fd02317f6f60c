"""Which instances there should be, and what has to be done about those that there are. No I/O, no clock.

Theory of operation. Each instance is a row with a folder of its own, which at most one process may use. The
desired state of a row and what was last observed of its process decide the next step ("pending": its journal
holds messages without an end):

    desired   process                    step
    serving   none                       start it, after a backoff that doubles with each early death
    serving   running                    none; a death after ``settled_ms`` resets the backoff
    leaving   running                    SIGTERM, once; SIGKILL after ``stop_ms``
    leaving   none, messages pending     start it to empty its journal, without clients
    leaving   none, none pending         drop the row and its folder
    emptying  running, none pending      SIGTERM, once; SIGKILL after ``stop_ms``

So a journal has one owner at any time, and the next process that starts on it takes it over. Times are
milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import inf


class DesiredState(Enum):
    """Whether an instance is to serve clients or to leave the fleet."""

    SERVING = "serving"
    LEAVING = "leaving"


class Step(Enum):
    """What has to be done about an instance now."""

    START = "start"
    EMPTY = "empty"  # start it without clients, until no message is pending
    TERM = "term"
    KILL = "kill"
    DROP = "drop"  # the row and its folder are not needed any more


@dataclass(frozen=True, slots=True)
class Pauses:
    """How soon a dead instance is started again, and how long one may take to stop (milliseconds)."""

    first_ms: float = 100.0  # the backoff after a first death; it doubles with each further one
    most_ms: float = 10_000.0
    settled_ms: float = 30_000.0  # a process that ran so long has not failed at its start
    stop_ms: float = 4_000.0  # from SIGTERM to SIGKILL


@dataclass(frozen=True, slots=True)
class Row:
    """One instance. ``started_at`` and ``term_sent_at`` are of its present process; inf: not yet."""

    name: str
    desired: DesiredState = DesiredState.SERVING
    epoch: int = 0
    pid: int = 0  # 0: none that is known of
    started_at: float = inf
    term_sent_at: float = inf  # when SIGTERM was sent to it
    died_at: float = -inf
    deaths: int = 0  # consecutive, each within ``settled_ms`` of its start
    restart: bool = False  # its process is to be ended once and started again
    emptying: bool = False  # its present process takes no clients
    listen: str = ""  # ``host:port`` of that process, once it has logged it


@dataclass(frozen=True, slots=True)
class Observation:
    """What the driver sees: whether the row's process lives, and the messages pending in its folder."""

    alive: bool
    pending: int = 0


def died(row: Row, now: float, pauses: Pauses) -> Row:
    """The row after its process has ended; an end that was ordered counts as no death."""
    expected = row.term_sent_at < inf
    settled = now - row.started_at >= pauses.settled_ms
    deaths = 0 if expected else 1 if settled else row.deaths + 1
    fresh = Row(row.name, row.desired, row.epoch)
    return replace(fresh, died_at=now, deaths=deaths)


def pause(row: Row, pauses: Pauses) -> float:
    """The backoff (milliseconds) from its last death to its next start."""
    return 0.0 if not row.deaths else min(pauses.first_ms * 2.0 ** (row.deaths - 1), pauses.most_ms)


def step(row: Row, observed: Observation, now: float, pauses: Pauses) -> Step | None:
    """The next step for one row, by the table above; ``None``: nothing to do."""
    if row.pid and observed.alive:
        if not _ends(row, observed):
            return None
        if row.term_sent_at == inf:
            return Step.TERM
        return Step.KILL if now - row.term_sent_at >= pauses.stop_ms else None
    if row.desired is DesiredState.LEAVING and not observed.pending:
        return Step.DROP
    if now < row.died_at + pause(row, pauses):
        return None
    return Step.START if row.desired is DesiredState.SERVING else Step.EMPTY


def _ends(row: Row, observed: Observation) -> bool:
    """Whether the row's running process is to end, or has been ordered to."""
    if row.restart:
        return True
    if row.desired is DesiredState.SERVING:
        return False
    # A serving process may end at once: the next start takes over its pending messages.
    emptied = not row.emptying or not observed.pending
    return emptied or row.term_sent_at < inf


def scaled(rows: Mapping[str, Row], count: int) -> dict[str, Row]:
    """The rows with ``count`` serving ones: the lowest free names are added, the highest ones leave.

    A row that leaves does not serve again: its folder may be in the middle of being emptied.
    """
    changed = dict(rows)
    serving = sorted(name for name, row in rows.items() if row.desired is DesiredState.SERVING)
    for name in serving[count:]:
        changed[name] = replace(rows[name], desired=DesiredState.LEAVING)
    number = 0
    while sum(row.desired is DesiredState.SERVING for row in changed.values()) < count:
        name = f"n{number:03}"
        if name not in changed:
            changed[name] = Row(name)
        number += 1
    return changed


def returning_first(rows: Mapping[str, Row], urgent: Mapping[str, float]) -> list[str]:
    """The names in the order of their starts: by the earliest deadline of a pending message, then by name.

    ``urgent``: that deadline (Unix time, milliseconds) by name, as found at the daemon's start.
    """
    return sorted(rows, key=lambda name: (urgent.get(name, inf), name))
