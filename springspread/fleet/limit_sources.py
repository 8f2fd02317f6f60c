"""Which limit of a key holds: the operators', before what its partner tells, and at a change both.

No I/O, time handed in. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from math import ceil, inf

from springspread.fleet.limits import Limit, LimitMode


class LimitSources:
    """The operators' limits, those of a change that is to come, and what partners told last."""

    def __init__(self, operator: Mapping[str, Limit]) -> None:
        self._operator = dict(operator)
        self._partner: dict[str, Limit] = {}
        self._next: tuple[float, Mapping[str, Limit]] | None = None
        self._until_then: dict[str, Limit] = {}  # stricter limits that hold until the announced ones do

    def partner_told(self, key: str, limit: Limit) -> bool:
        """A partner tells its limit; whether that is the one that holds."""
        self._partner[key] = limit
        coming = self._next[1] if self._next is not None else {}
        return key not in self._operator and key not in coming

    def partner_mode(self, mode: LimitMode) -> dict[str, Limit]:
        """Limits that partners tell have another mode from now on; those that hold and so change."""
        told = {key: replace(limit, mode=mode) for key, limit in self._partner.items() if limit.mode != mode}
        self._partner |= told
        coming = self._next[1] if self._next is not None else {}
        return {key: limit for key, limit in told.items() if key not in self._operator and key not in coming}

    def announce(self, limits: Mapping[str, Limit], since: float) -> dict[str, Limit]:
        """Other operators' limits hold from a moment on; those to put in force at once, until then.

        Until that moment each key keeps both. What an earlier announcement made stricter stays so until then.
        """
        self._next = (since, limits)
        changed = {}
        for key, limit in limits.items():
            held = self._until_then.get(key) or self._operator.get(key) or self._partner.get(key)
            strict = limit if held is None else stricter(held, limit)
            if strict != held:
                changed[key] = strict
        self._until_then |= changed
        return changed

    @property
    def next_at(self) -> float:
        """When the announced limits hold; inf: none are announced."""
        return inf if self._next is None else self._next[0]

    def due(self, now: float) -> dict[str, Limit | None]:
        """The limits that change because the announced ones hold now; ``None``: the key has none any more."""
        if self._next is None or now < self._next[0]:
            return {}
        before, (_, limits) = self._operator | self._until_then, self._next
        self._next, self._operator, self._until_then = None, dict(limits), {}
        changed: dict[str, Limit | None] = {
            key: limit for key, limit in limits.items() if before.get(key) != limit
        }
        for key in before.keys() - limits.keys():
            changed[key] = self._partner.get(key)
        return changed


def stricter(one: Limit, other: Limit) -> Limit:
    """The least strict limit of its kind that keeps both, exact where either is.

    It has the fewer calls, and a span so long that the longer span holds no more of them than it may: at
    least half the rate of the lower one. Where one limit keeps the other one, it is that one.
    """
    short, long = sorted((one, other), key=lambda limit: limit.span_ms)
    calls = min(short.calls, long.calls)
    fit = long.calls // calls  # so many times the calls fit the longer span
    span_ms = max(short.span_ms, long.span_ms / fit)
    if ceil(long.span_ms / span_ms) > fit:  # by a rounding
        span_ms *= 1.0 + 1e-9
    exact = LimitMode.EXACT in (one.mode, other.mode)
    return Limit(calls, span_ms, LimitMode.EXACT if exact else LimitMode.ADAPTIVE)
