"""Supervises the instances' processes: starts, ends and restarts them, as ``members`` decides.

The members' file is written before each step, so that another daemon can take over at any time. A process is
identified by its id and its start time.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import threading
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import replace
from math import inf

from springspread.core.clock import Clock
from springspread.core.types import Log
from springspread.fleet.adoption import MEMBERS_FILE
from springspread.fleet.control_client import OrderRefused
from springspread.fleet.folder import process_start_ticks, write_members
from springspread.fleet.instance_files import first_deadline, listen_address, pending_messages, rotate_log
from springspread.fleet.launcher import Launcher, Start
from springspread.fleet.limits import Owner
from springspread.fleet.members import (
    DesiredState,
    Observation,
    Row,
    Step,
    after_exit,
    scaled,
    start_order,
    step,
)
from springspread.fleet.plan import FleetPlan
from springspread.fleet.policy_changes import PolicyChanges
from springspread.net.threads import spawn

CHECK_INTERVAL_MS = 50.0
CONNECT_TIMEOUT_MS = 5_000.0  # a process that is not connected by then no longer counts as starting
ADDRESS_SEARCH_MS = 60_000.0  # how long after its start an instance's log is searched for its address
STOP_POLL_MS = 20.0


class Supervisor:
    """Supervises a fleet's instances on its own thread, from ``begin`` until ``stop`` or ``close``."""

    def __init__(
        self,
        plan: FleetPlan,
        rows: Mapping[str, Row],
        process_starts: Mapping[int, str],
        launcher: Launcher,
        changes: PolicyChanges,
        connected: Callable[[], list[Owner]],
        log: Log,
        clock: Clock,
    ) -> None:
        """``process_starts``: by id, of adopted processes; ``connected`` returns the connected owners."""
        self._plan, self._launcher, self._changes = plan, launcher, changes
        self._connected, self._log, self._clock = connected, log, clock
        self._lock = threading.Lock()
        self._rows = dict(rows)
        self._process_starts = dict(process_starts)
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._rolling: list[str] = []
        # Stopped instances start in the order of the deadlines in their journals.
        stopped = [name for name, row in rows.items() if not row.pid]
        self._start_deadlines = {name: first_deadline(plan.folder / name) for name in stopped}
        self._closed = threading.Event()

    def begin(self) -> None:
        """Start the thread."""
        spawn("fleet-supervisor", self._run, self._log)

    @property
    def rows(self) -> list[Row]:
        """The current rows."""
        with self._lock:
            return list(self._rows.values())

    # Orders

    def scale(self, count: int) -> None:
        """Scale the fleet to ``count`` serving instances."""
        with self._lock:
            self._rows = scaled(self._rows, count)
            self._save()

    def drain(self, name: str) -> None:
        """Make one instance leave; raises ``OrderRefused``."""
        with self._lock:
            self._rows[name] = replace(self._find_row("drain", name), desired=DesiredState.LEAVING)
            self._save()

    def restart(self, name: str) -> None:
        """Restart one instance gracefully; raises ``OrderRefused``."""
        with self._lock:
            self._rows[name] = replace(self._find_row("restart", name), restart=True)
            self._save()

    def roll(self) -> None:
        """Restart all serving instances, one at a time."""
        with self._lock:
            self._rolling = [row.name for row in self._rows.values() if row.desired is DesiredState.SERVING]

    def _find_row(self, order: str, name: str) -> Row:
        if name not in self._rows:
            raise OrderRefused(f"{order}: no such instance: {name}; there are {', '.join(self._rows)}")
        return self._rows[name]

    # The supervisor's thread

    def _run(self) -> None:
        while not self._closed.is_set():
            with self._lock:
                for name in start_order(self._rows, self._start_deadlines):
                    self._take_step(name)
                    rotate_log(self._plan.folder / name)
                self._continue_roll()
            self._closed.wait(CHECK_INTERVAL_MS / 1000.0)

    def _take_step(self, name: str) -> None:
        row, now = self._rows[name], self._clock.now()
        alive = row.pid != 0 and self._alive(row.pid)
        if row.pid and not alive:
            row = self._record_death(row, now)
        if alive:
            row = self._record_address(row, now)
        leaving = row.desired is DesiredState.LEAVING
        pending = pending_messages(self._plan.folder / name) if leaving else 0
        match step(row, Observation(alive, pending), now, self._plan.restart_timings):
            case Step.START | Step.EMPTY as kind:
                if self._count_starting() < self._plan.recovery.at_once:
                    self._start(row, emptying=kind is Step.EMPTY)
            case Step.TERM:
                _signal(row, signal.SIGTERM)
                self._rows[name] = replace(row, term_sent_at=now)
            case Step.KILL:
                self._log.warning("instance killed", instance=name, pid=row.pid)
                _signal(row, signal.SIGKILL)
            case Step.DROP:
                self._drop(name)

    def _record_death(self, row: Row, now: float) -> Row:
        self._log.info("instance ended", instance=row.name, pid=row.pid)
        self._changes.died((row.name, row.epoch))
        return self._store_row(after_exit(row, now, self._plan.restart_timings))

    def _record_address(self, row: Row, now: float) -> Row:
        if row.listen or row.emptying or now >= row.started_at + ADDRESS_SEARCH_MS:
            return row
        address = listen_address(self._plan.folder / row.name, row.pid, row.epoch)
        # Recorded, as the log may be rotated before another daemon starts.
        return self._store_row(replace(row, listen=address)) if address else row

    def _drop(self, name: str) -> None:
        self._log.info("instance left", instance=name)
        del self._rows[name]
        self._save()
        shutil.rmtree(self._plan.folder / name, ignore_errors=True)

    def _count_starting(self) -> int:
        """How many started processes are not yet connected."""
        connected, now = set(self._connected()), self._clock.now()
        return sum(
            row.pid != 0
            and (row.name, row.epoch) not in connected
            and now < row.started_at + CONNECT_TIMEOUT_MS
            for row in self._rows.values()
        )

    def _start(self, row: Row, emptying: bool) -> None:
        number = self._changes.in_force
        start = Start(row.name, row.epoch + 1, emptying, number, self._changes.policy(number))
        self._launcher.prepare(start)
        # Recorded before the launch: a daemon that dies in between skips an epoch, but none is reused.
        self._store_row(replace(row, epoch=start.epoch))
        child = self._launcher.launch(start)
        self._children[child.pid] = child
        started = replace(row, epoch=start.epoch, pid=child.pid, term_sent_at=inf, emptying=emptying)
        self._store_row(replace(started, started_at=self._clock.now()))
        self._log.info(
            "instance started", instance=row.name, pid=child.pid, epoch=start.epoch, emptying=emptying
        )

    def _continue_roll(self) -> None:
        """Restart the next instance of a roll once all others are running."""
        if not self._rolling or any(not row.pid or row.restart for row in self._rows.values()):
            return
        name = self._rolling.pop(0)
        if name in self._rows and self._rows[name].desired is DesiredState.SERVING:
            self._rows[name] = replace(self._rows[name], restart=True)

    def _alive(self, pid: int) -> bool:
        child = self._children.get(pid)
        if child is None:
            return process_start_ticks(pid) == self._process_starts.get(pid, "none")
        if child.poll() is None:
            return True
        del self._children[pid]
        return False

    def _store_row(self, row: Row) -> Row:
        """Replace a row and write the members' file."""
        self._rows[row.name] = row
        self._save()
        return row

    def _save(self) -> None:
        write_members(self._plan.folder / MEMBERS_FILE, self._rows.values())

    def stop(self) -> None:
        """Send SIGTERM to every instance, and SIGKILL to those still running after ``stop_ms``."""
        self.close()
        with self._lock:
            rows = [row for row in self._rows.values() if row.pid]
            for row in rows:
                _signal(row, signal.SIGTERM)
            end = self._clock.now() + self._plan.restart_timings.stop_ms
            while (rows := [row for row in rows if self._alive(row.pid)]) and self._clock.now() < end:
                self._clock.sleep(STOP_POLL_MS)
            for row in rows:
                _signal(row, signal.SIGKILL)
            self._save()

    def close(self) -> None:
        """Stop the thread; the processes keep running."""
        self._closed.set()


def _signal(row: Row, number: signal.Signals) -> None:
    with suppress(ProcessLookupError):
        os.kill(row.pid, number)
