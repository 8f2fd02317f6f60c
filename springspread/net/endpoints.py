"""Calls to server endpoints: worker threads, and the connections that are kept for the next call."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum
from functools import partial
from queue import Empty, SimpleQueue

from springspread.config import Limits
from springspread.core.clearance import Clearance, Refusal
from springspread.core.figures import Figure, Figures, Occurrence
from springspread.core.reuse import Bounds, Reuse
from springspread.core.types import (
    Attempt,
    AttemptEnd,
    Call,
    CoreEvent,
    Endpoint,
    EndpointState,
    Load,
    Log,
    ProbeEnd,
    Result,
    clock,
)
from springspread.http1.message import Malformed
from springspread.net.exchange import BrokenError, Connection, LateError
from springspread.net.threads import spawn
from springspread.platform import delivery

SWEEP_S = 0.25
PROBE_MS = 1_500.0


class StaleError(Exception):
    """A kept connection was dead before a call's last byte: the call has not begun."""


class Closed(Enum):
    """Why a connection to an endpoint was closed."""

    FINISHED = "finished"  # its call left it in no state for another one
    IDLE = "idle"
    STALE = "stale"  # found dead, or too likely to be, as it was to be used again
    SURPLUS = "surplus"  # more were kept than there may be
    ENDPOINT_GONE = "endpoint gone"


class ConnectionPool:
    """Idle connections by endpoint, the last used first."""

    def __init__(self, limits: Limits, figures: Figures) -> None:
        self._limits, self._figures = limits, figures
        self._reuse = Reuse(Bounds(limits.reuse_once, limits.reuse_repeat))
        self._lock = threading.Lock()
        self._idle: dict[int, list[Connection]] = {}

    def take(self, endpoint: Endpoint, once: bool) -> Connection | None:
        """A connection that is still good, and good enough for a call that may run once, or for others."""
        while True:
            with self._lock:
                idle, now = self._idle.get(endpoint.number), clock()
                if not idle or not self._reuse.may(endpoint.number, now - idle[-1].idle_since, once, now):
                    return None
                connection = idle.pop()
                connection.idle_ms = now - connection.idle_since
            # Guards unsafe messages: a request on a connection that the other side has closed is a reset.
            young = clock() - connection.idle_since < self._limits.idle_ms
            same = connection.address == (endpoint.host, endpoint.port)
            if young and same and connection.alive():
                return connection
            self.close(connection, Closed.STALE if young else Closed.IDLE)

    def heard(self, endpoint: Endpoint, idle_ms: float | None, broke: bool) -> None:
        """A call's connection has broken or served; ``idle_ms`` is how long it had stood idle, if at all."""
        with self._lock:
            if endpoint.state is not EndpointState.GONE:  # nothing is kept of what is gone
                self._reuse.note(endpoint.number, idle_ms, broke, clock())

    def release(self, endpoint: Endpoint, connection: Connection) -> None:
        """Keep a connection, unless its endpoint is gone.

        Where two events cross: whoever lets go of an endpoint marks it first, then drops what is kept under
        the lock under which its state is looked at here.
        """
        surplus: Connection | None = connection
        reason = Closed.ENDPOINT_GONE
        with self._lock:
            if endpoint.state is not EndpointState.GONE:
                reason = Closed.SURPLUS
                self._idle.setdefault(endpoint.number, []).append(connection)
                surplus = None
                if sum(map(len, self._idle.values())) > self._limits.idle_connections:
                    lines = [line for line in self._idle.values() if line]
                    surplus = min(lines, key=lambda line: line[0].idle_since).pop(0)
        if surplus is not None:
            self.close(surplus, reason)

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
            self.close(connection, Closed.IDLE)

    def close(self, connection: Connection, reason: Closed) -> None:
        """Close a connection and count why."""
        self._figures.occurred(Occurrence.CONNECTIONS_CLOSED, reason)
        connection.close()

    def drop(self, endpoint: Endpoint) -> None:
        """Close all that is kept for an endpoint."""
        with self._lock:
            idle = self._idle.pop(endpoint.number, [])
            if endpoint.state is EndpointState.GONE:
                self._reuse.forget(endpoint.number)
        reason = Closed.ENDPOINT_GONE if endpoint.state is EndpointState.GONE else Closed.IDLE
        for connection in idle:
            self.close(connection, reason)


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
        figures: Figures | None = None,
    ) -> None:
        self._figures = figures or Figures(())
        self._limits, self._report, self._clearance = limits, report, clearance
        self._put, self._log = put, log
        self._jobs: SimpleQueue[Call] = SimpleQueue()
        self._pool = ConnectionPool(limits, self._figures)
        self._lock = threading.Lock()
        self._open: dict[Call, Connection] = {}
        self._threads = 0
        self.grow(slots)

    def grow(self, slots: int) -> None:
        """Have as many workers as there are slots, and one more, so that a probe need not wait."""
        while self._threads < min(slots, self._limits.workers) + 1:
            spawn(f"worker-{self._threads}", self._work, self._log)
            self._threads += 1

    def start(self, call: Call) -> None:
        """Begin a call, or a probe where it has no attempts."""
        self._jobs.put(call)

    def cancel(self, call: Call) -> None:
        """Close the call's connection."""
        call.cancelled.set()
        with self._lock:
            connection = self._open.get(call)
        if connection is not None:
            connection.cut()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the kept connections to an endpoint."""
        self._pool.drop(endpoint)

    def _work(self) -> None:
        while True:
            try:
                call = self._jobs.get(timeout=SWEEP_S)
            except Empty:
                self._pool.sweep()
                continue
            try:
                self._carry(call) if call.attempts else self._probe(call)
            except Exception as exc:  # an end must come of every call, and the thread must live on
                self._log.error("call failed", endpoint=call.endpoint.name, error=repr(exc), exc_info=True)
                self._end_all(call, Result.BROKEN)

    def _end(
        self,
        call: Call,
        run: Attempt,
        result: Result,
        wait_ms: float = 0.0,
        load: Load | None = None,
        over: bool = False,
    ) -> None:
        if not run.done:
            run.done = True
            self._put(AttemptEnd(call, run, result, clock(), wait_ms, load or Load(), over))

    def _end_all(self, call: Call, result: Result, wait_ms: float = 0.0) -> None:
        for run in call.attempts:
            self._end(call, run, result, wait_ms)

    def _connect(self, call: Call, until: float) -> Connection | None:
        connection = self._pool.take(call.endpoint, call.once)
        return connection or self._new(call, until)

    def _new(self, call: Call, until: float) -> Connection | None:
        until = min(until, call.sent_at + self._limits.connect_ms)
        self._log.debug("connecting", endpoint=call.endpoint.name, group=call.endpoint.group)
        try:
            address = (call.endpoint.host, call.endpoint.port)
            return Connection(address, until, self._limits, delivery.OPTIONAL)
        except OSError:
            return None

    def _carry(self, call: Call) -> None:
        connection = self._connect(call, call.until)
        if connection is not None and not self._over(call, connection):
            # Nothing of the call has begun: it goes over a new connection, as if none had been kept.
            connection = self._new(call, call.until)
            if connection is not None:
                self._over(call, connection)
        if connection is None:
            self._end_all(call, Result.NOT_CONNECTED)

    def _over(self, call: Call, connection: Connection) -> bool:
        """Carry a call over a connection; false where that was kept, and dead before the call's last byte."""
        with self._lock:
            self._open[call] = connection
        keep = False
        try:
            keep = self._exchange(call, connection)
        except StaleError:
            return False
        finally:
            with self._lock:
                del self._open[call]
            if keep:
                self._pool.release(call.endpoint, connection)
            else:
                self._pool.close(connection, Closed.FINISHED)
        return True

    def _exchange(self, call: Call, connection: Connection) -> bool:
        refused = self._clearance.refuses(call)
        if refused is not None:
            self._withhold(call, refused)
            return refused.result is not Result.CANCELLED
        out = delivery.write_call(call, clock())
        clear = partial(self._clear, call) if call.once else None
        written = clock()
        self._log.debug(
            "begins",
            endpoint=call.endpoint.name,
            state=call.endpoint.state.value,
            ids=[run.id for run in call.attempts],
            policy=call.policy,
            at=written,
        )
        try:
            connection.write(out.method, out.target, out.headers, out.body, call.until, clear)
        except OSError:
            if self._broke(call, connection, written) and connection.idle_ms is not None:
                raise StaleError from None
            if call.cancelled.is_set():
                self._end_all(call, Result.CANCELLED)
            elif (wait := self._clearance.barred_ms(call.endpoint)) > 0.0:
                # Guards the partner: a call stopped by a told wait does not say that it is unreachable.
                self._end_all(call, Result.REJECTED, wait)
            else:
                self._end_all(call, Result.NOT_CONNECTED)
            return False
        for run in call.attempts:
            self._figures.count(Figure.ATTEMPTS, run.cls)
        try:
            answer = connection.read(call.until)
            self._pool.heard(call.endpoint, connection.idle_ms, False)
            reading = delivery.read_answer(call, answer, self._report)
            self._read(call, reading)
            return connection.reusable and not reading.fault
        except LateError:
            connection.cut()  # before the slot is free again, so that the endpoint sees it first
            self._end_all(call, delivery.read_part(call, connection.status, Result.TIMED_OUT))
        except (BrokenError, Malformed) as exc:
            self._broke(call, connection, written)
            result = Result.BROKEN
            if isinstance(exc, Malformed):
                self._log.warning("bad answer", endpoint=call.endpoint.name, fault=str(exc))
                result = Result.SPOILT
            result = Result.CANCELLED if call.cancelled.is_set() else result
            self._end_all(call, delivery.read_part(call, connection.status, result))
        return False

    def _withhold(self, call: Call, refused: Refusal) -> None:
        """End a call that may not go out, and tell why."""
        self._figures.occurred(Occurrence.CALLS_WITHHELD, refused.reason)
        self._log.debug(
            "call withheld",
            reason=refused.reason.value,
            endpoint=call.endpoint.name,
            ids=[run.id for run in call.attempts],
            wait_ms=round(refused.wait_ms, 1),
        )
        self._end_all(call, refused.result, refused.wait_ms)

    def _broke(self, call: Call, connection: Connection, written: float) -> bool:
        """Note a connection that ended soon, without a byte of an answer, and not by our own hand."""
        soon = clock() - written < self._limits.break_ms
        if not soon or connection.received or not self._clear(call):
            return False
        self._pool.heard(call.endpoint, connection.idle_ms, True)
        return True

    def _clear(self, call: Call) -> bool:
        """Whether the last byte of a call may still be written."""
        return not call.cancelled.is_set() and self._clearance.barred_ms(call.endpoint) <= 0.0

    def _read(self, call: Call, reading: delivery.Reading) -> None:
        if reading.wait_ms > 0:
            self._clearance.bar(call.endpoint, reading.wait_ms)
        if reading.fault:
            self._log.warning("odd answer", endpoint=call.endpoint.name, fault=reading.fault)
        for end in reading.ends:
            self._end(call, end.attempt, end.result, reading.wait_ms, reading.load, end.over)

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
                result = Result.DELIVERED if answer.status == 200 else Result.REJECTED
                load = delivery.read_load(answer.headers, self._report)
            except LateError:
                result = Result.TIMED_OUT
            except (OSError, BrokenError, Malformed):
                pass
            connection.close()
        self._put(ProbeEnd(call.endpoint, result, clock() - call.sent_at, load))
