"""Group commit: many writers share one sync.

A writer waits for a sync that began after its write. One of the waiting threads runs it for everything
written so far; the others wait for it, and for at most one more. A failed sync is final, as the kernel may
have dropped the pages it could not write: from then on nothing counts as being on disk.
"""

from __future__ import annotations

import threading
from collections.abc import Callable


class GroupCommit:
    """``sync`` flushes everything written before it to disk, or raises ``OSError``."""

    def __init__(self, sync: Callable[[], None]) -> None:
        self._sync = sync
        self._condition = threading.Condition()
        self._written = self._synced = self.syncs = 0
        self._syncing = False
        self.fault = ""

    def note_write(self) -> None:
        """Note a write that later waits must cover."""
        with self._condition:
            self._written += 1

    def wait_synced(self) -> None:
        """Wait until everything written so far is on disk; raises ``OSError`` if it may not be."""
        with self._condition:
            mine = self._written
            while self._synced < mine:
                if self.fault:
                    raise OSError(self.fault)
                if self._syncing:
                    self._condition.wait()
                else:
                    self._sync_batch()

    def _sync_batch(self) -> None:
        """Sync everything written so far, without blocking writers meanwhile."""
        self._syncing, upto, fault = True, self._written, ""
        self._condition.release()
        try:
            self._sync()
        except OSError as exc:
            fault = exc.strerror or str(exc)
        finally:
            self._condition.acquire()
            self._syncing = False
            self.syncs += 1
            if fault:
                self.fault = fault
            else:
                self._synced = max(self._synced, upto)
            self._condition.notify_all()
