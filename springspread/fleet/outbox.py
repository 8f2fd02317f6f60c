"""Collects the messages to one sender until they are written. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec.structs import replace

from springspread.fleet.chunking import chunked
from springspread.fleet.messages import (
    MAX_KEYS,
    Fingerprint,
    GrantedLease,
    KeyStatus,
    KeyStatuses,
    LeaseGrants,
    LimitMessage,
    Welcome,
)


@dataclass(slots=True)
class Outbox:
    """The pending messages to one sender."""

    welcome: Welcome | None = None
    acknowledged: int = 0
    statuses: dict[Fingerprint, KeyStatus] = field(default_factory=dict)
    leases: list[GrantedLease] = field(default_factory=list)

    def messages(self) -> list[LimitMessage]:
        """The messages, in the order in which they have to be read."""
        statuses = self._status_messages()
        messages: list[LimitMessage] = []
        if self.welcome is not None:
            messages.append(replace(self.welcome, following=len(statuses)))
        messages += statuses
        messages += [LeaseGrants(tuple(leases)) for leases in chunked(self.leases, lambda lease: lease.key)]
        return messages

    def _status_messages(self) -> list[KeyStatuses]:
        by_status: dict[KeyStatus, list[Fingerprint]] = {status: [] for status in KeyStatus}
        for fingerprint, status in self.statuses.items():
            by_status[status].append(fingerprint)
        count = max(max(map(len, by_status.values())), 1 if self.acknowledged else 0)
        messages = []
        for start in range(0, count, MAX_KEYS):
            part = {status: tuple(group[start : start + MAX_KEYS]) for status, group in by_status.items()}
            last = start + MAX_KEYS >= count
            messages.append(
                KeyStatuses(
                    # With the last statuses only, as it extends the right to make free calls.
                    self.acknowledged if last else 0,
                    part[KeyStatus.BOUND],
                    part[KeyStatus.FREE],
                    part[KeyStatus.UNLIMITED],
                )
            )
        return messages
