"""Every crash point of a journal: a history of what a sender does, cut off at each operation on its files.

After each, every loss that ``disk`` knows is played; a journal is read from what is left, cut off again at
each operation of its recovery, and read once more. What was told must be there:

    told                                      found after any loss of power
    taken on (its sync is over)               owed, with its body, until it is over
    may begin an unsafe call (sync over)      may have run, until it is proved not to
    an ending (sync over)                     that ending, until it is over
    nothing                                   nothing of a message that nobody handed in
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from springspread.core.journal import Journal, PendingMessage
from springspread.faults.disk import Crash, Disk, MemoryFiles

DISK_BYTES = 32_000  # files of 2,700 bytes, and room for three of them: they turn over often
BODY_BYTES = 300
MOST_OWED = 8  # of the room that there is: a refusal for want of it is another matter
NOWHERE = Path("/nowhere")


@dataclass(slots=True)
class Facts:
    """What was told to others, by message."""

    handed: dict[int, bytes] = field(default_factory=dict)
    taken: set[int] = field(default_factory=set)
    begun: set[int] = field(default_factory=set)
    endings: dict[int, tuple[bool, float]] = field(default_factory=dict)
    over: set[int] = field(default_factory=set)

    def violation(self, owed: dict[int, PendingMessage]) -> str:
        """What is wrong with what a journal says is owed; empty where nothing is."""
        for number in sorted(self.taken - self.over):
            if number not in owed:
                return f"{number} was taken on and is not there"
        for number, one in owed.items():
            if self.handed.get(number) != one.body:
                return f"{number} is not what was handed in"
            if number in self.begun and not one.may_have_run:
                return f"{number} may have run, and nothing says so"
            if number in self.endings and one.ending != self.endings[number] and number not in self.over:
                return f"{number} was told to end with {self.endings[number]}, and is {one.ending}"
        return ""


def history(journal: Journal, seed: int, steps: int, facts: Facts) -> None:
    """What a sender does, drawn from a seed; ``facts`` hears of what is told."""
    rng, number = Random(f"{seed}/journal"), journal.last_number
    out: dict[int, int] = {}  # attempts of what is owed and not ended
    for _ in range(steps):
        what = rng.choice(("take", "take", "begin", "begin", "prove", "end", "over", "over"))
        what = "over" if len(out) >= MOST_OWED else what
        if what == "take" or not out:
            number += 1
            body = bytes([number % 251]) * rng.randrange(BODY_BYTES)
            facts.handed[number] = body
            journal.record_taken(PendingMessage(number, f"id-{number}", "pay", 7, 2e12, body))
            journal.wait_synced()
            facts.taken.add(number)
            out[number] = 0
            continue
        one = rng.choice(sorted(out))
        if what == "begin" and out[one] < 3 and one not in facts.begun:
            journal.record_begun(one, out[one])
            journal.wait_synced()
            facts.begun.add(one)
            out[one] += 1
        elif what == "prove" and one in facts.begun:
            facts.begun.discard(one)
            journal.record_not_run(one, out[one] - 1)
        elif what == "end" and one not in facts.endings:
            journal.record_ending(one, True, 5.0)
            journal.wait_synced()
            facts.endings[one] = (True, 5.0)
        elif what == "over":
            facts.over.add(one)
            del out[one]
            journal.record_completed(one)


Make = Callable[[MemoryFiles], Journal]


def correct_journal(files: MemoryFiles) -> Journal:
    """The journal as it is."""
    return Journal(NOWHERE, DISK_BYTES, body_bytes=BODY_BYTES, durable=True, files=files)


@dataclass(slots=True)
class Searched:
    """How many losses were recovered from, and the first broken promise, with where it happened."""

    states: int = 0
    points: int = 0
    violation: str = ""


def search(
    seed: int, steps: int, make: Make = correct_journal, again: int = 3, most: int = 1 << 60
) -> Searched:
    """Cut a history off at each operation; ``again``: at every so many of its recovery's, too."""
    found = Searched()
    for point in range(1, 1 << 30):
        facts, disk = Facts(), Disk()
        if not _cut(partial(_live, make, seed, steps, facts), disk, point):
            return found
        found.points += 1
        for left in disk.losses():
            _recover(left, facts, make, found, f"seed {seed}, operation {point}", again)
            if found.violation or found.states >= most:
                return found
    return found


def _live(make: Make, seed: int, steps: int, facts: Facts, files: MemoryFiles) -> None:
    history(make(files), seed, steps, facts)


def _recover(left: Disk, facts: Facts, make: Make, found: Searched, place: str, again: int) -> None:
    found.states += 1
    found.violation = facts.violation(make(MemoryFiles(deepcopy(left))).pending)
    if found.violation:
        found.violation = f"{place}: {found.violation}"
        return
    if not again:
        return
    for point in range(1, 1 << 20, again):
        disk = deepcopy(left)
        if not _cut(lambda files: make(files), disk, point):
            return
        for second in disk.losses():
            _recover(second, facts, make, found, f"{place}, recovery {point}", 0)
            if found.violation:
                return


def _cut(play: Callable[[MemoryFiles], object], disk: Disk, point: int) -> bool:
    """Play until the operation of that number; whether it came to that."""
    left = [point]

    def before(what: str) -> None:
        left[0] -= 1
        if not left[0]:
            raise Crash(what)

    try:
        play(MemoryFiles(disk, before))
    except Crash:
        return True
    return False


def faulty_journals() -> Iterator[tuple[str, Make]]:
    """Journals with one fault each, by name."""

    class Skips(MemoryFiles):
        """Passes over some operation."""

        def __init__(self, files: MemoryFiles, what: str) -> None:
            super().__init__(files.disk, files.before)
            self.what = what

        def sync(self, file: int) -> None:
            if self.what != "sync":
                super().sync(file)

        def sync_folder(self) -> None:
            removed = self.disk.synced.keys() - self.disk.current.keys()
            if self.what != "folder" and not (self.what == "removal" and removed):
                super().sync_folder()

        def append(self, file: int, data: bytes) -> None:
            if self.what == "last byte" and len(data) > BODY_BYTES // 2:
                data = data[:-1] + b"?"
            super().append(file, data)

    class Faulty(Journal):
        """One thing is done wrong."""

        what = ""

        def wait_synced(self) -> None:
            if self.what != "told before the sync":
                super().wait_synced()

        def _sync_file(self) -> None:
            if self.what != "a file is left unsynced":
                super()._sync_file()

        def record_begun(self, number: int, attempt: int) -> bool:
            if self.what != "begun is not on record" or attempt:
                return super().record_begun(number, attempt)
            return True

        def record_ending(self, number: int, deferred: bool, again_ms: float) -> None:
            if self.what != "an ending is not on record" or number % 3:
                super().record_ending(number, deferred, again_ms)

        def _compact_oldest(self) -> None:
            if self.what == "a file goes before its copies are made":
                self._files.unlink(min(self.files))
                del self._sizes[min(self._sizes)]
                self._open(self._file_number + 1)
                for owed in [owed for owed in self.pending.values() if owed.file not in self._sizes]:
                    self._write(owed.records())
                    owed.file = self._file_number
                return
            super()._compact_oldest()

        def _load_file(self, number: int, newest: bool) -> None:
            super()._load_file(number, newest)
            if self.what == "proof is taken for granted":
                for owed in self.pending.values():
                    owed.not_run |= owed.begun

    def skipping(what: str) -> Make:
        return lambda files: correct_journal(Skips(files, what))

    def faulty(what: str) -> Make:
        kind = type("Planted", (Faulty,), {"what": what})
        return lambda files: kind(NOWHERE, DISK_BYTES, body_bytes=BODY_BYTES, durable=True, files=files)

    yield "no file is synced", skipping("sync")
    yield "the folder is not synced", skipping("folder")
    yield "a removal is not synced", skipping("removal")
    yield "a record is spoilt as it is written", skipping("last byte")
    for what in (
        "told before the sync",
        "a file is left unsynced",
        "begun is not on record",
        "an ending is not on record",
        "a file goes before its copies are made",
        "proof is taken for granted",
    ):
        yield what, faulty(what)
