"""Time as an object that is handed in, so that a day can be played faster than life, and twice alike."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Milliseconds that never step (``now``), and Unix time for what a later process reads (``wall``)."""

    def now(self) -> float:
        """Milliseconds on a clock of this process alone; it never steps back."""

    def wall(self) -> float:
        """Unix time in milliseconds; it may step."""

    def sleep(self, ms: float) -> None:
        """Let so many milliseconds pass."""


class SystemClock:
    """The machine's clocks."""

    def now(self) -> float:
        """Milliseconds on the monotonic clock."""
        return time.monotonic() * 1000.0

    def wall(self) -> float:
        """Unix time in milliseconds."""
        return time.time() * 1000.0

    def sleep(self, ms: float) -> None:
        """Sleep."""
        time.sleep(ms / 1000.0)


SYSTEM = SystemClock()
