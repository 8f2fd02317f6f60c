"""The journal of another process on the same state folder, read while that process writes it."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

from springspread.core.closed_messages import ClosedMessage
from springspread.core.journal import BLOCK_BYTES, FILE_PREFIX, Journal
from springspread.core.journal_records import PendingMessage
from springspread.core.journal_repair import DamagedRange, RecordReader

READ_ATTEMPTS = 5


def read_journal(folder: Path) -> Journal:
    """Read the journal in its folder without locking it, also beside its process; raises ``OSError``."""
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return Journal(folder, 1 << 40, read_only=True)
        except FileNotFoundError:
            continue  # deleted by compaction or a takeover: its pending messages are in a later file
    return Journal(folder, 1 << 40, read_only=True)


def folder_bytes(folder: Path) -> int:
    """The disk space of the files in a folder, by the rule of the disk limit (bytes); raises ``OSError``."""
    total = 0
    for entry in folder.iterdir():
        with suppress(FileNotFoundError):  # deleted by compaction meanwhile
            if entry.is_file():
                total += -(-entry.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES
    return total


class PeerJournal:
    """Read-only view of another process's journal; its files are read incrementally."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._read_offsets: dict[tuple[str, int], int] = {}  # by file name and inode
        self._replica = Journal.replica()

    def find(self, id: str) -> PendingMessage | ClosedMessage | None:
        """The message with this id that is pending, or was closed lately."""
        for _ in range(READ_ATTEMPTS):
            try:
                self._read_new_records()
                break
            except FileNotFoundError:
                continue  # deleted by compaction: its pending messages are in a later file
        pending = (message for message in self._replica.pending.values() if message.id == id)
        return next(pending, None) or self._replica.find_closed(id)

    def _read_new_records(self) -> None:
        names = sorted(entry.name for entry in self._folder.iterdir() if entry.name.startswith(FILE_PREFIX))
        files = {(name, (self._folder / name).stat().st_ino): name for name in names}
        if self._read_offsets.keys() - files.keys():
            # A deleted file may have held *completed* records that were not read yet.
            self._read_offsets, self._replica = {}, Journal.replica()
        for key, name in files.items():
            offset = self._read_offsets.get(key, 0)
            with (self._folder / name).open("rb") as file:
                file.seek(offset)
                reader = RecordReader(file.read())
            for item in reader:
                if not isinstance(item, DamagedRange):
                    self._replica.apply_record(item[1])
            self._read_offsets[key] = offset + reader.end

    @property
    def size(self) -> int:
        """The disk space of its folder (bytes); raises ``OSError``."""
        return folder_bytes(self._folder)
