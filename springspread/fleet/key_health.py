"""A circuit breaker per key, which limits a sender's free calls to failing destinations. No I/O, no clock.

    state       event                            next
    closed      ``OPENING_FAILURES`` in a row    half-open
    half-open   a call succeeds                  recovered; the next report says so
    recovered   that report is acknowledged      closed
    recovered   a call fails                     half-open

A key that is not closed has at most ``HALF_OPEN_CALLS`` unacknowledged calls. Otherwise every sender would
send all its waiting messages at once when a destination recovers. Instead each tries one call, and the
acknowledgement of its success carries the allocator's current status of the key (``binding``).

Race: a call may fail while the report of an earlier success is on its way. The failure reopens the key, and
only the report of a later success closes it.
"""

from __future__ import annotations

from dataclasses import dataclass

from springspread.fleet.chunking import COUNT_BYTES, key_bytes
from springspread.fleet.messages import LINE_BYTES, MAX_KEYS

OPENING_FAILURES = 3  # in a row; as many as flag a route
HALF_OPEN_CALLS = 1
RECOVERED_BYTES = LINE_BYTES // 16  # for the recovered keys in one report


@dataclass(slots=True)
class KeyState:
    """A key whose last call failed, or whose breaker is not closed yet."""

    failures: int = 0  # in a row
    recovered: bool = False
    reported_in: int = 0  # sequence of the report of its recovery; 0: not reported

    @property
    def half_open(self) -> bool:
        """Whether its unacknowledged calls are limited."""
        return self.failures >= OPENING_FAILURES


class KeyHealth:
    """The breakers of one sender's failing keys, of at most ``MAX_KEYS`` of them."""

    def __init__(self) -> None:
        self._states: dict[str, KeyState] = {}
        self._recovered: dict[str, None] = {}  # to be reported

    def limits(self, key: str) -> bool:
        """Whether a key is limited to ``HALF_OPEN_CALLS``."""
        state = self._states.get(key)
        return state is not None and state.half_open

    def record_failure(self, key: str) -> None:
        """Record a failed call."""
        state = self._states.get(key)
        if state is None:
            if len(self._states) >= MAX_KEYS:
                self._drop(next(iter(self._states)))
            state = self._states[key] = KeyState()
        state.failures += 1
        state.recovered, state.reported_in = False, 0
        self._recovered.pop(key, None)

    def record_success(self, key: str) -> bool:
        """Record a successful call; whether the key recovered, which has to be reported."""
        state = self._states.get(key)
        if state is None or state.recovered:
            return False
        if not state.half_open:
            self._drop(key)
            return False
        state.recovered = True
        self._recovered[key] = None
        return True

    @property
    def unreported(self) -> bool:
        """Whether there is anything to report."""
        return bool(self._recovered)

    def take_recovered(self, sequence: int) -> tuple[str, ...]:
        """The recovered keys to put into the report with that sequence, as many as fit."""
        taken: list[str] = []
        size = 0
        for key in self._recovered:
            size += key_bytes(key) + COUNT_BYTES
            if size > RECOVERED_BYTES:
                break
            taken.append(key)
            self._states[key].reported_in = sequence
        for key in taken:
            del self._recovered[key]
        return tuple(taken)

    def acknowledge(self, sequence: int, recovered: tuple[str, ...]) -> None:
        """Close the keys whose recovery was in the acknowledged report."""
        for key in recovered:
            state = self._states.get(key)
            if state is not None and state.reported_in == sequence:
                del self._states[key]

    def _drop(self, key: str) -> None:
        del self._states[key]
        self._recovered.pop(key, None)
