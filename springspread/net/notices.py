"""Tells the platform the ends of messages that were not delivered, until it has taken them."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from enum import Enum
from queue import Empty, SimpleQueue

from springspread.config import Address, Limits
from springspread.core.types import CoreEvent, Log, Notice, NoticeHeard, clock
from springspread.http1.client import Answer
from springspread.net.exchange import FAILURES, Caller, LateError, MovedError
from springspread.net.threads import spawn
from springspread.platform import finals

LONGEST_DOUBLINGS = 2  # of the time that a call is given: each silent one is followed by one with twice that


class PostEnd(Enum):
    """How one call to the platform ended."""

    TAKEN = "taken"
    NOT_TAKEN = "not taken"  # answered by another status than 204
    SILENT = "silent"
    NOT_REACHED = "not reached"  # no connection, or it broke


class Notifier:
    """One thread. What the platform did not take goes to the end of the line; what it turned away, alone."""

    def __init__(
        self,
        address: Address,
        limits: Limits,
        put: Callable[[CoreEvent], None],
        log: Log,
        settle: Callable[[], None],
    ) -> None:
        """``settle`` waits until what is on record is on disk, or raises ``OSError``."""
        self._settle = settle
        self._caller = Caller(address, limits)
        self._limits, self._put, self._log = limits, put, log
        self._line: SimpleQueue[Notice] = SimpleQueue()
        self._silences = 0  # calls in a row that were given up without an answer
        spawn("notices", self._run, log)

    def tell(self, notice: Notice) -> None:
        """Tell it until the platform has taken it."""
        self._line.put(notice)

    def move(self, address: Address) -> None:
        """Tell another address from now on, also what the old one did not take."""
        self._caller.move(address)

    def _run(self) -> None:
        most = self._limits.notices_in_call
        while True:
            batch = [self._line.get()]
            while len(batch) < most:
                try:
                    batch.append(self._line.get_nowait())
                except Empty:
                    break
            end = self._post(batch)
            if end is PostEnd.TAKEN:
                self._put(NoticeHeard(tuple(notice.number for notice in batch)))
                most, self._silences = self._limits.notices_in_call, 0
                continue
            if end is PostEnd.NOT_TAKEN:
                # Guards the rest against one that the platform can't read: they go on one by one.
                most = 1
            self._silences += end is PostEnd.SILENT
            for notice in batch:
                self._line.put(notice)
            time.sleep(self._limits.notice_retry_ms / 1000.0)

    def _call(self, headers: Mapping[str, str], body: bytes) -> Answer:
        while True:
            try:
                # Guards against a platform that takes longer than the first call is given: it would never be
                # heard.
                patience = self._limits.notice_ms * float(2 ** min(self._silences, LONGEST_DOUBLINGS))
                until = clock() + patience
                return self._caller.call("POST", finals.PATH, headers, body, until)
            except MovedError as exc:
                self._log.info("platform moved", cut_off=str(exc))

    def _post(self, batch: list[Notice]) -> PostEnd:
        headers = {"Content-Type": "application/x-ndjson"}
        body = finals.write_notices(batch)
        try:
            self._settle()  # guards an end against another one after a power loss
        except OSError as exc:
            self._log.warning("told before it is on disk", count=len(batch), error=str(exc))
        try:
            answer = self._call(headers, body)
        except FAILURES as exc:
            self._log.warning("notice not told", count=len(batch), error=repr(exc))
            return PostEnd.SILENT if isinstance(exc, LateError) else PostEnd.NOT_REACHED
        if answer.status != 204:
            self._log.warning("notice not taken", count=len(batch), status=answer.status)
            return PostEnd.NOT_TAKEN
        return PostEnd.TAKEN
