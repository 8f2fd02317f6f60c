"""Simulated power loss: killing a process loses whatever it has not synced.

``BufferedFiles`` stands in for the journal's files. It keeps appended data in memory until it is synced, so a
SIGKILL drops it as a power loss drops the page cache. Removals and truncations take effect at once, which
is their worst case. ``python -m springspread.faults.power`` runs the sender with it. With a seed in
``FAULTS_WRITE_BACK`` some unsynced data reaches the disk: a prefix, or a single block of 512 bytes out of
order, with zeros before it.
"""

from __future__ import annotations

import os
import threading
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from springspread.__main__ import main
from springspread.core import journal
from springspread.core.clock import SYSTEM, SystemClock
from springspread.core.files import Files

WRITE_BACK_VARIABLE = "FAULTS_WRITE_BACK"
CLOCK_VARIABLE = "FAULTS_CLOCK_S"  # offset of the wall clock
BLOCK_BYTES = 512
PREFIX_RATE, BLOCK_RATE = 0.1, 0.05  # share of appends


@dataclass(slots=True)
class Tail:
    """Unsynced data of a file, and its offset."""

    base: int
    data: bytearray = field(default_factory=bytearray)


class BufferedFiles(Files):
    """Buffers appends until a sync; thread-safe. ``rng`` draws what is written back early."""

    def __init__(self, folder: Path, rng: Random | None = None) -> None:
        super().__init__(folder)
        seed = os.environ.get(WRITE_BACK_VARIABLE, "")
        self._rng = rng or (Random(f"{seed}/{folder}/{os.getpid()}") if seed else None)
        self._lock = threading.Lock()
        self._tails: dict[int, Tail] = {}  # by inode

    def append(self, file: int, data: bytes) -> None:
        """Buffer the data; write a part of it back early if there is an ``rng``."""
        with self._lock:
            stat = os.fstat(file)
            tail = self._tails.setdefault(stat.st_ino, Tail(stat.st_size))
            tail.data.extend(data)
            if self._rng is None:
                return
            if (draw := self._rng.random()) < PREFIX_RATE:
                self._write_back(file, tail, 0, self._rng.randrange(len(tail.data)))
            elif draw < PREFIX_RATE + BLOCK_RATE:
                first = -(-tail.base // BLOCK_BYTES) * BLOCK_BYTES - tail.base  # aligned to the file
                at = first + BLOCK_BYTES * self._rng.randrange(
                    max((len(tail.data) - first) // BLOCK_BYTES, 1)
                )
                self._write_back(file, tail, at, BLOCK_BYTES)

    def _write_back(self, file: int, tail: Tail, at: int, size: int) -> None:
        """Write a part of a tail at its offset in the file."""
        if data := bytes(tail.data[at : at + size]):
            fd = os.open(f"/proc/self/fd/{file}", os.O_WRONLY)  # without O_APPEND
            try:
                os.pwrite(fd, data, tail.base + at)
            finally:
                os.close(fd)

    def sync(self, file: int) -> None:
        """Write the buffered data and sync it."""
        with self._lock:
            tail = self._tails.pop(os.fstat(file).st_ino, None)
            if tail is not None:
                self._write_back(file, tail, 0, len(tail.data))
            super().sync(file)


class WrongClock(SystemClock):
    """A wall clock that is off by ``FAULTS_CLOCK_S`` seconds."""

    def wall(self) -> float:
        """Unix time in milliseconds, with the offset."""
        return super().wall() + 1000.0 * float(os.environ[CLOCK_VARIABLE])


if __name__ == "__main__":
    if CLOCK_VARIABLE in os.environ:
        SYSTEM.__class__ = WrongClock
    vars(journal).update(Files=BufferedFiles)
    os._exit(main())
