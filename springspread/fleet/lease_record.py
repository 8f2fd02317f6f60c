"""Records granted leases on disk before they are sent: the next allocator counts them as used.

Theory of operation. Two files are written in turn. A file is truncated and reused once every lease in it has
ended for longer than any limit's span, so both stay small. Each begins with the boot id: leases end on a
clock that starts at boot, so a file of an earlier boot is deleted. The files are not synced: they must
survive the allocator's process, but not a reboot, which ends all instances, too.
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

HEADER = Struct("<II")  # length and checksum of the body
BODY = Struct("<QQIdHH")  # serial, epoch, calls, end (ms), lengths of the name and key that follow
MAX_BODY_BYTES = BODY.size + 2 * 4 * MAX_KEY_CHARS  # a name and a key, of four bytes a character at most
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_BYTES = 36
FILE_BYTES = 1 << 16  # size from which the other file is used, once its leases no longer count


@dataclass(frozen=True, slots=True)
class _FileContent:
    """The leases of one file; ``size``: the length of its valid part; ``complete``: no lease is missing."""

    leases: list[Lease]
    size: int
    complete: bool


class LeaseRecord:
    """Appends leases, and reads those of an earlier process.

    ``earlier``: the leases read; ``existed``: there were files; ``complete``: no lease is missing from them.
    Files of another boot count as incomplete, as the ends of their leases are on another clock.
    """

    def __init__(self, folder: Path, retention_ms: float) -> None:
        """``retention_ms``: the longest that a lease counts after its end. Raises ``OSError``."""
        self._paths = _paths(folder)
        self._retention_ms = retention_ms
        self._boot_id = _boot_id()
        contents = [_read(path, self._boot_id) for path in self._paths]
        self.complete = all(content.complete for content in contents)
        self.existed = any(path.exists() for path in self._paths)
        self._delete_other_boots()
        self.earlier = [lease for content in contents for lease in content.leases]
        self._ends = [max((lease.until for lease in content.leases), default=0.0) for content in contents]
        self._file = -1
        # Appends continue in the newer file, after its last valid lease.
        newer = self._ends.index(max(self._ends))
        self._open(newer, contents[newer].size)

    def _delete_other_boots(self) -> None:
        """Delete files of another boot, so that the next process finds none."""
        for path in self._paths:
            if path.exists() and path.read_bytes()[:BOOT_ID_BYTES] != self._boot_id:
                path.unlink()

    def _open(self, index: int, size: int) -> None:
        """Continue in a file, truncated to ``size`` bytes; 0: start it again."""
        if self._file >= 0:
            os.close(self._file)
        self._current = index
        self._file = os.open(self._paths[index], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(self._file, size)
        if not size:
            self._ends[index] = 0.0
            os.write(self._file, self._boot_id)

    def append(self, leases: Sequence[Lease], now: float) -> None:
        """Append leases; where it raises ``OSError``, none of them may be sent."""
        other, size = 1 - self._current, os.fstat(self._file).st_size
        if size > FILE_BYTES and self._ends[other] + self._retention_ms < now:
            self._open(other, 0)
            size = os.fstat(self._file).st_size
        data = b"".join(map(_pack, leases))
        if os.write(self._file, data) < len(data):
            os.ftruncate(self._file, size)  # later leases must not follow a partial one
            raise OSError(errno.ENOSPC, f"{self._paths[self._current]}: partial write")
        self._ends[self._current] = max([self._ends[self._current], *(lease.until for lease in leases)])

    def extend_retention(self, retention_ms: float) -> None:
        """Raise the retention, where this one is longer."""
        self._retention_ms = max(self._retention_ms, retention_ms)

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


def _read(path: Path, boot_id: bytes) -> _FileContent:
    """The content of a file, empty unless it is of the boot with this id."""
    data = path.read_bytes() if path.exists() else b""
    if data[:BOOT_ID_BYTES] != boot_id:
        return _FileContent([], 0, complete=not path.exists())
    leases, offset = list[Lease](), BOOT_ID_BYTES
    while offset + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, offset)
        if length > MAX_BODY_BYTES:
            return _FileContent(leases, offset, complete=False)
        body = data[offset + HEADER.size : offset + HEADER.size + length]
        if len(body) < length:
            break  # the process was killed during the write, so it was not sent
        if crc32(body) != checksum:
            return _FileContent(leases, offset, complete=False)
        leases.append(_unpack(body))
        offset += HEADER.size + length
    return _FileContent(leases, offset, complete=True)


def leased_epochs(folder: Path) -> list[tuple[str, int]]:
    """The names and epochs of the instances that leases were granted to, in any boot."""
    owners = []
    for path in _paths(folder):
        boot_id = path.read_bytes()[:BOOT_ID_BYTES] if path.exists() else b""
        owners += [lease.owner for lease in _read(path, boot_id).leases if lease.key != UNKNOWN_KEY]
    return owners


def _paths(folder: Path) -> list[Path]:
    return [folder / f"leases.{index}" for index in (0, 1)]


def _pack(lease: Lease) -> bytes:
    name, key = lease.owner[0].encode(), lease.key.encode()
    body = BODY.pack(lease.serial, lease.owner[1], lease.calls, lease.until, len(name), len(key)) + name + key
    return HEADER.pack(len(body), crc32(body)) + body


def _unpack(body: bytes) -> Lease:
    serial, epoch, calls, until, name_bytes, key_bytes = BODY.unpack_from(body)
    rest = body[BODY.size :]
    name = rest[:name_bytes].decode()
    key = rest[name_bytes : name_bytes + key_bytes].decode()
    return Lease(serial, (name, epoch), key, calls, until)


def _boot_id() -> bytes:
    """The id of this boot, ``BOOT_ID_BYTES`` long."""
    return BOOT_ID.read_text().strip().encode()[:BOOT_ID_BYTES].ljust(BOOT_ID_BYTES)
