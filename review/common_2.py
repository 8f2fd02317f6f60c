"""Shared parts of the cases 6 to 10: the sender as a process, and stand-ins for its peers on loopback.

Standard library only. Times are milliseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LATE_MS = 50.0  # each time limit of the rules is this much longer on sockets


def now() -> float:
    """The time (ms)."""
    return time.monotonic() * 1000.0


class NotRun(Exception):
    """The case could not be played as it is meant."""


class Record:
    """The case's ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.begun = now()

    def add(self, *words: object, at: float | None = None) -> None:
        """Add a line with its time since the start."""
        moment = (now() if at is None else at) - self.begun
        with self._lock:
            self._file.write(f"{moment:9.1f} {' '.join(map(str, words))}\n")
            self._file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form of the first message of the simulator's wire."""
    base: dict[str, Any] = {
        "balancers": 2,
        "classes": [
            {
                "name": "status-notice",
                "objectiveMs": 1000.0,
                "deadlineMs": 8000.0,
                "effect": "repeatable",
                "points": 1.0,
                "lateWorth": 0.1,
                "stream": False,
            },
            {
                "name": "fee-payment",
                "objectiveMs": 4000.0,
                "deadlineMs": 28000.0,
                "effect": "once",
                "points": 2.0,
                "lateWorth": 0.5,
                "stream": False,
            },
        ],
        "clientHabits": {"marksRetry": True},
        "discovery": "ask",
        "family": "deliver",
        "feedback": {"how": "answers", "fields": ["x0", "x1"]},
        "index": 0,
        "kinds": ["state-portal", "county-office", "dealer"],
        "limits": {
            "attemptsCap": 8,
            "cancelling": True,
            "connIdleMs": 5000.0,
            "connectTimeoutMs": 1000.0,
            "maxRetryAfterMs": 2000.0,
            "mostHeld": 93,
            "probing": True,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 8,
        },
        "rules": {
            "answerSlackMs": 20.0,
            "coldShare": 0.13,
            "drainGraceMs": 500.0,
            "fallMs": 2000.0,
            "fallMultiple": 2.5,
            "mustAskInMs": 10000.0,
            "warmWithinMs": 12000.0,
        },
        "specifics": {
            "callsOut": 15,
            "carriage": [0.0, 0.03],
            "fades": "halving",
            "perCall": [5, 1, 1],
            "separateRoutes": [True, False, False],
        },
        "tickMs": 5.0,
        "weightSource": "rough",
        "worthBy": "request",
        "zone": 0,
        "zones": ["north-bldg", "south-bldg"],
    }
    for path, value in changes.items():
        place = base
        *parents, last = path.split("__")
        for parent in parents:
            place = place[parent]
        place[last] = value
    return base


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    sock.close()


@dataclass(eq=False)
class Request:
    """One whole request, with the times of its first and last byte."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_at: float
    last_at: float


def read_request(sock: socket.socket) -> Request | None:
    """The next whole request of a connection; ``None`` at its end."""
    data, first_at = b"", 0.0
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None
        first_at = first_at or now()
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    while len(body) < int(headers.get("content-length", "0")):
        piece = sock.recv(65536)
        if not piece:
            return None  # its last byte never came: nothing has begun
        body += piece
    return Request(method, target, headers, body, first_at, now())


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """An HTTP answer."""
    fields = {"Content-Length": str(len(body)), **{n.replace("_", "-"): v for n, v in headers.items()}}
    if status == 204:
        del fields["Content-Length"]
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode() + b"\r\n" + body


class Server:
    """A listener on loopback with a thread for each connection."""

    def __init__(self, backlog: int = 256) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self._listener.settimeout(0.01)
        self.port: int = self._listener.getsockname()[1]
        self.accepting = threading.Event()
        self.accepting.set()
        self.sockets: set[socket.socket] = set()
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    def _accept(self) -> None:
        while not self._closed:
            if not self.accepting.wait(0.05):
                continue
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            while (request := read_request(sock)) is not None:
                if not self.handle(sock, request):
                    return
        self.sockets.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def handle(self, sock: socket.socket, request: Request) -> bool:
        """Serve a request; false: the connection stays open, and is not read any more."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Refuse new connections."""
        self._closed = True
        self._listener.close()

    def close_open(self) -> None:
        """End the open connections."""
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


@dataclass
class Run:
    """One message that an endpoint began, as its last byte had come."""

    endpoint: str
    id: str
    key: str
    first_at: float
    last_at: float


@dataclass
class World:
    """What all endpoints have begun."""

    record: Record
    runs: list[Run] = field(default_factory=list)


class Endpoint(Server):
    """An endpoint that takes its time for each call and answers 200, unless ``special`` does otherwise.

    ``special(endpoint, sock, request)``: returns ``None`` to leave the call to the endpoint, else what
    ``handle`` returns.
    """

    def __init__(
        self,
        world: World,
        name: str,
        group: int,
        kind: str = "dealer",
        zone: str = "north-bldg",
        service_ms: float = 350.0,
        special: Callable[[Endpoint, socket.socket, Request], bool | None] | None = None,
        backlog: int = 256,
        weight: float = 30.0,
    ) -> None:
        self.world, self.name, self.group, self.kind, self.zone = world, name, group, kind, zone
        self.service_ms, self.special, self.weight = service_ms, special, weight
        super().__init__(backlog)

    def line(self, status: str = "Ready") -> dict[str, Any]:
        """Its line in discovery's list."""
        return line(self.name, self.address, self.group, self.kind, self.zone, status, self.weight)

    def handle(self, sock: socket.socket, request: Request) -> bool:
        """Serve a call; each of its messages begins now."""
        if request.method == "GET":
            sock.sendall(answer(200))
            return True
        bundle = request.target == "/events/bundle"
        items = json.loads(request.body) if bundle else []
        header = request.headers.get
        found = [(one["id"], one.get("key", "")) for one in items] or [
            (header("x-correlation-id", ""), header("idempotency-key", ""))
        ]
        for id, key in found:
            self.world.runs.append(Run(self.name, id, key, request.first_at, request.last_at))
            self.world.record.add("call", self.name, id, key, at=request.last_at)
        if self.special is not None and (done := self.special(self, sock, request)) is not None:
            return done
        time.sleep(self.service_ms / 1000.0)
        body = json.dumps([{"id": id, "state": "done"} for id, _ in found]).encode() if bundle else b""
        sock.sendall(answer(200, body))
        self.world.record.add("answered", self.name, 200, *(id for id, _ in found))
        return True


def line(
    name: str, address: str, group: int, kind: str, zone: str, status: str = "Ready", weight: float = 30.0
) -> dict[str, Any]:
    """A line of discovery's list."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": kind,
        "group": group,
        "status": status,
        "weight": weight,
        "since_ms": 0,
    }


class Discovery(Server):
    """Discovery and the platform.

    ``mode``: "up"; "down": each list request is reset; "silent": it gets no answer, and gets none later;
    "crowded": it waits in line for ``line_ms``, and is turned away with 503. Notices are always taken.
    """

    def __init__(self, record: Record, members: list[dict[str, Any]], name: str = "discovery") -> None:
        self.record, self.name, self.mode, self.line_ms = record, name, "up", 1000.0
        self.version = self.oldest = 1  # changes since ``oldest`` are known
        self._members = {member["name"]: member for member in members}
        self._changed = dict.fromkeys(self._members, 1)
        self._condition = threading.Condition()
        self.notices: list[dict[str, Any]] = []
        self.noticed_at: dict[str, float] = {}  # when the first notice of a message came whole, by id
        self.quiet_notices = 0  # so many of the next connections for notices fall quiet
        self.told: dict[int, float] = {}  # when a version was written whole
        self.requests = 0
        super().__init__()

    def snapshot(self) -> dict[str, Any]:
        """The whole list."""
        present = [member for member in self._members.values() if member["status"] != "Gone"]
        return {"index": self.version, "snapshot": True, "endpoints": present}

    def change(self, name: str, status: str) -> float:
        """Change an endpoint's status; returns when."""
        with self._condition:
            self.version += 1
            self._members[name] = {**self._members[name], "status": status}
            self._changed[name] = self.version
            self.record.add("list", self.name, "version", self.version, name, status)
            self._condition.notify_all()
            return now()

    def replace(self, gone: str, member: dict[str, Any]) -> float:
        """An endpoint has gone, and another one is listed; returns when."""
        with self._condition:
            self.version += 1
            self._members[gone] = {**self._members[gone], "status": "Gone"}
            self._members[member["name"]] = member
            self._changed[gone] = self._changed[member["name"]] = self.version
            self.record.add("list", self.name, "version", self.version, gone, "Gone", member["name"], "Ready")
            self._condition.notify_all()
            return now()

    def set_mode(self, mode: str) -> float:
        """Change the mode; watches that are open take part in it."""
        with self._condition:
            self.mode = mode
            self._condition.notify_all()
        self.record.add("discovery", self.name, mode)
        return now()

    def forget_changes(self) -> None:
        """Keep no earlier changes: an older version is answered with the whole list."""
        self.oldest = self.version

    def handle(self, sock: socket.socket, request: Request) -> bool:
        """Serve a list request or a notice."""
        if request.method == "POST":
            if self.quiet_notices > 0:
                self.quiet_notices -= 1
                self.record.add("quiet", self.name, request.body.decode().replace("\n", " "))
                return False  # it stays open; what was written to it does not arrive, nor does an answer
            for text in request.body.splitlines():
                self.notices.append(json.loads(text))
                self.noticed_at.setdefault(self.notices[-1]["id"], now())
                self.record.add("notice", self.name, text.decode())
            sock.sendall(answer(204))
            return True
        query = parse_qs(urlsplit(request.target).query)
        since = int(query["since"][0]) if "since" in query else None
        wait_ms = min(float(query.get("timeout_ms", ["0"])[0]), 60_000.0)
        self.requests += 1
        mode = self.mode
        if mode == "up":
            with self._condition:
                self._condition.wait_for(
                    lambda: since is None or self.version > since or self.mode != "up", wait_ms / 1000.0
                )
                mode = self.mode
                body = self._answer(since)
        if mode == "silent":
            self.record.add("list request", self.name, request.target, "no answer")
            return False
        if mode == "down":
            self.record.add("list request", self.name, request.target, "reset")
            reset(sock)
            return False
        if mode == "crowded":
            time.sleep(self.line_ms / 1000.0)
            self.record.add("list request", self.name, request.target, 503)
            sock.sendall(answer(503))
            return True
        text = json.dumps(body, separators=(",", ":")).encode()
        sock.sendall(answer(200, text))
        self.told.setdefault(body["index"], now())
        if since is None or body["endpoints"]:
            facts = ("lines", len(body["endpoints"]), "bytes", len(text), "snapshot", body["snapshot"])
            self.record.add("list request", self.name, request.target, "version", body["index"], *facts)
        return True

    def _answer(self, since: int | None) -> dict[str, Any]:
        if since is None or since < self.oldest:
            return self.snapshot()
        changed = [self._members[name] for name, version in self._changed.items() if version > since]
        return {"index": self.version, "snapshot": False, "endpoints": changed}


class Sender:
    """The real sender, started with the deploy file's ``run``."""

    def __init__(
        self,
        record: Record,
        work: Path,
        config: dict[str, Any],
        discovery: Discovery,
        known: dict[str, Any] | None = None,
        fd: int = -1,
        port: int = 0,
        name: str = "n1",
    ) -> None:
        self.record, self.work, self.config, self.discovery, self.name = record, work, config, discovery, name
        self.known, self.fd = known or discovery.snapshot(), fd
        self.port = port or free_port()
        self.state, self.file = work / "state", work / f"{name}.json"
        self.state.mkdir(exist_ok=True)
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, discovery: Discovery) -> None:
        """Replace the configuration file."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": discovery.address,
                    "seed": f"{1000 + self.starts:x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                    "known": self.known,
                    "settings": self.config,
                }
            )
        )
        fresh.replace(self.file)

    def start(self, mgmt: int = 0) -> float:
        """Start the process; returns when."""
        self.starts += 1
        self.write_config(self.discovery)
        temporary = Path(tempfile.mkdtemp(dir=self.work))
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "RELAY_CONFIG": str(self.file),
            "RELAY_STATE": str(self.state),
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": self.discovery.address,
            "RELAY_NAME": self.name,
            "RELAY_LOG_LEVEL": os.environ.get("RELAY_LOG_LEVEL", "info"),
        }
        if self.fd >= 0:
            env["RELAY_FD"] = str(self.fd)
        if mgmt:
            env["RELAY_MGMT"] = f"127.0.0.1:{mgmt}"
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.work / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(self.fd,) if self.fd >= 0 else (),
            )
        self.record.add("start", self.name)
        return now()

    def wait_ready(self, within_s: float = 20.0) -> float:
        """Wait until its health check says yes; returns when."""
        end = now() + within_s * 1000.0
        while now() < end:
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=0.5)
                connection.request("GET", "/_health")
                status = connection.getresponse().status
                connection.close()
                if status == 200:
                    self.record.add("ready", self.name)
                    return now()
            if self.process is not None and self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise NotRun(f"the sender is not ready: {self.log_tail()}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self.record.add("signal", self.name, number.name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10.0)

    def move(self, discovery: Discovery) -> float:
        """Give it another discovery with SIGHUP; returns when."""
        self.discovery = discovery
        self.write_config(discovery)
        self.send(signal.SIGHUP)
        return now()

    def log_tail(self) -> str:
        """The end of its log."""
        path = self.work / f"{self.name}.log"
        return path.read_text(errors="replace")[-2000:] if path.exists() else ""


def free_port() -> int:
    """A port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Clients:
    """Clients of one sender: each hands in one message at a time, waits 400 ms, and keeps its connection."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self._count = 0
        self._lock = threading.Lock()
        self._idle: list[http.client.HTTPConnection] = []
        self.statuses: dict[str, int] = {}  # 0: no answer
        self.due: dict[str, float] = {}  # until when it may be delivered, counted from its sending

    def hand_in(
        self, cls: str, group: int, left_ms: int, body: bytes = b"{}", prefix: str = "m", **headers: str
    ) -> tuple[str, int]:
        """Hand in one message; returns its id and the answer's status."""
        with self._lock:
            self._count += 1
            id = f"{prefix}{self._count:05d}"
            kept = self._idle.pop() if self._idle else None
        fields = {
            "X-Correlation-Id": id,
            "X-Service-Class": cls,
            "X-Time-Left-Ms": str(left_ms),
            "X-Consignee": f"dest={group}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        status = 0
        self.due[id] = now() + left_ms
        # A request that crosses the close of a kept connection is sent once more on a new one.
        for connection in [kept] * (kept is not None) + [self._connect()]:
            assert connection is not None
            try:
                connection.request("POST", "/api", body, fields)
                response = connection.getresponse()
                response.read()
                status = response.status
                if not response.will_close:
                    with self._lock:
                        self._idle.append(connection)
                break
            except TimeoutError:
                connection.close()
                break
            except (OSError, http.client.HTTPException):
                connection.close()
        self.statuses[id] = status
        self.record.add("handed in", id, cls, f"dest={group}", "status", status)
        return id, status

    def _connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=0.4)

    def steady(
        self, cls: str, group: int, left_ms: int, per_s: float, stop: threading.Event, prefix: str = "m"
    ) -> None:
        """Hand in messages at a steady pace, until ``stop``, on threads of their own."""

        def run() -> None:
            at = now()
            while not stop.is_set():
                threading.Thread(
                    target=self.hand_in, args=(cls, group, left_ms, b"{}", prefix), daemon=True
                ).start()
                at += 1000.0 / per_s
                stop.wait(max(at - now(), 0.0) / 1000.0)

        threading.Thread(target=run, daemon=True).start()


def until(condition: Callable[[], object], what: str, within_s: float = 15.0) -> None:
    """Wait until a condition holds; raises ``NotRun``."""
    end = now() + within_s * 1000.0
    while not condition():
        if now() > end:
            raise NotRun(f"waited in vain for {what}")
        time.sleep(0.01)


def play(folder: Path, case: Callable[[Record, Path, list[Sender]], int]) -> None:
    """Play a case and exit with its result; ends every sender that it put on its list."""
    record, senders = Record(folder), list[Sender]()
    result = NOT_RUN
    record.add("trouble", "on" if TROUBLE else "off")
    with tempfile.TemporaryDirectory(prefix="case-") as work:
        try:
            result = case(record, Path(work), senders)
        except NotRun as exc:
            record.add("not run:", exc)
        except Exception:  # a fault of the case is no finding
            record.add("not run:", traceback.format_exc())
        finally:
            for sender in senders:
                sender.end()
            if os.environ.get("KEEP_LOG"):
                for sender in senders:
                    Path(os.environ["KEEP_LOG"]).write_text(
                        (Path(work) / f"{sender.name}.log").read_text(errors="replace")
                    )
            record.add("result", result)
            print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result], flush=True)
            sys.stdout.flush()
    os._exit(result)
