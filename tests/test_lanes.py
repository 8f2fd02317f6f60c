"""Several processes of the program on one folder: an upgrade, a death in it, and one limit of the disk."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from springspread.core.board import FILE_BYTES, Board
from springspread.core.files import Files
from springspread.core.journal import Journal, JournalFull
from springspread.core.lanes import LANES, NUMBERS, Lanes, lane_folder, owed_in
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_config import make
from tests.test_salvage import owed

WAITS = (429, {"Retry-After": "0.3"})


@pytest.fixture
def both(tmp_path: Path, peer: Peer, ended: Callable[[Program], None]) -> tuple[Program, Program]:
    """Two processes on one folder, the older one first."""
    old, new = Program(tmp_path, peer), Program(tmp_path, peer)
    ended(old)
    ended(new)
    return old, new


def test_what_a_process_that_died_owed_goes_on_in_the_one_beside_it_once_each(
    both: tuple[Program, Program], peer: Peer
) -> None:
    old, new = both
    peer.answers = [WAITS] * 40
    ids = [f"old{n}" for n in range(6)]
    assert [old.hand_in(id) for id in ids] == [202] * 6
    assert new.hand_in("new") == 202
    old.end(signal.SIGKILL)
    until(lambda: any(line["event"] == "taken over" for line in new.log), "it took the other lane over")
    with peer.lock:
        turned_away = len(peer.calls)
        peer.answers.clear()
    until(lambda: not owed_in(new.state), "all are over")
    served = Peer.ids_of(peer.calls[turned_away:])
    assert Counter(served) == dict.fromkeys((*ids, "new"), 1) and not peer.notices


def test_a_message_that_a_process_beside_owes_is_not_taken_on_again(
    both: tuple[Program, Program], peer: Peer
) -> None:
    old, new = both
    peer.answer_calls.clear()
    assert old.hand_in("pay", cls="pay") == 202
    until(lambda: peer.ids() == ["pay"], "it is called")
    assert new.hand_in("pay", cls="pay") == 202  # owed already
    assert new.hand_in("pay", cls="pay", body=b"other") == 409
    old.end(signal.SIGKILL)  # while its call is out: it may have run
    until(lambda: [one["id"] for one in peer.notices] == ["pay"], "it is told as undeliverable")
    peer.answer_calls.set()
    assert peer.notices[0]["status"] != "deferred" and peer.ids() == ["pay"]


def test_one_that_dies_with_two_lanes_leaves_both_to_the_next(
    both: tuple[Program, Program], peer: Peer
) -> None:
    old, new = both
    peer.answers = [(429, {"Retry-After": "2"})] * 40
    first, second = [f"old{n}" for n in range(5)], [f"new{n}" for n in range(5)]
    assert {old.hand_in(id) for id in first} | {new.hand_in(id) for id in second} == {202}
    old.end(signal.SIGKILL)
    until(lambda: any(line["event"] == "taken over" for line in new.log), "it took the other lane over")
    new.end(signal.SIGKILL)
    assert {one.id for one in owed_in(new.state).values()} == {*first, *second}
    peer.answers.clear()
    new.start()
    until(lambda: {*first, *second} <= set(peer.ids()), "all are called")
    until(lambda: not owed_in(new.state), "all are over")
    assert not peer.notices


def test_an_orderly_upgrade_on_the_listening_socket_that_both_inherit_turns_nobody_away(
    tmp_path: Path, peer: Peer
) -> None:
    state, file = tmp_path / "state", tmp_path / "config.json"
    state.mkdir()
    listening = socket.create_server(("127.0.0.1", 0), backlog=128)
    port = listening.getsockname()[1]
    raw = make(state, discovery=f"127.0.0.1:{peer.port}", known=peer.members(), listen=f"127.0.0.1:{port}")
    file.write_text(json.dumps(raw))
    fd = listening.fileno()
    env = {**os.environ, "RELAY_CONFIG": str(file), "RELAY_FD": str(fd)}

    def begin() -> subprocess.Popen[str]:
        line = [sys.executable, "-m", "springspread"]
        process = subprocess.Popen(line, env=env, pass_fds=[fd], stderr=subprocess.PIPE, text=True)
        assert process.stderr is not None
        assert any('"ready"' in line for line in iter(process.stderr.readline, ""))
        threading.Thread(target=process.stderr.read, daemon=True).start()
        return process

    program = Program.__new__(Program)
    program.address = ("127.0.0.1", port)
    said: dict[str, int] = {}
    over = threading.Event()

    def clients() -> None:
        while not over.is_set():
            id = f"m{len(said)}"
            said[id] = program.hand_in(id)

    old = begin()
    thread = threading.Thread(target=clients)
    thread.start()
    new = begin()
    until(lambda: len(said) > 50, "both serve")
    old.send_signal(signal.SIGTERM)
    assert old.wait(WAIT_S) == 0
    count = len(said)
    until(lambda: len(said) > count + 50, "the new one serves")
    over.set()
    thread.join(WAIT_S)
    until(lambda: set(said) == set(peer.ids()), "all are delivered")
    new.kill()
    new.wait(WAIT_S)
    listening.close()
    assert set(said.values()) == {202} and set(Counter(peer.ids()).values()) == {1} and not peer.notices


def test_a_folder_with_no_lane_left_is_refused_by_name(tmp_path: Path, peer: Peer) -> None:
    program = Program(tmp_path, peer)
    for _ in range(LANES - 1):
        Lanes(program.state, 3_000_000, 8, 65536)
    env = {**os.environ, "RELAY_CONFIG": str(program.file)}
    done = subprocess.run([sys.executable, "-m", "springspread"], env=env, capture_output=True, text=True)
    assert done.returncode == 2 and f"state: {program.state}: {LANES} processes" in done.stderr
    program.end()


def test_lanes_keep_the_disks_limit_together_and_give_room_back(tmp_path: Path) -> None:
    disk = 1_000_000
    first = Lanes(tmp_path, disk, 8, 4096)
    fill(first, 1)
    second = Lanes(tmp_path, disk, 8, 4096)
    first.look(time.monotonic() * 1e6)
    fill(second, 1)
    fill(first, 500)  # it sees the other one, and takes no more than its half
    assert 0.4 * disk < sum(path.stat().st_size for path in tmp_path.rglob("journal.*")) <= disk
    for lanes in (first, second):
        for number in list(lanes.owed):
            lanes.over(number)
    os.close(second._locks.pop(1))  # as its process dies
    assert first.look(2e18) == [] and first.look(3e18) == [] and not first.beside
    assert not list(lane_folder(tmp_path, 1).glob("journal.*"))
    fill(first, 500)
    assert sum(path.stat().st_size for path in tmp_path.rglob("journal.*")) > 0.5 * disk


def fill(lanes: Lanes, number: int) -> None:
    while True:
        try:
            one = owed(lanes.last_number + 1)
            one.body = bytes(3000)
            lanes.taken(one)
        except JournalFull:
            return


def test_lanes_number_apart_and_read_each_other_through_files_that_are_cleared_away(tmp_path: Path) -> None:
    old, new = (Lanes(tmp_path, 400_000, 8, 4096) for _ in range(2))
    assert (old.last_number, new.last_number) == (0, NUMBERS)
    for number in range(1, 3000):
        one = owed(number)
        one.body = bytes(500)
        old.taken(one)
        assert new.elsewhere(one.id) is not None
        if number % 7:
            old.over(number)
            assert new.elsewhere(one.id) is None
        elif number > 70:
            old.over(number - 70)
    assert {one.id for one in old.owed.values()} == {
        one.id for one in Journal(tmp_path, 1 << 40, read_only=True).owed.values()
    }


def test_a_wait_that_one_process_was_told_binds_the_one_beside_it(
    both: tuple[Program, Program], peer: Peer
) -> None:
    old, new = both
    peer.answers = [(429, {"Retry-After": "1.5"})]
    assert old.hand_in("a") == 202
    until(lambda: peer.ids() == ["a"], "it is turned away, and told to wait")
    until(lambda: (old.state / "waits").read_bytes(), "the other one can know")
    told_at = time.monotonic()
    assert new.hand_in("b") == 202
    until(lambda: "b" in peer.ids(), "it is called")
    assert time.monotonic() - told_at > 1.2


def test_a_board_stays_small_and_its_readers_forget_what_is_over(tmp_path: Path) -> None:
    one, other = tmp_path / "one", tmp_path / "other"
    one.mkdir()
    other.mkdir()
    writer, reader = Board(one, lambda: []), Board(other, lambda: [one])
    for now in range(1_500):
        writer.tell(f"{now % 50}/s-{now}", now + 20.0, float(now))
        assert reader.until(f"{now % 50}/s-{now}", float(now)) == now + 20.0
        assert (one / "waits").stat().st_size <= 2 * FILE_BYTES
    assert reader.until("7/never", 1_500.0) == 0.0 and len(reader._heard) < 1_000
    (one / "waits").write_bytes(b"nonsense\n1e400 \n-5 7/\n7000.0 7/half")
    assert reader.until("7/half", 1_501.0) == 0.0


def test_a_lane_that_cant_be_opened_or_removed_now_is_taken_over_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = (Lanes(tmp_path, 400_000, 8, 4096) for _ in range(2))
    old.taken(owed(1))
    os.close(old._locks.pop(0))  # as its process dies

    def full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Journal, "_open", full)
    assert new.look(1e12) == [] and not new.owed
    monkeypatch.undo()
    assert [one.id for one in new.look(2e12)] == [owed(1).id]
    new.over(1)
    monkeypatch.setattr(Files, "unlink", full)
    assert new.look(3e12) == [] and new.beside
    monkeypatch.undo()
    assert new.look(4e12) == [] and not new.beside and not list(tmp_path.glob("journal.*"))
