"""One change of policy after the other on a real fleet, each with the same kind of fault round it.

A round begins a change while some instances meet a fault (drawn from a seed: who, and when, from shortly
before the proposal until shortly after the votes), asks until there is the one answer, heals, and goes on.
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

from springspread.faults.chaos import Chaos
from springspread.faults.external_services import GROUP, ExternalServices
from springspread.faults.failpoints import FailpointAction
from springspread.faults.observer import call_starts, gaps, mixtures, policy_starts, spans_over_limit
from springspread.faults.schedule import FaultKind, ScheduledFault
from springspread.fleet.control_client import send_order

LIMITS = ((300, 500.0), (60, 500.0), (600, 500.0))  # cut to a fifth, raised tenfold, halved
FORCE_S = 30.0  # no change may take longer
IN_TIME_MS = 1_000.0  # the class's objective
BORDER_MS = 1_000.0


@dataclass(slots=True)
class ArmResult:
    """What came of one kind. Times to force are seconds; ``service``: before a border and after it."""

    name: str
    changes: int = 0
    fault_count: int = 0
    unanswered: int = 0
    force_times_s: list[float] = field(default_factory=list)
    unresolved: list[str] = field(default_factory=list)  # changes without an answer
    contradicted: list[str] = field(default_factory=list)
    mixtures: list[str] = field(default_factory=list)
    over_limit: list[str] = field(default_factory=list)
    without_outcome: set[str] = field(default_factory=set)
    conflicting_outcomes: set[str] = field(default_factory=set)
    messages: int = 0
    calls: int = 0
    stall_ms: float = 0.0  # the longest time between two calls of an instance that met no fault
    service: list[tuple[float, float]] = field(default_factory=list)

    @property
    def violation_count(self) -> int:
        """How many times a promise was broken."""
        kinds = (
            self.unresolved,
            self.contradicted,
            self.mixtures,
            self.over_limit,
            self.without_outcome,
            self.conflicting_outcomes,
        )
        return sum(len(kind) for kind in kinds)


class PolicyChangeRounds(Chaos):
    """Made as ``Chaos``; any number of ``run_arm``, then ``close``."""

    def __init__(
        self,
        workdir: Path,
        services: ExternalServices,
        instances: int,
        lease_ms: float = 1500.0,
        message_interval_s: float = 0.1,
    ) -> None:
        super().__init__(workdir, services, instances, lease_ms, message_interval_s)
        self._slots, self._turn = 20, 0
        self._given: dict[int, str] = {}  # what was answered of each change

    def run_arm(
        self, name: str, kinds: Sequence[FaultKind], count: int, many: int, seed: int, limits: bool
    ) -> ArmResult:
        """``count`` changes; round each of them ``many`` instances meet one of ``kinds``.

        With ``limits`` each change moves the partner's limit, too.
        """
        arm, rng = ArmResult(name), Random(f"{seed}/{name}")
        limited: dict[int, tuple[int, float]] = {}
        self.result.accepted.clear()
        self.start_load()
        begun_at = time.monotonic() * 1000.0
        touched: set[str] = set()
        for _ in range(count):
            self._turn += 1
            limit = LIMITS[self._turn % len(LIMITS)] if limits else None
            faults = []
            if kinds:
                kind = rng.choice(list(kinds))
                whose = [0] if kind is FaultKind.DAEMON else rng.sample(range(len(self._names)), many)
                faults = [
                    ScheduledFault(rng.uniform(0.0, 800.0), kind, who, rng.uniform(50.0, 600.0))
                    for who in whose
                ]
                touched |= {self._names[fault.instance] for fault in faults if kind is not FaultKind.DAEMON}
            number = self._round(arm, sorted(faults, key=lambda fault: fault.at_ms), limit)
            if limit is not None:
                limited[number] = limit
            time.sleep(rng.uniform(0.05, 0.3))
        self.stop_load()
        arm.without_outcome, arm.conflicting_outcomes = (
            self.result.without_outcome,
            self.result.conflicting_outcomes,
        )
        arm.messages = len(self.result.accepted)
        self._judge(arm, begun_at, touched, limited)
        return arm

    def _round(
        self, arm: ArmResult, faults: Sequence[ScheduledFault], limit: tuple[int, float] | None
    ) -> int:
        """One change, its faults, its one answer; its number."""
        self._slots = 5 if self._slots >= 40 else self._slots + 1
        self._sender_config["settings"]["specifics"]["callsOut"] = self._slots
        limits = {f"g{GROUP}": limit} if limit else {}
        text = json.dumps({"settings": self._sender_config["settings"], "limits": limits})
        start = time.monotonic()
        over = threading.Event()
        answer: list[int] = []

        def change() -> None:
            time.sleep(0.3)  # faults begin from 0.3 s before it
            answer.append(self._settled(arm, text))
            over.set()

        thread = threading.Thread(target=change, daemon=True)
        thread.start()
        todo, ends = list(faults), list[tuple[float, Callable[[], None]]]()
        while not over.is_set() or ends:
            now = 1000.0 * (time.monotonic() - start)
            while todo and todo[0].at_ms <= now and not over.is_set():
                fault = todo.pop(0)
                if fault.kind is not FaultKind.DAEMON or self._daemon.poll() is None:
                    ends.append((fault.duration_ms, self.inject(fault)))
            for one in list(ends):
                # A daemon comes back in its time; others are healed when the change has its answer.
                if over.is_set() or (faults[0].kind is FaultKind.DAEMON and now >= faults[0].at_ms + one[0]):
                    ends.remove(one)
                    one[1]()
            self.refresh_status()
            time.sleep(0.02)
        thread.join()
        self._ensure_daemon()
        arm.changes += 1
        arm.fault_count += len(faults) - len(todo)
        return answer[0]

    def _settled(self, arm: ArmResult, text: str) -> int:
        """Propose until it is in force, as an operator does who heard nothing; its number."""
        start, number, fault = time.monotonic(), 0, ""
        order = {"do": "propose", "policy": text, "within": 20.0}
        while time.monotonic() < start + FORCE_S:
            state = "unheard"
            with suppress(OSError, ValueError, KeyError):
                answer = send_order(self._folder / "control", order, 20.0)
                state, number, fault = answer["state"], answer["version"], answer["fault"]
            if state == "in force":
                arm.force_times_s.append(time.monotonic() - start)
                self._held(arm, number, state)
                return number
            if state == "refused" and number:
                self._held(arm, number, state)
            arm.unanswered += state == "unheard"
            time.sleep(0.05)
        arm.unresolved.append(f"change {number}: no answer in {FORCE_S:g} s: {fault}")
        return number

    def _held(self, arm: ArmResult, number: int, state: str) -> None:
        """What was answered of a change is its answer for ever."""
        self._given[number] = state
        with suppress(OSError, ValueError, KeyError):
            rows = send_order(self._folder / "control", {"do": "history"})["history"]
            states = {row["version"]: row["state"] for row in rows}
            for one, was in self._given.items():
                if states.get(one) != was:
                    arm.contradicted.append(f"policy {one} was {was} and is {states.get(one)}")

    def run_failpoint(self, at: int, deed: FailpointAction) -> tuple[str, ArmResult]:
        """One change whose daemon meets its ``at``-th moment, and another daemon after it; the moment's name.

        Empty: the change was over before. A daemon whose disk is full is ended, and the next one has room.
        """
        told = self._folder / "moment"
        told.unlink(missing_ok=True)
        self._daemon.kill()
        self._daemon.wait()
        self._daemon = self._start_daemon(str(at), deed.value, str(told))
        self.wait_until_ready()
        arm = ArmResult(f"{deed.value} {at}")
        begun_at = time.monotonic() * 1000.0
        self.start_load()
        over = threading.Event()
        thread = threading.Thread(target=self._after_moment, args=(told, over), daemon=True)
        thread.start()
        self._slots = 5 if self._slots >= 40 else self._slots + 1
        self._sender_config["settings"]["specifics"]["callsOut"] = self._slots
        self._settled(arm, json.dumps({"settings": self._sender_config["settings"], "limits": {}}))
        over.set()
        thread.join()
        arm.changes = 1
        self.stop_load()
        arm.without_outcome, arm.conflicting_outcomes = (
            self.result.without_outcome,
            self.result.conflicting_outcomes,
        )
        arm.messages = len(self.result.accepted)
        self.result.accepted.clear()
        self._judge(arm, begun_at, set(), {})
        return told.read_text() if told.exists() else "", arm

    def _after_moment(self, told: Path, over: threading.Event) -> None:
        """The next daemon, once this one has met its moment before the change was over."""
        while not told.exists():
            if over.wait(0.02):
                return
        time.sleep(0.5)  # what it refuses on a full disk is answered meanwhile
        self._daemon.kill()
        self._daemon.wait()
        self._ensure_daemon()

    def _judge(
        self, arm: ArmResult, begun_at: float, touched: set[str], limited: dict[int, tuple[int, float]]
    ) -> None:
        found = [call for call in call_starts(self._folder) if call.at >= begun_at]
        held = policy_starts(self._folder)
        arm.calls, arm.mixtures = len(found), mixtures(found)
        calm = [call for call in found if call.instance not in touched]
        within, across = gaps(calm)
        arm.stall_ms = max([*within, *across], default=0.0)
        with self._services.lock:
            arrivals = [at for at in self._services.arrivals if at >= begun_at]
            first = dict(self._services.first_call_at)
        arm.over_limit = spans_over_limit(arrivals, held, limited)
        for since, _ in held:
            if since < begun_at + BORDER_MS:
                continue
            before, after = (
                [
                    first.get(id, float("inf")) <= at + IN_TIME_MS
                    for id, at in self.accepted_at.items()
                    if since + shift <= at < since + shift + BORDER_MS
                ]
                for shift in (-BORDER_MS, 0.0)
            )
            if before and after:
                arm.service.append((sum(before) / len(before), sum(after) / len(after)))
        self.accepted_at.clear()


def print_violations(arm: ArmResult) -> None:
    """The first faults of an arm, a line for each."""
    ends = [*sorted(arm.without_outcome)[:5], *sorted(arm.conflicting_outcomes)[:5]]
    for line in [*arm.mixtures, *arm.contradicted, *arm.unresolved, *arm.over_limit][:5] + ends:
        print(f"  BROKEN {line}", flush=True)
