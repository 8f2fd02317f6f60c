from http.client import HTTPConnection
from pathlib import Path

from springspread.faults.chaos import ChaosFleet
from springspread.faults.external_services import ExternalServices
from springspread.faults.failpoints import FailpointAction
from springspread.faults.policy_change_rounds import PolicyChangeRounds
from springspread.faults.schedule import FaultKind, ScheduledFault, random_schedule


def test_changes_continue_under_faults_between_processes(tmp_path: Path) -> None:
    faults = (
        ScheduledFault(500.0, FaultKind.DEAF, 0, 1500.0),
        ScheduledFault(1000.0, FaultKind.DAEMON, 0, 200.0),
        ScheduledFault(1500.0, FaultKind.FREEZE, 1, 2500.0),
        ScheduledFault(2500.0, FaultKind.KILL, 2, 100.0),
        ScheduledFault(3500.0, FaultKind.REPLAY, 2, 100.0),
    )
    services = ExternalServices()
    chaos = ChaosFleet(tmp_path, services, 3)
    try:
        result = chaos.play(faults, 6000.0)
    finally:
        chaos.close()
        services.close()
    assert result.promises_kept, (result.mixtures, result.contradicted, result.without_outcome)
    assert len(result.in_force) >= 2 and sum(result.fault_counts.values()) == 5 and result.calls > 50


def test_random_schedule_depends_on_its_seed_and_ends_in_time() -> None:
    first, same, other = (random_schedule(seed, 4, 30_000.0, 500.0) for seed in (1, 1, 2))
    assert first == same != other
    assert {fault.kind for fault in first + other} == set(FaultKind)
    assert all(fault.at_ms + fault.duration_ms <= 28_000.0 and 0 <= fault.instance < 4 for fault in first)


def test_watch_of_an_unchanged_list_is_answered_after_the_wait_that_it_asks_for() -> None:
    services = ExternalServices()
    try:
        connection = HTTPConnection("127.0.0.1", services.port, timeout=2.0)
        connection.request("GET", "/catalog/members?since=1&timeout_ms=100")
        assert connection.getresponse().status == 200
    finally:
        services.close()


def test_round_has_one_answer_and_limits_are_checked_at_the_partner(tmp_path: Path) -> None:
    services = ExternalServices()
    rounds = PolicyChangeRounds(tmp_path, services, 2, 1000.0)
    try:
        undisturbed = rounds.run_arm("calm", (), 1, 0, 1, True)
        killed = rounds.run_arm("killed", (FaultKind.KILL, FaultKind.DAEMON), 2, 1, 1, False)
    finally:
        rounds.close()
        services.close()
    assert (undisturbed.changes, killed.changes, killed.fault_count) == (1, 2, 2)
    assert not undisturbed.violation_count and not killed.violation_count, (undisturbed, killed)
    assert (
        len(undisturbed.force_times_s) == 1 and undisturbed.service and undisturbed.calls and killed.messages
    )


def test_daemon_dies_or_has_a_full_disk_at_a_named_failpoint(tmp_path: Path) -> None:
    services = ExternalServices()
    rounds = PolicyChangeRounds(tmp_path, services, 2, 1000.0, 0.05)
    try:
        outcomes = [
            rounds.run_failpoint(at, action)
            for at, action in (
                (3, FailpointAction.DIE),
                (1, FailpointAction.FULL),
                (500, FailpointAction.DIE),
            )
        ]
    finally:
        rounds.close()
        services.close()
    (died, first), (full, second), (never, third) = outcomes
    assert died and full == "before sync of text" and never == ""
    for arm in (first, second, third):
        assert not arm.violation_count and len(arm.force_times_s) == 1 and arm.calls, arm


def test_call_that_stalls_after_its_admission_keeps_the_limit(tmp_path: Path) -> None:
    services = ExternalServices()
    limit = (30, 1_000.0)
    chaos = ChaosFleet(
        tmp_path, services, 3, message_interval_s=0.06, limit=limit, instance="springspread.faults.stalls"
    )
    try:
        result = chaos.play((), 6_500.0)
    finally:
        chaos.close()
        services.close()
    assert result.promises_kept, (result.limit_ratio, result.start_ratio, result.without_outcome)
    assert result.calls > 60 and result.limit_ratio > 0.5
