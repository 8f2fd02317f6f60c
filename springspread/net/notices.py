"""Sends the platform notices of undelivered messages, with retries until it accepts them."""

from __future__ import annotations

import threading
from collections.abc import Callable
from functools import partial
from math import inf

from springspread.config import Address, Limits
from springspread.core.notice_queue import CallOutcome, NoticeCall, NoticeQueue, NoticeTimes
from springspread.core.types import CoreEvent, Log, Notice, NoticesDelivered, clock
from springspread.http1.client import Answer
from springspread.net.exchange import FAILURES, Caller, DeadlineExceededError, MovedError
from springspread.net.threads import spawn
from springspread.platform import notices

HEADERS = {"Content-Type": "application/x-ndjson"}


def notice_times(limits: Limits) -> NoticeTimes:
    """The times and counts of the queue of notices."""
    return NoticeTimes(
        timeout_ms=limits.notice_ms,
        resend_ms=limits.notice_resend_ms,
        retry_ms=limits.notice_retry_ms,
        max_wait_ms=limits.notice_max_wait_ms,
        max_calls=limits.notice_calls,
        max_notices=limits.notices_in_call,
    )


class Notifier:
    """A few threads make the calls that ``NoticeQueue`` decides on, each over connections of its own."""

    def __init__(
        self,
        address: Address,
        limits: Limits,
        put: Callable[[CoreEvent], None],
        log: Log,
        settle: Callable[[], None],
    ) -> None:
        """``settle`` waits until the journal is on disk, or raises ``OSError``."""
        self._settle, self._put, self._log = settle, put, log
        self._queue = NoticeQueue(notice_times(limits))
        self._changed = threading.Condition()  # guards the queue and the callers of its calls
        self._calling: dict[NoticeCall, Caller] = {}
        self._callers = [Caller(address, limits) for _ in range(limits.notice_calls)]
        for number, caller in enumerate(self._callers):
            spawn(f"notices-{number}", partial(self._run, caller), log)

    def deliver(self, notice: Notice) -> None:
        """Queue a notice; it is sent until the platform accepts it."""
        with self._changed:
            self._queue.add(notice, clock())
            self._changed.notify()

    def move(self, address: Address) -> None:
        """Send to another address from now on, including what the old one did not accept."""
        for caller in self._callers:
            caller.move(address)

    def _run(self, caller: Caller) -> None:
        while True:
            call = self._next_call(caller)
            try:
                answer = self._call(caller, call)
            except FAILURES as exc:
                timed_out = isinstance(exc, DeadlineExceededError)
                self._end(call, CallOutcome.TIMEOUT if timed_out else CallOutcome.UNREACHABLE, repr(exc))
                continue
            outcome = CallOutcome.ACCEPTED if answer.status == 204 else CallOutcome.REFUSED
            self._end(call, outcome, f"status {answer.status}")

    def _next_call(self, caller: Caller) -> NoticeCall:
        """Wait until a call is due, and begin it."""
        with self._changed:
            while (call := self._queue.next_call(clock())) is None:
                next_at = self._queue.next_at()
                self._changed.wait(None if next_at == inf else max(next_at - clock(), 0.0) / 1000.0)
            self._calling[call] = caller
            self._changed.notify()  # another thread waits for the next one
        if call.resent:
            self._log.info("notices sent again", count=call.resent, ids=[one.id for one in call.notices][:20])
        return call

    def _call(self, caller: Caller, call: NoticeCall) -> Answer:
        body = notices.encode_notices(call.notices)
        try:
            self._settle()  # a power loss must not lead to a second, different outcome
        except OSError as exc:
            count = len(call.notices)
            self._log.warning("notice sent before the journal was synced", count=count, error=str(exc))
        while True:
            try:
                until = clock() + call.timeout_ms
                return caller.call("POST", notices.PATH, HEADERS, body, until, hold_last_byte=True)
            except MovedError as exc:
                self._log.info("platform address changed", cut_off=str(exc))

    def _end(self, call: NoticeCall, outcome: CallOutcome, reason: str) -> None:
        with self._changed:
            del self._calling[call]
            end = self._queue.ended(call, outcome, clock())
            for other in end.abandoned if end is not None else ():
                # Under the lock: this caller can't have begun another call.
                self._calling[other].abort()
            self._changed.notify()
        if end is None:
            self._log.debug("notices accepted by another call", count=len(call.notices))
            return
        if outcome is CallOutcome.REFUSED:
            self._log.warning("notice refused", count=len(call.notices), reason=reason)
        elif outcome is not CallOutcome.ACCEPTED:
            self._log.warning("notice not sent", count=len(call.notices), error=reason)
        if end.accepted:
            self._log.debug("notices accepted", ids=[notice.id for notice in call.notices])
            self._put(NoticesDelivered(end.accepted))
