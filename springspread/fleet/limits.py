"""What a limit is: a number of calls in any span of time, and how strictly it is kept; what a lease is.

Values only: no I/O, no clock, and no import from the rest of the program.
"""

from __future__ import annotations

from dataclasses import dataclass
from difflib import get_close_matches
from enum import Enum
from math import floor, sqrt

MAX_CALLS = 10_000_000  # of an operators' limit, and the spans that it may have
MIN_SPAN_MS, MAX_SPAN_MS = 10.0, 600_000.0
PARTNER_SPAN_MS = 2_000.0  # a limit that a partner tells as a rate is counted over this


class LimitMode(Enum):
    """How a limit is kept."""

    EXACT = "exact"  # never exceeded: each call is begun against a lease
    ADAPTIVE = "adaptive"  # leases only while demand is near the limit; the overshoot is bounded

    @classmethod
    def named(cls, name: object) -> LimitMode:
        """The mode with this name; raises ``ValueError`` with the nearest one that there is."""
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
        """The calls of a span up to which an adaptive limit may be overshot: N + 2 x root of N + 2."""
        return self.calls + 2.0 * sqrt(self.calls) + 2.0


Owner = tuple[str, int]
"""An instance and its epoch: each start of an instance is another owner."""


UNKNOWN_KEY = ""  # of a lease that stands on record for those that were lost from it


@dataclass(frozen=True, slots=True)
class Lease:
    """The right of one owner to begin so many calls before ``until`` (ms)."""

    serial: int
    owner: Owner
    key: str
    calls: int
    until: float
