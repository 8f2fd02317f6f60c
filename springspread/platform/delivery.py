"""Calls to endpoints: what is written, and what the answers say of each attempt."""

from __future__ import annotations

import json
import re
from base64 import b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from springspread.core.types import Attempt, Call, Load, Result
from springspread.http1.client import Answer
from springspread.http1.message import Headers

LOAD = "x-backend-load"
OPTIONAL_HEADERS = frozenset({LOAD})  # what an answer may garble and still be good
ONE, MANY, PING = "/events", "/events/bundle", "/ping"
STATES = {
    "done": (Result.DELIVERED, False),
    "failed": (Result.ERROR, False),
    "busy": (Result.REJECTED, False),
    "void": (Result.NOT_SENT, True),
    "used_up": (Result.NOT_SENT, False),
}
MOST_WAIT_MS = 600_000.0
REPORTED = re.compile(r"[0-9]{1,7}(?:\.[0-9]{1,9})?\Z")


@dataclass(frozen=True, slots=True)
class End:
    """What an answer says of one attempt."""

    attempt: Attempt
    result: Result
    final: bool = False


@dataclass(frozen=True, slots=True)
class ParsedAnswer:
    """What an answer says."""

    ends: tuple[End, ...]
    wait_ms: float
    load: Load
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to write."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""


def encode_call(call: Call, now: float) -> Outgoing:
    """The request that carries a call."""
    host = f"{call.endpoint.host}:{call.endpoint.port}"
    if not call.attempts:
        return Outgoing("GET", PING, {"Host": host})
    left = str(max(int(call.until - now), 1))
    if len(call.attempts) == 1:
        (run,) = call.attempts
        headers = {"Host": host, "X-Correlation-Id": run.id, "X-Time-Left-Ms": left}
        return Outgoing("POST", ONE, headers, run.body)
    items = [{"id": run.id, "body": b64encode(run.body).decode()} for run in call.attempts]
    headers = {"Host": host, "X-Time-Left-Ms": left, "Content-Type": "application/json"}
    return Outgoing("POST", MANY, headers, json.dumps(items, separators=(",", ":")).encode())


def read_wait(headers: Headers) -> float:
    """A told wait in milliseconds; 0 where none is told or it makes no sense."""
    try:
        seconds = float(headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return min(max(seconds * 1000.0, 0.0), MOST_WAIT_MS) if isfinite(seconds) else 0.0


def read_load(headers: Headers, fields: tuple[str, ...]) -> Load:
    """The report in an answer. One that is garbled in any part tells nothing."""
    told: dict[str, float] = {}
    for part in headers.get(LOAD).split(",") if LOAD in headers else ():
        name, _, value = part.strip().partition("=")
        if not REPORTED.match(value) or name in told or LOAD in headers.doubled:
            return Load()
        told[name] = float(value)
    return Load(*(told.get(name) if name in fields else None for name in ("x0", "x1")))


def read_answer(call: Call, answer: Answer, fields: tuple[str, ...]) -> ParsedAnswer:
    """What an answer says of each attempt of a call."""
    load, wait = read_load(answer.headers, fields), read_wait(answer.headers)
    if answer.status == 200 and len(call.attempts) > 1:
        ends, fault = _read_bundle(call, answer.body)
        return ParsedAnswer(ends, wait, load, fault)
    result, final, fault = _read_status(answer)
    return ParsedAnswer(tuple(End(run, result, final) for run in call.attempts), wait, load, fault)


def read_incomplete_answer(call: Call, status: int, result: Result) -> Result:
    """What ended a call whose answer did not come whole: for one message, a first line with 200 is true."""
    return Result.DELIVERED if len(call.attempts) == 1 and status == 200 else result


def _read_status(answer: Answer) -> tuple[Result, bool, str]:
    match answer.status:
        case 200:
            return Result.DELIVERED, False, ""
        case 500:
            return Result.ERROR, False, ""
        case 503 if answer.headers.get("x-line-busy") == "1":
            return Result.NOT_SENT, False, "no slot free at the endpoint"
        case 429 | 503:
            return Result.REJECTED, False, ""
        case 504:
            return Result.NOT_SENT, False, ""
        case 410:
            return Result.NOT_SENT, True, ""
        case 400 | 404 | 405 | 413:
            return Result.NOT_SENT, False, f"the endpoint can't read the call: {answer.status}"
    return Result.ERROR, False, f"an answer that the protocol does not know: {answer.status}"


def _read_bundle(call: Call, body: bytes) -> tuple[tuple[End, ...], str]:
    states: dict[str, str] = {}
    readable, fault = True, ""
    try:
        for item in json.loads(body):
            if item["state"] not in STATES or states.setdefault(item["id"], item["state"]) != item["state"]:
                raise ValueError("states that are unknown or differ")
    except (ValueError, TypeError, KeyError, RecursionError) as exc:
        readable, fault = False, f"a bundle's answer that can't be read: {exc!r}"
    if any(run.id not in states for run in call.attempts):
        fault = fault or "a bundle's answer that leaves messages out"
    ends = []
    for run in call.attempts:
        # What can't be read whole may hold anything; what the answer does not name may have run.
        told = readable and run.id in states
        result, final = STATES[states[run.id]] if told else (Result.MALFORMED, False)
        ends.append(End(run, result, final))
    return tuple(ends), fault
