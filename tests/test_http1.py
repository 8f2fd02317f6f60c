"""HTTP/1.1 without sockets: what is parsed, what is rejected, and a model of a server connection."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from springspread.config import Limits
from springspread.http1 import client, server
from springspread.http1.message import Malformed

LIMITS = Limits()


def post(body: bytes = b"", *headers: str, path: str = "/api") -> bytes:
    lines = [f"POST {path} HTTP/1.1", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class ServerModel(RuleBasedStateMachine):
    """Random steps: every request must be returned complete, in order and once."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = server.ServerConnection(LIMITS)
        self.sent: list[bytes] = []  # bodies written, complete or in part
        self.unfed = b""
        self.seen: list[bytes] = []
        self.closed = False

    def record(self, request: server.Request | None) -> None:
        if request is not None:
            assert self.machine.phase is server.Phase.ANSWERING
            self.seen.append(request.body)

    @rule(body=st.binary(max_size=40), closes=st.booleans())
    def client_writes(self, body: bytes, closes: bool) -> None:
        self.unfed += post(body, *(["Connection: close"] if closes else []))
        self.sent.append(body)

    @precondition(lambda self: self.unfed)
    @rule(size=st.integers(1, 200))
    def bytes_arrive(self, size: int) -> None:
        piece, self.unfed = self.unfed[:size], self.unfed[size:]
        before = self.machine.phase
        request = self.machine.feed(piece)
        assert request is None or before in (server.Phase.IDLE, server.Phase.READING)
        self.record(request)

    @precondition(lambda self: self.machine.phase is server.Phase.ANSWERING)
    @rule(close=st.booleans())
    def answered(self, close: bool) -> None:
        data = self.machine.answer(202, close=close)
        assert data.startswith(b"HTTP/1.1 202 ") and data.endswith(b"\r\n\r\n")
        self.closed = b"Connection: close" in data
        assert self.closed or not close
        assert (self.machine.phase is server.Phase.CLOSED) == self.closed
        self.record(self.machine.resume())

    @precondition(lambda self: self.machine.phase is not server.Phase.ANSWERING)
    @rule()
    def no_answer_without_a_request(self) -> None:
        with pytest.raises(ValueError):
            self.machine.answer(200)

    def teardown(self) -> None:
        assert self.seen == self.sent[: len(self.seen)]
        if not self.unfed and not self.closed and self.machine.phase is server.Phase.IDLE:
            assert self.seen == self.sent


ServerModel.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=60)
TestServerModel = ServerModel.TestCase


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400),
        (b"POST /api\r\n\r\n", 400),
        (b"GET /  HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nName : x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nA: b\x00c\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"A" * (LIMITS.head_bytes + 1), 431),
    ],
)
def test_a_malformed_request_is_rejected_with_its_status(data: bytes, status: int) -> None:
    machine = server.ServerConnection(LIMITS)
    with pytest.raises(Malformed) as caught:
        machine.feed(data)
    assert caught.value.status == status
    assert f" {status} ".encode() in machine.answer(status)
    assert machine.phase is server.Phase.CLOSED


def parse(pieces: list[bytes]) -> tuple[list[bytes], int]:
    """The bodies of the requests in some bytes, and the status of the error that ended them (0: none)."""
    machine, bodies = server.ServerConnection(LIMITS), []
    try:
        for piece in pieces:
            request = machine.feed(piece)
            while request is not None:
                bodies.append(request.body)
                machine.answer(200)
                request = machine.resume()
    except Malformed as exc:
        return bodies, exc.status
    return bodies, 0


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.sampled_from(
        [
            b"\r\n" + post(b"one"),
            b"\r\n\r\n" + post(b"one") + b"\r\n" + post(b"two"),
            b"\rX" + post(b"one"),
            b"GET /a\rb HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nA: " + b"x" * (LIMITS.head_bytes - 19) + b"\r\n\r\n",
            b"GET / HTTP/1.1\r\nA: " + b"x" * (LIMITS.head_bytes - 18) + b"\r\n\r\n",
        ]
    ),
    st.lists(st.integers(0, LIMITS.head_bytes + 20), max_size=5),
    st.integers(0, 6),
)
def test_the_result_does_not_depend_on_how_a_request_is_split(
    data: bytes, cuts: list[int], tail: int
) -> None:
    edges = sorted({0, len(data), max(len(data) - tail, 0), *(min(cut, len(data)) for cut in cuts)})
    pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert parse(pieces) == parse([data])


def test_a_control_character_in_a_target_is_refused() -> None:
    assert parse([b"GET /a\rb HTTP/1.1\r\n\r\n"]) == ([], 400)


def test_a_body_of_the_maximum_length_is_accepted() -> None:
    request = server.ServerConnection(LIMITS).feed(post(b"x" * LIMITS.body_bytes))
    assert request is not None and len(request.body) == 65536


ANSWERS = {
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc": (200, b"abc"),
    b"HTTP/1.1 204 No Content\r\n\r\n": (204, b""),
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n": (503, b""),
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx": (200, b"x"),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n": (
        200,
        b"abcde",
    ),
}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.sampled_from(sorted(ANSWERS)), st.lists(st.integers(1, 30), max_size=12))
def test_the_result_does_not_depend_on_how_an_answer_is_split(data: bytes, cuts: list[int]) -> None:
    expected = ANSWERS[data]
    machine = client.ClientConnection(LIMITS)
    machine.request("POST", "/events", {"Host": "x"}, b"body")
    answer = None
    for cut in [*cuts, len(data)]:
        piece, data = data[:cut], data[cut:]
        assert answer is None or not piece
        answer = machine.feed(piece) if piece else answer
    assert answer is not None
    assert (answer.status, answer.body) == expected
    assert machine.phase is client.Phase.CLOSED
    with pytest.raises(ValueError, match="carries one request"):
        machine.request("POST", "/events", {"Host": "x"}, b"body")


def test_a_body_may_end_with_the_connection_unless_it_is_shorter_than_its_length() -> None:
    machine = client.ClientConnection(LIMITS)
    machine.request("GET", "/", {})
    assert machine.feed(b"HTTP/1.0 200 OK\r\n\r\nall of it") is None
    answer = machine.end()
    assert answer is not None and answer.body == b"all of it"
    cut = client.ClientConnection(LIMITS)
    cut.request("GET", "/", {})
    assert cut.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall") is None
    assert cut.end() is None


@pytest.mark.parametrize(
    "data",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 abc\r\n\r\n",
        b"HTTP/1.1 2x0 OK",
        b"HTTP/1.1 OK 200\r\n",
        b"ICY 200",
        b"\x00\xff\x80",  # rejected before any line ends
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * (LIMITS.interim_answers + 1),
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * LIMITS.head_bytes,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Backend-Load: \x01\r\nX-Other: \x01\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
    ],
)
def test_a_malformed_answer_closes_the_connection(data: bytes) -> None:
    machine = client.ClientConnection(LIMITS, frozenset({"x-backend-load"}))
    machine.request("GET", "/", {})
    with pytest.raises(Malformed):
        machine.feed(data)
    assert machine.phase is client.Phase.CLOSED


def test_the_status_is_known_before_the_rest_and_an_optional_field_may_be_invalid() -> None:
    machine = client.ClientConnection(LIMITS, frozenset({"x-backend-load"}))
    machine.request("GET", "/", {})
    assert machine.feed(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    assert not machine.answer_begun and machine.status == 0
    assert machine.feed(b"HTTP/1.1 20") is None
    assert machine.answer_begun and machine.status == 0
    assert machine.feed(b"0 OK") is None
    assert machine.answer_begun and machine.status == 0  # the status line is incomplete
    assert machine.feed(b"\r\n") is None
    assert machine.answer_begun and machine.status == 200
    answer = machine.feed(b"X-Backend-Load: \x01\r\nContent-Length: 0\r\n\r\n")
    assert answer is not None and "x-backend-load" not in answer.headers


def test_bytes_behind_an_answer_are_no_answer() -> None:
    machine = client.ClientConnection(LIMITS)
    machine.request("GET", "/", {})
    assert machine.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n") is not None
    assert machine.phase is client.Phase.CLOSED
    with pytest.raises(Malformed):
        machine.feed(b"Content-Length: 0\r\n\r\n")


def head_of(fields: int) -> bytes:
    """A request whose head has so many short fields."""
    return b"GET /_health HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % n for n in range(fields)) + b"\r\n"


def test_head_of_very_many_short_fields_is_refused_before_any_is_parsed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Heads of 2,600 fields within 16 KiB took 3 ms each, and a sound client's answer 385 ms."""

    def parse(*_: object) -> None:
        raise AssertionError("parsed")

    monkeypatch.setattr(server, "parse_head", parse)
    machine = server.ServerConnection(LIMITS)
    with pytest.raises(Malformed) as refused:
        machine.feed(head_of(2600))
    assert refused.value.status == 431
    monkeypatch.undo()
    assert server.ServerConnection(LIMITS).feed(head_of(LIMITS.head_fields)) is not None


def test_answer_of_very_many_short_fields_is_malformed() -> None:
    machine = client.ClientConnection(LIMITS)
    machine.request("GET", "/", {})
    fields = b"".join(b"%x:\r\n" % n for n in range(LIMITS.head_fields + 1))
    with pytest.raises(Malformed, match="header fields"):
        machine.feed(b"HTTP/1.1 204 No Content\r\n" + fields + b"\r\n")


@pytest.mark.parametrize("code", [*range(9), *range(10, 32), 127])
def test_control_character_in_a_field_is_refused(code: int) -> None:
    head = b"GET / HTTP/1.1\r\nX-A: b%cc\r\n\r\n" % code
    with pytest.raises(Malformed):
        server.ServerConnection(LIMITS).feed(head)
