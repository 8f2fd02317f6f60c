"""The journal: what it restores, torn tails, and the disk's limit."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from springspread.core.journal import Journal, JournalFull, PendingMessage

DISK = 3_000_000


def owed(number: int, size: int = 10) -> PendingMessage:
    return PendingMessage(number, f"id-{number}", "pay", 7, 1e12 + number, b"\x00\xff" * (size // 2))


def on_disk(folder: Path) -> int:
    return sum(-(-entry.stat().st_size // 512) * 512 for entry in os.scandir(folder))


def test_what_is_owed_comes_back(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    for number in (1, 2, 3):
        first.record_taken(owed(number))
    first.record_begun(1, 0)
    first.record_not_run(1, 0)
    first.record_begun(2, 0)
    first.record_not_run(2, 1)  # one that never began leaves no trace
    first.record_ending(2, True, 250.0)
    first.record_completed(3)
    first.close()
    again = Journal(tmp_path, DISK)
    assert sorted(again.pending) == [1, 2]
    assert again.pending[1].body == owed(1).body and again.pending[1].deadline_wall == 1e12 + 1
    assert not again.pending[1].may_have_run and again.pending[1].attempts == 1
    assert again.pending[2].may_have_run and again.pending[2].ending == (True, 250.0)
    assert again.last_number == 3


def test_a_record_names_the_policy_that_its_message_was_taken_under(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    alone, under = owed(1), owed(2)
    under.policy = 5
    first.record_taken(alone)
    first.record_taken(under)
    first.close()
    again = Journal(tmp_path, DISK)
    assert {number: one.policy for number, one in again.pending.items()} == {1: 0, 2: 5}
    assert again.pending[2].body == under.body


@pytest.mark.parametrize("cut", [1, 5, 20])
def test_a_torn_tail_is_cut_and_later_records_are_kept(tmp_path: Path, cut: int) -> None:
    first = Journal(tmp_path, DISK)
    first.record_taken(owed(1))
    first.record_taken(owed(2))
    first.close()
    path = tmp_path / "journal.00000001"
    path.write_bytes(path.read_bytes()[:-cut])
    second = Journal(tmp_path, DISK)
    assert list(second.pending) == [1] and second.cut_bytes > 0
    second.record_taken(owed(5))
    second.close()
    assert list(Journal(tmp_path, DISK).pending) == [1, 5]


def test_a_flipped_bit_is_no_crash(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    first.record_taken(owed(1))
    first.close()
    path = tmp_path / "journal.00000001"
    data = bytearray(path.read_bytes())
    data[20] ^= 1
    path.write_bytes(data)
    assert not Journal(tmp_path, DISK).pending


@pytest.mark.parametrize("disk", [500_000, DISK])
def test_the_disk_never_overflows_with_the_longest_bodies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, disk: int
) -> None:
    journal = Journal(tmp_path, disk)
    seen: list[int] = []
    unlink = Path.unlink

    def spy(path: Path) -> None:
        seen.append(on_disk(tmp_path))  # as it is fullest: what is owed in the old file stands twice
        unlink(path)

    monkeypatch.setattr(Path, "unlink", spy)
    live: list[int] = []
    refused = 0
    for number in range(1, 301):
        try:
            journal.record_taken(owed(number, 65536))
            live.append(number)
        except JournalFull:
            refused += 1
            for old in live[1 :: 2 + number % 3]:
                journal.record_completed(old)
            live = sorted(journal.pending)
        for attempt in range(8):
            journal.record_begun(number, attempt)
            journal.record_not_run(number, attempt)
        seen.append(on_disk(tmp_path))
    assert refused and max(seen) <= disk
    journal.close()
    again = Journal(tmp_path, disk)
    assert sorted(again.pending) == live
    assert all(item.body == owed(1, 65536).body and len(item.begun) == 8 for item in again.pending.values())


def test_most_of_the_disk_serves_live_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    with pytest.raises(JournalFull):
        for number in range(1, 100):
            journal.record_taken(owed(number, 65536))
    assert len(journal.pending) >= 34


def test_a_message_that_is_over_never_comes_back(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 500_000)
    journal.record_taken(owed(1, 20_000))  # stays, and is moved on from file to file
    for number in range(2, 400):
        journal.record_taken(owed(number, 20_000))
        journal.record_completed(number)
        if number % 50 == 0:
            journal.close()
            journal = Journal(tmp_path, 500_000)
            assert list(journal.pending) == [1]
    assert len(list(tmp_path.iterdir())) < 30


def test_a_record_written_in_part_is_taken_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path, DISK)
    journal.record_taken(owed(1))
    write = os.write

    def torn(file: int, data: bytes) -> int:
        write(file, bytes(data)[:4])
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", torn)
    with pytest.raises(OSError):
        journal.record_taken(owed(2))
    journal.record_completed(1)
    monkeypatch.undo()
    assert journal.failures == 1
    journal.record_taken(owed(3))
    journal.close()
    assert sorted(Journal(tmp_path, DISK).pending) == [1, 3]  # its end was lost, nothing else


def test_a_kill_amid_clearing_away_leaves_each_message_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, 500_000)
    journal.record_taken(owed(1, 20_000))
    journal.record_begun(1, 0)

    def killed(path: Path) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(Path, "unlink", killed)
    with pytest.raises(KeyboardInterrupt):
        for number in range(2, 400):
            journal.record_taken(owed(number, 20_000))
            journal.record_completed(number)
    monkeypatch.undo()
    again = Journal(tmp_path, 500_000)
    assert sorted(again.pending)[0] == 1 and len(again.pending) <= 2
    assert again.pending[1].begun == {0}  # whatever was cut off behind the copy of its *taken*
    assert again.pending[1].body == owed(1, 20_000).body


def test_a_copy_that_a_kill_cut_short_keeps_what_is_known(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    item = owed(1)
    journal.record_taken(item)
    journal.record_begun(1, 0)
    journal.close()
    bare = owed(1).records()  # the first record of a copy; those of its attempts were not written
    (tmp_path / "journal.00000002").write_bytes(bare + b"torn")
    again = Journal(tmp_path, DISK)
    assert again.pending[1].may_have_run and again.cut_bytes == 4


def test_numbers_are_not_used_again_while_a_record_names_them(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    journal.record_taken(owed(9))
    journal.record_completed(9)
    journal.close()
    assert Journal(tmp_path, DISK).last_number == 9
