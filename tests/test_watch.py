"""The clock of the list: by when discovery is asked again, and which answers are believed."""

from __future__ import annotations

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
from springspread.core.types import CoreEvent, EndpointState, ListNews, Scope, clock
from springspread.core.watch import (
    AFTER_WAIT_MS,
    ANSWER_MS,
    LAPSE_MS,
    MOVED_MS,
    NO_LAPSE,
    NOTIFIED_MS,
    SHORTEST_WAIT,
    Failure,
    State,
    Watch,
    pace,
)
from springspread.net import exchange
from springspread.net.discovery import Watcher
from tests.peer import serve_connections, until
from tests.test_malformed_answers import NullLog, read_request

WAIT_MS = 5000.0
FAILURES = st.sampled_from(list(Failure))


LARGE = 200  # senders: an answer may take ``ANSWER_MS``
FLEETS = st.sampled_from([1, 4, 40, LARGE])


def watching(version: int | None = 7, senders: int = LARGE) -> Watch:
    watch = Watch(version, WAIT_MS, senders)
    watch.want()
    return watch


@pytest.mark.parametrize(
    ("failure", "told"),
    [
        (Failure.SILENT, WAIT_MS + AFTER_WAIT_MS),
        (Failure.REFUSED, NOTIFIED_MS + 300.0),
        (Failure.UNREACHED, NOTIFIED_MS + 300.0),
    ],
)
def test_a_failed_call_is_made_again_before_what_it_missed_counts_as_told(
    failure: Failure, told: float
) -> None:
    watch = watching()
    ask = watch.begin(0.0)
    assert ask is not None and ask.since == 7
    assert watch.failed(failure, 300.0) == told - ANSWER_MS
    assert watch.begin(400.0) is None  # until it is wanted again


def test_a_silent_watch_is_given_up_while_another_can_still_answer_in_time() -> None:
    watch = watching()
    ask = watch.begin(0.0)
    assert ask is not None
    assert watch.failed(Failure.SILENT, ask.give_up_at) <= ask.give_up_at
    assert ask.give_up_at + ANSWER_MS <= WAIT_MS + AFTER_WAIT_MS


@settings(derandomize=True, deadline=None, database=None)
@given(FLEETS, st.lists(st.tuples(FAILURES, st.floats(0.0, 1.0)), min_size=1, max_size=8))
def test_whatever_failed_the_next_call_is_answered_before_what_was_missed_counts_as_told(
    senders: int, calls: list[tuple[Failure, float]]
) -> None:
    """By the page: 6 s after discovery had it and could be reached, or 2 s after a silent call's wait.

    Also where one failure follows another: none moves on what an earlier call left, refusals apart, as they
    tell that discovery could not be reached. Up to the pause that discovery is owed after each failure.
    """
    watch, now, missed, back_by = watching(senders=senders), 0.0, list[float](), inf
    answer_ms, retry_ms = watch.pace.answer_ms, watch.pace.retry_ms
    for failure, part in calls:
        ask = watch.begin(now)
        assert ask is not None
        took = part * answer_ms
        failed_at = ask.give_up_at if failure is Failure.SILENT else now + took
        ask_by = max(watch.failed(failure, failed_at), failed_at)
        assert (
            ask_by + answer_ms <= failed_at + NOTIFIED_MS + 1e-6
        )  # back in the pause: read within 6 s of that
        if failure is not Failure.REFUSED:
            waited = now + ask.wait_ms + AFTER_WAIT_MS if ask.wait_ms else 0.0
            broken = failed_at + NOTIFIED_MS if failure is not Failure.SILENT else inf
            missed.append(min(max(now + NOTIFIED_MS, waited), broken))
        if failure is Failure.UNREACHED:
            back_by = failed_at + NOTIFIED_MS
        elif failure is not Failure.SILENT:
            back_by = min(back_by, failed_at + NOTIFIED_MS)
        else:
            missed[-1] = min(missed[-1], back_by)
        if missed and failed_at < min(missed):  # later nobody has answered for so long: it is down
            assert ask_by <= max(min(missed) - answer_ms, failed_at + retry_ms)
        now = ask_by
        watch.want()


@settings(derandomize=True, deadline=None, database=None)
@given(FLEETS, st.lists(FAILURES, min_size=20, max_size=40))
def test_a_discovery_that_answers_nothing_is_not_asked_without_rest(
    senders: int, failures: list[Failure]
) -> None:
    """Of each kind of failure: by refusals one call in 5 s at the least, a pause after every other."""
    watch, now, begun, alone = watching(senders=senders), 0.0, list[float](), set(failures)
    for failure in failures:
        begun.append(now)
        assert watch.begin(now) is not None
        now = max(watch.failed(failure, now), now + (failure is Failure.SILENT))
        watch.want()
    gaps = [later - one for one, later in pairwise(begun)]
    if alone == {Failure.REFUSED}:
        assert min(gaps) >= NOTIFIED_MS - ANSWER_MS
    # One that is left over from a silent watch is asked for in the last of its time, and then no sooner.
    seconds = [sum(at <= other < at + NOTIFIED_MS for other in begun) for at in begun]
    assert max(seconds) <= 2 * (1 + ceil(watch.pace.answer_ms / watch.pace.retry_ms))
    assert max(gaps) <= WAIT_MS + AFTER_WAIT_MS


def test_a_silent_watchs_deadline_outlasts_the_failures_that_follow() -> None:
    for senders in (1, 4, 40, LARGE):
        watch = watching(senders=senders)
        ask = watch.begin(0.0)
        assert ask is not None
        now = ask.give_up_at
        assert watch.failed(Failure.SILENT, now) == now  # at once
        for failure in (Failure.REFUSED, Failure.UNREACHED):
            watch.want()
            assert watch.begin(now) is not None
            assert watch.overdue_by == WAIT_MS + AFTER_WAIT_MS
            failed_at = now + 1.0
            now = watch.failed(failure, failed_at)
            asked_by = WAIT_MS + AFTER_WAIT_MS - watch.pace.answer_ms
            assert now <= max(asked_by, failed_at + watch.pace.retry_ms)
            if now >= WAIT_MS + AFTER_WAIT_MS:
                break  # in a large fleet one call more is all that discovery can bear


def test_calls_are_short_until_an_answer_comes() -> None:
    watch = watching(senders=4)
    watch.begin(0.0)
    watch.failed(Failure.UNREACHED, 10.0)
    watch.want()
    ask = watch.begin(200.0)
    assert ask is not None and ask.since == 7 and ask.wait_ms < 200.0
    assert ask.give_up_at + watch.pace.answer_ms <= watch.overdue_by  # there is time for another one
    assert watch.answered(7)
    ask = watch.begin(300.0)
    assert ask is not None and ask.wait_ms == WAIT_MS


def test_how_late_an_answer_comes_is_known_although_its_deadline_has_passed() -> None:
    watch = watching(senders=4)
    ask = watch.begin(0.0)
    assert ask is not None and watch.state(0.0) is State.CURRENT and watch.due_at == inf
    now = ask.give_up_at
    while now < WAIT_MS + AFTER_WAIT_MS:
        now = max(watch.failed(Failure.SILENT, now), now + 100.0)
        assert watch.due_at == WAIT_MS + AFTER_WAIT_MS
        watch.want()
        assert watch.begin(now) is not None
    watch.failed(Failure.UNREACHED, now)
    assert watch.state(now) is State.DOWN and watch.due_at == WAIT_MS + AFTER_WAIT_MS
    watch.want()
    assert watch.begin(now) is not None and watch.answered(8)
    assert watch.state(now) is State.CURRENT and watch.due_at == inf


@settings(derandomize=True, deadline=None, database=None)
@given(FLEETS, st.lists(st.tuples(FAILURES, st.floats(0.0, 1.0)), min_size=1, max_size=30))
def test_a_list_is_not_acted_on_while_what_a_silent_call_missed_counts_as_notified(
    senders: int, calls: list[tuple[Failure, float]]
) -> None:
    """From that deadline on, if discovery was reached last; for one lapse, and no second one."""
    watch, now, silent_by, back_by, lapsed = watching(senders=senders), 0.0, inf, inf, False
    for failure, part in calls:
        ask = watch.begin(now)
        assert ask is not None
        failed_at = ask.give_up_at if failure is Failure.SILENT else now + part * watch.pace.answer_ms
        if failed_at >= silent_by + LAPSE_MS:
            silent_by, lapsed = inf, True
        if failure is Failure.SILENT and not lapsed:
            silent_by = min(silent_by, ask.missed_by, back_by)
        elif failure is Failure.UNREACHED:  # it can't be reached now: counted anew
            back_by = failed_at + NOTIFIED_MS
        elif failure is not Failure.SILENT:
            back_by = min(back_by, failed_at + NOTIFIED_MS)
        again = max(watch.failed(failure, failed_at), failed_at)
        begin = silent_by if failure is not Failure.UNREACHED else inf
        if failure is not Failure.LOCAL:
            assert watch.lapse.begin == begin
        assert watch.lapse.end == watch.lapse.begin + LAPSE_MS
        now = again
        watch.want()
    watch.begin(now)
    assert watch.answered(8) and watch.lapse == NO_LAPSE


@pytest.mark.parametrize("failure", [one for one in Failure if one is not Failure.SILENT])
def test_a_silent_call_after_a_failure_counts_from_that_failure(failure: Failure) -> None:
    """Discovery may have been back, with news, from then on."""
    watch = watching(senders=4)
    watch.begin(0.0)
    watch.failed(failure, 10.0)
    watch.want()
    ask = watch.begin(700.0)
    assert ask is not None
    watch.failed(Failure.SILENT, ask.give_up_at)
    assert watch.lapse.begin == 10.0 + NOTIFIED_MS


def test_a_call_that_this_machine_could_not_make_says_nothing_of_discovery() -> None:
    watch = watching(senders=4)
    watch.begin(0.0)
    watch.failed(Failure.SILENT, 1000.0)
    lapse = watch.lapse
    assert lapse.begin == WAIT_MS + AFTER_WAIT_MS
    for failure, expected in ((Failure.LOCAL, lapse), (Failure.UNREACHED, NO_LAPSE)):
        watch.want()
        watch.begin(1100.0)
        watch.failed(failure, 1110.0)
        assert watch.lapse == expected


def test_a_silent_agent_is_one_whose_discovery_is_down() -> None:
    watch = Watch(7, WAIT_MS, 4, lapses=False)
    watch.want()
    watch.begin(0.0)
    watch.failed(Failure.SILENT, 1000.0)
    assert watch.lapse == NO_LAPSE


def test_each_silent_call_is_followed_by_one_that_is_given_twice_the_time() -> None:
    """A discovery that takes longer than the first call is given is answered at last."""
    for senders in (1, 4, 40, LARGE):
        watch, now = watching(senders=senders), 0.0
        watch.begin(0.0)
        for nth in range(8):
            now = max(watch.failed(Failure.SILENT, now), now)
            watch.want()
            ask = watch.begin(now)
            assert ask is not None
            given = ask.give_up_at - now - ask.wait_ms
            assert min(2**nth * watch.pace.answer_ms, NOTIFIED_MS) - 1.0 <= given <= NOTIFIED_MS + 1.0
            now = ask.give_up_at
        assert given >= NOTIFIED_MS - 1.0


@pytest.mark.parametrize("senders", [2, 6, 40, LARGE])
def test_a_call_that_waits_for_its_turn_is_not_given_up_before_discovery_turns_it_away(senders: int) -> None:
    """It would lose its place, and its turn would be spent on nobody. As far as the deadline allows."""
    turned_away_ms = 2001.0
    watch = Watch(7, pace(senders).wait_ms, senders, Random(1))
    watch.want()
    first = watch.begin(0.0)
    assert first is not None and first.give_up_at >= turned_away_ms + first.wait_ms
    watch.failed(Failure.REFUSED, turned_away_ms)
    watch.want()
    after = watch.begin(3000.0)
    assert after is not None and after.give_up_at >= 3000.0 + turned_away_ms + after.wait_ms
    watch.answered(7)
    on = watch.begin(4000.0)
    assert on is not None and on.give_up_at == 4000.0 + on.wait_ms + watch.pace.aside_ms


def test_watches_that_news_began_together_end_apart_and_leave_half_the_time_to_what_follows() -> None:
    for senders in (6, 40, LARGE):
        ends = []
        for seed in range(senders):
            watch = Watch(7, pace(senders).wait_ms, senders, Random(seed))
            watch.want()
            watch.begin(0.0)
            watch.answered(7)
            ask = watch.begin(0.0)
            assert ask is not None
            ends.append(ask.give_up_at)
        assert max(ends) <= NOTIFIED_MS - 2.5 * pace(senders).answer_ms
        apart = (1.0 - SHORTEST_WAIT) * pace(senders).wait_ms
        assert max(ends) - min(ends) > 0.5 * apart


def test_a_move_leaves_a_deadline_and_a_short_call() -> None:
    watch = watching(senders=4)
    watch.begin(0.0)
    watch.moved(100.0)
    assert watch.overdue_by == 100.0 + MOVED_MS
    ask = watch.begin(110.0)
    assert ask is not None and ask.wait_ms < 200.0
    assert ask.give_up_at + watch.pace.answer_ms <= watch.overdue_by  # there is time for another one
    assert watch.failed(Failure.SILENT, ask.give_up_at) <= 100.0 + MOVED_MS - watch.pace.answer_ms


def test_the_pace_of_a_fleet_keeps_its_rate_of_retries() -> None:
    assert pace(1).retry_ms == pace(40).retry_ms and pace(400).retry_ms == 10 * pace(40).retry_ms
    assert pace(1).answer_ms < pace(4).answer_ms < pace(40).answer_ms == pace(400).answer_ms == ANSWER_MS


def test_an_older_list_is_left_out_and_one_that_counts_anew_is_believed() -> None:
    watch = watching(40)
    assert watch.begin(0.0) is not None
    assert not watch.answered(39)  # late, or of another service
    ask = watch.begin(20.0)
    assert ask is not None and ask.since is None
    assert watch.answered(3)  # the whole list says so, too
    ask = watch.begin(40.0)
    assert ask is not None and ask.since == 3


def test_a_doubted_list_is_asked_for_whole_also_after_a_failure() -> None:
    watch = watching(40)
    watch.begin(0.0)
    watch.answered(39)
    watch.begin(20.0)
    watch.failed(Failure.REFUSED, 30.0)
    watch.want()
    ask = watch.begin(40.0)
    assert ask is not None and ask.since is None


def test_a_move_that_crosses_a_failure_is_not_lost() -> None:
    for order in ("moved first", "failed first"):
        watch = watching()
        watch.begin(0.0)
        if order == "moved first":
            watch.moved(5.0)
        watch.failed(Failure.UNREACHED, 10.0)
        if order == "failed first":
            watch.moved(15.0)
        assert watch.begin(20.0) is not None, order


@dataclass
class Discovery:
    """A raw stand-in: each call gets the next script, which is given its socket; then calls hang."""

    scripts: list[Callable[[socket.socket], None]]
    sock: socket.socket

    def __post_init__(self) -> None:
        self.asked: SimpleQueue[tuple[float, str]] = SimpleQueue()
        self.open: list[socket.socket] = []
        serve_connections(self.sock, self.serve)

    def serve(self, sock: socket.socket) -> None:
        self.open.append(sock)
        while request := read_request(sock):
            self.asked.put((clock(), request.split(b" ")[1].decode()))
            if self.scripts:
                self.scripts.pop(0)(sock)

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.sock.getsockname()[1]


def written(version: int, state: str = "Ready", indent: int | None = None) -> bytes:
    line = {"name": "s-1", "address": "127.0.0.1:9", "group": 7, "status": state, "weight": 1.0}
    body = json.dumps({"index": version, "snapshot": False, "endpoints": [line]}, indent=indent).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def says(data: bytes, then: str = "stays open") -> Callable[[socket.socket], None]:
    def script(sock: socket.socket) -> None:
        sock.sendall(data)
        if then == "ends":
            sock.shutdown(socket.SHUT_RDWR)

    return script


LIST = written(8, "Terminating")
HEAD = LIST[: LIST.index(b"\r\n\r\n") + 4]


@pytest.fixture
def discovery() -> Iterator[Callable[..., Discovery]]:
    made: list[Discovery] = []

    def make(*scripts: Callable[[socket.socket], None]) -> Discovery:
        made.append(Discovery(list(scripts), socket.create_server(("127.0.0.1", 0))))
        return made[-1]

    yield make
    for one in made:
        one.sock.close()
        for sock in one.open:
            sock.close()


class Loop:
    """Stands for the loop: takes in news, and asks again at the latest moment that it is told."""

    def __init__(self, discovery: Discovery, wait_ms: float = 500.0) -> None:
        self.news: list[ListNews] = []
        limits = replace(Limits(), watch_ms=wait_ms)
        names = Names(("portal",), ("a",), ())
        self.watcher = Watcher(discovery.address, names, 7, limits, self.put, NullLog(), senders=LARGE)
        self.watcher.watch(True)

    def put(self, event: CoreEvent) -> None:
        assert isinstance(event, ListNews)
        self.news.append(event)
        if event.scope is Scope.FAILED:
            threading.Timer(max(event.ask_by - clock(), 0.0) / 1000.0, self.watcher.watch, (True,)).start()

    def told(self) -> list[EndpointState]:
        return [member.state for news in self.news for member in news.members]


def test_a_watch_that_falls_silent_is_followed_by_its_news_before_they_count_as_told(
    discovery: Callable[..., Discovery],
) -> None:
    """Silent from the start, after its head, in its body, and in its first line; all at once."""
    for wait_ms in (500.0, 4500.0):
        there = [discovery(says(part), says(LIST)) for part in (b"", HEAD, LIST[:-5], LIST[:20])]
        loops = [Loop(one, wait_ms) for one in there]
        begun = [one.asked.get(timeout=10.0)[0] for one in there]
        for one, loop, at in zip(there, loops, begun, strict=True):
            until(lambda it=loop: it.told() == [EndpointState.DRAINING], "the change")  # type: ignore[misc]
            again, target = one.asked.get(timeout=10.0)
            assert "since=7" in target
            assert again - at < max(NOTIFIED_MS, wait_ms + AFTER_WAIT_MS) - ANSWER_MS + 200.0


@pytest.mark.parametrize(
    "broken",
    [
        says(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        says(b"", "ends"),
        says(HEAD, "ends"),
        says(LIST[:-5], "ends"),
        says(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"),
        says(b"\x16\x03\x01\x00"),
    ],
    ids=["refused", "ended", "ended after its head", "ended in its body", "no list", "noise"],
)
def test_a_call_that_fails_is_told_with_the_moment_by_which_it_is_to_be_made_again(
    discovery: Callable[..., Discovery], broken: Callable[[socket.socket], None]
) -> None:
    there = discovery(broken, says(LIST))
    loop = Loop(there)
    begun, _ = there.asked.get(timeout=10.0)
    until(lambda: loop.news, "the failure")
    assert loop.news[0].scope is Scope.FAILED
    assert loop.news[0].ask_by <= begun + NOTIFIED_MS
    loop.watcher.watch(True)
    until(lambda: loop.told() == [EndpointState.DRAINING], "the change")


def test_an_indented_list_is_read(discovery: Callable[..., Discovery]) -> None:
    loop = Loop(discovery(says(written(8, "Terminating", indent=4))))
    until(lambda: loop.told() == [EndpointState.DRAINING], "the change")


def test_an_older_index_after_a_newer_brings_no_endpoint_back(
    discovery: Callable[..., Discovery],
) -> None:
    there = discovery(says(LIST), says(written(6, "Ready")), says(written(9, "Gone")))
    loop = Loop(there)
    until(lambda: len(loop.told()) == 2, "the list asked for whole")
    assert loop.told() == [EndpointState.DRAINING, EndpointState.GONE]
    targets = [there.asked.get(timeout=10.0)[1] for _ in range(3)]
    assert "since=7" in targets[0] and "since=8" in targets[1] and "since" not in targets[2]


def moved_under_an_answer(old: Discovery, new: Discovery, monkeypatch: pytest.MonkeyPatch) -> Loop:
    """A sender that moves between the moment in which the old address's answer is read and its being used."""
    held, moved = threading.Event(), threading.Event()
    read = exchange.Connection.read

    def late(connection: exchange.Connection, until_ms: float) -> object:
        answer = read(connection, until_ms)  # whole, and not yet handed on
        if connection.address == old.address:
            held.set()
            moved.wait(10.0)
        return answer

    monkeypatch.setattr(exchange.Connection, "read", late)
    loop = Loop(old)
    assert held.wait(10.0)
    loop.watcher.move(new.address)
    moved.set()
    return loop


def test_an_answer_of_the_old_address_that_crosses_a_move_is_none(
    discovery: Callable[..., Discovery], monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = discovery(says(written(9, "Ready"))), discovery(says(LIST))
    loop = moved_under_an_answer(old, new, monkeypatch)
    until(lambda: loop.told(), "the new address's answer")
    assert loop.told() == [EndpointState.DRAINING]


def test_a_drain_that_the_old_address_had_written_before_a_move_is_in_force(
    discovery: Callable[..., Discovery], monkeypatch: pytest.MonkeyPatch
) -> None:
    """It counts as notified, whatever becomes of the new address; what is ready is left to that one."""
    old, new = discovery(says(written(9, "Terminating"))), discovery(says(b""), says(written(3, "Ready")))
    loop = moved_under_an_answer(old, new, monkeypatch)
    until(lambda: loop.told() == [EndpointState.DRAINING], "the drain")
    assert "since" not in new.asked.get(timeout=10.0)[1]  # the whole list: it may be ready there
    until(lambda: loop.told()[-1] is EndpointState.READY, "the new address's word")
