"""Which limit of a key applies: the operators' takes precedence over the partner's.

Until announced limits take effect, the stricter of the old and the new ones applies. No I/O; the time is an
argument. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from math import ceil, inf

from springspread.fleet.limits import Limit, LimitMode


class LimitSources:
    """The operators' limits, the announced ones, and the latest ones of partners."""

    def __init__(self, operator: Mapping[str, Limit]) -> None:
        self._operator = dict(operator)
        self._partner: dict[str, Limit] = {}
        self._announced: tuple[float, Mapping[str, Limit]] | None = None
        self._interim: dict[str, Limit] = {}  # stricter limits until the announced ones take effect

    def set_partner_limit(self, key: str, limit: Limit) -> bool:
        """Record a partner's limit; whether it applies, as the operators set none."""
        self._partner[key] = limit
        announced = self._announced[1] if self._announced is not None else {}
        return key not in self._operator and key not in announced

    def set_partner_mode(self, mode: LimitMode) -> dict[str, Limit]:
        """Change the mode of all partners' limits; those that apply and so change."""
        updated = {
            key: replace(limit, mode=mode) for key, limit in self._partner.items() if limit.mode != mode
        }
        self._partner |= updated
        announced = self._announced[1] if self._announced is not None else {}
        return {
            key: limit for key, limit in updated.items() if key not in self._operator and key not in announced
        }

    def announce(self, limits: Mapping[str, Limit], since: float) -> dict[str, Limit]:
        """Announce the operators' limits from ``since`` on; the stricter limits to apply at once until then.

        What an earlier announcement made stricter stays so until then.
        """
        self._announced = (since, limits)
        changed = {}
        for key, limit in limits.items():
            current = self._interim.get(key) or self._operator.get(key) or self._partner.get(key)
            strict = limit if current is None else stricter(current, limit)
            if strict != current:
                changed[key] = strict
        self._interim |= changed
        return changed

    @property
    def next_at(self) -> float:
        """When the announced limits take effect; inf: none are announced."""
        return inf if self._announced is None else self._announced[0]

    def apply_due(self, now: float) -> dict[str, Limit | None]:
        """Apply announced limits that are due; the changed limits, ``None`` for keys that now have none."""
        if self._announced is None or now < self._announced[0]:
            return {}
        before, (_, limits) = self._operator | self._interim, self._announced
        self._announced, self._operator, self._interim = None, dict(limits), {}
        changed: dict[str, Limit | None] = {
            key: limit for key, limit in limits.items() if before.get(key) != limit
        }
        for key in before.keys() - limits.keys():
            changed[key] = self._partner.get(key)
        return changed


def stricter(one: Limit, other: Limit) -> Limit:
    """A limit that satisfies both, exact if either is.

    It allows the fewer calls, over a span long enough that the longer span holds no more of them than its
    limit. Its rate is at least half of the lower one. If one limit implies the other, it is that one.
    """
    short, long = sorted((one, other), key=lambda limit: limit.span_ms)
    calls = min(short.calls, long.calls)
    multiple = long.calls // calls  # how often the longer limit allows as many calls
    span_ms = max(short.span_ms, long.span_ms / multiple)
    if ceil(long.span_ms / span_ms) > multiple:  # due to rounding
        span_ms *= 1.0 + 1e-9
    exact = LimitMode.EXACT in (one.mode, other.mode)
    return Limit(calls, span_ms, LimitMode.EXACT if exact else LimitMode.ADAPTIVE)
