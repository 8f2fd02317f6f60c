"""Calls to endpoints: worker threads and the pool of idle connections."""

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
from springspread.net.exchange import (
    Connection,
    ConnectionLostError,
    DeadlineExceededError,
    SurplusInputError,
)
from springspread.net.threads import spawn
from springspread.platform import delivery

SWEEP_INTERVAL_S = 0.25
PROBE_TIMEOUT_MS = 1_500.0


class StaleError(Exception):
    """A pooled connection became unusable before the call's last byte was written: it has not begun."""


class CloseReason(Enum):
    """Why a connection to an endpoint was closed."""

    FINISHED = "finished"  # not reusable after its call
    IDLE = "idle"
    STALE = "stale"  # found dead, or connected to another address, when it was to be reused
    SURPLUS = "surplus"  # the pool was full
    ENDPOINT_GONE = "endpoint gone"


class ConnectionPool:
    """Idle connections by endpoint, the most recently used first."""

    def __init__(self, limits: Limits, figures: Figures, log: Log) -> None:
        self._limits, self._figures, self._log = limits, figures, log
        self._reuse = Reuse(Bounds(limits.stale_risk_once, limits.stale_risk_repeatable))
        self._lock = threading.Lock()
        self._idle: dict[int, list[Connection]] = {}

    def acquire(self, endpoint: Endpoint, once: bool) -> Connection | None:
        """A usable idle connection that is unlikely to be stale; ``once``: the call may run only once."""
        while True:
            with self._lock:
                connection = self._take(endpoint.number, once, clock())
            if connection is None:
                return None
            # A request on a connection that the peer has closed would be reset.
            fresh = clock() - connection.idle_since < self._limits.idle_ms
            same = connection.address == (endpoint.host, endpoint.port)
            # The hold of its last byte shows a call that may run only once what this rest shows others.
            if fresh and same and connection.alive(0.0 if once else connection.settles_at):
                return connection
            self.close(connection, CloseReason.STALE if fresh else CloseReason.IDLE)

    def _take(self, number: int, once: bool, now: float) -> Connection | None:
        """Remove the most recently used connection that may be reused, if possible one that need not rest."""
        idle = self._idle.get(number, [])
        rested = [connection for connection in idle if once or connection.settles_at <= now]
        for connection in (*rested[-1:], *idle[-1:]):
            idle_ms = now - connection.idle_since
            if self._reuse.allows(number, idle_ms, once, now):
                idle.remove(connection)
                connection.idle_ms = idle_ms
                return connection
        return None

    def record_use(self, endpoint: Endpoint, idle_ms: float | None, broke: bool) -> None:
        """Record whether a call's connection broke; ``idle_ms``: its idle time before, None for a new one."""
        with self._lock:
            if endpoint.state is not EndpointState.GONE:  # statistics of a gone endpoint are dropped
                self._reuse.note(endpoint.number, idle_ms, broke, clock())

    def release(self, endpoint: Endpoint, connection: Connection) -> None:
        """Return a connection to the pool, or close it if its endpoint is gone.

        An endpoint is marked as gone before ``drop`` takes the lock, so no connection to it stays behind.
        """
        surplus: Connection | None = connection
        reason = CloseReason.ENDPOINT_GONE
        with self._lock:
            if endpoint.state is not EndpointState.GONE:
                reason = CloseReason.SURPLUS
                self._idle.setdefault(endpoint.number, []).append(connection)
                surplus = None
                if sum(map(len, self._idle.values())) > self._limits.idle_connections:
                    pools = [idle for idle in self._idle.values() if idle]
                    surplus = min(pools, key=lambda idle: idle[0].idle_since).pop(0)
        if surplus is not None:
            self.close(surplus, reason)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = clock()
        with self._lock:
            expired = [
                connection
                for idle in self._idle.values()
                for connection in idle
                if now - connection.idle_since >= self._limits.idle_ms
            ]
            remaining = {
                number: [connection for connection in idle if connection not in expired]
                for number, idle in self._idle.items()
            }
            self._idle = {number: idle for number, idle in remaining.items() if idle}
        for connection in expired:
            self.close(connection, CloseReason.IDLE)

    def close(self, connection: Connection, reason: CloseReason) -> None:
        """Close a connection, count and log the reason."""
        self._figures.count_occurrence(Occurrence.CONNECTIONS_CLOSED, reason)
        self._log.debug(
            "connection closed",
            connection=connection.number,
            address=connection.address,
            reason=reason.value,
            requests=connection.requests,
            idle_ms=round(clock() - connection.idle_since, 1),
        )
        connection.close()

    def drop(self, endpoint: Endpoint) -> None:
        """Close all idle connections to an endpoint."""
        with self._lock:
            idle = self._idle.pop(endpoint.number, [])
            if endpoint.state is EndpointState.GONE:
                self._reuse.forget(endpoint.number)
        reason = CloseReason.ENDPOINT_GONE if endpoint.state is EndpointState.GONE else CloseReason.IDLE
        for connection in idle:
            self.close(connection, reason)


class Workers:
    """Threads that carry out calls, one at a time each."""

    def __init__(
        self,
        limits: Limits,
        slots: int,
        load_fields: tuple[str, ...],
        clearance: Clearance,
        put: Callable[[CoreEvent], None],
        log: Log,
        figures: Figures | None = None,
    ) -> None:
        self._figures = figures or Figures(())
        self._limits, self._load_fields, self._clearance = limits, load_fields, clearance
        self._put, self._log = put, log
        self._jobs: SimpleQueue[Call] = SimpleQueue()
        self._pool = ConnectionPool(limits, self._figures, log)
        self._lock = threading.Lock()
        self._open: dict[Call, Connection] = {}
        self._threads = 0
        self.grow(slots)

    def grow(self, slots: int) -> None:
        """Start threads up to one per slot, and one more for probes."""
        while self._threads < min(slots, self._limits.workers) + 1:
            spawn(f"worker-{self._threads}", self._work, self._log)
            self._threads += 1

    def start(self, call: Call) -> None:
        """Queue a call; one without attempts is a probe."""
        self._jobs.put(call)

    def cancel(self, call: Call) -> None:
        """Cancel a call and abort its connection."""
        call.cancelled.set()
        with self._lock:
            connection = self._open.get(call)
        if connection is not None:
            connection.abort()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        self._pool.drop(endpoint)

    def _work(self) -> None:
        while True:
            try:
                call = self._jobs.get(timeout=SWEEP_INTERVAL_S)
            except Empty:
                self._pool.sweep()
                continue
            try:
                self._call(call) if call.attempts else self._probe(call)
            except Exception as exc:  # every call must end, and the thread must go on
                self._log.error("call failed", endpoint=call.endpoint.name, error=repr(exc), exc_info=True)
                self._end_all(call, Result.BROKEN)

    def _end(
        self,
        call: Call,
        attempt: Attempt,
        result: Result,
        wait_ms: float = 0.0,
        load: Load | None = None,
        final: bool = False,
    ) -> None:
        if not attempt.done:
            attempt.done = True
            self._log.debug(
                "attempt ended",
                id=attempt.id,
                attempt=attempt.index,
                endpoint=call.endpoint.name,
                result=result.value,
                wait_ms=wait_ms,
            )
            self._put(AttemptEnd(call, attempt, result, clock(), wait_ms, load or Load(), final))

    def _end_all(self, call: Call, result: Result, wait_ms: float = 0.0) -> None:
        for attempt in call.attempts:
            self._end(call, attempt, result, wait_ms)

    def _connect(self, call: Call, until: float) -> Connection | None:
        connection = self._pool.acquire(call.endpoint, call.once)
        return connection or self._open_connection(call, until)

    def _open_connection(self, call: Call, until: float) -> Connection | None:
        until = min(until, call.sent_at + self._limits.connect_ms)
        self._log.debug("connecting", endpoint=call.endpoint.name, group=call.endpoint.group)
        try:
            address = (call.endpoint.host, call.endpoint.port)
            return Connection(address, until, self._limits, delivery.OPTIONAL_HEADERS)
        except OSError:
            return None

    def _call(self, call: Call) -> None:
        connection = self._connect(call, call.until)
        if connection is not None and not self._call_on(call, connection):
            # The call has not begun: repeat it over a new connection.
            connection = self._open_connection(call, call.until)
            if connection is not None:
                self._call_on(call, connection)
        if connection is None:
            self._end_all(call, Result.NOT_CONNECTED)

    def _call_on(self, call: Call, connection: Connection) -> bool:
        """Make a call over a connection; false if that was a pooled one and broke before the last byte."""
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
                self._pool.close(connection, CloseReason.FINISHED)
        return True

    def _exchange(self, call: Call, connection: Connection) -> bool:
        refused = self._clearance.check(call)
        if refused is not None:
            self._withhold(call, refused)
            return refused.result is not Result.CANCELLED
        request = delivery.encode_call(call, clock())
        may_finish = partial(self._may_finish, call) if call.once else None
        written_at = clock()
        self._log.debug(
            "begins",
            endpoint=call.endpoint.name,
            state=call.endpoint.state.value,
            ids=[attempt.id for attempt in call.attempts],
            attempts=[attempt.index for attempt in call.attempts],
            policy=call.policy,
            at=written_at,
            connection=connection.number,
            earlier_requests=connection.requests,
            idle_ms=connection.idle_ms,
        )
        try:
            connection.write(
                request.method, request.target, request.headers, request.body, call.until, may_finish
            )
        except SurplusInputError as exc:
            self._log.warning(
                "connection not reused; the call goes over a new one",
                endpoint=call.endpoint.name,
                idle_ms=round(connection.idle_ms or 0.0, 1),
                fault=str(exc),
            )
            raise StaleError from None
        except OSError:
            if self._record_break(call, connection, written_at) and connection.idle_ms is not None:
                raise StaleError from None
            if call.cancelled.is_set():
                self._end_all(call, Result.CANCELLED)
            elif (wait := self._clearance.retry_after_left_ms(call.endpoint)) > 0.0:
                # Stopped by a retry-after received meanwhile: no sign that the endpoint is unreachable.
                self._end_all(call, Result.REJECTED, wait)
            else:
                self._end_all(call, Result.NOT_CONNECTED)
            return False
        for attempt in call.attempts:
            self._figures.count(Figure.ATTEMPTS, attempt.cls)
        try:
            answer = connection.read(call.until)
            self._log.debug(
                "answered",
                endpoint=call.endpoint.name,
                connection=connection.number,
                status=answer.status,
                took_ms=round(clock() - written_at, 1),
            )
            self._pool.record_use(call.endpoint, connection.idle_ms, False)
            parsed = delivery.read_answer(call, answer, self._load_fields)
            self._apply(call, parsed)
            return connection.reusable and not parsed.fault
        except DeadlineExceededError:
            connection.abort()  # before the slot is released, so that the endpoint sees the end first
            self._end_all(call, delivery.read_incomplete_answer(call, connection.status, Result.TIMED_OUT))
        except (ConnectionLostError, Malformed) as exc:
            self._record_break(call, connection, written_at)
            result = Result.BROKEN
            if isinstance(exc, Malformed):
                self._log.warning("malformed answer", endpoint=call.endpoint.name, fault=str(exc))
                result = Result.MALFORMED
            result = Result.CANCELLED if call.cancelled.is_set() else result
            self._end_all(call, delivery.read_incomplete_answer(call, connection.status, result))
        return False

    def _withhold(self, call: Call, refused: Refusal) -> None:
        """End a call that may not be sent, and log the reason."""
        self._figures.count_occurrence(Occurrence.CALLS_WITHHELD, refused.reason)
        self._log.debug(
            "call withheld",
            reason=refused.reason.value,
            endpoint=call.endpoint.name,
            ids=[attempt.id for attempt in call.attempts],
            wait_ms=round(refused.wait_ms, 1),
        )
        self._end_all(call, refused.result, refused.wait_ms)

    def _record_break(self, call: Call, connection: Connection, written_at: float) -> bool:
        """Record a connection that broke soon after the write, unanswered and not aborted by us."""
        soon = clock() - written_at < self._limits.stale_break_ms
        if not soon or connection.received or not self._may_finish(call):
            return False
        self._pool.record_use(call.endpoint, connection.idle_ms, True)
        return True

    def _may_finish(self, call: Call) -> bool:
        """Whether the last byte of a call may still be written."""
        return not call.cancelled.is_set() and self._clearance.retry_after_left_ms(call.endpoint) <= 0.0

    def _apply(self, call: Call, parsed: delivery.ParsedAnswer) -> None:
        if parsed.wait_ms > 0:
            self._clearance.set_retry_after(call.endpoint, parsed.wait_ms)
        if parsed.fault:
            self._log.warning("unexpected answer", endpoint=call.endpoint.name, fault=parsed.fault)
        for end in parsed.ends:
            self._end(call, end.attempt, end.result, parsed.wait_ms, parsed.load, end.final)

    def _probe(self, call: Call) -> None:
        until = call.sent_at + PROBE_TIMEOUT_MS
        result, load = Result.NOT_CONNECTED, Load()
        connection = self._connect(call, until)
        if connection is not None:
            request = delivery.encode_call(call, clock())
            try:
                connection.write(request.method, request.target, request.headers, request.body, until)
                result = Result.BROKEN
                answer = connection.read(until)
                result = Result.DELIVERED if answer.status == 200 else Result.REJECTED
                load = delivery.read_load(answer.headers, self._load_fields)
            except DeadlineExceededError:
                result = Result.TIMED_OUT
            except (OSError, ConnectionLostError, Malformed):
                pass
            connection.close()
        self._put(ProbeEnd(call.endpoint, result, clock() - call.sent_at, load))
