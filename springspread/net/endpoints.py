"""Calls to endpoints: worker threads, and one connection for each call."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum
from functools import partial
from queue import SimpleQueue

from springspread.config import Limits
from springspread.core.clearance import Clearance, Refusal
from springspread.core.figures import Figure, Figures, Occurrence
from springspread.core.types import (
    Attempt,
    AttemptEnd,
    Call,
    CoreEvent,
    Load,
    Log,
    ProbeEnd,
    Result,
    clock,
)
from springspread.http1.message import Malformed
from springspread.net.exchange import (
    LOCAL_ERRORS,
    Connection,
    ConnectionLostError,
    DeadlineExceededError,
    EarlyAnswerError,
)
from springspread.net.threads import spawn
from springspread.platform import delivery

PROBE_TIMEOUT_MS = 1_500.0
LOCAL_RETRY_MS = 10.0  # pause before another attempt after an error of this machine
NEVER_RAN = (Result.REJECTED, Result.NOT_SENT)
"""What an answer may say of a call whose request was not complete."""


class CloseReason(Enum):
    """Why a connection to an endpoint was closed: how its call ended."""

    ANSWERED = "answered"
    WITHHELD = "withheld"  # the call was not sent, as its endpoint or its message had changed meanwhile
    NOT_WRITTEN = "not written"  # it broke or was aborted before the request's last byte
    TIMED_OUT = "timed out"
    BROKEN = "broken"  # it ended or was aborted before the answer
    MALFORMED = "malformed"
    PROBED = "probed"


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

    def _work(self) -> None:
        while True:
            call = self._jobs.get()
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
        """Open a connection for a call; ``None`` if none is up in time. After local errors, try again."""
        until = min(until, call.sent_at + self._limits.connect_ms)
        address = call.address = (call.endpoint.host, call.endpoint.port)
        self._log.debug("connecting", endpoint=call.endpoint.name, group=call.endpoint.group)
        while True:
            try:
                return Connection(address, until, self._limits, delivery.OPTIONAL_HEADERS)
            except OSError as exc:
                self._log.debug("not connected", endpoint=call.endpoint.name, error=repr(exc))
                if exc.errno not in LOCAL_ERRORS or clock() + LOCAL_RETRY_MS >= until:
                    return None
            if call.cancelled.wait(LOCAL_RETRY_MS / 1000.0):
                return None

    def _close(self, connection: Connection, reason: CloseReason) -> None:
        """Close a connection, count and log the reason."""
        self._figures.count_occurrence(Occurrence.CONNECTIONS_CLOSED, reason)
        self._log.debug(
            "connection closed",
            connection=connection.number,
            address=connection.address,
            reason=reason.value,
        )
        connection.close()

    def _call(self, call: Call) -> None:
        connection = self._connect(call, call.until)
        if connection is None:
            self._end_all(call, Result.CANCELLED if call.cancelled.is_set() else Result.NOT_CONNECTED)
            return
        with self._lock:
            self._open[call] = connection
        reason = CloseReason.BROKEN
        try:
            reason = self._exchange(call, connection)
        finally:
            with self._lock:
                del self._open[call]
            self._close(connection, reason)

    def _exchange(self, call: Call, connection: Connection) -> CloseReason:
        refused = self._clearance.check(call)
        if refused is not None:
            self._withhold(call, refused)
            return CloseReason.WITHHELD
        begun_at = clock()
        if not self._write(call, connection, begun_at):
            return CloseReason.NOT_WRITTEN
        for attempt in call.attempts:
            self._figures.count(Figure.ATTEMPTS, attempt.cls)
        try:
            answer = connection.read(call.until)
            self._log.debug(
                "answered",
                endpoint=call.endpoint.name,
                connection=connection.number,
                status=answer.status,
                took_ms=round(clock() - begun_at, 1),
            )
            connection.abort()  # before the slot is released, so that the endpoint sees the end first
            self._apply(call, delivery.read_answer(call, answer, self._load_fields))
            return CloseReason.ANSWERED
        except DeadlineExceededError:
            connection.abort()
            self._end_all(call, delivery.read_incomplete_answer(call, connection.status, Result.TIMED_OUT))
            return CloseReason.TIMED_OUT
        except (ConnectionLostError, Malformed) as exc:
            malformed = isinstance(exc, Malformed)
            if malformed:
                self._log.warning("malformed answer", endpoint=call.endpoint.name, fault=str(exc))
            result = Result.MALFORMED if malformed else Result.BROKEN
            result = Result.CANCELLED if call.cancelled.is_set() else result
            self._end_all(call, delivery.read_incomplete_answer(call, connection.status, result))
            return CloseReason.MALFORMED if malformed else CloseReason.BROKEN

    def _write(self, call: Call, connection: Connection, begun_at: float) -> bool:
        """Write a call's request; if its last byte is not written, end the call and return false."""
        request = delivery.encode_call(call, clock())
        may_finish = partial(self._clearance.may_finish, call)
        self._log.debug(
            "begins",
            endpoint=call.endpoint.name,
            state=call.endpoint.state.value,
            ids=[attempt.id for attempt in call.attempts],
            attempts=[attempt.index for attempt in call.attempts],
            policy=call.policy,
            at=begun_at,
            connection=connection.number,
        )
        try:
            connection.write(
                request.method, request.target, request.headers, request.body, call.until, may_finish
            )
        except EarlyAnswerError:
            self._read_early_answer(call, connection)
            return False
        except OSError:
            if call.cancelled.is_set():
                self._end_all(call, Result.CANCELLED)
            elif (wait := self._clearance.retry_after_left_ms(call.endpoint)) > 0.0:
                # Stopped by a retry-after received meanwhile: no sign that the endpoint is unreachable.
                self._end_all(call, Result.REJECTED, wait)
            else:
                self._end_all(call, Result.NOT_CONNECTED)
            return False
        return True

    def _read_early_answer(self, call: Call, connection: Connection) -> None:
        """End a call by an answer that began before its request was complete: it never ran."""
        fault = ""
        try:
            parsed = delivery.read_answer(call, connection.read(call.until), self._load_fields)
            if all(end.result in NEVER_RAN for end in parsed.ends):
                connection.abort()
                self._apply(call, parsed)
                return
            fault = parsed.ends[0].result.value
        except (DeadlineExceededError, ConnectionLostError, Malformed) as exc:
            fault = repr(exc)
        self._log.warning(
            "answer before the end of its request; the call was not completed",
            endpoint=call.endpoint.name,
            connection=connection.number,
            fault=fault,
        )
        connection.abort()
        self._end_all(call, Result.CANCELLED if call.cancelled.is_set() else Result.NOT_CONNECTED)

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
            self._close(connection, CloseReason.PROBED)
        self._put(ProbeEnd(call.endpoint, result, clock() - call.sent_at, load))
