"""A sender whose socket calls fail or are held up as a plan says.

    python -m springspread.faults.failing_calls

The plan is a JSON list of ``Fault`` in the environment variable ``SPRINGSPREAD_FAILING_CALLS``. A fault is
in force while its file exists, so that a test opens and closes it at a moment of its own choosing. Each one
that happens is a line in the sender's log (event ``fault``). This layer stands round Python's
``socket.socket``: it reaches each connect, recv and sendall of the program, and no system call that the
interpreter makes inside one of them (the retry after EINTR, say).
"""

from __future__ import annotations

import errno
import json
import os
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import springspread.__main__ as program

VARIABLE = "SPRINGSPREAD_FAILING_CALLS"
CALLS = ("connect", "recv", "sendall")
POLL_S = 0.002


@dataclass(slots=True)
class Fault:
    """What happens to one kind of call.

    ``call``: a method of ``socket.socket``. ``while_file``: in force while this file exists. ``port``: of the
    peer; 0 for any. ``thread``: of the program, by name; empty for any. ``times``: so often at most. With
    ``error`` (a name such as ENETUNREACH) the call fails in place of being made. ``pause_s``: it is held up
    for so long; with ``until_file_gone`` for as long as the file exists. ``after``: the pause comes behind
    the call, before the program sees what it brought.
    """

    call: str
    while_file: str
    port: int = 0
    thread: str = ""
    times: int = 1_000_000
    error: str = ""
    pause_s: float = 0.0
    until_file_gone: bool = False
    after: bool = False

    def __post_init__(self) -> None:
        if self.call not in CALLS:
            raise ValueError(f"call: must be one of {', '.join(CALLS)}: {self.call!r}")
        if self.error and not hasattr(errno, self.error):
            raise ValueError(f"error: no such errno: {self.error!r}")


def encoded(faults: Iterable[Fault]) -> str:
    """The plan as the environment holds it."""
    return json.dumps([asdict(fault) for fault in faults])


class Injector:
    """Decides whether a fault of the plan meets a call; safe from any thread."""

    def __init__(self, faults: list[Fault]) -> None:
        self._faults = faults
        self._lock = threading.Lock()

    def take(self, call: str, port: int, *, after: bool) -> Fault | None:
        """The fault that meets this call before or after it is made, counted as used."""
        thread = threading.current_thread().name
        with self._lock:
            for fault in self._faults:
                here = fault.call == call and fault.port in (0, port) and fault.thread in ("", thread)
                here = here and fault.after is after
                if here and fault.times > 0 and Path(fault.while_file).exists():
                    fault.times -= 1
                    return fault
        return None


def _tell(fault: Fault, port: int) -> None:
    line = {"event": "fault", "call": fault.call, "port": port, "error": fault.error}
    sys.stderr.write(json.dumps(line) + "\n")
    sys.stderr.flush()


def _pause(fault: Fault) -> None:
    time.sleep(fault.pause_s)
    while fault.until_file_gone and Path(fault.while_file).exists():
        time.sleep(POLL_S)


def _peer_port(sock: socket.socket, call: str, arguments: tuple[Any, ...]) -> int:
    try:
        address = arguments[0] if call == "connect" else sock.getpeername()
    except OSError:
        return 0  # no longer connected
    return int(address[1]) if isinstance(address, tuple) else 0  # a Unix socket has none


def _wrapped(call: str, real: Callable[..., Any], injector: Injector) -> Callable[..., Any]:
    def faulty(sock: socket.socket, *arguments: Any) -> Any:
        port = _peer_port(sock, call, arguments)
        if (fault := injector.take(call, port, after=False)) is not None:
            _tell(fault, port)
            if fault.error:
                number = getattr(errno, fault.error)
                raise OSError(number, os.strerror(number))
            _pause(fault)
        result = real(sock, *arguments)
        if (fault := injector.take(call, port, after=True)) is not None:
            _tell(fault, port)
            _pause(fault)
        return result

    return faulty


def install(faults: list[Fault]) -> None:
    """Put the plan round this process's sockets."""
    injector = Injector(faults)
    for call in CALLS:
        setattr(socket.socket, call, _wrapped(call, getattr(socket.socket, call), injector))


if __name__ == "__main__":
    install([Fault(**fields) for fields in json.loads(os.environ[VARIABLE])])
    os._exit(program.main())  # as the program itself ends
