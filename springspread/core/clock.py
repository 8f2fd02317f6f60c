"""Time as an interface, so that tests and simulations can replace the system clock."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic milliseconds (``now``), and Unix time for what a later process reads (``wall``)."""

    def now(self) -> float:
        """Monotonic milliseconds, meaningful in this process only."""

    def wall(self) -> float:
        """Unix time in milliseconds; it may step."""

    def sleep(self, ms: float) -> None:
        """Wait."""


class SystemClock:
    """The system clocks."""

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
