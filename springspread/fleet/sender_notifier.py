"""What registered senders are told, gathered by owner until it is written. No I/O, time handed in.

Theory of operation. Who is told of a change of status follows from the fleet's default:

    default    a key that a sender knows nothing of   who is told of a change
    BOUND      needs a lease; the answer to a request  senders that were told another status before
               for one that does not is its status
    FREE       is free                                 every sender, by a 32-bit fingerprint, as with one call
                                                       a sender and destination in minutes nobody would know
                                                       in time otherwise (docs/design/limits-at-scale.md)

A sender's news go out in one write with whatever it is told next. News for every sender wait for more of
them (``BATCH_DELAY_MS``), as each write costs more than what it says, and follow the ones before after
``BROADCAST_INTERVAL_MS``: a binding that comes alone is told soon, and of many at once each sender gets
a few writes a second.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from springspread.fleet.limits import Owner
from springspread.fleet.messages import Fingerprint, GrantedLease, KeyStatus, LimitMessage, Welcome
from springspread.fleet.outbox import Outbox

BATCH_DELAY_MS = {KeyStatus.BOUND: 50.0, KeyStatus.FREE: 1_000.0}
"""So long news for every sender wait for more of them, where nothing else goes out to it before."""
BROADCAST_INTERVAL_MS = 250.0  # the least between two of these writes


class SenderNotifier:
    """The senders that are registered, what each knows, and what each is to be told."""

    def __init__(self, default: KeyStatus) -> None:
        """``default``: the status of keys that a sender is told nothing of."""
        self.default = default
        self._outboxes: dict[Owner, Outbox] = {}  # of registered owners
        self._ready: dict[Owner, None] = {}  # those whose news go out at the next chance
        self._bound: dict[Fingerprint, None] = {}  # limits that need leases, where that is not the default
        self._informed: dict[Owner, set[Fingerprint]] = {}  # of which it knows a status but the default
        self._gather_ms = inf  # how long the news for every sender wait; inf: there are none
        self._gather_since = inf
        self._sent_at = -inf  # when news for every sender last went out

    def registered(self, owner: Owner) -> bool:
        """Whether this start of a sender is registered."""
        return owner in self._outboxes

    def join(self, owner: Owner, *, complete: bool) -> None:
        """A sender registers, in place of earlier starts of it; ``complete``: as in ``Welcome``."""
        for other in [other for other in self._outboxes if other[0] == owner[0] and other != owner]:
            self.leave(other)
        self._outboxes[owner] = Outbox()
        self._welcome(owner, complete=complete)

    def leave(self, owner: Owner) -> None:
        """Its connection is over."""
        self._outboxes.pop(owner, None)
        self._informed.pop(owner, None)
        self._ready.pop(owner, None)

    def _welcome(self, owner: Owner, *, complete: bool) -> None:
        self._informed[owner] = set()
        outbox = self._outboxes[owner]
        outbox.welcome = Welcome(self.default, complete)
        outbox.statuses = dict.fromkeys(self._bound, KeyStatus.BOUND)
        self._ready[owner] = None

    def forget(self, default: KeyStatus) -> None:
        """Another default holds: what senders know says nothing any more. ``welcome_all`` follows."""
        self.default = default
        self._bound, self._informed = {}, {}

    def welcome_all(self, bound: Iterable[Fingerprint]) -> None:
        """Begin anew with every sender, under the default that holds now."""
        self._bound = dict.fromkeys(bound)
        for owner in self._outboxes:
            self._welcome(owner, complete=True)

    def anybody_knows(self, one: Fingerprint) -> bool:
        """Whether any sender was told a status of these keys that is not the default."""
        return any(one in known for known in self._informed.values())

    def status_changed(self, one: Fingerprint, before: KeyStatus, status: KeyStatus) -> None:
        """Keys with this fingerprint have another status, or may have: only changes are told."""
        if status is before and (status is not KeyStatus.BOUND or one in self._bound):
            return
        if self.default is KeyStatus.FREE:
            self._broadcast(one, status)
            return
        for owner, known in self._informed.items():
            if one in known:
                self._tell(owner, one, status)
                if status is KeyStatus.BOUND:
                    known.discard(one)

    def _broadcast(self, one: Fingerprint, status: KeyStatus) -> None:
        known = one in self._bound
        if status is KeyStatus.BOUND:
            self._bound[one] = None
        else:
            self._bound.pop(one, None)
        if known is not (status is KeyStatus.BOUND):
            for outbox in self._outboxes.values():
                outbox.statuses[one] = status
            self._gather_ms = min(self._gather_ms, BATCH_DELAY_MS[status])

    def _tell(self, owner: Owner, one: Fingerprint, status: KeyStatus) -> None:
        if (outbox := self._outboxes.get(owner)) is not None:
            outbox.statuses[one] = status
            self._ready[owner] = None

    def answer(self, owner: Owner, one: Fingerprint, status: KeyStatus, *, waits: bool) -> None:
        """A sender asked for a key that needs no lease; ``waits``: for a call, not ahead of any."""
        if self.default is KeyStatus.BOUND:
            if waits or one not in self._informed[owner]:
                self._informed[owner].add(one)
                self._tell(owner, one, status)
        elif waits:
            self._tell(owner, one, status)

    def acknowledge(self, owner: Owner, sequence: int) -> None:
        """Use reports of a sender count, up to this one."""
        outbox = self._outboxes[owner]
        outbox.acknowledged = max(outbox.acknowledged, sequence)
        self._ready[owner] = None

    def grant(self, owner: Owner, lease: GrantedLease) -> None:
        """A lease is on record."""
        if (outbox := self._outboxes.get(owner)) is not None:
            outbox.leases.append(lease)
            self._ready[owner] = None

    def tick(self, now: float) -> None:
        """Time goes on: what was gathered for long enough goes out."""
        if self._gather_ms < inf:
            self._gather_since = min(self._gather_since, now)
        if now >= self._gathered_until:
            self.send_gathered(now)

    @property
    def _gathered_until(self) -> float:
        return max(self._gather_since + self._gather_ms, self._sent_at + BROADCAST_INTERVAL_MS)

    def send_gathered(self, now: float) -> None:
        """Gather no longer."""
        self._sent_at = now
        self._gather_ms = self._gather_since = inf
        for owner, outbox in self._outboxes.items():
            if outbox.statuses:
                self._ready[owner] = None

    def take_messages(self) -> dict[Owner, list[LimitMessage]]:
        """What is to be written now, by owner; each owner's in one write."""
        made = {}
        for owner in self._ready:
            made[owner] = self._outboxes[owner].messages()
            self._outboxes[owner] = Outbox()
        self._ready = {}
        return made

    @property
    def next_at(self) -> float:
        """When ``tick`` has to be called; inf: not at all."""
        untimed = self._gather_ms < inf and self._gather_since == inf
        return -inf if untimed else self._gathered_until
