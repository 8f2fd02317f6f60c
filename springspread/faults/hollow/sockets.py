"""Hollow senders on real sockets: ``FleetShares`` in some processes against the real ``AllocatorServer``.

Calls are drawn by the same law as in virtual time, at their real moments; each waits for its right as the
program's does. The lines of ``RELAYED`` senders pass through a relay that counts them and their bytes. A
process's CPU and memory hold everything: threads, sockets, the interpreter, and the driver of calls, whose
own cost is measured by a process that has no senders' control (``control`` false).
"""

from __future__ import annotations

import multiprocessing
import os
import resource
import tempfile
import threading
import time
from array import array
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path

from springspread.core.clock import SYSTEM
from springspread.core.types import Endpoint
from springspread.faults.hollow.history import History
from springspread.faults.hollow.report import Row, spread
from springspread.faults.hollow.spans import SpanClass, find_spans
from springspread.faults.hollow.traffic import Traffic, TrafficLaw, key_of
from springspread.faults.relay import Direction, Relay
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares
from springspread.logs import make_log

RELAYED = 10  # senders whose lines are counted
HELD_UP_MS = 3.0  # a call whose right took longer was held up
THREADS = 24  # that make calls, in each process
CLOSE_S = 30.0
STRETCH_MS = 100.0


@dataclass(frozen=True, slots=True)
class SocketPlan:
    """What to play: ``seconds`` are measured, after ``warm_s``."""

    senders: int
    processes: int
    law: TrafficLaw
    seconds: float
    warm_s: float = 3.0
    seed: int = 1
    control: bool = True


@dataclass(slots=True)
class Played:
    """What one process of senders tells. Times are ms of the machine's monotonic clock."""

    times: array[float] = field(default_factory=lambda: array("d"))
    destinations: array[int] = field(default_factory=lambda: array("q"))
    senders: array[int] = field(default_factory=lambda: array("q"))
    waits: array[float] = field(default_factory=lambda: array("d"))  # of all calls, ms
    given_up: int = 0
    late_ms: float = 0.0  # the most that the driver was late
    cpu_s: float = 0.0
    memory_mb: float = 0.0


class SenderProcess:
    """Some hollow senders in this process."""

    def __init__(self, plan: SocketPlan, number: int, paths: dict[int, Path], begin: float) -> None:
        """``paths``: the socket of each sender that lives here; ``begin``: when calls begin."""
        self._plan, self._begin = plan, begin
        self._traffic = Traffic(plan.law, plan.senders, plan.seed)
        log, _ = make_log(f"hollow-{number}", 100, {"RELAY_LOG_LEVEL": "error"})
        self._shares: dict[int, FleetShares | None] = {
            sender: FleetShares(path, f"n{sender:04}", 1, log) if plan.control else None
            for sender, path in paths.items()
        }
        self._lock = threading.Lock()
        self.played = Played()

    def play(self) -> Played:
        """Make the calls of these senders at their times."""
        plan, played = self._plan, self.played
        measured_from = self._begin + 1000.0 * plan.warm_s
        used = None
        with ThreadPoolExecutor(THREADS) as pool:
            at = 0.0
            while at < 1000.0 * (plan.warm_s + plan.seconds):
                if used is None and self._begin + at >= measured_from:
                    used = _cpu_s()
                calls = self._traffic.draw(at, STRETCH_MS)
                for when, sender, destination in zip(
                    calls.times, calls.senders, calls.destinations, strict=True
                ):
                    if sender in self._shares:
                        self._wait(self._begin + when)
                        pool.submit(self._call, sender, destination)
                at += STRETCH_MS
        played.cpu_s = _cpu_s() - (used or 0.0)
        played.memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        return played

    def _wait(self, until: float) -> None:
        left = until - SYSTEM.now()
        if left > 0.0:
            SYSTEM.sleep(left)
        self.played.late_ms = max(self.played.late_ms, -left)

    def _call(self, sender: int, destination: int) -> None:
        shares, since = self._shares[sender], SYSTEM.now()
        endpoint = Endpoint(1, "e", "127.0.0.1", 1, destination, False, 1)
        right = shares.acquire(endpoint) if shares is not None else since
        now = SYSTEM.now()
        if right and shares is not None and self._traffic.down[destination]:
            shares.failed(endpoint)
        with self._lock:
            self.played.waits.append(now - since)
            if not right:
                self.played.given_up += 1
                return
            self.played.times.append(now)
            self.played.destinations.append(destination)
            self.played.senders.append(sender)


def _play(plan: SocketPlan, number: int, paths: dict[int, Path], begin: float, told: Connection) -> None:
    told.send(SenderProcess(plan, number, paths, begin).play())
    os._exit(0)


def _allocate(plan: SocketPlan, path: Path, folder: Path, talk: Connection) -> None:
    """The allocator's process: it serves until it is told to end, and says what it used between two words."""
    traffic = Traffic(plan.law, plan.senders, plan.seed)
    limits = {key_of(number): traffic.limit(number) for number in range(plan.law.destinations)}
    log, _ = make_log("allocator", 100, {"RELAY_LOG_LEVEL": "error"})
    AllocatorServer(path, folder, limits, log, default_mode=plan.law.mode)
    talk.send(None)
    talk.recv()
    used = _cpu_s()
    talk.recv()
    talk.send((_cpu_s() - used, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0))
    os._exit(0)


class LineCounts:
    """Lines and bytes of one relayed sender, by direction, from ``begin`` to ``end`` (ms)."""

    def __init__(self, begin: float, end: float) -> None:
        self._begin, self._end = begin, end
        self.lines = dict.fromkeys(Direction, 0)
        self.bytes = dict.fromkeys(Direction, 0)

    def seen(self, way: Direction, line: bytes) -> None:
        """A line passes."""
        if self._begin <= SYSTEM.now() < self._end:
            self.lines[way] += 1
            self.bytes[way] += len(line)


def play_sockets(plan: SocketPlan) -> list[Row]:
    """Play it, and tell the figures."""
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory(prefix="springspread-hollow-") as name:
        folder = Path(name)
        daemon = folder / "allot"
        here, there = context.Pipe()
        allocator = context.Process(target=_allocate, args=(plan, daemon, folder, there))
        allocator.start()
        here.recv()
        begin = SYSTEM.now() + 4_000.0
        measured = (begin + 1000.0 * plan.warm_s, begin + 1000.0 * (plan.warm_s + plan.seconds))
        paths, counts, relays = _paths(plan, folder, daemon, measured)
        pipes, processes = _start(plan, paths, begin)
        _sleep_until(measured[0])
        here.send(None)
        played = [pipe.recv() for pipe in pipes]
        here.send(None)
        used = here.recv()
        for process in (*processes, allocator):
            process.join(CLOSE_S)
            process.kill()
        for relay in relays:
            relay.close()
    return _rows(plan, played, counts, used, begin)


def _paths(
    plan: SocketPlan, folder: Path, daemon: Path, measured: tuple[float, float]
) -> tuple[dict[int, Path], list[LineCounts], list[Relay]]:
    paths, counts, relays = dict.fromkeys(range(plan.senders), daemon), list[LineCounts](), list[Relay]()
    for sender in range(min(RELAYED, plan.senders) if plan.control else 0):
        paths[sender] = folder / f"r{sender}"
        relay, count = Relay(paths[sender], daemon), LineCounts(*measured)
        relay.line_listener = count.seen
        relays.append(relay)
        counts.append(count)
    return paths, counts, relays


def _start(
    plan: SocketPlan, paths: dict[int, Path], begin: float
) -> tuple[list[Connection], list[BaseProcess]]:
    context = multiprocessing.get_context("spawn")
    pipes: list[Connection] = []
    processes: list[BaseProcess] = []
    for number in range(plan.processes):
        own = {sender: path for sender, path in paths.items() if sender % plan.processes == number}
        here, there = context.Pipe()
        process = context.Process(target=_play, args=(plan, number, own, begin, there))
        process.start()
        pipes.append(here)
        processes.append(process)
    return pipes, processes


def _rows(
    plan: SocketPlan, played: list[Played], counts: list[LineCounts], used: tuple[float, float], begin: float
) -> list[Row]:
    seconds, senders = plan.seconds, plan.senders / plan.processes
    waits = [wait for one in played for wait in one.waits]
    calls = max(len(waits), 1)
    rows = [
        Row("fleet", "calls", "per second", calls / (seconds + plan.warm_s), "1/s"),
        Row("fleet", "driver late", "most", max(one.late_ms for one in played), "ms"),
        Row("fleet", "calls held up", "part of all", sum(x > HELD_UP_MS for x in waits) / calls, "1"),
        Row("fleet", "calls given up", "part of all", sum(one.given_up for one in played) / calls, "1"),
        *spread("fleet", "wait for a right", waits, "ms"),
        Row("sender", "processor with threads and driver", "mean", _percent(plan, played), "% of a core"),
        Row("sender", "memory of a process by its senders", "mean", _memory(played) / senders, "MB"),
        Row("allocator", "processor", "mean", 100.0 * used[0] / seconds, "% of a core"),
        Row("allocator", "memory", "most", used[1], "MB"),
    ]
    for way, name in ((Direction.UP, "up"), (Direction.DOWN, "down")) if counts else ():
        rows += spread("sender", f"lines {name}", [one.lines[way] / seconds for one in counts], "1/s")
        rows += spread("sender", f"payload {name}", [one.bytes[way] / seconds for one in counts], "B/s")
    return rows + _span_rows(plan, played, begin)


def _percent(plan: SocketPlan, played: list[Played]) -> float:
    return 100.0 * sum(one.cpu_s for one in played) / plan.seconds / plan.senders


def _memory(played: list[Played]) -> float:
    return sum(one.memory_mb for one in played) / len(played)


def _span_rows(plan: SocketPlan, played: list[Played], begin: float) -> list[Row]:
    """Statuses are not known from outside: all spans are one class."""
    history = History({})
    for one in played:
        history.times.extend(at - begin for at in one.times)
        history.destinations.extend(one.destinations)
    traffic = Traffic(plan.law, plan.senders, plan.seed)
    limits = [traffic.limit(number) for number in range(plan.law.destinations)]
    spans = find_spans(history, limits, [0] * len(limits), plan.law.span_ms)
    found = spans.fullest(SpanClass.FREE)
    return [
        Row("limit", "spans", "count", found.spans, "spans"),
        Row("limit", "spans", "most calls by N", found.ratio, "1"),
        Row("limit", "spans", "most calls by N + 2 root N + 2", found.ratio_tolerated, "1"),
        Row("limit", "spans", "above N", found.above, "spans"),
        Row("limit", "spans", "above N + 2 root N + 2", found.above_tolerated, "spans"),
    ]


def _sleep_until(until: float) -> None:
    time.sleep(max(until - SYSTEM.now(), 0.0) / 1000.0)


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
