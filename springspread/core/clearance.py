"""The last look before a call's first byte: told waits, drains and cancellations that came meanwhile."""

from __future__ import annotations

import threading
from enum import Enum
from math import inf
from typing import NamedTuple

from springspread.core.clock import SYSTEM, Clock
from springspread.core.journal import Journal
from springspread.core.journal_ownership import OwnedJournals
from springspread.core.list_index import ListIndex
from springspread.core.types import Call, Endpoint, EndpointState, ListNews, Result, Shares
from springspread.core.watch import NO_LAPSE


class Withheld(Enum):
    """Why a call that was decided may not go out."""

    RETRY_AFTER = "retry after"  # its endpoint told a wait
    LEAVING = "leaving"  # its endpoint drains or is gone
    LIST_OUTDATED = "list outdated"  # what the list lacks counts as notified
    CANCELLED = "cancelled"
    LATE = "late"  # its time is up
    STOPPING = "stopping"  # the process is about to end
    WITHDRAWN = "withdrawn"  # its client left before the attempt was on record
    UNRECORDED = "unrecorded"  # the attempt could not be put on record
    NO_LEASE = "no lease"
    OTHER_POLICY = "other policy"


class Refusal(NamedTuple):
    """A call that may not go out: what its attempts end in, and the rest of a told wait (ms)."""

    result: Result
    wait_ms: float
    reason: Withheld


def _not_sent(reason: Withheld) -> Refusal:
    return Refusal(Result.NOT_SENT, 0.0, reason)


class Clearance:
    """Asked by the threads that write; fed by them and by the loop."""

    def __init__(
        self,
        journal: Journal | OwnedJournals,
        grace_ms: float,
        clock: Clock = SYSTEM,
        shares: Shares | None = None,
    ) -> None:
        self._journal, self._grace, self._clock, self._shares = journal, grace_ms, clock, shares
        self._lock = threading.Lock()
        self._bars: dict[tuple[int, int], float] = {}
        self._stopped = False
        self._unapplied: list[tuple[ListNews, ListIndex]] = []  # read, and not in force yet
        self._lapse = NO_LAPSE
        self._board = journal.shared_backoff if isinstance(journal, OwnedJournals) else None

    def bar(self, endpoint: Endpoint, wait_ms: float) -> None:
        """An endpoint told a wait; it binds at once, before the loop has heard of it."""
        with self._lock:
            now = self._clock.now()
            until = max(now + wait_ms, self._bars.get(endpoint.bar_key, 0.0))
            self._bars = {key: end for key, end in self._bars.items() if end > now}  # of those long gone, too
            self._bars[endpoint.bar_key] = until
        if self._board is not None and wait_ms > 0.0:
            self._board.publish(endpoint.bar_name, until, now)

    def barred_ms(self, endpoint: Endpoint) -> float:
        """How long a told wait still bars an endpoint."""
        now = self._clock.now()
        other = 0.0 if self._board is None else self._board.blocked_until(endpoint.bar_name, now)
        with self._lock:
            return max(self._bars.get(endpoint.bar_key, 0.0) - now, other - now, 0.0)

    def leaving(self, endpoint: Endpoint, state: EndpointState, notified_at: float) -> None:
        """Note what discovery says of an endpoint; a drain counts from when it was first told."""
        with self._lock:
            endpoint.state = state
            ready = state is EndpointState.READY
            endpoint.leaving_at = inf if ready else min(endpoint.leaving_at, notified_at)

    def received(self, news: ListNews) -> None:
        """Note news of the list, or a failure to get it: it binds before the loop has heard of it."""
        index = ListIndex(news)
        with self._lock:
            self._lapse = news.lapse
            self._unapplied.append((news, index))

    def applied(self, news: ListNews) -> None:
        """The loop has put news in force."""
        with self._lock:
            self._unapplied = [one for one in self._unapplied if one[0] is not news]

    def _leaving_at(self, endpoint: Endpoint) -> float:
        taken_away = [news.notified_at for news, index in self._unapplied if index.takes_away(endpoint)]
        return min([endpoint.leaving_at, *taken_away])

    def stop(self) -> None:
        """Clear nothing from now on: the process is about to end."""
        with self._lock:
            self._stopped = True

    def refuses(self, call: Call) -> Refusal | None:
        """Why a call may not go out now, with the rest of the wait; else it is journalled as begun."""
        # First, as these may wait: whatever came meanwhile is looked at after them.
        shares = self._shares
        if shares is not None and not shares.enter(call.policy):
            return _not_sent(Withheld.OTHER_POLICY)
        right = inf if shares is None else shares.acquire(call.endpoint)
        if (refused := self._look(call, right)) is not None:
            return refused
        try:
            for run in call.attempts:
                # Guards against a client that leaves in this moment: what the journal takes in first holds.
                if not self._journal.record_begun(run.number, run.nth):
                    return _not_sent(Withheld.WITHDRAWN)
            if call.once:  # guards rule 2 over a power loss
                self._journal.wait_synced()
        except OSError:  # not on record, so it may not go out
            return _not_sent(Withheld.UNRECORDED)
        if shares is not None and self._clock.now() >= right:
            # Guards the limit against a call that was held up since it got its right (by a slow disk, a full
            # machine, a freeze): the right has been counted as used and is over by now.
            right = shares.acquire(call.endpoint)
        # Guards drains and told waits that came while the record was written.
        if (refused := self._look(call, right)) is not None:
            return refused
        if shares is None:
            return None
        # Last: guards against a mixture of policies, also where this process was frozen until just now.
        if not shares.may(call.policy):
            return _not_sent(Withheld.OTHER_POLICY)
        return _not_sent(Withheld.NO_LEASE) if self._clock.now() >= right else None

    def _look(self, call: Call, right: float) -> Refusal | None:
        """What has come up against a call, after anything that may wait."""
        if right <= 0.0:
            return _not_sent(Withheld.NO_LEASE)
        if call.cancelled.is_set():
            return Refusal(Result.CANCELLED, 0.0, Withheld.CANCELLED)
        if call.attempts and self._clock.now() >= call.until:
            return _not_sent(Withheld.LATE)  # its connection came up, or was free, after its time
        # Guards rule 5: a call queued before a wait was told must not slip out after it.
        wait = self.barred_ms(call.endpoint)
        if wait > 0.0:
            return Refusal(Result.REJECTED, wait, Withheld.RETRY_AFTER)
        with self._lock:
            if self._stopped:
                return _not_sent(Withheld.STOPPING)
            # Guards rule 3: a call that was still opening its connection when the drain was told.
            now = self._clock.now()
            if now > self._leaving_at(call.endpoint) + self._grace:
                return _not_sent(Withheld.LEAVING)
            # Guards the same against a drain that this sender has not read and counts as notified of.
            if self._lapse.holds(now, self._grace):
                return _not_sent(Withheld.LIST_OUTDATED)
        return None
