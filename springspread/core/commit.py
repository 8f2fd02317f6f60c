"""Group commit: many writers share one sync.

Whoever needs what it wrote on disk waits for a sync that began after its write. One of those who wait makes
it, for all that was written by then; the others wait for that one, and at most for one more. A sync that
failed is never made good by a later one, as the system may have dropped what it could not write: from then on
nothing counts as being on disk.
"""

from __future__ import annotations

import threading
from collections.abc import Callable


class Commit:
    """``sync`` puts all that was written before it on disk, or raises ``OSError``."""

    def __init__(self, sync: Callable[[], None]) -> None:
        self._sync = sync
        self._ring = threading.Condition()
        self._written = self._done = self.syncs = 0
        self._busy = False
        self.fault = ""

    def wrote(self) -> None:
        """Something was written."""
        with self._ring:
            self._written += 1

    def wait_synced(self) -> None:
        """Wait until all that was written before is on disk; raises ``OSError`` where it may not be."""
        with self._ring:
            mine = self._written
            while self._done < mine:
                if self.fault:
                    raise OSError(self.fault)
                if self._busy:
                    self._ring.wait()
                else:
                    self._lead()

    def _lead(self) -> None:
        """Sync for all that is written by now, without holding up those who write."""
        self._busy, upto, fault = True, self._written, ""
        self._ring.release()
        try:
            self._sync()
        except OSError as exc:
            fault = exc.strerror or str(exc)
        finally:
            self._ring.acquire()
            self._busy = False
            self.syncs += 1
            if fault:
                self.fault = fault
            else:
                self._done = max(self._done, upto)
            self._ring.notify_all()
