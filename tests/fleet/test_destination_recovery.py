"""A destination that fails and returns: its calls need no leases while it fails, and its return is kept."""

from __future__ import annotations

import pytest

from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.binding import Cause
from springspread.fleet.key_health import OPENING_FAILURES
from springspread.fleet.messages import PROTOCOL_VERSION, KeyStatuses, Register, UseReport, fingerprint
from tests.fleet.test_allocator_control import ADAPTIVE, FREE_ONE, Fleet

KEY = "g1"
SENDERS = 40


def failing_fleet() -> Fleet:
    """Each sender has met failures alone, a call each 400 ms (a quarter of the limit)."""
    fleet = Fleet({KEY: FREE_ONE}, ADAPTIVE, senders=SENDERS)
    fleet.run(3_000.0)
    for _ in range(OPENING_FAILURES):
        for sender in fleet.senders:
            fleet.run(fleet.now + 400.0)
            while not sender.call(KEY, fleet.now):  # one that was idle hears from the allocator first
                fleet.step()
            sender.cache.failed(KEY)
    return fleet


def test_calls_to_a_destination_that_fails_need_no_leases() -> None:
    fleet = failing_fleet()
    assert fleet.record == [] and not fleet.control.is_bound(KEY)


def test_what_waits_for_a_destination_goes_out_within_its_limit_when_it_returns() -> None:
    """Every sender tries at every moment from the return on; no sender is served before it tried."""
    fleet = failing_fleet()
    back = fleet.now
    while fleet.now < back + 10_000.0:
        fleet.step()
        for sender in fleet.senders[: int((fleet.now - back) / 50.0)]:  # another one tries each 50 ms
            if sender.call(KEY, fleet.now):
                sender.cache.served(KEY)
    assert fleet.control.causes[Cause.RETURNED] == 1
    assert 2 * FREE_ONE.calls < sum(at >= back for sender in fleet.senders for at, _ in sender.made)
    assert fleet.most(KEY, begin=back) <= FREE_ONE.tolerated


def test_the_word_of_a_return_binds_also_at_a_successor_that_knows_of_no_failure() -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {KEY: FREE_ONE}, Allocator(), 0.0, learning=True)
    owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    control.take_messages()
    control.received(1.0, owner, UseReport(1, 0.0, {KEY: 1}, {}, (KEY, "g2")))
    assert control.is_bound(KEY) and not control.is_bound("g2")
    # The status goes with the acknowledgement, which ends the sender's own restraint.
    assert control.take_messages() == {owner: [KeyStatuses(1, bound=(fingerprint(KEY),))]}


@pytest.mark.parametrize("sequence", [1, 2])
def test_a_report_of_a_return_that_comes_twice_counts_once(sequence: int) -> None:
    control = AllocatorControl("fleet", ADAPTIVE, {KEY: FREE_ONE}, Allocator(), 0.0)
    owner = control.register(0.0, Register(PROTOCOL_VERSION, "fleet", "n0", 1))
    control.received(1.0, owner, UseReport(1, 0.0, {KEY: 1}, {}, (KEY,)))
    assert control.causes[Cause.RETURNED] == 1
    for now in range(2_000, 40_000, 1_000):  # it lets go
        control.tick(float(now))
    assert not control.is_bound(KEY)
    control.received(40_000.0, owner, UseReport(sequence, 0.0, {KEY: 1}, {}, (KEY,)))
    assert control.is_bound(KEY) is (sequence == 2)
