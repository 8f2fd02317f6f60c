"""A failing destination needs no leases, and its limit holds when it recovers."""

from __future__ import annotations

import pytest

from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.binding import Cause
from springspread.fleet.key_health import OPENING_FAILURES
from springspread.fleet.messages import PROTOCOL_VERSION, KeyStatuses, Register, UseReport, fingerprint
from tests.fleet.test_allocator_control import ADAPTIVE, ADAPTIVE_LIMIT, Fleet

KEY = "g1"
SENDERS = 40


def failing_fleet() -> Fleet:
    """Every sender has seen only failures, at one call per 400 ms (a quarter of the limit)."""
    fleet = Fleet({KEY: ADAPTIVE_LIMIT}, ADAPTIVE, senders=SENDERS)
    fleet.run(3_000.0)
    for _ in range(OPENING_FAILURES):
        for sender in fleet.senders:
            fleet.run(fleet.now + 400.0)
            while not sender.call(KEY, fleet.now):  # an idle sender needs an acknowledgement first
                fleet.step()
            sender.cache.failed(KEY)
    return fleet


def test_calls_to_failing_destination_need_no_leases() -> None:
    fleet = failing_fleet()
    assert fleet.record == [] and not fleet.control.is_bound(KEY)


def test_waiting_calls_stay_within_limit_at_recovery() -> None:
    """After the recovery one more sender every 50 ms begins to call in every step."""
    fleet = failing_fleet()
    recovered_at = fleet.now
    while fleet.now < recovered_at + 10_000.0:
        fleet.step()
        for sender in fleet.senders[: int((fleet.now - recovered_at) / 50.0)]:  # one more every 50 ms
            if sender.call(KEY, fleet.now):
                sender.cache.served(KEY)
    assert fleet.control.causes[Cause.RETURNED] == 1
    assert 2 * ADAPTIVE_LIMIT.calls < sum(
        at >= recovered_at for sender in fleet.senders for at, _ in sender.made
    )
    assert fleet.max_in_span(KEY, begin=recovered_at) <= ADAPTIVE_LIMIT.tolerated


def test_reported_recovery_binds_at_successor() -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {KEY: ADAPTIVE_LIMIT}, Allocator(), 0.0, learning=True)
    owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    control.take_messages()
    control.received(1.0, owner, UseReport(1, 0.0, {KEY: 1}, {}, (KEY, "g2")))
    assert control.is_bound(KEY) and not control.is_bound("g2")
    # The acknowledgement lifts the sender's own restriction, so the status has to come with it.
    assert control.take_messages() == {owner: [KeyStatuses(1, bound=(fingerprint(KEY),))]}


@pytest.mark.parametrize("sequence", [1, 2])
def test_duplicate_report_of_recovery_is_ignored(sequence: int) -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {KEY: ADAPTIVE_LIMIT}, Allocator(), 0.0)
    owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    control.received(1.0, owner, UseReport(1, 0.0, {KEY: 1}, {}, (KEY,)))
    assert control.causes[Cause.RETURNED] == 1
    for now in range(2_000, 40_000, 1_000):  # until it is released
        control.tick(float(now))
    assert not control.is_bound(KEY)
    control.received(40_000.0, owner, UseReport(sequence, 0.0, {KEY: 1}, {}, (KEY,)))
    assert control.is_bound(KEY) is (sequence == 2)
