"""A lock on a state folder that several processes share, and a count of the processes that came up in it.

What a process may accept depends on what the others hold: their messages, and the disk space in use. Holding
the lock makes looking at that and recording the message one step:

    two events                                  settled by
    two processes accept one message            the later one finds the earlier one's record
    two processes use the last disk space       the later one finds the space in use
    a process comes up x another one accepts    the new one counts itself under the lock before it accepts
                                                anything; the other one sees the count

The kernel releases the lock of a process that dies.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from springspread.core.clock import SYSTEM, Clock

FILE_NAME = "admission"
COUNT_BYTES = 8
RETRY_MS = 0.5


class FolderBusy(OSError):
    """Another process held the lock for the whole wait; it may be frozen."""


class FolderLock:
    """Used by one thread of the process. Its file is made as soon as the folder allows it."""

    def __init__(self, folder: Path, clock: Clock = SYSTEM) -> None:
        self._folder, self._clock = folder, clock
        self._file = -1

    def _open(self) -> int:
        if self._file < 0:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self._file = os.open(self._folder / FILE_NAME, flags, 0o600)
        return self._file

    @contextmanager
    def hold(self, wait_ms: float) -> Iterator[None]:
        """Hold the lock; raises ``FolderBusy`` after ``wait_ms``, and ``OSError`` where it can't be made."""
        give_up_at = self._clock.now() + wait_ms
        while not self._try():
            if self._clock.now() >= give_up_at:
                raise FolderBusy(f"{self._folder}: locked by another process for {wait_ms:g} ms")
            self._clock.sleep(RETRY_MS)
        try:
            yield
        finally:
            fcntl.flock(self._file, fcntl.LOCK_UN)

    def _try(self) -> bool:
        try:
            fcntl.flock(self._open(), fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    @property
    def process_count(self) -> int:
        """How many processes have come up in the folder so far, as far as is known."""
        try:
            return int.from_bytes(os.pread(self._open(), COUNT_BYTES, 0), "little")
        except OSError:
            return 0

    def count_process(self) -> None:
        """Count this process, while holding the lock."""
        # Where this can't be written, the others find this process at their next check of the folder.
        with suppress(OSError):
            os.pwrite(self._open(), (self.process_count + 1).to_bytes(COUNT_BYTES, "little"), 0)
