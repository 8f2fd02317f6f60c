"""The last look before a first byte, by what was read of the list: before the loop has taken it in, and while
the list is outdated.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from springspread.core.clearance import Clearance, Withheld
from springspread.core.journal import Journal, PendingMessage
from springspread.core.types import (
    Attempt,
    Call,
    Endpoint,
    EndpointState,
    ListNews,
    Member,
    Result,
    Scope,
)
from springspread.core.watch import Lapse

GRACE_MS = 150.0
READ_AT = 1000.0


class ManualClock:
    """Time as a test sets it (ms)."""

    def __init__(self) -> None:
        self.at = READ_AT

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at

    def sleep(self, ms: float) -> None:
        self.at += ms


class Look:
    """A clearance, its clock, and a call to the endpoint s-1 of group 7."""

    def __init__(self, folder: Path) -> None:
        self.clock = ManualClock()
        self.journal = Journal(folder, 3_000_000)
        self.clearance = Clearance(self.journal, GRACE_MS, self.clock)
        self.endpoint = Endpoint(1, "s-1", "127.0.0.1", 9, 7, True, 5)

    def reason(self, after_ms: float = GRACE_MS + 1.0) -> Withheld | None:
        """Why the call may not begin so long after the list was read."""
        self.clock.at = READ_AT + after_ms
        number = self.journal.last_number + 1
        self.journal.record_taken(PendingMessage(number, f"m{number}", "note", 7, 0.0, b"body"))
        run = Attempt(number, 0, f"m{number}", b"body", self.clock.at + 1000.0, True)
        refusal = self.clearance.refuses(Call(self.endpoint, (run,), self.clock.at))
        assert refusal is None or refusal.result is Result.NOT_SENT
        return None if refusal is None else refusal.reason


@pytest.fixture
def look(tmp_path: Path) -> Look:
    return Look(tmp_path)


def line(name: str, group: int = 7, state: EndpointState = EndpointState.READY, port: int = 9) -> Member:
    return Member(name, "127.0.0.1", port, group, 0, 0, state, 1.0, 0.0)


def news(*members: Member, scope: Scope = Scope.CHANGES) -> ListNews:
    return ListNews(scope, 8, members, READ_AT)


LEAVING = {
    "drains": news(line("s-1", state=EndpointState.DRAINING)),
    "gone": news(line("s-1", state=EndpointState.GONE)),
    "not on the whole list": news(line("s-2", port=10), scope=Scope.WHOLE),
    "in another group": news(line("s-1", group=8)),
    "address taken": news(line("s-2")),
}
STAYING = {
    "ready": news(line("s-1")),
    "another drains": news(line("s-2", state=EndpointState.DRAINING, port=10)),
    "on the whole list": news(line("s-1"), line("s-2", port=10), scope=Scope.WHOLE),
    "nothing new": news(),
}


@pytest.mark.parametrize("read", LEAVING.values(), ids=LEAVING)
def test_what_was_read_of_an_endpoint_binds_before_the_loop_has_taken_it_in(
    look: Look, read: ListNews
) -> None:
    look.clearance.received(read)
    assert look.reason(GRACE_MS) is None
    assert look.reason() is Withheld.LEAVING


@pytest.mark.parametrize("read", STAYING.values(), ids=STAYING)
def test_what_was_read_of_others_holds_no_call_up(look: Look, read: ListNews) -> None:
    look.clearance.received(read)
    assert look.reason() is None


def test_news_that_are_in_force_are_not_kept(look: Look) -> None:
    read = news(line("s-1", state=EndpointState.DRAINING))
    look.clearance.received(read)
    look.clearance.leaving(look.endpoint, EndpointState.DRAINING, read.notified_at)
    look.clearance.applied(read)
    assert look.reason() is Withheld.LEAVING
    look.clearance.leaving(look.endpoint, EndpointState.READY, READ_AT + 500.0)
    assert look.reason() is None


def test_no_call_begins_while_the_list_is_outdated(look: Look) -> None:
    lapse = Lapse(READ_AT + 100.0, READ_AT + 6100.0)
    look.clearance.received(ListNews(Scope.FAILED, ask_by=READ_AT, lapse=lapse))
    assert look.reason(100.0 + GRACE_MS) is None
    assert look.reason(101.0 + GRACE_MS) is Withheld.LIST_OUTDATED
    assert look.reason(6099.0) is Withheld.LIST_OUTDATED
    assert look.reason(6101.0) is None


@pytest.mark.parametrize("then", [news(), ListNews(Scope.FAILED)], ids=["answered", "not reached"])
def test_calls_go_on_as_the_list_is_there_or_discovery_is_not_reached(look: Look, then: ListNews) -> None:
    look.clearance.received(ListNews(Scope.FAILED, lapse=Lapse(READ_AT, READ_AT + 6000.0)))
    assert look.reason() is Withheld.LIST_OUTDATED
    look.clearance.received(then)
    assert look.reason() is None
