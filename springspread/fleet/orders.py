"""Orders to a daemon, from outside: one JSON object there, one back, on the socket in its folder."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

ANSWER_S = 5.0


def asked(control: Path, order: dict[str, Any], wait_s: float = 0.0) -> dict[str, Any]:
    """A daemon's answer to an order; raises ``OSError`` or ``ValueError`` where none comes."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(ANSWER_S + wait_s)
        sock.connect(str(control))
        sock.sendall(json.dumps(order).encode() + b"\n")
        data = b""
        while more := sock.recv(65536):
            data += more
    answer: dict[str, Any] = json.loads(data)
    return answer
