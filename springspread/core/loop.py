"""The sender's event loop: one thread that owns the decision module, messages, slots and timers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from contextlib import ExitStack
from dataclasses import replace
from heapq import heappop, heappush
from queue import Empty, SimpleQueue

from springspread import interface as i
from springspread.config import Config
from springspread.core import repeats, translate
from springspread.core.clearance import Clearance
from springspread.core.clock import SYSTEM, Clock
from springspread.core.closed_messages import ClosedMessage
from springspread.core.destinations import KnownDestinations
from springspread.core.figures import Figure, Figures
from springspread.core.journal import Journal, JournalFull
from springspread.core.journal_ownership import OWNERSHIP_CHECK_MS, OwnedJournals
from springspread.core.journal_records import PendingMessage
from springspread.core.message_table import MessageTable, OpenMessage
from springspread.core.start import Startup
from springspread.core.types import (
    Attempt,
    AttemptEnd,
    Call,
    ClientLeft,
    CoreEvent,
    Discovery,
    Endpoint,
    EndpointState,
    Executor,
    ListUpdate,
    Log,
    Message,
    NewPolicy,
    Notice,
    NoticesDelivered,
    NoticeSink,
    ProbeEnd,
    Result,
    Scope,
    Shares,
    Stop,
    Verdict,
)
from springspread.core.watch import NEVER_OUTDATED, OutdatedPeriod
from springspread.policy import Dispatcher


class Sender:
    """Passes events to the decision module, one batch per tick, and has its actions carried out."""

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
        """``policy``: the number of the fleet's policy that ``config`` contains."""
        self._clock, self._shares, self._policy = clock, shares, policy
        self._settings, self._limits = config.settings, config.limits
        self._journal, self._clearance, self._log = journal, clearance, log
        self._owned_journals = journal if isinstance(journal, OwnedJournals) else None
        self._figures = figures or Figures(())
        self._module = Dispatcher(config.settings, config.seed)
        self._classes = {spec.name: n for n, spec in enumerate(config.settings.classes)}
        self._endpoints = translate.EndpointTable(config.settings.kinds, clock)
        self._inbox: SimpleQueue[CoreEvent] = SimpleQueue()
        self._messages = MessageTable()
        self._calls: dict[Call, int] = {}
        self._destinations = KnownDestinations(config.limits.destination_retention_ms, clock)
        self._undecided: Counter[int] = Counter()  # accepted in this batch, by group
        self._unconfirmed: list[Message] = []  # accepted in this batch, answered after the sync
        self._timers: list[tuple[float, int]] = []
        self._stop_at = float("inf")
        self._last_step_at = 0.0
        self._listed_at, self._list_version = clock.now(), 0  # of the latest list update
        self.startup = Startup(config.waits, log, clock, journal.written_wall)

    def attach(self, executor: Executor, discovery: Discovery, notices: NoticeSink) -> None:
        """Set the drivers that carry out the decision module's actions."""
        self._executor, self._discovery, self._notices = executor, discovery, notices

    def put(self, event: CoreEvent) -> None:
        """Hand in an event, from any thread."""
        self._inbox.put(event)

    def put_list_update(self, update: ListUpdate) -> None:
        """Hand in a list update, from any thread.

        A drain that was read applies from here on, even while the loop is busy or blocked by the disk.
        """
        self._clearance.received(update)
        self._inbox.put(update)

    def restore(self, known: ListUpdate) -> None:
        """Recover the messages of the last process, before this one accepts clients."""
        now = self._clock.now()
        events: list[i.Event] = [self._listed(known)]
        if known.outdated_period is not NEVER_OUTDATED:
            events.append(self._list_outdated(known.outdated_period, now))
        waiting = self._recover(self._journal.pending.values())
        self.startup.begin(now, waiting)
        for name, ranges in self._journal.damaged.items():
            places = [f"{one.start}-{one.end}" for one in ranges[:20]]
            ids = [id for one in ranges for id in one.ids][:20]
            self._log.error("journal damaged; set aside", file=name, ranges=places, ids=ids)
        if self._journal.pending or self._journal.cut_bytes:
            self._log.info("restored", owed=len(self._journal.pending), cut_bytes=self._journal.cut_bytes)
        if not self._settings.must_ask:
            # A list that was pushed to the agent counts as notified even if it is not requested.
            self._discovery.watch(True)
        self._decide(now, events + self._advance_startup(now))

    def _list_outdated(self, period: OutdatedPeriod, now: float) -> i.Listed:
        """The list that this process was started with is outdated, now or soon: request an update at once."""
        self._log.warning("list outdated at the start", in_ms=round(period.begin - now, 1))
        update = ListUpdate(Scope.FAILED, ask_by=now, outdated_period=period)
        self._clearance.received(update)
        self._clearance.applied(update)
        return self._listed(update)

    def _recover(self, found: Iterable[PendingMessage]) -> list[tuple[PendingMessage, float]]:
        """Recover other processes' messages; returns those to resume, with their class's deadline (ms)."""
        waiting: list[tuple[PendingMessage, float]] = []
        # In the order of acceptance, which compaction does not keep.
        for pending in sorted(found, key=lambda one: one.number):
            self._messages.numbers[pending.id] = pending.number
            cls = self._classes.get(pending.cls)
            spec = self._settings.classes[cls] if cls is not None else None
            if pending.ending is not None:
                self._notices.deliver(Notice(pending.number, pending.id, *pending.ending))
            elif cls is None or spec is None or (pending.may_have_run and spec.effect is not i.Effect.SAFE):
                # An attempt without a recorded result may have run, and may not be repeated.
                self._end(pending.number, i.EndReason.MAY_HAVE_RUN, deferred=False)
            else:
                waiting.append((pending, spec.deadline_ms))
        return waiting

    def _take_over(self, now: float) -> list[i.Event]:
        """Take over the messages of another process on this folder, once it has died."""
        if self._owned_journals is None or not (found := self._owned_journals.check_ownership(now)):
            return []
        self._log.info("taken over", owed=len(found))
        return [
            self._reopen(now, pending, self.startup.time_left(pending, limit_ms))
            for pending, limit_ms in self._recover(found)
        ]

    def _reopen(self, now: float, pending: PendingMessage, left: float) -> i.Taken:
        cls, deadline = self._classes[pending.cls], now + left
        self._log.debug(
            "message resumed", number=pending.number, left_ms=round(left, 1), attempts=pending.attempts
        )
        self._messages.add(OpenMessage(pending, self._settings.classes[cls], deadline))
        return i.Taken(
            pending.number,
            pending.group,
            cls,
            deadline,
            key=translate.to_key(pending.ordering_key),
            again=pending.again,
            orphan=pending.orphan,
            attempts=pending.attempts,
        )

    @property
    def open(self) -> bool:
        """Whether new clients are served; safe from any thread."""
        return self.startup.open

    def levels(self) -> Mapping[str, int]:
        """Current values of the gauges; safe from any thread."""
        endpoints, routes = list(self._endpoints.by_number.values()), self._module.routes
        flagged = {number for number, route in list(routes.items()) if route.health.flagged}
        avoided = [
            endpoint
            for endpoint in endpoints
            if endpoint.number in flagged
            or endpoint.state is not EndpointState.READY
            or self._clearance.retry_after_left_ms(endpoint) > 0.0
        ]
        return {
            "in_flight": len(self._messages.open),
            "endpoints_known": len(endpoints),
            "endpoints_excluded": len(avoided),
            "list_version": self._list_version,
            "list_age_ms": int(self._clock.now() - self._listed_at),
        }

    def _advance_startup(self, now: float) -> list[i.Event]:
        """Leave the startup stages that have ended, and resume the messages that this releases."""
        if self.startup.open:
            return []
        if self.startup.should_fetch_list(now, self._destinations.listed):
            self._discovery.fetch()
        policy_in_force = self._shares is None or self._shares.may_begin(self._policy)
        released = self.startup.proceed(now, self._settings.slots, policy_in_force, self._destinations.listed)
        return [self._reopen(now, pending, left) for pending, left in released]

    def run(self) -> None:
        """Handle batches until a shutdown is complete."""
        while not self._is_stopped():
            first = self._next()
            pause = self._last_step_at + self._settings.tick_ms - self._clock.now()
            if pause > 0:
                self._clock.sleep(pause)
            self.step(([] if first is None else [first]) + self.take_inbox())

    def take_inbox(self) -> list[CoreEvent]:
        """Take all queued events, without waiting for more."""
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
        """Handle one batch and the timers that are due."""
        now = self._last_step_at = self._clock.now()
        events: list[i.Event] = []
        for event in batch:
            events += self._handle(event)
        events += self._confirm_accepted()
        while self._timers and self._timers[0][0] <= now:
            events.append(i.Woken(heappop(self._timers)[1]))
        events += self._advance_startup(now) + self._take_over(now)
        if events:
            self._decide(now, events)

    def _confirm_accepted(self) -> list[i.Event]:
        """Answer the clients of the batch, after one sync for all of it."""
        waiting, self._unconfirmed = self._unconfirmed, []
        verdict, events = Verdict.ACCEPTED, list[i.Event]()
        if waiting:
            try:
                self._journal.wait_synced()
            except OSError as exc:
                self._log.error("journal sync failed; refusing new messages", reason=str(exc))
                verdict = Verdict.REFUSED
        for message in waiting:
            if not message.answer(verdict) or verdict is Verdict.REFUSED:
                events += self._client_left(message)
        return events

    def _acknowledge(self, message: Message) -> bool:
        """Answer now, or after the batch's sync; false where the client has stopped waiting."""
        if self._journal.commit is None:
            return message.answer(Verdict.ACCEPTED)
        self._unconfirmed.append(message)
        return True

    def _next(self) -> CoreEvent | None:
        due = self.due
        if self._stop_at < float("inf") or not self.open:
            due = min(due, self._clock.now() + 20.0)  # checks for the end of a shutdown or of a startup stage
        if self._owned_journals is not None and self._owned_journals.has_other_journals:
            due = min(due, self._clock.now() + OWNERSHIP_CHECK_MS)
        try:
            if due == float("inf"):
                return self._inbox.get()
            return self._inbox.get(timeout=max(due - self._clock.now(), 0.0) / 1000.0)
        except Empty:
            return None

    def _is_stopped(self) -> bool:
        since = self._clock.now() - self._stop_at
        if since < self._limits.accept_after_stop_ms + 500.0:
            return False
        return since >= self._limits.stop_ms or not (
            self._messages.open or self._calls or self._messages.numbers
        )

    def _handle(self, event: CoreEvent) -> list[i.Event]:
        match event:
            case Message():
                return self._message_received(event)
            case AttemptEnd():
                return self._attempt_end(event)
            case ListUpdate():
                self.startup.note_date(event.date, event.notified_at)
                if event.scope is not Scope.FAILED:
                    self._listed_at, self._list_version = event.notified_at, event.version
                listed = self._listed(event)
                self._clearance.applied(event)
                return [listed]
            case ProbeEnd():
                return [translate.probed(event)]
            case ClientLeft(message):
                return self._client_left(message)
            case NoticesDelivered(numbers):
                for number in numbers:
                    self._complete(number, delivered=False)
                return [i.EndConfirmed(number) for number in numbers]
            case NewPolicy(number, config):
                return [self._new_policy(number, config)]
            case Stop():
                self._stop_at = min(self._stop_at, self._clock.now())
        return []

    def _new_policy(self, number: int, config: Config) -> i.Changed:
        """Use a new policy for the calls decided on and the messages accepted from now on."""
        new, names = config.settings, {spec.name for spec in config.settings.classes}
        # Open messages refer to classes by position, so removed classes keep theirs.
        specs = {spec.name: spec for spec in (*self._settings.classes, *new.classes)}
        self._settings = replace(new, classes=tuple(specs.values()))
        self._classes = {name: n for n, name in enumerate(specs) if name in names}
        self._policy = number
        self._figures.add_classes(names)
        self._executor.grow(new.slots)
        self._log.info("policy", version=number, slots=new.slots)
        return i.Changed(self._settings)

    def _message_received(self, message: Message) -> list[i.Event]:
        cls = self._classes.get(message.cls)
        if cls is None:
            message.answer(Verdict.UNKNOWN_CLASS)
        elif message.id in self._messages.numbers:
            # A retry by a client that got no answer; another client's message may not use the same id.
            number = self._messages.numbers[message.id]
            if not repeats.is_same(message, self._journal.pending[number]):
                message.answer(Verdict.CONFLICT)
                return []
            message.number = number
            self._log.debug("message handed in again", id=message.id, number=number)
            if number in self._messages.open:
                self._messages.open[number].waiting_clients += 1
            if not self._acknowledge(message):
                return self._client_left(message)
        elif not self._answer_closed(message, cls, self._journal.find_closed(message.id)):
            return self._consider(message, cls)
        return []

    def _answer_closed(self, message: Message, cls: int, closed: ClosedMessage | None) -> bool:
        """Answer a message by the result of an earlier one with its id; false if it has to be decided on."""
        if closed is None:
            return False
        may_repeat = self._settings.classes[cls].effect is i.Effect.SAFE
        verdict = repeats.verdict_if_closed(message, closed, may_repeat)
        if verdict is None:
            return False
        self._log.debug("closed message handed in again", id=message.id, outcome=closed.outcome.name)
        message.answer(verdict)
        return True

    def _consider(self, message: Message, cls: int) -> list[i.Event]:
        """Decide on a message that this process does not know, unless another one on the folder does."""
        if self._owned_journals is None:
            return self._decide_admission(message, cls)
        with ExitStack() as admission:
            try:
                admission.enter_context(self._owned_journals.admission())
                other = self._owned_journals.find_elsewhere(message.id)
            except OSError as exc:
                self._log.warning("other journals not read; refusing a message", reason=repr(exc))
                message.answer(Verdict.REFUSED)
                return []
            if isinstance(other, PendingMessage):
                message.retry_after_ms = repeats.RETRY_MS
                message.answer(repeats.verdict_if_pending_elsewhere(message, other))
                return []
            if self._answer_closed(message, cls, other):
                return []
            return self._decide_admission(message, cls)

    def _decide_admission(self, message: Message, cls: int) -> list[i.Event]:
        if not self._destinations.knows(message.group):
            # Messages to a destination that does not exist would stay open until their deadline. Before
            # discovery has answered, it may be a new one.
            message.answer(Verdict.UNKNOWN_GROUP if self._destinations.listed else Verdict.REFUSED)
        elif (no_room := self._module.refusal(self._clock.now(), message.group, self._undecided)) is not None:
            self._log.debug("too many open messages", id=message.id, group=message.group, cls=message.cls)
            message.retry_after_ms = no_room.come_back_ms
            message.answer(Verdict.REFUSED)
        else:
            return self._admit(message, cls)
        return []

    def _admit(self, message: Message, cls: int) -> list[i.Event]:
        number = self._journal.last_number + 1
        left = message.deadline - self._clock.now()
        until = self.startup.wall() + left
        pending = PendingMessage(
            number,
            message.id,
            message.cls,
            message.group,
            until,
            message.body,
            message.again,
            message.orphan,
            policy=self._policy,
            idempotency_key=message.idempotency_key,
            ordering_key=message.ordering_key,
        )
        try:
            self._journal.record_taken(pending)
        except (JournalFull, OSError) as exc:
            self._log.warning("message not recorded; refusing it", reason=repr(exc))
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
        self._messages.add(OpenMessage(pending, self._settings.classes[cls], message.deadline))
        if not self._acknowledge(message):
            self._client_left(message)
            return []
        self._undecided[message.group] += 1
        return [
            i.Taken(
                number,
                message.group,
                cls,
                message.deadline,
                key=translate.to_key(message.ordering_key),
                again=message.again,
                orphan=message.orphan,
            )
        ]

    def _client_left(self, message: Message) -> list[i.Event]:
        number, message.number = message.number, 0
        open_message = self._messages.open.get(number)
        if open_message is None:
            return []
        if open_message.waiting_clients > 1:
            open_message.waiting_clients -= 1
            return []
        if not self._journal.withdraw(number):
            return []  # a call is in flight, and the client may have read the answer: it needs its end
        self._log.debug("message withdrawn", number=number)
        del self._messages.open[number]
        self._close(open_message.pending)
        return [i.Withdrawn(number)]

    def _attempt_end(self, end: AttemptEnd) -> list[i.Event]:
        attempt, call = end.attempt, end.call
        self._log.debug(
            "attempt over",
            number=attempt.number,
            attempt=attempt.index,
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
            self._journal.record_not_run(attempt.number, attempt.index)
        open_message = self._messages.open.get(attempt.number)
        finished = open_message is None
        if open_message is not None and end.result is Result.DELIVERED and self._too_late(open_message, end):
            # A late answer does not count. Within the margin before the deadline the platform may get a
            # needless notice, which does no harm.
            finished, open_message = True, None
            self._end(attempt.number, i.EndReason.EXPIRED, deferred=False)
        if open_message is not None and (end.result is Result.DELIVERED or end.final):
            finished = True
            if end.result is Result.DELIVERED:
                self._figures.count(Figure.SERVED, open_message.pending.cls)
            del self._messages.open[attempt.number]
            self._complete(attempt.number, delivered=end.result is Result.DELIVERED)
        return [translate.ended(end, finished)]

    def _too_late(self, open_message: OpenMessage, end: AttemptEnd) -> bool:
        return end.at >= open_message.deadline - self._limits.deadline_margin_ms

    def _listed(self, update: ListUpdate) -> i.Listed:
        # Names and addresses are unique, so a new holder replaces the old one.
        replaced = self._endpoints.replaced_by(update)
        listed = self._endpoints.listed(update, replaced)
        named = {entry.route for entry in listed.entries}
        for member in update.members:
            self._set_endpoint_state(self._endpoints.endpoint(member), member.state, update)
        for endpoint in self._endpoints.without_address(update):
            self._clearance.set_address_lost(endpoint)
        if self._shares is not None:
            self._shares.listed([self._endpoints.endpoint(member) for member in update.members])
        complete = update.scope in (Scope.WHOLE, Scope.CACHED)
        for number, endpoint in list(self._endpoints.by_number.items()):
            if endpoint in replaced or (complete and number not in named):
                self._set_endpoint_state(endpoint, EndpointState.GONE, update)
            if endpoint.state is EndpointState.GONE:
                # Bounds memory; calls in flight keep a reference of their own.
                self._endpoints.forget(endpoint)
        groups = {endpoint.group for endpoint in self._endpoints.by_number.values()}
        self._destinations.note(groups, listed=update.scope in (Scope.CHANGES, Scope.WHOLE))
        return listed

    def _set_endpoint_state(self, endpoint: Endpoint, state: EndpointState, update: ListUpdate) -> None:
        """Set an endpoint's state; changes are logged, the first state of a new one is not."""
        before = endpoint.state
        self._clearance.set_state(endpoint, state, update.notified_at)
        if state is not before:
            self._log.info(
                "endpoint",
                endpoint=endpoint.name,
                group=endpoint.group,
                before=before.value,
                state=state.value,
                version=update.version,
                notified_ms_ago=round(self._clock.now() - update.notified_at, 1),
            )

    def _complete(self, number: int, *, delivered: bool) -> None:
        pending = self._journal.pending.get(number)
        if pending is None:
            return
        self._log.debug("message closed", number=number, delivered=delivered)
        self._journal.record_completed(number, delivered=delivered)
        self._close(pending)

    def _close(self, pending: PendingMessage) -> None:
        self.startup.message_ended(pending.number)
        self._messages.close(pending.id)

    def _end(self, number: int, reason: i.EndReason, *, deferred: bool, again_ms: float = 0.0) -> None:
        """Send the final status; the message is closed in the journal once the platform has accepted it."""
        pending = self._journal.pending.get(number)
        self._messages.open.pop(number, None)
        if pending is not None and pending.ending is None:
            self.startup.message_ended(number)
            self._figures.count(Figure.REFUSED if deferred else Figure.FAILED, pending.cls)
            self._log.debug(
                "message ended", number=number, reason=reason.value, deferred=deferred, again_ms=again_ms
            )
            self._journal.record_ending(number, deferred, again_ms)
            self._notices.deliver(Notice(number, pending.id, deferred, again_ms))

    def _decide(self, now: float, events: list[i.Event]) -> None:
        sends: list[i.Send] = []
        self._undecided.clear()
        for action in self._module.handle(now, events):
            match action:
                case i.Send():
                    sends.append(action)
                case i.Refuse(message, come_back_ms, reason):
                    self._end(message, reason, deferred=True, again_ms=come_back_ms)
                case i.Fail(message, reason):
                    self._end(message, reason, deferred=False)
                case i.Cancel(message, attempt):
                    self._cancel(message, attempt)
                case i.Wake(after_ms, token):
                    heappush(self._timers, (now + after_ms, token))
                case i.Watch(active):
                    self._discovery.watch(active)
                case i.Fetch():
                    self._discovery.fetch()
                case i.Probe(route):
                    if route in self._endpoints.by_number:
                        endpoint = self._endpoints.by_number[route]
                        self._executor.start(Call(endpoint, (), now, policy=self._policy))
                case i.CloseIdle():
                    pass  # there are none: each call has a connection of its own
                case i.Log(text):
                    self._log.info("module", text=text)
                case i.Tell():
                    self._log.warning("no peer to notify")
        self._send(now, sends)

    def _send(self, now: float, sends: list[i.Send]) -> None:
        """Start calls; sends to the same endpoint share one, as far as its kind allows."""
        batches: list[tuple[int, list[Attempt]]] = []
        last: dict[int, list[Attempt]] = {}
        for send in sends:
            attempt = self._attempt(now, send)
            if attempt is None:
                continue
            endpoint = self._endpoints.by_number[send.route]
            if len(last.get(send.route, ())) in (0, endpoint.per_call):
                last[send.route] = []
                batches.append((send.route, last[send.route]))
            last[send.route].append(attempt)
        for route, attempts in batches:
            endpoint = self._endpoints.by_number[route]
            call = Call(endpoint, tuple(attempts), now, policy=self._policy)
            if not self._may_start(now, call):
                continue  # left to the next process
            if len(self._calls) >= self._settings.slots:
                for attempt in call.attempts:
                    self._inbox.put(AttemptEnd(call, attempt, Result.NOT_SENT, now))
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
        message, endpoint = self._messages.open.get(send.message), self._endpoints.by_number.get(send.route)
        if message is None or endpoint is None:
            return None
        index = self._module.pending[send.message].attempts - 1
        # An answer within the margin would be too late to report.
        left = message.deadline - self._limits.deadline_margin_ms - now
        wait = min(send.timeout_ms, left) if send.timeout_ms > 0 else left
        safe = message.spec.effect is i.Effect.SAFE
        pending = message.pending
        attempt = Attempt(
            send.message,
            index,
            pending.id,
            pending.body,
            now + wait,
            safe,
            cls=pending.cls,
            idempotency_key=pending.idempotency_key,
        )
        if endpoint.group != message.pending.group:
            # Must never happen: the message would reach another partner.
            self._log.error(
                "send rejected: the endpoint belongs to another destination",
                endpoint=endpoint.name,
                group=message.pending.group,
            )
            self._inbox.put(AttemptEnd(Call(endpoint, (attempt,), now), attempt, Result.NOT_SENT, now))
            return None
        return attempt

    def _may_start(self, now: float, call: Call) -> bool:
        """Whether a call can end before the process stops."""
        if self._stop_at == float("inf"):
            return True
        left = self._stop_at + self._limits.stop_ms - now
        safe = all(attempt.may_repeat for attempt in call.attempts)
        if left < (self._limits.stop_safe_ms if safe else self._limits.stop_unsafe_ms):
            return False
        for attempt in call.attempts:
            attempt.until = min(attempt.until, now + left) if attempt.may_repeat else attempt.until
        return True

    def _cancel(self, number: int, index: int) -> None:
        for call in self._calls:
            for attempt in call.attempts:
                if attempt.number == number and attempt.index == index:
                    if len(call.attempts) == 1:  # else the call continues for the others
                        self._executor.cancel(call)
                    return
