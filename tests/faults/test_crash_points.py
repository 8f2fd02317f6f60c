import pytest

from springspread.faults.crash_points import faulty_journals, search
from springspread.faults.disk import Disk, MemoryFiles

FAULTY = dict(faulty_journals())
# Found by the longer searches of benchmarks.crash_points.
NEEDS_DEEP_SEARCH = {
    "a file is left unsynced",
    "a file goes before its copies are made",
    "a removal is not synced",
}


def test_no_crash_point_loses_what_was_acknowledged() -> None:
    found = search(0, 140)
    assert not found.violation and found.points > 200 and found.states > 800


@pytest.mark.parametrize("name", [name for name in FAULTY if name not in NEEDS_DEEP_SEARCH])
def test_injected_fault_is_found(name: str) -> None:
    assert search(0, 140, FAULTY[name], recovery_stride=0).violation


def test_unsynced_removal_restores_a_completed_message() -> None:
    assert "may have run" in search(1, 250, FAULTY["a removal is not synced"], recovery_stride=0).violation


def test_disk_loses_only_what_was_not_synced() -> None:
    disk = Disk()
    files = MemoryFiles(disk)
    first = files.open("a")
    files.append(first, b"kept")
    files.sync(first)
    files.sync_folder()
    files.append(first, b"lost")
    files.append(files.open("b"), b"new")
    found = {
        tuple(sorted((name, bytes(inode.current)) for name, inode in after_loss.current.items()))
        for after_loss in disk.losses()
    }
    assert found == {
        (("a", b"kept" + a), *((("b", b),) if there else ()))
        for a, b in ((b"", b""), (b"lo", b"n"), (b"lost", b"new"))
        for there in (True, False)
    }
    files.unlink("a")
    assert {"a" in after_loss.current for after_loss in disk.losses()} == {True, False}
    files.sync_folder()
    assert all("a" not in after_loss.current for after_loss in disk.losses())
