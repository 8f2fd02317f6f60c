"""Admission without sockets: who stays, who makes room, and what no step may break."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from springspread.admission.admission import ROOM, STEPS, Admission, ClientEntry, ClientState, Misuse, rules
from springspread.config import Limits

LIMITS = replace(Limits(), client_connections=6, client_closing_connections=2, client_bytes=1000)
RULES = rules(LIMITS)
SAFE = (ClientState.WAITING,)


def fill(listener: Admission, count: int, now: float = 0.0) -> list[ClientEntry]:
    return [listener.add(now) for _ in range(count)]


def brought(listener: Admission, entry: ClientEntry, now: float) -> None:
    listener.request_received(entry, now)
    listener.step(entry, ClientState.WRITING, now)
    listener.set_idle(entry, now)


def test_a_newcomer_has_time_to_speak_before_it_makes_room() -> None:
    limits = replace(LIMITS, client_connections=100)
    listener = Admission(limits)
    first, *_ = fill(listener, 100)
    early = listener.decision(LIMITS.client_new_evictable_ms - 1)
    assert (early.admit, early.victim, early.retry_at) == (False, None, LIMITS.client_new_evictable_ms)
    assert listener.decision(LIMITS.client_new_evictable_ms).victim is first


def test_newcomers_are_spared_for_as_long_as_the_places_allow_at_their_rate() -> None:
    limits = replace(LIMITS, client_connections=100)
    listener, now, admitted = Admission(limits), 0.0, 0
    for _ in range(2000):  # 4 a millisecond say nothing: 100 places last 25 ms, the time to speak is 50
        now += 0.25
        decision = listener.decision(now)
        if decision.victim is not None:
            assert now - decision.victim.since >= 10.0
            listener.remove(decision.victim)
            decision = listener.decision(now)
        admitted += decision.admit
        if decision.admit:
            listener.add(now)
    assert admitted > 1800


def test_room_is_made_by_the_silent_then_the_slow_then_the_idle_then_the_usual() -> None:
    listener = Admission(LIMITS)
    silent, slow, once, often, waiting, reading = fill(listener, 6)
    listener.step(slow, ClientState.READING, 0.0)
    listener.step(slow, ClientState.SLOW, 0.0)
    brought(listener, once, 0.0)
    brought(listener, often, 0.0)
    brought(listener, often, 0.0)
    listener.request_received(waiting, 0.0)
    listener.step(reading, ClientState.READING, 0.0)
    order = []
    for _ in range(4):
        asked = listener.decision(100.0).victim
        assert asked is not None
        order.append(asked)
        listener.remove(asked)
        fill(listener, 1, 100.0)
    assert order == [silent, slow, once, often]
    assert listener.decision(100.0).victim is reading  # last of all


def test_whoever_may_have_a_request_in_flight_is_never_asked_to_make_room() -> None:
    listener = Admission(LIMITS)
    for entry in fill(listener, 6):
        listener.request_received(entry, 0.0)
    decision = listener.decision(1e9)
    assert not decision.admit and decision.victim is None and decision.retry_at == inf
    assert not set(SAFE) & set(ROOM)


def test_those_told_their_last_answer_stand_on_the_spares_until_these_are_used_up() -> None:
    listener = Admission(LIMITS)
    entries = fill(listener, 6)
    for entry in entries[:2]:
        listener.step(entry, ClientState.CLOSING, 0.0)
    assert listener.decision(0.0).admit
    fill(listener, 2)
    assert len(listener) == LIMITS.client_connections + LIMITS.client_closing_connections
    listener.step(entries[2], ClientState.CLOSING, 0.0)
    asked = listener.decision(LIMITS.client_closing_evictable_ms)
    assert asked.victim is entries[0]


def test_the_slowest_unfinished_request_goes_when_they_hold_too_much() -> None:
    listener = Admission(LIMITS)
    a, b = fill(listener, 2)
    for entry in (a, b):
        listener.step(entry, ClientState.READING, 0.0)
    listener.set_buffered(a, 400)
    listener.set_buffered(b, 600)
    assert listener.buffer_limit_victim() is None
    listener.set_buffered(b, 601)
    assert listener.buffer_limit_victim() is a
    listener.step(b, ClientState.SLOW, 1.0)
    assert listener.buffer_limit_victim() is b
    listener.remove(b)
    assert listener.held == 400 and listener.buffer_limit_victim() is None


def test_a_request_lags_below_the_least_rate() -> None:
    listener = Admission(LIMITS)
    (entry,) = fill(listener, 1)
    listener.step(entry, ClientState.READING, 0.0)
    least = int(LIMITS.client_min_bytes_s * LIMITS.client_slow_ms / 1000)
    for much, lags in ((1, True), (least - 1, True), (least, False)):
        listener.set_buffered(entry, much)
        assert listener.below_min_rate(entry) is lags


def test_closing_ends_the_idle_at_once_and_gives_newcomers_time_to_speak() -> None:
    listener = Admission(LIMITS)
    new, idle = fill(listener, 2)
    brought(listener, idle, 0.0)
    assert listener.expired(1.0) is None
    listener.closing = True
    assert listener.expired(1.0) is idle
    listener.remove(idle)
    assert listener.expired(1.0) is None and listener.next_expiry() == LIMITS.client_new_evictable_ms
    assert listener.expired(LIMITS.client_new_evictable_ms) is new


def test_a_driver_that_takes_a_step_the_table_does_not_name_is_told() -> None:
    listener = Admission(LIMITS)
    (entry,) = fill(listener, 1)
    with pytest.raises(Misuse, match="no step from new to idle"):
        listener.step(entry, ClientState.IDLE, 0.0)
    with pytest.raises(Misuse, match="nobody begins as waiting"):
        listener.add(0.0, ClientState.WAITING)


class Crowd(RuleBasedStateMachine):
    """Random clients against the promises: caps, whoever asks is safe, a bound on waiting to be let in."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.listener = Admission(LIMITS)
        self.refused_since: float | None = None

    def at(self, number: int) -> ClientEntry:
        entries = list(self.listener)
        return entries[number % len(entries)]

    @rule(ms=st.sampled_from([0.0, 1.0, 30.0, 60.0, 400.0]))
    def time_passes(self, ms: float) -> None:
        self.now += ms
        while (entry := self.listener.expired(self.now)) is not None:
            assert entry.since + RULES[entry.state].lasts_ms <= self.now
            if entry.state is ClientState.READING:
                self.listener.step(entry, ClientState.SLOW, self.now)
            elif entry.state is ClientState.WAITING:
                self.listener.step(entry, ClientState.WRITING, self.now)
            else:
                self.listener.remove(entry)

    @rule()
    def somebody_connects(self) -> None:
        seen = 0
        while True:
            decision = self.listener.decision(self.now)
            if decision.admit:
                self.refused_since = None
                self.listener.add(self.now)
                return
            if decision.victim is None:
                break
            assert decision.victim.state not in SAFE
            spared = RULES[decision.victim.state].spared_ms
            if decision.victim.state in (
                ClientState.NEW,
                ClientState.READING,
            ):  # so long, or what the places allow
                spared = 0.0
            assert decision.victim.since + spared <= self.now
            self.listener.remove(decision.victim)
            seen += 1
            assert seen <= LIMITS.client_connections + LIMITS.client_closing_connections
        assert decision.retry_at > self.now
        busy = sum(map(self.listener.count, SAFE))
        if decision.retry_at == inf:  # nobody but those who ask: each is over in its own time
            assert busy == LIMITS.client_connections
        else:
            assert decision.retry_at - self.now <= max(LIMITS.client_slow_ms, LIMITS.client_new_evictable_ms)

    @precondition(lambda self: len(self.listener) > 0)
    @rule(number=st.integers(0, 7), state=st.sampled_from(list(ClientState)), much=st.integers(0, 300))
    def a_step(self, number: int, state: ClientState, much: int) -> None:
        entry = self.at(number)
        if state is ClientState.READING and state in STEPS[entry.state]:
            self.listener.step(entry, state, self.now)
            self.listener.set_buffered(entry, much)
        elif state is ClientState.WAITING and state in STEPS[entry.state]:
            self.listener.request_received(entry, self.now)
        elif state in (ClientState.IDLE, ClientState.REUSED) and entry.state is ClientState.WRITING:
            self.listener.set_idle(entry, self.now)
        elif state in STEPS[entry.state]:
            self.listener.step(entry, state, self.now)

    @precondition(lambda self: len(self.listener) > 0)
    @rule(number=st.integers(0, 7))
    def somebody_leaves(self, number: int) -> None:
        self.listener.remove(self.at(number))

    @invariant()
    def the_caps_hold(self) -> None:
        leaving = self.listener.count(ClientState.CLOSING)
        assert len(self.listener) - leaving <= LIMITS.client_connections
        assert len(self.listener) <= LIMITS.client_connections + LIMITS.client_closing_connections
        assert self.listener.held == sum(entry.held for entry in self.listener)

    @invariant()
    def nobody_outstays_and_lines_are_in_order(self) -> None:
        for state in ClientState:
            line = [entry.since for entry in self.listener if entry.state is state]
            assert line == sorted(line)
        ends = [entry.since + RULES[entry.state].lasts_ms for entry in self.listener]
        assert self.listener.next_expiry() == min(ends, default=inf)


Crowd.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=80, stateful_step_count=60)
TestCrowd = Crowd.TestCase


def test_a_request_began_with_its_first_byte_however_long_its_pieces_take() -> None:
    listener = Admission(LIMITS)
    (entry,) = fill(listener, 1)
    listener.step(entry, ClientState.READING, 10.0)
    listener.step(entry, ClientState.SLOW, 310.0)
    assert listener.request_received(entry, 500.0) == 10.0
    listener.step(entry, ClientState.WRITING, 501.0)
    listener.set_idle(entry, 502.0)
    assert listener.request_received(entry, 600.0) == 600.0  # one that came whole
