"""The daemon: starts instances, looks after them, and takes orders on a socket that only its owner may open.

What there is stands in ``members.json`` before it is done, so that a new daemon adopts what runs: the death
of this one ends nobody, and stops calls only where it lasts longer than the instances' grants (``change``). A
process is known by its id together with the moment of its start. One daemon at a time holds the folder.
"""

from __future__ import annotations

import fcntl
import json
import os
import shutil
import signal
import subprocess
import sys
import threading
from contextlib import suppress
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import Any

from springspread.core.clock import SYSTEM, Clock
from springspread.core.lanes import owed_in
from springspread.core.types import Log
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.change import Changes
from springspread.fleet.control import ControlSocket
from springspread.fleet.folder import (
    Unusable,
    config_epochs,
    process_start,
    read_members,
    running,
    write_members,
)
from springspread.fleet.limits import Limit
from springspread.fleet.members import Row, Seen, Step, Want, died, returning_first, scaled, step
from springspread.fleet.orders import Refused
from springspread.fleet.plan import FleetPlan
from springspread.fleet.record import leased_epochs
from springspread.fleet.survey import Found, believed, highest, raised
from springspread.net.threads import spawn
from springspread.rollout.document import Policy, PolicyFault, check, differences, parsed
from springspread.rollout.record import Damaged
from springspread.rollout.terms import Proposed

LOOK_MS = 50.0
STARTS_MS = 5_000.0  # one that has not said hello by then is no longer counted as starting
LISTENS_MS = 60_000.0  # an instance says where it listens within this, or its log is not looked at again
NUMBER_S = 2.0  # a proposal's number is waited for this long, at the least
MOST = 1000
LOG_BYTES = 4 << 20


class Daemon:
    """Runs a fleet until ``stop``. Raises ``Refused`` or ``OSError`` where its folder can't be used."""

    program = "springspread"  # what each instance runs

    def __init__(self, plan: FleetPlan, log: Log, clock: Clock = SYSTEM) -> None:
        self._plan, self._log, self._clock = plan, log, clock
        self.folder = plan.folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self._base: dict[str, Any] = json.loads(plan.config.read_text())
        self._held = (self.folder / "lock").open("w")
        try:
            fcntl.flock(self._held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            raise Refused(f"{self.folder}: another daemon runs this fleet") from exc
        self._lock = threading.Lock()
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._since: dict[int, str] = {}  # of processes that another daemon started
        self._rolling: list[str] = []
        self._rows = self._adopted()
        if not self._rows or (self._lost and len(self._rows) < plan.instances):
            self._rows = scaled(self._rows, plan.instances)
        # Those that have been away go first where what they owe is most urgent.
        self._urgent = {name: self._first_end(name) for name, row in self._rows.items() if not row.pid}
        self._changes = self._policies()
        if self._lost:
            self._rows = raised(self._rows, self._changes.record.history.generation + 1)
        history, heard = self._changes.record.history, self._changes.heard
        coming = clock.now() < history.since
        now = self._limits(history.before if coming else history.in_force)
        before = any(row.epoch for row in self._rows.values())
        self._server = AllocatorServer(self.folder / "allot", self.folder, now, log, clock, heard, before)
        if coming:  # decided by the daemon before, and not reached yet
            self._server.follow(self._limits(history.in_force), history.since)
        alive = [(row.name, row.epoch) for row in self._rows.values() if row.pid]
        try:
            self._changes.begin(alive, self._server.tell, self._server.follow)
        except Damaged as exc:
            raise Refused(str(exc)) from exc
        self._over = threading.Event()
        self._control = ControlSocket(self.folder / "control", self.order, log, clock)
        spawn("fleet-look", self._look_on, log)

    # The policy

    def _policies(self) -> Changes:
        """The record of policies; raises ``Refused`` where it can't be followed."""
        asked = self._plan.policy(self._base)
        try:
            changes = Changes(self.folder / "policy", asked, self._log, self._clock, self._plan.times)
            history = changes.record.history
            for name in self._rows:
                if (started := self._started_with(name)) > history.in_force:
                    raise Damaged(
                        f"{self.folder / 'policy'}: an older copy was put back: its record ends at policy"
                        f" {history.in_force}, and {name} was started with {started}; put the newer one back"
                    )
            held = changes.policy(history.in_force)
        except Damaged as exc:
            raise Refused(str(exc)) from exc
        except PolicyFault as exc:
            raise Refused(f"{self._plan.config}: {exc}") from exc
        if differing := differences(held, asked):
            self._log.warning("files differ from the policy in force; propose them", differing=differing[:20])
        return changes

    def _started_with(self, name: str) -> int:
        try:
            return int(json.loads((self.folder / name / "config.json").read_text()).get("policy", 0))
        except (OSError, ValueError, TypeError, AttributeError):
            return 0

    def _limits(self, number: int) -> dict[str, Limit]:
        return dict(self._changes.policy(number).limits)

    @property
    def _policy(self) -> Policy:
        return self._changes.policy(self._changes.record.history.in_force)

    def propose(self, text: str, within_s: float) -> dict[str, Any]:
        """Ask for a policy to take hold; waits until it does, is refused, or the time is over."""
        try:
            policy = parsed(text)
        except PolicyFault as exc:
            raise Refused(str(exc)) from exc
        changes, end = self._changes, self._clock.now() + 1000.0 * within_s
        history = changes.record.history
        number = changes.pending if changes.pending else history.in_force
        if not number or changes.policy(number).digest != policy.digest:  # asked again: the same answer
            proposal = changes.propose(policy)
            proposal.taken.wait(max(within_s, NUMBER_S))  # so that there is a number to ask about
            if proposal.fault:
                return {"state": "refused", "version": 0, "fault": proposal.fault}
            number = proposal.number
        while (told := changes.outcome(number))[0] != "in force" and self._clock.now() < end:
            if told[0] == "refused":
                break
            self._clock.sleep(10.0)
        return {"state": told[0], "version": number, "fault": told[1]}

    def _known(self, number: int) -> Policy:
        decided = self._changes.record.decided
        if number not in decided:
            raise Refused(f"no policy {number} held; there are {', '.join(map(str, decided))}")
        return self._changes.policy(number)

    def _checked(self, text: str) -> dict[str, Any]:
        """What a proposal would change, who would refuse it, and who is silent; nothing is changed."""
        try:
            policy = parsed(text)
            check(policy, [self._changes.policy(number) for number in self._changes.record.decided])
        except PolicyFault as exc:
            return {"usable": False, "fault": str(exc), "changes": [], "refuse": {}, "silent": []}
        with self._lock:
            running = [(row.name, row.epoch) for row in self._rows.values() if row.pid]
        told = self._changes.would_fit(policy, running)
        refuse = {name: fault for (name, _), fault in told.items() if fault}
        changes = differences(self._policy, policy)
        silent = [name for (name, _), fault in told.items() if fault is None]
        fault = "; ".join(f"{name}: {why}" for name, why in refuse.items())
        return {"usable": not refuse, "fault": fault, "changes": changes, "refuse": refuse, "silent": silent}

    def _policy_status(self) -> dict[str, Any]:
        changes = self._changes
        number, pending = changes.in_force, changes.pending
        waits = [name for name, _ in changes.waits]
        states = {}
        for row in self._rows.values():
            version = changes.acts_under((row.name, row.epoch))
            state = "acting" if version else "holding" if row.pid else "away"
            states[row.name] = {"version": version, "state": state}
        return {
            "in_force": {"version": number, "digest": changes.policy(number).digest},
            "pending": {"version": pending, "waits_for": waits} if pending else None,
            "instances": states,
        }

    def _policy_history(self) -> list[dict[str, Any]]:
        record = self._changes.record
        numbers = [entry.number for entry in record.entries if isinstance(entry, Proposed)]
        outcomes = {number: self._changes.outcome(number) for number in numbers}
        return [
            {"version": n, "state": state, "fault": fault, "digest": record.policy(n).digest}
            for n, (state, fault) in outcomes.items()
        ]

    # Rows on disk

    def _adopted(self) -> dict[str, Row]:
        """Who there is, out of all that survived (``survey``); whoever must hold nothing is ended."""
        path, rows = self.folder / "members.json", None
        try:
            rows = read_members(path)
        except Unusable as exc:
            aside = path.with_suffix(".damaged")
            path.replace(aside)
            self._log.error("members lost; told by what survived", file=str(aside), fault=str(exc))
        leased = highest({name: epoch} for name, epoch in leased_epochs(self.folder))
        found = Found(rows, (leased, config_epochs(self.folder)), running(self.meeting_point))
        told = believed(found)
        for one in told.astray:
            self._log.warning("astray, ended", instance=one.name, pid=one.pid, epoch=one.epoch)
            with suppress(ProcessLookupError):
                os.kill(one.pid, signal.SIGKILL)
        self._lost = told.lost and bool(told.rows)
        made = dict(told.rows)
        for name, holder in told.holders.items():
            self._since[holder.pid] = holder.started
            made[name] = replace(made[name], started_at=self._clock.now(), told_at=inf)
            self._log.info("adopted", instance=name, pid=holder.pid)
        return made

    def _save(self) -> None:
        write_members(self.folder / "members.json", self._rows.values())

    # Looking after them

    def _look_on(self) -> None:
        while not self._over.is_set():
            with self._lock:
                for name in returning_first(self._rows, self._urgent):
                    self._look(name)
                    _cut(self.folder / name / "log")
                self._roll()
            self._over.wait(LOOK_MS / 1000.0)

    def _look(self, name: str) -> None:
        row, now = self._rows[name], self._clock.now()
        alive = row.pid != 0 and self._alive(row.pid)
        if row.pid and not alive:
            self._log.info("instance ended", instance=name, pid=row.pid)
            self._changes.died((name, row.epoch))
            row = self._rows[name] = died(row, now, self._plan.pauses)
            self._save()
        unknown = alive and not (row.listen or row.emptying) and now < row.started_at + LISTENS_MS
        if unknown and (listen := _listens(self.folder / name / "log", row.pid)):
            # On record, as its log may be long or cut off by the time that another daemon begins.
            row = self._rows[name] = replace(row, listen=listen)
            self._save()
        leaving = row.want is Want.LEAVING
        seen = Seen(alive, self._owed(name) if leaving else 0)
        match step(row, seen, now, self._plan.pauses):
            case Step.START | Step.EMPTY as what:
                if self._starting() < self._plan.recovery.at_once:
                    self._start(row, emptying=what is Step.EMPTY)
            case Step.TERM:
                self._signal(row, signal.SIGTERM)
                self._rows[name] = replace(row, told_at=now)
            case Step.KILL:
                self._log.warning("instance killed", instance=name, pid=row.pid)
                self._signal(row, signal.SIGKILL)
            case Step.DROP:
                self._log.info("instance left", instance=name)
                del self._rows[name]
                self._save()
                shutil.rmtree(self.folder / name, ignore_errors=True)

    def _starting(self) -> int:
        """How many processes have been started and have not said hello yet."""
        here, now = set(self._server.members), self._clock.now()
        return sum(
            row.pid != 0 and (row.name, row.epoch) not in here and now < row.started_at + STARTS_MS
            for row in self._rows.values()
        )

    def _start(self, row: Row, emptying: bool) -> None:
        place = self.folder / row.name
        (place / "state").mkdir(parents=True, exist_ok=True)
        epoch = row.epoch + 1
        number = int(row.name[1:])
        port = self._plan.first_port + number if self._plan.first_port and not emptying else 0
        raw = {**self._base, "name": row.name, "listen": f"{self._plan.host}:{port}"}
        seed = int(str(self._base.get("seed", "0")), 16) + number * 7919 + epoch
        raw |= {"epoch": epoch, "state": str(place / "state"), "seed": f"{seed % (1 << 63):x}"}
        raw |= {"recovery": self._plan.recovery.waits}
        raw |= self.given(row.name)
        number = self._changes.in_force
        raw |= {"settings": self._changes.policy(number).settings, "policy": number}
        file = place / "config.json"
        file.write_text(json.dumps(raw))
        own = ("RELAY_", "SPRINGSPREAD_")
        env = {key: value for key, value in os.environ.items() if not key.startswith(own) or "_LOG_" in key}
        env |= {"RELAY_CONFIG": str(file), "SPRINGSPREAD_FLEET": str(self.meeting_point(row.name))}
        env |= {"SPRINGSPREAD_INSTANCE": row.name, "SPRINGSPREAD_EPOCH": str(epoch)}
        env |= {"SPRINGSPREAD_POLICY": str(number)}
        # On record first: a daemon that dies in between leaves an epoch unused, never one used twice.
        self._rows[row.name] = replace(row, epoch=epoch)
        self._save()
        with (place / "log").open("ab") as log:
            args = [sys.executable, "-m", self.program]
            none = subprocess.DEVNULL
            child = subprocess.Popen(args, env=env, stdin=none, stderr=log, start_new_session=True)
        self._children[child.pid] = child
        now = self._clock.now()
        self._rows[row.name] = replace(
            row, epoch=epoch, pid=child.pid, started_at=now, told_at=inf, emptying=emptying
        )
        self._save()
        self._log.info("instance started", instance=row.name, pid=child.pid, epoch=epoch, emptying=emptying)

    def given(self, name: str) -> dict[str, Any]:
        """What an instance's configuration has beside the fleet's; all have the same."""
        return {}

    def meeting_point(self, name: str) -> Path:
        """The socket at which an instance finds this daemon."""
        return self.folder / "allot"

    def _alive(self, pid: int) -> bool:
        child = self._children.get(pid)
        if child is None:
            return process_start(pid) == self._since.get(pid, "none")
        if child.poll() is None:
            return True
        del self._children[pid]
        return False

    def _signal(self, row: Row, number: signal.Signals) -> None:
        with suppress(ProcessLookupError):
            os.kill(row.pid, number)

    def _owed(self, name: str) -> int:
        if not (state := self.folder / name / "state").is_dir():
            return 0
        with suppress(OSError):  # its process clears files away
            return len(owed_in(state))
        return 1

    def _first_end(self, name: str) -> float:
        """When the first of an instance's messages is to have its end (Unix time, ms); inf: it owes none."""
        with suppress(OSError):
            owed = owed_in(self.folder / name / "state")
            return min((one.deadline_wall for one in owed.values()), default=inf)
        return inf

    def _recovery(self) -> list[dict[str, Any]]:
        """How far each instance's return has come."""
        now, rows = self._clock.now(), []
        for row in self._rows.values():
            said = self._server.returning((row.name, row.epoch))
            up_ms = now - row.started_at if row.pid else 0.0
            told: dict[str, Any] = {"name": row.name, "want": row.want.value, "damaged": None}
            if not row.pid or said is None:
                gate, since = ("starting", up_ms) if row.pid else ("away", 0.0)
                told |= {"gate": gate, "for_s": round(since / 1000.0, 1), "owed": self._owed(row.name)}
                rows.append(told | {"ended": 0, "expected_s": None})
                continue
            ended = said.at_start - said.owed
            expected = 0.0 if not said.owed else said.owed * up_ms / ended / 1000.0 if ended else None
            told |= {"gate": said.gate, "for_s": round((now - said.since) / 1000.0, 1), "owed": said.owed}
            told |= {"ended": ended, "damaged": said.damaged}
            rows.append(told | {"expected_s": None if expected is None else round(expected, 1)})
        return rows

    def _roll(self) -> None:
        """One after the other: the next one ends when all others serve again."""
        if not self._rolling or any(not row.pid or row.restart for row in self._rows.values()):
            return
        name = self._rolling.pop(0)
        if name in self._rows and self._rows[name].want is Want.SERVING:
            self._rows[name] = replace(self._rows[name], restart=True)

    # Orders

    def order(self, order: object) -> dict[str, Any]:
        """Carry an order out; raises ``Refused``."""
        if not isinstance(order, dict):
            raise Refused("an order must be an object")
        match order:  # these wait for nobody's row
            case {"do": "propose", "policy": str(text), "within": int() | float() as within} if (
                0 <= within <= 600
            ):
                return self.propose(text, float(within))
            case {"do": "check", "policy": str(text)}:
                return self._checked(text)
            case {"do": "outcome", "version": int(number)}:
                state, fault = self._changes.outcome(number)
                return {"state": state, "version": number, "fault": fault}
            case {"do": "text", "version": int(number)}:
                return {"policy": self._known(number).text}
        with self._lock:
            match order:
                case {"do": "policy"}:
                    return self._policy_status()
                case {"do": "history"}:
                    return {"history": self._policy_history()}
                case {"do": "recovery"}:
                    return {"recovery": self._recovery()}
                case {"do": "status"}:
                    return {"instances": self._status()}
                case {"do": "scale", "count": int(count)} if 0 <= count <= MOST:
                    self._rows = scaled(self._rows, count)
                case {"do": "scale"}:
                    raise Refused(f"scale: the count must be a whole number from 0 to {MOST}")
                case {"do": "drain" | "restart" as what, "name": str(name)}:
                    if name not in self._rows:
                        raise Refused(f"{what}: no such instance: {name}; there are {', '.join(self._rows)}")
                    change = {"want": Want.LEAVING} if what == "drain" else {"restart": True}
                    self._rows[name] = replace(self._rows[name], **change)
                case {"do": "roll"}:
                    self._rolling = [row.name for row in self._rows.values() if row.want is Want.SERVING]
                case _:
                    known = "status, recovery, scale, drain, restart, roll and policy"
                    raise Refused(f"no such order; there are {known}")
            self._save()
            return {"instances": self._status()}

    def _status(self) -> list[dict[str, Any]]:
        connected = dict(self._server.members)
        now = self._clock.now()
        return [
            {
                "name": row.name,
                "want": row.want.value,
                "pid": row.pid,
                "epoch": row.epoch,
                "listen": row.listen,
                "up_s": round((now - row.started_at) / 1000.0, 1) if row.pid else 0.0,
                "in_fleet": connected.get(row.name) == row.epoch,
                "deaths": row.deaths,
                "policy": self._changes.acts_under((row.name, row.epoch)),
            }
            for row in self._rows.values()
        ]

    def stop(self) -> None:
        """End every instance in order, within the time that one has, and then the daemon."""
        self._over.set()
        with self._lock:
            rows = [row for row in self._rows.values() if row.pid]
            for row in rows:
                self._signal(row, signal.SIGTERM)
            end = self._clock.now() + self._plan.pauses.stop_ms
            while (rows := [row for row in rows if self._alive(row.pid)]) and self._clock.now() < end:
                self._clock.sleep(20.0)
            for row in rows:
                self._signal(row, signal.SIGKILL)
            self._save()
        self.leave()

    def leave(self) -> None:
        """End the daemon alone: a new one adopts what runs."""
        self._over.set()
        self._control.close()
        self._changes.close()
        self._server.close()
        self._held.close()


def _cut(log: Path) -> None:
    """Guards the disk: a log that is long enough becomes the one before, and begins anew."""
    with suppress(FileNotFoundError):
        if log.stat().st_size > LOG_BYTES:
            shutil.copyfile(log, log.with_suffix(".1"))
            os.truncate(log, 0)  # its process appends, and goes on at the beginning


def _listens(log: Path, pid: int) -> str:
    """Where an instance listens, out of its process's ready line; empty where it does not, or not yet."""
    try:
        with log.open("rb") as source:
            source.seek(max(log.stat().st_size - (1 << 18), 0))
            lines = source.read().splitlines()
    except OSError:
        return ""
    for line in reversed(lines):
        if b'"event": "ready"' in line:
            with suppress(ValueError, KeyError):
                told = json.loads(line)
                return str(told["listen"]) if told.get("pid", pid) == pid else ""
    return ""
