"""Sends the platform notices of undelivered messages, with retries until it accepts them."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from enum import Enum
from queue import Empty, SimpleQueue

from springspread.config import Address, Limits
from springspread.core.types import CoreEvent, Log, Notice, NoticesDelivered, clock
from springspread.http1.client import Answer
from springspread.net.exchange import FAILURES, Caller, DeadlineExceededError, MovedError
from springspread.net.threads import spawn
from springspread.platform import notices

MAX_TIMEOUT_DOUBLINGS = 2  # of a call's timeout, one for each consecutive call that timed out


class PostOutcome(Enum):
    """Outcome of one call to the platform."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # answered with a status other than 204
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection, or it broke


class Notifier:
    """One thread and a queue; what fails is queued again, and sent one by one after a refusal."""

    def __init__(
        self,
        address: Address,
        limits: Limits,
        put: Callable[[CoreEvent], None],
        log: Log,
        settle: Callable[[], None],
    ) -> None:
        """``settle`` waits until the journal is on disk, or raises ``OSError``."""
        self._settle = settle
        self._caller = Caller(address, limits)
        self._limits, self._put, self._log = limits, put, log
        self._queue: SimpleQueue[Notice] = SimpleQueue()
        self._timeouts = 0  # consecutive calls without an answer
        spawn("notices", self._run, log)

    def deliver(self, notice: Notice) -> None:
        """Queue a notice; it is sent until the platform accepts it."""
        self._queue.put(notice)

    def move(self, address: Address) -> None:
        """Send to another address from now on, including what the old one did not accept."""
        self._caller.move(address)

    def _run(self) -> None:
        batch_limit = self._limits.notices_in_call
        while True:
            batch = [self._queue.get()]
            while len(batch) < batch_limit:
                try:
                    batch.append(self._queue.get_nowait())
                except Empty:
                    break
            outcome = self._post(batch)
            if outcome is PostOutcome.ACCEPTED:
                self._put(NoticesDelivered(tuple(notice.number for notice in batch)))
                batch_limit, self._timeouts = self._limits.notices_in_call, 0
                continue
            if outcome is PostOutcome.REFUSED:
                # One notice that the platform can't read must not block the others: send them one by one.
                batch_limit = 1
            self._timeouts += outcome is PostOutcome.TIMEOUT
            for notice in batch:
                self._queue.put(notice)
            time.sleep(self._limits.notice_retry_ms / 1000.0)

    def _call(self, headers: Mapping[str, str], body: bytes) -> Answer:
        while True:
            try:
                # Each timeout doubles the next, so that a platform slower than the first gets to answer.
                timeout_ms = self._limits.notice_ms * float(2 ** min(self._timeouts, MAX_TIMEOUT_DOUBLINGS))
                until = clock() + timeout_ms
                return self._caller.call("POST", notices.PATH, headers, body, until, hold_last_byte=True)
            except MovedError as exc:
                self._log.info("platform address changed", cut_off=str(exc))

    def _post(self, batch: list[Notice]) -> PostOutcome:
        headers = {"Content-Type": "application/x-ndjson"}
        body = notices.encode_notices(batch)
        try:
            self._settle()  # a power loss must not lead to a second, different outcome
        except OSError as exc:
            self._log.warning("notice sent before the journal was synced", count=len(batch), error=str(exc))
        try:
            answer = self._call(headers, body)
        except FAILURES as exc:
            self._log.warning("notice not sent", count=len(batch), error=repr(exc))
            return PostOutcome.TIMEOUT if isinstance(exc, DeadlineExceededError) else PostOutcome.UNREACHABLE
        if answer.status != 204:
            self._log.warning("notice refused", count=len(batch), status=answer.status)
            return PostOutcome.REFUSED
        self._log.debug("notices accepted", ids=[notice.id for notice in batch])
        return PostOutcome.ACCEPTED
