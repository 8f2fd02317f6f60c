"""Every decision of springspread. The interface (settings, events, actions) is springspread/interface.py.

Ranked fail-over after ASOB: a message takes the best unflagged route of its destination and on a fault walks
down the list it started with. Around that: gates that pace and ramp, route windows, guards for the rules.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import ceil, exp2, inf, log2
from random import Random

from springspread import interface as i
from springspread.list_retry import ListRetry
from springspread.state import Call, DecayingCount, Destination, Health, KeyQueue, Message, RateLimiter, Route

SUCCESS_WEIGHT = 0.5  # weights of the suitability score
LATENCY_WEIGHT = 0.3
FEE_WEIGHT = 0.2
EWMA_WEIGHT = 0.2  # of a new sample in a route's success share and response time
FLAG_AFTER_FAULTS = 3  # successive faults
RECHECK_MS = 1500.0  # how often a flagged route gets a message; also the longest backoff of one sender
WINDOW_DECREASE = 0.6  # factor on a route's window after a fault or refusal
SLOT_TIME_EXPONENT = 0.7  # below 1, so that slow destinations still get slots
CONGESTED_RATIO = 2.0  # response time over that of an unloaded route
CONGESTED_DECREASE = 0.9  # factor on a congested route's window after a served call
UNSAFE_MIN_SUCCESS = 0.8  # unsafe messages avoid routes with a lower success share
DESTINATION_SLOT_SHARE = 0.75  # most slots that the calls of one destination may take
FAILING_SLOT_SHARE = 0.5  # the same for a destination without a recent success
RECENT_SUCCESS_MS = 1500.0
ROUGH_RATING_FACTOR = 1.5  # a rough rating may be this factor too high
BURST_MS = 600.0  # depth of a token bucket, as time at its rate
TENANT_USAGE_DECAY_MS = 6000.0
TENANT_USAGE_SLACK = 2.0  # allowed multiple of the median tenant's use
TENANT_USAGE_MIN = 20.0  # messages below which use is not compared
SHARE_INCREASE = 0.3  # gain on the limit share after a served call
LIMIT_HEADROOM = 0.25  # share of a limit that all senders together leave unused
LIMIT_EXHAUSTED = 0.6  # a refusal with less than this left may be the limit's
SHARE_DECREASE = 0.6  # factor on the limit share after a refusal
MIN_SHARE = 0.5  # of an equal limit share
MAX_DEMAND_MULTIPLE = 2.0  # after a refusal the share is at most this multiple of the sender's own demand
DECAY_MS = 20000.0  # of demand counts; the safe idle time doubles in the same period
OUTAGE_RETRY_AFTER_MS = 2000.0  # a longer retry-after means an outage; limits count over shorter periods
BACK_OFF_MS = 300.0  # first pause after a refusal without retry-after; doubles
FAULT_SUSPICION = 0.5  # added per fault or refusal; at 1 an outage is assumed
CONNECTION_FAULTS = (
    i.Outcome.RESET,
    i.Outcome.CONNECT_FAILED,
)  # without a recent success one suggests an outage
RESET_SUSPICION = 0.34  # added per reset on a route with recent successes
USUAL_RESET_SHARE = 0.02  # resets count less where more of all calls than this are reset
RESET_EWMA_WEIGHT = 0.01
MIN_STUCK_MS = 400.0  # a call without an answer for less than this is not stuck
ROUTE_PRIOR_CALLS = 3.0  # the route's success share weighs as much as this many calls of one class
QUICK_RESET_SHARE = 0.4  # a reset within this share of the response time came as the call was written
MIN_IDLE_TIMEOUT_MS = 100.0  # no peer closes idle connections sooner
SAFE_IDLE_SHARE = 0.5  # of the idle time after which a connection failed
RAMP_MARGIN = 0.7  # share of the fail-back budget that all senders together use
FORGET_AFTER_MS = 600000.0  # since the last sign of an outage, or since a destination was last active
RAMP_TOKEN_LAPSE_MS = 200.0  # an unused token lapses in a ramp; longer than RESCAN_MS
BATCH_ITEM_WEIGHT = 0.25  # cost of each further message in a call, in calls
BATCH_TIMEOUT_RATIO = 2.0  # by which a call's time-out may differ from the time that a message in it has left
TIMEOUT_MULTIPLE = 6.0  # of the route's mean response time
MIN_TIMEOUT_AIM_SHARE = 0.5  # of the class's aim
NEXT_ROUND_MS = 300.0  # pause before a message that tried all routes starts over
WAITING_DISCOUNT = 0.8  # on what a message keeps by waiting; below 1, as one that loses nothing counts too
RESCAN_MS = 100.0  # waiting messages are examined at least this often


NEVER_RAN = (i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.MOOT)


class Dispatcher:
    """One sender's decisions. Feed all events of a tick to ``handle`` and carry out what it returns."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.set, self.rng = settings, Random(seed)
        self.now, self.calls = 0.0, 0
        self.dests: dict[int, Destination] = {}
        self.routes: dict[int, Route] = {}
        self.pending: dict[int, Message] = {}
        self.queued_dests: dict[Destination, None] = {}  # those with messages waiting, in order of the first
        self.in_flight: dict[tuple[int, int], tuple[Message, Call]] = {}
        self.turns: dict[int, KeyQueue] = {}
        self.expiries: list[tuple[float, int]] = []
        self.last_pause = RECHECK_MS * max(1.0, log2(settings.senders))  # as doublings thin out all senders
        self.use = [DecayingCount(0.0, TENANT_USAGE_MIN) for _ in settings.tenants]
        self.mean_ms = min(spec.aim_ms for spec in settings.classes) / 4
        self.wake_at, self.list_retry = 0.0, ListRetry(settings, self.rng)
        self.safe_ms, self.safe_at, self.idle_failures = inf, 0.0, 0.0
        self.resets = 0.0  # the share of all calls whose connections break
        self.out: list[i.Action] = []

    def handle(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Take in all events of the tick, then make one dispatch pass."""
        self.now = max(self.now, now_ms)  # a clock that steps back stands still
        self.out = []
        for event in events:
            if isinstance(event, i.Taken):
                self._taken(event)
            elif isinstance(event, i.Ended):
                self._ended(event)
            elif isinstance(event, i.Withdrawn) and event.message in self.pending:
                m = self.pending[event.message]
                if m.in_flight and self.set.may_cancel:
                    self.out.append(i.Cancel(m.id, m.attempts - 1))
                self._finish(m)
            elif isinstance(event, i.Listed):
                self._listed(event)
            elif isinstance(event, i.Changed):
                self._changed(event.settings)
        self._overdue()
        self._dispatch()
        self._timers()
        return self.out

    def _changed(self, new: i.Settings) -> None:
        """All that was learnt stays; what is held keeps the class that it was taken under."""
        more = len(new.classes) - len(self.set.classes)
        for route in self.routes.values():
            route.classes += tuple(Health() for _ in range(more))
        if len(new.tenants) != len(self.set.tenants):
            self.use = [DecayingCount(self.now, TENANT_USAGE_MIN) for _ in new.tenants]
        self.set = self.list_retry.settings = new
        for dest in self.dests.values():
            dest.next_scan_at = 0.0

    def _listed(self, event: i.Listed) -> None:
        if event.scope is i.ListScope.FAILED:
            self.list_retry.failed(self.now, event)
            return
        if event.scope is not i.ListScope.CACHED:
            self.list_retry.answered()
        for entry in event.entries:
            route = self.routes.get(entry.route) or self._add(entry)
            route.state, route.dest.next_scan_at = entry.state, 0.0
            route.limiter.rating = entry.rating
        whole = event.scope is not i.ListScope.CHANGES
        kept = {entry.route for entry in event.entries} if whole else self.routes
        for route in list(self.routes.values()):
            if route.state is i.RouteState.GONE or route.id not in kept:
                route.dest.routes.remove(route)
                del self.routes[route.id]
                self._absolve(route)
        for number, dest in list(self.dests.items()):
            if dest.routes or dest.queue or dest.calls:
                dest.last_active_at = self.now
            elif self.now - dest.last_active_at > FORGET_AFTER_MS:
                del self.dests[number]

    def _add(self, entry: i.RouteEntry) -> Route:
        kind = self.set.kinds[entry.kind] if entry.kind < len(self.set.kinds) else i.KindSpec("")
        dest = self._dest(entry.destination)
        limiter = self._gate() if kind.separate_routes else dest.shared_limiter
        classes = tuple(Health() for _ in self.set.classes)
        route = Route(entry.route, entry.zone, kind, dest, limiter, classes, self.rng.random())
        dest.routes.append(route)
        self.routes[route.id] = route
        return route

    def _dest(self, number: int) -> Destination:
        if number not in self.dests:
            self.dests[number] = Destination(self._gate(), DecayingCount(self.now), DecayingCount(self.now))
        return self.dests[number]

    def _gate(self) -> RateLimiter:
        return RateLimiter(1.0 / self.set.senders, refilled_at=self.now)  # all first parts sum to the limit

    def _own(self, route: Route, seen: DecayingCount) -> float:
        rest = sum(self._limit(r.limiter) for r in route.dest.routes if r.limiter is not route.limiter)
        limit = self._limit(route.limiter)
        equal = limit / self.set.senders  # what is held for the demand before any is seen
        return seen.rate(self.now, limit / max(limit + rest, 0.01), equal, DECAY_MS / 4)

    def _taken(self, event: i.Taken) -> None:
        if event.message in self.pending:
            return
        cls = min(event.cls, len(self.set.classes) - 1)
        spec = self.set.classes[cls]
        aim_at = event.deadline_ms - spec.deadline_ms + spec.aim_ms
        dest = self._dest(event.destination)
        m = Message(event.message, dest, cls, spec, event.key, aim_at, event.deadline_ms)
        self.pending[m.id] = m
        m.attempts = event.attempts  # guards the cap on attempts across a restart
        if not event.again:  # a client's further try is no new demand
            dest.demand.add(self.now, DECAY_MS)
        m.tenant_weight = self._part(event.tenant) if event.tenant < len(self.use) else 1.0
        if m.attempts >= self.set.max_attempts:
            self._give_up(m)
            return
        self._enqueue(m)
        if event.key and spec.in_order:
            m.key_queue = self.turns.setdefault(event.key, KeyQueue())
            m.key_queue.messages.append(m)
        if len(self.pending) >= self.set.max_held:  # hand back what is worth least where the line is longest
            line = max((dest.queue for dest in self.queued_dests), key=len)
            self._give_up(min(line, key=lambda other: self._stake(other, other.spec.aim_ms)))

    def _part(self, tenant: int) -> float:
        # Guards other tenants against one's burst. Could harm one whose traffic moves to this sender.
        for number, use in enumerate(self.use):
            use.add(
                self.now,
                TENANT_USAGE_DECAY_MS,
                (number == tenant) / max(self.set.tenants[number].share, 0.01),
            )
        counts = sorted(use.count for use in self.use)
        middle = max((counts[(len(counts) - 1) // 2] + counts[len(counts) // 2]) / 2, TENANT_USAGE_MIN)
        within = min(TENANT_USAGE_SLACK * middle / self.use[tenant].count, 1.0)
        return within + (1.0 - within) * self.set.over_share_worth

    def _ended(self, event: i.Ended) -> None:
        if (event.message, event.attempt) not in self.in_flight:
            return
        m, call = self.in_flight.pop((event.message, event.attempt))
        m.in_flight, m.dest.next_scan_at = False, 0.0
        self.calls -= call.end(self.now)
        if not call.recorded:
            call.recorded = True
            self._judge(m, call, event)
        if event.outcome in NEVER_RAN and m.ran_at == call.sent_at:
            m.ran_at = m.ran_route = None
        elif event.outcome not in (i.Outcome.SERVED, i.Outcome.ERROR, i.Outcome.SPOILT):
            m.settled_at = self.now + self.set.rules.order_settle_ms
        if event.over or m.finished:
            self._finish(m)
            return
        m.tried.append(call.route)
        if all(r in m.tried for r in m.dest.routes if r.state is i.RouteState.READY):
            m.candidates, m.tried, m.not_before = [], [], self.now + NEXT_ROUND_MS
        lost = m.ran_at is not None and m.spec.effect is i.Effect.UNSAFE
        if lost or m.attempts >= self.set.max_attempts or self.now >= self._last_chance(m):
            self._give_up(m)
        else:
            self._enqueue(m)

    def _enqueue(self, m: Message) -> None:
        m.enqueue(self.queued_dests)
        heappush(self.expiries, (self._last_chance(m), m.id))

    def _last_chance(self, m: Message) -> float:
        """When a waiting message is given up: too late for another attempt to be of use."""
        return min(m.deadline - self.mean_ms / 2, inf if m.ran_at is None else m.window_ends(m.ran_at))

    def _judge(self, m: Message, call: Call, event: i.Ended) -> None:
        route, limiter, outcome, rules = call.route, call.route.limiter, event.outcome, self.set.rules
        limiter.reported_limit = event.report.limit_per_s or limiter.reported_limit
        if outcome in (i.Outcome.MOOT, i.Outcome.UNKNOWN):
            return
        self.resets += RESET_EWMA_WEIGHT * ((outcome is i.Outcome.RESET) - self.resets)
        # A call sent later was served: this one's connection broke or fell silent, not the route.
        long = event.took_ms > 2 * TIMEOUT_MULTIPLE * (route.unloaded_ms or self.mean_ms)
        lost = outcome is i.Outcome.RESET or (outcome is i.Outcome.TIMEOUT and long)
        lost = lost and route.health.served_sent_at > call.sent_at
        if outcome in (i.Outcome.SERVED, i.Outcome.TIMEOUT) and not lost:
            mean = route.mean_ms or event.took_ms
            route.mean_ms = mean + EWMA_WEIGHT * (event.took_ms - mean)
            if call.unloaded:
                alone = route.unloaded_ms or event.took_ms
                route.unloaded_ms = alone + EWMA_WEIGHT * (event.took_ms - alone)
        self._idle(call, event)
        healths = [route.health, route.classes[m.cls]]
        if lost or outcome is i.Outcome.SPOILT:  # it took the call: no outage, no limit, no idle connection
            self._fault(route, healths, call)
            return
        if outcome is i.Outcome.SERVED:
            route.dest.served_at = limiter.served_at = self.now
            self.mean_ms += EWMA_WEIGHT / 4 * (event.took_ms - self.mean_ms)
            if limiter.recovered_at == inf and call.sent_at >= limiter.outage_seen_at:
                # Known to be back: since a time between the last sign and this call, so on average half-way.
                limiter.recovered_at, limiter.suspicion = (limiter.outage_seen_at + self.now) / 2, 0.0
            route.dest.served_count.add(self.now, DECAY_MS, 1.0 + BATCH_ITEM_WEIGHT * (call.size - 1))
            if route.health.flagged:
                self.out.append(i.Log(f"route {route.id}: recheck served"))
                healths = [route.health, *route.classes]
            elif route.unloaded_ms and (route.mean_ms or 0.0) > CONGESTED_RATIO * route.unloaded_ms:
                route.window = max(1.0, route.window * CONGESTED_DECREASE)  # more would wait in its own line
            elif route.calls + 1 >= route.window:
                route.window = min(route.window + 1.0, self.set.slots)
            for health in healths:
                health.record(True, call.sent_at, EWMA_WEIGHT)
            limiter.refusals, limiter.suspicion = limiter.refusals // 2, limiter.suspicion * 0.5
            left = event.report.left_share if event.report.limit_per_s else None
            room = (2 * LIMIT_HEADROOM if left is None else left) - LIMIT_HEADROOM
            if limiter.tokens < 1.0 or room < 0.0:
                self._part_to(limiter, limiter.share * (1.0 + SHARE_INCREASE * room))
            return
        # A call sent later was served: this one was slow, no outage. Could harm as a route dies.
        recent = self.now - limiter.served_at <= RECENT_SUCCESS_MS
        sign = 1.0 if outcome in CONNECTION_FAULTS and not recent else FAULT_SUSPICION
        sign = RESET_SUSPICION if outcome is i.Outcome.RESET and recent else sign
        sign *= route.health.served_sent_at <= call.sent_at
        # Guards healthy partners where connections break everywhere. Could harm as one resets all calls.
        telling = min(1.0, USUAL_RESET_SHARE / max(self.resets, 0.001)) if outcome is i.Outcome.RESET else 1.0
        sign *= telling
        left = event.report.left_share or 0.0 if event.report.limit_per_s else None
        roomy = left is not None and left >= LIMIT_EXHAUSTED and not event.wait_ms
        if outcome is i.Outcome.FULL and roomy and recent:
            # Its own line is full, and not the limit of all: others of the destination may have room.
            route.paused_until = self.now + self._jitter(BACK_OFF_MS)
            sign = 0.0
        elif outcome is i.Outcome.FULL:
            own = self._own(route, route.dest.demand) / max(self._limit(limiter), 0.01)
            own = max(own, 1.0 / self.set.senders)
            self._part_to(limiter, min(limiter.share, MAX_DEMAND_MULTIPLE * own) * SHARE_DECREASE)
            limiter.refusals += 1
            # Doubled, also beyond a told wait, whose end all hear; none may cut short a wait told before.
            pause = self._jitter(min(BACK_OFF_MS * 2.0 ** (limiter.refusals - 1), self.last_pause))
            pause = event.wait_ms + (pause if limiter.refusals > 1 else 0.0) if event.wait_ms else pause
            limiter.shut_until = max(limiter.shut_until, self.now + pause)
            # Likely the limit's own refusal, or too few senders to push it over by a call each.
            used_up = left is not None and left < LIMIT_EXHAUSTED
            budget = self._limit(limiter) * rules.fall_multiple * rules.cold_share * RAMP_MARGIN
            few = self.set.senders * 1000 <= budget * rules.fall_ms
            shut = event.wait_ms > OUTAGE_RETRY_AFTER_MS
            sign = 1.0 if shut else (FAULT_SUSPICION if used_up or few else 1.0) * (not recent)
        else:
            self._fault(route, healths, call)
        kept = 1.0 - (1.0 - WINDOW_DECREASE) * telling
        route.window = 1.0 if route.health.flagged else max(1.0, route.window * kept)
        limiter.suspicion = min(limiter.suspicion + sign, 3.0)
        if sign and limiter.suspicion >= 1.0:
            self._out(route, limiter.shut_until if event.wait_ms else inf)

    def _absolve(self, route: Route) -> None:
        """A route is gone: an outage that was seen there alone was none of the destination."""
        limiter = route.limiter
        if limiter.outage_routes and limiter.outage_routes <= {route}:
            limiter.recovered_at, limiter.outage_seen_at, limiter.suspicion, limiter.outage_signs = (
                -inf,
                -inf,
                0.0,
                0,
            )
        limiter.outage_routes.discard(route)

    def _part_to(self, limiter: RateLimiter, part: float) -> None:
        limiter.share = min(max(part, MIN_SHARE / self.set.senders), ROUGH_RATING_FACTOR)

    def _fault(self, route: Route, healths: list[Health], call: Call) -> None:
        for health in healths:
            health.record(False, call.sent_at, EWMA_WEIGHT)
            if health.consecutive_faults >= FLAG_AFTER_FAULTS and not health.flagged:
                health.flagged = True
                self.out.append(i.Log(f"route {route.id}: flagged"))
            health.recheck_at = self.now + self._jitter(RECHECK_MS)

    def _idle(self, call: Call, event: i.Ended) -> None:
        # A fault after idleness was the connection's where the next call is served. May cost handshakes.
        dest, outcome = call.route.dest, event.outcome
        worked = event.took_ms > QUICK_RESET_SHARE * (call.route.unloaded_ms or self.mean_ms)
        if outcome is i.Outcome.SERVED:
            if dest.suspect_idle_ms:
                self.idle_failures += 1.0
                self.safe_ms, self.safe_at = (
                    min(self._safe_ms(), dest.suspect_idle_ms * SAFE_IDLE_SHARE),
                    self.now,
                )
            elif call.idle_ms > self.safe_ms:
                self.idle_failures = max(self.idle_failures - 1.0, 0.0)
            dest.suspect_idle_ms = 0.0
        elif outcome is i.Outcome.RESET and (worked or call.idle_ms < MIN_IDLE_TIMEOUT_MS):
            return  # it breaks now and then, whether idle before or not
        elif (
            outcome in (i.Outcome.RESET, i.Outcome.TIMEOUT)
            and call.idle_ms
            and not call.route.health.consecutive_faults
        ):
            dest.suspect_idle_ms = call.idle_ms
            self.out.extend(i.CloseIdle(route.id) for route in dest.routes)
        elif outcome is not i.Outcome.FULL:
            dest.suspect_idle_ms = 0.0

    def _safe_ms(self) -> float:
        return self.safe_ms * exp2(min((self.now - self.safe_at) / DECAY_MS, 9.0))

    def _out(self, route: Route, back_at: float) -> None:
        """A sign of an outage, over at a told time or at none known."""
        limiter = route.limiter
        limiter.outage_signs = limiter.outage_signs + 1 if self._is_ramping(limiter) else 0
        if not limiter.outage_signs:
            limiter.outage_routes.clear()
            route.dest.served_count.add(self.now, DECAY_MS, 0.0)
            limiter.own_rate = max(
                self._own(route, route.dest.served_count), self._limit(limiter) / self.set.senders
            )
            limiter.tokens = 1.0 - self.rng.expovariate(1.0)
        limiter.recovered_at, limiter.outage_seen_at = back_at, self.now
        limiter.outage_routes.add(route)

    def _jitter(self, pause: float) -> float:
        return pause * (0.75 + self.rng.random() / 2)

    def _limit(self, limiter: RateLimiter) -> float:
        return limiter.reported_limit or limiter.rating / (
            ROUGH_RATING_FACTOR if self.set.rating is i.Rating.ROUGH else 1.0
        )

    def _fill(self, route: Route) -> None:
        # Rule 4. Half a part is what this sender was served, half 1 / senders: parts sum to the limit, so all
        # send RAMP_MARGIN of the budget, the cold one until a call sent after the last sign is served. Where
        # that is near none, there is a chance of a call in the warm time W, 2 W after the next sign and so
        # on: T into an outage L ln(1 + T / W) of all, under twice what the unaware send till most know, then
        # senders / (W + T). Chances lapse, none are saved up. Could harm: partners found late.
        limiter, rules = route.limiter, self.set.rules
        limit = self._limit(limiter)
        limiter.rate_per_s = max(limit * limiter.share, 0.001)
        earned = max(self.now - limiter.refilled_at, 0.0) / 1000
        if self._is_ramping(limiter):
            since = max(self.now - limiter.recovered_at, 0.0) / rules.warm_within_ms
            warm = rules.cold_share + (1.0 - rules.cold_share) * since
            part = limiter.own_rate * rules.fall_multiple * warm * RAMP_MARGIN
            chance = 0.0 if since else 1000 / rules.warm_within_ms * exp2(-limiter.outage_signs)
            limiter.rate_per_s = min(limiter.rate_per_s, max(part, chance))
            limiter.tokens += limiter.rate_per_s * earned
            if limiter.tokens > 1.0 + limiter.rate_per_s * RAMP_TOKEN_LAPSE_MS / 1000:
                limiter.tokens = 1.0
                self._spend(limiter, 1.0)
        else:
            depth = max(1.0, limiter.rate_per_s * BURST_MS / 1000)
            limiter.tokens = min(depth, limiter.tokens + limiter.rate_per_s * earned)
        limiter.refilled_at = max(limiter.refilled_at, self.now)

    def _spend(self, limiter: RateLimiter, much: float) -> None:
        """A call is gone; in a ramp, where one takes longer than a fall span to earn, the next is drawn."""
        if self._is_ramping(limiter) and limiter.rate_per_s * self.set.rules.fall_ms < 1000:
            much *= self.rng.expovariate(1.0)
        limiter.tokens -= much

    def _is_ramping(self, limiter: RateLimiter) -> bool:
        warming = self.now - limiter.recovered_at < self.set.rules.warm_within_ms
        return (
            warming
            and self.now - limiter.outage_seen_at < FORGET_AFTER_MS
            and self.set.rules.warm_within_ms > 0
        )

    def _open(self, route: Route) -> bool:
        if route.state is not i.RouteState.READY or self._filled(route) >= int(route.window):
            return False
        self._fill(route)
        return self.now >= max(route.limiter.shut_until, route.paused_until) and route.limiter.tokens >= 1.0

    def _stuck_at(self, route: Route, call: Call) -> float:
        return call.sent_at + max(TIMEOUT_MULTIPLE * (route.unloaded_ms or self.mean_ms), MIN_STUCK_MS)

    def _filled(self, route: Route) -> int:
        """What fills the window. Guards it against calls whose connections fell silent."""
        if self._hushed(route):
            return 0  # a real message looks whether it was the connections or the route
        served_at = route.health.served_sent_at
        return sum(c.sent_at >= served_at or self.now < self._stuck_at(route, c) for c in route.open_calls)

    def _hushed(self, route: Route) -> bool:
        """Whether all calls there are stuck, and none that was sent later has been served."""
        newest = route.open_calls[-1].sent_at if route.open_calls else -inf
        stuck = all(self.now >= self._stuck_at(route, call) for call in route.open_calls)
        return stuck and newest > route.health.served_sent_at

    def _served(self, route: Route, m: Message) -> float:
        own = route.classes[m.cls]
        return (ROUTE_PRIOR_CALLS * route.health.success_share + own.weight * own.success_share) / (
            ROUTE_PRIOR_CALLS + own.weight
        )

    def _rank(self, m: Message) -> list[Route]:
        dest = m.dest
        fastest = min((r.mean_ms for r in dest.routes if r.mean_ms), default=1.0)

        def suitability(route: Route) -> tuple[float, float]:
            cost = round(5 - 4 * self.set.prices.fee_part(route.zone))
            served = round(1 + 4 * self._served(route, m))
            time = round(1 + 4 * fastest / (route.mean_ms or fastest))
            return (-(SUCCESS_WEIGHT * served + LATENCY_WEIGHT * time + FEE_WEIGHT * cost), route.tie_break)

        return sorted(dest.routes, key=suitability)

    def _allowed(self, m: Message, route: Route) -> bool:
        if route in m.tried or not m.may_repeat(route, self.now):
            return False
        unsafe = m.spec.effect is i.Effect.UNSAFE
        if unsafe and self._hushed(route):
            return False  # a safe one looks first whether the route still serves
        flags = [health for health in (route.health, route.classes[m.cls]) if health.flagged]
        if flags:
            return all(self.now >= h.recheck_at + (RECHECK_MS if unsafe else 0.0) for h in flags)
        healthy = not unsafe or self._served(route, m) >= UNSAFE_MIN_SUCCESS
        return healthy or self.now > m.deadline - m.spec.aim_ms

    def _stake(self, m: Message, horizon: float) -> float:
        served = self.now + self.mean_ms
        return m.worth(served, self.set.fade) - WAITING_DISCOUNT * m.worth(served + horizon, self.set.fade)

    def _drain_ms(self, dest: Destination) -> float:
        pace = sum(self._limit(r.limiter) * r.limiter.share * r.kind.per_call for r in dest.routes)
        return 1000 * len(dest.queue) / max(pace, 0.1)

    def _ready(self, m: Message) -> bool:
        turn = m.key_queue
        return self.now >= m.not_before and (
            not turn or turn.messages[0] is m and self.now >= turn.settled_at
        )

    def _cap(self, dest: Destination) -> int:
        well = self.now - dest.served_at <= RECENT_SUCCESS_MS
        return max(
            1,
            ceil(self.set.slots * DESTINATION_SLOT_SHARE) - 1
            if well
            else int(self.set.slots * FAILING_SLOT_SHARE),
        )

    def _pick(self, dest: Destination) -> tuple[float, Message, Route] | None:
        ready = [route for route in dest.routes if self._open(route)]
        dest.next_scan_at = self.now + RESCAN_MS
        if not ready or dest.calls >= self._cap(dest):
            limiters = [r.limiter for r in dest.routes if not ready and self._filled(r) < int(r.window)]
            full_at = [
                self.now + 1000 * (1.0 - limiter.tokens) / max(limiter.rate_per_s, 0.001)
                for limiter in limiters
            ]
            opens = [max(at, limiter.shut_until) for at, limiter in zip(full_at, limiters, strict=True)]
            dest.next_scan_at = min([dest.next_scan_at, *(at for at in opens if at > self.now)])
            return None
        horizon = max(self.mean_ms, self._drain_ms(dest))
        best: tuple[float, Message, Route] | None = None
        for m in dest.queue:
            stake = self._stake(m, horizon)
            if self._ready(m) and (best is None or stake > best[0]):
                if any(r not in m.candidates for r in ready):  # at first all; later the routes listed since
                    m.candidates = m.candidates + [r for r in self._rank(m) if r not in m.candidates]
                route = next((r for r in m.candidates if r in ready and self._allowed(m, r)), None)
                best = (stake, m, route) if route else best
        dest.next_scan_at = 0.0 if best else dest.next_scan_at
        return best

    def _dispatch(self) -> None:
        outdated = self.list_retry.outdated(self.now)
        dests = self.queued_dests if self.calls < self.set.slots and not outdated else ()
        picks = [pick for dest in dests if dest.next_scan_at <= self.now and (pick := self._pick(dest))]
        while picks and self.calls < self.set.slots:
            best = max(picks, key=self._yield)
            picks.remove(best)
            self._send(best[1], best[2])
            if again := self._pick(best[2].dest):
                picks.append(again)

    def _yield(self, pick: tuple[float, Message, Route]) -> float:
        """What a call keeps, by the time that it takes a slot: slots are what all destinations share."""
        stake, m, route = pick
        size = min(self._room(route), len(m.dest.queue))
        return stake * size / float(max(route.mean_ms or self.mean_ms, 1.0) ** SLOT_TIME_EXPONENT)

    def _room(self, route: Route) -> int:
        return 1 if route.health.flagged or route.limiter.recovered_at == inf else route.kind.per_call

    def _send(self, first: Message, route: Route) -> None:
        rest = [m for m in route.dest.queue if m is not first and self._ready(m) and self._allowed(m, route)]
        # A call is given up whole: nobody joins one that waits less than it needs, or far past its own end.
        slow = (
            TIMEOUT_MULTIPLE
            * (route.mean_ms or self.mean_ms)
            * (1.0 + BATCH_ITEM_WEIGHT * (self._room(route) - 1))
        )
        needs = {m.id: max(slow, MIN_TIMEOUT_AIM_SHARE * m.spec.aim_ms) for m in (first, *rest)}
        left = {m.id: m.deadline - self.now for m in (first, *rest)}
        whole = min(left[first.id], max(needs.values()))
        fits = [
            m
            for m in rest
            if BATCH_TIMEOUT_RATIO * left[m.id] >= whole >= min(needs[m.id], left[m.id] / BATCH_TIMEOUT_RATIO)
        ]
        batch = [first, *fits][: self._room(route)]
        waits = [self._timeout(m, route, len(batch)) for m in batch]
        wait = (
            min(waits)
            if max(waits) <= BATCH_TIMEOUT_RATIO * min(waits)
            else min(whole, *(left[m.id] for m in batch))
        )
        idle = self.now - route.last_ended_at if route.last_ended_at and not route.calls else 0.0
        if idle > self._safe_ms() and self.idle_failures >= 1.0:
            self.out.append(i.CloseIdle(route.id))
            idle = 0.0
        call = Call(route, self.now, len(batch), len(batch), idle)
        for health in (route.health, route.classes[first.cls]):
            health.recheck_at = self.now + self._jitter(RECHECK_MS)
        self._spend(
            route.limiter, 1.0 + BATCH_ITEM_WEIGHT * (len(batch) - 1) * self._is_ramping(route.limiter)
        )
        self.calls += call.begin()
        for m in batch:
            m.dequeue(self.queued_dests)
            self.in_flight[m.id, m.attempts] = (m, call)
            m.mark_sent(route, self.now)
            self.out.append(i.Send(m.id, route.id, wait))

    def _timeout(self, m: Message, route: Route, size: int) -> float:
        left = m.deadline - self.now
        if m.spec.effect is i.Effect.UNSAFE or m.attempts + 1 >= self.set.max_attempts:
            return left
        expected = (route.mean_ms or self.mean_ms) * (1.0 + BATCH_ITEM_WEIGHT * (size - 1))
        usable = min(m.deadline, m.window_ends(self.now)) - self.now
        # Room for another try after a hang. Could harm where all routes are slow: work is done twice.
        wait = min(max(TIMEOUT_MULTIPLE * expected, MIN_TIMEOUT_AIM_SHARE * m.spec.aim_ms), usable - expected)
        return wait if wait >= expected else left

    def _finish(self, m: Message) -> None:
        if self.pending.pop(m.id, None) is not None:
            m.finished = True
            m.dequeue(self.queued_dests)
        if m.key_queue and not m.in_flight and m.key_queue.remove(m, self.now):
            self.turns.pop(m.key, None)

    def _give_up(self, m: Message) -> None:
        opens = min((route.limiter.shut_until for route in m.dest.routes), default=inf) - self.now
        back = min(max(opens, self._drain_ms(m.dest)), self.set.max_retry_after_ms)
        self.out.append(i.Refuse(m.id, back) if m.safe_to_resubmit() else i.Fail(m.id))
        self._finish(m)

    def _overdue(self) -> None:
        while self.expiries and self.expiries[0][0] <= self.now:
            m = self.pending.get(heappop(self.expiries)[1])
            if m is not None and not m.in_flight:
                self._give_up(m)

    def _timers(self) -> None:
        if self.list_retry.due(self.now):
            self.out.append(i.Watch())
        due = self.list_retry.next_at
        if self.queued_dests:
            looks = [dest.next_scan_at for dest in self.queued_dests if self.calls < self.set.slots]
            if self.list_retry.outdated(self.now):
                looks = [self.list_retry.outdated_until]
            due = max(min([due, self.expiries[0][0], *looks]), self.now + self.set.tick_ms)
        if due < inf and (self.wake_at <= self.now + self.set.tick_ms / 2 or due < self.wake_at):
            self.wake_at = due
            self.out.append(i.Wake(due - self.now))
