"""The last look before a call's first byte: told waits, drains and cancellations that came meanwhile."""

from __future__ import annotations

import threading
from math import inf

from springspread.core.clock import SYSTEM, Clock
from springspread.core.journal import Journal
from springspread.core.lanes import Lanes
from springspread.core.types import Call, Endpoint, EndpointState, Result, Shares


class Clearance:
    """Asked by the threads that write; fed by them and by the loop."""

    def __init__(
        self, journal: Journal | Lanes, grace_ms: float, clock: Clock = SYSTEM, shares: Shares | None = None
    ) -> None:
        self._journal, self._grace, self._clock, self._shares = journal, grace_ms, clock, shares
        self._lock = threading.Lock()
        self._bars: dict[tuple[int, int], float] = {}
        self._stopped = False
        self._board = journal.board if isinstance(journal, Lanes) else None

    def bar(self, endpoint: Endpoint, wait_ms: float) -> None:
        """An endpoint told a wait; it binds at once, before the loop has heard of it."""
        with self._lock:
            now = self._clock.now()
            until = max(now + wait_ms, self._bars.get(endpoint.bar_key, 0.0))
            self._bars = {key: end for key, end in self._bars.items() if end > now}  # of those long gone, too
            self._bars[endpoint.bar_key] = until
        if self._board is not None and wait_ms > 0.0:
            self._board.tell(endpoint.bar_name, until, now)

    def barred_ms(self, endpoint: Endpoint) -> float:
        """How long a told wait still bars an endpoint."""
        now = self._clock.now()
        other = 0.0 if self._board is None else self._board.until(endpoint.bar_name, now)
        with self._lock:
            return max(self._bars.get(endpoint.bar_key, 0.0) - now, other - now, 0.0)

    def leaving(self, endpoint: Endpoint, state: EndpointState, told_at: float) -> None:
        """Note what discovery says of an endpoint; a drain counts from when it was first told."""
        with self._lock:
            endpoint.state = state
            ready = state is EndpointState.READY
            endpoint.leaving_at = inf if ready else min(endpoint.leaving_at, told_at)

    def stop(self) -> None:
        """Clear nothing from now on: the process is about to end."""
        with self._lock:
            self._stopped = True

    def refuses(self, call: Call) -> tuple[Result, float] | None:
        """Why a call may not go out now, with the rest of the wait; else it is journalled as begun."""
        # First, as these may wait: whatever came meanwhile is looked at after them.
        shares = self._shares
        if shares is not None and not shares.enter(call.policy):
            return Result.NOT_SENT, 0.0
        right = inf if shares is None else shares.acquire(call.endpoint)
        if (refused := self._look(call, right)) is not None:
            return refused
        try:
            for run in call.attempts:
                # Guards against a client that leaves in this moment: what the journal takes in first holds.
                if not self._journal.begun(run.number, run.nth):
                    return Result.NOT_SENT, 0.0
            if call.once:  # guards rule 2 over a power loss
                self._journal.settle()
        except OSError:  # not on record, so it may not go out
            return Result.NOT_SENT, 0.0
        if shares is None:
            return None
        if self._clock.now() >= right:
            # Guards the limit against a call that was held up since it got its right (by a slow disk, a full
            # machine, a freeze): the right has been counted as used and is over by now.
            right = shares.acquire(call.endpoint)
            if (refused := self._look(call, right)) is not None:
                return refused
        # Last: guards against a mixture of policies, also where this process was frozen until just now.
        if not shares.may(call.policy) or self._clock.now() >= right:
            return Result.NOT_SENT, 0.0
        return None

    def _look(self, call: Call, right: float) -> tuple[Result, float] | None:
        """What has come up against a call, after anything that may wait."""
        if right <= 0.0:
            return Result.NOT_SENT, 0.0
        if call.cancelled.is_set():
            return Result.CANCELLED, 0.0
        if call.attempts and self._clock.now() >= call.until:
            return Result.NOT_SENT, 0.0  # its connection came up, or was free, after its time
        # Guards rule 5: a call queued before a wait was told must not slip out after it.
        wait = self.barred_ms(call.endpoint)
        if wait > 0.0:
            return Result.REJECTED, wait
        with self._lock:
            # Guards rule 3: a call that was still opening its connection when the drain was told.
            if self._stopped or self._clock.now() > call.endpoint.leaving_at + self._grace:
                return Result.NOT_SENT, 0.0
        return None
