"""Partners that take or answer slowly: each call ends in time, and holds up no other."""

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
from tests.test_malformed_answers import NullLog, PermissiveClearance

LIMITS = replace(Limits(), endpoint_write_ms=300.0, answer_rest_ms=300.0)
Habit = Callable[[socket.socket], None]


def reads_nothing(sock: socket.socket) -> None:
    time.sleep(5.0)


def drips(sock: socket.socket) -> None:
    sock.recv(65536)
    for byte in b"HTTP/1.1 503 Busy\r\n":
        sock.send(bytes([byte]))
        time.sleep(0.1)


def answers(sock: socket.socket) -> None:
    while sock.recv(65536):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.fixture
def serve() -> Iterator[Callable[[Habit], Endpoint]]:
    opened: list[socket.socket] = []

    def start(habit: Habit) -> Endpoint:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        opened.append(listener)

        def one(sock: socket.socket) -> None:
            with contextlib.suppress(OSError):
                habit(sock)
            sock.close()

        def run() -> None:
            while True:
                try:
                    sock = listener.accept()[0]
                except OSError:
                    return
                threading.Thread(target=one, args=(sock,), daemon=True).start()

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
def test_a_partner_that_reads_nothing_never_had_the_call(
    serve: Callable[[Habit], Endpoint], safe: bool
) -> None:
    ends: list[CoreEvent] = []
    workers = Workers(LIMITS, 1, (), PermissiveClearance(), ends.append, NullLog())
    workers.start(call(serve(reads_nothing), 9, 700_000, safe))  # more than the system's buffers take
    until(lambda: len(ends) == 9, "the ends")
    assert {end.result for end in ends if isinstance(end, AttemptEnd)} == {Result.NOT_CONNECTED}


def test_slow_partners_hold_their_own_slots_and_nothing_else(
    serve: Callable[[Habit], Endpoint],
) -> None:
    ends: list[CoreEvent] = []
    workers = Workers(LIMITS, 8, (), PermissiveClearance(), ends.append, NullLog())
    usual = serve(answers)
    for habit in (drips, drips, drips, reads_nothing, reads_nothing, reads_nothing):
        workers.start(call(serve(habit), 9 if habit is reads_nothing else 1, 700_000))
    took = []
    for _ in range(20):
        begun, before = time.monotonic(), len(ends)
        workers.start(call(usual, 1, 10))
        until(
            lambda before=before: any(  # type: ignore[misc]
                isinstance(end, AttemptEnd) and end.call.endpoint is usual for end in ends[before:]
            ),
            "the usual call's end",
        )
        took.append(time.monotonic() - begun)
    assert sorted(took)[10] < 0.05
    until(lambda: len(ends) == 20 + 3 * 9 + 3, "all ends")
    slow = {end.result for end in ends if isinstance(end, AttemptEnd) and end.call.endpoint is not usual}
    assert slow == {Result.SPOILT, Result.NOT_CONNECTED}
