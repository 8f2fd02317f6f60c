"""Durability settings: group commit, and power losses of the real program that drop unsynced data."""

from __future__ import annotations

import os
import signal
import threading
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from springspread import config
from springspread.config import ConfigError, Durability
from springspread.core.commit import GroupCommit
from springspread.core.journal import Journal
from springspread.faults.power import BufferedFiles
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_config import make
from tests.test_journal_repair import message

LOSES_UNSYNCED = "springspread.faults.power"


class Disk:
    """Holds syncs until ``go``; a sync covers what was written when it began."""

    def __init__(self) -> None:
        self.written = self.kept = 0
        self.begun, self.go = threading.Event(), threading.Event()

    def sync(self) -> None:
        upto = self.written
        self.begun.set()
        assert self.go.wait(WAIT_S)
        self.kept = upto


def test_writers_share_a_sync_and_none_returns_before_its_data_is_synced() -> None:
    disk, kept = Disk(), list[bool]()
    commit = GroupCommit(disk.sync)

    def write() -> None:
        disk.written += 1
        mine = disk.written
        commit.note_write()
        commit.wait_synced()
        kept.append(disk.kept >= mine)

    first = threading.Thread(target=write)
    first.start()
    assert disk.begun.wait(WAIT_S)  # the others write too late for this sync
    others = [threading.Thread(target=write) for _ in range(20)]
    for other in others:
        other.start()
        until(lambda: disk.written == 1 + len([one for one in others if one.ident]), "it has written")
    assert not kept
    disk.go.set()
    for thread in (first, *others):
        thread.join(WAIT_S)
    assert kept == [True] * 21 and 2 <= commit.syncs <= 4


def test_failed_sync_is_final() -> None:
    fails = [True]

    def sync() -> None:
        if fails:
            raise OSError(5, "Input/output error")

    commit = GroupCommit(sync)
    for _ in range(2):
        commit.note_write()
        with pytest.raises(OSError, match="Input/output error"):
            commit.wait_synced()
        fails.clear()


def test_journal_refuses_messages_after_a_failed_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, 3 << 20, durable=True)
    journal.record_taken(message(1))
    journal.wait_synced()

    def broken(file: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fdatasync", broken)
    journal.record_taken(message(2))
    with pytest.raises(OSError):
        journal.wait_synced()
    monkeypatch.undo()
    with pytest.raises(OSError):
        journal.record_taken(message(3))
    assert sorted(Journal(tmp_path, 3 << 20, read_only=True).pending) == [1, 2]


def test_unknown_durability_is_refused(tmp_path: Path) -> None:
    assert config.read(make(tmp_path), {}).durability is Durability.PROCESS
    with pytest.raises(ConfigError, match="durability: must be one of process, power: 'disk'"):
        config.read(make(tmp_path, durability="disk"), {})


def run_after_power_loss(
    folder: Path, peer: Peer, durability: str, before: Callable[[Program], None]
) -> Program:
    """Start the program, run ``before``, lose power, and start it again."""
    program = Program(folder, peer, module=LOSES_UNSYNCED, durability=durability)
    before(program)
    program.end(signal.SIGKILL)
    peer.calls.clear()
    peer.answer_calls.set()
    program.start()
    return program


@pytest.mark.parametrize("durability", ["power", "process"])
def test_messages_answered_202_survive_a_power_loss(tmp_path: Path, peer: Peer, durability: str) -> None:
    peer.answer_calls.clear()
    ids = [f"m{n}" for n in range(12)]

    def hand_in(program: Program) -> None:
        assert [program.hand_in(id, left=8000) for id in ids] == [202] * 12

    program = run_after_power_loss(tmp_path, peer, durability, hand_in)
    if durability == "power":
        until(lambda: set(ids) <= set(peer.ids()), "all are delivered")
    else:  # nothing was synced, so the messages are lost
        assert program.hand_in("after") == 202
        until(lambda: "after" in peer.ids(), "it serves")
        assert set(ids).isdisjoint(peer.ids())
    program.process.kill()
    program.process.wait(WAIT_S)


@pytest.mark.parametrize("durability", ["power", "process"])
def test_unsafe_call_in_flight_at_a_power_loss_is_not_repeated(
    tmp_path: Path, peer: Peer, durability: str
) -> None:
    peer.answer_calls.clear()

    def call(program: Program) -> None:
        assert program.hand_in("paid", "pay", left=8000) == 202
        until(lambda: peer.ids() == ["paid"], "the call is in flight")

    program = run_after_power_loss(tmp_path, peer, durability, call)
    if durability == "power":
        until(lambda: {"id": "paid", "status": "undeliverable"} in peer.notices, "its end is reported")
    assert program.hand_in("after") == 202
    until(lambda: "after" in peer.ids(), "it serves")
    assert "paid" not in peer.ids()
    assert bool(peer.notices) == (durability == "power")  # otherwise it is lost
    program.process.kill()
    program.process.wait(WAIT_S)


def test_partial_write_back_keeps_its_place(tmp_path: Path) -> None:
    for seed in range(40):
        place = tmp_path / str(seed)
        place.mkdir()
        files = BufferedFiles(place, Random(seed))
        journal = Journal(place, 1 << 20, durable=True, files=files)
        for n in range(1, 60):
            journal.record_taken(message(n))
            if n == 20:
                journal.wait_synced()
        lost = Journal(place, 1 << 20, read_only=True)  # what remains after a power loss
        assert set(range(1, 21)) <= set(lost.pending) <= set(range(1, 60))
        journal.wait_synced()
        kept = Journal(place, 1 << 20, read_only=True)
        assert set(kept.pending) == set(range(1, 60)) and not kept.damaged
