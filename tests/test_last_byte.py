"""A call that may run only once begins with its last byte: what breaks before it proves it never ran."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest

from springspread.config import Limits
from springspread.core.types import Attempt, AttemptEnd, Call, CoreEvent, Endpoint, Result, clock
from springspread.net.endpoints import Workers
from tests.peer import serve_connections, until
from tests.test_malformed_answers import GOOD, NullLog, PermissiveClearance, read_request

RESET = struct.pack("ii", 1, 0)
LAST = b"!"


@dataclass
class RawEndpoint:
    """An endpoint that serves each connection's first request, and then does as told with the next bytes."""

    then: Callable[[socket.socket], None]
    first: Callable[[socket.socket], None] | None = None  # in place of serving a first request
    took: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        serve_connections(self.sock, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        if self.first is not None:
            self.first(sock)
            return
        self.took.append(read_request(sock))
        sock.sendall(GOOD)
        self.then(sock)


def reset_at_a_byte(sock: socket.socket) -> None:
    sock.recv(1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def end_at_a_byte(sock: socket.socket) -> None:
    sock.recv(65536)
    sock.close()


def serve_on(sock: socket.socket) -> None:
    while read_request(sock):
        sock.sendall(GOOD)


class Barred(PermissiveClearance):
    """Lets a call begin, and hears of a wait before its last byte."""

    def barred_ms(self, endpoint: Endpoint) -> float:
        return 100.0


def reset_after_the_last_byte(sock: socket.socket) -> None:
    request = b""
    while not request.endswith(LAST):
        request += sock.recv(65536)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


# The last byte is held until the endpoint's end has come, however busy the machine is: with the program's own
# few milliseconds the endpoint's thread would have to be faster than they are.
PATIENT = Limits(hold_least_ms=500.0, hold_most_ms=500.0)


class Rig:
    def __init__(
        self, endpoint: RawEndpoint, clearance: PermissiveClearance, limits: Limits | None = None
    ) -> None:
        self.endpoint, self.ends = endpoint, list[CoreEvent]()
        self.workers = Workers(limits or Limits(), 1, (), clearance, self.ends.append, NullLog())
        self.target = Endpoint(1, "s-1", "127.0.0.1", endpoint.port, 7, True, 1)

    def call(self, *, safe: bool) -> Result:
        run = Attempt(len(self.ends), 0, "id", b"body" + LAST, clock() + 5000.0, safe)
        before = len(self.ends)
        self.workers.start(Call(self.target, (run,), clock()))
        until(lambda: len(self.ends) > before, "the end")
        (end,) = self.ends[before:]
        assert isinstance(end, AttemptEnd)
        return end.result


@pytest.fixture
def endpoints() -> Iterator[list[RawEndpoint]]:
    made: list[RawEndpoint] = []
    yield made
    for endpoint in made:
        endpoint.sock.close()


@pytest.mark.parametrize("then", [reset_at_a_byte, end_at_a_byte])
def test_a_dead_connection_costs_an_unsafe_call_nothing(
    endpoints: list[RawEndpoint], then: Callable[[socket.socket], None]
) -> None:
    endpoints.append(RawEndpoint(then))
    rig = Rig(endpoints[0], PermissiveClearance(), PATIENT)
    assert rig.call(safe=False) is Result.DELIVERED
    assert rig.call(safe=False) is Result.DELIVERED  # over a new connection, as it had not begun
    assert len(endpoints[0].took) == 2
    assert rig.call(safe=True) is Result.BROKEN  # one that may be repeated does not wait to find out


def test_a_new_connection_that_is_dead_before_the_last_byte_proves_that_nothing_ran(
    endpoints: list[RawEndpoint],
) -> None:
    endpoints.append(RawEndpoint(serve_on, first=reset_at_a_byte))
    rig = Rig(endpoints[0], PermissiveClearance(), PATIENT)
    assert rig.call(safe=False) is Result.NOT_CONNECTED


def test_a_connection_that_breaks_after_the_last_byte_proves_nothing(endpoints: list[RawEndpoint]) -> None:
    endpoints.append(RawEndpoint(serve_on, first=reset_after_the_last_byte))
    rig = Rig(endpoints[0], PermissiveClearance())
    assert rig.call(safe=False) is Result.BROKEN  # it may have run


def test_no_last_byte_follows_a_wait_that_was_told_meanwhile(endpoints: list[RawEndpoint]) -> None:
    endpoints.append(RawEndpoint(serve_on))
    rig = Rig(endpoints[0], Barred())
    assert rig.call(safe=False) is Result.REJECTED  # no sign of an outage: the endpoint told it to wait
    assert endpoints[0].took in ([], [b""])  # its connection ended one byte short


def test_holding_the_last_byte_back_costs_some_milliseconds(endpoints: list[RawEndpoint]) -> None:
    endpoints.append(RawEndpoint(serve_on))
    rig = Rig(endpoints[0], PermissiveClearance())
    for safe in (True, False):
        rig.call(safe=safe)  # the connection is there
    begun = time.monotonic()
    for _ in range(10):
        assert rig.call(safe=False) is Result.DELIVERED
    held = (time.monotonic() - begun) / 10
    assert 0.001 * Limits().hold_least_ms <= held < 0.001 * Limits().hold_most_ms
