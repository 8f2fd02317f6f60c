"""The allocator: a limit holds in every span under any order of events, and division is fair."""

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
    """Instances start, freeze and call; messages are lost or late; allocators are replaced."""

    forgets = False  # injected faults: a successor without the record, reports that free calls too early
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
        self.in_transit: list[tuple[Instance, Lease]] = []
        self.calls: deque[float] = deque()

    def _allocator(self) -> Allocator:
        return Allocator(lease_ms=LEASE, demand_ttl_ms=100.0)

    @rule(name=st.sampled_from("abc"))
    def starts(self, name: str) -> None:
        """May replace a running instance that was killed or is believed dead."""
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
                self.in_transit.append((instance, lease))

    @rule(name=st.sampled_from("abc"), calls=st.integers(1, 9))
    def is_served(self, name: str, calls: int) -> None:
        """A complete exchange, which random rules rarely reach."""
        if name not in self.alive:
            self.starts(name)
        self.alive[name].frozen = False
        self.asks(name, calls)
        self.allocates()
        while self.in_transit:
            instance, lease = self.in_transit.pop()
            if not instance.frozen:
                instance.lease_cache.add_lease(lease, self.now)
        self.calls_out(name, calls)

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), lost=st.booleans())
    def a_lease_arrives_or_is_lost(self, data: st.DataObject, lost: bool) -> None:
        instance, lease = self.in_transit.pop(data.draw(st.integers(0, len(self.in_transit) - 1)))
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
                values = (report.key, report.serial, report.made, last_at)
                self.allocator.report(self.now, instance.owner, *values)

    @rule()
    def the_allocator_is_replaced(self) -> None:
        """The successor restores the recorded leases; the latest may never have been sent."""
        self.allocator = self._allocator()
        self.allocator.restore([] if self.forgets else self.record)
        self.allocator.set_limit(KEY, self.limit)

    @rule(ms=st.sampled_from([1.0, 5.0, 19.0, 40.0, 77.0, 160.0, 201.0]))
    def time_goes_by(self, ms: float) -> None:
        self.now += ms

    @invariant()
    def limit_holds_in_every_span(self) -> None:
        while self.calls and self.calls[0] <= self.now - SPAN:
            self.calls.popleft()
        assert len(self.calls) <= self.limit.calls

    @invariant()
    def committed_calls_stay_within_the_limit(self) -> None:
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
"""For a long search: SPRINGSPREAD_SEARCH=20000 python -m pytest tests/fleet/test_allocator.py."""


def test_limit_holds_in_every_span() -> None:
    run_state_machine_as_test(Fleet, settings=SEARCH)


@pytest.mark.parametrize("faulty", [Forgetful, Hasty])
def test_search_detects_injected_fault(faulty: type[Fleet]) -> None:
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
        if got[owner] < want:  # nobody who got a share is more than one call ahead of an owner that waits
            assert all(wants[other][0] + got[other] <= had + got[owner] + 1 for other in wants if got[other])


class SimulatedFleet:
    """An allocator and instances that request leases every few milliseconds, in simulated time."""

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
            self.lease_caches[lease.owner].add_lease(lease, self.now)

    def max_in_span(self, span: float) -> int:
        times = [at for at, _ in self.made]
        return max((bisect_left(times, at + span) - n for n, at in enumerate(times)), default=0)

    def calls_of(self, owner: Owner, begin: float, end: float) -> int:
        return sum(begin <= at < end and who == owner for at, who in self.made)


def test_limit_smaller_than_fleet_rotates_among_instances() -> None:
    fleet = SimulatedFleet(50, Limit(4, 2000.0))
    everyone = dict.fromkeys(fleet.lease_caches, 1)
    for _ in range(3000):
        fleet.step(everyone)
    granted = [fleet.calls_of(owner, 0.0, 30_000.0) for owner in fleet.lease_caches]
    assert fleet.max_in_span(2000.0) == 4
    assert max(granted) - min(granted) <= 1 and sum(granted) >= 0.9 * 4 * 15


def test_allocation_follows_shift_of_demand() -> None:
    fleet = SimulatedFleet(10, Limit(200, 2000.0))
    first, second = list(fleet.lease_caches)[:2]
    for _ in range(600):
        fleet.step({first: 5})
    assert fleet.calls_of(first, 2000.0, 6000.0) >= 0.9 * 400
    for _ in range(600):
        fleet.step({first: 5, second: 5})
    assert fleet.calls_of(second, 6000.0, 6500.0) >= 0.9 * 25  # its fair share within 500 ms, at a full limit
    recent = fleet.calls_of(first, 8000.0, 12_000.0), fleet.calls_of(second, 8000.0, 12_000.0)
    assert abs(recent[0] - recent[1]) <= 0.1 * sum(recent) and sum(recent) >= 0.9 * 400
    assert fleet.max_in_span(2000.0) <= 200


def test_unused_lease_returns_from_idle_instance() -> None:
    fleet = SimulatedFleet(2, Limit(10, 2000.0))
    idle, busy = fleet.lease_caches
    fleet.step({idle: 10})
    for _ in range(210):
        fleet.step({busy: 10})
    assert fleet.calls_of(busy, 0.0, 2000.0) == 10 and fleet.calls_of(idle, 0.0, 2000.0) == 0


def test_lowered_limit_holds_once_old_leases_expired() -> None:
    fleet = SimulatedFleet(4, Limit(100, 2000.0))
    everyone = dict.fromkeys(fleet.lease_caches, 2)
    for _ in range(400):
        fleet.step(everyone)
    fleet.allocator.set_limit(KEY, Limit(20, 2000.0))
    lowered_at = fleet.now
    for _ in range(800):
        fleet.step(everyone)
    fleet.made = [(at, who) for at, who in fleet.made if at > lowered_at + 200.0]
    assert fleet.max_in_span(2000.0) <= 20 and len(fleet.made) >= 0.8 * 20 * 2


def test_lease_expires_by_its_owners_clock() -> None:
    lease_cache = LeaseCache()
    lease_cache.add_lease(Lease(1, ("n0", 1), KEY, 2, 100.0), 0.0)
    assert lease_cache.take(KEY, 99.0) == 0.0
    assert lease_cache.take(KEY, 100.0) > 0.0  # e.g. it was frozen
    (report,) = lease_cache.take_finished(100.0)
    assert (report.made, report.last_at) == (1, 99.0) and lease_cache.take_finished(100.0) == []


def test_report_by_another_owner_is_ignored() -> None:
    allocator = Allocator()
    allocator.set_limit(KEY, Limit(5, SPAN))
    allocator.set_demand(0.0, ("n0", 1), KEY, 1)
    (lease,) = allocator.allocate(1.0)
    allocator.report(2.0, ("n1", 1), KEY, lease.serial, 0, 0.0)
    assert allocator.committed(2.0, KEY) == 1
    allocator.report(2.0, ("n0", 1), KEY, lease.serial, 0, 0.0)
    assert allocator.committed(2.0, KEY) == 0


def test_older_epoch_gets_no_lease() -> None:
    allocator = Allocator()
    allocator.set_limit(KEY, Limit(5, SPAN))
    assert allocator.register(("n0", 2)) and not allocator.register(("n0", 1))
    allocator.set_demand(0.0, ("n0", 1), KEY, 3)
    assert allocator.allocate(1.0) == []


def test_cost_depends_on_demands_not_on_limits() -> None:
    allocator, rng = Allocator(), Random(1)
    for n in range(10_000):
        allocator.set_limit(f"g{n}", Limit(4, 2000.0))
    for n in rng.sample(range(10_000), 20):
        allocator.set_demand(0.0, ("n0", 1), f"g{n}", 1)
    leases = allocator.allocate(1.0)
    assert len(leases) == 20 and all(lease.calls == 1 for lease in leases)
    assert not allocator.waiting


def test_duplicate_lease_is_ignored() -> None:
    lease_cache = LeaseCache()
    lease = Lease(7, ("n00", 1), "g1", 2, 1_200.0)
    for now in (1_000.0, 1_001.0, 1_030.0):
        lease_cache.add_lease(lease, now)
        assert lease_cache.take("g1", now) == 0.0 if now < 1_030.0 else lease_cache.take("g1", now) > 0.0
    assert [report.made for report in lease_cache.take_finished(1_031.0)] == [2]
    lease_cache.add_lease(lease, 1_032.0)  # also after it was reported
    assert lease_cache.take("g1", 1_032.0) > 0.0
    lease_cache.add_lease(Lease(8, ("n00", 1), "g1", 1, 1_300.0), 1_201.0)
    assert lease_cache.take("g1", 1_202.0) == 0.0


def test_withdrawn_demand_leaves_no_state() -> None:
    allocator, owner = Allocator(LEASE), ("a", 1)
    allocator.set_limit(KEY, Limit(1, SPAN))
    allocator.set_demand(0.0, owner, KEY, 2)
    assert [lease.calls for lease in allocator.allocate(0.0)] == [1]
    assert allocator.allocate(5.0) == []
    allocator.set_demand(10.0, owner, KEY, 0)
    assert allocator.allocate(10_000.0) == []
    assert not allocator.waiting
    assert allocator.state_count == 0
