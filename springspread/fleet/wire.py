"""Lines between a sender and the allocator: one JSON value a line, both ways. Bytes in, messages out.

Theory of operation. Messages about limits (``messages``) are arrays; the rarer ones about policies are
objects with their ``kind``. The sender opens with ``Register``; it then sends ``LeaseRequest`` whenever
what it waits for, what it is done with or what it was told changes, and ``UseReport`` at an interval. The
allocator answers ``Welcome``, then ``KeyStatuses`` and ``LeaseGrants``. Either side ends the connection at
the first line that it can't read: what is lost with it costs time and never an exact limit, as leases
count whether they arrive or not. Lines of protocol version 1 are refused by name.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from springspread.fleet.messages import LINE_BYTES as LINE_BYTES
from springspread.fleet.messages import MAX_KEY_CHARS, PROTOCOL_VERSION, LimitMessage
from springspread.rollout.terms import Acting, Grant, Prepare, Vote

VERSION_ONE_KINDS = ("hello", "asking", "limited", "granted")


class Unreadable(Exception):
    """A line that is no message; the text says why."""


@dataclass(frozen=True, slots=True)
class Document:
    """The text of a policy, ahead of the first grant or proposal that names it."""

    number: int
    text: str


@dataclass(frozen=True, slots=True)
class Question:
    """Could the instance use this policy? Nothing follows from it."""

    id: int
    text: str


@dataclass(frozen=True, slots=True)
class Fit:
    """The answer to a ``Question``; ``fault`` is empty where it could."""

    id: int
    fault: str


@dataclass(frozen=True, slots=True)
class Returning:
    """How far an instance's start has come. No decision uses it.

    ``gate``: before which it stands (``core.gates``), since when (ms); ``owed``: of ``at_start`` messages
    that it owed, how many have no end yet; ``damaged``: ranges of its journal that could not be read.
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
    """As a line."""
    if isinstance(message, LimitMessage):
        return _ENCODER.encode(message) + b"\n"
    raw = {"kind": type(message).__name__.lower(), **asdict(message)}
    return json.dumps(raw, separators=(",", ":")).encode() + b"\n"


class Lines:
    """Takes bytes as they come and gives the messages that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Message]:
        """Raises ``Unreadable``; nothing can be fed after that."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > LINE_BYTES or any(len(line) > LINE_BYTES for line in lines):
            raise Unreadable(f"a line of more than {LINE_BYTES} bytes")
        return [_read(line) for line in lines]


def _read(line: bytes) -> Message:
    if line.startswith(b"["):
        try:
            return _DECODER.decode(line)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise Unreadable(f"not a message: {exc}") from exc
    try:
        raw = json.loads(line)
        kind = raw["kind"]
        if kind in POLICY:
            return POLICY[kind](raw)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, RecursionError) as exc:
        raise Unreadable(f"not a message: {exc!r}") from exc
    if kind in VERSION_ONE_KINDS:
        raise Unreadable(
            f"{kind!r} is of protocol version 1, this is {PROTOCOL_VERSION}: restart that process"
        )
    raise Unreadable(f"no such kind: {kind!r}")


def _serial(raw: Any) -> tuple[int, int]:
    generation, count = raw
    return _whole(generation), _whole(count)


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"not a yes or no: {value!r}")
    return value


def _long(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r}")
    return value


POLICY: Mapping[str, Callable[[Any], Message]] = {
    "document": lambda raw: Document(_whole(raw["number"]), _long(raw["text"])),
    "prepare": lambda raw: Prepare(_serial(raw["serial"]), _whole(raw["number"]), _number(raw["cut"])),
    "grant": lambda raw: Grant(
        _serial(raw["serial"]), _whole(raw["version"]), _number(raw["since"]), _number(raw["until"])
    ),
    "question": lambda raw: Question(_whole(raw["id"]), _long(raw["text"])),
    "fit": lambda raw: Fit(_whole(raw["id"]), _long(raw["fault"])[:1000]),
    "acting": lambda raw: Acting(_whole(raw["version"])),
    "returning": lambda raw: Returning(
        _text(raw["gate"]),
        _number(raw["since"]),
        _whole(raw["owed"]),
        _whole(raw["at_start"]),
        _whole(raw["damaged"]),
    ),
    "vote": lambda raw: Vote(_whole(raw["number"]), _flag(raw["yes"]), _long(raw["fault"])[:1000]),
}
"""What is said of policies, each read whole; the machines are in ``springspread.rollout``."""


def _text(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_KEY_CHARS:
        raise ValueError(f"not a name: {value!r}")
    return value


def _whole(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << 62:
        raise ValueError(f"not a count: {value!r}")
    return value


def _number(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e18:
        raise ValueError(f"not a number: {value!r}")
    return float(value)
