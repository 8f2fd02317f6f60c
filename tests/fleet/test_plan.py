"""The operator's file of a fleet: its limits, and errors with file, key and nearest value."""

from __future__ import annotations

from pathlib import Path

import pytest

from springspread.fleet import plan as plan_module
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.plan import FleetPlan, PlanTooLarge, read_fleet
from springspread.rollout import document
from springspread.validation import PlanError

TOP = """folder = "fleet"
config = "sender.json"
"""
MODE = "limits.g1.mode: no such mode"


def read(folder: Path, rest: str) -> FleetPlan:
    """The plan of a file with the required lines and these."""
    file = folder / "fleet.toml"
    file.write_text(TOP + rest)
    return read_fleet(file)


def test_limits_are_exact_by_default(tmp_path: Path) -> None:
    plan = read(
        tmp_path,
        """default_mode = "adaptive"
[limits.g1]
calls = 5
[limits.g2]
calls = 6
mode = "adaptive"
""",
    )
    assert plan.shared_limits == {"g1": Limit(5, 2000.0), "g2": Limit(6, 2000.0, LimitMode.ADAPTIVE)}
    assert plan.policy({}).limits == plan.shared_limits and plan.policy({}).default_mode is LimitMode.ADAPTIVE
    assert read(tmp_path, "").default_mode is LimitMode.EXACT


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        (
            '[limits.g1]\ncalls = 5\nmode = "adaptve"',
            f"{MODE}: 'adaptve'; did you mean adaptive?",
        ),
        (
            '[limits.g1]\ncalls = 5\nmode = "loose"',
            f"{MODE}: 'loose'; there are exact, adaptive",
        ),
        ("[limits.g1]\ncalls = 5\nmode = 1", f"{MODE}: 1; there are exact, adaptive"),
        ('default_mode = "exakt"', "default_mode: no such mode: 'exakt'; did you mean exact?"),
    ],
)
def test_unknown_mode_is_refused_with_file_key_and_nearest_value(
    tmp_path: Path, lines: str, fault: str
) -> None:
    with pytest.raises(PlanError) as caught:
        read(tmp_path, lines)
    assert str(caught.value) == f"{tmp_path / 'fleet.toml'}: {fault}"


def test_too_many_limits_are_refused_before_each_is_checked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(plan_module, "MAX_LIMITS", 2)
    lines = "".join(f"[limits.g{number}]\ncalls = 0\n" for number in range(3))
    with pytest.raises(PlanTooLarge) as caught:
        read(tmp_path, lines)
    assert str(caught.value) == f"{tmp_path / 'fleet.toml'}: limits: there are 3; the bound is 2"


@pytest.mark.parametrize(("key", "settings"), [("limits", {}), ("settings", {"note": "x" * 1000})])
def test_too_large_policy_is_refused_with_its_largest_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, key: str, settings: dict[str, str]
) -> None:
    plan = read(tmp_path, "".join(f"[limits.g{number}]\ncalls = 5\n" for number in range(10)))
    size = len(plan.policy({"settings": settings}).text)
    monkeypatch.setattr(document, "MAX_POLICY_BYTES", size)
    plan.policy({"settings": settings})
    monkeypatch.setattr(document, "MAX_POLICY_BYTES", size - 1)
    with pytest.raises(PlanTooLarge) as caught:
        plan.policy({"settings": settings})
    assert str(caught.value) == f"{key}: the policy has {size:,} bytes; the bound is {size - 1:,}"


def test_140_000_limits_with_long_keys_are_within_the_bounds() -> None:
    keys = [f"r{number:06}/{'x' * 70}" for number in range(140_000)]
    document.check_bounds(document.Policy({}, dict.fromkeys(keys, Limit(500, 2000.0, LimitMode.ADAPTIVE))))


def test_example_of_the_operators_page_is_valid(tmp_path: Path) -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet.md").read_text()
    section = page.partition("## Limits: exact and adaptive")[2].partition("\n## ")[0]
    example = "\n".join(line[4:] for line in section.splitlines() if line.startswith("    "))
    file = tmp_path / "fleet.toml"
    file.write_text('folder = "fleet"\nconfig = "sender.json"\n' + example)
    plan = read_fleet(file)
    assert plan.default_mode is LimitMode.ADAPTIVE
    assert plan.shared_limits == {"g7": Limit(40, 2000.0, LimitMode.ADAPTIVE), "g8": Limit(4, 2000.0)}
