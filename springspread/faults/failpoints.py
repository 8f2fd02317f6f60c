"""Moments of a daemon that changes a policy: before and after each write, sync and message, counted from the
first proposal on. At one of them it dies, or its disk is full from then on.
"""

from __future__ import annotations

import errno
import os
import signal
from enum import Enum
from pathlib import Path
from typing import Any


class FailpointAction(Enum):
    """What is done at the moment."""

    DIE = "die"
    FULL = "full"


class Steps:
    """Counts moments once it is armed. At its ``at``-th it writes its name to ``told`` and acts."""

    def __init__(self, at: int, deed: FailpointAction, told: Path) -> None:
        self._at, self._deed, self._told = at, deed, told
        self._count, self._armed = 0, False

    def arm(self) -> None:
        """Count from here."""
        self._armed = True

    def moment(self, name: str, disk: bool) -> None:
        """One moment. ``disk``: it stands before a write or a sync. Raises ``OSError`` on a full disk."""
        if not self._armed or (self._deed is FailpointAction.FULL and not disk):
            return
        self._count += 1
        if self._count == self._at:
            self._told.write_text(name)
            if self._deed is FailpointAction.DIE:
                os.kill(os.getpid(), signal.SIGKILL)
        if self._count >= self._at and self._deed is FailpointAction.FULL:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class Disk:
    """Stands for ``os`` in the record: its own but for writes and syncs, which are moments."""

    def __init__(self, steps: Steps) -> None:
        self._steps = steps

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def write(self, file: int, data: bytes) -> int:
        """As the system's."""
        what = data.split(b'"')[3].decode()  # the entry's kind
        self._steps.moment(f"before write of {what}", True)
        done = os.write(file, data)
        self._steps.moment(f"after write of {what}", False)
        return done

    def fsync(self, file: int) -> None:
        """As the system's."""
        what = os.path.basename(os.readlink(f"/proc/self/fd/{file}"))
        what = "text" if what.isdigit() else "folder" if what == "policy" else what
        self._steps.moment(f"before sync of {what}", True)
        os.fsync(file)
        self._steps.moment(f"after sync of {what}", False)
