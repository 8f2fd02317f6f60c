"""Decoding of fragmented and invalid lines; the lease record truncated, damaged or of another boot."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.fleet import wire
from springspread.fleet.lease_record import FILE_BYTES, LeaseRecord
from springspread.fleet.limits import Lease
from springspread.fleet.messages import (
    PROTOCOL_VERSION,
    GrantedLease,
    KeyStatus,
    KeyStatuses,
    LeaseGrants,
    LeaseReport,
    LeaseRequest,
    Register,
    UseReport,
    Welcome,
)
from springspread.fleet.wire import Document, Lines, Message, Unreadable, encode

MESSAGES: list[Message] = [
    Register(PROTOCOL_VERSION, "fleet", "n001", 7),
    LeaseRequest({"g1": 3, "r2/é": 0}, (LeaseReport("g1", 9, 2, 12.5),), {"g1": 4.5}),
    UseReport(3, 12.5, {"g1": 4}, {"g1": 1}),
    Welcome(KeyStatus.FREE, True),
    KeyStatuses(3, (1, 4294967295), (), (7,)),
    LeaseGrants((GrantedLease("g1", 9, 2, 200.0, 1.5),)),
    Document(1, "{}"),
]


@given(cuts=st.lists(st.integers(0, 400), max_size=8))
@settings(max_examples=100, deadline=None, derandomize=True, database=None)
def test_messages_are_decoded_from_any_fragments(cuts: list[int]) -> None:
    data = b"".join(map(encode, MESSAGES))
    lines, received, at = Lines(), [], 0
    for cut in [*sorted(cuts), len(data)]:
        received += lines.feed(data[at:cut])
        at = max(at, cut)
    assert received == MESSAGES


@given(line=st.binary(max_size=60))
@settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_random_bytes_are_refused(line: bytes) -> None:
    with pytest.raises(Unreadable):
        Lines().feed(line.replace(b"\n", b" ") + b"\n")


@pytest.mark.parametrize(
    "line",
    [
        b'[1,2,"fleet","",1]',
        b'[1,2,"fleet","a",-1]',
        b'[1,2,"fleet","a",true]',
        b'[2,{"g1":"3"},[],{}]',
        b'[2,{},[],{"g1":NaN}]',
        b'[2,{"":1},[],{}]',
        b"[3,-1,0,{},{}]",
        b'[3,1,0,{"g1":-4},{}]',
        b"[4,7,true]",
        b"[5,0,[4294967296],[],[]]",
        b'[6,[["g1",1,1,1]]]',
        b"[9,1]",
        b'{"kind":"document","number":-1,"text":"{}"}',
        b'{"kind":"vote","number":1,"yes":1,"fault":""}',
        b'{"kind":"other"}',
        b"[" * 100_000,
        b"x" * (wire.LINE_BYTES + 1),
    ],
)
def test_invalid_line_is_refused(line: bytes) -> None:
    with pytest.raises(Unreadable):
        Lines().feed(line + b"\n")


@pytest.mark.parametrize("kind", ["hello", "asking", "limited", "granted"])
def test_line_of_protocol_version_one_is_refused(kind: str) -> None:
    with pytest.raises(Unreadable, match=f"'{kind}' is from protocol version 1"):
        Lines().feed(b'{"kind":"%s","name":"a","epoch":1}\n' % kind.encode())


def lease(serial: int, until: float = 100.0) -> Lease:
    return Lease(serial, ("n000", 1), "g1", 3, until)


def test_record_is_read_up_to_truncated_tail(tmp_path: Path) -> None:
    record = LeaseRecord(tmp_path, 2_000.0)
    record.append([lease(1), lease(2)], 0.0)
    record.append([lease(3)], 0.0)
    record.close()
    (file,) = [path for path in tmp_path.iterdir() if path.stat().st_size]
    data = file.read_bytes()
    for cut in range(1, len(data) - 36):
        file.write_bytes(data[:-cut])
        after = LeaseRecord(tmp_path, 2_000.0)
        assert len(after.earlier) < 3
        assert after.earlier == [lease(1), lease(2), lease(3)][: len(after.earlier)]
        after.append([lease(4)], 0.0)
        after.close()
        again = LeaseRecord(tmp_path, 2_000.0)
        assert again.earlier == [*after.earlier, lease(4)]
        again.close()


def test_record_size_is_bounded(tmp_path: Path) -> None:
    record = LeaseRecord(tmp_path, 100.0)
    for n in range(20_000):
        record.append([lease(n, float(n) + 20.0)], float(n))
    record.close()
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 3 * FILE_BYTES
    kept = [one.serial for one in LeaseRecord(tmp_path, 100.0).earlier]
    assert set(range(19_880, 20_000)) <= set(kept)


def test_record_of_another_boot_is_ignored(tmp_path: Path) -> None:
    record = LeaseRecord(tmp_path, 2_000.0)
    record.append([lease(1)], 0.0)
    record.close()
    for path in tmp_path.iterdir():
        path.write_bytes(b"0" * 36 + path.read_bytes()[36:])
    assert LeaseRecord(tmp_path, 2_000.0).earlier == []


def test_record_detects_missing_leases(tmp_path: Path) -> None:
    record = LeaseRecord(tmp_path, 2_000.0)
    assert record.complete and not record.existed
    record.append([lease(1), lease(2)], 0.0)
    record.close()
    (file,) = [path for path in tmp_path.iterdir() if path.stat().st_size]
    good = file.read_bytes()
    file.write_bytes(good[:-3])
    torn = LeaseRecord(tmp_path, 2_000.0)
    assert torn.complete and torn.existed and torn.earlier == [lease(1)]
    torn.close()
    for corrupt in (good[:60] + b"?" + good[61:], b"0" * 36 + good[36:], b""):
        file.write_bytes(corrupt)
        found = LeaseRecord(tmp_path, 2_000.0)
        assert not found.complete and found.existed
        found.close()
        again = LeaseRecord(tmp_path, 2_000.0)
        assert again.complete  # incompleteness is reported once
        again.close()


@pytest.mark.parametrize("bit", range(8 * 8))
def test_record_with_damaged_header_is_incomplete(tmp_path: Path, bit: int) -> None:
    record = LeaseRecord(tmp_path, 2_000.0)
    record.append([lease(serial) for serial in range(1, 100)], 0.0)
    record.close()
    (file,) = [path for path in tmp_path.iterdir() if path.stat().st_size]
    data = bytearray(file.read_bytes())
    data[36 + bit // 8] ^= 1 << bit % 8  # the length and the checksum of the first lease
    file.write_bytes(data)
    after = LeaseRecord(tmp_path, 2_000.0)
    assert not after.complete
    after.close()
