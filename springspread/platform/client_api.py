"""The HTTP API for clients: submitting a message, and the health check."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from springspread.core.figures import Figure, Figures
from springspread.core.types import ClientLeft, CoreEvent, Message, Verdict
from springspread.http1.message import Headers
from springspread.http1.server import Request

ID, CLASS, TIME_LEFT = "X-Correlation-Id", "X-Service-Class", "X-Time-Left-Ms"
CONSIGNEE, REPEAT = "X-Consignee", "X-Repeat"
IDEMPOTENCY_KEY, ORDERING_KEY = "Idempotency-Key", "X-Session-Key"
INTEGER = re.compile(r"[0-9]{1,9}\Z")
VISIBLE_ASCII = re.compile(r"[!-~]{1,128}\Z")
PRINTABLE_ASCII = re.compile(r"[ -~]{1,255}\Z")
DESTINATION = re.compile(r"(?:.*[;,&\s])?dest=([0-9]{1,9})(?:[;,&\s].*)?\Z")
METHODS = {"/api": "POST", "/_health": "GET"}


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer; ``message`` is the one that it accepts."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    message: Message | None = None
    body: bytes = b""
    close: bool = False  # whether to close the connection afterwards


class InvalidRequestError(Exception):
    """A request with missing or invalid headers."""


def read_message(headers: Headers, body: bytes, begun: float) -> Message:
    """The message of a request; its time starts when the request begins. Raises ``InvalidRequestError``."""
    for name in (ID, CLASS, TIME_LEFT, CONSIGNEE, REPEAT, IDEMPOTENCY_KEY, ORDERING_KEY):
        if name.lower() in headers.doubled:
            raise InvalidRequestError(f"{name} came twice")
    id, cls, time_left, consignee = (headers.get(name) for name in (ID, CLASS, TIME_LEFT, CONSIGNEE))
    dest = DESTINATION.match(consignee)
    for name, valid in (
        (ID, VISIBLE_ASCII.match(id)),
        (CLASS, cls),
        (TIME_LEFT, INTEGER.match(time_left)),
        (CONSIGNEE, dest),
        (IDEMPOTENCY_KEY, _is_absent_or_key(headers, IDEMPOTENCY_KEY)),
        (ORDERING_KEY, _is_absent_or_key(headers, ORDERING_KEY)),
    ):
        if not valid:
            raise InvalidRequestError(f"{name} is missing or makes no sense")
    assert dest is not None
    repeat = headers.get(REPEAT)
    return Message(
        id,
        cls,
        int(dest[1]),
        begun + int(time_left),
        body,
        repeat == "1",
        repeat == "again",
        idempotency_key=headers.get(IDEMPOTENCY_KEY),
        ordering_key=headers.get(ORDERING_KEY),
    )


def _is_absent_or_key(headers: Headers, name: str) -> bool:
    return name not in headers or PRINTABLE_ASCII.match(headers.get(name)) is not None


class ClientApi:
    """Answers requests; passes messages to the core for a verdict."""

    def __init__(
        self,
        put: Callable[[CoreEvent], None],
        retry_after_s: float = 1.0,
        figures: Figures | None = None,
    ) -> None:
        """``retry_after_s`` is sent to clients while this sender is not ready."""
        self._put, self._retry_after, self._figures = put, f"{retry_after_s:g}", figures or Figures(())
        self.ready = False
        self.draining = False  # an operator has started a drain

    def respond(
        self, request: Request, begun: float, on_verdict: Callable[[Message], None]
    ) -> Reply | Message:
        """Answer a request, or pass its message to the core, which calls ``on_verdict`` at the verdict."""
        path = request.path.partition("?")[0]
        if path not in METHODS:
            return Reply(404)
        if request.method != METHODS[path]:
            return Reply(405, {"Allow": METHODS[path]})
        if path == "/_health":
            return Reply(200 if self.ready and not self.draining else 503)
        try:
            # The time left runs from when the request was sent, however slowly it arrives.
            message = read_message(request.headers, request.body, begun)
        except InvalidRequestError as exc:
            return Reply(400, {"X-Fault": str(exc)})
        if not self.ready:
            return self._refused(message, {"Retry-After": self._retry_after})
        message.on_verdict = on_verdict
        self._put(message)
        return message

    def verdict(self, message: Message) -> Reply:
        """The answer to a message; without a verdict yet, the client has timed out."""
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
                seconds = f"{message.retry_after_ms / 1000.0:.3f}"
                return self._refused(message, {"Retry-After": seconds} if message.retry_after_ms else None)
            case None:
                # The client is about to stop waiting: unless the core has accepted the message, withdraw it.
                return self._refused(message) if message.withdraw() else self.verdict(message)

    def _refused(self, message: Message, headers: Mapping[str, str] | None = None) -> Reply:
        self._figures.count(Figure.REFUSED, message.cls)
        return Reply(503, headers or {})

    def gone(self, message: Message) -> None:
        """The client disconnected before it learnt that its message was accepted."""
        self._put(ClientLeft(message))
