"""The allocator on its socket: limits hold over real threads, its replacement and a frozen instance."""

from __future__ import annotations

import errno
import json
import socket
import threading
import time
from bisect import bisect_left
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from springspread.config import Config
from springspread.core.clock import SYSTEM
from springspread.core.types import Endpoint, Load
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares, key_of
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.messages import (
    PROTOCOL_VERSION,
    KeyStatus,
    LeaseReport,
    LeaseRequest,
    Register,
    Welcome,
    fingerprint,
)
from springspread.fleet.record import leased_epochs
from springspread.fleet.use_ledger import EARLY_REPORT_CALLS
from springspread.fleet.wire import LINE_BYTES, Question, encode
from springspread.rollout.terms import Grant
from tests.peer import until

SPAN_MS = 400.0
LINK = Endpoint(1, "s-1", "127.0.0.1", 1, 1, False, 1)
FREE = Endpoint(2, "s-2", "127.0.0.1", 1, 2, False, 1)
APART = Endpoint(3, "s-3", "127.0.0.1", 1, 3, True, 1)


class NullLog:
    """A log that nobody reads."""

    def info(self, event: str, **values: object) -> None:
        pass

    debug = warning = error = info


class Callers:
    """Threads that make calls as fast as their shares let them; when each was made."""

    def __init__(self, shares: list[FleetShares]) -> None:
        self.made: list[float] = []
        self.by: dict[int, int] = dict.fromkeys(range(len(shares)), 0)
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(n, one), daemon=True) for n, one in enumerate(shares)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self, number: int, shares: FleetShares) -> None:
        while not self._over.is_set():
            if shares.acquire(LINK):
                self.made.append(SYSTEM.now())
                self.by[number] += 1
            time.sleep(0.002)

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()

    def most(self) -> int:
        """In any span. A call's time is taken after its right was: 5 ms of the span are left out for that."""
        times = sorted(self.made)
        return max(bisect_left(times, at + SPAN_MS - 5.0) - n for n, at in enumerate(times))


class Place:
    def __init__(self, folder: Path, limits: dict[str, Limit]) -> None:
        self.folder, self.limits = folder, limits
        self.path = folder / "allot"
        self.server = AllocatorServer(self.path, folder, limits, NullLog())
        self.shares: list[FleetShares] = []

    def join(self, name: str, epoch: int = 1) -> FleetShares:
        self.shares.append(FleetShares(self.path, name, epoch, NullLog()))
        return self.shares[-1]

    def replace(self) -> None:
        self.server.close()
        self.server = AllocatorServer(self.path, self.folder, self.limits, NullLog())

    def close(self) -> None:
        for one in self.shares:
            one.close()
        self.server.close()


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    made = Place(tmp_path, {"g1": Limit(8, SPAN_MS)})
    yield made
    made.close()


def test_the_limit_holds_in_every_span_and_is_shared_and_used(place: Place) -> None:
    callers = Callers([place.join(f"n{n}") for n in range(4)])
    until(lambda: len(callers.made) >= 40, "five spans of calls")
    callers.stop()
    assert callers.most() <= 8
    assert min(callers.by.values()) >= 5
    took = callers.made[-1] - callers.made[0]
    assert took <= 1.6 * 5 * SPAN_MS  # little of it lies idle, on a machine that may be busy


def test_the_limit_holds_over_a_new_allocator(place: Place) -> None:
    callers = Callers([place.join(f"n{n}") for n in range(3)])
    for count in (10, 20, 30):
        until(lambda count=count: len(callers.made) >= count, "calls")  # type: ignore[misc]
        place.replace()
    until(lambda: len(callers.made) >= 45, "calls with the last one")
    callers.stop()
    assert callers.most() <= 8


def test_one_that_does_not_read_holds_nobody_up(place: Place) -> None:
    with socket.socket(socket.AF_UNIX) as frozen:
        frozen.connect(str(place.path))
        frozen.sendall(encode(Register(PROTOCOL_VERSION, "", "frozen", 1)))
        until(lambda: place.server.members == [("frozen", 1)], "its hello")
        for _ in range(200):
            frozen.sendall(encode(LeaseRequest({"g1": 1})))
        callers = Callers([place.join("n0")])
        until(lambda: len(callers.made) >= 8, "calls of another")
        callers.stop()


class Noted(NullLog):
    """A log that keeps its warnings."""

    def __init__(self) -> None:
        self.warnings: list[str] = []

    def warning(self, event: str, **values: object) -> None:
        self.warnings.append(f"{event}: {values}")


BAD_PEERS = {
    "a line that is too long": (b"[" + b"1" * (LINE_BYTES + 10), "line exceeds"),
    "a line that is torn": (
        encode(Register(PROTOCOL_VERSION, "", "n1", 1))[:-9] + b"\n",
        "invalid message: ",
    ),
    "an unknown version": (encode(Register(9, "", "n1", 1)), "protocol version 9, expected 2"),
    "the version before": (b'{"kind":"hello","name":"n1","epoch":1}\n', "from protocol version 1"),
    "another fleet": (encode(Register(PROTOCOL_VERSION, "other", "n1", 1)), "member of another fleet: other"),
    "an older start": (
        encode(Register(PROTOCOL_VERSION, "", "n0", 0)),
        "n0: epoch 0 was replaced by a later",
    ),
    "a request before it registers": (encode(LeaseRequest({"g1": 1})), "message before registration"),
    "what only an allocator says": (
        encode(Register(PROTOCOL_VERSION, "", "n1", 1)) + encode(Welcome(KeyStatus.FREE, True)),
        "unexpected message: Welcome",
    ),
}


@pytest.mark.parametrize(("data", "fault"), BAD_PEERS.values(), ids=BAD_PEERS)
def test_a_bad_peer_loses_its_connection_with_a_log_line_and_nothing_is_forgotten(
    tmp_path: Path, data: bytes, fault: str
) -> None:
    log = Noted()
    server = AllocatorServer(tmp_path / "allot", tmp_path, {"g1": Limit(100, 60_000.0)}, log)
    good = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: good.acquire(LINK), "a call of a good one")
    given_out = server.control.committed_calls("g1", SYSTEM.now())
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(server.path))
        peer.settimeout(5.0)
        peer.sendall(data)
        while peer.recv(65536):
            pass  # a welcome may have come before the end
    until(lambda: log.warnings, "its log line")
    assert len(log.warnings) == 1 and fault in log.warnings[0]
    assert server.control.committed_calls("g1", SYSTEM.now()) >= min(given_out, 1)
    until(lambda: good.acquire(LINK), "the good one goes on")
    good.close()
    server.close()


def test_a_peer_that_claims_anothers_lease_lowers_no_count(place: Place) -> None:
    owner = place.join("n0")
    until(lambda: owner.acquire(LINK), "a lease")
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(place.path))
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", 1)))
        before = place.server.control.committed_calls("g1", SYSTEM.now())
        reports = tuple(LeaseReport("g1", serial, 0, 0.0) for serial in range(1, 50))
        peer.sendall(encode(LeaseRequest({}, reports)))
        peer.sendall(encode(LeaseRequest({"g1": 1})))
        until(lambda: b'[6,[["g1"' in peer.recv(65536), "the answer to what came after")
    assert place.server.control.committed_calls("g1", SYSTEM.now()) >= before


class CountedEvent(threading.Event):
    """Knows how often it was set."""

    sets = 0

    def set(self) -> None:
        self.sets += 1
        super().set()


def test_many_free_calls_wake_the_one_that_reports_them(tmp_path: Path) -> None:
    limits = {"g1": Limit(100_000, 60_000.0, LimitMode.ADAPTIVE)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), default_mode=LimitMode.ADAPTIVE)
    shares = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: shares.acquire(LINK), "a first call")
    until(lambda: server.control.reported_calls("g1", SYSTEM.now()) >= 1, "its report")
    shares._wake = wakes = CountedEvent()
    for _ in range(EARLY_REPORT_CALLS):
        assert shares.acquire(LINK)
    assert wakes.sets >= 1
    until(lambda: server.control.reported_calls("g1", SYSTEM.now()) > EARLY_REPORT_CALLS, "their report")
    shares.close()
    server.close()


def test_without_an_allocator_nothing_limited_is_called(tmp_path: Path) -> None:
    alone = FleetShares(tmp_path / "none", "n0", 1, NullLog())
    begun = time.monotonic()
    assert not alone.acquire(LINK) and not alone.acquire(FREE)  # it can't know which are limited
    assert time.monotonic() - begun < 2.0
    alone.close()


def test_a_limit_that_a_partner_tells_binds_all(place: Place) -> None:
    one, other = place.join("n0"), place.join("n1")
    until(lambda: one.acquire(FREE) and other.acquire(FREE), "it is free at first")
    assert one.load(FREE, Load(0.5, 1.0)).limit_per_s == 1.0  # 2 calls in 2 s, as a part is not known yet

    def bound() -> bool:
        return not other.acquire(FREE)

    until(bound, "the other one is bound, too")
    until(lambda: one.load(LINK, Load()).limit_per_s is not None or one.acquire(LINK), "a lease")
    assert key_of(APART) == "r3/s-3" and key_of(LINK) == "g1"


def test_an_instance_that_was_replaced_gets_nothing(place: Place) -> None:
    later = place.join("n0", epoch=5)
    until(lambda: place.server.members == [("n0", 5)], "its hello")
    earlier = place.join("n0", epoch=4)
    assert later.acquire(LINK)
    assert not earlier.acquire(LINK)


def _another_boot(path: Path) -> None:
    path.write_bytes(b"0" * 36 + path.read_bytes()[36:])


def _flipped(path: Path) -> None:
    data = bytearray(path.read_bytes())
    data[50] ^= 1  # in the first lease
    path.write_bytes(data)


@pytest.mark.parametrize("spoil", [_another_boot, _flipped, Path.unlink])
def test_the_limit_holds_over_an_allocator_whose_record_is_lost(
    place: Place, spoil: Callable[[Path], None]
) -> None:
    callers = Callers([place.join(f"n{n}") for n in range(3)])
    for count in (10, 20):
        until(lambda count=count: len(callers.made) >= count, "calls")  # type: ignore[misc]
        place.server.close()
        for path in place.folder.glob("leases.*"):
            if path.stat().st_size > 60:
                spoil(path)
        place.server = AllocatorServer(
            place.path, place.folder, place.limits, NullLog(), had_predecessor=spoil is Path.unlink
        )
    until(lambda: len(callers.made) >= 35, "calls with the last one")
    callers.stop()
    assert callers.most() <= 8


def test_a_sender_that_is_told_of_more_limits_than_its_socket_takes_at_once_is_served(tmp_path: Path) -> None:
    limits = {f"g{n}": Limit(8, SPAN_MS) for n in range(70_000)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), default_mode=LimitMode.ADAPTIVE)
    sender = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: sender.acquire(LINK), "a call")
    sender.close()
    server.close()


def test_one_that_never_reads_loses_its_connection(tmp_path: Path) -> None:
    limits = {f"g{n}": Limit(8, SPAN_MS) for n in range(70_000)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), default_mode=LimitMode.ADAPTIVE)
    with socket.socket(socket.AF_UNIX) as frozen:
        frozen.connect(str(server.path))
        frozen.sendall(encode(Register(PROTOCOL_VERSION, "", "frozen", 1)))
        until(lambda: server.members == [("frozen", 1)], "its hello")
        until(lambda: server.members == [], "its end")
    server.close()


def test_a_connection_registers_once(place: Place) -> None:
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(place.path))
        peer.settimeout(5.0)
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", 1)))
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n2", 1)))
        while peer.recv(65536):
            pass
    until(lambda: place.server.members == [], "the end of both names")


def test_no_request_however_large_ends_the_allocator(tmp_path: Path) -> None:
    limits = {"g1": Limit(1 << 50, SPAN_MS)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog())
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(server.path))
        peer.settimeout(5.0)
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", 1)))
        peer.sendall(encode(LeaseRequest({"g1": 1 << 61}, (), {"g2": 1e17})))
        until(lambda: b'[6,[["g1"' in peer.recv(65536), "a lease")
    server.close()


def test_an_accept_that_fails_is_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    accept, failed = socket.socket.accept, threading.Event()

    def fails_once(listener: socket.socket) -> tuple[socket.socket, object]:
        if not failed.is_set():
            failed.set()
            raise OSError(errno.EMFILE, "too many open files")
        return accept(listener)

    monkeypatch.setattr(socket.socket, "accept", fails_once)
    server = AllocatorServer(tmp_path / "allot", tmp_path, {"g1": Limit(8, SPAN_MS)}, NullLog())
    sender = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: sender.acquire(LINK), "a call")
    sender.close()
    server.close()


def test_a_policy_is_granted_after_the_limits_that_come_with_it(place: Place) -> None:
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(place.path))
        peer.settimeout(5.0)
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", 1)))
        peer.sendall(encode(LeaseRequest({f"g{n}": 0 for n in range(2, 60)})))
        lines = peer.makefile("rb")
        known = 0
        while known < 58:
            line = lines.readline()
            known += len(json.loads(line)[4]) if line.startswith(b"[5,") else 0
        for n in range(2, 60):  # often, as the tick may come between by chance
            limits = {f"g{m}": Limit(8, SPAN_MS) for m in range(2, n + 1)}
            place.server.schedule_limits(limits, SYSTEM.now() + 60_000.0)
            place.server.send(("n1", 1), Grant((1, n), n, 0.0, 1.0))
            told = lines.readline()
            assert told.startswith(b"[5,") and json.loads(told)[2] == [fingerprint(f"g{n}")]
            assert b"grant" in lines.readline()
        lines.close()


def test_a_message_that_fails_in_a_sender_costs_it_its_connection_and_no_more(place: Place) -> None:
    sender = place.join("n0")
    until(lambda: sender.acquire(LINK), "a call")
    failed = threading.Event()

    def fails(text: str) -> Config:
        failed.set()
        raise RuntimeError("a fault of its own")

    sender.follow(fails, lambda event: None)
    place.server.send(("n0", 1), Question(1, "{}"))
    until(failed.is_set, "the question")
    until(lambda: sender.acquire(LINK), "a call over a new connection")


@pytest.mark.parametrize("damaged", [False, True])
def test_what_a_lost_record_may_have_held_counts_for_each_successor(tmp_path: Path, damaged: bool) -> None:
    limits = {"g1": Limit(8, 60_000.0)}
    if damaged:
        first = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog())
        sender = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
        until(lambda: sender.acquire(LINK), "a lease")
        sender.close()
        first.close()
        for path in tmp_path.glob("leases.*"):
            if path.stat().st_size > 60:
                _flipped(path)
    for _ in range(3):  # a daemon that dies soon after its start
        server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), had_predecessor=True)
        assert server.control.committed_calls("g1", SYSTEM.now()) >= 8
        server.close()
    assert [name for name, _ in leased_epochs(tmp_path)] == []


@pytest.mark.parametrize("epoch", [1, 2])
def test_a_connection_that_another_one_replaces_is_ended(place: Place, epoch: int) -> None:
    with socket.socket(socket.AF_UNIX) as earlier, socket.socket(socket.AF_UNIX) as later:
        for peer, of in ((earlier, 1), (later, epoch)):
            peer.settimeout(5.0)
            peer.connect(str(place.path))
            peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", of)))
            assert peer.recv(65536)  # its welcome
        while earlier.recv(65536):
            pass  # it would be told of no limit that comes
        until(lambda: place.server.members == [("n1", epoch)], "the later one alone")
        later.sendall(encode(LeaseRequest({"g1": 1})))
        until(lambda: b'[6,[["g1"' in later.recv(65536), "a lease")


def test_an_allocator_that_is_closed_leaves_no_thread_that_accepts(tmp_path: Path) -> None:
    before = set(threading.enumerate())
    server = AllocatorServer(tmp_path / "allot", tmp_path, {}, NullLog())
    began = [one for one in set(threading.enumerate()) - before if one.name == "fleet-accept"]
    assert began
    server.close()
    until(lambda: not any(one.is_alive() for one in began), "its thread ends")
