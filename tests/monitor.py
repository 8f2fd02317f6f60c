"""A monitor of the six rules, and a host that plays legal outcomes against the dispatcher."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from springspread import interface as i
from springspread.policy import Dispatcher

NEVER_RAN = {i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.MOOT}
MAY_STILL_RUN = {i.Outcome.TIMEOUT, i.Outcome.RESET, i.Outcome.CANCELLED}


class RuleViolation(AssertionError):
    """A rule was violated."""


class Monitor:
    """Checks one sender's actions against the rules."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.routes: dict[int, i.RouteEntry] = {}
        self.unavailable_since: dict[int, float] = {}
        self.shut_until: dict[int, float] = {}
        self.taken: dict[int, i.Taken] = {}
        self.finished: set[int] = set()
        self.sends: dict[int, list[tuple[float, int, i.Outcome | None]]] = {}
        self.keys: dict[int, list[int]] = {}
        self.key_settled_at: dict[int, float] = {}
        self.cold_sends: dict[int, list[float]] = {}
        self.recovered_at: dict[int, float] = {}

    def event(self, now: float, event: i.Event) -> None:
        """Record an event before the sender gets it."""
        match event:
            case i.Listed():
                for entry in event.entries:
                    self.routes[entry.route] = entry
                    if entry.state is i.RouteState.READY:
                        self.unavailable_since.pop(entry.route, None)
                    else:
                        self.unavailable_since.setdefault(entry.route, now)
            case i.Taken():
                self.taken[event.message] = event
                if event.key and self.settings.classes[event.cls].in_order:
                    self.keys.setdefault(event.key, []).append(event.message)
            case i.Withdrawn(message):
                self.finished.add(message)
            case i.Ended():
                at, route, _ = self.sends[event.message][event.attempt]
                self.sends[event.message][event.attempt] = (at, route, event.outcome)
                if event.over:
                    self.finished.add(event.message)
                if event.outcome is i.Outcome.FULL and event.wait_ms:
                    self.shut_until[route] = now + event.wait_ms
                key = self.taken[event.message].key
                if key and event.outcome in MAY_STILL_RUN:
                    self.key_settled_at[key] = now + self.settings.rules.order_settle_ms

    def actions(self, now: float, actions: Iterable[i.Action]) -> None:
        """Check the sender's actions."""
        for action in actions:
            match action:
                case i.Send(message, route):
                    self._check_send(now, message, route)
                case i.Refuse(message):
                    self._check_final(message, refused=True)
                case i.Fail(message):
                    self._check_final(message, refused=False)

    def overdue(self, now: float) -> None:
        """Check rule one: every message is answered in time."""
        for number, taken in self.taken.items():
            if number not in self.finished and now > taken.deadline_ms + self.settings.rules.answer_slack_ms:
                raise RuleViolation(f"late: message {number}")

    def mark_recovered(self, now: float, route: int) -> None:
        """Record that a route recovered from an outage that this sender saw."""
        self.recovered_at[route] = now
        self.cold_sends[route] = []

    def _may_have_run(self, message: int) -> list[tuple[float, int]]:
        sends = self.sends.get(message, [])
        return [(at, route) for at, route, outcome in sends if outcome not in NEVER_RAN]

    def _check_send(self, now: float, message: int, route: int) -> None:
        if message in self.finished:
            raise RuleViolation(f"late: message {message} sent after its end")
        taken, entry = self.taken[message], self.routes[route]
        spec = self.settings.classes[taken.cls]
        if entry.destination != taken.destination:
            raise RuleViolation("a route of another destination")
        sends = self.sends.setdefault(message, [])
        if sends and sends[-1][2] is None:
            raise RuleViolation(f"twice: message {message} has two attempts out")
        if len(sends) >= self.settings.max_attempts:
            raise RuleViolation(f"attempts of message {message} are over the cap")
        ran = self._may_have_run(message)
        if ran and spec.effect is i.Effect.UNSAFE:
            raise RuleViolation(f"twice: unsafe message {message}")
        if ran and spec.effect is i.Effect.KEYED:
            first_at, first = ran[0]
            if now > first_at + spec.window_ms:
                raise RuleViolation(f"twice: keyed message {message} out of its window")
            if spec.scope is i.Scope.ZONE and self.routes[first].zone != entry.zone:
                raise RuleViolation(f"twice: keyed message {message} out of its zone")
        if (
            route in self.unavailable_since
            and now > self.unavailable_since[route] + self.settings.rules.drain_grace_ms
        ):
            raise RuleViolation(f"drain: route {route}")
        if now < self.shut_until.get(route, now):
            raise RuleViolation(f"wait: route {route}")
        if taken.key and spec.in_order:
            self._check_order(now, taken)
        sends.append((now, route, None))
        self._check_cold(now, route)

    def _check_order(self, now: float, taken: i.Taken) -> None:
        for other in self.keys[taken.key]:
            if other == taken.message:
                if not self.sends.get(other) and now < self.key_settled_at.get(taken.key, now):
                    raise RuleViolation(f"order: key {taken.key} has not settled")
                return
            out = any(outcome is None for _, _, outcome in self.sends.get(other, []))
            if other not in self.finished or out:
                raise RuleViolation(f"order: message {taken.message} before {other}")

    def _check_cold(self, now: float, route: int) -> None:
        rules = self.settings.rules
        if route not in self.recovered_at:
            return
        times = self.cold_sends[route]
        times.append(now)
        since = now - self.recovered_at[route]
        if since > rules.warm_within_ms:
            return
        warm = rules.cold_share + (1 - rules.cold_share) * since / rules.warm_within_ms
        budget = self.routes[route].rating * rules.fall_multiple * warm * rules.fall_ms / 1000
        recent = sum(1 for at in times if at > now - rules.fall_ms)
        if recent > max(budget, 1.0):
            raise RuleViolation(f"fail-back: {recent} sends to route {route}, budget {budget:.2f}")

    def _check_final(self, message: int, refused: bool) -> None:
        if message in self.finished:
            raise RuleViolation(f"a second final answer for message {message}")
        self.finished.add(message)
        spec = self.settings.classes[self.taken[message].cls]
        if refused and self._may_have_run(message):
            keyed = spec.effect is i.Effect.KEYED and spec.scope is i.Scope.ALL
            if not keyed and spec.effect is not i.Effect.SAFE:
                raise RuleViolation(f"twice: message {message} refused though it may have run")


class World:
    """Plays a sender's environment: delivers outcomes and timers, and checks the rules."""

    def __init__(self, settings: i.Settings, seed: int, entries: tuple[i.RouteEntry, ...]) -> None:
        self.settings = settings
        self.sender = Dispatcher(settings, seed)
        self.monitor = Monitor(settings)
        self.rng = Random(seed)
        self.now = 1000.0
        self.scheduled: list[tuple[float, int, i.Event]] = []
        self.count = 0
        self.trace: list[tuple[float, list[i.Action]]] = []
        self.outcomes: dict[int, i.Outcome] = {}
        self.response_ms = 60.0
        self.retry_after_ms = 0.0
        self.step([i.Listed(i.ListScope.CACHED, 1, entries)])

    def schedule(self, after: float, event: i.Event) -> None:
        """Deliver an event after a time."""
        self.count += 1
        self.scheduled.append((self.now + after, self.count, event))

    def step(self, events: list[i.Event]) -> list[i.Action]:
        """Pass events to the sender now and carry out its actions."""
        for event in events:
            self.monitor.event(self.now, event)
        actions = self.sender.handle(self.now, events)
        self.trace.append((self.now, actions))
        self.monitor.actions(self.now, actions)
        self.monitor.overdue(self.now)
        for action in actions:
            match action:
                case i.Send(message, route, timeout):
                    self._call(message, route, timeout)
                case i.Cancel(message, attempt):
                    self._cancel(message, attempt)
                case i.Wake(after, token):
                    self.schedule(max(after, self.settings.tick_ms), i.Woken(token))
        return actions

    def _call(self, message: int, route: int, timeout: float) -> None:
        outcome = self.outcomes.get(route, i.Outcome.SERVED)
        left = self.monitor.taken[message].deadline_ms - self.now
        limit = min(timeout, left) if timeout > 0 else left
        took = limit if outcome is i.Outcome.TIMEOUT else self.response_ms
        if took > limit:
            outcome, took = i.Outcome.TIMEOUT, limit
        attempt = len(self.monitor.sends[message]) - 1
        wait = self.retry_after_ms if outcome is i.Outcome.FULL else 0.0
        over = outcome is i.Outcome.SERVED
        self.schedule(max(took, 0.0), i.Ended(message, attempt, route, outcome, took, over, wait))

    def _cancel(self, message: int, attempt: int) -> None:
        for n, (at, count, event) in enumerate(self.scheduled):
            if isinstance(event, i.Ended) and (event.message, event.attempt) == (message, attempt):
                ended = i.Ended(message, attempt, event.route, i.Outcome.CANCELLED, 0.0, False)
                self.scheduled[n] = (min(at, self.now + self.settings.tick_ms), count, ended)

    def run(self, duration_ms: float) -> None:
        """Run for a time."""
        end = self.now + duration_ms
        while True:
            due = [at for at, _, _ in self.scheduled if at <= end]
            if not due:
                break
            self.now = max(self.now, min(due))
            events = sorted(c for c in self.scheduled if c[0] <= self.now)
            self.scheduled = [c for c in self.scheduled if c[0] > self.now]
            self.step([self._over(event) for _, _, event in events])
        self.now = end

    def _over(self, event: i.Event) -> i.Event:
        if isinstance(event, i.Ended) and event.message in self.monitor.finished and not event.over:
            return i.Ended(event.message, event.attempt, event.route, event.outcome, event.took_ms, True)
        return event

    def sends(self) -> list[tuple[float, i.Send]]:
        """All sends so far, with their times."""
        return [(at, a) for at, actions in self.trace for a in actions if isinstance(a, i.Send)]

    def finals(self) -> list[tuple[float, i.Refuse | i.Fail]]:
        """All refusals and failures so far, with their times."""
        return [(at, a) for at, actions in self.trace for a in actions if isinstance(a, i.Refuse | i.Fail)]
