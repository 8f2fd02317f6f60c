"""Watches discovery's list of endpoints: one thread and one connection, one long poll after another."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace
from math import isfinite
from random import Random

from springspread.config import Address, Limits, Names, discovery_limits
from springspread.core.figures import Figures, Occurrence
from springspread.core.list_record import ListRecordFile
from springspread.core.types import EndpointState, ListUpdate, Log, Scope, clock
from springspread.core.watch import (
    Failure,
    ListDeadlines,
    ListRequest,
    OutdatedPeriod,
    State,
    Watch,
    timings,
)
from springspread.http1.client import Answer
from springspread.http1.message import Malformed
from springspread.net.exchange import (
    FAILURES,
    LOCAL_ERRORS,
    Caller,
    ConnectError,
    DeadlineExceededError,
    MovedError,
)
from springspread.net.threads import spawn
from springspread.platform import catalog


def _classify(exc: Exception) -> Failure:
    """The kind of failure, for a connection that could not be established or broke."""
    if isinstance(exc, OSError) and exc.errno in LOCAL_ERRORS:
        return Failure.LOCAL
    return Failure.UNREACHED if isinstance(exc, ConnectError) else Failure.BROKEN


class RefusedError(Exception):
    """Discovery answered with a status other than 200."""


def _rounded(ms: float) -> float | None:
    """A duration for the log; None for infinity, which JSON can't represent."""
    return round(ms, 1) if isfinite(ms) else None


class Watcher:
    """Makes the list requests that ``core.watch`` decides on; after a failure it waits for ``watch``.

    After ``move`` it watches at the new address at once.
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
        record: ListRecordFile | None = None,
        inherited: ListDeadlines | None = None,
    ) -> None:
        """``senders``: how many share this discovery, unless lists are ``pushed`` to a local agent.

        ``record``: where the deadlines are kept for a later process. ``inherited``: those of an earlier one.
        """
        self._figures = figures or Figures(())
        self._caller = Caller(address, discovery_limits(limits))
        self._names, self._put, self._log = names, put, log
        self._version = version  # of the latest accepted list
        self._lock = threading.Lock()
        sharing = 1 if pushed else senders
        wait_ms = min(limits.watch_ms, timings(sharing).wait_ms)
        self._watch = Watch(version, wait_ms, sharing, Random(seed), can_be_outdated=not pushed)
        if inherited is not None:
            self._watch.inherit(inherited, clock())
        self._record, self._record_failed = record, False
        self._wake = threading.Event()
        spawn("discovery", self._run, log)

    @property
    def outdated_period(self) -> OutdatedPeriod:
        """When the list that is known now counts as outdated."""
        with self._lock:
            return self._watch.outdated_period

    def watch(self, active: bool) -> None:
        """Start or stop watching; a request in progress is not interrupted."""
        with self._lock:
            self._watch.set_active(active)
        self._wake.set()

    def fetch(self) -> None:
        """Request the whole list once."""
        with self._lock:
            self._watch.fetch()
        self._wake.set()

    def move(self, address: Address) -> None:
        """Use another address from now on, also for the request that this aborts."""
        self._caller.move(address)
        with self._lock:
            self._watch.moved(clock())
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while (ask := self._begin()) is not None:
                try:
                    self._process_answer(ask, self._ask(ask))
                except MovedError as exc:
                    self._log.info("discovery address changed", cut_off=str(exc))
                    self._put_withdrawn(exc.answer)
                except RefusedError as exc:
                    self._failed(ask, Failure.REFUSED, exc)
                except (DeadlineExceededError, catalog.InvalidListError, Malformed) as exc:
                    # No complete, readable answer in time.
                    self._failed(ask, Failure.SILENT, exc)
                except FAILURES as exc:
                    self._failed(ask, _classify(exc), exc)

    def _begin(self) -> ListRequest | None:
        with self._lock:
            return self._watch.begin(clock())

    def _process_answer(self, ask: ListRequest, update: ListUpdate) -> None:
        with self._lock:
            before, first_deadline = self._watch.state(update.notified_at), self._watch.first_deadline
            accepted = self._watch.answered(update.version)
            deadlines = self._watch.deadlines(update.notified_at)
        late_ms = update.notified_at - first_deadline
        if late_ms > 0.0:
            self._figures.count_occurrence(Occurrence.LISTS_LATE, before)
        log = self._log.info if update.members or before is not State.CURRENT else self._log.debug
        log(
            "list received",
            request=ask.number,
            scope=update.scope.value,
            since=ask.since,
            version=update.version,
            lines=len(update.members),
            took_ms=round(update.notified_at - ask.begun_at, 1),
            state=before.value,
            due_in_ms=_rounded(-late_ms),
        )
        if accepted:
            self._put(update)
            self._version = update.version
            self._write_record(deadlines)
        else:
            self._log.warning("outdated list ignored", version=update.version)

    def _put_withdrawn(self, answer: Answer | None) -> None:
        """Apply only the draining and gone endpoints of an answer from the previous address.

        The answer may have been written before SIGHUP changed the address, and then counts as a notification.
        Ready endpoints are left to the new address, which is asked for its whole list.
        """
        if answer is None or answer.status != 200:
            return
        try:
            update = catalog.read_list(answer.body, self._names, clock())
        except catalog.InvalidListError:
            return
        withdrawn = tuple(member for member in update.members if member.state is not EndpointState.READY)
        if not withdrawn:
            return
        with self._lock:
            self._watch.invalidate()
        self._log.info(
            "endpoints withdrawn by the previous address", version=update.version, lines=len(withdrawn)
        )
        self._put(replace(update, scope=Scope.CHANGES, members=withdrawn))

    def _failed(self, ask: ListRequest, failure: Failure, exc: Exception) -> None:
        with self._lock:
            now = clock()
            ask_by = self._watch.failed(failure, now)
            deadlines = self._watch.deadlines(now)
            state, first_deadline, outdated_period = (
                self._watch.state(now),
                self._watch.first_deadline,
                self._watch.outdated_period,
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
        self._write_record(deadlines)

    def _write_record(self, deadlines: ListDeadlines) -> None:
        """Record the deadlines for a later process; without them, that one waits for an answer."""
        if self._record is None or self._version is None:
            return
        try:
            self._record.write(self._version, deadlines)
            self._record_failed = False
        except OSError as exc:
            if not self._record_failed:
                self._log.warning("deadlines of the list not recorded", reason=str(exc))
            self._record_failed = True

    def _ask(self, ask: ListRequest) -> ListUpdate:
        with self._lock:
            state, first_deadline = self._watch.state(ask.begun_at), self._watch.first_deadline
        log = self._log.debug if state is State.CURRENT else self._log.info
        log(
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
        update = catalog.read_list(answer.body, self._names, clock())
        return replace(update, date=answer.headers.get("Date"))
