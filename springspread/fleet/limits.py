"""Limits (a number of calls in any span of time, and how strictly it is enforced) and leases.

Imports nothing from the rest of the program.
"""

from __future__ import annotations

from dataclasses import dataclass
from difflib import get_close_matches
from enum import Enum
from math import floor, sqrt

MAX_CALLS = 10_000_000  # of an operators' limit, as are the bounds of its span
MIN_SPAN_MS, MAX_SPAN_MS = 10.0, 600_000.0
PARTNER_SPAN_MS = 2_000.0  # the span of a limit that a partner announces as a rate
RIGHT_TTL_MS = 20.0  # from the right to a call to the last check before its first byte
HELD_UP_MS = 150.0  # for so long a sender may be held up between that check and the first byte
LAST_BYTE_HOLD_MS = 50.0  # as ``config.Limits.last_byte_hold_max_ms``
TRANSIT_MS = 5.0  # from the last byte's write to its arrival at the partner
CALL_SLACK_MS = RIGHT_TTL_MS + HELD_UP_MS + LAST_BYTE_HOLD_MS + TRANSIT_MS  # from a right to that arrival


class LimitMode(Enum):
    """How a limit is enforced."""

    EXACT = "exact"  # never exceeded: each call needs a lease
    ADAPTIVE = "adaptive"  # calls need leases only while demand is near the limit; overshoot is bounded

    @classmethod
    def named(cls, name: object) -> LimitMode:
        """The mode with this name; raises ``ValueError`` with a suggestion."""
        known = {mode.value: mode for mode in cls}
        if isinstance(name, str) and name in known:
            return known[name]
        near = get_close_matches(name, list(known), 1) if isinstance(name, str) else []
        hint = f"did you mean {near[0]}?" if near else f"there are {', '.join(known)}"
        raise ValueError(f"no such mode: {name!r}; {hint}")


@dataclass(frozen=True, slots=True)
class Limit:
    """At most ``calls`` calls in any span of ``span_ms`` milliseconds."""

    calls: int
    span_ms: float
    mode: LimitMode = LimitMode.EXACT

    @staticmethod
    def of_rate(per_s: float, span_ms: float, mode: LimitMode = LimitMode.EXACT) -> Limit:
        """A limit given as a rate, counted over a span; at least one call in it."""
        return Limit(max(floor(per_s * span_ms / 1000.0 + 1e-9), 1), span_ms, mode)

    @property
    def tolerated(self) -> float:
        """The tolerated calls in a span of an adaptive limit: N + 2 x root of N + 2."""
        return self.calls + 2.0 * sqrt(self.calls) + 2.0


Owner = tuple[str, int]
"""An instance and its epoch: each start of an instance is another owner."""


UNKNOWN_KEY = ""  # of a placeholder on record for unknown leases


@dataclass(frozen=True, slots=True)
class Lease:
    """The right of an owner to begin ``calls`` calls before ``until`` (ms)."""

    serial: int
    owner: Owner
    key: str
    calls: int
    until: float
