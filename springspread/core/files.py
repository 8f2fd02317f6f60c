"""File operations on one folder: a thin layer over the operating system's.

All journal I/O goes through it, so that fault injection can substitute an implementation that drops unsynced
data, or one in memory. Errors are raised as ``OSError``.
"""

from __future__ import annotations

import os
from pathlib import Path


class Files:
    """Files on the real file system. Names are relative to the folder; an open file is its descriptor."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def names(self) -> list[str]:
        """The names of all files in the folder."""
        return [entry.name for entry in self._folder.iterdir()]

    def read(self, name: str) -> bytes:
        """A file's contents."""
        return (self._folder / name).read_bytes()

    def size(self, name: str) -> int:
        """A file's length in bytes."""
        return (self._folder / name).stat().st_size

    def modified_wall(self, name: str) -> float:
        """When a file was last modified, by the machine's clock at that time (Unix time, ms)."""
        return (self._folder / name).stat().st_mtime * 1000.0

    def open(self, name: str) -> int:
        """Open a file for appending, creating it if needed."""
        return os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def append(self, file: int, data: bytes) -> None:
        """Append all of ``data``; after ``OSError`` part of it may have been written."""
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite a small file of constant length in place, without syncing it."""
        file = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            os.pwrite(file, data, 0)
        finally:
            os.close(file)

    def truncate(self, file: int, size: int) -> None:
        """Truncate an open file."""
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        """Flush an open file's data to disk."""
        os.fdatasync(file)

    def sync_folder(self) -> None:
        """Flush the folder's directory entries to disk."""
        sync_folder(self._folder)

    def duplicate(self, file: int) -> int:
        """Duplicate an open file, so that it can be synced even if the original is closed meanwhile."""
        return os.dup(file)

    def close(self, file: int) -> None:
        """Close an open file."""
        os.close(file)

    def unlink(self, name: str) -> None:
        """Remove a file."""
        (self._folder / name).unlink()


def sync_folder(folder: Path) -> None:
    """Flush a folder's directory entries to disk; raises ``OSError``."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
