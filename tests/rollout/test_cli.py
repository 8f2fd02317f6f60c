"""The command line of policy changes: output and exit status."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from springspread import config
from springspread.config import ConfigError
from springspread.core.journal import Journal
from springspread.fleet.policy_compatibility import config_under_policy
from tests.peer import until
from tests.rollout.test_fleet import Fleet, fleet
from tests.test_config import make

__all__ = ["fleet"]


def run_policy(harness: Fleet, *words: str) -> tuple[int, str]:
    line = [
        sys.executable,
        "-m",
        "springspread.cli",
        "fleet",
        "policy",
        words[0],
        str(harness.file),
        *words[1:],
    ]
    done = subprocess.run(line, capture_output=True, text=True, timeout=30.0)
    return done.returncode, done.stdout + done.stderr


def write(harness: Fleet, **settings: Any) -> None:
    raw = json.loads((harness.folder / "sender.json").read_text())
    for key, value in settings.items():
        old = raw["settings"].get(key)
        raw["settings"][key] = {**old, **value} if isinstance(old, dict) else value
    (harness.folder / "sender.json").write_text(json.dumps(raw))


def test_exit_status_and_output(fleet: Fleet) -> None:
    write(fleet, specifics={"callsOut": 7})
    assert run_policy(fleet, "check") == (0, "settings.specifics.callsOut: 6 -> 7\n")
    assert run_policy(fleet, "propose") == (0, "policy 2 is in force\n")
    write(fleet, clases=[])
    code, text = run_policy(fleet, "propose")
    assert code == 5 and f"{fleet.folder / 'sender.json'}: settings.clases: no such key" in text
    assert "did you mean classes?" in text
    write(fleet, clases=None, specifics={"callsOut": 9})
    pid = fleet.rows()["n001"]["pid"]
    os.kill(pid, signal.SIGSTOP)
    code, text = run_policy(fleet, "propose", "--within", "0.1")
    assert code == 6 and "policy 3 is not in force yet; it waits for n001" in text
    until(lambda: fleet.daemon.order({"do": "outcome", "version": 3})["state"] == "decided", "it is decided")
    assert fleet.daemon.order({"do": "outcome", "version": 3})["fault"].startswith("n001, ")
    assert fleet.status()["pending"] == {"version": 3, "waits_for": ["n001"]}
    assert "no answer from n001" in run_policy(fleet, "check")[1]
    os.kill(pid, signal.SIGCONT)
    assert run_policy(fleet, "propose") == (0, "policy 3 is in force\n")
    assert run_policy(fleet, "back", "1") == (0, "policy 4 is in force\n")
    until(lambda: fleet.all_act_under(4), "all act under the first policy again")
    status = json.loads(run_policy(fleet, "status", "--json")[1])
    assert status["in_force"]["version"] == 4 and status["pending"] is None
    assert status["instances"]["n002"] == {"version": 4, "state": "acting"}
    rows = json.loads(run_policy(fleet, "history", "--json")[1])
    assert [(row["version"], row["state"]) for row in rows] == [(n, "in force") for n in (1, 2, 3, 4)]
    assert rows[0]["digest"] == rows[3]["digest"] != rows[1]["digest"]


@pytest.mark.parametrize(
    ("key", "value", "fault"),
    [
        (
            "connectTimeoutMs",
            900.0,
            "settings.limits.connectTimeoutMs: this process was started with another",
        ),
        ("attemptsCap", 9, "settings.limits.attemptsCap: above 8"),
    ],
)
def test_process_refuses_settings_that_are_read_only_at_start_up(
    tmp_path: Path, key: str, value: float, fault: str
) -> None:
    raw = make(tmp_path)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    running, journal = config.read(raw, {}), Journal(tmp_path, 3_000_000)
    env = {"RELAY_CONFIG": str(file)}
    text = json.dumps({"settings": raw["settings"], "limits": {}})
    assert config_under_policy(running, journal, text, env) == running
    raw["settings"]["limits"][key] = value
    with pytest.raises(ConfigError) as caught:
        config_under_policy(running, journal, json.dumps({"settings": raw["settings"], "limits": {}}), env)
    assert str(caught.value).startswith(fault)
