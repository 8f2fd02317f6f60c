"""Which instances there should be, and what has to be done about those that there are. No I/O, no clock.

Theory of operation. Each instance is a row with a folder of its own, which at most one process may hold. What
a row wants and what was last seen of its process decide the next step:

    wanted    process                    step
    serving   none                       start it, after the pause that its deaths have earned
    serving   there                      nothing; a death after ``settled_ms`` costs the first pause again
    leaving   there                      SIGTERM, once; SIGKILL after ``stop_ms``
    leaving   none, folder owes          start it to empty the folder: no client is sent there
    leaving   none, folder owes nothing  the row is gone
    emptying  there, folder owes nothing SIGTERM, once; SIGKILL after ``stop_ms``

So a journal has one owner at any time, and whoever starts next on it takes it up: adoption is a start. Times
are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import inf


class Want(Enum):
    """What an instance is for."""

    SERVING = "serving"
    LEAVING = "leaving"


class Step(Enum):
    """What has to be done."""

    START = "start"
    EMPTY = "empty"  # start it without clients, until it owes nothing
    TERM = "term"
    KILL = "kill"
    DROP = "drop"  # the row and its folder are not needed any more


@dataclass(frozen=True, slots=True)
class Pauses:
    """How soon a dead instance is started again, and how long one may take to stop."""

    first_ms: float = 100.0
    most_ms: float = 10_000.0
    settled_ms: float = 30_000.0
    stop_ms: float = 4_000.0


@dataclass(frozen=True, slots=True)
class Row:
    """One instance. ``started_at`` and ``term_sent_at`` are of its present process; inf: not yet."""

    name: str
    want: Want = Want.SERVING
    epoch: int = 0
    pid: int = 0  # 0: none that is known of
    started_at: float = inf
    term_sent_at: float = inf  # when SIGTERM was sent to it
    died_at: float = -inf
    deaths: int = 0  # one after the other, each soon after its start
    restart: bool = False  # it is to end once, and to be started again
    emptying: bool = False  # its present process takes no clients
    listen: str = ""  # where that process serves, as soon as it has said so


@dataclass(frozen=True, slots=True)
class Seen:
    """What the driver sees: whether the row's process lives, and the messages pending in its folder."""

    alive: bool
    pending: int = 0


def died(row: Row, now: float, pauses: Pauses) -> Row:
    """Its process is gone. One that was told to end has not failed."""
    expected = row.term_sent_at < inf
    settled = now - row.started_at >= pauses.settled_ms
    deaths = 0 if expected else 1 if settled else row.deaths + 1
    fresh = Row(row.name, row.want, row.epoch)
    return replace(fresh, died_at=now, deaths=deaths)


def pause(row: Row, pauses: Pauses) -> float:
    """How long after its death it stays down."""
    return 0.0 if not row.deaths else min(pauses.first_ms * 2.0 ** (row.deaths - 1), pauses.most_ms)


def step(row: Row, seen: Seen, now: float, pauses: Pauses) -> Step | None:
    """The next step for one row, or none."""
    if row.pid and seen.alive:
        ends = row.restart or (row.want is Want.LEAVING and (row.term_sent_at < inf or _may_end(row, seen)))
        if not ends:
            return None
        if row.term_sent_at == inf:
            return Step.TERM
        return Step.KILL if now - row.term_sent_at >= pauses.stop_ms else None
    if row.want is Want.LEAVING and not seen.pending:
        return Step.DROP
    if now < row.died_at + pause(row, pauses):
        return None
    return Step.START if row.want is Want.SERVING else Step.EMPTY


def _may_end(row: Row, seen: Seen) -> bool:
    # One that serves ends at once and leaves what it owes to the next start; one that empties, when it has.
    return not row.emptying or not seen.pending


def scaled(rows: Mapping[str, Row], count: int) -> dict[str, Row]:
    """So many serving rows: the lowest free names are added, the highest ones leave.

    A row that leaves is not taken back: its folder may be in the middle of being emptied.
    """
    made = dict(rows)
    serving = sorted((row for row in rows.values() if row.want is Want.SERVING), key=lambda row: row.name)
    for row in serving[count:]:
        made[row.name] = replace(row, want=Want.LEAVING)
    number = 0
    while sum(row.want is Want.SERVING for row in made.values()) < count:
        name = f"n{number:03}"
        if name not in made:
            made[name] = Row(name)
        number += 1
    return made


def returning_first(rows: Mapping[str, Row], urgent: Mapping[str, float]) -> list[str]:
    """The order in which rows are looked at: who owes what ends first comes first, then by name.

    ``urgent``: when the first message of each has its end, as found at the daemon's start.
    """
    return sorted(rows, key=lambda name: (urgent.get(name, inf), name))
