"""Looks after the instances' processes: starts, ends, restarts and adopts them, as ``members`` decides.

What there is stands in the members' file before it is done, so that another daemon can take over at any
moment. A process is known by its id together with the moment of its start.
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
from springspread.fleet.change import Changes
from springspread.fleet.folder import process_start, write_members
from springspread.fleet.instance_files import first_deadline, listen_address, pending_messages, rotate_log
from springspread.fleet.launcher import Launcher, Start
from springspread.fleet.limits import Owner
from springspread.fleet.members import Row, Seen, Step, Want, died, returning_first, scaled, step
from springspread.fleet.orders import Refused
from springspread.fleet.plan import FleetPlan
from springspread.net.threads import spawn

LOOK_MS = 50.0
STARTS_MS = 5_000.0  # a process that is not connected by then is no longer counted as starting
LISTENS_MS = 60_000.0  # an instance says where it listens within this, or its log is not looked at again
STOP_LOOK_MS = 20.0


class Supervisor:
    """Looks after a fleet's instances, on a thread of its own, from ``begin`` until ``stop`` or ``close``."""

    def __init__(
        self,
        plan: FleetPlan,
        rows: Mapping[str, Row],
        process_starts: Mapping[int, str],
        launcher: Launcher,
        changes: Changes,
        connected: Callable[[], list[Owner]],
        log: Log,
        clock: Clock,
    ) -> None:
        """``process_starts``: of adopted processes, by id; ``connected``: who is, at the allocator."""
        self._plan, self._launcher, self._changes = plan, launcher, changes
        self._connected, self._log, self._clock = connected, log, clock
        self._lock = threading.Lock()
        self._rows = dict(rows)
        self._process_starts = dict(process_starts)
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._rolling: list[str] = []
        # Those that have been away go first where what they hold is most urgent.
        away = [name for name, row in rows.items() if not row.pid]
        self._urgent = {name: first_deadline(plan.folder / name) for name in away}
        self._closed = threading.Event()

    def begin(self) -> None:
        """Start looking after them."""
        spawn("fleet-look", self._run, self._log)

    @property
    def rows(self) -> list[Row]:
        """The instances as they are now."""
        with self._lock:
            return list(self._rows.values())

    # Orders

    def scale(self, count: int) -> None:
        """Have so many instances serve."""
        with self._lock:
            self._rows = scaled(self._rows, count)
            self._save()

    def drain(self, name: str) -> None:
        """Have one instance leave; raises ``Refused``."""
        with self._lock:
            self._rows[name] = replace(self._known("drain", name), want=Want.LEAVING)
            self._save()

    def restart(self, name: str) -> None:
        """End one instance in order and start it again; raises ``Refused``."""
        with self._lock:
            self._rows[name] = replace(self._known("restart", name), restart=True)
            self._save()

    def roll(self) -> None:
        """Restart all that serve, one after the other."""
        with self._lock:
            self._rolling = [row.name for row in self._rows.values() if row.want is Want.SERVING]

    def _known(self, order: str, name: str) -> Row:
        if name not in self._rows:
            raise Refused(f"{order}: no such instance: {name}; there are {', '.join(self._rows)}")
        return self._rows[name]

    # Looking after them

    def _run(self) -> None:
        while not self._closed.is_set():
            with self._lock:
                for name in returning_first(self._rows, self._urgent):
                    self._look_after(name)
                    rotate_log(self._plan.folder / name)
                self._continue_roll()
            self._closed.wait(LOOK_MS / 1000.0)

    def _look_after(self, name: str) -> None:
        row, now = self._rows[name], self._clock.now()
        alive = row.pid != 0 and self._alive(row.pid)
        if row.pid and not alive:
            row = self._note_death(row, now)
        if alive:
            row = self._note_address(row, now)
        leaving = row.want is Want.LEAVING
        pending = pending_messages(self._plan.folder / name) if leaving else 0
        match step(row, Seen(alive, pending), now, self._plan.pauses):
            case Step.START | Step.EMPTY as what:
                if self._starting() < self._plan.recovery.at_once:
                    self._start(row, emptying=what is Step.EMPTY)
            case Step.TERM:
                _signal(row, signal.SIGTERM)
                self._rows[name] = replace(row, term_sent_at=now)
            case Step.KILL:
                self._log.warning("instance killed", instance=name, pid=row.pid)
                _signal(row, signal.SIGKILL)
            case Step.DROP:
                self._drop(name)

    def _note_death(self, row: Row, now: float) -> Row:
        self._log.info("instance ended", instance=row.name, pid=row.pid)
        self._changes.died((row.name, row.epoch))
        return self._put(died(row, now, self._plan.pauses))

    def _note_address(self, row: Row, now: float) -> Row:
        if row.listen or row.emptying or now >= row.started_at + LISTENS_MS:
            return row
        address = listen_address(self._plan.folder / row.name, row.pid)
        # On record, as its log may be long or cut off by the time that another daemon begins.
        return self._put(replace(row, listen=address)) if address else row

    def _drop(self, name: str) -> None:
        self._log.info("instance left", instance=name)
        del self._rows[name]
        self._save()
        shutil.rmtree(self._plan.folder / name, ignore_errors=True)

    def _starting(self) -> int:
        """How many processes have been started and are not connected yet."""
        connected, now = set(self._connected()), self._clock.now()
        return sum(
            row.pid != 0 and (row.name, row.epoch) not in connected and now < row.started_at + STARTS_MS
            for row in self._rows.values()
        )

    def _start(self, row: Row, emptying: bool) -> None:
        number = self._changes.in_force
        start = Start(row.name, row.epoch + 1, emptying, number, self._changes.policy(number))
        self._launcher.prepare(start)
        # On record first: a daemon that dies in between leaves an epoch unused, never one used twice.
        self._put(replace(row, epoch=start.epoch))
        child = self._launcher.launch(start)
        self._children[child.pid] = child
        started = replace(row, epoch=start.epoch, pid=child.pid, term_sent_at=inf, emptying=emptying)
        self._put(replace(started, started_at=self._clock.now()))
        self._log.info(
            "instance started", instance=row.name, pid=child.pid, epoch=start.epoch, emptying=emptying
        )

    def _continue_roll(self) -> None:
        """One after the other: the next one ends when all others serve again."""
        if not self._rolling or any(not row.pid or row.restart for row in self._rows.values()):
            return
        name = self._rolling.pop(0)
        if name in self._rows and self._rows[name].want is Want.SERVING:
            self._rows[name] = replace(self._rows[name], restart=True)

    def _alive(self, pid: int) -> bool:
        child = self._children.get(pid)
        if child is None:
            return process_start(pid) == self._process_starts.get(pid, "none")
        if child.poll() is None:
            return True
        del self._children[pid]
        return False

    def _put(self, row: Row) -> Row:
        """Take a row in, and put all on record."""
        self._rows[row.name] = row
        self._save()
        return row

    def _save(self) -> None:
        write_members(self._plan.folder / MEMBERS_FILE, self._rows.values())

    def stop(self) -> None:
        """End every instance in order, within the time that one has; start none any more."""
        self.close()
        with self._lock:
            rows = [row for row in self._rows.values() if row.pid]
            for row in rows:
                _signal(row, signal.SIGTERM)
            end = self._clock.now() + self._plan.pauses.stop_ms
            while (rows := [row for row in rows if self._alive(row.pid)]) and self._clock.now() < end:
                self._clock.sleep(STOP_LOOK_MS)
            for row in rows:
                _signal(row, signal.SIGKILL)
            self._save()

    def close(self) -> None:
        """Look after them no more; their processes go on."""
        self._closed.set()


def _signal(row: Row, number: signal.Signals) -> None:
    with suppress(ProcessLookupError):
        os.kill(row.pid, number)
