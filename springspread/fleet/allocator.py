"""Divides call limits among instances by granting leases.

Theory of operation. A limit allows a number of calls in any sliding window of ``span_ms``. An instance may
begin a call only against a lease: a number of calls and an expiry time. For each limit the allocator counts
the calls that may still fall into a window that ends now or later:

    lease       counted calls          counted until
    open        all of its calls       its expiry, or its report
    reported    the calls made         the last of them, plus the span
    expired     all of its calls       its expiry, plus the span
    unleased    the calls reported     the last of them, plus the span

It grants at most the limit minus that count. A call is counted from before it is made until one span after
it, so no window exceeds the limit, even if messages are lost or instances die. Leases are recorded on disk
before they are sent, so that a successor counts the same.

Division is max-min fair by what each owner was granted within the last span. Among equals the one served
least recently goes first, so that a limit smaller than the number of instances rotates among them. A token
bucket paces the grants: without it a window's calls would all be granted at its start, and a shift of
demand would wait for the next window.

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

MAX_LEASE_CALLS = (1 << 32) - 1  # the width of the record's field
REFILL_FACTOR = 1.1  # relative to the limit's rate, so that delayed grants catch up


@dataclass(slots=True)
class CountedCalls:
    """Calls that count against a limit until ``expires_at``."""

    owner: Owner
    calls: int
    expires_at: float


@dataclass(slots=True)
class Demand:
    """How many calls an owner waits to make, by its latest request, and when that came."""

    calls: int
    at: float


@dataclass(slots=True)
class LimitState:
    """One limit in use: the calls counted against it, the demands for it, and when each owner was served."""

    limit: Limit
    counts: dict[int, CountedCalls] = field(default_factory=dict)
    unleased: deque[CountedCalls] = field(default_factory=deque)  # reported after they were made
    demands: dict[Owner, Demand] = field(default_factory=dict)
    served_at: dict[Owner, float] = field(default_factory=dict)
    tokens: float = inf  # of the bucket that paces grants
    refilled_at: float = 0.0
    not_before: float = -inf  # no call becomes available earlier
    demanded_until: float = -inf  # when the latest demand expires

    def refill(self, now: float, burst_ms: float) -> None:
        """Add the tokens earned since the last refill."""
        per_ms = REFILL_FACTOR * self.limit.calls / self.limit.span_ms
        self.tokens = min(self.tokens + (now - self.refilled_at) * per_ms, max(per_ms * burst_ms, 1.0))
        self.refilled_at = now

    def prune(self, now: float, demand_ttl_ms: float, epochs: Mapping[str, int]) -> None:
        """Drop expired counts, and demands that expired or whose owner was replaced."""
        self.counts = {serial: count for serial, count in self.counts.items() if count.expires_at > now}
        self.unleased = deque(count for count in self.unleased if count.expires_at > now)
        self.demands = {
            owner: demand
            for owner, demand in self.demands.items()
            if demand.at + demand_ttl_ms > now and owner[1] >= epochs.get(owner[0], 0)
        }
        holders = {count.owner for count in self.counts.values()}
        self.served_at = {o: at for o, at in self.served_at.items() if o in holders or o in self.demands}

    def available(self, now: float) -> int:
        """How many calls may be granted now; if none, ``not_before`` is set to when to check again."""
        free = min(self.limit.calls - self.committed(now), floor(self.tokens))
        if free > 0:
            return free
        if self.tokens < 1.0:
            self.not_before = now + (1.0 - self.tokens) * self.limit.span_ms / (
                REFILL_FACTOR * self.limit.calls
            )
        else:
            ends = (count.expires_at for count in (*self.counts.values(), *self.unleased))
            self.not_before = min((end for end in ends if end > now), default=now)
        return 0

    def committed(self, now: float) -> int:
        """The calls that may fall into a window that ends now or later."""
        leased = sum(count.calls for count in self.counts.values() if count.expires_at > now)
        return leased + sum(count.calls for count in self.unleased if count.expires_at > now)


NO_OWNER: Owner = ("", 0)
MERGE_MS = 50.0  # unleased calls that expire within this time of each other are counted as one entry


class Allocator:
    """Grants leases: call ``set_demand`` and ``report`` per message, ``allocate`` every few milliseconds.

    Its cost grows with demands, reports and counted calls, not with the number of limits: a limit has a
    ``LimitState`` only while calls count against it or somebody waits for it.
    """

    def __init__(
        self,
        lease_ms: float = 200.0,
        demand_ttl_ms: float = 500.0,
        burst_ms: float = 600.0,
        slack_ms: float = 0.0,
    ) -> None:
        """``slack_ms``: added to how long a call counts, for its way from the grant to the partner."""
        self._lease_ms, self._demand_ttl_ms, self._burst_ms = lease_ms, demand_ttl_ms, burst_ms
        self._slack_ms = slack_ms
        self._limits: dict[str, Limit] = {}
        self._states: dict[str, LimitState] = {}
        self._waiting: dict[str, None] = {}  # keys with demands, in the order of their first demand
        self._expiries: list[tuple[float, str]] = []  # a heap of when to check whether a state can be dropped
        self._expiry_keys: set[str] = set()  # keys in the heap
        self._restored: dict[str, list[Lease]] = {}
        self._epochs: dict[str, int] = {}
        self._serial = 0
        self._unknown_until: float | None = None
        self.limits_examined = 0  # by ``allocate``; a measure of cost for tests

    def assume_exhausted(self, now: float) -> Lease:
        """Count every limit as used up, because earlier leases are unknown.

        Lasts for a lease's lifetime plus the limit's span, as unknown leases may be used until they expire.
        The returned lease is a placeholder for the record: a successor that restores it assumes the same.
        """
        self._unknown_until = now + self._lease_ms
        return Lease(0, NO_OWNER, UNKNOWN_KEY, 0, self._unknown_until)

    def set_limit(self, key: str, limit: Limit) -> None:
        """Add or replace a limit. Open leases stay valid until they expire, and count."""
        self._limits[key] = limit
        state = self._states.get(key)
        if state is None:
            return
        if limit.span_ms > state.limit.span_ms:
            # Calls counted for the shorter span still fall into windows of the longer one.
            for count in (*state.counts.values(), *state.unleased):
                count.expires_at += limit.span_ms - state.limit.span_ms
        state.limit = limit
        state.not_before = -inf

    def remove_limit(self, key: str) -> None:
        """Remove a limit. Its open leases no longer count."""
        self._limits.pop(key, None)
        self._states.pop(key, None)
        self._waiting.pop(key, None)

    def limit(self, key: str) -> Limit | None:
        """The limit of a key, if it has one."""
        return self._limits.get(key)

    def register(self, owner: Owner) -> bool:
        """Record the epoch of an instance that started; false if a later epoch has replaced it."""
        name, epoch = owner
        if epoch < self._epochs.get(name, -1):
            return False
        self._epochs[name] = epoch
        return True

    def set_demand(self, now: float, owner: Owner, key: str, calls: int) -> None:
        """Set how many calls an owner waits to make; replaces its earlier demand, zero withdraws it."""
        if key not in self._limits or owner[1] < self._epochs.get(owner[0], 0):
            return
        if calls > 0:
            state = self._state(key)
            state.demands[owner] = Demand(min(calls, MAX_LEASE_CALLS), now)
            state.demanded_until = now + self._demand_ttl_ms
            self._waiting[key] = None
        elif (known := self._states.get(key)) is not None:
            known.demands.pop(owner, None)
            if not known.demands:
                known.demanded_until = -inf

    def report(self, now: float, owner: Owner, key: str, serial: int, made: int, last_at: float) -> None:
        """Close a lease: its owner made ``made`` calls against it, the last at ``last_at``."""
        state = self._states.get(key)
        count = state.counts.get(serial) if state is not None else None
        if state is None or count is None or count.owner != owner:
            return  # only its owner may close a lease
        state.tokens += count.calls - max(min(made, count.calls), 0)
        state.not_before = -inf
        if made <= 0:
            del state.counts[serial]
            return
        # A faulty report can only lower the count to what the lease allowed.
        count.calls = min(made, count.calls)
        count.expires_at = min(min(last_at, now) + state.limit.span_ms + self._slack_ms, count.expires_at)

    def count_unleased(self, now: float, key: str, calls: int, made_at: float) -> None:
        """Count calls that were made without a lease, the last one at ``made_at``."""
        limit = self._limits.get(key)
        if limit is None or calls <= 0:
            return
        expires_at = made_at + limit.span_ms + self._slack_ms
        if expires_at <= now:
            return
        state = self._state(key)
        state.refill(now, self._burst_ms)
        state.tokens = max(state.tokens - calls, 0.0)  # no debt, as the count enforces the limit
        if state.unleased and 0.0 <= expires_at - state.unleased[-1].expires_at <= MERGE_MS:
            state.unleased[-1].calls += calls
            state.unleased[-1].expires_at = expires_at
        else:
            state.unleased.append(CountedCalls(NO_OWNER, calls, expires_at))

    def allocate(self, now: float) -> list[Lease]:
        """Grant available calls to demands. Leases must be recorded before they are sent."""
        self._drop_expired(now)
        leases: list[Lease] = []
        for key in list(self._waiting):
            state = self._states[key]
            if now < min(state.not_before, state.demanded_until):
                continue
            self.limits_examined += 1
            state.prune(now, self._demand_ttl_ms, self._epochs)
            state.refill(now, self._burst_ms)
            free = state.available(now)
            if free > 0 and state.demands:
                leases += self._divide(now, key, state, free)
            if not state.demands:
                del self._waiting[key]
        return leases

    def _divide(self, now: float, key: str, state: LimitState, free: int) -> list[Lease]:
        granted: dict[Owner, int] = {}
        for count in state.counts.values():
            granted[count.owner] = granted.get(count.owner, 0) + count.calls
        order = sorted(state.demands, key=lambda owner: (state.served_at.get(owner, -inf), owner))
        shares = divide(free, {owner: (granted.get(owner, 0), state.demands[owner].calls) for owner in order})
        return [self._grant(now, key, state, owner, calls) for owner, calls in shares.items()]

    def _grant(self, now: float, key: str, state: LimitState, owner: Owner, calls: int) -> Lease:
        self._serial += 1
        lease = Lease(self._serial, owner, key, calls, now + self._lease_ms)
        expires_at = lease.until + state.limit.span_ms + self._slack_ms
        state.counts[lease.serial] = CountedCalls(owner, calls, expires_at)
        state.served_at[owner] = now
        state.tokens -= calls
        state.demands[owner].calls -= calls
        if state.demands[owner].calls <= 0:
            del state.demands[owner]
        return lease

    def _state(self, key: str) -> LimitState:
        state = self._states.get(key)
        if state is not None:
            return state
        limit = self._limits[key]
        state = self._states[key] = LimitState(limit)
        for lease in self._restored.pop(key, ()):
            expires_at = lease.until + limit.span_ms + self._slack_ms
            state.counts[lease.serial] = CountedCalls(lease.owner, lease.calls, expires_at)
        if self._unknown_until is not None:
            expires_at = self._unknown_until + limit.span_ms + self._slack_ms
            state.counts[0] = CountedCalls(NO_OWNER, limit.calls, expires_at)  # granted serials start at 1
        if key not in self._expiry_keys:
            self._expiry_keys.add(key)
            heappush(self._expiries, (0.0, key))
        return state

    def _drop_expired(self, now: float) -> None:
        """Drop states with no demands, no counted calls and a full token bucket."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heappop(self._expiries)
            state = self._states.get(key)
            if state is None:
                self._expiry_keys.discard(key)
                continue
            ends = [count.expires_at for count in (*state.counts.values(), *state.unleased)]
            if (
                not state.demands
                and max(ends, default=now) <= now
                and state.refilled_at + self._burst_ms <= now
            ):
                del self._states[key]
                self._expiry_keys.discard(key)
                self._waiting.pop(key, None)  # its demands were withdrawn
            else:
                check_at = max(
                    max(ends, default=now), state.refilled_at + self._burst_ms, now + self._burst_ms
                )
                heappush(self._expiries, (check_at, key))

    def restore(self, records: Iterable[Lease]) -> None:
        """Count a predecessor's leases; call before any demand is set."""
        self._restored = {}
        for lease in records:
            if lease.key == UNKNOWN_KEY:
                self._unknown_until = max(lease.until, self._unknown_until or lease.until)
                continue
            self._restored.setdefault(lease.key, []).append(lease)
            self._serial = max(self._serial, lease.serial)
            self._epochs[lease.owner[0]] = max(lease.owner[1], self._epochs.get(lease.owner[0], 0))

    def rate(self, now: float, key: str, owner: Owner) -> float:
        """The calls per second that an owner can expect: its fair share, or its grants if they are more."""
        state = self._state(key)
        live = [count for count in state.counts.values() if count.expires_at > now]
        granted = sum(count.calls for count in live if count.owner == owner)
        sharers = {count.owner for count in live} | set(state.demands) | {owner}
        return 1000.0 * max(granted, state.limit.calls / len(sharers)) / state.limit.span_ms

    def committed(self, now: float, key: str) -> int:
        """How many calls count against a limit now."""
        return self._state(key).committed(now)

    @property
    def keys(self) -> Collection[str]:
        """The keys that have a limit, possibly very many; only for rare changes such as the default mode."""
        return self._limits.keys()

    @property
    def waiting(self) -> bool:
        """Whether anybody waits for a lease."""
        return bool(self._waiting)

    def is_waiting(self, key: str) -> bool:
        """Whether anybody waits for a lease of a key."""
        return key in self._waiting

    @property
    def state_count(self) -> int:
        """How many limits have a ``LimitState``."""
        return len(self._states)


def divide(free: int, demands: Mapping[Owner, tuple[int, int]]) -> dict[Owner, int]:
    """Max-min fair division: raise whoever has least until nothing is free or all demands are met.

    ``demands`` maps each owner to the calls it was granted before and the calls it asks for, in the order in
    which equals are served. Owners that get nothing are left out of the result.
    """

    def cost(level: int) -> int:
        return sum(min(max(level - granted, 0), asked) for granted, asked in demands.values())

    low, high = 0, max((granted + asked for granted, asked in demands.values()), default=0)
    while low < high:  # the highest level to which all can be raised
        middle = (low + high + 1) // 2
        low, high = (middle, high) if cost(middle) <= free else (low, middle - 1)
    shares = {owner: min(max(low - granted, 0), asked) for owner, (granted, asked) in demands.items()}
    left = free - sum(shares.values())
    for owner, (granted, asked) in demands.items():  # fewer calls are left than owners at that level
        if left and granted + shares[owner] <= low and shares[owner] < asked:
            shares[owner] += 1
            left -= 1
    return {owner: calls for owner, calls in shares.items() if calls}
