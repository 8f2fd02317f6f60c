"""Which keys a sender found failing, and how many free calls of them it makes at a time. No I/O, no clock.

A circuit breaker for each key, as one sender sees it:

    state       event                                              next
    closed      ``OPENING_FAILURES`` in a row                      half-open
    half-open   a call is served                                   recovered; the next report says so
    recovered   that report is acknowledged                        closed
    recovered   a call fails                                       half-open

A key that is not closed has at most ``HALF_OPEN_CALLS`` unacknowledged calls. When a destination returns,
every sender with messages for it would send them at once; so it tries one, and the acknowledgement of its
success brings the allocator's status of the key with it (``binding``).

Two events that can cross: a call succeeds while the report of an earlier success is on its way, and a call
fails meanwhile. The failure opens the key again, and only the report of a later success closes it.
"""

from __future__ import annotations

from dataclasses import dataclass

from springspread.fleet.chunking import COUNT_BYTES, key_bytes
from springspread.fleet.messages import LINE_BYTES, MAX_KEYS

OPENING_FAILURES = 3  # in a row, as many as flag a route
HALF_OPEN_CALLS = 1
RECOVERED_BYTES = LINE_BYTES // 16  # the keys of one report


@dataclass(slots=True)
class KeyState:
    """One key whose last call failed, or that is not closed again yet."""

    failures: int = 0  # in a row
    recovered: bool = False
    reported_in: int = 0  # the sequence of the report that says that it recovered; 0: none yet

    @property
    def half_open(self) -> bool:
        """Whether its calls are limited."""
        return self.failures >= OPENING_FAILURES


class KeyHealth:
    """The keys of one sender; of very many that fail, the latest."""

    def __init__(self) -> None:
        self._states: dict[str, KeyState] = {}
        self._recovered: dict[str, None] = {}  # to be reported

    def limits(self, key: str) -> bool:
        """Whether a key has room for ``HALF_OPEN_CALLS`` alone."""
        state = self._states.get(key)
        return state is not None and state.half_open

    def failed(self, key: str) -> None:
        """A call failed."""
        state = self._states.get(key)
        if state is None:
            if len(self._states) >= MAX_KEYS:
                self._forget(next(iter(self._states)))
            state = self._states[key] = KeyState()
        state.failures += 1
        state.recovered, state.reported_in = False, 0
        self._recovered.pop(key, None)

    def served(self, key: str) -> bool:
        """A call succeeded; whether there is news to report."""
        state = self._states.get(key)
        if state is None or state.recovered:
            return False
        if not state.half_open:
            self._forget(key)
            return False
        state.recovered = True
        self._recovered[key] = None
        return True

    @property
    def unreported(self) -> bool:
        """Whether there is anything to report."""
        return bool(self._recovered)

    def take_recovered(self, sequence: int) -> tuple[str, ...]:
        """The keys that the report of that sequence says have recovered, as many as it holds."""
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

    def acknowledged(self, sequence: int, recovered: tuple[str, ...]) -> None:
        """The report of that sequence, which named these keys, counts."""
        for key in recovered:
            state = self._states.get(key)
            if state is not None and state.reported_in == sequence:
                del self._states[key]

    def _forget(self, key: str) -> None:
        del self._states[key]
        self._recovered.pop(key, None)
