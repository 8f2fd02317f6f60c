"""What an allocator gave out, on disk before it is told: its successor counts it as used.

Two files take turns. A file is begun anew when every lease in it is of no account any more, so both stay
small. They outlast the process, as that is all that can end without the instances: the clock that leases are
counted by begins again with the machine, and a record of another start of the machine is left aside.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Sequence
from pathlib import Path
from struct import Struct
from zlib import crc32

from springspread.fleet.limits import Lease

HEAD = Struct("<II")  # length and checksum of the rest
BODY = Struct("<QQIdHH")
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_BYTES = 36
FILE_BYTES = 1 << 16  # a file is left for the other one at this length, as soon as that is of no account


class Record:
    """Append leases; read what an earlier process appended.

    ``whole``: nothing of that is missing; one of another start of the machine is, as its moments say nothing.
    ``found``: there was any.
    """

    def __init__(self, folder: Path, keep_ms: float) -> None:
        """``keep_ms``: how long after its end a lease still counts, at most."""
        self._paths = _paths(folder)
        self._keep_ms = keep_ms
        self._boot = _boot_id()
        found = [_read(path, self._boot) for path in self._paths]
        self.whole = all(whole for _, _, whole in found)
        self.found = any(path.exists() for path in self._paths)
        for path in self._paths:
            if path.exists() and path.read_bytes()[:BOOT_BYTES] != self._boot:
                path.unlink()  # of no account any more, and not to be met again by the next daemon
        self.before = [lease for leases, _, _ in found for lease in leases]
        self._ends = [max((lease.until for lease in leases), default=0.0) for leases, _, _ in found]
        self._file = -1
        # The newer file goes on, without a torn tail; where none is of this start of the machine, it is anew.
        newer = self._ends.index(max(self._ends))
        self._open(newer, found[newer][1])

    def _open(self, turn: int, good: int) -> None:
        if self._file >= 0:
            os.close(self._file)
        self._turn = turn
        self._file = os.open(self._paths[turn], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(self._file, good)
        if not good:
            self._ends[turn] = 0.0
            os.write(self._file, self._boot)

    def append(self, leases: Sequence[Lease], now: float) -> None:
        """Put leases on record; raises ``OSError``, and then none of them may be told."""
        other, size = 1 - self._turn, os.fstat(self._file).st_size
        if size > FILE_BYTES and self._ends[other] + self._keep_ms < now:
            self._open(other, 0)
            size = os.fstat(self._file).st_size
        data = b"".join(map(_pack, leases))
        if os.write(self._file, data) < len(data):
            os.ftruncate(self._file, size)  # guards what is appended later against a torn middle
            raise OSError(errno.ENOSPC, f"{self._paths[self._turn]}: not whole on disk")
        self._ends[self._turn] = max([self._ends[self._turn], *(lease.until for lease in leases)])

    def counts_for(self, keep_ms: float) -> None:
        """Leases may count for longer from now on."""
        self._keep_ms = max(self._keep_ms, keep_ms)

    def close(self) -> None:
        """Let go of the file."""
        os.close(self._file)


def _read(path: Path, boot: bytes) -> tuple[list[Lease], int, bool]:
    """The leases of a file of one start of the machine, how many bytes hold them, and if that is all."""
    data = path.read_bytes() if path.exists() else b""
    if data[:BOOT_BYTES] != boot:
        return [], 0, not path.exists()
    leases, at = list[Lease](), BOOT_BYTES
    while at + HEAD.size <= len(data):
        size, check = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + size]
        if len(body) < size:
            break  # torn as the process was killed: it was not told
        if crc32(body) != check:
            return leases, at, False
        leases.append(_unpack(body))
        at += HEAD.size + size
    return leases, at, True


def leased_epochs(folder: Path) -> list[tuple[str, int]]:
    """Whom leases were given to, of whichever start of the machine: name and epoch."""
    found = []
    for path in _paths(folder):
        boot = path.read_bytes()[:BOOT_BYTES] if path.exists() else b""
        found += [lease.owner for lease in _read(path, boot)[0]]
    return found


def _paths(folder: Path) -> list[Path]:
    return [folder / f"leases.{n}" for n in (0, 1)]


def _pack(lease: Lease) -> bytes:
    name, key = lease.owner[0].encode(), lease.key.encode()
    body = BODY.pack(lease.serial, lease.owner[1], lease.calls, lease.until, len(name), len(key)) + name + key
    return HEAD.pack(len(body), crc32(body)) + body


def _unpack(body: bytes) -> Lease:
    serial, epoch, calls, until, name, key = BODY.unpack_from(body)
    rest = body[BODY.size :]
    return Lease(serial, (rest[:name].decode(), epoch), rest[name : name + key].decode(), calls, until)


def _boot_id() -> bytes:
    """Which start of the machine this is."""
    return BOOT_ID.read_text().strip().encode()[:BOOT_BYTES].ljust(BOOT_BYTES)
