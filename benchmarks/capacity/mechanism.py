"""The allocator, the lease cache and their coding, as the measurements use them: all that touches their API.

The rest of the package goes through this module, so that a change of that API is followed here alone. Rows
labelled ``before`` were measured with the version of this module that went with the program before.
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

CALLS, SPAN_MS = 200, 2_000.0  # far above the demand of any measurement: nothing waits for it
PLENTY = Limit(CALLS, SPAN_MS, LimitMode.ADAPTIVE)
NO_CALL = -1  # the harness alone, which asks for nothing
ALONE = ("n0", 1)


def wide_limit() -> Limit:
    """A limit that no measurement reaches, in calls of one span."""
    return Limit(10_000_000, 2_000.0)


def keys(count: int) -> list[str]:
    """Keys of so many destinations."""
    return [f"g{number}" for number in range(count)]


def owners(count: int) -> list[Owner]:
    """So many senders."""
    return [(f"n{number:04}", 1) for number in range(count)]


def plenty(count: int, mode: LimitMode) -> dict[str, Limit]:
    """Limits of so many destinations."""
    return dict.fromkeys(keys(count), Limit(CALLS, SPAN_MS, mode))


def allocator_of(limits: int, limit: Limit = PLENTY) -> Allocator:
    """An allocator that knows so many limits; leases of all of them are asked for and given."""
    made = Allocator()
    for key in keys(limits):
        made.set_limit(key, limit)
    return made


class Decisions:
    """All decisions about so many adaptive limits, and one sender that calls some of them."""

    def __init__(self, limits: int) -> None:
        self._now, self._sequence, self._epoch = 1_000.0, 0, 1
        known = plenty(limits, LimitMode.ADAPTIVE)
        self._control = AllocatorControl("", LimitMode.ADAPTIVE, known, Allocator(), self._now)
        self._register()

    def _register(self) -> bytes:
        self._control.register(self._now, _hello(("n0", self._epoch)))
        return self._said()

    def _said(self) -> bytes:
        told = self._control.take_messages()
        return b"".join(encode(message) for messages in told.values() for message in messages)

    def join(self) -> bytes:
        """The sender begins anew; what it is sent."""
        self._epoch += 1
        self._sequence = 0
        return self._register()

    def tick(self, used: Sequence[str]) -> bytes:
        """An interval later: the sender reports a call of each of some keys; what it is sent."""
        self._now += 2_500.0
        self._sequence += 1
        report = UseReport(self._sequence, 5.0, dict.fromkeys(used, 1))
        self._control.received(self._now, ("n0", self._epoch), report)
        self._control.grant(self._now, self._control.tick(self._now))
        return self._said()


def lease_each(allocator: Allocator, now: float, who: Sequence[Owner], what: Sequence[str]) -> list[Lease]:
    """A lease of one call for each pair of sender and limit."""
    for key in what:
        for owner in who:
            allocator.set_demand(now, owner, key, 1)
    return allocator.allocate(now)


def report_all(allocator: Allocator, now: float, leases: Sequence[Lease]) -> None:
    """The leases are used up."""
    for lease in leases:
        allocator.report(now, lease.owner, lease.key, lease.serial, lease.calls, now)


def share_taken_over_ms(sharers: int) -> float:
    """One of the senders that share a limit falls silent with its leases: until the others were given 0.9 of
    the limit within a span. Virtual time.
    """
    limit, tick_ms = Limit(400, 2_000.0), 5.0
    allocator = Allocator()
    allocator.set_limit("g0", limit)
    who, given = owners(sharers), list[tuple[float, int]]()
    dies_at, now = 6_000.0, 0.0
    while now < 60_000.0:
        now += tick_ms
        alive = who if now < dies_at else who[1:]
        for owner in alive:
            allocator.set_demand(now, owner, "g0", limit.calls)
        leases = [lease for lease in allocator.allocate(now) if lease.owner in alive]
        report_all(allocator, now, leases)
        given += [(now, sum(lease.calls for lease in leases if lease.owner != who[0]))]
        given = [one for one in given if one[0] > now - limit.span_ms]
        if now > dies_at and sum(calls for _, calls in given) >= 0.9 * limit.calls:
            return now - dies_at
    return 60_000.0


# Coding


def request_line(wants: int) -> bytes:
    """What a sender sends that waits for one call to each of so many destinations."""
    return encode(LeaseRequest(dict.fromkeys(keys(wants), 1)))


def report_line(reports: int) -> bytes:
    """What a sender sends that is done with so many leases."""
    made = (LeaseReport(key, 1_000_000 + n, 1, 1_234_567.891) for n, key in enumerate(keys(reports)))
    return encode(LeaseRequest({}, tuple(made)))


def use_line(used: int) -> bytes:
    """What a sender sends that made a call to each of so many destinations without a lease."""
    return encode(UseReport(1_000, 12.5, dict.fromkeys(keys(used), 1)))


def lease_lines(leases: int) -> bytes:
    """What the allocator sends for so many leases of one tick."""
    made = (GrantedLease(key, 1_000_000 + n, 1, 1_234_567.891, 100.0) for n, key in enumerate(keys(leases)))
    return encode(LeaseGrants(tuple(made)))


def join_lines(limits: int) -> bytes:
    """What the allocator sends to a sender that joins."""
    return Decisions(limits).join()


def _hello(who: Owner) -> Register:
    return Register(PROTOCOL_VERSION, "", *who)


def decode(data: bytes) -> int:
    """Read lines as a peer would; the number of messages. Raises the coding's error where it refuses them."""
    return len(Lines().feed(data))


# Records of leases


def record_of(folder: Path, leases: int) -> int:
    """A record of so many leases on 1,000 destinations; its bytes."""
    record = LeaseRecord(folder, 1e9)
    now, known = SYSTEM.now(), keys(1_000)
    made = [Lease(n + 1, ("n0000", 1), known[n % 1_000], 1, now + 200.0) for n in range(leases)]
    for first in range(0, leases, 20):
        record.append(made[first : first + 20], now)
    record.close()
    return sum(path.stat().st_size for path in folder.glob("leases.*"))


def append_s(folder: Path, leases: int) -> float:
    """Seconds of processor time to put leases on record one by one."""
    record, now = LeaseRecord(folder, 2_000.0), SYSTEM.now()
    made = [Lease(n + 1, ("n0000", 1), "g1000", 1, now + 200.0) for n in range(leases)]
    begun = time.process_time()
    for lease in made:
        record.append([lease], now)
    return time.process_time() - begun


# A server and its load


@contextmanager
def serving(limits: int, folder: Path, mode: LimitMode = LimitMode.ADAPTIVE) -> Iterator[AllocatorServer]:
    """A server with so many limits, on a socket in the folder."""
    log, _ = make_log("capacity", 1)
    path = folder / "allot"
    server = AllocatorServer(path, folder, plenty(limits, mode), log, default_mode=mode)
    try:
        yield server
    finally:
        server.close()


class Traffic:
    """Counts what goes over sockets of this process, at the socket's calls, whatever the coding."""

    def __init__(self) -> None:
        self.sent = self.received = self.writes = self.reads = 0
        self.lock = threading.Lock()

    def install(self) -> None:
        """Every socket made from now on is counted."""
        counts = self

        class Counted(socket.socket):
            def sendall(self, data: Any, *flags: int) -> None:
                with counts.lock:
                    counts.sent += len(data)
                    counts.writes += 1
                super().sendall(data, *flags)

            def send(self, data: Any, *flags: int) -> int:
                done = super().send(data, *flags)
                with counts.lock:
                    counts.sent += done
                    counts.writes += 1
                return done

            def recv(self, *args: int) -> bytes:
                data = super().recv(*args)
                with counts.lock:
                    counts.received += len(data)
                    counts.reads += 1
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
    """A server in this process, and senders with the real client in another that make calls at a rate.

    Values are per second of the loaded part; ``held`` is the part of the calls that got no lease in time.
    """
    traffic = Traffic()
    traffic.install()
    with tempfile.TemporaryDirectory() as name, serving(limits, Path(name), mode) as server:
        line = [sys.executable, "-m", "benchmarks.capacity.mechanism", str(Path(name) / "allot")]
        line += [str(senders), str(limits), str(per_s), str(seconds)]
        driver = subprocess.Popen(line, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert driver.stdin is not None and driver.stdout is not None
        try:
            end = time.monotonic() + 20.0
            while len(server.members) < senders and time.monotonic() < end:
                time.sleep(0.05)
            time.sleep(1.0)  # those that can't read what they are told leave again
            if len(server.members) < senders:
                return {"held": f"{len(server.members)} of {senders} senders could join"}
            driver.stdin.write("go\n")
            driver.stdin.flush()
            assert driver.stdout.readline() == "loaded\n"
            cpu, (sent, writes) = time.process_time(), traffic.now
            told: dict[str, float | str] = json.loads(driver.stdout.readline())
            cpu, (sent2, writes2) = time.process_time() - cpu, traffic.now
        finally:
            driver.kill()
            driver.wait()
    took = float(told.pop("took"))
    return told | {
        "server_ms": 1000.0 * cpu / took,
        "down_bytes": (sent2 - sent) / took,
        "down_writes": (writes2 - writes) / took,
    }


def _drive(path: Path, senders: int, limits: int, per_s: int, seconds: float) -> None:
    """The senders of ``load``: idle, then the harness without any call, then calls with limits."""
    traffic = Traffic()
    traffic.install()
    log, _ = make_log("capacity", 1)
    shares = [FleetShares(path, name, epoch, log) for name, epoch in owners(senders)]
    sys.stdin.readline()
    pool, rng = ThreadPoolExecutor(64), random.Random(1)
    for _ in pool.map(lambda _: time.sleep(0.01), range(64)):
        pass

    def call(group: int) -> bool:
        link = Endpoint(1, "s-1", "127.0.0.1", group, group, False, 1)
        chosen = shares[rng.randrange(senders)]
        return group == NO_CALL or chosen.acquire(link) > 0.0

    def phase(controlled: bool, rate: int, length: float) -> tuple[float, int, int]:
        """Processor time (s), calls made, and those that got no lease."""
        begun, cpu = time.monotonic(), time.process_time()
        made: list[Future[bool]] = []
        while (now := time.monotonic()) < begun + length:
            while len(made) < rate * (now - begun):
                made.append(pool.submit(call, rng.randrange(limits) if controlled else NO_CALL))
            time.sleep(0.002)
        held = sum(not one.result() for one in made)
        return time.process_time() - cpu, len(made), held

    idle = phase(False, 0, 1.0)[0]
    beside = phase(False, per_s, seconds)[0] / seconds - idle
    print("loaded", flush=True)
    (sent, writes), begun = traffic.now, time.monotonic()
    cpu, made, held = phase(True, per_s, seconds)
    took, (sent2, writes2) = time.monotonic() - begun, traffic.now
    told = {
        "took": took,
        "sender_ms": 1000.0 * (cpu / took - beside),
        "up_bytes": (sent2 - sent) / took,
        "up_writes": (writes2 - writes) / took,
        "held": held / max(made, 1),
    }
    print(json.dumps(told), flush=True)
    sys.stdin.readline()


def join_at_once(joiners: int, limits: int) -> dict[str, float | str]:
    """So many bare connections register at once: until all are welcomed with a line that can be read."""
    with tempfile.TemporaryDirectory() as name, serving(limits, Path(name)):
        selector, heard, refused = DefaultSelector(), 0, 0
        begun, cpu = time.monotonic(), time.process_time()
        for who in owners(joiners):
            sock = socket.socket(socket.AF_UNIX)
            sock.connect(str(Path(name) / "allot"))
            sock.sendall(encode(_hello(who)))
            selector.register(sock, EVENT_READ, (sock, Lines()))
        while heard + refused < joiners and time.monotonic() < begun + 60.0:
            for item, _ in selector.select(0.1):
                link, lines = item.data
                try:
                    data = link.recv(1 << 20)
                    done, lost = bool(lines.feed(data)), not data
                except (OSError, Unreadable):
                    done, lost = False, True
                heard, refused = heard + done, refused + lost
                if done or lost:
                    selector.unregister(link)
        took, cpu = time.monotonic() - begun, time.process_time() - cpu
    if heard < joiners:
        return {"took_ms": f"{heard} of {joiners} were told a line that can be read"}
    return {"took_ms": 1000.0 * took, "cpu_ms": 1000.0 * cpu}


def requests_cpu_s(limits: int, requests: int, reports: int) -> float:
    """The server's processor time (s) for requests that report leases it does not know, one by one."""
    with tempfile.TemporaryDirectory() as name, serving(limits, Path(name)):
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(Path(name) / "allot"))
        sock.sendall(encode(_hello(ALONE)))
        _read_line(sock)
        line, last = report_line(reports) if reports else encode(LeaseRequest()), encode(UseReport(1))
        cpu = time.process_time()
        for _ in range(requests):
            sock.sendall(line)
        sock.sendall(last)
        _read_line(sock)  # which acknowledges the last one
        return time.process_time() - cpu


def _read_line(sock: socket.socket) -> None:
    """Read until a line is whole."""
    data = b""
    while not data.endswith(b"\n"):
        if not (data := sock.recv(1 << 20)):
            raise ConnectionError("the server ended the connection")


if __name__ == "__main__":
    _drive(Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5]))
