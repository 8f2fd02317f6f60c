"""Makes one policy change after the other on a real fleet, each under the same kind of fault.

In a round some instances meet a fault at a random time, from shortly before the proposal until shortly after
the votes. The change is proposed until it is in force, then the faults are healed.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from springspread.faults.chaos import ChaosFleet
from springspread.faults.external_services import GROUP, ExternalServices
from springspread.faults.failpoints import FailpointAction
from springspread.faults.observer import call_starts, gaps, mixtures, policy_starts, spans_over_limit
from springspread.faults.schedule import FaultKind, ScheduledFault
from springspread.fleet.control_client import send_order

LIMITS = ((300, 500.0), (60, 500.0), (600, 500.0))  # cut to a fifth, raised tenfold, halved
CHANGE_TIMEOUT_S = 30.0
OBJECTIVE_MS = 1_000.0
SERVICE_WINDOW_MS = 1_000.0


@dataclass(slots=True)
class ArmResult:
    """The result for one kind of fault. ``service``: shares of messages in time before and after a change."""

    name: str
    changes: int = 0
    fault_count: int = 0
    unanswered: int = 0
    force_times_s: list[float] = field(default_factory=list)
    unresolved: list[str] = field(default_factory=list)
    contradicted: list[str] = field(default_factory=list)
    mixtures: list[str] = field(default_factory=list)
    over_limit: list[str] = field(default_factory=list)
    without_outcome: set[str] = field(default_factory=set)
    conflicting_outcomes: set[str] = field(default_factory=set)
    messages: int = 0
    calls: int = 0
    stall_ms: float = 0.0  # the longest time between two calls of an instance without a fault
    service: list[tuple[float, float]] = field(default_factory=list)

    @property
    def violation_count(self) -> int:
        """How many promises were violated."""
        kinds = (
            self.unresolved,
            self.contradicted,
            self.mixtures,
            self.over_limit,
            self.without_outcome,
            self.conflicting_outcomes,
        )
        return sum(len(kind) for kind in kinds)


class PolicyChangeRounds(ChaosFleet):
    """A ``ChaosFleet``; call ``run_arm`` and ``run_failpoint`` any number of times, then ``close``."""

    def __init__(
        self,
        workdir: Path,
        services: ExternalServices,
        instances: int,
        lease_ms: float = 1500.0,
        message_interval_s: float = 0.1,
    ) -> None:
        super().__init__(workdir, services, instances, lease_ms, message_interval_s)
        self._slots, self._round_number = 20, 0
        self._answers: dict[int, str] = {}  # by policy

    def run_arm(
        self,
        name: str,
        kinds: Sequence[FaultKind],
        count: int,
        instances_per_change: int,
        seed: int,
        limits: bool,
    ) -> ArmResult:
        """Make ``count`` changes; in each, ``instances_per_change`` instances meet a fault of one of
        ``kinds``.

        With ``limits`` each change also moves the partner's limit.
        """
        arm, rng = ArmResult(name), Random(f"{seed}/{name}")
        limits_by_version: dict[int, tuple[int, float]] = {}
        self.result.accepted.clear()
        self.start_load()
        begun_at = time.monotonic() * 1000.0
        affected: set[str] = set()
        for _ in range(count):
            self._round_number += 1
            limit = LIMITS[self._round_number % len(LIMITS)] if limits else None
            faults = []
            if kinds:
                kind = rng.choice(list(kinds))
                instances = (
                    [0]
                    if kind is FaultKind.DAEMON
                    else rng.sample(range(len(self._names)), instances_per_change)
                )
                faults = [
                    ScheduledFault(rng.uniform(0.0, 800.0), kind, instance, rng.uniform(50.0, 600.0))
                    for instance in instances
                ]
                affected |= {self._names[fault.instance] for fault in faults if kind is not FaultKind.DAEMON}
            number = self._round(arm, sorted(faults, key=lambda fault: fault.at_ms), limit)
            if limit is not None:
                limits_by_version[number] = limit
            time.sleep(rng.uniform(0.05, 0.3))
        self.stop_load()
        arm.without_outcome, arm.conflicting_outcomes = (
            self.result.without_outcome,
            self.result.conflicting_outcomes,
        )
        arm.messages = len(self.result.accepted)
        self._check(arm, begun_at, affected, limits_by_version)
        return arm

    def _round(
        self, arm: ArmResult, faults: Sequence[ScheduledFault], limit: tuple[int, float] | None
    ) -> int:
        """Make one change under faults; returns the policy's number."""
        self._slots = 5 if self._slots >= 40 else self._slots + 1
        self._sender_config["settings"]["specifics"]["callsOut"] = self._slots
        limits = {f"g{GROUP}": limit} if limit else {}
        text = json.dumps({"settings": self._sender_config["settings"], "limits": limits})
        start = time.monotonic()
        settled = threading.Event()
        answer: list[int] = []

        def change() -> None:
            time.sleep(0.3)  # so that faults begin up to 0.3 s before the proposal
            answer.append(self._propose_until_in_force(arm, text))
            settled.set()

        thread = threading.Thread(target=change, daemon=True)
        thread.start()
        todo, active = list(faults), list[tuple[float, Callable[[], None]]]()
        while not settled.is_set() or active:
            now = 1000.0 * (time.monotonic() - start)
            while todo and todo[0].at_ms <= now and not settled.is_set():
                fault = todo.pop(0)
                if fault.kind is not FaultKind.DAEMON or self._daemon.poll() is None:
                    active.append((fault.duration_ms, self.inject(fault)))
            for one in list(active):
                # The daemon restarts when its fault ends; other faults are healed when the change is settled.
                if settled.is_set() or (
                    faults[0].kind is FaultKind.DAEMON and now >= faults[0].at_ms + one[0]
                ):
                    active.remove(one)
                    one[1]()
            self.refresh_status()
            time.sleep(0.02)
        thread.join()
        self._ensure_daemon()
        arm.changes += 1
        arm.fault_count += len(faults) - len(todo)
        return answer[0]

    def _propose_until_in_force(self, arm: ArmResult, text: str) -> int:
        """Propose a policy until it is in force, as an operator would; returns its number."""
        start, number, fault = time.monotonic(), 0, ""
        order = {"do": "propose", "policy": text, "within": 20.0}
        while time.monotonic() < start + CHANGE_TIMEOUT_S:
            state = "unheard"
            with suppress(OSError, ValueError, KeyError):
                answer = send_order(self._folder / "control", order, 20.0)
                state, number, fault = answer["state"], answer["version"], answer["fault"]
            if state == "in force":
                arm.force_times_s.append(time.monotonic() - start)
                self._record_answer(arm, number, state)
                return number
            if state == "refused" and number:
                self._record_answer(arm, number, state)
            arm.unanswered += state == "unheard"
            time.sleep(0.05)
        arm.unresolved.append(f"change {number}: no answer in {CHANGE_TIMEOUT_S:g} s: {fault}")
        return number

    def _record_answer(self, arm: ArmResult, number: int, state: str) -> None:
        """Record a final answer, and check that no earlier one has changed."""
        self._answers[number] = state
        with suppress(OSError, ValueError, KeyError):
            rows = send_order(self._folder / "control", {"do": "history"})["history"]
            states = {row["version"]: row["state"] for row in rows}
            for one, answered in self._answers.items():
                if states.get(one) != answered:
                    arm.contradicted.append(f"policy {one} was {answered} and is {states.get(one)}")

    def run_failpoint(self, at: int, action: FailpointAction) -> tuple[str, ArmResult]:
        """Make one change with the ``at``-th failpoint in the daemon; returns the failpoint's name.

        The name is empty if the change ended before. A daemon with a full disk is killed; the next one has
        room.
        """
        report_file = self._folder / "moment"
        report_file.unlink(missing_ok=True)
        self._daemon.kill()
        self._daemon.wait()
        self._daemon = self._start_daemon(str(at), action.value, str(report_file))
        self.wait_until_ready()
        arm = ArmResult(f"{action.value} {at}")
        begun_at = time.monotonic() * 1000.0
        self.start_load()
        settled = threading.Event()
        thread = threading.Thread(
            target=self._replace_daemon_after_failpoint, args=(report_file, settled), daemon=True
        )
        thread.start()
        self._slots = 5 if self._slots >= 40 else self._slots + 1
        self._sender_config["settings"]["specifics"]["callsOut"] = self._slots
        self._propose_until_in_force(
            arm, json.dumps({"settings": self._sender_config["settings"], "limits": {}})
        )
        settled.set()
        thread.join()
        arm.changes = 1
        self.stop_load()
        arm.without_outcome, arm.conflicting_outcomes = (
            self.result.without_outcome,
            self.result.conflicting_outcomes,
        )
        arm.messages = len(self.result.accepted)
        self.result.accepted.clear()
        self._check(arm, begun_at, set(), {})
        return report_file.read_text() if report_file.exists() else "", arm

    def _replace_daemon_after_failpoint(self, report_file: Path, settled: threading.Event) -> None:
        """Start another daemon once the failpoint was hit, unless the change settles before."""
        while not report_file.exists():
            if settled.wait(0.02):
                return
        time.sleep(0.5)  # a daemon with a full disk answers refusals meanwhile
        self._daemon.kill()
        self._daemon.wait()
        self._ensure_daemon()

    def _check(
        self,
        arm: ArmResult,
        begun_at: float,
        affected: set[str],
        limits_by_version: dict[int, tuple[int, float]],
    ) -> None:
        calls = [call for call in call_starts(self._folder) if call.at >= begun_at]
        starts = policy_starts(self._folder)
        arm.calls, arm.mixtures = len(calls), mixtures(calls)
        unaffected = [call for call in calls if call.instance not in affected]
        within, across = gaps(unaffected)
        arm.stall_ms = max([*within, *across], default=0.0)
        with self._services.lock:
            arrivals = [at for at in self._services.arrivals if at >= begun_at]
            first = dict(self._services.first_call_at)
        arm.over_limit = spans_over_limit(arrivals, starts, limits_by_version)
        for since, _ in starts:
            if since < begun_at + SERVICE_WINDOW_MS:
                continue
            before, after = (
                [
                    first.get(id, float("inf")) <= at + OBJECTIVE_MS
                    for id, at in self.accepted_at.items()
                    if since + offset <= at < since + offset + SERVICE_WINDOW_MS
                ]
                for offset in (-SERVICE_WINDOW_MS, 0.0)
            )
            if before and after:
                arm.service.append((sum(before) / len(before), sum(after) / len(after)))
        self.accepted_at.clear()


def print_violations(arm: ArmResult) -> None:
    """Print the first violations of an arm, one a line."""
    messages = [*sorted(arm.without_outcome)[:5], *sorted(arm.conflicting_outcomes)[:5]]
    for line in [*arm.mixtures, *arm.contradicted, *arm.unresolved, *arm.over_limit][:5] + messages:
        print(f"  BROKEN {line}", flush=True)
