import pytest

from springspread.faults.crash_points import faulty_journals, search
from springspread.faults.disk import Disk, MemoryFiles

PLANTED = dict(faulty_journals())
# Found by benchmarks.crash_points, which looks further.
DEEP = {"a file is left unsynced", "a file goes before its copies are made", "a removal is not synced"}


def test_no_crash_point_loses_what_was_told() -> None:
    found = search(0, 140)
    assert not found.violation and found.points > 200 and found.states > 800


@pytest.mark.parametrize("name", [name for name in PLANTED if name not in DEEP])
def test_a_planted_fault_is_found(name: str) -> None:
    assert search(0, 140, PLANTED[name], again=0).violation


def test_a_removal_that_is_not_synced_brings_a_message_back() -> None:
    assert "may have run" in search(0, 250, PLANTED["a removal is not synced"], again=0).violation


def test_a_disk_loses_what_was_not_synced_and_nothing_else() -> None:
    disk = Disk()
    files = MemoryFiles(disk)
    first = files.open("a")
    files.append(first, b"kept")
    files.sync(first)
    files.sync_folder()
    files.append(first, b"lost")
    files.append(files.open("b"), b"new")
    found = {
        tuple(sorted((name, bytes(one.current)) for name, one in left.current.items()))
        for left in disk.losses()
    }
    assert found == {
        (("a", b"kept" + a), *((("b", b),) if there else ()))
        for a, b in ((b"", b""), (b"lo", b"n"), (b"lost", b"new"))
        for there in (True, False)
    }
    files.unlink("a")
    assert {"a" in left.current for left in disk.losses()} == {True, False}
    files.sync_folder()
    assert all("a" not in left.current for left in disk.losses())
