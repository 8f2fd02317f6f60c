"""A power loss that can be produced: what a process did not sync is lost as it is killed.

``HeldBack`` stands for the journal's files. What is written stays in memory until it is synced, so a SIGKILL
drops it, as the loss of power drops what the system had not put on disk yet. Removals and truncations take
hold at once, which is the worst that may happen to them. ``python -m springspread.faults.power`` runs the
sender so. With a seed in ``FAULTS_WRITE_BACK`` the system writes some of it back by itself: a part from the
beginning, or one block of 512 bytes before those that stand ahead of it, with zeros in their places.
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

WRITE_BACK = "FAULTS_WRITE_BACK"
CLOCK = "FAULTS_CLOCK_S"  # by how much the machine's clock is wrong, as it came up
BLOCK = 512
PREFIX_PART, BLOCK_PART = 0.1, 0.05  # of all appends


@dataclass(slots=True)
class Tail:
    """What a file on disk has not got yet, from which place on."""

    base: int
    data: bytearray = field(default_factory=bytearray)


class HeldBack(Files):
    """The system's own but for appends and syncs; safe from any thread. ``rng``: what is written back."""

    def __init__(self, folder: Path, rng: Random | None = None) -> None:
        super().__init__(folder)
        seed = os.environ.get(WRITE_BACK, "")
        self._rng = rng or (Random(f"{seed}/{folder}/{os.getpid()}") if seed else None)
        self._lock = threading.Lock()
        self._tails: dict[int, Tail] = {}  # by file on disk

    def append(self, file: int, data: bytes) -> None:
        """Hold it back, or most of it."""
        with self._lock:
            about = os.fstat(file)
            tail = self._tails.setdefault(about.st_ino, Tail(about.st_size))
            tail.data.extend(data)
            if self._rng is None:
                return
            if (chance := self._rng.random()) < PREFIX_PART:
                self._put(file, tail, 0, self._rng.randrange(len(tail.data)))
            elif chance < PREFIX_PART + BLOCK_PART:
                first = -(-tail.base // BLOCK) * BLOCK - tail.base  # blocks are the disk's, not the tail's
                at = first + BLOCK * self._rng.randrange(max((len(tail.data) - first) // BLOCK, 1))
                self._put(file, tail, at, BLOCK)

    def _put(self, file: int, tail: Tail, at: int, size: int) -> None:
        """Write a part of a tail where it belongs, whatever lies before it."""
        if part := bytes(tail.data[at : at + size]):
            place = os.open(f"/proc/self/fd/{file}", os.O_WRONLY)  # not to append
            try:
                os.pwrite(place, part, tail.base + at)
            finally:
                os.close(place)

    def sync(self, file: int) -> None:
        """Put on disk what was held back."""
        with self._lock:
            tail = self._tails.pop(os.fstat(file).st_ino, None)
            if tail is not None:
                self._put(file, tail, 0, len(tail.data))
            super().sync(file)


class WrongClock(SystemClock):
    """A machine's clock that came up wrong, by so many seconds."""

    def wall(self) -> float:
        """Unix time in milliseconds, as the machine believes it."""
        return super().wall() + 1000.0 * float(os.environ[CLOCK])


if __name__ == "__main__":
    if CLOCK in os.environ:
        SYSTEM.__class__ = WrongClock
    vars(journal).update(Files=HeldBack)
    os._exit(main())
