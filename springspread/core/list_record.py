"""Until when the endpoint list may be used without an answer from discovery, kept for the next process.

When a change counts as notified depends on when discovery had it, not on which process of a sender asks for
it. So the deadlines of ``core.watch`` outlast a killed process, in a small file beside its journal:

    record                                             the list that the next process starts with
    none                                               used: no process of this sender has watched before
    of this boot, not older than that list             used until the recorded times
    of another boot, unreadable, or of a newer list    outdated from the start

Times are on the machine's monotonic clock, which all processes of one boot share. Each record is written in
place and not synced: it has to outlast a process, and one of another boot is not used. Where it can't be
written, the next process starts with older times and holds its calls back until discovery has answered.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from pathlib import Path
from struct import Struct
from struct import error as StructError
from zlib import crc32

from springspread.core.files import Files
from springspread.core.watch import MAX_DEADLINE_MS, ListDeadlines

FILE_NAME = "listed"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BODY = Struct("<36sqdd")  # boot, version, the two deadlines (ms)
CHECKSUM = Struct("<I")
OUTDATED = ListDeadlines(-inf, inf)


@dataclass(frozen=True, slots=True)
class ListRecord:
    """What one process recorded: the version of its list, and the deadlines of that list."""

    boot: bytes
    version: int
    deadlines: ListDeadlines

    def encode(self) -> bytes:
        """The record's bytes; all records have the same length."""
        body = BODY.pack(self.boot, self.version, *self.deadlines)
        return body + CHECKSUM.pack(crc32(body))


def decode(data: bytes) -> ListRecord | None:
    """The record in a file; ``None`` if it can't be read."""
    try:
        boot, version, usable_until, outdated_from = BODY.unpack_from(data)
        (checksum,) = CHECKSUM.unpack_from(data, BODY.size)
    except StructError:
        return None
    if checksum != crc32(data[: BODY.size]):
        return None
    return ListRecord(boot.rstrip(b"\0"), version, ListDeadlines(usable_until, outdated_from))


def read_files(folders: Iterable[Path]) -> list[bytes]:
    """The contents of the record files in some folders; empty for one that can't be read."""
    found = []
    for folder in folders:
        try:
            found.append((folder / FILE_NAME).read_bytes())
        except FileNotFoundError:
            continue
        except OSError:
            found.append(b"")
    return found


def boot_id() -> bytes:
    """Identifies the machine's current boot; empty where the system does not tell."""
    try:
        return BOOT_ID.read_bytes().strip()[:36]
    except OSError:
        return b""


def inherited_deadlines(
    files: Iterable[bytes], boot: bytes, version: int, now: float
) -> ListDeadlines | None:
    """The deadlines of a list of ``version``, from the record files of a sender's earlier processes.

    ``None``: there is no record.
    """
    records = [decode(data) for data in files]
    if not records:
        return None
    usable = [
        record.deadlines
        for record in records
        if record is not None
        and record.boot == boot != b""
        and record.version <= version
        and record.deadlines.usable_until <= now + MAX_DEADLINE_MS  # else of another clock
    ]
    return max(usable, default=OUTDATED)


class ListRecordFile:
    """Writes the record of this process."""

    def __init__(self, folder: Path, boot: bytes) -> None:
        self._files, self._boot = Files(folder), boot

    def write(self, version: int, deadlines: ListDeadlines) -> None:
        """Replace the record; raises ``OSError``."""
        self._files.overwrite(FILE_NAME, ListRecord(self._boot, version, deadlines).encode())
