import json
from pathlib import Path

from springspread.faults.observer import (
    Begun,
    borders,
    call_starts,
    gaps,
    interleaved,
    mixtures,
    nowhere,
    over_limit,
    peak_ratio,
    recorded,
)


def test_it_convicts_a_mixture_and_passes_over_torn_lines(tmp_path: Path) -> None:
    for name, lines in {"n000": [(1, 5.0), (2, 9.0)], "n001": [(1, 8.0), (1, 9.5)]}.items():
        (tmp_path / name).mkdir()
        text = [json.dumps({"event": "begins", "policy": policy, "at": at}) for policy, at in lines]
        (tmp_path / name / "log").write_text("\n".join([*text, '{"event": "begins", "pol']))
    found = call_starts(tmp_path)
    assert [call.at for call in found] == [5.0, 8.0, 9.0, 9.5]
    assert mixtures(found) == ["n001 began under 1 0.5 ms after n000 under 2"]
    assert mixtures(found[:3]) == []


def test_it_measures_each_instance_by_itself() -> None:
    calls = [
        Begun("a", 1, 0.0),
        Begun("b", 1, 1.0),
        Begun("a", 1, 20.0),
        Begun("b", 2, 31.0),
        Begun("a", 2, 45.0),
    ]
    assert gaps(calls) == ([20.0], [30.0, 25.0])


def test_it_counts_calls_over_the_limit_that_holds_at_the_last_of_a_span() -> None:
    limits = {1: (4, 100.0), 2: (2, 100.0)}
    held = [(0.0, 1), (200.0, 2), (400.0, 3)]
    assert over_limit([10.0, 20.0, 30.0, 40.0, 111.0, 450.0, 451.0, 452.0], held, limits) == []
    assert len(over_limit([10.0, 20.0, 30.0, 40.0, 109.0], held, limits)) == 1
    # The smaller one binds a span that began before the border.
    found = over_limit([150.0, 160.0, 201.0], held, limits)
    assert found == ["3 calls in 100 ms under policy 2, which allows 2"]


def test_the_fullest_span_is_told_as_a_part_of_the_limit() -> None:
    assert peak_ratio([0.0, 50.0, 99.0, 100.0, 300.0], (4, 100.0)) == 0.75
    assert peak_ratio([], (4, 100.0)) == 0.0


def test_it_convicts_calls_under_what_never_held_and_changes_that_interleave(tmp_path: Path) -> None:
    (tmp_path / "policy").mkdir()
    kinds = [("proposed", 1), ("decided", 1), ("proposed", 2), ("refused", 2), ("proposed", 3)]
    lines = [json.dumps({"kind": kind, "number": number}) for kind, number in kinds]
    (tmp_path / "policy" / "log").write_text("".join(f"0a0b0c0d {line}\n" for line in lines))
    record = recorded(tmp_path)
    calls = [Begun("a", policy, 1.0) for policy in (1, 2, 3)]
    assert nowhere(calls, record) == [f"a began under {n}, which never held" for n in (2, 3)]
    assert interleaved(record) == []
    more = [*record, {"kind": "proposed", "number": 4}, {"kind": "begun", "generation": 2}]
    assert interleaved(more) == ["change 4 began while 3 was under way"]


def test_borders_are_read_out_of_the_log_of_the_daemon(tmp_path: Path) -> None:
    lines = [{"entry": f"Decided(number={n}, since={at})"} for n, at in ((2, 50.5), (1, 7.0), (2, 50.5))]
    text = [json.dumps(line) for line in lines]
    (tmp_path / "daemon.log").write_text("\n".join([*text, '{"entry": "Decided(number=']))
    assert borders(tmp_path) == [(7.0, 1), (50.5, 2)]
