"""Regression tests of exact and adaptive limits, each with the fewest events that show the fault."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from functools import partial
from math import ceil
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from springspread.core.types import Endpoint
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.client import key_of
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.lease_record import LeaseRecord
from springspread.fleet.limit_sources import stricter
from springspread.fleet.limits import Lease, Limit, LimitMode, Owner
from springspread.fleet.messages import (
    MAX_KEYS,
    PROTOCOL_VERSION,
    GrantedLease,
    KeyStatus,
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
from springspread.fleet.sender_notifier import BATCH_DELAY_MS
from springspread.fleet.sender_session import SenderSession
from springspread.fleet.wire import Lines, encode

SPAN = 2_000.0
EXACT, ADAPTIVE = LimitMode.EXACT, LimitMode.ADAPTIVE


class Pair:
    """One sender and one allocator; the tests deliver each message."""

    def __init__(self, default: LimitMode, limits: dict[str, Limit]) -> None:
        self.control = AllocatorControl("fleet", default, limits, Allocator(), 0.0)
        self.cache = LeaseCache()
        self.session = SenderSession("n0", 1, "fleet", self.cache)
        self.owner: Owner = ("n0", 1)

    def to_allocator(self, now: float, messages: list[LimitMessage]) -> None:
        for message in messages:
            if isinstance(message, Register):
                self.control.register(now, message)
            else:
                assert isinstance(message, LeaseRequest | UseReport)
                self.control.received(now, self.owner, message)

    def from_allocator(self, now: float) -> list[LimitMessage]:
        self.control.grant(now, self.control.tick(now))
        return self.control.take_messages().get(self.owner, [])

    def receive(self, now: float, messages: list[LimitMessage]) -> None:
        for message in messages:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(now, message)

    def exchange(self, now: float) -> None:
        self.to_allocator(now, self.session.due(now))
        self.receive(now, self.from_allocator(now))


def test_exact_limit_is_not_free_between_welcome_and_statuses() -> None:
    pair = Pair(ADAPTIVE, {f"g{n}": Limit(1, SPAN) for n in range(5_000)})
    pair.to_allocator(0.0, pair.session.connected(0.0))
    messages = pair.from_allocator(0.0)
    assert len(messages) == 3  # the welcome, and exact limits in two messages
    for message in messages:
        pair.receive(1.0, [message])
        assert pair.cache.take("g1", 1.0) > 0.0 and pair.cache.take("g4999", 1.0) > 0.0
    assert pair.cache.take("g5000", 1.0) == 0.0


def test_exact_limit_is_not_free_during_change_of_default() -> None:
    limits = {"g1": Limit(1, SPAN)}
    pair = Pair(EXACT, limits)
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.receive(0.0, pair.from_allocator(0.0))
    pair.control.schedule_limits(1.0, limits, 2.0, ADAPTIVE)
    for message in pair.from_allocator(3.0):
        pair.receive(3.0, [message])
        assert pair.cache.take("g1", 3.0) > 0.0
    assert pair.cache.take("g2", 3.0) == 0.0


def test_limit_bound_by_lease_reports_is_sent_and_checked() -> None:
    limits = {"g1": Limit(1, SPAN)}
    pair = Pair(ADAPTIVE, limits)
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.receive(0.0, pair.from_allocator(0.0))
    pair.control.received(1.0, pair.owner, LeaseRequest({"g1": 1}))
    leases = pair.control.tick(2.0)
    assert sum(lease.calls for lease in leases) == 1
    pair.control.schedule_limits(3.0, {"g1": Limit(1, SPAN, ADAPTIVE)}, 4.0)
    pair.receive(5.0, pair.from_allocator(5.0))
    assert not pair.control.is_bound("g1")
    pair.control.received(6.0, pair.owner, UseReport(1, 0.0, {"g1": 2}))
    reports = tuple(LeaseReport("g1", lease.serial, lease.calls, 2.0) for lease in leases)
    pair.control.received(7.0, pair.owner, LeaseRequest({}, reports))
    assert pair.control.is_bound("g1")
    pair.control.tick(8.0)
    sent = [
        one
        for one in pair.from_allocator(8.0 + BATCH_DELAY_MS[KeyStatus.BOUND])
        if isinstance(one, KeyStatuses)
    ]
    assert any(fingerprint("g1") in one.bound for one in sent)
    assert pair.control.next_at < 10_000.0  # the check for release


TWINS = ("r2609/endpoint-655.dc5.example:8061", "r119131/endpoint-914.dc5.example:8012")  # one fingerprint


@pytest.mark.parametrize("default", [EXACT, ADAPTIVE])
@pytest.mark.parametrize("other", [None, Limit(20, SPAN, ADAPTIVE)])
def test_shared_fingerprint_does_not_free_exact_limit(default: LimitMode, other: Limit | None) -> None:
    exact, twin = TWINS
    assert fingerprint(exact) == fingerprint(twin)
    limits = {exact: Limit(1, SPAN)} | ({twin: other} if other is not None else {})
    pair = Pair(default, limits)
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.receive(0.0, pair.from_allocator(0.0))
    made, now = {exact: 0, twin: 0}, 0.0
    while now < 1_500.0:
        now += 10.0
        for key in (twin, exact):
            made[key] += pair.cache.take(key, now) == 0.0
        pair.exchange(now)
    assert made[exact] == 1 and made[twin] >= 1  # the other key is slowed down but still called


def test_new_limit_binds_senders_that_know_its_fingerprint() -> None:
    exact, twin = TWINS
    pair = Pair(EXACT, {})
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.receive(0.0, pair.from_allocator(0.0))
    pair.cache.take(twin, 1.0)
    pair.exchange(2.0)
    assert pair.cache.take(exact, 3.0) == 0.0  # neither has a limit
    pair.control.set_limit(4.0, exact, Limit(1, SPAN))
    pair.receive(5.0, pair.from_allocator(5.0))
    assert pair.cache.take(exact, 6.0) > 0.0


def test_release_does_not_free_limit_with_same_fingerprint() -> None:
    one, other = TWINS
    pair = Pair(ADAPTIVE, dict.fromkeys(TWINS, Limit(20, SPAN, ADAPTIVE)))
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.receive(0.0, pair.from_allocator(0.0))
    pair.control.set_limit(1.0, one, Limit(10, SPAN, ADAPTIVE))  # lowered, so it is bound
    pair.control.set_limit(2.0, other, Limit(10, SPAN))
    pair.control.set_limit(3.0, one, Limit(40, SPAN, ADAPTIVE))
    pair.receive(3.0, pair.from_allocator(3.0))
    for now in range(3 + int(BATCH_DELAY_MS[KeyStatus.BOUND]), 20_000, 100):
        pair.receive(float(now), pair.from_allocator(float(now)))
        assert pair.cache.take(other, float(now)) > 0.0
    pair.control.remove_limit(other)
    pair.receive(20_000.0, pair.from_allocator(20_000.0))
    pair.exchange(20_001.0)
    assert not pair.control.is_bound(one) and not pair.control.is_bound(other)
    pair.control.set_limit(20_002.0, one, Limit(30, SPAN, ADAPTIVE))
    pair.control.tick(20_003.0)
    messages = pair.from_allocator(20_003.0 + BATCH_DELAY_MS[KeyStatus.BOUND])
    sent = [item for item in messages if isinstance(item, KeyStatuses)]
    assert any(fingerprint(one) in item.bound for item in sent)


def test_requests_are_split_by_number_of_keys() -> None:
    pair = Pair(EXACT, {})
    keys = [f"g{n}" for n in range(2 * MAX_KEYS)]
    pair.session.add_keys(keys)
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.receive(0.0, pair.from_allocator(0.0))
    for key in keys[MAX_KEYS:]:
        pair.cache.take(key, 1.0)
    pair.cache.take("g" + "9" * 20, 1.0)
    requests = [one for one in pair.session.due(2.0) if isinstance(one, LeaseRequest)]
    decoded = [message for one in requests for message in Lines().feed(encode(one))]
    assert decoded == requests
    assert {key for one in requests for key in one.demands} == {*keys, "g" + "9" * 20}


def test_requests_and_reports_with_long_keys_fit_lines() -> None:
    pair = Pair(ADAPTIVE, {})
    keys = [f"r{n}/" + "é" * 190 for n in range(MAX_KEYS)]
    pair.to_allocator(0.0, pair.session.connected(0.0))
    for key in keys:
        pair.session.set_partner_rate(key, 5.0)
        pair.cache.take(key, 1.0)
    pair.receive(0.0, pair.from_allocator(0.0))
    for key in keys:
        pair.cache.take(key, 1.0)
    messages = pair.session.due(2.0)
    assert [message for one in messages for message in Lines().feed(encode(one))] == messages
    assert {key for one in messages if isinstance(one, LeaseRequest) for key in one.partner_rates} == {*keys}


def test_partner_limits_follow_default_mode() -> None:
    pair = Pair(ADAPTIVE, {})
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.session.set_partner_rate("g1", 5.0)
    pair.exchange(1.0)
    assert pair.control.limit("g1") == Limit(10, SPAN, ADAPTIVE)
    pair.control.schedule_limits(2.0, {"g2": Limit(4, SPAN, ADAPTIVE)}, 3.0, EXACT)
    pair.receive(4.0, pair.from_allocator(4.0))
    assert pair.control.limit("g1") == Limit(10, SPAN, EXACT)
    assert pair.control.limit("g2") == Limit(4, SPAN, ADAPTIVE)  # set by the operators
    pair.cache.take("g1", 5.0)
    pair.exchange(6.0)
    assert pair.cache.is_limited("g1") and pair.control.is_bound("g1")
    pair.control.schedule_limits(7.0, {}, 8.0, ADAPTIVE)
    pair.receive(9.0, pair.from_allocator(9.0))
    assert pair.control.limit("g1") == Limit(10, SPAN, ADAPTIVE)


def test_default_mode_does_not_change_announced_limit() -> None:
    pair = Pair(ADAPTIVE, {})
    pair.to_allocator(0.0, pair.session.connected(0.0))
    pair.session.set_partner_rate("g1", 5.0)
    pair.exchange(1.0)
    pair.control.schedule_limits(2.0, {"g1": Limit(4, SPAN, ADAPTIVE)}, 10.0, EXACT)
    assert pair.control.limit("g1") == Limit(4, SPAN, ADAPTIVE)
    pair.from_allocator(11.0)
    assert pair.control.limit("g1") == Limit(4, SPAN, ADAPTIVE)


def test_sender_drops_statuses_of_another_default() -> None:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.BOUND, True), 0.0)
    cache.apply_statuses(KeyStatuses(0, unlimited=(fingerprint("g1"),)))
    # A learning successor, under a policy with an adaptive limit for the key.
    cache.apply_welcome(Welcome(KeyStatus.FREE, False), 10.0)
    assert cache.take("g1", 11.0) == 0.0
    report = cache.use_report(2_000.0)
    assert report is not None and report.calls == {"g1": 1}  # otherwise the call would never be counted


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (Limit(10, 1_000.0), Limit(99, 10_000.0)),
        (Limit(99, 10_000.0), Limit(10, 1_000.0)),
        (Limit(10, 1_000.0), Limit(15, 1_500.0)),
        (Limit(1, 1_000.0), Limit(3, 60_000.0)),
        (Limit(5, 1_000.0, ADAPTIVE), Limit(5, 1_000.0)),
        (Limit(200, 2_000.0), Limit(20, 2_000.0, ADAPTIVE)),
        (Limit(7, 2_000.0), Limit(70, 20_000.0)),
    ],
)
def test_stricter_limit_satisfies_both(one: Limit, other: Limit) -> None:
    strict = stricter(one, other)
    assert strict.calls >= 1
    for limit in (one, other):  # the most calls that the stricter one allows in a span of this one
        assert ceil(limit.span_ms / strict.span_ms) * strict.calls <= limit.calls
    rates = [limit.calls / limit.span_ms for limit in (one, other)]
    assert strict.calls / strict.span_ms >= 0.5 * min(rates)


def test_second_announcement_reverts_stricter_limit() -> None:
    pair = Pair(EXACT, {"g1": Limit(20, SPAN)})
    pair.control.schedule_limits(0.0, {"g1": Limit(5, SPAN)}, 1_000.0)
    assert pair.control.limit("g1") == Limit(5, SPAN)
    pair.control.schedule_limits(10.0, {"g1": Limit(20, SPAN)}, 1_500.0)
    pair.from_allocator(1_500.0)
    assert pair.control.limit("g1") == Limit(20, SPAN)


def test_second_announcement_removes_announced_limit() -> None:
    pair = Pair(EXACT, {})
    pair.control.schedule_limits(0.0, {"g1": Limit(5, SPAN)}, 1_000.0)
    pair.control.schedule_limits(10.0, {}, 1_500.0)
    pair.from_allocator(1_500.0)
    assert pair.control.limit("g1") is None


def test_rate_is_dropped_when_limit_is_free() -> None:
    cache = LeaseCache()
    session = SenderSession("n0", 1, "fleet", cache)
    session.connected(0.0)
    session.received(0.0, Welcome(KeyStatus.FREE, True, 1))
    session.received(0.0, KeyStatuses(0, bound=(fingerprint("g1"),)))
    session.received(0.0, LeaseGrants((GrantedLease("g1", 1, 2, 200.0, 0.5),)))
    assert session.rate("g1") == 0.5
    session.received(1.0, KeyStatuses(0, free=(fingerprint("g1"),)))
    assert session.rate("g1") is None and session.rates == {}


def test_partner_rate_set_concurrently_is_sent() -> None:
    """Sets a rate at each line of ``due``, as another thread may do."""
    lines = 0
    while True:
        session = SenderSession("n0", 1, "fleet", LeaseCache())
        session.connected(0.0)
        session.set_partner_rate("g1", 5.0)
        seen = 0

        def at_line(frame: FrameType, event: str, _: object, nth: int = lines) -> Any:
            nonlocal seen
            if frame.f_code is not SenderSession.due.__code__:
                return None
            if event == "line":
                seen += 1
                if seen == nth:
                    sys.settrace(None)
                    session.set_partner_rate("g1", 7.0)  # noqa: B023
            return at_line  # noqa: B023

        sys.settrace(at_line)
        first = session.due(1.0)
        sys.settrace(None)
        sent = [one for one in [*first, *session.due(2.0)] if isinstance(one, LeaseRequest)]
        if seen < lines:
            return
        if lines:
            assert sent[-1].partner_rates == {"g1": 7.0}, lines
        lines += 1


def test_partly_written_leases_are_not_granted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    record, real_write = LeaseRecord(tmp_path, SPAN), os.write
    record.append([Lease(1, ("n0", 1), "g1", 1, 200.0)], 0.0)
    monkeypatch.setattr(
        os, "write", lambda file, data: real_write(file, data[: len(data) // 2])
    )  # a full disk
    with pytest.raises(OSError, match="partial write"):
        record.append([Lease(2, ("n0", 1), "g1", 1, 200.0)], 1.0)
    monkeypatch.undo()
    record.append([Lease(3, ("n0", 1), "g1", 1, 200.0)], 2.0)
    record.close()
    again = LeaseRecord(tmp_path, SPAN)
    assert again.complete and [lease.serial for lease in again.earlier] == [1, 3]
    again.close()


def test_unknown_leases_count_until_one_span_after_expiry() -> None:
    limit, died = Limit(5, SPAN), 10_000.0
    before = Allocator(lease_ms=200.0)
    before.set_limit("g1", limit)
    before.set_demand(died, ("n0", 1), "g1", 5)
    (lease,) = before.allocate(died)
    cache = LeaseCache(idle_lease_ms=1_000.0)
    cache.add_lease(lease, died)
    successor = Allocator(lease_ms=200.0)
    successor.set_limit("g1", limit)
    successor.assume_exhausted(died)
    last = lease.until - 1.0
    assert cache.take("g1", last) == 0.0
    successor.set_demand(last + SPAN - 10.0, ("n1", 1), "g1", 5)
    assert successor.allocate(last + SPAN - 10.0) == []  # a call of the unknown lease is still in the span
    assert successor.allocate(last + SPAN + 10.0) != []


def operations(work: Callable[[], object]) -> int:
    """The number of bytecode operations that ``work`` takes."""
    count = 0

    def traced(frame: FrameType, event: str, _: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return traced

    sys.settrace(traced)
    work()
    sys.settrace(None)
    return count


def test_cost_of_adding_leases_is_linear() -> None:
    def received(count: int) -> int:
        cache = LeaseCache()

        def add_all() -> None:
            for number in range(count):
                cache.add_lease(Lease(number, ("n0", 1), f"g{number}", 1, 200.0), 0.0)

        return operations(add_all)

    assert received(800) <= 8.5 * received(100)


def test_calls_outside_any_span_create_no_state() -> None:
    allocator = Allocator()
    control = AllocatorControl("fleet", EXACT, {"g1": Limit(5, SPAN)}, allocator, 0.0)
    owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    control.received(1.0, owner, UseReport(1, 0.0, {}, {"g1": 4}))
    control.received(9_000.0, owner, UseReport(2, 8_000.0, {"g1": 4}, {}))
    assert allocator.state_count == 0


def test_expired_demand_does_not_keep_allocator_busy() -> None:
    allocator = Allocator()
    allocator.set_limit("g1", Limit(1, 60_000.0))
    allocator.set_demand(0.0, ("n0", 1), "g1", 1)
    assert allocator.allocate(0.0) != []
    allocator.set_demand(1.0, ("n1", 1), "g1", 1)  # and sends nothing more
    assert allocator.allocate(1.0) == [] and allocator.is_waiting("g1")
    allocator.allocate(2_000.0)
    assert not allocator.waiting
    allocator.set_demand(3_000.0, ("n1", 1), "g1", 1)
    allocator.set_demand(3_001.0, ("n1", 1), "g1", 0)
    allocator.allocate(3_001.0)
    assert not allocator.waiting


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0, 0.0, 1e18])
def test_invalid_partner_rate_is_ignored(per_s: float) -> None:
    session = SenderSession("n0", 1, "fleet", LeaseCache())
    session.connected(0.0)
    assert not session.set_partner_rate("g1", per_s)
    assert session.due(1.0) == []


def test_key_of_any_endpoint_fits_message() -> None:
    keys = {key_of(Endpoint(1, name, "h", 1, 7, True, 1)) for name in ("x" * 300, "x" * 299 + "y", "\ud800")}
    assert len(keys) == 3
    for key in keys:
        request = LeaseRequest({key: 1})
        assert Lines().feed(encode(request)) == [request]
    assert key_of(Endpoint(1, "x" * 190, "h", 1, 7, True, 1)) == "r7/" + "x" * 190


def test_removed_limits_leave_no_checks() -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {}, Allocator(), 0.0)
    for n in range(100):
        control.set_limit(float(n), "g1", Limit(20, SPAN, ADAPTIVE))
        control.set_limit(float(n), "g1", Limit(10, SPAN, ADAPTIVE))  # lowered, so it is bound
        if n < 99:
            control.remove_limit("g1")
    once = AllocatorControl("fleet", ADAPTIVE, {"g1": Limit(20, SPAN, ADAPTIVE)}, Allocator(), 0.0)
    once.set_limit(0.0, "g1", Limit(10, SPAN, ADAPTIVE))
    moments = [float(now) for now in range(1_000, 8_000, 500)]
    often, expected = (sum(operations(partial(one.tick, now)) for now in moments) for one in (control, once))
    assert often <= 2 * expected
