"""Recovery of a whole fleet from a power loss: with real processes, and its pure functions."""

from __future__ import annotations

import os
import signal

from hypothesis import given
from hypothesis import strategies as st

from springspread.config import Waits
from springspread.core.startup_stages import STAGES, Conditions, Progress, Stage, advance
from springspread.core.wall_clock import TOLERANCE_MS, offset, parse_date
from springspread.faults.chaos import ChaosFleet, running_fleet
from springspread.faults.damage import DamagedFleet
from springspread.faults.observer import peak_ratio
from tests.peer import until

HOUR = 3_600_000.0
MET = Conditions(backlog=0, slots=5, time_known=True, policy=True, listed=True)
NOTHING = Conditions(backlog=9, slots=5, time_known=False, policy=False, listed=False)
WAITS = Waits(100.0, 200.0, 300.0, 400.0)
CONDITIONS = st.builds(Conditions, st.integers(0, 9), st.just(5), st.booleans(), st.booleans(), st.booleans())


@given(st.lists(st.tuples(CONDITIONS, st.floats(0.0, 150.0)), max_size=60))
def test_stages_pass_in_order_when_met_or_after_their_longest_wait(
    observations: list[tuple[Conditions, float]],
) -> None:
    now, progress = 0.0, Progress(Stage.CLOCK, 0.0)
    order = [stage for stage, _, _ in STAGES]
    for conditions, pause in [*observations, (NOTHING, 1_000.0)]:
        now += pause
        before, progress = progress, advance(progress, conditions, WAITS, now)
        assert [one.stage for one in progress.passed] == order[: len(progress.passed)]
        assert progress.passed[: len(before.passed)] == before.passed
        since = before.since
        for one in progress.passed[len(before.passed) :]:
            met, longest = next((met, longest) for stage, met, longest in STAGES if stage is one.stage)
            assert one.met == met(conditions) and (one.met or now >= since + longest(WAITS))
            since = one.at
        if progress.stage is not Stage.OPEN:
            met, longest = next((met, longest) for stage, met, longest in STAGES if stage is progress.stage)
            assert not met(conditions) and now < progress.since + longest(WAITS)


def test_no_stage_is_waited_for_without_waits_and_none_for_ever() -> None:
    assert advance(Progress(Stage.CLOCK, 5.0), NOTHING, Waits(), 5.0).stage is Stage.OPEN
    assert advance(Progress(Stage.CLOCK, 5.0), MET, WAITS, 5.0).stage is Stage.OPEN
    progress, now = Progress(Stage.CLOCK, 0.0), 0.0
    while progress.stage is not Stage.OPEN:
        now += 50.0
        progress = advance(progress, NOTHING, WAITS, now)
    assert now == 1_000.0 and not any(one.met for one in progress.passed)


def test_wall_clock_follows_the_world_then_the_machine_but_never_precedes_the_record() -> None:
    noon = 1_800_000_000_000.0
    assert offset(noon + HOUR, noon, noon - 5.0) == -HOUR
    assert offset(0.0, noon, noon - 5.0) == noon
    assert (
        offset(noon + TOLERANCE_MS, noon, noon) == 0.0
    )  # dates have whole seconds; the machine's clock is finer
    assert offset(0.0, None, noon) == noon
    assert offset(noon, None, noon - HOUR) == 0.0
    assert parse_date("Fri, 15 Jan 2027 08:00:00 GMT") == noon + 500.0
    assert parse_date("") is parse_date("yesterday") is None


def test_fleet_with_a_clock_an_hour_ahead_gives_up_no_message_before_its_deadline() -> None:
    with running_fleet(ChaosFleet, 3, lease_ms=1000.0, message_interval_s=0.05, power="power") as (
        chaos,
        services,
    ):
        services.rejecting.set()
        chaos.start_load()
        until(lambda: len(chaos.result.accepted) > 40, "messages are pending")
        chaos.power_cut(3600.0)
        pending = set(chaos.result.accepted) - chaos.unsafe
        services.rejecting.clear()
        chaos.wait_until_ready()
        rows = chaos.recovery()
        chaos.stop_load()
    assert len(pending) > 15
    assert not pending - set(services.call_counts) and not chaos.result.without_outcome
    assert {row["name"] for row in rows} == {"n000", "n001", "n002"}
    assert sum(row["ended"] + row["owed"] for row in rows) >= len(pending) / 2


def test_clients_are_refused_until_pending_messages_are_being_sent() -> None:
    own = "owed_ms = 600000.0"
    with running_fleet(
        ChaosFleet, 1, lease_ms=1000.0, message_interval_s=0.02, power="power", recovery=own
    ) as (
        chaos,
        services,
    ):
        services.rejecting.set()
        chaos.start_load()
        until(lambda: len(chaos.result.accepted) > 20, "more messages are pending than there are slots")
        chaos.power_cut()
        until(
            lambda: any(row["gate"] == "owed" for row in chaos.recovery()),
            "it waits at the gate of owed messages",
        )
        (row,) = chaos.recovery()
        assert row["owed"] > 5 and not chaos.listening
        services.rejecting.clear()
        chaos.wait_until_ready()
        until(lambda: [row["gate"] for row in chaos.recovery()] == ["open"], "it reports that it is open")
        chaos.stop_load()
    assert not chaos.result.without_outcome


def test_damaged_files_cost_only_what_they_held() -> None:
    with running_fleet(DamagedFleet, 2, lease_ms=1000.0, message_interval_s=0.05, power="power") as (
        fleet,
        _,
    ):
        result = fleet.restart_damaged([("members.json", "flipped"), ("n000/config.json", "missing")])
        assert not result.promise_violated and not result.startup_error and not result.lost_with_journal
        (journal,) = (name for name in fleet.files if "journal." in name)
        result = fleet.restart_damaged([(journal, "torn"), ("leases.0", "emptied")])
        assert not result.promise_violated and not result.startup_error and result.lost_with_journal


def test_instance_frozen_through_the_outage_continues_beside_restarted_ones() -> None:
    limit = (40, 1_000.0)
    with running_fleet(
        ChaosFleet, 3, lease_ms=1000.0, message_interval_s=0.04, power="power", limit=limit
    ) as (
        chaos,
        services,
    ):
        chaos.start_load()
        until(lambda: len(services.call_counts) > 20, "calls at the partner")
        pid, epoch = (chaos.rows["n001"][key] for key in ("pid", "epoch"))
        os.kill(pid, signal.SIGSTOP)
        chaos.power_cut(spared=["n001"])
        until(lambda: len(chaos.serving()) == 2, "the others serve")
        os.kill(pid, signal.SIGCONT)
        chaos.wait_until_ready()
        assert (chaos.rows["n001"]["pid"], chaos.rows["n001"]["epoch"]) == (pid, epoch)
        chaos.stop_load()
    assert not chaos.result.without_outcome and not chaos.result.conflicting_outcomes
    assert all(services.call_counts[id] <= 1 for id in chaos.unsafe)
    assert peak_ratio(services.arrivals, limit) <= 1.0
