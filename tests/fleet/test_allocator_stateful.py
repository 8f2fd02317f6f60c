"""Senders and an allocator under any order of events: the guarantees of exact and adaptive limits hold.

The caches, sessions, encoding and the allocator are the real ones. Connections keep the order of their lines
and may break at any time; senders freeze, restart and are replaced; allocators die with and without their
record.
"""

from __future__ import annotations

import os
from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import ClassVar

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from springspread.fleet import lease_cache
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl, RegisterRefused
from springspread.fleet.lease_cache import FRESH_MS, LeaseCache
from springspread.fleet.limits import Lease, Limit, LimitMode, Owner
from springspread.fleet.messages import (
    KeyStatuses,
    LeaseGrants,
    LeaseRequest,
    Register,
    UseReport,
    Welcome,
)
from springspread.fleet.sender_notifier import SenderNotifier
from springspread.fleet.sender_session import SenderSession
from springspread.fleet.wire import Lines, Message, encode

SPAN = 200.0
LEASE = 40.0
EXACT_KEY, ADAPTIVE_KEY, WIDE_KEY = "g1", "g2", "g3"
LIMITS = {
    EXACT_KEY: Limit(5, SPAN),
    ADAPTIVE_KEY: Limit(5, SPAN, LimitMode.ADAPTIVE),
    WIDE_KEY: Limit(1_000, SPAN, LimitMode.ADAPTIVE),
}
NAMES = st.sampled_from("abc")
KEYS = st.sampled_from([EXACT_KEY, ADAPTIVE_KEY])


@dataclass
class Connection:
    """Lines in transit; upward ones with the time when they were written."""

    up: deque[tuple[float, bytes]] = field(default_factory=deque)
    down: deque[bytes] = field(default_factory=deque)
    owner: Owner | None = None


class Sender:
    """One start of a sender."""

    def __init__(self, name: str, epoch: int) -> None:
        self.owner = (name, epoch)
        self.cache = LeaseCache()
        self.session = SenderSession(name, epoch, "fleet", self.cache)
        self.connection: Connection | None = None
        self.frozen = False
        self.last_read_at = -inf  # when the latest line read by the allocator was written


class Fleet(RuleBasedStateMachine):
    """``default``: of the fleet; ``forgets``: an injected fault, a successor without the record."""

    default: ClassVar[LimitMode] = LimitMode.ADAPTIVE
    forgets: ClassVar[bool] = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.record: list[Lease] = []
        self.control = self._begin(learning=False, known=True)
        self.epochs = 0
        self.senders: dict[str, Sender] = {}
        self.connections: list[Connection] = []
        self.calls: dict[str, deque[float]] = {EXACT_KEY: deque(), ADAPTIVE_KEY: deque()}
        self.bound_since = inf
        for name in "abc":
            self.starts(name)

    def _begin(self, learning: bool, known: bool) -> AllocatorControl:
        allocator = Allocator(lease_ms=LEASE)
        if known:
            allocator.restore([] if self.forgets else self.record)
        else:
            allocator.assume_exhausted(self.now)
        return AllocatorControl("fleet", self.default, LIMITS, allocator, self.now, learning)

    @rule(name=NAMES)
    def starts(self, name: str) -> None:
        """May replace a running sender, whose connection may stay open."""
        self.epochs += 1
        self.senders[name] = Sender(name, self.epochs)

    @rule(name=NAMES)
    def freezes_or_goes_on(self, name: str) -> None:
        self.senders[name].frozen = not self.senders[name].frozen

    @rule(name=NAMES)
    def connection_breaks(self, name: str) -> None:
        connection = self.senders[name].connection
        if connection is not None:
            self._close(connection)
        self.senders[name].connection = None

    def _close(self, connection: Connection) -> None:
        connection.up.clear()
        connection.down.clear()
        if connection in self.connections:
            self.connections.remove(connection)
            if connection.owner is not None:
                self.control.unregister(connection.owner)

    @rule(name=NAMES)
    def writes(self, name: str) -> None:
        sender = self.senders[name]
        if sender.frozen:
            return
        due: list[Message] = []
        if sender.connection is None:
            sender.connection = Connection()
            self.connections.append(sender.connection)
            due += sender.session.connected(self.now)
        due += sender.session.due(self.now)
        sender.connection.up.extend((self.now, encode(message)) for message in due)

    @rule(name=NAMES, lines=st.integers(1, 4))
    def allocator_reads(self, name: str, lines: int) -> None:
        sender = self.senders[name]
        connection = sender.connection
        for _ in range(lines):
            if connection is None or not connection.up:
                return
            written_at, line = connection.up.popleft()
            (message,) = Lines().feed(line)
            try:
                self._take(connection, message)
            except RegisterRefused:
                self._close(connection)
                sender.connection = None
                return
            sender.last_read_at = max(sender.last_read_at, written_at)

    def _take(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Register):
            connection.owner = self.control.register(self.now, message)
            return
        assert connection.owner is not None and isinstance(message, LeaseRequest | UseReport)
        self.control.received(self.now, connection.owner, message)

    @rule()
    def ticks(self) -> None:
        leases = self.control.tick(self.now)
        self.record += leases
        self.control.grant(self.now, leases)
        for owner, messages in self.control.take_messages().items():
            for connection in self.connections:
                if connection.owner == owner:
                    connection.down.extend(map(encode, messages))

    @rule(name=NAMES, lines=st.integers(1, 4))
    def sender_reads(self, name: str, lines: int) -> None:
        sender = self.senders[name]
        for _ in range(lines):
            if sender.frozen or sender.connection is None or not sender.connection.down:
                return
            (message,) = Lines().feed(sender.connection.down.popleft())
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            sender.session.received(self.now, message)

    @rule(name=NAMES, key=KEYS, times=st.integers(1, 6))
    def calls_out(self, name: str, key: str, times: int) -> None:
        sender = self.senders[name]
        if sender.frozen:
            return
        for _ in range(times):
            if sender.cache.take(key, self.now) == 0.0:
                self.calls[key].append(self.now)

    @rule(name=NAMES, key=KEYS, times=st.integers(1, 6))
    def is_served(self, name: str, key: str, times: int) -> None:
        """A complete exchange, which random rules rarely reach."""
        self.senders[name].frozen = False
        self.calls_out(name, key, times)
        for _ in range(2):
            self.writes(name)
            self.allocator_reads(name, 4)
            self.ticks()
            self.sender_reads(name, 4)
        self.calls_out(name, key, times)

    @rule(name=NAMES, key=KEYS, served=st.booleans(), times=st.integers(1, 4))
    def calls_end(self, name: str, key: str, served: bool, times: int) -> None:
        """Calls of a sender fail, or succeed."""
        cache = self.senders[name].cache
        for _ in range(times):
            if served:
                cache.served(key)
            else:
                cache.failed(key)

    @rule(name=NAMES, key=KEYS, times=st.integers(1, 6), steps=st.integers(5, 40))
    def is_busy(self, name: str, key: str, times: int, steps: int) -> None:
        """Many complete exchanges in a row."""
        for _ in range(steps):
            self.is_served(name, key, times)
            self.exact_limit_holds_in_every_span()
            self.bound_limit_holds_after_exposure()
            self.now += 97.0

    @rule(known=st.booleans())
    def allocator_is_replaced(self, known: bool) -> None:
        """The latest leases may be recorded but never sent."""
        for connection in list(self.connections):
            connection.owner = None
            self._close(connection)
        for sender in self.senders.values():
            sender.connection = None
        self.record += self.control.tick(self.now)
        self.control = self._begin(learning=True, known=known)
        self.bound_since = inf

    @rule(ms=st.sampled_from([1.0, 5.0, 39.0, 77.0, 160.0, 201.0, 1_000.0, 2_100.0]))
    def time_goes_by(self, ms: float) -> None:
        self.now += ms

    def _in_span(self, key: str) -> int:
        calls = self.calls[key]
        while calls and calls[0] <= self.now - SPAN:
            calls.popleft()
        return len(calls)

    @invariant()
    def exact_limit_holds_in_every_span(self) -> None:
        assert self._in_span(EXACT_KEY) <= LIMITS[EXACT_KEY].calls

    @invariant()
    def bound_limit_holds_after_exposure(self) -> None:
        if not self.control.is_bound(ADAPTIVE_KEY):
            self.bound_since = inf
        elif self.bound_since == inf:
            self.bound_since = self.now
        if self.now - SPAN >= self.bound_since + FRESH_MS:
            assert self._in_span(ADAPTIVE_KEY) <= LIMITS[ADAPTIVE_KEY].calls

    @invariant()
    def sender_makes_no_free_call_without_fresh_acknowledgement(self) -> None:
        for sender in self.senders.values():
            if self.now >= sender.last_read_at + FRESH_MS and not sender.frozen:
                assert sender.cache.take(WIDE_KEY, self.now) > 0.0


class ExactByDefault(Fleet):
    default = LimitMode.EXACT


class Forgetful(Fleet):
    forgets = True


SEARCH = settings(
    max_examples=int(os.environ.get("SPRINGSPREAD_SEARCH", "80")),
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
"""For a long search: SPRINGSPREAD_SEARCH=5000 python -m pytest tests/fleet/test_allocator_stateful.py."""

FAULT_SEARCH = settings(SEARCH, max_examples=500, phases=[Phase.generate])


@pytest.mark.parametrize("machine", [Fleet, ExactByDefault])
def test_exact_limits_hold_and_bound_limits_hold_after_exposure(machine: type[Fleet]) -> None:
    run_state_machine_as_test(machine, settings=SEARCH)


def test_search_detects_successor_without_record() -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            Forgetful, settings=settings(SEARCH, max_examples=500, phases=[Phase.generate])
        )


def test_search_detects_free_calls_that_never_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lease_cache, "FRESH_MS", 1e9)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Fleet, settings=FAULT_SEARCH)


def test_search_detects_unsent_statuses(monkeypatch: pytest.MonkeyPatch) -> None:
    def no_broadcast(self: SenderNotifier, one: int, status: object) -> None:
        """Notify nobody."""

    monkeypatch.setattr(SenderNotifier, "_broadcast", no_broadcast)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Fleet, settings=FAULT_SEARCH)
