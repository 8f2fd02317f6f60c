"""The files of one folder, as whatever keeps something there uses them: a narrow layer over the system's.

All that is kept goes through here, so that fault injection may put another one in its place: one that holds
back what was not synced, or one in memory. Raises ``OSError`` as the system does.
"""

from __future__ import annotations

import os
from pathlib import Path


class Files:
    """The system's. Names are of files in the folder; an open file is a number."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def names(self) -> list[str]:
        """What there is."""
        return [entry.name for entry in self._folder.iterdir()]

    def read(self, name: str) -> bytes:
        """All of a file."""
        return (self._folder / name).read_bytes()

    def size(self, name: str) -> int:
        """A file's length, in bytes."""
        return (self._folder / name).stat().st_size

    def modified_wall(self, name: str) -> float:
        """When a file was last written, by the machine's clock of then (Unix time, ms)."""
        return (self._folder / name).stat().st_mtime * 1000.0

    def open(self, name: str) -> int:
        """Open a file to append to it; it is made where there is none."""
        return os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def append(self, file: int, data: bytes) -> None:
        """Write all of it at the end; on ``OSError`` a part may be there."""
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def overwrite(self, name: str, data: bytes) -> None:
        """Write a small file of one length anew, in place; nothing tells when it is on disk."""
        file = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            os.pwrite(file, data, 0)
        finally:
            os.close(file)

    def truncate(self, file: int, size: int) -> None:
        """Cut a file off."""
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        """Put on disk what was written to a file."""
        os.fdatasync(file)

    def sync_folder(self) -> None:
        """Put on disk which files there are."""
        sync_folder(self._folder)

    def duplicate(self, file: int) -> int:
        """The same open file once more, for a sync while the first one may be closed."""
        return os.dup(file)

    def close(self, file: int) -> None:
        """Let go of it."""
        os.close(file)

    def unlink(self, name: str) -> None:
        """Remove a file."""
        (self._folder / name).unlink()


def sync_folder(folder: Path) -> None:
    """Put on disk which files a folder has; raises ``OSError``."""
    place = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(place)
    finally:
        os.close(place)
