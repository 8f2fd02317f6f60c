"""Experiments: plan validation, reproducible tables, and interrupted runs that keep finished rows."""

from __future__ import annotations

import contextlib
import csv
import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from springspread import policy
from springspread.cli.main import cli
from springspread.experiments.compare import mean_of, paired_difference, rank_correlation
from springspread.experiments.plan import check_plan, read_plan
from springspread.experiments.run import read_rows, simulate
from springspread.validation import PlanError

PLAN: dict[str, Any] = {
    "name": "small",
    "seeds": [1, 2],
    "base": {"length_ms": 5000.0, "partners": 4},
    "vary": {"load": [0.5, 1.0]},
}
SHIPPED_PLANS = Path(__file__).resolve().parents[2] / "deploy" / "plans"
TOML = """
name = "small"
seeds = [1, 2]
[base]
length_ms = 5000
partners = 4
[vary]
load = [0.5, 1.0]
[arms.plain]
[arms.patient]
module = { TIMEOUT_MULTIPLE = 12.0 }
"""


def run(*args: str | Path) -> tuple[int, str]:
    result = CliRunner().invoke(cli, [str(arg) for arg in args])
    return result.exit_code, result.output


@pytest.fixture(scope="module")
def table(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("lab")
    (folder / "plan.toml").write_text(TOML)
    assert run("lab", "run", folder / "plan.toml", "--out", folder / "one.csv", "--processes", "2")[0] == 0
    return folder / "one.csv"


def test_plan_runs_every_combination_with_every_seed() -> None:
    runs = list(check_plan(PLAN).runs())
    assert [(run.seed, run.knobs.load) for run in runs] == [(1, 0.5), (2, 0.5), (1, 1.0), (2, 1.0)]
    assert runs[0].knobs.day(1).length_ms == 5000.0 and len(runs[0].knobs.day(1).partners) == 4


@pytest.mark.parametrize("path", sorted(SHIPPED_PLANS.glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_plan_is_accepted(path: Path) -> None:
    assert any(read_plan(path).runs())


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"seeds": []}, "seeds: "),
        ({"seeds": [True]}, "seeds.0: "),
        ({"name": "a/b"}, "name: "),
        ({"colour": 1}, "colour: no such key"),
        ({"sedes": [1]}, "sedes: no such key; did you mean seeds?"),
        ({"base": {"senders": 1.5}}, "base.senders: "),
        ({"base": {"sender": 1}}, "base.sender: no such key; did you mean senders?"),
        ({"base": {"load": 99.0}}, "base.load: "),
        ({"base": {"load": "1"}}, "base.load: "),
        ({"base": {"trouble": "rain"}}, "base.trouble: must be one of any, "),
        ({"base": {"load": 1.0}}, "base.load: is also under vary"),
        ({"vary": {"load": [0.5, "x"]}}, "vary.load[1]: "),
        ({"vary": {"loud": [0.5]}}, "vary.loud: no such key; did you mean load?"),
        ({"vary": {"load": 0.5}}, "vary.load: "),
        ({"vary": {"load": []}}, "vary.load: must have at least one value"),
        ({"vary": {"load": [0.5] * 5001}}, "vary: 10002 runs, but at most 10000"),
        ({"arms": {"a": {"modul": {}}}}, "arms.a.modul: no such key; did you mean module?"),
        ({"arms": {"a": {"module": {"PATIENT": 1.0}}}}, "arms.a.module: PATIENT: no such constant in the"),
        ({"arms": {"a": {"load": 1.0}}}, "arms.a.load: is also under vary"),
    ],
)
def test_invalid_plan_is_rejected_with_its_key(change: dict[str, Any], error: str) -> None:
    with pytest.raises(PlanError) as caught:
        check_plan({**PLAN, **change})
    assert str(caught.value).startswith(error)


def test_every_error_of_a_plan_names_its_file(tmp_path: Path) -> None:
    plan = tmp_path / "bad.toml"
    plan.write_text('name = ""\nseeds = []\nbase = { senders = 0, loda = 1 }\n')
    with pytest.raises(PlanError) as caught:
        read_plan(plan)
    lines = str(caught.value).splitlines()
    assert all(line.startswith(f"{plan}: ") for line in lines)
    assert [line.split(": ")[1] for line in lines] == ["name", "seeds", "base.senders", "base.loda"]


def test_plan_and_its_record_reproduce_the_table(table: Path, tmp_path: Path) -> None:
    record = json.loads(table.with_suffix(".json").read_text())
    assert record["complete"] and "structlog" in record["libraries"]
    repeated = tmp_path / "repeated.csv"
    code, _ = run("lab", "run", table.with_suffix(".json"), "--out", repeated, "--processes", "1")
    assert code == 0 and repeated.read_bytes() == table.read_bytes()
    assert table.read_bytes().count(b"\n") == 1 + 2 * 2 * 2


def test_arm_overrides_constants_only_during_its_days() -> None:
    base = {**PLAN["base"], "troubles": 3}
    arms = {"a": {}, "b": {"module": {"FLAG_AFTER_FAULTS": 1.0, "WINDOW_DECREASE": 0.1}}}
    plan = check_plan({**PLAN, "base": base, "arms": arms})
    before = policy.FLAG_AFTER_FAULTS, policy.WINDOW_DECREASE
    runs = [one for one in plan.runs() if one.seed == 1 and one.knobs.load == 1.0]
    rows = [simulate(one)[0] for one in runs]
    assert rows[0]["digest"] != rows[1]["digest"]
    assert before == (policy.FLAG_AFTER_FAULTS, policy.WINDOW_DECREASE)


def test_report_and_comparison(table: Path, tmp_path: Path) -> None:
    code, output = run("lab", "report", table, "--out", tmp_path / "report")
    assert code == 0, output
    names = {path.name for path in (tmp_path / "report").iterdir()}
    assert names == {f"one.{kind}" for kind in ("md", "summary.csv", "svg", "png", "html")}
    with (tmp_path / "report" / "one.summary.csv").open() as source:
        lines = list(csv.DictReader(source))
    assert [(line["arm"], line["load"]) for line in lines] == [
        ("plain", "0.5"),
        ("patient", "0.5"),
        ("plain", "1.0"),
        ("patient", "1.0"),
    ]
    assert 0 < int(lines[0]["p50 ms"]) <= int(lines[0]["p99 ms"]) and lines[0]["days"] == "2"
    assert "patient" in (tmp_path / "report" / "one.html").read_text()
    code, output = run("lab", "compare", table, "--arms", "plain", "patient")
    assert code == 0 and " over 4 days" in output
    assert run("lab", "compare", table, table)[1].startswith("service: +0.0000 ± 0.0000 over 8 days")


def test_means_and_paired_differences() -> None:
    mean = mean_of([1.0, 2.0, 3.0])
    assert mean.mean == 2.0 and mean.margin == pytest.approx(2.4841, abs=1e-4)  # t(0.975, 2) = 4.3027
    assert mean_of([1.0]).margin == float("inf") and not mean_of([1.0]).significant
    rows = rows_of([(1, 0.5), (2, 0.9)])
    others = [{**row, "arm": "drains", "drains": "10"} for row in rows_of([(1, 0.4), (2, 0.8)])]
    assert paired_difference(rows, others, "service").mean == pytest.approx(-0.1)  # drains may differ
    improved = rows_of([(1, 0.6), (2, 1.0), (3, 0.1)])
    difference = paired_difference(rows, improved, "service")
    assert difference.count == 2 and difference.mean == pytest.approx(0.1) and difference.significant
    with pytest.raises(ValueError, match="is in both"):
        paired_difference(rows, rows_of([(9, 0.5)]), "service")
    assert rank_correlation([1.0, 2.0, 3.0, 4.0], [10.0, 20.0, 40.0, 30.0]) == pytest.approx(0.8)


def rows_of(days: list[tuple[int, float]]) -> list[dict[str, str]]:
    head = {key: str(value) for key, value in check_plan(PLAN).base.model_dump().items()}
    return [{**head, "arm": "plain", "seed": str(seed), "service": str(service)} for seed, service in days]


def start_run(plan: Path, out: Path, **values: Any) -> subprocess.Popen[str]:
    args = [sys.executable, "-m", "springspread.cli", "lab", "run", str(plan), "--out", str(out)]
    return subprocess.Popen([*args, "--processes", "1"], stdout=-1, stderr=-1, text=True, **values)


def test_interrupted_experiment_keeps_finished_rows_and_marks_the_rest(tmp_path: Path) -> None:
    plan, out = tmp_path / "plan.toml", tmp_path / "long.csv"
    plan.write_text(TOML.replace("[1, 2]", str(list(range(1, 1001)))))
    process = start_run(plan, out)
    end = time.monotonic() + 60.0
    while time.monotonic() < end and (
        not (partial := out.with_suffix(".new")).exists() or row_count(partial) < 3
    ):
        time.sleep(0.02)
    process.send_signal(signal.SIGINT)
    output, errors = process.communicate(timeout=60.0)
    assert process.returncode == 4 and "interrupted" in errors, errors
    with out.open(newline="") as source:
        states = [row["state"] for row in csv.DictReader(source)]
    done = states.count("done")
    assert 3 <= done < 1000 and states == ["done"] * done + ["not run"] * (4000 - done)
    assert not json.loads(out.with_suffix(".json").read_text())["complete"]
    assert len(read_rows(out)) == done


SIGNAL_WITHIN_A_ROW = """
import faulthandler, os, signal, sys
from springspread.cli.main import cli
from springspread.experiments.run import Table

faulthandler.dump_traceback_later(20.0)  # says where a run that does not end stands
add, rows, numbers = Table.add, [], iter(int(name) for name in sys.argv[1].split(","))

def add_and_signal(table, row):
    add(table, row)
    rows.append(row)
    if len(rows) >= 3 and (number := next(numbers, None)) is not None:
        os.kill(os.getpid(), number)

Table.add = add_and_signal
cli(sys.argv[2:])
"""


@pytest.mark.parametrize(
    "signals",
    [[signal.SIGINT], [signal.SIGTERM], [signal.SIGINT, signal.SIGINT], [signal.SIGTERM, signal.SIGINT]],
    ids=lambda signals: "+".join(one.name for one in signals),
)
def test_signal_outside_the_wait_for_results_ends_the_run(
    tmp_path: Path, signals: list[signal.Signals]
) -> None:
    """Guards against a run that goes on with all its remaining days after its table is closed."""
    plan, out = tmp_path / "plan.toml", tmp_path / "long.csv"
    plan.write_text(TOML.replace("[1, 2]", str(list(range(1, 1001)))))
    numbers = ",".join(str(int(one)) for one in signals)
    args = [sys.executable, "-c", SIGNAL_WITHIN_A_ROW, numbers, "lab", "run", str(plan), "--out", str(out)]
    process = subprocess.Popen(
        [*args, "--processes", "2"], stdout=-1, stderr=-1, text=True, start_new_session=True
    )
    output, errors = ended_output(process)
    assert process.returncode == 4 and "interrupted" in errors, errors
    with out.open(newline="") as source:
        states = [row["state"] for row in csv.DictReader(source)]
    assert states == ["done"] * 3 + ["not run"] * 3997


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM], ids=lambda how: how.name)
def test_run_ends_also_where_its_parent_ignored_the_signal(tmp_path: Path, how: signal.Signals) -> None:
    """Guards against a run that can't be interrupted: shells start background jobs with SIGINT ignored."""
    plan, out = tmp_path / "plan.toml", tmp_path / "long.csv"
    plan.write_text(TOML.replace("[1, 2]", str(list(range(1, 1001)))))
    process = start_run(
        plan, out, preexec_fn=lambda: signal.signal(how, signal.SIG_IGN), start_new_session=True
    )
    workers = await_rows(process, out, 3)
    process.send_signal(how)
    output, errors = ended_output(process)
    assert process.returncode == 4 and "interrupted" in errors, errors
    assert not any(Path(f"/proc/{worker}").exists() for worker in workers)
    assert not json.loads(out.with_suffix(".json").read_text())["complete"]


def ended_output(process: subprocess.Popen[str]) -> tuple[str, str]:
    """The output of a run that has to end; one that does not is killed with its workers."""
    try:
        return process.communicate(timeout=60.0)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)


def await_rows(process: subprocess.Popen[str], out: Path, count: int) -> list[int]:
    """Wait until a run has written some rows; returns the ids of its workers."""
    partial, end = out.with_suffix(".new"), time.monotonic() + 60.0
    while not partial.exists() or row_count(partial) < count:
        assert time.monotonic() < end and process.poll() is None, "no rows"
        time.sleep(0.02)
    return [int(id) for id in Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()]


def test_dead_worker_ends_the_run_and_keeps_finished_rows(tmp_path: Path) -> None:
    """Guards against a traceback in place of a table after a worker was killed, e.g. for want of memory."""
    plan, out = tmp_path / "plan.toml", tmp_path / "long.csv"
    plan.write_text(TOML.replace("[1, 2]", str(list(range(1, 1001)))))
    process = start_run(plan, out, start_new_session=True)
    for worker in await_rows(process, out, 3):
        os.kill(worker, signal.SIGKILL)
    output, errors = ended_output(process)
    assert process.returncode == 4 and "a worker died, exit code -9" in errors, errors
    with out.open(newline="") as source:
        states = [row["state"] for row in csv.DictReader(source)]
    done = states.count("done")
    assert 3 <= done < 1000 and states == ["done"] * done + ["not run"] * (4000 - done)


def row_count(path: Path) -> int:
    return max(path.read_bytes().count(b"\n") - 1, 0)


def test_full_disk_loses_no_finished_rows(tmp_path: Path) -> None:
    plan, out = tmp_path / "plan.toml", tmp_path / "full.csv"
    plan.write_text(TOML.replace("[1, 2]", str(list(range(1, 51)))))
    out.write_text("an older table\n")

    def limit_file_size() -> None:
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_FSIZE, (1 << 15, 1 << 15))  # room for a sender's journal

    process = start_run(plan, out, preexec_fn=limit_file_size, env={**os.environ, "TMPDIR": str(tmp_path)})
    output, errors = process.communicate(timeout=120.0)
    assert process.returncode == 4 and "the table takes no more" in errors, errors
    assert out.read_text() == "an older table\n"
    assert row_count(out.with_suffix(".new")) >= 3


def test_one_day_from_the_command_line() -> None:
    code, output = run("town", "play", "--set", "length_ms=5000", "--set", "senders=2", "--json")
    result = json.loads(output)
    assert code == 0 and result["faults"] == [] and 0.5 < result["service"] <= 1.0
    assert result["latency_ms"]["p50"] <= result["latency_ms"]["p99"]


def test_usage_errors_are_one_line(table: Path, tmp_path: Path) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text("seeds = 3")
    for args, text in (
        (["lab", "run", plan, "--out", "x.csv"], "name: Field required"),
        (["lab", "run", tmp_path / "none", "--out", "x.csv"], "No such file"),
        (["lab", "report", plan, "--out", tmp_path], "not an experiment table"),
        (["lab", "compare", table], "give a second table, or --arms"),
        (["lab", "compare", table, table, "--measure", "luck"], "no such column: luck"),
        (["lab", "compare", table, "--arms", "plain", "none"], "is in both"),
        (["lab", "compare", table, table, "--where", "luck=1"], "--where: no such column: luck"),
        (["town", "play", "--set", "senders=0"], "senders: "),
        (["town", "play", "--set", "sendres=1"], "did you mean senders?"),
        (["town", "play", "--set", "senders"], "KNOB=VALUE"),
    ):
        code, output = run(*args)
        assert code != 0 and text in output, output


def test_sender_does_not_import_simulator_experiments_or_cli() -> None:
    code = "import sys, springspread.__main__; print(list(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "springspread.core.loop" in loaded
    others = ("pydantic", "click", "hdrh", "scipy", "rich", "structlog")  # the log loads the last
    for part in ("springspread.simulator", "springspread.experiments", "springspread.cli", *others):
        assert f"'{part}" not in loaded
