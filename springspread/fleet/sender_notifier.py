"""Decides what registered senders are notified of, and collects it by owner. No I/O; the time is an argument.

Theory of operation. Who is notified of a change of status depends on the fleet's default:

    default    a key unknown to a sender               who is notified of a change
    BOUND      needs a lease; a request for a key      senders that were sent another status before
               that needs none is answered with
               its status
    FREE       is free                                 every sender, by a 32-bit fingerprint, as a sender that
                                                       calls a destination once in minutes would not learn it
                                                       in time otherwise (docs/design/limits-at-scale.md)

Notifications for one sender are written together. Broadcasts to all senders are batched for
``BATCH_DELAY_MS``, as a write costs more than its content, and follow each other after
``BROADCAST_INTERVAL_MS`` at the earliest: a single binding is sent soon, and many cause only a few writes a
second to each sender.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from springspread.fleet.limits import Owner
from springspread.fleet.messages import Fingerprint, GrantedLease, KeyStatus, LimitMessage, Welcome
from springspread.fleet.outbox import Outbox

BATCH_DELAY_MS = {KeyStatus.BOUND: 50.0, KeyStatus.FREE: 1_000.0}
"""How long a broadcast of a status waits for others, unless something else is written to a sender before."""
BROADCAST_INTERVAL_MS = 250.0  # the shortest time between two broadcasts


class SenderNotifier:
    """The registered senders, the statuses that each knows, and its pending messages."""

    def __init__(self, default: KeyStatus) -> None:
        """``default``: the status of keys that a sender does not know."""
        self.default = default
        self._outboxes: dict[Owner, Outbox] = {}  # of registered owners
        self._ready: dict[Owner, None] = {}  # owners with messages to write now
        self._bound: dict[Fingerprint, None] = {}  # keys that need leases, if that is not the default
        self._informed: dict[Owner, set[Fingerprint]] = {}  # keys whose status it knows
        self._batch_delay_ms = inf  # how long the broadcast waits; inf: there is none
        self._batch_since = inf
        self._flushed_at = -inf  # when there was last a broadcast

    def registered(self, owner: Owner) -> bool:
        """Whether this start of a sender is registered."""
        return owner in self._outboxes

    def join(self, owner: Owner, *, complete: bool) -> None:
        """Register a sender in place of its earlier starts; ``complete``: as in ``Welcome``."""
        for other in [other for other in self._outboxes if other[0] == owner[0] and other != owner]:
            self.leave(other)
        self._outboxes[owner] = Outbox()
        self._welcome(owner, complete=complete)

    def leave(self, owner: Owner) -> None:
        """Remove a sender whose connection has closed."""
        self._outboxes.pop(owner, None)
        self._informed.pop(owner, None)
        self._ready.pop(owner, None)

    def _welcome(self, owner: Owner, *, complete: bool) -> None:
        self._informed[owner] = set()
        outbox = self._outboxes[owner]
        outbox.welcome = Welcome(self.default, complete)
        outbox.statuses = dict.fromkeys(self._bound, KeyStatus.BOUND)
        self._ready[owner] = None

    def reset(self, default: KeyStatus) -> None:
        """Change the default, which invalidates what senders know; call ``welcome_all`` next."""
        self.default = default
        self._bound, self._informed = {}, {}

    def welcome_all(self, bound: Iterable[Fingerprint]) -> None:
        """Send every sender a new welcome and the keys that need leases."""
        self._bound = dict.fromkeys(bound)
        for owner in self._outboxes:
            self._welcome(owner, complete=True)

    def anybody_knows(self, fingerprint: Fingerprint) -> bool:
        """Whether any sender knows a status of this fingerprint other than the default."""
        return any(fingerprint in known for known in self._informed.values())

    def status_changed(self, fingerprint: Fingerprint, before: KeyStatus, status: KeyStatus) -> None:
        """Notify senders of the status of a fingerprint if it has changed."""
        if status is before and (status is not KeyStatus.BOUND or fingerprint in self._bound):
            return
        if self.default is KeyStatus.FREE:
            self._broadcast(fingerprint, status)
            return
        for owner, known in self._informed.items():
            if fingerprint in known:
                self._notify(owner, fingerprint, status)
                if status is KeyStatus.BOUND:
                    known.discard(fingerprint)

    def _broadcast(self, fingerprint: Fingerprint, status: KeyStatus) -> None:
        was_bound = fingerprint in self._bound
        if status is KeyStatus.BOUND:
            self._bound[fingerprint] = None
        else:
            self._bound.pop(fingerprint, None)
        if was_bound is not (status is KeyStatus.BOUND):
            for outbox in self._outboxes.values():
                outbox.statuses[fingerprint] = status
            self._batch_delay_ms = min(self._batch_delay_ms, BATCH_DELAY_MS[status])

    def _notify(self, owner: Owner, fingerprint: Fingerprint, status: KeyStatus) -> None:
        if (outbox := self._outboxes.get(owner)) is not None:
            outbox.statuses[fingerprint] = status
            self._ready[owner] = None

    def answer(self, owner: Owner, fingerprint: Fingerprint, status: KeyStatus, *, waits: bool) -> None:
        """Answer a request for a key that needs no lease; ``waits``: a call waits for the answer."""
        if self.default is KeyStatus.BOUND:
            if waits or fingerprint not in self._informed[owner]:
                self._informed[owner].add(fingerprint)
                self._notify(owner, fingerprint, status)
        elif waits:
            self._notify(owner, fingerprint, status)

    def acknowledge(self, owner: Owner, sequence: int) -> None:
        """Acknowledge the use reports of a sender up to a sequence."""
        outbox = self._outboxes[owner]
        outbox.acknowledged = max(outbox.acknowledged, sequence)
        self._ready[owner] = None

    def grant(self, owner: Owner, lease: GrantedLease) -> None:
        """Send a recorded lease to its owner."""
        if (outbox := self._outboxes.get(owner)) is not None:
            outbox.leases.append(lease)
            self._ready[owner] = None

    def tick(self, now: float) -> None:
        """Start or flush the batch of broadcasts as due."""
        if self._batch_delay_ms < inf:
            self._batch_since = min(self._batch_since, now)
        if now >= self._flush_at:
            self.flush(now)

    @property
    def _flush_at(self) -> float:
        return max(self._batch_since + self._batch_delay_ms, self._flushed_at + BROADCAST_INTERVAL_MS)

    def flush(self, now: float) -> None:
        """Send all batched broadcasts."""
        self._flushed_at = now
        self._batch_delay_ms = self._batch_since = inf
        for owner, outbox in self._outboxes.items():
            if outbox.statuses:
                self._ready[owner] = None

    def take_messages(self) -> dict[Owner, list[LimitMessage]]:
        """The messages to write now, by owner; those of one owner go into one write."""
        messages = {}
        for owner in self._ready:
            messages[owner] = self._outboxes[owner].messages()
            self._outboxes[owner] = Outbox()
        self._ready = {}
        return messages

    @property
    def next_at(self) -> float:
        """When ``tick`` has to be called next; inf: not at all."""
        batch_not_started = self._batch_delay_ms < inf and self._batch_since == inf
        return -inf if batch_not_started else self._flush_at
