"""Between an instance and the allocator: one JSON object a line, both ways. Bytes in, messages out.

Theory of operation. The instance opens with ``Register`` and from then on sends ``LeaseRequest`` whenever
what it waits for, what it is done with or what it was told changes. The allocator answers ``LimitedKeys``
(which limits there are, at first and when one comes) and ``LeaseGrant``. Either side ends the connection
at the first line that it can't read: what is lost with it costs time and never a limit, as leases count
whether they arrive or not.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from springspread.fleet.allocator import Lease
from springspread.fleet.lease_cache import Report
from springspread.rollout.terms import Acting, Grant, Prepare, Vote

LINE_BYTES = 1 << 18
KEYS = 4096  # asked for, reported or told in one line
KEY_CHARS = 200


class Unreadable(Exception):
    """A line that is no message; the text says why."""


@dataclass(frozen=True, slots=True)
class Register:
    """An instance begins, or begins again after the allocator was away."""

    name: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """How many calls wait by key, leases that are done with, and limits (calls a second) that were told."""

    wants: Mapping[str, int] = field(default_factory=dict)
    reports: Sequence[Report] = ()
    told: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LimitedKeys:
    """Which keys need leases."""

    keys: Sequence[str]


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease, and the rate (calls a second) that its owner may count on there for now."""

    lease: Lease
    per_s: float


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


Message = (
    Register
    | LeaseRequest
    | LimitedKeys
    | LeaseGrant
    | Document
    | Prepare
    | Grant
    | Vote
    | Acting
    | Question
    | Fit
    | Returning
)


KINDS: Mapping[type[Message], str] = {
    Register: "hello",
    LeaseRequest: "asking",
    LimitedKeys: "limited",
    LeaseGrant: "granted",
}
"""Kinds on the wire that are not the class's own name: processes of earlier versions speak them."""


def write(message: Message) -> bytes:
    """As a line."""
    kind = KINDS.get(type(message), type(message).__name__.lower())
    return json.dumps({"kind": kind, **asdict(message)}, separators=(",", ":")).encode() + b"\n"


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
    try:
        raw = json.loads(line)
        kind = raw["kind"]
        if kind == "hello":
            return Register(_text(raw["name"]), _whole(raw["epoch"]))
        if kind == "asking":
            reports = [
                Report(_text(one["key"]), _whole(one["serial"]), _whole(one["made"]), _number(one["last_at"]))
                for one in _few(raw["reports"])
            ]
            wants = {_text(key): _whole(calls) for key, calls in _few(raw["wants"].items())}
            told = {_text(key): _number(rate) for key, rate in _few(raw["told"].items())}
            return LeaseRequest(wants, reports, told)
        if kind in POLICY:
            return POLICY[kind](raw)
        if kind == "limited":
            return LimitedKeys([_text(key) for key in raw["keys"]])
        if kind == "granted":
            one = raw["lease"]
            owner = (_text(one["owner"][0]), _whole(one["owner"][1]))
            serial, key, calls = _whole(one["serial"]), _text(one["key"]), _whole(one["calls"])
            return LeaseGrant(Lease(serial, owner, key, calls, _number(one["until"])), _number(raw["per_s"]))
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, RecursionError) as exc:
        raise Unreadable(f"not a message: {exc!r}") from exc
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


def _few(values: Any) -> list[Any]:
    found = list(values)
    if len(found) > KEYS:
        raise ValueError(f"more than {KEYS} keys")
    return found


def _text(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= KEY_CHARS:
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
