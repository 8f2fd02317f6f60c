"""Durability by choice: shared syncs, and power losses of the real program, in which the unsynced is lost."""

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
from springspread.core.commit import Commit
from springspread.core.journal import Journal
from springspread.faults.power import HeldBack
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_config import make
from tests.test_salvage import owed

HELD_BACK = "springspread.faults.power"


class Disk:
    """Syncs when it is told to; what is on it is what was written when the sync began."""

    def __init__(self) -> None:
        self.written = self.kept = 0
        self.begun, self.go = threading.Event(), threading.Event()

    def sync(self) -> None:
        upto = self.written
        self.begun.set()
        assert self.go.wait(WAIT_S)
        self.kept = upto


def test_many_share_a_sync_and_none_returns_before_its_own_is_kept() -> None:
    disk, kept = Disk(), list[bool]()
    commit = Commit(disk.sync)

    def write() -> None:
        disk.written += 1
        mine = disk.written
        commit.wrote()
        commit.settle()
        kept.append(disk.kept >= mine)

    first = threading.Thread(target=write)
    first.start()
    assert disk.begun.wait(WAIT_S)  # it syncs, and the others come too late for that
    others = [threading.Thread(target=write) for _ in range(20)]
    for other in others:
        other.start()
        until(lambda: disk.written == 1 + len([one for one in others if one.ident]), "it has written")
    assert not kept
    disk.go.set()
    for thread in (first, *others):
        thread.join(WAIT_S)
    assert kept == [True] * 21 and 2 <= commit.syncs <= 4


def test_a_sync_that_failed_is_never_made_good() -> None:
    fails = [True]

    def sync() -> None:
        if fails:
            raise OSError(5, "Input/output error")

    commit = Commit(sync)
    for _ in range(2):
        commit.wrote()
        with pytest.raises(OSError, match="Input/output error"):
            commit.settle()
        fails.clear()


def test_a_journal_whose_disk_failed_takes_nothing_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, 3 << 20, durable=True)
    journal.taken(owed(1))
    journal.settle()

    def broken(file: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fdatasync", broken)
    journal.taken(owed(2))
    with pytest.raises(OSError):
        journal.settle()
    monkeypatch.undo()
    with pytest.raises(OSError):
        journal.taken(owed(3))
    assert sorted(Journal(tmp_path, 3 << 20, read_only=True).owed) == [1, 2]


def test_other_words_are_refused(tmp_path: Path) -> None:
    assert config.read(make(tmp_path), {}).durability is Durability.PROCESS
    with pytest.raises(ConfigError, match="durability: must be one of process, power: 'disk'"):
        config.read(make(tmp_path, durability="disk"), {})


def power_lost(folder: Path, peer: Peer, durability: str, before: Callable[[Program], None]) -> Program:
    """Run, lose power after ``before``, and run again."""
    program = Program(folder, peer, module=HELD_BACK, durability=durability)
    before(program)
    program.end(signal.SIGKILL)
    peer.calls.clear()
    peer.answer_calls.set()
    program.start()
    return program


@pytest.mark.parametrize("durability", ["power", "process"])
def test_what_was_answered_202_outlasts_a_power_loss(tmp_path: Path, peer: Peer, durability: str) -> None:
    peer.answer_calls.clear()
    ids = [f"m{n}" for n in range(12)]

    def hand_in(program: Program) -> None:
        assert [program.hand_in(id, left=8000) for id in ids] == [202] * 12

    program = power_lost(tmp_path, peer, durability, hand_in)
    if durability == "power":
        until(lambda: set(ids) <= set(peer.ids()), "all are delivered")
    else:  # the rig finds what it should: nothing was synced
        assert program.hand_in("after") == 202
        until(lambda: "after" in peer.ids(), "it serves")
        assert set(ids).isdisjoint(peer.ids())
    program.process.kill()
    program.process.wait(WAIT_S)


@pytest.mark.parametrize("durability", ["power", "process"])
def test_an_unsafe_call_that_was_out_is_not_made_again(tmp_path: Path, peer: Peer, durability: str) -> None:
    peer.answer_calls.clear()

    def call(program: Program) -> None:
        assert program.hand_in("paid", "pay", left=8000) == 202
        until(lambda: peer.ids() == ["paid"], "the call is out")

    program = power_lost(tmp_path, peer, durability, call)
    if durability == "power":
        until(lambda: {"id": "paid", "status": "undeliverable"} in peer.notices, "its end is told")
    assert program.hand_in("after") == 202
    until(lambda: "after" in peer.ids(), "it serves")
    assert "paid" not in peer.ids()
    assert bool(peer.notices) == (durability == "power")  # else nobody knows of it any more
    program.process.kill()
    program.process.wait(WAIT_S)


def test_what_the_system_writes_back_by_itself_stands_where_it_belongs(tmp_path: Path) -> None:
    for seed in range(40):
        place = tmp_path / str(seed)
        place.mkdir()
        files = HeldBack(place, Random(seed))
        book = Journal(place, 1 << 20, durable=True, files=files)
        for n in range(1, 60):
            book.taken(owed(n))
            if n == 20:
                book.settle()
        lost = Journal(place, 1 << 20, read_only=True)  # what a power loss leaves
        assert set(range(1, 21)) <= set(lost.owed) <= set(range(1, 60))
        book.settle()
        kept = Journal(place, 1 << 20, read_only=True)
        assert set(kept.owed) == set(range(1, 60)) and not kept.damaged
