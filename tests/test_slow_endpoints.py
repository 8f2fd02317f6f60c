"""Endpoints that read or answer slowly: each call ends in time and delays no other."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from springspread.config import Limits
from springspread.core.types import Attempt, AttemptEnd, Call, CoreEvent, Endpoint, Result, clock
from springspread.net.endpoints import Workers
from tests.peer import until
from tests.test_malformed_answers import NullLog, PermissiveClearance, read_request

LIMITS = replace(Limits(), endpoint_write_ms=300.0, answer_read_ms=300.0)
Script = Callable[[socket.socket], None]


def reads_nothing(sock: socket.socket) -> None:
    time.sleep(5.0)


def trickles(sock: socket.socket) -> None:
    read_request(sock)
    for byte in b"HTTP/1.1 503 Busy\r\n":
        sock.send(bytes([byte]))
        time.sleep(0.1)


def answers(sock: socket.socket) -> None:
    while sock.recv(65536):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.fixture
def serve() -> Iterator[Callable[[Script], Endpoint]]:
    opened: list[socket.socket] = []

    def start(script: Script) -> Endpoint:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        opened.append(listener)

        def handle(sock: socket.socket) -> None:
            with contextlib.suppress(OSError):
                script(sock)
            sock.close()

        def run() -> None:
            while True:
                try:
                    sock = listener.accept()[0]
                except OSError:
                    return
                threading.Thread(target=handle, args=(sock,), daemon=True).start()

        threading.Thread(target=run, daemon=True).start()
        return Endpoint(len(opened), "s", "127.0.0.1", listener.getsockname()[1], 7, True, 9)

    yield start
    for sock in opened:
        sock.close()


def call(endpoint: Endpoint, count: int, size: int, safe: bool = True) -> Call:
    now = clock()
    attempts = [Attempt(n, 0, f"id-{n}", b"x" * size, now + 4000, safe) for n in range(count)]
    return Call(endpoint, attempts, now)


@pytest.mark.parametrize("safe", [True, False])
def test_a_call_to_an_endpoint_that_reads_nothing_never_began(
    serve: Callable[[Script], Endpoint], safe: bool
) -> None:
    ends: list[CoreEvent] = []
    workers = Workers(LIMITS, 1, (), PermissiveClearance(), ends.append, NullLog())
    workers.start(call(serve(reads_nothing), 9, 700_000, safe))  # more than the socket buffers hold
    until(lambda: len(ends) == 9, "the ends")
    assert {end.result for end in ends if isinstance(end, AttemptEnd)} == {Result.NOT_CONNECTED}


def test_slow_endpoints_occupy_their_own_slots_and_delay_no_other_call(
    serve: Callable[[Script], Endpoint],
) -> None:
    ends: list[CoreEvent] = []
    workers = Workers(LIMITS, 8, (), PermissiveClearance(), ends.append, NullLog())
    fast = serve(answers)
    for script, count, size in [(trickles, 1, 10)] * 3 + [(reads_nothing, 9, 700_000)] * 3:
        workers.start(call(serve(script), count, size))
    durations = []
    for _ in range(20):
        begun, before = time.monotonic(), len(ends)
        workers.start(call(fast, 1, 10))
        until(
            lambda before=before: any(  # type: ignore[misc]
                isinstance(end, AttemptEnd) and end.call.endpoint is fast for end in ends[before:]
            ),
            "the end of the call to the fast endpoint",
        )
        durations.append(time.monotonic() - begun)
    assert sorted(durations)[10] < 0.05
    until(lambda: len(ends) == 20 + 3 * 9 + 3, "all ends")
    slow = {end.result for end in ends if isinstance(end, AttemptEnd) and end.call.endpoint is not fast}
    assert slow == {Result.MALFORMED, Result.NOT_CONNECTED}
