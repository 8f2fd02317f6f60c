"""Searches every crash point of a journal: crashes a random run at each operation on its files.

After each crash a journal is recovered from every loss that ``disk`` knows, crashed again at operations of
its recovery, and recovered once more. What was acknowledged must be found:

    acknowledged                              found after any power loss
    accepted (synced)                         pending, with its body, until it is completed
    unsafe call may begin (synced)            may have run, until it is proved not to have run
    ending (synced)                           that ending, until it is completed
    nothing                                   no message that was not submitted
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from springspread.core.journal import Journal
from springspread.core.journal_records import PendingMessage
from springspread.faults.disk import Crash, Disk, MemoryFiles

DISK_BYTES = 32_000  # room for three files of 2,700 bytes, so that compaction runs often
BODY_BYTES = 300
MAX_PENDING = 8  # fits on the disk: refusals of a full journal are not tested here
FOLDER = Path("/nowhere")


@dataclass(slots=True)
class Acknowledged:
    """What was acknowledged to others, by message."""

    submitted: dict[int, bytes] = field(default_factory=dict)
    accepted: set[int] = field(default_factory=set)
    started: set[int] = field(default_factory=set)
    endings: dict[int, tuple[bool, float]] = field(default_factory=dict)
    completed: set[int] = field(default_factory=set)

    def violation(self, pending: dict[int, PendingMessage]) -> str:
        """What is wrong with a journal's pending messages; empty if nothing is."""
        for number in sorted(self.accepted - self.completed):
            if number not in pending:
                return f"{number} was accepted and is missing"
        for number, message in pending.items():
            if self.submitted.get(number) != message.body:
                return f"{number} differs from what was submitted"
            if number in self.started and not message.may_have_run:
                return f"{number} may have run and is recorded as not run"
            if (
                number in self.endings
                and message.ending != self.endings[number]
                and number not in self.completed
            ):
                return (
                    f"{number} was acknowledged with ending {self.endings[number]} and has {message.ending}"
                )
        return ""


def run_operations(journal: Journal, seed: int, steps: int, acknowledged: Acknowledged) -> None:
    """Run a sender's operations, drawn from a seed, and note what is acknowledged."""
    rng, number = Random(f"{seed}/journal"), journal.last_number
    attempts: dict[int, int] = {}  # by pending message
    for _ in range(steps):
        operation = rng.choice(("take", "take", "begin", "begin", "prove", "end", "over", "over"))
        operation = "over" if len(attempts) >= MAX_PENDING else operation
        if operation == "take" or not attempts:
            number += 1
            body = bytes([number % 251]) * rng.randrange(BODY_BYTES)
            acknowledged.submitted[number] = body
            journal.record_taken(PendingMessage(number, f"id-{number}", "pay", 7, 2e12, body))
            journal.wait_synced()
            acknowledged.accepted.add(number)
            attempts[number] = 0
            continue
        chosen = rng.choice(sorted(attempts))
        if operation == "begin" and attempts[chosen] < 3 and chosen not in acknowledged.started:
            journal.record_begun(chosen, attempts[chosen])
            journal.wait_synced()
            acknowledged.started.add(chosen)
            attempts[chosen] += 1
        elif operation == "prove" and chosen in acknowledged.started:
            acknowledged.started.discard(chosen)
            journal.record_not_run(chosen, attempts[chosen] - 1)
        elif operation == "end" and chosen not in acknowledged.endings:
            journal.record_ending(chosen, True, 5.0)
            journal.wait_synced()
            acknowledged.endings[chosen] = (True, 5.0)
        elif operation == "over":
            acknowledged.completed.add(chosen)
            del attempts[chosen]
            journal.record_completed(chosen)


JournalFactory = Callable[[MemoryFiles], Journal]


def correct_journal(files: MemoryFiles) -> Journal:
    """A journal without faults."""
    return Journal(FOLDER, DISK_BYTES, body_bytes=BODY_BYTES, durable=True, files=files)


@dataclass(slots=True)
class CrashSearch:
    """The number of recoveries, and the first violation with its crash point."""

    states: int = 0
    points: int = 0
    violation: str = ""


def search(
    seed: int,
    steps: int,
    make: JournalFactory = correct_journal,
    recovery_stride: int = 3,
    max_states: int = 1 << 60,
) -> CrashSearch:
    """Crash a run at each operation, and its recoveries at every ``recovery_stride``-th one (0: none)."""
    result = CrashSearch()
    for point in range(1, 1 << 30):
        acknowledged, disk = Acknowledged(), Disk()
        if not _run_until(partial(_run, make, seed, steps, acknowledged), disk, point):
            return result
        result.points += 1
        for after_loss in disk.losses():
            _recover(
                after_loss, acknowledged, make, result, f"seed {seed}, operation {point}", recovery_stride
            )
            if result.violation or result.states >= max_states:
                return result
    return result


def _run(make: JournalFactory, seed: int, steps: int, acknowledged: Acknowledged, files: MemoryFiles) -> None:
    run_operations(make(files), seed, steps, acknowledged)


def _recover(
    after_loss: Disk,
    acknowledged: Acknowledged,
    make: JournalFactory,
    result: CrashSearch,
    location: str,
    recovery_stride: int,
) -> None:
    result.states += 1
    result.violation = acknowledged.violation(make(MemoryFiles(deepcopy(after_loss))).pending)
    if result.violation:
        result.violation = f"{location}: {result.violation}"
        return
    if not recovery_stride:
        return
    for point in range(1, 1 << 20, recovery_stride):
        disk = deepcopy(after_loss)
        if not _run_until(lambda files: make(files), disk, point):
            return
        for second in disk.losses():
            _recover(second, acknowledged, make, result, f"{location}, recovery {point}", 0)
            if result.violation:
                return


def _run_until(run: Callable[[MemoryFiles], object], disk: Disk, point: int) -> bool:
    """Run until an operation crashes; returns whether the run got that far."""
    operations_left = [point]

    def before(operation: str) -> None:
        operations_left[0] -= 1
        if not operations_left[0]:
            raise Crash(operation)

    try:
        run(MemoryFiles(disk, before))
    except Crash:
        return True
    return False


def faulty_journals() -> Iterator[tuple[str, JournalFactory]]:
    """Journals with one fault each, by name."""

    class SkippingFiles(MemoryFiles):
        """Skips or corrupts one kind of operation."""

        def __init__(self, files: MemoryFiles, operation: str) -> None:
            super().__init__(files.disk, files.before)
            self.operation = operation

        def sync(self, file: int) -> None:
            if self.operation != "sync":
                super().sync(file)

        def sync_folder(self) -> None:
            removed = self.disk.synced.keys() - self.disk.current.keys()
            if self.operation != "folder" and not (self.operation == "removal" and removed):
                super().sync_folder()

        def append(self, file: int, data: bytes) -> None:
            if self.operation == "last byte" and len(data) > BODY_BYTES // 2:
                data = data[:-1] + b"?"
            super().append(file, data)

    class FaultyJournal(Journal):
        """A journal with one fault."""

        injected_fault = ""

        def wait_synced(self) -> None:
            if self.injected_fault != "told before the sync":
                super().wait_synced()

        def _sync_file(self) -> None:
            if self.injected_fault != "a file is left unsynced":
                super()._sync_file()

        def record_begun(self, number: int, attempt: int) -> bool:
            if self.injected_fault != "begun is not on record" or attempt:
                return super().record_begun(number, attempt)
            return True

        def record_ending(self, number: int, deferred: bool, again_ms: float) -> None:
            if self.injected_fault != "an ending is not on record" or number % 3:
                super().record_ending(number, deferred, again_ms)

        def _compact_oldest(self) -> None:
            if self.injected_fault == "a file goes before its copies are made":
                self._files.unlink(min(self.files))
                del self._sizes[min(self._sizes)]
                self._open(self._file_number + 1)
                for message in [
                    message for message in self.pending.values() if message.file not in self._sizes
                ]:
                    self._write(message.records())
                    message.file = self._file_number
                return
            super()._compact_oldest()

        def _load_file(self, number: int, newest: bool) -> None:
            super()._load_file(number, newest)
            if self.injected_fault == "proof is taken for granted":
                for message in self.pending.values():
                    message.not_run |= message.begun

    def skipping(operation: str) -> JournalFactory:
        return lambda files: correct_journal(SkippingFiles(files, operation))

    def faulty(fault: str) -> JournalFactory:
        kind = type("Planted", (FaultyJournal,), {"injected_fault": fault})
        return lambda files: kind(FOLDER, DISK_BYTES, body_bytes=BODY_BYTES, durable=True, files=files)

    yield "no file is synced", skipping("sync")
    yield "the folder is not synced", skipping("folder")
    yield "a removal is not synced", skipping("removal")
    yield "a record is spoilt as it is written", skipping("last byte")
    for fault in (
        "told before the sync",
        "a file is left unsynced",
        "begun is not on record",
        "an ending is not on record",
        "a file goes before its copies are made",
        "proof is taken for granted",
    ):
        yield fault, faulty(fault)
