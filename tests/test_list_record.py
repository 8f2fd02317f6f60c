"""The deadlines of a list, from one process of a sender to the next."""

from __future__ import annotations

from math import inf
from pathlib import Path

import pytest

from springspread.core.list_record import (
    OUTDATED,
    ListRecord,
    ListRecordFile,
    decode,
    inherited_deadlines,
    read_files,
)
from springspread.core.watch import (
    NOTIFIED_MS,
    OUTDATED_MS,
    Failure,
    ListDeadlines,
    State,
    Watch,
)

BOOT, NOW, VERSION = b"f3b2c1d0-0000-4000-8000-123456789abc", 50_000.0, 7
CURRENT = ListDeadlines(NOW + 2000.0, inf)


def watch(can_be_outdated: bool = True) -> Watch:
    made = Watch(VERSION, 1000.0, 2, can_be_outdated=can_be_outdated)
    made.set_active()
    return made


def test_record_is_read_back_from_its_file(tmp_path: Path) -> None:
    file = ListRecordFile(tmp_path, BOOT)
    for version in (6, VERSION):  # each replaces the one before
        file.write(version, CURRENT)
    (data,) = read_files([tmp_path, tmp_path / "absent"])
    assert decode(data) == ListRecord(BOOT, VERSION, CURRENT)
    assert inherited_deadlines([data], BOOT, VERSION, NOW) == CURRENT


@pytest.mark.parametrize("size", range(ListRecord(BOOT, VERSION, CURRENT).encode().__len__()))
def test_record_cut_off_at_any_byte_is_not_trusted(size: int) -> None:
    data = ListRecord(BOOT, VERSION, CURRENT).encode()
    assert inherited_deadlines([data[:size]], BOOT, VERSION, NOW) == OUTDATED
    changed = data[:size] + bytes([data[size] ^ 1]) + data[size + 1 :]
    assert inherited_deadlines([changed], BOOT, VERSION, NOW) == OUTDATED


@pytest.mark.parametrize(
    ("record", "boot"),
    [
        (ListRecord(BOOT, VERSION, CURRENT), b"another"),
        (ListRecord(b"", VERSION, CURRENT), b""),  # the system does not tell
        (ListRecord(BOOT, VERSION + 1, CURRENT), BOOT),  # the list handed over is an older one
        (ListRecord(BOOT, VERSION, ListDeadlines(NOW + 1e6, inf)), BOOT),  # of another clock
    ],
)
def test_record_that_says_nothing_of_the_list_makes_it_outdated(record: ListRecord, boot: bytes) -> None:
    assert inherited_deadlines([record.encode()], boot, VERSION, NOW) == OUTDATED


def test_the_latest_of_several_processes_counts_and_without_any_nothing_is_inherited() -> None:
    older = ListRecord(BOOT, VERSION, ListDeadlines(NOW - 1.0, inf)).encode()
    newer = ListRecord(BOOT, VERSION, CURRENT).encode()
    assert inherited_deadlines([older, newer, b""], BOOT, VERSION, NOW) == CURRENT
    assert inherited_deadlines([], BOOT, VERSION, NOW) is None


@pytest.mark.parametrize(
    ("inherited", "outdated_from"),
    [
        (CURRENT, inf),
        (ListDeadlines(NOW, inf), NOW),
        (OUTDATED, NOW),
        (ListDeadlines(NOW - 1.0, NOW - 1.0), NOW),
        (ListDeadlines(NOW + 900.0, NOW + 900.0), NOW + 900.0),  # left by a silent request
    ],
)
def test_list_is_outdated_from_the_inherited_deadline_until_an_answer(
    inherited: ListDeadlines, outdated_from: float
) -> None:
    successor = watch()
    successor.inherit(inherited, NOW)
    assert successor.outdated_period.begin == outdated_from
    request = successor.begin(NOW)
    assert request is not None
    assert (request.wait_ms <= 100.0) == (outdated_from < inf)  # an overdue answer is not waited for
    assert successor.answered(VERSION)
    assert successor.state(NOW + OUTDATED_MS) is State.CURRENT


def test_inherited_list_is_used_while_discovery_is_not_reached_and_after_an_outdated_period() -> None:
    for failure, ends_at in ((Failure.UNREACHED, NOW + 1.0), (Failure.BROKEN, NOW + OUTDATED_MS)):
        successor = watch()
        successor.inherit(OUTDATED, NOW)
        assert successor.begin(NOW) is not None
        successor.failed(failure, NOW + 1.0)
        assert not successor.outdated_period.contains(ends_at)


def test_pushed_lists_are_never_outdated() -> None:
    successor = watch(can_be_outdated=False)
    successor.inherit(OUTDATED, NOW)
    assert successor.outdated_period.begin == inf


def test_deadlines_of_a_watch_by_how_its_last_request_ended() -> None:
    answered = watch()
    answered.begin(0.0)
    answered.answered(VERSION)
    assert answered.deadlines(100.0) == ListDeadlines(100.0 + NOTIFIED_MS, inf)

    refused = watch()  # discovery says that it can't be reached: counted anew each time
    for at in (0.0, 4000.0, 8000.0):
        refused.begin(at)
        refused.failed(Failure.REFUSED, at + 10.0)
        refused.set_active()
    assert refused.deadlines(8010.0) == ListDeadlines(8010.0 + NOTIFIED_MS, inf)

    broken = watch()  # may have missed a change since it began
    broken.begin(0.0)
    broken.failed(Failure.BROKEN, 900.0)
    assert broken.deadlines(900.0) == ListDeadlines(NOTIFIED_MS, inf)

    silent = watch()
    request = silent.begin(0.0)
    assert request is not None
    silent.failed(Failure.SILENT, request.give_up_at)
    assert silent.deadlines(request.give_up_at) == ListDeadlines(NOTIFIED_MS, NOTIFIED_MS)
    silent.set_active()
    silent.begin(3000.0)
    silent.failed(Failure.UNREACHED, 3001.0)  # it is down
    assert silent.deadlines(3001.0).outdated_from == inf
