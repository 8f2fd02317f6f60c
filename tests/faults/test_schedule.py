import pytest

from springspread.faults.schedule import (
    FaultKind,
    ScheduledFault,
    format_schedule,
    minimize_schedule,
    parse_schedule,
    random_schedule,
    worst_case_schedule,
)

ACTS = random_schedule(3, 6, 60_000.0, 1_000.0)


def test_a_schedule_is_kept_and_read_again() -> None:
    assert len(ACTS) > 30 and parse_schedule(format_schedule(ACTS)) == ACTS
    with pytest.raises(ValueError, match="act 2: 'melted' is not a valid FaultKind"):
        parse_schedule('[[1.0, "killed", 0, 5.0], [2.0, "melted", 0, 5.0]]')


def test_a_pressed_schedule_hurts_each_round_and_nobody_twice_at_a_time() -> None:
    acts = worst_case_schedule(1, 5, 60_000.0)
    assert acts == worst_case_schedule(1, 5, 60_000.0) != worst_case_schedule(2, 5, 60_000.0)
    assert {act.kind for act in acts} == {
        FaultKind.VOTED,
        FaultKind.HALF_OPEN,
        FaultKind.FREEZE,
        FaultKind.KILL,
        FaultKind.MUTE,
        FaultKind.DAEMON,
    }
    assert all(act.at + act.lasts <= 58_000.0 for act in acts)
    for who in range(5):
        mine = [act for act in acts if act.who == who and act.kind is not FaultKind.DAEMON]
        assert all(one.at + one.lasts <= two.at for one, two in zip(mine, mine[1:], strict=False))


def test_a_failing_schedule_is_made_as_small_as_its_cause() -> None:
    cause = {ACTS[4], ACTS[17], ACTS[-1]}
    plays: list[tuple[ScheduledFault, ...]] = []

    def fails(part: tuple[ScheduledFault, ...]) -> bool:
        plays.append(part)
        return cause <= set(part)

    assert set(minimize_schedule(ACTS, fails, 500)) == cause and len(plays) < 120
    plays.clear()
    few = minimize_schedule(ACTS, fails, 5)
    assert cause <= set(few) and len(plays) == 5
    assert minimize_schedule((ScheduledFault(0.0, FaultKind.KILL, 0, 1.0),), fails, 5) == (
        ScheduledFault(0.0, FaultKind.KILL, 0, 1.0),
    )
