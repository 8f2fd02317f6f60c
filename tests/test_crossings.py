"""Races between two events, forced into the bad order: endpoints, notices and restarts.

The cases are listed in docs/design/crossings.md. Peers hold back a byte until a condition is met.
"""

from __future__ import annotations

import contextlib
import errno
import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from springspread.config import Limits
from springspread.core.clearance import Clearance
from springspread.core.journal import Journal, JournalFull
from springspread.core.journal_records import PendingMessage
from springspread.core.types import (
    Attempt,
    AttemptEnd,
    Call,
    CoreEvent,
    Endpoint,
    EndpointState,
    Notice,
    NoticesDelivered,
    Result,
    clock,
)
from springspread.net.endpoints import Workers
from springspread.net.notices import Notifier
from tests.peer import WAIT_S, Peer, Program, serve_connections, until
from tests.test_malformed_answers import NullLog, read_request

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RESET = b"\1\0\0\0\0\0\0\0"


class RawServer:
    """Records what each connection receives; runs the script after a complete request."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self.script = script
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.requests: list[bytes] = []
        self.rest: list[bytes] = []  # received after the script, by connection
        serve_connections(self.sock, self.serve)

    def serve(self, sock: socket.socket) -> None:
        data = b""
        try:
            self.requests.append(read_request(sock))
            if self.requests[-1]:
                self.script(sock)
            while chunk := sock.recv(65536):
                data += chunk
        except OSError:
            pass
        self.rest.append(data)
        sock.close()


class WorkerRig:
    """The workers alone, with one slot and one for probes."""

    def __init__(self, folder: Path, script: Callable[[socket.socket], None]) -> None:
        self.endpoint = RawServer(script)
        self.ends: list[CoreEvent] = []
        self.journal = Journal(folder, 3_000_000)
        clearance = Clearance(self.journal, 450.0)
        self.workers = Workers(Limits(), 1, (), clearance, self.ends.append, NullLog())
        port = self.endpoint.sock.getsockname()[1]
        self.target = Endpoint(1, "s-1", "127.0.0.1", port, 7, True, 5)

    def start(self, wait_ms: float = 8000.0, safe: bool = True, count: int = 1) -> Call:
        now = clock()
        for _ in range(count):
            number = self.journal.last_number + 1
            self.journal.record_taken(PendingMessage(number, f"m{number}", "note", 7, 0.0, b"body"))
        numbers = list(self.journal.pending)[-count:]
        attempts = [Attempt(n, 0, f"m{n}", b"body", now + wait_ms, safe) for n in numbers]
        call = Call(self.target, attempts, now)
        self.workers.start(call)
        return call

    def result(self, count: int = 1) -> Result:
        until(lambda: len(self.ends) >= count, "an end for each")
        until(lambda: not self.workers._open, "its connection is released")
        assert len(self.ends) == count  # not more than one each
        found = {end.result for end in self.ends if isinstance(end, AttemptEnd)}
        assert len(found) == 1
        return found.pop()

    def check_reusable(self) -> None:
        """Check that the thread is free for another call."""
        self.ends.clear()
        self.endpoint.script = lambda sock: sock.sendall(OK)
        self.start()
        assert self.result() is Result.DELIVERED


@pytest.fixture
def make_rig(tmp_path: Path) -> Iterator[Callable[..., WorkerRig]]:
    made: list[WorkerRig] = []

    def make(script: Callable[[socket.socket], None]) -> WorkerRig:
        made.append(WorkerRig(tmp_path, script))
        return made[-1]

    yield make
    for one in made:
        one.endpoint.sock.close()
        one.journal.close()


def sends(data: bytes) -> Callable[[socket.socket], None]:
    return lambda sock: sock.sendall(data)


def then_reset(data: bytes) -> Callable[[socket.socket], None]:
    def script(sock: socket.socket) -> None:
        sock.sendall(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    return script


def then_end(data: bytes) -> Callable[[socket.socket], None]:
    def script(sock: socket.socket) -> None:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)

    return script


@pytest.mark.parametrize("count", [1, 3], ids=["one", "bundle"])
@pytest.mark.parametrize(
    ("script", "one", "many"),
    [
        (sends(b""), Result.TIMED_OUT, Result.TIMED_OUT),
        (sends(b"HTTP/1.1 20"), Result.TIMED_OUT, Result.TIMED_OUT),
        (sends(b"HTTP/1.1 200 O"), Result.TIMED_OUT, Result.TIMED_OUT),
        (sends(b"HTTP/1.1 200 OK\r\n"), Result.DELIVERED, Result.TIMED_OUT),
        (sends(b"HTTP/1.1 500 No\r\n"), Result.TIMED_OUT, Result.TIMED_OUT),
        (then_end(b""), Result.BROKEN, Result.BROKEN),
        (then_end(b"HTTP/1.1 200"), Result.BROKEN, Result.BROKEN),
        (then_end(OK[:-2]), Result.DELIVERED, Result.BROKEN),
        (then_end(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"), Result.DELIVERED, Result.BROKEN),
        (then_reset(b""), Result.BROKEN, Result.BROKEN),
        (then_end(b"HTTP/1.1 503 Full\r\n"), Result.BROKEN, Result.BROKEN),
    ],
)
def test_an_incomplete_answer_ends_each_attempt_once_and_by_its_status_line_alone(
    make_rig: Callable[..., WorkerRig],
    script: Callable[[socket.socket], None],
    one: Result,
    many: Result,
    count: int,
) -> None:
    rig = make_rig(script)
    rig.start(wait_ms=300.0, count=count)
    assert rig.result(count) is (one if count == 1 else many)
    until(lambda: rig.endpoint.rest, "the endpoint sees the connection's end")
    rig.check_reusable()


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 2", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 503"])
@pytest.mark.parametrize("first", ["the bytes", "the cancel"])
def test_a_cancel_at_the_first_bytes_of_an_answer(
    make_rig: Callable[..., WorkerRig], sent: bytes, first: str
) -> None:
    cancelled, wrote = threading.Event(), threading.Event()

    def script(sock: socket.socket) -> None:
        if first == "the cancel":
            cancelled.wait(WAIT_S)
        sock.sendall(sent)
        wrote.set()

    rig = make_rig(script)
    call = rig.start()
    if first == "the bytes":
        assert wrote.wait(WAIT_S)
        until(lambda: rig.workers._open[call]._machine.answer_begun or not sent, "they are read")
    else:
        until(lambda: rig.endpoint.requests, "the request")
    rig.workers.cancel(call)
    cancelled.set()
    complete_line = sent.endswith(b"\r\n") and first == "the bytes"
    assert rig.result() is (Result.DELIVERED if complete_line else Result.CANCELLED)
    rig.check_reusable()


@pytest.mark.parametrize("gone", ["cancelled", "out of time"])
def test_a_connection_that_opens_after_its_call_has_ended_carries_nothing(
    make_rig: Callable[..., WorkerRig], monkeypatch: pytest.MonkeyPatch, gone: str
) -> None:
    connecting, given_up = threading.Event(), threading.Event()
    create = socket.create_connection

    def late(*args: Any, **kwargs: Any) -> socket.socket:
        connecting.set()
        assert given_up.wait(WAIT_S)
        return create(*args, **kwargs)

    rig = make_rig(sends(OK))
    monkeypatch.setattr(socket, "create_connection", late)
    call = rig.start(wait_ms=200.0 if gone == "out of time" else 8000.0, safe=False)
    assert connecting.wait(WAIT_S)
    if gone == "cancelled":
        rig.workers.cancel(call)
    else:
        until(lambda: clock() > call.until, "its time-out")
    given_up.set()
    assert rig.result() is (Result.CANCELLED if gone == "cancelled" else Result.NOT_SENT)
    until(lambda: rig.endpoint.rest, "the endpoint sees the connection's end")
    assert rig.endpoint.requests == [b""]  # never a complete one
    monkeypatch.undo()
    rig.check_reusable()


def test_a_reset_long_after_the_last_byte_does_not_prove_that_nothing_ran(
    make_rig: Callable[..., WorkerRig],
) -> None:
    go = threading.Event()

    def script(sock: socket.socket) -> None:
        go.wait(WAIT_S)
        then_reset(b"")(sock)

    rig = make_rig(script)
    call = rig.start(safe=False)
    until(lambda: rig.endpoint.requests, "the complete request")
    until(
        lambda: clock() - call.sent_at > 2 * Limits().last_byte_hold_max_ms,
        "later than any reset of a connection that was dead before",
    )
    go.set()
    assert rig.result() is Result.BROKEN  # not NOT_CONNECTED, as it may have run
    rig.check_reusable()


@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.ENETUNREACH])
def test_a_call_that_this_machine_can_not_connect_for_a_moment_is_no_failure_of_its_endpoint(
    make_rig: Callable[..., WorkerRig], monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    create, failures = socket.create_connection, iter(range(3))

    def fail_first(*args: Any, **kwargs: Any) -> socket.socket:
        if next(failures, None) is not None:
            raise OSError(error, "not now")
        return create(*args, **kwargs)

    monkeypatch.setattr(socket, "create_connection", fail_first)
    rig = make_rig(sends(OK))
    rig.start(safe=False)
    assert rig.result() is Result.DELIVERED


def test_a_call_that_is_cancelled_while_this_machine_can_not_connect_ends_at_once(
    make_rig: Callable[..., WorkerRig], monkeypatch: pytest.MonkeyPatch
) -> None:
    tried = threading.Event()

    def fail(*_: Any, **__: Any) -> socket.socket:
        tried.set()
        raise OSError(errno.EADDRNOTAVAIL, "not now")

    monkeypatch.setattr(socket, "create_connection", fail)
    rig = make_rig(sends(OK))
    call = rig.start()
    assert tried.wait(WAIT_S)
    rig.workers.cancel(call)
    assert rig.result() is Result.CANCELLED
    assert clock() < call.sent_at + Limits().connect_ms


def test_a_connection_that_ends_as_the_next_call_begins_loses_no_message(
    make_rig: Callable[..., WorkerRig],
) -> None:
    next_call, ended = threading.Event(), threading.Event()

    def script(sock: socket.socket) -> None:
        sock.sendall(OK)
        if next_call.is_set():
            assert ended.wait(WAIT_S)
            return
        next_call.wait(WAIT_S)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        ended.set()

    rig = make_rig(script)
    rig.start(safe=False)
    assert rig.result() is Result.DELIVERED
    rig.ends.clear()
    next_call.set()
    rig.start(safe=False)
    assert rig.result() is Result.DELIVERED
    assert sum(bool(request) for request in rig.endpoint.requests) == 2


@pytest.mark.parametrize("first", ["it is removed", "it is answered"])
def test_no_connection_stays_open_after_its_call(make_rig: Callable[..., WorkerRig], first: str) -> None:
    removed = threading.Event()

    def script(sock: socket.socket) -> None:
        if first == "it is removed":
            assert removed.wait(WAIT_S)
        sock.sendall(OK)

    rig = make_rig(script)
    rig.start()
    if first == "it is removed":
        until(lambda: rig.endpoint.requests, "the request")
        rig.target.state = EndpointState.GONE
        removed.set()
    assert rig.result() is Result.DELIVERED
    until(lambda: rig.endpoint.rest, "the endpoint sees the connection's end")


def test_a_notice_whose_answer_is_lost_is_sent_again_and_confirmed_once() -> None:
    lost = [then_end(b""), then_reset(b""), then_end(b"HTTP/1.1 2")]
    answers = [*lost, sends(b"HTTP/1.1 204 No Content\r\n\r\n")]
    platform = RawServer(lambda sock: answers.pop(0)(sock))
    events: list[CoreEvent] = []
    address = ("127.0.0.1", platform.sock.getsockname()[1])
    notices = Notifier(address, Limits(), events.append, NullLog(), lambda: None)
    notices.deliver(Notice(4, "late", False))
    until(lambda: events, "its answer")
    assert events == [NoticesDelivered((4,))]
    bodies = [request.split(b"\r\n\r\n")[1] for request in platform.requests if request]
    assert len(bodies) == 4 and {json.loads(body)["id"] for body in bodies} == {"late"}
    platform.sock.close()


def test_a_platform_slower_than_the_first_timeout_gets_all_notices_in_few_calls() -> None:
    limits = Limits(notice_ms=200.0)

    def slow(sock: socket.socket) -> None:
        threading.Event().wait(1.5 * limits.notice_ms / 1000.0)
        sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

    platform = RawServer(slow)
    events: list[CoreEvent] = []
    address = ("127.0.0.1", platform.sock.getsockname()[1])
    notices = Notifier(address, limits, events.append, NullLog(), lambda: None)
    for number in range(10):
        notices.deliver(Notice(number, f"m{number}", False))
    until(lambda: sum(len(cast(NoticesDelivered, one).numbers) for one in events) == 10, "all of them")
    assert len(platform.requests) <= 5  # after a time-out no notice is sent separately
    platform.sock.close()


@pytest.fixture
def program(tmp_path: Path, peer: Peer) -> Program:
    return Program(tmp_path, peer)


def write_known_list(program: Program, peer: Peer, status: str) -> None:
    """Set the next process's cached list; the watch returns the same."""
    raw = json.loads(program.file.read_text())
    program.file.write_text(json.dumps({**raw, "known": peer.members(status)}))


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
def test_a_message_accepted_and_not_begun_is_sent_by_the_next_process(
    program: Program, peer: Peer, how: signal.Signals
) -> None:
    with peer.lock:
        peer.watch_bodies = [json.dumps(peer.members("Terminating", 2)).encode()]
    until(lambda: not peer.watch_bodies and "since=2" in peer.list_targets[-1], "the drain is applied")
    assert [program.hand_in("safe"), program.hand_in("once", "pay")] == [202, 202]
    program.end(how)
    assert not peer.calls and not peer.notices
    write_known_list(program, peer, "Ready")
    program.start()
    until(lambda: sorted(peer.ids()) == ["once", "safe"], "both are sent")
    assert not peer.notices


def test_a_notice_that_was_not_delivered_is_sent_by_the_next_process(program: Program, peer: Peer) -> None:
    peer.notice_answers = [503] * 10_000
    assert program.hand_in("late", left=1) == 202
    until(lambda: len(peer.notice_answers) < 10_000, "a notice that was not accepted")
    program.end(signal.SIGKILL)
    peer.notice_answers = []
    program.start()
    until(lambda: [line["id"] for line in peer.notices] == ["late"], "the notice")
    program.end(signal.SIGKILL)
    program.start()
    assert program.hand_in("after") == 202
    until(lambda: peer.ids() == ["after"], "a later message")
    assert [line["id"] for line in peer.notices] == ["late"] and "late" not in peer.ids()


def test_records_of_an_unknown_class_end_as_undeliverable_and_are_never_sent(
    program: Program, peer: Peer
) -> None:
    program.end(signal.SIGKILL)
    journal = Journal(program.state, 3_000_000)
    wall = time.time() * 1000.0 + 60_000.0
    for number in range(1, 4):
        journal.record_taken(
            PendingMessage(journal.last_number + 1, f"theirs-{number}", "meter-reading", 7, wall, b"x")
        )
    journal.close()
    program.start()
    until(lambda: len(peer.notices) == 3, "their ends")
    assert {line["status"] for line in peer.notices} == {"undeliverable"} and not peer.calls
    assert program.hand_in("ours") == 202
    until(lambda: peer.ids() == ["ours"], "ours only")


def test_a_start_with_a_full_journal_and_no_discovery_serves_in_time(program: Program, peer: Peer) -> None:
    program.end(signal.SIGKILL)
    journal, count = Journal(program.state, 3_000_000), 0
    wall = time.time() * 1000.0 + 60_000.0
    with pytest.raises(JournalFull):
        while True:
            number = journal.last_number + 1
            journal.record_taken(PendingMessage(number, f"old-{number}", "note", 7, wall, b"x" * 3000))
            count += 1
    journal.close()
    assert count > 200
    raw = json.loads(program.file.read_text())
    with socket.create_server(("127.0.0.1", 0)) as silent_server:  # listens, and never answers
        program.file.write_text(
            json.dumps({**raw, "discovery": f"127.0.0.1:{silent_server.getsockname()[1]}"})
        )
        begun = time.monotonic()
        program.start()
        assert time.monotonic() - begun < 10.0
        connection = program.connect()
        connection.request("GET", "/_health")
        assert connection.getresponse().status == 200
        connection.close()
        statuses = {f"new-{n}": program.hand_in(f"new-{n}", body=b"x" * 60_000) for n in range(12)}
        assert set(statuses.values()) <= {202, 503}
        until(lambda: len(set(peer.ids())) >= 20, "recovered messages are sent meanwhile")
        size = sum(path.stat().st_size for path in program.state.iterdir() if path.is_file())
        assert size <= 3_000_000
        taken = {id for id, status in statuses.items() if status == 202}
        until(lambda: taken <= {*peer.ids(), *(line["id"] for line in peer.notices)}, "the end of each")
    program.move(peer)


def test_idle_clients_that_use_up_their_descriptors_leave_one_for_the_watch(
    tmp_path: Path, peer: Peer
) -> None:
    discovery = RawServer(then_reset(b""))
    address = SimpleNamespace(port=discovery.sock.getsockname()[1])
    program = Program(tmp_path, cast(Peer, address), sockets=96, known=peer.members())
    until(lambda: discovery.requests, "a watch")
    discovery.sock.shutdown(socket.SHUT_RDWR)  # down: later requests are refused
    discovery.sock.close()
    until(lambda: any("Refused" in str(line.get("error")) for line in program.log), "it is refused")
    idle = [socket.create_connection(program.address, timeout=WAIT_S) for _ in range(60)]
    open_ = Path(f"/proc/{program.process.pid}/fd")
    assert len(list(open_.iterdir())) < 96
    for n in range(20):
        assert program.hand_in(f"m{n}") in (202, 503)
    with socket.create_server(("127.0.0.1", address.port)) as again:
        again.settimeout(WAIT_S)
        sock = again.accept()[0]
        assert b"/catalog/members" in read_request(sock)
        sock.close()
    until(lambda: peer.ids(), "calls continue")
    for one in idle:
        one.close()
