"""The client of a daemon's control socket: sends an order, one JSON object, and reads the answer."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

READ_BYTES = 1 << 16
ANSWER_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S_PER_MB = 2.0  # of the order: a policy is parsed, compared and hashed before the answer


class OrderRefused(Exception):
    """An order that can't be carried out, or a folder that a daemon can't use; the message says why."""


def send_order(control: Path, order: dict[str, Any], wait_s: float = 0.0) -> dict[str, Any]:
    """Send an order to the daemon that listens at ``control``; returns its answer.

    ``wait_s``: how long the daemon may wait before it answers. Raises ``OSError`` or ``ValueError`` where the
    answer is missing or truncated.
    """
    line = json.dumps(order).encode() + b"\n"
    answer = bytearray()
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(ANSWER_TIMEOUT_S + wait_s + ANSWER_TIMEOUT_S_PER_MB * len(line) / 1e6)
        sock.connect(str(control))
        # A daemon that stops reading may have sent its refusal before it closed the connection.
        with suppress(BrokenPipeError, ConnectionResetError):
            sock.sendall(line)
        while not answer.endswith(b"\n") and (received := sock.recv(READ_BYTES)):
            answer += received
    if not answer.endswith(b"\n"):
        raise ConnectionError(f"the daemon's answer was truncated after {len(answer):,} bytes")
    decoded: dict[str, Any] = json.loads(answer)
    return decoded
