"""Stand-ins for tests of the list of endpoints: a discovery service that can hang, refuse and reset, and an
endpoint that records when the first byte of each call arrived.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any
from urllib.parse import parse_qs, urlsplit

from springspread.core.types import clock
from tests.peer import serve_connections

NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def wait_for(condition: Callable[[], object], what: str, within_s: float = 25.0) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + within_s
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.005)


@dataclass
class Request:
    """One request and when its first byte arrived (ms, monotonic)."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float


def read_request(sock: socket.socket) -> Request | None:
    """The next request on a connection; None at its end."""
    data, first = b"", 0.0
    while b"\r\n\r\n" not in data:
        try:
            chunk = sock.recv(65536)
        except OSError:
            return None
        if not chunk:
            return None
        first = first or clock()
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
    while len(body) < int(headers.get("content-length", "0")):
        try:
            chunk = sock.recv(65536)
        except OSError:
            return None
        if not chunk:
            return None  # incomplete: the call never began
        body += chunk
    return Request(method, target, headers, body, first)


class Behavior(Enum):
    """What the stand-in does with one list request."""

    ANSWER = "answer"
    SILENT = "silent"  # nothing more is sent on its connection
    REFUSE = "refuse"
    RESET = "reset"
    CUT = "cut"  # half an answer, then nothing


@dataclass
class ListRequest:
    """A list request: when it arrived, what it asked for, and how and when it was answered."""

    at: float
    since: int | None
    behavior: Behavior
    sock: socket.socket
    wait_ms: float = 0.0
    answered_at: float = 0.0
    version: int = 0
    silent_at: float = 0.0  # when it was silenced
    reset_at: float = 0.0  # when its connection was reset


WATCH_GAP_MS = 200.0  # a request within this of the last answer on its connection continues a watch


class RequestQueue:
    """Serves requests one at a time, for several stand-ins that share one discovery.

    A request that would wait for longer than ``max_wait_ms`` is refused at once; one whose sender gives up
    while it waits still takes its time.
    """

    def __init__(self, service_ms: float, max_wait_ms: float = inf) -> None:
        self._service_ms, self._max_wait_ms = service_ms, max_wait_ms
        self._free_at = 0.0
        self._lock = threading.Lock()

    def served(self) -> bool:
        """Wait until a request is served; false if it is refused."""
        with self._lock:
            begin = max(clock(), self._free_at)
            if begin - clock() > self._max_wait_ms:
                return False
            self._free_at = end = begin + self._service_ms
        time.sleep(max(end - clock(), 0.0) / 1000.0)
        return True


@dataclass
class ListService:
    """Discovery and the platform. ``plan``: what to do with the next list requests; after those, answer."""

    members: dict[str, dict[str, Any]]
    version: int = 1
    plan: list[Behavior] = field(default_factory=list)
    list_requests: list[ListRequest] = field(default_factory=list)
    finals: list[dict[str, Any]] = field(default_factory=list)
    down: Behavior | None = None  # what to do with every list request; None: follow the plan
    answer_delay_ms: float = 0.0
    queue: RequestQueue | None = None  # of requests that do not continue a watch

    def __post_init__(self) -> None:
        self._silences = 0
        self.history: list[tuple[str, str, int]] = []  # name, status, version of each change
        self._changed = dict.fromkeys(self.members, self.version)
        self._condition = threading.Condition()
        self._open = True
        self._sockets: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        serve_connections(self._listener, self._serve)

    def snapshot(self) -> dict[str, Any]:
        """The whole list as discovery writes it."""
        return {"index": self.version, "snapshot": True, "endpoints": list(self.members.values())}

    def change(self, name: str, status: str) -> float:
        """Change an endpoint's status; returns when (ms)."""
        with self._condition:
            self.version += 1
            self.members[name] = {**self.members[name], "status": status}
            self._changed[name] = self.version
            self.history.append((name, status, self.version))
            self._condition.notify_all()
            return clock()

    def silence(self) -> float:
        """Silence every open watch: it is never answered; returns when (ms)."""
        with self._condition:
            self._silences += 1
            for one in self.list_requests:
                waits = one.behavior is Behavior.ANSWER and not one.answered_at and not one.silent_at
                if waits and one.sock in self._sockets:
                    one.silent_at = clock()
            self._condition.notify_all()
            return clock()

    def reset_watches(self) -> float:
        """Reset every connection; returns when (ms)."""
        with self._condition:
            for one in self.list_requests:
                if one.sock in self._sockets and not one.reset_at:
                    one.reset_at = clock()
            for sock in self._sockets:
                _reset(sock)
            self._sockets.clear()
            return clock()

    def answered(self, version: int) -> bool:
        """Whether an answer with this version or a newer one has been written."""
        return any(one.answered_at and one.version >= version for one in list(self.list_requests))

    def close(self) -> None:
        """Stop the stand-in."""
        with self._condition:
            self._open = False
            self._condition.notify_all()
        self._listener.close()
        self.reset_watches()

    def _serve(self, sock: socket.socket) -> None:
        with self._condition:
            self._sockets.append(sock)
        with contextlib.suppress(OSError):
            while (request := read_request(sock)) is not None:
                if request.method == "POST":
                    self.finals += [json.loads(line) for line in request.body.splitlines()]
                    sock.sendall(NO_CONTENT)
                elif not self._list(sock, request):
                    return

    def _list(self, sock: socket.socket, request: Request) -> bool:
        query = parse_qs(urlsplit(request.target).query)
        since = int(query["since"][0]) if "since" in query else None
        with self._condition:
            behavior = self.down or (self.plan.pop(0) if self.plan else Behavior.ANSWER)
            wait_ms = float(query.get("timeout_ms", ["0"])[0])
            entry = ListRequest(request.first_byte_at, since, behavior, sock, wait_ms)
            self.list_requests.append(entry)
        if behavior is Behavior.SILENT:
            return False
        if behavior is Behavior.RESET:
            _reset(sock)
            return False
        if behavior is Behavior.REFUSE:
            sock.sendall(REFUSED)
            return True
        time.sleep(self.answer_delay_ms / 1000.0)
        if self.queue is not None and not self._continues_watch(entry) and not self.queue.served():
            sock.sendall(REFUSED)
            return True
        body = self._await_answer(entry)
        if body is None:
            return False
        data = json.dumps(body).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)
        if behavior is Behavior.CUT:
            sock.sendall(answer[: len(answer) // 2])
            return False
        with self._condition:
            if sock not in self._sockets or ended(sock):
                return False  # reset or closed meanwhile: nothing is written to the sender
            entry.answered_at, entry.version = clock(), body["index"]
        sock.sendall(answer)
        return True

    def _continues_watch(self, entry: ListRequest) -> bool:
        """Whether a request continues a watch on its connection."""
        with self._condition:
            answers = [
                one.answered_at for one in self.list_requests if one.sock is entry.sock and one.answered_at
            ]
        return bool(answers) and entry.at - answers[-1] <= WATCH_GAP_MS

    def _await_answer(self, entry: ListRequest) -> dict[str, Any] | None:
        """Wait for a change or the poll's timeout, and return the answer; None if the watch was silenced."""
        since = entry.since
        with self._condition:
            if since is None:
                return self.snapshot()
            silences = self._silences
            self._condition.wait_for(
                lambda: self.version > since or self._silences > silences or not self._open,
                entry.wait_ms / 1000.0,
            )
            if entry.silent_at:
                return None
            lines = [self.members[name] for name, at in self._changed.items() if at > since]
            return {"index": self.version, "snapshot": False, "endpoints": lines}


def ended(sock: socket.socket) -> bool:
    """Whether the peer has closed its connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RD)
    sock.close()


class CallLog:
    """An endpoint that serves every call at once and records when its first byte arrived (ms)."""

    def __init__(self) -> None:
        self.calls: list[float] = []
        self.ids: list[str] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port: int = self._listener.getsockname()[1]
        serve_connections(self._listener, self._serve)

    def line(self, name: str, group: int = 7, status: str = "Ready") -> dict[str, Any]:
        """Its entry in discovery's list."""
        address = f"127.0.0.1:{self.port}"
        kind = {"zone": "a", "type": "dealer", "group": group, "weight": 1000.0, "since_ms": 0}
        return {"name": name, "address": address, "status": status, **kind}

    def after(self, limit: float) -> list[float]:
        """How long after a point in time each later call began (ms)."""
        return [round(at - limit, 1) for at in list(self.calls) if at > limit]

    def close(self) -> None:
        """Stop the stand-in."""
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        while (request := read_request(sock)) is not None:
            self.calls.append(request.first_byte_at)
            self.ids.append(request.headers.get("x-correlation-id", ""))
            sock.sendall(OK)
