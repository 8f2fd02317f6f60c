"""Admission: which client connections are held, for how long each may stay as it is, and who makes room.

Theory of operation: every connection has one *state*, and all who stand alike form a line in the order
in which they joined it. A state's rule says how long it may last and how soon its holder may be asked to
make room. As one line has one rule, the head of a line is both the first whose time is up and the first to
make room: every decision looks at the heads alone. Everything that affects who stays lives here; what is
read and written does not.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from math import exp, inf

from springspread.config import Limits


class ClientState(Enum):
    """Where a connection stands."""

    NEW = "new"  # connected, and has sent nothing
    READING = "reading"  # a request has begun, lately
    SLOW = "lagging"  # a request has begun and takes long
    WAITING = "waiting"  # a whole request is with the core
    WRITING = "answered"  # an answer that its socket has not taken whole
    IDLE = "idle"  # between requests, after one
    REUSED = "kept"  # between requests, after several
    CLOSING = "leaving"  # told its last answer


STEPS: dict[ClientState, frozenset[ClientState]] = {
    ClientState.NEW: frozenset(
        {ClientState.READING, ClientState.WAITING, ClientState.WRITING, ClientState.CLOSING}
    ),
    ClientState.READING: frozenset(
        {ClientState.SLOW, ClientState.WAITING, ClientState.WRITING, ClientState.CLOSING}
    ),
    ClientState.SLOW: frozenset({ClientState.WAITING, ClientState.WRITING, ClientState.CLOSING}),
    ClientState.WAITING: frozenset({ClientState.WRITING, ClientState.CLOSING}),
    ClientState.WRITING: frozenset(
        {ClientState.IDLE, ClientState.REUSED, ClientState.READING, ClientState.WAITING, ClientState.CLOSING}
    ),
    ClientState.IDLE: frozenset(
        {ClientState.READING, ClientState.WAITING, ClientState.WRITING, ClientState.CLOSING}
    ),
    ClientState.REUSED: frozenset(
        {ClientState.READING, ClientState.WAITING, ClientState.WRITING, ClientState.CLOSING}
    ),
    ClientState.CLOSING: frozenset(),
}
"""What may follow on each state; every connection may end from any."""

ROOM = (
    ClientState.CLOSING,
    ClientState.NEW,
    ClientState.SLOW,
    ClientState.IDLE,
    ClientState.REUSED,
    ClientState.WRITING,
    ClientState.READING,
)
"""In which order room is made. Whoever is WAITING has a request in flight and is never asked. A usual request
comes whole within milliseconds: one READING for longer goes last, and is told that it may come again.
"""
RATE_MS = 50.0  # arrivals are counted over about this long
ROOM_PART = 0.5  # of the places, for newcomers that have yet to show what they want


@dataclass(frozen=True, slots=True)
class Rule:
    """How long a state may last, and after how long its holder may be asked to make room (ms)."""

    lasts_ms: float
    spared_ms: float = inf


def rules(limits: Limits) -> dict[ClientState, Rule]:
    """The table of times, from the program's limits."""
    return {
        ClientState.NEW: Rule(limits.client_first_byte_ms, limits.client_new_evictable_ms),
        ClientState.READING: Rule(limits.client_slow_ms, limits.client_partial_evictable_ms),
        ClientState.SLOW: Rule(limits.client_read_ms - limits.client_slow_ms, 0.0),
        ClientState.WAITING: Rule(limits.verdict_ms),
        ClientState.WRITING: Rule(limits.client_write_ms, limits.client_slow_ms),
        ClientState.IDLE: Rule(limits.client_idle_ms, 0.0),
        ClientState.REUSED: Rule(limits.client_idle_ms, 0.0),
        ClientState.CLOSING: Rule(limits.client_linger_ms, limits.client_closing_evictable_ms),
    }


class Misuse(Exception):
    """A step that the table does not allow: a fault of the driver, never of a client."""


@dataclass(slots=True, eq=False)
class ClientEntry:
    """What is held for one connection. ``held`` counts the bytes that are kept of a request not yet whole."""

    state: ClientState
    since: float
    requests: int = 0
    held: int = 0
    begun: float = 0.0  # the first byte of the request that is being read


@dataclass(frozen=True, slots=True)
class Room:
    """Whether a newcomer may be let in now; if not, who makes room first, or when somebody will."""

    admit: bool
    victim: ClientEntry | None = None
    retry_at: float = inf


class Admission:
    """The places of one listener. Times are milliseconds of one clock; they never step back."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._rules = rules(limits)
        self._lines: dict[ClientState, OrderedDict[ClientEntry, None]] = {
            kind: OrderedDict() for kind in ClientState
        }
        self._held = 0
        self._arrivals, self._arrived_at = 0.0, -inf
        self.closing = False

    def __len__(self) -> int:
        return sum(map(len, self._lines.values()))

    def count(self, state: ClientState) -> int:
        """How many stand so."""
        return len(self._lines[state])

    def __iter__(self) -> Iterator[ClientEntry]:
        for line in self._lines.values():
            yield from line

    @property
    def held(self) -> int:
        """Bytes kept of requests that are not whole, of all connections together."""
        return self._held

    def decision(self, now: float) -> Room:
        """Whether a newcomer may be let in; whoever is named to make room ends before the next look."""
        leaving = self.count(ClientState.CLOSING)
        everyone = len(self)
        if (
            everyone - leaving < self._limits.client_connections
            and everyone < self._limits.client_connections + self._limits.client_closing_connections
        ):
            return Room(True)
        return self._makes_room(now)

    def _makes_room(self, now: float) -> Room:
        soonest = inf
        for state in ROOM:
            if state is ClientState.CLOSING and self.count(state) <= self._limits.client_closing_connections:
                continue  # these stand on the spares and take nobody's entry
            head = next(iter(self._lines[state]), None)
            if head is None:
                continue
            spared_until = head.since + self._spared(state, now)
            if spared_until <= now:
                return Room(False, head)
            soonest = min(soonest, spared_until)
        return Room(False, retry_at=soonest)

    def _spared(self, state: ClientState, now: float) -> float:
        # Guards usual clients at any rate of arrival: who comes in while newcomers are spared must fit in,
        # or nobody is left who can make room.
        spared = self._rules[state].spared_ms
        if state not in (ClientState.NEW, ClientState.READING):
            return spared
        rate = self._arrivals * exp((self._arrived_at - now) / RATE_MS) / RATE_MS
        return min(spared, ROOM_PART * self._limits.client_connections / rate) if rate else spared

    def may_refuse(self) -> bool:
        """Whether there is a spare descriptor for somebody who is only told to come again."""
        return len(self) < self._limits.client_connections + self._limits.client_closing_connections

    def add(self, now: float, state: ClientState = ClientState.NEW) -> ClientEntry:
        """Give a newcomer its entry; CLOSING for one that is turned away."""
        if state not in (ClientState.NEW, ClientState.CLOSING):
            raise Misuse(f"nobody begins as {state.value}")
        self._arrivals = self._arrivals * exp((self._arrived_at - now) / RATE_MS) + 1.0
        self._arrived_at = now
        entry = ClientEntry(state, now)
        self._lines[state][entry] = None
        return entry

    def step(self, entry: ClientEntry, state: ClientState, now: float) -> None:
        """Note that a connection stands otherwise from now on."""
        if state not in STEPS[entry.state]:
            raise Misuse(f"no step from {entry.state.value} to {state.value}")
        del self._lines[entry.state][entry]
        if state in (ClientState.WAITING, ClientState.CLOSING):
            self.set_buffered(entry, 0)
        if state is ClientState.READING:
            entry.begun = now
        entry.state, entry.since = state, now
        self._lines[state][entry] = None

    def request_received(self, entry: ClientEntry, now: float) -> float:
        """A whole request was read: the core has it, or its answer is about to be written. When it began."""
        begun = entry.begun if entry.state in (ClientState.READING, ClientState.SLOW) else now
        entry.requests += 1
        self.step(entry, ClientState.WAITING, now)
        return begun

    def set_idle(self, entry: ClientEntry, now: float) -> None:
        """Its answer was written whole, and nothing of another request has come."""
        self.step(entry, ClientState.REUSED if entry.requests > 1 else ClientState.IDLE, now)

    def set_buffered(self, entry: ClientEntry, much: int) -> None:
        """Note how many bytes of an unfinished request are kept for a connection."""
        self._held += much - entry.held
        entry.held = much

    def buffer_limit_victim(self) -> ClientEntry | None:
        """Who is ended as unfinished requests hold more than their bound: the slowest of them."""
        if self._held <= self._limits.client_bytes:
            return None
        for state in (ClientState.SLOW, ClientState.READING):
            head = next(iter(self._lines[state]), None)
            if head is not None:
                return head
        return None

    def below_min_rate(self, entry: ClientEntry) -> bool:
        """Whether a request that has just come to lag came slower than the least rate from its begin on."""
        return entry.held * 1000.0 < self._limits.client_min_bytes_s * self._limits.client_slow_ms

    def remove(self, entry: ClientEntry) -> None:
        """The connection is gone."""
        self.set_buffered(entry, 0)
        self._lines[entry.state].pop(entry, None)

    def _lasts(self, state: ClientState) -> float:
        if self.closing and state in (ClientState.IDLE, ClientState.REUSED):
            return 0.0
        if self.closing and state is ClientState.NEW:
            return self._limits.client_new_evictable_ms
        return self._rules[state].lasts_ms

    def expired(self, now: float) -> ClientEntry | None:
        """Somebody whose time is up, the one that joined its line first."""
        for state, line in self._lines.items():
            head = next(iter(line), None)
            if head is not None and head.since + self._lasts(state) <= now:
                return head
        return None

    def next_expiry(self) -> float:
        """When somebody's time is up; inf where nobody is here."""
        heads = ((kind, next(iter(line), None)) for kind, line in self._lines.items())
        return min((head.since + self._lasts(kind) for kind, head in heads if head is not None), default=inf)
