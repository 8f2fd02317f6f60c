"""The last check before a call's first byte: retry-after waits, drains, cancellations, leases, policies."""

from __future__ import annotations

import threading
from enum import Enum
from math import inf
from typing import NamedTuple

from springspread.core.clock import SYSTEM, Clock
from springspread.core.journal import Journal
from springspread.core.journal_ownership import OwnedJournals
from springspread.core.list_index import ListIndex
from springspread.core.types import Call, Endpoint, EndpointState, ListUpdate, Result, Shares
from springspread.core.watch import NEVER_OUTDATED


class WithheldReason(Enum):
    """Why a call that was decided on is not sent."""

    RETRY_AFTER = "retry after"  # its endpoint asked for a wait
    LEAVING = "leaving"  # its endpoint is draining or gone
    ADDRESS_LOST = "address lost"  # another endpoint is listed where its connection goes
    LIST_OUTDATED = "list outdated"  # later changes count as notified
    CANCELLED = "cancelled"
    LATE = "late"  # its deadline has passed
    STOPPING = "stopping"  # the process is shutting down
    WITHDRAWN = "withdrawn"  # its client left before the attempt was recorded
    UNRECORDED = "unrecorded"  # the attempt could not be recorded
    NO_LEASE = "no lease"
    OTHER_POLICY = "other policy"


class Refusal(NamedTuple):
    """A call that may not be sent: how its attempts end, and the rest of its endpoint's retry-after (ms)."""

    result: Result
    wait_ms: float
    reason: WithheldReason


def _not_sent(reason: WithheldReason) -> Refusal:
    return Refusal(Result.NOT_SENT, 0.0, reason)


class Clearance:
    """Safe from any thread: asked by the threads that write calls, updated by them and by the loop."""

    def __init__(
        self,
        journal: Journal | OwnedJournals,
        grace_ms: float,
        clock: Clock = SYSTEM,
        shares: Shares | None = None,
    ) -> None:
        self._journal, self._grace_ms, self._clock, self._shares = journal, grace_ms, clock, shares
        self._lock = threading.Lock()
        self._retry_after: dict[tuple[int, int], float] = {}
        self._stopped = False
        self._unapplied: list[tuple[ListUpdate, ListIndex]] = []  # read, and not yet applied by the loop
        self._outdated_period = NEVER_OUTDATED
        self._shared_backoff = journal.shared_backoff if isinstance(journal, OwnedJournals) else None

    def set_retry_after(self, endpoint: Endpoint, wait_ms: float) -> None:
        """Apply an endpoint's retry-after at once, before the loop has handled the answer."""
        with self._lock:
            now = self._clock.now()
            until = max(now + wait_ms, self._retry_after.get(endpoint.retry_after_key, 0.0))
            self._retry_after = {key: end for key, end in self._retry_after.items() if end > now}
            self._retry_after[endpoint.retry_after_key] = until
        if self._shared_backoff is not None and wait_ms > 0.0:
            self._shared_backoff.publish(endpoint.retry_after_name, until, now)

    def retry_after_left_ms(self, endpoint: Endpoint) -> float:
        """How much of an endpoint's retry-after is left."""
        now = self._clock.now()
        other = (
            0.0
            if self._shared_backoff is None
            else self._shared_backoff.blocked_until(endpoint.retry_after_name, now)
        )
        with self._lock:
            return max(self._retry_after.get(endpoint.retry_after_key, 0.0) - now, other - now, 0.0)

    def set_state(self, endpoint: Endpoint, state: EndpointState, notified_at: float) -> None:
        """Set an endpoint's state; a drain counts from its first notification."""
        with self._lock:
            endpoint.state = state
            ready = state is EndpointState.READY
            endpoint.leaving_at = inf if ready else min(endpoint.leaving_at, notified_at)

    def set_address_lost(self, endpoint: Endpoint) -> None:
        """Another endpoint is listed at an endpoint's address, until the endpoint itself is listed again."""
        with self._lock:
            endpoint.address_lost = True

    def received(self, update: ListUpdate) -> None:
        """Apply a list update, or a failure to get one, before the loop has handled it."""
        index = ListIndex(update)
        with self._lock:
            self._outdated_period = update.outdated_period
            self._unapplied.append((update, index))

    def applied(self, update: ListUpdate) -> None:
        """The loop has applied an update."""
        with self._lock:
            self._unapplied = [one for one in self._unapplied if one[0] is not update]

    def _leaving_at(self, endpoint: Endpoint) -> float:
        removed_at = [update.notified_at for update, index in self._unapplied if index.removes(endpoint)]
        return min([endpoint.leaving_at, *removed_at])

    def _is_address_lost(self, call: Call) -> bool:
        endpoint = call.endpoint
        address = call.address or (endpoint.host, endpoint.port)
        if endpoint.address_lost or address != (endpoint.host, endpoint.port):
            return True
        return any(index.takes_address(endpoint, address) for _, index in self._unapplied)

    def may_finish(self, call: Call) -> bool:
        """Whether the last byte of a call may still be written."""
        if call.cancelled.is_set() or self.retry_after_left_ms(call.endpoint) > 0.0:
            return False
        with self._lock:
            return not self._is_address_lost(call)

    def stop(self) -> None:
        """Refuse all calls from now on: the process is shutting down."""
        with self._lock:
            self._stopped = True

    def check(self, call: Call) -> Refusal | None:
        """Why a call may not be sent now; ``None``: it may, and its attempts are recorded as begun."""
        # First, as these may block: the checks below see what changed meanwhile.
        shares = self._shares
        if shares is not None and not shares.wait_for_policy(call.policy):
            return _not_sent(WithheldReason.OTHER_POLICY)
        lease_until = inf if shares is None else shares.acquire(call.endpoint)
        if (refused := self._find_refusal(call, lease_until)) is not None:
            return refused
        try:
            for attempt in call.attempts:
                # Where the client leaves at the same moment, the first record in the journal wins.
                if not self._journal.record_begun(attempt.number, attempt.index):
                    return _not_sent(WithheldReason.WITHDRAWN)
            if call.once:  # the record must outlast a power loss
                self._journal.wait_synced()
        except OSError:  # not recorded, so it may not be sent
            return _not_sent(WithheldReason.UNRECORDED)
        if shares is not None and self._clock.now() >= lease_until:
            # The lease expired while the call was delayed, by a slow disk or a frozen process.
            lease_until = shares.acquire(call.endpoint)
        # A drain or a retry-after may have come while the record was written.
        if (refused := self._find_refusal(call, lease_until)) is not None:
            return refused
        if shares is None:
            return None
        # Last, as this process may have been frozen until now while the policy changed.
        if not shares.may_begin(call.policy):
            return _not_sent(WithheldReason.OTHER_POLICY)
        return _not_sent(WithheldReason.NO_LEASE) if self._clock.now() >= lease_until else None

    def _find_refusal(self, call: Call, lease_until: float) -> Refusal | None:
        """Check what may have changed while the call was blocked."""
        if lease_until <= 0.0:
            return _not_sent(WithheldReason.NO_LEASE)
        if call.cancelled.is_set():
            return Refusal(Result.CANCELLED, 0.0, WithheldReason.CANCELLED)
        if call.attempts and self._clock.now() >= call.until:
            return _not_sent(WithheldReason.LATE)  # its connection was ready only after its deadline
        # A call that was queued before the endpoint asked for a wait must not go out during it.
        wait = self.retry_after_left_ms(call.endpoint)
        if wait > 0.0:
            return Refusal(Result.REJECTED, wait, WithheldReason.RETRY_AFTER)
        with self._lock:
            if self._stopped:
                return _not_sent(WithheldReason.STOPPING)
            if self._is_address_lost(call):
                return _not_sent(WithheldReason.ADDRESS_LOST)  # no grace: it would reach another endpoint
            # The call may still have been opening its connection when the drain was notified.
            now = self._clock.now()
            if now > self._leaving_at(call.endpoint) + self._grace_ms:
                return _not_sent(WithheldReason.LEAVING)
            # A drain that this sender has not read may count as notified.
            if self._outdated_period.contains(now, self._grace_ms):
                return _not_sent(WithheldReason.LIST_OUTDATED)
        return None
