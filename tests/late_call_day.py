"""A short day drawn from a seed: one real sender, whose list of endpoints changes while discovery, its own
system calls and its processor fail it now and then. The judge knows the protocol page alone.
"""

from __future__ import annotations

import contextlib
import http.client
import itertools
import os
import signal
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from math import inf
from pathlib import Path
from random import Random

import pytest

from springspread.core.types import clock
from springspread.faults.failing_calls import VARIABLE, Fault, encoded
from tests.list_service import Behavior, CallLog, ListRequest, ListService, RequestQueue, wait_for
from tests.peer import Program
from tests.test_config import SETTINGS

GRACE_MS = 500.0 + 50.0  # of the settings, and what the protocol adds on sockets
NOTIFIED_MS = 6000.0  # after discovery had it and could be reached
AFTER_WAIT_MS = 2000.0  # after a silent watch's wait
LENGTH_MS = 16_000.0
ENDPOINTS, GROUPS = 6, 2
HELD_UP_S = 0.15
RESTART_S = 0.6
ERRORS = ("ENETUNREACH", "EADDRNOTAVAIL", "ENOBUFS", "ECONNABORTED", "EHOSTUNREACH", "ETIMEDOUT", "ENFILE")
MODULE = "springspread.faults.failing_calls"


@dataclass(frozen=True)
class Step:
    """Something that happens at a moment of the day (ms)."""

    at: float
    name: str
    do: Callable[[], None] = field(repr=False)


@dataclass(frozen=True)
class Leaving:
    """An endpoint drains or is gone from a moment on, until it is ready again."""

    endpoint: str
    version: int
    at: float


class Day:
    """Draws a schedule, plays it, and tells what broke."""

    def __init__(self, seed: int, folder: Path, monkeypatch: pytest.MonkeyPatch, discovery: str) -> None:
        self._random, self._folder = Random(seed), folder
        self._crowd = Random(f"crowd {seed}")  # of its own, so that what else a seed draws stays as it was
        self.endpoints = {f"s-{number}": CallLog() for number in range(ENDPOINTS)}
        lines = {name: log.line(name, group=int(name[2:]) % GROUPS) for name, log in self.endpoints.items()}
        self.services = [ListService(dict(lines)), ListService(dict(lines))]
        self._current = 0  # the service whose address the configuration names
        self._pushed = discovery == "push"
        monkeypatch.setitem(SETTINGS, "discovery", discovery)
        # Guards days played beside each other: a sender that starts elsewhere may get the port of one
        # that was killed here, and with it its clients' messages. Each day has an address and ids of its own.
        monkeypatch.setenv("RELAY_LISTEN", f"127.{1 + os.getpid() % 250}.{seed % 250}.{1 + self._pushed}:0")
        self._name = f"d{seed}{discovery}{os.getpid()}"
        monkeypatch.setenv(VARIABLE, encoded(self._faults()))
        self._lock = threading.Lock()
        self.taken: dict[str, str] = {}  # id: class
        self.leaving: list[Leaving] = []
        self.ready_at: list[tuple[str, float]] = []
        self.outages: list[tuple[float, float]] = []
        self.starts: list[float] = []
        self._stop = threading.Event()

    # What happens

    def _faults(self) -> list[Fault]:
        number = itertools.count()
        faults = [
            Fault("connect", self._gate(), thread="discovery", times=self._random.randint(1, 4), error=error)
            for error in self._random.sample(ERRORS, 3)
        ]
        ports = [log.port for log in self._random.sample(list(self.endpoints.values()), 2)]
        faults += [Fault("connect", self._gate(), port=port, pause_s=0.7) for port in ports]
        faults.append(Fault("recv", self._gate(), thread="discovery", pause_s=HELD_UP_S, after=True))
        faults += [Fault("sendall", self._gate(), port=port, pause_s=HELD_UP_S) for port in ports]
        for fault in faults:
            fault.while_file = str(self._folder / f"fault-{next(number)}")
        self._gates = [Path(fault.while_file) for fault in faults]
        return faults

    def _gate(self) -> str:
        return ""  # named once all are drawn

    def _schedule(self) -> list[Step]:
        draw, steps = self._random, list[Step]()

        def at(when: float, name: str, do: Callable[[], None]) -> None:
            steps.append(Step(when, name, do))

        for _ in range(10):
            name = draw.choice(list(self.endpoints))
            at(draw.uniform(500.0, LENGTH_MS), f"{name} changes", partial(self._change, name))
        for _ in range(2):
            at(draw.uniform(500.0, LENGTH_MS), "watches fall silent", self._silence)
        for _ in range(3):
            plan = draw.choices((Behavior.REFUSE, Behavior.RESET, Behavior.CUT, Behavior.SILENT), k=2)
            at(draw.uniform(500.0, LENGTH_MS), f"next: {plan}", partial(self._plan, plan))
        begin = draw.uniform(1000.0, LENGTH_MS / 2)
        how = draw.choice((Behavior.REFUSE, Behavior.RESET))
        at(begin, f"down: {how}", partial(self._down, how))
        at(begin + draw.uniform(500.0, 4000.0), "up", self._up)
        at(draw.uniform(1000.0, LENGTH_MS), "SIGHUP", self._move)
        at(draw.uniform(2000.0, LENGTH_MS), "SIGKILL", self._restart)
        for gate in self._gates:
            begin = draw.uniform(500.0, LENGTH_MS)
            at(begin, f"{gate.name} begins", gate.touch)
            at(begin + draw.uniform(200.0, 2000.0), f"{gate.name} ends", gate.unlink)
        for _ in range(6):
            at(draw.uniform(500.0, LENGTH_MS), "held up", self._hold_up)
        if not self._pushed:  # an agent answers at once
            begin, turn_ms = self._crowd.uniform(500.0, LENGTH_MS), self._crowd.uniform(300.0, 1500.0)
            at(
                begin,
                f"crowded: {turn_ms:.0f} ms a turn",
                partial(self._serve_in_turn, RequestQueue(turn_ms)),
            )
            at(begin + self._crowd.uniform(3000.0, 8000.0), "crowded no more", self._serve_in_turn)
        return sorted(steps, key=lambda step: step.at)

    def _change(self, name: str) -> None:
        service = self.services[0]
        group = [other for other in self.endpoints if int(other[2:]) % GROUPS == int(name[2:]) % GROUPS]
        ready = [other for other in group if service.members[other]["status"] == "Ready"]
        leaves = service.members[name]["status"] == "Ready"
        if leaves and ready == [name]:
            return  # somebody has to serve the group
        status = self._random.choice(("Terminating", "Gone")) if leaves else "Ready"
        at = max(service.change(name, status) for service in self.services)
        if leaves:
            self.leaving.append(Leaving(name, service.version, at))
        else:
            self.ready_at.append((name, at))

    def _silence(self) -> None:
        for service in self.services:
            service.silence()

    def _plan(self, plan: list[Behavior]) -> None:
        for service in self.services:
            service.plan = list(plan)

    def _serve_in_turn(self, line: RequestQueue | None = None) -> None:
        for service in self.services:
            service.queue = line

    def _down(self, how: Behavior) -> None:
        for service in self.services:
            service.down = how
            service.reset_watches()
        self.outages.append((clock(), inf))

    def _up(self) -> None:
        for service in self.services:
            service.down = None
        self.outages[-1] = (self.outages[-1][0], clock())

    def _move(self) -> None:
        self._current = 1 - self._current
        self.program.move(self.services[self._current])

    def _restart(self) -> None:
        self.program.process.kill()
        self.program.process.wait(10.0)
        for service in self.services:
            service.reset_watches()  # nothing more is written to a process that has died
        threading.Event().wait(RESTART_S)
        # As the platform does: the new process is told the list as it was last written to the old one.
        self.program.known(self._last_written())
        self.program.start()
        self.starts.append(clock())

    def _hold_up(self) -> None:
        self.program.process.send_signal(signal.SIGSTOP)
        threading.Event().wait(HELD_UP_S)
        self.program.process.send_signal(signal.SIGCONT)

    def _last_written(self) -> dict[str, object]:
        version = max((one.version for one in self._answered()), default=1)
        states = dict.fromkeys(self.endpoints, "Ready")
        for name, status, since in self.services[0].history:
            if since <= version:
                states[name] = status
        members = self.services[0].members
        lines = [{**members[name], "status": status} for name, status in states.items() if status != "Gone"]
        return {"index": version, "snapshot": True, "endpoints": lines}

    # Playing

    def play(self) -> None:
        """Play the day, and a while longer until everything that was taken on has its end."""
        self.program = Program(
            self._folder, self.services[0], known=self.services[0].snapshot(), module=MODULE
        )
        self.starts.append(clock())
        clients = [threading.Thread(target=self._client, args=(n,), daemon=True) for n in range(GROUPS)]
        for client in clients:
            client.start()
        self.schedule, begun = self._schedule(), clock()
        for step in self.schedule:
            wait_for(lambda step=step: clock() >= begun + step.at, step.name, within_s=60.0)  # type: ignore[misc]
            step.do()
        wait_for(lambda: clock() >= begun + LENGTH_MS, "the day's end", within_s=60.0)
        self._stop.set()
        for client in clients:
            client.join(10.0)
        with contextlib.suppress(AssertionError):  # told as what broke
            wait_for(lambda: not self.unended(), "all ends", within_s=12.0)

    def _client(self, group: int) -> None:
        for number in itertools.count():
            if self._stop.wait(0.03):
                return
            id, cls = f"{self._name}g{group}m{number}", "pay" if number % 4 == 0 else "note"
            with contextlib.suppress(OSError, http.client.HTTPException):
                if self.program.hand_in(id, cls, left=3000, group=group) == 202:
                    with self._lock:
                        self.taken[id] = cls

    def close(self) -> None:
        """End all of it."""
        self._stop.set()
        with contextlib.suppress(OSError):
            os.kill(self.program.process.pid, signal.SIGCONT)
        self.program.process.kill()
        self.program.process.wait(10.0)
        for service in self.services:
            service.close()
        for endpoint in self.endpoints.values():
            endpoint.close()

    # Judging

    def _answered(self) -> Iterator[ListRequest]:
        return (one for service in self.services for one in list(service.list_requests) if one.answered_at)

    def notified_by(self, change: Leaving) -> float:
        """From when on a change counts as notified, by the page (ms)."""
        written_at = [one.answered_at for one in self._answered() if one.version >= change.version]
        counted = change.at
        for begin, end in self.outages:
            if begin <= counted + NOTIFIED_MS and end > counted:
                counted = end  # it could not be reached: counted anew
        if self._pushed:
            latest = counted + NOTIFIED_MS
        else:
            latest = min([counted + NOTIFIED_MS, *self._missed_by(change, counted)])
        started = max((at for at in self.starts if at <= change.at + NOTIFIED_MS), default=0.0)
        return min(*written_at, inf, max(latest, started + NOTIFIED_MS if started > change.at else 0.0))

    def _missed_by(self, change: Leaving, counted: float) -> Iterator[float]:
        """From when on what silent watches missed counts as notified."""
        for one in (one for service in self.services for one in list(service.list_requests)):
            silent = one.silent_at or (one.at if one.behavior is Behavior.SILENT else 0.0)
            told = max(silent + NOTIFIED_MS, one.at + one.wait_ms + AFTER_WAIT_MS)
            again = any(silent < other.answered_at <= change.at for other in self._answered())
            ended = 0.0 < one.reset_at <= change.at or again
            if silent and silent <= change.at == counted and not ended and told > change.at:
                yield told

    def late(self) -> list[str]:
        """Calls that began after the grace."""
        found = []
        for change in self.leaving:
            limit = self.notified_by(change) + GRACE_MS
            until = min(
                (at for name, at in self.ready_at if name == change.endpoint and at > change.at), default=inf
            )
            calls = [at for at in self.endpoints[change.endpoint].calls if limit < at < until]
            if calls:
                text = f"{change.endpoint} v{change.version}: {len(calls)} calls, up to"
                found.append(f"{text} {max(calls) - limit:.0f} ms after its grace")
        return found

    def unended(self) -> list[str]:
        """Messages that were taken on and have no end."""
        ended = {id for log in self.endpoints.values() for id in log.ids}
        ended |= {final["id"] for service in self.services for final in service.finals}
        with self._lock:
            return [id for id in self.taken if id not in ended]

    def doubled(self) -> list[str]:
        """Messages that may run only once and were sent twice, with where and when (ms since the start)."""
        calls: dict[str, list[str]] = {}
        for name, log in self.endpoints.items():
            for id, at in zip(list(log.ids), list(log.calls), strict=False):
                calls.setdefault(id, []).append(f"{name} {at - self.starts[0]:.0f}")
        with self._lock:
            once = {id for id, cls in self.taken.items() if cls == "pay"}
        return [f"{id}: {', '.join(calls[id])}" for id in once if len(calls.get(id, ())) > 1]
