"""The client's Idempotency-Key on every call of its message, with the whole program over sockets."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from tests.peer import Peer, Program, until

KEYED = {
    "name": "report",
    "objectiveMs": 2500,
    "deadlineMs": 20000,
    "effect": "by_key",
    "dedupScope": "zone",
    "memorySpanMs": 20000,
    "points": 1,
}


class KeyedProgram(Program):
    """The sender with a class whose repeats are known by their key."""

    def start(self) -> None:
        raw = json.loads(self.file.read_text())
        if KEYED not in raw["settings"]["classes"]:
            raw["settings"]["classes"].append(KEYED)
            self.file.write_text(json.dumps(raw))
        super().start()


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return KeyedProgram(tmp_path, peer)


# Guards against a report that an endpoint applies twice, as its repeat does not carry the client's key.
def test_a_repeat_after_a_failed_call_carries_the_key_of_the_first(program: Program, peer: Peer) -> None:
    peer.answers = [(500, {}), (500, {})]
    assert program.hand_in("a", "report", extra={"Idempotency-Key": "key-a"}) == 202
    until(lambda: len(peer.keys) == 3, "two repeats")
    assert peer.keys == [("a", "key-a")] * 3


# Guards against a key that is lost with the process that took the message on.
def test_a_restarted_sender_sends_the_key_that_is_on_record(program: Program, peer: Peer) -> None:
    peer.answers = [(429, {"Retry-After": "30"})]
    assert program.hand_in("a", "report", left=20_000, extra={"Idempotency-Key": "key-a"}) == 202
    until(lambda: len(peer.keys) == 1, "the rejected call")
    program.end(signal.SIGKILL)
    program.start()  # a restart ends the wait
    until(lambda: len(peer.keys) == 2, "the call of the next process")
    assert peer.keys == [("a", "key-a")] * 2


# Guards against a message of another key that is answered as if it were the one on record.
def test_the_same_id_with_another_key_is_a_conflict(program: Program, peer: Peer) -> None:
    peer.answers = [(429, {"Retry-After": "30"})]
    first, second = {"Idempotency-Key": "key-a"}, {"Idempotency-Key": "key-b"}
    assert program.hand_in("a", "report", extra=first) == 202
    assert program.hand_in("a", "report", extra=first) == 202
    assert program.hand_in("a", "report", extra=second) == 409
