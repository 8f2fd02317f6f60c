"""Circuit breakers of a sender's keys: one call at a time until the allocator knows of the first success."""

from __future__ import annotations

from springspread.fleet.chunking import COUNT_BYTES
from springspread.fleet.key_health import OPENING_FAILURES, RECOVERED_BYTES, KeyHealth
from springspread.fleet.lease_cache import MIN_REPORT_INTERVAL_MS, REPORT_MS, LeaseCache
from springspread.fleet.messages import LINE_BYTES, MAX_KEYS, KeyStatus, KeyStatuses, UseReport, Welcome
from springspread.fleet.use_ledger import MAX_UNACKNOWLEDGED
from springspread.fleet.wire import Lines, encode

KEY = "g1"


def half_open() -> KeyHealth:
    health = KeyHealth()
    for _ in range(OPENING_FAILURES):
        health.record_failure(KEY)
    return health


def test_only_consecutive_failures_open_key() -> None:
    health = KeyHealth()
    for _ in range(10):
        for _ in range(OPENING_FAILURES - 1):
            health.record_failure(KEY)
        assert not health.limits(KEY) and not health.record_success(KEY)
    assert half_open().limits(KEY) and not half_open().limits("g2")


def test_key_closes_when_reported_success_is_acknowledged() -> None:
    health = half_open()
    assert health.record_success(KEY) and not health.record_success(KEY)  # only the first one is reported
    assert health.limits(KEY)
    assert health.take_recovered(7) == (KEY,) and not health.unreported
    health.acknowledge(6, (KEY,))
    assert health.limits(KEY)
    health.acknowledge(7, (KEY,))
    assert not health.limits(KEY)


def test_failure_after_reported_success_reopens_key() -> None:
    """Race of the acknowledgement of a success and a later failure, in either order."""
    health = half_open()
    health.record_success(KEY)
    health.take_recovered(1)
    health.record_failure(KEY)
    health.acknowledge(1, (KEY,))
    assert health.limits(KEY)
    assert health.record_success(KEY) and health.take_recovered(2) == (KEY,)
    health.acknowledge(2, (KEY,))
    health.record_failure(KEY)
    assert not health.limits(KEY)  # one failure of a closed key


def test_failure_before_report_withdraws_success() -> None:
    health = half_open()
    health.record_success(KEY)
    health.record_failure(KEY)
    assert not health.unreported and health.take_recovered(1) == ()


def test_oldest_failing_keys_are_dropped() -> None:
    health = KeyHealth()
    for number in range(MAX_KEYS + 10):
        for _ in range(OPENING_FAILURES):
            health.record_failure(f"g{number}")
    assert not health.limits("g9") and health.limits("g10") and health.limits(f"g{MAX_KEYS + 9}")


def test_recovered_keys_are_split_over_reports() -> None:
    health, reported = KeyHealth(), set[str]()
    keys = [f"r{number}/{'x' * 180}" for number in range(400)]
    for key in keys:
        for _ in range(OPENING_FAILURES):
            health.record_failure(key)
        health.record_success(key)
    for sequence in range(1, 20):
        taken = health.take_recovered(sequence)
        assert sum(len(key) + 2 + COUNT_BYTES for key in taken) <= RECOVERED_BYTES
        reported |= set(taken)
    assert reported == set(keys) and not health.unreported


def cache_of_a_failing_key() -> LeaseCache:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.FREE, True), 0.0)
    for _ in range(OPENING_FAILURES):
        assert cache.take(KEY, 1.0) == 0.0
        cache.failed(KEY)
    acknowledge(cache, 1.0)
    return cache


def acknowledge(cache: LeaseCache, now: float) -> UseReport:
    report = cache.use_report(now)
    assert report is not None
    cache.apply_statuses(KeyStatuses(report.sequence))
    return report


def test_recovered_destination_gets_one_call_before_acknowledgement() -> None:
    cache = cache_of_a_failing_key()
    assert cache.take(KEY, 2.0) == 0.0 and cache.take(KEY, 2.0) > 0.0
    assert cache.served(KEY)
    assert cache.take(KEY, 3.0) > 0.0
    assert cache.use_report_at(3.0) == 1.0 + MIN_REPORT_INTERVAL_MS  # before the interval is over
    assert acknowledge(cache, 1.0 + MIN_REPORT_INTERVAL_MS).recovered == (KEY,)
    made = sum(cache.take(KEY, 60.0) == 0.0 for _ in range(2 * MAX_UNACKNOWLEDGED))
    assert made == MAX_UNACKNOWLEDGED


def test_success_without_calls_is_reported() -> None:
    cache = cache_of_a_failing_key()
    cache.take(KEY, 2.0)
    acknowledge(cache, 2.0 + REPORT_MS)
    assert cache.served(KEY)
    assert acknowledge(cache, 2.0 + 2 * REPORT_MS) == UseReport(3, 0.0, {}, {}, (KEY,))


def test_resent_report_contains_recovered_keys() -> None:
    cache = cache_of_a_failing_key()
    cache.take(KEY, 2.0)
    cache.served(KEY)
    sent = cache.use_report(2.0 + REPORT_MS)
    assert sent is not None and sent.recovered == (KEY,)
    (resent,) = cache.resend(3.0 + REPORT_MS)
    assert resent.recovered == (KEY,) and resent.sequence == sent.sequence


def test_largest_report_fits_line() -> None:
    cache = LeaseCache()
    cache.apply_welcome(Welcome(KeyStatus.FREE, True), 0.0)
    keys = [f"r{number:04}/{'é' * 90}" for number in range(MAX_KEYS)]
    for key in keys:
        cache.take(key, 1.0)
        for _ in range(OPENING_FAILURES):
            cache.failed(key)
        cache.served(key)
    report = cache.use_report(1.0)
    assert report is not None and report.calls and report.failed and report.recovered
    line = encode(report)
    assert LINE_BYTES // 2 < len(line) <= LINE_BYTES
    assert Lines().feed(line) == [report]
