"""What a sender counts from its start on, by class; told by ``platform.management``.

Counted where it happens: by the loop, by the threads that write calls, and where clients are turned away.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from enum import Enum


class Figure(Enum):
    """Messages, each counted once; but for attempts, which count each time that one is written whole."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ATTEMPTS = "attempts"


class Occurrence(Enum):
    """What is counted by its reason rather than by class."""

    CALLS_WITHHELD = "calls_withheld"  # decided, and not sent: by ``clearance.Withheld``
    LIST_FAILURES = "list_failures"  # requests to discovery that brought nothing: by ``watch.Failure``
    LISTS_LATE = "lists_late"  # the list came after its deadline: by the ``watch.State`` that it ended
    CONNECTIONS_CLOSED = "connections_closed"  # to endpoints: by ``net.endpoints.Closed``


class Figures:
    """Safe from any thread. Of classes that the settings do not name nothing is kept."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._lock = threading.Lock()
        self._counts: dict[tuple[Figure, str], int] = {}
        self._occurred: dict[tuple[Occurrence, Enum], int] = {}  # as many as there are reasons
        self.follow(classes)

    def count(self, figure: Figure, cls: str) -> None:
        """One more."""
        with self._lock:
            if (figure, cls) in self._counts:
                self._counts[figure, cls] += 1

    def count_occurrence(self, occurrence: Occurrence, reason: Enum) -> None:
        """Once more, for a reason that is one of a fixed set."""
        with self._lock:
            key = (occurrence, reason)
            self._occurred[key] = self._occurred.get(key, 0) + 1

    def follow(self, classes: Iterable[str]) -> None:
        """Other settings hold: classes that come anew are counted, too."""
        names = list(classes)
        with self._lock:
            self._counts = {(figure, cls): 0 for figure in Figure for cls in names} | self._counts

    def now(self) -> Mapping[tuple[Figure, str], int]:
        """All counts."""
        with self._lock:
            return dict(self._counts)

    def occurrences(self) -> Mapping[tuple[Occurrence, Enum], int]:
        """All counts by reason."""
        with self._lock:
            return dict(self._occurred)
