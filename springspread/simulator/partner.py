"""A partner: its endpoints, its limit, its pace and its troubles, as a model fed times and calls.

Theory of operation: a call that arrives is judged at once. Whatever keeps it from being served (trouble, the
limit, a full queue) is looked at in the order in which a real partner would come to it; else it takes the
place of work that is free first, and the moment of its end is known from there. So a partner needs no events
of its own, and the same arrivals always meet the same ends. Times are milliseconds; rates are calls a second.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from heapq import heapify, heapreplace
from math import exp, inf
from random import Random


class Trouble(Enum):
    """What may be wrong with an endpoint."""

    NONE = "none"
    REFUSING = "refusing"  # connections are refused
    SILENT = "silent"  # calls are never answered
    FAILING = "failing"  # calls fail fast, a share of them
    SHUT = "shut"  # every call is turned away
    SLOW = "slow"  # calls take so many times as long
    RESETTING = "resetting"  # a share of calls ends in a reset, and may have run
    SPOILT = "spoilt"  # a share of calls is served and answered with nonsense


class End(Enum):
    """How a call ends, as its caller sees it."""

    DONE = "done"
    FAILED = "failed"
    FULL = "full"
    REFUSED = "refused"  # no connection
    SILENT = "silent"  # never: the caller stops waiting
    RESET = "reset"
    SPOILT = "spoilt"  # an answer came that means nothing


@dataclass(frozen=True, slots=True)
class Answer:
    """When and how a call ends; ``ran`` counts its messages that were applied, by then or earlier."""

    at: float
    end: End
    ran: bool
    wait_ms: float = 0.0
    left_share: float | None = None
    limit_per_s: float | None = None


class Limit:
    """So many calls in each fixed span (``span_ms`` > 0), or a plain rate with room for a short burst."""

    def __init__(self, per_s: float, span_ms: float = 0.0, burst_ms: float = 500.0) -> None:
        self.span_ms, self._burst_ms = span_ms, burst_ms
        self.falls_to(per_s)
        self._span, self._used = -1, 0
        self._tokens, self._at = self._depth, 0.0

    def falls_to(self, per_s: float) -> None:
        """It is another one from now on, lower or higher."""
        self.per_s = per_s
        self._count = max(int(per_s * self.span_ms / 1000), 1)
        self._depth = max(per_s * self._burst_ms / 1000, 1.0)

    def left(self, now: float) -> float:
        """The share of the limit that is left now."""
        if self.span_ms:
            return 1.0 - (self._used if int(now / self.span_ms) == self._span else 0) / self._count
        return min(self._tokens + (now - self._at) * self.per_s / 1000, self._depth) / self._depth

    def take(self, now: float) -> bool:
        """A call comes: whether it is within the limit."""
        if self.span_ms:
            span = int(now / self.span_ms)
            if span != self._span:
                self._span, self._used = span, 0
            within = self._used < self._count
            self._used += within
            return within
        self._tokens = min(self._tokens + (now - self._at) * self.per_s / 1000, self._depth)
        self._at = now
        within = self._tokens >= 1.0
        self._tokens -= within
        return within

    def refused(self) -> None:
        """A call that was refused just now uses the limit up, too."""
        self._tokens = max(self._tokens - 1.0, 0.0)


@dataclass(frozen=True, slots=True)
class Habit:
    """What a partner is like. ``places`` work at once, ``queue`` calls wait; ``spread`` is lognormal."""

    pace_ms: float
    spread: float = 0.35
    places: int = 4
    queue: int = 8
    limit_per_s: float = 0.0  # 0: none but its capacity
    span_ms: float = 0.0
    counts_refused: bool = False
    tells_wait_ms: float = 0.0
    apart: bool = False
    reports: bool = True
    cold_share: float = 0.13
    warm_ms: float = 12_000.0
    fall_multiple: float = 2.5
    fall_ms: float = 2_000.0


@dataclass(slots=True)
class Condition:
    """An endpoint's trouble from a time on; ``much`` is a share of calls, or a factor (slow)."""

    trouble: Trouble = Trouble.NONE
    much: float = 1.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint: its places of work, and how warm it is."""

    name: str
    profile: Habit
    rng: Random
    limit: Limit | None
    condition: Condition = field(default_factory=Condition)
    back_at: float = -inf  # when its last outage ended: it is cold from then on
    fallen: bool = False
    _free: list[float] = field(default_factory=list)
    _cold_calls: deque[tuple[float, str]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self._free = [0.0] * self.profile.places
        heapify(self._free)

    @property
    def capacity(self) -> float:
        """Calls a second, warm."""
        return 1000.0 * self.profile.places / self.profile.pace_ms

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has."""
        profile, since = self.profile, now - self.back_at
        if since >= profile.warm_ms:
            return 1.0
        return profile.cold_share + (1.0 - profile.cold_share) * max(since, 0.0) / profile.warm_ms

    def troubled(self, now: float, condition: Condition) -> None:
        """Its trouble begins or ends. It is cold after one in which it served nobody."""
        away = (Trouble.REFUSING, Trouble.SILENT, Trouble.SHUT)
        if self.condition.trouble in away and condition.trouble not in away:
            self.back_at, self.fallen = now, False
            self._free = [now] * self.profile.places
            self._cold_calls.clear()
        self.condition = condition

    def arrive(self, now: float, messages: int = 1, sender: str = "") -> Answer:
        """A call's last byte has come."""
        if self._pushed(now, sender):
            self.fallen = True
        trouble = Trouble.REFUSING if self.fallen else self.condition.trouble
        if trouble is Trouble.REFUSING:
            return Answer(now, End.REFUSED, False)
        if trouble is Trouble.SILENT:
            return Answer(inf, End.SILENT, self.rng.random() < 0.5)
        if trouble is Trouble.SHUT:
            return self._full(now)
        if self.limit is not None and not self.limit.take(now):
            return self._full(now)
        if trouble is Trouble.FAILING and self.rng.random() < self.condition.much:
            return self._told(now + 5.0, End.FAILED, self.rng.random() < 0.5)
        if trouble is Trouble.RESETTING and self.rng.random() < self.condition.much:
            return Answer(
                now + self.rng.uniform(0.0, self.profile.pace_ms), End.RESET, self.rng.random() < 0.5
            )
        answer = self._serve(now, messages, self.condition.much if trouble is Trouble.SLOW else 1.0)
        if trouble is Trouble.SPOILT and answer.end is End.DONE and self.rng.random() < self.condition.much:
            return replace(answer, end=End.SPOILT)
        return answer

    def _serve(self, now: float, messages: int, factor: float) -> Answer:
        waiting = sum(at > now for at in self._free)
        start = max(now, self._free[0])
        mean = self.profile.pace_ms * factor / self.warmth(now) * (1.0 + 0.25 * (messages - 1))
        if waiting == len(self._free) and start - now > self.profile.queue * mean / self.profile.places:
            return self._full(now)
        noise = exp(self.rng.gauss(0.0, self.profile.spread) - self.profile.spread**2 / 2)
        end = start + mean * noise
        heapreplace(self._free, end)
        return self._told(end, End.DONE, True)

    def _full(self, now: float) -> Answer:
        if self.limit is not None and self.profile.counts_refused:
            self.limit.refused()
        return self._told(now + 1.0, End.FULL, False, self.profile.tells_wait_ms)

    def _told(self, at: float, end: End, ran: bool, wait_ms: float = 0.0) -> Answer:
        if self.limit is None or not self.profile.reports:
            return Answer(at, end, ran, wait_ms)
        left = round(max(self.limit.left(at), 0.0), 3)
        return Answer(at, end, ran, wait_ms, left, self.limit.per_s)

    @property
    def cold_callers(self) -> list[str]:
        """Who sent what it was sent in its last ``fall_ms`` while cold, a call each."""
        return [sender for _, sender in self._cold_calls]

    def _pushed(self, now: float, sender: str) -> bool:
        # What a cold endpoint is sent, whether it serves it or not, may be so many times what it can do.
        profile = self.profile
        if now - self.back_at >= profile.warm_ms:
            return False
        self._cold_calls.append((now, sender))
        while self._cold_calls[0][0] <= now - profile.fall_ms:
            self._cold_calls.popleft()
        budget = profile.fall_multiple * self.warmth(now) * self.capacity * profile.fall_ms / 1000
        return len(self._cold_calls) > max(budget, 3.0)


class Partner:
    """One destination: its endpoints share a limit, unless they are routes apart."""

    def __init__(self, group: int, profile: Habit, names: list[str], seed: str) -> None:
        self.group, self.profile, self._seed = group, profile, seed
        self._shared = self._limit()
        self.endpoints: dict[str, Endpoint] = {}
        for name in names:
            self.add(name)

    def _limit(self) -> Limit | None:
        profile = self.profile
        return Limit(profile.limit_per_s, profile.span_ms) if profile.limit_per_s else None

    def add(self, name: str) -> Endpoint:
        """A further endpoint."""
        limit = self._limit() if self.profile.apart else self._shared
        made = Endpoint(name, self.profile, Random(f"{self._seed}/pace/{name}"), limit)
        self.endpoints[name] = made
        return made

    def limit_falls(self, part: float) -> None:
        """It takes this part of its usual limit from now on; 1 is the usual one again."""
        for limit in {id(e.limit): e.limit for e in self.endpoints.values() if e.limit}.values():
            limit.falls_to(self.profile.limit_per_s * part)

    @property
    def rating(self) -> float:
        """Calls a second that it takes from everybody (a route's, where they are apart)."""
        each = next(iter(self.endpoints.values())).capacity
        total = each if self.profile.apart else each * len(self.endpoints)
        return min(self.profile.limit_per_s or inf, total)
