"""The watch of discovery's list: when it is requested again, and which answers are accepted."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import pairwise
from math import ceil, inf
from queue import SimpleQueue
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.config import Limits, Names
from springspread.core.types import CoreEvent, EndpointState, ListUpdate, Log, Scope, clock
from springspread.core.watch import (
    AFTER_WAIT_MS,
    ANSWER_MS,
    MIN_WAIT_FRACTION,
    MOVED_MS,
    NEVER_OUTDATED,
    NOTIFIED_MS,
    OUTDATED_MS,
    Failure,
    State,
    Watch,
    timings,
)
from springspread.net import exchange
from springspread.net.discovery import Watcher
from tests.peer import serve_connections, until
from tests.test_malformed_answers import NullLog, read_request

WAIT_MS = 5000.0
FAILURES = st.sampled_from(list(Failure))


LARGE = 200  # senders: an answer may take ``ANSWER_MS``
LARGEST_FLEET = 3200  # endpoints, by the operators' page
SENDERS = st.sampled_from([1, 4, 40, LARGE])


def active_watch(version: int | None = 7, senders: int = LARGE) -> Watch:
    watch = Watch(version, WAIT_MS, senders)
    watch.set_active()
    return watch


@pytest.mark.parametrize(
    ("failure", "deadline"),
    [
        (Failure.SILENT, WAIT_MS + AFTER_WAIT_MS),
        (Failure.REFUSED, NOTIFIED_MS + 300.0),
        (Failure.UNREACHED, NOTIFIED_MS + 300.0),
    ],
)
def test_a_failed_request_is_repeated_before_what_it_missed_counts_as_notified(
    failure: Failure, deadline: float
) -> None:
    watch = active_watch()
    request = watch.begin(0.0)
    assert request is not None and request.since == 7
    assert watch.failed(failure, 300.0) == deadline - ANSWER_MS
    assert watch.begin(400.0) is None  # until it is set active again


def test_a_silent_watch_is_given_up_while_another_can_still_answer_in_time() -> None:
    watch = active_watch()
    request = watch.begin(0.0)
    assert request is not None
    assert watch.failed(Failure.SILENT, request.give_up_at) <= request.give_up_at
    assert request.give_up_at + ANSWER_MS <= WAIT_MS + AFTER_WAIT_MS


@settings(derandomize=True, deadline=None, database=None)
@given(SENDERS, st.lists(st.tuples(FAILURES, st.floats(0.0, 1.0)), min_size=1, max_size=8))
def test_after_any_failures_the_next_request_is_answered_before_its_deadline(
    senders: int, calls: list[tuple[Failure, float]]
) -> None:
    """Within 6 s after discovery had the change and could be reached, or 2 s after a silent request's wait.

    Later failures, other than refusals, do not extend an earlier deadline. The pause after a failure is kept.
    """
    watch, now, missed, back_by = active_watch(senders=senders), 0.0, list[float](), inf
    answer_ms, retry_ms = watch.timings.answer_ms, watch.timings.retry_ms
    for failure, fraction in calls:
        request = watch.begin(now)
        assert request is not None
        took = fraction * answer_ms
        failed_at = request.give_up_at if failure is Failure.SILENT else now + took
        ask_by = max(watch.failed(failure, failed_at), failed_at)
        assert ask_by + answer_ms <= failed_at + NOTIFIED_MS + 1e-6  # if discovery is back in the pause
        if failure is not Failure.REFUSED:
            waited = now + request.wait_ms + AFTER_WAIT_MS if request.wait_ms else 0.0
            broken = failed_at + NOTIFIED_MS if failure is not Failure.SILENT else inf
            missed.append(min(max(now + NOTIFIED_MS, waited), broken))
        if failure is Failure.UNREACHED:
            back_by = failed_at + NOTIFIED_MS
        elif failure is not Failure.SILENT:
            back_by = min(back_by, failed_at + NOTIFIED_MS)
        else:
            missed[-1] = min(missed[-1], back_by)
        if missed and failed_at < min(missed):  # later it is down
            assert ask_by <= max(min(missed) - answer_ms, failed_at + retry_ms)
        now = ask_by
        watch.set_active()


@settings(derandomize=True, deadline=None, database=None)
@given(SENDERS, st.lists(FAILURES, min_size=20, max_size=40))
def test_requests_to_a_discovery_that_answers_nothing_are_limited(
    senders: int, failures: list[Failure]
) -> None:
    """At most one request in 5 s where all are refused, and a pause after any other failure."""
    watch, now, begun, alone = active_watch(senders=senders), 0.0, list[float](), set(failures)
    for failure in failures:
        begun.append(now)
        assert watch.begin(now) is not None
        now = max(watch.failed(failure, now), now + (failure is Failure.SILENT))
        watch.set_active()
    gaps = [later - one for one, later in pairwise(begun)]
    if alone == {Failure.REFUSED}:
        assert min(gaps) >= NOTIFIED_MS - ANSWER_MS
    # Requests are densest just before the deadline of a silent watch.
    seconds = [sum(at <= other < at + NOTIFIED_MS for other in begun) for at in begun]
    assert max(seconds) <= 2 * (1 + ceil(watch.timings.answer_ms / watch.timings.retry_ms))
    assert max(gaps) <= WAIT_MS + AFTER_WAIT_MS


def test_later_failures_do_not_extend_a_silent_watchs_deadline() -> None:
    for senders in (1, 4, 40, LARGE):
        watch = active_watch(senders=senders)
        request = watch.begin(0.0)
        assert request is not None
        now = request.give_up_at
        assert watch.failed(Failure.SILENT, now) == now  # retried at once
        for failure in (Failure.REFUSED, Failure.UNREACHED):
            watch.set_active()
            assert watch.begin(now) is not None
            assert watch.deadline == WAIT_MS + AFTER_WAIT_MS
            failed_at = now + 1.0
            now = watch.failed(failure, failed_at)
            asked_by = WAIT_MS + AFTER_WAIT_MS - watch.timings.answer_ms
            assert now <= max(asked_by, failed_at + watch.timings.retry_ms)
            if now >= WAIT_MS + AFTER_WAIT_MS:
                break  # in a large fleet there is time for one more request only


def test_requests_are_short_until_an_answer_comes() -> None:
    watch = active_watch(senders=4)
    watch.begin(0.0)
    watch.failed(Failure.UNREACHED, 10.0)
    watch.set_active()
    request = watch.begin(200.0)
    assert request is not None and request.since == 7 and request.wait_ms < 200.0
    assert request.give_up_at + watch.timings.answer_ms <= watch.deadline  # there is time for another one
    assert watch.answered(7)
    request = watch.begin(300.0)
    assert request is not None and request.wait_ms == WAIT_MS


def test_the_first_deadline_is_kept_after_it_has_passed() -> None:
    watch = active_watch(senders=4)
    request = watch.begin(0.0)
    assert request is not None and watch.state(0.0) is State.CURRENT and watch.first_deadline == inf
    now = request.give_up_at
    while now < WAIT_MS + AFTER_WAIT_MS:
        now = max(watch.failed(Failure.SILENT, now), now + 100.0)
        assert watch.first_deadline == WAIT_MS + AFTER_WAIT_MS
        watch.set_active()
        assert watch.begin(now) is not None
    watch.failed(Failure.UNREACHED, now)
    assert watch.state(now) is State.DOWN and watch.first_deadline == WAIT_MS + AFTER_WAIT_MS
    watch.set_active()
    assert watch.begin(now) is not None and watch.answered(8)
    assert watch.state(now) is State.CURRENT and watch.first_deadline == inf


@settings(derandomize=True, deadline=None, database=None)
@given(SENDERS, st.lists(st.tuples(FAILURES, st.floats(0.0, 1.0)), min_size=1, max_size=30))
def test_a_list_is_outdated_from_a_silent_requests_deadline(
    senders: int, calls: list[tuple[Failure, float]]
) -> None:
    """From that deadline on, if discovery was reached last; for one period, and no second one.

    A period in which discovery was out of reach lasts as long after the deadline of the next silent request.
    """
    watch, now, silent_by, back_by, was_outdated = active_watch(senders=senders), 0.0, inf, inf, False
    ends_at, out_of_reach = inf, False
    for failure, fraction in calls:
        request = watch.begin(now)
        assert request is not None
        failed_at = (
            request.give_up_at if failure is Failure.SILENT else now + fraction * watch.timings.answer_ms
        )
        if failed_at >= ends_at:
            silent_by, ends_at, was_outdated = inf, inf, True
        if failure is Failure.SILENT and not was_outdated:
            due = min(request.deadline, back_by)
            if silent_by == inf or (out_of_reach and ends_at < due + OUTDATED_MS):
                ends_at = due + OUTDATED_MS
            silent_by = min(silent_by, due)
        elif failure is Failure.UNREACHED:  # counted anew, as it can't be reached now
            back_by = failed_at + NOTIFIED_MS
        elif failure is not Failure.SILENT:
            back_by = min(back_by, failed_at + NOTIFIED_MS)
        if failure is not Failure.BROKEN and failure is not Failure.LOCAL:
            out_of_reach = failure is not Failure.SILENT
        again = max(watch.failed(failure, failed_at), failed_at)
        begin = silent_by if failure is not Failure.UNREACHED else inf
        if failure is not Failure.LOCAL:
            assert watch.outdated_period.begin == begin
        assert watch.outdated_period.end == (ends_at if watch.outdated_period.begin < inf else inf)
        now = again
        watch.set_active()
    watch.begin(now)
    assert watch.answered(8) and watch.outdated_period == NEVER_OUTDATED


@pytest.mark.parametrize("failure", [one for one in Failure if one is not Failure.SILENT])
def test_a_silent_request_after_a_failure_counts_from_that_failure(failure: Failure) -> None:
    """Discovery may have been back, with changes, from then on."""
    watch = active_watch(senders=4)
    watch.begin(0.0)
    watch.failed(failure, 10.0)
    watch.set_active()
    request = watch.begin(700.0)
    assert request is not None
    watch.failed(Failure.SILENT, request.give_up_at)
    assert watch.outdated_period.begin == 10.0 + NOTIFIED_MS


def test_an_outdated_period_outlasts_the_return_of_a_discovery_that_stays_silent() -> None:
    """What changed before the return counts as notified ``NOTIFIED_MS`` after it, in or after the period."""
    watch = active_watch(senders=1)
    request = watch.begin(0.0)
    assert request is not None
    watch.failed(Failure.SILENT, request.give_up_at)
    first_end = watch.outdated_period.end
    back_at = first_end - NOTIFIED_MS - 100.0
    watch.set_active()
    assert watch.begin(back_at - 1.0) is not None
    watch.failed(Failure.REFUSED, back_at)
    watch.set_active()
    request = watch.begin(back_at + 10.0)
    assert request is not None
    watch.failed(Failure.SILENT, request.give_up_at)
    assert watch.state(first_end + 100.0) is State.OUTDATED
    assert watch.outdated_period == (first_end - OUTDATED_MS, back_at + NOTIFIED_MS + OUTDATED_MS)


def test_a_local_error_says_nothing_about_discovery() -> None:
    watch = active_watch(senders=4)
    watch.begin(0.0)
    watch.failed(Failure.SILENT, 1000.0)
    outdated_period = watch.outdated_period
    assert outdated_period.begin == WAIT_MS + AFTER_WAIT_MS
    for failure, expected in ((Failure.LOCAL, outdated_period), (Failure.UNREACHED, NEVER_OUTDATED)):
        watch.set_active()
        watch.begin(1100.0)
        watch.failed(failure, 1110.0)
        assert watch.outdated_period == expected


def test_a_silent_agent_does_not_make_the_list_outdated() -> None:
    watch = Watch(7, WAIT_MS, 4, can_be_outdated=False)
    watch.set_active()
    watch.begin(0.0)
    watch.failed(Failure.SILENT, 1000.0)
    assert watch.outdated_period == NEVER_OUTDATED


def test_each_silent_request_doubles_the_timeout() -> None:
    """So a discovery that is slower than the first time-out is read in the end."""
    for senders in (1, 4, 40, LARGE):
        watch, now = active_watch(senders=senders), 0.0
        watch.begin(0.0)
        for nth in range(8):
            now = max(watch.failed(Failure.SILENT, now), now)
            watch.set_active()
            request = watch.begin(now)
            assert request is not None
            given = request.give_up_at - now - request.wait_ms
            assert min(2**nth * watch.timings.answer_ms, NOTIFIED_MS) - 1.0 <= given <= NOTIFIED_MS + 1.0
            now = request.give_up_at
        assert given >= NOTIFIED_MS - 1.0


@pytest.mark.parametrize("senders", [2, 6, 40, LARGE])
def test_a_queued_request_does_not_time_out_before_discovery_rejects_it(senders: int) -> None:
    """It would lose its place in the queue. As far as the deadline allows."""
    rejected_ms = 2001.0
    watch = Watch(7, timings(senders).wait_ms, senders, Random(1))
    watch.set_active()
    first = watch.begin(0.0)
    assert first is not None and first.give_up_at >= rejected_ms + first.wait_ms
    watch.failed(Failure.REFUSED, rejected_ms)
    watch.set_active()
    after = watch.begin(3000.0)
    assert after is not None and after.give_up_at >= 3000.0 + rejected_ms + after.wait_ms
    watch.answered(7)
    on = watch.begin(4000.0)
    assert on is not None and on.give_up_at == 4000.0 + on.wait_ms + watch.timings.watch_margin_ms


def test_watches_that_began_together_end_spread_out_and_early_enough_for_retries() -> None:
    for senders in (6, 40, LARGE):
        ends = []
        for seed in range(senders):
            watch = Watch(7, timings(senders).wait_ms, senders, Random(seed))
            watch.set_active()
            watch.begin(0.0)
            watch.answered(7)
            request = watch.begin(0.0)
            assert request is not None
            ends.append(request.give_up_at)
        assert max(ends) <= NOTIFIED_MS - 2.5 * timings(senders).answer_ms
        apart = (1.0 - MIN_WAIT_FRACTION) * timings(senders).wait_ms
        assert max(ends) - min(ends) > 0.5 * apart


def test_a_move_leaves_a_deadline_and_a_short_request() -> None:
    watch = active_watch(senders=4)
    watch.begin(0.0)
    watch.moved(100.0)
    assert watch.deadline == 100.0 + MOVED_MS
    request = watch.begin(110.0)
    assert request is not None and request.wait_ms < 200.0
    assert request.give_up_at + watch.timings.answer_ms <= watch.deadline  # there is time for another one
    assert watch.failed(Failure.SILENT, request.give_up_at) <= 100.0 + MOVED_MS - watch.timings.answer_ms


def test_retry_pauses_grow_with_the_fleet() -> None:
    assert timings(1).retry_ms == timings(40).retry_ms and timings(400).retry_ms == 10 * timings(40).retry_ms
    assert (
        timings(1).answer_ms
        < timings(4).answer_ms
        < timings(40).answer_ms
        == timings(400).answer_ms
        == ANSWER_MS
    )


def test_an_older_list_is_dropped_and_a_restarted_numbering_accepted() -> None:
    watch = active_watch(40)
    assert watch.begin(0.0) is not None
    assert not watch.answered(39)  # late, or from another service
    request = watch.begin(20.0)
    assert request is not None and request.since is None
    assert watch.answered(3)  # confirmed by the whole list
    request = watch.begin(40.0)
    assert request is not None and request.since == 3


def test_an_invalid_list_is_requested_whole_also_after_a_failure() -> None:
    watch = active_watch(40)
    watch.begin(0.0)
    watch.answered(39)
    watch.begin(20.0)
    watch.failed(Failure.REFUSED, 30.0)
    watch.set_active()
    request = watch.begin(40.0)
    assert request is not None and request.since is None


def test_a_move_at_the_time_of_a_failure_is_not_lost() -> None:
    for order in ("moved first", "failed first"):
        watch = active_watch()
        watch.begin(0.0)
        if order == "moved first":
            watch.moved(5.0)
        watch.failed(Failure.UNREACHED, 10.0)
        if order == "failed first":
            watch.moved(15.0)
        assert watch.begin(20.0) is not None, order


@dataclass
class Discovery:
    """A raw server: each request runs the next script on its socket; later ones get no answer."""

    scripts: list[Callable[[socket.socket], None]]
    sock: socket.socket

    def __post_init__(self) -> None:
        self.asked: SimpleQueue[tuple[float, str]] = SimpleQueue()
        self.open: list[socket.socket] = []
        self.loops: list[Loop] = []  # that watch it from the start
        serve_connections(self.sock, self.serve)

    def serve(self, sock: socket.socket) -> None:
        self.open.append(sock)
        with contextlib.suppress(OSError):  # closed at the end of the test
            while request := read_request(sock):
                self.asked.put((clock(), request.split(b" ")[1].decode()))
                if self.scripts:
                    self.scripts.pop(0)(sock)

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.sock.getsockname()[1]


def encoded_list(version: int, state: str = "Ready", indent: int | None = None) -> bytes:
    line = {"name": "s-1", "address": "127.0.0.1:9", "group": 7, "status": state, "weight": 1.0}
    body = json.dumps({"index": version, "snapshot": False, "endpoints": [line]}, indent=indent).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def sends(data: bytes, then: str = "stays open") -> Callable[[socket.socket], None]:
    def script(sock: socket.socket) -> None:
        sock.sendall(data)
        if then == "ends":
            sock.shutdown(socket.SHUT_RDWR)

    return script


LIST = encoded_list(8, "Terminating")
HEAD = LIST[: LIST.index(b"\r\n\r\n") + 4]


@pytest.fixture
def discovery() -> Iterator[Callable[..., Discovery]]:
    made: list[Discovery] = []

    def make(*scripts: Callable[[socket.socket], None]) -> Discovery:
        made.append(Discovery(list(scripts), socket.create_server(("127.0.0.1", 0))))
        return made[-1]

    yield make
    for one in made:
        for loop in one.loops:
            loop.stop()  # else it asks on, and another test's stand-in may get the address
        one.sock.close()
        for sock in one.open:
            sock.close()


class Loop:
    """Stands for the loop: records updates, and sets the watch active again as late as allowed."""

    def __init__(self, discovery: Discovery, wait_ms: float = 500.0, log: Log | None = None) -> None:
        self.updates: list[ListUpdate] = []
        self._stopped = threading.Event()
        limits = replace(Limits(), watch_ms=wait_ms)
        names = Names(("portal",), ("a",), ())
        log = log or NullLog()
        self.watcher = Watcher(discovery.address, names, 7, limits, self.put, log, senders=LARGE)
        self.watcher.watch(True)
        discovery.loops.append(self)

    def put(self, event: CoreEvent) -> None:
        assert isinstance(event, ListUpdate)
        self.updates.append(event)
        if event.scope is Scope.FAILED:
            threading.Thread(target=self._retry, args=(event.ask_by,), daemon=True).start()

    def _retry(self, at: float) -> None:
        if not self._stopped.wait(max(at - clock(), 0.0) / 1000.0):
            self.watcher.watch(True)

    def stop(self) -> None:
        """Make no further request."""
        self._stopped.set()
        self.watcher.watch(False)

    def states(self) -> list[EndpointState]:
        return [member.state for update in self.updates for member in update.members]


def test_a_silent_watch_is_retried_before_its_changes_count_as_notified(
    discovery: Callable[..., Discovery],
) -> None:
    """Silent from the start, after the head, in the body, and in the first line."""
    for wait_ms in (500.0, 4500.0):
        servers = [discovery(sends(part), sends(LIST)) for part in (b"", HEAD, LIST[:-5], LIST[:20])]
        loops = [Loop(one, wait_ms) for one in servers]
        begun = [one.asked.get(timeout=10.0)[0] for one in servers]
        for one, loop, at in zip(servers, loops, begun, strict=True):
            until(lambda it=loop: it.states() == [EndpointState.DRAINING], "the change")  # type: ignore[misc]
            again, target = one.asked.get(timeout=10.0)
            assert "since=7" in target
            assert again - at < max(NOTIFIED_MS, wait_ms + AFTER_WAIT_MS) - ANSWER_MS + 200.0


@pytest.mark.parametrize(
    "broken",
    [
        sends(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        sends(b"", "ends"),
        sends(HEAD, "ends"),
        sends(LIST[:-5], "ends"),
        sends(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"),
        sends(b"\x16\x03\x01\x00"),
    ],
    ids=["refused", "ended", "ended after its head", "ended in its body", "no list", "noise"],
)
def test_a_failed_request_is_reported_with_the_time_by_which_to_retry(
    discovery: Callable[..., Discovery], broken: Callable[[socket.socket], None]
) -> None:
    server = discovery(broken, sends(LIST))
    loop = Loop(server)
    begun, _ = server.asked.get(timeout=10.0)
    until(lambda: loop.updates, "the failure")
    assert loop.updates[0].scope is Scope.FAILED
    assert loop.updates[0].ask_by <= begun + NOTIFIED_MS
    loop.watcher.watch(True)
    until(lambda: loop.states() == [EndpointState.DRAINING], "the change")


def test_an_indented_list_is_read(discovery: Callable[..., Discovery]) -> None:
    loop = Loop(discovery(sends(encoded_list(8, "Terminating", indent=4))))
    until(lambda: loop.states() == [EndpointState.DRAINING], "the change")


def whole_list(endpoints: int, indent: int | None = None) -> bytes:
    """The answer with a whole list, of which the last endpoint drains."""
    lines = [
        {
            "name": f"s-{number:08x}",
            "address": f"10.1.{number // 250}.{number % 250 + 1}:8443",
            "zone": "north-building",
            "type": "county-office",
            "group": number // 2,
            "status": "Terminating" if number == endpoints - 1 else "Ready",
            "weight": 30.0,
            "since_ms": 1764900000000,
        }
        for number in range(endpoints)
    ]
    body = json.dumps({"index": 8, "snapshot": True, "endpoints": lines}, indent=indent).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.mark.parametrize("indent", [None, 4])
def test_a_whole_list_of_the_largest_fleet_is_read(
    discovery: Callable[..., Discovery], indent: int | None
) -> None:
    """Lists over 256 KiB were never read, and messages went on to replaced endpoints of other partners."""
    loop = Loop(discovery(sends(whole_list(LARGEST_FLEET, indent))))
    until(lambda: len(loop.states()) == LARGEST_FLEET, "the whole list")
    assert loop.states()[-1] is EndpointState.DRAINING and len(loop.updates) == 1


def test_a_list_whose_bytes_take_longer_than_an_endpoints_answer_is_read(
    discovery: Callable[..., Discovery],
) -> None:
    """A list had 500 ms from its first byte to its last, as the short answer of an endpoint has."""
    pieces = 8

    def slowly(sock: socket.socket) -> None:
        size = len(LIST) // pieces + 1
        for start in range(0, len(LIST), size):
            sock.sendall(LIST[start : start + size])
            threading.Event().wait(1.3 * Limits().answer_read_ms / pieces / 1000.0)

    loop = Loop(discovery(slowly))
    until(lambda: loop.updates, "an end")
    assert loop.states() == [EndpointState.DRAINING]


def test_a_list_that_stalls_is_given_up_before_its_deadline(discovery: Callable[..., Discovery]) -> None:
    server = discovery(sends(LIST[:-5]), sends(LIST))
    loop = Loop(server, wait_ms=2000.0)
    begun, _ = server.asked.get(timeout=10.0)
    until(lambda: loop.updates, "the failure")
    assert loop.updates[0].scope is Scope.FAILED and clock() - begun < 2000.0


def test_a_list_over_its_bound_is_refused_with_its_size_and_the_bound(
    discovery: Callable[..., Discovery],
) -> None:
    limit = Limits().list_bytes
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (limit + 1)
    errors: list[str] = []

    class RecordingLog(NullLog):
        def warning(self, event: str, **values: object) -> None:
            errors.append(f"{event}: {values.get('error')}")

    loop = Loop(discovery(sends(head), sends(LIST)), log=RecordingLog())
    until(lambda: loop.states() == [EndpointState.DRAINING], "the list that follows")
    assert [one for one in errors if f"{limit + 1} bytes" in one and f"{limit} at most" in one]


def test_an_older_index_after_a_newer_restores_no_endpoint(
    discovery: Callable[..., Discovery],
) -> None:
    server = discovery(sends(LIST), sends(encoded_list(6, "Ready")), sends(encoded_list(9, "Gone")))
    loop = Loop(server)
    until(lambda: len(loop.states()) == 2, "the whole list")
    assert loop.states() == [EndpointState.DRAINING, EndpointState.GONE]
    targets = [server.asked.get(timeout=10.0)[1] for _ in range(3)]
    assert "since=7" in targets[0] and "since=8" in targets[1] and "since" not in targets[2]


def move_before_answer_is_used(old: Discovery, new: Discovery, monkeypatch: pytest.MonkeyPatch) -> Loop:
    """A watcher that moves after the old address's answer is read and before it is used."""
    answer_read, moved = threading.Event(), threading.Event()
    read = exchange.Connection.read

    def late(connection: exchange.Connection, until_ms: float) -> object:
        answer = read(connection, until_ms)  # complete, and not yet returned
        if connection.address == old.address:
            answer_read.set()
            moved.wait(10.0)
        return answer

    monkeypatch.setattr(exchange.Connection, "read", late)
    loop = Loop(old)
    assert answer_read.wait(10.0)
    loop.watcher.move(new.address)
    moved.set()
    return loop


def test_an_answer_of_the_old_address_during_a_move_is_ignored(
    discovery: Callable[..., Discovery], monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = discovery(sends(encoded_list(9, "Ready"))), discovery(sends(LIST))
    loop = move_before_answer_is_used(old, new, monkeypatch)
    until(lambda: loop.states(), "the new address's answer")
    assert loop.states() == [EndpointState.DRAINING]


def test_a_drain_that_the_old_address_sent_before_a_move_is_applied(
    discovery: Callable[..., Discovery], monkeypatch: pytest.MonkeyPatch
) -> None:
    """It counts as notified; which endpoints are ready is up to the new address."""
    old, new = (
        discovery(sends(encoded_list(9, "Terminating"))),
        discovery(sends(b""), sends(encoded_list(3, "Ready"))),
    )
    loop = move_before_answer_is_used(old, new, monkeypatch)
    until(lambda: loop.states() == [EndpointState.DRAINING], "the drain")
    assert "since" not in new.asked.get(timeout=10.0)[1]  # the whole list, as it may be ready there
    until(lambda: loop.states()[-1] is EndpointState.READY, "the new address's list")
