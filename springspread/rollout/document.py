"""What a policy is: the senders' settings and the fleet's limits, as one document that never changes.

It also says what may differ between one policy and the next. What numbers discovery's list (kinds, zones,
report fields) and what a process is built with serve a start; a class keeps its effect for ever, as a
message that was taken under one policy may be recovered under any later one.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from difflib import get_close_matches
from hashlib import sha256
from math import inf
from typing import Any

from springspread.settings import SettingsError, flatten, read_settings

FIXED = ("balancers", "kinds", "zones", "feedback", "index", "zone", "discovery", "tickMs", "weightSource")
FIXED_PARTS = ("specifics.separateRoutes", "specifics.perCall", "rules.drainGraceMs")
LEASE_MS = 200.0  # of a share of a limit: what was given out before a limit shrank is used or over by then
SLACK_MS = 100.0


class PolicyFault(Exception):
    """A document that can't become the policy; the text begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class Policy:
    """``settings`` as in a sender's configuration; ``limits``: calls and span (ms) by key."""

    settings: Mapping[str, Any]
    limits: Mapping[str, tuple[int, float]]

    @property
    def text(self) -> str:
        """The one form in which it is kept, told and hashed."""
        limits = {key: list(limit) for key, limit in self.limits.items()}
        raw = {"settings": self.settings, "limits": limits}
        return json.dumps(raw, sort_keys=True, separators=(",", ":"))

    @property
    def digest(self) -> str:
        """SHA-256 of its text."""
        return sha256(self.text.encode()).hexdigest()


def parsed(text: str) -> Policy:
    """A policy out of its text; raises ``PolicyFault``."""
    try:
        raw = json.loads(text)
        limits = {str(key): (int(calls), float(span)) for key, (calls, span) in raw["limits"].items()}
        return Policy(dict(raw["settings"]), limits)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        raise PolicyFault(f"not a policy: {exc!r}") from exc


def differences(old: Policy, new: Policy) -> list[str]:
    """Every key that differs, with both values."""
    before, after = _flat(old), _flat(new)
    keys = sorted(key for key in before | after if before.get(key) != after.get(key))
    return [f"{key}: {before.get(key, 'not set')} -> {after.get(key, 'not set')}" for key in keys]


def check(new: Policy, history: Iterable[Policy]) -> None:
    """Raise ``PolicyFault`` where it can't be used at all, or not after the policies of the history, oldest
    first.
    """
    try:
        specs = read_settings(flatten(new.settings)).classes
    except SettingsError as exc:
        raise PolicyFault(f"settings.{exc}") from exc
    past = list(history)
    if not past:
        return
    effects = {}
    for policy in past:
        effects.update({spec.name: spec.effect for spec in read_settings(flatten(policy.settings)).classes})
    for spec in specs:
        if effects.get(spec.name, spec.effect) is not spec.effect:
            was = effects[spec.name].value
            raise PolicyFault(f"settings.classes.{spec.name}.effect: is {was} for ever; use another class")
    known, flat = flatten(past[-1].settings), flatten(new.settings)
    for key in sorted(known.keys() | flat.keys()):
        fixed = key.split(".")[0] in FIXED or key.startswith(FIXED_PARTS)
        if fixed and known.get(key) != flat.get(key):
            raise PolicyFault(f"settings.{key}: serves a start, and can't change while the fleet runs")
    roots = {key.split(".")[0] for key in known}
    for root in sorted({key.split(".")[0] for key in flat} - roots):
        near = get_close_matches(root, roots, 1, 0.8)
        if near:
            raise PolicyFault(f"settings.{root}: no such key; did you mean {near[0]}?")


def shrunk(old: Policy, new: Policy) -> dict[str, tuple[int, float]]:
    """Limits that are lower in the new policy, or only there."""
    return {
        key: limit
        for key, limit in new.limits.items()
        if key not in old.limits or _rate(limit) < _rate(old.limits[key]) or limit[0] < old.limits[key][0]
    }


def lead_ms(old: Policy, new: Policy) -> float:
    """How long before the new policy holds its lower limits must bind, so that every span keeps them."""
    return max((span + LEASE_MS + SLACK_MS for _, span in shrunk(old, new).values()), default=0.0)


def _rate(limit: tuple[int, float]) -> float:
    calls, span_ms = limit
    return calls / span_ms if span_ms else inf


def _flat(policy: Policy) -> dict[str, str]:
    limits = {f"limits.{key}": f"{calls} in {span:g} ms" for key, (calls, span) in policy.limits.items()}
    return limits | {f"settings.{key}": value for key, value in flatten(policy.settings).items()}
