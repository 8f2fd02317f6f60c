"""A day: partners, traffic and troubles, drawn by a seed or given as they are.

Each kind of draw has a generator of its own, named by seed and purpose, so that a change in one leaves the
others as they were. Times are milliseconds, rates are per second.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from math import ceil
from random import Random
from typing import Any

from springspread.interface import ClassSpec, Effect
from springspread.simulator.partner import Condition, Habit, Trouble

CLASSES = (
    ClassSpec("status-notice", 1000.0, 8000.0, 1.0, 0.1, Effect.SAFE),
    ClassSpec("fee-payment", 4000.0, 28000.0, 2.0, 0.5, Effect.UNSAFE),
)
KINDS = ("state-portal", "county-office", "dealer")
ANY = "any"
FLAPPING, COLD_AGAIN, BUILDING = "flapping", "cold-again", "building"
SPELLS = (FLAPPING, COLD_AGAIN, BUILDING)
TROUBLES = (ANY, *(kind.value for kind in Trouble if kind is not Trouble.NONE), *SPELLS)
"""What may be asked for: any, a kind of ``Trouble``, one that comes and goes every second or two, one whose
second outage begins while the partner warms up after the first, or all endpoints in one building at once."""
MUCH = {"failing": (0.31, 0.84), "slow": (1.4, 2.5), "resetting": (0.1, 0.5), "spoilt": (0.1, 0.6)}
SETTLED_MS = 3_000.0
ZONES = ("north-bldg", "south-bldg")


@dataclass(frozen=True, slots=True)
class PartnerSpec:
    """One partner: its kind, habit and endpoints, and its share of the traffic."""

    group: int
    kind: str
    profile: Habit
    names: tuple[str, ...]
    share: float
    later: tuple[str, ...] = ()  # endpoints that are listed only once a change says so


class Service(Enum):
    """What the town has besides partners, clients and senders."""

    DIRECTORY = "directory"
    PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class Outage:
    """The directory (watches and lists) or the platform (notices) is away for a time."""

    service: Service
    begin: float
    end: float


class StopMode(Enum):
    """What befalls a sender's process."""

    KILL = "kill"
    TERM = "term"
    FREEZE = "freeze"  # it stands still, and goes on as if nothing had been


@dataclass(frozen=True, slots=True)
class SenderOutage:
    """A sender's process ends, and another one takes up its folder at ``back_at``; or it freezes till then.

    In virtual time there is only the kill.
    """

    at: float
    sender: int
    back_at: float
    stop_mode: StopMode = StopMode.KILL


@dataclass(frozen=True, slots=True)
class Change:
    """At a time an endpoint's condition changes, or the list's word on it (ready, draining, gone).

    ``takes_over`` names the endpoint whose address it has from then on; ``limit`` is the part of its usual
    limit that the endpoint's partner takes from then on.
    """

    at: float
    endpoint: str
    condition: Condition | None = None
    state: str = ""
    takes_over: str = ""
    limit: float | None = None


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
    deaths: tuple[SenderOutage, ...] = ()
    outages: tuple[Outage, ...] = ()
    retries: int = 2
    retry_ms: float = 500.0
    network_ms: tuple[float, float] = (1.0, 10.0)  # one way, in one building and between the two
    list_lag_ms: float = 1500.0
    zones: Mapping[str, str] = field(default_factory=dict)
    shared: bool = False  # the senders are a fleet, and share the partners' limits

    def away(self, service: Service, now: float) -> float:
        """Until when a service is away; ``now`` itself where it is there."""
        ends = (cut.end for cut in self.outages if cut.service is service and cut.begin <= now < cut.end)
        return max(ends, default=now)

    def settings(self, index: int) -> dict[str, Any]:
        """What a sender is told of its deployment, in the platform's form."""
        habits = {spec.kind: spec.profile for spec in self.partners}
        apart = [habits[kind].apart if kind in habits else False for kind in KINDS]
        return {
            # One of a fleet is told its part of each limit, and need not guess it from the number of senders.
            "balancers": 1 if self.shared else self.senders,
            "index": 0 if self.shared else index,
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
    clumps: float = 0.0,
    surge: float = 1.0,
    takeovers: int = 0,
    deaths: int = 0,
    directory_outages: int = 0,
    platform_outages: int = 0,
    shared: bool = False,
    tight: bool = False,
    skew: float = 0.0,
    falls: int = 0,
    killed: float = 0.0,
) -> Day:
    """Draw a day. ``load`` is the share of the partners' limits that the traffic takes up in the mean.

    So many partners are in trouble, of the kind named (see ``TROUBLES``); so many have their endpoints
    replaced, and so many of the new endpoints get an address that another partner's endpoint had.
    ``clumps`` is the share of the messages that come in clumps for one partner, ``surge`` the factor of the
    traffic at the month's end: a fifth of the day. So many times a sender is killed, and the directory or the
    platform is away for some seconds. ``shared``: the senders are a fleet under one allocator.

    Of a grown fleet: ``tight`` gives every partner a limit that refused calls use up, and a quick pace;
    ``skew`` is the spread (lognormal) of the senders' parts of the traffic; so many limits fall to a third
    for nine seconds; ``killed`` is the share of the senders that are killed at once at 0.4 of the day.
    """
    specs = _partners(seed, partners, per_s / load)
    if tight:
        specs = tuple(_tight(seed, spec, per_s / load * spec.share / _shares(specs)) for spec in specs)
    specs, moves = _drains(seed, specs, drains, length_ms)
    moves += _takeovers(seed, specs, moves, takeovers)
    zones = _zones(seed, specs)
    arrivals = _plain("arrivals", seed, specs, senders, per_s * (1.0 - clumps), (0.0, length_ms))
    arrivals += _clumps(seed, specs, senders, per_s * clumps, length_ms)
    window = (0.4 * length_ms, 0.6 * length_ms)
    arrivals += _plain("surge", seed, specs, senders, per_s * (surge - 1.0), window)
    arrivals.sort(key=lambda arrival: arrival.at)
    moves += _troubles(seed, specs, troubles, trouble, length_ms, zones)
    outages = _outages(seed, Service.DIRECTORY, directory_outages, length_ms)
    outages += _outages(seed, Service.PLATFORM, platform_outages, length_ms)
    moves += _falls(seed, specs, falls, length_ms)
    if skew:
        arrivals = _skewed(seed, arrivals, senders, skew)
    busy = per_s / load * 0.4  # calls out at full load, at 400 ms each
    if tight:
        busy *= 0.3  # and at a quick pace
    return Day(
        seed,
        length_ms,
        senders,
        slots=max(int(2.1 * busy / senders), 2),
        most_held=max(int(8 * per_s / load / senders), 8),
        partners=specs,
        arrivals=tuple(arrivals),
        changes=tuple(sorted(moves, key=_at)),
        deaths=_deaths(seed, senders, deaths, length_ms) + _killed(senders, killed, length_ms),
        outages=tuple(outages),
        zones=zones,
        shared=shared,
    )


def _plain(
    purpose: str,
    seed: int,
    specs: tuple[PartnerSpec, ...],
    senders: int,
    per_s: float,
    window: tuple[float, float],
) -> list[Arrival]:
    """Arrivals at a rate, each for itself."""
    rng, (at, end) = Random(f"{seed}/{purpose}"), window
    arrivals: list[Arrival] = []
    weights = [spec.share for spec in specs]
    while per_s > 0:
        at += rng.expovariate(per_s / 1000.0)
        if at >= end:
            break
        (spec,) = rng.choices(specs, weights)
        cls = CLASSES[rng.random() < 0.47].name
        arrivals.append(Arrival(round(at, 3), rng.randrange(senders), spec.group, cls))
    return arrivals


def _clumps(
    seed: int, specs: tuple[PartnerSpec, ...], senders: int, per_s: float, length_ms: float
) -> list[Arrival]:
    """Arrivals in clumps: 4 to 20 messages of one class for one partner, handed to one sender at once."""
    arrivals = []
    for n, first in enumerate(_plain("clumps", seed, specs, senders, per_s / 12.0, (0.0, length_ms))):
        count = Random(f"{seed}/clumps/{n}").randint(4, 20)
        arrivals += [replace(first, at=round(first.at + 2.0 * k, 3)) for k in range(count)]
    return arrivals


def _takeovers(seed: int, specs: tuple[PartnerSpec, ...], moves: list[Change], count: int) -> list[Change]:
    """So many new endpoints get the address of another partner's endpoint as soon as that one is gone."""
    rng = Random(f"{seed}/takeovers")
    group = {name: spec.group for spec in specs for name in (*spec.names, *spec.later)}
    gone = {move.endpoint: move.at for move in moves if move.state == "gone"}
    changes: list[Change] = []
    for move in [move for move in moves if move.state == "ready"]:
        if len(changes) == count:
            break
        heard = [name for name, at in gone.items() if at + SETTLED_MS < move.at]
        others = [name for name in heard if group[name] != group[move.endpoint]]
        if others:
            old = rng.choice(others)
            del gone[old]
            # Every sender has heard that the old one is gone before anybody else has its address.
            changes.append(Change(move.at - 0.001, move.endpoint, takes_over=old))
    return changes


def _deaths(seed: int, senders: int, count: int, length_ms: float) -> tuple[SenderOutage, ...]:
    """So many deaths, one after the other, so that a sender is never killed while it is away."""
    rng = Random(f"{seed}/deaths")
    part = 0.7 * length_ms / max(count, 1)
    made = []
    for n in range(count):
        at = 0.1 * length_ms + (n + rng.uniform(0.0, 0.5)) * part
        made.append(
            SenderOutage(at, rng.randrange(senders), at + min(rng.uniform(500.0, 3_000.0), 0.45 * part))
        )
    return tuple(made)


def _killed(senders: int, part: float, length_ms: float) -> tuple[SenderOutage, ...]:
    """A part of the senders is killed in the same moment and comes back within a second."""
    at = 0.4 * length_ms
    return tuple(SenderOutage(at, n, at + 1_500.0 + 10.0 * n) for n in range(round(senders * part)))


def _shares(specs: tuple[PartnerSpec, ...]) -> float:
    return sum(spec.share for spec in specs)


def _tight(seed: int, spec: PartnerSpec, want: float) -> PartnerSpec:
    """The same partner with a limit that refused calls use up; it can do somewhat more, at a quick pace."""
    rng = Random(f"{seed}/tight/{spec.group}")
    pace = rng.uniform(30.0, 100.0)
    per_s = max(want * rng.uniform(0.9, 1.8), 2.0)
    ends = len(spec.names) if spec.profile.apart else 1
    places = max(ceil(per_s * rng.uniform(1.2, 1.6) * pace / 1000 / len(spec.names)), 1)
    profile = replace(
        spec.profile, pace_ms=pace, places=places, limit_per_s=per_s / ends, counts_refused=True
    )
    return replace(spec, profile=profile)


def _falls(seed: int, specs: tuple[PartnerSpec, ...], count: int, length_ms: float) -> list[Change]:
    """So many partners take a third of their limit for nine seconds."""
    rng = Random(f"{seed}/falls")
    changes = []
    for spec in rng.sample(specs, min(count, len(specs))):
        at = rng.uniform(0.2, 0.4) * length_ms
        changes += [Change(at, spec.names[0], limit=1 / 3), Change(at + 9_000.0, spec.names[0], limit=1.0)]
    return changes


def _skewed(seed: int, arrivals: list[Arrival], senders: int, spread: float) -> list[Arrival]:
    """The same arrivals, dealt to the senders by uneven parts."""
    rng = Random(f"{seed}/skew")
    parts = [rng.lognormvariate(0.0, spread) for _ in range(senders)]
    dealt = rng.choices(range(senders), parts, k=len(arrivals))
    return [replace(arrival, sender=sender) for arrival, sender in zip(arrivals, dealt, strict=True)]


def _outages(seed: int, service: Service, count: int, length_ms: float) -> list[Outage]:
    rng = Random(f"{seed}/{service.value}")
    part = 0.8 * length_ms / max(count, 1)
    made = []
    for n in range(count):
        begin = 0.1 * length_ms + (n + rng.uniform(0.0, 0.4)) * part
        made.append(Outage(service, begin, begin + min(rng.uniform(1_000.0, 6_000.0), 0.5 * part)))
    return made


def _partners(seed: int, count: int, full_per_s: float) -> tuple[PartnerSpec, ...]:
    rng = Random(f"{seed}/partners")
    shares = [1.0 / (n + 1) for n in range(count)]
    made = []
    for n in range(count):
        kind = rng.choices(KINDS, (0.17, 0.33, 0.5))[0]
        want = full_per_s * shares[n] / sum(shares)
        endpoints = rng.choice((1, 2, 2, 3, 3, 4))
        profile = Habit(pace_ms=rng.uniform(300.0, 510.0), apart=kind == "state-portal")
        if kind == "state-portal":
            rate = max(want * rng.uniform(1.4, 2.9), 1.6) / endpoints
            profile = replace(profile, limit_per_s=max(rate, 0.5), span_ms=2000.0)
        elif kind == "county-office":
            profile = replace(profile, limit_per_s=max(want * rng.uniform(0.99, 2.1), 1.7))
            profile = replace(profile, counts_refused=rng.random() < 0.3)
        capacity = max(want * rng.uniform(1.2, 2.2), 1.5) * (1.0 if kind == "dealer" else 2.0)
        places = max(round(capacity * profile.pace_ms / 1000 / endpoints), 1)
        names = tuple(f"p{n}-{chr(97 + e)}" for e in range(endpoints))
        made.append(PartnerSpec(n, kind, replace(profile, places=places), names, shares[n]))
    return tuple(made)


def _zones(seed: int, specs: tuple[PartnerSpec, ...]) -> dict[str, str]:
    rng = Random(f"{seed}/zones")
    return {name: rng.choice(ZONES) for spec in specs for name in (*spec.names, *spec.later)}


def _troubles(
    seed: int,
    specs: tuple[PartnerSpec, ...],
    count: int,
    named: str,
    length_ms: float,
    zones: Mapping[str, str],
) -> list[Change]:
    rng = Random(f"{seed}/troubles")
    words = [word for word in TROUBLES if named in (ANY, word) and word not in (ANY, BUILDING)]
    changes: list[Change] = []
    if named == BUILDING and count:
        zone, begin, end = rng.choice(ZONES), *_times(rng, length_ms)
        for spec in specs:
            names = [name for name in spec.names if zones[name] == zone]
            changes += _spell(names, Condition(Trouble.REFUSING), begin, end)
        return changes
    for spec in rng.sample(specs, min(count, len(specs))):
        word = rng.choice(words)
        much = rng.uniform(*MUCH.get(word, (1.0, 1.0)))
        begin, end = _times(rng, length_ms)
        if word == FLAPPING:
            while begin < end:
                stays = rng.uniform(500.0, 2_000.0)
                changes += _spell(spec.names, Condition(Trouble.REFUSING), begin, begin + stays)
                begin += stays + rng.uniform(500.0, 2_000.0)
        elif word == COLD_AGAIN:
            middle = begin + 0.5 * (end - begin)
            again = middle + rng.uniform(1_000.0, 5_000.0)
            changes += _spell(spec.names, Condition(Trouble.REFUSING), begin, middle)
            changes += _spell(spec.names, Condition(Trouble.REFUSING), again, again + 3_000.0)
        else:
            changes += _spell(spec.names, Condition(Trouble(word), much), begin, end)
    return changes


def _times(rng: Random, length_ms: float) -> tuple[float, float]:
    begin = rng.uniform(0.15, 0.5) * length_ms
    return begin, begin + rng.uniform(5_000.0, min(20_000.0, max(0.35 * length_ms, 5_000.0)))


def _spell(names: Sequence[str], condition: Condition, begin: float, end: float) -> list[Change]:
    changes = [Change(begin, name, condition) for name in names]
    return changes + [Change(end, name, Condition()) for name in names]


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
