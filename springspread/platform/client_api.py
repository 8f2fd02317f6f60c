"""What clients ask: handing in a message, and whether the sender is ready."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from springspread.core.figures import Figure, Figures
from springspread.core.types import ClientLeft, CoreEvent, Message, Verdict
from springspread.http1.message import Headers
from springspread.http1.server import Request

ID, CLASS, LEFT = "X-Correlation-Id", "X-Service-Class", "X-Time-Left-Ms"
CONSIGNEE, REPEAT = "X-Consignee", "X-Repeat"
WHOLE = re.compile(r"[0-9]{1,9}\Z")
WORD = re.compile(r"[!-~]{1,128}\Z")
DEST = re.compile(r"(?:.*[;,&\s])?dest=([0-9]{1,9})(?:[;,&\s].*)?\Z")
METHODS = {"/api": "POST", "/_health": "GET"}


@dataclass(frozen=True, slots=True)
class Reply:
    """What to answer; ``message`` names the message that the answer takes on."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    message: Message | None = None
    body: bytes = b""
    close: bool = False  # the connection ends with it


class Faulty(Exception):
    """A request whose headers can't be used."""


def read_message(headers: Headers, body: bytes, begun: float) -> Message:
    """The message that a request hands in; its time runs from when the request began."""
    for name in (ID, CLASS, LEFT, CONSIGNEE, REPEAT):
        if name.lower() in headers.doubled:
            raise Faulty(f"{name} came twice")
    id, cls, left, consignee = (headers.get(name) for name in (ID, CLASS, LEFT, CONSIGNEE))
    dest = DEST.match(consignee)
    for name, good in ((ID, WORD.match(id)), (CLASS, cls), (LEFT, WHOLE.match(left)), (CONSIGNEE, dest)):
        if not good:
            raise Faulty(f"{name} is missing or makes no sense")
    assert dest is not None
    repeat = headers.get(REPEAT)
    return Message(id, cls, int(dest[1]), begun + int(left), body, repeat == "1", repeat == "again")


class ClientApi:
    """Answers requests; for a message it asks the core for its verdict."""

    def __init__(
        self,
        put: Callable[[CoreEvent], None],
        return_after_s: float = 1.0,
        figures: Figures | None = None,
    ) -> None:
        """``return_after_s``: when a client is to come back that comes before this sender is ready."""
        self._put, self._return, self._figures = put, f"{return_after_s:g}", figures or Figures(())
        self.ready = False
        self.draining = False  # an operator sends clients away

    def respond(self, request: Request, begun: float, told: Callable[[Message], None]) -> Reply | Message:
        """Answer one request, or hand its message to the core, which calls ``told`` at the verdict."""
        path = request.path.partition("?")[0]
        if path not in METHODS:
            return Reply(404)
        if request.method != METHODS[path]:
            return Reply(405, {"Allow": METHODS[path]})
        if path == "/_health":
            return Reply(200 if self.ready and not self.draining else 503)
        try:
            # Guards the message's end: its time runs from when it was sent, however long its pieces take.
            message = read_message(request.headers, request.body, begun)
        except Faulty as exc:
            return Reply(400, {"X-Fault": str(exc)})
        if not self.ready:
            return self._refused(message, {"Retry-After": self._return})
        message.on_verdict = told
        self._put(message)
        return message

    def verdict(self, message: Message) -> Reply:
        """The answer to a message; where no verdict has come, the client's time is up."""
        match message.verdict:
            case Verdict.ACCEPTED:
                return Reply(202, message=message)
            case Verdict.DELIVERED:
                return Reply(200)
            case Verdict.UNKNOWN_CLASS:
                return Reply(400, {"X-Fault": f"{CLASS} names no class"})
            case Verdict.UNKNOWN_GROUP:
                return Reply(400, {"X-Fault": f"{CONSIGNEE} names no destination"})
            case Verdict.CONFLICT:
                return Reply(409, {"X-Fault": f"{ID} is another message's"})
            case Verdict.REFUSED:
                return self._refused(message)
            case None:
                # The client stops waiting about now: what the core has not taken on it takes no more.
                return self._refused(message) if message.withdraw() else self.verdict(message)

    def _refused(self, message: Message, headers: Mapping[str, str] | None = None) -> Reply:
        self._figures.count(Figure.REFUSED, message.cls)
        return Reply(503, headers or {})

    def gone(self, message: Message) -> None:
        """The client left before it heard that its message was taken on."""
        self._put(ClientLeft(message))
