"""The operators' calls: is it ready, what are its figures, send clients away, take them again.

Answered on an address of its own by a listener of its own, so that no client's crowd keeps an operator
waiting. One call a connection; 2xx means yes, 4xx and 5xx no.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from springspread.core.figures import Figure, Figures, Occurrence
from springspread.core.types import Message
from springspread.http1.server import Request
from springspread.platform.client_api import ClientApi, Reply

TEXT = "text/plain; version=0.0.4; charset=utf-8"
METHODS = {"/ready": "GET", "/metrics": "GET", "/drain": "POST", "/undrain": "POST"}


class Levels(Protocol):
    """What is measured as it is asked for."""

    def levels(self) -> Mapping[str, int]:
        """Messages taken and not ended, endpoints listed, and those of them that are avoided; by name."""


class ManagementApi:
    """Stands where a listener has its front; asks nobody who might be busy."""

    def __init__(
        self, client_api: ClientApi, figures: Figures, levels: Levels, drain: Callable[[bool], None]
    ) -> None:
        """``drain`` is told whether clients are to be sent away."""
        self._client_api, self._figures, self._levels, self._drain = client_api, figures, levels, drain

    def respond(self, request: Request, begun: float, told: Callable[[Message], None]) -> Reply | Message:
        """Answer one call."""
        path = request.path.partition("?")[0]
        if path not in METHODS:
            return Reply(404, close=True)
        if request.method != METHODS[path]:
            return Reply(405, {"Allow": METHODS[path]}, close=True)
        if path == "/ready":
            return Reply(200 if self._client_api.ready else 503, close=True)
        if path == "/metrics":
            return Reply(200, {"Content-Type": TEXT}, body=self.text().encode(), close=True)
        self._client_api.draining = path == "/drain"
        self._drain(self._client_api.draining)
        return Reply(200, close=True)

    def text(self) -> str:
        """The figures, as lines that name their classes."""
        lines = [f"sender_{name} {value}" for name, value in self._levels.levels().items()]
        counts = self._figures.now()
        for figure in Figure:
            name = f"sender_{figure.value}_total"
            lines.append(f"# TYPE {name} counter")
            for (kind, cls), count in counts.items():
                if kind is figure:
                    quoted = cls.replace("\\", "\\\\").replace('"', '\\"')
                    lines.append(f'{name}{{class="{quoted}"}} {count}')
        occurred = self._figures.occurrences()
        for occurrence in Occurrence:
            name = f"sender_{occurrence.value}_total"
            lines.append(f"# TYPE {name} counter")
            for (what, reason), count in occurred.items():
                if what is occurrence:
                    lines.append(f'{name}{{reason="{reason.value.replace(" ", "_")}"}} {count}')
        return "\n".join(lines) + "\n"

    def verdict(self, message: Message) -> Reply:
        """Nothing here asks the core."""
        raise ValueError("no message comes from an operator")

    def gone(self, message: Message) -> None:
        """As above."""
        raise ValueError("no message comes from an operator")
