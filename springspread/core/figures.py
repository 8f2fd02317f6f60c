"""A sender's counters since its start, which ``platform.management`` reports.

Counted where it happens: by the loop, by the threads that write calls, and where clients are refused.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from enum import Enum


class Figure(Enum):
    """Messages, each counted once, and attempts, each counted when it is completely written."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ATTEMPTS = "attempts"


class Occurrence(Enum):
    """What is counted by reason instead of by class."""

    CALLS_WITHHELD = "calls_withheld"  # decided on, and not sent: by ``clearance.WithheldReason``
    LIST_FAILURES = "list_failures"  # failed requests to discovery: by ``watch.Failure``
    LISTS_LATE = "lists_late"  # lists that came after their deadline: by the ``watch.State`` before
    CONNECTIONS_CLOSED = "connections_closed"  # to endpoints: by ``net.endpoints.Closed``


class Figures:
    """Counters, safe from any thread. Classes that the settings do not name are not counted."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._lock = threading.Lock()
        self._counts: dict[tuple[Figure, str], int] = {}
        self._occurred: dict[tuple[Occurrence, Enum], int] = {}
        self.add_classes(classes)

    def count(self, figure: Figure, cls: str) -> None:
        """Count one message or attempt."""
        with self._lock:
            if (figure, cls) in self._counts:
                self._counts[figure, cls] += 1

    def count_occurrence(self, occurrence: Occurrence, reason: Enum) -> None:
        """Count one occurrence; ``reason`` is one of a fixed set."""
        with self._lock:
            key = (occurrence, reason)
            self._occurred[key] = self._occurred.get(key, 0) + 1

    def add_classes(self, classes: Iterable[str]) -> None:
        """Count new classes, too, after a change of the settings."""
        names = list(classes)
        with self._lock:
            self._counts = {(figure, cls): 0 for figure in Figure for cls in names} | self._counts

    def now(self) -> Mapping[tuple[Figure, str], int]:
        """All counts by class."""
        with self._lock:
            return dict(self._counts)

    def occurrences(self) -> Mapping[tuple[Occurrence, Enum], int]:
        """All counts by reason."""
        with self._lock:
            return dict(self._occurred)
