"""Days in virtual time: the real core passes, injected defects are detected, runs are reproducible."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from springspread.simulator.day import Change, Day, draw
from springspread.simulator.virtual import InjectedFaults, Outcome, VirtualSimulation


def play(folder: Path, day: Day, **injected: bool) -> Outcome:
    return VirtualSimulation(day, folder, InjectedFaults(**injected)).play()


def rules(outcome: Outcome) -> set[str]:
    return {fault.rule for fault in outcome.checker.faults}


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_the_sender_passes_every_check_through_faults_and_drains(tmp_path: Path, seed: int) -> None:
    outcome = play(tmp_path, draw(seed, troubles=3, drains=4, length_ms=20_000.0))
    assert outcome.checker.faults == []
    assert outcome.checker.tally.service > 0.75
    assert outcome.checker.tally.delivered > 0.8 * outcome.checker.tally.messages


@pytest.mark.parametrize(
    ("defect", "rule"),
    [("ignore_drains", "drain"), ("drop_notices", "lost")],
)
def test_an_injected_defect_is_detected(tmp_path: Path, defect: str, rule: str) -> None:
    day = draw(5, load=1.3, troubles=3, drains=6, length_ms=30_000.0)
    assert rules(play(tmp_path / "good", day)) == set()
    assert rules(play(tmp_path / "bad", day, **{defect: True})) == {rule}


HARD_DAYS: dict[str, dict[str, Any]] = {
    "bursts": {"clumps": 0.5},
    "traffic surge": {"surge": 3.0},
    "flapping": {"troubles": 3, "trouble": "flapping"},
    "second outage while warming up": {"troubles": 4, "trouble": "cold-again"},
    "building outage": {"troubles": 1, "trouble": "building"},
    "connections reset": {"troubles": 3, "trouble": "resetting"},
    "malformed answers": {"troubles": 3, "trouble": "spoilt"},
    "reused addresses": {"drains": 10, "takeovers": 5},
    "senders killed": {"deaths": 4, "load": 1.2},
    "directory outages": {"drains": 6, "directory_outages": 3},
    "mass kill and limit drops": {"senders": 12, "tight": True, "skew": 0.5, "falls": 3} | {"killed": 0.7},
    "platform outages": {"load": 1.3, "platform_outages": 3},
    "combined": {"troubles": 3, "drains": 5, "takeovers": 3, "deaths": 3, "clumps": 0.3}
    | {"directory_outages": 2, "platform_outages": 2},
}


@pytest.mark.parametrize("name", HARD_DAYS)
def test_the_sender_passes_every_check_on_hard_days(tmp_path: Path, name: str) -> None:
    day = draw(2, length_ms=20_000.0, **HARD_DAYS[name])
    outcome = play(tmp_path, day)
    assert outcome.checker.faults == []
    assert outcome.checker.tally.service > 0.6
    assert outcome.checker.latency.get_total_count() == outcome.checker.tally.delivered


def test_a_killed_sender_still_sends_its_pending_notices(tmp_path: Path) -> None:
    day = draw(4, senders=2, deaths=2, load=1.5, length_ms=20_000.0)
    outcome = play(tmp_path, day)
    assert outcome.logged["restored"] >= 1 and outcome.checker.faults == []


def test_addresses_are_reused_only_after_every_sender_was_notified() -> None:
    day = draw(2, drains=10, takeovers=5)
    taken = [change for change in day.changes if change.takes_over]
    gone = {change.endpoint: change.at for change in day.changes if change.state == "gone"}
    assert len(taken) == 5 and len({change.takes_over for change in taken}) == 5
    assert all(gone[change.takes_over] + day.list_lag_ms < change.at for change in taken)


def test_a_call_to_a_reassigned_address_is_detected(tmp_path: Path) -> None:
    """A reassigned address that discovery does not announce must be detected."""
    day = draw(6, length_ms=10_000.0)
    first, other = (spec.names[0] for spec in day.partners[:2])
    moved = replace(day, changes=(Change(3_000.0, other, takes_over=first),))
    assert "group" in rules(play(tmp_path, moved))


ONE_DAY = """
import sys
from pathlib import Path
from springspread.simulator.day import draw
from springspread.simulator.virtual import VirtualSimulation
outcome = VirtualSimulation(draw(7, troubles=3, drains=3, length_ms=10_000.0), Path(sys.argv[1])).play()
print(outcome.checker.digest)
"""


def test_the_same_seed_plays_the_same_day_under_any_hash_seed(tmp_path: Path) -> None:
    digests = set()
    for n, seed in enumerate(("0", "1", "4711")):
        env = {**os.environ, "PYTHONHASHSEED": seed}
        args = [sys.executable, "-c", ONE_DAY, str(tmp_path / str(n))]
        digests.add(subprocess.run(args, env=env, capture_output=True, text=True, check=True).stdout)
    assert len(digests) == 1 and len(digests.pop().strip()) == 32


def test_fifty_senders_play_in_one_process(tmp_path: Path) -> None:
    day = draw(8, senders=50, partners=20, per_s=100.0, length_ms=5_000.0)
    outcome = play(tmp_path, day)
    assert outcome.checker.faults == [] and outcome.checker.tally.service > 0.8


def test_a_fleet_keeps_every_limit_in_every_span_and_unshared_senders_do_not(tmp_path: Path) -> None:
    unshared = draw(2, senders=20, per_s=60.0, partners=15, load=0.8, length_ms=15_000.0, deaths=3)
    fleet = play(tmp_path / "fleet", replace(unshared, shared=True))
    alone = play(tmp_path / "apart", unshared)
    assert fleet.checker.faults == [] and fleet.fleet_messages > 0
    assert fleet.checker.tally.limit_ratio <= 1.0 < alone.checker.tally.limit_ratio
    assert fleet.checker.tally.service >= alone.checker.tally.service - 0.02
