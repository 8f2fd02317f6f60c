"""Access of the measurements to the allocator, the lease cache and their encoding.

The rest of the package uses these APIs only through this module. Rows labelled ``before`` were measured with
the version of this module that belonged to the earlier program.
"""

from __future__ import annotations

import json
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from selectors import EVENT_READ, DefaultSelector
from typing import Any

from springspread.core.clock import SYSTEM
from springspread.core.types import Endpoint
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares
from springspread.fleet.lease_record import LeaseRecord
from springspread.fleet.limits import Lease, Limit, LimitMode, Owner
from springspread.fleet.messages import (
    PROTOCOL_VERSION,
    GrantedLease,
    LeaseGrants,
    LeaseReport,
    LeaseRequest,
    Register,
    UseReport,
)
from springspread.fleet.wire import Lines, Unreadable, encode
from springspread.logs import make_log

CALLS, SPAN_MS = 200, 2_000.0  # far above the demand of any measurement
AMPLE_LIMIT = Limit(CALLS, SPAN_MS, LimitMode.ADAPTIVE)
NO_CALL = -1  # measures the load generator alone
SINGLE_OWNER = ("n0", 1)


def unreachable_limit() -> Limit:
    """A limit that no measurement reaches."""
    return Limit(10_000_000, 2_000.0)


def keys(count: int) -> list[str]:
    """Keys of ``count`` destinations."""
    return [f"g{number}" for number in range(count)]


def owners(count: int) -> list[Owner]:
    """Owners for ``count`` senders."""
    return [(f"n{number:04}", 1) for number in range(count)]


def ample_limits(count: int, mode: LimitMode) -> dict[str, Limit]:
    """Limits of ``count`` destinations that no measurement reaches."""
    return dict.fromkeys(keys(count), Limit(CALLS, SPAN_MS, mode))


def make_allocator(limits: int, limit: Limit = AMPLE_LIMIT) -> Allocator:
    """An allocator with ``limits`` keys."""
    allocator = Allocator()
    for key in keys(limits):
        allocator.set_limit(key, limit)
    return allocator


class Decisions:
    """The control of adaptive limits, with one sender."""

    def __init__(self, limits: int) -> None:
        self._now, self._sequence, self._epoch = 1_000.0, 0, 1
        known = ample_limits(limits, LimitMode.ADAPTIVE)
        self._control = AllocatorControl("", LimitMode.ADAPTIVE, known, Allocator(), self._now)
        self._register()

    def _register(self) -> bytes:
        self._control.register(self._now, _registration(("n0", self._epoch)))
        return self._outgoing()

    def _outgoing(self) -> bytes:
        by_owner = self._control.take_messages()
        return b"".join(encode(message) for messages in by_owner.values() for message in messages)

    def join(self) -> bytes:
        """Restart the sender; returns the bytes sent to it."""
        self._epoch += 1
        self._sequence = 0
        return self._register()

    def tick(self, used: Sequence[str]) -> bytes:
        """Report a call of each used key after an interval; returns the bytes sent to the sender."""
        self._now += 2_500.0
        self._sequence += 1
        report = UseReport(self._sequence, 5.0, dict.fromkeys(used, 1))
        self._control.received(self._now, ("n0", self._epoch), report)
        self._control.grant(self._now, self._control.tick(self._now))
        return self._outgoing()


def lease_each(
    allocator: Allocator, now: float, senders: Sequence[Owner], limits: Sequence[str]
) -> list[Lease]:
    """A lease of one call for each pair of sender and limit."""
    for key in limits:
        for owner in senders:
            allocator.set_demand(now, owner, key, 1)
    return allocator.allocate(now)


def report_all(allocator: Allocator, now: float, leases: Sequence[Lease]) -> None:
    """Report the leases as used up."""
    for lease in leases:
        allocator.report(now, lease.owner, lease.key, lease.serial, lease.calls, now)


def share_taken_over_ms(sharers: int) -> float:
    """Virtual time from the death of a sender with leases until the other senders get 0.9 of the limit within
    a span.
    """
    limit, tick_ms = Limit(400, 2_000.0), 5.0
    allocator = Allocator()
    allocator.set_limit("g0", limit)
    senders, granted = owners(sharers), list[tuple[float, int]]()
    dies_at, now = 6_000.0, 0.0
    while now < 60_000.0:
        now += tick_ms
        alive = senders if now < dies_at else senders[1:]
        for owner in alive:
            allocator.set_demand(now, owner, "g0", limit.calls)
        leases = [lease for lease in allocator.allocate(now) if lease.owner in alive]
        report_all(allocator, now, leases)
        granted += [(now, sum(lease.calls for lease in leases if lease.owner != senders[0]))]
        granted = [one for one in granted if one[0] > now - limit.span_ms]
        if now > dies_at and sum(calls for _, calls in granted) >= 0.9 * limit.calls:
            return now - dies_at
    return 60_000.0


# Encoding


def request_line(wants: int) -> bytes:
    """The request of a sender that waits for one call to each of ``wants`` destinations."""
    return encode(LeaseRequest(dict.fromkeys(keys(wants), 1)))


def report_line(reports: int) -> bytes:
    """The request of a sender that reports ``reports`` used leases."""
    entries = (LeaseReport(key, 1_000_000 + n, 1, 1_234_567.891) for n, key in enumerate(keys(reports)))
    return encode(LeaseRequest({}, tuple(entries)))


def use_line(used: int) -> bytes:
    """The report of a sender that called ``used`` destinations without a lease."""
    return encode(UseReport(1_000, 12.5, dict.fromkeys(keys(used), 1)))


def lease_lines(leases: int) -> bytes:
    """The allocator's message with ``leases`` leases of one tick."""
    entries = (
        GrantedLease(key, 1_000_000 + n, 1, 1_234_567.891, 100.0) for n, key in enumerate(keys(leases))
    )
    return encode(LeaseGrants(tuple(entries)))


def _registration(owner: Owner) -> Register:
    return Register(PROTOCOL_VERSION, "", *owner)


def decode(data: bytes) -> int:
    """Decode lines as a peer would; the number of messages. Raises ``Unreadable``."""
    return len(Lines().feed(data))


# Records of leases


def write_record(folder: Path, leases: int) -> int:
    """Write a record of leases of 1,000 destinations; returns its size in bytes."""
    record = LeaseRecord(folder, 1e9)
    now, known = SYSTEM.now(), keys(1_000)
    entries = [Lease(n + 1, ("n0000", 1), known[n % 1_000], 1, now + 200.0) for n in range(leases)]
    for first in range(0, leases, 20):
        record.append(entries[first : first + 20], now)
    record.close()
    return sum(path.stat().st_size for path in folder.glob("leases.*"))


def append_cpu_s(folder: Path, leases: int) -> float:
    """CPU time (s) of recording leases one by one."""
    record, now = LeaseRecord(folder, 2_000.0), SYSTEM.now()
    entries = [Lease(n + 1, ("n0000", 1), "g1000", 1, now + 200.0) for n in range(leases)]
    started = time.process_time()
    for lease in entries:
        record.append([lease], now)
    return time.process_time() - started


# A server and its load


@contextmanager
def running_server(
    limits: int, folder: Path, mode: LimitMode = LimitMode.ADAPTIVE
) -> Iterator[AllocatorServer]:
    """Run a server with ``limits`` limits on a socket in the folder."""
    log, _ = make_log("capacity", 1)
    path = folder / "allot"
    server = AllocatorServer(path, folder, ample_limits(limits, mode), log, default_mode=mode)
    try:
        yield server
    finally:
        server.close()


class SocketTraffic:
    """Counts the traffic of this process's sockets at the socket calls."""

    def __init__(self) -> None:
        self.sent = self.received = self.writes = self.reads = 0
        self.lock = threading.Lock()

    def install(self) -> None:
        """Count every socket created from now on."""
        traffic = self

        class Counted(socket.socket):
            def sendall(self, data: Any, *flags: int) -> None:
                with traffic.lock:
                    traffic.sent += len(data)
                    traffic.writes += 1
                super().sendall(data, *flags)

            def send(self, data: Any, *flags: int) -> int:
                sent = super().send(data, *flags)
                with traffic.lock:
                    traffic.sent += sent
                    traffic.writes += 1
                return sent

            def recv(self, *args: int) -> bytes:
                data = super().recv(*args)
                with traffic.lock:
                    traffic.received += len(data)
                    traffic.reads += 1
                return data

        socket.socket = Counted  # type: ignore[misc]

    @property
    def now(self) -> tuple[int, int]:
        """Bytes sent and writes made so far."""
        with self.lock:
            return self.sent, self.writes


def load(
    senders: int, limits: int, per_s: int, seconds: float, mode: LimitMode = LimitMode.ADAPTIVE
) -> dict[str, float | str]:
    """Load a server in this process with calls of real clients in another process.

    Values are per second under load; ``held`` is the fraction of the calls that got no lease in time.
    """
    traffic = SocketTraffic()
    traffic.install()
    with tempfile.TemporaryDirectory() as name, running_server(limits, Path(name), mode) as server:
        line = [sys.executable, "-m", "benchmarks.capacity.mechanism", str(Path(name) / "allot")]
        line += [str(senders), str(limits), str(per_s), str(seconds)]
        driver = subprocess.Popen(line, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert driver.stdin is not None and driver.stdout is not None
        try:
            end = time.monotonic() + 20.0
            while len(server.members) < senders and time.monotonic() < end:
                time.sleep(0.05)
            time.sleep(1.0)  # senders that cannot read their welcome disconnect
            if len(server.members) < senders:
                return {"held": f"{len(server.members)} of {senders} senders could join"}
            driver.stdin.write("go\n")
            driver.stdin.flush()
            assert driver.stdout.readline() == "loaded\n"
            cpu, (sent, writes) = time.process_time(), traffic.now
            values: dict[str, float | str] = json.loads(driver.stdout.readline())
            cpu, (sent2, writes2) = time.process_time() - cpu, traffic.now
        finally:
            driver.kill()
            driver.wait()
    took = float(values.pop("took"))
    return values | {
        "server_ms": 1000.0 * cpu / took,
        "down_bytes": (sent2 - sent) / took,
        "down_writes": (writes2 - writes) / took,
    }


def _run_senders(path: Path, senders: int, limits: int, per_s: int, seconds: float) -> None:
    """The senders of ``load``: idle, then the load generator alone, then calls with limits."""
    traffic = SocketTraffic()
    traffic.install()
    log, _ = make_log("capacity", 1)
    shares = [FleetShares(path, name, epoch, log) for name, epoch in owners(senders)]
    sys.stdin.readline()
    pool, rng = ThreadPoolExecutor(64), random.Random(1)
    for _ in pool.map(lambda _: time.sleep(0.01), range(64)):
        pass

    def call(group: int) -> bool:
        endpoint = Endpoint(1, "s-1", "127.0.0.1", group, group, False, 1)
        chosen = shares[rng.randrange(senders)]
        return group == NO_CALL or chosen.acquire(endpoint) > 0.0

    def phase(controlled: bool, rate: int, length: float) -> tuple[float, int, int]:
        """CPU time (s), the number of calls, and of those without a lease."""
        started, cpu = time.monotonic(), time.process_time()
        futures: list[Future[bool]] = []
        while (now := time.monotonic()) < started + length:
            while len(futures) < rate * (now - started):
                futures.append(pool.submit(call, rng.randrange(limits) if controlled else NO_CALL))
            time.sleep(0.002)
        rejected = sum(not one.result() for one in futures)
        return time.process_time() - cpu, len(futures), rejected

    idle = phase(False, 0, 1.0)[0]
    overhead = phase(False, per_s, seconds)[0] / seconds - idle
    print("loaded", flush=True)
    (sent, writes), started = traffic.now, time.monotonic()
    cpu, made, rejected = phase(True, per_s, seconds)
    took, (sent2, writes2) = time.monotonic() - started, traffic.now
    values = {
        "took": took,
        "sender_ms": 1000.0 * (cpu / took - overhead),
        "up_bytes": (sent2 - sent) / took,
        "up_writes": (writes2 - writes) / took,
        "held": rejected / max(made, 1),
    }
    print(json.dumps(values), flush=True)
    sys.stdin.readline()


def join_at_once(joiners: int, limits: int) -> dict[str, float | str]:
    """Register bare connections simultaneously; the time until all have received a readable welcome."""
    with tempfile.TemporaryDirectory() as name, running_server(limits, Path(name)):
        selector, welcomed, refused = DefaultSelector(), 0, 0
        started, cpu = time.monotonic(), time.process_time()
        for owner in owners(joiners):
            sock = socket.socket(socket.AF_UNIX)
            sock.connect(str(Path(name) / "allot"))
            sock.sendall(encode(_registration(owner)))
            selector.register(sock, EVENT_READ, (sock, Lines()))
        while welcomed + refused < joiners and time.monotonic() < started + 60.0:
            for item, _ in selector.select(0.1):
                connection, lines = item.data
                try:
                    data = connection.recv(1 << 20)
                    done, lost = bool(lines.feed(data)), not data
                except (OSError, Unreadable):
                    done, lost = False, True
                welcomed, refused = welcomed + done, refused + lost
                if done or lost:
                    selector.unregister(connection)
        took, cpu = time.monotonic() - started, time.process_time() - cpu
    if welcomed < joiners:
        return {"took_ms": f"{welcomed} of {joiners} were told a line that can be read"}
    return {"took_ms": 1000.0 * took, "cpu_ms": 1000.0 * cpu}


def requests_cpu_s(limits: int, requests: int, reports: int) -> float:
    """The server's CPU time (s) for separate requests that report unknown leases."""
    with tempfile.TemporaryDirectory() as name, running_server(limits, Path(name)):
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(Path(name) / "allot"))
        sock.sendall(encode(_registration(SINGLE_OWNER)))
        _read_line(sock)
        line, last = report_line(reports) if reports else encode(LeaseRequest()), encode(UseReport(1))
        cpu = time.process_time()
        for _ in range(requests):
            sock.sendall(line)
        sock.sendall(last)
        _read_line(sock)  # acknowledges the last report
        return time.process_time() - cpu


def _read_line(sock: socket.socket) -> None:
    """Read until the end of a line."""
    data = b""
    while not data.endswith(b"\n"):
        if not (data := sock.recv(1 << 20)):
            raise ConnectionError("server closed the connection")


if __name__ == "__main__":
    _run_senders(Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5]))
