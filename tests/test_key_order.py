"""Messages of one ordering key go one at a time and in the order in which they were accepted."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from springspread import Dispatcher
from springspread import interface as i
from springspread.core import types as t
from tests.peer import Peer, Program, until
from tests.test_config import SETTINGS
from tests.test_core import Rig, member

COUNT = 4
CHARGE = {
    "name": "charge",
    "objectiveMs": 4000,
    "deadlineMs": 24000,
    "effect": "once",
    "inTurn": True,
    "points": 4,
}


class OrderedProgram(Program):
    """The sender with a class that keeps the order of each key."""

    def start(self) -> None:
        raw = json.loads(self.file.read_text())
        if CHARGE not in raw["settings"]["classes"]:
            raw["settings"]["classes"].append(CHARGE)
            self.file.write_text(json.dumps(raw))
        super().start()

    def charge(self, id: str, key: str) -> int:
        return self.hand_in(id, "charge", left=24_000, extra={"X-Session-Key": key})


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return OrderedProgram(tmp_path, peer)


# Guards against charges of one account that overtake each other, and against an account that holds up others.
def test_messages_of_a_key_wait_for_the_one_before_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(SETTINGS["classes"][1], "inTurn", True)
    rig = Rig(tmp_path)
    rig.restore(*(member(n) for n in range(1, COUNT + 1)))
    accounts = {"a-0": "a", "a-1": "a", "a-2": "a", "b-0": "b", "free": ""}
    for id, account in accounts.items():
        rig.sender.step([t.Message(id, "pay", 7, t.clock() + 8000.0, b"", ordering_key=account)])
    rig.settle(3)
    calls = {call.attempts[0].id: call for call in rig.drivers.calls}
    assert sorted(calls) == ["a-0", "b-0", "free"]
    rig.end(calls["a-0"], t.Result.DELIVERED)
    rig.settle(4)
    assert rig.drivers.calls[3].attempts[0].id == "a-1"
    rig.end(rig.drivers.calls[3], t.Result.DELIVERED)
    rig.settle(5)
    assert rig.drivers.calls[4].attempts[0].id == "a-2"


# Guards against a charge that is sent while the one before it is not over: its notice is not answered yet.
def test_next_message_of_a_key_waits_until_the_notice_of_the_one_before_it_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(SETTINGS["classes"][1], "inTurn", True)
    rig = Rig(tmp_path)
    rig.restore(*(member(n) for n in range(1, COUNT + 1)))
    for id in ("a-0", "a-1"):
        rig.sender.step([t.Message(id, "pay", 7, t.clock() + 8000.0, b"", ordering_key="a")])
    rig.settle(1)
    rig.end(rig.drivers.calls[0], t.Result.BROKEN)
    (notice,) = rig.drivers.notices
    rig.settle(2)  # gives up after a while, as there is no second call
    assert len(rig.drivers.calls) == 1
    rig.sender.step([t.NoticesDelivered((notice.number,))])
    rig.settle(2)
    assert rig.drivers.calls[1].attempts[0].id == "a-1"


# Guards against memory that grows by each key whose last message may still have been running at its end.
def test_keys_of_finished_messages_are_forgotten_after_their_rest() -> None:
    charge = i.ClassSpec("charge", 1000.0, 8000.0, 1.0, 0.1, i.Effect.UNSAFE, in_order=True)
    rules = i.Rules(order_settle_ms=100.0)
    settings = i.Settings((charge,), (i.KindSpec("dealer"),), slots=20, max_held=200, rules=rules)
    module = Dispatcher(settings, seed=7)
    module.handle(
        0.0, [i.Listed(i.ListScope.WHOLE, 1, (i.RouteEntry(1, 0, 0, 3, i.RouteState.READY, 100.0),))]
    )
    (send,) = [a for a in module.handle(1.0, [i.Taken(1, 3, 0, 8000.0, key=5)]) if isinstance(a, i.Send)]
    module.handle(2.0, [i.Ended(1, 0, send.route, i.Outcome.RESET, 1.0, False)])
    assert not module.pending
    module.handle(60_000.0, [])
    assert not module.key_queues


# Guards against an order that is lost with the process.
def test_the_order_of_a_key_outlasts_the_process(program: OrderedProgram, peer: Peer) -> None:
    peer.answers = [(429, {"Retry-After": "30"})]
    for n in range(COUNT):
        assert program.charge(f"a-{n}", "account a") == 202
    until(lambda: len(peer.calls) == 1, "the rejected call")
    program.end(signal.SIGKILL)
    program.start()  # a restart ends the wait
    until(lambda: len(peer.calls) == COUNT + 1, "all calls")
    assert peer.ids()[1:] == [f"a-{n}" for n in range(COUNT)]
