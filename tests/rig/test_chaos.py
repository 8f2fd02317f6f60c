from pathlib import Path

from springspread.rig.chaos import Chaos
from springspread.rig.partner import Outside
from springspread.rig.schedule import Act, Kind, drawn


def test_changes_go_on_through_faults_between_processes(tmp_path: Path) -> None:
    acts = (
        Act(500.0, Kind.DEAF, 0, 1500.0),
        Act(1000.0, Kind.DAEMON, 0, 200.0),
        Act(1500.0, Kind.FREEZE, 1, 2500.0),
        Act(2500.0, Kind.KILL, 2, 100.0),
        Act(3500.0, Kind.REPLAY, 2, 100.0),
    )
    outside = Outside()
    chaos = Chaos(tmp_path, outside, 3)
    try:
        told = chaos.play(acts, 6000.0)
    finally:
        chaos.close()
        outside.close()
    assert told.held, (told.mixtures, told.undone, told.without_end)
    assert len(told.in_force) >= 2 and sum(told.acts.values()) == 5 and told.calls > 50


def test_a_schedule_is_drawn_from_its_seed_and_is_over_before_the_end() -> None:
    first, again, other = (drawn(seed, 4, 30_000.0, 500.0) for seed in (1, 1, 2))
    assert first == again != other
    assert {act.kind for act in first + other} == set(Kind)
    assert all(act.at + act.lasts <= 28_000.0 and 0 <= act.who < 4 for act in first)
