from pathlib import Path

from springspread.faults.chaos import Chaos
from springspread.faults.external_services import ExternalServices
from springspread.faults.failpoints import FailpointAction
from springspread.faults.policy_change_rounds import PolicyChangeRounds
from springspread.faults.schedule import FaultKind, ScheduledFault, random_schedule


def test_changes_go_on_through_faults_between_processes(tmp_path: Path) -> None:
    faults = (
        ScheduledFault(500.0, FaultKind.DEAF, 0, 1500.0),
        ScheduledFault(1000.0, FaultKind.DAEMON, 0, 200.0),
        ScheduledFault(1500.0, FaultKind.FREEZE, 1, 2500.0),
        ScheduledFault(2500.0, FaultKind.KILL, 2, 100.0),
        ScheduledFault(3500.0, FaultKind.REPLAY, 2, 100.0),
    )
    services = ExternalServices()
    chaos = Chaos(tmp_path, services, 3)
    try:
        told = chaos.play(faults, 6000.0)
    finally:
        chaos.close()
        services.close()
    assert told.promises_kept, (told.mixtures, told.contradicted, told.without_outcome)
    assert len(told.in_force) >= 2 and sum(told.fault_counts.values()) == 5 and told.calls > 50


def test_random_schedule_depends_on_its_seed_and_ends_in_time() -> None:
    first, again, other = (random_schedule(seed, 4, 30_000.0, 500.0) for seed in (1, 1, 2))
    assert first == again != other
    assert {fault.kind for fault in first + other} == set(FaultKind)
    assert all(fault.at_ms + fault.duration_ms <= 28_000.0 and 0 <= fault.instance < 4 for fault in first)


def test_a_round_ends_in_one_answer_and_its_limits_are_counted_at_the_partner(tmp_path: Path) -> None:
    services = ExternalServices()
    rounds = PolicyChangeRounds(tmp_path, services, 2, 1000.0)
    try:
        calm = rounds.run_arm("calm", (), 1, 0, 1, True)
        killed = rounds.run_arm("killed", (FaultKind.KILL, FaultKind.DAEMON), 2, 1, 1, False)
    finally:
        rounds.close()
        services.close()
    assert (calm.changes, killed.changes, killed.fault_count) == (1, 2, 2)
    assert not calm.violation_count and not killed.violation_count, (calm, killed)
    assert len(calm.force_times_s) == 1 and calm.service and calm.calls and killed.messages


def test_a_daemon_meets_its_end_or_a_full_disk_at_a_named_moment(tmp_path: Path) -> None:
    services = ExternalServices()
    rounds = PolicyChangeRounds(tmp_path, services, 2, 1000.0, 0.05)
    try:
        met = [
            rounds.run_failpoint(at, deed)
            for at, deed in ((3, FailpointAction.DIE), (1, FailpointAction.FULL), (500, FailpointAction.DIE))
        ]
    finally:
        rounds.close()
        services.close()
    (died, first), (full, second), (never, third) = met
    assert died and full == "before sync of text" and never == ""
    for arm in (first, second, third):
        assert not arm.violation_count and len(arm.force_times_s) == 1 and arm.calls, arm


def test_a_call_that_was_held_up_since_it_got_its_right_does_not_break_the_limit(tmp_path: Path) -> None:
    services = ExternalServices()
    limit = (30, 1_000.0)
    chaos = Chaos(
        tmp_path, services, 3, message_interval_s=0.06, limit=limit, instance="springspread.faults.stalls"
    )
    try:
        told = chaos.play((), 6_500.0)
    finally:
        chaos.close()
        services.close()
    assert told.promises_kept, (told.limit_ratio, told.start_ratio, told.without_outcome)
    assert told.calls > 60 and told.limit_ratio > 0.5
