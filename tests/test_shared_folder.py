"""Several processes on one state folder: what they may accept, together, at any moment."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from springspread.core.journal import JournalFull
from springspread.core.journal_ownership import MAX_JOURNALS, OwnedJournals, journal_folder
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
            if process.pending_elsewhere(id) is not None:
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
