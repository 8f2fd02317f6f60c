"""The watch on discovery's list: one thread and one connection, without gaps while it goes well."""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable
from dataclasses import replace
from math import isfinite
from random import Random

from springspread.config import Address, Limits, Names
from springspread.core.figures import Figures, Occurrence
from springspread.core.types import EndpointState, ListUpdate, Log, Scope, clock
from springspread.core.watch import Failure, ListRequest, State, Watch, timings
from springspread.http1.client import Answer
from springspread.http1.message import Malformed
from springspread.net.exchange import FAILURES, Caller, ConnectError, LateError, MovedError
from springspread.net.threads import spawn
from springspread.platform import catalog

LOCAL_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Errors by which this machine says that it could not make the call."""


def _kind(exc: Exception) -> Failure:
    """What a connection that did not come up, or broke, says of discovery."""
    if isinstance(exc, OSError) and exc.errno in LOCAL_ERRORS:
        return Failure.LOCAL
    return Failure.UNREACHED if isinstance(exc, ConnectError) else Failure.BROKEN


class RefusedError(Exception):
    """Discovery turned a call away."""


def _rounded(ms: float) -> float | None:
    """A time for the log; none where there is no end to it, which JSON can't tell."""
    return round(ms, 1) if isfinite(ms) else None


class Watcher:
    """Carries out what ``core.watch`` decides; after a failure it waits until it is told to watch again.

    Moved to another address, it watches there at once.
    """

    def __init__(
        self,
        address: Address,
        names: Names,
        version: int | None,
        limits: Limits,
        put: Callable[[ListUpdate], None],
        log: Log,
        figures: Figures | None = None,
        senders: int = 1,
        *,
        pushed: bool = False,
        seed: int = 0,
    ) -> None:
        """``senders``: how many share this discovery, unless lists are ``pushed`` to an agent of its own."""
        self._figures = figures or Figures(())
        self._caller = Caller(address, limits)
        self._names, self._put, self._log = names, put, log
        self._lock = threading.Lock()
        sharing = 1 if pushed else senders
        wait_ms = min(limits.watch_ms, timings(sharing).wait_ms)
        self._machine = Watch(version, wait_ms, sharing, Random(seed), can_be_outdated=not pushed)
        self._wake = threading.Event()
        spawn("discovery", self._run, log)

    def watch(self, active: bool) -> None:
        """Begin or end the watch; a running one goes on."""
        with self._lock:
            self._machine.set_active(active)
        self._wake.set()

    def fetch(self) -> None:
        """Ask once for the whole list."""
        with self._lock:
            self._machine.fetch()
        self._wake.set()

    def move(self, address: Address) -> None:
        """Ask another address from now on, also what was cut off at the old one."""
        self._caller.move(address)
        with self._lock:
            self._machine.moved(clock())
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while (ask := self._begin()) is not None:
                try:
                    self._put_news(ask, self._ask(ask))
                except MovedError as exc:
                    self._log.info("discovery moved", cut_off=str(exc))
                    self._put_leaving(exc.answer)
                except RefusedError as exc:
                    self._failed(ask, Failure.REFUSED, exc)
                except (LateError, catalog.Unreadable, Malformed) as exc:
                    # Also an answer that does not end or can't be read.
                    self._failed(ask, Failure.SILENT, exc)
                except FAILURES as exc:
                    self._failed(ask, _kind(exc), exc)

    def _begin(self) -> ListRequest | None:
        with self._lock:
            return self._machine.begin(clock())

    def _put_news(self, ask: ListRequest, news: ListUpdate) -> None:
        with self._lock:
            before, first_deadline = self._machine.state(news.notified_at), self._machine.first_deadline
            believed = self._machine.answered(news.version)
        late_ms = news.notified_at - first_deadline
        if late_ms > 0.0:
            self._figures.count_occurrence(Occurrence.LISTS_LATE, before)
        tell = self._log.info if news.members or before is not State.CURRENT else self._log.debug
        tell(
            "list received",
            request=ask.number,
            scope=news.scope.value,
            since=ask.since,
            version=news.version,
            lines=len(news.members),
            took_ms=round(news.notified_at - ask.begun_at, 1),
            state=before.value,
            due_in_ms=_rounded(-late_ms),
        )
        if believed:
            self._put(news)
        else:
            self._log.warning("an older list left out", version=news.version)

    def _put_leaving(self, answer: Answer | None) -> None:
        """Take from an answer of the address of before what drains or is gone, and nothing else.

        Where two events cross: SIGHUP and an answer that is written by then, and counts as notified. What it
        says is ready is left to the new address, which is asked for its whole list.
        """
        if answer is None or answer.status != 200:
            return
        try:
            news = catalog.read_list(answer.body, self._names, clock())
        except catalog.Unreadable:
            return
        leaving = tuple(one for one in news.members if one.state is not EndpointState.READY)
        if not leaving:
            return
        with self._lock:
            self._machine.invalidate()
        self._log.info("left as the old address says", version=news.version, lines=len(leaving))
        self._put(replace(news, scope=Scope.CHANGES, members=leaving))

    def _failed(self, ask: ListRequest, failure: Failure, exc: Exception) -> None:
        with self._lock:
            now = clock()
            ask_by = self._machine.failed(failure, now)
            state, first_deadline, outdated_period = (
                self._machine.state(now),
                self._machine.first_deadline,
                self._machine.outdated_period,
            )
        self._figures.count_occurrence(Occurrence.LIST_FAILURES, failure)
        self._log.warning(
            "discovery failed",
            request=ask.number,
            failure=failure.value,
            error=repr(exc.__cause__ if isinstance(exc, ConnectError) else exc),
            since=ask.since,
            took_ms=round(now - ask.begun_at, 1),
            again_within_ms=round(ask_by - now, 1),
            state=state.value,
            due_in_ms=_rounded(first_deadline - now),
            outdated_in_ms=_rounded(outdated_period.begin - now),
        )
        self._put(ListUpdate(Scope.FAILED, ask_by=ask_by, outdated_period=outdated_period))

    def _ask(self, ask: ListRequest) -> ListUpdate:
        with self._lock:
            state, first_deadline = self._machine.state(ask.begun_at), self._machine.first_deadline
        tell = self._log.debug if state is State.CURRENT else self._log.info
        tell(
            "list request",
            request=ask.number,
            since=ask.since,
            wait_ms=ask.wait_ms,
            give_up_ms=round(ask.give_up_at - ask.begun_at, 1),
            state=state.value,
            due_in_ms=_rounded(first_deadline - ask.begun_at),
        )
        target = catalog.target(ask.since, ask.wait_ms)
        answer = self._caller.call("GET", target, {}, b"", ask.give_up_at, current=True)
        if answer.status != 200:
            raise RefusedError(f"status {answer.status}")
        news = catalog.read_list(answer.body, self._names, clock())
        return replace(news, date=answer.headers.get("Date"))
