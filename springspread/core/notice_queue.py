"""Which notices go to the platform next, and when: decisions without I/O.

A message has to have its end soon after its time is up, and the platform answers a notice at once unless its
connection has fallen silent. So a notice without an answer is sent again, over another connection, while the
first one is still waited for. The platform takes a copy of a notice without harm.

    a notice                           is sent
    that is new                        at once, together with all others that are due
    without an answer                  again after ``resend_ms``, then after twice as long each time
    whose call could not be made       again after ``retry_ms``
    refused together with others       again after ``retry_ms``, alone: the platform may be unable to read one
    refused alone                      again after ``retry_ms``, then after twice as long each time
    accepted in any of its calls       no more; calls without any other open notice are abandoned

No call begins within ``resend_ms`` of one that waits for its answer, within ``retry_ms`` of a refusal or
a failure, or beside ``max_calls`` others: a platform that answers gets one call at a time, and one that is
away few. Times are milliseconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from math import inf

from springspread.core.types import Notice

MAX_TIMEOUT_DOUBLINGS = 2  # of a call's time-out, one for each consecutive call that timed out
MAX_WAIT_DOUBLINGS = 10  # bounds the power of two; ``max_wait_ms`` is reached before


class CallOutcome(Enum):
    """Outcome of one call to the platform."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # answered with a status other than 204
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection, or it broke


@dataclass(frozen=True, slots=True)
class NoticeTimes:
    """Times (ms) and counts of the queue."""

    timeout_ms: float  # of a call; doubled after each consecutive time-out
    resend_ms: float  # from a call to the next one of the same notices
    retry_ms: float  # from a refusal or a failure to the next call
    max_wait_ms: float  # the longest that a wait grows to by doubling
    max_calls: int  # at a time
    max_notices: int  # in a call


@dataclass(frozen=True, slots=True, eq=False)
class NoticeCall:
    """One call. ``resent``: how many of its notices were sent before."""

    notices: tuple[Notice, ...]
    begun_at: float
    timeout_ms: float
    resent: int


@dataclass(frozen=True, slots=True)
class CallEnd:
    """What follows from a call's end: the numbers accepted first by it, and the calls to abandon."""

    accepted: tuple[int, ...] = ()
    abandoned: tuple[NoticeCall, ...] = ()


@dataclass(slots=True)
class _OpenNotice:
    notice: Notice
    due_at: float
    unanswered: int = 0  # calls in a row without an answer
    refusals: int = 0  # of calls that carried it alone
    alone: bool = False

    @property
    def sent_before(self) -> bool:
        return self.unanswered > 0 or self.alone


@dataclass(slots=True)
class NoticeQueue:
    """The notices that the platform has not accepted yet, and the calls in progress."""

    times: NoticeTimes
    _open: dict[int, _OpenNotice] = field(default_factory=dict)  # by the number of the message
    _due: list[tuple[float, int]] = field(default_factory=list)  # heap; an entry of another time is outdated
    _calls: list[NoticeCall] = field(default_factory=list)  # in progress, oldest first
    _paused_until: float = -inf
    _timeouts: int = 0  # consecutive

    def add(self, notice: Notice, now: float) -> None:
        """Queue a notice; one that is queued already stays as it is."""
        if notice.number not in self._open:
            self._open[notice.number] = _OpenNotice(notice, now)
            heappush(self._due, (now, notice.number))

    def next_at(self) -> float:
        """When ``next_call`` returns a call, unless something happens before; inf: never."""
        self._drop_outdated()
        if not self._due or len(self._calls) >= self.times.max_calls:
            return inf
        allowed_at = self._calls[-1].begun_at + self.times.resend_ms if self._calls else -inf
        return max(self._due[0][0], allowed_at, self._paused_until)

    def next_call(self, now: float) -> NoticeCall | None:
        """The call to make now, if any; it is in progress until ``ended``."""
        if self.next_at() > now:
            return None
        due = self._take_due(now)
        resent = sum(item.sent_before for item in due)
        for item in due:
            item.unanswered += 1
            self._schedule(item, now + self._doubled(self.times.resend_ms, item.unanswered - 1))
        timeout_ms = self.times.timeout_ms * float(2 ** min(self._timeouts, MAX_TIMEOUT_DOUBLINGS))
        call = NoticeCall(tuple(item.notice for item in due), now, timeout_ms, resent)
        self._calls.append(call)
        return call

    def ended(self, call: NoticeCall, outcome: CallOutcome, now: float) -> CallEnd | None:
        """A call ended; ``None`` for one that was abandoned before."""
        if call not in self._calls:
            return None
        self._calls.remove(call)
        match outcome:
            case CallOutcome.ACCEPTED:
                return self._accepted(call)
            case CallOutcome.TIMEOUT:
                self._timeouts += 1  # its notices are due at the times set when it began
            case CallOutcome.REFUSED:
                self._paused_until = now + self.times.retry_ms
                self._refused(call, now)
            case CallOutcome.UNREACHABLE:
                self._paused_until = now + self.times.retry_ms
                for item in self._still_open(call):
                    item.unanswered = 0
                    self._schedule(item, now + self.times.retry_ms)
        return CallEnd()

    def _accepted(self, call: NoticeCall) -> CallEnd:
        self._timeouts = 0
        accepted = tuple(item.notice.number for item in self._still_open(call))
        for number in accepted:
            del self._open[number]
        abandoned = tuple(other for other in self._calls if not self._still_open(other))
        for other in abandoned:
            self._calls.remove(other)
        return CallEnd(accepted, abandoned)

    def _refused(self, call: NoticeCall, now: float) -> None:
        for item in self._still_open(call):
            item.refusals += len(call.notices) == 1
            item.alone, item.unanswered = True, 0
            self._schedule(item, now + self._doubled(self.times.retry_ms, max(item.refusals - 1, 0)))

    def _take_due(self, now: float) -> list[_OpenNotice]:
        """Take the notices of the next call off the heap: one that goes alone, or as many others as fit."""
        taken: list[_OpenNotice] = []
        while self._due and self._due[0][0] <= now and len(taken) < self.times.max_notices:
            item = self._open[self._due[0][1]]
            if item.alone and taken:
                break
            heappop(self._due)
            item.due_at = inf
            taken.append(item)
            self._drop_outdated()
            if item.alone:
                break
        return taken

    def _still_open(self, call: NoticeCall) -> list[_OpenNotice]:
        return [self._open[notice.number] for notice in call.notices if notice.number in self._open]

    def _schedule(self, item: _OpenNotice, due_at: float) -> None:
        item.due_at = due_at
        heappush(self._due, (due_at, item.notice.number))

    def _drop_outdated(self) -> None:
        while self._due:
            due_at, number = self._due[0]
            item = self._open.get(number)
            if item is not None and item.due_at == due_at:
                return
            heappop(self._due)

    def _doubled(self, base_ms: float, times: int) -> float:
        return min(base_ms * float(2 ** min(times, MAX_WAIT_DOUBLINGS)), self.times.max_wait_ms)
