"""Calls to endpoints: encodes requests, and decodes what the answers report about each attempt."""

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

LOAD_HEADER = "x-backend-load"
OPTIONAL_HEADERS = frozenset({LOAD_HEADER})  # may be malformed without making the answer so
SINGLE_PATH, BUNDLE_PATH, PING_PATH = "/events", "/events/bundle", "/ping"
STATES = {
    "done": (Result.DELIVERED, False),
    "failed": (Result.ERROR, False),
    "busy": (Result.REJECTED, False),
    "void": (Result.NOT_SENT, True),
    "used_up": (Result.NOT_SENT, False),
}
MAX_RETRY_AFTER_MS = 600_000.0
LOAD_VALUE = re.compile(r"[0-9]{1,7}(?:\.[0-9]{1,9})?\Z")


@dataclass(frozen=True, slots=True)
class End:
    """What an answer reports about one attempt. ``final``: the message needs no further attempt."""

    attempt: Attempt
    result: Result
    final: bool = False


@dataclass(frozen=True, slots=True)
class ParsedAnswer:
    """What an answer reports. ``fault`` describes a violation of the protocol."""

    ends: tuple[End, ...]
    wait_ms: float
    load: Load
    fault: str = ""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """An HTTP request to send."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""


def encode_call(call: Call, now: float) -> OutgoingRequest:
    """The request that carries a call."""
    host = f"{call.endpoint.host}:{call.endpoint.port}"
    if not call.attempts:
        return OutgoingRequest("GET", PING_PATH, {"Host": host})
    time_left = str(max(int(call.until - now), 1))
    if len(call.attempts) == 1:
        (attempt,) = call.attempts
        headers = {"Host": host, "X-Correlation-Id": attempt.id, "X-Time-Left-Ms": time_left}
        if attempt.idempotency_key:
            headers["Idempotency-Key"] = attempt.idempotency_key
        return OutgoingRequest("POST", SINGLE_PATH, headers, attempt.body)
    items = [_bundle_item(attempt) for attempt in call.attempts]
    headers = {"Host": host, "X-Time-Left-Ms": time_left, "Content-Type": "application/json"}
    return OutgoingRequest("POST", BUNDLE_PATH, headers, json.dumps(items, separators=(",", ":")).encode())


def _bundle_item(attempt: Attempt) -> dict[str, str]:
    item = {"id": attempt.id, "body": b64encode(attempt.body).decode()}
    if attempt.idempotency_key:
        item["key"] = attempt.idempotency_key
    return item


def read_retry_after(headers: Headers) -> float:
    """The ``Retry-After`` in milliseconds; 0 if it is absent or invalid."""
    try:
        seconds = float(headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    return min(max(seconds * 1000.0, 0.0), MAX_RETRY_AFTER_MS) if isfinite(seconds) else 0.0


def read_load(headers: Headers, fields: tuple[str, ...]) -> Load:
    """The endpoint's load report; empty if any field of it is invalid."""
    values: dict[str, float] = {}
    for field in headers.get(LOAD_HEADER).split(",") if LOAD_HEADER in headers else ():
        name, _, value = field.strip().partition("=")
        if not LOAD_VALUE.match(value) or name in values or LOAD_HEADER in headers.doubled:
            return Load()
        values[name] = float(value)
    return Load(*(values.get(name) if name in fields else None for name in ("x0", "x1")))


def read_answer(call: Call, answer: Answer, fields: tuple[str, ...]) -> ParsedAnswer:
    """Decode an answer to a call."""
    load, wait = read_load(answer.headers, fields), read_retry_after(answer.headers)
    if answer.status == 200 and len(call.attempts) > 1:
        ends, fault = _read_bundle(call, answer.body)
        return ParsedAnswer(ends, wait, load, fault)
    result, final, fault = _read_status(answer)
    return ParsedAnswer(tuple(End(attempt, result, final) for attempt in call.attempts), wait, load, fault)


def read_incomplete_answer(call: Call, status: int, result: Result) -> Result:
    """The result of a call without a complete answer: for a single message, the status 200 suffices."""
    return Result.DELIVERED if len(call.attempts) == 1 and status == 200 else result


def _read_status(answer: Answer) -> tuple[Result, bool, str]:
    match answer.status:
        case 200:
            return Result.DELIVERED, False, ""
        case 500:
            return Result.ERROR, False, ""
        case 503 if answer.headers.get("x-line-busy") == "1":
            return Result.NOT_SENT, False, "no free slot at the endpoint"
        case 429 | 503:
            return Result.REJECTED, False, ""
        case 504:
            return Result.NOT_SENT, False, ""
        case 410:
            return Result.NOT_SENT, True, ""
        case 400 | 404 | 405 | 413:
            return Result.NOT_SENT, False, f"endpoint rejected the request as invalid: status {answer.status}"
    return Result.ERROR, False, f"status not in the protocol: {answer.status}"


def _read_bundle(call: Call, body: bytes) -> tuple[tuple[End, ...], str]:
    states: dict[str, str] = {}
    readable, fault = True, ""
    try:
        for item in json.loads(body):
            if item["state"] not in STATES or states.setdefault(item["id"], item["state"]) != item["state"]:
                raise ValueError("unknown or conflicting states")
    except (ValueError, TypeError, KeyError, RecursionError) as exc:
        readable, fault = False, f"invalid answer to a bundle: {exc!r}"
    if any(attempt.id not in states for attempt in call.attempts):
        fault = fault or "answer to a bundle omits messages"
    ends = []
    for attempt in call.attempts:
        # An invalid answer proves nothing, and a message that the answer omits may have run.
        reported = readable and attempt.id in states
        result, final = STATES[states[attempt.id]] if reported else (Result.MALFORMED, False)
        ends.append(End(attempt, result, final))
    return tuple(ends), fault
