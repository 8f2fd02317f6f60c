"""Shares of limits: the one place that decides which instance may make how many calls, and until when.

Theory of operation. A limit is a count of calls in any span of so many milliseconds, wherever it begins. An
instance may begin a call only against a lease: so many calls, until a moment. The allocator keeps, for each
limit, the calls that may still fall into a span that ends now or later:

    lease       counts                              until
    open        all of its calls                    its end, or its report
    reported    the calls that were made            the last of them, plus the span
    lapsed      all of its calls                    its end, plus the span
    unleased    the calls that were reported        the last of them, plus the span

It gives out no more than the limit less that count. A call counts from before it is made until a span
after it, so in any span the calls that are made never exceed the limit; no message has to arrive for this
to hold, and no instance has to be alive. What an allocator gave out is on record before it is told, so that
its successor counts the same.

Division is max-min fair by what each has had within the last span; of instances that had the same the one
that was served longest ago goes first, so that a limit below one call an instance and span goes round. What
is free is given out at the limit's pace, and no more at once than that is in ``burst_ms``: else a span's
calls would all come in its first moment, and a shift of demand would wait for the next.

Times are milliseconds of one clock that all instances of a machine share. Nothing here waits, reads a clock
or does I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import floor, inf

from springspread.fleet.limits import UNKNOWN_KEY, Lease, Limit, Owner

MAX_LEASE_CALLS = (1 << 32) - 1  # as the record holds it
PACE = 1.1  # times the limit: what was late is made up for


@dataclass(slots=True)
class Count:
    """What is known of one lease; ``calls`` count until ``over_at``, when it no longer counts."""

    owner: Owner
    calls: int
    over_at: float


@dataclass(slots=True)
class Demand:
    """How many calls an owner waits to make, as it last said, and when it did."""

    calls: int
    at: float


@dataclass(slots=True)
class LimitState:
    """One limit in use: what counts against it, who waits for it, and who was served when."""

    limit: Limit
    counts: dict[int, Count] = field(default_factory=dict)
    unleased: deque[Count] = field(default_factory=deque)  # calls that were reported after they were made
    wants: dict[Owner, Demand] = field(default_factory=dict)
    served_at: dict[Owner, float] = field(default_factory=dict)
    level: float = inf  # calls that the pace has free
    filled_at: float = 0.0
    not_before: float = -inf  # nothing can be free earlier
    wanted_until: float = -inf  # by then whoever waits has to ask again

    def fill(self, now: float, burst_ms: float) -> None:
        """The pace goes on."""
        per_ms = PACE * self.limit.calls / self.limit.span_ms
        self.level = min(self.level + (now - self.filled_at) * per_ms, max(per_ms * burst_ms, 1.0))
        self.filled_at = now

    def clear(self, now: float, want_ms: float, epochs: Mapping[str, int]) -> None:
        """Let go of what no longer counts, of who no longer asks, and of who was replaced."""
        self.counts = {serial: count for serial, count in self.counts.items() if count.over_at > now}
        self.unleased = deque(count for count in self.unleased if count.over_at > now)
        self.wants = {
            owner: want
            for owner, want in self.wants.items()
            if want.at + want_ms > now and owner[1] >= epochs.get(owner[0], 0)
        }
        had = {count.owner for count in self.counts.values()}
        self.served_at = {o: at for o, at in self.served_at.items() if o in had or o in self.wants}

    def free(self, now: float) -> int:
        """How many calls may be given out now; where none may, ``not_before`` says when to look again."""
        free = min(self.limit.calls - self.taken(now), floor(self.level))
        if free > 0:
            return free
        if self.level < 1.0:
            self.not_before = now + (1.0 - self.level) * self.limit.span_ms / (PACE * self.limit.calls)
        else:
            ends = (count.over_at for count in (*self.counts.values(), *self.unleased))
            self.not_before = min((end for end in ends if end > now), default=now)
        return 0

    def taken(self, now: float) -> int:
        """The calls that may fall into a span that ends now or later."""
        leased = sum(count.calls for count in self.counts.values() if count.over_at > now)
        return leased + sum(count.calls for count in self.unleased if count.over_at > now)


NOBODY: Owner = ("", 0)
MERGE_MS = 50.0  # reported calls whose counts end within so long of each other are kept as one count


class Allocator:
    """Gives out leases. ``set_demand`` and ``report`` per message, ``allocate`` every few milliseconds.

    Its work goes with what was asked, reported and counted, never with the number of limits: a limit has a
    ``LimitState`` only while anything of it counts or is waited for.
    """

    def __init__(
        self,
        lease_ms: float = 200.0,
        want_ms: float = 500.0,
        burst_ms: float = 600.0,
        slack_ms: float = 0.0,
    ) -> None:
        """``slack_ms``: a call counts for longer by this, the time from its right to the partner."""
        self._lease_ms, self._want_ms, self._burst_ms = lease_ms, want_ms, burst_ms
        self._slack_ms = slack_ms
        self._limits: dict[str, Limit] = {}
        self._states: dict[str, LimitState] = {}
        self._waiting: dict[str, None] = {}  # keys that anybody waits for, in the order of the first asking
        self._ends: list[tuple[float, str]] = []  # a heap: when states may be of no account any more
        self._ending: set[str] = set()  # their keys
        self._before: dict[str, list[Lease]] = {}
        self._epochs: dict[str, int] = {}
        self._serial = 0
        self._presumed: float | None = None
        self.steps = 0  # limits looked at by ``allocate``, for tests of what it costs

    def assume_exhausted(self, now: float) -> Lease:
        """What was given out before this moment is not known: each limit counts as used up.

        Leases of it may be used to their ends, so it costs a lease's time and a limit's span, once. The
        result stands for them on the record: a successor that restores it presumes the same.
        """
        self._presumed = now + self._lease_ms
        return Lease(0, NOBODY, UNKNOWN_KEY, 0, self._presumed)

    def set_limit(self, key: str, limit: Limit) -> None:
        """A limit is told, or told anew. Leases that are out stay good to their ends, and count."""
        self._limits[key] = limit
        state = self._states.get(key)
        if state is None:
            return
        if limit.span_ms > state.limit.span_ms:
            # Guards the longer span: calls that the shorter one had let go of still fall into it.
            for count in (*state.counts.values(), *state.unleased):
                count.over_at += limit.span_ms - state.limit.span_ms
        state.limit = limit
        state.not_before = -inf

    def unlimited(self, key: str) -> None:
        """A limit is there no more. Leases that are out are of no account from now on."""
        self._limits.pop(key, None)
        self._states.pop(key, None)
        self._waiting.pop(key, None)

    def limit(self, key: str) -> Limit | None:
        """The limit of a key, where one is known."""
        return self._limits.get(key)

    def joined(self, owner: Owner) -> bool:
        """An instance begins under an epoch; false for one that a later epoch has replaced."""
        name, epoch = owner
        if epoch < self._epochs.get(name, -1):
            return False
        self._epochs[name] = epoch
        return True

    def set_demand(self, now: float, owner: Owner, key: str, calls: int) -> None:
        """An owner waits to make so many calls; this replaces what it asked before. Zero asks for nothing."""
        if key not in self._limits or owner[1] < self._epochs.get(owner[0], 0):
            return
        if calls > 0:
            state = self._state(key)
            state.wants[owner] = Demand(min(calls, MAX_LEASE_CALLS), now)
            state.wanted_until = now + self._want_ms
            self._waiting[key] = None
        elif (known := self._states.get(key)) is not None:
            known.wants.pop(owner, None)
            if not known.wants:
                known.wanted_until = -inf

    def report(self, now: float, owner: Owner, key: str, serial: int, made: int, last_at: float) -> None:
        """The owner of a lease will make no more calls against it: it made so many, the last one then."""
        state = self._states.get(key)
        count = state.counts.get(serial) if state is not None else None
        if state is None or count is None or count.owner != owner:
            return  # guards the limit against one that frees another's lease
        state.level += count.calls - max(min(made, count.calls), 0)
        state.not_before = -inf
        if made <= 0:
            del state.counts[serial]
            return
        # Guards the limit against a report that claims too much: it can only lower what counts.
        count.calls = min(made, count.calls)
        count.over_at = min(min(last_at, now) + state.limit.span_ms + self._slack_ms, count.over_at)

    def count_unleased(self, now: float, key: str, calls: int, made_at: float) -> None:
        """Calls were made without a lease, the last one at ``made_at``: they count for a span from then."""
        limit = self._limits.get(key)
        if limit is None or calls <= 0:
            return
        over_at = made_at + limit.span_ms + self._slack_ms
        if over_at <= now:
            return
        state = self._state(key)
        state.fill(now, self._burst_ms)
        state.level = max(state.level - calls, 0.0)  # it is a pace, no debt: the count keeps the limit
        if state.unleased and 0.0 <= over_at - state.unleased[-1].over_at <= MERGE_MS:
            state.unleased[-1].calls += calls
            state.unleased[-1].over_at = over_at
        else:
            state.unleased.append(Count(NOBODY, calls, over_at))

    def allocate(self, now: float) -> list[Lease]:
        """Give out what is free, by what is asked for. Put the leases on record before they are told."""
        self._forget_ended(now)
        leases: list[Lease] = []
        for key in list(self._waiting):
            state = self._states[key]
            if now < min(state.not_before, state.wanted_until):
                continue
            self.steps += 1
            state.clear(now, self._want_ms, self._epochs)
            state.fill(now, self._burst_ms)
            free = state.free(now)
            if free > 0 and state.wants:
                leases += self._divide(now, key, state, free)
            if not state.wants:
                del self._waiting[key]
        return leases

    def _divide(self, now: float, key: str, state: LimitState, free: int) -> list[Lease]:
        had: dict[Owner, int] = {}
        for count in state.counts.values():
            had[count.owner] = had.get(count.owner, 0) + count.calls
        order = sorted(state.wants, key=lambda owner: (state.served_at.get(owner, -inf), owner))
        shares = divide(free, {owner: (had.get(owner, 0), state.wants[owner].calls) for owner in order})
        return [self._lease(now, key, state, owner, calls) for owner, calls in shares.items()]

    def _lease(self, now: float, key: str, state: LimitState, owner: Owner, calls: int) -> Lease:
        self._serial += 1
        lease = Lease(self._serial, owner, key, calls, now + self._lease_ms)
        over_at = lease.until + state.limit.span_ms + self._slack_ms
        state.counts[lease.serial] = Count(owner, calls, over_at)
        state.served_at[owner] = now
        state.level -= calls
        state.wants[owner].calls -= calls
        if state.wants[owner].calls <= 0:
            del state.wants[owner]
        return lease

    def _state(self, key: str) -> LimitState:
        state = self._states.get(key)
        if state is not None:
            return state
        limit = self._limits[key]
        state = self._states[key] = LimitState(limit)
        for lease in self._before.pop(key, ()):
            over_at = lease.until + limit.span_ms + self._slack_ms
            state.counts[lease.serial] = Count(lease.owner, lease.calls, over_at)
        if self._presumed is not None:
            over_at = self._presumed + limit.span_ms + self._slack_ms
            state.counts[0] = Count(NOBODY, limit.calls, over_at)  # serials begin at 1
        if key not in self._ending:
            self._ending.add(key)
            heappush(self._ends, (0.0, key))
        return state

    def _forget_ended(self, now: float) -> None:
        """Drop states of which nothing counts any more and whose pace is full again."""
        while self._ends and self._ends[0][0] <= now:
            _, key = heappop(self._ends)
            state = self._states.get(key)
            if state is None:
                self._ending.discard(key)
                continue
            ends = [count.over_at for count in (*state.counts.values(), *state.unleased)]
            if not state.wants and max(ends, default=now) <= now and state.filled_at + self._burst_ms <= now:
                del self._states[key]
                self._ending.discard(key)
                self._waiting.pop(key, None)  # whoever waited has taken it back
            else:
                again = max(max(ends, default=now), state.filled_at + self._burst_ms, now + self._burst_ms)
                heappush(self._ends, (again, key))

    def restore(self, records: Iterable[Lease]) -> None:
        """Count what a predecessor gave out, before anything is asked for."""
        self._before = {}
        for lease in records:
            if lease.key == UNKNOWN_KEY:
                self._presumed = max(lease.until, self._presumed or lease.until)
                continue
            self._before.setdefault(lease.key, []).append(lease)
            self._serial = max(self._serial, lease.serial)
            self._epochs[lease.owner[0]] = max(lease.owner[1], self._epochs.get(lease.owner[0], 0))

    def rate(self, now: float, key: str, owner: Owner) -> float:
        """The calls a second that an owner may count on: its fair part, or what it had if that is more."""
        state = self._state(key)
        live = [count for count in state.counts.values() if count.over_at > now]
        had = sum(count.calls for count in live if count.owner == owner)
        sharers = {count.owner for count in live} | set(state.wants) | {owner}
        return 1000.0 * max(had, state.limit.calls / len(sharers)) / state.limit.span_ms

    def taken(self, now: float, key: str) -> int:
        """How much of a limit counts as used now."""
        return self._state(key).taken(now)

    @property
    def keys(self) -> Collection[str]:
        """Which keys have a limit; only for what concerns all of them, as a change of the fleet's default."""
        return self._limits.keys()

    @property
    def waiting(self) -> bool:
        """Whether anybody asks for anything."""
        return bool(self._waiting)

    def waits(self, key: str) -> bool:
        """Whether anybody waits for a key."""
        return key in self._waiting

    @property
    def states(self) -> int:
        """How many limits hold any state."""
        return len(self._states)


def divide(free: int, wants: Mapping[Owner, tuple[int, int]]) -> dict[Owner, int]:
    """Max-min fair: raise whoever has least, until nothing is free or nobody wants more.

    ``wants`` holds, in the order in which equals are served, what each has had and how much more it wants.
    The result leaves out who gets nothing.
    """

    def given(level: int) -> int:
        return sum(min(max(level - had, 0), want) for had, want in wants.values())

    low, high = 0, max((had + want for had, want in wants.values()), default=0)
    while low < high:  # the highest level to which all can be raised
        middle = (low + high + 1) // 2
        low, high = (middle, high) if given(middle) <= free else (low, middle - 1)
    shares = {owner: min(max(low - had, 0), want) for owner, (had, want) in wants.items()}
    left = free - sum(shares.values())
    for owner, (had, want) in wants.items():  # what is left is less than one call for each at that level
        if left and had + shares[owner] <= low and shares[owner] < want:
            shares[owner] += 1
            left -= 1
    return {owner: calls for owner, calls in shares.items() if calls}
