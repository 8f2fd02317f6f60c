"""Encoding and decoding of messages, calls, lists of endpoints and notices."""

from __future__ import annotations

import json
from base64 import b64decode

import pytest

from springspread.config import Names
from springspread.core.types import (
    Attempt,
    Call,
    Endpoint,
    EndpointState,
    Message,
    Notice,
    Result,
    Scope,
    Verdict,
)
from springspread.http1.client import Answer
from springspread.http1.message import Headers, Malformed, parse_head
from springspread.platform import catalog, delivery, notices
from springspread.platform.client_api import ClientApi, InvalidRequestError, read_message

VALID_HEADERS = {
    "X-Correlation-Id": "9b1f03aa5c7e2d41",
    "X-Service-Class": "note",
    "X-Time-Left-Ms": "480",
    "X-Consignee": "dest=7",
}
NAMES = Names(("portal", "dealer"), ("a", "b"), ("x0", "x1"))
ENDPOINT = {
    "name": "s-1",
    "address": "10.1.0.18:8443",
    "zone": "b",
    "type": "dealer",
    "group": 3,
    "status": "Ready",
    "weight": 1.5,
    "since_ms": 0,
}


INVALID_BUNDLE_ANSWERS = [
    b"",
    b"[1]",
    b"{}x",
    b'[{"id": 1}]',
    b"[" * 100_000,
    b'[{"id":"id-0","state":"done"},{"id":"id-1","state":"do',
    b'[{"id":"id-0","state":"done"},{"id":"id-1","state":"dome"}]',
    b'[{"id":"id-0","state":"done"},{"id":"id-0","state":"failed"},{"id":"id-1","state":"done"}]',
    b'[{"id":["id-0"],"state":"done"}]',
]


def headers(*lines: str) -> Headers:
    return parse_head("\r\n".join(["x", *lines]).encode())[1]


def lines(fields: dict[str, str]) -> list[str]:
    return [f"{name}: {value}" for name, value in fields.items()]


def call(count: int) -> Call:
    attempts = [Attempt(n, 0, f"id-{n}", b"hello", 2000.0, True) for n in range(count)]
    return Call(Endpoint(1, "s-1", "127.0.0.1", 80, 3, True, 5), attempts, 0.0)


def test_a_message_is_read_from_a_request() -> None:
    message = read_message(headers(*lines(VALID_HEADERS)), b"x", 1000.0)
    assert (message.id, message.cls) == ("9b1f03aa5c7e2d41", "note")
    assert (message.group, message.deadline) == (7, 1480.0)
    assert read_message(headers(*lines(VALID_HEADERS), "X-Repeat: 1"), b"", 0.0).again
    assert read_message(headers(*lines(VALID_HEADERS), "X-Repeat: again"), b"", 0.0).orphan


@pytest.mark.parametrize("name", sorted(VALID_HEADERS))
def test_a_missing_or_repeated_header_is_named(name: str) -> None:
    rest = {key: value for key, value in VALID_HEADERS.items() if key != name}
    with pytest.raises(InvalidRequestError, match=name):
        read_message(headers(*lines(rest)), b"", 0.0)
    with pytest.raises(InvalidRequestError, match=name):
        read_message(headers(*lines(VALID_HEADERS), f"{name}: 1"), b"", 0.0)


@pytest.mark.parametrize("number", ["-1", "1.5", "1e3", "", "99999999999", "\u0663"])
def test_an_invalid_number_is_refused(number: str) -> None:
    with pytest.raises(InvalidRequestError):
        read_message(headers(*lines({**VALID_HEADERS, "X-Time-Left-Ms": number})), b"", 0.0)
    with pytest.raises(InvalidRequestError):
        read_message(headers(*lines({**VALID_HEADERS, "X-Consignee": f"dest={number}"})), b"", 0.0)


# Guards against repeats that endpoints can't know, as their calls lack the client's key.
def test_the_idempotency_key_passes_unchanged_from_the_client_to_single_calls_and_bundles() -> None:
    key = '5c0f6e1a2b3d4c59; "a b"'
    message = read_message(headers(*lines(VALID_HEADERS), f"Idempotency-Key: {key}"), b"", 0.0)
    assert message.idempotency_key == key
    assert read_message(headers(*lines(VALID_HEADERS)), b"", 0.0).idempotency_key == ""
    keyed = Attempt(0, 0, "id-0", b"x", 2000.0, False, idempotency_key=key)
    without = Attempt(1, 0, "id-1", b"x", 2000.0, True)
    endpoint = Endpoint(1, "s-1", "127.0.0.1", 80, 3, True, 5)
    assert delivery.encode_call(Call(endpoint, (keyed,), 0.0), 0.0).headers["Idempotency-Key"] == key
    assert "Idempotency-Key" not in delivery.encode_call(Call(endpoint, (without,), 0.0), 0.0).headers
    bundle = json.loads(delivery.encode_call(Call(endpoint, (keyed, without), 0.0), 0.0).body)
    assert [item.get("key") for item in bundle] == [key, None]


# Guards against calls with half a key, or with another client's header in it.
@pytest.mark.parametrize("name", ["Idempotency-Key", "X-Session-Key"])
@pytest.mark.parametrize("value", ["", "\xe9", "k" * 256, "a\r\n{name}: b"])
def test_an_unusable_key_is_named(name: str, value: str) -> None:
    line = f"{name}: {value.format(name=name)}"
    with pytest.raises(InvalidRequestError, match=name):
        read_message(headers(*lines(VALID_HEADERS), line), b"", 0.0)


def test_one_message_is_sent_alone_and_several_as_a_bundle() -> None:
    one = delivery.encode_call(call(1), 500.0)
    assert (one.target, one.headers["X-Time-Left-Ms"], one.body) == ("/events", "1500", b"hello")
    many = delivery.encode_call(call(2), 500.0)
    items = json.loads(many.body)
    assert many.target == "/events/bundle" and [item["id"] for item in items] == ["id-0", "id-1"]
    assert b64decode(items[0]["body"]) == b"hello"


@pytest.mark.parametrize(
    ("status", "fields", "result", "final"),
    [
        (200, [], Result.DELIVERED, False),
        (500, [], Result.ERROR, False),
        (429, ["Retry-After: 0.25"], Result.REJECTED, False),
        (503, [], Result.REJECTED, False),
        (503, ["X-Line-Busy: 1"], Result.NOT_SENT, False),
        (504, [], Result.NOT_SENT, False),
        (410, [], Result.NOT_SENT, True),
        (418, [], Result.ERROR, False),
    ],
)
def test_each_status_has_its_result(status: int, fields: list[str], result: Result, final: bool) -> None:
    reading = delivery.read_answer(call(1), Answer(status, headers(*fields), b""), NAMES.report)
    assert [(end.result, end.final) for end in reading.ends] == [(result, final)]
    assert reading.wait_ms == (250.0 if status == 429 else 0.0)


def test_a_bundles_answer_has_a_result_for_each_message() -> None:
    states = ["done", "failed", "busy", "void", "used_up"]
    body = json.dumps([{"id": f"id-{n}", "state": state} for n, state in enumerate(states)]).encode()
    reading = delivery.read_answer(call(6), Answer(200, headers("Retry-After: 1"), body), NAMES.report)
    assert [end.result for end in reading.ends] == [
        Result.DELIVERED,
        Result.ERROR,
        Result.REJECTED,
        Result.NOT_SENT,
        Result.NOT_SENT,
        Result.MALFORMED,  # omitted by the answer: it may have run
    ]
    assert [end.final for end in reading.ends] == [False, False, False, True, False, False]
    assert reading.wait_ms == 1000.0


@pytest.mark.parametrize("body", INVALID_BUNDLE_ANSWERS)
def test_after_an_invalid_bundle_answer_messages_may_have_run(body: bytes) -> None:
    reading = delivery.read_answer(call(2), Answer(200, headers(), body), NAMES.report)
    assert {end.result for end in reading.ends} == {Result.MALFORMED} and reading.fault


@pytest.mark.parametrize(
    ("count", "status", "result"),
    [
        (1, 200, Result.DELIVERED),
        (1, 503, Result.MALFORMED),
        (1, 0, Result.MALFORMED),
        (2, 200, Result.MALFORMED),
    ],
)
def test_an_incomplete_answer_counts_by_its_status_for_a_single_message_only(
    count: int, status: int, result: Result
) -> None:
    assert delivery.read_incomplete_answer(call(count), status, Result.MALFORMED) is result


def test_invalid_load_reports_and_retry_after_headers_are_ignored() -> None:
    load = delivery.read_load(headers("X-Backend-Load: x0=0.4,x1=25"), NAMES.report)
    assert (load.left_share, load.limit_per_s) == (0.4, 25.0)
    for text in ("x0=nan", "x0=0.4,x1=", "=3", "x0=0.5,x0=0.6", "x0=0.4,x1=-2", "x1=1e9", "x0 0.4", "\xff"):
        odd = delivery.read_load(headers(f"X-Backend-Load: {text}"), NAMES.report)
        assert (odd.left_share, odd.limit_per_s) == (None, None), text
    twice = headers("X-Backend-Load: x0=0.4", "X-Backend-Load: x0=0.5")
    assert delivery.read_load(twice, NAMES.report).left_share is None
    assert [
        delivery.read_retry_after(headers(f"Retry-After: {v}")) for v in ("soon", "-2", "nan", "1e99")
    ] == [
        0.0,
        0.0,
        0.0,
        delivery.MAX_RETRY_AFTER_MS,
    ]


def test_the_list_is_read() -> None:
    body = json.dumps({"index": 41, "snapshot": True, "endpoints": [ENDPOINT]}).encode()
    update = catalog.read_list(body, NAMES, 5.0)
    (member,) = update.members
    assert (update.scope, update.version) == (Scope.WHOLE, 41)
    assert (member.host, member.port, member.zone, member.kind) == ("10.1.0.18", 8443, 1, 1)
    odd = {**ENDPOINT, "status": "Resting", "type": "new", "zone": "c"}
    body = json.dumps({"index": 42, "snapshot": False, "endpoints": [odd]}).encode()
    update = catalog.read_list(body, NAMES, 5.0)
    assert update.scope is Scope.CHANGES
    assert (update.members[0].state, update.members[0].kind) == (EndpointState.DRAINING, 2)
    assert catalog.target(41, 5000.0) == "/catalog/members?since=41&timeout_ms=5000"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"index": "x", "endpoints": []}',
        b'{"index": 1, "endpoints": [7]}',
        json.dumps({"index": 1, "endpoints": [{**ENDPOINT, "address": "here"}]}).encode(),
        json.dumps({"index": 1, "endpoints": [{**ENDPOINT, "group": "x"}]}).encode(),
        json.dumps({"index": 1, "endpoints": [{**ENDPOINT, "weight": None}]}).encode(),
    ],
)
def test_an_invalid_list_raises(body: bytes) -> None:
    with pytest.raises(catalog.InvalidListError):
        catalog.read_list(body, NAMES, 0.0)


def test_notices_are_encoded_one_per_line() -> None:
    batch = [Notice(1, "a", False), Notice(2, "b", True, 499.2), Notice(3, "c", True)]
    assert notices.encode_notices(batch) == (
        b'{"id":"a","status":"undeliverable"}\n'
        b'{"id":"b","status":"deferred","again_ms":500}\n'
        b'{"id":"c","status":"deferred"}\n'
    )


def test_a_head_with_an_invalid_field_name_is_malformed() -> None:
    with pytest.raises(Malformed):
        headers("a b: c")


@pytest.mark.parametrize(("retry_after_ms", "told"), [(1500.0, "1.500"), (0.0, None)])
def test_refused_client_is_told_when_to_come_again(retry_after_ms: float, told: str | None) -> None:
    message = Message("a", "note", 7, 8000.0, b"", retry_after_ms=retry_after_ms)
    assert message.answer(Verdict.REFUSED)
    reply = ClientApi(lambda event: None).verdict(message)
    assert (reply.status, dict(reply.headers).get("Retry-After")) == (503, told)
