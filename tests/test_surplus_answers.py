"""Bytes that a server writes behind an answer, at any later time, are not taken for another answer."""

from __future__ import annotations

import errno
import socket
import threading
from collections.abc import Callable, Iterator

import pytest

from springspread.config import Limits
from springspread.core.types import Attempt, AttemptEnd, Call, CoreEvent, Endpoint, Notice, Result, clock
from springspread.net.endpoints import Workers
from springspread.net.exchange import Caller, Connection
from springspread.net.notices import Notifier
from tests.peer import WAIT_S, serve_connections, until
from tests.test_malformed_answers import GOOD, NullLog, PermissiveClearance, read_request

REJECTED = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
ROUNDS = 10
LONG_HOLD = Limits(last_byte_hold_min_ms=500.0, last_byte_hold_max_ms=500.0)


def wait_for_input(sock: socket.socket) -> bool:
    """Wait for the first byte of a request without reading it; false if the connection ended."""
    return bool(sock.recv(1, socket.MSG_PEEK))


def copy_at_the_next_request(sock: socket.socket) -> None:
    """Send a second copy as the next request's first bytes arrive; they acknowledge the first copy."""
    while read_request(sock):
        sock.sendall(GOOD)
        if wait_for_input(sock):
            sock.sendall(GOOD)
            read_request(sock)
            sock.sendall(REJECTED)


def keep_serving(sock: socket.socket) -> None:
    while read_request(sock):
        sock.sendall(GOOD)


class CopyingEndpoint:
    """Answers its requests by turns with 200 and 503. Right behind each 200 it writes a second copy.

    Like most servers it leaves Nagle's algorithm on: the copy goes out once the answer is acknowledged.
    """

    def __init__(self) -> None:
        self.count = self.finished = 0

    def __call__(self, sock: socket.socket) -> None:
        while read_request(sock):
            self.count += 1
            sock.sendall(GOOD if self.count % 2 else REJECTED)
            if self.count % 2:
                sock.sendall(GOOD)
            self.finished = self.count

    def wait_until_finished(self, count: int) -> None:
        """Wait until the answers to so many requests and their copies are written."""
        until(lambda: self.finished >= count, "the answers")


class Rig:
    """The workers alone, with one endpoint that runs a script on each connection."""

    def __init__(self, script: Callable[[socket.socket], None], limits: Limits | None = None) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = ("127.0.0.1", self.sock.getsockname()[1])
        self.opened: list[socket.socket] = []
        self._script = script
        serve_connections(self.sock, self._serve)
        self.ends: list[CoreEvent] = []
        self.workers = Workers(limits or Limits(), 1, (), PermissiveClearance(), self.ends.append, NullLog())
        self.target = Endpoint(1, "s-1", *self.address, 7, True, 1)

    def _serve(self, sock: socket.socket) -> None:
        self.opened.append(sock)
        try:
            self._script(sock)
        except OSError:
            sock.close()

    def call(self, *, safe: bool) -> Result:
        before = len(self.ends)
        attempt = Attempt(before, 0, f"id-{before}", b"body", clock() + 5000.0, safe)
        self.workers.start(Call(self.target, (attempt,), clock()))
        until(lambda: len(self.ends) > before, "the end")
        (end,) = self.ends[before:]
        assert isinstance(end, AttemptEnd)
        return end.result


@pytest.fixture
def make_rig() -> Iterator[Callable[..., Rig]]:
    made: list[Rig] = []

    def make(script: Callable[[socket.socket], None], limits: Limits | None = None) -> Rig:
        made.append(Rig(script, limits))
        return made[-1]

    yield make
    for rig in made:
        rig.sock.close()


# Guards against an unsafe message counted as delivered by the second copy of an earlier message's answer.
def test_copy_that_arrives_before_the_last_byte_of_an_unsafe_call_is_not_its_answer(
    make_rig: Callable[..., Rig],
) -> None:
    answered: list[bytes] = []

    def script(sock: socket.socket) -> None:
        if answered:
            while read_request(sock):
                sock.sendall(REJECTED)
        answered.append(GOOD)
        copy_at_the_next_request(sock)

    rig = make_rig(script, LONG_HOLD)
    assert rig.call(safe=False) is Result.DELIVERED
    assert rig.call(safe=False) is Result.REJECTED  # over a new connection, as the call had not begun
    assert len(rig.opened) == 2


# Guards against answers shifted by one call on a reused connection, so that a rejected message is lost.
@pytest.mark.parametrize("safe", [True, False])
def test_copy_that_the_endpoint_holds_back_until_it_is_acknowledged_is_not_the_next_answer(
    make_rig: Callable[..., Rig], safe: bool
) -> None:
    endpoint = CopyingEndpoint()
    rig = make_rig(endpoint)
    for count in range(1, 2 * ROUNDS + 1):
        assert rig.call(safe=safe) is (Result.DELIVERED if count % 2 else Result.REJECTED)
        endpoint.wait_until_finished(count)


# Guards against the same where the copy is still on its way when the next call begins.
def test_copy_that_arrives_as_the_next_call_begins_is_not_its_answer(make_rig: Callable[..., Rig]) -> None:
    wanted = threading.Event()

    def script(sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        read_request(sock)
        sock.sendall(REJECTED if wanted.is_set() else GOOD)
        wanted.wait(WAIT_S)
        sock.sendall(GOOD)
        read_request(sock)

    rig = make_rig(script, LONG_HOLD)
    assert rig.call(safe=True) is Result.DELIVERED
    wanted.set()
    assert rig.call(safe=True) is Result.REJECTED  # over a new connection
    assert len(rig.opened) == 2


# Guards against a notice that counts as delivered, or a list taken for a newer one, by a surplus answer.
def test_copy_of_an_answer_of_discovery_or_the_platform_is_not_the_next_answer(
    make_rig: Callable[..., Rig],
) -> None:
    endpoint = CopyingEndpoint()
    caller = Caller(make_rig(endpoint).address, Limits())
    for count in range(1, 2 * ROUNDS + 1):
        answer = caller.call("POST", "/v2/finals", {}, b"{}", clock() + 5000.0)
        assert answer.status == (200 if count % 2 else 503)
        endpoint.wait_until_finished(count)


class LateCopies:
    """Gives a fixed series of answers; writes a second copy of a connection's earlier one before the next."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = iter(answers)

    def __call__(self, sock: socket.socket) -> None:
        earlier = b""
        while read_request(sock):
            sock.sendall(earlier)  # only now: the request is complete, so no check before it can see the copy
            earlier = next(self._answers)
            sock.sendall(earlier)


# Guards against a message lost by the copy of a 200, or run twice by the copy of a 503, of an earlier call.
@pytest.mark.parametrize("safe", [True, False])
@pytest.mark.parametrize(
    ("answers", "results"),
    [
        ((GOOD, REJECTED), [Result.DELIVERED, Result.REJECTED]),
        ((REJECTED, GOOD), [Result.REJECTED, Result.DELIVERED]),
        (
            (GOOD, GOOD, REJECTED, GOOD),
            [Result.DELIVERED, Result.DELIVERED, Result.REJECTED, Result.DELIVERED],
        ),
    ],
    ids=["lost", "run twice", "shifted"],
)
def test_copy_that_arrives_while_a_call_is_processed_is_not_its_answer(
    make_rig: Callable[..., Rig], answers: tuple[bytes, ...], results: list[Result], safe: bool
) -> None:
    rig = make_rig(LateCopies(*answers))
    assert [rig.call(safe=safe) for _ in answers] == results


# Guards against a notice lost by the copy of a 204, and against an old list taken for the current one.
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_copy_that_arrives_while_a_request_is_processed_is_not_its_answer(
    make_rig: Callable[..., Rig], method: str
) -> None:
    caller = Caller(make_rig(LateCopies(GOOD, REJECTED)).address, Limits())
    statuses = [caller.call(method, "/", {}, b"", clock() + 5000.0).status for _ in range(2)]
    assert statuses == [200, 503]


# Guards against a wait that an early rejection tells being ignored: nothing came before on a new connection.
def test_early_answer_on_a_new_connection_is_the_answer(make_rig: Callable[..., Rig]) -> None:
    def reject_at_once(sock: socket.socket) -> None:
        sock.sendall(REJECTED)
        read_request(sock)

    assert make_rig(reject_at_once, LONG_HOLD).call(safe=False) is Result.REJECTED


# Guards against a message lost by a 200 that comes before its call's last byte, so before it can have run.
@pytest.mark.parametrize("safe", [True, False])
@pytest.mark.parametrize(
    "early", [GOOD, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b"noise", b"HTTP/1.1 2"]
)
def test_bytes_before_the_last_byte_of_a_call_do_not_deliver_it(
    make_rig: Callable[..., Rig], early: bytes, safe: bool
) -> None:
    requests: list[bytes] = []

    def script(sock: socket.socket) -> None:
        sock.sendall(early)
        requests.append(read_request(sock))

    rig = make_rig(script, LONG_HOLD)
    assert rig.call(safe=safe) is Result.NOT_CONNECTED
    until(lambda: requests, "the end of the connection")
    assert requests == [b""]  # no complete one, so it may be sent elsewhere


# Guards against a notice lost by a 204 that comes ahead of it.
def test_answer_ahead_of_its_notice_does_not_confirm_it(make_rig: Callable[..., Rig]) -> None:
    def script(sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")  # before a byte of the request is read
        read_request(sock)

    events: list[CoreEvent] = []
    warnings: list[str] = []

    class Log(NullLog):
        def warning(self, event: str, **values: object) -> None:
            warnings.append(event)

    address = make_rig(script).address
    Notifier(address, LONG_HOLD, events.append, Log(), lambda: None).deliver(Notice(4, "late", False))
    until(lambda: len(warnings) >= 2, "two attempts")
    assert set(warnings) == {"notice not sent"} and events == []


# Guards against any way to send two requests over one connection, whatever became of the first.
@pytest.mark.parametrize(
    "first", [GOOD, REJECTED, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", b"noise", b""]
)
@pytest.mark.parametrize("safe", [True, False])
def test_no_connection_carries_two_calls(make_rig: Callable[..., Rig], first: bytes, safe: bool) -> None:
    requests: list[int] = []

    def script(sock: socket.socket) -> None:
        requests.append(0)
        number = len(requests) - 1
        while read_request(sock):
            requests[number] += 1
            sock.sendall(first if number == 0 else GOOD)
            if number == 0 and not first:
                sock.close()
                return

    rig = make_rig(script)
    rig.call(safe=safe)
    assert [rig.call(safe=other) for other in (safe, not safe)] == [Result.DELIVERED] * 2
    assert requests == [1, 1, 1]


# Guards against a connection used again by code that holds on to it.
def test_second_request_on_a_connection_is_an_error(make_rig: Callable[..., Rig]) -> None:
    connection = Connection(make_rig(keep_serving).address, clock() + 5000.0, Limits())
    connection.write("GET", "/", {}, b"", clock() + 5000.0)
    assert connection.read(clock() + 5000.0).status == 200
    with pytest.raises(ValueError, match="carries one request"):
        connection.write("GET", "/", {}, b"", clock() + 5000.0)
    connection.close()


# Guards against writing the last byte after ETIMEDOUT, which Python raises as it does the end of a wait.
def test_connection_that_failed_during_the_hold_never_carried_its_call(make_rig: Callable[..., Rig]) -> None:
    class FailedSocket(socket.socket):
        def recv(self, *_: int) -> bytes:
            raise OSError(errno.ETIMEDOUT, "Connection timed out")

        def sendall(self, *_: object) -> None:
            """Take the bytes, as the system does before it knows of the failure."""

    connection = Connection(make_rig(wait_for_input).address, clock() + 5000.0, Limits())
    connection.close()
    connection.sock = FailedSocket()
    with pytest.raises(TimeoutError, match="Connection timed out"):
        connection.write("POST", "/events", {}, b"body", clock() + 5000.0, lambda: True)
    connection.close()
