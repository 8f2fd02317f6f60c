"""Told waits, as processes on one folder tell them to one another: partners see one sender.

Each process appends to a file in its lane until when (ms of the clock that all processes of a machine share)
which key is to be left alone. The others read it when it has changed, before each call. A wait ends with the
process that was told it, as at any restart: only the files of living processes are read, and each begins its
own anew. A line that can't be read is passed over; a disk that takes none costs the others that wait.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path

NAME = "waits"
FILE_BYTES = 1 << 14


class SharedBackoff:
    """Safe from any thread. ``others``: the folders of the lanes whose processes live beside this one."""

    def __init__(self, place: Path, others: Callable[[], Iterable[Path]]) -> None:
        """Raises ``OSError``."""
        self._others, self._lock = others, threading.Lock()
        self._file = os.open(place / NAME, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        self._told: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._seen: dict[Path, tuple[int, int]] = {}

    def publish(self, key: str, until: float, now: float) -> None:
        """This process was told to leave a key alone."""
        with self._lock, suppress(OSError):
            self._told[key] = until
            if os.fstat(self._file).st_size > FILE_BYTES:
                self._told = {one: end for one, end in self._told.items() if end > now}
                os.ftruncate(self._file, 0)
                os.write(self._file, b"".join(_line(one, end) for one, end in self._told.items()))
            else:
                os.write(self._file, _line(key, until))

    def blocked_until(self, key: str, now: float) -> float:
        """Until when another process was told to leave a key alone; 0 where none was."""
        places = list(self._others())
        if not places:
            return 0.0
        with self._lock:
            for place in places:
                self._read(place / NAME, now)
            return self._heard.get(key, 0.0)

    def _read(self, path: Path, now: float) -> None:
        try:
            about = path.stat()
            if self._seen.get(path) == (about.st_size, about.st_mtime_ns):
                return
            lines = path.read_bytes()[: 2 * FILE_BYTES].splitlines(keepends=True)
        except OSError:
            return  # it has told none yet
        self._seen[path] = (about.st_size, about.st_mtime_ns)
        self._heard = {key: end for key, end in self._heard.items() if end > now}
        for line in lines:
            end, _, key = line.decode("utf-8", "replace").partition(" ")
            with suppress(ValueError):
                if key.endswith("\n"):  # else it is being written
                    self._heard[key[:-1]] = max(float(end), self._heard.get(key[:-1], 0.0))


def _line(key: str, until: float) -> bytes:
    return f"{until:.1f} {key}\n".encode()
