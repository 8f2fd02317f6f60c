"""Journal ownership when several processes share a state folder, e.g. during an upgrade.

Each process writes a journal of its own, guarded by a file lock that the kernel releases when the process
dies. The lock decides what a process does with each journal in the folder:

    journal                        at startup                      later
    first unlocked one             becomes this process's own      -
    another unlocked one           taken over                      taken over: its process has died
    locked by another process      peer: read, never written       peer
    taken over, no pending message -                               deleted and unlocked

Taking over copies nothing: pending messages continue to be recorded in the journal that holds them, so a
crash at any moment leaves each message in exactly one journal. Each journal has its own range of message
numbers. A message that is pending in a peer's journal, or has run by it, is not recorded again.

All journals together stay within the disk limit. A process records a new message while it holds the folder's
lock (``folder_lock``), and only in space that is left by all journals of the others, with the room that each
of them needs for compaction. While there are others it uses half of the limit, unless it had more in use
before, and keeps itself compact.
"""

from __future__ import annotations

import fcntl
import os
from collections import ChainMap
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager, suppress
from functools import partial
from pathlib import Path

from springspread.core.closed_messages import ClosedMessage
from springspread.core.commit import GroupCommit
from springspread.core.folder_lock import FolderBusy, FolderLock
from springspread.core.journal import FILE_PREFIX, Journal
from springspread.core.journal_records import PendingMessage
from springspread.core.journal_repair import DamagedRange
from springspread.core.peer_journal import PeerJournal, folder_bytes, read_journal
from springspread.core.shared_backoff import SharedBackoff

MAX_JOURNALS = 4  # and processes that can share a folder
NUMBERS_PER_JOURNAL = 1 << 30  # size of each journal's range of message numbers
OWNERSHIP_CHECK_MS = 100.0
START_WAIT_MS = 1000.0  # for the folder's lock
ADMISSION_WAIT_MS = 20.0  # a process holds it for less than a millisecond, unless it is frozen


class TooManyProcesses(OSError):
    """All journals of the folder are in use by other processes."""


def journal_folder(folder: Path, index: int) -> Path:
    """The folder of a journal's files: the first journal is in the state folder itself."""
    return folder / f"lane.{index}" if index else folder


def read_pending(folder: Path) -> dict[int, PendingMessage]:
    """Read the pending messages of all journals in a folder, without locking; raises ``OSError``."""
    found: dict[int, PendingMessage] = {}
    for index in range(MAX_JOURNALS):
        if (place := journal_folder(folder, index)).is_dir():
            found |= read_journal(place).pending
    return found


def _has_files(folder: Path) -> bool:
    return any(entry.name.startswith(FILE_PREFIX) for entry in folder.iterdir())


class OwnedJournals:
    """The journals this process owns, with the interface of a single ``Journal``.

    Raises ``TooManyProcesses`` if the folder has no free journal, ``FolderBusy``, or another ``OSError``.
    """

    def __init__(
        self, folder: Path, disk_bytes: int, max_attempts: int, body_bytes: int, durable: bool = False
    ) -> None:
        self._folder, self._disk_bytes = folder, disk_bytes
        self._make_journal = partial(
            Journal, max_attempts=max_attempts, body_bytes=body_bytes, durable=durable
        )
        self._locks: dict[int, int] = {}
        self._peers: dict[int, PeerJournal] = {}
        self._folder_lock = FolderLock(folder)
        with ExitStack() as start:
            try:
                start.enter_context(self._folder_lock.hold(START_WAIT_MS))
            except FolderBusy:
                raise
            except OSError:
                pass  # the folder fails: what is pending goes on, and until it returns nothing is accepted
            self._own_index = next((index for index in range(MAX_JOURNALS) if self._lock(index)), -1)
            if self._own_index < 0:
                raise TooManyProcesses(f"{folder}: {MAX_JOURNALS} processes use it already")
            self._folder_lock.count_process()
        self._journals = {self._own_index: self._open_journal(self._own_index)}
        self._process_count = -1  # as of the last look for peers
        self._folder_mtime_ns = -1
        self._next_check = 0.0
        self._refresh()
        self.shared_backoff = SharedBackoff(journal_folder(folder, self._own_index), self._peer_folders)
        self.written_wall = max(journal.written_wall for journal in self._journals.values())

    def _peer_folders(self) -> list[Path]:
        return [journal_folder(self._folder, index) for index in list(self._peers)]

    @property
    def own_folder(self) -> Path:
        """The folder of this process's own journal."""
        return journal_folder(self._folder, self._own_index)

    @property
    def folders(self) -> list[Path]:
        """The folders of all journals that may be in the state folder."""
        return [journal_folder(self._folder, index) for index in range(MAX_JOURNALS)]

    def _lock(self, index: int) -> bool:
        folder = journal_folder(self._folder, index)
        folder.mkdir(exist_ok=True)
        file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return False
        self._locks[index] = file
        return True

    def _unlock(self, index: int) -> None:
        os.close(self._locks.pop(index))  # releases the lock

    def _open_journal(self, index: int) -> Journal:
        return self._make_journal(
            journal_folder(self._folder, index), self._disk_bytes, first_number=index * NUMBERS_PER_JOURNAL
        )

    # Ownership

    def check_ownership(self, now: float) -> list[PendingMessage]:
        """Take over the journals of dead processes, at most every ``OWNERSHIP_CHECK_MS``.

        Returns the pending messages of those taken over.
        """
        if now < self._next_check:
            return []
        self._next_check = now + OWNERSHIP_CHECK_MS
        try:
            return self._refresh_if_changed()
        except OSError:  # retried at the next check
            return []

    def _refresh_if_changed(self) -> list[PendingMessage]:
        unchanged = (
            self._folder.stat().st_mtime_ns == self._folder_mtime_ns
            and self._folder_lock.process_count == self._process_count
        )
        return [] if unchanged and not self.has_other_journals else self._refresh()

    def _refresh(self) -> list[PendingMessage]:
        self._folder_mtime_ns = self._folder.stat().st_mtime_ns
        self._process_count = self._folder_lock.process_count
        found: list[PendingMessage] = []
        for index in self._other_indexes():
            if (journal := self._take_over(index)) is not None:
                found += journal.pending.values()
        self._delete_finished()
        with suppress(OSError):  # retried at the next check; what was taken over is in ``found`` alone
            if self._peers:
                self._journals[self._own_index].compact(max_files=1)
            self._limit_disk()
        return found

    def _other_indexes(self) -> list[int]:
        """The journals that another process owns, or owned and left."""
        return [
            index
            for index in range(MAX_JOURNALS)
            if index not in self._journals and (journal_folder(self._folder, index) / "lock").exists()
        ]

    def _take_over(self, index: int) -> Journal | None:
        """Take over a journal if its process has died; else, or after an error, it is a peer's."""
        if not self._lock(index):
            self._add_peer(index)
            return None
        if not _has_files(journal_folder(self._folder, index)):
            self._peers.pop(index, None)
            self._unlock(index)
            return None
        try:
            journal = self._open_journal(index)
        except OSError:  # e.g. disk full: nothing is lost, and the next check retries
            self._add_peer(index)
            self._unlock(index)
            return None
        self._peers.pop(index, None)
        self._journals[index] = journal
        with suppress(OSError):  # needs room for a file, which a full disk does not have
            journal.compact()
        return journal

    def _add_peer(self, index: int) -> None:
        if index not in self._peers:
            self._peers[index] = PeerJournal(journal_folder(self._folder, index))
            with suppress(OSError):
                self._journals[self._own_index].compact()  # leaves the other process more room

    def _delete_finished(self) -> None:
        """Delete the journals that were taken over and have no pending message left."""
        for index, journal in list(self._journals.items()):
            if index == self._own_index or journal.pending:
                continue
            with suppress(OSError):  # retried at the next check
                self._journals[self._own_index].record_results(journal.closed)
                journal.delete()
                del self._journals[index]
                self._unlock(index)

    # Admission

    @contextmanager
    def admission(self) -> Iterator[None]:
        """Look for a message in other journals and record it, as one step among all processes of the folder.

        Raises ``FolderBusy`` or another ``OSError``.
        """
        with self._folder_lock.hold(ADMISSION_WAIT_MS):
            if self._folder_lock.process_count != self._process_count:
                self._find_peers()
            if self.has_other_journals:
                self._limit_disk()
            yield

    def _find_peers(self) -> None:
        """Find processes that came up, and what one that died meanwhile has left to the next check."""
        self._process_count = self._folder_lock.process_count
        for index in self._other_indexes():
            if index in self._peers:
                continue
            if not self._lock(index):
                self._add_peer(index)
                continue
            self._unlock(index)
            if _has_files(journal_folder(self._folder, index)):
                self._add_peer(index)

    def _limit_disk(self) -> None:
        """Limit this process's own journal to what all others do not use and may not need."""
        own = self._journals[self._own_index]
        taken_over = sum(
            folder_bytes(journal_folder(self._folder, index))
            for index in self._journals
            if index != self._own_index
        )
        peers = sum(peer.size + own.reserve_bytes for peer in self._peers.values())
        share = self._disk_bytes // 2 if self._peers else self._disk_bytes
        own.set_disk_limit(min(self._disk_bytes - peers, share) - taken_over)

    @property
    def has_other_journals(self) -> bool:
        """Whether another process uses the folder, or left pending messages in it."""
        return bool(self._peers) or len(self._journals) > 1

    def find_elsewhere(self, id: str) -> PendingMessage | ClosedMessage | None:
        """The message with this id that is pending in a peer's journal, or was closed there lately."""
        found = (peer.find(id) for peer in self._peers.values())
        return next((message for message in found if message is not None), None)

    def find_closed(self, id: str) -> ClosedMessage | None:
        """The result of a message with this id that was completed lately, by this process or before it."""
        results = (journal.find_closed(id) for journal in self._journals.values())
        return next((closed for closed in results if closed is not None), None)

    # The interface of a journal

    def _journal_for(self, number: int) -> Journal:
        return self._journals.get(number // NUMBERS_PER_JOURNAL, self._journals[self._own_index])

    @property
    def pending(self) -> Mapping[int, PendingMessage]:
        """All pending messages of this process, by number."""
        journals = list(self._journals.values())
        return (
            journals[0].pending
            if len(journals) == 1
            else ChainMap(*(journal.pending for journal in journals))
        )

    @property
    def commit(self) -> GroupCommit | None:
        """The group commit of this process's own journal, if it is durable."""
        return self._journals[self._own_index].commit

    @property
    def damaged(self) -> Mapping[str, list[DamagedRange]]:
        """The unreadable byte ranges, by file."""
        return {
            name: ranges for journal in self._journals.values() for name, ranges in journal.damaged.items()
        }

    @property
    def cut_bytes(self) -> int:
        """How many bytes of torn tails were discarded."""
        return sum(journal.cut_bytes for journal in self._journals.values())

    @property
    def last_number(self) -> int:
        """The number of the message recorded last."""
        return self._journals[self._own_index].last_number

    def wait_synced(self) -> None:
        """As ``Journal.wait_synced``, for all journals."""
        for journal in list(self._journals.values()):
            journal.wait_synced()

    def record_taken(self, message: PendingMessage) -> None:
        """As ``Journal.record_taken``, in this process's own journal."""
        self._journals[self._own_index].record_taken(message)

    def record_begun(self, number: int, attempt: int) -> bool:
        """As ``Journal.record_begun``."""
        return self._journal_for(number).record_begun(number, attempt)

    def withdraw(self, number: int) -> bool:
        """As ``Journal.withdraw``."""
        return self._journal_for(number).withdraw(number)

    def record_not_run(self, number: int, attempt: int) -> None:
        """As ``Journal.record_not_run``."""
        self._journal_for(number).record_not_run(number, attempt)

    def record_ending(self, number: int, deferred: bool, again_ms: float) -> None:
        """As ``Journal.record_ending``."""
        self._journal_for(number).record_ending(number, deferred, again_ms)

    def record_completed(self, number: int, *, delivered: bool = False) -> None:
        """As ``Journal.record_completed``."""
        self._journal_for(number).record_completed(number, delivered=delivered)
