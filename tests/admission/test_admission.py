"""Admission without sockets: states, evictions, and the invariants of every sequence of them."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from springspread.admission.admission import (
    EVICTION_ORDER,
    TRANSITIONS,
    Admission,
    ClientEntry,
    ClientState,
    InvalidTransitionError,
    state_times,
)
from springspread.config import Limits

LIMITS = replace(Limits(), client_connections=6, client_closing_connections=2, client_bytes=1000)
TIMES = state_times(LIMITS)
NOT_EVICTABLE = (ClientState.WAITING,)


def add_clients(admission: Admission, count: int, now: float = 0.0) -> list[ClientEntry]:
    return [admission.add(now) for _ in range(count)]


def complete_request(admission: Admission, entry: ClientEntry, now: float) -> None:
    admission.request_received(entry, now)
    admission.step(entry, ClientState.WRITING, now)
    admission.set_idle(entry, now)


def test_a_new_connection_is_not_evicted_before_its_minimum_time() -> None:
    limits = replace(LIMITS, client_connections=100)
    admission = Admission(limits)
    first, *_ = add_clients(admission, 100)
    early = admission.decision(LIMITS.client_new_evictable_ms - 1)
    assert (early.admit, early.victim, early.retry_at) == (False, None, LIMITS.client_new_evictable_ms)
    assert admission.decision(LIMITS.client_new_evictable_ms).victim is first


def test_new_connections_become_evictable_earlier_at_a_high_rate_of_arrivals() -> None:
    limits = replace(LIMITS, client_connections=100)
    admission, now, admitted = Admission(limits), 0.0, 0
    for _ in range(2000):  # 4 per ms fill the listener in 25 ms, half of the minimum time
        now += 0.25
        decision = admission.decision(now)
        if decision.victim is not None:
            assert now - decision.victim.since >= 10.0
            admission.remove(decision.victim)
            decision = admission.decision(now)
        admitted += decision.admit
        if decision.admit:
            admission.add(now)
    assert admitted > 1800


def test_silent_clients_are_evicted_first_then_slow_then_idle_then_reused_ones() -> None:
    admission = Admission(LIMITS)
    silent, slow, once, often, waiting, reading = add_clients(admission, 6)
    admission.step(slow, ClientState.READING, 0.0)
    admission.step(slow, ClientState.SLOW, 0.0)
    complete_request(admission, once, 0.0)
    complete_request(admission, often, 0.0)
    complete_request(admission, often, 0.0)
    admission.request_received(waiting, 0.0)
    admission.step(reading, ClientState.READING, 0.0)
    order = []
    for _ in range(4):
        victim = admission.decision(100.0).victim
        assert victim is not None
        order.append(victim)
        admission.remove(victim)
        add_clients(admission, 1, 100.0)
    assert order == [silent, slow, once, often]
    assert admission.decision(100.0).victim is reading


def test_a_client_with_a_request_in_progress_is_never_evicted() -> None:
    admission = Admission(LIMITS)
    for entry in add_clients(admission, 6):
        admission.request_received(entry, 0.0)
    decision = admission.decision(1e9)
    assert not decision.admit and decision.victim is None and decision.retry_at == inf
    assert not set(NOT_EVICTABLE) & set(EVICTION_ORDER)


def test_closing_connections_do_not_count_until_they_exceed_their_allowance() -> None:
    admission = Admission(LIMITS)
    entries = add_clients(admission, 6)
    for entry in entries[:2]:
        admission.step(entry, ClientState.CLOSING, 0.0)
    assert admission.decision(0.0).admit
    add_clients(admission, 2)
    assert len(admission) == LIMITS.client_connections + LIMITS.client_closing_connections
    admission.step(entries[2], ClientState.CLOSING, 0.0)
    decision = admission.decision(LIMITS.client_closing_evictable_ms)
    assert decision.victim is entries[0]


def test_the_slowest_incomplete_request_is_evicted_when_they_buffer_too_many_bytes() -> None:
    admission = Admission(LIMITS)
    a, b = add_clients(admission, 2)
    for entry in (a, b):
        admission.step(entry, ClientState.READING, 0.0)
    admission.set_buffered(a, 400)
    admission.set_buffered(b, 600)
    assert admission.buffer_limit_victim() is None
    admission.set_buffered(b, 601)
    assert admission.buffer_limit_victim() is a
    admission.step(b, ClientState.SLOW, 1.0)
    assert admission.buffer_limit_victim() is b
    admission.remove(b)
    assert admission.buffered_bytes == 400 and admission.buffer_limit_victim() is None


def test_a_request_below_the_minimum_rate_is_recognised() -> None:
    admission = Admission(LIMITS)
    (entry,) = add_clients(admission, 1)
    admission.step(entry, ClientState.READING, 0.0)
    least = int(LIMITS.client_min_bytes_s * LIMITS.client_slow_ms / 1000)
    for buffered, below in ((1, True), (least - 1, True), (least, False)):
        admission.set_buffered(entry, buffered)
        assert admission.below_min_rate(entry) is below


def test_closing_expires_idle_connections_at_once_and_new_ones_after_their_minimum_time() -> None:
    admission = Admission(LIMITS)
    new, idle = add_clients(admission, 2)
    complete_request(admission, idle, 0.0)
    assert admission.expired(1.0) is None
    admission.closing = True
    assert admission.expired(1.0) is idle
    admission.remove(idle)
    assert admission.expired(1.0) is None and admission.next_expiry() == LIMITS.client_new_evictable_ms
    assert admission.expired(LIMITS.client_new_evictable_ms) is new


def test_a_transition_that_the_table_does_not_allow_raises() -> None:
    admission = Admission(LIMITS)
    (entry,) = add_clients(admission, 1)
    with pytest.raises(InvalidTransitionError, match="no transition from new to idle"):
        admission.step(entry, ClientState.IDLE, 0.0)
    with pytest.raises(InvalidTransitionError, match="a connection can't begin as waiting"):
        admission.add(0.0, ClientState.WAITING)


class Crowd(RuleBasedStateMachine):
    """Random clients against the invariants: limits, whom to evict, a bounded wait to be admitted."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.admission = Admission(LIMITS)
        self.refused_since: float | None = None

    def entry_at(self, number: int) -> ClientEntry:
        entries = list(self.admission)
        return entries[number % len(entries)]

    @rule(ms=st.sampled_from([0.0, 1.0, 30.0, 60.0, 400.0]))
    def time_passes(self, ms: float) -> None:
        self.now += ms
        while (entry := self.admission.expired(self.now)) is not None:
            assert entry.since + TIMES[entry.state].max_ms <= self.now
            if entry.state is ClientState.READING:
                self.admission.step(entry, ClientState.SLOW, self.now)
            elif entry.state is ClientState.WAITING:
                self.admission.step(entry, ClientState.WRITING, self.now)
            else:
                self.admission.remove(entry)

    @rule()
    def a_client_connects(self) -> None:
        evictions = 0
        while True:
            decision = self.admission.decision(self.now)
            if decision.admit:
                self.refused_since = None
                self.admission.add(self.now)
                return
            if decision.victim is None:
                break
            assert decision.victim.state not in NOT_EVICTABLE
            evictable_after_ms = TIMES[decision.victim.state].evictable_after_ms
            if decision.victim.state in (
                ClientState.NEW,
                ClientState.READING,
            ):  # earlier at a high rate of arrivals
                evictable_after_ms = 0.0
            assert decision.victim.since + evictable_after_ms <= self.now
            self.admission.remove(decision.victim)
            evictions += 1
            assert evictions <= LIMITS.client_connections + LIMITS.client_closing_connections
        assert decision.retry_at > self.now
        busy = sum(map(self.admission.count, NOT_EVICTABLE))
        if decision.retry_at == inf:  # all await a verdict, which has its own timeout
            assert busy == LIMITS.client_connections
        else:
            assert decision.retry_at - self.now <= max(LIMITS.client_slow_ms, LIMITS.client_new_evictable_ms)

    @precondition(lambda self: len(self.admission) > 0)
    @rule(number=st.integers(0, 7), state=st.sampled_from(list(ClientState)), buffered=st.integers(0, 300))
    def the_state_changes(self, number: int, state: ClientState, buffered: int) -> None:
        entry = self.entry_at(number)
        if state is ClientState.READING and state in TRANSITIONS[entry.state]:
            self.admission.step(entry, state, self.now)
            self.admission.set_buffered(entry, buffered)
        elif state is ClientState.WAITING and state in TRANSITIONS[entry.state]:
            self.admission.request_received(entry, self.now)
        elif state in (ClientState.IDLE, ClientState.REUSED) and entry.state is ClientState.WRITING:
            self.admission.set_idle(entry, self.now)
        elif state in TRANSITIONS[entry.state]:
            self.admission.step(entry, state, self.now)

    @precondition(lambda self: len(self.admission) > 0)
    @rule(number=st.integers(0, 7))
    def a_client_disconnects(self, number: int) -> None:
        self.admission.remove(self.entry_at(number))

    @invariant()
    def the_limits_hold(self) -> None:
        closing = self.admission.count(ClientState.CLOSING)
        assert len(self.admission) - closing <= LIMITS.client_connections
        assert len(self.admission) <= LIMITS.client_connections + LIMITS.client_closing_connections
        assert self.admission.buffered_bytes == sum(entry.buffered_bytes for entry in self.admission)

    @invariant()
    def queues_are_in_order_and_the_next_expiry_is_exact(self) -> None:
        for state in ClientState:
            queue = [entry.since for entry in self.admission if entry.state is state]
            assert queue == sorted(queue)
        ends = [entry.since + TIMES[entry.state].max_ms for entry in self.admission]
        assert self.admission.next_expiry() == min(ends, default=inf)


Crowd.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=80, stateful_step_count=60)
TestCrowd = Crowd.TestCase


def test_a_request_begins_with_its_first_byte_however_slowly_it_arrives() -> None:
    admission = Admission(LIMITS)
    (entry,) = add_clients(admission, 1)
    admission.step(entry, ClientState.READING, 10.0)
    admission.step(entry, ClientState.SLOW, 310.0)
    assert admission.request_received(entry, 500.0) == 10.0
    admission.step(entry, ClientState.WRITING, 501.0)
    admission.set_idle(entry, 502.0)
    assert admission.request_received(entry, 600.0) == 600.0  # one received in a single read
