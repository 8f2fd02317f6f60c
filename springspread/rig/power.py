"""A power loss that can be produced: what a process did not sync is lost as it is killed.

``HeldBack`` stands for the journal's files. What is written stays in memory until it is synced, so a SIGKILL
drops it, as the loss of power drops what the system had not put on disk yet. Removals and truncations take
hold at once, which is the worst that may happen to them. ``python -m springspread.rig.power`` runs the sender
so.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path

from springspread.__main__ import main
from springspread.core import journal
from springspread.core.files import Files


class HeldBack(Files):
    """The system's own but for appends and syncs; safe from any thread."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._lock = threading.Lock()
        self._pending: dict[int, bytearray] = {}  # by file on disk

    def append(self, file: int, data: bytes) -> None:
        """Hold it back."""
        with self._lock:
            self._pending.setdefault(os.fstat(file).st_ino, bytearray()).extend(data)

    def sync(self, file: int) -> None:
        """Put on disk what was held back."""
        with self._lock:
            super().append(file, bytes(self._pending.pop(os.fstat(file).st_ino, b"")))
            super().sync(file)


if __name__ == "__main__":
    vars(journal).update(Files=HeldBack)
    os._exit(main())
