"""Stand-ins for the cases of the second review: partners' endpoints, discovery with the platform, a client.

Standard library only, loopback only. They follow the users' pages; a case makes one of them misbehave within
the limits that those pages set. ``Case`` starts the sender with the deploy file's ``run`` and ends it.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played: neither a pass nor a failure."""


def now_ms() -> float:
    """Milliseconds on the monotonic clock."""
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run: a line each in ``record.txt``, with milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._lock = threading.Lock()
        self._start = now_ms()

    def line(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{now_ms() - self._start:10.1f} {text}\n")


@dataclass
class Call:
    """One call as its endpoint saw it. ``ids`` and ``keys`` of all its messages, in order."""

    endpoint: str
    group: int
    ids: list[str]
    keys: list[str]
    first_byte_at: float
    last_byte_at: float
    body_bytes: int


@dataclass
class Reply:
    """An answer; ``silent``: none ever comes; ``reset``: the connection is reset instead."""

    status: int = 200
    delay_ms: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    silent: bool = False
    reset: bool = False


def read_request(
    sock: socket.socket, data: bytes = b""
) -> tuple[str, str, dict[str, str], bytes, float] | None:
    """Method, target, headers (lower case), body, time of the first byte; ``None``: no whole request."""
    first = now_ms() if data else 0.0
    while b"\r\n\r\n" not in data:
        chunk = _receive(sock)
        if not chunk:
            return None
        first = first or now_ms()
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    while len(body) < int(headers.get("content-length", "0")):
        chunk = _receive(sock)
        if not chunk:
            return None
        body += chunk
    return method, target, headers, body, first


def _receive(sock: socket.socket) -> bytes:
    try:
        return sock.recv(65536)
    except OSError:
        return b""


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """An answer's bytes."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset(sock: socket.socket) -> None:
    """End a connection with a reset."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Server:
    """Accepts connections on a loopback address, with a thread for each."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, backlog: int = 512) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(backlog)
        self.host, self.port = self.listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        self.open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while self.open:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_socket, args=(sock,), daemon=True).start()

    def _serve_socket(self, sock: socket.socket) -> None:
        with suppress(OSError):
            self.serve(sock)
        with suppress(OSError):
            sock.close()

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def close(self) -> None:
        """Take no more connections."""
        self.open = False
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class Endpoint(Server):
    """A partner's endpoint. ``behave`` decides on each call; ``calls`` are those that it began."""

    def __init__(
        self,
        record: Record,
        name: str,
        group: int,
        behave: Callable[[Call], Reply],
        zone: str = "north-bldg",
        kind: str = "dealer",
    ) -> None:
        self.record, self.name, self.group, self.behave = record, name, group, behave
        self.zone, self.kind, self.status = zone, kind, "Ready"
        self.calls: list[Call] = []
        super().__init__()

    def entry(self) -> dict[str, Any]:
        """Its line in discovery's list."""
        return member(self.name, self.address, self.group, self.zone, self.kind, self.status)

    def serve(self, sock: socket.socket) -> None:
        """Serve calls, one after another."""
        while (request := read_request(sock)) is not None:
            method, target, headers, body, first = request
            if method != "POST":
                sock.sendall(answer(404))
                continue
            bundle = target == "/events/bundle"
            items = json.loads(body) if bundle else []
            ids = [item["id"] for item in items] if bundle else [headers["x-correlation-id"]]
            keys = [item.get("key", "") for item in items] if bundle else [headers.get("idempotency-key", "")]
            call = Call(self.name, self.group, ids, keys, first, now_ms(), len(body))
            self.calls.append(call)
            self.record.line(f"endpoint {self.name} (group {self.group}) got {' '.join(ids)}")
            reply = self.behave(call)
            time.sleep(reply.delay_ms / 1000.0)
            if reply.reset:
                self.record.line(f"endpoint {self.name} resets {' '.join(ids)}")
                reset(sock)
                return
            if reply.silent:
                self.record.line(f"endpoint {self.name} says nothing on {' '.join(ids)}")
                while _receive(sock):
                    pass
                return
            states = [{"id": id, "state": "done"} for id in ids]
            text = json.dumps(states).encode() if bundle and reply.status == 200 else b""
            self.record.line(f"endpoint {self.name} answers {reply.status} to {' '.join(ids)}")
            sock.sendall(answer(reply.status, text, reply.headers))


def member(
    name: str, address: str, group: int, zone: str, kind: str, status: str = "Ready"
) -> dict[str, Any]:
    """One line of discovery's list."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": kind,
        "group": group,
        "status": status,
        "weight": 50.0,
        "since_ms": 0,
    }


class Discovery(Server):
    """Discovery and the platform. ``forget`` makes it answer watches with the whole list."""

    def __init__(self, record: Record, members: list[dict[str, Any]], index: int = 41) -> None:
        self.record, self.index = record, index
        self.members = {entry["name"]: entry for entry in members}
        self.history: list[tuple[int, dict[str, Any]]] = []  # changes by version
        self.oldest = index  # watches since an earlier version get the whole list
        self.changed = threading.Condition()
        self.finals: dict[str, list[tuple[float, str]]] = {}
        self.down = False
        self.lists: list[tuple[float, bool, int, int]] = []  # when, whole list, version, bytes
        super().__init__()

    def snapshot(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.members.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Make one version of some changed lines; a line that is ``Gone`` leaves the list."""
        with self.changed:
            self.index += 1
            for entry in entries:
                self.history.append((self.index, entry))
                if entry["status"] == "Gone":
                    self.members.pop(entry["name"], None)
                else:
                    self.members[entry["name"]] = entry
                self.record.line(f"discovery has {entry['name']} {entry['status']} at {entry['address']}")
            self.changed.notify_all()

    def forget(self) -> None:
        """Keep no changes: whoever asks for those since an earlier version gets the whole list."""
        with self.changed:
            self.oldest = self.index

    def go_down(self) -> None:
        """Be down: watches end, and calls end with 503."""
        with self.changed:
            self.down = True
            self.record.line("discovery is down")
            self.changed.notify_all()

    def come_back(self) -> None:
        """Be up again."""
        with self.changed:
            self.down = False
            self.record.line("discovery is up")

    def serve(self, sock: socket.socket) -> None:
        """Serve requests of one connection."""
        while (request := read_request(sock)) is not None:
            method, target, _, body, _ = request
            if method == "POST":
                self._take_notices(body)
                sock.sendall(answer(204))
                continue
            sock.sendall(self._list(target))

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            self.finals.setdefault(notice["id"], []).append((now_ms(), notice["status"]))
            self.record.line(f"platform hears {notice['status']} of {notice['id']}")

    def _list(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        with self.changed:
            if self.down:
                return answer(503)
            if "since" not in query:
                return self._written(self.snapshot())
            since, wait = int(query["since"][0]), min(float(query["timeout_ms"][0]), 60_000.0) / 1000.0
            self.changed.wait_for(lambda: self.index > since or self.down, wait)
            if self.down:
                return answer(503)
            if since < self.oldest:
                return self._written(self.snapshot())
            latest = {entry["name"]: entry for version, entry in self.history if version > since}
            return self._written({"index": self.index, "snapshot": False, "endpoints": list(latest.values())})

    def _written(self, update: dict[str, Any]) -> bytes:
        text = json.dumps(update, separators=(",", ":")).encode()
        self.lists.append((now_ms(), update["snapshot"], update["index"], len(text)))
        if update["endpoints"]:
            what = "the whole list" if update["snapshot"] else "changes"
            lines = len(update["endpoints"])
            self.record.line(
                f"discovery writes {what}, version {update['index']}, {lines} lines, {len(text)} bytes"
            )
        return answer(200, text)


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, as the wire page shows them; ``changes`` replace whole keys."""
    base: dict[str, Any] = {
        "balancers": 2,
        "index": 0,
        "zone": 0,
        "zones": ["north-bldg", "south-bldg"],
        "kinds": ["state-portal", "county-office", "dealer"],
        "classes": [
            {
                "name": "status-notice",
                "objectiveMs": 1000,
                "deadlineMs": 8000,
                "effect": "repeatable",
                "points": 1,
                "lateWorth": 0.1,
            },
            {
                "name": "fee-payment",
                "objectiveMs": 4000,
                "deadlineMs": 28000,
                "effect": "once",
                "points": 2,
                "lateWorth": 0.5,
            },
        ],
        "discovery": "ask",
        "weightSource": "rough",
        "tickMs": 5,
        "worthBy": "request",
        "feedback": {"fields": ["x0", "x1"], "how": "answers"},
        "limits": {
            "attemptsCap": 8,
            "cancelling": True,
            "connIdleMs": 5000,
            "connectTimeoutMs": 1000,
            "maxRetryAfterMs": 2000,
            "mostHeld": 93,
            "probing": True,
            "retryAfter": True,
            "secondCopies": True,
        },
        "rules": {
            "answerSlackMs": 20,
            "coldShare": 0.13,
            "drainGraceMs": 500,
            "fallMs": 2000,
            "fallMultiple": 2.5,
            "mustAskInMs": 10000,
            "warmWithinMs": 12000,
        },
        "specifics": {
            "callsOut": 15,
            "carriage": [0.0, 0.03],
            "fades": "halving",
            "perCall": [5, 1, 1],
            "separateRoutes": [True, False, False],
        },
    }
    return base | changes


class Client:
    """A client: each message goes over a connection of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.answers: dict[str, int] = {}
        self.sent: dict[str, float] = {}
        self.due: dict[str, float] = {}

    def hand_in(
        self,
        address: tuple[str, int],
        id: str,
        cls: str,
        dest: int,
        left_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"a message",
    ) -> int:
        """Hand a message in; returns the answer's status, 0 where none came within 400 ms."""
        fields = {
            "Host": "api.internal",
            "X-Correlation-Id": id,
            "X-Service-Class": cls,
            "X-Time-Left-Ms": str(left_ms),
            "Content-Length": str(len(body)),
            "X-Consignee": f"dest={dest}",
            **(headers or {}),
        }
        head = "\r\n".join(["POST /api HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())])
        status = 0
        with suppress(OSError), socket.create_connection(address, timeout=0.4) as sock:
            sock.settimeout(0.4)
            self.sent[id], self.due[id] = now_ms(), now_ms() + left_ms
            sock.sendall(head.encode() + b"\r\n\r\n" + body)
            line = sock.recv(65536).split(b" ", 2)
            status = int(line[1]) if len(line) > 1 else 0
        self.answers[id] = status
        self.record.line(f"client handed in {id} ({cls}, dest {dest}, {left_ms} ms): {status}")
        return status


class Sender:
    """One process of the sender, started as the deploy file's ``run`` says."""

    def __init__(self, case: Case, config: Path, state: Path, fd: int | None = None, **env: str) -> None:
        self.case = case
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        clean = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "SPRING"))
        }
        variables = clean | {
            "RELAY_CONFIG": str(config),
            "RELAY_STATE": str(state),
            "TMPDIR": str(case.folder),
        }
        variables |= {"RELAY_LOG_LEVEL": "debug", "PYTHONDONTWRITEBYTECODE": "1"} | env
        passed = () if fd is None else (fd,)
        case.processes_started += 1
        self.log = case.folder / f"sender-{case.processes_started}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=passed,
            )
        case.processes.append(self.process)
        case.record.line(f"sender started, pid {self.process.pid}")

    def wait_ready(self, address: tuple[str, int], within_s: float = 30.0) -> None:
        """Wait until ``GET /_health`` says 200."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"the sender ended with {self.process.returncode}")
            if health(address) == 200:
                self.case.record.line("sender is ready")
                return
            time.sleep(0.02)
        raise CannotRun("the sender was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.case.record.line(f"{number.name} to the sender, pid {self.process.pid}")
        self.process.send_signal(number)


def health(address: tuple[str, int], path: str = "/_health") -> int:
    """The status that a path answers; 0 where none comes."""
    try:
        with socket.create_connection(address, timeout=1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".encode())
            line = sock.recv(4096).split(b" ", 2)
            return int(line[1]) if len(line) > 1 else 0
    except OSError:
        return 0


def free_port() -> int:
    """A port that is free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Case:
    """A case's folder, record and processes; everything ends with it."""

    def __init__(self, name: str) -> None:
        self.place = ROOT / "review" / name
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.place / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix=f"review-{name}-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.processes_started = 0
        self.cleanups: list[Callable[[], None]] = []  # called before the processes are killed
        self.client = Client(self.record)
        self.port = free_port()
        self.address = ("127.0.0.1", self.port)

    def write_config(self, discovery: Discovery, chosen: dict[str, Any], known: Any = None) -> Path:
        """Write the sender's configuration."""
        raw: dict[str, Any] = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "settings": chosen,
        }
        if known is not None:
            raw["known"] = known
        path = self.folder / "config.json"
        path.write_text(json.dumps(raw))
        return path

    def state(self) -> Path:
        """The folder that lasts."""
        path = self.folder / "state"
        path.mkdir(exist_ok=True)
        return path

    def lost(
        self, discovery: Discovery, delivered: dict[str, float], excused_until: float = 0.0
    ) -> list[str]:
        """The rule on lost messages: 300 ms after its time is up, and 50 ms, each has its end.

        ``delivered``: when each message was; ``excused_until``: no notice is overdue before.
        """
        breaches = []
        for id, status in self.client.answers.items():
            if status not in (200, 202):
                continue
            by = max(self.client.due[id] + 300.0, excused_until) + 50.0
            ends = [at for at, _ in discovery.finals.get(id, [])]
            end = min([*ends, delivered.get(id, float("inf"))])
            if end > by:
                late = f"{end - by:.0f} ms late" if end < float("inf") else "never"
                breaches.append(f"{id}: taken on, and its end came {late}")
        return breaches

    def end(self) -> None:
        """End every process that the case started, and remove its folder."""
        for cleanup in self.cleanups:
            with suppress(OSError, subprocess.TimeoutExpired):
                cleanup()
        for process in self.processes:
            if process.poll() is None:
                with suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def play(name: str, story: Callable[[Case], list[str]], longest_s: float = 115.0) -> None:
    """Play a case and exit: 1 with breaches from ``story``, 0 without any, 2 where it couldn't run."""
    case = Case(name)
    result: list[int] = []

    def run() -> None:
        try:
            breaches = story(case)
            for breach in breaches:
                case.record.line(f"BROKEN {breach}")
            for breach in breaches[:3]:
                print(f"BROKEN {breach}")
            result.append(BROKEN if breaches else HELD)
        except CannotRun as exc:
            case.record.line(f"could not run: {exc}")
            print(f"could not run: {exc}")
            result.append(NOT_RUN)

    thread = threading.Thread(target=run, daemon=True)
    try:
        thread.start()
        thread.join(longest_s)
    finally:
        case.end()
    code = result[0] if result else NOT_RUN
    case.record.line(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
