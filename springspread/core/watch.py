"""When discovery is asked for its list, and which answers are accepted: decisions without I/O.

Theory of operation. A change counts as notified ``NOTIFIED_MS`` after discovery has it and can be reached,
whether or not it was received; one that a long poll would have returned, ``AFTER_WAIT_MS`` after the poll's
wait, if that is later. A sender that has no answer by then acts on an outdated list. So each way in which a
request can fail leaves a deadline, by which an answer is due:

    a request ends                  the deadline that it leaves
    silent, unreadable              begin + NOTIFIED_MS, or its wait's end + AFTER_WAIT_MS where that is later
    not reached, broken, or a       the same, as it may have been silent until it broke and the fault may be
    local error                     local; at the latest now + NOTIFIED_MS
    refused                         now + NOTIFIED_MS: discovery itself says that it can't be reached
    cut off by a move               now + MOVED_MS, and what it may have missed until then

    state      what counts                                 transitions
    current    nothing is missing                          overdue at a failure or a move
    overdue    the earliest deadline; of refusals the      current at an answer; outdated as a silent
               last one, as they say that it can't be      request's deadline passes while discovery is
               reached                                     reached; down as any other passes
    outdated   no call to an endpoint may begin            current at an answer; down after OUTDATED_MS, or
                                                           as discovery is not reached
    down       the last failure's deadline                 current at an answer; overdue at a move; outdated
                                                           as from overdue

So a later failure never extends the deadline of an earlier one that has not passed. A discovery that is
reached after a silent request, and answers late, refuses requests or breaks them off, may be up: its changes
count as notified at the deadline, and the list is no longer used. One that is not reached, or that gave no
answer during a whole outdated period, is taken to be down; then the list is used until discovery is back.
There is no second outdated period before an answer. A silent request that follows a failure may not be the
first one after discovery came back: its deadline counts from that failure. If discovery was refused or not
reached since the last silent request, it has come back: the period lasts for ``OUTDATED_MS`` from the later
deadline, too, as the time of what changed meanwhile starts again.

A later process of the same sender inherits the deadlines (``ListDeadlines``, kept by ``core.list_record``).
If no request has been answered or proved discovery unreachable for ``NOTIFIED_MS`` when it starts, its list
is outdated from the start; a deadline that a silent request left stays in force.

The next request goes at the latest one answer's time before the deadline, or ``Timings.retry_ms`` after a
failure where that is later; a watch without an answer is followed by one at once. Unless the list is
current, requests have a short wait. Discovery may queue requests, and a sender that gives up loses its place
in the queue; so a request times out only after discovery itself would have rejected it, and each silent one
doubles the time-out. The decision module's pause after a failure may be shorter, never longer; it spreads the
requests of a fleet. Watches are short, too (``Timings.wait_ms``), as the requests after a silent one have
only the rest of the time to the deadline; and their waits are random, as changes reach all senders at once.

Versions grow. An answer older than the known list is dropped, and the whole list is requested; if that is
older, too, the service has restarted its numbering, and it is accepted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf, log2
from random import Random
from typing import NamedTuple

NOTIFIED_MS = 6000.0  # fixed by the protocol, as are the two below
AFTER_WAIT_MS = 2000.0
MOVED_MS = 4000.0
WHOLE_LIST_TIMEOUT_MS = 2500.0
CATCH_UP_WAIT_MS = 100.0  # how long a short request waits for changes
LARGE_FLEET = 40.0  # the number of senders that fully loads discovery
ANSWER_MS = 1000.0  # expected time to an answer in a large fleet
ANSWER_SINGLE_MS = 500.0  # and for a single sender
QUEUE_WAIT_MS = 2500.0  # discovery turns a request away before it has queued for this long
RETRY_MS = 200.0  # the shortest pause after a failure, unless the fleet is large
WAIT_SINGLE_MS = 1000.0  # how long a single sender's watch waits
WAIT_MS = 2500.0  # and in a large fleet: leaves half of ``NOTIFIED_MS`` to the requests that follow
MIN_WAIT_FRACTION = 0.5  # waits are drawn from this fraction of the full wait on
MAX_ANSWER_MS = NOTIFIED_MS  # the longest time-out for an answer
OUTDATED_MS = NOTIFIED_MS  # the longest time for which a list counts as outdated
MAX_DEADLINE_MS = NOTIFIED_MS + AFTER_WAIT_MS + WAIT_MS  # no deadline is further away
OUTDATED_RETRY_MS = 1200.0  # the longest pause meanwhile, unless the fleet is large


class Failure(Enum):
    """How a request failed."""

    SILENT = "silent"  # no answer in time, or one that is incomplete or unreadable
    REFUSED = "refused"  # discovery rejected it: it can't be reached for now
    UNREACHED = "not reached"  # no connection could be opened
    BROKEN = "broken"  # the connection opened and broke: discovery is up
    LOCAL = "own call failed"  # a local error, which says nothing about discovery


class State(Enum):
    """How current a sender's list is; the table above lists the transitions."""

    CURRENT = "current"
    OVERDUE = "overdue"
    OUTDATED = "outdated"
    DOWN = "down"


class OutdatedPeriod(NamedTuple):
    """When the list is outdated, so that no call to an endpoint may begin (ms)."""

    begin: float
    end: float

    def contains(self, now: float, grace_ms: float = 0.0) -> bool:
        """Whether ``now`` is within it, for calls that have a grace period after its begin."""
        return self.begin + grace_ms < now < self.end


NEVER_OUTDATED = OutdatedPeriod(inf, inf)


class ListDeadlines(NamedTuple):
    """How long a list may be used by a process that hears nothing of discovery (ms).

    ``usable_until``: changes made after the last answer, or after discovery was last found to be out of
    reach, count as notified then. ``outdated_from``: the deadline that a silent request left, or inf.
    """

    usable_until: float
    outdated_from: float


@dataclass(frozen=True, slots=True)
class Timings:
    """Times (ms) that depend on how many senders share one discovery, which queues requests.

    ``answer_ms``: the expected time from a request to its answer. ``watch_margin_ms``: a watch times out this
    long after its wait. ``retry_ms``: the shortest pause between a failure and the next request. ``wait_ms``:
    how long a watch waits. ``queue_wait_ms``: how long a new watch may queue.
    """

    answer_ms: float
    watch_margin_ms: float
    retry_ms: float
    wait_ms: float
    queue_wait_ms: float


def timings(senders: int) -> Timings:
    """The timings of one sender in a fleet of ``senders``."""
    crowding = min(log2(max(senders, 1)) / log2(LARGE_FLEET), 1.0)
    answer = ANSWER_SINGLE_MS + (ANSWER_MS - ANSWER_SINGLE_MS) * crowding
    wait = WAIT_SINGLE_MS + (WAIT_MS - WAIT_SINGLE_MS) * crowding
    queue_wait = QUEUE_WAIT_MS if senders > 1 else answer
    return Timings(answer, answer, RETRY_MS * max(senders / LARGE_FLEET, 1.0), wait, queue_wait)


def _deadline(begun_at: float, wait_ms: float) -> float:
    waited = begun_at + wait_ms + AFTER_WAIT_MS if wait_ms else 0.0
    return max(begun_at + NOTIFIED_MS, waited)


@dataclass(frozen=True, slots=True)
class ListRequest:
    """One request: for the whole list, or for changes since a version, with a long poll of ``wait_ms``.

    ``number`` counts a process's requests from 1 on.
    """

    since: int | None
    wait_ms: float
    give_up_at: float
    begun_at: float
    number: int = 0

    @property
    def deadline(self) -> float:
        """When changes that it should have returned count as notified, should it fail."""
        return _deadline(self.begun_at, self.wait_ms)


class Watch:
    """The list requests of one sender. Times are milliseconds of one clock."""

    def __init__(
        self,
        version: int | None,
        wait_ms: float,
        senders: int = 1,
        random: Random | None = None,
        can_be_outdated: bool = True,
    ) -> None:
        """``version``: of the list that is known at the start; ``None``: the whole list is requested first.

        ``random`` draws the waits of watches; ``None``: each waits for all of ``wait_ms``.
        ``can_be_outdated``: whether a discovery that is reached and silent may be up; an agent that lists are
        pushed to is silent only while discovery is down.
        """
        self._version, self._wait, self.timings = version, wait_ms, timings(senders)
        self._random, self._can_be_outdated = random, can_be_outdated
        self._active = self._whole_list_wanted = self._invalid = self._moved = False
        self._request: ListRequest | None = None
        self._answer_due = inf  # the earliest that a request left which was not refused
        self._retry_due = inf  # of the last failure: a refusal, or any while discovery is down
        self._recovery_due = inf  # if discovery came back right after it was last out of reach
        self._silent_due = inf  # the earliest that a silent request left or inherited
        self._outdated_until = inf  # the end of the outdated period, if there is one
        self._out_of_reach = False  # whether a request was refused or not reached since the last silent one
        self._silent_requests = 0  # in a row
        self._continues = False  # whether the last request was answered: the next one continues its watch
        self._reached = True  # whether the last request reached discovery
        self._was_outdated = False  # whether a whole outdated period went by without an answer
        self._down = False
        self._request_count = 0
        self.first_deadline = inf  # the earliest deadline since the last answer, whether or not it has passed

    def state(self, now: float) -> State:
        """How current the list is."""
        if self.outdated_period.contains(now):
            return State.OUTDATED
        if self._down:
            return State.DOWN
        return State.CURRENT if self.deadline == inf else State.OVERDUE

    @property
    def outdated_period(self) -> OutdatedPeriod:
        """When the list counts as outdated."""
        if self._silent_due == inf or not self._reached or not self._can_be_outdated:
            return NEVER_OUTDATED
        return OutdatedPeriod(self._silent_due, self._outdated_until)

    @property
    def deadline(self) -> float:
        """When an answer is due; inf where nothing is missing."""
        return min(self._answer_due, self._retry_due)

    def inherit(self, deadlines: ListDeadlines, now: float) -> None:
        """Take over the deadlines of an earlier process, at the start of this one."""
        if not self._can_be_outdated or self._version is None:
            return
        if deadlines.outdated_from < inf:
            self._silent_due = max(deadlines.outdated_from, now)
        elif deadlines.usable_until <= now:
            self._silent_due = now
        self._answer_due = self.first_deadline = self._silent_due
        self._outdated_until = self._silent_due + OUTDATED_MS

    def deadlines(self, now: float) -> ListDeadlines:
        """What a later process inherits, given that a request has ended just now."""
        if self.outdated_period.begin < inf:
            return ListDeadlines(self._silent_due, self._silent_due)
        current = self._continues or self._down
        return ListDeadlines(min(inf if current else self._answer_due, now + NOTIFIED_MS), inf)

    def set_active(self, active: bool = True) -> None:
        """Begin or end the watch."""
        self._active = active

    def fetch(self) -> None:
        """Request the whole list once."""
        self._whole_list_wanted = True

    def invalidate(self) -> None:
        """The list mixes versions: request the whole list until it is answered."""
        self._invalid = True

    def begin(self, now: float) -> ListRequest | None:
        """The request to make now, if any."""
        if not (self._active or self._whole_list_wanted):
            return None
        whole_list, self._whole_list_wanted = (
            self._whole_list_wanted or self._invalid or self._version is None,
            False,
        )
        self._request_count += 1
        if whole_list:
            # Not preceded by a short watch, which would overload discovery when a whole fleet starts.
            self._request = ListRequest(
                None, 0.0, now + self._answer_timeout(WHOLE_LIST_TIMEOUT_MS), now, self._request_count
            )
        elif self.deadline < inf:
            # A long watch could not tell "no changes" from silence before the deadline.
            give_up_at = now + CATCH_UP_WAIT_MS + self._answer_timeout(self.timings.queue_wait_ms)
            wait_ms = min(CATCH_UP_WAIT_MS, self._wait)
            self._request = ListRequest(self._version, wait_ms, give_up_at, now, self._request_count)
        else:
            fraction = 1.0 if self._random is None else self._random.uniform(MIN_WAIT_FRACTION, 1.0)
            wait_ms = fraction * self._wait
            self._request = ListRequest(
                self._version, wait_ms, self._give_up_watch_at(now, wait_ms), now, self._request_count
            )
        self._moved = False
        return self._request

    def _give_up_watch_at(self, now: float, wait_ms: float) -> float:
        """A watch that continues no other may queue first, as far as the deadline allows."""
        soonest = now + wait_ms + self.timings.watch_margin_ms
        if self._continues:
            return soonest
        latest = _deadline(now, wait_ms) - self.timings.answer_ms
        return max(soonest, min(now + wait_ms + self.timings.queue_wait_ms, latest))

    def _answer_timeout(self, answer_ms: float) -> float:
        """Doubles with each silent request, as discovery may be slow."""
        longest = max(MAX_ANSWER_MS, answer_ms)
        return min(answer_ms * float(2 ** min(max(self._silent_requests - 1, 0), 10)), longest)

    def answered(self, version: int) -> bool:
        """An answer was read; returns whether it is accepted."""
        assert self._request is not None
        older = self._version is not None and version < self._version
        if older and not (self._invalid and self._request.since is None):
            self._invalid = self._whole_list_wanted = True
            return False
        self._version, self._invalid = version, False
        self._answer_due = self._retry_due = self._recovery_due = self._silent_due = self.first_deadline = inf
        self._outdated_until, self._out_of_reach = inf, False
        self._silent_requests, self._reached, self._continues = 0, True, True
        self._down = self._was_outdated = False
        return True

    def moved(self, now: float) -> None:
        """Discovery has another address: what was requested at the old one is requested there."""
        self._active = self._moved = True
        self._down = self._was_outdated = False
        self._silent_requests = 0
        self._answer_due = min(self._answer_due, now + MOVED_MS)
        if self._request is not None:
            self._answer_due = min(self._answer_due, max(self._request.deadline, now))
            if self._request.since is None:
                self._whole_list_wanted = True

    def failed(self, failure: Failure, now: float) -> float:
        """A request failed, and the watch is off until it is set active again: by when that must be (ms)."""
        assert self._request is not None
        self._active = self._moved  # kept where a move came before the failure at the old address
        self._continues = False
        self._expire(now)
        if failure is not Failure.LOCAL:
            self._reached = failure is not Failure.UNREACHED
        match failure:
            case Failure.SILENT:
                self._silent_requests += 1
                if not self._was_outdated:
                    self._extend_outdated_period(min(self._request.deadline, self._recovery_due))
                self._out_of_reach = False
            case Failure.UNREACHED:
                self._recovery_due, self._out_of_reach = now + NOTIFIED_MS, True
            case Failure.REFUSED | Failure.BROKEN | Failure.LOCAL:  # discovery may be up, and overloaded
                self._recovery_due = min(self._recovery_due, now + NOTIFIED_MS)
                self._out_of_reach |= failure is Failure.REFUSED
        broken = inf if failure is Failure.SILENT else now + NOTIFIED_MS
        if failure is Failure.REFUSED:
            # Earlier retries would keep an overloaded discovery overloaded.
            self._retry_due = now + NOTIFIED_MS
        elif self._down:
            self._retry_due = min(self._request.deadline, broken)
        else:
            self._answer_due = min(self._answer_due, self._request.deadline, broken, self._silent_due)
        self.first_deadline = min(self.first_deadline, self.deadline)
        if self._request.wait_ms > CATCH_UP_WAIT_MS and now >= self._request.give_up_at:
            return now
        retry_by = max(self.deadline - self.timings.answer_ms, now + self.timings.retry_ms)
        if self.outdated_period.contains(now):
            retry_by = min(retry_by, now + max(OUTDATED_RETRY_MS, 2 * self.timings.retry_ms))
        return retry_by

    def _extend_outdated_period(self, deadline: float) -> None:
        """A silent request left a deadline: the list is outdated from the earliest such one on."""
        if self._silent_due == inf:
            self._outdated_until = deadline + OUTDATED_MS
        elif self._out_of_reach:
            self._outdated_until = max(self._outdated_until, deadline + OUTDATED_MS)
        self._silent_due = min(self._silent_due, deadline)

    def _expire(self, now: float) -> None:
        """Drop deadlines that have passed; unless a refusal left it, discovery is down."""
        if self._answer_due <= now:
            self._answer_due, self._down = inf, True
        if self._retry_due <= now:
            self._retry_due = inf
        if self._outdated_until <= now:
            self._silent_due = self._outdated_until = inf
            self._was_outdated = True
