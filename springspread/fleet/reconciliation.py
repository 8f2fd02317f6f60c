"""Reconciles what survived of a fleet's members as its daemon begins. No I/O, no clock.

Theory of operation. Fencing in a fleet relies on epochs that never repeat, and a journal on one owner at a
time. The members' file names the instances; it may be older than the start of a process (the daemon died in
between), damaged, or gone. So it is compared with the epochs in the record of leases and in the instances'
configurations, and with the processes that run under an instance's name.

    members' file   processes of a name           result
    readable        none                          the row, without a process
    readable        one                           the row, with that process
    readable        several, or one whose epoch   the one of the latest epoch; the others are stale
                    is below the latest known
    readable        one, but there is no row      a new row that leaves: its pending messages are delivered
    lost            any                           a row that serves for each name with a folder, a lease or
                                                  a process

A row's epoch is never below any known epoch of its name. Where the file is lost, the latest epochs may be
lost with it: all rows without a process then begin above a floor computed from the policy record's
generation, which is synced at each start of a daemon and never repeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from springspread.fleet.members import DesiredState, Row

EPOCHS = 1 << 20  # the most starts of one instance under one generation of the daemon


@dataclass(frozen=True, slots=True)
class Running:
    """A process whose environment names an instance. ``started``: in the system's ticks since boot."""

    name: str
    epoch: int
    pid: int
    started: str


@dataclass(frozen=True, slots=True)
class Evidence:
    """What survived. ``rows``: of the members' file, ``None`` where it is lost.

    ``epochs``: epochs by instance name, one mapping for each source (leases, configurations).
    """

    rows: tuple[Row, ...] | None
    epochs: tuple[Mapping[str, int], ...] = ()
    running: tuple[Running, ...] = ()


@dataclass(frozen=True, slots=True)
class Membership:
    """The reconciled members, by name.

    ``holders``: the processes that own a row's journal; ``stale``: processes to be killed; ``lost``: the
    members' file was.
    """

    rows: Mapping[str, Row]
    stale: tuple[Running, ...] = ()
    lost: bool = False
    holders: Mapping[str, Running] = field(default_factory=dict)


def reconcile(evidence: Evidence) -> Membership:
    """Decide by the table above."""
    latest, stale = _latest_processes(evidence.running)
    running_epochs = {name: process.epoch for name, process in latest.items()}
    epochs = latest_epochs([*evidence.epochs, running_epochs])
    rows = _known_rows(evidence.rows, epochs, latest.keys())
    holders = {}
    for name, process in latest.items():
        if process.epoch < rows[name].epoch:
            stale.append(process)  # a later start of the same instance is on record
        else:
            holders[name] = process
    reconciled = {name: _with_process(rows[name], holders.get(name)) for name in sorted(rows)}
    return Membership(reconciled, tuple(stale), evidence.rows is None, holders)


def _latest_processes(running: Iterable[Running]) -> tuple[dict[str, Running], list[Running]]:
    """The latest process of each name, and the others."""
    latest: dict[str, Running] = {}
    superseded: list[Running] = []
    for process in sorted(running, key=lambda process: (process.epoch, process.started)):
        if process.name in latest:
            superseded.append(latest[process.name])
        latest[process.name] = process
    return latest, superseded


def _known_rows(
    recorded: Iterable[Row] | None, epochs: Mapping[str, int], running: Iterable[str]
) -> dict[str, Row]:
    """A row for each instance, at its latest known epoch."""
    if recorded is None:
        return {name: Row(name, epoch=epoch) for name, epoch in epochs.items()}
    rows = {row.name: replace(row, epoch=max(row.epoch, epochs.get(row.name, 0))) for row in recorded}
    for name in running:
        if name not in rows:
            rows[name] = Row(name, DesiredState.LEAVING, epochs[name])
    return rows


def _with_process(row: Row, process: Running | None) -> Row:
    """The row as that process holds it; what was recorded of another process is cleared."""
    if process is None:
        return replace(row, pid=0, emptying=False, listen="")
    if process.pid != row.pid:
        row = replace(row, emptying=False, listen="")
    return replace(row, pid=process.pid, epoch=process.epoch)


def latest_epochs(sources: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """The latest epoch of each name."""
    latest: dict[str, int] = {}
    for epochs in sources:
        for name, epoch in epochs.items():
            latest[name] = max(latest.get(name, 0), epoch)
    return latest


def raise_epochs(rows: Mapping[str, Row], generation: int) -> dict[str, Row]:
    """The rows, those without a process above every epoch that an earlier generation may have used."""
    floor = generation * EPOCHS
    return {name: row if row.pid else replace(row, epoch=max(row.epoch, floor)) for name, row in rows.items()}
