"""Several processes on one state folder: upgrades, takeover after a crash, and the shared disk limit."""

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
from pathlib import Path

import pytest

from springspread.core.files import Files
from springspread.core.journal import Journal, JournalFull
from springspread.core.journal_ownership import (
    MAX_JOURNALS,
    NUMBERS_PER_JOURNAL,
    OwnedJournals,
    journal_folder,
    read_pending,
)
from springspread.core.shared_backoff import MAX_FILE_BYTES, SharedBackoff
from tests.peer import WAIT_S, Peer, Program, until
from tests.test_config import make
from tests.test_journal_repair import message

RETRY_LATER = (429, {"Retry-After": "0.3"})


@pytest.fixture
def processes(tmp_path: Path, peer: Peer) -> tuple[Program, Program]:
    """Two processes on one folder, the older first."""
    old, new = Program(tmp_path, peer), Program(tmp_path, peer)
    return old, new


def test_messages_of_a_dead_process_are_delivered_once_each_by_the_other(
    processes: tuple[Program, Program], peer: Peer
) -> None:
    old, new = processes
    peer.answers = [RETRY_LATER] * 40
    ids = [f"old{n}" for n in range(6)]
    assert [old.hand_in(id) for id in ids] == [202] * 6
    assert new.hand_in("new") == 202
    old.end(signal.SIGKILL)
    until(lambda: any(line["event"] == "taken over" for line in new.log), "the other journal is taken over")
    with peer.lock:
        rejected_calls = len(peer.calls)
        peer.answers.clear()
    until(lambda: not read_pending(new.state), "all are completed")
    served = Peer.ids_of(peer.calls[rejected_calls:])
    assert Counter(served) == dict.fromkeys((*ids, "new"), 1) and not peer.notices


def test_reader_without_a_lock_survives_the_deletion_of_a_file_it_has_listed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reader beside the process failed where a file was deleted between its listing and its reading."""
    writer = OwnedJournals(tmp_path, 400_000, 8, 4096)
    writer.record_taken(message(1))
    list_names = Files.names

    def compacted_meanwhile(files: Files) -> list[str]:
        names = list_names(files)
        monkeypatch.undo()
        writer._journals[0]._compact_oldest()
        return names

    monkeypatch.setattr(Files, "names", compacted_meanwhile)
    assert [one.id for one in read_pending(tmp_path).values()] == [message(1).id]


def test_message_pending_in_another_process_is_not_recorded_again(
    processes: tuple[Program, Program], peer: Peer
) -> None:
    old, new = processes
    peer.answer_calls.clear()
    assert old.hand_in("pay", cls="pay") == 202
    until(lambda: peer.ids() == ["pay"], "it is called")
    assert new.hand_in("pay", cls="pay") == 202  # already pending
    assert new.hand_in("pay", cls="pay", body=b"other") == 409
    old.end(signal.SIGKILL)  # during its call, which may have run
    until(lambda: [one["id"] for one in peer.notices] == ["pay"], "it is reported as undeliverable")
    peer.answer_calls.set()
    assert peer.notices[0]["status"] != "deferred" and peer.ids() == ["pay"]


def test_both_journals_of_a_dead_process_are_taken_over(
    processes: tuple[Program, Program], peer: Peer
) -> None:
    old, new = processes
    peer.answers = [(429, {"Retry-After": "2"})] * 40
    first, second = [f"old{n}" for n in range(5)], [f"new{n}" for n in range(5)]
    assert {old.hand_in(id) for id in first} | {new.hand_in(id) for id in second} == {202}
    old.end(signal.SIGKILL)
    until(lambda: any(line["event"] == "taken over" for line in new.log), "the other journal is taken over")
    new.end(signal.SIGKILL)
    assert {one.id for one in read_pending(new.state).values()} == {*first, *second}
    peer.answers.clear()
    new.start()
    until(lambda: {*first, *second} <= set(peer.ids()), "all are called")
    until(lambda: not read_pending(new.state), "all are completed")
    assert not peer.notices


def test_upgrade_on_an_inherited_listening_socket_refuses_no_client(tmp_path: Path, peer: Peer) -> None:
    state, file = tmp_path / "state", tmp_path / "config.json"
    state.mkdir()
    listening = socket.create_server(("127.0.0.1", 0), backlog=128)
    port = listening.getsockname()[1]
    raw = make(state, discovery=f"127.0.0.1:{peer.port}", known=peer.members(), listen=f"127.0.0.1:{port}")
    raw["settings"]["limits"]["mostHeld"] = 10_000  # a peer that is slow on a busy machine fills no queue
    file.write_text(json.dumps(raw))
    fd = listening.fileno()
    env = {**os.environ, "RELAY_CONFIG": str(file), "RELAY_FD": str(fd)}

    def begin() -> subprocess.Popen[str]:
        line = [sys.executable, "-m", "springspread"]
        process = subprocess.Popen(line, env=env, pass_fds=[fd], stderr=subprocess.PIPE, text=True)
        Program.running.append(process)
        assert process.stderr is not None
        assert any('"ready"' in line for line in iter(process.stderr.readline, ""))
        threading.Thread(target=process.stderr.read, daemon=True).start()
        return process

    program = Program.__new__(Program)
    program.address = ("127.0.0.1", port)
    statuses: dict[str, int] = {}
    stop = threading.Event()

    def clients() -> None:
        while not stop.is_set():
            id = f"m{len(statuses)}"
            statuses[id] = program.hand_in(id)

    old = begin()
    thread = threading.Thread(target=clients)
    thread.start()
    new = begin()
    until(lambda: len(statuses) > 50, "both serve")
    old.send_signal(signal.SIGTERM)
    assert old.wait(WAIT_S) == 0
    count = len(statuses)
    until(lambda: len(statuses) > count + 50, "the new one serves")
    stop.set()
    thread.join(WAIT_S)
    until(lambda: set(statuses) == set(peer.ids()), "all are delivered")
    new.kill()
    new.wait(WAIT_S)
    listening.close()
    assert set(statuses.values()) == {202} and set(Counter(peer.ids()).values()) == {1} and not peer.notices


def test_folder_without_a_free_journal_is_refused_by_name(tmp_path: Path, peer: Peer) -> None:
    program = Program(tmp_path, peer)
    for _ in range(MAX_JOURNALS - 1):
        OwnedJournals(program.state, 3_000_000, 8, 65536)
    env = {**os.environ, "RELAY_CONFIG": str(program.file)}
    done = subprocess.run([sys.executable, "-m", "springspread"], env=env, capture_output=True, text=True)
    assert done.returncode == 2 and f"state: {program.state}: {MAX_JOURNALS} processes" in done.stderr
    program.end()


def test_journals_share_the_disk_limit_and_return_their_room(tmp_path: Path) -> None:
    disk = 1_000_000
    first = OwnedJournals(tmp_path, disk, 8, 4096)
    fill_journal(first, 1)
    second = OwnedJournals(tmp_path, disk, 8, 4096)
    first.check_ownership(time.monotonic() * 1e6)
    fill_journal(second, 1)
    fill_journal(first, 500)  # its limit is halved now
    assert 0.4 * disk < sum(path.stat().st_size for path in tmp_path.rglob("journal.*")) <= disk
    for journals in (first, second):
        for number in list(journals.pending):
            journals.record_completed(number)
    os.close(second._locks.pop(1))  # simulates the death of its process
    assert (
        first.check_ownership(2e18) == []
        and first.check_ownership(3e18) == []
        and not first.has_other_journals
    )
    assert not list(journal_folder(tmp_path, 1).glob("journal.*"))
    fill_journal(first, 500)
    assert sum(path.stat().st_size for path in tmp_path.rglob("journal.*")) > 0.5 * disk


def fill_journal(journals: OwnedJournals, number: int) -> None:
    while True:
        try:
            one = message(journals.last_number + 1)
            one.body = bytes(3000)
            journals.record_taken(one)
        except JournalFull:
            return


def test_journals_number_apart_and_follow_each_other_through_compaction(tmp_path: Path) -> None:
    old, new = (OwnedJournals(tmp_path, 400_000, 8, 4096) for _ in range(2))
    assert (old.last_number, new.last_number) == (0, NUMBERS_PER_JOURNAL)
    for number in range(1, 3000):
        one = message(number)
        one.body = bytes(500)
        old.record_taken(one)
        assert new.find_elsewhere(one.id) is not None
        if number % 7:
            old.record_completed(number)
            assert new.find_elsewhere(one.id) is None
        elif number > 70:
            old.record_completed(number - 70)
    assert {one.id for one in old.pending.values()} == {
        one.id for one in Journal(tmp_path, 1 << 40, read_only=True).pending.values()
    }


def test_retry_after_of_one_process_binds_the_other(processes: tuple[Program, Program], peer: Peer) -> None:
    old, new = processes
    peer.answers = [(429, {"Retry-After": "1.5"})]
    assert old.hand_in("a") == 202
    until(lambda: peer.ids() == ["a"], "it is rejected with a Retry-After")
    until(lambda: (old.state / "waits").read_bytes(), "the wait is published")
    start = time.monotonic()
    assert new.hand_in("b") == 202
    until(lambda: "b" in peer.ids(), "it is called")
    assert time.monotonic() - start > 1.2


def test_shared_backoff_file_stays_small_and_expired_waits_are_forgotten(tmp_path: Path) -> None:
    one, other = tmp_path / "one", tmp_path / "other"
    one.mkdir()
    other.mkdir()
    writer, reader = SharedBackoff(one, lambda: []), SharedBackoff(other, lambda: [one])
    for now in range(1_500):
        writer.publish(f"{now % 50}/s-{now}", now + 20.0, float(now))
        assert reader.blocked_until(f"{now % 50}/s-{now}", float(now)) == now + 20.0
        assert (one / "waits").stat().st_size <= 2 * MAX_FILE_BYTES
    assert reader.blocked_until("7/never", 1_500.0) == 0.0 and len(reader._received) < 1_000
    (one / "waits").write_bytes(b"nonsense\n1e400 \n-5 7/\n7000.0 7/half")
    assert reader.blocked_until("7/half", 1_501.0) == 0.0


def test_failed_takeover_or_deletion_of_a_journal_is_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = (OwnedJournals(tmp_path, 400_000, 8, 4096) for _ in range(2))
    old.record_taken(message(1))
    os.close(old._locks.pop(0))  # simulates the death of its process

    def full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Journal, "_open", full)
    assert new.check_ownership(1e12) == [] and not new.pending
    monkeypatch.undo()
    assert [one.id for one in new.check_ownership(2e12)] == [message(1).id]
    new.record_completed(1)
    monkeypatch.setattr(Files, "unlink", full)
    assert new.check_ownership(3e12) == [] and new.has_other_journals
    monkeypatch.undo()
    assert (
        new.check_ownership(4e12) == []
        and not new.has_other_journals
        and not list(tmp_path.glob("journal.*"))
    )
