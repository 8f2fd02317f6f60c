"""An in-memory folder that enumerates what a power loss may leave on disk.

A file keeps its synced data and any prefix of what was written after that. Each file created or removed since
the folder's last sync may be there or not, independent of the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path

from springspread.core.files import Files


class Crash(BaseException):
    """Power is lost at this operation."""


@dataclass(slots=True)
class Inode:
    """A file's contents: as synced, and as the processes see them."""

    synced: bytes = b""
    current: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Disk:
    """A folder's entries: as synced, and as the processes see them."""

    synced: dict[str, Inode] = field(default_factory=dict)
    current: dict[str, Inode] = field(default_factory=dict)

    def losses(self) -> Iterator[Disk]:
        """Disks that a power loss may leave now, without equal ones; only the last three entries vary."""
        names = sorted(self.synced.keys() | self.current.keys())
        choices = [list(dict.fromkeys((id(self.synced.get(n)), id(self.current.get(n))))) for n in names]
        by_id = {id(inode): inode for inode in (*self.synced.values(), *self.current.values())}
        uncertain = [n for n, options in enumerate(choices) if len(options) > 1]
        for picks in product(*(choices[n] for n in uncertain[-3:])):
            chosen = {n: options[-1] for n, options in enumerate(choices)}
            chosen |= dict(zip(uncertain[-3:], picks, strict=True))
            files = {names[n]: by_id[inode_id] for n, inode_id in chosen.items() if inode_id in by_id}
            for kept_share in (0.0, 0.5, 1.0):
                yield Disk(dict(_after_loss(files, kept_share))).after_restart()
                if all(bytes(inode.current) == inode.synced for inode in files.values()):
                    break

    def after_restart(self) -> Disk:
        """The disk as a machine finds it on start: all of it is synced."""
        return Disk(dict(self.synced), dict(self.synced))


def _after_loss(files: dict[str, Inode], kept_share: float) -> Iterator[tuple[str, Inode]]:
    for name, inode in files.items():
        current = bytes(inode.current)
        if current.startswith(inode.synced):
            unsynced = len(current) - len(inode.synced)
            data = current[: len(inode.synced) + int(kept_share * unsynced)]
        else:  # truncated since its sync, and maybe rewritten
            data = inode.synced if kept_share < 1.0 else current
        yield name, Inode(data, bytearray(data))


class MemoryFiles(Files):
    """The journal's files on a ``Disk``; ``before`` is called before each operation, may raise ``Crash``."""

    def __init__(self, disk: Disk, before: Callable[[str], None] = lambda operation: None) -> None:
        super().__init__(Path("/nowhere"))
        self.disk, self.before = disk, before
        self._open: list[Inode] = []

    def names(self) -> list[str]:
        """As ``Files``."""
        return list(self.disk.current)

    def read(self, name: str) -> bytes:
        """As ``Files``."""
        return bytes(self.disk.current[name].current)

    def size(self, name: str) -> int:
        """As ``Files``."""
        return len(self.disk.current[name].current)

    def modified_wall(self, name: str) -> float:
        """Always 0."""
        return 0.0

    def open(self, name: str) -> int:
        """As ``Files``."""
        self.before("open")
        self._open.append(self.disk.current.setdefault(name, Inode()))
        return len(self._open) - 1

    def append(self, file: int, data: bytes) -> None:
        """As ``Files``."""
        self.before("append")
        self._open[file].current.extend(data)

    def overwrite(self, name: str, data: bytes) -> None:
        """As ``Files``."""
        self.before("put")
        self.disk.current.setdefault(name, Inode()).current[:] = data

    def truncate(self, file: int, size: int) -> None:
        """As ``Files``."""
        self.before("truncate")
        del self._open[file].current[size:]

    def sync(self, file: int) -> None:
        """As ``Files``."""
        self.before("sync")
        self._open[file].synced = bytes(self._open[file].current)

    def sync_folder(self) -> None:
        """As ``Files``."""
        self.before("sync folder")
        self.disk.synced = dict(self.disk.current)

    def duplicate(self, file: int) -> int:
        """As ``Files``."""
        return file

    def close(self, file: int) -> None:
        """As ``Files``."""

    def unlink(self, name: str) -> None:
        """As ``Files``."""
        self.before("unlink")
        del self.disk.current[name]
