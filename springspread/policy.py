"""The routing decisions of a sender; their interface (settings, events, actions) is in interface.py.

Ranked fail-over (ASOB): a message is sent over the best unflagged route of its destination and after a fault
over the next one of the ranking it started with. Rate limiters, which ramp up after an outage, and windows
per route bound what is sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from heapq import heappop, heappush
from math import ceil, exp2, inf, log2
from random import Random

from springspread import interface as i
from springspread.list_retry import ListRetry
from springspread.state import Call, DecayingCount, Destination, Health, KeyQueue, Message, RateLimiter, Route

SUCCESS_WEIGHT = 0.5  # weights of the suitability score
LATENCY_WEIGHT = 0.3
FEE_WEIGHT = 0.2  # so that of similar routes the cheaper one leads
EWMA_WEIGHT = 0.2  # of a new sample in a route's success share and response time: about five calls
FLAG_AFTER_FAULTS = 3  # successive faults
RECHECK_MS = 1500.0  # interval of messages to a flagged route; also the longest backoff of a lone sender
WINDOW_DECREASE = 0.6  # factor on a route's window after a fault or refusal; a served call adds one
SLOT_TIME_EXPONENT = 0.7  # below 1, so that slow destinations still get slots
CONGESTED_RATIO = 2.0  # response time over that of an unloaded route; such a route has enough calls
CONGESTED_DECREASE = 0.9  # factor on a congested route's window after a served call
UNSAFE_MIN_SUCCESS = 0.8  # unsafe messages avoid routes with a lower success share
DESTINATION_SLOT_SHARE = 0.75  # most slots that the calls of one destination may take
FAILING_SLOT_SHARE = 0.5  # the same for a destination without a recent success
RECENT_SUCCESS_MS = 1500.0
ROUGH_RATING_FACTOR = 1.5  # a rough rating may be this factor too high
BURST_MS = 600.0  # depth of a token bucket, as time at its rate
TENANT_USAGE_DECAY_MS = 6000.0  # longer than clumps of messages for one destination
TENANT_USAGE_SLACK = 2.0  # allowed multiple of the median tenant's use
TENANT_USAGE_MIN = 20.0  # messages below which use is not compared
SHARE_INCREASE = 0.3  # gain on the limit share after a served call
LIMIT_HEADROOM = 0.25  # share of a limit that all senders together leave unused
LIMIT_EXHAUSTED = 0.6  # a refusal with less than this left may be the limit's
SHARE_DECREASE = 0.6  # factor on the limit share after a refusal
MIN_SHARE = 0.5  # of an equal limit share, so that all senders together can reach the limit again
MAX_DEMAND_MULTIPLE = 2.0  # after a refusal the share is at most this multiple of the sender's own demand
DECAY_MS = 20000.0  # of demand counts; the safe idle time doubles in the same period
OUTAGE_RETRY_AFTER_MS = 2000.0  # a longer retry-after means an outage; limits count over shorter periods
BACK_OFF_MS = 300.0  # first pause after a refusal without retry-after; doubles
FAULT_SUSPICION = 0.5  # added per fault or refusal; at 1 an outage is assumed
CONNECTION_FAULTS = (i.Outcome.RESET, i.Outcome.CONNECT_FAILED)  # one suffices without a recent success
RESET_SUSPICION = 0.34  # per reset on a route with recent successes, where connections break now and then
USUAL_RESET_SHARE = 0.02  # resets count less where more of all calls than this are reset
RESET_EWMA_WEIGHT = 0.01  # about a hundred calls
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
EVICTABLE_AFTER = 0.7  # share of its time after which a waiting message may be given up early
QUEUE_SHARE = 3.0  # longest queue of a destination, as a multiple of the free places
RESCAN_MS = 100.0  # waiting messages are examined at least this often

NEVER_RAN = (i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.MOOT)


class Dispatcher:
    """One sender's decisions. Feed all events of a tick to ``handle`` and carry out what it returns."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.now, self.calls = 0.0, 0
        self.dests: dict[int, Destination] = {}
        self.routes: dict[int, Route] = {}
        self.pending: dict[int, Message] = {}
        self.queued_dests: dict[Destination, None] = {}  # with waiting messages, oldest first
        self.in_flight: dict[tuple[int, int], tuple[Message, Call]] = {}
        self.key_queues: dict[int, KeyQueue] = {}
        self.unconfirmed: dict[int, tuple[int, KeyQueue]] = {}  # key and queue, by message
        self.expiries: list[tuple[float, int]] = []  # heap of (time, message)
        # Larger fleets back off longer, which spreads their retries.
        self.max_backoff_ms = RECHECK_MS * max(1.0, log2(settings.senders))
        self.tenant_usage = [DecayingCount(0.0, TENANT_USAGE_MIN) for _ in settings.tenants]
        self.mean_ms = min(spec.aim_ms for spec in settings.classes) / 4
        self.wake_at, self.list_retry = 0.0, ListRetry(settings, self.rng)
        self.safe_idle_ms, self.safe_idle_at, self.idle_failures = inf, 0.0, 0.0
        self.reset_share = 0.0  # share of all calls that are reset
        self.actions: list[i.Action] = []

    def handle(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Process all events of the tick, then make one dispatch pass."""
        self.now = max(self.now, now_ms)  # never steps back
        self.actions = []
        for event in events:
            if isinstance(event, i.Taken):
                self._on_taken(event)
            elif isinstance(event, i.Ended):
                self._on_ended(event)
            elif isinstance(event, i.Withdrawn) and event.message in self.pending:
                m = self.pending[event.message]
                if m.in_flight and self.settings.may_cancel:
                    self.actions.append(i.Cancel(m.id, m.attempts - 1))
                self._finish(m)
            elif isinstance(event, i.EndConfirmed):
                self._on_end_confirmed(event)
            elif isinstance(event, i.Listed):
                self._on_listed(event)
            elif isinstance(event, i.Changed):
                self._on_settings(event.settings)
        self._expire()
        self._dispatch()
        self._set_timer()
        return self.actions

    def _on_end_confirmed(self, event: i.EndConfirmed) -> None:
        key, key_queue = self.unconfirmed.pop(event.message, (0, None))
        if key_queue is None:
            return
        key_queue.unconfirmed.discard(event.message)
        if key_queue.messages:
            key_queue.messages[0].dest.next_scan_at = 0.0
        elif key_queue.is_idle(self.now):
            self.key_queues.pop(key, None)

    def _on_settings(self, new: i.Settings) -> None:
        """Apply new settings; what was learnt stays, and pending messages keep their class."""
        added = len(new.classes) - len(self.settings.classes)
        for route in self.routes.values():
            route.classes += tuple(Health() for _ in range(added))
        if len(new.tenants) != len(self.settings.tenants):
            self.tenant_usage = [DecayingCount(self.now, TENANT_USAGE_MIN) for _ in new.tenants]
        self.settings = self.list_retry.settings = new
        for dest in self.dests.values():
            dest.next_scan_at = 0.0

    def _on_listed(self, event: i.Listed) -> None:
        if event.scope is i.ListScope.FAILED:
            self.list_retry.failed(self.now, event)
            return
        if event.scope is not i.ListScope.CACHED:
            self.list_retry.answered()
        for entry in event.entries:
            route = self.routes.get(entry.route) or self._add_route(entry)
            route.state, route.dest.next_scan_at = entry.state, 0.0
            route.limiter.rating = entry.rating
        complete = event.scope is not i.ListScope.CHANGES
        listed = {entry.route for entry in event.entries} if complete else self.routes
        for route in list(self.routes.values()):
            if route.state is i.RouteState.GONE or route.id not in listed:
                route.dest.routes.remove(route)
                del self.routes[route.id]
                self._clear_outage(route)
        for number, dest in list(self.dests.items()):
            if dest.routes or dest.queue or dest.calls:
                dest.last_active_at = self.now
            elif self.now - dest.last_active_at > FORGET_AFTER_MS:
                del self.dests[number]

    def _add_route(self, entry: i.RouteEntry) -> Route:
        kind = self.settings.kinds[entry.kind] if entry.kind < len(self.settings.kinds) else i.KindSpec("")
        dest = self._destination(entry.destination)
        limiter = self._new_limiter() if kind.separate_routes else dest.shared_limiter
        classes = tuple(Health() for _ in self.settings.classes)
        route = Route(entry.route, entry.zone, kind, dest, limiter, classes, self.rng.random())
        dest.routes.append(route)
        self.routes[route.id] = route
        return route

    def _destination(self, number: int) -> Destination:
        if number not in self.dests:
            self.dests[number] = Destination(
                self._new_limiter(), DecayingCount(self.now), DecayingCount(self.now)
            )
        return self.dests[number]

    def _new_limiter(self) -> RateLimiter:
        return RateLimiter(1.0 / self.settings.senders, refilled_at=self.now)

    def _own_rate(self, route: Route, calls: DecayingCount) -> float:
        other_limits = sum(
            self._limit(r.limiter) for r in route.dest.routes if r.limiter is not route.limiter
        )
        limit = self._limit(route.limiter)
        equal_share = limit / self.settings.senders  # assumed before any demand is seen
        return calls.rate(self.now, limit / max(limit + other_limits, 0.01), equal_share, DECAY_MS / 4)

    def _on_taken(self, event: i.Taken) -> None:
        if event.message in self.pending:
            return
        cls = min(event.cls, len(self.settings.classes) - 1)
        spec = self.settings.classes[cls]
        aim_at = event.deadline_ms - spec.deadline_ms + spec.aim_ms
        dest = self._destination(event.destination)
        m = Message(event.message, dest, cls, spec, event.key, aim_at, event.deadline_ms)
        self.pending[m.id] = m
        m.attempts = event.attempts  # so that the cap holds across a restart
        m.evictable_at = self.now + EVICTABLE_AFTER * (m.deadline - self.now)
        if not event.again:  # a client's repeat is no new demand
            dest.demand.add(self.now, DECAY_MS)
        m.tenant_weight = self._tenant_weight(event.tenant) if event.tenant < len(self.tenant_usage) else 1.0
        if m.attempts >= self.settings.max_attempts:
            self._give_up(m, i.EndReason.NO_ATTEMPTS_LEFT)
            return
        self._enqueue(m)
        if event.key and spec.in_order:
            m.key_queue = self.key_queues.setdefault(event.key, KeyQueue())
            m.key_queue.messages.append(m)
        if len(self.pending) >= self.settings.max_held:
            # Evict the message that loses least by it, from the longest queue if all are owed their attempts.
            longest = max((dest.queue for dest in self.queued_dests), key=len)
            candidates = self._evictable() or longest
            victim = min(candidates, key=lambda other: self._cost_of_waiting(other, other.spec.aim_ms))
            self._give_up(victim, i.EndReason.EVICTED)

    def refusal(self, now_ms: float, destination: int, waiting: Mapping[int, int]) -> i.NoRoom | None:
        """Why a message to a destination can't be accepted; ``None``: it can.

        ``waiting``: messages by destination that were accepted and that the module has not been told of.
        There is no room where a waiting message would have to be given up before it had most of its time;
        and where the destination's queue has its share of the places. That share shrinks with the places
        that are left (dynamic thresholds, Choudhury and Hahne), so that one slow destination does not fill
        them all.
        """
        self.now = max(self.now, now_ms)
        dest = self._destination(destination)
        queued = len(dest.queue) + waiting.get(destination, 0)
        free = self.settings.max_held - 1 - len(self.pending) - sum(waiting.values())
        if queued < QUEUE_SHARE * free:
            return None
        evictable = self._evictable()
        free += len(evictable)
        queued -= sum(m.dest is dest for m in evictable)
        return None if queued < QUEUE_SHARE * free else i.NoRoom(self._retry_after_ms(dest))

    def _evictable(self) -> list[Message]:
        waiting = (m for dest in self.queued_dests for m in dest.queue)
        return [m for m in waiting if self.now >= m.evictable_at]

    def _tenant_weight(self, tenant: int) -> float:
        # Protects tenants from the burst of another; also lowers one whose traffic moves to this sender.
        for number, usage in enumerate(self.tenant_usage):
            usage.add(
                self.now,
                TENANT_USAGE_DECAY_MS,
                (number == tenant) / max(self.settings.tenants[number].share, 0.01),
            )
        counts = sorted(usage.count for usage in self.tenant_usage)
        median = max((counts[(len(counts) - 1) // 2] + counts[len(counts) // 2]) / 2, TENANT_USAGE_MIN)
        within_share = min(TENANT_USAGE_SLACK * median / self.tenant_usage[tenant].count, 1.0)
        return within_share + (1.0 - within_share) * self.settings.over_share_worth

    def _on_ended(self, event: i.Ended) -> None:
        if (event.message, event.attempt) not in self.in_flight:
            return
        m, call = self.in_flight.pop((event.message, event.attempt))
        m.in_flight, m.dest.next_scan_at = False, 0.0
        self.calls -= call.end(self.now)
        if not call.recorded:
            call.recorded = True
            self._record_outcome(m, call, event)
        if event.outcome in NEVER_RAN and m.ran_at == call.sent_at:
            m.ran_at = m.ran_route = None
        elif event.outcome not in (i.Outcome.SERVED, i.Outcome.ERROR, i.Outcome.SPOILT):
            m.settled_at = self.now + self.settings.rules.order_settle_ms
        if event.over or m.finished:
            self._finish(m)
            return
        m.tried.append(call.route)
        if all(r in m.tried for r in m.dest.routes if r.state is i.RouteState.READY):
            m.candidates, m.tried, m.not_before = [], [], self.now + NEXT_ROUND_MS
        lost = m.ran_at is not None and m.spec.effect is i.Effect.UNSAFE
        if lost:
            self._give_up(m, i.EndReason.MAY_HAVE_RUN)
        elif m.attempts >= self.settings.max_attempts:
            self._give_up(m, i.EndReason.NO_ATTEMPTS_LEFT)
        elif self.now >= self._expires_at(m):
            self._give_up(m, i.EndReason.EXPIRED)
        else:
            self._enqueue(m)

    def _enqueue(self, m: Message) -> None:
        m.enqueue(self.queued_dests)
        heappush(self.expiries, (self._expires_at(m), m.id))

    def _expires_at(self, m: Message) -> float:
        """When a waiting message is given up, as another attempt would be too late."""
        return min(m.deadline - self.mean_ms / 2, inf if m.ran_at is None else m.window_ends(m.ran_at))

    def _record_outcome(self, m: Message, call: Call, event: i.Ended) -> None:
        route, limiter, outcome, rules = call.route, call.route.limiter, event.outcome, self.settings.rules
        limiter.reported_limit = event.report.limit_per_s or limiter.reported_limit
        if outcome in (i.Outcome.MOOT, i.Outcome.UNKNOWN):
            return
        self.reset_share += RESET_EWMA_WEIGHT * ((outcome is i.Outcome.RESET) - self.reset_share)
        # If a call sent later was served, the connection failed and not the route.
        overlong = event.took_ms > 2 * TIMEOUT_MULTIPLE * (route.unloaded_ms or self.mean_ms)
        connection_lost = outcome is i.Outcome.RESET or (outcome is i.Outcome.TIMEOUT and overlong)
        connection_lost = connection_lost and route.health.served_sent_at > call.sent_at
        if outcome in (i.Outcome.SERVED, i.Outcome.TIMEOUT) and not connection_lost:
            mean_ms = route.mean_ms or event.took_ms
            route.mean_ms = mean_ms + EWMA_WEIGHT * (event.took_ms - mean_ms)
            if call.unloaded:
                unloaded_ms = route.unloaded_ms or event.took_ms
                route.unloaded_ms = unloaded_ms + EWMA_WEIGHT * (event.took_ms - unloaded_ms)
        self._track_idle_failures(call, event)
        healths = [route.health, route.classes[m.cls]]
        if connection_lost or outcome is i.Outcome.SPOILT:
            # The route took the call: no evidence on the limit or of an outage.
            self._record_fault(route, healths, call)
            return
        if outcome is i.Outcome.SERVED:
            route.dest.served_at = limiter.served_at = self.now
            self.mean_ms += EWMA_WEIGHT / 4 * (event.took_ms - self.mean_ms)
            if limiter.recovered_at == inf and call.sent_at >= limiter.outage_seen_at:
                # It recovered between the last sign and this call: half-way on average.
                limiter.recovered_at, limiter.suspicion = (limiter.outage_seen_at + self.now) / 2, 0.0
            route.dest.served_count.add(self.now, DECAY_MS, 1.0 + BATCH_ITEM_WEIGHT * (call.size - 1))
            if route.health.flagged:
                self.actions.append(i.Log(f"route {route.id}: recheck served"))
                healths = [route.health, *route.classes]
            elif route.unloaded_ms and (route.mean_ms or 0.0) > CONGESTED_RATIO * route.unloaded_ms:
                route.window = max(1.0, route.window * CONGESTED_DECREASE)  # further calls would queue there
            elif route.calls + 1 >= route.window:
                route.window = min(route.window + 1.0, self.settings.slots)
            for health in healths:
                health.record(True, call.sent_at, EWMA_WEIGHT)
            limiter.refusals, limiter.suspicion = limiter.refusals // 2, limiter.suspicion * 0.5
            left_share = event.report.left_share if event.report.limit_per_s else None
            spare = (2 * LIMIT_HEADROOM if left_share is None else left_share) - LIMIT_HEADROOM
            if limiter.tokens < 1.0 or spare < 0.0:
                self._set_share(limiter, limiter.share * (1.0 + SHARE_INCREASE * spare))
            return
        # No sign of an outage if a call sent later was served, as this one was just slow. May be wrong as a
        # route dies.
        recent = self.now - limiter.served_at <= RECENT_SUCCESS_MS
        suspicion = 1.0 if outcome in CONNECTION_FAULTS and not recent else FAULT_SUSPICION
        suspicion = RESET_SUSPICION if outcome is i.Outcome.RESET and recent else suspicion
        suspicion *= route.health.served_sent_at <= call.sent_at
        # Where calls are reset everywhere, a reset is weaker evidence against the one route. Protects healthy
        # destinations; may be wrong where one endpoint resets all its calls.
        evidence = (
            min(1.0, USUAL_RESET_SHARE / max(self.reset_share, 0.001)) if outcome is i.Outcome.RESET else 1.0
        )
        suspicion *= evidence
        left_share = event.report.left_share or 0.0 if event.report.limit_per_s else None
        limit_has_room = left_share is not None and left_share >= LIMIT_EXHAUSTED and not event.wait_ms
        if outcome is i.Outcome.FULL and limit_has_room and recent:
            # The route's own queue is full and not the limit: other routes may have room.
            route.paused_until = self.now + self._jitter(BACK_OFF_MS)
            suspicion = 0.0
        elif outcome is i.Outcome.FULL:
            own_share = self._own_rate(route, route.dest.demand) / max(self._limit(limiter), 0.01)
            own_share = max(own_share, 1.0 / self.settings.senders)
            self._set_share(limiter, min(limiter.share, MAX_DEMAND_MULTIPLE * own_share) * SHARE_DECREASE)
            limiter.refusals += 1
            # Added to a retry-after too, as all senders know its end; an earlier one is never cut short.
            pause = self._jitter(min(BACK_OFF_MS * 2.0 ** (limiter.refusals - 1), self.max_backoff_ms))
            pause = event.wait_ms + (pause if limiter.refusals > 1 else 0.0) if event.wait_ms else pause
            limiter.shut_until = max(limiter.shut_until, self.now + pause)
            # Weaker evidence of an outage if the limit is used up, or too few senders to exceed it when cold.
            exhausted = left_share is not None and left_share < LIMIT_EXHAUSTED
            budget = self._limit(limiter) * rules.fall_multiple * rules.cold_share * RAMP_MARGIN
            few_senders = self.settings.senders * 1000 <= budget * rules.fall_ms
            outage = event.wait_ms > OUTAGE_RETRY_AFTER_MS
            suspicion = (
                1.0 if outage else (FAULT_SUSPICION if exhausted or few_senders else 1.0) * (not recent)
            )
        else:
            self._record_fault(route, healths, call)
        kept = 1.0 - (1.0 - WINDOW_DECREASE) * evidence
        route.window = 1.0 if route.health.flagged else max(1.0, route.window * kept)
        limiter.suspicion = min(limiter.suspicion + suspicion, 3.0)
        if suspicion and limiter.suspicion >= 1.0:
            self._record_outage_sign(route, limiter.shut_until if event.wait_ms else inf)

    def _clear_outage(self, route: Route) -> None:
        """Forget an outage that was seen on a removed route only."""
        limiter = route.limiter
        if limiter.outage_routes and limiter.outage_routes <= {route}:
            limiter.recovered_at, limiter.outage_seen_at, limiter.suspicion, limiter.outage_signs = (
                -inf,
                -inf,
                0.0,
                0,
            )
        limiter.outage_routes.discard(route)

    def _set_share(self, limiter: RateLimiter, share: float) -> None:
        limiter.share = min(max(share, MIN_SHARE / self.settings.senders), ROUGH_RATING_FACTOR)

    def _record_fault(self, route: Route, healths: list[Health], call: Call) -> None:
        for health in healths:
            health.record(False, call.sent_at, EWMA_WEIGHT)
            if health.consecutive_faults >= FLAG_AFTER_FAULTS and not health.flagged:
                health.flagged = True
                self.actions.append(i.Log(f"route {route.id}: flagged"))
            health.recheck_at = self.now + self._jitter(RECHECK_MS)

    def _track_idle_failures(self, call: Call, event: i.Ended) -> None:
        # A fault on an idle connection was the connection's and not the route's if the next call is served.
        dest, outcome = call.route.dest, event.outcome
        slow = event.took_ms > QUICK_RESET_SHARE * (call.route.unloaded_ms or self.mean_ms)
        if outcome is i.Outcome.SERVED:
            if dest.suspect_idle_ms:
                self.idle_failures += 1.0
                self.safe_idle_ms, self.safe_idle_at = (
                    min(self._safe_idle_limit_ms(), dest.suspect_idle_ms * SAFE_IDLE_SHARE),
                    self.now,
                )
            elif call.idle_ms > self.safe_idle_ms:
                self.idle_failures = max(self.idle_failures - 1.0, 0.0)
            dest.suspect_idle_ms = 0.0
        elif outcome is i.Outcome.RESET and (slow or call.idle_ms < MIN_IDLE_TIMEOUT_MS):
            return  # a reset during processing has nothing to do with idleness
        elif (
            outcome in (i.Outcome.RESET, i.Outcome.TIMEOUT)
            and call.idle_ms
            and not call.route.health.consecutive_faults
        ):
            dest.suspect_idle_ms = call.idle_ms
            self.actions.extend(i.CloseIdle(route.id) for route in dest.routes)
        elif outcome is not i.Outcome.FULL:
            dest.suspect_idle_ms = 0.0

    def _safe_idle_limit_ms(self) -> float:
        return self.safe_idle_ms * exp2(min((self.now - self.safe_idle_at) / DECAY_MS, 9.0))

    def _record_outage_sign(self, route: Route, recovered_at: float) -> None:
        """Record a sign of an outage that ends at ``recovered_at``; inf: not known."""
        limiter = route.limiter
        limiter.outage_signs = limiter.outage_signs + 1 if self._is_ramping(limiter) else 0
        if not limiter.outage_signs:
            limiter.outage_routes.clear()
            route.dest.served_count.add(self.now, DECAY_MS, 0.0)
            limiter.own_rate = max(
                self._own_rate(route, route.dest.served_count), self._limit(limiter) / self.settings.senders
            )
            limiter.tokens = 1.0 - self.rng.expovariate(1.0)
        limiter.recovered_at, limiter.outage_seen_at = recovered_at, self.now
        limiter.outage_routes.add(route)

    def _jitter(self, pause: float) -> float:
        return pause * (0.75 + self.rng.random() / 2)

    def _limit(self, limiter: RateLimiter) -> float:
        return limiter.reported_limit or limiter.rating / (
            ROUGH_RATING_FACTOR if self.settings.rating is i.Rating.ROUGH else 1.0
        )

    def _refill(self, route: Route) -> None:
        # Rule 4, fail-back: the senders' own rates before the outage sum to the limit, so that together they
        # use RAMP_MARGIN of the budget; of the cold one until a call sent after the last sign is served. A
        # sender with hardly any rate gets about one call in warm_within_ms, halved with each further sign.
        # Unused tokens lapse, so that calls do not accumulate during the outage. The price: the return of a
        # destination that senders hardly call may be found late.
        limiter, rules = route.limiter, self.settings.rules
        limit = self._limit(limiter)
        limiter.rate_per_s = max(limit * limiter.share, 0.001)
        elapsed_s = max(self.now - limiter.refilled_at, 0.0) / 1000
        if self._is_ramping(limiter):
            progress = max(self.now - limiter.recovered_at, 0.0) / rules.warm_within_ms
            warmth = rules.cold_share + (1.0 - rules.cold_share) * progress
            ramp_rate = limiter.own_rate * rules.fall_multiple * warmth * RAMP_MARGIN
            min_rate = 0.0 if progress else 1000 / rules.warm_within_ms * exp2(-limiter.outage_signs)
            limiter.rate_per_s = min(limiter.rate_per_s, max(ramp_rate, min_rate))
            limiter.tokens += limiter.rate_per_s * elapsed_s
            if limiter.tokens > 1.0 + limiter.rate_per_s * RAMP_TOKEN_LAPSE_MS / 1000:
                limiter.tokens = 1.0
                self._spend_tokens(limiter, 1.0)
        else:
            depth = max(1.0, limiter.rate_per_s * BURST_MS / 1000)
            limiter.tokens = min(depth, limiter.tokens + limiter.rate_per_s * elapsed_s)
        limiter.refilled_at = max(limiter.refilled_at, self.now)

    def _spend_tokens(self, limiter: RateLimiter, amount: float) -> None:
        """Pay for a call; in a slow ramp the price is drawn, so that senders do not act in step."""
        if self._is_ramping(limiter) and limiter.rate_per_s * self.settings.rules.fall_ms < 1000:
            amount *= self.rng.expovariate(1.0)
        limiter.tokens -= amount

    def _is_ramping(self, limiter: RateLimiter) -> bool:
        warming_up = self.now - limiter.recovered_at < self.settings.rules.warm_within_ms
        return (
            warming_up
            and self.now - limiter.outage_seen_at < FORGET_AFTER_MS
            and self.settings.rules.warm_within_ms > 0
        )

    def _can_send(self, route: Route) -> bool:
        if route.state is not i.RouteState.READY or self._window_used(route) >= int(route.window):
            return False
        self._refill(route)
        return self.now >= max(route.limiter.shut_until, route.paused_until) and route.limiter.tokens >= 1.0

    def _stuck_at(self, route: Route, call: Call) -> float:
        return call.sent_at + max(TIMEOUT_MULTIPLE * (route.unloaded_ms or self.mean_ms), MIN_STUCK_MS)

    def _window_used(self, route: Route) -> int:
        """How much of the window is used; calls on connections that fell silent do not count."""
        if self._all_stuck(route):
            return 0  # the next message tells whether the connections failed or the route
        served_sent_at = route.health.served_sent_at
        return sum(
            c.sent_at >= served_sent_at or self.now < self._stuck_at(route, c) for c in route.open_calls
        )

    def _all_stuck(self, route: Route) -> bool:
        """Whether all open calls are stuck and none sent later was served."""
        newest = route.open_calls[-1].sent_at if route.open_calls else -inf
        stuck = all(self.now >= self._stuck_at(route, call) for call in route.open_calls)
        return stuck and newest > route.health.served_sent_at

    def _success_share(self, route: Route, m: Message) -> float:
        of_class = route.classes[m.cls]
        return (ROUTE_PRIOR_CALLS * route.health.success_share + of_class.weight * of_class.success_share) / (
            ROUTE_PRIOR_CALLS + of_class.weight
        )

    def _rank(self, m: Message) -> list[Route]:
        dest = m.dest
        fastest = min((r.mean_ms for r in dest.routes if r.mean_ms), default=1.0)

        def suitability(route: Route) -> tuple[float, float]:
            fee = round(5 - 4 * self.settings.prices.fee_part(route.zone))
            success = round(1 + 4 * self._success_share(route, m))
            latency = round(1 + 4 * fastest / (route.mean_ms or fastest))
            return (
                -(SUCCESS_WEIGHT * success + LATENCY_WEIGHT * latency + FEE_WEIGHT * fee),
                route.tie_break,
            )

        return sorted(dest.routes, key=suitability)

    def _allowed(self, m: Message, route: Route) -> bool:
        if route in m.tried or not m.may_repeat(route, self.now):
            return False
        unsafe = m.spec.effect is i.Effect.UNSAFE
        if unsafe and self._all_stuck(route):
            return False  # until a safe message has found out whether the route still serves
        flagged = [health for health in (route.health, route.classes[m.cls]) if health.flagged]
        if flagged:
            return all(self.now >= h.recheck_at + (RECHECK_MS if unsafe else 0.0) for h in flagged)
        healthy = not unsafe or self._success_share(route, m) >= UNSAFE_MIN_SUCCESS
        return healthy or self.now > m.deadline - m.spec.aim_ms

    def _cost_of_waiting(self, m: Message, horizon_ms: float) -> float:
        served_at = self.now + self.mean_ms
        return m.worth(served_at, self.settings.fade) - WAITING_DISCOUNT * m.worth(
            served_at + horizon_ms, self.settings.fade
        )

    def _backlog_ms(self, dest: Destination) -> float:
        rate_per_s = sum(self._limit(r.limiter) * r.limiter.share * r.kind.per_call for r in dest.routes)
        return 1000 * len(dest.queue) / max(rate_per_s, 0.1)

    def _retry_after_ms(self, dest: Destination) -> float:
        opens_in = min((route.limiter.shut_until for route in dest.routes), default=inf) - self.now
        return min(max(opens_in, self._backlog_ms(dest)), self.settings.max_retry_after_ms)

    def _is_ready(self, m: Message) -> bool:
        key_queue = m.key_queue
        return self.now >= m.not_before and (
            not key_queue
            or key_queue.messages[0] is m
            and self.now >= key_queue.settled_at
            and not key_queue.unconfirmed
        )

    def _max_calls(self, dest: Destination) -> int:
        recent = self.now - dest.served_at <= RECENT_SUCCESS_MS
        return max(
            1,
            ceil(self.settings.slots * DESTINATION_SLOT_SHARE) - 1
            if recent
            else int(self.settings.slots * FAILING_SLOT_SHARE),
        )

    def _pick(self, dest: Destination) -> tuple[float, Message, Route] | None:
        ready = [route for route in dest.routes if self._can_send(route)]
        dest.next_scan_at = self.now + RESCAN_MS
        if not ready or dest.calls >= self._max_calls(dest):
            limiters = [r.limiter for r in dest.routes if not ready and self._window_used(r) < int(r.window)]
            token_at = [
                self.now + 1000 * (1.0 - limiter.tokens) / max(limiter.rate_per_s, 0.001)
                for limiter in limiters
            ]
            opens_at = [max(at, limiter.shut_until) for at, limiter in zip(token_at, limiters, strict=True)]
            dest.next_scan_at = min([dest.next_scan_at, *(at for at in opens_at if at > self.now)])
            return None
        horizon_ms = max(self.mean_ms, self._backlog_ms(dest))
        best: tuple[float, Message, Route] | None = None
        for m in dest.queue:
            cost = self._cost_of_waiting(m, horizon_ms)
            if self._is_ready(m) and (best is None or cost > best[0]):
                if any(r not in m.candidates for r in ready):  # all at first, then newly listed ones
                    m.candidates = m.candidates + [r for r in self._rank(m) if r not in m.candidates]
                route = next((r for r in m.candidates if r in ready and self._allowed(m, r)), None)
                best = (cost, m, route) if route else best
        dest.next_scan_at = 0.0 if best else dest.next_scan_at
        return best

    def _dispatch(self) -> None:
        outdated = self.list_retry.outdated(self.now)
        dests = self.queued_dests if self.calls < self.settings.slots and not outdated else ()
        picks = [pick for dest in dests if dest.next_scan_at <= self.now and (pick := self._pick(dest))]
        while picks and self.calls < self.settings.slots:
            best = max(picks, key=self._value_of_slot)
            picks.remove(best)
            self._send(best[1], best[2])
            if again := self._pick(best[2].dest):
                picks.append(again)

    def _value_of_slot(self, pick: tuple[float, Message, Route]) -> float:
        """The worth that a call saves, per time that it takes one of the shared slots."""
        cost, m, route = pick
        size = min(self._batch_limit(route), len(m.dest.queue))
        return cost * size / float(max(route.mean_ms or self.mean_ms, 1.0) ** SLOT_TIME_EXPONENT)

    def _batch_limit(self, route: Route) -> int:
        return 1 if route.health.flagged or route.limiter.recovered_at == inf else route.kind.per_call

    def _send(self, first: Message, route: Route) -> None:
        others = [
            m for m in route.dest.queue if m is not first and self._is_ready(m) and self._allowed(m, route)
        ]
        # A call times out as a whole: messages join only if its time-out suits them.
        slow_ms = (
            TIMEOUT_MULTIPLE
            * (route.mean_ms or self.mean_ms)
            * (1.0 + BATCH_ITEM_WEIGHT * (self._batch_limit(route) - 1))
        )
        needs_ms = {m.id: max(slow_ms, MIN_TIMEOUT_AIM_SHARE * m.spec.aim_ms) for m in (first, *others)}
        left_ms = {m.id: m.deadline - self.now for m in (first, *others)}
        call_ms = min(left_ms[first.id], max(needs_ms.values()))
        joining = [
            m
            for m in others
            if BATCH_TIMEOUT_RATIO * left_ms[m.id]
            >= call_ms
            >= min(needs_ms[m.id], left_ms[m.id] / BATCH_TIMEOUT_RATIO)
        ]
        batch = [first, *joining][: self._batch_limit(route)]
        timeouts = [self._timeout(m, route, len(batch)) for m in batch]
        timeout = (
            min(timeouts)
            if max(timeouts) <= BATCH_TIMEOUT_RATIO * min(timeouts)
            else min(call_ms, *(left_ms[m.id] for m in batch))
        )
        idle_ms = self.now - route.last_ended_at if route.last_ended_at and not route.calls else 0.0
        if idle_ms > self._safe_idle_limit_ms() and self.idle_failures >= 1.0:
            self.actions.append(i.CloseIdle(route.id))
            idle_ms = 0.0
        call = Call(route, self.now, len(batch), len(batch), idle_ms)
        for health in (route.health, route.classes[first.cls]):
            health.recheck_at = self.now + self._jitter(RECHECK_MS)
        self._spend_tokens(
            route.limiter, 1.0 + BATCH_ITEM_WEIGHT * (len(batch) - 1) * self._is_ramping(route.limiter)
        )
        self.calls += call.begin()
        for m in batch:
            m.dequeue(self.queued_dests)
            self.in_flight[m.id, m.attempts] = (m, call)
            m.mark_sent(route, self.now)
            self.actions.append(i.Send(m.id, route.id, timeout))

    def _timeout(self, m: Message, route: Route, size: int) -> float:
        left_ms = m.deadline - self.now
        if m.spec.effect is i.Effect.UNSAFE or m.attempts + 1 >= self.settings.max_attempts:
            return left_ms
        expected_ms = (route.mean_ms or self.mean_ms) * (1.0 + BATCH_ITEM_WEIGHT * (size - 1))
        usable_ms = min(m.deadline, m.window_ends(self.now)) - self.now
        # Leaves time for another attempt; where all routes are slow, work may be done twice.
        timeout = min(
            max(TIMEOUT_MULTIPLE * expected_ms, MIN_TIMEOUT_AIM_SHARE * m.spec.aim_ms),
            usable_ms - expected_ms,
        )
        return timeout if timeout >= expected_ms else left_ms

    def _finish(self, m: Message) -> None:
        if self.pending.pop(m.id, None) is not None:
            m.finished = True
            m.dequeue(self.queued_dests)
        if m.key_queue and not m.in_flight and m.key_queue.remove(m, self.now):
            self.key_queues.pop(m.key, None)

    def _give_up(self, m: Message, reason: i.EndReason) -> None:
        if m.safe_to_resubmit():
            self.actions.append(i.Refuse(m.id, self._retry_after_ms(m.dest), reason))
        else:
            self.actions.append(i.Fail(m.id, reason))
        if m.key_queue and self.settings.confirms_ends:
            m.key_queue.unconfirmed.add(m.id)
            self.unconfirmed[m.id] = (m.key, m.key_queue)
        self._finish(m)

    def _expire(self) -> None:
        while self.expiries and self.expiries[0][0] <= self.now:
            m = self.pending.get(heappop(self.expiries)[1])
            if m is not None and not m.in_flight:
                self._give_up(m, i.EndReason.EXPIRED)

    def _set_timer(self) -> None:
        if self.list_retry.due(self.now):
            self.actions.append(i.Watch())
        due = self.list_retry.next_at
        if self.queued_dests:
            scans = [dest.next_scan_at for dest in self.queued_dests if self.calls < self.settings.slots]
            if self.list_retry.outdated(self.now):
                scans = [self.list_retry.outdated_until]
            due = max(min([due, self.expiries[0][0], *scans]), self.now + self.settings.tick_ms)
        if due < inf and (self.wake_at <= self.now + self.settings.tick_ms / 2 or due < self.wake_at):
            self.wake_at = due
            self.actions.append(i.Wake(due - self.now))
