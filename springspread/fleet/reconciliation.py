"""Reconciles the sources that name a fleet's members at a daemon's start. No I/O, no clock.

Theory of operation. Fencing relies on epochs that never repeat, and a journal has one owner at a time. The
members' file lists the instances; it may be older than the start of a process (where the daemon died in
between), damaged, or missing. So it is compared with the epochs in the lease record and in the instances'
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
lost too: all rows without a process then start above a floor computed from the policy record's generation,
which is synced at each start of a daemon and never repeats.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from springspread.fleet.members import DesiredState, Row

EPOCHS_PER_GENERATION = 1 << 20  # the most starts of one instance under one generation of the daemon


@dataclass(frozen=True, slots=True)
class InstanceProcess:
    """A process whose environment names an instance. ``start_ticks``: in the system's ticks since boot."""

    name: str
    epoch: int
    pid: int
    start_ticks: str


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What a daemon finds at its start. ``rows``: of the members' file, ``None`` where it is lost.

    ``epochs``: epochs by instance name, one mapping for each source (leases, configurations).
    """

    rows: tuple[Row, ...] | None
    epochs: tuple[Mapping[str, int], ...] = ()
    processes: tuple[InstanceProcess, ...] = ()


@dataclass(frozen=True, slots=True)
class Membership:
    """The reconciled members, by name.

    ``journal_owners``: the process that owns a row's journal; ``stale``: processes to be killed;
    ``file_lost``: whether the members' file was lost.
    """

    rows: Mapping[str, Row]
    stale: tuple[InstanceProcess, ...] = ()
    file_lost: bool = False
    journal_owners: Mapping[str, InstanceProcess] = field(default_factory=dict)


def reconcile(recovered: RecoveredState) -> Membership:
    """Reconcile as in the table above."""
    latest, stale = _latest_processes(recovered.processes)
    running_epochs = {name: process.epoch for name, process in latest.items()}
    epochs = latest_epochs([*recovered.epochs, running_epochs])
    rows = _known_rows(recovered.rows, epochs, latest.keys())
    journal_owners = {}
    for name, process in latest.items():
        if process.epoch < rows[name].epoch:
            stale.append(process)  # a later start of the same instance is on record
        else:
            journal_owners[name] = process
    reconciled = {name: _with_process(rows[name], journal_owners.get(name)) for name in sorted(rows)}
    return Membership(reconciled, tuple(stale), recovered.rows is None, journal_owners)


def _latest_processes(
    processes: Iterable[InstanceProcess],
) -> tuple[dict[str, InstanceProcess], list[InstanceProcess]]:
    """The latest process of each name, and those that it superseded."""
    latest: dict[str, InstanceProcess] = {}
    superseded: list[InstanceProcess] = []
    for process in sorted(processes, key=lambda process: (process.epoch, process.start_ticks)):
        if process.name in latest:
            superseded.append(latest[process.name])
        latest[process.name] = process
    return latest, superseded


def _known_rows(
    recorded: Iterable[Row] | None, epochs: Mapping[str, int], processes: Iterable[str]
) -> dict[str, Row]:
    """A row for each instance, with its latest known epoch."""
    if recorded is None:
        return {name: Row(name, epoch=epoch) for name, epoch in epochs.items()}
    rows = {row.name: replace(row, epoch=max(row.epoch, epochs.get(row.name, 0))) for row in recorded}
    for name in processes:
        if name not in rows:
            rows[name] = Row(name, DesiredState.LEAVING, epochs[name])
    return rows


def _with_process(row: Row, process: InstanceProcess | None) -> Row:
    """The row with its current process; what was recorded about another process is cleared."""
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
    """The rows; those without a process get an epoch above all that earlier generations may have used."""
    floor = generation * EPOCHS_PER_GENERATION
    return {name: row if row.pid else replace(row, epoch=max(row.epoch, floor)) for name, row in rows.items()}
