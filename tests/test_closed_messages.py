"""A message that is handed in again under its id does not run twice, whichever process it comes to."""

from __future__ import annotations

import json
import os
import signal
from pathlib import Path

import pytest

from springspread.core.closed_messages import Outcome
from springspread.core.files import Files
from springspread.core.journal import MAX_RESULTS, Journal, JournalFull
from springspread.core.journal_ownership import OwnedJournals, read_pending
from springspread.core.journal_records import PendingMessage
from tests.peer import Peer, Program, until

DISK_BYTES = 600_000
BODY_BYTES = 8192


def payment(number: int, id: str = "", body: bytes = b"x") -> PendingMessage:
    return PendingMessage(number, id or f"m{number}", "pay", 7, 2e12, body)


def deliver(journal: Journal | OwnedJournals, message: PendingMessage) -> None:
    journal.record_taken(message)
    journal.record_begun(message.number, 0)
    journal.record_completed(message.number)


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return Program(tmp_path, peer)


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
def test_delivered_message_is_not_sent_again_by_the_next_process(
    program: Program, peer: Peer, how: signal.Signals
) -> None:
    """47 of 120 payments handed in again after a restart ran twice: results died with the process."""
    assert program.hand_in("pay", cls="pay") == 202
    until(lambda: peer.ids() == ["pay"] and not read_pending(program.state), "it is delivered")
    program.end(how)
    program.start()
    assert program.hand_in("pay", cls="pay") == 200
    assert program.hand_in("pay", cls="pay", body=b"another") == 409
    assert program.hand_in("next", cls="pay") == 202
    until(lambda: "next" in peer.ids(), "a later message")
    assert peer.ids() == ["pay", "next"] and not peer.notices


def test_message_that_may_have_run_is_not_sent_again_after_its_end_was_told(
    program: Program, peer: Peer
) -> None:
    """The next process ended it as undeliverable, and then took it for a new message."""
    peer.answer_calls.clear()
    assert program.hand_in("pay", cls="pay") == 202
    until(lambda: peer.ids() == ["pay"], "it is called")
    program.end(signal.SIGKILL)
    peer.answer_calls.set()
    program.start()
    until(lambda: [one["id"] for one in peer.notices] == ["pay"], "its end")
    until(lambda: not read_pending(program.state), "the notice is accepted")
    assert program.hand_in("pay", cls="pay") == 202
    assert program.hand_in("next", cls="pay") == 202
    until(lambda: "next" in peer.ids(), "a later message")
    assert peer.ids() == ["pay", "next"]


def test_message_delivered_by_one_process_of_an_upgrade_is_not_sent_again_by_the_other(
    program: Program, peer: Peer, tmp_path: Path
) -> None:
    """46 of 120 payments ran twice in an upgrade: the other process knew pending messages alone."""
    new = Program(tmp_path, peer)
    assert program.hand_in("pay", cls="pay") == 202
    until(lambda: peer.ids() == ["pay"] and not read_pending(program.state), "it is delivered")
    assert new.hand_in("pay", cls="pay") == 200
    assert new.hand_in("pay", cls="pay", body=b"another") == 409
    program.end(signal.SIGTERM)
    assert new.hand_in("pay", cls="pay") == 200
    assert peer.ids() == ["pay"] and not peer.notices


def test_message_that_the_other_process_may_still_drop_is_not_accepted(
    program: Program, peer: Peer, tmp_path: Path
) -> None:
    """The other process drops it, if its own client has left, and this one had promised its end."""
    with peer.lock:
        peer.watch_bodies = [json.dumps(peer.members("Terminating", 2)).encode()]
    until(lambda: not peer.watch_bodies and "since=2" in peer.list_targets[-1], "the drain is applied")
    assert program.hand_in("pay", cls="pay") == 202  # there is no endpoint to begin an attempt at
    new = Program(tmp_path, peer)
    assert new.hand_in("pay", cls="pay") == 503
    program.end(signal.SIGKILL)
    until(lambda: new.hand_in("pay", cls="pay") in (202, 200), "it is this process's own, or delivered")
    until(lambda: new.hand_in("pay", cls="pay") == 200, "it is delivered")
    assert peer.ids() == ["pay"]


def test_results_outlast_compaction_and_the_process(tmp_path: Path) -> None:
    journal, number = Journal(tmp_path, DISK_BYTES, 8, BODY_BYTES), 0
    deliver(journal, payment(1))
    for number in range(2, 202):
        deliver(journal, payment(number, body=bytes(BODY_BYTES)))
    assert "journal.00000001" not in journal.files  # compacted
    assert (found := journal.find_closed("m1")) is not None and found.outcome is Outcome.DELIVERED
    journal.close()
    again = Journal(tmp_path, DISK_BYTES, 8, BODY_BYTES)
    assert all(again.find_closed(f"m{n}") for n in range(1, number + 1))
    assert again.find_closed("m0") is None


def test_results_are_bounded_and_the_oldest_go_first(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 40_000_000, 8, BODY_BYTES)
    for number in range(1, MAX_RESULTS + 11):
        deliver(journal, payment(number))
    assert len(journal.closed) == MAX_RESULTS
    assert journal.find_closed("m10") is None and journal.find_closed("m11") is not None


def test_journal_full_of_results_and_messages_stays_within_its_limit(tmp_path: Path) -> None:
    journal, number = Journal(tmp_path, DISK_BYTES, 8, BODY_BYTES), 0
    for number in range(1, 3000):
        deliver(journal, payment(number))
    with pytest.raises(JournalFull):
        while True:
            number += 1
            journal.record_taken(payment(number, body=bytes(BODY_BYTES)))
    for pending in list(journal.pending):
        for attempt in range(8):
            journal.record_begun(pending, attempt)
            journal.record_not_run(pending, attempt)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= DISK_BYTES


def test_message_that_never_ran_or_may_come_again_leaves_no_result(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES, 8, BODY_BYTES)
    journal.record_taken(payment(3))
    journal.record_begun(3, 0)
    journal.record_ending(3, True, 500.0)  # its client was told to come again
    journal.record_completed(3)
    journal.record_taken(payment(1))
    assert journal.withdraw(1)
    journal.record_taken(payment(2))
    journal.record_begun(2, 0)
    journal.record_not_run(2, 0)
    journal.record_ending(2, True, 0.0)
    journal.record_completed(2)
    assert not len(journal.closed)


def test_results_of_a_journal_that_was_taken_over_outlast_its_deletion(tmp_path: Path) -> None:
    old, new = (OwnedJournals(tmp_path, DISK_BYTES, 8, BODY_BYTES) for _ in range(2))
    deliver(old, payment(old.last_number + 1, "pay"))
    for file in old._locks.values():
        os.close(file)  # simulates the death of its process
    new.check_ownership(1e9)
    new.check_ownership(2e9)
    assert not new.has_other_journals and new.find_closed("pay") is not None
    for file in new._locks.values():
        os.close(file)
    third = OwnedJournals(tmp_path, DISK_BYTES, 8, BODY_BYTES)
    assert third.find_closed("pay") is not None


def test_results_are_recorded_once_however_often_a_deletion_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = (OwnedJournals(tmp_path, DISK_BYTES, 8, BODY_BYTES) for _ in range(2))
    deliver(old, payment(old.last_number + 1, "pay"))
    for file in old._locks.values():
        os.close(file)  # simulates the death of its process

    def failing(*_: object) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(Files, "unlink", failing)
    new.check_ownership(1e9)
    recorded = sum(new._journals[1].files.values())
    for check in range(2, 10):
        new.check_ownership(check * 1e9)
    assert recorded and sum(new._journals[1].files.values()) == recorded
    monkeypatch.undo()
    new.check_ownership(1e11)
    assert not new.has_other_journals and new.find_closed("pay") is not None
