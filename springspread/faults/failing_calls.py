"""Runs a sender whose socket calls fail or are delayed according to a plan.

    python -m springspread.faults.failing_calls

The plan is a JSON list of ``Fault`` in the environment variable ``SPRINGSPREAD_FAILING_CALLS``. A fault is in
force while its file exists, so that a test can switch it on and off. Each injected fault is a line in the
sender's log (event ``fault``). The connect, recv and sendall methods of ``socket.socket`` are wrapped; system
calls that the interpreter makes within them, such as a retry after EINTR, are not affected.
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

PLAN_VARIABLE = "SPRINGSPREAD_FAILING_CALLS"
CALLS = ("connect", "recv", "sendall")
POLL_S = 0.002


@dataclass(slots=True)
class Fault:
    """A fault of one kind of call.

    ``call``: a method of ``socket.socket``. ``while_file``: in force while this file exists. ``port``: the
    peer's, 0 for any. ``thread``: name of the calling thread, empty for any. ``times``: the maximum number
    of injections. With ``error`` (a name such as ENETUNREACH) the call fails without being made.
    ``pause_s``: the call is delayed for so long, with ``until_file_gone`` as long as the file exists.
    ``after``: the delay follows the call, before the program gets its result.
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
    """Encode a plan for the environment variable."""
    return json.dumps([asdict(fault) for fault in faults])


class Injector:
    """Decides which fault of the plan, if any, applies to a call; thread-safe."""

    def __init__(self, faults: list[Fault]) -> None:
        self._faults = faults
        self._lock = threading.Lock()

    def take(self, call: str, port: int, *, after: bool) -> Fault | None:
        """The fault to inject before or after this call, counted as used."""
        thread = threading.current_thread().name
        with self._lock:
            for fault in self._faults:
                matches = fault.call == call and fault.port in (0, port) and fault.thread in ("", thread)
                matches = matches and fault.after is after
                if matches and fault.times > 0 and Path(fault.while_file).exists():
                    fault.times -= 1
                    return fault
        return None


def _log_fault(fault: Fault, port: int) -> None:
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
        return 0  # not connected any more
    return int(address[1]) if isinstance(address, tuple) else 0  # a Unix socket has none


def _wrap(call: str, original: Callable[..., Any], injector: Injector) -> Callable[..., Any]:
    def faulty(sock: socket.socket, *arguments: Any) -> Any:
        port = _peer_port(sock, call, arguments)
        if (fault := injector.take(call, port, after=False)) is not None:
            _log_fault(fault, port)
            if fault.error:
                code = getattr(errno, fault.error)
                raise OSError(code, os.strerror(code))
            _pause(fault)
        result = original(sock, *arguments)
        if (fault := injector.take(call, port, after=True)) is not None:
            _log_fault(fault, port)
            _pause(fault)
        return result

    return faulty


def install(faults: list[Fault]) -> None:
    """Wrap the socket calls of this process."""
    injector = Injector(faults)
    for call in CALLS:
        setattr(socket.socket, call, _wrap(call, getattr(socket.socket, call), injector))


if __name__ == "__main__":
    install([Fault(**fields) for fields in json.loads(os.environ[PLAN_VARIABLE])])
    os._exit(program.main())  # as the program itself ends
