"""Plays a schedule of faults on a real fleet under load while its policy changes, and checks the promises.

The daemon and each instance are processes of their own; their calls go to ``ExternalServices``. The checks
are those of ``observer``.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any, TypeVar

from springspread.faults.daemon import PROGRAM_VARIABLE, relay_path
from springspread.faults.external_services import GROUP, UNSAFE, ExternalServices
from springspread.faults.observer import (
    call_starts,
    gaps,
    mixtures,
    overlapping_changes,
    peak_ratio,
    read_policy_record,
    undecided_policy_calls,
)
from springspread.faults.power import CLOCK_VARIABLE, WRITE_BACK_VARIABLE
from springspread.faults.relay import Direction, Fault, Relay, ignore_line
from springspread.faults.sabotage import SABOTAGE_VARIABLE
from springspread.faults.schedule import FaultKind, ScheduledFault
from springspread.fleet.control_client import send_order
from springspread.fleet.folder import process_start_ticks

READY_TIMEOUT_S = 30.0
OUTCOME_TIMEOUT_S = 15.0  # the deadline of messages is 8 s, and a process may have to start first
TOML = 'folder = "fleet"\nconfig = "sender.json"\ninstances = {}\n[policy_times]\nlease_ms = {}\n'
RIVAL_INTERVAL_S = 0.9
OTHER_CONNECT_TIMEOUT_MS = 500.0  # not the one that the processes were started with, so they refuse it
STATUS_INTERVAL_S = 0.1
OLD_TOML = 'folder = "fleet"\nconfig = "sender.json"\ninstances = {}\n'
LIMIT_TOML = "[limits.g{}]\ncalls = {}\nspan_ms = {}\n"
LINE_FAULTS = {
    FaultKind.HALF_OPEN: (Fault.LOSE, (Direction.UP, Direction.DOWN)),
    FaultKind.DEAF: (Fault.LOSE, (Direction.DOWN,)),
    FaultKind.MUTE: (Fault.LOSE, (Direction.UP,)),
    FaultKind.HOLD: (Fault.HOLD, (Direction.UP, Direction.DOWN)),
    FaultKind.DOUBLE: (Fault.DOUBLE, (Direction.UP, Direction.DOWN)),
}


@dataclass(slots=True)
class ChaosResult:
    """The result of a run. ``in_force`` has the seconds from each proposal until it was in force."""

    proposals: int = 0
    in_force: list[float] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    undecided: int = 0
    unanswered: int = 0  # no daemon ran, or it died before it answered
    contradicted: list[str] = field(default_factory=list)
    fault_counts: Counter[str] = field(default_factory=Counter)
    calls: int = 0
    mixtures: list[str] = field(default_factory=list)
    # Milliseconds between two calls of an instance.
    gaps_within_policy: list[float] = field(default_factory=list)
    gaps_across_change: list[float] = field(default_factory=list)
    accepted: set[str] = field(default_factory=set)
    without_outcome: set[str] = field(default_factory=set)
    delivered: int = 0
    undecided_policy_calls: list[str] = field(default_factory=list)
    overlapping_changes: list[str] = field(default_factory=list)
    limit_ratio: float = 0.0  # peak calls in a span over the limit, by arrivals at the partner
    start_ratio: float = 0.0  # the same, by the instances' first bytes
    # Answered as delivered but reported otherwise, or reported with two statuses.
    conflicting_outcomes: set[str] = field(default_factory=set)

    @property
    def promises_kept(self) -> bool:
        """Whether every checked promise was kept."""
        return not self.violated_promises

    @property
    def violated_promises(self) -> set[int]:
        """The numbers of the violated promises (``docs/design/policy-change.md``)."""
        found = {
            1: self.undecided_policy_calls,
            2: self.mixtures or self.limit_ratio > 1.0,
            4: self.contradicted,
            5: self.without_outcome or self.conflicting_outcomes,
            7: self.overlapping_changes,
        }
        return {promise for promise, broken in found.items() if broken}


class ChaosFleet:
    """A fleet under faults; call ``play`` once, then ``close``."""

    def __init__(
        self,
        workdir: Path,
        services: ExternalServices,
        instances: int,
        lease_ms: float = 1500.0,
        message_interval_s: float = 0.1,
        limit: tuple[int, float] | None = None,
        program: Path | None = None,
        sabotage: str = "",
        power: str = "",
        instance: str = "",
        write_back: str = "",
        recovery: str = "",
    ) -> None:
        """``workdir`` is an empty folder; each instance gets a message every ``message_interval_s``.

        ``limit``: calls and span (ms) at the partner, under every policy. ``program``: a checkout from
        before there were policies, whose daemon and instances run without relays and policy changes.
        ``sabotage``: the fault to build in. ``power``: the durability of instances, which lose unsynced
        data when they are killed; every other message is then unsafe to repeat. ``instance``: the module
        that instances run instead of the program. ``write_back``: the seed that draws unsynced data to be
        kept (``faults.power``). ``recovery``: lines of that table of the fleet's file.
        """
        self._limit, self._program, self._sabotage = limit, program, sabotage
        self._power, self._write_back = power, write_back
        self._instance = "springspread.faults.power" if power else instance
        self._message_interval_s = message_interval_s
        self._fleet_file, self._config_file, self._folder = (
            workdir / "fleet.toml",
            workdir / "sender.json",
            workdir / "fleet",
        )
        toml = (TOML if program is None else OLD_TOML).format(instances, lease_ms)
        if limit is not None:
            toml += LIMIT_TOML.format(GROUP, *limit)
        if recovery:
            toml += f"[recovery]\n{recovery}\n"
        self._fleet_file.write_text(toml)
        self._clock_s = 0.0
        self._services, self._sender_config = services, services.configuration()
        self._names = [f"n{n:03}" for n in range(instances)]
        if power:
            self._sender_config["durability"] = power
        self._config_file.write_text(json.dumps(self._sender_config))
        folder = self._folder
        folder.mkdir(exist_ok=True)
        self._relays = [Relay(relay_path(folder, name), folder / "allot") for name in self._names]
        self._load_stopped = threading.Event()
        self._lock = threading.Lock()
        self._addresses: dict[str, str] = {}
        self._rows: dict[str, dict[str, Any]] = {}
        self.result = ChaosResult()
        self._ids = count(1)
        self.unsafe: set[str] = set()
        self.accepted_at: dict[str, float] = {}
        self.submitted: dict[str, tuple[float, int]] = {}  # start (ms) and HTTP status, 0 without an answer
        self._status_read_at = 0.0
        self._threads: list[threading.Thread] = []
        self._delivered_at_once: set[str] = set()
        self._daemon = self._start_daemon()
        self.wait_until_ready()

    def wait_until_ready(self) -> None:
        """Wait until every instance is in the fleet and serves; raises ``TimeoutError``."""
        end = time.monotonic() + READY_TIMEOUT_S
        self.refresh_status()
        while not all(self._rows.get(n, {}).get("in_fleet") and self._addresses.get(n) for n in self._names):
            if time.monotonic() > end:
                raise TimeoutError("not every instance joined the fleet and served in time")
            self.refresh_status()
            time.sleep(0.1)

    def _start_daemon(self, *failpoint: str) -> subprocess.Popen[bytes]:
        env = {**os.environ, "RELAY_LOG_LEVEL": "debug", SABOTAGE_VARIABLE: self._sabotage}
        command = [sys.executable, "-m", "springspread.faults.daemon", str(self._fleet_file), *failpoint]
        if self._instance:
            env[PROGRAM_VARIABLE] = self._instance
        if self._clock_s:
            env[CLOCK_VARIABLE] = str(self._clock_s)
        if self._write_back:
            env[WRITE_BACK_VARIABLE] = self._write_back
        if self._program is not None:
            command = [sys.executable, "-m", "springspread.cli", "fleet", "run", str(self._fleet_file)]
            env["PYTHONPATH"] = str(self._program)
        with (self._folder / "daemon.log").open("ab") as log:
            return subprocess.Popen(command, env=env, stderr=log, cwd=self._program)

    def refresh_status(self) -> None:
        """Read the status of all instances from the daemon, at most every ``STATUS_INTERVAL_S``."""
        if time.monotonic() < self._status_read_at + STATUS_INTERVAL_S:
            return
        self._status_read_at = time.monotonic()
        with suppress(OSError, ValueError):
            rows = send_order(self._folder / "control", {"do": "status"})["instances"]
            with self._lock:
                self._rows = {row["name"]: row for row in rows}
                # Without addresses of ended instances: their ports may be in use by other processes.
                self._addresses = {row["name"]: row["listen"] for row in rows if row["listen"]}

    @property
    def listening(self) -> dict[str, str]:
        """Addresses of the serving instances, by name."""
        return dict(self._addresses)

    @property
    def rows(self) -> dict[str, dict[str, Any]]:
        """The daemon's last status of each instance."""
        return dict(self._rows)

    def serving(self) -> list[str]:
        """Names of the instances that are in the fleet and serve, after a refresh."""
        self.refresh_status()
        return [name for name, row in self._rows.items() if row["in_fleet"] and row["listen"]]

    def recovery(self) -> list[dict[str, Any]]:
        """The daemon's view of each instance's recovery; empty if no daemon answers."""
        with suppress(OSError, ValueError, KeyError):
            return list(send_order(self._folder / "control", {"do": "recovery"})["recovery"])
        return []

    # Load and changes

    def _submit_messages(self, number: int) -> None:
        name = self._names[number]
        while not self._load_stopped.wait(self._message_interval_s):
            number = next(self._ids)
            cls = (
                UNSAFE
                if self._power and number % 2
                else self._sender_config["settings"]["classes"][0]["name"]
            )
            id = f"{name}-{number}"
            host, _, port = self._addresses.get(name, "127.0.0.1:1").rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=0.4)
            began, status = time.monotonic() * 1000.0, 0
            headers = {"X-Correlation-Id": id, "X-Service-Class": cls}
            headers |= {"X-Consignee": f"dest={GROUP}", "X-Time-Left-Ms": "8000"}
            with suppress(OSError, http.client.HTTPException):
                connection.request("POST", "/api", b"hello", headers)
                status = connection.getresponse().status
                if status in (200, 202):
                    self.result.accepted.add(id)
                    self.accepted_at[id] = time.monotonic() * 1000.0
                    if cls == UNSAFE:
                        self.unsafe.add(id)
                if status == 200:
                    self._delivered_at_once.add(id)
            self.submitted[id] = (began, status)
            connection.close()

    def _change_policies(self) -> None:
        slots = self._sender_config["settings"]["specifics"]["callsOut"]
        answers: dict[int, str] = {}
        while not self._load_stopped.is_set():
            slots = 5 if slots >= 40 else slots + 1
            self._sender_config["settings"]["specifics"]["callsOut"] = slots
            limits = {f"g{GROUP}": self._limit} if self._limit else {}
            text = json.dumps({"settings": self._sender_config["settings"], "limits": limits})
            self.result.proposals += 1
            begun_at, state, fault, number = time.monotonic(), "unheard", "", 0
            with suppress(OSError, ValueError):
                answer = send_order(
                    self._folder / "control", {"do": "propose", "policy": text, "within": 20.0}, 20.0
                )
                state, fault, number = answer["state"], answer["fault"], answer["version"]
            if state == "in force":
                self.result.in_force.append(time.monotonic() - begun_at)
            elif state == "refused":
                self.result.refused[fault] += 1
            elif state == "unheard":
                self.result.unanswered += 1
                self._load_stopped.wait(0.5)
            else:
                self.result.undecided += 1
            if number and state in ("in force", "refused"):
                answers[number] = state
            with suppress(OSError, ValueError):
                for row in send_order(self._folder / "control", {"do": "history"})["history"]:
                    was, now = answers.get(row["version"]), row["state"]
                    if was and was != now:
                        self.result.contradicted.append(f"policy {row['version']} was {was} and is {now}")
            self._load_stopped.wait(0.05)

    def _propose_unusable(self) -> None:
        settings = {**self._sender_config["settings"]}
        settings["limits"] = {**settings["limits"], "connectTimeoutMs": OTHER_CONNECT_TIMEOUT_MS}
        text = json.dumps({"settings": settings, "limits": {}})
        while not self._load_stopped.wait(RIVAL_INTERVAL_S):
            with suppress(OSError, ValueError):
                send_order(self._folder / "control", {"do": "propose", "policy": text, "within": 2.0}, 4.0)

    # Faults

    def inject(self, fault: ScheduledFault) -> Callable[[], None]:
        """Inject a fault; returns the function that ends it."""
        relay, name = self._relays[fault.instance], self._names[fault.instance]
        pid = int(self._rows.get(name, {}).get("pid", 0))
        if fault.kind is FaultKind.DAEMON:
            self._daemon.kill()
            self._daemon.wait()
            self.result.fault_counts[fault.kind.value] += 1
            return self._ensure_daemon
        if not pid:
            return lambda: None
        if fault.kind is FaultKind.REPLAY:
            relay.replay()
        elif fault.kind is FaultKind.CUT:
            relay.cut()
        elif fault.kind in LINE_FAULTS:
            line_fault, directions = LINE_FAULTS[fault.kind]
            relay.set_fault(line_fault, *directions)
        elif fault.kind is FaultKind.DEAF_AFTER_VOTE:
            relay.line_listener = lambda _, line: (
                relay.set_fault(Fault.LOSE, Direction.DOWN) if b'"vote"' in line else None
            )
        else:
            try:
                os.kill(pid, signal.SIGKILL if fault.kind is FaultKind.KILL else signal.SIGSTOP)
            except ProcessLookupError:  # already dead, and no daemon restarts it
                return lambda: None
        self.result.fault_counts[fault.kind.value] += 1

        def heal() -> None:
            if fault.kind is FaultKind.FREEZE and pid:
                with suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGCONT)
            relay.line_listener = ignore_line
            if fault.kind in (FaultKind.HALF_OPEN, FaultKind.DEAF, FaultKind.MUTE, FaultKind.DEAF_AFTER_VOTE):
                relay.cut(refuse_new=False)  # lines are missing: the connection is unusable
            relay.heal()

        return heal

    def _ensure_daemon(self) -> None:
        if self._daemon.poll() is not None:
            self._daemon = self._start_daemon()

    def play(
        self,
        faults: Sequence[ScheduledFault],
        length_ms: float,
        show: Callable[[float, dict[str, dict[str, Any]], list[str]], None] | None = None,
        rival: bool = False,
    ) -> ChaosResult:
        """Play the schedule to its end, heal everything and check the promises.

        ``show`` is called each second with the time (ms), the daemon's rows by name and the active faults.
        A ``rival`` keeps proposing a policy that no instance can use.
        """
        self.start_load()
        if self._program is None:
            self._start_thread(self._change_policies)
        if rival:
            self._start_thread(self._propose_unusable)
        start, active = time.monotonic(), list[tuple[float, Callable[[], None], str]]()
        next_show = 0.0
        todo = list(faults)
        while (now := (time.monotonic() - start) * 1000.0) < length_ms or active:
            while todo and todo[0].at_ms <= now:
                fault = todo.pop(0)
                if fault.kind is FaultKind.DAEMON and self._daemon.poll() is not None:
                    continue
                target = "" if fault.kind is FaultKind.DAEMON else f"{self._names[fault.instance]} "
                active.append((now + fault.duration_ms, self.inject(fault), f"{target}{fault.kind.value}"))
            for one in [one for one in active if one[0] <= now]:
                active.remove(one)
                one[1]()
            self.refresh_status()
            if show is not None and now >= next_show:
                next_show = now + 1000.0
                show(now, self._rows, [description for _, _, description in active])
            time.sleep(0.05)
        self.stop_load()
        starts = call_starts(self._folder)
        self.result.calls, self.result.mixtures = len(starts), mixtures(starts)
        if self._program is None:
            record = read_policy_record(self._folder)
            self.result.undecided_policy_calls, self.result.overlapping_changes = (
                undecided_policy_calls(starts, record),
                overlapping_changes(record),
            )
        self.result.gaps_within_policy, self.result.gaps_across_change = gaps(starts)
        with self._services.lock:
            self.result.delivered = len(self._services.call_counts)
            if self._limit is not None:
                self.result.limit_ratio = peak_ratio(self._services.arrivals, self._limit)
                self.result.start_ratio = peak_ratio([call.at for call in starts], self._limit)
        return self.result

    def start_load(self) -> None:
        """Start submitting messages to each instance."""
        self._load_stopped.clear()
        for number in range(len(self._names)):
            self._start_thread(partial(self._submit_messages, number))

    def stop_load(self) -> None:
        """Stop submitting messages and collect the outcomes."""
        self._ensure_daemon()
        self._load_stopped.set()
        for thread in self._threads:
            thread.join(30.0)
        self._threads.clear()
        end = time.monotonic() + OUTCOME_TIMEOUT_S
        while (missing := self.result.accepted - self._services.ended) and time.monotonic() < end:
            time.sleep(0.1)
        self.result.without_outcome = missing
        statuses = {
            id: {*reported, *(["delivered"] if id in self._delivered_at_once else [])}
            for id, reported in self._services.notices.items()
        }
        self.result.conflicting_outcomes = {id for id, reported in statuses.items() if len(reported) > 1}

    def power_cut(
        self, clock_s: float = 0.0, spared: Collection[str] = (), between: Callable[[], None] | None = None
    ) -> None:
        """Kill the daemon and all instances at once, then start the daemon again.

        ``clock_s``: offset of the wall clock from then on. ``spared``: instances that keep running.
        ``between``: called before the daemon starts.
        """
        self._clock_s = clock_s
        pids = [row["pid"] for name, row in self._rows.items() if row["pid"] and name not in spared]
        for pid in [self._daemon.pid, *pids]:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        self._daemon.wait()
        for pid in pids:  # orphans: the system reaps them
            while process_start_ticks(pid):
                time.sleep(0.005)
        self._addresses.clear()
        if between is not None:
            between()
        self._daemon = self._start_daemon()

    def _start_thread(self, run: Callable[[], None]) -> None:
        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def close(self) -> None:
        """Stop all processes."""
        self._load_stopped.set()
        self.refresh_status()
        self._daemon.terminate()
        with suppress(subprocess.TimeoutExpired):
            self._daemon.wait(15.0)
        for relay in self._relays:
            relay.close()


FleetT = TypeVar("FleetT", bound=ChaosFleet)


@contextmanager
def running_fleet(
    fleet_type: type[FleetT], instances: int, **options: Any
) -> Iterator[tuple[FleetT, ExternalServices]]:
    """Run a fleet with its external services in a temporary folder; ``options`` as in ``ChaosFleet``."""
    services = ExternalServices()
    with tempfile.TemporaryDirectory(prefix="springspread-fleet-") as workdir:
        try:
            chaos = fleet_type(Path(workdir), services, instances, **options)
            try:
                yield chaos, services
            finally:
                chaos.close()
        finally:
            services.close()
