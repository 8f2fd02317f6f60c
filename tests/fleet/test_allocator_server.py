"""The allocator on its socket: limits hold over real threads, its replacement and a frozen instance."""

from __future__ import annotations

import socket
import threading
import time
from bisect import bisect_left
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from springspread.core.clock import SYSTEM
from springspread.core.types import Endpoint, Load
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares, key_of
from springspread.fleet.limits import Limit
from springspread.fleet.messages import PROTOCOL_VERSION, LeaseRequest, Register
from springspread.fleet.wire import write
from tests.peer import until

SPAN_MS = 400.0
LINK = Endpoint(1, "s-1", "127.0.0.1", 1, 1, False, 1)
FREE = Endpoint(2, "s-2", "127.0.0.1", 1, 2, False, 1)
APART = Endpoint(3, "s-3", "127.0.0.1", 1, 3, True, 1)


class Quiet:
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
        self.server = AllocatorServer(self.path, folder, limits, Quiet())
        self.shares: list[FleetShares] = []

    def join(self, name: str, epoch: int = 1) -> FleetShares:
        self.shares.append(FleetShares(self.path, name, epoch, Quiet()))
        return self.shares[-1]

    def replace(self) -> None:
        self.server.close()
        self.server = AllocatorServer(self.path, self.folder, self.limits, Quiet())

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
        frozen.sendall(write(Register(PROTOCOL_VERSION, "", "frozen", 1)))
        until(lambda: place.server.members == [("frozen", 1)], "its hello")
        for _ in range(200):
            frozen.sendall(write(LeaseRequest({"g1": 1})))
        callers = Callers([place.join("n0")])
        until(lambda: len(callers.made) >= 8, "calls of another")
        callers.stop()


def test_without_an_allocator_nothing_limited_is_called(tmp_path: Path) -> None:
    alone = FleetShares(tmp_path / "none", "n0", 1, Quiet())
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
            place.path, place.folder, place.limits, Quiet(), began_before=spoil is Path.unlink
        )
    until(lambda: len(callers.made) >= 35, "calls with the last one")
    callers.stop()
    assert callers.most() <= 8
