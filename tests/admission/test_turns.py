"""A client that sends many requests at once takes turns with the others, and is answered in full."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from random import Random

import pytest

from springspread.config import Limits
from springspread.core.types import Message
from springspread.http1.server import Request
from springspread.net.listener import Listener, listening_socket
from springspread.platform.client_api import Reply
from tests.peer import WAIT_S, until
from tests.test_malformed_answers import NullLog

PIPELINED = 1000
ANSWER_END = b"\r\n\r\n"


class Handler:
    """Answers each request with 200 and records its path; while ``go_on`` is clear, it waits."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.go_on = threading.Event()
        self.go_on.set()

    def respond(self, request: Request, begun: float, on_verdict: Callable[[Message], None]) -> Reply:
        self.paths.append(request.path)
        self.go_on.wait(WAIT_S)
        return Reply(200)

    def verdict(self, message: Message) -> Reply:
        raise AssertionError("no message is accepted")

    def gone(self, message: Message) -> None:
        raise AssertionError("no message is accepted")


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
def connect(handler: Handler) -> Iterator[Callable[[], socket.socket]]:
    listener = Listener(listening_socket(("127.0.0.1", 0), Limits()), handler, Limits(), NullLog())
    opened: list[socket.socket] = []

    def connection() -> socket.socket:
        opened.append(socket.create_connection(listener.address, timeout=WAIT_S))
        return opened[-1]

    yield connection
    handler.go_on.set()
    for sock in opened:
        sock.close()
    listener.close()


def request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def read_answers(sock: socket.socket, count: int) -> int:
    """Read until so many answers have come, or the end; returns how many have."""
    data = b""
    while data.count(ANSWER_END) < count and (chunk := sock.recv(65536)):
        data += chunk
    return data.count(ANSWER_END)


def test_request_of_another_client_is_answered_between_pipelined_ones(
    handler: Handler, connect: Callable[[], socket.socket]
) -> None:
    """One client that pipelined small requests held the others up for 0.2 s, and four for 0.9 s."""
    crowd, single = connect(), connect()
    single.sendall(request("/first"))
    assert read_answers(single, 1) == 1
    handler.go_on.clear()
    crowd.sendall(request("/crowd") * PIPELINED)
    until(lambda: "/crowd" in handler.paths, "the first of many")
    single.sendall(request("/single"))
    handler.go_on.set()
    assert read_answers(crowd, PIPELINED) == PIPELINED and read_answers(single, 1) == 1
    assert handler.paths.index("/single") - handler.paths.index("/crowd") < 5


def test_requests_pipelined_by_a_client_that_has_closed_its_connection_are_not_handled(
    handler: Handler, connect: Callable[[], socket.socket]
) -> None:
    """The next request was still handed on, as only a failed answer told that its client had left."""
    leaving, other = connect(), connect()
    handler.go_on.clear()
    leaving.sendall(request("/first") + request("/second") + request("/third"))
    until(lambda: handler.paths == ["/first"], "the first request")
    leaving.close()
    handler.go_on.set()
    other.sendall(request("/other"))
    assert read_answers(other, 1) == 1
    other.sendall(request("/last"))
    assert read_answers(other, 1) == 1
    assert handler.paths == ["/first", "/other", "/last"]


def test_unread_request_of_a_client_that_reset_its_connection_is_not_handled(
    handler: Handler, connect: Callable[[], socket.socket]
) -> None:
    leaving, other = connect(), connect()
    for sock in (leaving, other):
        sock.sendall(request("/before"))
        assert read_answers(sock, 1) == 1
    handler.go_on.clear()
    other.sendall(request("/other"))
    until(lambda: handler.paths[2:] == ["/other"], "the listener is busy")
    leaving.sendall(request("/left"))
    leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    leaving.close()
    handler.go_on.set()
    assert read_answers(other, 1) == 1
    other.sendall(request("/last"))
    assert read_answers(other, 1) == 1
    assert handler.paths[2:] == ["/other", "/last"]


def test_client_that_only_ended_its_sending_is_answered(
    handler: Handler, connect: Callable[[], socket.socket]
) -> None:
    sock = connect()
    sock.sendall(request("/one") + request("/two"))
    sock.shutdown(socket.SHUT_WR)
    assert read_answers(sock, 2) == 2 and handler.paths == ["/one", "/two"]


@pytest.mark.parametrize("seed", range(4))
def test_pipelined_requests_that_are_cut_anywhere_are_all_answered(
    handler: Handler, connect: Callable[[], socket.socket], seed: int
) -> None:
    """A client whose next request was incomplete at its turn was not read any more (never released)."""
    random, sock = Random(seed), connect()
    paths = [f"/{number}" for number in range(PIPELINED)]
    data = b"".join(map(request, paths))
    answered: list[int] = []
    reader = threading.Thread(target=lambda: answered.append(read_answers(sock, PIPELINED)), daemon=True)
    reader.start()
    while data:
        size = random.choice((1, 30, 500, 5000))
        sock.sendall(data[:size])
        data = data[size:]
    reader.join(WAIT_S)
    assert answered == [PIPELINED] and handler.paths == paths
