"""The daemon of a fleet: starts its components in order, and dispatches orders to them.

    component       module             task
    adoption        adoption           rows and processes left by an earlier daemon
    policy changes  policy_changes     one policy for all instances
    allocator       allocator_server   leases of limits
    supervisor      supervisor         the instances' processes
    control socket  control            orders from outside

Instances outlive their daemon: the next one adopts them. Their calls stop only where there is no daemon for
longer than their grants last (``policy_changes``). One daemon at a time locks the folder.
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
MAX_BOUND_LIMITS_SHOWN = 100


class Daemon:
    """Runs a fleet until ``stop``.

    Raises ``OrderRefused`` or ``OSError`` where its folder can't be used, and ``PlanTooLarge`` where its
    files are over a bound.
    """

    program = "springspread"  # the module that instances run

    def __init__(self, plan: FleetPlan, log: Log, clock: Clock = SYSTEM) -> None:
        self._plan, self._log, self._clock = plan, log, clock
        self.folder = plan.folder
        base = _read_config(plan.config)
        configured = plan.policy(base)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._folder_lock = _lock_folder(self.folder)
        adopted = adopt(self.folder, self.daemon_socket, log, clock)
        rows = adopted.rows
        if not rows or (adopted.file_lost and len(rows) < plan.instances):
            rows = scaled(rows, plan.instances)
        self._changes = self._load_policies(configured, rows)
        if adopted.file_lost:
            rows = raise_epochs(rows, self._changes.record.history.generation + 1)
        self._server = self._serve_limits(had_predecessor=any(row.epoch for row in rows.values()))
        try:
            self._changes.begin(
                _running_owners(rows.values()), self._server.send, self._server.schedule_limits
            )
        except DamagedRecord as exc:
            raise OrderRefused(str(exc)) from exc
        self._policy_orders = PolicyOrders(self._changes, clock)
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

    def _load_policies(self, configured: Policy, names: Iterable[str]) -> PolicyChanges:
        """Open the policy record; raises ``OrderRefused`` where it can't be used."""
        folder = self.folder / "policy"
        try:
            changes = PolicyChanges(folder, configured, self._log, self._clock, self._plan.policy_timings)
            in_force = changes.record.history.in_force
            for name in names:
                if (started := policy_started_with(self.folder / name)) > in_force:
                    raise DamagedRecord(
                        f"{folder}: an older copy was restored: its record ends at policy {in_force},"
                        f" but {name} was started with {started}; restore the newer copy"
                    )
            current = changes.policy(in_force)
        except DamagedRecord as exc:
            raise OrderRefused(str(exc)) from exc
        except PolicyError as exc:
            raise OrderRefused(f"{self._plan.config}: {exc}") from exc
        if differing := differences(current, configured)[:MAX_DIFFERENCES_LOGGED]:
            self._log.warning(
                "configuration differs from the policy in force; propose it to apply it", differing=differing
            )
        return changes

    def _serve_limits(self, had_predecessor: bool) -> AllocatorServer:
        history, clock = self._changes.record.history, self._clock
        upcoming = clock.now() < history.since  # decided by an earlier daemon, not yet in force
        policy = self._changes.policy(history.previous if upcoming else history.in_force)
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
        if upcoming:
            next_policy = self._changes.policy(history.in_force)
            server.schedule_limits(next_policy.limits, history.since, next_policy.default_mode)
        return server

    def instance_settings(self, name: str) -> dict[str, Any]:
        """Additional configuration of one instance; none here."""
        return {}

    def daemon_socket(self, name: str) -> Path:
        """The socket at which an instance connects to this daemon."""
        return self.folder / "allot"

    # Orders

    def order(self, order: object) -> dict[str, Any]:
        """Carry an order out; raises ``OrderRefused``."""
        if not isinstance(order, dict):
            raise OrderRefused("an order must be an object")
        answer = self._carry_out_policy_order(order)
        return self._carry_out_instance_order(order) if answer is None else answer

    def _carry_out_policy_order(self, order: dict[str, Any]) -> dict[str, Any] | None:
        match order:
            case {"do": "propose", "policy": str(text), "within": int() | float() as within} if (
                0 <= within <= MAX_WITHIN_S
            ):
                return self.propose(text, float(within))
            case {"do": "check", "policy": str(text)}:
                return self._policy_orders.check(text, _running_owners(self._supervisor.rows))
            case {"do": "outcome", "version": int(number)}:
                return self._policy_orders.outcome(number)
            case {"do": "text", "version": int(number)}:
                return self._policy_orders.text(number)
            case {"do": "policy"}:
                return self._policy_orders.status(self._supervisor.rows)
            case {"do": "history"}:
                return {"history": self._policy_orders.history()}
        return None

    def _carry_out_instance_order(self, order: dict[str, Any]) -> dict[str, Any]:
        match order:
            case {"do": "recovery"}:
                return {"recovery": self._recovery()}
            case {"do": "limits"}:
                return {"limits": self._server.limits_status(MAX_BOUND_LIMITS_SHOWN)}
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
        """Propose a policy; waits until it is in force or refused, or the time is up."""
        return self._policy_orders.propose(text, within_s)

    def _status(self) -> list[dict[str, Any]]:
        connected, now = dict(self._server.members), self._clock.now()
        return [
            instance_status(
                row,
                connected.get(row.name) == row.epoch,
                self._changes.reported_version((row.name, row.epoch)),
                now,
            )
            for row in self._supervisor.rows
        ]

    def _recovery(self) -> list[dict[str, Any]]:
        """The recovery progress of each instance."""
        return [self._recovery_of(row) for row in self._supervisor.rows]

    def _recovery_of(self, row: Row) -> dict[str, Any]:
        report = self._server.start_progress((row.name, row.epoch))
        now = self._clock.now()
        if row.pid and report is not None:
            return recovery_status(row, report, now)
        return unreported_recovery(row, pending_messages(self.folder / row.name), now)

    def stop(self) -> None:
        """Stop every instance gracefully, then the daemon."""
        self._supervisor.stop()
        self.detach()

    def detach(self) -> None:
        """End the daemon alone; a new one adopts the running instances."""
        self._supervisor.close()
        self._control.close()
        self._changes.close()
        self._server.close()
        self._folder_lock.close()


def _running_owners(rows: Iterable[Row]) -> list[Owner]:
    return [(row.name, row.epoch) for row in rows if row.pid]


def _read_config(path: Path) -> dict[str, Any]:
    """The decoded configuration; raises ``OSError``, ``ValueError`` or ``OrderRefused``."""
    base = json.loads(path.read_text())
    if not isinstance(base, dict):
        raise OrderRefused(f"{path}: must hold an object")
    return base


def _lock_folder(folder: Path) -> IO[str]:
    """Lock the folder for this process; raises ``OrderRefused`` where another daemon does."""
    lock = (folder / "lock").open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        lock.close()
        raise OrderRefused(f"{folder}: another daemon runs this fleet") from exc
    return lock
