"""Simulates a day on loopback sockets, in real time, around real sender processes.

One thread polls the sockets of all partners, directories and the platform, and sends answers when they are
due; a thread pool submits the clients' messages at the day's times, regardless of earlier ones. The driver
measures its own lateness; a run in which it was too late is invalid.
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
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from springspread.core.types import EndpointState
from springspread.fleet.limits import Limit, LimitMode
from springspread.http1.server import Request
from springspread.net.exchange import FAILURES, Connection
from springspread.simulator.checker import SPAN_MS, Checker
from springspread.simulator.day import CLASSES, Arrival, Change, Day, SenderOutage, Service, StopMode
from springspread.simulator.fleet import FleetProcess
from springspread.simulator.partner import Answer, End, Partner, Trouble
from springspread.simulator.polling import LIMITS, AcceptedConnection, PollingServer
from springspread.simulator.surplus import AnswerCopier

SIGNALS = {StopMode.KILL: signal.SIGKILL, StopMode.TERM: signal.SIGTERM, StopMode.FREEZE: signal.SIGSTOP}
CALL_PATHS = ("/events", "/events/bundle")
STATUS = {End.DONE: 200, End.FAILED: 500, End.FULL: 503}
MALFORMED_ANSWER = b"HTTP/1.1 2OO fine\r\nContent-Length: -1\r\n\r\n"
LIST_STATES = {
    EndpointState.READY: "Ready",
    EndpointState.DRAINING: "Terminating",
    EndpointState.GONE: "Gone",
}
CLIENT_TIMEOUT_MS = 400.0
MAX_LATENESS_MS = 25.0  # at the 99th percentile; a run with more is invalid
READY_S = 15.0
RESTART_MS = 1_500.0  # the longest start of a sender


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of a day. ``late_ms``: the driver's lateness, 99th percentile and maximum."""

    checker: Checker
    late_ms: tuple[float, float]

    @property
    def valid(self) -> bool:
        """Whether the driver kept up, so that the figures are meaningful."""
        return self.late_ms[0] <= MAX_LATENESS_MS


class SocketSimulation:
    """Plays one day, once; then call ``close``."""

    def __init__(self, day: Day, folder: Path, mode: LimitMode = LimitMode.EXACT) -> None:
        """``mode``: the mode of a fleet's shared limits."""
        self.day, self._folder = day, folder
        self._started_at = time.monotonic()
        self.copier = AnswerCopier(day.copies, Random(f"{day.seed}/copies"))
        self._server = PollingServer(self._now, self.copier)
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
        self.unexpected_requests: list[str] = []  # requests that are not calls
        self._submitted_count = 0
        self._ports = {name: self._server.listen(self._call_handler(name)) for name in self._group}
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._addresses: dict[int, tuple[str, int]] = {}  # of the running senders
        self._directories: dict[int, int] = {}  # ports
        self._open = True
        self._fleet: FleetProcess | None = None
        if day.shared:
            rates = {self._limit_key(key): per_s for key, per_s in limits.items() if per_s < inf}
            shared = {key: Limit.of_rate(per_s, SPAN_MS, mode) for key, per_s in rates.items()}
            self._fleet = FleetProcess(folder, day.senders, shared, mode)
        self._clients = ThreadPoolExecutor(64, "client")

    # Time and scheduling

    def _now(self) -> float:
        return (time.monotonic() - self._started_at) * 1000.0

    def _schedule(self, when: float, callback: Callable[..., None], *values: Any) -> None:
        self._server.schedule(when, callback, *values)

    def _set_refusing(self, name: str, refusing: bool) -> None:
        """Refuse connections to an endpoint and reset the open ones, or accept connections again."""
        port = self._ports[name]
        if not refusing:
            self._server.listen(self._call_handler(name), port)
            return
        self._server.stop_listening(port)
        self._server.reset_all_at(port)

    # Partners

    def _key(self, endpoint: str) -> str:
        group = self._group[endpoint]
        return endpoint if self._partners[group].profile.separate_routes else f"g{group}"

    def _limit_key(self, key: str) -> str:
        """A limit's key in the fleet."""
        return f"r{self._group[key]}/{key}" if key in self._group else key

    def _call_handler(self, name: str) -> Callable[[AcceptedConnection, Request], None]:
        return lambda connection, request: self._call_arrived(name, connection, request)

    def _call_arrived(self, name: str, connection: AcceptedConnection, request: Request) -> None:
        if request.path not in CALL_PATHS:
            self._reject_unexpected(name, connection, request)
            return
        now, group = self._now(), self._group[name]
        bundle = request.path == "/events/bundle"
        if bundle:
            ids = [item["id"] for item in json.loads(request.body)]
        else:
            ids = [request.headers.get("X-Correlation-Id")]
        if not self.checker.knows_all(ids):
            self.checker.unknown_call(now, name, ids)
            self._server.answer(connection, 404, {})
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
            self._server.end(connection, reset=True)
        elif answer.at < inf:
            self._schedule(answer.at, self._send_answer, name, connection, ids, answer, bundle)

    def _reject_unexpected(self, name: str, connection: AcceptedConnection, request: Request) -> None:
        """Answer 404 to a request of an unrelated program that uses the port."""
        self.unexpected_requests.append(f"{request.method} {request.path} at {name}")
        self._server.answer(connection, 404, {})

    def _send_answer(
        self, name: str, connection: AcceptedConnection, ids: list[str], answer: Answer, bundle: bool
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
        was_open = connection.open
        self.checker.tally.rejected += answer.end is End.FULL
        if answer.end in (End.RESET, End.MALFORMED):
            if was_open and answer.end is End.MALFORMED:
                connection.sock.send(MALFORMED_ANSWER)
            self._server.end(connection, reset=answer.end is End.RESET)
            self.checker.done(now, sender, key, ids, "maybe", False)
            return
        self._server.answer(connection, STATUS[answer.end], headers, body)
        if was_open and answer.end is End.DONE:
            self.checker.done(now, sender, key, ids, "delivered", False)
        elif answer.end is not End.FULL:
            self.checker.done(now, sender, key, ids, "maybe", False)

    def _take_over(self, name: str, old: str) -> None:
        """Give an endpoint another's address; connections open there are reset."""
        unused, port = self._ports[name], self._ports[old]
        self._ports[name] = port
        self._server.stop_listening(unused)
        self._server.stop_listening(port)
        self._server.reset_all_at(port)
        self._server.listen(self._call_handler(name), port)

    def _break_watches(self) -> None:
        """Reset all watches as a directory outage begins."""
        watches, self._watches = self._watches, []
        for connection, _, _, _ in watches:
            self._server.end(connection, reset=True)

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
                self._set_refusing(change.endpoint, after)
        if change.limit is not None:
            self._partners[self._group[change.endpoint]].scale_limit(change.limit)
        if change.state:
            self._schedule(self._now() + self.day.list_lag_ms, self._publish_change, change)

    # Discovery and platform

    def _publish_change(self, change: Change) -> None:
        self._states[change.endpoint] = EndpointState(change.state)
        self._version += 1
        self._changed[change.endpoint] = self._version
        if self.day.unavailable_until(Service.DIRECTORY, self._now()) > self._now():
            return  # the next watch reports it
        watches, self._watches = self._watches, []
        for connection, sender, since, _ in watches:
            self._send_list(connection, sender, since, False)

    def _list_entry(self, name: str) -> dict[str, Any]:
        group = self._group[name]
        return {
            "name": name,
            "address": f"127.0.0.1:{self._ports[name]}",
            "zone": self.day.zones.get(name, ""),
            "type": self._kinds[group],
            "group": group,
            "status": LIST_STATES[self._states[name]],
            "weight": self._partners[group].rating,
            "since_ms": 0,
        }

    def _service_handler(self, sender: str) -> Callable[[AcceptedConnection, Request], None]:
        def serve(connection: AcceptedConnection, request: Request) -> None:
            service = Service.PLATFORM if request.method == "POST" else Service.DIRECTORY
            if self.day.unavailable_until(service, self._now()) > self._now():
                self._server.end(connection, reset=True)
                return
            if request.method == "POST":
                for line in request.body.splitlines():
                    item = json.loads(line)
                    self.checker.notice(self._now(), item["id"], item["status"])
                    if item["status"] == "deferred":
                        self._retry(item["id"], item.get("again_ms", 0.0))
                self._server.answer(connection, 204, {})
                return
            query = parse_qs(urlsplit(request.path).query)
            since = int(query["since"][0]) if "since" in query else None
            if since is None or since != self._version:
                self._send_list(connection, sender, since or 0, since is None)
                return
            self._watches.append((connection, sender, since, False))
            wait = float(query.get("timeout_ms", ["0"])[0])
            self._schedule(self._now() + wait, self._watch_expired, connection, sender, since)

        return serve

    def _watch_expired(self, connection: AcceptedConnection, sender: str, since: int) -> None:
        for watch in self._watches:
            if watch[0] is connection and watch[2] == since:
                self._watches.remove(watch)
                self._send_list(connection, sender, since, False)
                return

    def _send_list(self, connection: AcceptedConnection, sender: str, since: int, snapshot: bool) -> None:
        names = [name for name in self._group if snapshot or self._changed[name] > since]
        if snapshot:
            names = [name for name in names if self._states[name] is not EndpointState.GONE]
        update = {
            "index": self._version,
            "snapshot": snapshot,
            "endpoints": [self._list_entry(n) for n in names],
        }
        for name in names:
            self.checker.listed(self._now(), sender, name, self._states[name] is EndpointState.READY)
        self._server.answer(connection, 200, {}, json.dumps(update).encode())

    # Senders

    def _directory_port(self, index: int) -> int:
        """The port of a sender's directory."""
        if index not in self._directories:
            self._directories[index] = self._server.listen(self._service_handler(f"n{index}"))
        return self._directories[index]

    def _config(self, index: int) -> dict[str, Any]:
        names = [name for name, state in self._states.items() if state is EndpointState.READY]
        return {
            "discovery": f"127.0.0.1:{self._directory_port(index)}",
            "seed": f"{self.day.seed * 1000 + index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 8},
            "known": {"index": 1, "snapshot": True, "endpoints": [self._list_entry(n) for n in names]},
            "settings": self.day.settings(index),
        }

    def _start_fleet(self, fleet: FleetProcess) -> None:
        directories = {index: self._directory_port(index) for index in range(self.day.senders)}
        self._addresses = fleet.start(self._config(0), directories)
        threading.Thread(target=self._poll_fleet, args=(fleet,), name="fleet", daemon=True).start()

    def _poll_fleet(self, fleet: FleetProcess) -> None:
        """Keep the addresses up to date: the daemon restarts instances."""
        while self._open:
            self._addresses = fleet.addresses()
            time.sleep(0.05)

    def _start(self, index: int) -> None:
        folder = self._folder / f"n{index}"
        (folder / "state").mkdir(parents=True, exist_ok=True)
        raw = self._config(index) | {"name": f"n{index}", "listen": "127.0.0.1:0"}
        raw |= {"state": str(folder / "state")}
        config_file = folder / "config.json"
        config_file.write_text(json.dumps(raw))
        env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        log = (folder / "log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", "springspread"], env={**env, "RELAY_CONFIG": str(config_file)}, stderr=log
        )
        log.close()
        self._processes[index] = process
        self._addresses[index] = _wait_until_ready(process, folder / "log")

    def _stop_sender(self, sender_outage: SenderOutage) -> None:
        self.checker.sender_down(
            f"n{sender_outage.sender}", sender_outage.at, sender_outage.back_at + RESTART_MS
        )
        if self._fleet is not None:
            self._fleet.send(sender_outage.sender, SIGNALS[sender_outage.stop_mode])
            if sender_outage.stop_mode is StopMode.FREEZE:
                self._schedule(sender_outage.back_at, self._fleet.send, sender_outage.sender, signal.SIGCONT)
            return
        process = self._processes[sender_outage.sender]
        if sender_outage.stop_mode is StopMode.FREEZE:
            process.send_signal(signal.SIGSTOP)
            self._schedule(sender_outage.back_at, process.send_signal, signal.SIGCONT)
            return
        del self._addresses[sender_outage.sender]
        process.send_signal(SIGNALS[sender_outage.stop_mode])
        self._schedule(sender_outage.back_at, self._restart_in_background, sender_outage.sender)

    def _restart_in_background(self, sender: int) -> None:
        # A start would block the polling thread for too long.
        threading.Thread(target=self._restart, args=(sender,), name="start", daemon=True).start()

    def _restart(self, sender: int) -> None:
        self._processes[sender].wait()
        self._start(sender)

    # Clients

    def _submit(
        self,
        arrival: Arrival,
        retries_left: int,
        first_at: float,
        unconfirmed: bool = False,
        first: bool = True,
    ) -> None:
        spec = next(spec for spec in CLASSES if spec.name == arrival.cls)
        time_left_ms = first_at + spec.deadline_ms - self._now()
        if time_left_ms <= 0:
            return
        candidates = [(arrival.sender + n) % self.day.senders for n in range(self.day.senders)]
        addresses = self._addresses  # replaced as a whole by ``_poll_fleet``
        available = [sender for sender in candidates if sender in addresses]
        if not available:
            self._schedule(
                self._now() + self.day.retry_ms,
                self._submit,
                arrival,
                retries_left,
                first_at,
                unconfirmed,
                first,
            )
            return
        self._submitted_count += 1
        id, sender = f"m{self._submitted_count}", available[0]
        self._submissions[id] = (arrival, retries_left, first_at)
        repeat = "again" if unconfirmed else "1" if retries_left < self.day.retries else ""
        now, group = self._now(), arrival.group
        self.checker.submitted(now, f"n{sender}", id, spec.name, group, time_left_ms, first_at, not first)
        self._clients.submit(self._send_message, id, arrival, time_left_ms, addresses[sender], repeat)

    def _send_message(
        self, id: str, arrival: Arrival, time_left_ms: float, address: tuple[str, int], repeat: str
    ) -> None:
        headers = {
            "Host": "town",
            "X-Correlation-Id": id,
            "X-Service-Class": arrival.cls,
            "X-Time-Left-Ms": str(max(int(time_left_ms), 1)),
            "X-Consignee": f"dest={arrival.group}",
        }
        if repeat:
            headers["X-Repeat"] = repeat
        until = time.monotonic() * 1000.0 + CLIENT_TIMEOUT_MS
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
                self._retry(id, 0.0, unanswered=not status)

    def _retry(self, id: str, after_ms: float, unanswered: bool = False) -> None:
        """Submit a message again: refused with a retry left, or unanswered (marked as a repeat)."""
        arrival, retries_left, first_at = self._submissions[id]
        if retries_left or unanswered:
            when, remaining = (
                self._now() + max(after_ms, self.day.retry_ms),
                retries_left if unanswered else retries_left - 1,
            )
            if unanswered:  # the sender may be frozen
                arrival = replace(arrival, sender=(arrival.sender + 1) % self.day.senders)
            self._schedule(when, self._submit, arrival, remaining, first_at, unanswered, False)

    def current_troubles(self) -> dict[str, str]:
        """The current faults, by partner."""
        found: dict[str, str] = {}
        for group, partner in self._partners.items():
            for name, endpoint in partner.endpoints.items():
                trouble, warmth = endpoint.condition.trouble, endpoint.warmth(self._now())
                texts = [trouble.value] if trouble is not Trouble.NONE else []
                if warmth < 1.0 and not texts:
                    texts.append(f"warming up ({warmth:.0%})")
                if self._states[name] is EndpointState.DRAINING:
                    texts.append("draining")
                if texts:
                    found[f"{self._kinds[group]} {group}"] = ", ".join(texts)
        return found

    def play(
        self,
        on_progress: Callable[[float, Checker, dict[str, str]], None] | None = None,
        tail_ms: float = inf,
    ) -> RunResult:
        """Start the senders and play the day.

        ``on_progress`` gets the time (ms), the checker and the partners' faults once a second. The run
        waits at most ``tail_ms`` after the day for final statuses; those not due by then are not checked.
        """
        self._submissions: dict[str, tuple[Arrival, int, float]] = {}
        if self._fleet is not None:
            self._start_fleet(self._fleet)
        else:
            for index in range(self.day.senders):
                self._start(index)
        self._started_at = time.monotonic() + 0.5
        for arrival in self.day.arrivals:
            self._schedule(arrival.at, self._submit, arrival, self.day.retries, arrival.at)
        for change in self.day.changes:
            self._schedule(change.at, self._change, change)
        for outage in self.day.outages:
            if outage.service is Service.PLATFORM:
                self.checker.platform_down(outage.begin, outage.end)
            else:
                self._schedule(outage.begin, self._break_watches)
        for sender_outage in self.day.deaths:
            self._schedule(sender_outage.at, self._stop_sender, sender_outage)
        longest = max(spec.deadline_ms for spec in CLASSES)
        end, reported_at = self.day.length_ms + min(longest + 1000.0, tail_ms), 0.0
        while self._now() < end and not (self._now() > self.day.length_ms and self._all_finished()):
            time.sleep(0.05)
            if on_progress is not None and self._now() >= reported_at + 1000.0:
                reported_at = self._now()
                with self._server.lock:
                    on_progress(reported_at, self.checker, self.current_troubles())
        with self._server.lock:
            self.checker.close(end)
        late = sorted(self._server.late_ms) or [0.0]
        return RunResult(self.checker, (late[int(0.99 * (len(late) - 1))], late[-1]))

    def _all_finished(self) -> bool:
        with self._server.lock:
            return not self.checker.open and not self._server.is_scheduled(self._submit)

    def close(self) -> None:
        """Stop the senders and close every socket."""
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


def _wait_until_ready(process: subprocess.Popen[bytes], log: Path) -> tuple[str, int]:
    """The address of a starting sender, from its log."""
    end = time.monotonic() + READY_S
    while time.monotonic() < end and process.poll() is None:
        for line in log.read_text().splitlines():
            if '"event": "ready"' in line:
                host, _, port = json.loads(line)["listen"].rpartition(":")
                return host, int(port)
        time.sleep(0.02)
    raise RuntimeError(f"sender did not become ready: {log.read_text()[-500:]}")
