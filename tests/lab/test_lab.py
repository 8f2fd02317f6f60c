"""The lab: plans are checked whole, tables repeat to the byte, and the commands say what is wrong."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from springspread.cli.main import cli
from springspread.lab.plan import PlanError, check_plan

PLAN: dict[str, Any] = {
    "name": "small",
    "seeds": [1, 2],
    "base": {"length_ms": 5000, "partners": 4},
    "vary": {"load": [0.5, 1.0]},
}
TOML = """
name = "small"
seeds = [1, 2]
[base]
length_ms = 5000
partners = 4
[vary]
load = [0.5, 1.0]
"""


def test_a_plan_is_every_combination_with_every_seed() -> None:
    runs = list(check_plan(PLAN).runs())
    assert [(run.seed, run.knobs["load"]) for run in runs] == [(1, 0.5), (2, 0.5), (1, 1.0), (2, 1.0)]
    assert runs[0].day().length_ms == 5000.0 and len(runs[0].day().partners) == 4


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"seeds": []}, "seeds"),
        ({"seeds": [True]}, "seeds"),
        ({"name": "a/b"}, "name"),
        ({"colour": 1}, "colour"),
        ({"base": {"senders": 1.5}}, "base.senders"),
        ({"base": {"loads": 1}}, "base.loads"),
        ({"base": {"load": 99}}, "base.load"),
        ({"base": {"load": 1.0}}, "vary.load"),
        ({"vary": {"load": [0.5, "x"]}}, "vary.load[1]"),
        ({"vary": {"load": 0.5}}, "vary.load"),
        ({"vary": {"load": [0.5] * 5001}}, "vary"),
    ],
)
def test_a_faulty_plan_is_refused_with_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(PlanError) as caught:
        check_plan({**PLAN, **change})
    assert str(caught.value).startswith(f"{key}: ")


def test_the_same_plan_gives_the_same_table(tmp_path: Path) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text(TOML)
    tables = []
    for n, processes in enumerate(("1", "2")):
        out = tmp_path / f"{n}.csv"
        args = ["lab", "run", str(plan), "--out", str(out), "--processes", processes]
        result = CliRunner().invoke(cli, args)
        assert result.exit_code == 0, result.output
        tables.append(out.read_bytes())
    assert tables[0] == tables[1] and tables[0].count(b"\n") == 5


def test_one_day_from_the_command_line(tmp_path: Path) -> None:
    args = ["town", "play", "--seconds", "5", "--senders", "2", "--json"]
    result = CliRunner().invoke(cli, args)
    told = json.loads(result.output)
    assert result.exit_code == 0 and told["faults"] == [] and 0.5 < told["service"] <= 1.0


def test_faults_of_the_caller_are_told_in_a_line(tmp_path: Path) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text("seeds = 3")
    for args, text in (
        (["lab", "run", str(plan), "--out", "x.csv"], "name: must be"),
        (["lab", "run", str(tmp_path / "none"), "--out", "x.csv"], "No such file"),
        (["lab", "chart", str(plan), "--by", "colour", "--out", "x.png"], "no such knob: colour"),
        (["town", "play", "--senders", "0"], "--senders"),
    ):
        result = CliRunner().invoke(cli, args)
        assert result.exit_code != 0 and text in result.output


def test_the_sender_loads_nothing_of_town_lab_or_command_line() -> None:
    code = "import sys, springspread.__main__; print([name for name in sys.modules if 'spread.' in name])"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "springspread.core.loop" in loaded
    for part in ("springspread.town", "springspread.lab", "springspread.cli"):
        assert part not in loaded
