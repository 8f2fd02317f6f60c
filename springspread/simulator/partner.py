"""A model of a partner: endpoints, limit, service times and faults.

The outcome of a call is computed as it arrives: faults, the limit and a full queue are checked in the order
of a real partner, else the call goes to the worker that is free first. A partner thus needs no events of its
own, and equal arrivals have equal outcomes. Times are milliseconds; rates are calls a second.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from heapq import heapify, heapreplace
from math import exp, inf
from random import Random


class Trouble(Enum):
    """A fault of an endpoint."""

    NONE = "none"
    REFUSING = "refusing"  # connections are refused
    SILENT = "silent"  # calls are never answered
    FAILING = "failing"  # a share of calls fails fast
    SHUT = "shut"  # every call is rejected
    SLOW = "slow"  # service times are multiplied
    RESETTING = "resetting"  # a share of calls ends in a reset, and may have run
    MALFORMED = "spoilt"  # a share of calls is served, with a malformed answer


class End(Enum):
    """How a call ends, as its caller sees it."""

    DONE = "done"
    FAILED = "failed"
    FULL = "full"
    REFUSED = "refused"  # no connection
    SILENT = "silent"  # no answer
    RESET = "reset"
    MALFORMED = "spoilt"  # a malformed answer


@dataclass(frozen=True, slots=True)
class Answer:
    """When and how a call ends; ``ran``: whether its messages were applied."""

    at: float
    end: End
    ran: bool
    wait_ms: float = 0.0
    left_share: float | None = None
    limit_per_s: float | None = None


class Limit:
    """A count of calls in each fixed span (``span_ms`` > 0), or a rate with a short burst."""

    def __init__(self, per_s: float, span_ms: float = 0.0, burst_ms: float = 500.0) -> None:
        self.span_ms, self._burst_ms = span_ms, burst_ms
        self.set_rate(per_s)
        self._span, self._used = -1, 0
        self._tokens, self._at = self._burst_calls, 0.0

    def set_rate(self, per_s: float) -> None:
        """Change the rate."""
        self.per_s = per_s
        self._calls_per_span = max(int(per_s * self.span_ms / 1000), 1)
        self._burst_calls = max(per_s * self._burst_ms / 1000, 1.0)

    def left(self, now: float) -> float:
        """The share of the limit that is left."""
        if self.span_ms:
            return 1.0 - (self._used if int(now / self.span_ms) == self._span else 0) / self._calls_per_span
        return min(self._tokens + (now - self._at) * self.per_s / 1000, self._burst_calls) / self._burst_calls

    def take(self, now: float) -> bool:
        """Count a call; whether it is within the limit."""
        if self.span_ms:
            span = int(now / self.span_ms)
            if span != self._span:
                self._span, self._used = span, 0
            within = self._used < self._calls_per_span
            self._used += within
            return within
        self._tokens = min(self._tokens + (now - self._at) * self.per_s / 1000, self._burst_calls)
        self._at = now
        within = self._tokens >= 1.0
        self._tokens -= within
        return within

    def refused(self) -> None:
        """Charge a rejected call to the limit."""
        self._tokens = max(self._tokens - 1.0, 0.0)


@dataclass(frozen=True, slots=True)
class Profile:
    """A partner's behaviour. Up to ``queue`` calls wait for ``workers``; ``spread`` is lognormal."""

    service_ms: float
    spread: float = 0.35
    workers: int = 4
    queue: int = 8
    limit_per_s: float = 0.0  # 0: no limit but the capacity
    span_ms: float = 0.0
    counts_refused: bool = False
    retry_after_ms: float = 0.0
    separate_routes: bool = False
    reports_load: bool = True
    cold_share: float = 0.13
    warm_ms: float = 12_000.0
    fall_multiple: float = 2.5
    fall_ms: float = 2_000.0


@dataclass(slots=True)
class Condition:
    """An endpoint's current fault; ``severity`` is a share of calls, or a factor (slow)."""

    trouble: Trouble = Trouble.NONE
    severity: float = 1.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint: its workers and its warm-up."""

    name: str
    profile: Profile
    rng: Random
    limit: Limit | None
    condition: Condition = field(default_factory=Condition)
    back_at: float = -inf  # end of the last outage: it warms up from there
    overloaded: bool = False
    _free_at: list[float] = field(default_factory=list)
    _recent_cold_calls: deque[tuple[float, str]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self._free_at = [0.0] * self.profile.workers
        heapify(self._free_at)

    @property
    def capacity(self) -> float:
        """Calls a second when warm."""
        return 1000.0 * self.profile.workers / self.profile.service_ms

    def warmth(self, now: float) -> float:
        """The available share of its capacity."""
        profile, since = self.profile, now - self.back_at
        if since >= profile.warm_ms:
            return 1.0
        return profile.cold_share + (1.0 - profile.cold_share) * max(since, 0.0) / profile.warm_ms

    def set_condition(self, now: float, condition: Condition) -> None:
        """Set the condition. The endpoint is cold after an outage."""
        out_of_service = (Trouble.REFUSING, Trouble.SILENT, Trouble.SHUT)
        if self.condition.trouble in out_of_service and condition.trouble not in out_of_service:
            self.back_at, self.overloaded = now, False
            self._free_at = [now] * self.profile.workers
            self._recent_cold_calls.clear()
        self.condition = condition

    def arrive(self, now: float, messages: int = 1, sender: str = "") -> Answer:
        """A call has arrived completely."""
        if self._is_overloaded(now, sender):
            self.overloaded = True
        trouble = Trouble.REFUSING if self.overloaded else self.condition.trouble
        if trouble is Trouble.REFUSING:
            return Answer(now, End.REFUSED, False)
        if trouble is Trouble.SILENT:
            return Answer(inf, End.SILENT, self.rng.random() < 0.5)
        if trouble is Trouble.SHUT:
            return self._reject(now)
        if self.limit is not None and not self.limit.take(now):
            return self._reject(now)
        if trouble is Trouble.FAILING and self.rng.random() < self.condition.severity:
            return self._answer(now + 5.0, End.FAILED, self.rng.random() < 0.5)
        if trouble is Trouble.RESETTING and self.rng.random() < self.condition.severity:
            return Answer(
                now + self.rng.uniform(0.0, self.profile.service_ms), End.RESET, self.rng.random() < 0.5
            )
        answer = self._serve(now, messages, self.condition.severity if trouble is Trouble.SLOW else 1.0)
        if (
            trouble is Trouble.MALFORMED
            and answer.end is End.DONE
            and self.rng.random() < self.condition.severity
        ):
            return replace(answer, end=End.MALFORMED)
        return answer

    def _serve(self, now: float, messages: int, factor: float) -> Answer:
        waiting = sum(at > now for at in self._free_at)
        start = max(now, self._free_at[0])
        mean = self.profile.service_ms * factor / self.warmth(now) * (1.0 + 0.25 * (messages - 1))
        if waiting == len(self._free_at) and start - now > self.profile.queue * mean / self.profile.workers:
            return self._reject(now)
        noise = exp(self.rng.gauss(0.0, self.profile.spread) - self.profile.spread**2 / 2)
        end = start + mean * noise
        heapreplace(self._free_at, end)
        return self._answer(end, End.DONE, True)

    def _reject(self, now: float) -> Answer:
        if self.limit is not None and self.profile.counts_refused:
            self.limit.refused()
        return self._answer(now + 1.0, End.FULL, False, self.profile.retry_after_ms)

    def _answer(self, at: float, end: End, ran: bool, wait_ms: float = 0.0) -> Answer:
        if self.limit is None or not self.profile.reports_load:
            return Answer(at, end, ran, wait_ms)
        left = round(max(self.limit.left(at), 0.0), 3)
        return Answer(at, end, ran, wait_ms, left, self.limit.per_s)

    @property
    def cold_callers(self) -> list[str]:
        """The senders of the calls in the last ``fall_ms`` while cold, one entry a call."""
        return [sender for _, sender in self._recent_cold_calls]

    def _is_overloaded(self, now: float, sender: str) -> bool:
        # A cold endpoint tolerates ``fall_multiple`` times its capacity, rejected calls included.
        profile = self.profile
        if now - self.back_at >= profile.warm_ms:
            return False
        self._recent_cold_calls.append((now, sender))
        while self._recent_cold_calls[0][0] <= now - profile.fall_ms:
            self._recent_cold_calls.popleft()
        budget = profile.fall_multiple * self.warmth(now) * self.capacity * profile.fall_ms / 1000
        return len(self._recent_cold_calls) > max(budget, 3.0)


class Partner:
    """One destination: its endpoints share a limit, unless they are separate routes."""

    def __init__(self, group: int, profile: Profile, names: list[str], seed: str) -> None:
        self.group, self.profile, self._seed = group, profile, seed
        self._shared = self._limit()
        self.endpoints: dict[str, Endpoint] = {}
        for name in names:
            self.add(name)

    def _limit(self) -> Limit | None:
        profile = self.profile
        return Limit(profile.limit_per_s, profile.span_ms) if profile.limit_per_s else None

    def add(self, name: str) -> Endpoint:
        """Add an endpoint."""
        limit = self._limit() if self.profile.separate_routes else self._shared
        endpoint = Endpoint(name, self.profile, Random(f"{self._seed}/pace/{name}"), limit)
        self.endpoints[name] = endpoint
        return endpoint

    def scale_limit(self, fraction: float) -> None:
        """Set the limit to a fraction of the usual one."""
        for limit in {id(e.limit): e.limit for e in self.endpoints.values() if e.limit}.values():
            limit.set_rate(self.profile.limit_per_s * fraction)

    @property
    def rating(self) -> float:
        """Calls a second in total, or for each route where routes are separate."""
        each = next(iter(self.endpoints.values())).capacity
        total = each if self.profile.separate_routes else each * len(self.endpoints)
        return min(self.profile.limit_per_s or inf, total)
