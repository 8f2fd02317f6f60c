"""Calls to server links: worker threads, and the connections that are kept for the next call."""

from __future__ import annotations

import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue

from springspread.config import Limits
from springspread.core.clearance import Clearance
from springspread.core.types import (
    Call,
    CoreEvent,
    Execution,
    ExecutionEnd,
    LinkState,
    Load,
    Log,
    ProbeEnd,
    Result,
    ServerLink,
    clock,
)
from springspread.http1.message import Malformed
from springspread.net.exchange import BrokenError, Connection, LateError
from springspread.net.threads import spawn
from springspread.platform import delivery

SWEEP_S = 0.25
PROBE_MS = 1_500.0


class Kept:
    """Idle connections by link, the last used first."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._lock = threading.Lock()
        self._idle: dict[int, list[Connection]] = {}

    def take(self, link: ServerLink) -> Connection | None:
        """A connection that is still good."""
        while True:
            with self._lock:
                idle = self._idle.get(link.number)
                connection = idle.pop() if idle else None
            if connection is None:
                return None
            # Guards unsafe messages: a request on a connection that the other side has closed is a reset.
            young = clock() - connection.idle_since < self._limits.idle_ms
            same = connection.address == (link.host, link.port)
            if young and same and connection.alive():
                return connection
            connection.close()

    def give(self, link: ServerLink, connection: Connection) -> None:
        """Keep a connection, unless its link is gone."""
        if link.state is LinkState.GONE:
            connection.close()
            return
        with self._lock:
            self._idle.setdefault(link.number, []).append(connection)
            count = sum(map(len, self._idle.values()))
            oldest = None
            if count > self._limits.idle_connections:
                lines = [line for line in self._idle.values() if line]
                oldest = min(lines, key=lambda line: line[0].idle_since).pop(0)
        if oldest is not None:
            oldest.close()

    def sweep(self) -> None:
        """Close what has stood idle for long."""
        now = clock()
        with self._lock:
            old = [
                connection
                for line in self._idle.values()
                for connection in line
                if now - connection.idle_since >= self._limits.idle_ms
            ]
            lines = {
                number: [connection for connection in line if connection not in old]
                for number, line in self._idle.items()
            }
            self._idle = {number: line for number, line in lines.items() if line}
        for connection in old:
            connection.close()

    def drop(self, link: ServerLink) -> None:
        """Close all that is kept for a link."""
        with self._lock:
            idle = self._idle.pop(link.number, [])
        for connection in idle:
            connection.close()


class Workers:
    """Carries out calls, one a thread at a time."""

    def __init__(
        self,
        limits: Limits,
        slots: int,
        report: tuple[str, ...],
        clearance: Clearance,
        put: Callable[[CoreEvent], None],
        log: Log,
    ) -> None:
        self._limits, self._report, self._clearance = limits, report, clearance
        self._put, self._log = put, log
        self._jobs: SimpleQueue[Call] = SimpleQueue()
        self._kept = Kept(limits)
        self._lock = threading.Lock()
        self._open: dict[Call, Connection] = {}
        for n in range(min(slots + 1, limits.workers + 1)):  # one more, so that a probe need not wait
            spawn(f"worker-{n}", self._work, log)

    def start(self, call: Call) -> None:
        """Begin a call, or a probe where it has no executions."""
        self._jobs.put(call)

    def cancel(self, call: Call) -> None:
        """Close the call's connection."""
        call.cancelled.set()
        with self._lock:
            connection = self._open.get(call)
        if connection is not None:
            connection.cut()

    def close_idle(self, link: ServerLink) -> None:
        """Close the kept connections to a link."""
        self._kept.drop(link)

    def _work(self) -> None:
        while True:
            try:
                call = self._jobs.get(timeout=SWEEP_S)
            except Empty:
                self._kept.sweep()
                continue
            try:
                self._carry(call) if call.executions else self._probe(call)
            except Exception as exc:  # an end must come of every call, and the thread must live on
                self._log.error("call failed", link=call.link.name, error=repr(exc), exc_info=True)
                self._end_all(call, Result.BROKEN)

    def _end(
        self,
        call: Call,
        run: Execution,
        result: Result,
        wait_ms: float = 0.0,
        load: Load | None = None,
        over: bool = False,
    ) -> None:
        if not run.done:
            run.done = True
            self._put(ExecutionEnd(call, run, result, clock(), wait_ms, load or Load(), over))

    def _end_all(self, call: Call, result: Result, wait_ms: float = 0.0) -> None:
        for run in call.executions:
            self._end(call, run, result, wait_ms)

    def _connect(self, call: Call, until: float) -> Connection | None:
        connection = self._kept.take(call.link)
        if connection is not None:
            return connection
        until = min(until, call.sent_at + self._limits.connect_ms)
        try:
            return Connection((call.link.host, call.link.port), until, self._limits, delivery.OPTIONAL)
        except OSError:
            return None

    def _carry(self, call: Call) -> None:
        connection = self._connect(call, call.until)
        if connection is None:
            self._end_all(call, Result.NOT_CONNECTED)
            return
        with self._lock:
            self._open[call] = connection
        keep = False
        try:
            keep = self._exchange(call, connection)
        finally:
            with self._lock:
                del self._open[call]
            self._kept.give(call.link, connection) if keep else connection.close()

    def _exchange(self, call: Call, connection: Connection) -> bool:
        refused = self._clearance.refuses(call)
        if refused is not None:
            self._end_all(call, *refused)
            return refused[0] is not Result.CANCELLED
        out = delivery.write_call(call, clock())
        try:
            connection.write(out.method, out.target, out.headers, out.body, call.until)
        except OSError:
            self._end_all(call, Result.CANCELLED if call.cancelled.is_set() else Result.NOT_CONNECTED)
            return False
        try:
            while (waiting := [run for run in call.executions if not run.done]):
                try:
                    answer = connection.read(min(run.until for run in waiting))
                except LateError:
                    now = clock()
                    late = [run for run in waiting if run.until <= now]
                    if len(late) == len(waiting):
                        connection.cut()  # before the slot is free again, so that the link sees it first
                    for run in late:
                        self._end(call, run, delivery.read_part(call, connection.status, Result.TIMED_OUT))
                    continue
                reading = delivery.read_answer(call, answer, self._report)
                self._read(call, reading)
                return connection.reusable and not reading.fault
        except (BrokenError, Malformed) as exc:
            result = Result.BROKEN
            if isinstance(exc, Malformed):
                self._log.warning("bad answer", link=call.link.name, fault=str(exc))
                result = Result.SPOILT
            result = Result.CANCELLED if call.cancelled.is_set() else result
            self._end_all(call, delivery.read_part(call, connection.status, result))
        return False

    def _read(self, call: Call, reading: delivery.Reading) -> None:
        if reading.wait_ms > 0:
            self._clearance.bar(call.link, reading.wait_ms)
        if reading.fault:
            self._log.warning("odd answer", link=call.link.name, fault=reading.fault)
        for end in reading.ends:
            self._end(call, end.execution, end.result, reading.wait_ms, reading.load, end.over)

    def _probe(self, call: Call) -> None:
        until = call.sent_at + PROBE_MS
        result, load = Result.NOT_CONNECTED, Load()
        connection = self._connect(call, until)
        if connection is not None:
            out = delivery.write_call(call, clock())
            try:
                connection.write(out.method, out.target, out.headers, out.body, until)
                result = Result.BROKEN
                answer = connection.read(until)
                result = Result.DELIVERED if answer.status == 200 else Result.THROTTLED
                load = delivery.read_load(answer.headers, self._report)
            except LateError:
                result = Result.TIMED_OUT
            except (OSError, BrokenError, Malformed):
                pass
            connection.close()
        self._put(ProbeEnd(call.link, result, clock() - call.sent_at, load))
