"""Records that the decision module keeps and their book-keeping: no decision and no tuned value."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import exp, exp2, inf

from springspread.interface import ClassSpec, Effect, Fade, KindSpec, RouteState, Scope


@dataclass(slots=True)
class Fading:
    """A count that fades over a time, and the span that it covers, faded alike."""

    at: float
    count: float = 0.0
    span: float = 0.0

    def add(self, now: float, fade_ms: float, much: float = 1.0) -> None:
        """Count one, or so much."""
        kept = exp((self.at - now) / fade_ms)
        self.count, self.span = self.count * kept + much, self.span * kept + fade_ms * (1.0 - kept)
        self.at = now

    def rate(self, now: float, part: float, prior: float, prior_ms: float) -> float:
        """A part of the count a second, drawn to a rate held before as if that had been seen for a time."""
        return (1000 * part * self.count + prior * prior_ms) / (max(self.span, now - self.at) + prior_ms)


@dataclass(slots=True, eq=False)
class Gate:
    """One limit at a destination: of one route, or of all its routes where they share it."""

    share: float
    rating: float = 1.0
    told_limit: float = 0.0
    tokens: float = 1.0
    pace: float = 1.0
    filled_at: float = 0.0
    shut_until: float = 0.0
    refusals: int = 0
    doubt: float = 0.0
    recovered_at: float = float(
        "-inf"
    )  # since when it is known to be back from an outage; inf while it is not
    sign_at: float = float("-inf")  # the latest sign of an outage
    signs: int = 0  # how many came after the first one
    own: float = 0.0  # what this sender may count as its own of the limit, as the first one came
    blamed: set[Route] = field(default_factory=set)  # the routes that they came from
    served_at: float = float("-inf")


@dataclass(slots=True, eq=False)
class Health:
    """What calls to a route ended in: all of them, or those of one class."""

    served: float = 1.0
    served_at: float = float("-inf")  # when the latest call that was served had been sent
    weight: float = 0.0  # how many calls the served share rests on, as it fades
    run: int = 0
    flagged: bool = False
    recheck_at: float = 0.0

    def note(self, served: bool, sent_at: float, learn: float) -> None:
        """Take in a call; a fault of one sent before a served one adds nothing to the run."""
        self.served += learn * (served - self.served)
        self.weight += 1.0 - learn * self.weight
        self.run = 0 if served else self.run + (self.served_at <= sent_at)
        if served:
            self.flagged = False
            self.served_at = max(self.served_at, sent_at)


@dataclass(slots=True, eq=False)
class Route:
    """One endpoint of a destination and what this sender has seen of it."""

    id: int
    zone: int
    kind: KindSpec
    dest: Destination
    limiter: Gate
    classes: tuple[Health, ...]  # what calls of each class ended in
    tie: float
    state: RouteState = RouteState.READY
    health: Health = field(default_factory=lambda: Health())
    mean_ms: float | None = None
    alone_ms: float | None = None  # the same of calls that went out while no other was there
    used_at: float = 0.0  # when a call there last ended
    rests_until: float = 0.0  # its own line was full
    window: float = 1.0
    calls: int = 0
    out: list[Call] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Turn:
    """The messages of one order key, in the order in which they were taken."""

    line: deque[Message] = field(default_factory=deque)
    rests_until: float = 0.0

    def leave(self, m: Message, now: float) -> bool:
        """Let the next one have its turn; tell whether nothing is left to keep."""
        if m in self.line:
            self.line.remove(m)
            self.rests_until = max(self.rests_until, m.rest_until)
        return not self.line and now >= self.rests_until


@dataclass(slots=True, eq=False)
class Message:
    """A message that this sender took and still owes an answer for."""

    id: int
    dest: Destination
    cls: int
    spec: ClassSpec
    key: int
    aim_at: float
    deadline: float
    part: float = 1.0  # what its tenant's use leaves of its worth
    attempts: int = 0
    flying: bool = False
    finished: bool = False
    ran_at: float | None = None
    ran_route: Route | None = None
    rest_until: float = 0.0
    turn: Turn | None = None
    not_before: float = 0.0
    walk: list[Route] = field(default_factory=list)
    tried: list[Route] = field(default_factory=list)

    def join(self, queued_dests: dict[Destination, None]) -> None:
        """Wait at the destination, which has something to look at now."""
        self.dest.queue.append(self)
        self.dest.look_at = 0.0
        queued_dests[self.dest] = None

    def leave(self, queued_dests: dict[Destination, None]) -> None:
        """Wait no more."""
        if self in self.dest.queue:
            self.dest.queue.remove(self)
        if not self.dest.queue:
            queued_dests.pop(self.dest, None)

    def sent(self, route: Route, now: float) -> None:
        """An attempt is out."""
        if self.ran_at is None:
            self.ran_at, self.ran_route = now, route
        self.flying = True
        self.attempts += 1

    def worth(self, at: float, fade: Fade) -> float:
        """What it is worth delivered at a time."""
        late, spec, worth = at - self.aim_at, self.spec, self.spec.worth * self.part
        if late <= 0 or at >= self.deadline:
            return worth if late <= 0 else 0.0
        if fade is Fade.HALVING:
            return worth * max(spec.late_worth, exp2(-late / spec.aim_ms))
        return worth * (1.0 - (1.0 - spec.late_worth) * late / (self.deadline - self.aim_at))

    def window_ends(self, now: float) -> float:
        """Until when a repeat is dropped, were it first sent now; without end where that is no matter."""
        start = now if self.ran_at is None else self.ran_at
        return start + self.spec.window_ms if self.spec.effect is Effect.KEYED else inf

    def harmless(self) -> bool:
        """Whether it may be handed in again: nothing may have run, or a repeat is dropped anywhere."""
        keyed = self.spec.effect is Effect.KEYED and self.spec.scope is Scope.ALL
        return self.ran_at is None or keyed or self.spec.effect is Effect.SAFE

    def may_repeat(self, route: Route, now: float) -> bool:
        """Whether its class allows a send there, after those that may have run."""
        if self.ran_at is None or self.spec.effect is not Effect.KEYED:
            return True
        ran, scope = self.ran_route or route, self.spec.scope
        same = route is ran or scope is Scope.ALL or (scope is Scope.ZONE and route.zone == ran.zone)
        return same and now < self.window_ends(now)


@dataclass(slots=True, eq=False)
class Destination:
    """A destination: its routes, and the messages waiting for it."""

    shared_limiter: Gate
    demand: Fading
    served: Fading  # calls served
    routes: list[Route] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)
    calls: int = 0
    served_at: float = float("-inf")
    look_at: float = 0.0  # when its waiting messages are looked at again
    left_at: float = 0.0  # when the list last changed while it had a route or anything to do
    suspect_ms: float = 0.0  # how long a connection had been idle when the latest call on one failed


@dataclass(slots=True, eq=False)
class Call:
    """One call out: it holds one slot until each of its messages has its outcome."""

    route: Route
    sent_at: float
    size: int
    left: int
    idle_ms: float = 0.0
    alone: bool = False
    judged: bool = False

    def begin(self) -> int:
        """Count it as out."""
        self.alone = not self.route.calls
        self.route.calls += 1
        self.route.out.append(self)
        self.route.dest.calls += 1
        return 1

    def end(self, now: float) -> int:
        """One of its messages has its outcome; with the last one the call is over."""
        self.left -= 1
        if self.left:
            return 0
        self.route.calls -= 1
        self.route.out.remove(self)
        self.route.dest.calls -= 1
        self.route.used_at = now
        return 1
