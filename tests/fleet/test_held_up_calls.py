"""A leased limit holds in every span as calls arrive at the partner, also where a sender is held up."""

from __future__ import annotations

from springspread.config import Limits
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_server import TICK_MS
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import CALL_SLACK_MS, PARTNER_SPAN_MS, RIGHT_TTL_MS, Limit
from springspread.rollout.document import LEASE_MS, Policy, lead_ms

HELD_UP_MS = 150.0  # allowed by the protocol between reading the clock and writing
KEY, CALLS = "g1", 5


def arrivals(delay_ms: float) -> list[float]:
    """When calls arrive: the first sender's ``delay_ms`` after their rights, the second one's at once."""
    allocator = Allocator(slack_ms=CALL_SLACK_MS, burst_ms=PARTNER_SPAN_MS)
    allocator.set_limit(KEY, Limit(CALLS, PARTNER_SPAN_MS))
    owners = [("a", 1), ("b", 1)]
    caches = {owner: LeaseCache() for owner in owners}
    for owner in owners:
        assert allocator.register(owner)
    found: list[float] = []
    for tick in range(int(3 * PARTNER_SPAN_MS / TICK_MS)):
        now = tick * TICK_MS
        active = owners[0] if len(found) < CALLS else owners[1]
        allocator.set_demand(now, active, KEY, CALLS)
        for lease in allocator.allocate(now):
            caches[lease.owner].add_lease(lease, now)
        while caches[active].take(KEY, now) == 0.0:
            found.append(now + (delay_ms if active is owners[0] else 0.0))
        for owner in owners:
            for report in caches[owner].take_finished(now):
                allocator.report(now, owner, report.key, report.serial, report.made, report.last_at)
    return sorted(found)


def most_in_a_span(times: list[float]) -> int:
    return max(sum(at <= other < at + PARTNER_SPAN_MS for other in times) for at in times)


def test_limit_holds_where_calls_arrive_at_once_or_after_the_hold_of_their_last_byte() -> None:
    for delay_ms in (0.0, RIGHT_TTL_MS + Limits().last_byte_hold_max_ms):
        times = arrivals(delay_ms)
        assert len(times) > CALLS and most_in_a_span(times) <= CALLS


def test_limit_holds_where_a_sender_is_held_up_after_its_last_look_at_the_lease() -> None:
    """A sender may be held up for 150 ms between its last look at a lease and the call's first byte."""
    times = arrivals(RIGHT_TTL_MS + HELD_UP_MS + Limits().last_byte_hold_max_ms)
    assert len(times) > CALLS and most_in_a_span(times) <= CALLS


def test_lead_of_a_stricter_limit_covers_a_call_that_is_held_up() -> None:
    """No span that ends under the new policy contains a call of the old one's last lease."""
    old, new = (Policy({}, {KEY: Limit(calls, PARTNER_SPAN_MS)}) for calls in (2 * CALLS, CALLS))
    last_arrival = LEASE_MS + RIGHT_TTL_MS + HELD_UP_MS + Limits().last_byte_hold_max_ms
    assert lead_ms(old, new) >= last_arrival + PARTNER_SPAN_MS
