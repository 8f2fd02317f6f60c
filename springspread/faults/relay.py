"""Between an instance and the daemon: a relay that passes, holds, loses, doubles, replays or cuts what they
say.

It stands at a socket of its own, one for each instance, and connects to the daemon's for each connection
that comes. Faults are put on while it runs; without any it passes lines as they are.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from pathlib import Path

KEPT = 200  # lines to the instance that can be replayed


class Direction(Enum):
    """A direction."""

    UP = "to the daemon"
    DOWN = "to the instance"


class Fault(Enum):
    """What is done to the lines of one direction."""

    NONE = "none"
    LOSE = "lose"  # half-open: the connection stays, nothing arrives
    HOLD = "hold"  # nothing arrives until it is over, then all of it
    DOUBLE = "double"


class Relay:
    """One instance's way to the daemon, until ``close``."""

    def __init__(self, path: Path, daemon: Path) -> None:
        """``path``: where the instance connects; ``daemon``: the daemon's own socket."""
        self._daemon, self._open = daemon, True
        self._faults = dict.fromkeys(Direction, Fault.NONE)
        self._away = False
        self._changed = threading.Condition()
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._past: deque[bytes] = deque(maxlen=KEPT)
        self.line_listener: Callable[[Direction, bytes], None] = unseen
        path.unlink(missing_ok=True)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(path))
        self._listener.listen(16)
        threading.Thread(target=self._accept, name="relay", daemon=True).start()

    def set_fault(self, fault: Fault, *ways: Direction) -> None:
        """Begin a fault in some directions, or in both."""
        with self._changed:
            for way in ways or tuple(Direction):
                self._faults[way] = fault
            self._changed.notify_all()

    def cut(self, refuse_new: bool = True) -> None:
        """Break what is open, in the middle of a line; while ``refuse_new``, nobody gets through anew."""
        with self._changed:
            self._away = refuse_new
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def heal(self) -> None:
        """Everything passes again."""
        with self._changed:
            self._away = False
        self.set_fault(Fault.NONE)

    def replay(self) -> int:
        """Say everything to the instance again that it was told lately; how many lines that was."""
        with self._changed:
            lines, pairs = list(self._past), list(self._pairs)
        for instance, _ in pairs[-1:]:
            with suppress(OSError):
                instance.sendall(b"".join(lines))
        return len(lines)

    def close(self) -> None:
        """End it."""
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
                if self._away:
                    raise OSError("cut off")
                daemon.connect(str(self._daemon))
            except OSError:
                instance.close()
                daemon.close()
                continue
            with self._changed:
                self._pairs.append((instance, daemon))
            for way, source, sink in ((Direction.UP, instance, daemon), (Direction.DOWN, daemon, instance)):
                threading.Thread(target=self._pump, args=(way, source, sink), daemon=True).start()

    def _pump(self, way: Direction, source: socket.socket, sink: socket.socket) -> None:
        rest = b""
        with suppress(OSError):
            while data := source.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._pass(way, line + b"\n", sink)
        for sock in (source, sink):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if way is Direction.DOWN:
            with self._changed:
                self._pairs = [pair for pair in self._pairs if pair[1] is not source]

    def _pass(self, way: Direction, line: bytes, sink: socket.socket) -> None:
        self.line_listener(way, line)
        with self._changed:
            while self._faults[way] is Fault.HOLD and self._open:
                self._changed.wait()
            fault = self._faults[way]
            if way is Direction.DOWN and (b'"grant"' in line or b'"prepare"' in line):
                self._past.append(line)
        if fault is Fault.LOSE:
            return
        sink.sendall(line * (2 if fault is Fault.DOUBLE else 1))


def unseen(way: Direction, line: bytes) -> None:
    """Nobody looks at what passes."""
