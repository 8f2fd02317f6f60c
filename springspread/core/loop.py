"""The sender's loop: one thread that owns the module, the message table, the slots and the timers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from queue import Empty, SimpleQueue

from springspread import interface as i
from springspread.config import Config
from springspread.core import translate
from springspread.core.clearance import Clearance
from springspread.core.clock import SYSTEM, Clock
from springspread.core.destinations import KnownDestinations
from springspread.core.figures import Figure, Figures
from springspread.core.journal import Journal, JournalFull, PendingMessage
from springspread.core.journal_ownership import OWNERSHIP_CHECK_MS, OwnedJournals
from springspread.core.start import Start
from springspread.core.types import (
    Attempt,
    AttemptEnd,
    Call,
    CoreEvent,
    Directory,
    Endpoint,
    EndpointState,
    Executor,
    Gone,
    ListNews,
    Log,
    Message,
    NewPolicy,
    Notice,
    NoticeHeard,
    NoticeSink,
    ProbeEnd,
    Result,
    Scope,
    Shares,
    Stop,
    Verdict,
)
from springspread.policy import Dispatcher


@dataclass(slots=True, eq=False)
class Held:
    """A message in the table: the module still has to end it."""

    owed: PendingMessage
    spec: i.ClassSpec
    deadline: float
    speakers: int = 1  # how often it was handed in by clients that have not left


class Sender:
    """Feeds the module what came in, a tick at a time, and has its actions carried out."""

    def __init__(
        self,
        config: Config,
        journal: Journal | OwnedJournals,
        clearance: Clearance,
        log: Log,
        clock: Clock = SYSTEM,
        shares: Shares | None = None,
        policy: int = 0,
        figures: Figures | None = None,
    ) -> None:
        """``policy``: the number of the fleet's policy that ``config`` is of."""
        self._clock, self._shares, self._policy = clock, shares, policy
        self._set, self._limits = config.settings, config.limits
        self._journal, self._clearance, self._log = journal, clearance, log
        self._lanes = journal if isinstance(journal, OwnedJournals) else None
        self._figures = figures or Figures(())
        self._module = Dispatcher(config.settings, config.seed)
        self._classes = {spec.name: n for n, spec in enumerate(config.settings.classes)}
        self._endpoints = translate.Endpoints(config.settings.kinds, clock)
        self._inbox: SimpleQueue[CoreEvent] = SimpleQueue()
        self._held: dict[int, Held] = {}
        self._numbers: dict[str, int] = {}  # of all that is owed, notices that are out included
        self._recent: OrderedDict[str, bool] = OrderedDict()  # lately over: whether it was delivered
        self._calls: dict[Call, int] = {}
        self._destinations = KnownDestinations(config.limits.destination_retention_ms, clock)
        self._unconfirmed: list[Message] = []  # taken on in this batch, and not told before it is on disk
        self._timers: list[tuple[float, int]] = []
        self._stop_at = float("inf")
        self._last = 0.0
        self._listed_at, self._version = clock.now(), 0  # when the list was last told, and which one
        self.start = Start(config.waits, log, clock, journal.written_wall)

    def attach(self, executor: Executor, directory: Directory, notices: NoticeSink) -> None:
        """Name the drivers that carry out what the module decides."""
        self._executor, self._directory, self._notices = executor, directory, notices

    def put(self, event: CoreEvent) -> None:
        """Hand in an event, from any thread."""
        self._inbox.put(event)

    def put_list(self, news: ListNews) -> None:
        """Hand in news of the list, from any thread.

        Where two events cross: a call's first byte and a drain that was read. The drain binds here, however
        long the loop is busy, or held up by the disk.
        """
        self._clearance.received(news)
        self._inbox.put(news)

    def restore(self, known: ListNews) -> None:
        """Take up what the last process owed; only then may a client be told that this one is ready."""
        now = self._clock.now()
        events: list[i.Event] = [self._listed(known)]
        waiting = self._taken_up(self._journal.pending.values())
        self.start.begin(now, waiting)
        for name, ranges in self._journal.damaged.items():
            places = [f"{one.start}-{one.end}" for one in ranges[:20]]
            ids = [id for one in ranges for id in one.ids][:20]
            self._log.error("journal damaged; set aside", file=name, ranges=places, ids=ids)
        if self._journal.pending or self._journal.cut_bytes:
            self._log.info("restored", owed=len(self._journal.pending), cut_bytes=self._journal.cut_bytes)
        if not self._set.must_ask:
            # Guards drains: what the agent that lists are pushed to has counts as told, asked for or not.
            self._directory.watch(True)
        self._decide(now, events + self._through(now))

    def _taken_up(self, found: Iterable[PendingMessage]) -> list[tuple[PendingMessage, float]]:
        """What another process owed: what has no end coming goes on, with its class's time."""
        waiting: list[tuple[PendingMessage, float]] = []
        for owed in list(found):
            self._numbers[owed.id] = owed.number
            cls = self._classes.get(owed.cls)
            spec = self._set.classes[cls] if cls is not None else None
            if owed.ending is not None:
                self._notices.tell(Notice(owed.number, owed.id, *owed.ending))
            elif cls is None or spec is None or (owed.may_have_run and spec.effect is not i.Effect.SAFE):
                # Guards rule 2: an attempt that was out at the end may have run, and nothing tells.
                self._end(owed.number, deferred=False)
            else:
                waiting.append((owed, spec.deadline_ms))
        return waiting

    def _taken_over(self, now: float) -> list[i.Event]:
        """What a process beside this one owed goes on here, once it has died."""
        if self._lanes is None or not (found := self._lanes.check_ownership(now)):
            return []
        self._log.info("taken over", owed=len(found))
        return [self._goes_on(now, owed, self.start.left(owed, most)) for owed, most in self._taken_up(found)]

    def _goes_on(self, now: float, owed: PendingMessage, left: float) -> i.Taken:
        cls, deadline = self._classes[owed.cls], now + left
        self._log.debug("goes on", number=owed.number, left_ms=round(left, 1), attempts=owed.attempts)
        self._held[owed.number] = Held(owed, self._set.classes[cls], deadline)
        return i.Taken(
            owed.number,
            owed.group,
            cls,
            deadline,
            again=owed.again,
            orphan=owed.orphan,
            attempts=owed.attempts,
        )

    @property
    def open(self) -> bool:
        """Whether new clients may be let in; asked from any thread."""
        return self.start.open

    def levels(self) -> Mapping[str, int]:
        """What there is now; asked from any thread."""
        endpoints, routes = list(self._endpoints.by_number.values()), self._module.routes
        flagged = {number for number, route in list(routes.items()) if route.health.flagged}
        avoided = [
            endpoint
            for endpoint in endpoints
            if endpoint.number in flagged
            or endpoint.state is not EndpointState.READY
            or self._clearance.barred_ms(endpoint) > 0.0
        ]
        return {
            "in_flight": len(self._held),
            "endpoints_known": len(endpoints),
            "endpoints_excluded": len(avoided),
            "list_version": self._version,
            "list_age_ms": int(self._clock.now() - self._listed_at),
        }

    def _through(self, now: float) -> list[i.Event]:
        """Through the gates that are open by now; what that sets free goes on."""
        if self.start.open:
            return []
        if self.start.asks(now, self._destinations.listed):
            self._directory.fetch()
        acts = self._shares is None or self._shares.may(self._policy)
        freed = self.start.through(now, self._set.slots, acts, self._destinations.listed)
        return [self._goes_on(now, owed, left) for owed, left in freed]

    def run(self) -> None:
        """Handle batches until a stop is through."""
        while not self._stopped():
            first = self._next()
            pause = self._last + self._set.tick_ms - self._clock.now()
            if pause > 0:
                self._clock.sleep(pause)
            self.step(([] if first is None else [first]) + self.waiting())

    def waiting(self) -> list[CoreEvent]:
        """Take what has come in, without waiting for more."""
        batch: list[CoreEvent] = []
        while True:
            try:
                batch.append(self._inbox.get_nowait())
            except Empty:
                return batch

    @property
    def due(self) -> float:
        """When the next timer is due; inf where there is none."""
        return self._timers[0][0] if self._timers else float("inf")

    def step(self, batch: list[CoreEvent]) -> None:
        """Handle one batch with the timers that are due."""
        now = self._last = self._clock.now()
        events: list[i.Event] = []
        for event in batch:
            events += self._take_in(event)
        events += self._confirm()
        while self._timers and self._timers[0][0] <= now:
            events.append(i.Woken(heappop(self._timers)[1]))
        events += self._through(now) + self._taken_over(now)
        if events:
            self._decide(now, events)

    def _confirm(self) -> list[i.Event]:
        """Tell whoever handed in that it is taken on, after one sync for all of the batch."""
        waiting, self._unconfirmed = self._unconfirmed, []
        verdict, events = Verdict.TAKEN, list[i.Event]()
        if waiting:
            try:
                self._journal.wait_synced()
            except OSError as exc:
                self._log.error("not on disk; nothing more is taken on", reason=str(exc))
                verdict = Verdict.REFUSED
        for message in waiting:
            if not message.answer(verdict) or verdict is Verdict.REFUSED:
                events += self._gone(message)
        return events

    def _taken_on(self, message: Message) -> bool:
        """Tell that it is on record, or see to it; false where its client has stopped waiting."""
        if self._journal.commit is None:
            return message.answer(Verdict.TAKEN)
        self._unconfirmed.append(message)
        return True

    def _next(self) -> CoreEvent | None:
        due = self.due
        if self._stop_at < float("inf") or not self.open:
            due = min(due, self._clock.now() + 20.0)  # a stop's conditions and a gate's are looked at
        if self._lanes is not None and self._lanes.has_other_journals:
            due = min(due, self._clock.now() + OWNERSHIP_CHECK_MS)
        try:
            if due == float("inf"):
                return self._inbox.get()
            return self._inbox.get(timeout=max(due - self._clock.now(), 0.0) / 1000.0)
        except Empty:
            return None

    def _stopped(self) -> bool:
        since = self._clock.now() - self._stop_at
        if since < self._limits.accept_after_stop_ms + 500.0:
            return False
        return since >= self._limits.stop_ms or not (self._held or self._calls or self._numbers)

    def _take_in(self, event: CoreEvent) -> list[i.Event]:
        match event:
            case Message():
                return self._handed_in(event)
            case AttemptEnd():
                return self._attempt_end(event)
            case ListNews():
                self.start.told(event.date, event.notified_at)
                if event.scope is not Scope.FAILED:
                    self._listed_at, self._version = event.notified_at, event.version
                listed = self._listed(event)
                self._clearance.applied(event)
                return [listed]
            case ProbeEnd():
                return [translate.probed(event)]
            case Gone(message):
                return self._gone(message)
            case NoticeHeard(numbers):
                for number in numbers:
                    self._forget(number, delivered=False)
            case NewPolicy(number, config):
                return [self._new_policy(number, config)]
            case Stop():
                self._stop_at = min(self._stop_at, self._clock.now())
        return []

    def _new_policy(self, number: int, config: Config) -> i.Changed:
        """Between two batches: calls decided from now on are of this policy, as are messages taken on."""
        new, names = config.settings, {spec.name for spec in config.settings.classes}
        # Guards what is held: a class keeps its place, and one that no client may use any more stays at it.
        places = {spec.name: spec for spec in (*self._set.classes, *new.classes)}
        self._set = replace(new, classes=tuple(places.values()))
        self._classes = {name: n for n, name in enumerate(places) if name in names}
        self._policy = number
        self._figures.follow(names)
        self._executor.grow(new.slots)
        self._log.info("policy", version=number, slots=new.slots)
        return i.Changed(self._set)

    def _handed_in(self, message: Message) -> list[i.Event]:
        cls = self._classes.get(message.cls)
        if cls is None:
            message.answer(Verdict.UNKNOWN_CLASS)
        elif message.id in self._numbers:
            # It is owed already, and sent once more as the answer got lost: both speak for it. Guards it
            # against a client that uses another's id: only what is the same speaks for it.
            number = self._numbers[message.id]
            owed = self._journal.pending[number]
            if (owed.cls, owed.group, owed.body) != (message.cls, message.group, message.body):
                message.answer(Verdict.CONFLICT)
                return []
            message.number = number
            self._log.debug("handed in again", id=message.id, number=number)
            if number in self._held:
                self._held[number].speakers += 1
            if not self._taken_on(message):
                return self._gone(message)
        elif self._recent.get(message.id):
            message.answer(Verdict.DELIVERED)
        elif self._lanes is not None and (other := self._lanes.pending_elsewhere(message.id)) is not None:
            # A process beside this one owes it, and tells its end.
            same = (other.cls, other.group, other.body) == (message.cls, message.group, message.body)
            message.answer(Verdict.TAKEN if same else Verdict.CONFLICT)
        elif not self._destinations.knows(message.group):
            # Guards the table: a destination that does not exist would hold its messages to their end. Before
            # discovery has told the list, it may be one that is new.
            message.answer(Verdict.UNKNOWN_GROUP if self._destinations.listed else Verdict.REFUSED)
        elif len(self._held) >= self._set.max_held:
            self._log.debug("turned away", id=message.id, group=message.group, cls=message.cls)
            message.answer(Verdict.REFUSED)
        else:
            return self._admit(message, cls)
        return []

    def _admit(self, message: Message, cls: int) -> list[i.Event]:
        number = self._journal.last_number + 1
        left = message.deadline - self._clock.now()
        until = self.start.wall() + left
        owed = PendingMessage(
            number,
            message.id,
            message.cls,
            message.group,
            until,
            message.body,
            message.again,
            message.orphan,
            policy=self._policy,
        )
        try:
            self._journal.record_taken(owed)
        except (JournalFull, OSError) as exc:
            self._log.warning("not taken on", reason=repr(exc))
            message.answer(Verdict.REFUSED)
            return []
        message.number = number
        self._log.debug(
            "taken",
            id=message.id,
            number=number,
            group=message.group,
            cls=message.cls,
            left_ms=round(left, 1),
        )
        self._held[number] = Held(owed, self._set.classes[cls], message.deadline)
        self._numbers[message.id] = number
        if not self._taken_on(message):
            self._gone(message)
            return []
        again, orphan = message.again, message.orphan
        return [i.Taken(number, message.group, cls, message.deadline, again=again, orphan=orphan)]

    def _gone(self, message: Message) -> list[i.Event]:
        number, message.number = message.number, 0
        held = self._held.get(number)
        if held is None:
            return []
        if held.speakers > 1:
            held.speakers -= 1
            return []
        if not self._journal.withdraw(number):
            return []  # a call is out, and how much of the answer was heard is not known: it is owed its end
        self._log.debug("withdrawn", number=number)
        del self._held[number]
        self._over(held.owed, delivered=False)
        return [i.Withdrawn(number)]

    def _attempt_end(self, end: AttemptEnd) -> list[i.Event]:
        run, call = end.attempt, end.call
        self._log.debug(
            "attempt over",
            number=run.number,
            attempt=run.nth,
            endpoint=call.endpoint.name,
            result=end.result.name,
            took_ms=round(end.at - call.sent_at, 1),
        )
        if self._shares is not None:
            end = replace(end, load=self._shares.load(call.endpoint, end.load))
            if end.result.is_failure:
                self._shares.failed(call.endpoint)
            elif end.result is Result.DELIVERED:
                self._shares.served(call.endpoint)
        if call in self._calls:
            self._calls[call] -= 1
            if not self._calls[call]:
                del self._calls[call]
                self._log.debug(
                    "call over",
                    endpoint=call.endpoint.name,
                    group=call.endpoint.group,
                    result=end.result.name,
                    took_ms=round(end.at - call.sent_at, 1),
                    left=end.load.left_share,
                    limit=end.load.limit_per_s,
                )
        if end.result.never_ran:
            self._journal.record_not_run(run.number, run.nth)
        held = self._held.get(run.number)
        over = held is None
        if held is not None and end.result is Result.DELIVERED and self._too_late(held, end):
            # Guards the message's end: an answer that came after its time is none, and of one that came just
            # before it the platform may be told too much, which does no harm.
            over, held = True, None
            self._end(run.number, deferred=False)
        if held is not None and (end.result is Result.DELIVERED or end.over):
            over = True
            if end.result is Result.DELIVERED:
                self._figures.count(Figure.SERVED, held.owed.cls)
            del self._held[run.number]
            self._forget(run.number, delivered=end.result is Result.DELIVERED)
        return [translate.ended(end, over)]

    def _too_late(self, held: Held, end: AttemptEnd) -> bool:
        return end.at >= held.deadline - self._limits.deadline_margin_ms

    def _listed(self, news: ListNews) -> i.Listed:
        # Guards the destinations: whoever has a name or an address now has it alone.
        replaced = self._endpoints.replaced(news)
        listed = self._endpoints.listed(news, replaced)
        named = {entry.route for entry in listed.entries}
        for member in news.members:
            self._enters(self._endpoints.endpoint(member), member.state, news)
        if self._shares is not None:
            self._shares.listed([self._endpoints.endpoint(member) for member in news.members])
        lacking = news.scope in (Scope.WHOLE, Scope.CACHED)
        for number, endpoint in list(self._endpoints.by_number.items()):
            if endpoint in replaced or (lacking and number not in named):
                self._enters(endpoint, EndpointState.GONE, news)
            if endpoint.state is EndpointState.GONE:
                # Guards memory on a long day: calls that are out know the endpoint themselves.
                self._endpoints.forget(endpoint)
                self._executor.close_idle(endpoint)
        here = {endpoint.group for endpoint in self._endpoints.by_number.values()}
        self._destinations.note(here, listed=news.scope in (Scope.CHANGES, Scope.WHOLE))
        return listed

    def _enters(self, endpoint: Endpoint, state: EndpointState, news: ListNews) -> None:
        """Put an endpoint's state in force; changes are logged, the first state of a new one is not."""
        before = endpoint.state
        self._clearance.leaving(endpoint, state, news.notified_at)
        if state is not before:
            self._log.info(
                "endpoint",
                endpoint=endpoint.name,
                group=endpoint.group,
                before=before.value,
                state=state.value,
                version=news.version,
                notified_ms_ago=round(self._clock.now() - news.notified_at, 1),
            )

    def _forget(self, number: int, *, delivered: bool) -> None:
        owed = self._journal.pending.get(number)
        if owed is None:
            return
        self._log.debug("over", number=number, delivered=delivered)
        self._journal.record_completed(number)
        self._over(owed, delivered)

    def _over(self, owed: PendingMessage, delivered: bool) -> None:
        self.start.ended(owed.number)
        self._numbers.pop(owed.id, None)
        self._recent[owed.id] = delivered
        if len(self._recent) > self._limits.recent_results:
            self._recent.popitem(last=False)

    def _end(self, number: int, *, deferred: bool, again_ms: float = 0.0) -> None:
        """Tell the final answer at once; it is on record as over when the platform has taken it."""
        owed = self._journal.pending.get(number)
        self._held.pop(number, None)
        if owed is not None and owed.ending is None:
            self.start.ended(number)
            self._figures.count(Figure.REFUSED if deferred else Figure.FAILED, owed.cls)
            self._log.debug("ending", number=number, deferred=deferred, again_ms=again_ms)
            self._journal.record_ending(number, deferred, again_ms)
            self._notices.tell(Notice(number, owed.id, deferred, again_ms))

    def _decide(self, now: float, events: list[i.Event]) -> None:
        sends: list[i.Send] = []
        for action in self._module.handle(now, events):
            match action:
                case i.Send():
                    sends.append(action)
                case i.Refuse(message, come_back_ms):
                    self._end(message, deferred=True, again_ms=come_back_ms)
                case i.Fail(message):
                    self._end(message, deferred=False)
                case i.Cancel(message, attempt):
                    self._cancel(message, attempt)
                case i.Wake(after_ms, token):
                    heappush(self._timers, (now + after_ms, token))
                case i.Watch(active):
                    self._directory.watch(active)
                case i.Fetch():
                    self._directory.fetch()
                case i.Probe(route):
                    if route in self._endpoints.by_number:
                        endpoint = self._endpoints.by_number[route]
                        self._executor.start(Call(endpoint, (), now, policy=self._policy))
                case i.CloseIdle(route):
                    if route in self._endpoints.by_number:
                        self._executor.close_idle(self._endpoints.by_number[route])
                case i.Log(text):
                    self._log.info("module", text=text)
                case i.Tell():
                    self._log.warning("no peer to tell")
        self._send(now, sends)

    def _send(self, now: float, sends: list[i.Send]) -> None:
        """Group one reply's sends: those to one endpoint share a call, as far as its kind allows."""
        groups: list[tuple[int, list[Attempt]]] = []
        last: dict[int, list[Attempt]] = {}
        for send in sends:
            run = self._attempt(now, send)
            if run is None:
                continue
            endpoint = self._endpoints.by_number[send.route]
            if len(last.get(send.route, ())) in (0, endpoint.per_call):
                last[send.route] = []
                groups.append((send.route, last[send.route]))
            last[send.route].append(run)
        for route, members in groups:
            endpoint = self._endpoints.by_number[route]
            call = Call(endpoint, tuple(members), now, policy=self._policy)
            if not self._may_start(now, call):
                continue  # left to the next process, which finds it owed and not begun
            if len(self._calls) >= self._set.slots:
                for run in call.attempts:
                    self._inbox.put(AttemptEnd(call, run, Result.NOT_SENT, now))
                continue
            self._calls[call] = len(call.attempts)
            self._log.debug(
                "call",
                endpoint=endpoint.name,
                group=endpoint.group,
                attempts=len(call.attempts),
                policy=self._policy,
            )
            self._executor.start(call)

    def _attempt(self, now: float, send: i.Send) -> Attempt | None:
        held, endpoint = self._held.get(send.message), self._endpoints.by_number.get(send.route)
        if held is None or endpoint is None:
            return None
        attempt = self._module.held[send.message].attempts - 1
        # An answer within the margin would be too late: not waited for, so that the end is told in time.
        left = held.deadline - self._limits.deadline_margin_ms - now
        wait = min(send.timeout_ms, left) if send.timeout_ms > 0 else left
        safe = held.spec.effect is i.Effect.SAFE
        owed = held.owed
        run = Attempt(send.message, attempt, owed.id, owed.body, now + wait, safe, cls=owed.cls)
        if endpoint.group != held.owed.group:
            # Guards the run: a call to an endpoint of another destination voids it.
            self._log.error("send to another destination", endpoint=endpoint.name, group=held.owed.group)
            self._inbox.put(AttemptEnd(Call(endpoint, (run,), now), run, Result.NOT_SENT, now))
            return None
        return run

    def _may_start(self, now: float, call: Call) -> bool:
        """While stopping, start nothing that can't end in time."""
        if self._stop_at == float("inf"):
            return True
        left = self._stop_at + self._limits.stop_ms - now
        safe = all(run.may_repeat for run in call.attempts)
        if left < (self._limits.stop_safe_ms if safe else self._limits.stop_unsafe_ms):
            return False
        for run in call.attempts:
            run.until = min(run.until, now + left) if run.may_repeat else run.until
        return True

    def _cancel(self, message: int, attempt: int) -> None:
        for call in self._calls:
            for run in call.attempts:
                if run.number == message and run.nth == attempt:
                    if len(call.attempts) == 1:  # others in the call go on
                        self._executor.cancel(call)
                    return
