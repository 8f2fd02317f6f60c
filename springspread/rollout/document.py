"""A policy: the senders' settings and the fleet's limits, as one immutable document.

``validate_policy`` decides which changes are allowed from one policy to the next. Settings that a process
reads only at its start (``FIXED_SETTINGS``) can't change, and a class keeps its effect, as a message accepted
under one policy may be recovered under any later one.
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
from springspread.fleet.limits import (
    CALL_SLACK_MS,
    MAX_CALLS,
    MAX_SPAN_MS,
    MIN_SPAN_MS,
    PARTNER_SPAN_MS,
    Limit,
    LimitMode,
)
from springspread.gc_pause import collector_paused
from springspread.interface import ClassSpec, Effect
from springspread.settings import SettingsError, flatten, read_settings

FIXED_SETTINGS = (
    "balancers",
    "kinds",
    "zones",
    "feedback",
    "index",
    "zone",
    "discovery",
    "tickMs",
    "weightSource",
)
FIXED_PREFIXES = ("specifics.separateRoutes", "specifics.perCall", "rules.drainGraceMs")
LEASE_MS = 200.0  # the longest lease of a limit: those granted before it shrank have expired by then
APPLY_MS = 25.0  # from a decision until the allocator applies its stricter limits
MAX_LIMITS = 200_000
MAX_POLICY_BYTES = 16 << 20  # of its text; fits 140,000 limits with keys of 90 characters
SPELLING_CUTOFF = 0.8  # similarity (0 to 1) from which a new key counts as misspelt
MAX_SETTINGS_BYTES = 100 << 10  # as a JSON string they must fit into a line of ``wire.LINE_BYTES``


ClassEffects = Mapping[str, Effect]
"""The effect of every class of the policies that were ever in force, by the class's name."""


class PolicyError(Exception):
    """A document that can't be used as a policy; the message begins with the faulty key."""


class PolicyTooLarge(PolicyError):
    """A document over ``MAX_LIMITS`` or ``MAX_POLICY_BYTES``."""


@dataclass(frozen=True)
class Policy:
    """``settings`` as in a sender's configuration; ``limits`` by the key of a destination.

    ``default_mode`` is the mode for destinations that are unknown to a sender.
    """

    settings: Mapping[str, Any]
    limits: Mapping[str, Limit]
    default_mode: LimitMode = LimitMode.EXACT

    @cached_property
    def text(self) -> str:
        """The canonical form, which is stored and hashed.

        It names a mode only where it is not ``exact``, so that policies without modes keep their digest.
        """
        limits = {key: _encode_limit(limit) for key, limit in self.limits.items()}
        raw: dict[str, Any] = {"settings": self.settings, "limits": limits}
        if self.default_mode is not LimitMode.EXACT:
            raw["default_mode"] = self.default_mode.value
        return json.dumps(raw, sort_keys=True, separators=(",", ":"))

    @cached_property
    def settings_text(self) -> str:
        """The part that instances are sent. Only the allocator needs the limits."""
        return json.dumps({"settings": self.settings}, sort_keys=True, separators=(",", ":"))

    @cached_property
    def digest(self) -> str:
        """SHA-256 of ``text``, in hexadecimal."""
        return sha256(self.text.encode()).hexdigest()


def parse_policy(text: str) -> Policy:
    """Parse a policy; raises ``PolicyError``."""
    try:
        with collector_paused():
            raw = json.loads(text)
            limits = {str(key): _decode_limit(str(key), entry) for key, entry in raw["limits"].items()}
        default_mode = _decode_mode("default_mode", raw.get("default_mode", LimitMode.EXACT.value))
        return Policy(dict(raw["settings"]), limits, default_mode)
    except (ValueError, OverflowError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        raise PolicyError(f"not a policy: {exc!r}") from exc


def check_bounds(policy: Policy) -> None:
    """Raise ``PolicyTooLarge`` for too many limits or too long a text.

    Raises ``PolicyError`` for a limit whose calls or span are out of range.
    """
    if len(policy.limits) > MAX_LIMITS:
        raise PolicyTooLarge(f"limits: there are {len(policy.limits):,}; the bound is {MAX_LIMITS:,}")
    for key, limit in policy.limits.items():
        if not (1 <= limit.calls <= MAX_CALLS and MIN_SPAN_MS <= limit.span_ms <= MAX_SPAN_MS):
            raise PolicyError(
                f"limits.{key}: {_describe_limit(limit)}: the calls must be 1 to {MAX_CALLS:,},"
                f" the span {MIN_SPAN_MS:.0f} to {MAX_SPAN_MS:.0f} ms"
            )
    size = len(policy.text)  # ASCII: a byte a character
    if size > MAX_POLICY_BYTES:
        settings = len(json.dumps(policy.settings))
        key = "settings" if 2 * settings > size else "limits"
        raise PolicyTooLarge(f"{key}: {oversize_message('policy', size, MAX_POLICY_BYTES)}")
    size = len(policy.settings_text)
    if size > MAX_SETTINGS_BYTES:
        raise PolicyTooLarge(f"settings: they have {size:,} bytes; the bound is {MAX_SETTINGS_BYTES:,}")


def oversize_message(what: str, size: int, bound: int, *, at_least: bool = False) -> str:
    """The error text for something with too many bytes; ``at_least``: it was not read to its end."""
    return f"the {what} has {'at least ' if at_least else ''}{size:,} bytes; the bound is {bound:,}"


def differences(old: Policy, new: Policy) -> list[str]:
    """One line for each key that differs, with the old and the new value."""
    before, after = _flatten_policy(old), _flatten_policy(new)
    keys = sorted(key for key in before | after if before.get(key) != after.get(key))
    return [f"{key}: {before.get(key, 'not set')} -> {after.get(key, 'not set')}" for key in keys]


@dataclass(frozen=True, slots=True)
class PolicyBaseline:
    """What a new policy is checked against: the latest one, and the class effects of all so far."""

    latest: Policy
    effects: ClassEffects


def validate_policy(new: Policy, baseline: PolicyBaseline | None) -> None:
    """Raise ``PolicyError`` where a policy can't be used, or can't follow the earlier ones.

    ``baseline``: ``None`` for the first policy.
    """
    check_bounds(new)
    specs = _class_specs(new)
    if baseline is None:
        return
    _check_effects(specs, baseline.effects)
    current, proposed = flatten(baseline.latest.settings), flatten(new.settings)
    _check_fixed(current, proposed)
    _check_spelling(current, proposed)


def class_effects(settings: Mapping[str, Any]) -> ClassEffects:
    """The effect of each class in the settings of a policy."""
    return {spec.name: spec.effect for spec in read_settings(flatten(settings)).classes}


def _class_specs(policy: Policy) -> Sequence[ClassSpec]:
    try:
        return read_settings(flatten(policy.settings)).classes
    except SettingsError as exc:
        raise PolicyError(f"settings.{exc}") from exc


def _check_effects(specs: Iterable[ClassSpec], effects: ClassEffects) -> None:
    """Raise where a class changes its effect: messages of earlier policies may still be recovered."""
    for spec in specs:
        if effects.get(spec.name, spec.effect) is not spec.effect:
            effect = effects[spec.name].value
            raise PolicyError(
                f"settings.classes.{spec.name}.effect: is {effect} and can't change; use another class"
            )


def _check_fixed(current: Mapping[str, str], proposed: Mapping[str, str]) -> None:
    """Raise where a setting changes that a process reads only at its start."""
    for key in sorted(current.keys() | proposed.keys()):
        fixed = key.split(".")[0] in FIXED_SETTINGS or key.startswith(FIXED_PREFIXES)
        if fixed and current.get(key) != proposed.get(key):
            raise PolicyError(
                f"settings.{key}: is read only at start-up and can't change while the fleet runs"
            )


def _check_spelling(current: Mapping[str, str], proposed: Mapping[str, str]) -> None:
    """Raise where a new top-level key looks like a misspelt known one."""
    roots = {key.split(".")[0] for key in current}
    for root in sorted({key.split(".")[0] for key in proposed} - roots):
        matches = get_close_matches(root, roots, 1, SPELLING_CUTOFF)
        if matches:
            raise PolicyError(f"settings.{root}: no such key; did you mean {matches[0]}?")


def stricter_limits(old: Policy, new: Policy) -> dict[str, Limit]:
    """The limits that are stricter than in the old policy, or new."""
    return {
        key: limit
        for key, limit in new.limits.items()
        if key not in old.limits or _stricter(old.limits[key], limit)
    }


def lead_ms(old: Policy, new: Policy) -> float:
    """How long before a policy comes into force its stricter limits must apply, in milliseconds.

    Every span that ends under the new policy then keeps them. 0 where no limit is stricter.
    """
    leads = [_limit_lead_ms(old, key, limit) for key, limit in stricter_limits(old, new).items()]
    if old.default_mode is LimitMode.ADAPTIVE and new.default_mode is LimitMode.EXACT:
        # Limits that partners report become exact, too.
        leads.append(PARTNER_SPAN_MS + CALL_SLACK_MS + APPLY_MS + FRESH_MS)
    return max(leads, default=0.0)


def _limit_lead_ms(old: Policy, key: str, limit: Limit) -> float:
    """The limit's span, counted from the last call that the old policy may have allowed."""
    before = old.limits.get(key)
    was_adaptive = LimitMode.ADAPTIVE is (old.default_mode if before is None else before.mode)
    right_ms = max(FRESH_MS, LEASE_MS) if was_adaptive else LEASE_MS
    return limit.span_ms + CALL_SLACK_MS + APPLY_MS + right_ms


def _stricter(old: Limit, new: Limit) -> bool:
    if old.mode is LimitMode.ADAPTIVE and new.mode is LimitMode.EXACT:
        return True
    return ceil(new.span_ms / old.span_ms) * old.calls > new.calls  # more than the new span allows


def _encode_limit(limit: Limit) -> list[Any]:
    entry: list[Any] = [limit.calls, limit.span_ms]
    return entry if limit.mode is LimitMode.EXACT else [*entry, limit.mode.value]


def _decode_limit(key: str, entry: Any) -> Limit:
    calls, span_ms, *mode = entry
    if not mode:
        return Limit(int(calls), float(span_ms))
    (name,) = mode
    return Limit(int(calls), float(span_ms), _decode_mode(f"limits.{key}.mode", name))


def _decode_mode(key: str, name: object) -> LimitMode:
    try:
        return LimitMode.named(name)
    except ValueError as exc:
        raise PolicyError(f"{key}: {exc}") from exc


def _flatten_policy(policy: Policy) -> dict[str, str]:
    flat = {f"limits.{key}": _describe_limit(limit) for key, limit in policy.limits.items()}
    if policy.default_mode is not LimitMode.EXACT:
        flat["default_mode"] = policy.default_mode.value
    return flat | {f"settings.{key}": value for key, value in flatten(policy.settings).items()}


def _describe_limit(limit: Limit) -> str:
    mode = "" if limit.mode is LimitMode.EXACT else f", {limit.mode.value}"
    return f"{limit.calls} in {limit.span_ms:g} ms{mode}"
