"""What is asked of discovery, which answers are believed, and by when the next call goes: decisions alone.

Theory of operation. What discovery has counts as told ``TOLD_MS`` after it had it and could be reached,
whether it arrived or not; what a call that may wait would have brought, ``WAITED_MS`` after that wait, if
that is later. A sender that asks no sooner acts on a list that it is held not to have any more. So each way
in which a call can end sets *told*, the moment from which something may count as told that did not come,
and *ask by*, the latest moment of the next call whose answer still comes before it:

    a call ends             told                                        ask by
    answered                                                            (the next goes at once)
    silent, unreadable      begin + TOLD_MS, or its wait's end          told - ANSWER_MS: where it
                            + WAITED_MS where that is later             waited, at once
    refused, not reached    now + TOLD_MS: it may be back from now on   told - ANSWER_MS

The module's pause after a failure may be shorter, never longer. Over the fleet that is one call a sender in
``TOLD_MS - ANSWER_MS`` at the least while discovery is away; the module draws them apart over that time, so
that the mean is one in some three fifths of it.

Which answers are believed: versions grow. An answer that is older than what is held is left out whole, and
the whole list asked for; where that is older, too, the service counts anew, and it is believed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

TOLD_MS = 6000.0
WAITED_MS = 2000.0
ANSWER_MS = 1000.0  # a call's time from its begin to its answer, where all goes well
WHOLE_MS = 2000.0  # a call that does not wait is given up after this
ASIDE_MS = 1000.0  # and one that does, so long after its wait


class Failure(Enum):
    """How a call ended without news."""

    SILENT = "silent"  # no answer in its time, or none that ends or can be read
    REFUSED = "refused"  # turned away: it can't be reached for now
    UNREACHED = "not reached"  # no connection, or it broke


@dataclass(frozen=True, slots=True)
class Ask:
    """One call: the whole list, or what is newer than a version, waited for so long (ms)."""

    since: int | None
    wait_ms: float
    give_up_at: float
    begun_at: float


class Watch:
    """What one sender knows of its list. Times are milliseconds of one clock."""

    def __init__(self, version: int | None, wait_ms: float) -> None:
        """``version``: of the list that is held at the start; none: the whole list comes first."""
        self._version, self._wait = version, wait_ms
        self._wants = self._fetches = self._doubts = self._moved = False
        self._ask: Ask | None = None
        self._begun = 0.0

    def want(self, active: bool = True) -> None:
        """Watch from now on, or no more."""
        self._wants = active

    def fetch(self) -> None:
        """Ask once for the whole list."""
        self._fetches = True

    def begin(self, now: float) -> Ask | None:
        """The call to make now; none where nothing is wanted."""
        if not (self._wants or self._fetches):
            return None
        whole, self._fetches = self._fetches or self._doubts or self._version is None, False
        if whole:
            # Guards discovery against a fleet that starts at once: no short watch goes before this.
            self._ask = Ask(None, 0.0, now + WHOLE_MS, now)
        else:
            self._ask = Ask(self._version, self._wait, now + self._wait + ASIDE_MS, now)
        self._begun, self._moved = now, False
        return self._ask

    def answered(self, version: int) -> bool:
        """An answer was read; whether it is believed."""
        assert self._ask is not None
        older = self._version is not None and version < self._version
        if older and not (self._doubts and self._ask.since is None):
            self._doubts = self._fetches = True
            return False
        self._version, self._doubts = version, False
        return True

    def moved(self) -> None:
        """Discovery is at another address: what was asked of the old one is asked there."""
        self._wants = self._moved = True
        if self._ask is not None and self._ask.since is None:
            self._fetches = True

    def failed(self, failure: Failure, now: float) -> float:
        """A call brought nothing, and none goes until one is wanted again: by when (ms)."""
        assert self._ask is not None
        self._wants = self._moved  # guards a move that crosses the failure of a call to the old address
        match failure:
            case Failure.SILENT:
                waited = self._begun + self._ask.wait_ms + WAITED_MS if self._ask.wait_ms else 0.0
                told = max(self._begun + TOLD_MS, waited)
            case Failure.REFUSED | Failure.UNREACHED:
                # Guards discovery: what turns calls away may be overbooked, and would stay so.
                told = now + TOLD_MS
        return max(told - ANSWER_MS, now)
