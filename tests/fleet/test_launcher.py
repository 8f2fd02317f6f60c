"""The configuration and the environment that an instance's process is started with."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from springspread.fleet.launcher import Launcher, Start, fleet_id
from springspread.fleet.plan import FleetPlan
from springspread.rollout.document import Policy

DUMP_ENVIRONMENT = """import json, os
json.dump(dict(os.environ), open(os.environ["RELAY_CONFIG"] + ".env", "w"))
"""


def launcher(folder: Path, **own: Any) -> Launcher:
    plan = FleetPlan(folder=folder, config=folder / "sender.json", host="127.0.0.9", first_port=8500)
    base = {"seed": "ff", "zone": "a", "settings": {"from": "the file"}}
    return Launcher(plan, base, "shown", lambda name: own, lambda name: folder / f"to.{name}")


def start(emptying: bool = False) -> Start:
    return Start("n002", 3, emptying, 4, Policy({"from": "the policy"}, {}))


def written(folder: Path) -> dict[str, Any]:
    configuration: dict[str, Any] = json.loads((folder / "n002" / "config.json").read_text())
    return configuration


def test_configuration_merges_the_fleets_and_the_instances_settings(tmp_path: Path) -> None:
    launcher(tmp_path, zone="b", policy=9).prepare(start())
    configuration = written(tmp_path)
    del configuration["recovery"]
    assert configuration == {
        "name": "n002",
        "listen": "127.0.0.9:8502",
        "epoch": 3,
        "state": str(tmp_path / "n002" / "state"),
        "seed": f"{0xFF + 2 * 7919 + 3:x}",
        "zone": "b",
        "settings": {"from": "the policy"},
        "policy": 4,
    }
    assert (tmp_path / "n002" / "state").is_dir()


def test_emptying_process_has_no_fixed_port(tmp_path: Path) -> None:
    launcher(tmp_path).prepare(start(emptying=True))
    assert written(tmp_path)["listen"] == "127.0.0.9:0"


def test_only_the_daemons_log_variables_are_inherited(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "shown.py").write_text(DUMP_ENVIRONMENT)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    monkeypatch.setenv("RELAY_ZONE", "c")
    monkeypatch.setenv("RELAY_LOG_LEVEL", "debug")
    launched = launcher(tmp_path)
    launched.prepare(start())
    assert launched.launch(start()).wait(20.0) == 0
    environment = json.loads((tmp_path / "n002" / "config.json.env").read_text())
    own = {key: value for key, value in environment.items() if key.startswith(("RELAY_", "SPRINGSPREAD_"))}
    assert own == {
        "RELAY_CONFIG": str(tmp_path / "n002" / "config.json"),
        "RELAY_LOG_LEVEL": "debug",
        "SPRINGSPREAD_FLEET": str(tmp_path / "to.n002"),
        "SPRINGSPREAD_INSTANCE": "n002",
        "SPRINGSPREAD_EPOCH": "3",
        "SPRINGSPREAD_POLICY": "4",
        "SPRINGSPREAD_FLEET_ID": fleet_id(launched._plan.folder),
    }
