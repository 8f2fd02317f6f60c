"""A journal that is damaged in the middle loses what is damaged, and nothing else."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springspread.core.journal import Journal, PendingMessage, _encode_frame
from springspread.core.journal_repair import FRAME_HEADER, DamagedRange, RecordReader

DISK = 3 << 20
FIRST = "journal.00000001"


def owed(number: int, body: bytes = b"x" * 40) -> PendingMessage:
    return PendingMessage(number, f"id-{number}", "pay", 7, 2e12, body)


def filled(folder: Path, count: int) -> bytes:
    journal = Journal(folder, DISK)
    for number in range(1, count + 1):
        journal.record_taken(owed(number))
    journal.close()
    return (folder / FIRST).read_bytes()


def flipped(data: bytes, at: int, bit: int = 0) -> bytes:
    return data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]


def test_a_flipped_bit_at_a_quarter_of_a_thousand_messages_loses_one(tmp_path: Path) -> None:
    data = filled(tmp_path, 1000)
    (tmp_path / FIRST).write_bytes(flipped(data, len(data) // 4))
    journal = Journal(tmp_path, DISK)
    assert len(journal.pending) == 999
    (lost,) = set(range(1, 1001)) - set(journal.pending)
    (told,) = journal.damaged[FIRST]
    assert told.ids == (f"id-{lost}",) and journal.possibly_run[FIRST] == [f"id-{n}" for n in range(1, lost)]
    # What was on record before the damage may have had its *begun* there; what came after may not.
    assert all(one.may_have_run == (number < lost) for number, one in journal.pending.items())
    assert all(one.attempts <= 1 for one in journal.pending.values())
    assert (tmp_path / "damaged.00000001").read_bytes() == flipped(data, len(data) // 4)[
        told.start : told.end
    ]
    journal.close()
    again = Journal(tmp_path, DISK)
    assert not again.damaged and again.pending == {**journal.pending} and not (tmp_path / FIRST).exists()


@pytest.mark.parametrize("bit", [0, 3, 7])
@pytest.mark.parametrize("byte", [0, 1, 3, 4, 8, 9, 30])  # of the length, the checksum, the kind, and on
def test_whatever_is_flipped_in_a_record_the_others_are_read(tmp_path: Path, byte: int, bit: int) -> None:
    data = filled(tmp_path, 12)
    size = len(data) // 12
    (tmp_path / FIRST).write_bytes(flipped(data, 5 * size + byte, bit))
    assert set(range(1, 13)) - set(Journal(tmp_path, DISK).pending) == {6}


def test_a_torn_record_of_a_client_is_not_looked_into(tmp_path: Path) -> None:
    filled(tmp_path, 2)
    forged = _encode_frame(b"O" + (1).to_bytes(4, "little")) * 3
    record = owed(3, b"y" * 50 + forged + b"y" * 200).records()
    with (tmp_path / FIRST).open("ab") as out:
        out.write(record[:-100])
    journal = Journal(tmp_path, DISK)
    assert (
        sorted(journal.pending) == [1, 2] and not journal.damaged and journal.cut_bytes == len(record) - 100
    )


def test_a_whole_record_that_is_damaged_is_passed_over_by_its_length(tmp_path: Path) -> None:
    filled(tmp_path, 1)
    forged = _encode_frame(b"O" + (1).to_bytes(4, "little")) * 3
    record = owed(2, forged + b"y" * 20).records()
    data = flipped(record, len(record) - 1) + owed(3).records()
    with (tmp_path / FIRST).open("ab") as out:
        out.write(data)
    assert sorted(Journal(tmp_path, DISK).pending) == [1, 3]


def test_an_older_file_that_ends_early_is_damaged_and_the_newest_only_torn(tmp_path: Path) -> None:
    data = filled(tmp_path, 3)
    (tmp_path / FIRST).write_bytes(data[:-5])
    assert not Journal(tmp_path, DISK, read_only=True).damaged
    (tmp_path / "journal.00000002").write_bytes(owed(9).records())
    journal = Journal(tmp_path, DISK)
    assert sorted(journal.pending) == [1, 2, 9] and list(journal.damaged) == [FIRST]
    assert [journal.pending[number].may_have_run for number in (1, 2, 9)] == [True, True, False]


def test_what_is_set_aside_counts_towards_the_disk(tmp_path: Path) -> None:
    disk = 400_000
    for turn in range(6):
        journal = Journal(tmp_path, disk)
        for number in range(1, 30):
            journal.record_taken(owed(100 * turn + number, b"z" * 900))
        for number in range(1, 30):
            journal.record_completed(100 * turn + number)
        journal.close()
        newest = max(tmp_path.glob("journal.*"))
        newest.write_bytes(newest.read_bytes()[: FRAME_HEADER.size] + b"?" * 9_000)
    journal = Journal(tmp_path, disk)
    used = sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir())
    assert used <= disk and 1 <= len(list(tmp_path.glob("damaged.*"))) <= 4


records = st.lists(
    st.one_of(
        st.builds(lambda n, size: owed(n, b"q" * size).records(), st.integers(1, 9), st.integers(0, 90)),
        st.builds(lambda n: _encode_frame(b"O" + n.to_bytes(4, "little")), st.integers(1, 9)),
    ),
    min_size=1,
    max_size=12,
)


@given(records, st.binary(max_size=40), st.data())
def test_reading_comes_to_an_end_and_covers_every_byte_once(
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
