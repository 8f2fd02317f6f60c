"""The journal: restoring messages, torn tails, compaction and the disk limit."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from struct import error as StructError

import pytest

from springspread.core.journal import Journal, JournalFull
from springspread.core.journal_records import PendingMessage, decode_taken
from springspread.core.journal_repair import FIELD, FRAME_HEADER

DISK = 3_000_000


def message(number: int, size: int = 10) -> PendingMessage:
    return PendingMessage(number, f"id-{number}", "pay", 7, 1e12 + number, b"\x00\xff" * (size // 2))


def disk_usage(folder: Path) -> int:
    return sum(-(-entry.stat().st_size // 512) * 512 for entry in os.scandir(folder))


def test_pending_messages_are_restored(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    for number in (1, 2, 3):
        first.record_taken(message(number))
    first.record_begun(1, 0)
    first.record_not_run(1, 0)
    first.record_begun(2, 0)
    first.record_not_run(2, 1)  # never begun: nothing is recorded
    first.record_ending(2, True, 250.0)
    first.record_completed(3)
    first.close()
    again = Journal(tmp_path, DISK)
    assert sorted(again.pending) == [1, 2]
    assert again.pending[1].body == message(1).body and again.pending[1].deadline_wall == 1e12 + 1
    assert not again.pending[1].may_have_run and again.pending[1].attempts == 1
    assert again.pending[2].may_have_run and again.pending[2].ending == (True, 250.0)
    assert again.last_number == 3


def test_records_keep_the_policy_of_their_message(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    alone, under = message(1), message(2)
    under.policy = 5
    first.record_taken(alone)
    first.record_taken(under)
    first.close()
    again = Journal(tmp_path, DISK)
    assert {number: one.policy for number, one in again.pending.items()} == {1: 0, 2: 5}
    assert again.pending[2].body == under.body


# Guards against a repeat after a restart without the key that its first call had.
def test_records_keep_the_keys_also_through_compaction(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    keyed, without = message(1), message(2)
    keyed.idempotency_key, keyed.ordering_key = "5c0f6e1a", "7f3a9c21"
    first.record_taken(keyed)
    first.record_taken(without)
    first.record_begun(1, 0)
    first._compact_oldest()
    first.close()
    again = Journal(tmp_path, DISK)
    assert not again.damaged
    keys = {number: (one.idempotency_key, one.ordering_key) for number, one in again.pending.items()}
    assert keys == {1: ("5c0f6e1a", "7f3a9c21"), 2: ("", "")}
    assert again.pending[1].body == message(1).body and again.pending[1].may_have_run


# Guards against losing messages of another version's journal: older records, and fields of a later one.
def test_records_without_fields_and_with_unknown_ones_are_read() -> None:
    keyed = message(1)
    keyed.idempotency_key = "5c0f6e1a"
    payload = keyed.records()[FRAME_HEADER.size :]
    later = payload + FIELD.pack(200, 3) + b"new"
    assert decode_taken(later, 1).idempotency_key == "5c0f6e1a"
    plain = message(1).records()[FRAME_HEADER.size :]
    assert decode_taken(plain, 1) == replace(keyed, idempotency_key="", file=1)
    with pytest.raises(StructError):
        decode_taken(payload + FIELD.pack(200, 4) + b"new", 1)


@pytest.mark.parametrize("cut", [1, 5, 20, 45])
def test_torn_record_with_fields_is_cut_off(tmp_path: Path, cut: int) -> None:
    first = Journal(tmp_path, DISK)
    first.record_taken(message(1))
    torn = message(2)
    torn.idempotency_key = "k" * 255
    first.record_taken(torn)
    first.close()
    (path,) = tmp_path.glob("journal.*")
    path.write_bytes(path.read_bytes()[:-cut])
    again = Journal(tmp_path, DISK)
    assert sorted(again.pending) == [1] and again.cut_bytes and not again.damaged


@pytest.mark.parametrize("cut", [1, 5, 20])
def test_torn_tail_is_cut_off_and_later_records_are_kept(tmp_path: Path, cut: int) -> None:
    first = Journal(tmp_path, DISK)
    first.record_taken(message(1))
    first.record_taken(message(2))
    first.close()
    path = tmp_path / "journal.00000001"
    path.write_bytes(path.read_bytes()[:-cut])
    second = Journal(tmp_path, DISK)
    assert list(second.pending) == [1] and second.cut_bytes > 0
    second.record_taken(message(5))
    second.close()
    assert list(Journal(tmp_path, DISK).pending) == [1, 5]


def test_flipped_bit_does_not_crash_the_reader(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    first.record_taken(message(1))
    first.close()
    path = tmp_path / "journal.00000001"
    data = bytearray(path.read_bytes())
    data[20] ^= 1
    path.write_bytes(data)
    assert not Journal(tmp_path, DISK).pending


@pytest.mark.parametrize("disk", [500_000, DISK])
def test_disk_limit_holds_with_the_longest_bodies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, disk: int
) -> None:
    journal = Journal(tmp_path, disk)
    seen: list[int] = []
    unlink = Path.unlink

    def recording_unlink(path: Path) -> None:
        seen.append(disk_usage(tmp_path))  # peak usage: pending messages of the old file are stored twice
        unlink(path)

    monkeypatch.setattr(Path, "unlink", recording_unlink)
    live: list[int] = []
    refused = 0
    for number in range(1, 301):
        try:
            journal.record_taken(message(number, 65536))
            live.append(number)
        except JournalFull:
            refused += 1
            for old in live[1 :: 2 + number % 3]:
                journal.record_completed(old)
            live = sorted(journal.pending)
        for attempt in range(8):
            journal.record_begun(number, attempt)
            journal.record_not_run(number, attempt)
        seen.append(disk_usage(tmp_path))
    assert refused and max(seen) <= disk
    journal.close()
    again = Journal(tmp_path, disk)
    assert sorted(again.pending) == live
    assert all(
        item.body == message(1, 65536).body and len(item.begun) == 8 for item in again.pending.values()
    )


def test_most_of_the_disk_limit_is_usable_for_live_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    with pytest.raises(JournalFull):
        for number in range(1, 100):
            journal.record_taken(message(number, 65536))
    assert len(journal.pending) >= 34


def test_completed_messages_are_not_restored(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 500_000)
    journal.record_taken(message(1, 20_000))  # stays pending, and is copied from file to file
    for number in range(2, 400):
        journal.record_taken(message(number, 20_000))
        journal.record_completed(number)
        if number % 50 == 0:
            journal.close()
            journal = Journal(tmp_path, 500_000)
            assert list(journal.pending) == [1]
    assert len(list(tmp_path.iterdir())) < 30


def test_partially_written_record_is_rolled_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path, DISK)
    journal.record_taken(message(1))
    write = os.write

    def partial_write(file: int, data: bytes) -> int:
        write(file, bytes(data)[:4])
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", partial_write)
    with pytest.raises(OSError):
        journal.record_taken(message(2))
    journal.record_completed(1)
    monkeypatch.undo()
    assert journal.write_failures == 1
    journal.record_taken(message(3))
    journal.close()
    assert sorted(Journal(tmp_path, DISK).pending) == [1, 3]  # only its *completed* record was lost


def test_kill_during_compaction_keeps_each_message_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, 500_000)
    journal.record_taken(message(1, 20_000))
    journal.record_begun(1, 0)

    def interrupted(path: Path) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(Path, "unlink", interrupted)
    with pytest.raises(KeyboardInterrupt):
        for number in range(2, 400):
            journal.record_taken(message(number, 20_000))
            journal.record_completed(number)
    monkeypatch.undo()
    again = Journal(tmp_path, 500_000)
    assert sorted(again.pending)[0] == 1 and len(again.pending) <= 2
    assert again.pending[1].begun == {0}  # although the records after the copy of its *taken* were lost
    assert again.pending[1].body == message(1, 20_000).body


def test_copy_cut_short_by_a_kill_keeps_known_attempts(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    item = message(1)
    journal.record_taken(item)
    journal.record_begun(1, 0)
    journal.close()
    bare = message(1).records()  # a copy without the records of its attempts
    (tmp_path / "journal.00000002").write_bytes(bare + b"torn")
    again = Journal(tmp_path, DISK)
    assert again.pending[1].may_have_run and again.cut_bytes == 4


def test_numbers_on_record_are_not_reused(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    journal.record_taken(message(9))
    journal.record_completed(9)
    journal.close()
    assert Journal(tmp_path, DISK).last_number == 9
