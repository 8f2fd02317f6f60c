"""Adopts the members' file and the running processes of an earlier daemon.

``reconciliation`` decides; this module does the I/O.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path

from springspread.core.clock import Clock
from springspread.core.types import Log
from springspread.fleet.folder import MembersFileError, config_epochs, find_processes, read_members
from springspread.fleet.lease_record import leased_epochs
from springspread.fleet.members import Row
from springspread.fleet.reconciliation import RecoveredState, latest_epochs, reconcile

MEMBERS_FILE = "members.json"


@dataclass(frozen=True, slots=True)
class AdoptedMembers:
    """The adopted rows, by name. ``file_lost``: the members' file was lost, and there are rows.

    ``process_starts``: the start of each adopted process (system ticks since boot), by process id.
    """

    rows: dict[str, Row]
    process_starts: dict[int, str]
    file_lost: bool


def adopt(folder: Path, daemon_socket: Callable[[str], Path], log: Log, clock: Clock) -> AdoptedMembers:
    """Reconcile the members, and kill stale processes. Raises ``OSError``."""
    rows = _recorded_rows(folder / MEMBERS_FILE, log)
    leased = latest_epochs({name: epoch} for name, epoch in leased_epochs(folder))
    membership = reconcile(
        RecoveredState(rows, (leased, config_epochs(folder)), find_processes(daemon_socket))
    )
    for process in membership.stale:
        log.warning("stale process killed", instance=process.name, pid=process.pid, epoch=process.epoch)
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGKILL)
    adopted = dict(membership.rows)
    for name, owner in membership.journal_owners.items():
        adopted[name] = replace(adopted[name], started_at=clock.now(), term_sent_at=inf)
        log.info("process adopted", instance=name, pid=owner.pid)
    starts = {owner.pid: owner.start_ticks for owner in membership.journal_owners.values()}
    return AdoptedMembers(adopted, starts, membership.file_lost and bool(membership.rows))


def _recorded_rows(path: Path, log: Log) -> tuple[Row, ...] | None:
    try:
        return read_members(path)
    except MembersFileError as exc:
        damaged = path.with_suffix(".damaged")
        path.replace(damaged)
        log.error("members file damaged; rebuilding it from other sources", file=str(damaged), fault=str(exc))
        return None
