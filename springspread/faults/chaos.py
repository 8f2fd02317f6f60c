"""Plays a schedule of faults on a real fleet under load, with one change of policy after the other, and
judges it.

The daemon is a process of its own, and so is each instance; a stand-in partner and directory of the
caller's takes their calls. What came of it is told in figures, and judged by the observer.
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

from springspread.faults.daemon import PROGRAM, relay_path
from springspread.faults.external_services import GROUP, UNSAFE, ExternalServices
from springspread.faults.observer import (
    call_starts,
    gaps,
    interleaved,
    mixtures,
    nowhere,
    peak_ratio,
    recorded,
)
from springspread.faults.power import CLOCK, WRITE_BACK
from springspread.faults.relay import Direction, Fault, Relay, ignore_line
from springspread.faults.sabotage import VARIABLE
from springspread.faults.schedule import FaultKind, ScheduledFault
from springspread.fleet.control_client import send_order
from springspread.fleet.folder import process_start_ticks

READY_S = 30.0
ENDS_S = 15.0  # messages live for 8 s, and may be with a process that has to be started first
TOML = 'folder = "fleet"\nconfig = "sender.json"\ninstances = {}\n[policy_times]\nlease_ms = {}\n'
RIVAL_S = 0.9
LOOK_S = 0.1
OLD_TOML = 'folder = "fleet"\nconfig = "sender.json"\ninstances = {}\n'
LIMIT_TOML = "[limits.g{}]\ncalls = {}\nspan_ms = {}\n"
FAULTS = {
    FaultKind.HALF_OPEN: (Fault.LOSE, (Direction.UP, Direction.DOWN)),
    FaultKind.DEAF: (Fault.LOSE, (Direction.DOWN,)),
    FaultKind.MUTE: (Fault.LOSE, (Direction.UP,)),
    FaultKind.HOLD: (Fault.HOLD, (Direction.UP, Direction.DOWN)),
    FaultKind.DOUBLE: (Fault.DOUBLE, (Direction.UP, Direction.DOWN)),
}


@dataclass(slots=True)
class ChaosResult:
    """What came of it. Times are seconds from a proposal until it is in force."""

    proposals: int = 0
    in_force: list[float] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    undecided: int = 0
    unanswered: int = 0  # no daemon was there, or it died before it answered
    contradicted: list[str] = field(default_factory=list)  # answers that a later one contradicts
    fault_counts: Counter[str] = field(default_factory=Counter)
    calls: int = 0
    mixtures: list[str] = field(default_factory=list)
    # Times between an instance's calls (ms): under one policy, and over a change.
    gaps_within_policy: list[float] = field(default_factory=list)
    gaps_across_change: list[float] = field(default_factory=list)
    accepted: set[str] = field(default_factory=set)
    without_outcome: set[str] = field(default_factory=set)
    delivered: int = 0
    undecided_policy_calls: list[str] = field(default_factory=list)
    overlapping_changes: list[str] = field(default_factory=list)
    limit_ratio: float = 0.0  # the most calls in a span, over the limit, as they arrived
    start_ratio: float = 0.0  # the same, by the moments at which instances wrote first bytes
    conflicting_outcomes: set[str] = field(
        default_factory=set
    )  # answered as delivered and told as not, or told as both

    @property
    def promises_kept(self) -> bool:
        """Whether every promise that is judged here was kept."""
        return not self.violated_promises

    @property
    def violated_promises(self) -> set[int]:
        """The promises that were broken, by number (``docs/design/policy-change.md``)."""
        found = {
            1: self.undecided_policy_calls,
            2: self.mixtures or self.limit_ratio > 1.0,
            4: self.contradicted,
            5: self.without_outcome or self.conflicting_outcomes,
            7: self.overlapping_changes,
        }
        return {promise for promise, broken in found.items() if broken}


class Chaos:
    """One run; ``play`` it once, then ``close``."""

    def __init__(
        self,
        place: Path,
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
        """``place`` is an empty folder; each instance is handed a message every ``message_interval_s``.

        ``limit``: calls and span (ms) at the partner, under every policy. ``program``: another checkout's
        daemon and instances, from before there were policies; without relays, and nothing is proposed.
        ``sabotage``: the fault that is put into it. ``power``: instances lose what they did not sync as they
        are killed, and have this durability; every other message may be carried once only. ``instance``: the
        module of this package that instances run in place of the program. ``write_back``: the seed by which
        some of what was not synced is on disk all the same (``faults.power``). ``recovery``: lines of that
        table of the fleet's file.
        """
        self._limit, self._program, self._sabotage = limit, program, sabotage
        self._power, self._write_back = power, write_back
        self._instance = "springspread.faults.power" if power else instance
        self._each_s = message_interval_s
        self._file, self._config, self._folder = place / "fleet.toml", place / "sender.json", place / "fleet"
        toml = (TOML if program is None else OLD_TOML).format(instances, lease_ms)
        if limit is not None:
            toml += LIMIT_TOML.format(GROUP, *limit)
        if recovery:
            toml += f"[recovery]\n{recovery}\n"
        self._file.write_text(toml)
        self._clock_s = 0.0
        self._services, self._base = services, services.configuration()
        self._names = [f"n{n:03}" for n in range(instances)]
        if power:
            self._base["durability"] = power
        self._config.write_text(json.dumps(self._base))
        folder = self._folder
        folder.mkdir(exist_ok=True)
        self._relays = [Relay(relay_path(folder, name), folder / "allot") for name in self._names]
        self._over = threading.Event()
        self._lock = threading.Lock()
        self._listens: dict[str, str] = {}
        self._rows: dict[str, dict[str, Any]] = {}
        self.result = ChaosResult()
        self._ids = count(1)
        self.unsafe: set[str] = set()
        self.handed_at: dict[str, float] = {}
        self.submitted: dict[str, tuple[float, int]] = {}  # when (ms), and the status; 0: none
        self._looked = 0.0
        self._threads: list[threading.Thread] = []
        self._answered: set[str] = set()
        self._daemon = self._start()
        self.wait_until_ready()

    def wait_until_ready(self) -> None:
        """Wait until every instance is in the fleet; raises ``TimeoutError``."""
        end = time.monotonic() + READY_S
        self.refresh_status()
        while not all(self._rows.get(n, {}).get("in_fleet") and self._listens.get(n) for n in self._names):
            if time.monotonic() > end:
                raise TimeoutError("the fleet was not whole in time")
            self.refresh_status()
            time.sleep(0.1)

    def _start(self, *moment: str) -> subprocess.Popen[bytes]:
        env = {**os.environ, "RELAY_LOG_LEVEL": "debug", VARIABLE: self._sabotage}
        line = [sys.executable, "-m", "springspread.faults.daemon", str(self._file), *moment]
        if self._instance:
            env[PROGRAM] = self._instance
        if self._clock_s:
            env[CLOCK] = str(self._clock_s)
        if self._write_back:
            env[WRITE_BACK] = self._write_back
        if self._program is not None:
            line = [sys.executable, "-m", "springspread.cli", "fleet", "run", str(self._file)]
            env["PYTHONPATH"] = str(self._program)
        with (self._folder / "daemon.log").open("ab") as log:
            return subprocess.Popen(line, env=env, stderr=log, cwd=self._program)

    def refresh_status(self) -> None:
        """Ask the daemon who is there; not again for a while, as its answer costs it time."""
        if time.monotonic() < self._looked + LOOK_S:
            return
        self._looked = time.monotonic()
        with suppress(OSError, ValueError):
            rows = send_order(self._folder / "control", {"do": "status"})["instances"]
            with self._lock:
                self._rows = {row["name"]: row for row in rows}
                # Not the address of one that is dead: a stranger may have its port by now.
                self._listens = {row["name"]: row["listen"] for row in rows if row["listen"]}

    @property
    def listening(self) -> dict[str, str]:
        """Where instances that serve are, by name."""
        return dict(self._listens)

    @property
    def rows(self) -> dict[str, dict[str, Any]]:
        """What the daemon last told of each instance."""
        return dict(self._rows)

    def serving(self) -> list[str]:
        """Who is in the fleet and serves, asked anew."""
        self.refresh_status()
        return [name for name, row in self._rows.items() if row["in_fleet"] and row["listen"]]

    def recovery(self) -> list[dict[str, Any]]:
        """How far each instance's return has come, as the daemon tells it; nothing where none answers."""
        with suppress(OSError, ValueError, KeyError):
            return list(send_order(self._folder / "control", {"do": "recovery"})["recovery"])
        return []

    # Load and changes

    def _load(self, number: int) -> None:
        name = self._names[number]
        while not self._over.wait(self._each_s):
            number = next(self._ids)
            cls = UNSAFE if self._power and number % 2 else self._base["settings"]["classes"][0]["name"]
            id = f"{name}-{number}"
            host, _, port = self._listens.get(name, "127.0.0.1:1").rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=0.4)
            began, status = time.monotonic() * 1000.0, 0
            head = {"X-Correlation-Id": id, "X-Service-Class": cls}
            head |= {"X-Consignee": f"dest={GROUP}", "X-Time-Left-Ms": "8000"}
            with suppress(OSError, http.client.HTTPException):
                connection.request("POST", "/api", b"hello", head)
                status = connection.getresponse().status
                if status in (200, 202):
                    self.result.accepted.add(id)
                    self.handed_at[id] = time.monotonic() * 1000.0
                    if cls == UNSAFE:
                        self.unsafe.add(id)
                if status == 200:
                    self._answered.add(id)
            self.submitted[id] = (began, status)
            connection.close()

    def _change(self) -> None:
        slots = self._base["settings"]["specifics"]["callsOut"]
        given: dict[int, str] = {}
        while not self._over.is_set():
            slots = 5 if slots >= 40 else slots + 1
            self._base["settings"]["specifics"]["callsOut"] = slots
            limits = {f"g{GROUP}": self._limit} if self._limit else {}
            text = json.dumps({"settings": self._base["settings"], "limits": limits})
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
                self._over.wait(0.5)
            else:
                self.result.undecided += 1
            if number and state in ("in force", "refused"):
                given[number] = state
            with suppress(OSError, ValueError):
                for row in send_order(self._folder / "control", {"do": "history"})["history"]:
                    was, now = given.get(row["version"]), row["state"]
                    if was and was != now:
                        self.result.contradicted.append(f"policy {row['version']} was {was} and is {now}")
            self._over.wait(0.05)

    def _rival(self) -> None:
        settings = {**self._base["settings"]}
        settings["limits"] = {**settings["limits"], "connIdleMs": settings["limits"]["connIdleMs"] / 2}
        text = json.dumps({"settings": settings, "limits": {}})
        while not self._over.wait(RIVAL_S):
            with suppress(OSError, ValueError):
                send_order(self._folder / "control", {"do": "propose", "policy": text, "within": 2.0}, 4.0)

    # Faults

    def befall(self, fault: ScheduledFault) -> Callable[[], None]:
        """Begin one; what ends it."""
        relay, name = self._relays[fault.instance], self._names[fault.instance]
        pid = int(self._rows.get(name, {}).get("pid", 0))
        if fault.kind is FaultKind.DAEMON:
            self._daemon.kill()
            self._daemon.wait()
            self.result.fault_counts[fault.kind.value] += 1
            return self._again
        if not pid:
            return lambda: None
        if fault.kind is FaultKind.REPLAY:
            relay.replay()
        elif fault.kind is FaultKind.CUT:
            relay.cut()
        elif fault.kind in FAULTS:
            line_fault, directions = FAULTS[fault.kind]
            relay.set_fault(line_fault, *directions)
        elif fault.kind is FaultKind.DEAF_AFTER_VOTE:
            relay.line_listener = lambda _, line: (
                relay.set_fault(Fault.LOSE, Direction.DOWN) if b'"vote"' in line else None
            )
        else:
            try:
                os.kill(pid, signal.SIGKILL if fault.kind is FaultKind.KILL else signal.SIGSTOP)
            except ProcessLookupError:  # dead already, and no daemon there to start it again
                return lambda: None
        self.result.fault_counts[fault.kind.value] += 1

        def over() -> None:
            if fault.kind is FaultKind.FREEZE and pid:
                with suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGCONT)
            relay.line_listener = ignore_line
            if fault.kind in (FaultKind.HALF_OPEN, FaultKind.DEAF, FaultKind.MUTE, FaultKind.DEAF_AFTER_VOTE):
                relay.cut(refuse_new=False)  # lines are missing in it: it is of no use any more
            relay.heal()

        return over

    def _again(self) -> None:
        if self._daemon.poll() is not None:
            self._daemon = self._start()

    def play(
        self,
        faults: Sequence[ScheduledFault],
        length_ms: float,
        show: Callable[[float, dict[str, dict[str, Any]], list[str]], None] | None = None,
        rival: bool = False,
    ) -> ChaosResult:
        """Play it to its end, heal everything, and judge.

        ``show`` is told each second: the time (ms), the daemon's rows by name, and what is being done to
        whom. A ``rival`` proposes, all along, what no instance can use.
        """
        self.start_load()
        if self._program is None:
            self._spawn(self._change)
        if rival:
            self._spawn(self._rival)
        start, ends = time.monotonic(), list[tuple[float, Callable[[], None], str]]()
        shown = 0.0
        todo = list(faults)
        while (now := (time.monotonic() - start) * 1000.0) < length_ms or ends:
            while todo and todo[0].at_ms <= now:
                fault = todo.pop(0)
                if fault.kind is FaultKind.DAEMON and self._daemon.poll() is not None:
                    continue
                who = "" if fault.kind is FaultKind.DAEMON else f"{self._names[fault.instance]} "
                ends.append((now + fault.duration_ms, self.befall(fault), f"{who}{fault.kind.value}"))
            for one in [one for one in ends if one[0] <= now]:
                ends.remove(one)
                one[1]()
            self.refresh_status()
            if show is not None and now >= shown:
                shown = now + 1000.0
                show(now, self._rows, [what for _, _, what in ends])
            time.sleep(0.05)
        self.stop_load()
        found = call_starts(self._folder)
        self.result.calls, self.result.mixtures = len(found), mixtures(found)
        if self._program is None:
            record = recorded(self._folder)
            self.result.undecided_policy_calls, self.result.overlapping_changes = (
                nowhere(found, record),
                interleaved(record),
            )
        self.result.gaps_within_policy, self.result.gaps_across_change = gaps(found)
        with self._services.lock:
            self.result.delivered = len(self._services.call_counts)
            if self._limit is not None:
                self.result.limit_ratio = peak_ratio(self._services.arrivals, self._limit)
                self.result.start_ratio = peak_ratio([call.at for call in found], self._limit)
        return self.result

    def start_load(self) -> None:
        """Hand each instance its messages from now on."""
        self._over.clear()
        for number in range(len(self._names)):
            self._spawn(partial(self._load, number))

    def stop_load(self) -> None:
        """Hand in nothing more, and see what became of all of it."""
        self._again()
        self._over.set()
        for thread in self._threads:
            thread.join(30.0)
        self._threads.clear()
        end = time.monotonic() + ENDS_S
        while (lost := self.result.accepted - self._services.ended) and time.monotonic() < end:
            time.sleep(0.1)
        self.result.without_outcome = lost
        told = {
            id: {*said, *(["delivered"] if id in self._answered else [])}
            for id, said in self._services.notices.items()
        }
        self.result.conflicting_outcomes = {id for id, said in told.items() if len(said) > 1}

    def power_cut(
        self, clock_s: float = 0.0, spared: Collection[str] = (), between: Callable[[], None] | None = None
    ) -> None:
        """The daemon and all instances are gone at once; what they synced is left. The daemon runs again.

        ``clock_s``: by how much the machine's clock is wrong from then on. ``spared``: instances that keep
        their power. ``between``: what befalls the folder before anybody starts.
        """
        self._clock_s = clock_s
        pids = [row["pid"] for name, row in self._rows.items() if row["pid"] and name not in spared]
        for pid in [self._daemon.pid, *pids]:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        self._daemon.wait()
        for pid in pids:  # children of nobody who waits for them: the system does
            while process_start_ticks(pid):
                time.sleep(0.005)
        self._listens.clear()
        if between is not None:
            between()
        self._daemon = self._start()

    def _spawn(self, what: Callable[[], None]) -> None:
        thread = threading.Thread(target=what, daemon=True)
        self._threads.append(thread)
        thread.start()

    def close(self) -> None:
        """End every process that it started."""
        self._over.set()
        self.refresh_status()
        self._daemon.terminate()
        with suppress(subprocess.TimeoutExpired):
            self._daemon.wait(15.0)
        for relay in self._relays:
            relay.close()


Kept = TypeVar("Kept", bound=Chaos)


@contextmanager
def running_fleet(kind: type[Kept], instances: int, **made: Any) -> Iterator[tuple[Kept, ExternalServices]]:
    """A fleet under test with its outside, in a folder of its own; ``made`` as ``Chaos`` takes it."""
    services = ExternalServices()
    with tempfile.TemporaryDirectory(prefix="springspread-fleet-") as place:
        try:
            chaos = kind(Path(place), services, instances, **made)
            try:
                yield chaos, services
            finally:
                chaos.close()
        finally:
            services.close()
