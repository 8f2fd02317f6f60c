"""A hollow fleet at CI size: reproducible runs, and limits under each kind of fault."""

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
BUSY = 0  # the destination with the highest demand
QUIET = 60  # a destination with little demand
FAULT_AT_MS = 4_000.0


def spans_after(fleet: HollowFleet, end: float) -> Spans:
    fleet.run_until(end)
    return find_spans(fleet.history, fleet.limits, fleet.shard_of, fleet.size.model.span_ms)


def run(size: FleetSize, faults: Sequence[Fault], end: float) -> tuple[HollowFleet, Spans]:
    fleet = HollowFleet(size, POLICY, faults)
    return fleet, spans_after(fleet, end)


def calls_between(fleet: HollowFleet, begin: float, end: float) -> list[int]:
    """The senders of the calls that began in an interval."""
    history = fleet.history
    return [
        sender for when, sender in zip(history.times, history.senders, strict=True) if begin <= when < end
    ]


def up_destination(fleet: HollowFleet, first: int) -> int:
    """The first destination at or after a rank that is not down."""
    return next(number for number in range(first, len(fleet.keys)) if not fleet.traffic.down[number])


def test_a_seed_determines_the_history() -> None:
    plan = Plan(seconds=2.0, warmup_s=1.0, faults="restarts+zone+allocator")
    first, second = (digest(run_fleet(SIZE, plan, POLICY)[0]) for _ in range(2))
    other = digest(run_fleet(replace(SIZE, seed=2), plan, POLICY)[0])
    assert first == second != other


def test_the_report_covers_each_role_and_limits_hold_without_faults() -> None:
    _, rows = run_fleet(SIZE, Plan(seconds=4.0, warmup_s=4.0), POLICY)
    found = {(row.role, row.what, row.statistic): row.value for row in rows}
    for role in ("sender", "allocator", "policy"):
        assert found[role, "bytes both ways with headers", "p99"] > 0.0
        assert found[role, "processor", "p99"] > 0.0
    assert found["sender", "memory of control state", "most"] < 1.0
    assert found["limit", "spans bound", "most calls by N"] <= 1.0
    assert found["limit", "spans free", "above N + 2 root N + 2"] == 0


def test_every_offered_call_begins_waits_or_is_given_up() -> None:
    model = replace(MODEL, down_fraction=0.0, headroom=50.0, min_calls=1_000)
    fleet, _ = run(replace(SIZE, model=model), (), 5_000.0)
    assert not fleet.history.statuses
    assert not [one for one in fleet.history.held_up if one.since >= JOIN_MS + 250.0]
    assert fleet.without_sender == 0
    assert fleet.offered == len(fleet.history.times) + sum(
        len(session.waiting) for sender in fleet.senders if sender is not None for session in sender.sessions
    ) + sum(not one.began for one in fleet.history.held_up)


def test_a_jump_of_demand_binds_the_limit_within_two_seconds_and_it_then_holds() -> None:
    probe = HollowFleet(SIZE, POLICY)
    target = up_destination(probe, QUIET)
    jump = Fault(FaultKind.JUMP, FAULT_AT_MS, FAULT_AT_MS + 60_000.0, (target,), 100.0)
    fleet, spans = run(SIZE, [jump], FAULT_AT_MS + 7_000.0)
    bindings = [when for when, bound in fleet.history.statuses[target] if bound]
    assert FAULT_AT_MS < bindings[-1] < FAULT_AT_MS + FRESH_MS
    after = [
        spans.stats(one, begin=FAULT_AT_MS + FRESH_MS, destination=target)
        for one in (SpanClass.BOUND, SpanClass.EXPOSED, SpanClass.FREE)
    ]
    assert sum(one.spans for one in after) > 0
    assert max(one.ratio for one in after) <= 1.0
    assert spans.stats(SpanClass.EXPOSED, destination=target).ratio > 1.0  # the jump did exceed the limit


def test_a_jump_to_a_hundredfold_at_1_100_senders_stays_within_the_derived_bound() -> None:
    model = TrafficModel(20, 200.0, hottest_share=0.2, down_fraction=0.0)
    size = FleetSize(1_100, 2, model)
    target, max_latency_ms = 10, 1.1 * max(map(max, BETWEEN_REGIONS_MS))
    jump = Fault(FaultKind.JUMP, FAULT_AT_MS, FAULT_AT_MS + 60_000.0, (target,), 100.0)
    fleet, spans = run(size, [jump], FAULT_AT_MS + 6_000.0)
    limit = fleet.limits[target]
    per_ms = 100.0 * float(Traffic(model, size.senders, size.seed).rates[target]) / 1_000.0
    exposure_ms = REPORT_MS + BROADCAST_INTERVAL_MS + 2.0 * max_latency_ms
    exposed = spans.stats(SpanClass.EXPOSED, destination=target)
    assert exposed.ratio > 3.0  # the jump did exceed the limit
    assert exposed.ratio * limit.calls <= limit.tolerated + per_ms * exposure_ms
    bindings = [when for when, bound in fleet.history.statuses[target] if bound]
    assert FAULT_AT_MS < bindings[-1] < FAULT_AT_MS + exposure_ms
    later = [spans.stats(one, begin=FAULT_AT_MS + FRESH_MS, destination=target) for one in SpanClass]
    assert max(one.ratio for one in later) <= 1.0 and sum(one.spans for one in later) > limit.calls


@pytest.mark.parametrize("bound_before", [False, True])
def test_a_limit_that_falls_to_a_tenth_holds_two_seconds_later(bound_before: bool) -> None:
    target = up_destination(HollowFleet(SIZE, POLICY), BUSY)
    faults = [Fault(FaultKind.LIMIT, FAULT_AT_MS, FAULT_AT_MS + 60_000.0, (target,), 0.1)]
    if bound_before:
        faults.insert(0, Fault(FaultKind.JUMP, JOIN_MS, FAULT_AT_MS + 60_000.0, (target,), 5.0))
    fleet, spans = run(SIZE, faults, FAULT_AT_MS + 7_000.0)
    was_bound = any(bound and when < FAULT_AT_MS for when, bound in fleet.history.statuses[target])
    assert was_bound is bound_before
    found = spans.stats(SpanClass.BOUND, begin=FAULT_AT_MS + FRESH_MS, destination=target)
    assert found.spans > 0
    assert found.ratio <= 1.0


def test_senders_that_are_cut_off_make_no_call_two_seconds_later_and_nothing_over_the_limit_after() -> None:
    last = len(ZONES) - 1
    cut = Fault(FaultKind.CUT, FAULT_AT_MS, FAULT_AT_MS + 4_000.0, (last,))
    fleet, spans = run(SIZE, [cut], FAULT_AT_MS + 7_000.0)
    during = calls_between(fleet, FAULT_AT_MS + FRESH_MS + 1.0, FAULT_AT_MS + 4_000.0)
    assert during
    assert not [sender for sender in during if zone_of(sender).number == last]
    back = calls_between(fleet, FAULT_AT_MS + 4_500.0, FAULT_AT_MS + 7_000.0)
    assert [sender for sender in back if zone_of(sender).number == last]
    assert spans.stats(SpanClass.BOUND, begin=FAULT_AT_MS).ratio <= 1.0
    assert spans.stats(SpanClass.FREE, begin=FAULT_AT_MS).ratio_tolerated <= 1.0


RETURNS = FleetSize(42, 3, TrafficModel(2_000, 4_000.0, hottest_share=0.02))


def run_returns() -> tuple[HollowFleet, Spans]:
    spec = ScheduleSpec(RETURNS.senders, RETURNS.allocators, FAULT_AT_MS, FAULT_AT_MS + 6_000.0, RETURNS.seed)
    return run(RETURNS, schedule("returns", spec), FAULT_AT_MS + 9_000.0)


def test_waiting_calls_to_recovered_destinations_stay_within_their_limits() -> None:
    fleet, spans = run_returns()
    found = spans.stats_after(fleet.history.returns)
    assert len(fleet.history.returns) == 20 and found.spans > 1_000
    assert found.ratio >= 0.9 and found.ratio_tolerated <= 1.0


def test_calls_to_a_destination_that_is_down_are_not_held_up() -> None:
    fleet, _ = run_returns()
    before = [one for one in fleet.history.held_up if one.destination not in fleet.history.returns]
    assert not [one for one in before if one.since > 2 * JOIN_MS]


@pytest.mark.parametrize(
    ("owner", "name"), [(Binding, "recovered"), (KeyHealth, "limits")], ids=["no binding", "no restraint"]
)
def test_a_recovery_exceeds_the_limit_without_binding_or_restraint(
    owner: type[Binding | KeyHealth], name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Injected faults: a recovery does not bind the limit; senders do not restrain their calls."""
    monkeypatch.setattr(owner, name, lambda *_: None)
    fleet, spans = run_returns()
    assert spans.stats_after(fleet.history.returns).ratio_tolerated > 1.1


def test_a_schedule_that_needs_more_destinations_down_than_there_are_is_refused() -> None:
    with pytest.raises(ValueError, match="7 destinations must be down; number down: 6"):
        run(
            SIZE, schedule("returns", ScheduleSpec(42, 3, FAULT_AT_MS, FAULT_AT_MS + 6_000.0, 1)), FAULT_AT_MS
        )


FAULT_SCHEDULES = ("zone", "region", "most-restart", "allocator", "allocator-without-record")


@pytest.mark.parametrize("kind", [FaultKind.ALLOCATOR, FaultKind.ALLOCATOR_AMNESIA])
def test_an_immediate_successor_exceeds_no_exact_limit(kind: FaultKind) -> None:
    faults = [Fault(kind, 4_000.0, 4_100.0, (number,)) for number in range(EXACT.allocators)]
    _, spans = run(EXACT, faults, 7_000.0)
    assert 0.9 <= max(spans.stats(one).ratio for one in SpanClass) <= 1.0


@pytest.mark.parametrize("name", FAULT_SCHEDULES)
def test_an_exact_limit_is_never_exceeded(name: str) -> None:
    spec = ScheduleSpec(EXACT.senders, EXACT.allocators, 2_000.0, 6_500.0, EXACT.seed)
    fleet, spans = run(EXACT, schedule(name, spec), 9_000.0)
    assert len(fleet.history.times) > 1_000
    assert 0.9 <= max(spans.stats(one).ratio for one in SpanClass) <= 1.0


@pytest.mark.parametrize("name", FAULT_SCHEDULES)
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


def test_a_policy_comes_into_force_at_all_senders() -> None:
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
def test_lines_are_classified_by_kind(message: LeaseRequest | UseReport, kind: str) -> None:
    assert kind_of(encode(message)) == kind


def test_a_served_call_ends_a_series_of_failures() -> None:
    fleet = HollowFleet(SIZE, POLICY)
    sender = fleet.senders[0]
    assert sender is not None
    session = sender.sessions[fleet.shard_of[BUSY]]
    for _ in range(OPENING_FAILURES):
        fleet.call_failed(0, BUSY)
    assert not session.cache.reports_early
    fleet.call_served(0, BUSY)
    assert session.cache.reports_early
