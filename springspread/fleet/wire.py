"""Encoding between a sender and the allocator: one JSON value per line, both ways.

Theory of operation. Messages about limits (``messages``) are arrays; the rarer ones about policies are
objects with their ``kind``. The sender opens with ``Register``. It then sends a ``LeaseRequest`` when its
demands, finished leases or partners' limits change, and a ``UseReport`` at an interval. The allocator answers
with ``Welcome``, then sends ``KeyStatuses`` and ``LeaseGrants``. Either side closes the connection at the
first line that it can't decode. Lost messages cost time and never an exact limit, as leases count whether
they arrive or not. Lines of protocol version 1 are refused with an error that names it.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from springspread.fleet.messages import LINE_BYTES as LINE_BYTES
from springspread.fleet.messages import MAX_KEY_CHARS, PROTOCOL_VERSION, LimitMessage
from springspread.rollout.protocol import Acting, Grant, Prepare, Vote

VERSION_ONE_KINDS = ("hello", "asking", "limited", "granted")


class Unreadable(Exception):
    """Raised for a line that is not a valid message, with the reason."""


@dataclass(frozen=True, slots=True)
class Document:
    """The text of a policy, sent before the first grant or proposal that refers to it."""

    number: int
    text: str


@dataclass(frozen=True, slots=True)
class Question:
    """Asks whether the instance could use a policy; has no effect on it."""

    id: int
    text: str


@dataclass(frozen=True, slots=True)
class Fit:
    """The answer to a ``Question``; ``fault`` is empty if the instance could use the policy."""

    id: int
    fault: str


@dataclass(frozen=True, slots=True)
class Returning:
    """The progress of an instance's start, for information only.

    ``gate``: the stage that it is in (``core.startup_stages``), ``since`` when (ms); ``owed``: how many of
    the ``at_start`` messages that it had to deliver have no final state yet; ``damaged``: ranges of its
    journal that could not be read.
    """

    gate: str
    since: float
    owed: int
    at_start: int
    damaged: int


PolicyMessage = Document | Prepare | Grant | Vote | Acting | Question | Fit | Returning
Message = LimitMessage | PolicyMessage


_DECODER = msgspec.json.Decoder(LimitMessage)
_ENCODER = msgspec.json.Encoder()


def encode(message: Message) -> bytes:
    """The line of a message."""
    if isinstance(message, LimitMessage):
        return _ENCODER.encode(message) + b"\n"
    raw = {"kind": type(message).__name__.lower(), **asdict(message)}
    return json.dumps(raw, separators=(",", ":")).encode() + b"\n"


class Lines:
    """Decodes a stream of bytes into messages."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Message]:
        """The messages completed by ``data``. Raises ``Unreadable``, after which nothing may be fed."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > LINE_BYTES or any(len(line) > LINE_BYTES for line in lines):
            raise Unreadable(f"line exceeds {LINE_BYTES} bytes")
        return [_decode(line) for line in lines]


def _decode(line: bytes) -> Message:
    if line.startswith(b"["):
        try:
            return _DECODER.decode(line)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise Unreadable(f"invalid message: {exc}") from exc
    try:
        raw = json.loads(line)
        kind = raw["kind"]
        if kind in POLICY_DECODERS:
            return POLICY_DECODERS[kind](raw)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, RecursionError) as exc:
        raise Unreadable(f"invalid message: {exc!r}") from exc
    if kind in VERSION_ONE_KINDS:
        raise Unreadable(
            f"{kind!r} is from protocol version 1, expected {PROTOCOL_VERSION}; restart the peer process"
        )
    raise Unreadable(f"unknown message kind: {kind!r}")


def _serial(raw: Any) -> tuple[int, int]:
    generation, count = raw
    return _count(generation), _count(count)


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"not a boolean: {value!r}")
    return value


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a string: {value!r}")
    return value


POLICY_DECODERS: Mapping[str, Callable[[Any], Message]] = {
    "document": lambda raw: Document(_count(raw["number"]), _string(raw["text"])),
    "prepare": lambda raw: Prepare(_serial(raw["serial"]), _count(raw["number"]), _number(raw["cut"])),
    "grant": lambda raw: Grant(
        _serial(raw["serial"]), _count(raw["version"]), _number(raw["since"]), _number(raw["until"])
    ),
    "question": lambda raw: Question(_count(raw["id"]), _string(raw["text"])),
    "fit": lambda raw: Fit(_count(raw["id"]), _string(raw["fault"])[:1000]),
    "acting": lambda raw: Acting(_count(raw["version"])),
    "returning": lambda raw: Returning(
        _name(raw["gate"]),
        _number(raw["since"]),
        _count(raw["owed"]),
        _count(raw["at_start"]),
        _count(raw["damaged"]),
    ),
    "vote": lambda raw: Vote(_count(raw["number"]), _boolean(raw["yes"]), _string(raw["fault"])[:1000]),
}
"""Decoders of messages about policies by kind; ``springspread.rollout`` handles them."""


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_KEY_CHARS:
        raise ValueError(f"not a valid name: {value!r}")
    return value


def _count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << 62:
        raise ValueError(f"not a valid count: {value!r}")
    return value


def _number(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e18:
        raise ValueError(f"not a valid number: {value!r}")
    return float(value)
