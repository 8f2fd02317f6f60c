"""Policy changes while lines between the processes are lost, delayed, duplicated, replayed or cut."""

from __future__ import annotations

import os
import signal
from collections.abc import Collection, Iterator
from pathlib import Path

import pytest

from springspread.faults.daemon import RelayedDaemon, relay_path
from springspread.faults.observer import call_starts, mixtures
from springspread.faults.relay import Direction, Fault, Relay
from springspread.fleet.plan import read_fleet
from tests.fleet.test_allocator_server import NullLog
from tests.peer import until
from tests.rollout.test_fleet import TIMES, Fleet, calls_out


class RelayedFleet(Fleet):
    """A fleet with each instance behind a relay."""

    relays: dict[str, Relay]


@pytest.fixture
def fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[RelayedFleet]:
    folder = tmp_path / "fleet"
    folder.mkdir()
    names = [f"n{n:03}" for n in range(3)]
    relays = {name: Relay(relay_path(folder, name), folder / "allot") for name in names}
    monkeypatch.setenv("RELAY_LOG_LEVEL", "debug")
    head = 'folder = "fleet"\nconfig = "sender.json"\ninstances = 3\n'
    monkeypatch.setattr("tests.fleet.test_daemon.TOML", head + TIMES)
    monkeypatch.setattr("tests.fleet.test_daemon.Daemon", RelayedDaemon)
    fleet = RelayedFleet(tmp_path)
    fleet.relays = relays
    yield fleet
    fleet.load_stopped.set()
    for relay in relays.values():
        relay.close()
    for row in fleet.rows().values():
        if row["pid"]:
            os.kill(row["pid"], signal.SIGKILL)
    fleet.daemon.stop()
    fleet.peer.close()


def wait_for_others_under(fleet: RelayedFleet, version: int) -> None:
    """Wait until two instances have begun enough calls under a version to show one under an earlier one."""

    def calls() -> int:
        return sum(call.policy == version for call in call_starts(fleet.daemon.folder))

    until(lambda: len(fleet.acted_under(version)) == 2 and calls() >= 10, "the two others act under it")


def finish_under(fleet: RelayedFleet, version: int, blocked: Collection[str] = ()) -> None:
    until(lambda: len(fleet.acted_under(version)) == 3, f"all act under {version}")
    fleet.finish(blocked)
    assert mixtures(call_starts(fleet.daemon.folder)) == []


def test_change_waits_for_the_grant_of_an_instance_that_is_cut_off(fleet: RelayedFleet) -> None:
    fleet.relays["n001"].set_fault(Fault.LOSE)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    wait_for_others_under(fleet, 2)
    fleet.relays["n001"].cut(refuse_new=False)
    fleet.relays["n001"].heal()
    finish_under(fleet, 2, {"n001"})


def test_instance_that_misses_the_decision_after_its_yes_holds(fleet: RelayedFleet) -> None:
    relay = fleet.relays["n001"]
    relay.line_listener = lambda way, line: (
        relay.set_fault(Fault.LOSE, Direction.DOWN) if b'"vote"' in line else None
    )
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    wait_for_others_under(fleet, 2)
    relay.line_listener = lambda way, line: None
    relay.cut(refuse_new=False)
    relay.heal()
    finish_under(fleet, 2, {"n001"})


def test_replayed_grants_are_ignored(fleet: RelayedFleet) -> None:
    for relay in fleet.relays.values():
        relay.set_fault(Fault.DOUBLE)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    assert fleet.propose(**calls_out(8))["state"] == "in force"
    assert all(relay.replay() >= 6 for relay in fleet.relays.values())
    finish_under(fleet, 3)


def test_delayed_lines_have_no_effect_after_the_decision(fleet: RelayedFleet) -> None:
    fleet.relays["n002"].set_fault(Fault.HOLD)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    wait_for_others_under(fleet, 2)
    fleet.relays["n002"].heal()
    finish_under(fleet, 2, {"n002"})


def test_next_daemon_waits_for_grants_of_its_predecessor(fleet: RelayedFleet) -> None:
    fleet.relays["n001"].set_fault(Fault.LOSE)  # it has only the first daemon's grants
    fleet.daemon.detach()
    fleet.daemon = RelayedDaemon(read_fleet(fleet.file), NullLog())
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    wait_for_others_under(fleet, 2)
    fleet.relays["n001"].cut(refuse_new=False)
    fleet.relays["n001"].heal()
    finish_under(fleet, 2, {"n001"})


@pytest.mark.parametrize(("way", "line"), [(Direction.UP, b'"vote"'), (Direction.DOWN, b'"grant"')])
def test_instance_dies_after_its_yes_or_at_the_decision(
    fleet: RelayedFleet, way: Direction, line: bytes
) -> None:
    pid, relay = fleet.rows()["n001"]["pid"], fleet.relays["n001"]
    matched: list[bytes] = []

    def kill_at(direction: Direction, data: bytes) -> None:
        if (
            not matched
            and direction is way
            and line in data
            and (way is Direction.UP or b'"version":2' in data)
        ):
            matched.append(data)
            os.kill(pid, signal.SIGKILL)

    relay.line_listener = kill_at
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    assert matched
    finish_under(fleet, 2, {"n001"})


def test_all_die_with_a_decision_on_record_that_reached_no_instance(fleet: RelayedFleet) -> None:
    for relay in fleet.relays.values():
        relay.set_fault(Fault.LOSE, Direction.DOWN)
    assert fleet.propose(within=0.1, **calls_out(7))["state"] == "pending"
    until(lambda: fleet.daemon.order({"do": "outcome", "version": 2})["state"] == "decided", "it is decided")
    pids = [row["pid"] for row in fleet.rows().values()]
    fleet.daemon.detach()
    for pid in pids:
        os.kill(pid, signal.SIGKILL)
    for relay in fleet.relays.values():
        relay.cut(refuse_new=False)
        relay.heal()
    fleet.daemon = RelayedDaemon(read_fleet(fleet.file), NullLog())
    assert fleet.propose(**calls_out(7)) == {"state": "in force", "version": 2, "fault": ""}
    finish_under(fleet, 2, fleet.relays)
    assert fleet.daemon.order({"do": "outcome", "version": 2})["state"] == "in force"
