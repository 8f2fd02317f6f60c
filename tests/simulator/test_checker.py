"""The checker alone: one scripted violation at a time, and the closest permitted case."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springspread.simulator.checker import Checker
from springspread.simulator.day import CLASSES

NOTE, FEE = (spec.name for spec in CLASSES)


def checker() -> Checker:
    it = Checker(CLASSES, 500.0, 3, {"g7": 1.0})
    it.submitted(0.0, "n0", "a", FEE, 7, 28_000.0, 0.0)
    it.verdict(1.0, "a", True)
    return it


def call(it: Checker, at: float = 10.0, group: int = 7) -> None:
    it.call(at, "n0", "s-1", group, "g7", ["a"])


def delivered(it: Checker, at: float = 500.0) -> None:
    it.done(at, "n0", "g7", ["a"], "delivered", False)


def delivered_normally(it: Checker) -> None:
    call(it)
    it.done(400.0, "n0", "g7", ["a"], "maybe", True)
    delivered(it)


def sent_again(it: Checker) -> None:
    call(it)
    it.done(400.0, "n0", "g7", ["a"], "maybe", False)
    call(it, 600.0)
    delivered(it, 900.0)


def ran_twice(it: Checker) -> None:
    delivered_normally(it)
    it.done(600.0, "n0", "g7", ["a"], "maybe", True)


def no_final_status(it: Checker) -> None:
    call(it)


def notified_late(it: Checker) -> None:
    it.notice(28_400.0, "a", "deferred")


def notified_in_time(it: Checker) -> None:
    it.notice(28_300.0, "a", "undeliverable")


def two_final_statuses(it: Checker) -> None:
    it.notice(100.0, "a", "deferred")
    it.notice(200.0, "a", "undeliverable")


def delivered_after_failure(it: Checker) -> None:
    call(it)
    it.notice(100.0, "a", "undeliverable")
    delivered(it)


def delivered_after_deferral(it: Checker) -> None:
    call(it)
    it.notice(100.0, "a", "deferred")
    delivered(it)


def sent_after_notice(it: Checker) -> None:
    it.notice(100.0, "a", "undeliverable")
    call(it, 200.0)


def notified_as_the_platform_returned(it: Checker) -> None:
    it.platform_down(27_000.0, 33_000.0)
    it.notice(34_000.0, "a", "undeliverable")


def notified_long_after_the_platform_returned(it: Checker) -> None:
    it.platform_down(27_000.0, 33_000.0)
    it.notice(36_000.0, "a", "undeliverable")


def notified_as_its_sender_returned(it: Checker) -> None:
    it.sender_down("n0", 27_900.0, 29_000.0)
    it.notice(29_300.0, "a", "undeliverable")


def another_sender_was_away(it: Checker) -> None:
    it.sender_down("n1", 27_900.0, 29_000.0)
    it.notice(29_300.0, "a", "undeliverable")


def notified_late_of_a_refused_message(it: Checker) -> None:
    """A frozen sender reads a message after its client has moved on."""
    it.submitted(0.0, "n0", "b", NOTE, 7, 8_000.0, 0.0)
    it.verdict(400.0, "b", False)
    it.notice(20_000.0, "b", "deferred")
    delivered_normally(it)


def misdirected_call(it: Checker) -> None:
    delivered_normally(it)
    it.misdirected(10.0, "n0", "a call reached a reassigned address")


def delivered_at_its_last_moment(it: Checker) -> None:
    call(it)
    delivered(it, 28_000.0)


def delivered_before_its_verdict(it: Checker) -> None:
    """Events on two connections may be observed out of order."""
    it.submitted(0.0, "n0", "b", NOTE, 7, 8_000.0, 0.0)
    it.call(5.0, "n0", "s-1", 7, "g7", ["b"])
    it.done(20.0, "n0", "g7", ["b"], "delivered", False)
    it.verdict(25.0, "b", True)
    delivered_normally(it)


def wrong_group(it: Checker) -> None:
    call(it, group=8)
    delivered(it)


def after_a_drain(it: Checker) -> None:
    it.listed(0.0, "n0", "s-1", False)
    call(it, 551.0)
    delivered(it, 900.0)


def within_the_grace(it: Checker) -> None:
    it.listed(0.0, "n0", "s-1", False)
    call(it, 540.0)
    delivered(it, 900.0)


def within_a_wait(it: Checker) -> None:
    it.wait(0.0, "n0", "g7", 1000.0)
    call(it, 900.0)
    delivered(it, 1500.0)


def after_a_wait(it: Checker) -> None:
    it.wait(0.0, "n0", "g7", 1000.0)
    call(it, 1001.0)
    delivered(it, 1500.0)


def too_many_attempts(it: Checker) -> None:
    for n in range(4):
        call(it, 10.0 + n)
        it.done(20.0 + n, "n0", "g7", ["a"], "never", False)
    delivered(it)


def overloaded_by_aware_senders(it: Checker) -> None:
    delivered_normally(it)
    it.failed(300.0, "n0", "s-1")
    it.cold_overload(600.0, "s-1", ["n0", "n0", "n1"])


def overloaded_by_unaware_senders(it: Checker) -> None:
    delivered_normally(it)
    it.failed(100.0, "n1", "s-1")
    it.trouble_began("s-1")
    it.failed(300.0, "n0", "s-1")
    it.cold_overload(600.0, "s-1", ["n0", "n1", "n1"])


@pytest.mark.parametrize(
    ("history", "expected"),
    [
        (delivered_normally, []),
        (notified_in_time, []),
        (within_the_grace, []),
        (after_a_wait, []),
        (sent_again, ["twice"]),
        (ran_twice, ["twice"]),
        (no_final_status, ["lost"]),
        (notified_late, ["late"]),
        (two_final_statuses, ["answers"]),
        (delivered_after_failure, []),
        (delivered_after_deferral, ["answers"]),
        (sent_after_notice, ["answers"]),
        (notified_as_the_platform_returned, []),
        (notified_long_after_the_platform_returned, ["late"]),
        (notified_as_its_sender_returned, []),
        (another_sender_was_away, ["late"]),
        (notified_late_of_a_refused_message, []),
        (misdirected_call, ["group"]),
        (delivered_at_its_last_moment, []),
        (delivered_before_its_verdict, []),
        (wrong_group, ["group"]),
        (after_a_drain, ["drain"]),
        (within_a_wait, ["wait"]),
        (too_many_attempts, ["attempts"]),
        (overloaded_by_aware_senders, ["cold"]),
        (overloaded_by_unaware_senders, []),
    ],
)
def test_each_rule_is_checked_by_itself(history: Callable[[Checker], None], expected: list[str]) -> None:
    it = checker()
    history(it)
    it.close(60_000.0)
    assert [fault.rule for fault in it.faults] == expected


def test_worth_halves_with_each_further_aim_down_to_late_worth() -> None:
    for took, worth in ((4000.0, 2.0), (8000.0, 1.0), (20_000.0, 1.0)):
        it = checker()
        delivered(it, took)
        assert it.tally.kept == pytest.approx(worth)
        assert it.tally.service == pytest.approx(worth / 2)


def test_calls_above_the_limit_are_counted_by_span() -> None:
    it = checker()
    for n in range(3):
        call(it, 10.0 + n)
        it.done(20.0 + n, "n0", "g7", ["a"], "never", False)
    it.close(1000.0)
    assert it.tally.over_limit == 1


def test_the_grade_weighs_the_worst_ten_seconds_and_class_and_subtracts_prices() -> None:
    it = Checker(CLASSES, 500.0, 3, {})
    for second in range(20):
        it.submitted(1000.0 * second, "n0", f"m{second}", FEE, 7, 28_000.0, 1000.0 * second)
        it.verdict(1000.0 * second + 1.0, f"m{second}", True)
        it.call(1000.0 * second + 2.0, "n0", "s-1", 7, "g7", [f"m{second}"])
        if second < 10:
            it.done(1000.0 * second + 50.0, "n0", "g7", [f"m{second}"], "delivered", False)
    it.close(0.0)
    assert (it.tally.service, it.tally.worst) == (0.5, 0.0)
    assert it.tally.grade == pytest.approx(0.5 * 0.5 + 0.2 * 0.5 - 0.16 * 0.5)
