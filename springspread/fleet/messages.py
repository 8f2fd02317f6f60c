"""What a sender and an allocator say to each other about limits. Values only; ``wire`` turns them into lines.

Every type is encoded as an array that begins with its number (msgspec's ``array_like``), since these
messages are sent all the time: names of fields on the wire would cost more than their values. Bounds stand
in the types and are checked as a message is read. Times are milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated
from zlib import crc32

from msgspec import Meta, Struct

PROTOCOL_VERSION = 2  # version 1 was JSON objects alone
LINE_BYTES = 1 << 18  # the longest line that is read
MAX_KEYS = 4096  # in one message
MAX_KEY_CHARS = 200
MAX_MS = 1e18

Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_CHARS)]
Count = Annotated[int, Meta(ge=0, lt=1 << 62)]
Milliseconds = Annotated[float, Meta(ge=0.0, lt=MAX_MS)]
Fingerprint = Annotated[int, Meta(ge=0, lt=1 << 32)]
Fingerprints = Annotated[tuple[Fingerprint, ...], Meta(max_length=MAX_KEYS)]
Counts = Annotated[dict[Key, Count], Meta(max_length=MAX_KEYS)]


class KeyStatus(IntEnum):
    """What a sender needs before it calls a destination that a key stands for."""

    BOUND = 0  # a lease for each call
    FREE = 1  # nothing, as long as it reports its calls and hears from the allocator
    UNLIMITED = 2  # nothing at all


def fingerprint(key: str) -> int:
    """The 32 bits that stand for a key where its status is told.

    Keys with one fingerprint share a status, the strictest of them: one may need leases while its limit
    would not ask for them, which costs time and never a limit.
    """
    return crc32(key.encode())


class Register(Struct, frozen=True, array_like=True, tag=1):
    """Opens a connection. ``fleet``: the fleet that the sender belongs to; ``epoch``: its start's number."""

    version: Count
    fleet: Annotated[str, Meta(max_length=64)]
    name: Key
    epoch: Count


class LeaseReport(Struct, frozen=True, array_like=True):
    """A lease that is done with: so many calls were made against it, the last one at ``last_at``."""

    key: Key
    serial: Count
    made: Count
    last_at: Milliseconds


class LeaseRequest(Struct, frozen=True, array_like=True, tag=2):
    """How many calls wait by key, leases that are done with, and limits (calls a second) that partners told.

    A count replaces the one before; zero asks for no lease any more, and for the key's status where that
    is not known yet.
    """

    demands: Counts = {}
    reports: Annotated[tuple[LeaseReport, ...], Meta(max_length=MAX_KEYS)] = ()
    partner_rates: Annotated[dict[Key, Milliseconds], Meta(max_length=MAX_KEYS)] = {}


class UseReport(Struct, frozen=True, array_like=True, tag=3):
    """Calls made without a lease since the report before, and how many of them failed.

    ``recovered``: keys of which the sender had met only failures for a while, and was served again.
    ``sequence`` grows by one with each report of a process, so that one that comes twice counts once.
    ``age_ms``: how long before the report was sent the last of the calls was made. An empty report is a
    heartbeat.
    """

    sequence: Count
    age_ms: Milliseconds = 0.0
    calls: Counts = {}
    failed: Counts = {}
    recovered: Annotated[tuple[Key, ...], Meta(max_length=MAX_KEYS)] = ()


class Welcome(Struct, frozen=True, array_like=True, tag=4):
    """The answer to ``Register``.

    ``default``: the status of keys that the sender is told nothing of. ``complete``: the statuses that follow
    are all that differ from it; otherwise the sender keeps what it knows. ``following``: so many
    ``KeyStatuses`` come next and belong to it. They take effect together, as a key that needs leases would
    look free between them.
    """

    default: KeyStatus
    complete: bool
    following: Count = 0


class KeyStatuses(Struct, frozen=True, array_like=True, tag=5):
    """Statuses that have changed, by fingerprint, and the highest sequence of a use report that counts."""

    acknowledged: Count = 0
    bound: Fingerprints = ()
    free: Fingerprints = ()
    unlimited: Fingerprints = ()


class GrantedLease(Struct, frozen=True, array_like=True):
    """A lease of so many calls before ``until``, and the calls a second that its owner may count on."""

    key: Key
    serial: Count
    calls: Count
    until: Milliseconds
    per_s: Milliseconds


class LeaseGrants(Struct, frozen=True, array_like=True, tag=6):
    """Leases that were granted in one tick."""

    leases: Annotated[tuple[GrantedLease, ...], Meta(max_length=MAX_KEYS)]


LimitMessage = Register | LeaseRequest | UseReport | Welcome | KeyStatuses | LeaseGrants
