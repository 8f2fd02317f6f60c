"""A day on loopback sockets: the model round real sender processes, in real time.

One thread polls every partner's, directory's and platform's sockets and writes answers when they are due;
clients hand messages in from a pool of threads, at the day's times whatever becomes of earlier ones. It
measures how late it is itself: a run on which it was late is no result, and says so.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from springspread.core.types import EndpointState
from springspread.fleet.limits import Limit, LimitMode
from springspread.http1.server import Request
from springspread.net.exchange import FAILURES, Connection
from springspread.simulator.checker import SPAN_MS, Checker
from springspread.simulator.day import CLASSES, Arrival, Change, Day, SenderOutage, Service, StopMode
from springspread.simulator.fleet import TownFleet
from springspread.simulator.partner import Answer, End, Partner, Trouble
from springspread.simulator.polling import LIMITS, AcceptedConnection, PollingServer

SIGNALS = {StopMode.KILL: signal.SIGKILL, StopMode.TERM: signal.SIGTERM, StopMode.FREEZE: signal.SIGSTOP}
CALL_PATHS = ("/events", "/events/bundle")
STATUS = {End.DONE: 200, End.FAILED: 500, End.FULL: 503}
NONSENSE = b"HTTP/1.1 2OO fine\r\nContent-Length: -1\r\n\r\n"
WORDS = {EndpointState.READY: "Ready", EndpointState.DRAINING: "Terminating", EndpointState.GONE: "Gone"}
HEARD_MS = 400.0  # a client waits so long for its answer
LATE_MS = 25.0  # a driver that was later than this, at its 99th percentile, has no result
READY_S = 15.0
RESTART_MS = 1_500.0  # a sender's start, at most


@dataclass(frozen=True, slots=True)
class Live:
    """What a day on sockets came to. ``late_ms``: the driver's own lateness, 99th percentile and most."""

    checker: Checker
    late_ms: tuple[float, float]

    @property
    def valid(self) -> bool:
        """Whether the driver kept up, so that the figures say something of the senders."""
        return self.late_ms[0] <= LATE_MS


class SocketSimulation:
    """Plays one day; use it once, then ``close``."""

    def __init__(self, day: Day, folder: Path, mode: LimitMode = LimitMode.EXACT) -> None:
        """``mode``: of the limits that a fleet's senders share."""
        self.day, self._folder = day, folder
        self._begun = time.monotonic()
        self._server = PollingServer(self._now)
        self._partners = {
            spec.group: Partner(spec.group, spec.profile, [*spec.names, *spec.later], f"{day.seed}")
            for spec in day.partners
        }
        self._kinds = {spec.group: spec.kind for spec in day.partners}
        self._group = {name: spec.group for spec in day.partners for name in (*spec.names, *spec.later)}
        listed = {name for spec in day.partners for name in spec.names}
        self._states = {
            name: EndpointState.READY if name in listed else EndpointState.GONE for name in self._group
        }
        self._version = 1
        self._changed: dict[str, int] = dict.fromkeys(self._group, 1)
        self._watches: list[tuple[AcceptedConnection, str, int, bool]] = []
        limits = {
            self._key(name): self._partners[group].profile.limit_per_s or inf
            for name, group in self._group.items()
        }
        self.checker = Checker(CLASSES, 500.0, 8, limits)
        self.strangers: list[str] = []  # requests that were no calls
        self._handed = 0
        self._ports = {name: self._server.listen(self._call(name)) for name in self._group}
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._addresses: dict[int, tuple[str, int]] = {}  # of the senders that are there
        self._directories: dict[int, int] = {}  # ports
        self._open = True
        self._fleet: TownFleet | None = None
        if day.shared:
            told = {self._limit_key(key): per_s for key, per_s in limits.items() if per_s < inf}
            shared = {key: Limit.of_rate(per_s, SPAN_MS, mode) for key, per_s in told.items()}
            self._fleet = TownFleet(folder, day.senders, shared, mode)
        self._clients = ThreadPoolExecutor(64, "client")

    # Time and the one polling thread

    def _now(self) -> float:
        return (time.monotonic() - self._begun) * 1000.0

    def _at(self, when: float, work: Callable[..., None], *values: Any) -> None:
        self._server.at(when, work, *values)

    def _refuse(self, name: str, refusing: bool) -> None:
        """An endpoint's machine takes no connections and resets those that it has, or takes them again."""
        port = self._ports[name]
        if not refusing:
            self._server.listen(self._call(name), port)
            return
        self._server.stop_listening(port)
        self._server.reset_all_at(port)

    # Partners

    def _key(self, endpoint: str) -> str:
        group = self._group[endpoint]
        return endpoint if self._partners[group].profile.separate_routes else f"g{group}"

    def _limit_key(self, key: str) -> str:
        """A limit's key as the fleet names it."""
        return f"r{self._group[key]}/{key}" if key in self._group else key

    def _call(self, name: str) -> Callable[[AcceptedConnection, Request], None]:
        return lambda place, request: self._arrives(name, place, request)

    def _arrives(self, name: str, place: AcceptedConnection, request: Request) -> None:
        if request.path not in CALL_PATHS:
            self._turn_away(name, place, request)
            return
        now, group = self._now(), self._group[name]
        bundle = request.path == "/events/bundle"
        if bundle:
            ids = [item["id"] for item in json.loads(request.body)]
        else:
            ids = [request.headers.get("X-Correlation-Id")]
        if not self.checker.knows_all(ids):
            self.checker.unknown_call(now, name, ids)
            self._server.answer(place, 404, {})
            return
        endpoint = self._partners[group].endpoints[name]
        was_overloaded = endpoint.overloaded
        sender, key = self.checker.sender_of(ids[0]), self._key(name)
        self.checker.call(now, sender, name, group, key, ids)
        answer = endpoint.arrive(now, len(ids), sender)
        if endpoint.overloaded and not was_overloaded:
            self.checker.cold_overload(now, name, endpoint.cold_callers)
        if answer.end is not End.DONE:
            self.checker.failed(now, sender, name)
        if answer.ran:
            self.checker.done(now, sender, key, ids, "maybe", True)
        if answer.end is End.REFUSED:
            self._server.end(place, reset=True)
        elif answer.at < inf:
            self._at(answer.at, self._send_answer, name, place, ids, answer, bundle)

    def _turn_away(self, name: str, place: AcceptedConnection, request: Request) -> None:
        """Guards the town against another program, which takes this port for one of its own peers."""
        self.strangers.append(f"{request.method} {request.path} at {name}")
        self._server.answer(place, 404, {})

    def _send_answer(
        self, name: str, place: AcceptedConnection, ids: list[str], answer: Answer, bundle: bool
    ) -> None:
        now, key, sender = self._now(), self._key(name), self.checker.sender_of(ids[0])
        headers, body = {}, b""
        if answer.left_share is not None:
            headers["X-Backend-Load"] = f"x0={answer.left_share:.3f},x1={answer.limit_per_s:.3f}"
        if answer.wait_ms:
            headers["Retry-After"] = f"{answer.wait_ms / 1000:.3f}"
            self.checker.wait(now, sender, key, answer.wait_ms)
        if answer.end is End.DONE:
            body = json.dumps([{"id": id, "state": "done"} for id in ids]).encode() if bundle else b""
        was_open = place.open
        self.checker.tally.rejected += answer.end is End.FULL
        if answer.end in (End.RESET, End.MALFORMED):
            if was_open and answer.end is End.MALFORMED:
                place.sock.send(NONSENSE)
            self._server.end(place, reset=answer.end is End.RESET)
            self.checker.done(now, sender, key, ids, "maybe", False)
            return
        self._server.answer(place, STATUS[answer.end], headers, body)
        if was_open and answer.end is End.DONE:
            self.checker.done(now, sender, key, ids, "delivered", False)
        elif answer.end is not End.FULL:
            self.checker.done(now, sender, key, ids, "maybe", False)

    def _take_over(self, name: str, old: str) -> None:
        """An endpoint gets another's address: what is open there breaks, new calls are for the newcomer."""
        unused, port = self._ports[name], self._ports[old]
        self._ports[name] = port
        self._server.stop_listening(unused)
        self._server.stop_listening(port)
        self._server.reset_all_at(port)
        self._server.listen(self._call(name), port)

    def _cut(self) -> None:
        """The directory goes away: watches break."""
        watches, self._watches = self._watches, []
        for place, _, _, _ in watches:
            self._server.end(place, reset=True)

    def _change(self, change: Change) -> None:
        if change.takes_over:
            self._take_over(change.endpoint, change.takes_over)
        if change.condition is not None:
            endpoint = self._partners[self._group[change.endpoint]].endpoints[change.endpoint]
            before = endpoint.condition.trouble is Trouble.REFUSING
            endpoint.set_condition(self._now(), change.condition)
            if change.condition.trouble is not Trouble.NONE:
                self.checker.trouble_began(change.endpoint)
            after = change.condition.trouble is Trouble.REFUSING
            if before != after:
                self._refuse(change.endpoint, after)
        if change.limit is not None:
            self._partners[self._group[change.endpoint]].scale_limit(change.limit)
        if change.state:
            self._at(self._now() + self.day.list_lag_ms, self._listed, change)

    # Discovery and platform

    def _listed(self, change: Change) -> None:
        self._states[change.endpoint] = EndpointState(change.state)
        self._version += 1
        self._changed[change.endpoint] = self._version
        if self.day.unavailable_until(Service.DIRECTORY, self._now()) > self._now():
            return  # the next watch tells it
        watches, self._watches = self._watches, []
        for place, sender, since, _ in watches:
            self._tell(place, sender, since, False)

    def _line(self, name: str) -> dict[str, Any]:
        group = self._group[name]
        return {
            "name": name,
            "address": f"127.0.0.1:{self._ports[name]}",
            "zone": self.day.zones.get(name, ""),
            "type": self._kinds[group],
            "group": group,
            "status": WORDS[self._states[name]],
            "weight": self._partners[group].rating,
            "since_ms": 0,
        }

    def _directory(self, sender: str) -> Callable[[AcceptedConnection, Request], None]:
        def serve(place: AcceptedConnection, request: Request) -> None:
            service = Service.PLATFORM if request.method == "POST" else Service.DIRECTORY
            if self.day.unavailable_until(service, self._now()) > self._now():
                self._server.end(place, reset=True)
                return
            if request.method == "POST":
                for line in request.body.splitlines():
                    item = json.loads(line)
                    self.checker.notice(self._now(), item["id"], item["status"])
                    if item["status"] == "deferred":
                        self._again(item["id"], item.get("again_ms", 0.0))
                self._server.answer(place, 204, {})
                return
            asked = parse_qs(urlsplit(request.path).query)
            since = int(asked["since"][0]) if "since" in asked else None
            if since is None or since != self._version:
                self._tell(place, sender, since or 0, since is None)
                return
            self._watches.append((place, sender, since, False))
            wait = float(asked.get("timeout_ms", ["0"])[0])
            self._at(self._now() + wait, self._watched, place, sender, since)

        return serve

    def _watched(self, place: AcceptedConnection, sender: str, since: int) -> None:
        for watch in self._watches:
            if watch[0] is place and watch[2] == since:
                self._watches.remove(watch)
                self._tell(place, sender, since, False)
                return

    def _tell(self, place: AcceptedConnection, sender: str, since: int, whole: bool) -> None:
        names = [name for name in self._group if whole or self._changed[name] > since]
        if whole:
            names = [name for name in names if self._states[name] is not EndpointState.GONE]
        told = {"index": self._version, "snapshot": whole, "endpoints": [self._line(n) for n in names]}
        for name in names:
            self.checker.listed(self._now(), sender, name, self._states[name] is EndpointState.READY)
        self._server.answer(place, 200, {}, json.dumps(told).encode())

    # Senders

    def _directory_of(self, index: int) -> int:
        """The port at which a sender finds its directory."""
        if index not in self._directories:
            self._directories[index] = self._server.listen(self._directory(f"n{index}"))
        return self._directories[index]

    def _config(self, index: int) -> dict[str, Any]:
        names = [name for name, state in self._states.items() if state is EndpointState.READY]
        return {
            "discovery": f"127.0.0.1:{self._directory_of(index)}",
            "seed": f"{self.day.seed * 1000 + index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 8},
            "known": {"index": 1, "snapshot": True, "endpoints": [self._line(n) for n in names]},
            "settings": self.day.settings(index),
        }

    def _start_fleet(self, fleet: TownFleet) -> None:
        directories = {index: self._directory_of(index) for index in range(self.day.senders)}
        self._addresses = fleet.start(self._config(0), directories)
        threading.Thread(target=self._follow, args=(fleet,), name="fleet", daemon=True).start()

    def _follow(self, fleet: TownFleet) -> None:
        """Who serves, and where: the daemon starts again whoever died."""
        while self._open:
            self._addresses = fleet.addresses()
            time.sleep(0.05)

    def _start(self, index: int) -> None:
        place = self._folder / f"n{index}"
        (place / "state").mkdir(parents=True, exist_ok=True)
        raw = self._config(index) | {"name": f"n{index}", "listen": "127.0.0.1:0"}
        raw |= {"state": str(place / "state")}
        file = place / "config.json"
        file.write_text(json.dumps(raw))
        env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        log = (place / "log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", "springspread"], env={**env, "RELAY_CONFIG": str(file)}, stderr=log
        )
        log.close()
        self._processes[index] = process
        self._addresses[index] = _ready(process, place / "log")

    def _dies(self, death: SenderOutage) -> None:
        self.checker.sender_away(f"n{death.sender}", death.at, death.back_at + RESTART_MS)
        if self._fleet is not None:
            self._fleet.send(death.sender, SIGNALS[death.stop_mode])
            if death.stop_mode is StopMode.FREEZE:
                self._at(death.back_at, self._fleet.send, death.sender, signal.SIGCONT)
            return
        process = self._processes[death.sender]
        if death.stop_mode is StopMode.FREEZE:
            process.send_signal(signal.SIGSTOP)
            self._at(death.back_at, process.send_signal, signal.SIGCONT)
            return
        del self._addresses[death.sender]
        process.send_signal(SIGNALS[death.stop_mode])
        self._at(death.back_at, self._returns, death.sender)

    def _returns(self, sender: int) -> None:
        # Its start takes longer than the town may stand still.
        threading.Thread(target=self._restart, args=(sender,), name="start", daemon=True).start()

    def _restart(self, sender: int) -> None:
        self._processes[sender].wait()
        self._start(sender)

    # Clients

    def _hand_in(
        self, arrival: Arrival, tries: int, first_at: float, orphan: bool = False, first: bool = True
    ) -> None:
        spec = next(spec for spec in CLASSES if spec.name == arrival.cls)
        left = first_at + spec.deadline_ms - self._now()
        if left <= 0:
            return
        turn = [(arrival.sender + n) % self.day.senders for n in range(self.day.senders)]
        addresses = self._addresses  # the fleet's are replaced whole
        alive = [sender for sender in turn if sender in addresses]
        if not alive:
            self._at(self._now() + self.day.retry_ms, self._hand_in, arrival, tries, first_at, orphan, first)
            return
        self._handed += 1
        id, sender = f"m{self._handed}", alive[0]
        self._errands[id] = (arrival, tries, first_at)
        repeat = "again" if orphan else "1" if tries < self.day.retries else ""
        now, group = self._now(), arrival.group
        self.checker.handed_in(now, f"n{sender}", id, spec.name, group, left, first_at, not first)
        self._clients.submit(self._ask, id, arrival, left, addresses[sender], repeat)

    def _ask(self, id: str, arrival: Arrival, left: float, address: tuple[str, int], repeat: str) -> None:
        headers = {
            "Host": "town",
            "X-Correlation-Id": id,
            "X-Service-Class": arrival.cls,
            "X-Time-Left-Ms": str(max(int(left), 1)),
            "X-Consignee": f"dest={arrival.group}",
        }
        if repeat:
            headers["X-Repeat"] = repeat
        until = time.monotonic() * 1000.0 + HEARD_MS
        status = 0
        try:
            connection = Connection(address, until, LIMITS)
            try:
                connection.write("POST", "/api", headers, arrival.body, until)
                status = connection.read(until).status
            finally:
                connection.close()
        except FAILURES:
            pass
        with self._server.lock:
            self.checker.verdict(self._now(), id, status in (200, 202))
            if status not in (200, 202):
                self._again(id, 0.0, unheard=not status)

    def _again(self, id: str, after_ms: float, unheard: bool = False) -> None:
        """A refused client comes again, if it has a try left; one that heard nothing comes again, marked."""
        arrival, tries, first_at = self._errands[id]
        if tries or unheard:
            when, left = self._now() + max(after_ms, self.day.retry_ms), tries if unheard else tries - 1
            if unheard:  # whoever did not answer may be frozen
                arrival = replace(arrival, sender=(arrival.sender + 1) % self.day.senders)
            self._at(when, self._hand_in, arrival, left, first_at, unheard, False)

    def sufferings(self) -> dict[str, str]:
        """What is wrong with partners now, by partner."""
        found: dict[str, str] = {}
        for group, partner in self._partners.items():
            for name, endpoint in partner.endpoints.items():
                trouble, warmth = endpoint.condition.trouble, endpoint.warmth(self._now())
                words = [trouble.value] if trouble is not Trouble.NONE else []
                if warmth < 1.0 and not words:
                    words.append(f"warming up ({warmth:.0%})")
                if self._states[name] is EndpointState.DRAINING:
                    words.append("draining")
                if words:
                    found[f"{self._kinds[group]} {group}"] = ", ".join(words)
        return found

    def play(
        self, each_s: Callable[[float, Checker, dict[str, str]], None] | None = None, tail_ms: float = inf
    ) -> Live:
        """Start the senders and play the day.

        ``each_s`` hears about once a second the time (ms), the checker and what partners suffer. At most
        ``tail_ms`` after the day are waited for what is still owed; what is not due by then is not judged.
        """
        self._errands: dict[str, tuple[Arrival, int, float]] = {}
        if self._fleet is not None:
            self._start_fleet(self._fleet)
        else:
            for index in range(self.day.senders):
                self._start(index)
        self._begun = time.monotonic() + 0.5
        for arrival in self.day.arrivals:
            self._at(arrival.at, self._hand_in, arrival, self.day.retries, arrival.at)
        for change in self.day.changes:
            self._at(change.at, self._change, change)
        for outage in self.day.outages:
            if outage.service is Service.PLATFORM:
                self.checker.platform_away(outage.begin, outage.end)
            else:
                self._at(outage.begin, self._cut)
        for death in self.day.deaths:
            self._at(death.at, self._dies, death)
        longest = max(spec.deadline_ms for spec in CLASSES)
        end, told = self.day.length_ms + min(longest + 1000.0, tail_ms), 0.0
        while self._now() < end and not (self._now() > self.day.length_ms and self._settled()):
            time.sleep(0.05)
            if each_s is not None and self._now() >= told + 1000.0:
                told = self._now()
                with self._server.lock:
                    each_s(told, self.checker, self.sufferings())
        with self._server.lock:
            self.checker.close(end)
        late = sorted(self._server.late_ms) or [0.0]
        return Live(self.checker, (late[int(0.99 * (len(late) - 1))], late[-1]))

    def _settled(self) -> bool:
        with self._server.lock:
            return not self.checker.open and not self._server.awaits(self._hand_in)

    def close(self) -> None:
        """End the senders and every socket."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(5.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._open = False
        if self._fleet is not None:
            self._fleet.close()
        self._clients.shutdown()
        self._server.close()


def _ready(process: subprocess.Popen[bytes], log: Path) -> tuple[str, int]:
    """Where a sender that has just been started listens, from its log."""
    end = time.monotonic() + READY_S
    while time.monotonic() < end and process.poll() is None:
        for line in log.read_text().splitlines():
            if '"event": "ready"' in line:
                host, _, port = json.loads(line)["listen"].rpartition(":")
                return host, int(port)
        time.sleep(0.02)
    raise RuntimeError(f"a sender did not come up: {log.read_text()[-500:]}")
