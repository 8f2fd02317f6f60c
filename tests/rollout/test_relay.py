"""A change of policy while lines between the processes are lost, held, doubled, replayed or cut."""

from __future__ import annotations

import os
import signal
from collections.abc import Collection, Iterator
from pathlib import Path

import pytest

from springspread.faults.daemon import RelayedDaemon, relay_path
from springspread.faults.observer import begun, mixtures
from springspread.faults.relay import Fault, Relay, Way
from springspread.fleet.plan import read_fleet
from tests.fleet.test_allocator_server import NullLog
from tests.peer import until
from tests.rollout.test_fleet import TIMES, Fleet, calls_out


class Relayed(Fleet):
    """The same fleet, each instance behind a relay."""

    relays: dict[str, Relay]


@pytest.fixture
def fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Relayed]:
    folder = tmp_path / "fleet"
    folder.mkdir()
    names = [f"n{n:03}" for n in range(3)]
    relays = {name: Relay(relay_path(folder, name), folder / "allot") for name in names}
    monkeypatch.setenv("RELAY_LOG_LEVEL", "debug")
    head = 'folder = "fleet"\nconfig = "sender.json"\ninstances = 3\n'
    monkeypatch.setattr("tests.fleet.test_daemon.TOML", head + TIMES)
    monkeypatch.setattr("tests.fleet.test_daemon.Daemon", RelayedDaemon)
    fleet = Relayed(tmp_path)
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


def others_act_under(fleet: Relayed, version: int) -> None:
    """Two instances act under a version, for long enough that a call under the earlier one would show."""

    def calls() -> int:
        return sum(call.policy == version for call in begun(fleet.daemon.folder))

    until(lambda: len(fleet.acted_under(version)) == 2 and calls() >= 10, "the two others act under it")


def settled_under(fleet: Relayed, version: int, held: Collection[str] = ()) -> None:
    until(lambda: len(fleet.acted_under(version)) == 3, f"all act under {version}")
    fleet.settle(held)
    assert mixtures(begun(fleet.daemon.folder)) == []


def test_one_that_is_cut_off_acts_to_the_end_of_its_right_and_is_waited_for(fleet: Relayed) -> None:
    fleet.relays["n001"].put(Fault.LOSE)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    others_act_under(fleet, 2)
    fleet.relays["n001"].cut(away=False)
    fleet.relays["n001"].heal()
    settled_under(fleet, 2, {"n001"})


def test_one_that_votes_yes_and_never_receives_the_decision_holds(fleet: Relayed) -> None:
    relay = fleet.relays["n001"]
    relay.seen = lambda way, line: relay.put(Fault.LOSE, Way.DOWN) if b'"vote"' in line else None
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    others_act_under(fleet, 2)
    relay.seen = lambda way, line: None
    relay.cut(away=False)
    relay.heal()
    settled_under(fleet, 2, {"n001"})


def test_grants_replayed_after_two_further_changes_give_no_right(fleet: Relayed) -> None:
    for relay in fleet.relays.values():
        relay.put(Fault.DOUBLE)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    assert fleet.propose(**calls_out(8))["state"] == "in force"
    assert all(relay.replay() >= 6 for relay in fleet.relays.values())
    settled_under(fleet, 3)


def test_lines_held_back_until_after_the_decision_come_too_late_to_matter(fleet: Relayed) -> None:
    fleet.relays["n002"].put(Fault.HOLD)
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    others_act_under(fleet, 2)
    fleet.relays["n002"].heal()
    settled_under(fleet, 2, {"n002"})


def test_a_daemon_that_dies_is_followed_by_one_that_waits_for_rights_it_never_gave(fleet: Relayed) -> None:
    fleet.relays["n001"].put(Fault.LOSE)  # it acts on what the first daemon granted
    fleet.daemon.detach()
    fleet.daemon = RelayedDaemon(read_fleet(fleet.file), NullLog())
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    others_act_under(fleet, 2)
    fleet.relays["n001"].cut(away=False)
    fleet.relays["n001"].heal()
    settled_under(fleet, 2, {"n001"})


@pytest.mark.parametrize(("way", "line"), [(Way.UP, b'"vote"'), (Way.DOWN, b'"grant"')])
def test_one_that_dies_after_its_yes_or_as_it_receives_the_decision(
    fleet: Relayed, way: Way, line: bytes
) -> None:
    pid, relay = fleet.rows()["n001"]["pid"], fleet.relays["n001"]
    met: list[bytes] = []

    def dies(direction: Way, data: bytes) -> None:
        if not met and direction is way and line in data and (way is Way.UP or b'"version":2' in data):
            met.append(data)
            os.kill(pid, signal.SIGKILL)

    relay.seen = dies
    assert fleet.propose(**calls_out(7))["state"] == "in force"
    assert met
    settled_under(fleet, 2, {"n001"})


def test_all_die_with_the_decision_on_record_and_sent_to_nobody(fleet: Relayed) -> None:
    for relay in fleet.relays.values():
        relay.put(Fault.LOSE, Way.DOWN)
    assert fleet.propose(within=0.1, **calls_out(7))["state"] == "pending"
    until(lambda: fleet.daemon.order({"do": "outcome", "version": 2})["state"] == "decided", "it is decided")
    pids = [row["pid"] for row in fleet.rows().values()]
    fleet.daemon.detach()
    for pid in pids:
        os.kill(pid, signal.SIGKILL)
    for relay in fleet.relays.values():
        relay.cut(away=False)
        relay.heal()
    fleet.daemon = RelayedDaemon(read_fleet(fleet.file), NullLog())
    assert fleet.propose(**calls_out(7)) == {"state": "in force", "version": 2, "fault": ""}
    settled_under(fleet, 2, fleet.relays)
    assert fleet.daemon.order({"do": "outcome", "version": 2})["state"] == "in force"
