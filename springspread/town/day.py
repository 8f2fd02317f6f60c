"""A day: partners, traffic and troubles, drawn by a seed or given as they are.

Each kind of draw has a generator of its own, named by seed and purpose, so that a change in one leaves the
others as they were. Times are milliseconds, rates are per second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from springspread.interface import ClassSpec, Effect
from springspread.town.partner import Condition, Habit, Trouble

CLASSES = (
    ClassSpec("status-notice", 1000.0, 8000.0, 1.0, 0.1, Effect.SAFE),
    ClassSpec("fee-payment", 4000.0, 28000.0, 2.0, 0.5, Effect.UNSAFE),
)
KINDS = ("state-portal", "county-office", "dealer")
ANY = "any"
TROUBLES = (ANY, *(kind.value for kind in Trouble if kind is not Trouble.NONE))
ZONES = ("north-bldg", "south-bldg")


@dataclass(frozen=True, slots=True)
class PartnerSpec:
    """One partner: its kind, habit and endpoints, and its share of the traffic."""

    group: int
    kind: str
    habit: Habit
    names: tuple[str, ...]
    share: float
    later: tuple[str, ...] = ()  # endpoints that are listed only once a change says so


@dataclass(frozen=True, slots=True)
class Change:
    """At a time an endpoint's condition changes, or the list's word on it (ready, draining, gone)."""

    at: float
    endpoint: str
    condition: Condition | None = None
    state: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message that a client hands in."""

    at: float
    sender: int
    group: int
    cls: str
    body: bytes = b"x" * 200


@dataclass(frozen=True, slots=True)
class Day:
    """Everything that is fixed before a day begins."""

    seed: int
    length_ms: float
    senders: int
    slots: int
    most_held: int
    partners: tuple[PartnerSpec, ...]
    arrivals: tuple[Arrival, ...]
    changes: tuple[Change, ...] = ()
    retries: int = 2
    retry_ms: float = 500.0
    network_ms: tuple[float, float] = (1.0, 10.0)  # one way, in one building and between the two
    list_lag_ms: float = 1500.0
    zones: Mapping[str, str] = field(default_factory=dict)

    def settings(self, index: int) -> dict[str, Any]:
        """What a sender is told of its deployment, in the platform's form."""
        habits = {spec.kind: spec.habit for spec in self.partners}
        apart = [habits[kind].apart if kind in habits else False for kind in KINDS]
        return {
            "balancers": self.senders,
            "index": index,
            "classes": [
                {
                    "name": spec.name,
                    "objectiveMs": spec.aim_ms,
                    "deadlineMs": spec.deadline_ms,
                    "points": spec.worth,
                    "lateWorth": spec.late_worth,
                    "effect": "once" if spec.effect is Effect.UNSAFE else "repeatable",
                }
                for spec in CLASSES
            ],
            "discovery": "ask",
            "feedback": {"fields": ["x0", "x1"], "how": "answers"},
            "kinds": list(KINDS),
            "limits": {
                "attemptsCap": 8,
                "cancelling": True,
                "connIdleMs": 5000.0,
                "connectTimeoutMs": 1000.0,
                "maxRetryAfterMs": 2000.0,
                "mostHeld": self.most_held,
                "probing": True,
                "retryAfter": True,
                "secondCopies": True,
            },
            "prices": {"waste": 0.16, "handshake": 0.04, "lateFail": 0.014, "probe": 0.01},
            "rules": {
                "coldShare": 0.13,
                "drainGraceMs": 500.0,
                "fallMs": 2000.0,
                "fallMultiple": 2.5,
                "mustAskInMs": 10000.0,
                "warmWithinMs": 12000.0,
            },
            "specifics": {
                "callsOut": self.slots,
                "carriage": [0.0, 0.03],
                "fades": "halving",
                "perCall": [5 if one else 1 for one in apart],
                "separateRoutes": apart,
            },
            "tickMs": 5.0,
            "weightSource": "rough",
            "zones": list(ZONES),
        }


def draw(
    seed: int,
    *,
    senders: int = 3,
    partners: int = 10,
    per_s: float = 30.0,
    load: float = 0.7,
    length_ms: float = 60_000.0,
    troubles: int = 0,
    drains: int = 0,
    trouble: str = ANY,
) -> Day:
    """Draw a day. ``load`` is the share of the partners' limits that the traffic takes up in the mean.

    So many partners are in trouble, of the kind named (see ``Trouble``) or of any; so many have their
    endpoints replaced.
    """
    specs = _partners(seed, partners, per_s / load)
    specs, moves = _drains(seed, specs, drains, length_ms)
    rng = Random(f"{seed}/arrivals")
    arrivals, at = [], 0.0
    weights = [spec.share for spec in specs]
    while True:
        at += rng.expovariate(per_s / 1000.0)
        if at >= length_ms:
            break
        (spec,) = rng.choices(specs, weights)
        cls = CLASSES[rng.random() < 0.47].name
        arrivals.append(Arrival(round(at, 3), rng.randrange(senders), spec.group, cls))
    busy = per_s / load * 0.4  # calls out at full load, at 400 ms each
    return Day(
        seed,
        length_ms,
        senders,
        slots=max(int(2.1 * busy / senders), 2),
        most_held=max(int(8 * per_s / load / senders), 8),
        partners=specs,
        arrivals=tuple(arrivals),
        changes=tuple(sorted(moves + _troubles(seed, specs, troubles, trouble, length_ms), key=_at)),
        zones=_zones(seed, specs),
    )


def _partners(seed: int, count: int, full_per_s: float) -> tuple[PartnerSpec, ...]:
    rng = Random(f"{seed}/partners")
    shares = [1.0 / (n + 1) for n in range(count)]
    made = []
    for n in range(count):
        kind = rng.choices(KINDS, (0.17, 0.33, 0.5))[0]
        want = full_per_s * shares[n] / sum(shares)
        endpoints = rng.choice((1, 2, 2, 3, 3, 4))
        habit = Habit(pace_ms=rng.uniform(300.0, 510.0), apart=kind == "state-portal")
        if kind == "state-portal":
            rate = max(want * rng.uniform(1.4, 2.9), 1.6) / endpoints
            habit = replace(habit, limit_per_s=max(rate, 0.5), span_ms=2000.0)
        elif kind == "county-office":
            habit = replace(habit, limit_per_s=max(want * rng.uniform(0.99, 2.1), 1.7))
            habit = replace(habit, counts_refused=rng.random() < 0.3)
        capacity = max(want * rng.uniform(1.2, 2.2), 1.5) * (1.0 if kind == "dealer" else 2.0)
        places = max(round(capacity * habit.pace_ms / 1000 / endpoints), 1)
        names = tuple(f"p{n}-{chr(97 + e)}" for e in range(endpoints))
        made.append(PartnerSpec(n, kind, replace(habit, places=places), names, shares[n]))
    return tuple(made)


def _zones(seed: int, specs: tuple[PartnerSpec, ...]) -> dict[str, str]:
    rng = Random(f"{seed}/zones")
    return {name: rng.choice(ZONES) for spec in specs for name in (*spec.names, *spec.later)}


def _troubles(
    seed: int, specs: tuple[PartnerSpec, ...], count: int, named: str, length_ms: float
) -> list[Change]:
    rng = Random(f"{seed}/troubles")
    kinds = [kind for kind in Trouble if named in (ANY, kind.value) and kind is not Trouble.NONE]
    changes = []
    for spec in rng.sample(specs, min(count, len(specs))):
        trouble = rng.choice(kinds)
        factors = {Trouble.FAILING: rng.uniform(0.31, 0.84), Trouble.SLOW: rng.uniform(1.4, 2.5)}
        much = factors.get(trouble, 1.0)
        begin = rng.uniform(0.15, 0.5) * length_ms
        end = begin + rng.uniform(5_000.0, min(20_000.0, 0.35 * length_ms))
        for name in spec.names:
            changes.append(Change(begin, name, Condition(trouble, much)))
            changes.append(Change(end, name, Condition()))
    return changes


def _drains(
    seed: int, specs: tuple[PartnerSpec, ...], count: int, length_ms: float
) -> tuple[tuple[PartnerSpec, ...], list[Change]]:
    """So many partners have each endpoint replaced: a new one is ready, the old one drains and goes."""
    rng = Random(f"{seed}/drains")
    chosen = {spec.group for spec in rng.sample(specs, min(count, len(specs)))}
    made, changes = [], []
    for spec in specs:
        if spec.group in chosen:
            later = tuple(f"{name}2" for name in spec.names)
            for old, new in zip(spec.names, later, strict=True):
                at = rng.uniform(0.2, 0.6) * length_ms
                changes.append(Change(at, new, state="ready"))
                changes.append(Change(at + 500.0, old, state="draining"))
                changes.append(Change(at + 5_000.0, old, state="gone"))
            spec = replace(spec, later=later)
        made.append(spec)
    return tuple(made), changes


def _at(change: Change) -> float:
    return change.at
