"""Tells the platform the ends of messages that were not delivered, until it has taken them."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from queue import Empty, SimpleQueue

from springspread.config import Address, Limits
from springspread.core.types import CoreEvent, Log, Notice, NoticeHeard, clock
from springspread.http1.client import Answer
from springspread.net.exchange import FAILURES, Caller, MovedError
from springspread.net.threads import spawn
from springspread.platform import finals


class Notices:
    """One thread; what the platform did not take goes to the end of the line, alone."""

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
            if self._post(batch):
                self._put(NoticeHeard(tuple(notice.number for notice in batch)))
                most = self._limits.notices_in_call
                continue
            # Guards the rest against one that the platform can't read: they go on one by one.
            most = 1
            for notice in batch:
                self._line.put(notice)
            time.sleep(self._limits.notice_retry_ms / 1000.0)

    def _call(self, headers: Mapping[str, str], body: bytes) -> Answer:
        while True:
            try:
                until = clock() + self._limits.notice_ms
                return self._caller.call("POST", finals.PATH, headers, body, until)
            except MovedError as exc:
                self._log.info("platform moved", cut_off=str(exc))

    def _post(self, batch: list[Notice]) -> bool:
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
            return False
        if answer.status != 204:
            self._log.warning("notice not taken", count=len(batch), status=answer.status)
        return answer.status == 204
