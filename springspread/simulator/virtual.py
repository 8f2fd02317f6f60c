"""Simulates a day in virtual time around real senders (loop, module, journal, clearance) in one process.

A heap holds all scheduled callbacks, in insertion order at equal times; the senders' clock jumps from one to
the next. The network is modelled: latencies, handshakes of new connections, time-outs and cancelled calls.
A day's result is reproducible on any machine.
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
from springspread.fleet.allocator_server import TICK_MS
from springspread.fleet.client import LEASE_WAIT_MS, key_of
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import CALL_SLACK_MS, Limit, LimitMode, Owner
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
ALLOCATOR_LATENCY_MS = 0.5  # one way, between an instance and the allocator
HANDSHAKE_WAYS = 2  # one-way latencies until a call's new connection is up
EPOCH_MS = 1.8e12  # the wall-clock time of the day's begin


@dataclass(slots=True)
class VirtualClock:
    """The simulated time."""

    at: float = 0.0

    def now(self) -> float:
        """Milliseconds since the day began."""
        return self.at

    def wall(self) -> float:
        """Unix time, from a fixed epoch for reproducible runs."""
        return EPOCH_MS + self.at

    def sleep(self, ms: float) -> None:
        """Not used in virtual time: the simulation schedules callbacks instead."""
        raise AssertionError(f"blocking sleep of {ms} ms in virtual time")


class EventCounter:
    """Counts the senders' log events."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def debug(self, event: str, **values: object) -> None:
        """Ignore debug events."""

    def info(self, event: str, **values: object) -> None:
        """Count the event."""
        self.counts[event] += 1

    warning = error = info


@dataclass(frozen=True, slots=True)
class InjectedFaults:
    """Deliberate defects of a sender, to test that the checker detects them."""

    ignore_drains: bool = False
    ignore_waits: bool = False
    drop_notices: bool = False


class Instance:
    """One sender, with simulated drivers in place of its sockets."""

    def __init__(self, sim: VirtualSimulation, index: int, folder: Path, seed: int, epoch: int) -> None:
        self.sim, self.index, self.name = sim, index, f"n{index}"
        self.dead = self._polling = False
        self.owner = (self.name, epoch)
        self.lease_cache = LeaseCache() if sim.day.shared else None
        self.session = SenderSession(self.name, epoch, "", self.lease_cache) if self.lease_cache else None
        raw: dict[str, Any] = {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "state": str(folder),
            "seed": f"{seed:x}",
            "limits": {"sockets": 1024, "memory_mb": 192, "disk_mb": 8},
            "settings": sim.day.settings(index),
        }
        self.config = config.read(raw, {})
        limits, settings = self.config.limits, self.config.settings
        self.journal = Journal(folder, limits.disk_bytes, settings.max_attempts, limits.body_bytes)
        grace = max(settings.rules.drain_grace_ms - limits.drain_margin_ms, 0.0)
        self.clearance = Clearance(self.journal, grace, sim.clock)
        shares = self if sim.day.shared else None
        self.sender = Sender(self.config, self.journal, self.clearance, sim.log, sim.clock, shares)
        if self.session is not None:
            sim.control.register(sim.clock.now(), Register(PROTOCOL_VERSION, "", self.name, epoch))
        self.sender.attach(self, self, self)
        self._in_flight: dict[Call, None] = {}
        self._watching = False
        self._step_at = inf
        self._last_step_at = -inf
        self.sender.restore(ListUpdate(Scope.CACHED))
        self.wake()

    # The loop: events are handled at the next tick, timers when they are due.

    def put(self, event: CoreEvent) -> None:
        """Queue an event for the sender, unless it is dead."""
        if self.dead:
            return
        self.sender.put(event)
        self.wake(now=True)

    def wake(self, now: bool = False) -> None:
        """Schedule the sender's next step."""
        at = self.sim.clock.now() if now else self.sender.due
        at = max(at, self._last_step_at + self.config.settings.tick_ms)
        if at < self._step_at:
            self._step_at = at
            self.sim.schedule(at, self._step, at)

    def _step(self, planned: float) -> None:
        if self.dead or planned != self._step_at:
            return  # superseded by an earlier step
        self._step_at, self._last_step_at = inf, planned
        self.sender.step(self.sender.take_inbox())
        self.wake()

    def kill(self) -> None:
        """Kill the process: its connections break; calls that partners have received go on there."""
        now = self.sim.clock.now()
        for call in self._in_flight:
            self.sim.checker.done(now, self.name, "", _ids(call), "maybe", False)
        self._in_flight.clear()
        self.dead = True
        self.journal.close()

    # The fleet

    def received(self, messages: list[LimitMessage]) -> None:
        """Messages from the allocator arrive."""
        if self.dead or self.session is None:
            return
        for message in messages:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(self.sim.clock.now(), message)

    def _poll(self) -> None:
        """Send what is due to the allocator, as long as calls wait or leases are held."""
        self._polling = False
        if self.dead or self.session is None or self.lease_cache is None:
            return
        now = self.sim.clock.now()
        due = self.session.due(now)
        if due:
            self.sim.schedule(now + ALLOCATOR_LATENCY_MS, self.sim.received, self.owner, due)
        if self.session.wait_ms(now) <= POLL_MS:
            self._polling = True
            self.sim.schedule(now + POLL_MS, self._poll)

    def _wait_for_lease(self, call: Call) -> bool:
        """Whether a call has to wait for a lease or was ended without one."""
        now = self.sim.clock.now()
        waiting = now > call.sent_at
        if self.lease_cache is None or self.lease_cache.take(key_of(call.endpoint), now, waiting) == 0.0:
            return False
        if not self._polling:
            self._polling = True
            self.sim.schedule(now, self._poll)
        if now < call.sent_at + LEASE_WAIT_MS:
            self.sim.schedule(now + POLL_MS, self._resume, call)
        else:
            for run in call.attempts:
                self.put(AttemptEnd(call, run, Result.NOT_SENT, now))
        return True

    def _resume(self, call: Call) -> None:
        if self.dead:
            return
        if call.cancelled.is_set():
            for run in call.attempts:
                self.put(AttemptEnd(call, run, Result.CANCELLED, self.sim.clock.now()))
            return
        self.start(call)

    def wait_for_policy(self, policy: int) -> bool:
        """No policy changes in virtual time."""
        return True

    def may_begin(self, policy: int) -> bool:
        """No policy changes in virtual time."""
        return True

    def grow(self, slots: int) -> None:
        """Nothing to do: workers are unlimited."""

    def acquire(self, endpoint: Endpoint) -> float:
        """Not used: ``start`` waits in virtual time instead."""
        raise AssertionError(f"{endpoint.name}: blocking wait for a lease in virtual time")

    def load(self, endpoint: Endpoint, load: Load) -> Load:
        """The reported load with this instance's share of the limit."""
        rate = self.session.rate(key_of(endpoint)) if self.session is not None else None
        return load if rate is None else Load(load.left_share, rate)

    def listed(self, endpoints: Sequence[Endpoint]) -> None:
        """Nothing to do: a limit is requested with its first call."""

    def failed(self, endpoint: Endpoint) -> None:
        """Include a failed call in the next report to the allocator."""
        if self.lease_cache is not None:
            self.lease_cache.failed(key_of(endpoint))

    def served(self, endpoint: Endpoint) -> None:
        """Include a success after failures in the next report to the allocator."""
        if self.lease_cache is not None:
            self.lease_cache.served(key_of(endpoint))

    # Executor

    def start(self, call: Call) -> None:
        """Begin a call, or a probe where it has no attempts."""
        sim, now = self.sim, self.sim.clock.now()
        if not call.attempts:
            self._probe(call)
            return
        if self._wait_for_lease(call):
            return
        refused = self.clearance.check(call)
        if refused is not None and not self._overrides(refused[0]):
            for run in call.attempts:
                self.put(AttemptEnd(call, run, refused[0], now, refused[1]))
            return
        self._in_flight[call] = None
        endpoint = call.endpoint.name
        sim.checker.call(now, self.name, endpoint, call.endpoint.group, sim.key(endpoint), _ids(call))
        latency_ms = sim.latency_ms(self.index, endpoint)
        sim.checker.tally.handshakes += 1
        sim.schedule(now + (HANDSHAKE_WAYS + 1) * latency_ms, self._call_arrived, call)
        sim.schedule(call.until, self._timed_out, call)

    def _overrides(self, result: Result) -> bool:
        injected = self.sim.injected
        return (
            injected.ignore_waits
            and result is Result.REJECTED
            or (injected.ignore_drains and result is Result.NOT_SENT)
        )

    def _call_arrived(self, call: Call) -> None:
        if call not in self._in_flight:
            return  # its connection was closed meanwhile
        now, endpoint = self.sim.clock.now(), call.endpoint.name
        address_owner = self.sim.address_owner(call.endpoint.port)
        if address_owner != endpoint:
            text = f"a call for {endpoint} came to {address_owner}, which has its address now"
            self.sim.checker.misdirected(now, self.name, text)
        answer = self.sim.arrive(address_owner, len(call.attempts), self.name)
        if answer.end is not End.DONE:
            self.sim.checker.failed(now, self.name, address_owner)
        if answer.ran:
            self.sim.checker.done(now, self.name, self.sim.key(endpoint), _ids(call), "maybe", True)
        if answer.at < inf:
            self.sim.schedule(
                answer.at + self.sim.latency_ms(self.index, endpoint), self._answer_received, call, answer
            )

    def _answer_received(self, call: Call, answer: Answer) -> None:
        if call not in self._in_flight:
            return  # timed out or cancelled
        del self._in_flight[call]
        now, result = self.sim.clock.now(), RESULTS[answer.end]
        key = self.sim.key(call.endpoint.name)
        if answer.wait_ms:
            self.sim.checker.wait(now, self.name, key, answer.wait_ms)
            if not self.sim.injected.ignore_waits:
                self.clearance.set_retry_after(call.endpoint, answer.wait_ms)
        ids = _ids(call)
        self.sim.checker.tally.rejected += answer.end is End.FULL
        if answer.end is End.DONE:
            self.sim.checker.done(now, self.name, key, ids, "delivered", False)
        elif answer.end in (End.FAILED, End.RESET, End.MALFORMED) and not answer.ran:
            self.sim.checker.done(now, self.name, key, ids, "maybe", False)
        for run in call.attempts:
            load = Load(answer.left_share, answer.limit_per_s)
            self.put(AttemptEnd(call, run, result, now, answer.wait_ms, load))

    def _timed_out(self, call: Call) -> None:
        self._give_up(call, Result.TIMED_OUT)

    def _give_up(self, call: Call, result: Result) -> None:
        if call not in self._in_flight:
            return
        del self._in_flight[call]
        now = self.sim.clock.now()
        self.sim.checker.done(now, self.name, "", _ids(call), "maybe", False)
        for run in call.attempts:
            self.put(AttemptEnd(call, run, result, now))

    def cancel(self, call: Call) -> None:
        """Close the call's connection; the partner goes on with a call that it has received."""
        call.cancelled.set()
        self._give_up(call, Result.CANCELLED)

    def _probe(self, call: Call) -> None:
        latency_ms = self.sim.latency_ms(self.index, call.endpoint.name)
        end = ProbeEnd(call.endpoint, Result.DELIVERED, 2 * latency_ms)
        self.sim.schedule(self.sim.clock.now() + 2 * latency_ms, self.put, end)

    # Discovery

    def watch(self, active: bool) -> None:
        """Start or stop the watch."""
        if active and not self._watching:
            self._watching = True
            self.fetch()
        self._watching = active

    def fetch(self) -> None:
        """Request the whole list."""
        sim, now = self.sim, self.sim.clock.now()
        if sim.day.unavailable_until(Service.DIRECTORY, now) > now:
            sim.schedule(now + sim.day.network_ms[0], self.put, ListUpdate(Scope.FAILED))
            return
        sim.schedule(now + 2 * sim.day.network_ms[0], self.receive_list, Scope.WHOLE, list(sim.states))

    def receive_list(self, scope: Scope, names: list[str]) -> None:
        """Discovery's answer arrives."""
        sim, now = self.sim, self.sim.clock.now()
        if self.dead or (scope is Scope.CHANGES and not self._watching):
            return
        back_at = sim.day.unavailable_until(Service.DIRECTORY, now)
        if back_at > now:
            # The watch is broken; the first answer after the outage has the missed changes.
            sim.schedule(back_at + sim.day.network_ms[0], self.receive_list, scope, names)
            return
        if scope is Scope.WHOLE:
            names = [name for name in names if sim.states[name] is not EndpointState.GONE]
        for name in names:
            sim.checker.listed(now, self.name, name, sim.states[name] is EndpointState.READY)
        members = tuple(sim.member(name) for name in names)
        if sim.injected.ignore_drains:
            members = tuple(member for member in members if member.state is EndpointState.READY)
        self.put(ListUpdate(scope, sim.version, members, now))

    # Platform

    def deliver(self, notice: Notice) -> None:
        """Send a message's final status to the platform."""
        sim = self.sim
        if not sim.injected.drop_notices:
            sent_at = sim.day.unavailable_until(Service.PLATFORM, sim.clock.now())  # retried until then
            sim.schedule(
                sent_at + sim.day.network_ms[0], self._notice_arrived, notice, sent_at > sim.clock.now()
            )

    def _notice_arrived(self, notice: Notice, waited: bool) -> None:
        if self.dead and waited:
            return  # its successor sends it again
        sim, now = self.sim, self.sim.clock.now()
        sim.checker.notice(now, notice.id, "deferred" if notice.deferred else "undeliverable")
        sim.schedule(now + sim.day.network_ms[0], self.put, NoticesDelivered((notice.number,)))
        if notice.deferred:
            sim.retry(notice.id, notice.again_ms)


@dataclass(slots=True)
class Submission:
    """A client's message and its remaining retries."""

    arrival: Arrival
    retries_left: int
    first_at: float
    in_tally: bool = False  # counted as one of the day's messages


@dataclass(slots=True)
class Outcome:
    """The result of a day."""

    checker: Checker
    calls: int
    logged: dict[str, int] = field(default_factory=dict)
    fleet_messages: int = 0  # between instances and the allocator


class VirtualSimulation:
    """The event heap, the partners, the clients and the senders."""

    def __init__(self, day: Day, folder: Path, injected: InjectedFaults | None = None) -> None:
        self.day, self.injected = day, injected or InjectedFaults()
        self.clock, self.log = VirtualClock(), EventCounter()
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self.partners = {
            spec.group: Partner(spec.group, spec.profile, [*spec.names, *spec.later], f"{day.seed}")
            for spec in day.partners
        }
        self._kinds = {spec.group: KINDS.index(spec.kind) for spec in day.partners}
        self._group = {name: spec.group for spec in day.partners for name in (*spec.names, *spec.later)}
        self._ports = {name: 1000 + n for n, name in enumerate(self._group)}
        self._address_owners = {port: name for name, port in self._ports.items()}
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
        allocator = Allocator(slack_ms=CALL_SLACK_MS)
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
                self.checker.platform_down(outage.begin, outage.end)
        self._submissions: dict[str, Submission] = {}
        self._awaiting_verdict: dict[str, dict[str, Message]] = {}  # by sender
        self._submitted_count = 0
        self._folder = folder
        self._start_count = 0
        self.instances = [self._start(n) for n in range(day.senders)]

    def _start(self, index: int) -> Instance:
        folder = self._folder / f"n{index}"
        folder.mkdir(parents=True, exist_ok=True)
        self._start_count += 1
        return Instance(self, index, folder, self.day.seed * 1000 + self._start_count - 1, self._start_count)

    def _kill_sender(self, sender_outage: SenderOutage) -> None:
        instance = self.instances[sender_outage.sender]
        unanswered = [
            message
            for message in self._awaiting_verdict.pop(instance.name, {}).values()
            if message.verdict is None
        ]
        instance.kill()
        self.checker.sender_down(instance.name, sender_outage.at, sender_outage.back_at)
        self.schedule(sender_outage.back_at, self._restart_sender, sender_outage.sender)
        for message in unanswered:
            # Acceptance is unknown: the message is submitted again under another id, marked as such.
            self.checker.verdict(self.clock.now(), message.id, False)
            self.schedule(
                self.clock.now() + self.day.retry_ms, self._submit, self._submissions[message.id], True
            )

    def _restart_sender(self, sender: int) -> None:
        self.instances[sender] = self._start(sender)

    def schedule(self, when: float, callback: Callable[..., None], *values: Any) -> None:
        """Run a callback at a time."""
        self._count += 1
        heappush(self._timers, (when, self._count, callback, values))

    def received(self, owner: Owner, messages: list[LimitMessage]) -> None:
        """An instance's messages arrive at the allocator."""
        now = self.clock.now()
        self.fleet_messages += len(messages)
        for message in messages:
            assert isinstance(message, LeaseRequest | UseReport)
            self.control.received(now, owner, message)
        if not self._allocating:
            self._allocating = True
            self.schedule(now, self._allocate)

    def _allocate(self) -> None:
        now = self.clock.now()
        self.control.grant(now, self.control.tick(now))
        for owner, messages in self.control.take_messages().items():
            self.fleet_messages += len(messages)
            instance = self.instances[int(owner[0][1:])]
            if instance.owner == owner:
                self.schedule(now + ALLOCATOR_LATENCY_MS, instance.received, messages)
        self._allocating = self.control.busy
        if self._allocating:
            self.schedule(now + TICK_MS, self._allocate)

    def key(self, endpoint: str) -> str:
        """The key of a limit, and the scope of a retry-after."""
        group = self._group[endpoint]
        return endpoint if self.partners[group].profile.separate_routes else f"g{group}"

    def latency_ms(self, sender: int, endpoint: str) -> float:
        """One way between a sender and an endpoint; senders alternate between the buildings."""
        near, far = self.day.network_ms
        return near if self.day.zones.get(endpoint) == ZONES[sender % 2] else far

    def arrive(self, name: str, messages: int, sender: str) -> Answer:
        """A call has arrived completely at an endpoint."""
        endpoint = self.partners[self._group[name]].endpoints[name]
        was_overloaded = endpoint.overloaded
        answer = endpoint.arrive(self.clock.now(), messages, sender)
        if endpoint.overloaded and not was_overloaded:
            self.checker.cold_overload(self.clock.now(), name, endpoint.cold_callers)
        return answer

    def member(self, name: str) -> Member:
        """An endpoint's entry in the list."""
        group = self._group[name]
        zone = ZONES.index(self.day.zones.get(name, ZONES[0]))
        rating = self.partners[group].rating
        kind, state = self._kinds[group], self.states[name]
        return Member(name, "127.0.0.1", self._ports[name], group, zone, kind, state, rating, 0.0)

    def address_owner(self, port: int) -> str:
        """The endpoint that currently has an address."""
        return self._address_owners[port]

    def _change(self, change: Change) -> None:
        if change.takes_over:
            port = self._ports[change.takes_over]
            self._ports[change.endpoint], self._address_owners[port] = port, change.endpoint
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
                self.schedule(when, self._notify, instance.index, change.endpoint)

    def _notify(self, index: int, endpoint: str) -> None:
        self.instances[index].receive_list(Scope.CHANGES, [endpoint])

    # Clients

    def _submit(self, submission: Submission, orphan: bool = False) -> None:
        """A client submits its message to its sender or the next one that is up."""
        arrival, now = submission.arrival, self.clock.now()
        cls = next(spec for spec in CLASSES if spec.name == arrival.cls)
        time_left_ms = submission.first_at + cls.deadline_ms - now
        if time_left_ms <= 0:
            return
        candidates = [self._instance(arrival.sender + n) for n in range(len(self.instances))]
        available = [instance for instance in candidates if not instance.dead]
        if not available:
            self.schedule(now + self.day.retry_ms, self._submit, submission, orphan)
            return
        self._submitted_count += 1
        id, instance, is_retry = (
            f"m{self._submitted_count}",
            available[0],
            submission.retries_left < self.day.retries,
        )
        self._submissions[id] = submission
        self.checker.submitted(
            now,
            instance.name,
            id,
            cls.name,
            arrival.group,
            time_left_ms,
            submission.first_at,
            submission.in_tally,
        )
        submission.in_tally = True
        until, body = now + time_left_ms, arrival.body
        message = Message(
            id, cls.name, arrival.group, until, body, is_retry, orphan, on_verdict=self._verdict_received
        )
        self._awaiting_verdict.setdefault(instance.name, {})[id] = message
        instance.put(message)

    def _instance(self, number: int) -> Instance:
        return self.instances[number % len(self.instances)]

    def _verdict_received(self, message: Message) -> None:
        accepted = message.verdict in (Verdict.ACCEPTED, Verdict.DELIVERED)
        self.checker.verdict(self.clock.now(), message.id, accepted)
        for waiting in self._awaiting_verdict.values():
            waiting.pop(message.id, None)
        if not accepted:
            self.retry(message.id, 0.0)

    def retry(self, id: str, after_ms: float) -> None:
        """Submit a refused message again, if it has a retry left."""
        submission = self._submissions[id]
        if submission.retries_left:
            submission.retries_left -= 1
            self.schedule(self.clock.now() + max(after_ms, self.day.retry_ms), self._submit, submission)

    def play(self) -> Outcome:
        """Play the day until the last message's deadline and the checker's tolerance have passed."""
        for arrival in self.day.arrivals:
            self.schedule(arrival.at, self._submit, Submission(arrival, self.day.retries, arrival.at))
        for change in self.day.changes:
            self.schedule(change.at, self._change, change)
        for sender_outage in self.day.deaths:
            self.schedule(sender_outage.at, self._kill_sender, sender_outage)
        end = self.day.length_ms + max(spec.deadline_ms for spec in CLASSES) + 1000.0
        while self._timers and self._timers[0][0] <= end:
            when, _, callback, values = heappop(self._timers)
            self.clock.at = max(self.clock.at, when)
            callback(*values)
        self.checker.close(end)
        for instance in self.instances:
            if not instance.dead:
                instance.journal.close()
        logged = dict(sorted(self.log.counts.items()))
        return Outcome(self.checker, self.checker.tally.calls, logged, self.fleet_messages)


def _ids(call: Call) -> list[str]:
    return [run.id for run in call.attempts]
