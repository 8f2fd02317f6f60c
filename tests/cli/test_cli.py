"""The commands ``check`` and ``journal``, the options of logs, and tables."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from springspread.cli.live import columns
from springspread.cli.main import cli
from springspread.config import ConfigError
from springspread.core.journal import Journal
from springspread.core.journal_records import PendingMessage
from springspread.logs import make_log
from tests.test_config import make


def run(*args: str | Path) -> tuple[int, str]:
    result = CliRunner().invoke(cli, [str(arg) for arg in args])
    return result.exit_code, result.output


def configuration(folder: Path, **changes: Any) -> Path:
    (folder / "config.json").write_text(json.dumps({**make(folder), **changes}))
    return folder / "config.json"


def test_a_usable_configuration_is_reported_as_such(tmp_path: Path) -> None:
    code, output = run("check", configuration(tmp_path), "--json")
    summary = json.loads(output)
    assert code == 0 and summary["usable"] and summary["classes"] >= 1
    assert ": usable" in run("check", configuration(tmp_path))[1]
    assert {path.name for path in tmp_path.iterdir()} == {"config.json"}  # nothing was started


@pytest.mark.parametrize(
    ("changes", "key"),
    [({"listen": "nowhere"}, "listen"), ({"settings": 3}, "settings"), ({"seed": "xyz"}, "seed")],
)
def test_a_faulty_configuration_is_reported_with_its_key(
    tmp_path: Path, changes: dict[str, Any], key: str
) -> None:
    file = configuration(tmp_path, **changes)
    code, output = run("check", file)
    assert code == 2 and output.startswith(f"{file}: {key}")
    code, output = run("check", file, "--json")
    assert code == 2 and json.loads(output)["fault"].startswith(key)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    state = tmp_path / "state"
    state.mkdir()
    journal = Journal(state, 1 << 20)
    for n in (1, 2, 3):
        journal.record_taken(
            PendingMessage(n, f"id-{n}", "note", 7, 1_000.0 * time.time() + 5_000.0, b"hello")
        )
    journal.record_begun(2, 0)
    journal.record_completed(3)
    journal.close()
    return state


def test_pending_messages_are_listed_without_writing(folder: Path) -> None:
    before = {path: path.read_bytes() for path in folder.iterdir()}
    code, output = run("journal", "show", folder, "--json")
    pending = [json.loads(line) for line in output.splitlines()]
    assert code == 0 and [message["id"] for message in pending] == ["id-1", "id-2"]
    assert [message["may_have_run"] for message in pending] == [False, True]
    assert "2 messages pending" in run("journal", "show", folder)[1]
    assert {path: path.read_bytes() for path in folder.iterdir()} == before


def test_an_incomplete_last_record_is_no_error_but_earlier_damage_is(folder: Path) -> None:
    (newest,) = folder.iterdir()
    with newest.open("ab") as out:
        out.write(b"torn")
    code, output = run("journal", "verify", folder)
    assert code == 0 and "4 bytes that cannot be read" in output and "0 damaged files" in output
    (folder / "journal.00000009").write_bytes(b"")  # a newer file: the incomplete record is damage now
    code, output = run("journal", "verify", folder, "--json")
    assert code == 1 and json.loads(output)["damaged"] == 1


def test_log_level_and_format_are_applied() -> None:
    code = "from springspread.logs import make_log; log, sink = make_log('n0', 9);"
    code += "log.info('quiet', a=1); log.warning('loud', b=2); sink.flush()"
    env = {**os.environ, "RELAY_LOG_LEVEL": "warning", "RELAY_LOG_FORMAT": "text"}
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    assert "quiet" not in done.stderr and "event='loud'" in done.stderr and "b=2" in done.stderr


@pytest.mark.parametrize("key", ["RELAY_LOG_LEVEL", "RELAY_LOG_FORMAT"])
def test_unknown_log_levels_and_formats_are_refused(key: str) -> None:
    with pytest.raises(ConfigError, match=f"{key}: must be one of"):
        make_log("n0", 9, {key: "shouting"})


def test_columns_are_as_wide_as_their_widest_cell() -> None:
    assert columns(["a", "long"], [[100, 2], [3, "x"]]) == ["  a  long", "100     2", "  3     x"]
