"""Reconciling members at a daemon's start: the rules alone, and with real processes and a damaged file."""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springspread.fleet.daemon import Daemon
from springspread.fleet.folder import MembersFileError, find_processes, read_members, write_members
from springspread.fleet.members import DesiredState, Row
from springspread.fleet.plan import read_fleet
from springspread.fleet.reconciliation import (
    EPOCHS_PER_GENERATION,
    InstanceProcess,
    RecoveredState,
    raise_epochs,
    reconcile,
)
from tests.fleet.test_allocator_server import NullLog
from tests.fleet.test_daemon import DaemonHarness, harness
from tests.peer import until

__all__ = ["harness"]
NAMES = ("n000", "n001", "n002")


def process(name: str, epoch: int, pid: int) -> InstanceProcess:
    return InstanceProcess(name, epoch, pid, f"{pid}0")


def test_unrecorded_process_is_adopted() -> None:
    rows = (Row("n000", epoch=3), Row("n001", epoch=5, pid=50))
    membership = reconcile(RecoveredState(rows, processes=(process("n000", 4, 40), process("n001", 5, 50))))
    assert {name: (row.epoch, row.pid) for name, row in membership.rows.items()} == {
        "n000": (4, 40),
        "n001": (5, 50),
    }
    assert membership.stale == () and not membership.file_lost


def test_latest_of_two_processes_owns_the_journal() -> None:
    old, new, stale = process("n000", 4, 41), process("n000", 5, 42), process("n001", 2, 43)
    membership = reconcile(
        RecoveredState((Row("n000", epoch=5), Row("n001", epoch=3)), processes=(new, old, stale))
    )
    assert membership.rows["n000"].pid == 42 and membership.rows["n001"].pid == 0
    assert set(membership.stale) == {old, stale} and set(membership.journal_owners) == {"n000"}


def test_process_without_a_row_leaves_and_a_lost_file_is_rebuilt() -> None:
    orphan = process("n002", 7, 70)
    membership = reconcile(RecoveredState((Row("n000", epoch=1),), processes=(orphan,)))
    assert membership.rows["n002"].desired is DesiredState.LEAVING and membership.rows["n002"].pid == 70
    membership = reconcile(RecoveredState(None, ({"n000": 9}, {"n000": 2, "n001": 1}), (orphan,)))
    assert {name: row.epoch for name, row in membership.rows.items()} == {"n000": 9, "n001": 1, "n002": 7}
    assert membership.file_lost and all(
        row.desired is DesiredState.SERVING for row in membership.rows.values()
    )
    raised = raise_epochs(membership.rows, 3)
    assert {name: row.epoch for name, row in raised.items()} == {
        "n000": 3 * EPOCHS_PER_GENERATION,
        "n001": 3 * EPOCHS_PER_GENERATION,
        "n002": 7,
    }


epochs = st.dictionaries(st.sampled_from(NAMES), st.integers(0, 50))
processes = st.lists(
    st.builds(process, st.sampled_from(NAMES), st.integers(1, 50), st.integers(2, 99)),
    unique_by=lambda one: one.pid,
)
members = st.lists(
    st.builds(Row, st.sampled_from(NAMES), epoch=st.integers(0, 50)), unique_by=lambda row: row.name
)


@given(st.none() | members.map(tuple), epochs, epochs, processes)
def test_epochs_never_decrease_and_each_name_has_one_process(
    rows: tuple[Row, ...] | None,
    leased: dict[str, int],
    written: dict[str, int],
    found: list[InstanceProcess],
) -> None:
    membership = reconcile(RecoveredState(rows, (leased, written), tuple(found)))
    known = [(row.name, row.epoch) for row in rows or ()]
    known += [(one.name, one.epoch) for one in found]
    known += [
        pair
        for one in (leased, written)
        for pair in one.items()
        if rows is None or pair[0] in membership.rows
    ]
    assert all(membership.rows[name].epoch >= epoch for name, epoch in known)
    adopted = {row.pid for row in membership.rows.values() if row.pid}
    assert adopted.isdisjoint(one.pid for one in membership.stale)
    assert adopted | {one.pid for one in membership.stale} == {one.pid for one in found}
    assert all(
        row.epoch == membership.journal_owners[name].epoch for name, row in membership.rows.items() if row.pid
    )


def _empty(path: Path) -> None:
    path.write_bytes(b"")


def _truncate(path: Path) -> None:
    path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])


def _change_epoch(path: Path) -> None:
    data = bytearray(path.read_bytes())
    at = data.index(b'"epoch": ') + 9
    data[at] ^= 1  # still JSON, with another epoch
    path.write_bytes(data)


def test_members_file_round_trips_and_damage_is_detected(tmp_path: Path) -> None:
    path = tmp_path / "members.json"
    assert read_members(path) is None
    rows = (Row("n000", epoch=3, pid=9, deaths=1), Row("n001", DesiredState.LEAVING, 4, emptying=True))
    write_members(path, rows)
    assert read_members(path) == rows
    good = path.read_bytes()
    for damage in (_empty, _truncate, _change_epoch):
        path.write_bytes(good)
        damage(path)
        with pytest.raises(MembersFileError):
            read_members(path)
    path.write_text(json.dumps([{"name": "n000", "want": "serving", "epoch": 2, "pid": 0, "started": ""}]))
    assert read_members(path) == (Row("n000", epoch=2),)  # the earlier format


@pytest.mark.parametrize("damage", [_empty, _change_epoch, Path.unlink])
def test_new_daemon_finds_its_instances_without_the_members_file(
    harness: DaemonHarness, damage: Callable[[Path], None]
) -> None:
    before = {name: (row["pid"], row["epoch"]) for name, row in harness.rows().items()}
    harness.daemon.detach()
    damage(harness.daemon.folder / "members.json")
    harness.daemon = Daemon(read_fleet(harness.file), NullLog())
    until(lambda: harness.serving() == ["n000", "n001"], "both are in the fleet again")
    assert {name: (row["pid"], row["epoch"]) for name, row in harness.rows().items()} == before
    for pid, _ in before.values():
        os.kill(pid, signal.SIGKILL)
    until(
        lambda: all(row["in_fleet"] and row["epoch"] > before[n][1] for n, row in harness.rows().items()),
        "both are back, under new epochs",
    )


def test_epochs_are_not_reused_after_all_state_is_lost(harness: DaemonHarness) -> None:
    folder, before = harness.daemon.folder, {name: row["epoch"] for name, row in harness.rows().items()}
    harness.daemon.stop()
    (folder / "members.json").unlink()
    for name in before:
        (folder / name / "config.json").unlink()
    harness.daemon = Daemon(read_fleet(harness.file), NullLog())
    until(lambda: harness.serving() == ["n000", "n001"], "both serve")
    assert all(row["epoch"] > EPOCHS_PER_GENERATION > before[name] for name, row in harness.rows().items())


def test_process_missing_from_the_members_file_is_not_started_twice(harness: DaemonHarness) -> None:
    harness.daemon.detach()
    path = harness.daemon.folder / "members.json"
    rows = read_members(path) or ()
    write_members(path, [Row(row.name, epoch=row.epoch) for row in rows])  # as before their start
    harness.daemon = Daemon(read_fleet(harness.file), NullLog())
    until(lambda: harness.serving() == ["n000", "n001"], "both are in the fleet again")
    assert {row["pid"] for row in harness.rows().values()} == {row.pid for row in rows}
    assert len(find_processes(harness.daemon.daemon_socket)) == 2
