"""The journal: what this sender owes, in append-only files that outlast the process.

A file that is damaged in the middle loses the damaged records alone (``journal_repair``): they are set
aside, all that is owed is written anew, and each message that was on record before the damage counts as one
that may have run, as its *begun* may have been there.

Records: *taken* (the message itself), *begun* (an attempt is about to write its first byte), *not run*
(proof that one never ran), *ending* (the final answer that was decided) and *over*. Each carries its length
and a checksum, so that a torn tail is found and cut. Deadlines are wall-clock times.
"""

from __future__ import annotations

import threading
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from struct import error as StructError
from zlib import crc32

from springspread.core import sync_position
from springspread.core.commit import GroupCommit
from springspread.core.files import Files
from springspread.core.journal_repair import (
    BEGUN,
    COMPLETED,
    ENDING,
    FRAME_HEADER,
    POLICY,
    TAKEN,
    DamagedRange,
    RecordReader,
)

PREFIX = "journal."
ASIDE = "damaged."  # and the file's number: what could not be read in it
BLOCK = 512  # what the disk's limit counts in
FILES = 12  # the disk is shared out to about so many files
LIVE_PART = 0.8  # of the disk, for live records; with more, clearing away would gain little


class JournalFull(Exception):
    """Taking the message on would not leave room to clear old files away."""


@dataclass(slots=True)
class PendingMessage:
    """A message on record and what is known of its attempts."""

    number: int
    id: str
    cls: str
    group: int
    deadline_wall: float
    body: bytes
    again: bool = False
    orphan: bool = False
    begun: set[int] = field(default_factory=set)
    not_run: set[int] = field(default_factory=set)
    ending: tuple[bool, float] | None = None  # deferred, again_ms
    file: int = 0  # where its *taken* stands
    policy: int = 0  # of the fleet, that it was taken under; 0: the sender stands alone

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt lacks the proof that it never ran."""
        return bool(self.begun - self.not_run)

    @property
    def attempts(self) -> int:
        """How many attempts were begun."""
        return max(self.begun, default=-1) + 1

    def records(self) -> bytes:
        """All that is known of it, as records."""
        name, cls = self.id.encode("latin-1"), self.cls.encode()
        flags = self.again | self.orphan << 1
        head = TAKEN.pack(
            b"T", self.number, self.deadline_wall, self.group, flags, len(cls), len(name), len(self.body)
        )
        under = POLICY.pack(self.policy) if self.policy else b""  # a reader that knows none passes it over
        out = [_encode_frame(head + cls + name + self.body + under)]
        out += [_encode_frame(BEGUN.pack(b"B", self.number, n)) for n in sorted(self.begun)]
        out += [_encode_frame(BEGUN.pack(b"N", self.number, n)) for n in sorted(self.not_run)]
        if self.ending is not None:
            out.append(_encode_frame(ENDING.pack(b"E", self.number, *self.ending)))
        return b"".join(out)


def _encode_frame(payload: bytes) -> bytes:
    return FRAME_HEADER.pack(len(payload), crc32(payload)) + payload


class Journal:
    """Appends are safe from any thread; the oldest file is cleared away when room is needed.

    The files are deleted in the order in which they were begun, and what is still owed in one is written
    anew at the end first. So a message's *over* never goes before its *taken*, and records that come twice do
    no harm.
    """

    def __init__(
        self,
        folder: Path,
        disk_bytes: int,
        max_attempts: int = 8,
        body_bytes: int = 65536,
        read_only: bool = False,
        durable: bool = False,
        files: Files | None = None,
        first_number: int = 0,
    ) -> None:
        """Read what the folder holds; ``read_only`` writes nothing, also beside a running sender.

        ``first_number``: messages are numbered from the next one on, where none is on record.

        ``durable``: records outlast a power loss, once ``wait_synced`` has returned.
        """
        self.commit = GroupCommit(self._sync) if durable else None
        self._files = files or Files(folder)
        self._per_message = (
            2 * max_attempts * (FRAME_HEADER.size + BEGUN.size) + FRAME_HEADER.size + ENDING.size
        )
        longest = self._longest = body_bytes + self._per_message + 1024
        self._file_bytes = disk_bytes // FILES
        # While a file is cleared away, what is owed in it stands twice: its length stays free at all times.
        self._disk, self._whole = disk_bytes, disk_bytes - self._file_bytes - longest - BLOCK * 3 * FILES
        self._budget, self._room = self._whole, 0
        self._most_live = min(LIVE_PART * disk_bytes, self._whole - longest)
        self._lock = threading.Lock()
        self.pending: dict[int, PendingMessage] = {}
        self.last_number = first_number
        self.cut_bytes = self.failures = 0
        self.damaged: dict[str, list[DamagedRange]] = {}  # by file
        self.possibly_run: dict[
            str, list[str]
        ] = {}  # ids that are owed and were on record before it, by file
        self.written_wall = 0.0  # when its files were last written, before this process (Unix time, ms)
        self._live = 0
        self._sizes: dict[int, int] = {}  # by file, the oldest first
        suffixes = [name[len(PREFIX) :] for name in self._files.names() if name.startswith(PREFIX)]
        numbers = sorted(int(suffix) for suffix in suffixes if suffix.isdecimal())
        self._file = -1
        for number in numbers:
            self._load_file(number, number == numbers[-1])
        self._cut_off(numbers[-1] if numbers else 0)
        if not read_only:
            self._open(numbers[-1] if numbers else 1)
            if self.damaged:
                self._renew()
            self._keep_room()

    @classmethod
    def reading(cls) -> Journal:
        """One that knows of no files, and is told records by ``note``."""
        book = cls.__new__(cls)
        book.pending, book.last_number, book._live, book._per_message = {}, 0, 0, 0
        return book

    def note(self, payload: bytes) -> None:
        """Take in a record that another process wrote; one of no kind that is known is passed over."""
        with suppress(StructError, UnicodeDecodeError):
            self._apply(payload, 0)

    @property
    def size(self) -> int:
        """How much of the disk it takes (bytes)."""
        with self._lock:
            return self._used()

    def keep_within(self, disk_bytes: int) -> None:
        """Take no more of the disk from now on; what is owed stays, whatever it takes."""
        with self._lock:
            # Not below what it has: files would be cleared away over and over for room that is not there.
            self._room = min(max(disk_bytes - self._disk, self._used() - self._whole), 0)
            self._keep_room()

    def remove(self) -> None:
        """Nothing is owed here any more: take its files away, the oldest first, and let go of it."""
        with self._lock:
            sync_position.clear(self._files)
            for number in sorted(self._sizes):  # cut off by a fault, it goes on where it was
                self._files.unlink(_name(number))
                del self._sizes[number]
                if self.commit is not None:
                    self._files.sync_folder()
            self._files.close(self._file)

    @property
    def files(self) -> dict[str, int]:
        """How many readable bytes each file held as it was read, the oldest first."""
        return {_name(number): size for number, size in self._sizes.items()}

    def wait_synced(self) -> None:
        """Wait until all that is on record is on disk; raises ``OSError``. Not ``durable``: at once."""
        if self.commit is not None:
            self.commit.wait_synced()

    def _sync_file(self) -> None:
        """The file that is written, where it is to outlast a power loss; the lock is held."""
        if self.commit is not None:
            try:
                self._files.sync(self._file)
            except OSError as exc:
                self.commit.fault = str(exc)
                raise

    def _sync(self) -> None:
        with self._lock:  # the file may be left for the next one meanwhile: that syncs it, too
            file, number = self._files.duplicate(self._file), self._file_number
            size = self._sizes[number]
        try:
            self._files.sync(file)
        finally:
            self._files.close(file)
        with suppress(OSError):  # it tells less then
            sync_position.write(self._files, number, size)

    def _open(self, number: int) -> None:
        if self._file >= 0:
            self._sync_file()
            self._files.close(self._file)
        self._file = self._files.open(_name(number))
        if self.commit is not None:
            self._files.sync_folder()
        self._file_number = number
        # Guards against a tail torn by SIGKILL: later records must not follow the stump.
        self._files.truncate(self._file, self._sizes.setdefault(number, 0))

    def _load_file(self, number: int, newest: bool) -> None:
        name = _name(number)
        self.written_wall = max(self.written_wall, self._files.modified_wall(name))
        data = self._files.read(name)
        reader, ranges, possibly_run = RecordReader(data), list[DamagedRange](), list[str]()
        for item in reader:
            if not isinstance(item, DamagedRange):
                at, payload = item
                try:
                    self._apply(payload, number)
                    continue
                except (StructError, UnicodeDecodeError):  # of no kind that is known: as good as damaged
                    item = DamagedRange(at, reader.end)
            ranges.append(item)
            possibly_run += self._doubt()
        if reader.end < len(data) and not newest:  # nobody writes there any more: no process tore it
            ranges.append(DamagedRange(reader.end, len(data)))
            possibly_run += self._doubt()
        if ranges:
            self.damaged[name], self.possibly_run[name] = ranges, possibly_run
        self.cut_bytes += len(data) - reader.end
        self._sizes[number] = reader.end

    def _cut_off(self, newest: int) -> None:
        """Guards unsafe calls: what was synced and is not there any more may have been their *begun*."""
        number, size = sync_position.read(self._files)
        if (number, size) <= (newest, self._sizes.get(newest, 0)):
            return
        name = _name(number)
        self.damaged.setdefault(name, []).append(DamagedRange(self._sizes.get(number, 0), size))
        self.possibly_run.setdefault(name, []).extend(self._doubt())

    def _doubt(self) -> list[str]:
        """A record may be lost here: a *begun* of anything that is owed by now, perhaps. Their ids."""
        possibly_run = [owed for owed in self.pending.values() if not owed.may_have_run]
        for owed in possibly_run:
            owed.begun.add(owed.attempts)
        return [owed.id for owed in possibly_run]

    def _renew(self) -> None:
        """Leave no damaged file behind: what can't be read is set aside, what is owed is written anew."""
        try:
            for name, ranges in self.damaged.items():
                data = self._files.read(name) if name in self._files.names() else b""
                aside = self._files.open(ASIDE + name[len(PREFIX) :])
                self._files.truncate(aside, 0)
                self._files.append(aside, b"".join(data[one.start : one.end] for one in ranges))
                self._files.close(aside)
            self._keep_room()
            old = set(self._sizes)
            while old & set(self._sizes):
                self._compact_oldest()
            sync_position.clear(self._files)  # it was of those
        except OSError:
            self.failures += 1  # the disk is full, say: the damaged files stay, and the next start finds them

    def _keep_room(self) -> None:
        """What was set aside counts towards the disk's limit; of more than a file's part the oldest go."""
        aside = sorted(name for name in self._files.names() if name.startswith(ASIDE))
        sizes = [-(-self._files.size(name) // BLOCK) * BLOCK for name in aside]
        while sum(sizes) > self._file_bytes and len(sizes) > 1:
            self._files.unlink(aside.pop(0))
            sizes.pop(0)
        self._budget = self._whole + self._room - sum(sizes)
        self._most_live = min(LIVE_PART * (self._disk + self._room), self._budget - self._longest)

    def _apply(self, payload: bytes, file: int) -> None:
        kind = payload[:1]
        if kind == b"T":
            _, number, deadline, group, flags, cls, name, size = TAKEN.unpack_from(payload)
            at = TAKEN.size
            text, id_ = payload[at : at + cls].decode(), payload[at + cls : at + cls + name].decode("latin-1")
            end = at + cls + name + size
            body = payload[at + cls + name : end]
            under = POLICY.unpack_from(payload, end)[0] if len(payload) >= end + POLICY.size else 0
            again, orphan = bool(flags & 1), bool(flags & 2)
            if number in self.pending:
                # Written anew as its file was cleared away. Guards rule 2: what is known of its attempts
                # stays, as a kill may have cut off the records that follow.
                self.pending[number].file = file
                return
            owed = PendingMessage(
                number, id_, text, group, deadline, body, again, orphan, file=file, policy=under
            )
            self._add(owed)
        elif kind in (b"B", b"N"):
            _, number, attempt = BEGUN.unpack(payload)
            self.last_number = max(self.last_number, number)
            if number in self.pending:
                owed = self.pending[number]
                (owed.begun if kind == b"B" else owed.not_run).add(attempt)
        elif kind == b"E":
            _, number, deferred, again_ms = ENDING.unpack(payload)
            if number in self.pending:
                self.pending[number].ending = (bool(deferred), again_ms)
        elif kind == b"O":
            _, number = COMPLETED.unpack(payload)
            self.last_number = max(self.last_number, number)
            self._drop(number)

    def _add(self, owed: PendingMessage) -> None:
        self.pending[owed.number] = owed
        self.last_number = max(self.last_number, owed.number)
        self._live += self._cost(owed)

    def _drop(self, number: int) -> None:
        owed = self.pending.pop(number, None)
        if owed is not None:
            self._live -= self._cost(owed)

    def _cost(self, owed: PendingMessage) -> int:
        fixed = FRAME_HEADER.size + TAKEN.size + POLICY.size + len(owed.cls.encode()) + len(owed.id)
        return fixed + len(owed.body) + self._per_message

    def record_taken(self, owed: PendingMessage) -> None:
        """Put a message on record, or raise ``JournalFull`` before the disk could overflow."""
        with self._lock:
            if self._live + self._cost(owed) > self._most_live:
                raise JournalFull
            if self.commit is not None and self.commit.fault:
                raise OSError(self.commit.fault)
            self._append(owed.records())
            owed.file = self._file_number
            self._add(owed)

    def record_begun(self, number: int, attempt: int) -> bool:
        """An attempt is about to write its first byte; false where its message is owed no more."""
        with self._lock:
            if number in self.pending:
                self._append(_encode_frame(BEGUN.pack(b"B", number, attempt)))
                self.pending[number].begun.add(attempt)
                return True
        return False

    def withdraw(self, number: int) -> bool:
        """Owe a message no more, unless a call with it has begun; whether it is so."""
        with self._lock:
            if number not in self.pending or self.pending[number].begun:
                return False
            self._drop(number)
            self._note(_encode_frame(COMPLETED.pack(b"O", number)))
            return True

    def record_not_run(self, number: int, attempt: int) -> None:
        """An attempt is proved not to have run; nothing is written for one that never began."""
        with self._lock:
            if number in self.pending and attempt in self.pending[number].begun:
                self.pending[number].not_run.add(attempt)
                self._note(_encode_frame(BEGUN.pack(b"N", number, attempt)))

    def record_ending(self, number: int, deferred: bool, again_ms: float) -> None:
        """The final answer is decided and still has to be told."""
        with self._lock:
            if number in self.pending:
                self.pending[number].ending = (deferred, again_ms)
                self._note(_encode_frame(ENDING.pack(b"E", number, deferred, again_ms)))

    def record_completed(self, number: int) -> None:
        """Nothing more is owed for a message."""
        with self._lock:
            if number in self.pending:
                self._drop(number)
                self._note(_encode_frame(COMPLETED.pack(b"O", number)))

    def _note(self, record: bytes) -> None:
        """Append what does no harm if it is missing: the next process then knows less than it might."""
        try:
            self._append(record)
        except OSError:
            self.failures += 1

    def _append(self, record: bytes) -> None:
        for _ in range(len(self._sizes)):
            if self._used() + len(record) <= self._budget:
                break
            self._compact_oldest()
        self._write(record)

    def _write(self, record: bytes) -> None:
        if self._sizes[self._file_number] >= self._file_bytes:
            self._open(self._file_number + 1)
        try:
            self._files.append(self._file, record)
        except OSError:
            # Guards what follows: a record written in part would hide all later ones.
            self._files.truncate(self._file, self._sizes[self._file_number])
            raise
        self._sizes[self._file_number] += len(record)
        if self.commit is not None:
            self.commit.note_write()

    def _compact_oldest(self) -> None:
        oldest = min(self._sizes)
        if oldest == self._file_number:
            self._open(self._file_number + 1)
        for owed in [owed for owed in self.pending.values() if owed.file == oldest]:
            self._write(owed.records())
            owed.file = self._file_number
        self._sync_file()  # the copies are on disk before what they are of is gone
        self._files.unlink(_name(oldest))
        if self.commit is not None:
            # Guards the order over a power loss: a message whose *over* is gone must not come back.
            self._files.sync_folder()
        del self._sizes[oldest]

    def _used(self) -> int:
        return sum(-(-size // BLOCK) * BLOCK for size in self._sizes.values())

    def close(self) -> None:
        """Let go of the file."""
        with self._lock:
            self._files.close(self._file)


def _name(number: int) -> str:
    return f"{PREFIX}{number:08d}"
