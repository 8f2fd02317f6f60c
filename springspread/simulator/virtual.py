"""A day in virtual time: the model round real senders (loop, module, journal, clearance) in one process.

One heap holds all moments, ties in the order in which they were put there; a clock given to the senders jumps
from one to the next. What sockets do to a message is modelled: a way there and back, a handshake for a new
connection, time-outs, a cancelled call's connection. Same day, same result, whatever the machine's pace.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from pathlib import Path
from typing import Any

from springspread import config
from springspread.core.clearance import Clearance
from springspread.core.journal import Journal
from springspread.core.loop import Sender
from springspread.core.types import (
    AttemptEnd,
    Call,
    CoreEvent,
    Endpoint,
    EndpointState,
    ListUpdate,
    Load,
    Member,
    Message,
    Notice,
    NoticesDelivered,
    ProbeEnd,
    Result,
    Scope,
    Verdict,
)
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.allocator_server import SLACK_MS, TICK_MS
from springspread.fleet.client import LEASE_WAIT_MS, key_of
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import Limit, LimitMode, Owner
from springspread.fleet.messages import (
    PROTOCOL_VERSION,
    KeyStatuses,
    LeaseGrants,
    LeaseRequest,
    LimitMessage,
    Register,
    UseReport,
    Welcome,
)
from springspread.fleet.sender_session import POLL_MS, SenderSession
from springspread.simulator.checker import SPAN_MS, Checker
from springspread.simulator.day import CLASSES, KINDS, ZONES, Arrival, Change, Day, SenderOutage, Service
from springspread.simulator.partner import Answer, End, Partner, Trouble

RESULTS = {
    End.DONE: Result.DELIVERED,
    End.FAILED: Result.ERROR,
    End.FULL: Result.REJECTED,
    End.REFUSED: Result.NOT_CONNECTED,
    End.RESET: Result.BROKEN,
    End.MALFORMED: Result.MALFORMED,
}
MEDIUM_MS = 0.5  # between an instance and the allocator, one way
KEPT_MS = 3_500.0  # a connection idle for longer is opened anew
EPOCH_MS = 1.8e12  # what the day's zero is on the wall


@dataclass(slots=True)
class VirtualClock:
    """The town's time."""

    at: float = 0.0

    def now(self) -> float:
        """Milliseconds since the day began."""
        return self.at

    def wall(self) -> float:
        """Unix time: a fixed moment on, so that every run is alike."""
        return EPOCH_MS + self.at

    def sleep(self, ms: float) -> None:
        """Nobody sleeps in virtual time: the town calls each when its moment has come."""
        raise AssertionError(f"a sender slept for {ms} ms in virtual time")


class Lines:
    """What the senders logged, counted by event."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def debug(self, event: str, **values: object) -> None:
        """Nobody follows a message here: the checker does."""

    def info(self, event: str, **values: object) -> None:
        """Count it."""
        self.counts[event] += 1

    warning = error = info


@dataclass(frozen=True, slots=True)
class Knobs:
    """Faults put in on purpose, so that the checker can be seen to convict."""

    ignore_drains: bool = False
    ignore_waits: bool = False
    drop_notices: bool = False
    repeat_unsafe: bool = False


class Instance:
    """One sender in the town, and the drivers that stand in for its sockets."""

    def __init__(self, town: VirtualSimulation, index: int, folder: Path, seed: int, epoch: int) -> None:
        self.town, self.index, self.name = town, index, f"n{index}"
        self.dead = self._polling = False
        self.owner = (self.name, epoch)
        self.lease_cache = LeaseCache() if town.day.shared else None
        self.session = SenderSession(self.name, epoch, "", self.lease_cache) if self.lease_cache else None
        raw: dict[str, Any] = {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "state": str(folder),
            "seed": f"{seed:x}",
            "limits": {"sockets": 1024, "memory_mb": 192, "disk_mb": 8},
            "settings": town.day.settings(index),
        }
        self.config = config.read(raw, {})
        limits, settings = self.config.limits, self.config.settings
        self.journal = Journal(folder, limits.disk_bytes, settings.max_attempts, limits.body_bytes)
        grace = max(settings.rules.drain_grace_ms - limits.drain_margin_ms, 0.0)
        self.clearance = Clearance(self.journal, grace, town.clock)
        shares = self if town.day.shared else None
        self.sender = Sender(self.config, self.journal, self.clearance, town.log, town.clock, shares)
        if self.session is not None:
            town.control.register(town.clock.now(), Register(PROTOCOL_VERSION, "", self.name, epoch))
        self.sender.attach(self, self, self)
        self._out: dict[Call, None] = {}
        self._idle: dict[int, list[float]] = {}
        self._watching = False
        self._step_at = inf
        self._stepped = -inf
        self.sender.restore(ListUpdate(Scope.CACHED))
        self.wake()

    # The loop: what came in is handled at the next tick, timers when they are due.

    def put(self, event: CoreEvent) -> None:
        """Hand an event to the sender; a dead one hears nothing."""
        if self.dead:
            return
        self.sender.put(event)
        self.wake(now=True)

    def wake(self, now: bool = False) -> None:
        """Have the sender step when something is due."""
        at = self.town.clock.now() if now else self.sender.due
        at = max(at, self._stepped + self.config.settings.tick_ms)
        if at < self._step_at:
            self._step_at = at
            self.town.at(at, self._step, at)

    def _step(self, planned: float) -> None:
        if self.dead or planned != self._step_at:
            return  # an earlier step came in between
        self._step_at, self._stepped = inf, planned
        self.sender.step(self.sender.take_inbox())
        self.wake()

    def die(self) -> None:
        """The process is killed: its connections break, and what had arrived at partners runs on."""
        now = self.town.clock.now()
        for call in self._out:
            self.town.checker.done(now, self.name, "", _ids(call), "maybe", False)
        self._out.clear()
        self.dead = True
        self.journal.close()

    # The fleet

    def received(self, messages: list[LimitMessage]) -> None:
        """The allocator says something."""
        if self.dead or self.session is None:
            return
        for message in messages:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(self.town.clock.now(), message)

    def _poll(self) -> None:
        """Say what is due to the allocator, as long as anything waits or is held."""
        self._polling = False
        if self.dead or self.session is None or self.lease_cache is None:
            return
        now = self.town.clock.now()
        due = self.session.due(now)
        if due:
            self.town.at(now + MEDIUM_MS, self.town.received, self.owner, due)
        if self.session.wait_ms(now) <= POLL_MS:
            self._polling = True
            self.town.at(now + POLL_MS, self._poll)

    def _lacks(self, call: Call) -> bool:
        """Whether a call has to wait for a lease, or to end without one."""
        now = self.town.clock.now()
        waiting = now > call.sent_at
        if self.lease_cache is None or self.lease_cache.take(key_of(call.endpoint), now, waiting) == 0.0:
            return False
        if not self._polling:
            self._polling = True
            self.town.at(now, self._poll)
        if now < call.sent_at + LEASE_WAIT_MS:
            self.town.at(now + POLL_MS, self._goes_on, call)
        else:
            for run in call.attempts:
                self.put(AttemptEnd(call, run, Result.NOT_SENT, now))
        return True

    def _goes_on(self, call: Call) -> None:
        if self.dead:
            return
        if call.cancelled.is_set():
            for run in call.attempts:
                self.put(AttemptEnd(call, run, Result.CANCELLED, self.town.clock.now()))
            return
        self.start(call)

    def wait_for_policy(self, policy: int) -> bool:
        """No policy changes in virtual time."""
        return True

    def may_begin(self, policy: int) -> bool:
        """No policy changes in virtual time."""
        return True

    def grow(self, slots: int) -> None:
        """There are as many workers as calls."""

    def acquire(self, endpoint: Endpoint) -> float:
        """Asked by nobody: ``start`` waits in virtual time instead."""
        raise AssertionError(f"{endpoint.name}: a wait in virtual time")

    def load(self, endpoint: Endpoint, load: Load) -> Load:
        """What the decision module is told of a limit: this instance's part of it."""
        rate = self.session.rate(key_of(endpoint)) if self.session is not None else None
        return load if rate is None else Load(load.left_share, rate)

    def listed(self, endpoints: Sequence[Endpoint]) -> None:
        """Asked with the first call, as nobody is cut off from the allocator here."""

    def failed(self, endpoint: Endpoint) -> None:
        """A call failed; the allocator hears of it with the next report."""
        if self.lease_cache is not None:
            self.lease_cache.failed(key_of(endpoint))

    def served(self, endpoint: Endpoint) -> None:
        """A call succeeded; where earlier ones failed, the allocator hears of it with the next report."""
        if self.lease_cache is not None:
            self.lease_cache.served(key_of(endpoint))

    # Executor

    def start(self, call: Call) -> None:
        """Begin a call, or a probe where it has no attempts."""
        town, now = self.town, self.town.clock.now()
        if not call.attempts:
            self._probe(call)
            return
        if self._lacks(call):
            return
        refused = self.clearance.check(call)
        if refused is not None and not self._overrides(refused[0]):
            for run in call.attempts:
                self.put(AttemptEnd(call, run, refused[0], now, refused[1]))
            return
        self._out[call] = None
        endpoint = call.endpoint.name
        town.checker.call(now, self.name, endpoint, call.endpoint.group, town.key(endpoint), _ids(call))
        way = town.way(self.index, endpoint)
        town.at(now + way + self._handshake(call.endpoint, way), self._arrives, call)
        town.at(call.until, self._late, call)

    def _overrides(self, result: Result) -> bool:
        knobs = self.town.knobs
        return (
            knobs.ignore_waits
            and result is Result.REJECTED
            or (knobs.ignore_drains and result is Result.NOT_SENT)
        )

    def _handshake(self, endpoint: Endpoint, way: float) -> float:
        now, idle = self.town.clock.now(), self._idle.get(endpoint.number, [])
        fresh = [at for at in idle if now - at < KEPT_MS]
        if fresh:
            self._idle[endpoint.number] = fresh[:-1]
            return 0.0
        self._idle.pop(endpoint.number, None)
        self.town.checker.tally.handshakes += 1
        return 2 * way

    def _arrives(self, call: Call) -> None:
        if call not in self._out:
            return  # its connection ended on the way
        now, endpoint = self.town.clock.now(), call.endpoint.name
        holder = self.town.holder(call.endpoint.port)
        if holder != endpoint:
            text = f"a call for {endpoint} came to {holder}, which has its address now"
            self.town.checker.misdirected(now, self.name, text)
        answer = self.town.arrive(holder, len(call.attempts), self.name)
        if answer.end is not End.DONE:
            self.town.checker.failed(now, self.name, holder)
        if answer.ran:
            self.town.checker.done(now, self.name, self.town.key(endpoint), _ids(call), "maybe", True)
        if answer.at < inf:
            self.town.at(answer.at + self.town.way(self.index, endpoint), self._hears, call, answer)

    def _hears(self, call: Call, answer: Answer) -> None:
        if call not in self._out:
            return  # it had stopped waiting
        del self._out[call]
        now, result = self.town.clock.now(), RESULTS[answer.end]
        key = self.town.key(call.endpoint.name)
        if answer.wait_ms:
            self.town.checker.wait(now, self.name, key, answer.wait_ms)
            if not self.town.knobs.ignore_waits:
                self.clearance.set_retry_after(call.endpoint, answer.wait_ms)
        ids = _ids(call)
        self.town.checker.tally.rejected += answer.end is End.FULL
        if answer.end is End.DONE:
            self.town.checker.done(now, self.name, key, ids, "delivered", False)
        elif answer.end in (End.FAILED, End.RESET, End.MALFORMED) and not answer.ran:
            self.town.checker.done(now, self.name, key, ids, "maybe", False)
        if answer.end not in (End.REFUSED, End.RESET, End.MALFORMED):
            self._idle.setdefault(call.endpoint.number, []).append(now)
        for run in call.attempts:
            load = Load(answer.left_share, answer.limit_per_s)
            self.put(AttemptEnd(call, run, result, now, answer.wait_ms, load))

    def _late(self, call: Call) -> None:
        self._give_up(call, Result.TIMED_OUT)

    def _give_up(self, call: Call, result: Result) -> None:
        if call not in self._out:
            return
        del self._out[call]
        now = self.town.clock.now()
        self.town.checker.done(now, self.name, "", _ids(call), "maybe", False)
        for run in call.attempts:
            self.put(AttemptEnd(call, run, result, now))

    def cancel(self, call: Call) -> None:
        """Close the call's connection: what had arrived runs on."""
        call.cancelled.set()
        self._give_up(call, Result.CANCELLED)

    def _probe(self, call: Call) -> None:
        way = self.town.way(self.index, call.endpoint.name)
        end = ProbeEnd(call.endpoint, Result.DELIVERED, 2 * way)
        self.town.at(self.town.clock.now() + 2 * way, self.put, end)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the kept connections to an endpoint."""
        self._idle.pop(endpoint.number, None)

    # Discovery

    def watch(self, active: bool) -> None:
        """Begin or end the watch."""
        if active and not self._watching:
            self._watching = True
            self.fetch()
        self._watching = active

    def fetch(self) -> None:
        """Ask for the whole list."""
        town, now = self.town, self.town.clock.now()
        if town.day.unavailable_until(Service.DIRECTORY, now) > now:
            town.at(now + town.day.network_ms[0], self.put, ListUpdate(Scope.FAILED))
            return
        town.at(now + 2 * town.day.network_ms[0], self.told, Scope.WHOLE, list(town.states))

    def told(self, scope: Scope, names: list[str]) -> None:
        """Discovery's answer comes in."""
        town, now = self.town, self.town.clock.now()
        if self.dead or (scope is Scope.CHANGES and not self._watching):
            return
        back_at = town.day.unavailable_until(Service.DIRECTORY, now)
        if back_at > now:
            # The watch broke off; the next one, as soon as it is answered, tells all that was missed.
            town.at(back_at + town.day.network_ms[0], self.told, scope, names)
            return
        if scope is Scope.WHOLE:
            names = [name for name in names if town.states[name] is not EndpointState.GONE]
        for name in names:
            town.checker.listed(now, self.name, name, town.states[name] is EndpointState.READY)
        members = tuple(town.member(name) for name in names)
        if town.knobs.ignore_drains:
            members = tuple(member for member in members if member.state is EndpointState.READY)
        self.put(ListUpdate(scope, town.version, members, now))

    # Platform

    def deliver(self, notice: Notice) -> None:
        """Tell the platform a message's end."""
        town = self.town
        if not town.knobs.drop_notices:
            sent_at = town.day.unavailable_until(
                Service.PLATFORM, town.clock.now()
            )  # it is told until it is taken
            town.at(sent_at + town.day.network_ms[0], self._noticed, notice, sent_at > town.clock.now())

    def _noticed(self, notice: Notice, waited: bool) -> None:
        if self.dead and waited:
            return  # its next process tells it
        town, now = self.town, self.town.clock.now()
        town.checker.notice(now, notice.id, "deferred" if notice.deferred else "undeliverable")
        town.at(now + town.day.network_ms[0], self.put, NoticesDelivered((notice.number,)))
        if notice.deferred:
            town.again(notice.id, notice.again_ms)


@dataclass(slots=True)
class Errand:
    """A client's message: what it hands in, and how often it still would."""

    arrival: Arrival
    tries: int
    first_at: float
    counted: bool = False  # among the day's messages


@dataclass(slots=True)
class Outcome:
    """What a day came to."""

    checker: Checker
    calls: int
    logged: dict[str, int] = field(default_factory=dict)
    fleet_messages: int = 0  # between instances and the allocator


class VirtualSimulation:
    """The heap of moments, the partners, the clients, and the senders among them."""

    def __init__(self, day: Day, folder: Path, knobs: Knobs | None = None) -> None:
        self.day, self.knobs = day, knobs or Knobs()
        self.clock, self.log = VirtualClock(), Lines()
        self._moments: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self.partners = {
            spec.group: Partner(spec.group, spec.profile, [*spec.names, *spec.later], f"{day.seed}")
            for spec in day.partners
        }
        self._kinds = {spec.group: KINDS.index(spec.kind) for spec in day.partners}
        self._group = {name: spec.group for spec in day.partners for name in (*spec.names, *spec.later)}
        self._ports = {name: 1000 + n for n, name in enumerate(self._group)}
        self._holders = {port: name for name, port in self._ports.items()}
        listed = {name for spec in day.partners for name in spec.names}
        self.states = {
            name: EndpointState.READY if name in listed else EndpointState.GONE for name in self._group
        }
        self.version = 1
        limits = {
            self.key(name): self.partners[group].profile.limit_per_s or inf
            for name, group in self._group.items()
        }
        self.checker = Checker(CLASSES, 500.0, 8, limits)
        allocator = Allocator(slack_ms=SLACK_MS)
        self.control = AllocatorControl("", LimitMode.EXACT, {}, allocator, 0.0)
        self.fleet_messages = 0
        self._allocating = False
        for name, group in self._group.items():
            profile = self.partners[group].profile
            if profile.limit_per_s:
                key = f"r{group}/{name}" if profile.separate_routes else f"g{group}"
                self.control.set_limit(0.0, key, Limit.of_rate(profile.limit_per_s, SPAN_MS))
        for outage in day.outages:
            if outage.service is Service.PLATFORM:
                self.checker.platform_away(outage.begin, outage.end)
        self._errands: dict[str, Errand] = {}
        self._asked: dict[str, dict[str, Message]] = {}  # by sender, what has no verdict yet
        self._handed = 0
        self._folder = folder
        self._starts = 0
        self.instances = [self._start(n) for n in range(day.senders)]

    def _start(self, index: int) -> Instance:
        place = self._folder / f"n{index}"
        place.mkdir(parents=True, exist_ok=True)
        self._starts += 1
        return Instance(self, index, place, self.day.seed * 1000 + self._starts - 1, self._starts)

    def _dies(self, death: SenderOutage) -> None:
        old = self.instances[death.sender]
        unheard = [message for message in self._asked.pop(old.name, {}).values() if message.verdict is None]
        old.die()
        self.checker.sender_away(old.name, death.at, death.back_at)
        self.at(death.back_at, self._returns, death.sender)
        for message in unheard:
            # Nobody knows whether it was taken on: it is handed in again under another id, and marked.
            self.checker.verdict(self.clock.now(), message.id, False)
            self.at(self.clock.now() + self.day.retry_ms, self._hand_in, self._errands[message.id], True)

    def _returns(self, sender: int) -> None:
        self.instances[sender] = self._start(sender)

    def at(self, when: float, work: Callable[..., None], *values: Any) -> None:
        """Have something done at a time."""
        self._count += 1
        heappush(self._moments, (when, self._count, work, values))

    def received(self, owner: Owner, messages: list[LimitMessage]) -> None:
        """An instance's messages come to the allocator."""
        now = self.clock.now()
        self.fleet_messages += len(messages)
        for message in messages:
            assert isinstance(message, LeaseRequest | UseReport)
            self.control.received(now, owner, message)
        if not self._allocating:
            self._allocating = True
            self.at(now, self._allocate)

    def _allocate(self) -> None:
        now = self.clock.now()
        self.control.grant(now, self.control.tick(now))
        for owner, messages in self.control.take_messages().items():
            self.fleet_messages += len(messages)
            instance = self.instances[int(owner[0][1:])]
            if instance.owner == owner:
                self.at(now + MEDIUM_MS, instance.received, messages)
        self._allocating = self.control.busy
        if self._allocating:
            self.at(now + TICK_MS, self._allocate)

    def key(self, endpoint: str) -> str:
        """What a limit and a told wait bind."""
        group = self._group[endpoint]
        return endpoint if self.partners[group].profile.separate_routes else f"g{group}"

    def way(self, sender: int, endpoint: str) -> float:
        """One way between a sender's building (they take turns) and an endpoint's."""
        near, far = self.day.network_ms
        return near if self.day.zones.get(endpoint) == ZONES[sender % 2] else far

    def arrive(self, name: str, messages: int, sender: str) -> Answer:
        """A call's last byte has come to an endpoint."""
        endpoint = self.partners[self._group[name]].endpoints[name]
        was_overloaded = endpoint.overloaded
        answer = endpoint.arrive(self.clock.now(), messages, sender)
        if endpoint.overloaded and not was_overloaded:
            self.checker.cold_overload(self.clock.now(), name, endpoint.cold_callers)
        return answer

    def member(self, name: str) -> Member:
        """An endpoint's line in the list."""
        group = self._group[name]
        zone = ZONES.index(self.day.zones.get(name, ZONES[0]))
        rating = self.partners[group].rating
        kind, state = self._kinds[group], self.states[name]
        return Member(name, "127.0.0.1", self._ports[name], group, zone, kind, state, rating, 0.0)

    def holder(self, port: int) -> str:
        """Who has an address now."""
        return self._holders[port]

    def _change(self, change: Change) -> None:
        if change.takes_over:
            port = self._ports[change.takes_over]
            self._ports[change.endpoint], self._holders[port] = port, change.endpoint
        endpoint = self.partners[self._group[change.endpoint]].endpoints[change.endpoint]
        if change.condition is not None:
            endpoint.set_condition(self.clock.now(), change.condition)
            if change.condition.trouble is not Trouble.NONE:
                self.checker.trouble_began(change.endpoint)
        if change.limit is not None:
            self.partners[self._group[change.endpoint]].scale_limit(change.limit)
        if change.state:
            self.states[change.endpoint] = EndpointState(change.state)
            self.version += 1
            for instance in self.instances:
                when = self.clock.now() + self.day.list_lag_ms
                self.at(when, self._tell, instance.index, change.endpoint)

    def _tell(self, index: int, endpoint: str) -> None:
        self.instances[index].told(Scope.CHANGES, [endpoint])

    # Clients

    def _hand_in(self, errand: Errand, orphan: bool = False) -> None:
        """A client hands its message in, to its sender or the next one that takes connections."""
        arrival, now = errand.arrival, self.clock.now()
        cls = next(spec for spec in CLASSES if spec.name == arrival.cls)
        left = errand.first_at + cls.deadline_ms - now
        if left <= 0:
            return
        turn = [self._instance(arrival.sender + n) for n in range(len(self.instances))]
        alive = [instance for instance in turn if not instance.dead]
        if not alive:
            self.at(now + self.day.retry_ms, self._hand_in, errand, orphan)
            return
        self._handed += 1
        id, instance, again = f"m{self._handed}", alive[0], errand.tries < self.day.retries
        self._errands[id] = errand
        self.checker.handed_in(
            now, instance.name, id, cls.name, arrival.group, left, errand.first_at, errand.counted
        )
        errand.counted = True
        until, body = now + left, arrival.body
        message = Message(id, cls.name, arrival.group, until, body, again, orphan, on_verdict=self._heard)
        self._asked.setdefault(instance.name, {})[id] = message
        instance.put(message)

    def _instance(self, number: int) -> Instance:
        return self.instances[number % len(self.instances)]

    def _heard(self, message: Message) -> None:
        taken = message.verdict in (Verdict.ACCEPTED, Verdict.DELIVERED)
        self.checker.verdict(self.clock.now(), message.id, taken)
        for asked in self._asked.values():
            asked.pop(message.id, None)
        if not taken:
            self.again(message.id, 0.0)

    def again(self, id: str, after_ms: float) -> None:
        """A refused client comes again, if it has a try left."""
        errand = self._errands[id]
        if errand.tries:
            errand.tries -= 1
            self.at(self.clock.now() + max(after_ms, self.day.retry_ms), self._hand_in, errand)

    def play(self) -> Outcome:
        """Play the day to its end: the last message's time, and the slack of the rules."""
        for arrival in self.day.arrivals:
            self.at(arrival.at, self._hand_in, Errand(arrival, self.day.retries, arrival.at))
        for change in self.day.changes:
            self.at(change.at, self._change, change)
        for death in self.day.deaths:
            self.at(death.at, self._dies, death)
        end = self.day.length_ms + max(spec.deadline_ms for spec in CLASSES) + 1000.0
        while self._moments and self._moments[0][0] <= end:
            when, _, work, values = heappop(self._moments)
            self.clock.at = max(self.clock.at, when)
            work(*values)
        self.checker.close(end)
        for instance in self.instances:
            if not instance.dead:
                instance.journal.close()
        logged = dict(sorted(self.log.counts.items()))
        return Outcome(self.checker, self.checker.tally.calls, logged, self.fleet_messages)


def _ids(call: Call) -> list[str]:
    return [run.id for run in call.attempts]
