"""For tests of the whole program: a stand-in for endpoint, discovery and platform, and the sender process."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, ClassVar, Protocol

from tests.test_config import make

WAIT_S = 10.0


def until(condition: Callable[[], object], what: str) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.01)


def serve_connections(sock: socket.socket, serve: Callable[[socket.socket], None]) -> None:
    """Serve each connection on a thread of its own, until the listening socket is closed."""

    def accept() -> None:
        while True:
            try:
                connection = sock.accept()[0]
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class QuietServer(ThreadingHTTPServer):
    """Ignores connections that broke because the sender was killed."""

    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Peer:
    """Endpoint, discovery and platform; answers as scripted and records what it receives."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.calls: list[tuple[str, str, bytes]] = []  # path, id, body
        self.keys: list[tuple[str, str]] = []  # id and idempotency key of each message, in bundles too
        self.notices: list[dict[str, Any]] = []
        self.answers: list[tuple[int, dict[str, str]]] = []  # for the next calls; after those 200
        self.notice_answers: list[int] = []
        self.watch_bodies: list[bytes] = []
        self.watches = 0
        self.list_targets: list[str] = []  # targets of the list requests
        self.answer_watches = threading.Event()  # while clear, watches hang
        self.answer_watches.set()
        self.hanging = 0  # how many watches have hung
        self.answer_calls = threading.Event()  # while clear, calls hang
        self.answer_calls.set()
        self.server = QuietServer(("127.0.0.1", 0), type("Handler", (Handler,), {"peer": self}))
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def members(self, status: str = "Ready", version: int = 1, count: int = 1) -> dict[str, Any]:
        lines = [
            {
                "name": f"s-{n}",
                "address": f"127.0.0.1:{self.port}",
                "zone": "a",
                "type": "portal",
                "group": 7,
                "status": status,
                "weight": 100.0,
                "since_ms": 0,
            }
            for n in range(count)
        ]
        return {"index": version, "snapshot": True, "endpoints": lines}

    def snapshot(self) -> dict[str, Any]:
        """The whole list at the start."""
        return self.members()

    def ids(self) -> list[str]:
        """The ids of the received messages, including those in bundles."""
        with self.lock:
            return self.ids_of(self.calls)

    @staticmethod
    def ids_of(calls: list[tuple[str, str, bytes]]) -> list[str]:
        """The ids of the messages in some calls."""
        found = []
        for path, id, body in calls:
            found += [item["id"] for item in json.loads(body)] if path == "/events/bundle" else [id]
        return found

    def close(self) -> None:
        self.answer_calls.set()
        self.answer_watches.set()
        self.server.shutdown()
        self.server.server_close()


class Handler(BaseHTTPRequestHandler):
    """One connection."""

    peer: Peer
    protocol_version = "HTTP/1.1"

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        with self.peer.lock:
            self.peer.watches += 1
            self.peer.list_targets.append(self.path)
            body = self.peer.watch_bodies.pop(0) if self.peer.watch_bodies else b""
        if not body:
            time.sleep(0.05)
            self.peer.hanging += not self.peer.answer_watches.is_set()
            self.peer.answer_watches.wait(WAIT_S)
            body = json.dumps({"index": 1, "snapshot": False, "endpoints": []}).encode()
        self.reply(200, body)

    def do_POST(self) -> None:
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        if len(body) < length:  # a call begins with its last byte: ignore an incomplete one
            self.close_connection = True
            return
        if self.path == "/v2/finals":
            with self.peer.lock:
                status = self.peer.notice_answers.pop(0) if self.peer.notice_answers else 204
                if status == 204:
                    self.peer.notices += [json.loads(line) for line in body.splitlines()]
            self.reply(status)
            return
        with self.peer.lock:
            self.peer.calls.append((self.path, self.headers.get("X-Correlation-Id", ""), body))
            self.peer.keys += self.keys_of(body)
            status, headers = self.peer.answers.pop(0) if self.peer.answers else (200, {})
        self.peer.answer_calls.wait(WAIT_S)
        answer = b""
        if self.path == "/events/bundle":
            answer = json.dumps([{"id": item["id"], "state": "done"} for item in json.loads(body)]).encode()
        self.reply(status, answer, headers)

    def keys_of(self, body: bytes) -> list[tuple[str, str]]:
        if self.path == "/events/bundle":
            return [(item["id"], item.get("key", "")) for item in json.loads(body)]
        return [(self.headers.get("X-Correlation-Id", ""), self.headers.get("Idempotency-Key", ""))]

    def log_message(self, format: str, *args: Any) -> None:
        """Nothing is logged."""


class ListSource(Protocol):
    """A stand-in for discovery and the platform."""

    port: int

    def snapshot(self) -> dict[str, Any]:
        """The whole list as discovery writes it."""


class Program:
    """The sender as a process."""

    running: ClassVar[list[subprocess.Popen[str]]] = []  # all processes that a test has started

    def __init__(
        self,
        folder: Path,
        peer: ListSource,
        sockets: int = 1024,
        tree: Path | None = None,
        known: dict[str, Any] | None = None,
        slots: int = 6,
        module: str = "springspread",
        durability: str = "process",
    ) -> None:
        self.module = module
        self.tree = tree  # checkout to run; None: this one
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        self.file = folder / "config.json"
        raw = make(self.state, discovery=f"127.0.0.1:{peer.port}", known=known or peer.snapshot())
        raw["settings"]["specifics"]["callsOut"] = slots
        raw["limits"]["sockets"] = sockets
        raw["durability"] = durability
        self.file.write_text(json.dumps(raw))
        self.start()

    def start(self) -> None:
        env = {**os.environ, "RELAY_CONFIG": str(self.file)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", self.module],
            env=env,
            cwd=self.tree,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.running.append(self.process)
        assert self.process.stderr is not None
        self.log: list[dict[str, Any]] = []
        for line in self.process.stderr:
            self.log.append(json.loads(line))
            if self.log[-1]["event"] == "ready":
                break
        host, _, port = self.log[-1]["listen"].rpartition(":")
        self.address = (host, int(port))
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(json.loads(line))

    def reload(self, text: str) -> None:
        """Replace the configuration file and reload it."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    def move(self, peer: ListSource) -> None:
        """Make another peer discovery and the platform."""
        raw = json.loads(self.file.read_text())
        self.reload(json.dumps({**raw, "discovery": f"127.0.0.1:{peer.port}"}))

    def known(self, lines: dict[str, Any]) -> None:
        """Set the list that the next process starts with."""
        raw = json.loads(self.file.read_text())
        self.file.write_text(json.dumps({**raw, "known": lines}))

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(*self.address, timeout=WAIT_S)

    def hand_in(
        self,
        id: str,
        cls: str = "note",
        body: bytes = b"hello",
        left: int = 8000,
        group: int = 7,
        extra: dict[str, str] | None = None,
    ) -> int:
        connection = self.connect()
        fields = {
            "X-Correlation-Id": id,
            "X-Service-Class": cls,
            "X-Time-Left-Ms": str(left),
            "X-Consignee": f"dest={group}",
            **(extra or {}),
        }
        connection.request("POST", "/api", body, fields)
        status = connection.getresponse().status
        connection.close()
        return status

    @classmethod
    def kill_all(cls) -> None:
        """Kill every process that is left."""
        while cls.running:
            process = cls.running.pop()
            process.kill()
            process.wait(WAIT_S)

    def end(self, how: signal.Signals = signal.SIGKILL) -> int:
        self.process.send_signal(how)
        return self.process.wait(WAIT_S)
