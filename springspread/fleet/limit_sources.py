"""Which limit of a key holds: the operators', before what its partner tells, and at a change the stricter
one.

No I/O, time handed in. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf

from springspread.fleet.limits import Limit, LimitMode


class LimitSources:
    """The operators' limits, those of a change that is to come, and what partners told last."""

    def __init__(self, operator: Mapping[str, Limit]) -> None:
        self._operator = dict(operator)
        self._partner: dict[str, Limit] = {}
        self._next: tuple[float, Mapping[str, Limit]] | None = None

    def partner_told(self, key: str, limit: Limit) -> bool:
        """A partner tells its limit; whether that is the one that holds."""
        self._partner[key] = limit
        coming = self._next[1] if self._next is not None else {}
        return key not in self._operator and key not in coming

    def announce(self, limits: Mapping[str, Limit], since: float) -> dict[str, Limit]:
        """Other operators' limits hold from a moment on; those to put in force at once, until then.

        Until that moment each key keeps the stricter of both.
        """
        self._next = (since, limits)
        changed = {}
        for key, limit in limits.items():
            held = self._operator.get(key) or self._partner.get(key)
            strict = limit if held is None else stricter(held, limit)
            if strict != held:
                changed[key] = strict
        return changed

    @property
    def next_at(self) -> float:
        """When the announced limits hold; inf: none are announced."""
        return inf if self._next is None else self._next[0]

    def due(self, now: float) -> dict[str, Limit | None]:
        """The limits that change because the announced ones hold now; ``None``: the key has none any more."""
        if self._next is None or now < self._next[0]:
            return {}
        before, (_, limits) = self._operator, self._next
        self._next, self._operator = None, dict(limits)
        changed: dict[str, Limit | None] = {
            key: limit for key, limit in limits.items() if before.get(key) != limit
        }
        for key in before.keys() - limits.keys():
            changed[key] = self._partner.get(key)
        return changed


def stricter(one: Limit, other: Limit) -> Limit:
    """The limit with fewer calls a time, exact where either is."""
    fewer = other if other.calls * one.span_ms <= one.calls * other.span_ms else one
    exact = LimitMode.EXACT in (one.mode, other.mode)
    return Limit(fewer.calls, fewer.span_ms, LimitMode.EXACT if exact else LimitMode.ADAPTIVE)
