"""Malformed answers over loopback: the results of their calls, the endpoint's health, the next answers."""

from __future__ import annotations

import re
import socket
from collections.abc import Iterator

import pytest

from springspread import interface as i
from springspread.config import Limits
from springspread.core.clearance import Clearance
from springspread.core.types import Attempt, AttemptEnd, Call, CoreEvent, Endpoint, Result, clock
from springspread.net.endpoints import Workers
from springspread.policy import Dispatcher
from tests.peer import serve_connections, until

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: x0=0.5,x1=9\r\n\r\nok"
HEAD = b"HTTP/1.1 200 OK\r\n"


class PermissiveClearance(Clearance):
    """Permits every call and keeps no state."""

    def __init__(self) -> None:
        """No state."""

    def check(self, call: Call) -> None:
        """Never."""

    def may_finish(self, call: Call) -> bool:
        """Unless it is cancelled, or has to wait."""
        return not call.cancelled.is_set() and self.retry_after_left_ms(call.endpoint) <= 0.0

    def retry_after_left_ms(self, endpoint: Endpoint) -> float:
        """Never."""
        return 0.0

    def set_retry_after(self, endpoint: Endpoint, wait_ms: float) -> None:
        """Retry-after is ignored."""


class NullLog:
    def info(self, event: str, **values: object) -> None:
        """Discard the line."""

    debug = warning = error = info


def read_request(sock: socket.socket) -> bytes:
    """One complete request; empty if the connection ended."""
    data = b""
    while chunk := sock.recv(65536):
        data += chunk
        head, blank, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if blank and len(body) >= int(length[1] if length else 0):
            return data
    return b""


class RawEndpoint:
    """An endpoint that answers each request with raw bytes and keeps the connection open."""

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.opened: list[socket.socket] = []
        self.ended = 0
        serve_connections(self.sock, self.serve)

    def serve(self, sock: socket.socket) -> None:
        self.opened.append(sock)
        try:
            while read_request(sock):
                sock.sendall(self.answers.pop(0))
        except OSError:
            pass
        self.ended += 1


class Rig:
    """The workers alone, with one such endpoint."""

    def __init__(self) -> None:
        self.endpoint = RawEndpoint()
        self.ends: list[CoreEvent] = []
        self.workers = Workers(Limits(), 2, ("x0", "x1"), PermissiveClearance(), self.ends.append, NullLog())
        self.target = Endpoint(1, "s-1", "127.0.0.1", self.endpoint.port, 7, True, 5)

    def call(self, answer: bytes, count: int = 1, wait_ms: float = 5000.0) -> tuple[list[Result], float]:
        self.endpoint.answers.append(answer)
        now = clock()
        attempts = [Attempt(n, 0, f"id-{n}", b"x", now + wait_ms, False) for n in range(count)]
        before = len(self.ends)
        self.workers.start(Call(self.target, attempts, now))
        until(lambda: len(self.ends) == before + count, "the ends")
        ends = [end for end in self.ends[before:] if isinstance(end, AttemptEnd)]
        return [end.result for end in ends], clock() - now


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.endpoint.sock.close()


@pytest.mark.parametrize(
    ("answer", "one"),
    [
        (b"\x80\x01noise", Result.MALFORMED),
        (b"HTTP/1.1 OK 200\r\nContent-Length: 0\r\n\r\n", Result.MALFORMED),
        (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\n", Result.MALFORMED),
        (b"HTTP/1.1 429 Too Many\r\nX: y", Result.MALFORMED),
        (HEAD + b"X-Pad: " + b"p" * 99_999, Result.DELIVERED),
        (HEAD + b"X: y", Result.DELIVERED),
        (HEAD + b"no colon\r\nContent-Length: 0\r\n\r\n", Result.DELIVERED),
        (HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 200_000, Result.DELIVERED),
        (HEAD + b"Content-Length: 9\r\n\r\nok", Result.DELIVERED),
        (HEAD + b"\r\nwithout a length, and the connection stays", Result.DELIVERED),
    ],
)
def test_a_malformed_answer_ends_its_call_and_connection_soon(rig: Rig, answer: bytes, one: Result) -> None:
    for count, expected in ((1, one), (2, Result.MALFORMED)):
        results, took = rig.call(answer, count)
        assert results == [expected] * count and took < 2000.0
        until(lambda count=count: rig.endpoint.ended == count, "the connection's end")  # type: ignore[misc]


def test_a_malformed_bundle_closes_the_connection_and_a_malformed_load_report_is_ignored(rig: Rig) -> None:
    body = b'[{"id":"id-0","state":"done"},{"id":"id-1","st'
    results, _ = rig.call(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body, 2)
    assert results == [Result.MALFORMED] * 2
    until(lambda: rig.endpoint.ended == 1, "the connection's end")
    for report in (b"x0=?,x1=\x01", b"x0=0.1,x1=many"):
        line = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Backend-Load: " + report + b"\r\n\r\n"
        assert rig.call(line)[0] == [Result.REJECTED]
    assert len(rig.endpoint.opened) == 3  # one for each call


def test_surplus_bytes_are_not_the_next_answer_and_interim_answers_are_skipped(rig: Rig) -> None:
    second = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    assert rig.call(GOOD + second)[0] == [Result.DELIVERED]
    failed = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
    assert rig.call(b"HTTP/1.1 102 Wait\r\n\r\n" * 3 + failed)[0] == [Result.ERROR]
    assert len(rig.endpoint.opened) == 2
    assert rig.call(GOOD)[0] == [Result.DELIVERED] and len(rig.endpoint.opened) == 3
    rig.endpoint.opened[2].sendall(second)  # arrives after the call has ended
    assert rig.call(failed)[0] == [Result.ERROR]


def test_malformed_answers_are_no_sign_of_an_outage_nor_of_stale_connections() -> None:
    note = i.ClassSpec("note", 1000.0, 8000.0, 1.0, 0.1, i.Effect.SAFE)
    rules = i.Rules(cold_share=0.13, warm_within_ms=12_000.0, fall_multiple=2.5, fall_ms=2000.0)
    kinds = (i.KindSpec("dealer"),)
    settings = i.Settings((note,), kinds, slots=20, max_held=200, max_attempts=8, rules=rules)
    sender = Dispatcher(settings, seed=7)
    routes = tuple(i.RouteEntry(n, 0, 0, 3, i.RouteState.READY, 100.0) for n in (1, 2))
    sender.handle(0.0, [i.Listed(i.ListScope.WHOLE, 1, routes)])
    now, served = 0.0, 0
    ended: list[i.Event] = []
    for n in range(400):
        now += 50.0
        actions = sender.handle(now, [*ended, i.Taken(n, 3, 0, now + 8000.0)])
        ended = []
        for send in actions:
            if isinstance(send, i.Send):
                attempt = sender.pending[send.message].attempts - 1
                malformed = send.message % 20 == 7 and attempt == 0
                outcome = i.Outcome.SPOILT if malformed else i.Outcome.SERVED
                served += not malformed
                ended.append(i.Ended(send.message, attempt, send.route, outcome, 40.0, not malformed))
    limiters = [route.limiter for route in sender.routes.values()]
    assert served >= 395 and all(limiter.recovered_at == float("-inf") for limiter in limiters)
    assert sender.idle_failures == 0.0
