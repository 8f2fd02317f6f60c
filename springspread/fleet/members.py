"""Decides which instances exist and the next step for each. No I/O, no clock.

Theory of operation. Each instance is a row with a folder of its own, which at most one process may use. The
desired state of a row and what was last observed of its process decide the next step ("pending": its journal
has messages without an outcome):

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
    """The next step for an instance."""

    START = "start"
    EMPTY = "empty"  # start it without clients, until no message is pending
    TERM = "term"
    KILL = "kill"
    DROP = "drop"  # remove the row and its folder


@dataclass(frozen=True, slots=True)
class RestartTimings:
    """The restart backoff and the time that an instance has to stop (milliseconds)."""

    first_ms: float = 100.0  # the backoff after the first death; it doubles with each further one
    most_ms: float = 10_000.0
    settled_ms: float = 30_000.0  # a process that ran for this long did not fail at its start
    stop_ms: float = 4_000.0  # from SIGTERM to SIGKILL


@dataclass(frozen=True, slots=True)
class Row:
    """One instance. ``started_at`` and ``term_sent_at`` are those of its current process; inf: not yet."""

    name: str
    desired: DesiredState = DesiredState.SERVING
    epoch: int = 0
    pid: int = 0  # 0: no known process
    started_at: float = inf
    term_sent_at: float = inf  # when SIGTERM was sent to it
    died_at: float = -inf
    deaths: int = 0  # consecutive, each within ``settled_ms`` of its start
    restart: bool = False  # its process is to be restarted once
    emptying: bool = False  # its current process accepts no clients
    listen: str = ""  # ``host:port`` of that process, once it has logged it


@dataclass(frozen=True, slots=True)
class Observation:
    """What is observed: whether the row's process is alive, and the messages pending in its journal."""

    alive: bool
    pending: int = 0


def after_exit(row: Row, now: float, timings: RestartTimings) -> Row:
    """The row after its process has ended; an end after SIGTERM does not count as a death."""
    expected = row.term_sent_at < inf
    settled = now - row.started_at >= timings.settled_ms
    deaths = 0 if expected else 1 if settled else row.deaths + 1
    down = Row(row.name, row.desired, row.epoch)
    return replace(down, died_at=now, deaths=deaths)


def restart_backoff(row: Row, timings: RestartTimings) -> float:
    """The backoff (milliseconds) from the last death to the next start."""
    return 0.0 if not row.deaths else min(timings.first_ms * 2.0 ** (row.deaths - 1), timings.most_ms)


def step(row: Row, observed: Observation, now: float, timings: RestartTimings) -> Step | None:
    """The next step for one row, as in the table above; ``None``: nothing to do."""
    if row.pid and observed.alive:
        if not _must_end(row, observed):
            return None
        if row.term_sent_at == inf:
            return Step.TERM
        return Step.KILL if now - row.term_sent_at >= timings.stop_ms else None
    if row.desired is DesiredState.LEAVING and not observed.pending:
        return Step.DROP
    if now < row.died_at + restart_backoff(row, timings):
        return None
    return Step.START if row.desired is DesiredState.SERVING else Step.EMPTY


def _must_end(row: Row, observed: Observation) -> bool:
    """Whether the row's running process is to end."""
    if row.restart:
        return True
    if row.desired is DesiredState.SERVING:
        return False
    # A serving process may end at once: the next start delivers its pending messages.
    emptied = not row.emptying or not observed.pending
    return emptied or row.term_sent_at < inf


def scaled(rows: Mapping[str, Row], count: int) -> dict[str, Row]:
    """The rows with ``count`` serving ones: the lowest free names are added, the highest serving ones leave.

    A leaving row is not reused, as its journal may be partly emptied.
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


def start_order(rows: Mapping[str, Row], deadlines: Mapping[str, float]) -> list[str]:
    """The names in start order: by the first deadline of a pending message, then by name.

    ``deadlines``: those deadlines (Unix time, milliseconds) by name, as read at the daemon's start.
    """
    return sorted(rows, key=lambda name: (deadlines.get(name, inf), name))
