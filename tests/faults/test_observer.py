import json
from pathlib import Path

from springspread.faults.observer import (
    CallStart,
    call_starts,
    gaps,
    mixtures,
    overlapping_changes,
    peak_ratio,
    policy_starts,
    read_policy_record,
    spans_over_limit,
    undecided_policy_calls,
)


def test_mixture_is_found_and_truncated_lines_are_skipped(tmp_path: Path) -> None:
    for name, lines in {"n000": [(1, 5.0), (2, 9.0)], "n001": [(1, 8.0), (1, 9.5)]}.items():
        (tmp_path / name).mkdir()
        text = [json.dumps({"event": "begins", "policy": policy, "at": at}) for policy, at in lines]
        (tmp_path / name / "log").write_text("\n".join([*text, '{"event": "begins", "pol']))
    found = call_starts(tmp_path)
    assert [call.at for call in found] == [5.0, 8.0, 9.0, 9.5]
    assert mixtures(found) == ["n001 began under 1 0.5 ms after n000 under 2"]
    assert mixtures(found[:3]) == []


def test_gaps_are_measured_per_instance() -> None:
    calls = [
        CallStart("a", 1, 0.0),
        CallStart("b", 1, 1.0),
        CallStart("a", 1, 20.0),
        CallStart("b", 2, 31.0),
        CallStart("a", 2, 45.0),
    ]
    assert gaps(calls) == ([20.0], [30.0, 25.0])


def test_spans_are_checked_against_the_limit_in_force_at_their_last_call() -> None:
    limits = {1: (4, 100.0), 2: (2, 100.0)}
    policies = [(0.0, 1), (200.0, 2), (400.0, 3)]
    assert spans_over_limit([10.0, 20.0, 30.0, 40.0, 111.0, 450.0, 451.0, 452.0], policies, limits) == []
    assert len(spans_over_limit([10.0, 20.0, 30.0, 40.0, 109.0], policies, limits)) == 1
    # A smaller limit also applies to spans that began before it.
    found = spans_over_limit([150.0, 160.0, 201.0], policies, limits)
    assert found == ["3 calls in 100 ms under policy 2, which allows 2"]


def test_peak_ratio_is_relative_to_the_limit() -> None:
    assert peak_ratio([0.0, 50.0, 99.0, 100.0, 300.0], (4, 100.0)) == 0.75
    assert peak_ratio([], (4, 100.0)) == 0.0


def test_calls_under_undecided_policies_and_overlapping_changes_are_found(tmp_path: Path) -> None:
    (tmp_path / "policy").mkdir()
    kinds = [("proposed", 1), ("decided", 1), ("proposed", 2), ("refused", 2), ("proposed", 3)]
    lines = [json.dumps({"kind": kind, "number": number}) for kind, number in kinds]
    (tmp_path / "policy" / "log").write_text("".join(f"0a0b0c0d {line}\n" for line in lines))
    record = read_policy_record(tmp_path)
    calls = [CallStart("a", policy, 1.0) for policy in (1, 2, 3)]
    assert undecided_policy_calls(calls, record) == [
        f"a began under {n}, which was never in force" for n in (2, 3)
    ]
    assert overlapping_changes(record) == []
    more = [*record, {"kind": "proposed", "number": 4}, {"kind": "begun", "generation": 2}]
    assert overlapping_changes(more) == ["change 4 began while 3 was under way"]


def test_policy_starts_are_read_from_the_daemon_log(tmp_path: Path) -> None:
    lines = [{"entry": f"Decided(number={n}, since={at})"} for n, at in ((2, 50.5), (1, 7.0), (2, 50.5))]
    text = [json.dumps(line) for line in lines]
    (tmp_path / "daemon.log").write_text("\n".join([*text, '{"entry": "Decided(number=']))
    assert policy_starts(tmp_path) == [(7.0, 1), (50.5, 2)]
