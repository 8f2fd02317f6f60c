"""A hollow fleet at a size for CI: one seed one history, and limits under each kind of trouble."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import pytest

from springspread.faults.hollow.comparison import kind_of
from springspread.faults.hollow.faults import Fault, FaultKind, ScheduleSpec, schedule
from springspread.faults.hollow.fleet import JOIN_MS, FleetSize, HollowFleet
from springspread.faults.hollow.network import BETWEEN_REGIONS_MS, ZONES, zone_of
from springspread.faults.hollow.report import digest
from springspread.faults.hollow.runner import Plan, run_fleet
from springspread.faults.hollow.spans import SpanClass, Spans, find_spans
from springspread.faults.hollow.traffic import Traffic, TrafficModel
from springspread.fleet.binding import Binding
from springspread.fleet.key_health import OPENING_FAILURES, KeyHealth
from springspread.fleet.lease_cache import FRESH_MS, REPORT_MS
from springspread.fleet.limits import LimitMode
from springspread.fleet.messages import LeaseReport, LeaseRequest, UseReport
from springspread.fleet.sender_notifier import BROADCAST_INTERVAL_MS
from springspread.fleet.wire import encode
from springspread.rollout.document import Policy

POLICY = Policy(json.loads(Path("deploy/sender.json").read_text())["settings"], {})
MODEL = TrafficModel(destinations=200, per_s=2_000.0, hottest_share=0.05)
SIZE = FleetSize(senders=42, allocators=3, model=MODEL)
EXACT_MODEL = TrafficModel(60, 400.0, hottest_share=0.05, headroom=0.9, mode=LimitMode.EXACT)
EXACT = FleetSize(senders=28, allocators=3, model=EXACT_MODEL)
REPORT = LeaseReport("g1", 1, 1, 5.0)
BUSY = 0  # the destination with the most demand, of which ``JUMP`` is a hundredfold
QUIET = 60  # one with little demand
AT = 4_000.0  # when a fault begins


def spans_after(fleet: HollowFleet, end: float) -> Spans:
    fleet.run_until(end)
    return find_spans(fleet.history, fleet.limits, fleet.shard_of, fleet.size.model.span_ms)


def run(size: FleetSize, faults: Sequence[Fault], end: float) -> tuple[HollowFleet, Spans]:
    fleet = HollowFleet(size, POLICY, faults)
    return fleet, spans_after(fleet, end)


def calls_between(fleet: HollowFleet, begin: float, end: float) -> list[int]:
    """The senders of the calls that began in a stretch of time."""
    history = fleet.history
    return [
        sender for when, sender in zip(history.times, history.senders, strict=True) if begin <= when < end
    ]


def up_destination(fleet: HollowFleet, first: int) -> int:
    """The first destination from a rank on that is not down."""
    return next(number for number in range(first, len(fleet.keys)) if not fleet.traffic.down[number])


def test_one_seed_has_one_history() -> None:
    plan = Plan(seconds=2.0, warmup_s=1.0, faults="restarts+zone+allocator")
    first, second = (digest(run_fleet(SIZE, plan, POLICY)[0]) for _ in range(2))
    other = digest(run_fleet(replace(SIZE, seed=2), plan, POLICY)[0])
    assert first == second != other


def test_the_report_tells_each_role_and_a_calm_day_keeps_its_limits() -> None:
    _, rows = run_fleet(SIZE, Plan(seconds=4.0, warmup_s=4.0), POLICY)
    found = {(row.role, row.what, row.statistic): row.value for row in rows}
    for role in ("sender", "allocator", "policy"):
        assert found[role, "bytes both ways with headers", "p99"] > 0.0
        assert found[role, "processor", "p99"] > 0.0
    assert found["sender", "memory of control state", "most"] < 1.0
    assert found["limit", "spans bound", "most calls by N"] <= 1.0
    assert found["limit", "spans free", "above N + 2 root N + 2"] == 0


def test_calls_that_a_sender_reports_are_those_that_it_made() -> None:
    model = replace(MODEL, down_fraction=0.0, headroom=50.0, min_calls=1_000)
    fleet, _ = run(replace(SIZE, model=model), (), 5_000.0)
    assert not fleet.history.statuses
    assert not [one for one in fleet.history.held_up if one.since >= JOIN_MS + 250.0]
    assert fleet.without_sender == 0
    assert fleet.offered == len(fleet.history.times) + sum(
        len(session.waiting) for sender in fleet.senders if sender is not None for session in sender.sessions
    ) + sum(not one.began for one in fleet.history.held_up)


def test_a_jump_of_demand_is_bound_within_two_seconds_and_then_kept() -> None:
    probe = HollowFleet(SIZE, POLICY)
    target = up_destination(probe, QUIET)
    jump = Fault(FaultKind.JUMP, AT, AT + 60_000.0, (target,), 100.0)
    fleet, spans = run(SIZE, [jump], AT + 7_000.0)
    bindings = [when for when, bound in fleet.history.statuses[target] if bound]
    assert AT < bindings[-1] < AT + FRESH_MS
    after = [
        spans.stats(one, begin=AT + FRESH_MS, destination=target)
        for one in (SpanClass.BOUND, SpanClass.EXPOSED, SpanClass.FREE)
    ]
    assert sum(one.spans for one in after) > 0
    assert max(one.ratio for one in after) <= 1.0
    assert spans.stats(SpanClass.EXPOSED, destination=target).ratio > 1.0  # the jump was a real one


def test_a_jump_to_a_hundredfold_at_1_100_senders_stays_within_the_derived_bound() -> None:
    model = TrafficModel(20, 200.0, hottest_share=0.2, down_fraction=0.0)
    size = FleetSize(1_100, 2, model)
    target, longest_way_ms = 10, 1.1 * max(map(max, BETWEEN_REGIONS_MS))
    jump = Fault(FaultKind.JUMP, AT, AT + 60_000.0, (target,), 100.0)
    fleet, spans = run(size, [jump], AT + 6_000.0)
    limit = fleet.limits[target]
    per_ms = 100.0 * float(Traffic(model, size.senders, size.seed).rates[target]) / 1_000.0
    exposure_ms = REPORT_MS + BROADCAST_INTERVAL_MS + 2.0 * longest_way_ms
    exposed = spans.stats(SpanClass.EXPOSED, destination=target)
    assert exposed.ratio > 3.0  # the jump was a real one
    assert exposed.ratio * limit.calls <= limit.tolerated + per_ms * exposure_ms
    bindings = [when for when, bound in fleet.history.statuses[target] if bound]
    assert AT < bindings[-1] < AT + exposure_ms
    later = [spans.stats(one, begin=AT + FRESH_MS, destination=target) for one in SpanClass]
    assert max(one.ratio for one in later) <= 1.0 and sum(one.spans for one in later) > limit.calls


@pytest.mark.parametrize("bound_before", [False, True])
def test_a_limit_that_falls_to_a_tenth_holds_two_seconds_later(bound_before: bool) -> None:
    target = up_destination(HollowFleet(SIZE, POLICY), BUSY)
    faults = [Fault(FaultKind.LIMIT, AT, AT + 60_000.0, (target,), 0.1)]
    if bound_before:
        faults.insert(0, Fault(FaultKind.JUMP, JOIN_MS, AT + 60_000.0, (target,), 5.0))
    fleet, spans = run(SIZE, faults, AT + 7_000.0)
    was_bound = any(bound and when < AT for when, bound in fleet.history.statuses[target])
    assert was_bound is bound_before
    found = spans.stats(SpanClass.BOUND, begin=AT + FRESH_MS, destination=target)
    assert found.spans > 0
    assert found.ratio <= 1.0


def test_senders_that_are_cut_off_make_no_call_two_seconds_later_and_nothing_over_the_limit_after() -> None:
    last = len(ZONES) - 1
    cut = Fault(FaultKind.CUT, AT, AT + 4_000.0, (last,))
    fleet, spans = run(SIZE, [cut], AT + 7_000.0)
    during = calls_between(fleet, AT + FRESH_MS + 1.0, AT + 4_000.0)
    assert during
    assert not [sender for sender in during if zone_of(sender).number == last]
    back = calls_between(fleet, AT + 4_500.0, AT + 7_000.0)
    assert [sender for sender in back if zone_of(sender).number == last]
    assert spans.stats(SpanClass.BOUND, begin=AT).ratio <= 1.0
    assert spans.stats(SpanClass.FREE, begin=AT).ratio_tolerated <= 1.0


RETURNS = FleetSize(42, 3, TrafficModel(2_000, 4_000.0, hottest_share=0.02))


def play_returns() -> tuple[HollowFleet, Spans]:
    spec = ScheduleSpec(RETURNS.senders, RETURNS.allocators, AT, AT + 6_000.0, RETURNS.seed)
    return run(RETURNS, schedule("returns", spec), AT + 9_000.0)


def test_what_waits_for_destinations_that_return_goes_out_within_their_limits() -> None:
    fleet, spans = play_returns()
    found = spans.stats_after(fleet.history.returns)
    assert len(fleet.history.returns) == 20 and found.spans > 1_000
    assert found.ratio >= 0.9 and found.ratio_tolerated <= 1.0


def test_calls_to_what_is_down_wait_for_nothing_until_it_returns() -> None:
    fleet, _ = play_returns()
    before = [one for one in fleet.history.held_up if one.destination not in fleet.history.returns]
    assert not [one for one in before if one.since > 2 * JOIN_MS]


@pytest.mark.parametrize(
    ("owner", "name"), [(Binding, "recovered"), (KeyHealth, "limits")], ids=["no binding", "no restraint"]
)
def test_without_each_part_of_it_a_return_exceeds_the_limit(
    owner: type[Binding | KeyHealth], name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Planted faults: the word of a return binds nothing; senders don't hold back."""
    monkeypatch.setattr(owner, name, lambda *_: None)
    fleet, spans = play_returns()
    assert spans.stats_after(fleet.history.returns).ratio_tolerated > 1.1


def test_a_return_of_more_destinations_than_are_down_is_refused_by_their_number() -> None:
    with pytest.raises(ValueError, match="7 destinations must be down; number down: 6"):
        run(SIZE, schedule("returns", ScheduleSpec(42, 3, AT, AT + 6_000.0, 1)), AT)


TROUBLE = ("zone", "region", "most-restart", "allocator", "allocator-without-record")


@pytest.mark.parametrize("kind", [FaultKind.ALLOCATOR, FaultKind.ALLOCATOR_AMNESIA])
def test_a_successor_that_comes_at_once_exceeds_no_exact_limit(kind: FaultKind) -> None:
    faults = [Fault(kind, 4_000.0, 4_100.0, (number,)) for number in range(EXACT.allocators)]
    _, spans = run(EXACT, faults, 7_000.0)
    assert 0.9 <= max(spans.stats(one).ratio for one in SpanClass) <= 1.0


@pytest.mark.parametrize("name", TROUBLE)
def test_an_exact_limit_is_never_exceeded(name: str) -> None:
    spec = ScheduleSpec(EXACT.senders, EXACT.allocators, 2_000.0, 6_500.0, EXACT.seed)
    fleet, spans = run(EXACT, schedule(name, spec), 9_000.0)
    assert len(fleet.history.times) > 1_000
    assert 0.9 <= max(spans.stats(one).ratio for one in SpanClass) <= 1.0


@pytest.mark.parametrize("name", TROUBLE)
def test_a_bound_limit_is_not_exceeded_once_its_exposure_is_over(name: str) -> None:
    target = up_destination(HollowFleet(SIZE, POLICY), BUSY)
    jump = Fault(FaultKind.JUMP, JOIN_MS, 60_000.0, (target,), 5.0)
    spec = ScheduleSpec(SIZE.senders, SIZE.allocators, 3_000.0, 7_500.0, SIZE.seed)
    _, spans = run(SIZE, [jump, *schedule(name, spec)], 9_000.0)
    assert spans.stats(SpanClass.BOUND, destination=target).spans > 0
    assert spans.stats(SpanClass.BOUND).ratio <= 1.0


def test_the_loss_of_a_shard_moves_its_keys_alone() -> None:
    fleet = HollowFleet(SIZE, POLICY)
    lost = fleet.shard_map.shards[0]
    rest = fleet.shard_map.without(lost)
    moved = [key for key in fleet.keys if fleet.shard_map.owner(key) != rest.owner(key)]
    assert moved == [key for key in fleet.keys if fleet.shard_map.owner(key) == lost]
    assert moved == list(fleet.allocators[0].limits)


def test_a_policy_takes_hold_at_all_senders() -> None:
    fleet = HollowFleet(SIZE, POLICY)
    fleet.run_until(2_000.0)
    fleet.coordinator.propose()
    fleet.run_until(6_000.0)
    versions = {session.version() for session in fleet.policy_sessions if session is not None}
    assert fleet.coordinator.in_force[0] == 2
    assert versions == {2}


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        (LeaseRequest({"g1": 1, "g2": 0}, (REPORT,)), "LeaseRequest that asks"),
        (LeaseRequest({"g1": 0}, (REPORT,)), "LeaseRequest that reports and takes back"),
        (LeaseRequest({}, (REPORT,)), "LeaseRequest that reports"),
        (LeaseRequest({"g1": 0}), "LeaseRequest that takes back"),
        (UseReport(1), "UseReport"),
    ],
)
def test_lines_beside_real_instances_are_told_by_kind(message: LeaseRequest | UseReport, kind: str) -> None:
    assert kind_of(encode(message)) == kind


def test_a_success_that_a_hollow_sender_is_told_of_ends_its_row_of_failures() -> None:
    fleet = HollowFleet(SIZE, POLICY)
    sender = fleet.senders[0]
    assert sender is not None
    session = sender.sessions[fleet.shard_of[BUSY]]
    for _ in range(OPENING_FAILURES):
        fleet.call_failed(0, BUSY)
    assert not session.cache.reports_early
    fleet.call_served(0, BUSY)
    assert session.cache.reports_early
