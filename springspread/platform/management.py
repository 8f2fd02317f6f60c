"""The HTTP API for operators: readiness, metrics, and starting and ending a drain.

Served by a listener of its own at an address of its own, so that a flood of clients does not block operators.
One request per connection; 2xx means yes, 4xx and 5xx no.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from springspread.core.figures import Figure, Figures, Occurrence
from springspread.core.types import Message
from springspread.http1.server import Request
from springspread.platform.client_api import ClientApi, Reply

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METHODS = {"/ready": "GET", "/metrics": "GET", "/drain": "POST", "/undrain": "POST"}


class Gauges(Protocol):
    """Reports values that are measured on request."""

    def levels(self) -> Mapping[str, int]:
        """Open messages, listed endpoints, endpoints avoided, and the like, by metric name."""


class ManagementApi:
    """A request handler that answers at once: it never waits for the core."""

    def __init__(
        self, client_api: ClientApi, figures: Figures, gauges: Gauges, drain: Callable[[bool], None]
    ) -> None:
        """``drain`` starts or ends a drain of the clients' listener."""
        self._client_api, self._figures, self._gauges, self._drain = client_api, figures, gauges, drain

    def respond(
        self, request: Request, begun: float, on_verdict: Callable[[Message], None]
    ) -> Reply | Message:
        """Answer a request."""
        path = request.path.partition("?")[0]
        if path not in METHODS:
            return Reply(404, close=True)
        if request.method != METHODS[path]:
            return Reply(405, {"Allow": METHODS[path]}, close=True)
        if path == "/ready":
            return Reply(200 if self._client_api.ready else 503, close=True)
        if path == "/metrics":
            return Reply(200, {"Content-Type": CONTENT_TYPE}, body=self.metrics().encode(), close=True)
        self._client_api.draining = path == "/drain"
        self._drain(self._client_api.draining)
        return Reply(200, close=True)

    def metrics(self) -> str:
        """All metrics in the Prometheus text format."""
        lines = [f"sender_{name} {value}" for name, value in self._gauges.levels().items()]
        counts = self._figures.now()
        for figure in Figure:
            name = f"sender_{figure.value}_total"
            lines.append(f"# TYPE {name} counter")
            for (kind, cls), count in counts.items():
                if kind is figure:
                    quoted = cls.replace("\\", "\\\\").replace('"', '\\"')
                    lines.append(f'{name}{{class="{quoted}"}} {count}')
        occurrences = self._figures.occurrences()
        for occurrence in Occurrence:
            name = f"sender_{occurrence.value}_total"
            lines.append(f"# TYPE {name} counter")
            for (what, reason), count in occurrences.items():
                if what is occurrence:
                    lines.append(f'{name}{{reason="{reason.value.replace(" ", "_")}"}} {count}')
        return "\n".join(lines) + "\n"

    def verdict(self, message: Message) -> Reply:
        """Never called: operators submit no messages."""
        raise ValueError("operators submit no messages")

    def gone(self, message: Message) -> None:
        """Never called, either."""
        raise ValueError("operators submit no messages")
