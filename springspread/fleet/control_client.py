"""The client side of a daemon's control socket: it sends an order, one JSON object, and reads the answer."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

READ_BYTES = 1 << 16
ANSWER_S = 5.0
ANSWER_S_PER_MB = 2.0  # more for a long order: a document is parsed, compared and hashed before the answer


class OrderRefused(Exception):
    """An order that can't be carried out, or a folder that another daemon holds; the text says why."""


def send_order(control: Path, order: dict[str, Any], wait_s: float = 0.0) -> dict[str, Any]:
    """Send an order to the daemon that listens at ``control``; returns its answer.

    ``wait_s``: how long the daemon may wait before it answers. Raises ``OSError`` or ``ValueError`` where no
    answer comes, or not all of one.
    """
    line = json.dumps(order).encode() + b"\n"
    answer = bytearray()
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(ANSWER_S + wait_s + ANSWER_S_PER_MB * len(line) / 1e6)
        sock.connect(str(control))
        # Guards the daemon's refusal: one that reads no further may have answered before it closed.
        with suppress(BrokenPipeError, ConnectionResetError):
            sock.sendall(line)
        while not answer.endswith(b"\n") and (received := sock.recv(READ_BYTES)):
            answer += received
    if not answer.endswith(b"\n"):
        raise ConnectionError(f"the daemon's answer broke off after {len(answer):,} bytes")
    decoded: dict[str, Any] = json.loads(answer)
    return decoded
