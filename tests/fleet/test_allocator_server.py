"""The allocator on its socket: limits hold with real threads, across restarts and with faulty instances."""

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
from springspread.fleet.lease_record import leased_epochs
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
from springspread.fleet.use_ledger import EARLY_REPORT_CALLS
from springspread.fleet.wire import LINE_BYTES, Question, encode
from springspread.rollout.protocol import Grant
from tests.peer import until

SPAN_MS = 400.0
ENDPOINT = Endpoint(1, "s-1", "127.0.0.1", 1, 1, False, 1)
UNLIMITED = Endpoint(2, "s-2", "127.0.0.1", 1, 2, False, 1)
SEPARATE = Endpoint(3, "s-3", "127.0.0.1", 1, 3, True, 1)


class NullLog:
    """A log that discards every entry."""

    def info(self, event: str, **values: object) -> None:
        pass

    debug = warning = error = info


class CallingThreads:
    """Threads that call as fast as their shares allow, and the times of the calls."""

    def __init__(self, shares: list[FleetShares]) -> None:
        self.made: list[float] = []
        self.by: dict[int, int] = dict.fromkeys(range(len(shares)), 0)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(n, one), daemon=True) for n, one in enumerate(shares)
        ]
        for thread in self._threads:
            thread.start()

    def _call(self, number: int, shares: FleetShares) -> None:
        while not self._stopped.is_set():
            if shares.acquire(ENDPOINT):
                self.made.append(SYSTEM.now())
                self.by[number] += 1
            time.sleep(0.002)

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def max_in_span(self) -> int:
        """The most calls in any span, shortened by 5 ms as a call's time is taken after its right."""
        times = sorted(self.made)
        return max(bisect_left(times, at + SPAN_MS - 5.0) - n for n, at in enumerate(times))


class AllocatorSetup:
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
def place(tmp_path: Path) -> Iterator[AllocatorSetup]:
    setup = AllocatorSetup(tmp_path, {"g1": Limit(8, SPAN_MS)})
    yield setup
    setup.close()


def test_limit_holds_and_is_shared(place: AllocatorSetup) -> None:
    callers = CallingThreads([place.join(f"n{n}") for n in range(4)])
    until(lambda: len(callers.made) >= 40, "five spans of calls")
    callers.stop()
    assert callers.max_in_span() <= 8
    assert min(callers.by.values()) >= 5
    elapsed = callers.made[-1] - callers.made[0]
    assert elapsed <= 1.6 * 5 * SPAN_MS  # little of the limit is unused, even on a busy machine


def test_limit_holds_across_allocator_restarts(place: AllocatorSetup) -> None:
    callers = CallingThreads([place.join(f"n{n}") for n in range(3)])
    for count in (10, 20, 30):
        until(lambda count=count: len(callers.made) >= count, "calls")  # type: ignore[misc]
        place.replace()
    until(lambda: len(callers.made) >= 45, "calls with the last one")
    callers.stop()
    assert callers.max_in_span() <= 8


def test_frozen_instance_does_not_block_others(place: AllocatorSetup) -> None:
    with socket.socket(socket.AF_UNIX) as frozen:
        frozen.connect(str(place.path))
        frozen.sendall(encode(Register(PROTOCOL_VERSION, "", "frozen", 1)))
        until(lambda: place.server.members == [("frozen", 1)], "its registration")
        for _ in range(200):
            frozen.sendall(encode(LeaseRequest({"g1": 1})))
        callers = CallingThreads([place.join("n0")])
        until(lambda: len(callers.made) >= 8, "calls of another")
        callers.stop()


class RecordingLog(NullLog):
    """A log that records its warnings."""

    def __init__(self) -> None:
        self.warnings: list[str] = []

    def warning(self, event: str, **values: object) -> None:
        self.warnings.append(f"{event}: {values}")


INVALID_INPUTS = {
    "line too long": (b"[" + b"1" * (LINE_BYTES + 10), "line exceeds"),
    "truncated line": (
        encode(Register(PROTOCOL_VERSION, "", "n1", 1))[:-9] + b"\n",
        "invalid message: ",
    ),
    "unknown version": (encode(Register(9, "", "n1", 1)), "protocol version 9, expected 2"),
    "previous version": (b'{"kind":"hello","name":"n1","epoch":1}\n', "from protocol version 1"),
    "another fleet": (encode(Register(PROTOCOL_VERSION, "other", "n1", 1)), "member of another fleet: other"),
    "older epoch": (
        encode(Register(PROTOCOL_VERSION, "", "n0", 0)),
        "n0: epoch 0 was replaced by a later",
    ),
    "request before registration": (encode(LeaseRequest({"g1": 1})), "message before registration"),
    "message of an allocator": (
        encode(Register(PROTOCOL_VERSION, "", "n1", 1)) + encode(Welcome(KeyStatus.FREE, True)),
        "unexpected message: Welcome",
    ),
}


@pytest.mark.parametrize(("data", "fault"), INVALID_INPUTS.values(), ids=INVALID_INPUTS)
def test_invalid_message_closes_connection_and_is_logged(tmp_path: Path, data: bytes, fault: str) -> None:
    log = RecordingLog()
    server = AllocatorServer(tmp_path / "allot", tmp_path, {"g1": Limit(100, 60_000.0)}, log)
    valid = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: valid.acquire(ENDPOINT), "a call of a valid instance")
    given_out = server.control.committed_calls("g1", SYSTEM.now())
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(server.path))
        peer.settimeout(5.0)
        peer.sendall(data)
        while peer.recv(65536):
            pass  # a welcome may come before the end
    until(lambda: log.warnings, "its log line")
    assert len(log.warnings) == 1 and fault in log.warnings[0]
    assert server.control.committed_calls("g1", SYSTEM.now()) >= min(given_out, 1)
    until(lambda: valid.acquire(ENDPOINT), "the valid instance goes on")
    valid.close()
    server.close()


def test_report_of_another_owners_lease_is_ignored(place: AllocatorSetup) -> None:
    owner = place.join("n0")
    until(lambda: owner.acquire(ENDPOINT), "a lease")
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
    """Counts how often it was set."""

    sets = 0

    def set(self) -> None:
        self.sets += 1
        super().set()


def test_many_free_calls_trigger_early_report(tmp_path: Path) -> None:
    limits = {"g1": Limit(100_000, 60_000.0, LimitMode.ADAPTIVE)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), default_mode=LimitMode.ADAPTIVE)
    shares = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: shares.acquire(ENDPOINT), "a first call")
    until(lambda: server.control.reported_calls("g1", SYSTEM.now()) >= 1, "its report")
    shares._wake = wakes = CountedEvent()
    for _ in range(EARLY_REPORT_CALLS):
        assert shares.acquire(ENDPOINT)
    assert wakes.sets >= 1
    until(lambda: server.control.reported_calls("g1", SYSTEM.now()) > EARLY_REPORT_CALLS, "their report")
    shares.close()
    server.close()


def test_no_limited_call_without_allocator(tmp_path: Path) -> None:
    alone = FleetShares(tmp_path / "none", "n0", 1, NullLog())
    begun = time.monotonic()
    assert not alone.acquire(ENDPOINT) and not alone.acquire(
        UNLIMITED
    )  # it can't know which endpoints are limited
    assert time.monotonic() - begun < 2.0
    alone.close()


def test_partner_limit_applies_to_all_instances(place: AllocatorSetup) -> None:
    one, other = place.join("n0"), place.join("n1")
    until(lambda: one.acquire(UNLIMITED) and other.acquire(UNLIMITED), "it is free at first")
    assert (
        one.load(UNLIMITED, Load(0.5, 1.0)).limit_per_s == 1.0
    )  # 2 calls in 2 s; its share is not known yet

    def bound() -> bool:
        return not other.acquire(UNLIMITED)

    until(bound, "the other one is bound, too")
    until(lambda: one.load(ENDPOINT, Load()).limit_per_s is not None or one.acquire(ENDPOINT), "a lease")
    assert key_of(SEPARATE) == "r3/s-3" and key_of(ENDPOINT) == "g1"


def test_replaced_instance_gets_no_lease(place: AllocatorSetup) -> None:
    later = place.join("n0", epoch=5)
    until(lambda: place.server.members == [("n0", 5)], "its registration")
    earlier = place.join("n0", epoch=4)
    assert later.acquire(ENDPOINT)
    assert not earlier.acquire(ENDPOINT)


def _from_other_boot(path: Path) -> None:
    path.write_bytes(b"0" * 36 + path.read_bytes()[36:])


def _flip_bit(path: Path) -> None:
    data = bytearray(path.read_bytes())
    data[50] ^= 1  # in the first lease
    path.write_bytes(data)


@pytest.mark.parametrize("damage", [_from_other_boot, _flip_bit, Path.unlink])
def test_limit_holds_after_loss_of_record(place: AllocatorSetup, damage: Callable[[Path], None]) -> None:
    callers = CallingThreads([place.join(f"n{n}") for n in range(3)])
    for count in (10, 20):
        until(lambda count=count: len(callers.made) >= count, "calls")  # type: ignore[misc]
        place.server.close()
        for path in place.folder.glob("leases.*"):
            if path.stat().st_size > 60:
                damage(path)
        place.server = AllocatorServer(
            place.path, place.folder, place.limits, NullLog(), had_predecessor=damage is Path.unlink
        )
    until(lambda: len(callers.made) >= 35, "calls with the last one")
    callers.stop()
    assert callers.max_in_span() <= 8


def test_statuses_larger_than_socket_buffer_are_delivered(tmp_path: Path) -> None:
    limits = {f"g{n}": Limit(8, SPAN_MS) for n in range(70_000)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), default_mode=LimitMode.ADAPTIVE)
    sender = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: sender.acquire(ENDPOINT), "a call")
    sender.close()
    server.close()


def test_instance_that_never_reads_is_disconnected(tmp_path: Path) -> None:
    limits = {f"g{n}": Limit(8, SPAN_MS) for n in range(70_000)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), default_mode=LimitMode.ADAPTIVE)
    with socket.socket(socket.AF_UNIX) as frozen:
        frozen.connect(str(server.path))
        frozen.sendall(encode(Register(PROTOCOL_VERSION, "", "frozen", 1)))
        until(lambda: server.members == [("frozen", 1)], "its registration")
        until(lambda: server.members == [], "its end")
    server.close()


def test_second_registration_closes_connection(place: AllocatorSetup) -> None:
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(place.path))
        peer.settimeout(5.0)
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", 1)))
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n2", 1)))
        while peer.recv(65536):
            pass
    until(lambda: place.server.members == [], "the end of both names")


def test_huge_request_is_served(tmp_path: Path) -> None:
    limits = {"g1": Limit(1 << 50, SPAN_MS)}
    server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog())
    with socket.socket(socket.AF_UNIX) as peer:
        peer.connect(str(server.path))
        peer.settimeout(5.0)
        peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", 1)))
        peer.sendall(encode(LeaseRequest({"g1": 1 << 61}, (), {"g2": 1e17})))
        until(lambda: b'[6,[["g1"' in peer.recv(65536), "a lease")
    server.close()


def test_failed_accept_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    accept, failed = socket.socket.accept, threading.Event()

    def fails_once(listener: socket.socket) -> tuple[socket.socket, object]:
        if not failed.is_set():
            failed.set()
            raise OSError(errno.EMFILE, "too many open files")
        return accept(listener)

    monkeypatch.setattr(socket.socket, "accept", fails_once)
    server = AllocatorServer(tmp_path / "allot", tmp_path, {"g1": Limit(8, SPAN_MS)}, NullLog())
    sender = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
    until(lambda: sender.acquire(ENDPOINT), "a call")
    sender.close()
    server.close()


def test_limits_are_sent_before_grant_of_their_policy(place: AllocatorSetup) -> None:
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
        for n in range(2, 60):  # often, as a tick may come in between
            limits = {f"g{m}": Limit(8, SPAN_MS) for m in range(2, n + 1)}
            place.server.schedule_limits(limits, SYSTEM.now() + 60_000.0)
            place.server.send(("n1", 1), Grant((1, n), n, 0.0, 1.0))
            statuses = lines.readline()
            assert statuses.startswith(b"[5,") and json.loads(statuses)[2] == [fingerprint(f"g{n}")]
            assert b"grant" in lines.readline()
        lines.close()


def test_handler_error_in_sender_causes_reconnect(place: AllocatorSetup) -> None:
    sender = place.join("n0")
    until(lambda: sender.acquire(ENDPOINT), "a call")
    failed = threading.Event()

    def fails(text: str) -> Config:
        failed.set()
        raise RuntimeError("handler failed")

    sender.follow(fails, lambda event: None)
    place.server.send(("n0", 1), Question(1, "{}"))
    until(failed.is_set, "the question")
    until(lambda: sender.acquire(ENDPOINT), "a call over a new connection")


@pytest.mark.parametrize("damaged", [False, True])
def test_lost_leases_count_at_each_successor(tmp_path: Path, damaged: bool) -> None:
    limits = {"g1": Limit(8, 60_000.0)}
    if damaged:
        first = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog())
        sender = FleetShares(tmp_path / "allot", "n0", 1, NullLog())
        until(lambda: sender.acquire(ENDPOINT), "a lease")
        sender.close()
        first.close()
        for path in tmp_path.glob("leases.*"):
            if path.stat().st_size > 60:
                _flip_bit(path)
    for _ in range(3):  # a daemon that restarts repeatedly
        server = AllocatorServer(tmp_path / "allot", tmp_path, limits, NullLog(), had_predecessor=True)
        assert server.control.committed_calls("g1", SYSTEM.now()) >= 8
        server.close()
    assert [name for name, _ in leased_epochs(tmp_path)] == []


@pytest.mark.parametrize("epoch", [1, 2])
def test_replaced_connection_is_closed(place: AllocatorSetup, epoch: int) -> None:
    with socket.socket(socket.AF_UNIX) as earlier, socket.socket(socket.AF_UNIX) as later:
        for peer, of in ((earlier, 1), (later, epoch)):
            peer.settimeout(5.0)
            peer.connect(str(place.path))
            peer.sendall(encode(Register(PROTOCOL_VERSION, "", "n1", of)))
            assert peer.recv(65536)  # its welcome
        while earlier.recv(65536):
            pass  # until it is closed
        until(lambda: place.server.members == [("n1", epoch)], "the later one alone")
        later.sendall(encode(LeaseRequest({"g1": 1})))
        until(lambda: b'[6,[["g1"' in later.recv(65536), "a lease")


def test_close_ends_accept_thread(tmp_path: Path) -> None:
    before = set(threading.enumerate())
    server = AllocatorServer(tmp_path / "allot", tmp_path, {}, NullLog())
    began = [one for one in set(threading.enumerate()) - before if one.name == "fleet-accept"]
    assert began
    server.close()
    until(lambda: not any(one.is_alive() for one in began), "its thread ends")
