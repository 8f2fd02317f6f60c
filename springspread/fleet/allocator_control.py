"""The allocator's logic: registered senders, limits and which of them are bound, notifications. No I/O.

Theory of operation. Messages and the time go in, leases and messages come out. Exact limits are always
bound. ``binding`` decides on adaptive ones; while they are free, their calls come as use reports. Which keys
a sender needs leases for depends on the fleet's default mode; ``sender_notifier`` decides who is notified of
what. The cost grows with requests, reports and changes of status, not with the number of limits.

A successor learns for ``LEARNING_MS``: senders keep the statuses that they know, and a limit for which a
lease is requested is bound again. Its predecessor's leases count as recorded; a limit that it binds while
learning counts as used up.

Race: a sender may call a free limit while the status "bound" is on its way. The call is reported and counts
from then on; the exposure is bounded by the report interval (``binding``). Duplicate reports and those of an
earlier process are ignored, as sequences and epochs only grow.
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

CHECK_MS = 1_000.0  # how often a bound limit is checked for release
LEARNING_MS = FRESH_MS + REPORT_MS  # every live sender has sent a report or a request by then
# For a key without a limit that needs leases because it shares its fingerprint with a limited key.
PLACEHOLDER_LIMIT = Limit(1_000_000, PARTNER_SPAN_MS, LimitMode.ADAPTIVE)


def default_status(mode: LimitMode) -> KeyStatus:
    """The status of keys that a sender does not know."""
    return KeyStatus.BOUND if mode is LimitMode.EXACT else KeyStatus.FREE


class RegisterRefused(Exception):
    """Raised for a sender that may not register, with the reason."""


class AllocatorControl:
    """One allocator. Pass it all messages, and call ``tick`` often while ``busy``."""

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
        ``learning``: there was an allocator before, whose bound limits are unknown.
        """
        self._fleet = fleet
        self._allocator = allocator
        self._default_mode = default_mode
        self._announced_default = default_mode
        self._learning_until = now + LEARNING_MS if learning else now
        self._started_at = now
        self._bindings: dict[str, Binding] = {}  # of adaptive limits that were used or requested
        self._limited_keys: dict[Fingerprint, tuple[str, ...]] = {}  # keys that have a limit
        self._checks: deque[tuple[float, str]] = deque()  # when to check bound adaptive limits
        self._check_keys: set[str] = set()  # keys in the queue of checks
        self._notifier = SenderNotifier(default_status(default_mode))
        self._sequences: dict[str, tuple[int, int]] = {}  # epoch and sequence of the last report, by name
        self._sources = LimitSources(limits)
        self.causes: dict[Cause, int] = dict.fromkeys(Cause, 0)  # how often limits were bound, by cause
        for key, limit in limits.items():
            self.set_limit(now, key, limit)

    # Limits

    def set_limit(self, now: float, key: str, limit: Limit) -> None:
        """Set the limit of a key, in place of the one that it had, if any."""
        before, known = self._status(key), self._allocator.limit(key)
        if known == limit:
            return
        if known is None:  # earlier calls were not counted
            self._count_as_exhausted(now, key, limit)
            digest = fingerprint(key)
            self._limited_keys[digest] = (*self._limited_keys.get(digest, ()), key)
        self._allocator.set_limit(key, limit)
        if limit.mode is LimitMode.EXACT:
            self._bindings.pop(key, None)
        elif known is not None and known.mode is LimitMode.ADAPTIVE:
            self._handle_binding(now, key, self._binding(key, known).change_limit(now, limit))
        self._status_changed(key, before)

    def _count_as_exhausted(self, now: float, key: str, limit: Limit) -> None:
        """Count a new limit as used up if senders may have made uncounted calls."""
        if self._notifier.anybody_knows(fingerprint(key)):
            self._allocator.set_limit(key, limit)
            self._allocator.count_unleased(now, key, limit.calls, now)

    def remove_limit(self, key: str) -> None:
        """Remove the limit of a key."""
        if self._allocator.limit(key) is None:
            return
        before, digest = self._status(key), fingerprint(key)
        self._limited_keys[digest] = tuple(other for other in self._limited_keys[digest] if other != key)
        if not self._limited_keys[digest]:
            del self._limited_keys[digest]
        self._allocator.remove_limit(key)
        self._bindings.pop(key, None)
        self._status_changed(key, before)

    def limit(self, key: str) -> Limit | None:
        """The limit of a key, if it has one."""
        return self._allocator.limit(key)

    def schedule_limits(
        self, now: float, limits: Mapping[str, Limit], since: float, default_mode: LimitMode | None = None
    ) -> None:
        """Set the operators' limits that apply from ``since`` on; until then the stricter ones apply."""
        for key, limit in self._sources.announce(limits, since).items():
            self.set_limit(now, key, limit)
        self._notifier.flush(now)
        self._announced_default = default_mode or self._default_mode
        if self._announced_default is LimitMode.EXACT:
            self._set_default(now, LimitMode.EXACT)

    def _apply_due_limits(self, now: float) -> None:
        if now < self._sources.next_at:
            return
        for key, limit in self._sources.apply_due(now).items():
            if limit is None:
                self.remove_limit(key)
            else:
                self.set_limit(now, key, limit)
        self._set_default(now, self._announced_default)

    def _set_default(self, now: float, mode: LimitMode) -> None:
        if mode is self._default_mode:
            return
        self._default_mode = mode
        self._notifier.reset(default_status(mode))
        for key, limit in self._sources.set_partner_mode(mode).items():
            self.set_limit(now, key, limit)
        bound = self._allocator.keys if mode is LimitMode.ADAPTIVE else ()
        self._notifier.welcome_all(fingerprint(key) for key in bound if self.is_bound(key))

    def committed_calls(self, key: str, now: float) -> int:
        """How many calls of a key count against its limit now."""
        return self._allocator.committed(now, key)

    def reported_calls(self, key: str, now: float) -> int:
        """An upper bound of the calls to an adaptive limit reported for the span that ends now."""
        binding = self._bindings.get(key)
        return binding.recent_calls(now) if binding is not None else 0

    def bound_limits(self, most: int) -> dict[str, Cause]:
        """Bound adaptive limits and their causes, at most ``most``."""
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
        """The strictest status of the keys with its fingerprint, as senders can't tell them apart."""
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
        self._notifier.status_changed(fingerprint(key), before, self._status(key))

    # Senders

    def register(self, now: float, message: Register) -> Owner:
        """Register a sender that has connected; raises ``RegisterRefused``."""
        if message.version != PROTOCOL_VERSION:
            raise RegisterRefused(f"protocol version {message.version}, expected {PROTOCOL_VERSION}")
        if message.fleet != self._fleet:
            raise RegisterRefused(f"member of another fleet: {message.fleet or 'none'}")
        owner = (message.name, message.epoch)
        if not self._allocator.register(owner):
            raise RegisterRefused(f"{message.name}: epoch {message.epoch} was replaced by a later one")
        self._notifier.join(owner, complete=now >= self._learning_until)
        return owner

    def unregister(self, owner: Owner) -> None:
        """Remove a sender whose connection has closed; its leases stay valid."""
        self._notifier.leave(owner)

    def received(self, now: float, owner: Owner, message: LeaseRequest | UseReport) -> None:
        """Handle a sender's message; raises ``RegisterRefused`` if a later start has replaced it."""
        if not self._notifier.registered(owner):
            raise RegisterRefused(f"{owner[0]}: epoch {owner[1]} is no longer registered")
        if isinstance(message, UseReport):
            self._handle_use_report(now, owner, message)
        else:
            self._handle_request(now, owner, message)

    def _handle_request(self, now: float, owner: Owner, message: LeaseRequest) -> None:
        for report in message.reports:
            self._allocator.report(now, owner, report.key, report.serial, report.made, report.last_at)
            binding = self._bindings.get(report.key)
            if binding is not None and report.made:
                self._handle_binding(now, report.key, binding.record_calls(now, report.made))
        for key, per_s in message.partner_rates.items():
            if per_s > 0:
                limit = Limit.of_rate(per_s, PARTNER_SPAN_MS, self._default_mode)
                if self._sources.set_partner_limit(key, limit):
                    self.set_limit(now, key, limit)
        for key, calls in message.demands.items():
            self._handle_demand(now, owner, key, calls)

    def _handle_demand(self, now: float, owner: Owner, key: str, calls: int) -> None:
        limit = self._allocator.limit(key)
        if calls and limit is not None and limit.mode is LimitMode.ADAPTIVE and now < self._learning_until:
            self._handle_binding(now, key, self._binding(key, limit).record_request(now, learning=True))
        status = self._status(key)
        if status is not KeyStatus.BOUND:
            self._notifier.answer(owner, fingerprint(key), status, waits=calls > 0)
            return
        if calls and limit is None:
            self.set_limit(now, key, PLACEHOLDER_LIMIT)
        self._allocator.set_demand(now, owner, key, calls)

    def _handle_use_report(self, now: float, owner: Owner, message: UseReport) -> None:
        name, epoch = owner
        if (epoch, message.sequence) > self._sequences.get(name, (-1, -1)):
            self._sequences[name] = (epoch, message.sequence)
            made_at = now - message.age_ms
            for key, calls in message.calls.items():
                self._count_calls(now, made_at, key, calls, message.failed.get(key, 0))
            for key in message.failed.keys() - message.calls.keys():
                self._count_calls(now, made_at, key, 0, message.failed[key])
            for key in message.recovered:
                self._handle_recovery(now, key)
        self._notifier.acknowledge(owner, message.sequence)

    def _count_calls(self, now: float, made_at: float, key: str, calls: int, failed: int) -> None:
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
        self._handle_binding(now, key, binding.record_calls(now, calls, failed))

    def _handle_recovery(self, now: float, key: str) -> None:
        limit = self._allocator.limit(key)
        if limit is not None and limit.mode is LimitMode.ADAPTIVE:
            self._handle_binding(now, key, self._binding(key, limit).recovered(now))

    def _binding(self, key: str, limit: Limit) -> Binding:
        binding = self._bindings.get(key)
        if binding is None:
            binding = self._bindings[key] = Binding(limit)
        return binding

    def _handle_binding(self, now: float, key: str, cause: Cause | None) -> None:
        """If a limit was bound, count its recent calls against it and notify senders."""
        if cause is None:
            return
        self.causes[cause] += 1
        binding = self._bindings[key]
        used, made_at = binding.recent_calls(now), now
        if cause is Cause.LEARNING:
            used, made_at = binding.limit.calls, self._started_at
        self._allocator.count_unleased(now, key, used, made_at)
        self._schedule_check(now, key)
        self._status_changed(key, KeyStatus.FREE)

    def _schedule_check(self, now: float, key: str) -> None:
        if key not in self._check_keys:
            self._check_keys.add(key)
            self._checks.append((now + CHECK_MS, key))

    # Time

    def tick(self, now: float) -> list[Lease]:
        """Do what is due; returns the leases to record and then to ``grant``."""
        self._apply_due_limits(now)
        self._notifier.tick(now)
        leases = self._allocator.allocate(now)
        while self._checks and self._checks[0][0] <= now:
            _, key = self._checks.popleft()
            self._check_keys.discard(key)
            self._check_release(now, key)
        return leases

    def _check_release(self, now: float, key: str) -> None:
        binding = self._bindings.get(key)
        if binding is None or not binding.bound:
            return
        if self._allocator.is_waiting(key):
            binding.record_contention(now)
        if binding.try_release(now):
            self._status_changed(key, KeyStatus.BOUND)
        else:
            self._schedule_check(now, key)

    def grant(self, now: float, leases: list[Lease]) -> None:
        """Send recorded leases to their owners."""
        for lease in leases:
            per_s = round(self._allocator.rate(now, lease.key, lease.owner), 3)
            granted = GrantedLease(lease.key, lease.serial, lease.calls, lease.until, per_s)
            self._notifier.grant(lease.owner, granted)

    def take_messages(self) -> dict[Owner, list[LimitMessage]]:
        """The messages to write now, by owner; those of one owner go into one write."""
        return self._notifier.take_messages()

    @property
    def busy(self) -> bool:
        """Whether somebody waits for a lease, so that ``tick`` has to be called soon."""
        return self._allocator.waiting

    @property
    def next_at(self) -> float:
        """When ``tick`` has to be called next if nobody waits for a lease; inf: not at all."""
        check_at = self._checks[0][0] if self._checks else inf
        return min(check_at, self._sources.next_at, self._notifier.next_at)
