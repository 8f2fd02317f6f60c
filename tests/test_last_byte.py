"""A call that may run only once begins with its last byte: a break before it proves that it never ran."""

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
    """An endpoint that serves the first request of each connection and then runs a script."""

    then: Callable[[socket.socket], None]
    first: Callable[[socket.socket], None] | None = None  # instead of serving the first request
    requests: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        serve_connections(self.sock, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        if self.first is not None:
            self.first(sock)
            return
        self.requests.append(read_request(sock))
        sock.sendall(GOOD)
        self.then(sock)


def reset_at_first_byte(sock: socket.socket) -> None:
    sock.recv(1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def close_at_first_byte(sock: socket.socket) -> None:
    sock.recv(65536)
    sock.close()


def keep_serving(sock: socket.socket) -> None:
    while read_request(sock):
        sock.sendall(GOOD)


class ClearanceWithRetryAfter(PermissiveClearance):
    """Permits a call to begin, but has a retry-after before its last byte."""

    def retry_after_left_ms(self, endpoint: Endpoint) -> float:
        return 100.0


def reset_after_the_last_byte(sock: socket.socket) -> None:
    request = b""
    while not request.endswith(LAST):
        request += sock.recv(65536)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


# Holds the last byte long enough for the endpoint to close its connection on a busy machine.
LONG_HOLD = Limits(last_byte_hold_min_ms=500.0, last_byte_hold_max_ms=500.0)


class Rig:
    def __init__(
        self, endpoint: RawEndpoint, clearance: PermissiveClearance, limits: Limits | None = None
    ) -> None:
        self.endpoint, self.ends = endpoint, list[CoreEvent]()
        self.workers = Workers(limits or Limits(), 1, (), clearance, self.ends.append, NullLog())
        self.target = Endpoint(1, "s-1", "127.0.0.1", endpoint.port, 7, True, 1)

    def call(self, *, safe: bool) -> Result:
        attempt = Attempt(len(self.ends), 0, "id", b"body" + LAST, clock() + 5000.0, safe)
        before = len(self.ends)
        self.workers.start(Call(self.target, (attempt,), clock()))
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


@pytest.mark.parametrize("then", [reset_at_first_byte, close_at_first_byte])
def test_no_call_goes_over_a_connection_that_its_endpoint_ends_at_the_next_request(
    endpoints: list[RawEndpoint], then: Callable[[socket.socket], None]
) -> None:
    endpoints.append(RawEndpoint(then))
    rig = Rig(endpoints[0], PermissiveClearance(), LONG_HOLD)
    for safe in (False, False, True):
        assert rig.call(safe=safe) is Result.DELIVERED
    assert len(endpoints[0].requests) == 3


def test_a_new_connection_that_breaks_before_the_last_byte_proves_that_nothing_ran(
    endpoints: list[RawEndpoint],
) -> None:
    endpoints.append(RawEndpoint(keep_serving, first=reset_at_first_byte))
    rig = Rig(endpoints[0], PermissiveClearance(), LONG_HOLD)
    assert rig.call(safe=False) is Result.NOT_CONNECTED


def test_a_connection_that_breaks_after_the_last_byte_proves_nothing(endpoints: list[RawEndpoint]) -> None:
    endpoints.append(RawEndpoint(keep_serving, first=reset_after_the_last_byte))
    rig = Rig(endpoints[0], PermissiveClearance())
    assert rig.call(safe=False) is Result.BROKEN  # it may have run


def test_a_retry_after_received_meanwhile_holds_the_last_byte_back(endpoints: list[RawEndpoint]) -> None:
    endpoints.append(RawEndpoint(keep_serving))
    rig = Rig(endpoints[0], ClearanceWithRetryAfter())
    assert rig.call(safe=False) is Result.REJECTED  # no sign of an outage: the endpoint sent a retry-after
    assert endpoints[0].requests in ([], [b""])  # its connection ended before the last byte


def test_the_last_byte_is_held_back_within_its_bounds(endpoints: list[RawEndpoint]) -> None:
    endpoints.append(RawEndpoint(keep_serving))
    rig = Rig(endpoints[0], PermissiveClearance())
    for safe in (True, False):
        rig.call(safe=safe)  # opens the connection
    begun = time.monotonic()
    for _ in range(10):
        assert rig.call(safe=False) is Result.DELIVERED
    held_s = (time.monotonic() - begun) / 10
    assert 0.001 * Limits().last_byte_hold_min_ms <= held_s < 0.001 * Limits().last_byte_hold_max_ms
