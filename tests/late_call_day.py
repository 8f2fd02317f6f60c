"""A short run drawn from a seed: one real sender whose list of endpoints changes while discovery, its system
calls and its process fail now and then. The checks follow the protocol page alone.
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
from springspread.faults.failing_calls import PLAN_VARIABLE, Fault, encoded
from tests.list_service import Behavior, CallLog, ListRequest, ListService, RequestQueue, wait_for
from tests.peer import Program
from tests.test_config import SETTINGS

GRACE_MS = 500.0 + 50.0  # of the settings, and what the protocol adds on sockets
NOTIFIED_MS = 6000.0  # after discovery had the change and was reachable
NOTIFIED_WAIT_MS = 2000.0  # after the wait of a silent watch
LENGTH_MS = 16_000.0
ENDPOINTS, GROUPS = 6, 2
DELAY_S = 0.15
RESTART_S = 0.6
ERRORS = ("ENETUNREACH", "EADDRNOTAVAIL", "ENOBUFS", "ECONNABORTED", "EHOSTUNREACH", "ETIMEDOUT", "ENFILE")
MODULE = "springspread.faults.failing_calls"


@dataclass(frozen=True)
class Step:
    """An event at a time of the run (ms)."""

    at: float
    name: str
    do: Callable[[], None] = field(repr=False)


@dataclass(frozen=True)
class Departure:
    """An endpoint that drains or is gone from a time on, until it is ready again."""

    endpoint: str
    version: int
    at: float


class Day:
    """Draws a schedule, plays it and checks the promises."""

    def __init__(self, seed: int, folder: Path, monkeypatch: pytest.MonkeyPatch, discovery: str) -> None:
        self._random, self._folder = Random(seed), folder
        # Separate, so that a seed's other draws do not depend on it.
        self._crowd_random = Random(f"crowd {seed}")
        self.endpoints = {f"s-{number}": CallLog() for number in range(ENDPOINTS)}
        lines = {name: log.line(name, group=int(name[2:]) % GROUPS) for name, log in self.endpoints.items()}
        self.services = [ListService(dict(lines)), ListService(dict(lines))]
        self._current = 0  # the service whose address the configuration names
        self._pushed = discovery == "push"
        monkeypatch.setitem(SETTINGS, "discovery", discovery)
        # An address and ids of its own: a sender of a parallel run may get the port of one that was killed
        # here, and with it the messages of its clients.
        monkeypatch.setenv("RELAY_LISTEN", f"127.{1 + os.getpid() % 250}.{seed % 250}.{1 + self._pushed}:0")
        self._name = f"d{seed}{discovery}{os.getpid()}"
        monkeypatch.setenv(PLAN_VARIABLE, encoded(self._faults()))
        self._lock = threading.Lock()
        self.accepted: dict[str, str] = {}  # id: class
        self.departures: list[Departure] = []
        self.ready_at: list[tuple[str, float]] = []
        self.outages: list[tuple[float, float]] = []
        self.starts: list[float] = []
        self._stop = threading.Event()

    # Events

    def _faults(self) -> list[Fault]:
        number = itertools.count()
        faults = [
            Fault(
                "connect",
                self._unnamed_file(),
                thread="discovery",
                times=self._random.randint(1, 4),
                error=error,
            )
            for error in self._random.sample(ERRORS, 3)
        ]
        ports = [log.port for log in self._random.sample(list(self.endpoints.values()), 2)]
        faults += [Fault("connect", self._unnamed_file(), port=port, pause_s=0.7) for port in ports]
        faults.append(Fault("recv", self._unnamed_file(), thread="discovery", pause_s=DELAY_S, after=True))
        faults += [Fault("sendall", self._unnamed_file(), port=port, pause_s=DELAY_S) for port in ports]
        for fault in faults:
            fault.while_file = str(self._folder / f"fault-{next(number)}")
        self._switch_files = [Path(fault.while_file) for fault in faults]
        return faults

    def _unnamed_file(self) -> str:
        return ""  # named after all are drawn

    def _schedule(self) -> list[Step]:
        rng, steps = self._random, list[Step]()

        def at(when: float, name: str, do: Callable[[], None]) -> None:
            steps.append(Step(when, name, do))

        for _ in range(10):
            name = rng.choice(list(self.endpoints))
            at(rng.uniform(500.0, LENGTH_MS), f"{name} changes", partial(self._change, name))
        for _ in range(2):
            at(rng.uniform(500.0, LENGTH_MS), "watches fall silent", self._silence)
        for _ in range(3):
            plan = rng.choices((Behavior.REFUSE, Behavior.RESET, Behavior.CUT, Behavior.SILENT), k=2)
            at(rng.uniform(500.0, LENGTH_MS), f"next: {plan}", partial(self._plan, plan))
        begin = rng.uniform(1000.0, LENGTH_MS / 2)
        behavior = rng.choice((Behavior.REFUSE, Behavior.RESET))
        at(begin, f"down: {behavior}", partial(self._down, behavior))
        at(begin + rng.uniform(500.0, 4000.0), "up", self._up)
        at(rng.uniform(1000.0, LENGTH_MS), "SIGHUP", self._move)
        at(rng.uniform(2000.0, LENGTH_MS), "SIGKILL", self._restart)
        for switch_file in self._switch_files:
            begin = rng.uniform(500.0, LENGTH_MS)
            at(begin, f"{switch_file.name} begins", switch_file.touch)
            at(begin + rng.uniform(200.0, 2000.0), f"{switch_file.name} ends", switch_file.unlink)
        for _ in range(6):
            at(rng.uniform(500.0, LENGTH_MS), "held up", self._freeze_briefly)
        if not self._pushed:  # an agent has no queue
            begin, service_ms = (
                self._crowd_random.uniform(500.0, LENGTH_MS),
                self._crowd_random.uniform(300.0, 1500.0),
            )
            at(
                begin,
                f"crowded: {service_ms:.0f} ms a turn",
                partial(self._set_queue, RequestQueue(service_ms)),
            )
            at(begin + self._crowd_random.uniform(3000.0, 8000.0), "crowded no more", self._set_queue)
        return sorted(steps, key=lambda step: step.at)

    def _change(self, name: str) -> None:
        service = self.services[0]
        group = [other for other in self.endpoints if int(other[2:]) % GROUPS == int(name[2:]) % GROUPS]
        ready = [other for other in group if service.members[other]["status"] == "Ready"]
        departs = service.members[name]["status"] == "Ready"
        if departs and ready == [name]:
            return  # the group needs a ready endpoint
        status = self._random.choice(("Terminating", "Gone")) if departs else "Ready"
        at = max(service.change(name, status) for service in self.services)
        if departs:
            self.departures.append(Departure(name, service.version, at))
        else:
            self.ready_at.append((name, at))

    def _silence(self) -> None:
        for service in self.services:
            service.silence()

    def _plan(self, plan: list[Behavior]) -> None:
        for service in self.services:
            service.plan = list(plan)

    def _set_queue(self, queue: RequestQueue | None = None) -> None:
        for service in self.services:
            service.queue = queue

    def _down(self, behavior: Behavior) -> None:
        for service in self.services:
            service.down = behavior
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
            service.reset_watches()  # a dead process receives nothing
        threading.Event().wait(RESTART_S)
        # As the platform does: the new process starts with the list last sent to the old one.
        self.program.known(self._last_sent_list())
        self.program.start()
        self.starts.append(clock())

    def _freeze_briefly(self) -> None:
        self.program.process.send_signal(signal.SIGSTOP)
        threading.Event().wait(DELAY_S)
        self.program.process.send_signal(signal.SIGCONT)

    def _last_sent_list(self) -> dict[str, object]:
        version = max((request.version for request in self._answered()), default=1)
        states = dict.fromkeys(self.endpoints, "Ready")
        for name, status, since in self.services[0].history:
            if since <= version:
                states[name] = status
        members = self.services[0].members
        lines = [{**members[name], "status": status} for name, status in states.items() if status != "Gone"]
        return {"index": version, "snapshot": True, "endpoints": lines}

    # Playing

    def play(self) -> None:
        """Play the run, and wait until every accepted message has an outcome."""
        self.program = Program(
            self._folder, self.services[0], known=self.services[0].snapshot(), module=MODULE
        )
        self.starts.append(clock())
        clients = [threading.Thread(target=self._client, args=(n,), daemon=True) for n in range(GROUPS)]
        for client in clients:
            client.start()
        self.schedule, started_at = self._schedule(), clock()
        for step in self.schedule:
            wait_for(lambda step=step: clock() >= started_at + step.at, step.name, within_s=60.0)  # type: ignore[misc]
            step.do()
        wait_for(lambda: clock() >= started_at + LENGTH_MS, "the day's end", within_s=60.0)
        self._stop.set()
        for client in clients:
            client.join(10.0)
        with contextlib.suppress(AssertionError):  # reported by the checks
            wait_for(lambda: not self.without_outcome(), "all ends", within_s=12.0)

    def _client(self, group: int) -> None:
        for number in itertools.count():
            if self._stop.wait(0.03):
                return
            id, cls = f"{self._name}g{group}m{number}", "pay" if number % 4 == 0 else "note"
            with contextlib.suppress(OSError, http.client.HTTPException):
                if self.program.hand_in(id, cls, left=3000, group=group) == 202:
                    with self._lock:
                        self.accepted[id] = cls

    def close(self) -> None:
        """Stop everything."""
        self._stop.set()
        with contextlib.suppress(OSError):
            os.kill(self.program.process.pid, signal.SIGCONT)
        self.program.process.kill()
        self.program.process.wait(10.0)
        for service in self.services:
            service.close()
        for endpoint in self.endpoints.values():
            endpoint.close()

    # Checks

    def _answered(self) -> Iterator[ListRequest]:
        return (
            request
            for service in self.services
            for request in list(service.list_requests)
            if request.answered_at
        )

    def notified_by(self, change: Departure) -> float:
        """When a change counts as notified, by the protocol page (ms)."""
        written_at = [
            request.answered_at for request in self._answered() if request.version >= change.version
        ]
        reachable_at = change.at
        for begin, end in self.outages:
            if begin <= reachable_at + NOTIFIED_MS and end > reachable_at:
                reachable_at = end  # discovery was unreachable: the time starts again
        if self._pushed:
            latest = reachable_at + NOTIFIED_MS
        else:
            latest = min([reachable_at + NOTIFIED_MS, *self._silent_watch_deadlines(change, reachable_at)])
        started = max((at for at in self.starts if at <= change.at + NOTIFIED_MS), default=0.0)
        return min(*written_at, inf, max(latest, started + NOTIFIED_MS if started > change.at else 0.0))

    def _silent_watch_deadlines(self, change: Departure, reachable_at: float) -> Iterator[float]:
        """When changes that silent watches missed count as notified."""
        for request in (request for service in self.services for request in list(service.list_requests)):
            silent = request.silent_at or (request.at if request.behavior is Behavior.SILENT else 0.0)
            notified_at = max(silent + NOTIFIED_MS, request.at + request.wait_ms + NOTIFIED_WAIT_MS)
            answered_again = any(silent < other.answered_at <= change.at for other in self._answered())
            ended = 0.0 < request.reset_at <= change.at or answered_again
            if silent and silent <= change.at == reachable_at and not ended and notified_at > change.at:
                yield notified_at

    def late_calls(self) -> list[str]:
        """Calls that began after the grace."""
        found = []
        for change in self.departures:
            limit = self.notified_by(change) + GRACE_MS
            until = min(
                (at for name, at in self.ready_at if name == change.endpoint and at > change.at), default=inf
            )
            log = self.endpoints[change.endpoint]
            calls = [(at, id) for at, id in zip(log.calls, log.ids, strict=False) if limit < at < until]
            if calls:
                text = f"{change.endpoint} v{change.version}: {len(calls)} calls, up to"
                ids = ", ".join(id or "no id" for _, id in calls)
                found.append(f"{text} {max(calls)[0] - limit:.0f} ms after its grace: {ids}")
        return found

    def without_outcome(self) -> list[str]:
        """Accepted messages without an outcome."""
        ended = {id for log in self.endpoints.values() for id in log.ids}
        ended |= {final["id"] for service in self.services for final in service.finals}
        with self._lock:
            return [id for id in self.accepted if id not in ended]

    def sent_twice(self) -> list[str]:
        """Messages that may run only once and were sent twice, with endpoints and times (ms)."""
        calls: dict[str, list[str]] = {}
        for name, log in self.endpoints.items():
            for id, at in zip(list(log.ids), list(log.calls), strict=False):
                calls.setdefault(id, []).append(f"{name} {at - self.starts[0]:.0f}")
        with self._lock:
            once = {id for id, cls in self.accepted.items() if cls == "pay"}
        return [f"{id}: {', '.join(calls[id])}" for id in once if len(calls.get(id, ())) > 1]
