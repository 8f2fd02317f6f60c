"""The daemon with real instances: started, killed, scaled, rolled, adopted, and their journals emptied."""

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


class Place:
    """A fleet's file and its daemon."""

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

    def hand_in(self, name: str, id: str, cls: str = "note") -> int:
        host, _, port = self.rows()[name]["listen"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        headers = {"X-Correlation-Id": id, "X-Service-Class": cls, "X-Consignee": "dest=7"}
        connection.request("POST", "/api", b"hello", {**headers, "X-Time-Left-Ms": "8000"})
        status = connection.getresponse().status
        connection.close()
        return status


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    made = Place(tmp_path)
    until(lambda: made.serving() == ["n000", "n001"], "both serve")
    yield made
    made.peer.answer_calls.set()
    for row in made.rows().values():
        if row["in_fleet"]:
            os.kill(row["pid"], signal.SIGKILL)  # an orderly end takes a second, and is not tested here
    made.daemon.stop()
    made.peer.close()


def test_a_killed_instance_is_started_again_and_tells_what_it_owes(place: Place) -> None:
    place.peer.answer_calls.clear()
    assert place.hand_in("n000", "owed-1") in (200, 202)
    before = place.rows()["n000"]
    os.kill(before["pid"], signal.SIGKILL)
    until(lambda: place.rows()["n000"]["epoch"] == before["epoch"] + 1, "its next start")
    until(lambda: place.serving() == ["n000", "n001"], "both serve again")
    place.peer.answer_calls.set()
    until(lambda: any(id == "owed-1" for _, id, _ in place.peer.calls), "its message goes out")
    assert place.rows()["n000"]["deaths"] == 1


def test_one_that_leaves_has_what_it_owes_delivered_and_is_gone(place: Place) -> None:
    place.peer.answer_calls.clear()
    assert place.hand_in("n001", "owed-2") in (200, 202)
    os.kill(place.rows()["n001"]["pid"], signal.SIGKILL)
    place.daemon.order({"do": "scale", "count": 1})
    place.peer.answer_calls.set()
    until(lambda: set(place.rows()) == {"n000"}, "it is gone")
    assert "owed-2" in {id for _, id, _ in place.peer.calls}
    assert not (place.daemon.folder / "n001").exists()


def test_a_new_daemon_adopts_what_runs(place: Place) -> None:
    before = {name: (row["pid"], row["epoch"]) for name, row in place.rows().items()}
    place.daemon.detach()
    place.daemon = Daemon(read_fleet(place.file), NullLog())
    until(lambda: place.serving() == ["n000", "n001"], "both are in the fleet again")
    assert {name: (row["pid"], row["epoch"]) for name, row in place.rows().items()} == before
    assert place.hand_in("n000", "after") in (200, 202)
    until(lambda: "after" in {id for _, id, _ in place.peer.calls}, "it has a lease of the new allocator")


def test_a_daemon_that_is_killed_stops_nobody_and_the_next_one_goes_on(place: Place) -> None:
    place.daemon.stop()
    line = [sys.executable, "-m", "springspread.cli", "fleet", "run", str(place.file)]
    first = subprocess.Popen(line, stderr=subprocess.DEVNULL)

    def status() -> list[dict[str, Any]]:
        done = subprocess.run(
            [*line[:-2], "status", str(place.file), "--json"], capture_output=True, text=True, timeout=30.0
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


def test_half_the_fleet_killed_within_a_second_comes_back(place: Place) -> None:
    place.daemon.order({"do": "scale", "count": 6})
    until(lambda: len(place.serving()) == 6, "six serve")
    before = {name: row["pid"] for name, row in place.rows().items()}
    for name in list(before)[::2]:
        os.kill(before[name], signal.SIGKILL)

    def back() -> bool:
        return len(place.serving()) == 6 and sum(row["deaths"] for row in place.rows().values()) == 3

    until(back, "all six serve")
    after = {name: row["pid"] for name, row in place.rows().items()}
    assert [after[name] == before[name] for name in before] == [False, True] * 3


def test_an_adopter_that_is_killed_is_followed_by_another(place: Place) -> None:
    place.peer.answer_calls.clear()
    assert place.hand_in("n001", "owed-3") in (200, 202)
    os.kill(place.rows()["n001"]["pid"], signal.SIGKILL)
    place.daemon.order({"do": "drain", "name": "n001"})
    epoch = place.rows()["n001"]["epoch"]

    def emptied() -> bool:
        row = place.rows()["n001"]
        return bool(row["pid"]) and row["epoch"] > epoch

    until(emptied, "its folder is being emptied")
    os.kill(place.rows()["n001"]["pid"], signal.SIGKILL)
    until(lambda: place.rows()["n001"]["epoch"] > epoch + 1, "another process empties it")
    place.peer.answer_calls.set()
    until(lambda: "n001" not in place.rows(), "it is gone")
    assert "owed-3" in {id for _, id, _ in place.peer.calls}


def test_one_that_is_frozen_does_not_outlive_its_leaving(place: Place) -> None:
    pid = place.rows()["n001"]["pid"]
    os.kill(pid, signal.SIGSTOP)
    place.daemon.order({"do": "drain", "name": "n001"})
    until(lambda: "n001" not in place.rows(), "it is killed and gone")
    assert not Path(f"/proc/{pid}").exists()


def test_a_roll_restarts_all_one_after_the_other(place: Place) -> None:
    place.daemon.order({"do": "roll"})

    def rolled() -> bool:
        rows = place.rows()
        assert sum(not row["pid"] for row in rows.values()) <= 1
        return [row["epoch"] for row in rows.values()] == [2, 2] and len(place.serving()) == 2

    until(rolled, "both are at their second start")
    assert all(row["deaths"] == 0 for row in place.rows().values())


def test_two_daemons_on_one_file_and_orders_that_are_wrong(place: Place) -> None:
    with pytest.raises(OrderRefused, match="another daemon runs this fleet"):
        Daemon(read_fleet(place.file), NullLog())
    for order, fault in (
        ({"do": "dance"}, "no such order"),
        ([], "must be an object"),
        ({"do": "scale", "count": -1}, "from 0 to 1000"),
        ({"do": "drain", "name": "n9"}, "no such instance: n9; there are n000, n001"),
    ):
        with pytest.raises(OrderRefused, match=fault):
            place.daemon.order(order)
    assert stat.S_IMODE((place.daemon.folder / "control").stat().st_mode) == 0o600


def test_the_command_line_gives_orders(place: Place) -> None:
    def ask(*args: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "springspread.cli", "fleet", *args]
        return subprocess.run(line, capture_output=True, text=True, timeout=30.0)

    rows = json.loads(ask("status", str(place.file), "--json").stdout)
    assert [row["name"] for row in rows] == ["n000", "n001"]
    assert "n001" in ask("restart", str(place.file), "n001").stdout
    faulty = ask("drain", str(place.file), "n7")
    assert faulty.returncode == 1 and "no such instance: n7" in faulty.stderr


def test_a_faulty_operator_file_is_refused_with_its_keys(tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text('folder = "f"\nconfg = "c"\ninstances = 2000\n[limits.x]\ncalls = 0\n')
    with pytest.raises(PlanError) as caught:
        read_fleet(file)
    text = str(caught.value)
    assert f"{file}: confg: no such key; did you mean config?" in text
    assert "config: Field required" in text and "instances: " in text and "limits.x" in text


def test_the_example_under_deploy_starts_as_it_stands(tmp_path: Path) -> None:
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


def test_a_new_daemon_knows_where_an_instance_with_a_long_log_listens(place: Place) -> None:
    before = {name: row["listen"] for name, row in place.rows().items()}
    place.daemon.detach()
    for name in before:
        with (place.daemon.folder / name / "log").open("ab") as log:
            log.write(b'{"event": "other"}\n' * 20_000)
    place.daemon = Daemon(read_fleet(place.file), NullLog())
    until(lambda: place.serving() == ["n000", "n001"], "both are in the fleet again")
    assert {name: row["listen"] for name, row in place.rows().items()} == before
