"""Messages about limits between a sender and an allocator. ``wire`` encodes them as lines.

Every type is encoded as an array that begins with its tag (msgspec's ``array_like``): these messages are
frequent, and field names would take more space than the values. Decoding checks the bounds given in the
types. Times are milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated
from zlib import crc32

from msgspec import Meta, Struct

PROTOCOL_VERSION = 2  # version 1 used JSON objects for all messages
LINE_BYTES = 1 << 18  # the longest line that is accepted
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
    """What a sender needs before it calls a destination."""

    BOUND = 0  # a lease for each call
    FREE = 1  # no lease, as long as the allocator acknowledges the reports of its calls
    UNLIMITED = 2  # nothing


def fingerprint(key: str) -> int:
    """The 32-bit hash that identifies a key in messages about statuses.

    Keys with the same fingerprint share the strictest of their statuses: one may need leases although its
    limit is free, which costs time and never exceeds a limit.
    """
    return crc32(key.encode())


class Register(Struct, frozen=True, array_like=True, tag=1):
    """Opens a connection. ``fleet``: the fleet's identifier; ``epoch``: the number of the sender's start."""

    version: Count
    fleet: Annotated[str, Meta(max_length=64)]
    name: Key
    epoch: Count


class LeaseReport(Struct, frozen=True, array_like=True):
    """A finished lease: ``made`` calls were made against it, the last one at ``last_at``."""

    key: Key
    serial: Count
    made: Count
    last_at: Milliseconds


class LeaseRequest(Struct, frozen=True, array_like=True, tag=2):
    """Waiting calls by key, finished leases, and limits (calls per second) that partners announced.

    A demand replaces the earlier one. Zero withdraws it, and requests the key's status if it is unknown.
    """

    demands: Counts = {}
    reports: Annotated[tuple[LeaseReport, ...], Meta(max_length=MAX_KEYS)] = ()
    partner_rates: Annotated[dict[Key, Milliseconds], Meta(max_length=MAX_KEYS)] = {}


class UseReport(Struct, frozen=True, array_like=True, tag=3):
    """Calls made without a lease since the previous report, and how many failed. If empty, a heartbeat.

    ``sequence`` grows by one with each report of a process, so that duplicates are detected.
    ``age_ms``: the time from the last of the calls to the sending of the report.
    ``recovered``: keys that had a success after only failures.
    """

    sequence: Count
    age_ms: Milliseconds = 0.0
    calls: Counts = {}
    failed: Counts = {}
    recovered: Annotated[tuple[Key, ...], Meta(max_length=MAX_KEYS)] = ()


class Welcome(Struct, frozen=True, array_like=True, tag=4):
    """The answer to ``Register``.

    ``default``: the status of keys that are sent no other. ``complete``: the statuses that follow are all
    that differ from it; otherwise the sender keeps those that it knows. ``following``: the number of
    ``KeyStatuses`` that come next and take effect together with it, as a key that needs leases would look
    free between them.
    """

    default: KeyStatus
    complete: bool
    following: Count = 0


class KeyStatuses(Struct, frozen=True, array_like=True, tag=5):
    """Changed statuses by fingerprint, and the highest acknowledged sequence of a use report."""

    acknowledged: Count = 0
    bound: Fingerprints = ()
    free: Fingerprints = ()
    unlimited: Fingerprints = ()


class GrantedLease(Struct, frozen=True, array_like=True):
    """A lease of ``calls`` calls before ``until``, and the calls per second that its owner can expect."""

    key: Key
    serial: Count
    calls: Count
    until: Milliseconds
    per_s: Milliseconds


class LeaseGrants(Struct, frozen=True, array_like=True, tag=6):
    """The leases granted to a sender in one tick."""

    leases: Annotated[tuple[GrantedLease, ...], Meta(max_length=MAX_KEYS)]


LimitMessage = Register | LeaseRequest | UseReport | Welcome | KeyStatuses | LeaseGrants
