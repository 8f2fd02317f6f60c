"""Retry-after waits shared between the processes on one state folder, so that partners see one sender.

Each process appends lines ``<until> <key>`` to a file in its journal's folder; times are ms of the machine's
monotonic clock. The others read the file before each call if it has changed. A wait ends with the process
that received it: only files of live processes are read, and each process starts with an empty one. Lines
that cannot be parsed are skipped; if a write fails, the other processes miss that wait.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path

FILE_NAME = "waits"
MAX_FILE_BYTES = 1 << 14


class SharedBackoff:
    """Thread-safe. ``peer_folders`` returns the journal folders of the other live processes."""

    def __init__(self, folder: Path, peer_folders: Callable[[], Iterable[Path]]) -> None:
        """Raises ``OSError``."""
        self._peer_folders, self._lock = peer_folders, threading.Lock()
        self._file = os.open(folder / FILE_NAME, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        self._published: dict[str, float] = {}
        self._received: dict[str, float] = {}
        self._read_stats: dict[Path, tuple[int, int]] = {}

    def publish(self, key: str, until: float, now: float) -> None:
        """Tell the other processes not to use a key before ``until``."""
        with self._lock, suppress(OSError):
            self._published[key] = until
            if os.fstat(self._file).st_size > MAX_FILE_BYTES:
                self._published = {one: end for one, end in self._published.items() if end > now}
                os.ftruncate(self._file, 0)
                os.write(self._file, b"".join(_line(one, end) for one, end in self._published.items()))
            else:
                os.write(self._file, _line(key, until))

    def blocked_until(self, key: str, now: float) -> float:
        """Until when another process was told not to use a key; 0 if none was."""
        folders = list(self._peer_folders())
        if not folders:
            return 0.0
        with self._lock:
            for folder in folders:
                self._read(folder / FILE_NAME, now)
            return self._received.get(key, 0.0)

    def _read(self, path: Path, now: float) -> None:
        try:
            stat = path.stat()
            if self._read_stats.get(path) == (stat.st_size, stat.st_mtime_ns):
                return
            lines = path.read_bytes()[: 2 * MAX_FILE_BYTES].splitlines(keepends=True)
        except OSError:
            return  # nothing published yet
        self._read_stats[path] = (stat.st_size, stat.st_mtime_ns)
        self._received = {key: end for key, end in self._received.items() if end > now}
        for line in lines:
            end, _, key = line.decode("utf-8", "replace").partition(" ")
            with suppress(ValueError):
                if key.endswith("\n"):  # otherwise the line is still being written
                    self._received[key[:-1]] = max(float(end), self._received.get(key[:-1], 0.0))


def _line(key: str, until: float) -> bytes:
    return f"{until:.1f} {key}\n".encode()
