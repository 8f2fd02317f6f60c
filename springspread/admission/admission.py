"""Admission: which client connections are accepted, how long each may stay in a state, and which is evicted.

Theory of operation: every connection has one ``ClientState``, and each state has a queue of its connections,
in the order in which they entered it. All connections of a queue share one maximum time in the state and one
time after which they may be evicted, so its head is both the first to expire and the first to evict, and only
the heads are ever examined. This module decides which connections stay; it reads and writes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from math import exp, inf

from springspread.config import Limits


class ClientState(Enum):
    """The state of a client's connection."""

    NEW = "new"  # connected, nothing received
    READING = "reading"  # part of a request received
    SLOW = "slow"  # part of a request received; the rest is late
    WAITING = "waiting"  # a complete request awaits its verdict
    WRITING = "writing"  # the answer is not completely written
    IDLE = "idle"  # between requests, after the first
    REUSED = "reused"  # between requests, after more than one
    CLOSING = "closing"  # the last answer is written or being written


TRANSITIONS: dict[ClientState, frozenset[ClientState]] = {
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
"""The states that may follow each; a connection may close in any."""

EVICTION_ORDER = (
    ClientState.CLOSING,
    ClientState.NEW,
    ClientState.SLOW,
    ClientState.IDLE,
    ClientState.REUSED,
    ClientState.WRITING,
    ClientState.READING,
)
"""The order in which connections are evicted. WAITING is absent: its request is in progress. READING is last:
a well-behaved client completes its request within milliseconds.
"""
RATE_WINDOW_MS = 50.0  # time constant of the decaying count of arrivals
NEWCOMER_SHARE = 0.5  # of the connections, for clients without a complete request


@dataclass(frozen=True, slots=True)
class StateTimes:
    """The maximum time in a state, and the time in it after which a connection may be evicted."""

    max_ms: float
    evictable_after_ms: float = inf


def state_times(limits: Limits) -> dict[ClientState, StateTimes]:
    """The times of each state, from the configured limits."""
    return {
        ClientState.NEW: StateTimes(limits.client_first_byte_ms, limits.client_new_evictable_ms),
        ClientState.READING: StateTimes(limits.client_slow_ms, limits.client_partial_evictable_ms),
        ClientState.SLOW: StateTimes(limits.client_read_ms - limits.client_slow_ms, 0.0),
        ClientState.WAITING: StateTimes(limits.verdict_ms),
        ClientState.WRITING: StateTimes(limits.client_write_ms, limits.client_slow_ms),
        ClientState.IDLE: StateTimes(limits.client_idle_ms, 0.0),
        ClientState.REUSED: StateTimes(limits.client_idle_ms, 0.0),
        ClientState.CLOSING: StateTimes(limits.client_linger_ms, limits.client_closing_evictable_ms),
    }


class InvalidTransitionError(Exception):
    """A transition that the table does not allow: a bug in the caller, never a client's fault."""


@dataclass(slots=True, eq=False)
class ClientEntry:
    """One connection. ``buffered_bytes`` are those of its incomplete request."""

    state: ClientState
    since: float
    requests: int = 0
    buffered_bytes: int = 0
    begun: float = 0.0  # when the first byte of the current request arrived


@dataclass(frozen=True, slots=True)
class AdmitDecision:
    """Whether a new connection may be admitted; if not, which to evict, or when one can be evicted."""

    admit: bool
    victim: ClientEntry | None = None
    retry_at: float = inf


class Admission:
    """The connections of one listener. Times are milliseconds of one monotonic clock."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._times = state_times(limits)
        self._queues: dict[ClientState, OrderedDict[ClientEntry, None]] = {
            state: OrderedDict() for state in ClientState
        }
        self._buffered_bytes = 0
        self._arrivals, self._arrived_at = 0.0, -inf
        self.closing = False

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def count(self, state: ClientState) -> int:
        """How many connections are in a state."""
        return len(self._queues[state])

    def __iter__(self) -> Iterator[ClientEntry]:
        for queue in self._queues.values():
            yield from queue

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete requests, over all connections."""
        return self._buffered_bytes

    def decision(self, now: float) -> AdmitDecision:
        """Whether to admit a new connection; the caller evicts a ``victim`` before it asks again."""
        closing = self.count(ClientState.CLOSING)
        total = len(self)
        if (
            total - closing < self._limits.client_connections
            and total < self._limits.client_connections + self._limits.client_closing_connections
        ):
            return AdmitDecision(True)
        return self._find_victim(now)

    def _find_victim(self, now: float) -> AdmitDecision:
        soonest = inf
        for state in EVICTION_ORDER:
            if state is ClientState.CLOSING and self.count(state) <= self._limits.client_closing_connections:
                continue  # within the allowance for closing connections
            head = next(iter(self._queues[state]), None)
            if head is None:
                continue
            evictable_at = head.since + self._evictable_after_ms(state, now)
            if evictable_at <= now:
                return AdmitDecision(False, head)
            soonest = min(soonest, evictable_at)
        return AdmitDecision(False, retry_at=soonest)

    def _evictable_after_ms(self, state: ClientState, now: float) -> float:
        # At a high rate of arrivals, new connections become evictable earlier: otherwise they would fill the
        # listener before any of them may be evicted.
        evictable_after_ms = self._times[state].evictable_after_ms
        if state not in (ClientState.NEW, ClientState.READING):
            return evictable_after_ms
        rate = self._arrivals * exp((self._arrived_at - now) / RATE_WINDOW_MS) / RATE_WINDOW_MS
        return (
            min(evictable_after_ms, NEWCOMER_SHARE * self._limits.client_connections / rate)
            if rate
            else evictable_after_ms
        )

    def may_refuse(self) -> bool:
        """Whether there is a descriptor left for a connection that is only answered with a refusal."""
        return len(self) < self._limits.client_connections + self._limits.client_closing_connections

    def add(self, now: float, state: ClientState = ClientState.NEW) -> ClientEntry:
        """Add a new connection; CLOSING for one that is refused."""
        if state not in (ClientState.NEW, ClientState.CLOSING):
            raise InvalidTransitionError(f"a connection can't begin as {state.value}")
        self._arrivals = self._arrivals * exp((self._arrived_at - now) / RATE_WINDOW_MS) + 1.0
        self._arrived_at = now
        entry = ClientEntry(state, now)
        self._queues[state][entry] = None
        return entry

    def step(self, entry: ClientEntry, state: ClientState, now: float) -> None:
        """Move a connection to another state."""
        if state not in TRANSITIONS[entry.state]:
            raise InvalidTransitionError(f"no transition from {entry.state.value} to {state.value}")
        del self._queues[entry.state][entry]
        if state in (ClientState.WAITING, ClientState.CLOSING):
            self.set_buffered(entry, 0)
        if state is ClientState.READING:
            entry.begun = now
        entry.state, entry.since = state, now
        self._queues[state][entry] = None

    def request_received(self, entry: ClientEntry, now: float) -> float:
        """Record that a complete request was read; returns when its first byte arrived."""
        begun = entry.begun if entry.state in (ClientState.READING, ClientState.SLOW) else now
        entry.requests += 1
        self.step(entry, ClientState.WAITING, now)
        return begun

    def set_idle(self, entry: ClientEntry, now: float) -> None:
        """Record that the answer is written and no byte of another request has arrived."""
        self.step(entry, ClientState.REUSED if entry.requests > 1 else ClientState.IDLE, now)

    def set_buffered(self, entry: ClientEntry, buffered: int) -> None:
        """Record how many bytes of an incomplete request are buffered for a connection."""
        self._buffered_bytes += buffered - entry.buffered_bytes
        entry.buffered_bytes = buffered

    def buffer_limit_victim(self) -> ClientEntry | None:
        """The connection with the slowest incomplete request, if all together exceed their limit of bytes."""
        if self._buffered_bytes <= self._limits.client_bytes:
            return None
        for state in (ClientState.SLOW, ClientState.READING):
            head = next(iter(self._queues[state]), None)
            if head is not None:
                return head
        return None

    def below_min_rate(self, entry: ClientEntry) -> bool:
        """Whether a request that reaches ``client_slow_ms`` has arrived below the minimum rate."""
        return entry.buffered_bytes * 1000.0 < self._limits.client_min_bytes_s * self._limits.client_slow_ms

    def remove(self, entry: ClientEntry) -> None:
        """Remove a closed connection."""
        self.set_buffered(entry, 0)
        self._queues[entry.state].pop(entry, None)

    def _max_ms(self, state: ClientState) -> float:
        if self.closing and state in (ClientState.IDLE, ClientState.REUSED):
            return 0.0
        if self.closing and state is ClientState.NEW:
            return self._limits.client_new_evictable_ms
        return self._times[state].max_ms

    def expired(self, now: float) -> ClientEntry | None:
        """A connection that has exceeded its maximum time in its state, if any."""
        for state, queue in self._queues.items():
            head = next(iter(queue), None)
            if head is not None and head.since + self._max_ms(state) <= now:
                return head
        return None

    def next_expiry(self) -> float:
        """When the next connection expires; inf if there is none."""
        heads = ((state, next(iter(queue), None)) for state, queue in self._queues.items())
        return min(
            (head.since + self._max_ms(state) for state, head in heads if head is not None), default=inf
        )
