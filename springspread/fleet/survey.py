"""What a daemon believes of its members as it begins, out of all that survived. No I/O, no clock.

Theory of operation. Every fence in a fleet relies on epochs that never repeat, and every journal on one owner
at a time. The members' file says who there is; it may be of before a process was started (the daemon died in
between), damaged, or gone. So it is held against what else is known: epochs in the record of leases and in
instances' configurations, and processes that say themselves what they are.

    members' file   processes that say they are NAME      then
    whole           none                                  the row, without a process
    whole           one                                   the row, with it, whatever it says of another
    whole           several, or one of an epoch that      the one of the latest epoch; the others are astray
                    is not the latest heard of
    whole           one, and there is no such row         a row that leaves: what it owes is not forgotten
    lost            any                                   a row that serves, for each name that has a folder,
                                                          a lease or a process

An epoch is never below any that was heard of. Where the file is lost, the latest ones may be lost with it:
all begin again above a floor that the policy record's generation gives, which is synced at each start of a
daemon and never repeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from springspread.fleet.members import Row, Want

EPOCHS = 1 << 20  # starts that one generation of the daemon may make, of one instance


@dataclass(frozen=True, slots=True)
class Running:
    """A process that says which instance it is. ``started``: in the system's ticks."""

    name: str
    epoch: int
    pid: int
    started: str


@dataclass(frozen=True, slots=True)
class Found:
    """What survived. ``rows``: of the members' file, ``None`` where it is lost; epochs by name."""

    rows: tuple[Row, ...] | None
    epochs: tuple[Mapping[str, int], ...] = ()  # of leases, and of configurations
    running: tuple[Running, ...] = ()


@dataclass(frozen=True, slots=True)
class Believed:
    """``rows``: with the processes that hold them; ``astray``: processes that must hold nothing any more."""

    rows: Mapping[str, Row]
    astray: tuple[Running, ...] = ()
    lost: bool = False
    holders: Mapping[str, Running] = field(default_factory=dict)


def believed(found: Found) -> Believed:
    """Decide, by the table above."""
    latest: dict[str, Running] = {}
    astray: list[Running] = []
    for one in sorted(found.running, key=lambda one: (one.epoch, one.started)):
        if one.name in latest:
            astray.append(latest[one.name])
        latest[one.name] = one
    heard = highest([*found.epochs, {one.name: one.epoch for one in latest.values()}])
    if found.rows is None:
        rows = {name: Row(name, epoch=epoch) for name, epoch in heard.items()}
    else:
        rows = {row.name: replace(row, epoch=max(row.epoch, heard.get(row.name, 0))) for row in found.rows}
        for name in latest.keys() - rows.keys():
            rows[name] = Row(name, Want.LEAVING, heard[name])
    made = {}
    for name in sorted(rows):
        row, holder = rows[name], latest.get(name)
        if holder is not None and holder.epoch < row.epoch:
            astray.append(holder)  # a later start than it was on record
            holder = None
        if holder is None:
            made[name] = replace(row, pid=0, emptying=False, listen="")
        else:
            if holder.pid != row.pid:
                row = replace(row, emptying=False, listen="")
            made[name] = replace(row, pid=holder.pid, epoch=holder.epoch)
    holders = {name: one for name, one in latest.items() if made[name].pid}
    return Believed(made, tuple(astray), found.rows is None, holders)


def highest(epochs: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """The latest epoch of each name."""
    made: dict[str, int] = {}
    for one in epochs:
        for name, epoch in one.items():
            made[name] = max(made.get(name, 0), epoch)
    return made


def raised(rows: Mapping[str, Row], generation: int) -> dict[str, Row]:
    """The rows without processes, above every epoch that an earlier generation may have used."""
    floor = generation * EPOCHS
    return {name: row if row.pid else replace(row, epoch=max(row.epoch, floor)) for name, row in rows.items()}
