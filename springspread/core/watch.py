"""What is asked of discovery, which answers are believed, and by when the next call goes: decisions alone.

Theory of operation. What discovery has counts as notified ``NOTIFIED_MS`` after it had it and could be
reached, whether it arrived or not; what a call that may wait would have brought, ``AFTER_WAIT_MS`` after that
wait, if that is later. A sender that asks no sooner acts on a list that it is held not to have any more. So
each way in which a call can end without an answer leaves a deadline, by which an answer has to be here:

    a call ends                     the deadline that it leaves
    silent, unreadable              begin + NOTIFIED_MS, or its wait's end + AFTER_WAIT_MS where that is later
    not reached, broken, or our     the same: until it broke it may have been silent, and what failed may be
    own system call failed          ours alone; at the latest now + NOTIFIED_MS
    refused                         now + NOTIFIED_MS: discovery itself says that it can't be reached
    cut off by a move               now + MOVED_MS, and what it may have missed until then

    state      what counts                                 left for
    current    nothing is missing                          overdue at a failure or a move
    overdue    the earliest deadline; of refusals the      current at an answer; outdated as a silent call's
               last one, as they say that it can't be      deadline passes while discovery is reached; down
               reached                                     as any other passes
    outdated   no call to an endpoint may begin            current at an answer; down after LAPSE_MS, or as
               (a lapse)                                   discovery is not reached
    down       the last failure's deadline                 current at an answer; overdue at a move; outdated
                                                           as from overdue

So a later failure never moves on the deadline of an earlier one, until that has passed. A discovery that is
reached after a silent call, and answers late, turns calls away or ends them, may well be there: what it has
counts as notified at the deadline, and the list is no longer acted on. One that nobody reaches, or that has
left a whole lapse unanswered, is taken to be down; then the list is acted on until it is back. There is no
second lapse before an answer has come. A silent call that follows a failure may not be the first one after
discovery came back: its deadline counts from that failure.

The next call goes an answer's time before the deadline at the latest, and ``Pace.retry_ms`` after a failure
where that is later; a watch that fell silent is followed at once. But for the current state calls are short:
an answer comes in its turn, or the call is given up. Discovery may serve calls in turn, and whoever gives up
loses its place and spends its turn; so a call is given up after discovery itself would have turned it away,
and each silent one is followed by one that is given twice the time. The
module's pause after a failure may be shorter, never longer; it draws the calls of a fleet apart. Watches are
short, too (``Pace.wait_ms``), as what is left of the time to the deadline is all that there is for the calls
after a silent one; and drawn apart, as news reach all senders in one moment.

Which answers are believed: versions grow. An answer that is older than what is held is left out whole, and
the whole list asked for; where that is older, too, the service counts anew, and it is believed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf, log2
from random import Random
from typing import NamedTuple

NOTIFIED_MS = 6000.0  # the protocol's figure, as are the two below
AFTER_WAIT_MS = 2000.0
MOVED_MS = 4000.0
WHOLE_MS = 2500.0  # a call for the whole list is given up after this
CATCH_UP_WAIT_MS = 100.0  # how long a short call may wait for news
LARGE_FLEET = 40.0  # so many senders crowd a discovery that serves them in turn
ANSWER_MS = 1000.0  # how long an answer may then take, where all goes well
ANSWER_ALONE_MS = 500.0  # and for a sender that has discovery for itself
QUEUED_MS = 2500.0  # a discovery that serves its senders in turn lets nobody wait for so long
RETRY_MS = 200.0  # the shortest pause after a failure, in fleets that are not large
WAIT_ALONE_MS = 1000.0  # how long a watch of a single sender waits
WAIT_MS = 2500.0  # and in a large fleet, so that half of ``NOTIFIED_MS`` is left to the calls after it
MIN_WAIT_FRACTION = 0.5  # waits are drawn from this part of theirs on
LONGEST_ANSWER_MS = NOTIFIED_MS  # a call is never given longer for its answer
LAPSE_MS = NOTIFIED_MS  # a list is not acted on for so long at most
LAPSE_PAUSE_MS = 1200.0  # it is asked for after this meanwhile, in fleets that are not large


class Failure(Enum):
    """How a call ended without news."""

    SILENT = "silent"  # no answer in its time, or none that ends or can be read
    REFUSED = "refused"  # turned away: it can't be reached for now
    UNREACHED = "not reached"  # no connection came up
    BROKEN = "broken"  # the connection came up, and broke: somebody is there
    LOCAL = "own call failed"  # this machine could not make the call: nothing is known of discovery


class State(Enum):
    """How current the list is that a sender acts on; the table above says what each one is left for."""

    CURRENT = "current"
    OVERDUE = "overdue"
    OUTDATED = "outdated"
    DOWN = "down"


class Lapse(NamedTuple):
    """From when on and until when no call may begin by the list that is held (ms)."""

    begin: float
    end: float

    def holds(self, now: float, grace_ms: float = 0.0) -> bool:
        """Whether it holds now, for calls that have a grace after its begin."""
        return self.begin + grace_ms < now < self.end


NO_LAPSE = Lapse(inf, inf)


@dataclass(frozen=True, slots=True)
class Pace:
    """Times (ms) that depend on how many senders share one discovery, which serves calls in turn.

    ``answer_ms``: a call's time from its begin to its answer, where all goes well. ``aside_ms``: a watch is
    given up so long after its wait. ``retry_ms``: the shortest pause between a failure and the next call.
    ``wait_ms``: how long a watch waits. ``queued_ms``: whoever opens one anew may wait so long for its turn.
    """

    answer_ms: float
    aside_ms: float
    retry_ms: float
    wait_ms: float
    queued_ms: float


def timings(senders: int) -> Pace:
    """The pace of one sender in a fleet of so many."""
    crowd = min(log2(max(senders, 1)) / log2(LARGE_FLEET), 1.0)
    answer = ANSWER_ALONE_MS + (ANSWER_MS - ANSWER_ALONE_MS) * crowd
    wait = WAIT_ALONE_MS + (WAIT_MS - WAIT_ALONE_MS) * crowd
    queued = QUEUED_MS if senders > 1 else answer
    return Pace(answer, answer, RETRY_MS * max(senders / LARGE_FLEET, 1.0), wait, queued)


def _missed_by(begun_at: float, wait_ms: float) -> float:
    waited = begun_at + wait_ms + AFTER_WAIT_MS if wait_ms else 0.0
    return max(begun_at + NOTIFIED_MS, waited)


@dataclass(frozen=True, slots=True)
class ListRequest:
    """One call: the whole list, or what is newer than a version, waited for so long (ms).

    ``number`` counts a process's calls from 1 on.
    """

    since: int | None
    wait_ms: float
    give_up_at: float
    begun_at: float
    number: int = 0

    @property
    def missed_by(self) -> float:
        """From when on what this call should have brought counts as notified, should it bring nothing."""
        return _missed_by(self.begun_at, self.wait_ms)


class Watch:
    """What one sender knows of its list. Times are milliseconds of one clock."""

    def __init__(
        self,
        version: int | None,
        wait_ms: float,
        senders: int = 1,
        random: Random | None = None,
        can_be_outdated: bool = True,
    ) -> None:
        """``version``: of the list that is held at the start; none: the whole list comes first.

        ``random`` draws the waits of watches; none: each waits for all of ``wait_ms``. ``can_be_outdated``:
        whether a discovery that is reached and silent may be up; the agent that lists are pushed to is silent
        only while discovery is down.
        """
        self._version, self._wait, self.timings = version, wait_ms, timings(senders)
        self._random, self._lapses = random, can_be_outdated
        self._wants = self._fetches = self._doubts = self._moved = False
        self._ask: ListRequest | None = None
        self._missed_by = inf  # the earliest deadline that a call left which was not refused
        self._failed_by = inf  # the deadline that the last failure left, where that one counts
        self._back_by = inf  # the deadline, had discovery been back right after it was last out of reach
        self._silent_by = inf  # the earliest deadline that a silent call left, or took over from a failure
        self._silences = 0  # silent calls in a row
        self._goes_on = (
            False  # whether the last call was answered, so that the next one goes on with its watch
        )
        self._reached = True  # whether the last call reached discovery
        self._lapsed = False  # whether a whole lapse went by without an answer
        self._down = False
        self._asked = 0
        self.first_deadline = inf  # the earliest deadline since the last answer, whether or not it has passed

    def state(self, now: float) -> State:
        """How current the list is, by what the last call left."""
        if self.outdated_period.holds(now):
            return State.OUTDATED
        if self._down:
            return State.DOWN
        return State.CURRENT if self.overdue_by == inf else State.OVERDUE

    @property
    def outdated_period(self) -> Lapse:
        """When the list that is held may not be acted on."""
        if self._silent_by == inf or not self._reached or not self._lapses:
            return NO_LAPSE
        return Lapse(self._silent_by, self._silent_by + LAPSE_MS)

    @property
    def overdue_by(self) -> float:
        """By when an answer has to be here; inf where nothing is missing."""
        return min(self._missed_by, self._failed_by)

    def set_active(self, active: bool = True) -> None:
        """Watch from now on, or no more."""
        self._wants = active

    def fetch(self) -> None:
        """Request the whole list once."""
        self._fetches = True

    def invalidate(self) -> None:
        """What is held is not the list of any one version: ask for the whole list until it is answered."""
        self._doubts = True

    def begin(self, now: float) -> ListRequest | None:
        """The call to make now; none where nothing is wanted."""
        if not (self._wants or self._fetches):
            return None
        whole, self._fetches = self._fetches or self._doubts or self._version is None, False
        self._asked += 1
        if whole:
            # Guards discovery against a fleet that starts at once: no short watch goes before this.
            self._ask = ListRequest(None, 0.0, now + self._patience(WHOLE_MS), now, self._asked)
        elif self.overdue_by < inf:
            # Guards the deadline: a long watch would not tell "nothing new" from silence before it.
            give_up_at = now + CATCH_UP_WAIT_MS + self._patience(self.timings.queued_ms)
            wait_ms = min(CATCH_UP_WAIT_MS, self._wait)
            self._ask = ListRequest(self._version, wait_ms, give_up_at, now, self._asked)
        else:
            part = 1.0 if self._random is None else self._random.uniform(MIN_WAIT_FRACTION, 1.0)
            wait_ms = part * self._wait
            self._ask = ListRequest(
                self._version, wait_ms, self._give_up_watch_at(now, wait_ms), now, self._asked
            )
        self._moved = False
        return self._ask

    def _give_up_watch_at(self, now: float, wait_ms: float) -> float:
        """One that goes on with no watch may wait for its turn first, as far as the deadline allows."""
        soonest = now + wait_ms + self.timings.aside_ms
        if self._goes_on:
            return soonest
        latest = _missed_by(now, wait_ms) - self.timings.answer_ms
        return max(soonest, min(now + wait_ms + self.timings.queued_ms, latest))

    def _patience(self, answer_ms: float) -> float:
        """How long an answer may take: more after each silent call, as discovery may be slow."""
        most = max(LONGEST_ANSWER_MS, answer_ms)
        return min(answer_ms * float(2 ** min(max(self._silences - 1, 0), 10)), most)

    def answered(self, version: int) -> bool:
        """An answer was read; whether it is believed."""
        assert self._ask is not None
        older = self._version is not None and version < self._version
        if older and not (self._doubts and self._ask.since is None):
            self._doubts = self._fetches = True
            return False
        self._version, self._doubts = version, False
        self._missed_by = self._failed_by = self._back_by = self._silent_by = self.first_deadline = inf
        self._silences, self._reached, self._goes_on = 0, True, True
        self._down = self._lapsed = False
        return True

    def moved(self, now: float) -> None:
        """Discovery is at another address: what was asked of the old one is asked there."""
        self._wants = self._moved = True
        self._down = self._lapsed = False
        self._silences = 0
        self._missed_by = min(self._missed_by, now + MOVED_MS)
        if self._ask is not None:
            self._missed_by = min(self._missed_by, max(self._ask.missed_by, now))
            if self._ask.since is None:
                self._fetches = True

    def failed(self, failure: Failure, now: float) -> float:
        """A call brought nothing, and none goes until one is wanted again: by when (ms)."""
        assert self._ask is not None
        self._wants = self._moved  # guards a move that crosses the failure of a call to the old address
        self._goes_on = False
        self._pass(now)
        if failure is not Failure.LOCAL:
            self._reached = failure is not Failure.UNREACHED
        match failure:
            case Failure.SILENT:
                self._silences += 1
                if not self._lapsed:
                    self._silent_by = min(self._silent_by, self._ask.missed_by, self._back_by)
            case Failure.UNREACHED:
                self._back_by = now + NOTIFIED_MS
            case Failure.REFUSED | Failure.BROKEN | Failure.LOCAL:  # it may be there, and crowded
                self._back_by = min(self._back_by, now + NOTIFIED_MS)
        broken = inf if failure is Failure.SILENT else now + NOTIFIED_MS
        if failure is Failure.REFUSED:
            # Guards discovery: what turns calls away may be overbooked, and would stay so.
            self._failed_by = now + NOTIFIED_MS
        elif self._down:
            self._failed_by = min(self._ask.missed_by, broken)
        else:
            self._missed_by = min(self._missed_by, self._ask.missed_by, broken, self._silent_by)
        self.first_deadline = min(self.first_deadline, self.overdue_by)
        if self._ask.wait_ms > CATCH_UP_WAIT_MS and now >= self._ask.give_up_at:
            return now
        again_by = max(self.overdue_by - self.timings.answer_ms, now + self.timings.retry_ms)
        if self.outdated_period.holds(now):
            again_by = min(again_by, now + max(LAPSE_PAUSE_MS, 2 * self.timings.retry_ms))
        return again_by

    def _pass(self, now: float) -> None:
        """Deadlines that have passed count no more; where no refusal left one, discovery is down."""
        if self._missed_by <= now:
            self._missed_by, self._down = inf, True
        if self._failed_by <= now:
            self._failed_by = inf
        if self._silent_by + LAPSE_MS <= now:
            self._silent_by, self._lapsed = inf, True
