"""Stand-ins for the services around a fleet under test: partner, discovery and platform, on one port."""

from __future__ import annotations

import json
import sys
import threading
import time
from collections import Counter, defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

GROUP = 7
UNSAFE = "payment"  # the class whose calls may run once


class ExternalServices:
    """Serves until ``close``. Times are milliseconds of the monotonic clock.

    By message: ``call_counts``, ``first_call_at``, ``notices`` (the statuses in its notices) and
    ``notice_at`` (when the first of them came). ``arrivals`` has the time of each call in order. While
    ``rejecting`` is set the partner rejects every call.
    """

    def __init__(self) -> None:
        self.call_counts: Counter[str] = Counter()
        self.notices: defaultdict[str, set[str]] = defaultdict(set)
        self.notice_at: dict[str, float] = {}
        self.arrivals: list[float] = []
        self.first_call_at: dict[str, float] = {}
        self.lock = threading.Lock()
        self.closed, self.rejecting = threading.Event(), threading.Event()
        self.server = _Server(("127.0.0.1", 0), type("Handler", (_Handler,), {"services": self}))
        self.server.daemon_threads = True
        self.port = int(self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, name="external-services", daemon=True).start()

    def members(self, name: str = "s-1", port: int = 0) -> dict[str, Any]:
        """A discovery answer with one endpoint: the partner's own, or one at another port."""
        endpoint = {"name": name, "address": f"127.0.0.1:{port or self.port}", "zone": "a", "type": "portal"}
        endpoint |= {"group": str(GROUP), "status": "Ready"}
        listed: dict[str, Any] = {**endpoint, "group": GROUP, "weight": 1000.0, "since_ms": 0}
        return {"index": 1, "snapshot": True, "endpoints": [listed]}

    def configuration(self) -> dict[str, Any]:
        """The configuration file of a sender."""
        settings = {
            "classes": [
                {
                    "name": "notice",
                    "objectiveMs": 1000,
                    "deadlineMs": 8000,
                    "effect": "repeatable",
                    "points": 1,
                },
                {
                    "name": UNSAFE,
                    "objectiveMs": 1000,
                    "deadlineMs": 8000,
                    "effect": "once",
                    "points": 1,
                },
            ],
            "kinds": ["portal"],
            "zones": ["a"],
            "discovery": "ask",
            "weightSource": "rough",
            "tickMs": 5,
            "limits": {"attemptsCap": 8, "cancelling": True, "connIdleMs": 5000, "mostHeld": 200},
            "rules": {"drainGraceMs": 500, "mustAskInMs": 10000},
            "specifics": {"callsOut": 5},
        }
        limits = {"memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        address = f"127.0.0.1:{self.port}"
        return {
            "discovery": address,
            "seed": "1",
            "known": self.members(),
            "limits": limits,
            "settings": settings,
        }

    @property
    def ended(self) -> set[str]:
        """Messages with an outcome: delivered, or reported to the platform."""
        with self.lock:
            return set(self.call_counts) | set(self.notices)

    def close(self) -> None:
        """Stop serving."""
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()


class _Server(ThreadingHTTPServer):
    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that broke because the caller was killed."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class _Handler(BaseHTTPRequestHandler):
    services: ExternalServices
    protocol_version = "HTTP/1.1"

    def _reply(self, status: int, body: bytes = b"") -> None:
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        try:
            self.wfile.write(body)
        except OSError:  # the caller was killed
            self.close_connection = True

    def do_GET(self) -> None:
        """Answer a list request or a watch."""
        query = parse_qs(urlsplit(self.path).query)
        if "since" not in query:
            self._reply(200, json.dumps(self.services.members()).encode())
            return
        wait_ms = float(query.get("timeout_ms", ["0"])[0])
        self.services.closed.wait(wait_ms / 1000.0)  # the list never changes
        self._reply(200, json.dumps({"index": 1, "snapshot": False, "endpoints": []}).encode())

    def do_POST(self) -> None:
        """Accept a call, or notices to the platform."""
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return
        if self.path == "/v2/finals":
            with self.services.lock:
                for notice in map(json.loads, body.splitlines()):
                    self.services.notices[notice["id"]].add(notice["status"])
                    self.services.notice_at.setdefault(notice["id"], time.monotonic() * 1000.0)
            self._reply(204)
            return
        if self.services.rejecting.is_set():
            self._reply(429)
            return
        id, now = self.headers.get("X-Correlation-Id", ""), time.monotonic() * 1000.0
        with self.services.lock:
            self.services.call_counts[id] += 1
            self.services.arrivals.append(now)
            self.services.first_call_at.setdefault(id, now)
        self._reply(200)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""
