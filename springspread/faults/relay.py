"""A relay between an instance and the daemon that delays, loses, duplicates, replays or cuts their lines.

Each instance has its own relay socket; the relay opens a connection to the daemon for each one that it
accepts. Faults are set while it runs; without any, lines pass unchanged.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from pathlib import Path

REPLAY_LINES = 200


class Direction(Enum):
    """The direction of a line."""

    UP = "to the daemon"
    DOWN = "to the instance"


class Fault(Enum):
    """The fault of one direction."""

    NONE = "none"
    LOSE = "lose"  # half-open: the connection stays, lines are dropped
    HOLD = "hold"  # lines are delayed until the fault ends
    DOUBLE = "double"


class Relay:
    """Relays one instance's connections to the daemon, until ``close``."""

    def __init__(self, path: Path, daemon: Path) -> None:
        """``path``: where the instance connects; ``daemon``: the daemon's own socket."""
        self._daemon, self._open = daemon, True
        self._faults = dict.fromkeys(Direction, Fault.NONE)
        self._refusing = False
        self._changed = threading.Condition()
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._recent_lines: deque[bytes] = deque(maxlen=REPLAY_LINES)
        self.line_listener: Callable[[Direction, bytes], None] = ignore_line
        path.unlink(missing_ok=True)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(path))
        self._listener.listen(16)
        threading.Thread(target=self._accept, name="relay", daemon=True).start()

    def set_fault(self, fault: Fault, *directions: Direction) -> None:
        """Set the fault of the given directions, or of both."""
        with self._changed:
            for direction in directions or tuple(Direction):
                self._faults[direction] = fault
            self._changed.notify_all()

    def cut(self, refuse_new: bool = True) -> None:
        """Cut open connections, also within a line; with ``refuse_new`` refuse new ones until ``heal``."""
        with self._changed:
            self._refusing = refuse_new
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def heal(self) -> None:
        """Accept connections and pass all lines again."""
        with self._changed:
            self._refusing = False
        self.set_fault(Fault.NONE)

    def replay(self) -> int:
        """Send the recent grants and prepares to the instance again; returns their number."""
        with self._changed:
            lines, pairs = list(self._recent_lines), list(self._pairs)
        for instance, _ in pairs[-1:]:
            with suppress(OSError):
                instance.sendall(b"".join(lines))
        return len(lines)

    def close(self) -> None:
        """Stop relaying."""
        self._open = False
        self._listener.close()
        self.cut()
        self.set_fault(Fault.LOSE)

    def _accept(self) -> None:
        while self._open:
            try:
                instance, _ = self._listener.accept()
            except OSError:
                return
            daemon = socket.socket(socket.AF_UNIX)
            try:
                if self._refusing:
                    raise OSError("cut off")
                daemon.connect(str(self._daemon))
            except OSError:
                instance.close()
                daemon.close()
                continue
            with self._changed:
                self._pairs.append((instance, daemon))
            for direction, source, sink in (
                (Direction.UP, instance, daemon),
                (Direction.DOWN, daemon, instance),
            ):
                threading.Thread(target=self._pump, args=(direction, source, sink), daemon=True).start()

    def _pump(self, direction: Direction, source: socket.socket, sink: socket.socket) -> None:
        rest = b""
        with suppress(OSError):
            while data := source.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._forward(direction, line + b"\n", sink)
        for sock in (source, sink):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if direction is Direction.DOWN:
            with self._changed:
                self._pairs = [pair for pair in self._pairs if pair[1] is not source]

    def _forward(self, direction: Direction, line: bytes, sink: socket.socket) -> None:
        self.line_listener(direction, line)
        with self._changed:
            while self._faults[direction] is Fault.HOLD and self._open:
                self._changed.wait()
            fault = self._faults[direction]
            if direction is Direction.DOWN and (b'"grant"' in line or b'"prepare"' in line):
                self._recent_lines.append(line)
        if fault is Fault.LOSE:
            return
        sink.sendall(line * (2 if fault is Fault.DOUBLE else 1))


def ignore_line(direction: Direction, line: bytes) -> None:
    """The default line listener."""
