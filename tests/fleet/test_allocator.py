"""Shares of limits: the promise under any order of events that a search comes upon, and fair division."""

from __future__ import annotations

import os
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from springspread.fleet.allocator import Allocator, divide
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import Lease, Limit, Owner

SPAN = 200.0
LEASE = 40.0
KEY = "g1"


@dataclass
class Instance:
    owner: Owner
    lease_cache: LeaseCache = field(default_factory=LeaseCache)
    frozen: bool = False


class Fleet(RuleBasedStateMachine):
    """Instances that come, go, freeze and call; messages that are lost or late; allocators replaced."""

    forgets = False  # planted faults: a successor that knows nothing, reports that are believed too much
    frees_early = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.limit = Limit(5, SPAN)
        self.record: list[Lease] = []
        self.allocator = self._allocator()
        self.allocator.set_limit(KEY, self.limit)
        self.alive: dict[str, Instance] = {}
        self.epochs = 0
        self.mail: list[tuple[Instance, Lease]] = []
        self.calls: deque[float] = deque()

    def _allocator(self) -> Allocator:
        return Allocator(lease_ms=LEASE, demand_ttl_ms=100.0)

    @rule(name=st.sampled_from("abc"))
    def starts(self, name: str) -> None:
        """Also in place of one that runs: as if that had been killed, or thought dead."""
        self.epochs += 1
        self.alive[name] = Instance((name, self.epochs))
        assert self.allocator.register(self.alive[name].owner)

    @rule(name=st.sampled_from("abc"))
    def freezes_or_goes_on(self, name: str) -> None:
        if name in self.alive:
            self.alive[name].frozen = not self.alive[name].frozen

    @rule(name=st.sampled_from("abc"), calls=st.integers(1, 9))
    def asks(self, name: str, calls: int) -> None:
        if name in self.alive:
            self.allocator.set_demand(self.now, self.alive[name].owner, KEY, calls)

    @rule()
    def allocates(self) -> None:
        for lease in self.allocator.allocate(self.now):
            self.record.append(lease)
            instance = self.alive.get(lease.owner[0])
            if instance is not None and instance.owner == lease.owner:
                self.mail.append((instance, lease))

    @rule(name=st.sampled_from("abc"), calls=st.integers(1, 9))
    def is_served(self, name: str, calls: int) -> None:
        """All goes well once: it asks, hears and calls. Without this rule few searches get as far."""
        if name not in self.alive:
            self.starts(name)
        self.alive[name].frozen = False
        self.asks(name, calls)
        self.allocates()
        while self.mail:
            instance, lease = self.mail.pop()
            if not instance.frozen:
                instance.lease_cache.add_lease(lease, self.now)
        self.calls_out(name, calls)

    @precondition(lambda self: self.mail)
    @rule(data=st.data(), lost=st.booleans())
    def a_lease_arrives_or_is_lost(self, data: st.DataObject, lost: bool) -> None:
        instance, lease = self.mail.pop(data.draw(st.integers(0, len(self.mail) - 1)))
        if not lost and not instance.frozen:
            instance.lease_cache.add_lease(lease, self.now)

    @rule(name=st.sampled_from("abc"), times=st.integers(1, 6))
    def calls_out(self, name: str, times: int) -> None:
        instance = self.alive.get(name)
        if instance is None or instance.frozen:
            return
        for _ in range(times):
            if instance.lease_cache.take(KEY, self.now) == 0.0:
                self.calls.append(self.now)

    @rule(name=st.sampled_from("abc"), lost=st.booleans())
    def reports(self, name: str, lost: bool) -> None:
        instance = self.alive.get(name)
        if instance is None or instance.frozen:
            return
        for report in instance.lease_cache.take_finished(self.now):
            if not lost:
                last_at = report.last_at - (SPAN if self.frees_early else 0.0)
                told = (report.key, report.serial, report.made, last_at)
                self.allocator.report(self.now, instance.owner, *told)

    @rule()
    def the_allocator_is_replaced(self) -> None:
        """Its successor reads what was given out; the last of it may never have been told."""
        self.allocator = self._allocator()
        self.allocator.restore([] if self.forgets else self.record)
        self.allocator.set_limit(KEY, self.limit)

    @rule(ms=st.sampled_from([1.0, 5.0, 19.0, 40.0, 77.0, 160.0, 201.0]))
    def time_goes_by(self, ms: float) -> None:
        self.now += ms

    @invariant()
    def no_span_holds_more_than_the_limit(self) -> None:
        while self.calls and self.calls[0] <= self.now - SPAN:
            self.calls.popleft()
        assert len(self.calls) <= self.limit.calls

    @invariant()
    def no_more_is_out_than_the_limit(self) -> None:
        assert self.allocator.committed(self.now, KEY) <= self.limit.calls


class Forgetful(Fleet):
    forgets = True


class Hasty(Fleet):
    frees_early = True


SEARCH = settings(
    max_examples=int(os.environ.get("SPRINGSPREAD_SEARCH", "60")),
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
"""For a long search: SPRINGSPREAD_SEARCH=20000 python -m pytest tests/fleet/test_shares.py."""


def test_no_span_ever_holds_more_than_the_limit() -> None:
    run_state_machine_as_test(Fleet, settings=SEARCH)


@pytest.mark.parametrize("faulty", [Forgetful, Hasty])
def test_the_search_finds_a_planted_fault(faulty: type[Fleet]) -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(faulty, settings=settings(SEARCH, phases=[Phase.generate]))


OWNERS = [(f"n{n}", 1) for n in range(6)]
PAIRS = st.tuples(st.integers(0, 30), st.integers(1, 30))
WANTS = st.dictionaries(st.sampled_from(OWNERS), PAIRS, max_size=6)


@given(free=st.integers(0, 100), wants=WANTS)
@settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_division_is_max_min_fair(free: int, wants: dict[Owner, tuple[int, int]]) -> None:
    shares = divide(free, wants)
    got = {owner: shares.get(owner, 0) for owner in wants}
    assert all(0 <= got[owner] <= want for owner, (_, want) in wants.items())
    assert sum(got.values()) == min(free, sum(want for _, want in wants.values()))
    for owner, (had, want) in wants.items():
        if got[owner] < want:  # nobody who was raised stands more than one call above one that waits
            assert all(wants[other][0] + got[other] <= had + got[owner] + 1 for other in wants if got[other])


class Clocked:
    """Some instances that ask every few milliseconds, and an allocator; calls are made as leases come."""

    def __init__(self, count: int, limit: Limit, lease_ms: float = 200.0) -> None:
        self.now = 0.0
        self.allocator = Allocator(lease_ms=lease_ms)
        self.allocator.set_limit(KEY, limit)
        self.lease_caches = {(f"n{n:02}", 1): LeaseCache() for n in range(count)}
        self.made: list[tuple[float, Owner]] = []

    def step(self, demand: dict[Owner, int], ms: float = 10.0) -> None:
        self.now += ms
        for owner, lease_cache in self.lease_caches.items():
            for _ in range(demand.get(owner, 0)):
                if lease_cache.take(KEY, self.now) == 0.0:
                    self.made.append((self.now, owner))
            for report in lease_cache.take_finished(self.now):
                self.allocator.report(self.now, owner, report.key, report.serial, report.made, report.last_at)
            self.allocator.set_demand(self.now, owner, KEY, lease_cache.demands(self.now).get(KEY, 0))
        for lease in self.allocator.allocate(self.now):
            self.lease_caches[lease.owner].received(lease, self.now)

    def worst(self, span: float) -> int:
        times = [at for at, _ in self.made]
        return max((bisect_left(times, at + span) - n for n, at in enumerate(times)), default=0)

    def of(self, owner: Owner, begin: float, end: float) -> int:
        return sum(begin <= at < end and who == owner for at, who in self.made)


def test_a_limit_below_one_call_an_instance_and_span_goes_round() -> None:
    fleet = Clocked(50, Limit(4, 2000.0))
    everyone = dict.fromkeys(fleet.lease_caches, 1)
    for _ in range(3000):
        fleet.step(everyone)
    had = [fleet.of(owner, 0.0, 30_000.0) for owner in fleet.lease_caches]
    assert fleet.worst(2000.0) == 4
    assert max(had) - min(had) <= 1 and sum(had) >= 0.9 * 4 * 15


def test_a_shift_of_demand_is_followed_and_little_is_left_idle() -> None:
    fleet = Clocked(10, Limit(200, 2000.0))
    first, second = list(fleet.lease_caches)[:2]
    for _ in range(600):
        fleet.step({first: 5})
    assert fleet.of(first, 2000.0, 6000.0) >= 0.9 * 400
    for _ in range(600):
        fleet.step({first: 5, second: 5})
    assert fleet.of(second, 6000.0, 6500.0) >= 0.9 * 25  # its fair part within 500 ms, at a full limit
    late = fleet.of(first, 8000.0, 12_000.0), fleet.of(second, 8000.0, 12_000.0)
    assert abs(late[0] - late[1]) <= 0.1 * sum(late) and sum(late) >= 0.9 * 400
    assert fleet.worst(2000.0) <= 200


def test_what_an_idle_instance_holds_comes_back() -> None:
    fleet = Clocked(2, Limit(10, 2000.0))
    idle, busy = fleet.lease_caches
    fleet.step({idle: 10})
    for _ in range(210):
        fleet.step({busy: 10})
    assert fleet.of(busy, 0.0, 2000.0) == 10 and fleet.of(idle, 0.0, 2000.0) == 0


def test_a_limit_that_shrinks_while_fully_leased_holds_a_span_after_its_leases_ended() -> None:
    fleet = Clocked(4, Limit(100, 2000.0))
    everyone = dict.fromkeys(fleet.lease_caches, 2)
    for _ in range(400):
        fleet.step(everyone)
    fleet.allocator.set_limit(KEY, Limit(20, 2000.0))
    shrunk = fleet.now
    for _ in range(800):
        fleet.step(everyone)
    fleet.made = [(at, who) for at, who in fleet.made if at > shrunk + 200.0]
    assert fleet.worst(2000.0) <= 20 and len(fleet.made) >= 0.8 * 20 * 2


def test_a_lease_ends_by_the_clock_of_the_one_that_holds_it() -> None:
    lease_cache = LeaseCache()
    lease_cache.add_lease(Lease(1, ("n0", 1), KEY, 2, 100.0), 0.0)
    assert lease_cache.take(KEY, 99.0) == 0.0
    assert lease_cache.take(KEY, 100.0) > 0.0  # it was frozen meanwhile
    (report,) = lease_cache.take_finished(100.0)
    assert (report.made, report.last_at) == (1, 99.0) and lease_cache.take_finished(100.0) == []


def test_nobody_frees_another_s_lease() -> None:
    allocator = Allocator()
    allocator.set_limit(KEY, Limit(5, SPAN))
    allocator.set_demand(0.0, ("n0", 1), KEY, 1)
    (lease,) = allocator.allocate(1.0)
    allocator.report(2.0, ("n1", 1), KEY, lease.serial, 0, 0.0)
    assert allocator.committed(2.0, KEY) == 1
    allocator.report(2.0, ("n0", 1), KEY, lease.serial, 0, 0.0)
    assert allocator.committed(2.0, KEY) == 0


def test_an_older_epoch_gets_nothing() -> None:
    allocator = Allocator()
    allocator.set_limit(KEY, Limit(5, SPAN))
    assert allocator.register(("n0", 2)) and not allocator.register(("n0", 1))
    allocator.set_demand(0.0, ("n0", 1), KEY, 3)
    assert allocator.allocate(1.0) == []


def test_ten_thousand_limits_cost_only_what_is_asked_for() -> None:
    allocator, rng = Allocator(), Random(1)
    for n in range(10_000):
        allocator.set_limit(f"g{n}", Limit(4, 2000.0))
    for n in rng.sample(range(10_000), 20):
        allocator.set_demand(0.0, ("n0", 1), f"g{n}", 1)
    leases = allocator.allocate(1.0)
    assert len(leases) == 20 and all(lease.calls == 1 for lease in leases)
    assert not allocator.waiting


def test_a_lease_that_comes_twice_gives_its_calls_once() -> None:
    lease_cache = LeaseCache()
    lease = Lease(7, ("n00", 1), "g1", 2, 1_200.0)
    for now in (1_000.0, 1_001.0, 1_030.0):
        lease_cache.add_lease(lease, now)
        assert lease_cache.take("g1", now) == 0.0 if now < 1_030.0 else lease_cache.take("g1", now) > 0.0
    assert [report.made for report in lease_cache.take_finished(1_031.0)] == [2]
    lease_cache.add_lease(lease, 1_032.0)  # after it is reported, too
    assert lease_cache.take("g1", 1_032.0) > 0.0
    lease_cache.add_lease(Lease(8, ("n00", 1), "g1", 1, 1_300.0), 1_201.0)
    assert lease_cache.take("g1", 1_202.0) == 0.0


def test_a_demand_that_is_withdrawn_before_its_limit_is_forgotten_leaves_nothing_behind() -> None:
    allocator, owner = Allocator(LEASE), ("a", 1)
    allocator.set_limit(KEY, Limit(1, SPAN))
    allocator.set_demand(0.0, owner, KEY, 2)
    assert [lease.calls for lease in allocator.allocate(0.0)] == [1]
    assert allocator.allocate(5.0) == []
    allocator.set_demand(10.0, owner, KEY, 0)
    assert allocator.allocate(10_000.0) == []
    assert not allocator.waiting
    assert allocator.state_count == 0
