"""A journal file that is damaged in the middle loses the damaged records only."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springspread.core.journal import Journal
from springspread.core.journal_records import PendingMessage, encode_frame
from springspread.core.journal_repair import FRAME_HEADER, DamagedRange, RecordReader

DISK = 3 << 20
FIRST = "journal.00000001"


def message(number: int, body: bytes = b"x" * 40) -> PendingMessage:
    return PendingMessage(number, f"id-{number}", "pay", 7, 2e12, body)


def write_journal(folder: Path, count: int) -> bytes:
    journal = Journal(folder, DISK)
    for number in range(1, count + 1):
        journal.record_taken(message(number))
    journal.close()
    return (folder / FIRST).read_bytes()


def flip_bit(data: bytes, at: int, bit: int = 0) -> bytes:
    return data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]


def test_flipped_bit_in_a_large_file_loses_one_message(tmp_path: Path) -> None:
    data = write_journal(tmp_path, 1000)
    (tmp_path / FIRST).write_bytes(flip_bit(data, len(data) // 4))
    journal = Journal(tmp_path, DISK)
    assert len(journal.pending) == 999
    (lost,) = set(range(1, 1001)) - set(journal.pending)
    (damaged,) = journal.damaged[FIRST]
    assert damaged.ids == (f"id-{lost}",) and journal.possibly_run[FIRST] == [
        f"id-{n}" for n in range(1, lost)
    ]
    # The lost records may include a *begun* of earlier messages, but not of later ones.
    assert all(one.may_have_run == (number < lost) for number, one in journal.pending.items())
    assert all(one.attempts <= 1 for one in journal.pending.values())
    assert (tmp_path / "damaged.00000001").read_bytes() == flip_bit(data, len(data) // 4)[
        damaged.start : damaged.end
    ]
    journal.close()
    again = Journal(tmp_path, DISK)
    assert not again.damaged and again.pending == {**journal.pending} and not (tmp_path / FIRST).exists()


@pytest.mark.parametrize("bit", [0, 3, 7])
@pytest.mark.parametrize("byte", [0, 1, 3, 4, 8, 9, 30])  # in the length, checksum, kind and the rest
def test_any_flipped_bit_loses_only_its_record(tmp_path: Path, byte: int, bit: int) -> None:
    data = write_journal(tmp_path, 12)
    size = len(data) // 12
    (tmp_path / FIRST).write_bytes(flip_bit(data, 5 * size + byte, bit))
    assert set(range(1, 13)) - set(Journal(tmp_path, DISK).pending) == {6}


def test_body_of_a_torn_record_is_not_searched(tmp_path: Path) -> None:
    write_journal(tmp_path, 2)
    forged_records = encode_frame(b"O" + (1).to_bytes(4, "little")) * 3
    record = message(3, b"y" * 50 + forged_records + b"y" * 200).records()
    with (tmp_path / FIRST).open("ab") as out:
        out.write(record[:-100])
    journal = Journal(tmp_path, DISK)
    assert (
        sorted(journal.pending) == [1, 2] and not journal.damaged and journal.cut_bytes == len(record) - 100
    )


def test_damaged_record_is_skipped_by_its_length(tmp_path: Path) -> None:
    write_journal(tmp_path, 1)
    forged_records = encode_frame(b"O" + (1).to_bytes(4, "little")) * 3
    record = message(2, forged_records + b"y" * 20).records()
    data = flip_bit(record, len(record) - 1) + message(3).records()
    with (tmp_path / FIRST).open("ab") as out:
        out.write(data)
    assert sorted(Journal(tmp_path, DISK).pending) == [1, 3]


def test_older_file_that_ends_early_is_damaged_but_the_newest_only_torn(tmp_path: Path) -> None:
    data = write_journal(tmp_path, 3)
    (tmp_path / FIRST).write_bytes(data[:-5])
    assert not Journal(tmp_path, DISK, read_only=True).damaged
    (tmp_path / "journal.00000002").write_bytes(message(9).records())
    journal = Journal(tmp_path, DISK)
    assert sorted(journal.pending) == [1, 2, 9] and list(journal.damaged) == [FIRST]
    assert [journal.pending[number].may_have_run for number in (1, 2, 9)] == [True, True, False]


def test_set_aside_data_counts_towards_the_disk_limit(tmp_path: Path) -> None:
    disk = 400_000
    for round_number in range(6):
        journal = Journal(tmp_path, disk)
        for number in range(1, 30):
            journal.record_taken(message(100 * round_number + number, b"z" * 900))
        for number in range(1, 30):
            journal.record_completed(100 * round_number + number)
        journal.close()
        newest = max(tmp_path.glob("journal.*"))
        newest.write_bytes(newest.read_bytes()[: FRAME_HEADER.size] + b"?" * 9_000)
    journal = Journal(tmp_path, disk)
    used = sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir())
    assert used <= disk and 1 <= len(list(tmp_path.glob("damaged.*"))) <= 4


records = st.lists(
    st.one_of(
        st.builds(lambda n, size: message(n, b"q" * size).records(), st.integers(1, 9), st.integers(0, 90)),
        st.builds(lambda n: encode_frame(b"O" + n.to_bytes(4, "little")), st.integers(1, 9)),
    ),
    min_size=1,
    max_size=12,
)


@given(records, st.binary(max_size=40), st.data())
def test_reader_terminates_and_covers_every_byte_once(
    frames: list[bytes], noise: bytes, data: st.DataObject
) -> None:
    text = b"".join(frames)
    at = data.draw(st.integers(0, len(text)))
    text = text[:at] + noise + text[at + data.draw(st.integers(0, 30)) :]
    reader, end = RecordReader(text), 0
    for item in reader:
        start = item.start if isinstance(item, DamagedRange) else item[0]
        assert start == end < reader.end
        end = reader.end
    assert end <= len(text)
