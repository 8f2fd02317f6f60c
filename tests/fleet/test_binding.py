"""The demand estimate and the rule that binds a limit and lets it go."""

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
def test_the_estimate_never_counts_fewer_calls_than_a_span_has_had(steps: list[tuple[float, int]]) -> None:
    estimate, now, made = DemandEstimate(SPAN), 0.0, deque[tuple[float, int]]()
    for pause_ms, calls in steps:
        now += pause_ms
        estimate.add(now, calls)
        made.append((now, calls))
        in_span = sum(count for at, count in made if at > now - SPAN)
        in_two = sum(count for at, count in made if at > now - 2 * SPAN)
        assert in_span <= estimate.upper_bound(now) <= in_two
        assert 0.0 <= estimate.recent(now) <= in_two + 1e-6


def test_a_steady_demand_is_estimated_within_a_tenth() -> None:
    estimate = DemandEstimate(SPAN)
    for n in range(4_000):
        estimate.add(n * 10.0, 1)
    assert estimate.recent(39_990.0) == pytest.approx(200.0, rel=0.1)
    assert estimate.smoothed(39_990.0) == pytest.approx(200.0, rel=0.1)
    assert estimate.recent(39_990.0 + 2 * SPAN) == 0.0


def drive(binding: Binding, begin: float, end: float, every_ms: float) -> tuple[Cause | None, float]:
    """Calls at a steady pace until one binds; the cause and the moment."""
    now = begin
    while now < end:
        cause = binding.record_calls(now, 1)
        if cause is not None:
            return cause, now
        now += every_ms
    return None, now


def test_a_demand_well_below_the_limit_never_binds() -> None:
    binding = Binding(adaptive(100))
    assert drive(binding, 0.0, 120_000.0, SPAN / 60)[0] is None and not binding.bound


def test_a_lasting_demand_near_the_limit_binds() -> None:
    binding = Binding(adaptive(100))
    cause, at = drive(binding, 0.0, 60_000.0, SPAN / 90)
    assert cause is Cause.DEMAND and at <= 20_000.0


def test_a_burst_over_the_limit_binds_at_once() -> None:
    binding = Binding(adaptive(100))
    cause, at = drive(binding, 10_000.0, 60_000.0, 1.0)
    assert cause is Cause.BURST and at <= 10_000.0 + 120.0


@pytest.mark.parametrize(("calls", "failed", "failing"), [(4, 2, False), (4, 3, True), (9, 4, False)])
def test_a_destination_fails_where_several_calls_failed_and_half_of_them(
    calls: int, failed: int, failing: bool
) -> None:
    health = DestinationHealth(SPAN)
    assert not health.record(10_000.0, calls, failed, recent_calls=float(calls))
    assert health.failing is failing


def fail(binding: Binding, begin: float, end: float, every_ms: float) -> tuple[Cause | None, float]:
    """Calls at a steady pace that all fail, until one binds; the cause and the moment."""
    now = begin
    while now < end:
        cause = binding.record_calls(now, 1, 1)
        if cause is not None:
            return cause, now
        now += every_ms
    return None, now


def test_failures_alone_bind_nothing() -> None:
    assert fail(Binding(adaptive(100)), 0.0, 120_000.0, SPAN / 30)[0] is None


def test_a_destination_that_fails_is_bound_at_a_lower_demand_than_one_that_serves() -> None:
    assert fail(Binding(adaptive(100)), 0.0, 60_000.0, SPAN / 65)[0] is Cause.FAILING
    assert drive(Binding(adaptive(100)), 0.0, 60_000.0, SPAN / 65)[0] is None


def test_a_sender_that_was_served_after_failures_alone_binds_at_once() -> None:
    binding = Binding(adaptive(100))
    fail(binding, 0.0, 20_000.0, SPAN / 10)
    assert not binding.bound
    assert binding.recovered(20_000.0) is Cause.RETURNED and binding.bound
    assert binding.recovered(20_001.0) is None  # it is bound already
    successor = Binding(adaptive(100))  # which knows of no failure
    assert successor.recovered(0.0) is Cause.RETURNED


def test_a_destination_that_has_recovered_is_bound_even_if_no_sender_says_so() -> None:
    binding = Binding(adaptive(100))
    fail(binding, 0.0, 20_000.0, SPAN / 10)
    cause, at = drive(binding, 20_000.0, 60_000.0, SPAN / 10)
    assert cause is Cause.RETURNED and at <= 20_000.0 + 5 * SPAN


def test_calls_that_are_reported_before_their_failures_are_no_return() -> None:
    """A report each second; what fails is known, and so reported, one report later."""
    binding = Binding(adaptive(100))
    for second in range(60):
        binding.record_calls(1_000.0 * second, 4, 4 if second else 0)
        assert not binding.bound


def test_a_limit_that_falls_binds_and_one_that_rises_does_not() -> None:
    binding = Binding(adaptive(100))
    assert binding.change_limit(0.0, adaptive(200)) is None and not binding.bound
    assert binding.change_limit(1.0, adaptive(20)) is Cause.LOWERED and binding.bound
    assert binding.change_limit(2.0, adaptive(2)) is None and binding.bound  # it was bound already


def test_a_successor_binds_what_is_asked_for() -> None:
    binding = Binding(adaptive(100))
    assert binding.record_request(0.0, learning=False) is None
    assert binding.record_request(0.0, learning=True) is Cause.LEARNING


def test_it_lets_go_only_after_a_while_below_a_lower_threshold() -> None:
    binding = Binding(adaptive(100))
    cause, now = drive(binding, 0.0, 60_000.0, 1.0)
    assert cause is not None
    assert not binding.try_release(now + HOLD_MS - 1.0)
    bound_at = now
    while now < bound_at + 30_000.0:  # between the two thresholds: it stays as it is
        now += SPAN / 60
        binding.record_calls(now, 1)
    assert not binding.try_release(now)
    quiet_from = now
    while not binding.try_release(now):
        now += SPAN / 30
        binding.record_calls(now, 1)
        assert now < quiet_from + 60_000.0
    assert now > quiet_from + SPAN and not binding.bound


def test_it_is_held_while_somebody_waits() -> None:
    binding = Binding(adaptive(100))
    binding.change_limit(0.0, adaptive(10))
    binding.record_contention(HOLD_MS - 1.0)
    assert not binding.try_release(HOLD_MS + 1.0) and binding.try_release(2 * HOLD_MS)


def test_a_limit_that_a_return_bound_lets_go_after_a_while_of_little_demand() -> None:
    binding = Binding(adaptive(100))
    fail(binding, 0.0, 20_000.0, SPAN / 10)
    binding.recovered(20_000.0)
    assert not binding.try_release(20_000.0 + HOLD_MS - 1.0)
    assert binding.try_release(20_000.0 + HOLD_MS + SPAN) and not binding.bound


def test_one_that_fails_while_it_is_bound_lets_go_at_a_lower_demand_and_is_bound_at_its_return() -> None:
    binding = Binding(adaptive(100))
    _, now = drive(binding, 0.0, 60_000.0, 1.0)
    while now < 40_000.0:  # little enough to let go, did it serve
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
