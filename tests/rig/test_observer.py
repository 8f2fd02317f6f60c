import json
from pathlib import Path

from springspread.rig.observer import Begun, begun, gaps, mixtures


def test_it_convicts_a_mixture_and_passes_over_torn_lines(tmp_path: Path) -> None:
    for name, lines in {"n000": [(1, 5.0), (2, 9.0)], "n001": [(1, 8.0), (1, 9.5)]}.items():
        (tmp_path / name).mkdir()
        text = [json.dumps({"event": "begins", "policy": policy, "at": at}) for policy, at in lines]
        (tmp_path / name / "log").write_text("\n".join([*text, '{"event": "begins", "pol']))
    found = begun(tmp_path)
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
