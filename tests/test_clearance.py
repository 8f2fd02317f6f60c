"""The last check before a first byte: updates that the loop has not handled, and an outdated list."""

from __future__ import annotations

from pathlib import Path

import pytest

from springspread.core.clearance import Clearance, WithheldReason
from springspread.core.journal import Journal
from springspread.core.journal_records import PendingMessage
from springspread.core.translate import EndpointTable
from springspread.core.types import (
    Attempt,
    Call,
    Endpoint,
    EndpointState,
    ListUpdate,
    Member,
    Result,
    Scope,
)
from springspread.core.watch import OutdatedPeriod

GRACE_MS = 150.0
READ_AT = 1000.0


class ManualClock:
    """A clock that the test sets (ms)."""

    def __init__(self) -> None:
        self.at = READ_AT

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at

    def sleep(self, ms: float) -> None:
        self.at += ms


class ClearanceRig:
    """A clearance, its clock, and an endpoint s-1 of group 7."""

    def __init__(self, folder: Path) -> None:
        self.clock = ManualClock()
        self.journal = Journal(folder, 3_000_000)
        self.clearance = Clearance(self.journal, GRACE_MS, self.clock)
        self.endpoint = Endpoint(1, "s-1", "127.0.0.1", 9, 7, True, 5)

    def reason(self, after_ms: float = GRACE_MS + 1.0) -> WithheldReason | None:
        """Why a call may not begin ``after_ms`` after the list was read."""
        self.clock.at = READ_AT + after_ms
        number = self.journal.last_number + 1
        self.journal.record_taken(PendingMessage(number, f"m{number}", "note", 7, 0.0, b"body"))
        attempt = Attempt(number, 0, f"m{number}", b"body", self.clock.at + 1000.0, True)
        refusal = self.clearance.check(Call(self.endpoint, (attempt,), self.clock.at))
        assert refusal is None or refusal.result is Result.NOT_SENT
        return None if refusal is None else refusal.reason


@pytest.fixture
def rig(tmp_path: Path) -> ClearanceRig:
    return ClearanceRig(tmp_path)


def line(name: str, group: int = 7, state: EndpointState = EndpointState.READY, port: int = 9) -> Member:
    return Member(name, "127.0.0.1", port, group, 0, 0, state, 1.0, 0.0)


def update(*members: Member, scope: Scope = Scope.CHANGES) -> ListUpdate:
    return ListUpdate(scope, 8, members, READ_AT)


LEAVING = {
    "drains": update(line("s-1", state=EndpointState.DRAINING)),
    "gone": update(line("s-1", state=EndpointState.GONE)),
    "not on the whole list": update(line("s-2", port=10), scope=Scope.WHOLE),
}
STAYING = {
    "ready": update(line("s-1")),
    "another drains": update(line("s-2", state=EndpointState.DRAINING, port=10)),
    "on the whole list": update(line("s-1"), line("s-2", port=10), scope=Scope.WHOLE),
    "nothing new": update(),
}


@pytest.mark.parametrize("read", LEAVING.values(), ids=LEAVING)
def test_an_endpoints_update_applies_before_the_loop_has_handled_it(
    rig: ClearanceRig, read: ListUpdate
) -> None:
    rig.clearance.received(read)
    assert rig.reason(GRACE_MS) is None
    assert rig.reason() is WithheldReason.LEAVING


@pytest.mark.parametrize("read", STAYING.values(), ids=STAYING)
def test_updates_of_other_endpoints_stop_no_call(rig: ClearanceRig, read: ListUpdate) -> None:
    rig.clearance.received(read)
    assert rig.reason() is None


def test_updates_that_the_loop_has_applied_are_dropped(rig: ClearanceRig) -> None:
    read = update(line("s-1", state=EndpointState.DRAINING))
    rig.clearance.received(read)
    rig.clearance.set_state(rig.endpoint, EndpointState.DRAINING, read.notified_at)
    rig.clearance.applied(read)
    assert rig.reason() is WithheldReason.LEAVING
    rig.clearance.set_state(rig.endpoint, EndpointState.READY, READ_AT + 500.0)
    assert rig.reason() is None


def test_no_call_begins_while_the_list_is_outdated(rig: ClearanceRig) -> None:
    outdated_period = OutdatedPeriod(READ_AT + 100.0, READ_AT + 6100.0)
    rig.clearance.received(ListUpdate(Scope.FAILED, ask_by=READ_AT, outdated_period=outdated_period))
    assert rig.reason(100.0 + GRACE_MS) is None
    assert rig.reason(101.0 + GRACE_MS) is WithheldReason.LIST_OUTDATED
    assert rig.reason(6099.0) is WithheldReason.LIST_OUTDATED
    assert rig.reason(6101.0) is None


@pytest.mark.parametrize("then", [update(), ListUpdate(Scope.FAILED)], ids=["answered", "not reached"])
def test_calls_begin_again_after_an_answer_or_when_discovery_is_not_reached(
    rig: ClearanceRig, then: ListUpdate
) -> None:
    rig.clearance.received(
        ListUpdate(Scope.FAILED, outdated_period=OutdatedPeriod(READ_AT, READ_AT + 6000.0))
    )
    assert rig.reason() is WithheldReason.LIST_OUTDATED
    rig.clearance.received(then)
    assert rig.reason() is None


LOST = {
    "address taken": update(line("s-2")),
    "address taken in another group": update(line("s-2", group=8)),
    "in another group": update(line("s-1", group=8)),
    "gone, and address taken": update(line("s-1", state=EndpointState.GONE), line("s-2", group=8)),
    "moved, and address taken": update(line("s-1", port=10), line("s-2", group=8)),
}


@pytest.mark.parametrize("read", LOST.values(), ids=LOST)
def test_call_to_an_address_that_another_endpoint_has_now_is_not_sent_within_the_grace(
    rig: ClearanceRig, read: ListUpdate
) -> None:
    """A call under way for an endpoint that had gone reached the one that came up at its address."""
    assert rig.reason(0.0) is None
    rig.clearance.received(read)
    assert rig.reason(0.0) is WithheldReason.ADDRESS_LOST
    assert rig.reason() is WithheldReason.ADDRESS_LOST


def test_call_that_is_connected_to_the_old_address_of_its_endpoint_is_not_completed(
    rig: ClearanceRig,
) -> None:
    attempt = Attempt(1, 0, "m1", b"body", rig.clock.at + 1000.0, True)
    call = Call(rig.endpoint, (attempt,), rig.clock.at, address=("127.0.0.1", 9))
    assert rig.clearance.may_finish(call)
    rig.endpoint.port = 10  # as the loop applies an update
    assert not rig.clearance.may_finish(call)


def test_endpoint_that_returns_to_its_address_is_called_again(rig: ClearanceRig) -> None:
    rig.clearance.set_address_lost(rig.endpoint)
    assert rig.reason(0.0) is WithheldReason.ADDRESS_LOST
    table = EndpointTable((), rig.clock)
    table.by_number[1] = rig.endpoint
    table._numbers[("s-1", 7)] = 1
    assert table.endpoint(line("s-1")) is rig.endpoint
    assert rig.reason(0.0) is None


def test_drain_that_leaves_the_address_alone_keeps_its_grace(rig: ClearanceRig) -> None:
    rig.clearance.received(update(line("s-1", state=EndpointState.GONE), line("s-2", port=10)))
    assert rig.reason(1.0) is None and rig.reason() is WithheldReason.LEAVING
