"""Hollow senders on real sockets: ``FleetShares`` in several processes against the real ``AllocatorServer``.

Calls come from the same traffic model as in virtual time and are made in real time; each waits for a lease as
in the program. A relay counts the lines and bytes of the first ``RELAYED_SENDERS`` senders. The CPU time and
memory of a process include threads, sockets, the interpreter and the load generator; a run with ``control``
false measures the load generator alone.
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
from springspread.faults.hollow.report import Row, distribution_rows
from springspread.faults.hollow.spans import SpanClass, find_spans
from springspread.faults.hollow.traffic import Traffic, TrafficModel, key_of
from springspread.faults.relay import Direction, Relay
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares
from springspread.logs import make_log

RELAYED_SENDERS = 10  # senders whose lines are counted
HELD_UP_MS = 3.0  # calls that waited longer for a lease count as held up
CALL_THREADS = 24  # per process
JOIN_TIMEOUT_S = 30.0
BATCH_MS = 100.0


@dataclass(frozen=True, slots=True)
class SocketPlan:
    """Parameters of a run: ``seconds`` are measured, after ``warmup_s``."""

    senders: int
    processes: int
    model: TrafficModel
    seconds: float
    warmup_s: float = 3.0
    seed: int = 1
    control: bool = True


@dataclass(slots=True)
class ProcessResult:
    """Measurements of one process of senders. Times are in ms of the machine's monotonic clock."""

    times: array[float] = field(default_factory=lambda: array("d"))
    destinations: array[int] = field(default_factory=lambda: array("q"))
    senders: array[int] = field(default_factory=lambda: array("q"))
    waits: array[float] = field(default_factory=lambda: array("d"))  # of all calls, ms
    given_up: int = 0
    late_ms: float = 0.0  # maximum lag of the load generator
    cpu_s: float = 0.0
    memory_mb: float = 0.0


class SenderProcess:
    """The hollow senders of this process."""

    def __init__(self, plan: SocketPlan, number: int, paths: dict[int, Path], begin: float) -> None:
        """``paths``: the socket path of each sender in this process; ``begin``: when calls begin."""
        self._plan, self._begin = plan, begin
        self._traffic = Traffic(plan.model, plan.senders, plan.seed)
        log, _ = make_log(f"hollow-{number}", 100, {"RELAY_LOG_LEVEL": "error"})
        self._shares: dict[int, FleetShares | None] = {
            sender: FleetShares(path, f"n{sender:04}", 1, log) if plan.control else None
            for sender, path in paths.items()
        }
        self._lock = threading.Lock()
        self.result = ProcessResult()

    def run(self) -> ProcessResult:
        """Make the calls of these senders at their scheduled times."""
        plan, result = self._plan, self.result
        measured_from = self._begin + 1000.0 * plan.warmup_s
        used = None
        with ThreadPoolExecutor(CALL_THREADS) as pool:
            at = 0.0
            while at < 1000.0 * (plan.warmup_s + plan.seconds):
                if used is None and self._begin + at >= measured_from:
                    used = _cpu_s()
                calls = self._traffic.draw(at, BATCH_MS)
                for when, sender, destination in zip(
                    calls.times, calls.senders, calls.destinations, strict=True
                ):
                    if sender in self._shares:
                        self._wait(self._begin + when)
                        pool.submit(self._call, sender, destination)
                at += BATCH_MS
        result.cpu_s = _cpu_s() - (used or 0.0)
        result.memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        return result

    def _wait(self, until: float) -> None:
        left = until - SYSTEM.now()
        if left > 0.0:
            SYSTEM.sleep(left)
        self.result.late_ms = max(self.result.late_ms, -left)

    def _call(self, sender: int, destination: int) -> None:
        shares, since = self._shares[sender], SYSTEM.now()
        endpoint = Endpoint(1, "e", "127.0.0.1", 1, destination, False, 1)
        granted = shares.acquire(endpoint) if shares is not None else since
        now = SYSTEM.now()
        if granted and shares is not None and self._traffic.down[destination]:
            shares.failed(endpoint)
        with self._lock:
            self.result.waits.append(now - since)
            if not granted:
                self.result.given_up += 1
                return
            self.result.times.append(now)
            self.result.destinations.append(destination)
            self.result.senders.append(sender)


def _run_senders(
    plan: SocketPlan, number: int, paths: dict[int, Path], begin: float, pipe: Connection
) -> None:
    pipe.send(SenderProcess(plan, number, paths, begin).run())
    os._exit(0)


def _run_allocator(plan: SocketPlan, path: Path, folder: Path, pipe: Connection) -> None:
    """The allocator's process: reports the CPU time between two messages from the parent, then exits."""
    traffic = Traffic(plan.model, plan.senders, plan.seed)
    limits = {key_of(number): traffic.limit(number) for number in range(plan.model.destinations)}
    log, _ = make_log("allocator", 100, {"RELAY_LOG_LEVEL": "error"})
    AllocatorServer(path, folder, limits, log, default_mode=plan.model.mode)
    pipe.send(None)
    pipe.recv()
    used = _cpu_s()
    pipe.recv()
    pipe.send((_cpu_s() - used, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0))
    os._exit(0)


class LineCounts:
    """Lines and bytes of one relayed sender, by direction, from ``begin`` to ``end`` (ms)."""

    def __init__(self, begin: float, end: float) -> None:
        self._begin, self._end = begin, end
        self.lines = dict.fromkeys(Direction, 0)
        self.bytes = dict.fromkeys(Direction, 0)

    def count_line(self, way: Direction, line: bytes) -> None:
        """Count a line if it passes within the measured time."""
        if self._begin <= SYSTEM.now() < self._end:
            self.lines[way] += 1
            self.bytes[way] += len(line)


def run_on_sockets(plan: SocketPlan) -> list[Row]:
    """Run the plan and return the measurements."""
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory(prefix="springspread-hollow-") as name:
        folder = Path(name)
        daemon = folder / "allot"
        parent_end, child_end = context.Pipe()
        allocator = context.Process(target=_run_allocator, args=(plan, daemon, folder, child_end))
        allocator.start()
        parent_end.recv()
        begin = SYSTEM.now() + 4_000.0
        measured = (begin + 1000.0 * plan.warmup_s, begin + 1000.0 * (plan.warmup_s + plan.seconds))
        paths, counts, relays = _paths(plan, folder, daemon, measured)
        pipes, processes = _start(plan, paths, begin)
        _sleep_until(measured[0])
        parent_end.send(None)
        results = [pipe.recv() for pipe in pipes]
        parent_end.send(None)
        used = parent_end.recv()
        for process in (*processes, allocator):
            process.join(JOIN_TIMEOUT_S)
            process.kill()
        for relay in relays:
            relay.close()
    return _rows(plan, results, counts, used, begin)


def _paths(
    plan: SocketPlan, folder: Path, daemon: Path, measured: tuple[float, float]
) -> tuple[dict[int, Path], list[LineCounts], list[Relay]]:
    paths, counts, relays = dict.fromkeys(range(plan.senders), daemon), list[LineCounts](), list[Relay]()
    for sender in range(min(RELAYED_SENDERS, plan.senders) if plan.control else 0):
        paths[sender] = folder / f"r{sender}"
        relay, count = Relay(paths[sender], daemon), LineCounts(*measured)
        relay.line_listener = count.count_line
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
        parent_end, child_end = context.Pipe()
        process = context.Process(target=_run_senders, args=(plan, number, own, begin, child_end))
        process.start()
        pipes.append(parent_end)
        processes.append(process)
    return pipes, processes


def _rows(
    plan: SocketPlan,
    results: list[ProcessResult],
    counts: list[LineCounts],
    used: tuple[float, float],
    begin: float,
) -> list[Row]:
    seconds, senders = plan.seconds, plan.senders / plan.processes
    waits = [wait for one in results for wait in one.waits]
    calls = max(len(waits), 1)
    rows = [
        Row("fleet", "calls", "per second", calls / (seconds + plan.warmup_s), "1/s"),
        Row("fleet", "driver late", "most", max(one.late_ms for one in results), "ms"),
        Row("fleet", "calls held up", "part of all", sum(x > HELD_UP_MS for x in waits) / calls, "1"),
        Row("fleet", "calls given up", "part of all", sum(one.given_up for one in results) / calls, "1"),
        *distribution_rows("fleet", "wait for a right", waits, "ms"),
        Row("sender", "processor with threads and driver", "mean", _percent(plan, results), "% of a core"),
        Row("sender", "memory of a process by its senders", "mean", _memory(results) / senders, "MB"),
        Row("allocator", "processor", "mean", 100.0 * used[0] / seconds, "% of a core"),
        Row("allocator", "memory", "most", used[1], "MB"),
    ]
    for way, name in ((Direction.UP, "up"), (Direction.DOWN, "down")) if counts else ():
        rows += distribution_rows(
            "sender", f"lines {name}", [one.lines[way] / seconds for one in counts], "1/s"
        )
        rows += distribution_rows(
            "sender", f"payload {name}", [one.bytes[way] / seconds for one in counts], "B/s"
        )
    return rows + _span_rows(plan, results, begin)


def _percent(plan: SocketPlan, results: list[ProcessResult]) -> float:
    return 100.0 * sum(one.cpu_s for one in results) / plan.seconds / plan.senders


def _memory(results: list[ProcessResult]) -> float:
    return sum(one.memory_mb for one in results) / len(results)


def _span_rows(plan: SocketPlan, results: list[ProcessResult], begin: float) -> list[Row]:
    """All spans are of one class, as the statuses of limits are not visible from outside."""
    history = History({})
    for one in results:
        history.times.extend(at - begin for at in one.times)
        history.destinations.extend(one.destinations)
    traffic = Traffic(plan.model, plan.senders, plan.seed)
    limits = [traffic.limit(number) for number in range(plan.model.destinations)]
    spans = find_spans(history, limits, [0] * len(limits), plan.model.span_ms)
    found = spans.stats(SpanClass.FREE)
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
