"""Records that the decision module keeps and their book-keeping: no decision and no tuned value."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import exp, exp2, inf

from springspread.interface import ClassSpec, Effect, Fade, KindSpec, RouteState, Scope


@dataclass(slots=True)
class DecayingCount:
    """A count with exponential decay, and the time that it covers, decayed alike."""

    updated_at: float
    count: float = 0.0
    span: float = 0.0

    def add(self, now: float, decay_ms: float, amount: float = 1.0) -> None:
        """Decay the count, then add to it."""
        kept = exp((self.updated_at - now) / decay_ms)
        self.count, self.span = self.count * kept + amount, self.span * kept + decay_ms * (1.0 - kept)
        self.updated_at = now

    def rate(self, now: float, part: float, prior: float, prior_ms: float) -> float:
        """A part of the count per second, averaged with a prior rate that weighs ``prior_ms``."""
        return (1000 * part * self.count + prior * prior_ms) / (
            max(self.span, now - self.updated_at) + prior_ms
        )


@dataclass(slots=True, eq=False)
class RateLimiter:
    """The token bucket of one limit: of a route, or of all routes of a destination where they share it.

    Also holds what is known of an outage behind the limit.
    """

    share: float  # of the limit, for this sender
    rating: float = 1.0
    reported_limit: float = 0.0
    tokens: float = 1.0
    rate_per_s: float = 1.0
    refilled_at: float = 0.0
    shut_until: float = 0.0
    refusals: int = 0
    suspicion: float = 0.0  # of an outage; assumed from 1 on
    recovered_at: float = float("-inf")  # end of the last outage; inf during one
    outage_seen_at: float = float("-inf")  # the latest sign of an outage
    outage_signs: int = 0  # signs after the first one
    own_rate: float = 0.0  # calls per second of this sender when the outage began
    outage_routes: set[Route] = field(default_factory=set)  # routes that showed the outage
    served_at: float = float("-inf")


@dataclass(slots=True, eq=False)
class Health:
    """The outcomes of calls to a route: of all calls, or of those of one class."""

    success_share: float = 1.0
    served_sent_at: float = float("-inf")  # when the most recently sent of the served calls was sent
    weight: float = 0.0  # how many calls ``success_share`` rests on, decayed alike
    consecutive_faults: int = 0
    flagged: bool = False
    recheck_at: float = 0.0

    def record(self, served: bool, sent_at: float, ewma_weight: float) -> None:
        """Record a call; a fault of a call sent before a served one doesn't extend the run of faults."""
        self.success_share += ewma_weight * (served - self.success_share)
        self.weight += 1.0 - ewma_weight * self.weight
        self.consecutive_faults = 0 if served else self.consecutive_faults + (self.served_sent_at <= sent_at)
        if served:
            self.flagged = False
            self.served_sent_at = max(self.served_sent_at, sent_at)


@dataclass(slots=True, eq=False)
class Route:
    """One endpoint of a destination and what this sender has seen of it."""

    id: int
    zone: int
    kind: KindSpec
    dest: Destination
    limiter: RateLimiter
    classes: tuple[Health, ...]  # by class
    tie_break: float
    state: RouteState = RouteState.READY
    health: Health = field(default_factory=lambda: Health())
    mean_ms: float | None = None
    unloaded_ms: float | None = None  # mean response time of calls that began while no other was open
    last_ended_at: float = 0.0  # when a call last ended
    paused_until: float = 0.0  # after a refusal that was the route's own and not the limit's
    window: float = 1.0
    calls: int = 0
    open_calls: list[Call] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The messages of one ordering key, in the order in which they were taken."""

    messages: deque[Message] = field(default_factory=deque)
    settled_at: float = 0.0  # the next message waits until then, as the last one may still run
    unconfirmed: set[int] = field(default_factory=set)  # given up; the platform has not taken it yet

    def remove(self, m: Message, now: float) -> bool:
        """Remove a finished message; return whether the queue can be dropped."""
        if m in self.messages:
            self.messages.remove(m)
            self.settled_at = max(self.settled_at, m.settled_at)
        return self.is_idle(now)

    def is_idle(self, now: float) -> bool:
        """Whether the next message would not have to wait."""
        return not self.messages and now >= self.settled_at and not self.unconfirmed


@dataclass(slots=True, eq=False)
class Message:
    """A message that this sender took and has not finished."""

    id: int
    dest: Destination
    cls: int
    spec: ClassSpec
    key: int
    aim_at: float
    deadline: float
    tenant_weight: float = 1.0  # factor on its worth; below 1 for a tenant over its share
    attempts: int = 0
    in_flight: bool = False
    finished: bool = False
    ran_at: float | None = None  # when the first attempt that may have run was sent
    ran_route: Route | None = None
    settled_at: float = 0.0
    key_queue: KeyQueue | None = None
    not_before: float = 0.0
    evictable_at: float = 0.0
    candidates: list[Route] = field(default_factory=list)  # ranked
    tried: list[Route] = field(default_factory=list)

    def enqueue(self, queued_dests: dict[Destination, None]) -> None:
        """Wait at the destination, which is then due for a scan."""
        self.dest.queue.append(self)
        self.dest.next_scan_at = 0.0
        queued_dests[self.dest] = None

    def dequeue(self, queued_dests: dict[Destination, None]) -> None:
        """Stop waiting."""
        if self in self.dest.queue:
            self.dest.queue.remove(self)
        if not self.dest.queue:
            queued_dests.pop(self.dest, None)

    def mark_sent(self, route: Route, now: float) -> None:
        """Record that an attempt was sent."""
        if self.ran_at is None:
            self.ran_at, self.ran_route = now, route
        self.in_flight = True
        self.attempts += 1

    def worth(self, at: float, fade: Fade) -> float:
        """What the message is worth when delivered at a time."""
        late, spec, worth = at - self.aim_at, self.spec, self.spec.worth * self.tenant_weight
        if late <= 0 or at >= self.deadline:
            return worth if late <= 0 else 0.0
        if fade is Fade.HALVING:
            return worth * max(spec.late_worth, exp2(-late / spec.aim_ms))
        return worth * (1.0 - (1.0 - spec.late_worth) * late / (self.deadline - self.aim_at))

    def window_ends(self, now: float) -> float:
        """Until when repeats are dropped, if the first attempt goes now; inf for classes without a window."""
        start = now if self.ran_at is None else self.ran_at
        return start + self.spec.window_ms if self.spec.effect is Effect.KEYED else inf

    def safe_to_resubmit(self) -> bool:
        """Whether the client may submit it again: nothing may have run, or every route drops a repeat."""
        keyed = self.spec.effect is Effect.KEYED and self.spec.scope is Scope.ALL
        return self.ran_at is None or keyed or self.spec.effect is Effect.SAFE

    def may_repeat(self, route: Route, now: float) -> bool:
        """Whether its class allows an attempt on a route, given those that may have run."""
        if self.ran_at is None or self.spec.effect is not Effect.KEYED:
            return True
        ran, scope = self.ran_route or route, self.spec.scope
        same = route is ran or scope is Scope.ALL or (scope is Scope.ZONE and route.zone == ran.zone)
        return same and now < self.window_ends(now)


@dataclass(slots=True, eq=False)
class Destination:
    """A destination: its routes, and the messages waiting for it."""

    shared_limiter: RateLimiter
    demand: DecayingCount
    served_count: DecayingCount
    routes: list[Route] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)
    calls: int = 0
    served_at: float = float("-inf")
    next_scan_at: float = 0.0  # when its waiting messages are examined again
    last_active_at: float = 0.0  # the last list update while it had routes, messages or calls
    suspect_idle_ms: float = 0.0  # how long the connection had been idle when the latest call on it failed


@dataclass(slots=True, eq=False)
class Call:
    """An open call: it holds one slot until each of its messages has its outcome."""

    route: Route
    sent_at: float
    size: int
    remaining: int
    idle_ms: float = 0.0
    unloaded: bool = False
    recorded: bool = False

    def begin(self) -> int:
        """Count it as open; return the number of slots taken."""
        self.unloaded = not self.route.calls
        self.route.calls += 1
        self.route.open_calls.append(self)
        self.route.dest.calls += 1
        return 1

    def end(self, now: float) -> int:
        """Record the end of one of its messages; return the number of slots released."""
        self.remaining -= 1
        if self.remaining:
            return 0
        self.route.calls -= 1
        self.route.open_calls.remove(self)
        self.route.dest.calls -= 1
        self.route.last_ended_at = now
        return 1
