"""The daemon's control socket: each connection carries one order and its answer, JSON objects on a line each.

Only the user that runs the daemon may connect. The size and the time of an order are bounded. The rest of one
that is too long is read and discarded, up to a further bound, so that its sender receives the refusal instead
of a broken pipe.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

from springspread.core.clock import Clock
from springspread.core.types import Log
from springspread.fleet.control_client import OrderRefused
from springspread.net.threads import spawn
from springspread.rollout.document import MAX_POLICY_BYTES, oversize_message

MAX_ORDER_BYTES = 2 * MAX_POLICY_BYTES + (1 << 16)  # a policy is a JSON string in it, with quotes escaped
MAX_DISCARDED_BYTES = 2 * MAX_ORDER_BYTES
READ_BYTES = 1 << 18
SEND_BYTES = 1 << 16
IDLE_TIMEOUT_S = 2.0  # in either direction
ORDER_TIMEOUT_MS = 10_000.0  # for an order to arrive, and again for the rest of one that is too long
ANSWER_TIMEOUT_MS = 30_000.0  # for an answer to be read; the longest is a policy's text
BACKLOG = 16


class OrderTooLarge(OrderRefused):
    """An order over ``MAX_ORDER_BYTES``."""


class ControlSocket:
    """Serves orders, each on its own thread, until ``close``. Raises ``OSError`` where it can't listen."""

    def __init__(
        self, path: Path, carry_out: Callable[[object], dict[str, Any]], log: Log, clock: Clock
    ) -> None:
        """``carry_out`` returns the answer to a decoded order or raises ``OrderRefused``."""
        self._carry_out, self._log, self._clock = carry_out, log, clock
        self._listener = socket.socket(socket.AF_UNIX)
        path.unlink(missing_ok=True)
        mask = os.umask(0o177)  # so that the socket is created with mode 0600
        try:
            self._listener.bind(str(path))
        finally:
            os.umask(mask)
        self._listener.listen(BACKLOG)
        self._closed = False
        spawn("fleet-orders", self._listen, log)

    def _listen(self) -> None:
        while not self._closed:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.settimeout(IDLE_TIMEOUT_S)
            spawn("fleet-order", partial(self._serve, sock), self._log, vital=False)

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            try:
                send_answer(sock, self._clock, json.dumps(self._answer(sock)).encode() + b"\n")
            except OSError as exc:
                self._log.warning("order aborted", error=str(exc))

    def _answer(self, sock: socket.socket) -> dict[str, Any]:
        try:
            return {"ok": True, **self._carry_out(json.loads(read_order(sock, self._clock)))}
        except (OrderRefused, ValueError, RecursionError) as exc:
            return {"ok": False, "fault": str(exc)}

    def close(self) -> None:
        """Accept no more orders; accepted ones are still answered."""
        self._closed = True
        with suppress(OSError):  # wakes the thread that waits in ``accept``
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def send_answer(sock: socket.socket, clock: Clock, line: bytes) -> None:
    """Send an answer; raises ``OSError`` after a pause of ``IDLE_TIMEOUT_S`` or ``ANSWER_TIMEOUT_MS`` in all.

    ``sendall`` applies the socket's timeout to the whole answer, so a slow reader would get only part of it.
    """
    end = clock.now() + ANSWER_TIMEOUT_MS
    unsent = memoryview(line)
    while unsent:
        unsent = unsent[sock.send(unsent[:SEND_BYTES]) :]
        if unsent and clock.now() > end:
            raise TimeoutError("the answer was not read in time")


def read_order(sock: socket.socket, clock: Clock) -> bytes:
    """Read an order; raises ``OrderTooLarge``, or ``OSError`` where it does not arrive in time."""
    end = clock.now() + ORDER_TIMEOUT_MS
    data = bytearray()
    while not data.endswith(b"\n"):
        received = sock.recv(READ_BYTES)
        if not received:
            break
        data += received
        if len(data) > MAX_ORDER_BYTES:
            size, ended = _discard(sock, clock, data.endswith(b"\n"))
            size += len(data)
            raise OrderTooLarge(oversize_message("order", size, MAX_ORDER_BYTES, at_least=not ended))
        if clock.now() > end:
            raise TimeoutError("the order did not arrive in time")
    return bytes(data)


def _discard(sock: socket.socket, clock: Clock, ended: bool) -> tuple[int, bool]:
    """Discard the rest of an order, within bounds; returns the bytes read, and whether its end was."""
    size, end = 0, clock.now() + ORDER_TIMEOUT_MS
    while not ended and size < MAX_DISCARDED_BYTES and clock.now() < end:
        try:
            received = sock.recv(READ_BYTES)
        except OSError:
            break
        size += len(received)
        ended = not received or received.endswith(b"\n")
    return size, ended
