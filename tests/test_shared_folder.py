"""Several processes on one state folder: what they may accept, together, at any moment."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest

from springspread.core import folder_lock
from springspread.core.folder_lock import FolderBusy, FolderLock
from springspread.core.journal import Journal, JournalFull
from springspread.core.journal_ownership import MAX_JOURNALS, OwnedJournals, TooManyProcesses, journal_folder
from springspread.core.journal_records import PendingMessage
from springspread.core.peer_journal import folder_bytes

DISK_BYTES = 600_000
BODY_BYTES = 8192
FIRST_SEED = int(os.environ.get("SHARED_FOLDER_SEED", "0"))
CHECK_INTERVAL = 1e6  # ms between checks of the folder, so that none is left out


class Processes:
    """Stand-ins for the processes on one folder; ``now`` advances with each check."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.running, self.now = folder, list[OwnedJournals](), 0.0

    def start(self) -> OwnedJournals:
        self.running.append(OwnedJournals(self.folder, DISK_BYTES, 8, BODY_BYTES))
        return self.running[-1]

    def die(self, process: OwnedJournals) -> None:
        self.running.remove(process)
        for file in process._locks.values():
            os.close(file)
        process._locks.clear()

    def check(self, process: OwnedJournals) -> None:
        self.now += CHECK_INTERVAL
        process.check_ownership(self.now)

    def accept(self, process: OwnedJournals, id: str, size: int = 100) -> bool:
        """Whether the process accepts a new message."""
        with process.admission():
            if process.find_elsewhere(id) is not None:
                return False
            number = process.last_number + 1
            try:
                process.record_taken(PendingMessage(number, id, "note", 7, 0.0, bytes(size)))
            except JournalFull:
                return False
            return True

    @property
    def used(self) -> int:
        folders = [journal_folder(self.folder, index) for index in range(MAX_JOURNALS)]
        return sum(folder_bytes(one) for one in folders if one.is_dir())


@pytest.fixture
def processes(tmp_path: Path) -> Processes:
    return Processes(tmp_path)


def test_process_that_comes_up_in_a_journal_folder_used_before_is_noticed(processes: Processes) -> None:
    """It was noticed only as the state folder itself changed, and both accepted one message."""
    first, second = processes.start(), processes.start()
    processes.die(first)
    processes.check(second)
    third = processes.start()
    processes.die(second)
    processes.check(third)
    fourth = processes.start()  # in the folder that the second one left
    assert processes.accept(fourth, "pay")
    processes.check(third)
    assert third.has_other_journals and not processes.accept(third, "pay")


def test_process_that_comes_up_is_noticed_by_the_next_admission(processes: Processes) -> None:
    """Until its next check of the folder, a process accepted what the new one had accepted."""
    old = processes.start()
    processes.check(old)
    new = processes.start()
    assert processes.accept(new, "pay") and not processes.accept(old, "pay")


def test_message_of_a_process_that_came_up_and_died_unnoticed_is_not_accepted_again(
    processes: Processes,
) -> None:
    old = processes.start()
    processes.check(old)
    new = processes.start()
    assert processes.accept(new, "pay")
    processes.die(new)
    assert not processes.accept(old, "pay")
    processes.now += CHECK_INTERVAL
    assert [one.id for one in old.check_ownership(processes.now)] == ["pay"]


def test_messages_are_taken_over_on_a_disk_without_room_for_compaction(
    processes: Processes, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = processes.start(), processes.start()
    assert processes.accept(old, "owed")
    processes.die(old)

    def full(*_: object, **__: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Journal, "compact", full)
    processes.now += CHECK_INTERVAL
    assert [one.id for one in new.check_ownership(processes.now)] == ["owed"]


def test_folder_that_allows_no_lock_keeps_what_is_pending_and_accepts_nothing(processes: Processes) -> None:
    """A start failed where the file of the lock could not be made."""
    first = processes.start()
    assert processes.accept(first, "owed")
    processes.die(first)
    lock = processes.folder / folder_lock.FILE_NAME
    lock.unlink()
    lock.mkdir()
    second = processes.start()
    assert [one.id for one in second.pending.values()] == ["owed"]
    with pytest.raises(OSError, match="directory"):
        processes.accept(second, "new")
    lock.rmdir()
    assert processes.accept(second, "new")


def test_lock_that_another_process_holds_is_waited_for_and_given_up(processes: Processes) -> None:
    process, frozen = processes.start(), FolderLock(processes.folder)
    with frozen.hold(0.0), pytest.raises(FolderBusy):
        processes.accept(process, "pay")
    assert processes.accept(process, "pay")


def test_journals_of_two_upgrades_in_a_row_stay_within_the_disk_limit(processes: Processes) -> None:
    """The largest journal of the others was counted, and not the sum: 3.6 MB with a limit of 3."""
    count = 0
    for _ in range(3):
        process = processes.start()
        for _ in range(25):
            count += 1
            processes.accept(process, f"m{count}", BODY_BYTES)
            assert processes.used <= DISK_BYTES
        if len(processes.running) == 2:
            processes.die(processes.running[0])
            processes.check(process)
    assert processes.used > 0.6 * DISK_BYTES


def test_room_of_completed_messages_is_left_to_a_process_that_comes_up(processes: Processes) -> None:
    old = processes.start()
    for number in range(200):
        if processes.accept(old, f"m{number}", BODY_BYTES):
            old.record_completed(old.last_number)
    assert processes.used > 0.6 * DISK_BYTES
    new = processes.start()
    processes.check(old)
    for number in range(10):
        assert processes.accept(new, f"n{number}", BODY_BYTES)


def test_messages_taken_over_are_returned_although_the_disk_fails(
    processes: Processes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What a check takes over is returned once; an error after that must not lose it."""
    old, new = processes.start(), processes.start()
    assert processes.accept(old, "owed")
    processes.start()  # a peer that stays
    processes.check(new)
    processes.die(old)

    def full(*_: object, **__: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(OwnedJournals, "_limit_disk", full)
    processes.now += CHECK_INTERVAL
    assert [one.id for one in new.check_ownership(processes.now)] == ["owed"]


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + 8))
def test_disk_limit_holds_over_starts_deaths_and_takeovers(processes: Processes, seed: int) -> None:
    random = Random(seed)
    processes.start()
    accepted = 0
    for step in range(600):
        process = random.choice(processes.running)
        draw = random.random()
        if draw < 0.02 and len(processes.running) < 3:
            with suppress(TooManyProcesses):
                processes.start()
        elif draw < 0.035 and len(processes.running) > 1:
            processes.die(process)
        elif draw < 0.1:
            processes.check(process)
        elif draw < 0.6:
            accepted += processes.accept(process, f"m{step}", random.choice((50, 2000, BODY_BYTES)))
        elif process.pending:
            number = random.choice(list(process.pending))
            process.record_begun(number, 0)
            if random.random() < 0.8:
                process.record_completed(number)
        assert processes.used <= DISK_BYTES, f"step {step}"
    assert accepted > 100
