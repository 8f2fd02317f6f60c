"""Faults that a review of exact and adaptive limits found, each by the fewest events that show it."""

from __future__ import annotations

import pytest

from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import Limit, LimitMode, Owner
from springspread.fleet.messages import (
    KeyStatuses,
    LeaseGrants,
    LeaseReport,
    LeaseRequest,
    LimitMessage,
    Register,
    UseReport,
    Welcome,
    fingerprint,
)
from springspread.fleet.sender_session import SenderSession

SPAN = 2_000.0
EXACT, ADAPTIVE = LimitMode.EXACT, LimitMode.ADAPTIVE


class Pair:
    """One sender and one allocator; a test hands over each message."""

    def __init__(self, default: LimitMode, limits: dict[str, Limit]) -> None:
        self.control = AllocatorControl("fleet", default, limits, Allocator(), 0.0)
        self.cache = LeaseCache()
        self.session = SenderSession("n0", 1, "fleet", self.cache)
        self.owner: Owner = ("n0", 1)

    def upward(self, now: float, messages: list[LimitMessage]) -> None:
        for message in messages:
            if isinstance(message, Register):
                self.control.register(now, message)
            else:
                assert isinstance(message, LeaseRequest | UseReport)
                self.control.received(now, self.owner, message)

    def downward(self, now: float) -> list[LimitMessage]:
        self.control.grant(now, self.control.tick(now))
        return self.control.take_messages().get(self.owner, [])

    def heard(self, now: float, messages: list[LimitMessage]) -> None:
        for message in messages:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(now, message)

    def exchange(self, now: float) -> None:
        self.upward(now, self.session.due(now))
        self.heard(now, self.downward(now))


def test_between_a_welcome_and_its_statuses_no_exact_limit_looks_free() -> None:
    pair = Pair(ADAPTIVE, {f"g{n}": Limit(1, SPAN) for n in range(5_000)})
    pair.upward(0.0, pair.session.connected(0.0))
    messages = pair.downward(0.0)
    assert len(messages) == 3  # the welcome, and exact limits in two messages
    for message in messages:
        pair.heard(1.0, [message])
        assert pair.cache.take("g1", 1.0) > 0.0 and pair.cache.take("g4999", 1.0) > 0.0
    assert pair.cache.take("g5000", 1.0) == 0.0


def test_a_default_that_becomes_adaptive_lets_no_exact_limit_look_free_on_its_way() -> None:
    limits = {"g1": Limit(1, SPAN)}
    pair = Pair(EXACT, limits)
    pair.upward(0.0, pair.session.connected(0.0))
    pair.heard(0.0, pair.downward(0.0))
    pair.control.follow(1.0, limits, 2.0, ADAPTIVE)
    for message in pair.downward(3.0):
        pair.heard(3.0, [message])
        assert pair.cache.take("g1", 3.0) > 0.0
    assert pair.cache.take("g2", 3.0) == 0.0


def test_a_limit_that_lease_reports_bind_is_told_and_looked_at_again() -> None:
    limits = {"g1": Limit(1, SPAN)}
    pair = Pair(ADAPTIVE, limits)
    pair.upward(0.0, pair.session.connected(0.0))
    pair.heard(0.0, pair.downward(0.0))
    pair.control.received(1.0, pair.owner, LeaseRequest({"g1": 1}))
    leases = pair.control.tick(2.0)
    assert sum(lease.calls for lease in leases) == 1
    pair.control.follow(3.0, {"g1": Limit(1, SPAN, ADAPTIVE)}, 4.0)
    pair.heard(5.0, pair.downward(5.0))
    assert not pair.control.is_bound("g1")
    pair.control.received(6.0, pair.owner, UseReport(1, 0.0, {"g1": 1}))
    reports = tuple(LeaseReport("g1", lease.serial, lease.calls, 2.0) for lease in leases)
    pair.control.received(7.0, pair.owner, LeaseRequest({}, reports))
    assert pair.control.is_bound("g1")
    told = [one for one in pair.downward(8.0) if isinstance(one, KeyStatuses)]
    assert any(fingerprint("g1") in one.bound for one in told)
    assert pair.control.next_at < 10_000.0  # to let go of it again


TWINS = ("r2609/endpoint-655.dc5.example:8061", "r119131/endpoint-914.dc5.example:8012")  # one fingerprint


@pytest.mark.parametrize("default", [EXACT, ADAPTIVE])
@pytest.mark.parametrize("other", [None, Limit(20, SPAN, ADAPTIVE)])
def test_a_key_with_another_ones_fingerprint_frees_no_exact_limit(
    default: LimitMode, other: Limit | None
) -> None:
    exact, twin = TWINS
    assert fingerprint(exact) == fingerprint(twin)
    limits = {exact: Limit(1, SPAN)} | ({twin: other} if other is not None else {})
    pair = Pair(default, limits)
    pair.upward(0.0, pair.session.connected(0.0))
    pair.heard(0.0, pair.downward(0.0))
    made, now = {exact: 0, twin: 0}, 0.0
    while now < 1_500.0:
        now += 10.0
        for key in (twin, exact):
            made[key] += pair.cache.take(key, now) == 0.0
        pair.exchange(now)
    assert made[exact] == 1 and made[twin] >= 1  # the other one is slowed, and goes on


def test_a_limit_that_comes_binds_senders_that_know_its_fingerprint_from_another_key() -> None:
    exact, twin = TWINS
    pair = Pair(EXACT, {})
    pair.upward(0.0, pair.session.connected(0.0))
    pair.heard(0.0, pair.downward(0.0))
    pair.cache.take(twin, 1.0)
    pair.exchange(2.0)
    assert pair.cache.take(exact, 3.0) == 0.0  # neither has a limit
    pair.control.limited(4.0, exact, Limit(1, SPAN))
    pair.heard(5.0, pair.downward(5.0))
    assert pair.cache.take(exact, 6.0) > 0.0


def test_a_limit_that_lets_go_frees_no_other_one_of_its_fingerprint() -> None:
    one, other = TWINS
    pair = Pair(ADAPTIVE, dict.fromkeys(TWINS, Limit(20, SPAN, ADAPTIVE)))
    pair.upward(0.0, pair.session.connected(0.0))
    pair.heard(0.0, pair.downward(0.0))
    pair.control.limited(1.0, one, Limit(10, SPAN, ADAPTIVE))  # it falls: it is bound
    pair.control.limited(2.0, other, Limit(10, SPAN))
    pair.control.limited(3.0, one, Limit(40, SPAN, ADAPTIVE))
    for now in range(10, 20_000, 100):
        pair.heard(float(now), pair.downward(float(now)))
        assert pair.cache.take(other, float(now)) > 0.0
    pair.control.unlimited(other)
    pair.heard(20_000.0, pair.downward(20_000.0))
    pair.exchange(20_001.0)
    assert not pair.control.is_bound(one) and not pair.control.is_bound(other)
    pair.control.limited(20_002.0, one, Limit(30, SPAN, ADAPTIVE))
    told = [item for item in pair.downward(20_003.0) if isinstance(item, KeyStatuses)]
    assert any(fingerprint(one) in item.bound for item in told)
