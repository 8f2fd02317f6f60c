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

FAULTS = random_schedule(3, 6, 60_000.0, 1_000.0)


def test_schedule_round_trips_as_json() -> None:
    assert len(FAULTS) > 30 and parse_schedule(format_schedule(FAULTS)) == FAULTS
    with pytest.raises(ValueError, match="fault 2: 'melted' is not a valid FaultKind"):
        parse_schedule('[[1.0, "killed", 0, 5.0], [2.0, "melted", 0, 5.0]]')


def test_worst_case_schedule_has_one_fault_at_a_time_per_instance() -> None:
    faults = worst_case_schedule(1, 5, 60_000.0)
    assert faults == worst_case_schedule(1, 5, 60_000.0) != worst_case_schedule(2, 5, 60_000.0)
    assert {fault.kind for fault in faults} == {
        FaultKind.DEAF_AFTER_VOTE,
        FaultKind.HALF_OPEN,
        FaultKind.FREEZE,
        FaultKind.KILL,
        FaultKind.MUTE,
        FaultKind.DAEMON,
    }
    assert all(fault.at_ms + fault.duration_ms <= 58_000.0 for fault in faults)
    for instance in range(5):
        own = [fault for fault in faults if fault.instance == instance and fault.kind is not FaultKind.DAEMON]
        assert all(one.at_ms + one.duration_ms <= two.at_ms for one, two in zip(own, own[1:], strict=False))


def test_failing_schedule_is_minimized_to_its_cause() -> None:
    cause = {FAULTS[4], FAULTS[17], FAULTS[-1]}
    plays: list[tuple[ScheduledFault, ...]] = []

    def fails(subset: tuple[ScheduledFault, ...]) -> bool:
        plays.append(subset)
        return cause <= set(subset)

    assert set(minimize_schedule(FAULTS, fails, 500)) == cause and len(plays) < 120
    plays.clear()
    partial = minimize_schedule(FAULTS, fails, 5)
    assert cause <= set(partial) and len(plays) == 5
    assert minimize_schedule((ScheduledFault(0.0, FaultKind.KILL, 0, 1.0),), fails, 5) == (
        ScheduledFault(0.0, FaultKind.KILL, 0, 1.0),
    )
