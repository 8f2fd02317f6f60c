"""A policy: the senders' settings and the fleet's limits, as one immutable document.

``check`` decides which changes are allowed from one policy to the next. Settings that a process reads only at
its start (``FIXED``) can't change, and a class keeps its effect, as a message that was taken under one policy
may be recovered under any later one.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from difflib import get_close_matches
from functools import cached_property
from hashlib import sha256
from math import ceil
from typing import Any

from springspread.fleet.lease_cache import FRESH_MS
from springspread.fleet.limits import MAX_CALLS, MAX_SPAN_MS, MIN_SPAN_MS, PARTNER_SPAN_MS, Limit, LimitMode
from springspread.gc_pause import collector_paused
from springspread.interface import ClassSpec, Effect
from springspread.settings import SettingsError, flatten, read_settings

FIXED = ("balancers", "kinds", "zones", "feedback", "index", "zone", "discovery", "tickMs", "weightSource")
FIXED_PARTS = ("specifics.separateRoutes", "specifics.perCall", "rules.drainGraceMs")
LEASE_MS = 200.0  # the longest lease of a limit: those granted before it shrank have ended by then
SLACK_MS = 100.0
MAX_LIMITS = 200_000
MAX_POLICY_BYTES = 16 << 20  # of its text: 140,000 limits with keys of 90 characters
SPELLING_CUTOFF = 0.8  # from this similarity on a new key counts as a misspelt one (0 to 1)
MAX_SETTINGS_BYTES = 100 << 10  # of them: quoted in a line to an instance, below ``wire.LINE_BYTES``


Effects = Mapping[str, Effect]
"""The effect of each class that a policy in force ever had, by the class's name."""


class PolicyFault(Exception):
    """A document that can't be used as a policy; the text begins with the faulty key."""


class PolicyTooLarge(PolicyFault):
    """A document over ``MAX_LIMITS`` or ``MAX_POLICY_BYTES``."""


@dataclass(frozen=True)
class Policy:
    """``settings`` as in a sender's configuration; ``limits`` by the key of a destination.

    ``default_mode`` holds for a destination that a sender knows nothing of.
    """

    settings: Mapping[str, Any]
    limits: Mapping[str, Limit]
    default_mode: LimitMode = LimitMode.EXACT

    @cached_property
    def text(self) -> str:
        """The canonical form, which is stored and hashed.

        It names a mode only where it is not ``exact``, so policies from before there were modes keep their
        digest.
        """
        limits = {key: _written(limit) for key, limit in self.limits.items()}
        raw: dict[str, Any] = {"settings": self.settings, "limits": limits}
        if self.default_mode is not LimitMode.EXACT:
            raw["default_mode"] = self.default_mode.value
        return json.dumps(raw, sort_keys=True, separators=(",", ":"))

    @cached_property
    def settings_text(self) -> str:
        """The part that instances are sent: the settings. Limits concern the allocator alone."""
        return json.dumps({"settings": self.settings}, sort_keys=True, separators=(",", ":"))

    @cached_property
    def digest(self) -> str:
        """SHA-256 of its text, in hexadecimal."""
        return sha256(self.text.encode()).hexdigest()


def parse_policy(text: str) -> Policy:
    """Parse a policy; raises ``PolicyFault``."""
    try:
        with collector_paused():
            raw = json.loads(text)
            limits = {str(key): _read_limit(str(key), entry) for key, entry in raw["limits"].items()}
        default_mode = _read_mode("default_mode", raw.get("default_mode", LimitMode.EXACT.value))
        return Policy(dict(raw["settings"]), limits, default_mode)
    except (ValueError, OverflowError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        raise PolicyFault(f"not a policy: {exc!r}") from exc


def check_bounds(policy: Policy) -> None:
    """Raise ``PolicyTooLarge`` where it has too many limits or too long a text.

    Raises ``PolicyFault`` for a limit that no allocator can keep.
    """
    if len(policy.limits) > MAX_LIMITS:
        raise PolicyTooLarge(f"limits: there are {len(policy.limits):,}; the bound is {MAX_LIMITS:,}")
    for key, limit in policy.limits.items():
        if not (1 <= limit.calls <= MAX_CALLS and MIN_SPAN_MS <= limit.span_ms <= MAX_SPAN_MS):
            raise PolicyFault(
                f"limits.{key}: {_described(limit)}: the calls must be 1 to {MAX_CALLS:,},"
                f" the span {MIN_SPAN_MS:.0f} to {MAX_SPAN_MS:.0f} ms"
            )
    size = len(policy.text)  # ASCII: a byte a character
    if size > MAX_POLICY_BYTES:
        settings = len(json.dumps(policy.settings))
        key = "settings" if 2 * settings > size else "limits"
        raise PolicyTooLarge(f"{key}: {oversize('policy', size, MAX_POLICY_BYTES)}")
    size = len(policy.settings_text)
    if size > MAX_SETTINGS_BYTES:
        raise PolicyTooLarge(f"settings: they have {size:,} bytes; the bound is {MAX_SETTINGS_BYTES:,}")


def oversize(what: str, size: int, bound: int, *, at_least: bool = False) -> str:
    """The message for something with too many bytes; ``at_least``: it was not read to its end."""
    return f"the {what} has {'at least ' if at_least else ''}{size:,} bytes; the bound is {bound:,}"


def differences(old: Policy, new: Policy) -> list[str]:
    """A line for each key that differs, with both values."""
    before, after = _flat(old), _flat(new)
    keys = sorted(key for key in before | after if before.get(key) != after.get(key))
    return [f"{key}: {before.get(key, 'not set')} -> {after.get(key, 'not set')}" for key in keys]


@dataclass(frozen=True, slots=True)
class Past:
    """What a policy is checked against: the last one in force, and the effects of all."""

    latest: Policy
    effects: Effects


def check(new: Policy, past: Past | None) -> None:
    """Raise ``PolicyFault`` where a policy can't be used, or can't follow those before it.

    ``past``: none for the first policy.
    """
    check_bounds(new)
    specs = _class_specs(new)
    if past is None:
        return
    _check_effects(specs, past.effects)
    known, flat = flatten(past.latest.settings), flatten(new.settings)
    _check_fixed(known, flat)
    _check_spelling(known, flat)


def effects_of(settings: Mapping[str, Any]) -> Effects:
    """The effects of the classes of a policy that was in force."""
    return {spec.name: spec.effect for spec in read_settings(flatten(settings)).classes}


def _class_specs(policy: Policy) -> Sequence[ClassSpec]:
    try:
        return read_settings(flatten(policy.settings)).classes
    except SettingsError as exc:
        raise PolicyFault(f"settings.{exc}") from exc


def _check_effects(specs: Iterable[ClassSpec], effects: Effects) -> None:
    """A class keeps its effect: messages that were taken under an earlier policy may still be recovered."""
    for spec in specs:
        if effects.get(spec.name, spec.effect) is not spec.effect:
            was = effects[spec.name].value
            raise PolicyFault(f"settings.classes.{spec.name}.effect: is {was} for ever; use another class")


def _check_fixed(known: Mapping[str, str], flat: Mapping[str, str]) -> None:
    """Settings that a process reads only at its start stay as they are."""
    for key in sorted(known.keys() | flat.keys()):
        fixed = key.split(".")[0] in FIXED or key.startswith(FIXED_PARTS)
        if fixed and known.get(key) != flat.get(key):
            raise PolicyFault(f"settings.{key}: serves a start, and can't change while the fleet runs")


def _check_spelling(known: Mapping[str, str], flat: Mapping[str, str]) -> None:
    """A new top-level key must not look like a known one that was misspelt."""
    roots = {key.split(".")[0] for key in known}
    for root in sorted({key.split(".")[0] for key in flat} - roots):
        near = get_close_matches(root, roots, 1, SPELLING_CUTOFF)
        if near:
            raise PolicyFault(f"settings.{root}: no such key; did you mean {near[0]}?")


def shrunk(old: Policy, new: Policy) -> dict[str, Limit]:
    """Limits that are stricter in the new policy, or only there."""
    return {
        key: limit
        for key, limit in new.limits.items()
        if key not in old.limits or _stricter(old.limits[key], limit)
    }


def lead_ms(old: Policy, new: Policy) -> float:
    """How long before a policy is in force its stricter limits must bind, so that every span keeps them.

    In milliseconds; 0 where no limit is stricter.
    """
    leads = [_lead_ms(old, key, limit) for key, limit in shrunk(old, new).items()]
    if old.default_mode is LimitMode.ADAPTIVE and new.default_mode is LimitMode.EXACT:
        leads.append(PARTNER_SPAN_MS + SLACK_MS + FRESH_MS)  # limits that partners report become exact, too
    return max(leads, default=0.0)


def _lead_ms(old: Policy, key: str, limit: Limit) -> float:
    """The limit's span after the last call under the old policy: by a lease, or free and cut off."""
    before = old.limits.get(key)
    was_free = LimitMode.ADAPTIVE is (old.default_mode if before is None else before.mode)
    return limit.span_ms + SLACK_MS + (max(FRESH_MS, LEASE_MS) if was_free else LEASE_MS)


def _stricter(old: Limit, new: Limit) -> bool:
    if old.mode is LimitMode.ADAPTIVE and new.mode is LimitMode.EXACT:
        return True
    return ceil(new.span_ms / old.span_ms) * old.calls > new.calls  # what the old one lets into its span


def _written(limit: Limit) -> list[Any]:
    entry: list[Any] = [limit.calls, limit.span_ms]
    return entry if limit.mode is LimitMode.EXACT else [*entry, limit.mode.value]


def _read_limit(key: str, entry: Any) -> Limit:
    calls, span_ms, *mode = entry
    if not mode:
        return Limit(int(calls), float(span_ms))
    (name,) = mode
    return Limit(int(calls), float(span_ms), _read_mode(f"limits.{key}.mode", name))


def _read_mode(key: str, name: object) -> LimitMode:
    try:
        return LimitMode.named(name)
    except ValueError as exc:
        raise PolicyFault(f"{key}: {exc}") from exc


def _flat(policy: Policy) -> dict[str, str]:
    flat = {f"limits.{key}": _described(limit) for key, limit in policy.limits.items()}
    if policy.default_mode is not LimitMode.EXACT:
        flat["default_mode"] = policy.default_mode.value
    return flat | {f"settings.{key}": value for key, value in flatten(policy.settings).items()}


def _described(limit: Limit) -> str:
    mode = "" if limit.mode is LimitMode.EXACT else f", {limit.mode.value}"
    return f"{limit.calls} in {limit.span_ms:g} ms{mode}"
