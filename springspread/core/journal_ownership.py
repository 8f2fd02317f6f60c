"""One folder for several processes of a sender, as on an upgrade: each writes a lane of its own.

Theory of operation. A lane is a journal with a lock that the system lets go of as its process dies. What a
process sees of each lane decides what it does, at its start and from then on:

    the lane is              seen at the start              seen later
    not locked, the first    it is this process's own       -
    not locked, another      taken over                     taken over: its process has died
    locked by another        beside: read, never written    beside
    taken over, nothing owed -                              emptied, and let go of

Nothing is copied: what is owed in a lane that was taken over goes on being noted there, so a death at any
moment leaves each message in exactly one lane. Each lane numbers its messages from a place of its own. A
message that a process beside owes is not taken on again; it is owed already. All lanes together keep the
disk's limit: who has somebody beside it counts half of it, or what that one has if that is more, as used.
"""

from __future__ import annotations

import fcntl
import os
from collections import ChainMap
from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from pathlib import Path

from springspread.core.commit import GroupCommit
from springspread.core.journal import PREFIX, Journal, PendingMessage
from springspread.core.journal_repair import DamagedRange, RecordReader
from springspread.core.shared_backoff import SharedBackoff

LANES = 4  # processes on one folder at a time
NUMBERS = 1 << 30  # messages that a lane may number
OWNERSHIP_CHECK_MS = 100.0
TRIES = 5


class TooManyProcesses(OSError):
    """So many processes use the folder that there is no lane left."""


def lane_folder(folder: Path, lane: int) -> Path:
    """Where a lane's files stand: the first one's in the folder itself."""
    return folder / f"lane.{lane}" if lane else folder


def read_pending(folder: Path) -> dict[int, PendingMessage]:
    """What all lanes of a folder owe, read beside whoever writes there; raises ``OSError``."""
    found: dict[int, PendingMessage] = {}
    for lane in range(LANES):
        if (place := lane_folder(folder, lane)).is_dir():
            found |= Journal(place, 1 << 40, read_only=True).pending
    return found


class Beside:
    """What a process beside this one owes, as its lane's files tell; they are read as they grow."""

    def __init__(self, place: Path) -> None:
        self._place = place
        self._read: dict[tuple[str, int], int] = {}  # by name and file on disk, up to where
        self._book = Journal.reading()

    def owed(self, id: str) -> PendingMessage | None:
        """A message that it owes, by its id."""
        for _ in range(TRIES):
            try:
                self._follow()
                break
            except FileNotFoundError:
                continue  # it clears a file away meanwhile: what is owed in it stands in a later one
        return next((owed for owed in self._book.pending.values() if owed.id == id), None)

    def _follow(self) -> None:
        names = sorted(entry.name for entry in self._place.iterdir() if entry.name.startswith(PREFIX))
        files = {(name, (self._place / name).stat().st_ino): name for name in names}
        if self._read.keys() - files.keys():
            # Guards against what was over in a file that is gone by now, and was not read.
            self._read, self._book = {}, Journal.reading()
        for key, name in files.items():
            done = self._read.get(key, 0)
            with (self._place / name).open("rb") as file:
                file.seek(done)
                reader = RecordReader(file.read())
            for item in reader:
                if not isinstance(item, DamagedRange):
                    self._book.note(item[1])
            self._read[key] = done + reader.end

    @property
    def size(self) -> int:
        """How many bytes its files have."""
        with suppress(FileNotFoundError):  # it clears one away meanwhile
            return sum(entry.stat().st_size for entry in self._place.iterdir() if entry.is_file())
        return 0


class OwnedJournals:
    """A sender's journal, in as many lanes as it has; stands where a ``Journal`` does.

    Raises ``TooManyProcesses`` where the folder has no lane left, or another ``OSError``.
    """

    def __init__(
        self, folder: Path, disk_bytes: int, max_attempts: int, body_bytes: int, durable: bool = False
    ) -> None:
        self._folder, self._disk = folder, disk_bytes
        self._open = partial(Journal, max_attempts=max_attempts, body_bytes=body_bytes, durable=durable)
        self._locks: dict[int, int] = {}
        self._beside: dict[int, Beside] = {}
        self._own = next((lane for lane in range(LANES) if self._lock(lane)), -1)
        if self._own < 0:
            raise TooManyProcesses(f"{folder}: {LANES} processes use it already")
        self._books = {self._own: self._opened(self._own)}
        self._changed = -1
        self._look_at = 0.0
        self._look()
        self.shared_backoff = SharedBackoff(lane_folder(folder, self._own), self._beside_folders)
        self.written_wall = max(book.written_wall for book in self._books.values())

    def _beside_folders(self) -> list[Path]:
        return [lane_folder(self._folder, lane) for lane in list(self._beside)]

    def _lock(self, lane: int) -> bool:
        place = lane_folder(self._folder, lane)
        place.mkdir(exist_ok=True)
        file = os.open(place / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return False
        self._locks[lane] = file
        return True

    def _let_go(self, lane: int) -> None:
        os.close(self._locks.pop(lane))  # the lock goes with it

    def _opened(self, lane: int) -> Journal:
        return self._open(lane_folder(self._folder, lane), self._disk, first_number=lane * NUMBERS)

    # Who else is there

    def check_ownership(self, now: float) -> list[PendingMessage]:
        """Look at the other lanes, now and then; what is owed in those that were taken over."""
        if now < self._look_at:
            return []
        self._look_at = now + OWNERSHIP_CHECK_MS
        try:
            return self._look_again()
        except OSError:  # guards the loop: what can't be looked at now is looked at again
            return []

    def _look_again(self) -> list[PendingMessage]:
        changed = self._folder.stat().st_mtime_ns  # as another lane's folder is made
        if changed == self._changed and not self._beside and len(self._books) == 1:
            return []
        return self._look()

    def _look(self) -> list[PendingMessage]:
        self._changed = self._folder.stat().st_mtime_ns
        found: list[PendingMessage] = []
        for lane in range(LANES):
            if lane in self._books or not (lane_folder(self._folder, lane) / "lock").exists():
                continue
            if not self._lock(lane):
                self._beside.setdefault(lane, Beside(lane_folder(self._folder, lane)))
                continue
            try:
                self._books[lane] = self._opened(lane)
            except OSError:  # the disk is full, say: nothing is lost, and the next look tries again
                self._let_go(lane)
                self._beside.setdefault(lane, Beside(lane_folder(self._folder, lane)))
                continue
            self._beside.pop(lane, None)
            found += self._books[lane].pending.values()
        for lane in [lane for lane, book in self._books.items() if lane != self._own and not book.pending]:
            with suppress(OSError):  # what could not be removed is looked at again
                self._books[lane].remove()
                del self._books[lane]
                self._let_go(lane)
        held = sum(book.size for lane, book in self._books.items() if lane != self._own)
        beside = max((max(self._disk // 2, one.size) for one in self._beside.values()), default=0)
        self._books[self._own].keep_within(self._disk - held - beside)
        return found

    @property
    def has_other_journals(self) -> bool:
        """Whether another process uses the folder, or has left something that is still owed."""
        return bool(self._beside) or len(self._books) > 1

    def pending_elsewhere(self, id: str) -> PendingMessage | None:
        """A message that a process beside this one owes, by its id."""
        return next((owed for one in self._beside.values() if (owed := one.owed(id)) is not None), None)

    # As a journal

    def _of(self, number: int) -> Journal:
        return self._books.get(number // NUMBERS, self._books[self._own])

    @property
    def pending(self) -> Mapping[int, PendingMessage]:
        """All that this process owes, by number."""
        books = list(self._books.values())
        return books[0].pending if len(books) == 1 else ChainMap(*(book.pending for book in books))

    @property
    def commit(self) -> GroupCommit | None:
        """The syncs of the lane that new messages are noted in, where it outlasts a power loss."""
        return self._books[self._own].commit

    @property
    def damaged(self) -> Mapping[str, list[DamagedRange]]:
        """What could not be read, by file."""
        return {name: ranges for book in self._books.values() for name, ranges in book.damaged.items()}

    @property
    def cut_bytes(self) -> int:
        """How many bytes of torn tails were cut off."""
        return sum(book.cut_bytes for book in self._books.values())

    @property
    def last_number(self) -> int:
        """The number of the message that was taken on last."""
        return self._books[self._own].last_number

    def wait_synced(self) -> None:
        """As ``Journal.wait_synced``, for all lanes."""
        for book in list(self._books.values()):
            book.wait_synced()

    def record_taken(self, owed: PendingMessage) -> None:
        """As ``Journal.record_taken``, in this process's own lane."""
        self._books[self._own].record_taken(owed)

    def record_begun(self, number: int, attempt: int) -> bool:
        """As ``Journal.record_begun``."""
        return self._of(number).record_begun(number, attempt)

    def withdraw(self, number: int) -> bool:
        """As ``Journal.withdraw``."""
        return self._of(number).withdraw(number)

    def record_not_run(self, number: int, attempt: int) -> None:
        """As ``Journal.record_not_run``."""
        self._of(number).record_not_run(number, attempt)

    def record_ending(self, number: int, deferred: bool, again_ms: float) -> None:
        """As ``Journal.record_ending``."""
        self._of(number).record_ending(number, deferred, again_ms)

    def record_completed(self, number: int) -> None:
        """As ``Journal.record_completed``."""
        self._of(number).record_completed(number)
