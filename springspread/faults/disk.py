"""A folder in memory that can lose power at any moment, with each loss that a system may cause.

A file keeps what was synced, and of what was written after that any prefix; each file that was made or
removed since the folder's last sync is there or not, whatever became of the others. Nothing else is promised
by a disk, and nothing less.
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
    """A file's contents: on disk, and as the processes see it."""

    kept: bytes = b""
    seen: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Disk:
    """A folder: which names are on disk, and which the processes see."""

    kept: dict[str, Inode] = field(default_factory=dict)
    seen: dict[str, Inode] = field(default_factory=dict)

    def losses(self) -> Iterator[Disk]:
        """What may be found after a loss of power now, each once by its shape; bounded in number."""
        names = sorted(self.kept.keys() | self.seen.keys())
        choices = [list(dict.fromkeys((id(self.kept.get(n)), id(self.seen.get(n))))) for n in names]
        by_id = {id(one): one for one in (*self.kept.values(), *self.seen.values())}
        doubtful = [n for n, found in enumerate(choices) if len(found) > 1]
        for picks in product(*(choices[n] for n in doubtful[-3:])):
            chosen = {n: found[-1] for n, found in enumerate(choices)}
            chosen |= dict(zip(doubtful[-3:], picks, strict=True))
            files = {names[n]: by_id[one] for n, one in chosen.items() if one in by_id}
            for cut in (0.0, 0.5, 1.0):
                yield Disk(dict(_after(files, cut))).settled()
                if all(bytes(one.seen) == one.kept for one in files.values()):
                    break

    def settled(self) -> Disk:
        """As a machine that starts finds it: what is there is on disk."""
        return Disk(dict(self.kept), dict(self.kept))


def _after(files: dict[str, Inode], cut: float) -> Iterator[tuple[str, Inode]]:
    for name, one in files.items():
        seen = bytes(one.seen)
        if seen.startswith(one.kept):
            more = len(seen) - len(one.kept)
            data = seen[: len(one.kept) + int(cut * more)]
        else:  # cut off since it was synced, and perhaps written anew
            data = one.kept if cut < 1.0 else seen
        yield name, Inode(data, bytearray(data))


class MemoryFiles(Files):
    """The journal's files on a ``Disk``; ``before`` hears of each operation, and may raise ``Crash``."""

    def __init__(self, disk: Disk, before: Callable[[str], None] = lambda what: None) -> None:
        super().__init__(Path("/nowhere"))
        self.disk, self.before = disk, before
        self._open: list[Inode] = []

    def names(self) -> list[str]:
        """As the system's."""
        return list(self.disk.seen)

    def read(self, name: str) -> bytes:
        """As the system's."""
        return bytes(self.disk.seen[name].seen)

    def size(self, name: str) -> int:
        """As the system's."""
        return len(self.disk.seen[name].seen)

    def modified_wall(self, name: str) -> float:
        """Nothing here has a time."""
        return 0.0

    def open(self, name: str) -> int:
        """As the system's."""
        self.before("open")
        self._open.append(self.disk.seen.setdefault(name, Inode()))
        return len(self._open) - 1

    def append(self, file: int, data: bytes) -> None:
        """As the system's."""
        self.before("append")
        self._open[file].seen.extend(data)

    def overwrite(self, name: str, data: bytes) -> None:
        """As the system's."""
        self.before("put")
        self.disk.seen.setdefault(name, Inode()).seen[:] = data

    def truncate(self, file: int, size: int) -> None:
        """As the system's."""
        self.before("truncate")
        del self._open[file].seen[size:]

    def sync(self, file: int) -> None:
        """As the system's."""
        self.before("sync")
        self._open[file].kept = bytes(self._open[file].seen)

    def sync_folder(self) -> None:
        """As the system's."""
        self.before("sync folder")
        self.disk.kept = dict(self.disk.seen)

    def duplicate(self, file: int) -> int:
        """As the system's."""
        return file

    def close(self, file: int) -> None:
        """As the system's."""

    def unlink(self, name: str) -> None:
        """As the system's."""
        self.before("unlink")
        del self.disk.seen[name]
