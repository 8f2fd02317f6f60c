"""Notices to the platform: no message waits for its end behind a connection that has fallen silent."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.config import Limits
from springspread.core.notice_queue import CallOutcome, NoticeCall, NoticeQueue
from springspread.core.types import CoreEvent, Notice, NoticesDelivered
from springspread.net.notices import Notifier, notice_times
from tests.list_service import NO_CONTENT, ended, read_request
from tests.peer import serve_connections, until
from tests.test_malformed_answers import NullLog

TIMES = notice_times(Limits())
END_ALLOWED_MS = 350.0  # the protocol's: 300 ms after its time a message has its end, and 50 ms on sockets


class QuietPlatform:
    """Accepts notices, but neither reads on nor answers on its first connections, which stay open."""

    def __init__(self, quiet: int) -> None:
        self.quiet = quiet
        self.open_quiet: list[socket.socket] = []
        self.accepted: list[str] = []
        self.quiet_open_at_accept: list[int] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        serve_connections(self._listener, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        if (request := read_request(sock)) is None:
            return
        with self._lock:
            if self.quiet > len(self.open_quiet):
                self.open_quiet.append(sock)
                return
            self.quiet_open_at_accept.append(sum(not ended(one) for one in self.open_quiet))
            self.accepted += [json.loads(line)["id"] for line in request.body.splitlines()]
        sock.sendall(NO_CONTENT)
        sock.close()

    def close(self) -> None:
        self._listener.close()
        for sock in self.open_quiet:
            sock.close()


@pytest.fixture
def platform() -> Iterator[QuietPlatform]:
    made = QuietPlatform(1)
    yield made
    made.close()


def test_notice_on_a_silent_connection_is_sent_again_over_another_one(platform: QuietPlatform) -> None:
    """Messages ended 354 to 960 ms after their time, as all notices waited for one silent connection."""
    events: list[CoreEvent] = []
    notices = Notifier(("127.0.0.1", platform.port), Limits(), events.append, NullLog(), lambda: None)
    notices.deliver(Notice(1, "first", False))
    until(lambda: platform.open_quiet, "its connection falls silent")
    notices.deliver(Notice(2, "behind", False))
    until(lambda: len(events) > 0 and {"first", "behind"} <= set(platform.accepted), "both are accepted")
    assert platform.quiet_open_at_accept[0] == 1  # the silent connection was still waited for
    until(lambda: ended(platform.open_quiet[0]), "the abandoned call is closed")
    numbers = [number for one in events if isinstance(one, NoticesDelivered) for number in one.numbers]
    assert sorted(numbers) == [1, 2]


def test_two_silent_connections_leave_time_for_a_third() -> None:
    queue = NoticeQueue(TIMES)
    queue.add(Notice(1, "a", False), 0.0)
    now, calls = 0.0, list[tuple[float, NoticeCall]]()
    while now <= END_ALLOWED_MS:
        if (call := queue.next_call(now)) is not None:
            calls.append((now, call))
        now = max(queue.next_at(), now + 0.1)
    assert len(calls) >= 3 and calls[-1][0] <= END_ALLOWED_MS


def test_platform_that_answers_gets_one_call_at_a_time_with_all_that_is_due() -> None:
    queue = NoticeQueue(TIMES)
    queue.add(Notice(1, "a", False), 0.0)
    first = queue.next_call(0.0)
    assert first is not None
    for number in range(2, 30):
        queue.add(Notice(number, f"m{number}", False), 1.0)
    assert queue.next_call(1.0) is None
    queue.ended(first, CallOutcome.ACCEPTED, 2.0)
    second = queue.next_call(2.0)
    assert second is not None and len(second.notices) == 28 and second.resent == 0


def test_notice_that_the_platform_cannot_read_holds_no_other_back() -> None:
    queue = NoticeQueue(TIMES)
    for number in range(1, 21):
        queue.add(Notice(number, f"m{number}", False), 0.0)
    now, accepted, refused = 0.0, set[int](), 0
    while len(accepted) < 19 and now < 10_000.0:
        call = queue.next_call(now)
        if call is None:
            now = queue.next_at()
            continue
        unreadable = any(notice.number == 7 for notice in call.notices)
        end = queue.ended(call, CallOutcome.REFUSED if unreadable else CallOutcome.ACCEPTED, now + 1.0)
        assert end is not None
        accepted |= set(end.accepted)
        refused += unreadable
    assert accepted == set(range(1, 21)) - {7} and refused <= 3


OUTCOMES = st.sampled_from(list(CallOutcome))


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 3), OUTCOMES), max_size=60))
def test_every_notice_is_accepted_once_within_the_bounds_of_calls(
    steps: list[tuple[int, int, CallOutcome]],
) -> None:
    queue, now = NoticeQueue(TIMES), 0.0
    calls: list[NoticeCall] = []
    told: list[int] = []
    added = 0

    def end(call: NoticeCall, outcome: CallOutcome) -> None:
        ended_call = queue.ended(call, outcome, now)
        assert ended_call is not None
        told.extend(ended_call.accepted)
        for other in ended_call.abandoned:
            calls.remove(other)
            assert queue.ended(other, CallOutcome.UNREACHABLE, now) is None

    for wait, new, outcome in steps:
        now += wait
        for _ in range(new):
            added += 1
            queue.add(Notice(added, f"m{added}", False), now)
        while (call := queue.next_call(now)) is not None:
            assert len({notice.number for notice in call.notices}) == len(call.notices)
            assert not {notice.number for notice in call.notices} & set(told)
            calls.append(call)
        assert len(calls) <= TIMES.max_calls
        if calls:
            end(calls.pop(0), outcome)
    for _ in range(1000):
        while calls:
            end(calls.pop(0), CallOutcome.ACCEPTED)
        if queue.next_at() == inf:
            break
        now = max(now, queue.next_at())
        call = queue.next_call(now)
        assert call is not None
        calls.append(call)
    assert sorted(told) == list(range(1, added + 1))
