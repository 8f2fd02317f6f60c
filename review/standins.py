"""Stand-ins for the cases of the review: discovery and platform, endpoints, clients, the sender's process.

Each follows the users' pages; the standard library alone is used. A case records what was sent, answered and
run as JSON lines in its ``record.txt``, with times in milliseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 10, 0, 2
VERDICTS = {BROKEN: "broken", HELD: "held", NOT_RUN: "could not run"}
LONGEST_S = 110.0  # a script may take 120 s
CLIENT_WAIT_S = 0.4  # PROTOCOL: the client waits 400 ms for its answer
REASONS = {
    200: "OK",
    204: "No Content",
    404: "Not Found",
    429: "Too Many Requests",
    500: "Error",
    503: "Busy",
}


def now_ms() -> float:
    """The machine's monotonic clock, which all processes share (ms)."""
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1000.0


def say(text: str) -> None:
    """Print a line for a person; nothing depends on whether it is read."""
    with suppress(OSError):
        print(text, flush=True)


class CouldNotRun(Exception):
    """The case could not be played: it shows neither a broken rule nor one that held."""


class Record:
    """Collects events and writes each as a line of ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file, self._lock, self._start = path.open("w"), threading.Lock(), now_ms()
        self.events: list[dict[str, Any]] = []

    def add(self, event: str, at: float | None = None, **values: Any) -> None:
        """Record an event; ``at``: when it happened, by default now."""
        when = now_ms() if at is None else at
        with self._lock:
            entry = {"ms": round(when - self._start, 2), "event": event, **values}
            self.events.append(entry)
            self._file.write(json.dumps(entry) + "\n")
            self._file.flush()

    def of(self, event: str) -> list[dict[str, Any]]:
        """All events of a kind, in the order of their recording."""
        with self._lock:
            return [entry for entry in self.events if entry["event"] == event]


@dataclass
class Request:
    """One HTTP request. ``last_byte_at``: when the stand-in had read all of it (ms)."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    last_byte_at: float

    @property
    def id(self) -> str:
        """The message's id."""
        return self.headers.get("x-correlation-id", "")


@dataclass(eq=False)
class Link:
    """The server's side of one connection."""

    sock: socket.socket
    on_first_byte: Callable[[], None] | None = None
    buffer: bytes = b""

    def read_request(self) -> Request | None:
        """The next request; ``None`` if the connection ended before one was complete."""
        begun = bool(self.buffer)
        while b"\r\n\r\n" not in self.buffer:
            if not (data := self.sock.recv(65536)):
                return None
            if not begun and self.on_first_byte is not None:
                self.on_first_byte()
            begun = True
            self.buffer += data
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        size = int(headers.get("content-length", "0"))
        while len(self.buffer) < size:
            if not (data := self.sock.recv(65536)):
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        method, target, _ = first.split(" ")
        return Request(method, target, headers, body, now_ms())

    def answer(self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
        """Write an answer, and return its bytes."""
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        self.sock.sendall(data)
        return data

    def has_waiting(self) -> bool:
        """Whether bytes of a further request have come, or the connection has ended."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return bool(self.buffer)
        return True

    def reset(self) -> None:
        """End the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Server:
    """Listens on a free loopback port and serves each connection on a thread of its own."""

    def __init__(self, serve: Callable[[Link], None]) -> None:
        self._serve = serve
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(256)
        self.port: int = self._sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """``host:port``."""
        return f"127.0.0.1:{self.port}"

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(Link(sock),), daemon=True).start()

    def _run(self, link: Link) -> None:
        with suppress(OSError):
            self._serve(link)
        with suppress(OSError):
            link.sock.close()


class Platform:
    """Discovery and the platform's notices, at one address."""

    def __init__(self, record: Record) -> None:
        self._record, self._changed = record, threading.Condition()
        self._version, self._lines = 0, list[dict[str, Any]]()
        self.server = Server(self._serve)

    def set_list(self, lines: list[dict[str, Any]]) -> None:
        """Replace the list of endpoints."""
        with self._changed:
            self._version, self._lines = self._version + 1, lines
            self._changed.notify_all()

    def _serve(self, link: Link) -> None:
        link.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (request := link.read_request()) is not None:
            url = urlsplit(request.target)
            if request.method == "POST" and url.path == "/v2/finals":
                for line in request.body.splitlines():
                    notice = json.loads(line)
                    self._record.add("notice", id=notice["id"], status=notice["status"])
                link.answer(204)
            elif url.path == "/catalog/members":
                link.answer(200, json.dumps(self._list(parse_qs(url.query))).encode())
            else:
                link.answer(404)

    def _list(self, query: Mapping[str, list[str]]) -> dict[str, Any]:
        with self._changed:
            if "since" not in query:
                return {"index": self._version, "snapshot": True, "endpoints": self._lines}
            since, wait_ms = int(query["since"][0]), float(query.get("timeout_ms", ["0"])[0])
            self._changed.wait_for(lambda: self._version > since, min(wait_ms, 60_000.0) / 1000.0)
            newer = self._version > since
            return {"index": self._version, "snapshot": newer, "endpoints": self._lines if newer else []}


def line(name: str, address: str, group: int, zone: str = "a", kind: str = "portal") -> dict[str, Any]:
    """One ready endpoint of discovery's list."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": kind,
        "group": group,
        "status": "Ready",
        "weight": 100.0,
        "since_ms": 0,
    }


class Sender:
    """The sender's process, started with the deploy file's ``run``."""

    started: ClassVar[list[Sender]] = []  # all that this script has started

    def __init__(self, folder: Path, config: Mapping[str, Any], record: Record, name: str = "n1") -> None:
        self._record, self.name = record, name
        self.state, self._file = folder / "state", folder / "config.json"
        self.state.mkdir(exist_ok=True)
        self.log = folder / "log"
        port = _free_port()
        self.address = ("127.0.0.1", port)
        self._file.write_text(json.dumps({**config, "name": name, "listen": f"127.0.0.1:{port}"}))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, and wait until it answers its health check with 200."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        env = {
            **kept,
            "RELAY_CONFIG": str(self._file),
            "RELAY_STATE": str(self.state),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "RELAY_LOG_LEVEL": os.environ.get("RELAY_LOG_LEVEL", "info"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stderr=log)
        self.started.append(self)
        self._record.add("sender started", pid=self.process.pid)
        end = time.monotonic() + 20.0
        while self._health() != 200:
            if self.process.poll() is not None or time.monotonic() > end:
                raise CouldNotRun(f"the sender did not start: {self.log.read_text()[-2000:]}")
            time.sleep(0.05)
        self._record.add("sender ready")

    def _health(self) -> int:
        try:
            return request(self.address, "GET", "/_health", {}, b"")
        except OSError:
            return 0

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self) -> None:
        """Kill it, and wait for its end."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10.0)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def request(
    address: tuple[str, int], method: str, target: str, headers: Mapping[str, str], body: bytes
) -> int:
    """Make one request on a connection of its own; the status, or 0 if no answer came in time."""
    with socket.create_connection(address, timeout=CLIENT_WAIT_S) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = [f"{method} {target} HTTP/1.1", "Host: api.internal"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        sock.sendall("\r\n".join(lines).encode() + body)
        data = b""
        while b"\r\n" not in data:
            if not (more := sock.recv(4096)):
                return 0
            data += more
        return int(data[9:12])


def hand_in(
    sender: Sender,
    record: Record,
    id: str,
    cls: str,
    dest: int,
    left_ms: int,
    body: bytes,
    extra: Mapping[str, str] | None = None,
) -> bool:
    """Hand a message in as a client does; whether the sender has taken it on."""
    headers = {
        "X-Correlation-Id": id,
        "X-Service-Class": cls,
        "X-Time-Left-Ms": str(left_ms),
        "X-Consignee": f"dest={dest}",
        **(extra or {}),
    }
    sent_at = now_ms()
    try:
        status = request(sender.address, "POST", "/api", headers, body)
    except OSError:
        status = 0
    taken = status in (200, 202)
    record.add("handed in", id=id, cls=cls, status=status, sent=round(sent_at, 1), left_ms=left_ms)
    return taken


def _clean_up(scratch: Path) -> None:
    for sender in Sender.started:
        sender.end()
    if "KEEP_LOG" in os.environ:  # a file for the log of the sender started last
        for log in scratch.glob("**/log"):
            shutil.copyfile(log, os.environ["KEEP_LOG"])
    shutil.rmtree(scratch, ignore_errors=True)


def _give_up(record: Record, scratch: Path) -> None:
    """End everything: the script has run for too long, or was told to end."""
    record.add("could not run", why="stopped before its end")
    _clean_up(scratch)
    os._exit(NOT_RUN)


def play(case: Callable[[Path, Record, bool], bool], folder: Path) -> int:
    """Run a case; the script's exit status. ``case`` gets a folder, the record, and whether there is trouble.

    It returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record, scratch = Record(folder / "record.txt"), Path(tempfile.mkdtemp(prefix="review-"))
    record.add("case", folder=folder.name, trouble=trouble)
    status = NOT_RUN
    watchdog = threading.Timer(LONGEST_S, _give_up, [record, scratch])
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: _give_up(record, scratch))
    try:
        status = HELD if case(scratch, record, trouble) else BROKEN
    except CouldNotRun as exc:
        record.add("could not run", why=str(exc))
        say(f"could not run: {exc}")
    except Exception:
        record.add("could not run", why=traceback.format_exc())
        say(traceback.format_exc())
    finally:
        watchdog.cancel()
        _clean_up(scratch)
    record.add("verdict", held=status == HELD, status=status)
    say(f"case {folder.name}: {VERDICTS[status]}")
    return status
