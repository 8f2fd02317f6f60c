"""What one sender is to be told, gathered until it is written. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec.structs import replace

from springspread.fleet.chunking import parts
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
    """What one sender is to be told."""

    welcome: Welcome | None = None
    acknowledged: int = 0
    statuses: dict[Fingerprint, KeyStatus] = field(default_factory=dict)
    leases: list[GrantedLease] = field(default_factory=list)

    def messages(self) -> list[LimitMessage]:
        """In the order in which they are to be read."""
        statuses = self._status_messages()
        made: list[LimitMessage] = []
        if self.welcome is not None:
            made.append(replace(self.welcome, following=len(statuses)))
        made += statuses
        made += [LeaseGrants(tuple(leases)) for leases in parts(self.leases, lambda lease: lease.key)]
        return made

    def _status_messages(self) -> list[KeyStatuses]:
        by_status: dict[KeyStatus, list[Fingerprint]] = {status: [] for status in KeyStatus}
        for one, status in self.statuses.items():
            by_status[status].append(one)
        count = max(max(map(len, by_status.values())), 1 if self.acknowledged else 0)
        made = []
        for start in range(0, count, MAX_KEYS):
            part = {status: tuple(ones[start : start + MAX_KEYS]) for status, ones in by_status.items()}
            last = start + MAX_KEYS >= count
            made.append(
                KeyStatuses(
                    # Behind all statuses: it extends the right to free calls.
                    self.acknowledged if last else 0,
                    part[KeyStatus.BOUND],
                    part[KeyStatus.FREE],
                    part[KeyStatus.UNLIMITED],
                )
            )
        return made
