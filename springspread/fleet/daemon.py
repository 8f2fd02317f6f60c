"""The daemon of a fleet: puts its parts together, in order, and hands each order to the part that it is for.

    part            module             job
    adoption        adoption           what a daemon before left: rows, processes
    changes         change             one policy for all instances
    allocator       allocator_server   shares of limits
    supervisor      supervisor         the instances' processes
    control socket  control            orders from outside

The death of the daemon ends nobody, and stops calls only where it lasts longer than the instances' grants
(``policy_changes``): another one adopts what runs. One daemon at a time holds the folder.
"""

from __future__ import annotations

import fcntl
import json
from collections.abc import Iterable
from pathlib import Path
from typing import IO, Any

from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Log
from springspread.fleet.adoption import adopt
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.control import ControlSocket
from springspread.fleet.control_client import OrderRefused
from springspread.fleet.instance_files import pending_messages, policy_started_with
from springspread.fleet.launcher import Launcher, fleet_id
from springspread.fleet.limits import Owner
from springspread.fleet.members import Row, scaled
from springspread.fleet.plan import FleetPlan
from springspread.fleet.policy_changes import PolicyChanges
from springspread.fleet.policy_orders import PolicyOrders
from springspread.fleet.reconciliation import raise_epochs
from springspread.fleet.status import instance_status, recovery_status, unreported_recovery
from springspread.fleet.supervisor import Supervisor
from springspread.rollout.document import Policy, PolicyError, differences
from springspread.rollout.policy_record import DamagedRecord

MAX_INSTANCES = 1000
MAX_WITHIN_S = 600.0
MAX_DIFFERENCES_LOGGED = 20
MAX_BOUND_SHOWN = 100


class Daemon:
    """Runs a fleet until ``stop``.

    Raises ``OrderRefused`` or ``OSError`` where its folder can't be used, and ``PlanTooLarge`` where its
    files are over a bound.
    """

    program = "springspread"  # what each instance runs

    def __init__(self, plan: FleetPlan, log: Log, clock: Clock = SYSTEM) -> None:
        self._plan, self._log, self._clock = plan, log, clock
        self.folder = plan.folder
        base = _read_config(plan.config)
        wanted = plan.policy(base)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._held = _lock_folder(self.folder)
        adopted = adopt(self.folder, self.daemon_socket, log, clock)
        rows = adopted.rows
        if not rows or (adopted.file_lost and len(rows) < plan.instances):
            rows = scaled(rows, plan.instances)
        self._changes = self._load_policies(wanted, rows)
        if adopted.file_lost:
            rows = raise_epochs(rows, self._changes.record.history.generation + 1)
        self._server = self._serve_limits(had_predecessor=any(row.epoch for row in rows.values()))
        try:
            self._changes.begin(_running(rows.values()), self._server.send, self._server.schedule_limits)
        except DamagedRecord as exc:
            raise OrderRefused(str(exc)) from exc
        self._policy = PolicyOrders(self._changes, clock)
        launcher = Launcher(plan, base, self.program, self.instance_settings, self.daemon_socket)
        self._supervisor = Supervisor(
            plan,
            rows,
            adopted.process_starts,
            launcher,
            self._changes,
            lambda: self._server.members,
            log,
            clock,
        )
        self._control = ControlSocket(self.folder / "control", self.order, log, clock)
        self._supervisor.begin()

    def _load_policies(self, wanted: Policy, names: Iterable[str]) -> PolicyChanges:
        """The record of policies; raises ``OrderRefused`` where it can't be followed."""
        folder = self.folder / "policy"
        try:
            changes = PolicyChanges(folder, wanted, self._log, self._clock, self._plan.times)
            in_force = changes.record.history.in_force
            for name in names:
                if (started := policy_started_with(self.folder / name)) > in_force:
                    raise DamagedRecord(
                        f"{folder}: an older copy was put back: its record ends at policy {in_force},"
                        f" and {name} was started with {started}; put the newer one back"
                    )
            current = changes.policy(in_force)
        except DamagedRecord as exc:
            raise OrderRefused(str(exc)) from exc
        except PolicyError as exc:
            raise OrderRefused(f"{self._plan.config}: {exc}") from exc
        if differing := differences(current, wanted)[:MAX_DIFFERENCES_LOGGED]:
            self._log.warning("files differ from the policy in force; propose them", differing=differing)
        return changes

    def _serve_limits(self, had_predecessor: bool) -> AllocatorServer:
        history, clock = self._changes.record.history, self._clock
        undecided = clock.now() < history.since  # the daemon before decided it, for a moment to come
        policy = self._changes.policy(history.previous if undecided else history.in_force)
        server = AllocatorServer(
            self.folder / "allot",
            self.folder,
            policy.limits,
            self._log,
            clock,
            self._changes.received,
            had_predecessor,
            policy.default_mode,
            fleet_id(self.folder),
        )
        if undecided:
            coming = self._changes.policy(history.in_force)
            server.schedule_limits(coming.limits, history.since, coming.default_mode)
        return server

    def instance_settings(self, name: str) -> dict[str, Any]:
        """What an instance's configuration has beside the fleet's; all have the same."""
        return {}

    def daemon_socket(self, name: str) -> Path:
        """The socket at which an instance finds this daemon."""
        return self.folder / "allot"

    # Orders

    def order(self, order: object) -> dict[str, Any]:
        """Carry an order out; raises ``OrderRefused``."""
        if not isinstance(order, dict):
            raise OrderRefused("an order must be an object")
        answer = self._policy_order(order)
        return self._instance_order(order) if answer is None else answer

    def _policy_order(self, order: dict[str, Any]) -> dict[str, Any] | None:
        match order:
            case {"do": "propose", "policy": str(text), "within": int() | float() as within} if (
                0 <= within <= MAX_WITHIN_S
            ):
                return self.propose(text, float(within))
            case {"do": "check", "policy": str(text)}:
                return self._policy.check(text, _running(self._supervisor.rows))
            case {"do": "outcome", "version": int(number)}:
                return self._policy.outcome(number)
            case {"do": "text", "version": int(number)}:
                return self._policy.text(number)
            case {"do": "policy"}:
                return self._policy.status(self._supervisor.rows)
            case {"do": "history"}:
                return {"history": self._policy.history()}
        return None

    def _instance_order(self, order: dict[str, Any]) -> dict[str, Any]:
        match order:
            case {"do": "recovery"}:
                return {"recovery": self._recovery()}
            case {"do": "limits"}:
                return {"limits": self._server.limits_status(MAX_BOUND_SHOWN)}
            case {"do": "status"}:
                pass
            case {"do": "scale", "count": int(count)} if 0 <= count <= MAX_INSTANCES:
                self._supervisor.scale(count)
            case {"do": "scale"}:
                raise OrderRefused(f"scale: the count must be a whole number from 0 to {MAX_INSTANCES}")
            case {"do": "drain", "name": str(name)}:
                self._supervisor.drain(name)
            case {"do": "restart", "name": str(name)}:
                self._supervisor.restart(name)
            case {"do": "roll"}:
                self._supervisor.roll()
            case _:
                known = "status, recovery, scale, drain, restart, roll and policy"
                raise OrderRefused(f"no such order; there are {known}")
        return {"instances": self._status()}

    def propose(self, text: str, within_s: float) -> dict[str, Any]:
        """Ask for a policy to take hold; waits until it does, is refused, or the time is over."""
        return self._policy.propose(text, within_s)

    def _status(self) -> list[dict[str, Any]]:
        connected, now = dict(self._server.members), self._clock.now()
        return [
            instance_status(
                row,
                connected.get(row.name) == row.epoch,
                self._changes.acts_under((row.name, row.epoch)),
                now,
            )
            for row in self._supervisor.rows
        ]

    def _recovery(self) -> list[dict[str, Any]]:
        """How far each instance's return has come."""
        return [self._recovery_of(row) for row in self._supervisor.rows]

    def _recovery_of(self, row: Row) -> dict[str, Any]:
        report = self._server.start_progress((row.name, row.epoch))
        now = self._clock.now()
        if row.pid and report is not None:
            return recovery_status(row, report, now)
        return unreported_recovery(row, pending_messages(self.folder / row.name), now)

    def stop(self) -> None:
        """End every instance in order, within the time that one has, and then the daemon."""
        self._supervisor.stop()
        self.detach()

    def detach(self) -> None:
        """End the daemon alone: a new one adopts what runs."""
        self._supervisor.close()
        self._control.close()
        self._changes.close()
        self._server.close()
        self._held.close()


def _running(rows: Iterable[Row]) -> list[Owner]:
    return [(row.name, row.epoch) for row in rows if row.pid]


def _read_config(path: Path) -> dict[str, Any]:
    """The decoded configuration; raises ``OSError``, ``ValueError`` or ``OrderRefused``."""
    base = json.loads(path.read_text())
    if not isinstance(base, dict):
        raise OrderRefused(f"{path}: must hold an object")
    return base


def _lock_folder(folder: Path) -> IO[str]:
    """Hold the folder for this process alone; raises ``OrderRefused`` where another daemon does."""
    held = (folder / "lock").open("w")
    try:
        fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        held.close()
        raise OrderRefused(f"{folder}: another daemon runs this fleet") from exc
    return held
