"""The journal: the messages this sender still has to finish, in append-only files that outlast the process.

Records: *taken* (the message itself), *begun* (an attempt is about to write its first byte), *not run*
(proof that an attempt never ran), *ending* (the final answer that was decided), *completed*, and *result* (of
a message whose other records have been removed, ``closed_messages``). Each carries its length and a checksum,
so that a torn tail is detected and cut off. Deadlines are wall-clock times.

If a file is damaged in the middle, only the damaged records are lost (``journal_repair``): they are set
aside, all pending messages are rewritten, and every message recorded before the damage counts as possibly
run, as its *begun* may be among the lost records.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from struct import error as StructError

from springspread.core import sync_position
from springspread.core.closed_messages import ClosedMessage, ClosedMessages
from springspread.core.commit import GroupCommit
from springspread.core.files import Files
from springspread.core.journal_records import PendingMessage, decode_taken, encode_frame
from springspread.core.journal_repair import (
    BEGUN,
    COMPLETED,
    ENDING,
    FRAME_HEADER,
    RESULT,
    DamagedRange,
    RecordReader,
)

FILE_PREFIX = "journal."
DAMAGED_PREFIX = "damaged."  # followed by the number of the journal file whose unreadable bytes it holds
BLOCK_BYTES = 512  # granularity of the disk limit
FILE_COUNT = 12  # the disk limit is divided into about this many files
MAX_RESULTS = 2048  # of closed messages
MAX_RESULTS_SHARE = 0.25  # of a file, for the records of results
RESULT_BYTES = FRAME_HEADER.size + RESULT.size
MAX_LIVE_SHARE = 0.8  # of the disk limit, for live records; above it, compaction frees too little


class JournalFull(Exception):
    """Recording the message would not leave enough room to compact old files."""


class Journal:
    """Appends are thread-safe; the oldest file is compacted when room is needed.

    Files are deleted in the order of their creation, after the pending messages in them have been appended
    to the newest file. So a *completed* record never disappears before its *taken*, and duplicate records
    are harmless.
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
        """Read the folder's journal.

        ``read_only``: write nothing; safe beside a running sender.
        ``durable``: records survive a power loss once ``wait_synced`` has returned.
        ``first_number``: the lower bound of ``last_number``, for an empty journal.
        """
        self.commit = GroupCommit(self._sync_and_store_position) if durable else None
        self._files = files or Files(folder)
        self._record_reserve = (
            2 * max_attempts * (FRAME_HEADER.size + BEGUN.size) + FRAME_HEADER.size + ENDING.size
        )
        max_message_bytes = self._max_message_bytes = body_bytes + self._record_reserve + 1024
        self._file_bytes = disk_bytes // FILE_COUNT
        # During compaction the pending messages of a file are stored twice, so room for one file stays free.
        self._disk_bytes, self._base_budget = (
            disk_bytes,
            disk_bytes - self._file_bytes - max_message_bytes - BLOCK_BYTES * 3 * FILE_COUNT,
        )
        self._budget, self._budget_change = self._base_budget, 0
        max_results = min(MAX_RESULTS, int(MAX_RESULTS_SHARE * self._file_bytes) // RESULT_BYTES)
        self._results_reserve = max_results * RESULT_BYTES
        self.closed = ClosedMessages(max_results)
        self._update_max_live_bytes()
        self._lock = threading.Lock()
        self.pending: dict[int, PendingMessage] = {}
        self.last_number = first_number
        self.cut_bytes = self.write_failures = 0
        self.damaged: dict[str, list[DamagedRange]] = {}  # by file
        self.possibly_run: dict[str, list[str]] = {}  # ids of messages recorded before damage, by file
        self.written_wall = 0.0  # when a previous process last wrote its files (Unix time, ms)
        self._live_bytes = 0
        self._sizes: dict[int, int] = {}  # readable bytes by file number, oldest first
        suffixes = [name[len(FILE_PREFIX) :] for name in self._files.names() if name.startswith(FILE_PREFIX)]
        numbers = sorted(int(suffix) for suffix in suffixes if suffix.isdecimal())
        self._file = -1
        for number in numbers:
            self._load_file(number, number == numbers[-1])
        self._check_sync_position(numbers[-1] if numbers else 0)
        if not read_only:
            self._open(numbers[-1] if numbers else 1)
            if self.damaged:
                self._rewrite_damaged()
            self._update_budget()

    @classmethod
    def replica(cls) -> Journal:
        """An in-memory copy without files, fed with records through ``apply_record``."""
        journal = cls.__new__(cls)
        journal.pending, journal.last_number, journal._live_bytes, journal._record_reserve = {}, 0, 0, 0
        journal.closed = ClosedMessages(MAX_RESULTS)
        return journal

    def apply_record(self, payload: bytes) -> None:
        """Apply a record written by another process; unknown kinds are ignored."""
        with suppress(StructError, UnicodeDecodeError):
            self._apply(payload, 0)

    @property
    def size(self) -> int:
        """The disk space in use (bytes)."""
        with self._lock:
            return self._used_bytes()

    @property
    def reserve_bytes(self) -> int:
        """How much more disk space than its records it may use for a while, to compact itself (bytes)."""
        return self._disk_bytes - self._base_budget

    def set_disk_limit(self, disk_bytes: int) -> None:
        """Limit the disk space from now on; pending messages are kept even if they exceed it."""
        with self._lock:
            # Not below the space in use: compaction would run again and again without freeing anything.
            self._budget_change = min(
                max(disk_bytes - self._disk_bytes, self._used_bytes() - self._base_budget), 0
            )
            self._update_budget()

    def compact(self, max_files: int = FILE_COUNT) -> None:
        """Free most of the space of completed messages, in a few files; raises ``OSError``."""
        with self._lock:
            for _ in range(min(max_files, len(self._sizes))):
                if self._used_bytes() - self._live_bytes <= self._file_bytes:
                    return
                self._compact_oldest()

    def delete(self) -> None:
        """Delete the files of a journal without pending messages, oldest first, and close it."""
        with self._lock:
            sync_position.clear(self._files)
            for number in sorted(self._sizes):  # after an error, a retry continues where it stopped
                self._files.unlink(_file_name(number))
                del self._sizes[number]
                if self.commit is not None:
                    self._files.sync_folder()
            self._files.close(self._file)

    @property
    def files(self) -> dict[str, int]:
        """The readable bytes of each file by name, oldest first."""
        return {_file_name(number): size for number, size in self._sizes.items()}

    def wait_synced(self) -> None:
        """Wait until all records are on disk; raises ``OSError``. Returns at once unless ``durable``."""
        if self.commit is not None:
            self.commit.wait_synced()

    def _sync_file(self) -> None:
        """Sync the current file if the journal is durable. The caller holds the lock."""
        if self.commit is not None:
            try:
                self._files.sync(self._file)
            except OSError as exc:
                self.commit.fault = str(exc)
                raise

    def _sync_and_store_position(self) -> None:
        with self._lock:  # a switch to the next file meanwhile syncs this one as well
            file, number = self._files.duplicate(self._file), self._file_number
            size = self._sizes[number]
        try:
            self._files.sync(file)
        finally:
            self._files.close(file)
        with suppress(OSError):  # an outdated position only detects less
            sync_position.write(self._files, number, size)

    def _open(self, number: int) -> None:
        if self._file >= 0:
            self._sync_file()
            self._files.close(self._file)
        self._file = self._files.open(_file_name(number))
        if self.commit is not None:
            self._files.sync_folder()
        self._file_number = number
        # Drops a tail torn by SIGKILL, so that no record follows a partial one.
        self._files.truncate(self._file, self._sizes.setdefault(number, 0))

    def _load_file(self, number: int, newest: bool) -> None:
        name = _file_name(number)
        self.written_wall = max(self.written_wall, self._files.modified_wall(name))
        data = self._files.read(name)
        reader, ranges, possibly_run = RecordReader(data), list[DamagedRange](), list[str]()
        for item in reader:
            if not isinstance(item, DamagedRange):
                offset, payload = item
                try:
                    self._apply(payload, number)
                    continue
                except (StructError, UnicodeDecodeError):  # malformed payload: treated as damaged
                    item = DamagedRange(offset, reader.end)
            ranges.append(item)
            possibly_run += self._assume_begun()
        if reader.end < len(data) and not newest:  # only the newest file can have a torn tail
            ranges.append(DamagedRange(reader.end, len(data)))
            possibly_run += self._assume_begun()
        if ranges:
            self.damaged[name], self.possibly_run[name] = ranges, possibly_run
        self.cut_bytes += len(data) - reader.end
        self._sizes[number] = reader.end

    def _check_sync_position(self, newest: int) -> None:
        """Treat synced data that is missing as damage: it may have held *begun* records of unsafe calls."""
        number, size = sync_position.read(self._files)
        if (number, size) <= (newest, self._sizes.get(newest, 0)):
            return
        name = _file_name(number)
        self.damaged.setdefault(name, []).append(DamagedRange(self._sizes.get(number, 0), size))
        self.possibly_run.setdefault(name, []).extend(self._assume_begun())

    def _assume_begun(self) -> list[str]:
        """Count every pending message as begun, as its *begun* may be lost; returns the ids affected."""
        possibly_run = [message for message in self.pending.values() if not message.may_have_run]
        for message in possibly_run:
            message.begun.add(message.attempts)
        return [message.id for message in possibly_run]

    def _rewrite_damaged(self) -> None:
        """Replace damaged files: set their unreadable bytes aside and rewrite the pending messages."""
        try:
            for name, ranges in self.damaged.items():
                data = self._files.read(name) if name in self._files.names() else b""
                set_aside = self._files.open(DAMAGED_PREFIX + name[len(FILE_PREFIX) :])
                self._files.truncate(set_aside, 0)
                self._files.append(set_aside, b"".join(data[one.start : one.end] for one in ranges))
                self._files.close(set_aside)
            self._update_budget()
            old = set(self._sizes)
            while old & set(self._sizes):
                self._compact_oldest()
            sync_position.clear(self._files)  # it referred to a deleted file
        except OSError:
            self.write_failures += 1  # e.g. disk full: the damaged files stay, and the next start retries

    def _update_budget(self) -> None:
        """Subtract set-aside data from the budget; if it exceeds one file's size, the oldest is deleted."""
        set_aside = sorted(name for name in self._files.names() if name.startswith(DAMAGED_PREFIX))
        sizes = [-(-self._files.size(name) // BLOCK_BYTES) * BLOCK_BYTES for name in set_aside]
        while sum(sizes) > self._file_bytes and len(sizes) > 1:
            self._files.unlink(set_aside.pop(0))
            sizes.pop(0)
        self._budget = self._base_budget + self._budget_change - sum(sizes)
        self._update_max_live_bytes()

    def _update_max_live_bytes(self) -> None:
        """Set how much the pending messages may take, so that compaction always frees enough."""
        share = MAX_LIVE_SHARE * (self._disk_bytes + self._budget_change)
        self._max_live_bytes = min(share, self._budget - self._max_message_bytes) - self._results_reserve

    def _apply(self, payload: bytes, file: int) -> None:
        kind = payload[:1]
        if kind == b"T":
            message = decode_taken(payload, file)
            if message.number in self.pending:
                # A copy made by compaction. What is known of its attempts is kept, as a kill may have cut
                # off the records that follow the copy; otherwise an unsafe call could be repeated.
                self.pending[message.number].file = file
                return
            self._add(message)
        elif kind in (b"B", b"N"):
            _, number, attempt = BEGUN.unpack(payload)
            self.last_number = max(self.last_number, number)
            if number in self.pending:
                message = self.pending[number]
                (message.begun if kind == b"B" else message.not_run).add(attempt)
        elif kind == b"E":
            _, number, deferred, again_ms = ENDING.unpack(payload)
            if number in self.pending:
                self.pending[number].ending = (bool(deferred), again_ms)
        elif kind == b"O":
            _, number = COMPLETED.unpack(payload)
            self.last_number = max(self.last_number, number)
            self._drop(number)
        elif kind == b"R" and (closed := ClosedMessage.decode(payload, file)) is not None:
            self.closed.add(closed)

    def _add(self, message: PendingMessage) -> None:
        self.pending[message.number] = message
        self.last_number = max(self.last_number, message.number)
        self._live_bytes += self._reserved_bytes(message)

    def _drop(self, number: int, delivered: bool = False) -> None:
        message = self.pending.pop(number, None)
        if message is None:
            return
        self._live_bytes -= self._reserved_bytes(message)
        if (closed := ClosedMessage.of(message, delivered)) is not None:
            self.closed.add(closed)

    def _reserved_bytes(self, message: PendingMessage) -> int:
        return message.taken_bytes + self._record_reserve

    def record_taken(self, message: PendingMessage) -> None:
        """Put a message on record, or raise ``JournalFull`` if it could exceed the disk limit."""
        with self._lock:
            if self._live_bytes + self._reserved_bytes(message) > self._max_live_bytes:
                raise JournalFull
            if self.commit is not None and self.commit.fault:
                raise OSError(self.commit.fault)
            self._append(message.records())
            message.file = self._file_number
            self._add(message)

    def record_begun(self, number: int, attempt: int) -> bool:
        """Record that an attempt is about to write its first byte; false if its message is not pending."""
        with self._lock:
            if number in self.pending:
                self._append(encode_frame(BEGUN.pack(b"B", number, attempt)))
                self.pending[number].begun.add(attempt)
                return True
        return False

    def find_closed(self, id: str) -> ClosedMessage | None:
        """The result of a message with this id that was completed lately."""
        return self.closed.find(id)

    def withdraw(self, number: int) -> bool:
        """Complete a message unless an attempt has begun; returns whether it did."""
        with self._lock:
            if number not in self.pending or self.pending[number].begun:
                return False
            self._drop(number)
            self._append_best_effort(encode_frame(COMPLETED.pack(b"O", number)))
            return True

    def record_not_run(self, number: int, attempt: int) -> None:
        """Record the proof that an attempt did not run; does nothing if it never began."""
        with self._lock:
            if number in self.pending and attempt in self.pending[number].begun:
                self.pending[number].not_run.add(attempt)
                self._append_best_effort(encode_frame(BEGUN.pack(b"N", number, attempt)))

    def record_ending(self, number: int, deferred: bool, again_ms: float) -> None:
        """Record the final answer, which still has to be delivered."""
        with self._lock:
            if number in self.pending:
                self.pending[number].ending = (deferred, again_ms)
                self._append_best_effort(encode_frame(ENDING.pack(b"E", number, deferred, again_ms)))

    def record_completed(self, number: int, *, delivered: bool = False) -> None:
        """Record that nothing more is to be done for a message."""
        with self._lock:
            if number in self.pending:
                self._drop(number, delivered)
                self._append_best_effort(encode_frame(COMPLETED.pack(b"O", number)))

    def record_results(self, results: Iterable[ClosedMessage]) -> None:
        """Record the results of another journal, which is about to be deleted; raises ``OSError``.

        Those that are known already are left out, as the deletion may fail again and again.
        """
        with self._lock:
            for closed in [closed for closed in results if closed not in self.closed]:
                self._make_room(RESULT_BYTES)
                self._write_result(closed, self.closed.add)

    def _write_result(self, closed: ClosedMessage, keep: Callable[[ClosedMessage], None]) -> None:
        self._write(encode_frame(closed.encode()))
        keep(replace(closed, file=self._file_number))

    def _append_best_effort(self, record: bytes) -> None:
        """Append a record whose loss is harmless: the next process only knows less."""
        try:
            self._append(record)
        except OSError:
            self.write_failures += 1

    def _append(self, record: bytes) -> None:
        self._make_room(len(record))
        self._write(record)

    def _make_room(self, size: int) -> None:
        for _ in range(len(self._sizes)):
            if self._used_bytes() + size <= self._budget:
                return
            self._compact_oldest()

    def _write(self, record: bytes) -> None:
        if self._sizes[self._file_number] >= self._file_bytes:
            self._open(self._file_number + 1)
        try:
            self._files.append(self._file, record)
        except OSError:
            # A partial record would hide all later ones.
            self._files.truncate(self._file, self._sizes[self._file_number])
            raise
        self._sizes[self._file_number] += len(record)
        if self.commit is not None:
            self.commit.note_write()

    def _compact_oldest(self) -> None:
        oldest = min(self._sizes)
        if oldest == self._file_number:
            self._open(self._file_number + 1)
        for message in [message for message in self.pending.values() if message.file == oldest]:
            self._write(message.records())
            message.file = self._file_number
        for closed in self.closed:
            if closed.file == oldest:
                self._write_result(closed, self.closed.moved)
        self._sync_file()  # the copies must be on disk before the originals are deleted
        self._files.unlink(_file_name(oldest))
        if self.commit is not None:
            # Persists the deletions in order, so that a message whose *completed* is gone cannot reappear.
            self._files.sync_folder()
        del self._sizes[oldest]

    def _used_bytes(self) -> int:
        return sum(-(-size // BLOCK_BYTES) * BLOCK_BYTES for size in self._sizes.values())

    def close(self) -> None:
        """Close the current file."""
        with self._lock:
            self._files.close(self._file)


def _file_name(number: int) -> str:
    return f"{FILE_PREFIX}{number:08d}"
