"""Takes over, as a daemon begins, what its predecessor left: the members' file, and processes that run.

``reconciliation`` decides; this module reads and acts.
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
from springspread.fleet.folder import Unusable, config_epochs, read_members, running
from springspread.fleet.lease_record import leased_epochs
from springspread.fleet.members import Row
from springspread.fleet.reconciliation import Evidence, latest_epochs, reconcile

MEMBERS_FILE = "members.json"


@dataclass(frozen=True, slots=True)
class Adopted:
    """The rows that there are; ``lost``: the members' file was, and there is something to run.

    ``process_starts``: when each adopted process began (the system's ticks), by process id.
    """

    rows: dict[str, Row]
    process_starts: dict[int, str]
    lost: bool


def adopt(folder: Path, daemon_socket: Callable[[str], Path], log: Log, clock: Clock) -> Adopted:
    """The members, reconciled from all that survived; stale processes are killed. Raises ``OSError``."""
    rows = _recorded_rows(folder / MEMBERS_FILE, log)
    leased = latest_epochs({name: epoch} for name, epoch in leased_epochs(folder))
    membership = reconcile(Evidence(rows, (leased, config_epochs(folder)), running(daemon_socket)))
    for process in membership.stale:
        log.warning("astray, ended", instance=process.name, pid=process.pid, epoch=process.epoch)
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGKILL)
    adopted = dict(membership.rows)
    for name, holder in membership.holders.items():
        adopted[name] = replace(adopted[name], started_at=clock.now(), term_sent_at=inf)
        log.info("adopted", instance=name, pid=holder.pid)
    starts = {holder.pid: holder.started for holder in membership.holders.values()}
    return Adopted(adopted, starts, membership.lost and bool(membership.rows))


def _recorded_rows(path: Path, log: Log) -> tuple[Row, ...] | None:
    try:
        return read_members(path)
    except Unusable as exc:
        aside = path.with_suffix(".damaged")
        path.replace(aside)
        log.error("members lost; told by what survived", file=str(aside), fault=str(exc))
        return None
