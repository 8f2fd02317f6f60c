"""What a sender may do by the status of a key: free calls end with freshness, and are reported once."""

from __future__ import annotations

import pytest

from springspread.fleet.lease_cache import FRESH_MS, IDLE_MS, MIN_REPORT_INTERVAL_MS, REPORT_MS, LeaseCache
from springspread.fleet.limits import Lease
from springspread.fleet.messages import KeyStatus, KeyStatuses, UseReport, Welcome, fingerprint
from springspread.fleet.use_ledger import EARLY_REPORT_CALLS, MAX_IN_FLIGHT, MAX_UNACKNOWLEDGED

KEY = "g1"
PRINT = fingerprint(KEY)


def free_cache(sent_at: float = 0.0) -> LeaseCache:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.FREE, True), sent_at)
    return cache


def reported(cache: LeaseCache, now: float) -> UseReport:
    report = cache.use_report(now)
    assert report is not None
    return report


def test_before_it_is_welcomed_every_call_needs_a_lease() -> None:
    cache = LeaseCache()
    assert cache.take(KEY, 0.0) > 0.0 and cache.demands(0.0) == {KEY: 1}


def test_a_free_call_is_made_at_once_and_reported() -> None:
    cache = free_cache()
    assert [cache.take(KEY, 5.0), cache.take(KEY, 6.0), cache.take("g2", 7.0)] == [0.0] * 3
    cache.failed(KEY)
    assert reported(cache, 10.0) == UseReport(1, 3.0, {KEY: 2, "g2": 1}, {KEY: 1})
    assert cache.demands(10.0) == {}


def test_free_calls_end_when_no_report_was_acknowledged_for_so_long() -> None:
    cache = free_cache()
    assert cache.take(KEY, FRESH_MS - 1.0) == 0.0
    assert cache.take(KEY, FRESH_MS) > 0.0  # frozen or cut off meanwhile: the limit may be bound
    sent = reported(cache, FRESH_MS)
    # However late the answer comes, what it says was so when the report came: it counts from its sending.
    cache.apply_statuses(KeyStatuses(sent.sequence))
    assert cache.take(KEY, 2 * FRESH_MS - 1.0) == 0.0
    assert cache.take(KEY, 2 * FRESH_MS) > 0.0


def test_a_limit_that_is_bound_needs_leases_until_it_is_free_again() -> None:
    cache = free_cache()
    cache.apply_statuses(KeyStatuses(0, bound=(PRINT,)))
    assert cache.take(KEY, 1.0) > 0.0 and cache.take("g2", 1.0) == 0.0
    cache.add_lease(Lease(1, ("n0", 1), KEY, 1, 100.0), 2.0)
    assert cache.take(KEY, 3.0) == 0.0 and cache.take(KEY, 3.0) > 0.0
    cache.apply_statuses(KeyStatuses(0, free=(PRINT,)))
    assert cache.take(KEY, 4.0) == 0.0
    assert cache.demands(4.0) == {}  # who waited for a lease of it waits no more


def test_a_key_without_a_limit_needs_nothing_even_when_cut_off() -> None:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.BOUND, True), 0.0)
    cache.apply_statuses(KeyStatuses(0, unlimited=(PRINT,)))
    assert cache.take(KEY, 1e9) == 0.0 and not cache.is_limited(KEY) and cache.is_limited("g2")
    assert cache.use_report(1e9) is None
    cache.apply_statuses(KeyStatuses(0, bound=(PRINT,)))
    assert cache.take(KEY, 1e9) > 0.0


def test_so_many_calls_of_one_key_are_made_before_an_acknowledgement_and_no_more() -> None:
    cache = free_cache()
    made = sum(cache.take(KEY, 1.0) == 0.0 for _ in range(3 * MAX_UNACKNOWLEDGED))
    assert made == MAX_UNACKNOWLEDGED
    assert cache.take("g2", 1.0) == 0.0  # another key is not concerned
    sent = reported(cache, 1.0)
    assert cache.take(KEY, 2.0) > 0.0  # sent is not enough: it may be lost
    cache.apply_statuses(KeyStatuses(sent.sequence))
    assert cache.take(KEY, 3.0) == 0.0


def test_many_calls_of_one_key_are_reported_early_and_few_at_the_interval() -> None:
    cache = free_cache()
    reported(cache, 0.0) if cache.take(KEY, 0.0) == 0.0 else pytest.fail("a free call")
    cache.take(KEY, 1.0)
    assert cache.use_report(REPORT_MS - 1.0) is None and cache.use_report_at(1.0) == REPORT_MS
    for _ in range(EARLY_REPORT_CALLS):
        cache.take(KEY, 2.0)
    assert cache.use_report_at(2.0) == MIN_REPORT_INTERVAL_MS
    assert reported(cache, MIN_REPORT_INTERVAL_MS).calls == {KEY: EARLY_REPORT_CALLS + 1}


def test_a_sender_that_is_idle_sends_no_heartbeats() -> None:
    cache = free_cache()
    cache.take(KEY, 0.0)
    beats, now = 0, 0.0
    while now < 3 * IDLE_MS:
        report = cache.use_report(now)
        if report is not None:
            beats += 1
            cache.apply_statuses(KeyStatuses(report.sequence))
        now += 100.0
    assert beats == IDLE_MS / REPORT_MS


def test_what_a_broken_connection_may_have_lost_is_sent_again_under_the_same_numbers() -> None:
    cache = free_cache()
    cache.take(KEY, 0.0)
    first = reported(cache, 0.0)
    cache.take(KEY, 500.0)
    second = reported(cache, REPORT_MS)
    cache.apply_statuses(KeyStatuses(first.sequence))
    (again,) = cache.resend(REPORT_MS + 250.0)
    assert again == UseReport(second.sequence, 750.0, {KEY: 1}, {})


def test_reports_that_nobody_acknowledges_do_not_pile_up() -> None:
    cache, now = free_cache(), 0.0
    for _ in range(10 * MAX_IN_FLIGHT):
        cache.take(KEY, now)
        cache.use_report(now)
        now += REPORT_MS
    assert len(cache.resend(now)) == MAX_IN_FLIGHT


def test_a_successor_that_learns_leaves_bound_what_was_bound() -> None:
    cache = free_cache()
    cache.apply_statuses(KeyStatuses(0, bound=(PRINT,)))
    cache.apply_welcome(Welcome(KeyStatus.FREE, False), 10.0)
    assert cache.take(KEY, 11.0) > 0.0
    cache.apply_welcome(Welcome(KeyStatus.FREE, True), 20.0)
    assert cache.take(KEY, 21.0) == 0.0


def test_a_call_that_asks_again_counts_once() -> None:
    cache = LeaseCache()
    for now in range(0, 100, 10):
        assert cache.take(KEY, float(now), waiting=now > 0) > 0.0
    assert cache.demands(90.0) == {KEY: 1}
    assert cache.take(KEY, 90.0) > 0.0  # another one
    assert cache.demands(90.0) == {KEY: 2}
    for late in (100.0, 110.0):
        assert cache.take(KEY, late, waiting=True) > 0.0  # both again
    assert cache.demands(155.0) == {KEY: 2}
