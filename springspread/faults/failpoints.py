"""Failpoints of a daemon that changes a policy: before and after each write, sync and message.

They are counted from the first proposal on. At a chosen one the daemon dies, or its disk is full from then
on.
"""

from __future__ import annotations

import errno
import os
import signal
from enum import Enum
from pathlib import Path
from typing import Any


class FailpointAction(Enum):
    """What happens at the failpoint."""

    DIE = "die"
    FULL = "full"


class Failpoints:
    """Counts failpoints once armed. At the ``at``-th it writes its name to ``report_file`` and acts."""

    def __init__(self, at: int, action: FailpointAction, report_file: Path) -> None:
        self._at, self._action, self._report_file = at, action, report_file
        self._count, self._active = 0, False

    def arm(self) -> None:
        """Start counting."""
        self._active = True

    def reach(self, name: str, before_disk_io: bool) -> None:
        """Reach a failpoint; ``before_disk_io`` marks writes and syncs. Raises ``OSError`` on a full disk."""
        if not self._active or (self._action is FailpointAction.FULL and not before_disk_io):
            return
        self._count += 1
        if self._count == self._at:
            self._report_file.write_text(name)
            if self._action is FailpointAction.DIE:
                os.kill(os.getpid(), signal.SIGKILL)
        if self._count >= self._at and self._action is FailpointAction.FULL:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class FailpointOs:
    """Replaces ``os`` in the policy record; writes and syncs are failpoints."""

    def __init__(self, failpoints: Failpoints) -> None:
        self._failpoints = failpoints

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def write(self, file: int, data: bytes) -> int:
        """As in ``os``."""
        target = data.split(b'"')[3].decode()  # the entry's kind
        self._failpoints.reach(f"before write of {target}", True)
        written = os.write(file, data)
        self._failpoints.reach(f"after write of {target}", False)
        return written

    def fsync(self, file: int) -> None:
        """As in ``os``."""
        target = os.path.basename(os.readlink(f"/proc/self/fd/{file}"))
        target = "text" if target.isdigit() else "folder" if target == "policy" else target
        self._failpoints.reach(f"before sync of {target}", True)
        os.fsync(file)
        self._failpoints.reach(f"after sync of {target}", False)
