"""The sender's side of the limits protocol with one allocator. No socket, no clock.

The caller connects, writes the messages of ``connected``, passes what it reads to ``received``, and writes
the messages of ``due`` in one write when ``wait_ms`` is over or a call waits. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import islice, zip_longest

from springspread.fleet.chunking import COUNT_BYTES, chunked
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import Lease
from springspread.fleet.messages import (
    MAX_KEYS,
    MAX_MS,
    PROTOCOL_VERSION,
    KeyStatus,
    KeyStatuses,
    LeaseGrants,
    LeaseReport,
    LeaseRequest,
    LimitMessage,
    Register,
    Welcome,
)

POLL_MS = 10.0  # while calls wait or leases are open
IDLE_MS = 250.0
DEMAND_REPEAT_MS = 150.0  # the allocator drops demands that are not repeated


class SenderSession:
    """Outlives connections. Other threads may call ``set_partner_rate``, ``add_keys`` and ``rate``."""

    def __init__(self, name: str, epoch: int, fleet: str, cache: LeaseCache) -> None:
        self._cache = cache
        self._owner = (name, epoch)
        self._register = Register(PROTOCOL_VERSION, fleet, name, epoch)
        self._registered_at = 0.0
        self._partner_rates: dict[str, float] = {}
        self._new_rates: dict[str, float] = {}
        self._requested: Mapping[str, int] = {}
        self._requested_at = 0.0
        self._prefetch_statuses = False
        self._listed_keys: dict[str, None] = {}
        self._new_keys: dict[str, None] = {}
        self._welcome: Welcome | None = None  # a welcome whose statuses are incomplete
        self._welcome_statuses: list[KeyStatuses] = []
        self.rates: dict[str, float] = {}  # expected calls per second by key, from leases

    def connected(self, now: float) -> list[LimitMessage]:
        """The first messages of a connection."""
        self._registered_at = now
        self._welcome = None
        self._requested = {}
        self._new_rates = dict(self._partner_rates)  # a new allocator may know none of them
        return [self._register, *self._cache.resend(now)]

    def set_partner_rate(self, key: str, per_s: float) -> bool:
        """Record a partner's limit (calls per second); whether it is valid and has changed."""
        if not 0.0 < per_s < MAX_MS or self._partner_rates.get(key) == per_s:
            return False
        self._partner_rates[key] = self._new_rates[key] = per_s
        return True

    def rate(self, key: str) -> float | None:
        """The expected calls per second of a key; None if its calls need no leases or none came yet."""
        rate = self.rates.get(key)
        if rate is not None and not self._cache.is_bound(key):
            self.rates.pop(key, None)
            return None
        return rate

    def add_keys(self, keys: Iterable[str]) -> bool:
        """Add keys that may be called; whether their statuses have to be requested.

        If unknown keys need leases, statuses are requested in advance, so that a sender that loses its
        allocator knows which keys need none. Beyond ``MAX_KEYS`` they are requested with the first call.
        """
        room = MAX_KEYS - len(self._listed_keys)
        new = dict.fromkeys(islice((key for key in keys if key not in self._listed_keys), room))
        self._listed_keys |= new
        if self._prefetch_statuses:
            self._new_keys |= new
        return self._prefetch_statuses and bool(new)

    def due(self, now: float) -> list[LimitMessage]:
        """The messages to write now."""
        messages: list[LimitMessage] = []
        demands, reports = self._cache.demands(now), self._cache.take_finished(now)
        rates: dict[str, float] = {}
        while self._new_rates and len(rates) < MAX_KEYS:
            key, per_s = self._new_rates.popitem()  # atomic, as another thread may add the key again
            rates[key] = per_s
        prefetch, self._new_keys = dict.fromkeys(self._new_keys, 0), {}
        repeat = bool(demands) and now >= self._requested_at + DEMAND_REPEAT_MS
        if demands != self._requested or reports or rates or prefetch or repeat:
            self._requested_at = now
            withdrawn = dict.fromkeys(self._requested.keys() - demands.keys(), 0)
            messages += _requests({**prefetch, **withdrawn, **demands}, reports, rates)
            self._requested = demands
        if (report := self._cache.use_report(now)) is not None:
            messages.append(report)
        return messages

    def wait_ms(self, now: float) -> float:
        """How long until ``due`` may have messages, unless a call begins to wait in the meantime."""
        busy = bool(self._requested or self._new_rates or self._new_keys) or self._cache.has_leases
        wait_ms = POLL_MS if busy else IDLE_MS
        return max(min(wait_ms, self._cache.use_report_at(now) - now), 0.0)

    def received(self, now: float, message: Welcome | KeyStatuses | LeaseGrants) -> None:
        """Handle a message of the allocator."""
        match message:
            case Welcome():
                self._welcome, self._welcome_statuses = message, []
                self._apply_welcome(message)
            case KeyStatuses():
                if self._welcome is None:
                    self._cache.apply_statuses(message)
                else:
                    self._welcome_statuses.append(message)
                    self._apply_welcome(self._welcome)
            case LeaseGrants():
                for lease in message.leases:
                    self.rates[lease.key] = lease.per_s
                    self._cache.add_lease(
                        Lease(lease.serial, self._owner, lease.key, lease.calls, lease.until), now
                    )

    def _apply_welcome(self, message: Welcome) -> None:
        """Apply a welcome once all of its statuses have arrived."""
        if len(self._welcome_statuses) < message.following:
            return
        self._cache.apply_welcome(message, self._registered_at, self._welcome_statuses)
        self._welcome, self._welcome_statuses = None, []
        self._prefetch_statuses = message.default is KeyStatus.BOUND
        self._new_keys = dict(self._listed_keys) if self._prefetch_statuses else {}


def _requests(
    demands: Mapping[str, int], reports: Iterable[LeaseReport], rates: Mapping[str, float]
) -> list[LimitMessage]:
    """As few requests as hold everything, usually one."""
    chunks = zip_longest(
        chunked(demands.items(), lambda entry: entry[0], COUNT_BYTES),
        chunked(reports, lambda report: report.key),
        chunked(rates.items(), lambda entry: entry[0]),
        fillvalue=(),
    )
    return [
        LeaseRequest(dict(counts), tuple(finished), dict(announced)) for counts, finished, announced in chunks
    ]
