"""A sender's rights by the status of a key, and the reports of its free calls."""

from __future__ import annotations

import pytest

from springspread.fleet.lease_cache import FRESH_MS, IDLE_MS, MIN_REPORT_INTERVAL_MS, REPORT_MS, LeaseCache
from springspread.fleet.limits import Lease
from springspread.fleet.messages import KeyStatus, KeyStatuses, UseReport, Welcome, fingerprint
from springspread.fleet.use_ledger import EARLY_REPORT_CALLS, MAX_IN_FLIGHT, MAX_UNACKNOWLEDGED

KEY = "g1"
DIGEST = fingerprint(KEY)


def free_cache(sent_at: float = 0.0) -> LeaseCache:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.FREE, True), sent_at)
    return cache


def reported(cache: LeaseCache, now: float) -> UseReport:
    report = cache.use_report(now)
    assert report is not None
    return report


def test_calls_need_leases_before_welcome() -> None:
    cache = LeaseCache()
    assert cache.take(KEY, 0.0) > 0.0 and cache.demands(0.0) == {KEY: 1}


def test_free_call_is_granted_and_reported() -> None:
    cache = free_cache()
    assert [cache.take(KEY, 5.0), cache.take(KEY, 6.0), cache.take("g2", 7.0)] == [0.0] * 3
    cache.failed(KEY)
    assert reported(cache, 10.0) == UseReport(1, 3.0, {KEY: 2, "g2": 1}, {KEY: 1})
    assert cache.demands(10.0) == {}


def test_free_calls_stop_without_fresh_acknowledgement() -> None:
    cache = free_cache()
    assert cache.take(KEY, FRESH_MS - 1.0) == 0.0
    assert cache.take(KEY, FRESH_MS) > 0.0  # the limit may have been bound in the meantime
    sent = reported(cache, FRESH_MS)
    # However late the answer, freshness counts from when the report was sent.
    cache.apply_statuses(KeyStatuses(sent.sequence))
    assert cache.take(KEY, 2 * FRESH_MS - 1.0) == 0.0
    assert cache.take(KEY, 2 * FRESH_MS) > 0.0


def test_bound_limit_needs_leases_until_free() -> None:
    cache = free_cache()
    cache.apply_statuses(KeyStatuses(0, bound=(DIGEST,)))
    assert cache.take(KEY, 1.0) > 0.0 and cache.take("g2", 1.0) == 0.0
    cache.add_lease(Lease(1, ("n0", 1), KEY, 1, 100.0), 2.0)
    assert cache.take(KEY, 3.0) == 0.0 and cache.take(KEY, 3.0) > 0.0
    cache.apply_statuses(KeyStatuses(0, free=(DIGEST,)))
    assert cache.take(KEY, 4.0) == 0.0
    assert cache.demands(4.0) == {}  # its waiting calls need no lease any more


def test_unlimited_key_needs_nothing_without_allocator() -> None:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.BOUND, True), 0.0)
    cache.apply_statuses(KeyStatuses(0, unlimited=(DIGEST,)))
    assert cache.take(KEY, 1e9) == 0.0 and not cache.is_limited(KEY) and cache.is_limited("g2")
    assert cache.use_report(1e9) is None
    cache.apply_statuses(KeyStatuses(0, bound=(DIGEST,)))
    assert cache.take(KEY, 1e9) > 0.0


def test_unacknowledged_calls_are_limited() -> None:
    cache = free_cache()
    made = sum(cache.take(KEY, 1.0) == 0.0 for _ in range(3 * MAX_UNACKNOWLEDGED))
    assert made == MAX_UNACKNOWLEDGED
    assert cache.take("g2", 1.0) == 0.0  # other keys are not affected
    sent = reported(cache, 1.0)
    assert cache.take(KEY, 2.0) > 0.0  # a sent report may be lost
    cache.apply_statuses(KeyStatuses(sent.sequence))
    assert cache.take(KEY, 3.0) == 0.0


def test_many_calls_are_reported_early() -> None:
    cache = free_cache()
    reported(cache, 0.0) if cache.take(KEY, 0.0) == 0.0 else pytest.fail("a free call")
    cache.take(KEY, 1.0)
    assert cache.use_report(REPORT_MS - 1.0) is None and cache.use_report_at(1.0) == REPORT_MS
    for _ in range(EARLY_REPORT_CALLS):
        cache.take(KEY, 2.0)
    assert cache.use_report_at(2.0) == MIN_REPORT_INTERVAL_MS
    assert reported(cache, MIN_REPORT_INTERVAL_MS).calls == {KEY: EARLY_REPORT_CALLS + 1}


def test_idle_sender_sends_no_heartbeats() -> None:
    cache = free_cache()
    cache.take(KEY, 0.0)
    heartbeats, now = 0, 0.0
    while now < 3 * IDLE_MS:
        report = cache.use_report(now)
        if report is not None:
            heartbeats += 1
            cache.apply_statuses(KeyStatuses(report.sequence))
        now += 100.0
    assert heartbeats == IDLE_MS / REPORT_MS


def test_unacknowledged_reports_are_resent_with_same_sequence() -> None:
    cache = free_cache()
    cache.take(KEY, 0.0)
    first = reported(cache, 0.0)
    cache.take(KEY, 500.0)
    second = reported(cache, REPORT_MS)
    cache.apply_statuses(KeyStatuses(first.sequence))
    (resent,) = cache.resend(REPORT_MS + 250.0)
    assert resent == UseReport(second.sequence, 750.0, {KEY: 1}, {})


def test_unacknowledged_reports_are_bounded() -> None:
    cache, now = free_cache(), 0.0
    for _ in range(10 * MAX_IN_FLIGHT):
        cache.take(KEY, now)
        cache.use_report(now)
        now += REPORT_MS
    assert len(cache.resend(now)) == MAX_IN_FLIGHT


def test_learning_successor_keeps_bound_statuses() -> None:
    cache = free_cache()
    cache.apply_statuses(KeyStatuses(0, bound=(DIGEST,)))
    cache.apply_welcome(Welcome(KeyStatus.FREE, False), 10.0)
    assert cache.take(KEY, 11.0) > 0.0
    cache.apply_welcome(Welcome(KeyStatus.FREE, True), 20.0)
    assert cache.take(KEY, 21.0) == 0.0


def test_retrying_call_counts_once() -> None:
    cache = LeaseCache()
    for now in range(0, 100, 10):
        assert cache.take(KEY, float(now), waiting=now > 0) > 0.0
    assert cache.demands(90.0) == {KEY: 1}
    assert cache.take(KEY, 90.0) > 0.0  # another call
    assert cache.demands(90.0) == {KEY: 2}
    for late in (100.0, 110.0):
        assert cache.take(KEY, late, waiting=True) > 0.0  # both retry
    assert cache.demands(155.0) == {KEY: 2}
