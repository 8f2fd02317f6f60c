"""A power loss that can be produced: what a process did not sync is lost as it is killed.

``HeldBack`` stands for ``os`` in the journal. What is written stays in memory until it is synced, so a
SIGKILL drops it, as the loss of power drops what the system had not put on disk yet. Removals and truncations
take hold at once, which is the worst that may happen to them. ``python -m springspread.rig.power`` runs the
sender so.
"""

from __future__ import annotations

import os
import threading
from typing import Any

from springspread.__main__ import main
from springspread.core import journal


class HeldBack:
    """Its own but for what is told here; safe from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[int, bytearray] = {}  # by file on disk

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def write(self, file: int, data: bytes) -> int:
        """Hold it back."""
        with self._lock:
            self._pending.setdefault(os.fstat(file).st_ino, bytearray()).extend(data)
        return len(data)

    def fdatasync(self, file: int) -> None:
        """Put on disk what was held back."""
        with self._lock:
            data = self._pending.pop(os.fstat(file).st_ino, bytearray())
            while data:
                del data[: os.write(file, data)]
            os.fdatasync(file)


if __name__ == "__main__":
    vars(journal).update(os=HeldBack())
    os._exit(main())
