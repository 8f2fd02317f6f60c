"""Policy changes on several real processes, with faults between them."""

from __future__ import annotations

import http.client
import json
import os
import resource
import signal
import threading
from collections.abc import Collection, Iterator
from pathlib import Path
from typing import Any

import pytest

from springspread.faults.observer import call_starts, mixtures
from springspread.fleet.control_client import OrderRefused
from springspread.fleet.daemon import Daemon
from springspread.fleet.plan import read_fleet
from tests.fleet.test_allocator_server import NullLog
from tests.fleet.test_daemon import DaemonHarness
from tests.peer import until

TIMES = "[policy_times]\nlease_ms = 1500.0\n"


class Fleet(DaemonHarness):
    """Three instances under load, their logs at debug."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.load_stopped = threading.Event()
        self.accepted: list[str] = []
        until(lambda: len(self.serving()) == 3, "three serve")
        self.load_threads = [
            threading.Thread(target=self.submit_messages, args=(n,), daemon=True) for n in range(3)
        ]
        for thread in self.load_threads:
            thread.start()

    def submit_messages(self, number: int) -> None:
        count = 0
        while not self.load_stopped.wait(0.03):
            count += 1
            id = f"m{number}-{count}"
            try:
                if self.submit(f"n{number:03}", id) in (200, 202):
                    self.accepted.append(id)
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue  # killed, frozen or not yet back

    def propose(self, within: float = 8.0, **settings: Any) -> dict[str, Any]:
        base = json.loads((self.folder / "sender.json").read_text())
        for key, value in settings.items():
            old = base["settings"].get(key)
            base["settings"][key] = {**old, **value} if isinstance(old, dict) else value
        (self.folder / "sender.json").write_text(json.dumps(base))
        return self.daemon.propose(read_fleet(self.file).policy(base).text, within)

    def status(self) -> dict[str, Any]:
        return self.daemon.order({"do": "policy"})

    def all_act_under(self, version: int) -> bool:
        states = self.status()["instances"].values()
        return all(state == {"version": version, "state": "acting"} for state in states)

    def acted_under(self, version: int) -> set[str]:
        return {call.instance for call in call_starts(self.daemon.folder) if call.policy == version}

    def finish(self, blocked: Collection[str] = ()) -> None:
        """Stop the load, and wait until every accepted message has been delivered.

        ``blocked``: the instances that could not call. They may also report messages as undeliverable to the
        platform, for lack of room or time.
        """
        self.load_stopped.set()
        for thread in self.load_threads:
            thread.join(10.0)
        numbers = {int(name[1:]) for name in blocked}
        reportable = {id for id in self.accepted if int(id[1 : id.index("-")]) in numbers}

        def undelivered() -> set[str]:
            reported = {notice["id"] for notice in self.peer.notices}
            return set(self.accepted) - set(self.peer.ids()) - (reported & reportable)

        until(lambda: not undelivered(), "each message is delivered or reported")


@pytest.fixture
def fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    monkeypatch.setenv("RELAY_LOG_LEVEL", "debug")
    monkeypatch.setattr(
        "tests.fleet.test_daemon.TOML", f'folder = "fleet"\nconfig = "sender.json"\ninstances = 3\n{TIMES}'
    )
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.load_stopped.set()
    fleet.peer.answer_calls.set()
    for row in fleet.rows().values():
        if row["pid"]:
            os.kill(row["pid"], signal.SIGKILL)
    fleet.daemon.stop()
    fleet.peer.close()


def calls_out(number: int) -> dict[str, Any]:
    return {"specifics": {"callsOut": number}}


def test_policy_comes_into_force_everywhere_at_one_moment(fleet: Fleet) -> None:
    assert fleet.propose(**calls_out(7)) == {"state": "in force", "version": 2, "fault": ""}
    until(lambda: len(fleet.acted_under(2)) == 3, "all act under it")
    fleet.finish()
    calls = call_starts(fleet.daemon.folder)
    assert {call.policy for call in calls} == {1, 2} and mixtures(calls) == []
    assert fleet.propose(**calls_out(7))["version"] == 2  # proposing it again returns the same number
    with pytest.raises(OrderRefused, match="no policy 9 on record; there are 1, 2"):
        fleet.daemon.order({"do": "text", "version": 9})


def test_policy_that_one_instance_cannot_use_is_refused(fleet: Fleet) -> None:
    fleet.peer.answer_calls.clear()  # a message of class pay is pending in n000
    until(lambda: fleet.submit("n000", "paid", "pay") in (200, 202), "it is accepted")
    base = json.loads((fleet.folder / "sender.json").read_text())
    rest = [spec for spec in base["settings"]["classes"] if spec["name"] != "pay"]
    raw = {**base, "settings": {**base["settings"], "classes": rest}}
    order = {"do": "check", "policy": read_fleet(fleet.file).policy(raw).text}
    checked = fleet.daemon.order(order)
    assert not checked["usable"] and checked["silent"] == [] and list(checked["refuse"]) == ["n000"]
    assert checked["refuse"]["n000"].startswith("settings.classes: pay: messages of it are pending here")
    answer = fleet.propose(classes=rest)
    assert answer["state"] == "refused" and answer["version"] == 2
    assert answer["fault"].startswith("n000: settings.classes: pay: messages of it are pending here")
    assert fleet.propose(kinds=["other"])["fault"].startswith("settings.kinds: is read only at start-up")
    fleet.peer.answer_calls.set()
    until(lambda: fleet.all_act_under(1), "all still act under policy 1")
    fleet.finish()
    assert {call.policy for call in call_starts(fleet.daemon.folder)} == {1}


def test_frozen_and_killed_instances_do_not_block_a_change(fleet: Fleet) -> None:
    rows = fleet.rows()
    os.kill(rows["n001"]["pid"], signal.SIGSTOP)
    os.kill(rows["n002"]["pid"], signal.SIGKILL)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    assert fleet.propose(**calls_out(8))["state"] == "in force"
    os.kill(rows["n001"]["pid"], signal.SIGCONT)
    until(lambda: len(fleet.acted_under(3)) == 3, "all act under the latest")
    fleet.finish({"n001", "n002"})
    calls = call_starts(fleet.daemon.folder)
    assert mixtures(calls) == [] and "n001" not in fleet.acted_under(2)


def test_next_daemon_refuses_a_proposal_without_a_decision(fleet: Fleet) -> None:
    os.kill(fleet.rows()["n001"]["pid"], signal.SIGSTOP)  # so that the vote waits for its timeout
    answer = fleet.propose(within=0.1, **calls_out(7))
    assert answer["state"] == "pending" and "n001" in answer["fault"]
    frozen = fleet.rows()["n001"]["pid"]
    fleet.daemon.detach()
    fleet.daemon = Daemon(read_fleet(fleet.file), NullLog())
    assert fleet.daemon.order({"do": "outcome", "version": 2})["state"] == "refused"
    os.kill(frozen, signal.SIGCONT)
    until(lambda: fleet.all_act_under(1), "all still act under policy 1")
    assert fleet.propose(**calls_out(9)) == {"state": "in force", "version": 3, "fault": ""}
    until(lambda: len(fleet.acted_under(3)) == 3, "all act under the next")
    fleet.finish({"n000", "n001", "n002"})
    assert mixtures(call_starts(fleet.daemon.folder)) == [] and fleet.acted_under(2) == set()


def test_concurrent_proposals_never_interleave(fleet: Fleet) -> None:
    base = json.loads((fleet.folder / "sender.json").read_text())
    texts = []
    for slots in (7, 8):
        base["settings"]["specifics"] |= calls_out(slots)["specifics"]
        texts.append(read_fleet(fleet.file).policy(base).text)
    answers: list[dict[str, Any]] = []
    threads = [
        threading.Thread(target=lambda text=text: answers.append(fleet.daemon.propose(text, 8.0)))
        for text in texts
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(one["state"] for one in answers) == ["in force", "refused"]
    assert "one change at a time" in next(one["fault"] for one in answers if one["state"] == "refused")
    fleet.finish()
    assert mixtures(call_starts(fleet.daemon.folder)) == []


def test_older_copy_of_the_record_is_refused(fleet: Fleet) -> None:
    log = fleet.daemon.folder / "policy" / "log"
    old = log.read_bytes()
    fleet.propose(**calls_out(7))
    before = fleet.rows()["n000"]
    os.kill(before["pid"], signal.SIGKILL)
    until(lambda: fleet.rows()["n000"]["epoch"] > before["epoch"], "n000 starts under 2")
    fleet.finish()
    new = log.read_bytes()
    fleet.daemon.detach()
    log.write_bytes(old)
    with pytest.raises(OrderRefused, match="an older copy was restored: its record ends at policy 1"):
        Daemon(read_fleet(fleet.file), NullLog())
    log.write_bytes(new[:40] + b"x" + new[41:])
    with pytest.raises(OrderRefused, match="line 1 is damaged"):
        Daemon(read_fleet(fleet.file), NullLog())
    log.write_bytes(new + b"torn")
    fleet.daemon = Daemon(read_fleet(fleet.file), NullLog())
    until(lambda: fleet.all_act_under(2), "all act under the last policy on record")


def test_policy_changes_during_scaling_rolling_and_a_death(fleet: Fleet) -> None:
    order = fleet.daemon.order
    order({"do": "scale", "count": 4})
    order({"do": "roll"})
    os.kill(fleet.rows()["n002"]["pid"], signal.SIGKILL)
    epochs = {name: row["epoch"] for name, row in fleet.rows().items()}
    assert fleet.propose(**calls_out(7)) == {"state": "in force", "version": 2, "fault": ""}
    assert fleet.propose(**calls_out(8))["state"] == "in force"
    until(lambda: len(fleet.rows()) == 4 and fleet.all_act_under(3), "four act under the latest")
    until(
        lambda: all(fleet.rows()[name]["epoch"] > epochs[name] for name in ("n000", "n001")),
        "the roll has restarted both",
    )
    until(lambda: fleet.all_act_under(3), "all act under it after the roll")
    fleet.finish()
    assert mixtures(call_starts(fleet.daemon.folder)) == []


def test_instance_with_a_full_disk_does_not_block_a_change(fleet: Fleet) -> None:
    """It accepts no messages, and either follows the policy or begins no calls."""
    pid = fleet.rows()["n001"]["pid"]
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, 0))
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    until(lambda: fleet.acted_under(2) >= {"n000", "n002"}, "the others act under it")
    until(lambda: fleet.status()["instances"]["n001"]["version"] in (0, 2), "it holds or acts under it")
    os.kill(pid, signal.SIGKILL)  # the limit ends with the process
    until(lambda: len(fleet.acted_under(2)) == 3, "all act under it")
    fleet.finish()
    assert mixtures(call_starts(fleet.daemon.folder)) == []
