"""An allocator's whole decision: who is registered, what each sender is told, which limits are bound. No I/O.

Theory of operation. It takes messages and moments and gives leases and messages. Exact limits are always
bound. Adaptive ones are bound by ``binding``; while they are free their calls come as use reports. Which
keys a sender needs leases for follows from the fleet's default; ``sender_notifier`` has who is told what.
Nothing is sent because a limit exists: the cost goes with requests, reports and changes of status.

A successor learns for ``learning_ms``: senders keep the statuses that they know, and a limit that anybody
still asks for is bound again. What was given out before it began counts as its record says, or, for limits
that it binds while it learns, as all used up.

Two events that can cross: a sender calls a free limit while the status "bound" is on its way. The call is
reported and counts from then on; the exposure is bounded by the report's interval (``binding``). A report
of an earlier process of a name, or one that comes twice, counts for nothing: sequences only grow, epochs
too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import inf

from springspread.fleet.allocator import Allocator
from springspread.fleet.binding import Binding, Cause
from springspread.fleet.lease_cache import FRESH_MS, REPORT_MS
from springspread.fleet.limit_sources import LimitSources
from springspread.fleet.limits import PARTNER_SPAN_MS, Lease, Limit, LimitMode, Owner
from springspread.fleet.messages import (
    PROTOCOL_VERSION,
    Fingerprint,
    GrantedLease,
    KeyStatus,
    LeaseRequest,
    LimitMessage,
    Register,
    UseReport,
    fingerprint,
)
from springspread.fleet.sender_notifier import SenderNotifier

CHECK_MS = 1_000.0  # how often a bound limit is looked at
LEARNING_MS = FRESH_MS + REPORT_MS  # by then every sender that lives has reported or asked
# For a key that has none, and needs leases as another key with a limit has its fingerprint.
NO_LIMIT = Limit(1_000_000, PARTNER_SPAN_MS, LimitMode.ADAPTIVE)


def default_status(mode: LimitMode) -> KeyStatus:
    """The status of keys that a sender is told nothing of."""
    return KeyStatus.BOUND if mode is LimitMode.EXACT else KeyStatus.FREE


class RegisterRefused(Exception):
    """A sender that may not join; the text says why."""


class AllocatorControl:
    """One allocator. Feed it what comes in, call ``tick`` often while ``busy``."""

    def __init__(
        self,
        fleet: str,
        default_mode: LimitMode,
        limits: Mapping[str, Limit],
        allocator: Allocator,
        now: float,
        learning: bool = False,
    ) -> None:
        """``limits``: the operators'.
        ``learning``: there was an allocator before; what it bound is not known.
        """
        self._fleet = fleet
        self._allocator = allocator
        self._default_mode = default_mode
        self._next_default = default_mode
        self._learning_until = now + LEARNING_MS if learning else now
        self._began_at = now
        self._bindings: dict[str, Binding] = {}  # adaptive limits that were used or asked for
        self._limited_keys: dict[Fingerprint, tuple[str, ...]] = {}  # keys that have a limit
        self._checks: deque[tuple[float, str]] = deque()  # bound adaptive limits, and when to look at them
        self._checked: set[str] = set()  # their keys
        self._news = SenderNotifier(default_status(default_mode))
        self._sequences: dict[str, tuple[int, int]] = {}  # epoch and sequence of the last report, by name
        self._sources = LimitSources(limits)
        self.causes: dict[Cause, int] = dict.fromkeys(Cause, 0)  # how often limits were bound, and why
        for key, limit in limits.items():
            self.set_limit(now, key, limit)

    # Limits

    def set_limit(self, now: float, key: str, limit: Limit) -> None:
        """A limit holds from now on, in place of the one that the key had, if any."""
        before, known = self._status(key), self._allocator.limit(key)
        if known == limit:
            return
        if known is None:  # calls that nobody counted may have been made
            self._count_as_used(now, key, limit)
            one = fingerprint(key)
            self._limited_keys[one] = (*self._limited_keys.get(one, ()), key)
        self._allocator.set_limit(key, limit)
        if limit.mode is LimitMode.EXACT:
            self._bindings.pop(key, None)
        elif known is not None and known.mode is LimitMode.ADAPTIVE:
            self._note(now, key, self._binding(key, known).change_limit(now, limit))
        self._status_changed(key, before)

    def _count_as_used(self, now: float, key: str, limit: Limit) -> None:
        """A key that had no limit: senders that know it as unlimited have called it uncounted."""
        if self._news.anybody_knows(fingerprint(key)):
            self._allocator.set_limit(key, limit)
            self._allocator.count_unleased(now, key, limit.calls, now)

    def unlimited(self, key: str) -> None:
        """A key has no limit any more."""
        if self._allocator.limit(key) is None:
            return
        before, one = self._status(key), fingerprint(key)
        self._limited_keys[one] = tuple(other for other in self._limited_keys[one] if other != key)
        if not self._limited_keys[one]:
            del self._limited_keys[one]
        self._allocator.remove_limit(key)
        self._bindings.pop(key, None)
        self._status_changed(key, before)

    def limit(self, key: str) -> Limit | None:
        """The limit of a key, where one is known."""
        return self._allocator.limit(key)

    def schedule_limits(
        self, now: float, limits: Mapping[str, Limit], since: float, default_mode: LimitMode | None = None
    ) -> None:
        """Other limits of the operators hold from a moment on; until then the stricter ones."""
        for key, limit in self._sources.announce(limits, since).items():
            self.set_limit(now, key, limit)
        self._news.send_gathered(now)
        self._next_default = default_mode or self._default_mode
        if self._next_default is LimitMode.EXACT:
            self._set_default(now, LimitMode.EXACT)

    def _limits_due(self, now: float) -> None:
        if now < self._sources.next_at:
            return
        for key, limit in self._sources.due(now).items():
            if limit is None:
                self.unlimited(key)
            else:
                self.set_limit(now, key, limit)
        self._set_default(now, self._next_default)

    def _set_default(self, now: float, mode: LimitMode) -> None:
        if mode is self._default_mode:
            return
        self._default_mode = mode
        self._news.forget(default_status(mode))
        for key, limit in self._sources.partner_mode(mode).items():
            self.set_limit(now, key, limit)
        bound = self._allocator.keys if mode is LimitMode.ADAPTIVE else ()
        self._news.welcome_all(fingerprint(key) for key in bound if self.is_bound(key))

    def given_out(self, key: str, now: float) -> int:
        """How many calls of a key count against its limit now."""
        return self._allocator.committed(now, key)

    def reported_calls(self, key: str, now: float) -> int:
        """Calls of an adaptive limit that were reported for the span that ends now, and no fewer."""
        binding = self._bindings.get(key)
        return binding.recent_calls(now) if binding is not None else 0

    def bound_limits(self, most: int) -> dict[str, Cause]:
        """Adaptive limits that are bound, and why; at most so many of them."""
        bound: dict[str, Cause] = {}
        for _, key in self._checks:
            binding = self._bindings.get(key)
            if binding is not None and binding.cause is not None and len(bound) < most:
                bound[key] = binding.cause
        return bound

    @property
    def adaptive_bound(self) -> int:
        """How many adaptive limits are bound."""
        return sum(self._bindings[key].bound for _, key in self._checks if key in self._bindings)

    @property
    def limit_count(self) -> int:
        """How many keys have a limit."""
        return len(self._allocator.keys)

    def is_bound(self, key: str) -> bool:
        """Whether calls to a key need leases."""
        return self._status(key) is KeyStatus.BOUND

    def _status(self, key: str) -> KeyStatus:
        """The strictest of the keys that share its fingerprint: senders can't tell them apart."""
        status = self._own_status(key)
        for other in self._limited_keys.get(fingerprint(key), ()):
            if other != key:
                status = min(status, self._own_status(other))
        return status

    def _own_status(self, key: str) -> KeyStatus:
        limit = self._allocator.limit(key)
        if limit is None:
            return KeyStatus.UNLIMITED if self._default_mode is LimitMode.EXACT else KeyStatus.FREE
        if limit.mode is LimitMode.EXACT:
            return KeyStatus.BOUND
        binding = self._bindings.get(key)
        return KeyStatus.BOUND if binding is not None and binding.bound else KeyStatus.FREE

    def _status_changed(self, key: str, before: KeyStatus) -> None:
        self._news.status_changed(fingerprint(key), before, self._status(key))

    # Senders

    def register(self, now: float, message: Register) -> Owner:
        """A sender begins, or begins again after a connection broke; raises ``RegisterRefused``."""
        if message.version != PROTOCOL_VERSION:
            raise RegisterRefused(f"it speaks protocol version {message.version}, this is {PROTOCOL_VERSION}")
        if message.fleet != self._fleet:
            raise RegisterRefused(f"it belongs to another fleet: {message.fleet or 'none'}")
        owner = (message.name, message.epoch)
        if not self._allocator.register(owner):
            raise RegisterRefused(f"{message.name}: a later start of it is known than {message.epoch}")
        self._news.join(owner, complete=now >= self._learning_until)
        return owner

    def unregister(self, owner: Owner) -> None:
        """Its connection is over; its leases are not."""
        self._news.leave(owner)

    def received(self, now: float, owner: Owner, message: LeaseRequest | UseReport) -> None:
        """A registered sender says something; raises ``RegisterRefused`` where a later start replaced it."""
        if not self._news.registered(owner):
            raise RegisterRefused(f"{owner[0]}: start {owner[1]} is not registered any more")
        if isinstance(message, UseReport):
            self._use(now, owner, message)
        else:
            self._request(now, owner, message)

    def _request(self, now: float, owner: Owner, message: LeaseRequest) -> None:
        for report in message.reports:
            self._allocator.report(now, owner, report.key, report.serial, report.made, report.last_at)
            binding = self._bindings.get(report.key)
            if binding is not None and report.made:
                self._note(now, report.key, binding.record_calls(now, report.made))
        for key, per_s in message.partner_rates.items():
            if per_s > 0:
                limit = Limit.of_rate(per_s, PARTNER_SPAN_MS, self._default_mode)
                if self._sources.partner_told(key, limit):
                    self.set_limit(now, key, limit)
        for key, calls in message.demands.items():
            self._ask(now, owner, key, calls)

    def _ask(self, now: float, owner: Owner, key: str, calls: int) -> None:
        limit = self._allocator.limit(key)
        if calls and limit is not None and limit.mode is LimitMode.ADAPTIVE and now < self._learning_until:
            self._note(now, key, self._binding(key, limit).asked(now, learning=True))
        status = self._status(key)
        if status is not KeyStatus.BOUND:
            self._news.answer(owner, fingerprint(key), status, waits=calls > 0)
            return
        if calls and limit is None:
            self.set_limit(now, key, NO_LIMIT)
        self._allocator.set_demand(now, owner, key, calls)

    def _use(self, now: float, owner: Owner, message: UseReport) -> None:
        name, epoch = owner
        if (epoch, message.sequence) > self._sequences.get(name, (-1, -1)):
            self._sequences[name] = (epoch, message.sequence)
            made_at = now - message.age_ms
            for key, calls in message.calls.items():
                self._count_use(now, made_at, key, calls, message.failed.get(key, 0))
            for key in message.failed.keys() - message.calls.keys():
                self._count_use(now, made_at, key, 0, message.failed[key])
            for key in message.recovered:
                self._recovered(now, key)
        self._news.acknowledge(owner, message.sequence)

    def _count_use(self, now: float, made_at: float, key: str, calls: int, failed: int) -> None:
        limit = self._allocator.limit(key)
        if limit is None:
            return
        if limit.mode is LimitMode.EXACT or made_at + limit.span_ms <= now:
            self._allocator.count_unleased(now, key, calls, made_at)
            return
        binding = self._bindings.get(key)
        if binding is None:
            binding = self._binding(key, limit)
        if binding.bound:
            self._allocator.count_unleased(now, key, calls, made_at)
        self._note(now, key, binding.record_calls(now, calls, failed))

    def _recovered(self, now: float, key: str) -> None:
        limit = self._allocator.limit(key)
        if limit is not None and limit.mode is LimitMode.ADAPTIVE:
            self._note(now, key, self._binding(key, limit).recovered(now))

    def _binding(self, key: str, limit: Limit) -> Binding:
        binding = self._bindings.get(key)
        if binding is None:
            binding = self._bindings[key] = Binding(limit)
        return binding

    def _note(self, now: float, key: str, cause: Cause | None) -> None:
        """A limit was bound, if there is a cause: what it has had lately counts against its leases."""
        if cause is None:
            return
        self.causes[cause] += 1
        binding = self._bindings[key]
        used, made_at = binding.recent_calls(now), now
        if cause is Cause.LEARNING:
            used, made_at = binding.limit.calls, self._began_at
        self._allocator.count_unleased(now, key, used, made_at)
        self._check_later(now, key)
        self._status_changed(key, KeyStatus.FREE)

    def _check_later(self, now: float, key: str) -> None:
        if key not in self._checked:
            self._checked.add(key)
            self._checks.append((now + CHECK_MS, key))

    # Time

    def tick(self, now: float) -> list[Lease]:
        """Time goes on: leases to put on record, and then to ``grant``."""
        self._limits_due(now)
        self._news.tick(now)
        leases = self._allocator.allocate(now)
        while self._checks and self._checks[0][0] <= now:
            _, key = self._checks.popleft()
            self._checked.discard(key)
            self._check(now, key)
        return leases

    def _check(self, now: float, key: str) -> None:
        binding = self._bindings.get(key)
        if binding is None or not binding.bound:
            return
        if self._allocator.is_waiting(key):
            binding.record_contention(now)
        if binding.try_release(now):
            self._status_changed(key, KeyStatus.BOUND)
        else:
            self._check_later(now, key)

    def grant(self, now: float, leases: list[Lease]) -> None:
        """Leases that are on record are told to their owners."""
        for lease in leases:
            per_s = round(self._allocator.rate(now, lease.key, lease.owner), 3)
            granted = GrantedLease(lease.key, lease.serial, lease.calls, lease.until, per_s)
            self._news.grant(lease.owner, granted)

    def take_messages(self) -> dict[Owner, list[LimitMessage]]:
        """What is to be written now, by owner; each owner's in one write."""
        return self._news.take_messages()

    @property
    def busy(self) -> bool:
        """Whether ``tick`` has to be called soon: somebody waits for a lease."""
        return self._allocator.waiting

    @property
    def next_at(self) -> float:
        """When ``tick`` has to be called even if nobody waits; inf: not at all."""
        check_at = self._checks[0][0] if self._checks else inf
        return min(check_at, self._sources.next_at, self._news.next_at)
