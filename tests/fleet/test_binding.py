"""The demand estimate, and when a limit is bound and released."""

from __future__ import annotations

from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.fleet.binding import HOLD_MS, Binding, Cause
from springspread.fleet.demand import DemandEstimate
from springspread.fleet.destination_health import DestinationHealth
from springspread.fleet.limits import Limit, LimitMode

SPAN = 2_000.0
STEPS = st.lists(st.tuples(st.floats(0.0, 3_000.0), st.integers(0, 9)), max_size=40)


def adaptive(calls: int, span_ms: float = SPAN) -> Limit:
    return Limit(calls, span_ms, LimitMode.ADAPTIVE)


@given(steps=STEPS)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
def test_upper_bound_is_never_below_actual_calls(steps: list[tuple[float, int]]) -> None:
    estimate, now, made = DemandEstimate(SPAN), 0.0, deque[tuple[float, int]]()
    for pause_ms, calls in steps:
        now += pause_ms
        estimate.add(now, calls)
        made.append((now, calls))
        in_span = sum(count for at, count in made if at > now - SPAN)
        in_two = sum(count for at, count in made if at > now - 2 * SPAN)
        assert in_span <= estimate.upper_bound(now) <= in_two
        assert 0.0 <= estimate.recent(now) <= in_two + 1e-6


def test_steady_demand_estimate_is_accurate() -> None:
    estimate = DemandEstimate(SPAN)
    for n in range(4_000):
        estimate.add(n * 10.0, 1)
    assert estimate.recent(39_990.0) == pytest.approx(200.0, rel=0.1)
    assert estimate.smoothed(39_990.0) == pytest.approx(200.0, rel=0.1)
    assert estimate.recent(39_990.0 + 2 * SPAN) == 0.0


def drive(binding: Binding, begin: float, end: float, every_ms: float) -> tuple[Cause | None, float]:
    """Calls at a steady rate until one binds; the cause and the time."""
    now = begin
    while now < end:
        cause = binding.record_calls(now, 1)
        if cause is not None:
            return cause, now
        now += every_ms
    return None, now


def test_low_demand_does_not_bind() -> None:
    binding = Binding(adaptive(100))
    assert drive(binding, 0.0, 120_000.0, SPAN / 60)[0] is None and not binding.bound


def test_lasting_demand_near_limit_binds() -> None:
    binding = Binding(adaptive(100))
    cause, at = drive(binding, 0.0, 60_000.0, SPAN / 90)
    assert cause is Cause.DEMAND and at <= 20_000.0


def test_burst_above_limit_binds_at_once() -> None:
    binding = Binding(adaptive(100))
    cause, at = drive(binding, 10_000.0, 60_000.0, 1.0)
    assert cause is Cause.BURST and at <= 10_000.0 + 120.0


@pytest.mark.parametrize(("calls", "failed", "failing"), [(4, 2, False), (4, 3, True), (9, 4, False)])
def test_destination_fails_if_several_and_half_of_calls_failed(
    calls: int, failed: int, failing: bool
) -> None:
    health = DestinationHealth(SPAN)
    assert not health.record(10_000.0, calls, failed, recent_calls=float(calls))
    assert health.failing is failing


def fail(binding: Binding, begin: float, end: float, every_ms: float) -> tuple[Cause | None, float]:
    """Failing calls at a steady rate until one binds; the cause and the time."""
    now = begin
    while now < end:
        cause = binding.record_calls(now, 1, 1)
        if cause is not None:
            return cause, now
        now += every_ms
    return None, now


def test_failures_alone_do_not_bind() -> None:
    assert fail(Binding(adaptive(100)), 0.0, 120_000.0, SPAN / 30)[0] is None


def test_failing_destination_is_bound_at_lower_demand() -> None:
    assert fail(Binding(adaptive(100)), 0.0, 60_000.0, SPAN / 65)[0] is Cause.FAILING
    assert drive(Binding(adaptive(100)), 0.0, 60_000.0, SPAN / 65)[0] is None


def test_first_reported_recovery_binds() -> None:
    binding = Binding(adaptive(100))
    fail(binding, 0.0, 20_000.0, SPAN / 10)
    assert not binding.bound
    assert binding.recovered(20_000.0) is Cause.RETURNED and binding.bound
    assert binding.recovered(20_001.0) is None  # already bound
    successor = Binding(adaptive(100))  # it knows of no failure
    assert successor.recovered(0.0) is Cause.RETURNED


def test_recovery_binds_without_senders_report() -> None:
    binding = Binding(adaptive(100))
    fail(binding, 0.0, 20_000.0, SPAN / 10)
    cause, at = drive(binding, 20_000.0, 60_000.0, SPAN / 10)
    assert cause is Cause.RETURNED and at <= 20_000.0 + 5 * SPAN


def test_calls_reported_before_their_failures_are_no_recovery() -> None:
    """A report each second; a failure is known, and so reported, one report later."""
    binding = Binding(adaptive(100))
    for second in range(60):
        binding.record_calls(1_000.0 * second, 4, 4 if second else 0)
        assert not binding.bound


def test_lowered_limit_binds_and_raised_limit_does_not() -> None:
    binding = Binding(adaptive(100))
    assert binding.change_limit(0.0, adaptive(200)) is None and not binding.bound
    assert binding.change_limit(1.0, adaptive(20)) is Cause.LOWERED and binding.bound
    assert binding.change_limit(2.0, adaptive(2)) is None and binding.bound  # already bound


def test_learning_successor_binds_requested_limits() -> None:
    binding = Binding(adaptive(100))
    assert binding.record_request(0.0, learning=False) is None
    assert binding.record_request(0.0, learning=True) is Cause.LEARNING


def test_release_needs_hold_time_and_lower_demand() -> None:
    binding = Binding(adaptive(100))
    cause, now = drive(binding, 0.0, 60_000.0, 1.0)
    assert cause is not None
    assert not binding.try_release(now + HOLD_MS - 1.0)
    bound_at = now
    while now < bound_at + 30_000.0:  # between the two thresholds: it stays bound
        now += SPAN / 60
        binding.record_calls(now, 1)
    assert not binding.try_release(now)
    quiet_from = now
    while not binding.try_release(now):
        now += SPAN / 30
        binding.record_calls(now, 1)
        assert now < quiet_from + 60_000.0
    assert now > quiet_from + SPAN and not binding.bound


def test_no_release_while_calls_wait() -> None:
    binding = Binding(adaptive(100))
    binding.change_limit(0.0, adaptive(10))
    binding.record_contention(HOLD_MS - 1.0)
    assert not binding.try_release(HOLD_MS + 1.0) and binding.try_release(2 * HOLD_MS)


def test_recovered_destination_is_released_after_hold_time() -> None:
    binding = Binding(adaptive(100))
    fail(binding, 0.0, 20_000.0, SPAN / 10)
    binding.recovered(20_000.0)
    assert not binding.try_release(20_000.0 + HOLD_MS - 1.0)
    assert binding.try_release(20_000.0 + HOLD_MS + SPAN) and not binding.bound


def test_failing_destination_is_released_at_lower_demand() -> None:
    binding = Binding(adaptive(100))
    _, now = drive(binding, 0.0, 60_000.0, 1.0)
    while now < 40_000.0:  # low enough to be released if calls succeeded
        now += SPAN / 40
        binding.record_calls(now, 1, 1)
    assert not binding.try_release(now)
    quiet_from = now
    while not binding.try_release(now):
        now += SPAN / 20
        binding.record_calls(now, 1, 1)
        assert now < quiet_from + 60_000.0
    assert not binding.bound
    assert binding.recovered(now) is Cause.RETURNED
