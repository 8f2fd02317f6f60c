"""The leases that an allocator granted, on disk before they are sent: its successor counts them as used.

Theory of operation. Two files are written in turn. A file is truncated and reused once every lease in it has
ended for longer than any limit's span, so both stay small. Each begins with the identity of the machine's
start: leases end on a clock that begins with the machine, so a file of an earlier start is deleted. They are
not synced: they have to outlast the allocator's process, and every instance ends with the machine, too.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from struct import Struct
from zlib import crc32

from springspread.fleet.limits import UNKNOWN_KEY, Lease
from springspread.fleet.messages import MAX_KEY_CHARS

HEAD = Struct("<II")  # length and checksum of the body
BODY = Struct("<QQIdHH")  # serial, epoch, calls, end (ms), lengths of the name and key that follow
MAX_BODY_BYTES = BODY.size + 2 * 4 * MAX_KEY_CHARS  # a name and a key, of four bytes a character at most
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_BYTES = 36
FILE_BYTES = 1 << 16  # from this length on the other file is used, as soon as its leases no longer count


@dataclass(frozen=True, slots=True)
class _FileContent:
    """The leases of one file; ``size``: the bytes that hold them; ``complete``: no lease is missing."""

    leases: list[Lease]
    size: int
    complete: bool


class LeaseRecord:
    """Appends leases, and reads those that an earlier process appended.

    ``earlier``: those; ``existed``: there were files; ``complete``: no lease of theirs is missing. Files of
    another start of the machine count as incomplete, as the ends of their leases mean nothing now.
    """

    def __init__(self, folder: Path, retention_ms: float) -> None:
        """``retention_ms``: how long after its end a lease still counts, at most. Raises ``OSError``."""
        self._paths = _paths(folder)
        self._retention_ms = retention_ms
        self._boot = _boot_id()
        contents = [_read(path, self._boot) for path in self._paths]
        self.complete = all(content.complete for content in contents)
        self.existed = any(path.exists() for path in self._paths)
        self._delete_foreign()
        self.earlier = [lease for content in contents for lease in content.leases]
        self._ends = [max((lease.until for lease in content.leases), default=0.0) for content in contents]
        self._file = -1
        # Appending goes on in the newer file, behind its last readable lease.
        newer = self._ends.index(max(self._ends))
        self._open(newer, contents[newer].size)

    def _delete_foreign(self) -> None:
        """Delete files of another start of the machine, so that the next process finds none."""
        for path in self._paths:
            if path.exists() and path.read_bytes()[:BOOT_BYTES] != self._boot:
                path.unlink()

    def _open(self, index: int, size: int) -> None:
        """Go on in a file, cut to ``size`` bytes; 0: begin it anew."""
        if self._file >= 0:
            os.close(self._file)
        self._current = index
        self._file = os.open(self._paths[index], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(self._file, size)
        if not size:
            self._ends[index] = 0.0
            os.write(self._file, self._boot)

    def append(self, leases: Sequence[Lease], now: float) -> None:
        """Put leases on record; raises ``OSError``, and then none of them may be sent."""
        other, size = 1 - self._current, os.fstat(self._file).st_size
        if size > FILE_BYTES and self._ends[other] + self._retention_ms < now:
            self._open(other, 0)
            size = os.fstat(self._file).st_size
        data = b"".join(map(_pack, leases))
        if os.write(self._file, data) < len(data):
            os.ftruncate(self._file, size)  # guards what is appended later against a torn middle
            raise OSError(errno.ENOSPC, f"{self._paths[self._current]}: not complete on disk")
        self._ends[self._current] = max([self._ends[self._current], *(lease.until for lease in leases)])

    def extend_retention(self, retention_ms: float) -> None:
        """Leases may count for longer after their ends from now on."""
        self._retention_ms = max(self._retention_ms, retention_ms)

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


def _read(path: Path, boot: bytes) -> _FileContent:
    """The content of a file of one start of the machine."""
    data = path.read_bytes() if path.exists() else b""
    if data[:BOOT_BYTES] != boot:
        return _FileContent([], 0, complete=not path.exists())
    leases, offset = list[Lease](), BOOT_BYTES
    while offset + HEAD.size <= len(data):
        length, checksum = HEAD.unpack_from(data, offset)
        if length > MAX_BODY_BYTES:
            return _FileContent(leases, offset, complete=False)
        body = data[offset + HEAD.size : offset + HEAD.size + length]
        if len(body) < length:
            break  # cut short as the process was killed, hence never sent
        if crc32(body) != checksum:
            return _FileContent(leases, offset, complete=False)
        leases.append(_unpack(body))
        offset += HEAD.size + length
    return _FileContent(leases, offset, complete=True)


def leased_epochs(folder: Path) -> list[tuple[str, int]]:
    """The names and epochs of instances that leases were granted to, in any start of the machine."""
    owners = []
    for path in _paths(folder):
        boot = path.read_bytes()[:BOOT_BYTES] if path.exists() else b""
        owners += [lease.owner for lease in _read(path, boot).leases if lease.key != UNKNOWN_KEY]
    return owners


def _paths(folder: Path) -> list[Path]:
    return [folder / f"leases.{index}" for index in (0, 1)]


def _pack(lease: Lease) -> bytes:
    name, key = lease.owner[0].encode(), lease.key.encode()
    body = BODY.pack(lease.serial, lease.owner[1], lease.calls, lease.until, len(name), len(key)) + name + key
    return HEAD.pack(len(body), crc32(body)) + body


def _unpack(body: bytes) -> Lease:
    serial, epoch, calls, until, name_bytes, key_bytes = BODY.unpack_from(body)
    rest = body[BODY.size :]
    name = rest[:name_bytes].decode()
    key = rest[name_bytes : name_bytes + key_bytes].decode()
    return Lease(serial, (name, epoch), key, calls, until)


def _boot_id() -> bytes:
    """The identity of this start of the machine, ``BOOT_BYTES`` long."""
    return BOOT_ID.read_text().strip().encode()[:BOOT_BYTES].ljust(BOOT_BYTES)
