"""The daemon with real instances: starts, kills, scaling, rolls, adoption and the emptying of journals."""

from __future__ import annotations

import http.client
import json
import os
import signal
import stat
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from springspread.fleet.control_client import OrderRefused
from springspread.fleet.daemon import Daemon
from springspread.fleet.folder import process_start_ticks
from springspread.fleet.plan import read_fleet
from springspread.validation import PlanError
from tests.fleet.test_allocator_server import NullLog
from tests.peer import Peer, until
from tests.test_config import make

TOML = """
folder = "fleet"
config = "sender.json"
instances = 2
[restarts]
first_ms = 50.0
[limits.g7]
calls = 50
"""


class DaemonHarness:
    """A fleet with its file and its daemon."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.peer = folder, Peer()
        raw = make(folder, discovery=f"127.0.0.1:{self.peer.port}", known=self.peer.members())
        (folder / "sender.json").write_text(json.dumps(raw))
        self.file = folder / "fleet.toml"
        self.file.write_text(TOML)
        self.daemon = Daemon(read_fleet(self.file), NullLog())

    def rows(self) -> dict[str, dict[str, Any]]:
        return {row["name"]: row for row in self.daemon.order({"do": "status"})["instances"]}

    def serving(self) -> list[str]:
        rows = self.rows().values()
        return [row["name"] for row in rows if row["want"] == "serving" and row["listen"] and row["in_fleet"]]

    def submit(self, name: str, id: str, cls: str = "note") -> int:
        host, _, port = self.rows()[name]["listen"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        headers = {"X-Correlation-Id": id, "X-Service-Class": cls, "X-Consignee": "dest=7"}
        connection.request("POST", "/api", b"hello", {**headers, "X-Time-Left-Ms": "8000"})
        status = connection.getresponse().status
        connection.close()
        return status


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[DaemonHarness]:
    running = DaemonHarness(tmp_path)
    until(lambda: running.serving() == ["n000", "n001"], "both serve")
    yield running
    running.peer.answer_calls.set()
    for row in running.rows().values():
        if row["in_fleet"]:
            os.kill(row["pid"], signal.SIGKILL)  # faster than a graceful stop
    running.daemon.stop()
    running.peer.close()


def test_killed_instance_restarts_and_delivers_its_pending_messages(harness: DaemonHarness) -> None:
    harness.peer.answer_calls.clear()
    assert harness.submit("n000", "pending-1") in (200, 202)
    before = harness.rows()["n000"]
    os.kill(before["pid"], signal.SIGKILL)
    until(lambda: harness.rows()["n000"]["epoch"] == before["epoch"] + 1, "its next start")
    until(lambda: harness.serving() == ["n000", "n001"], "both serve again")
    harness.peer.answer_calls.set()
    until(lambda: any(id == "pending-1" for _, id, _ in harness.peer.calls), "its message goes out")
    assert harness.rows()["n000"]["deaths"] == 1


def test_leaving_instance_delivers_its_pending_messages_and_is_dropped(harness: DaemonHarness) -> None:
    harness.peer.answer_calls.clear()
    assert harness.submit("n001", "pending-2") in (200, 202)
    os.kill(harness.rows()["n001"]["pid"], signal.SIGKILL)
    harness.daemon.order({"do": "scale", "count": 1})
    harness.peer.answer_calls.set()
    until(lambda: set(harness.rows()) == {"n000"}, "it is gone")
    assert "pending-2" in {id for _, id, _ in harness.peer.calls}
    assert not (harness.daemon.folder / "n001").exists()


def test_new_daemon_adopts_running_instances(harness: DaemonHarness) -> None:
    before = {name: (row["pid"], row["epoch"]) for name, row in harness.rows().items()}
    harness.daemon.detach()
    harness.daemon = Daemon(read_fleet(harness.file), NullLog())
    until(lambda: harness.serving() == ["n000", "n001"], "both are in the fleet again")
    assert {name: (row["pid"], row["epoch"]) for name, row in harness.rows().items()} == before
    assert harness.submit("n000", "after") in (200, 202)
    until(lambda: "after" in {id for _, id, _ in harness.peer.calls}, "it has a lease of the new allocator")


def test_instances_outlive_a_killed_daemon_and_the_next_one_stops_them(harness: DaemonHarness) -> None:
    harness.daemon.stop()
    line = [sys.executable, "-m", "springspread.cli", "fleet", "run", str(harness.file)]
    first = subprocess.Popen(line, stderr=subprocess.DEVNULL)

    def status() -> list[dict[str, Any]]:
        done = subprocess.run(
            [*line[:-2], "status", str(harness.file), "--json"], capture_output=True, text=True, timeout=30.0
        )
        rows: list[dict[str, Any]] = json.loads(done.stdout) if done.returncode == 0 else []
        return rows if all(row["in_fleet"] for row in rows) else []

    until(status, "both serve")
    pids = [row["pid"] for row in status()]
    first.kill()
    first.wait()
    assert all(Path(f"/proc/{pid}").exists() for pid in pids)
    second = subprocess.Popen(line, stderr=subprocess.DEVNULL)
    until(status, "both are in the fleet again")
    assert [row["pid"] for row in status()] == pids
    second.terminate()
    assert second.wait(10.0) == 0
    assert not any(process_start_ticks(pid) for pid in pids)


def test_half_the_fleet_restarts_after_being_killed(harness: DaemonHarness) -> None:
    harness.daemon.order({"do": "scale", "count": 6})
    until(lambda: len(harness.serving()) == 6, "six serve")
    before = {name: row["pid"] for name, row in harness.rows().items()}
    for name in list(before)[::2]:
        os.kill(before[name], signal.SIGKILL)

    def recovered() -> bool:
        return len(harness.serving()) == 6 and sum(row["deaths"] for row in harness.rows().values()) == 3

    until(recovered, "all six serve")
    after = {name: row["pid"] for name, row in harness.rows().items()}
    assert [after[name] == before[name] for name in before] == [False, True] * 3


def test_killed_emptying_process_is_replaced(harness: DaemonHarness) -> None:
    harness.peer.answer_calls.clear()
    assert harness.submit("n001", "pending-3") in (200, 202)
    os.kill(harness.rows()["n001"]["pid"], signal.SIGKILL)
    harness.daemon.order({"do": "drain", "name": "n001"})
    epoch = harness.rows()["n001"]["epoch"]

    def emptied() -> bool:
        row = harness.rows()["n001"]
        return bool(row["pid"]) and row["epoch"] > epoch

    until(emptied, "its folder is being emptied")
    os.kill(harness.rows()["n001"]["pid"], signal.SIGKILL)
    until(lambda: harness.rows()["n001"]["epoch"] > epoch + 1, "another process empties it")
    harness.peer.answer_calls.set()
    until(lambda: "n001" not in harness.rows(), "it is gone")
    assert "pending-3" in {id for _, id, _ in harness.peer.calls}


def test_frozen_instance_is_killed_when_it_leaves(harness: DaemonHarness) -> None:
    pid = harness.rows()["n001"]["pid"]
    os.kill(pid, signal.SIGSTOP)
    harness.daemon.order({"do": "drain", "name": "n001"})
    until(lambda: "n001" not in harness.rows(), "it is killed and gone")
    assert not Path(f"/proc/{pid}").exists()


def test_roll_restarts_instances_one_at_a_time(harness: DaemonHarness) -> None:
    harness.daemon.order({"do": "roll"})

    def rolled() -> bool:
        rows = harness.rows()
        assert sum(not row["pid"] for row in rows.values()) <= 1
        return [row["epoch"] for row in rows.values()] == [2, 2] and len(harness.serving()) == 2

    until(rolled, "both are at their second start")
    assert all(row["deaths"] == 0 for row in harness.rows().values())


def test_second_daemon_and_invalid_orders_are_refused(harness: DaemonHarness) -> None:
    with pytest.raises(OrderRefused, match="another daemon runs this fleet"):
        Daemon(read_fleet(harness.file), NullLog())
    for order, fault in (
        ({"do": "dance"}, "no such order"),
        ([], "must be an object"),
        ({"do": "scale", "count": -1}, "from 0 to 1000"),
        ({"do": "drain", "name": "n9"}, "no such instance: n9; there are n000, n001"),
    ):
        with pytest.raises(OrderRefused, match=fault):
            harness.daemon.order(order)
    assert stat.S_IMODE((harness.daemon.folder / "control").stat().st_mode) == 0o600


def test_command_line_sends_orders(harness: DaemonHarness) -> None:
    def ask(*args: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "springspread.cli", "fleet", *args]
        return subprocess.run(line, capture_output=True, text=True, timeout=30.0)

    rows = json.loads(ask("status", str(harness.file), "--json").stdout)
    assert [row["name"] for row in rows] == ["n000", "n001"]
    assert "n001" in ask("restart", str(harness.file), "n001").stdout
    faulty = ask("drain", str(harness.file), "n7")
    assert faulty.returncode == 1 and "no such instance: n7" in faulty.stderr


def test_invalid_operator_file_is_refused_with_its_keys(tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text('folder = "f"\nconfg = "c"\ninstances = 2000\n[limits.x]\ncalls = 0\n')
    with pytest.raises(PlanError) as caught:
        read_fleet(file)
    text = str(caught.value)
    assert f"{file}: confg: no such key; did you mean config?" in text
    assert "config: Field required" in text and "instances: " in text and "limits.x" in text


def test_deploy_example_starts(tmp_path: Path) -> None:
    deploy = Path(__file__).parents[2] / "deploy"
    (tmp_path / "deploy").mkdir()
    for name in ("fleet.toml", "sender.json"):
        text = (deploy / name).read_text().replace("first_port = 8500", "first_port = 0")
        (tmp_path / "deploy" / name).write_text(text)
    daemon = Daemon(read_fleet(tmp_path / "deploy" / "fleet.toml"), NullLog())

    def all_serve() -> bool:
        rows = daemon.order({"do": "status"})["instances"]
        return len(rows) == 4 and all(row["listen"] and row["policy"] == 1 for row in rows)

    until(all_serve, "four instances act under policy 1")
    daemon.stop()


def test_new_daemon_knows_the_address_of_an_instance_with_a_long_log(harness: DaemonHarness) -> None:
    before = {name: row["listen"] for name, row in harness.rows().items()}
    harness.daemon.detach()
    for name in before:
        with (harness.daemon.folder / name / "log").open("ab") as log:
            log.write(b'{"event": "other"}\n' * 20_000)
    harness.daemon = Daemon(read_fleet(harness.file), NullLog())
    until(lambda: harness.serving() == ["n000", "n001"], "both are in the fleet again")
    assert {name: row["listen"] for name, row in harness.rows().items()} == before
