"""A sender's side of its talk with one allocator about limits: what to write when. No socket, no clock.

A driver connects, writes what ``connected`` gives, hands in what it reads, and writes what ``due`` gives
when ``wait_ms`` is over or a call waits. Everything that one call of ``due`` gives goes out in one write.
Times are milliseconds.
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

POLL_MS = 10.0  # while anything waits or is held
IDLE_MS = 250.0
REPEAT_MS = 150.0  # what waits is said again after this: the allocator forgets who is silent


class SenderSession:
    """Outlives connections. Partners' rates, listed keys and ``rate`` may come from other threads."""

    def __init__(self, name: str, epoch: int, fleet: str, cache: LeaseCache) -> None:
        self._cache = cache
        self._owner = (name, epoch)
        self._register = Register(PROTOCOL_VERSION, fleet, name, epoch)
        self._registered_at = 0.0
        self._partner_rates: dict[str, float] = {}
        self._new_rates: dict[str, float] = {}
        self._requested: Mapping[str, int] = {}
        self._requested_at = 0.0
        self._asks_ahead = False
        self._listed: dict[str, None] = {}
        self._new_listed: dict[str, None] = {}
        self._welcome: Welcome | None = None  # one whose statuses have not all come
        self._welcome_statuses: list[KeyStatuses] = []
        self.rates: dict[str, float] = {}  # calls a second to count on, by key, as leases said

    def connected(self, now: float) -> list[LimitMessage]:
        """The first messages of a connection."""
        self._registered_at = now
        self._welcome = None
        self._requested = {}
        self._new_rates = dict(self._partner_rates)  # the allocator at its other end may know none of it
        return [self._register, *self._cache.resend(now)]

    def set_partner_rate(self, key: str, per_s: float) -> bool:
        """A partner tells its limit (calls a second); whether that is news that a message can hold."""
        if not 0.0 < per_s < MAX_MS or self._partner_rates.get(key) == per_s:
            return False
        self._partner_rates[key] = self._new_rates[key] = per_s
        return True

    def rate(self, key: str) -> float | None:
        """The calls a second of a key to count on; none where calls to it need no leases, or had none yet."""
        rate = self.rates.get(key)
        if rate is not None and not self._cache.is_bound(key):
            self.rates.pop(key, None)
            return None
        return rate

    def listed(self, keys: Iterable[str]) -> bool:
        """Calls to these keys may follow; whether there is anything new to ask.

        Where unknown keys need leases, whether these do is asked ahead, so that a sender that loses its
        allocator knows which need none. Of very many keys the rest is asked with the first call.
        """
        room = MAX_KEYS - len(self._listed)
        fresh = dict.fromkeys(islice((key for key in keys if key not in self._listed), room))
        self._listed |= fresh
        if self._asks_ahead:
            self._new_listed |= fresh
        return self._asks_ahead and bool(fresh)

    def due(self, now: float) -> list[LimitMessage]:
        """What is to be written now."""
        made: list[LimitMessage] = []
        wants, reports = self._cache.demands(now), self._cache.take_finished(now)
        rates: dict[str, float] = {}
        while self._new_rates and len(rates) < MAX_KEYS:
            key, per_s = self._new_rates.popitem()  # in one step: another thread may tell the key anew
            rates[key] = per_s
        ahead, self._new_listed = dict.fromkeys(self._new_listed, 0), {}
        again = bool(wants) and now >= self._requested_at + REPEAT_MS
        if wants != self._requested or reports or rates or ahead or again:
            self._requested_at = now
            gone = dict.fromkeys(self._requested.keys() - wants.keys(), 0)
            made += _requests({**ahead, **gone, **wants}, reports, rates)
            self._requested = wants
        if (report := self._cache.use_report(now)) is not None:
            made.append(report)
        return made

    def wait_ms(self, now: float) -> float:
        """How long until ``due`` may have something new, unless a call begins to wait meanwhile."""
        busy = bool(self._requested or self._new_rates or self._new_listed) or self._cache.has_leases
        wait_ms = POLL_MS if busy else IDLE_MS
        return max(min(wait_ms, self._cache.use_report_at(now) - now), 0.0)

    def received(self, now: float, message: Welcome | KeyStatuses | LeaseGrants) -> None:
        """The allocator says something."""
        match message:
            case Welcome():
                self._welcome, self._welcome_statuses = message, []
                self._take_welcome(message)
            case KeyStatuses():
                if self._welcome is None:
                    self._cache.apply_statuses(message)
                else:
                    self._welcome_statuses.append(message)
                    self._take_welcome(self._welcome)
            case LeaseGrants():
                for one in message.leases:
                    self.rates[one.key] = one.per_s
                    self._cache.add_lease(Lease(one.serial, self._owner, one.key, one.calls, one.until), now)

    def _take_welcome(self, message: Welcome) -> None:
        """Take a welcome in once all of its statuses are there."""
        if len(self._welcome_statuses) < message.following:
            return
        self._cache.apply_welcome(message, self._registered_at, self._welcome_statuses)
        self._welcome, self._welcome_statuses = None, []
        self._asks_ahead = message.default is KeyStatus.BOUND
        self._new_listed = dict(self._listed) if self._asks_ahead else {}


def _requests(
    demands: Mapping[str, int], reports: Iterable[LeaseReport], rates: Mapping[str, float]
) -> list[LimitMessage]:
    """One request where all of it fits one, which is usual."""
    split = zip_longest(
        chunked(demands.items(), lambda entry: entry[0], COUNT_BYTES),
        chunked(reports, lambda report: report.key),
        chunked(rates.items(), lambda entry: entry[0]),
        fillvalue=(),
    )
    return [LeaseRequest(dict(some), tuple(done), dict(told)) for some, done, told in split]
