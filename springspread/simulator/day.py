"""A day's scenario: partners, traffic and faults, drawn from a seed or given explicitly.

Each kind of draw has its own generator, seeded by the seed and a purpose, so that changing one leaves the
others unchanged. Times are milliseconds, rates are per second.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from math import ceil
from random import Random
from typing import Any

from springspread.interface import ClassSpec, Effect
from springspread.simulator.partner import Condition, Profile, Trouble

CLASSES = (
    ClassSpec("status-notice", 1000.0, 8000.0, 1.0, 0.1, Effect.SAFE),
    ClassSpec("fee-payment", 4000.0, 28000.0, 2.0, 0.5, Effect.UNSAFE),
)
KINDS = ("state-portal", "county-office", "dealer")
ANY = "any"
FLAPPING, COLD_AGAIN, BUILDING = "flapping", "cold-again", "building"
PATTERNS = (FLAPPING, COLD_AGAIN, BUILDING)
TROUBLES = (ANY, *(kind.value for kind in Trouble if kind is not Trouble.NONE), *PATTERNS)
"""Accepted by ``draw``: any, a kind of ``Trouble``, an intermittent outage, a second outage while
the partner warms up from the first, or an outage of all endpoints in one building."""
SEVERITY_RANGES = {"failing": (0.31, 0.84), "slow": (1.4, 2.5), "resetting": (0.1, 0.5), "spoilt": (0.1, 0.6)}
ADDRESS_REUSE_MS = 3_000.0
ZONES = ("north-bldg", "south-bldg")


@dataclass(frozen=True, slots=True)
class PartnerSpec:
    """One partner: its kind, profile and endpoints, and its share of the traffic."""

    group: int
    kind: str
    profile: Profile
    names: tuple[str, ...]
    share: float
    later: tuple[str, ...] = ()  # endpoints that a change adds to the list


class Service(Enum):
    """A simulated service besides partners, clients and senders."""

    DIRECTORY = "directory"
    PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class Outage:
    """A period in which the directory (watches and lists) or the platform (notices) is unavailable."""

    service: Service
    begin: float
    end: float


class StopMode(Enum):
    """How a sender's process is stopped."""

    KILL = "kill"
    TERM = "term"
    FREEZE = "freeze"  # suspended, later resumed


@dataclass(frozen=True, slots=True)
class SenderOutage:
    """A sender's process ends and is restarted on its folder at ``back_at``, or is frozen until then.

    In virtual time there is only ``KILL``.
    """

    at: float
    sender: int
    back_at: float
    stop_mode: StopMode = StopMode.KILL


@dataclass(frozen=True, slots=True)
class Change:
    """A change of an endpoint's condition or of its state in the list (ready, draining, gone).

    ``takes_over`` names the endpoint whose address it gets; ``limit`` is the new limit of the endpoint's
    partner, as a fraction of the usual one.
    """

    at: float
    endpoint: str
    condition: Condition | None = None
    state: str = ""
    takes_over: str = ""
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message that a client submits."""

    at: float
    sender: int
    group: int
    cls: str
    body: bytes = b"x" * 200


@dataclass(frozen=True, slots=True)
class Day:
    """A complete scenario."""

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
    network_ms: tuple[float, float] = (1.0, 10.0)  # one way: within a building, between buildings
    list_lag_ms: float = 1500.0
    zones: Mapping[str, str] = field(default_factory=dict)
    shared: bool = False  # the senders are a fleet and share the partners' limits
    copies: float = 0.0  # share of all answers that are written twice; on sockets alone

    def unavailable_until(self, service: Service, now: float) -> float:
        """When an outage of a service at ``now`` ends; ``now`` if there is none."""
        ends = (
            outage.end
            for outage in self.outages
            if outage.service is service and outage.begin <= now < outage.end
        )
        return max(ends, default=now)

    def settings(self, index: int) -> dict[str, Any]:
        """A sender's deployment settings, in the platform's format."""
        profiles = {spec.kind: spec.profile for spec in self.partners}
        separate_routes = [profiles[kind].separate_routes if kind in profiles else False for kind in KINDS]
        return {
            # A fleet's sender gets its share of each limit from the allocator.
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
                "perCall": [5 if one else 1 for one in separate_routes],
                "separateRoutes": separate_routes,
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
    copies: float = 0.0,
) -> Day:
    """Draw a day. ``load`` is the mean traffic as a fraction of the partners' limits.

    ``troubles`` partners get a fault of kind ``trouble`` (see ``TROUBLES``); ``drains`` partners have their
    endpoints replaced, and ``takeovers`` of the new endpoints reuse the address of another partner's.
    ``clumps`` is the share of messages that arrive in bursts for one partner, ``surge`` the traffic's factor
    for a fifth of the day. ``deaths``, ``directory_outages`` and ``platform_outages`` count the sender kills
    and the outages. ``shared``: the senders are a fleet under one allocator.

    For large fleets: ``tight`` gives every partner a limit that rejected calls use up, and short service
    times; ``skew`` is the lognormal spread of the senders' shares of the traffic; ``falls`` limits drop to a
    third for nine seconds; ``killed`` is the share of senders that are killed together at 0.4 of the day.

    On sockets alone: ``copies`` is the share of all answers that are written twice (``simulator.surplus``).
    """
    specs = _partners(seed, partners, per_s / load)
    if tight:
        specs = tuple(
            _with_tight_limit(seed, spec, per_s / load * spec.share / _shares(specs)) for spec in specs
        )
    specs, moves = _drains(seed, specs, drains, length_ms)
    moves += _takeovers(seed, specs, moves, takeovers)
    zones = _zones(seed, specs)
    arrivals = _poisson("arrivals", seed, specs, senders, per_s * (1.0 - clumps), (0.0, length_ms))
    arrivals += _clumps(seed, specs, senders, per_s * clumps, length_ms)
    window = (0.4 * length_ms, 0.6 * length_ms)
    arrivals += _poisson("surge", seed, specs, senders, per_s * (surge - 1.0), window)
    arrivals.sort(key=lambda arrival: arrival.at)
    moves += _troubles(seed, specs, troubles, trouble, length_ms, zones)
    outages = _outages(seed, Service.DIRECTORY, directory_outages, length_ms)
    outages += _outages(seed, Service.PLATFORM, platform_outages, length_ms)
    moves += _limit_drops(seed, specs, falls, length_ms)
    if skew:
        arrivals = _skew_arrivals(seed, arrivals, senders, skew)
    busy = per_s / load * 0.4  # concurrent calls at full load, at 400 ms each
    if tight:
        busy *= 0.3  # with short service times
    return Day(
        seed,
        length_ms,
        senders,
        slots=max(int(2.1 * busy / senders), 2),
        most_held=max(int(8 * per_s / load / senders), 8),
        partners=specs,
        arrivals=tuple(arrivals),
        changes=tuple(sorted(moves, key=_at)),
        deaths=_deaths(seed, senders, deaths, length_ms) + _mass_kill(senders, killed, length_ms),
        outages=tuple(outages),
        zones=zones,
        shared=shared,
        copies=copies,
    )


def _poisson(
    purpose: str,
    seed: int,
    specs: tuple[PartnerSpec, ...],
    senders: int,
    per_s: float,
    window: tuple[float, float],
) -> list[Arrival]:
    """Independent arrivals at a rate."""
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
    """Bursts of 4 to 20 messages of one class for one partner, submitted to one sender."""
    arrivals = []
    for n, first in enumerate(_poisson("clumps", seed, specs, senders, per_s / 12.0, (0.0, length_ms))):
        count = Random(f"{seed}/clumps/{n}").randint(4, 20)
        arrivals += [replace(first, at=round(first.at + 2.0 * k, 3)) for k in range(count)]
    return arrivals


def _takeovers(seed: int, specs: tuple[PartnerSpec, ...], moves: list[Change], count: int) -> list[Change]:
    """Give ``count`` new endpoints the address of another partner's endpoint that is gone."""
    rng = Random(f"{seed}/takeovers")
    group = {name: spec.group for spec in specs for name in (*spec.names, *spec.later)}
    gone = {move.endpoint: move.at for move in moves if move.state == "gone"}
    changes: list[Change] = []
    for move in [move for move in moves if move.state == "ready"]:
        if len(changes) == count:
            break
        expired = [name for name, at in gone.items() if at + ADDRESS_REUSE_MS < move.at]
        others = [name for name in expired if group[name] != group[move.endpoint]]
        if others:
            old = rng.choice(others)
            del gone[old]
            # By then every sender has been notified that the old endpoint is gone.
            changes.append(Change(move.at - 0.001, move.endpoint, takes_over=old))
    return changes


def _deaths(seed: int, senders: int, count: int, length_ms: float) -> tuple[SenderOutage, ...]:
    """Kills in disjoint periods, so that a sender is never killed while it is down."""
    rng = Random(f"{seed}/deaths")
    period_ms = 0.7 * length_ms / max(count, 1)
    result = []
    for n in range(count):
        at = 0.1 * length_ms + (n + rng.uniform(0.0, 0.5)) * period_ms
        result.append(
            SenderOutage(at, rng.randrange(senders), at + min(rng.uniform(500.0, 3_000.0), 0.45 * period_ms))
        )
    return tuple(result)


def _mass_kill(senders: int, fraction: float, length_ms: float) -> tuple[SenderOutage, ...]:
    """Kill a fraction of the senders at once; they restart one after the other."""
    at = 0.4 * length_ms
    return tuple(SenderOutage(at, n, at + 1_500.0 + 10.0 * n) for n in range(round(senders * fraction)))


def _shares(specs: tuple[PartnerSpec, ...]) -> float:
    return sum(spec.share for spec in specs)


def _with_tight_limit(seed: int, spec: PartnerSpec, demand_per_s: float) -> PartnerSpec:
    """The partner with a limit that rejected calls use up, some spare capacity and short service times."""
    rng = Random(f"{seed}/tight/{spec.group}")
    service_ms = rng.uniform(30.0, 100.0)
    per_s = max(demand_per_s * rng.uniform(0.9, 1.8), 2.0)
    routes = len(spec.names) if spec.profile.separate_routes else 1
    workers = max(ceil(per_s * rng.uniform(1.2, 1.6) * service_ms / 1000 / len(spec.names)), 1)
    profile = replace(
        spec.profile, service_ms=service_ms, workers=workers, limit_per_s=per_s / routes, counts_refused=True
    )
    return replace(spec, profile=profile)


def _limit_drops(seed: int, specs: tuple[PartnerSpec, ...], count: int, length_ms: float) -> list[Change]:
    """The limits of ``count`` partners drop to a third for nine seconds."""
    rng = Random(f"{seed}/falls")
    changes = []
    for spec in rng.sample(specs, min(count, len(specs))):
        at = rng.uniform(0.2, 0.4) * length_ms
        changes += [Change(at, spec.names[0], limit=1 / 3), Change(at + 9_000.0, spec.names[0], limit=1.0)]
    return changes


def _skew_arrivals(seed: int, arrivals: list[Arrival], senders: int, spread: float) -> list[Arrival]:
    """The same arrivals, distributed unevenly over the senders."""
    rng = Random(f"{seed}/skew")
    weights = [rng.lognormvariate(0.0, spread) for _ in range(senders)]
    assigned = rng.choices(range(senders), weights, k=len(arrivals))
    return [replace(arrival, sender=sender) for arrival, sender in zip(arrivals, assigned, strict=True)]


def _outages(seed: int, service: Service, count: int, length_ms: float) -> list[Outage]:
    rng = Random(f"{seed}/{service.value}")
    period_ms = 0.8 * length_ms / max(count, 1)
    result = []
    for n in range(count):
        begin = 0.1 * length_ms + (n + rng.uniform(0.0, 0.4)) * period_ms
        result.append(Outage(service, begin, begin + min(rng.uniform(1_000.0, 6_000.0), 0.5 * period_ms)))
    return result


def _partners(seed: int, count: int, full_per_s: float) -> tuple[PartnerSpec, ...]:
    rng = Random(f"{seed}/partners")
    shares = [1.0 / (n + 1) for n in range(count)]
    result = []
    for n in range(count):
        kind = rng.choices(KINDS, (0.17, 0.33, 0.5))[0]
        demand_per_s = full_per_s * shares[n] / sum(shares)
        endpoints = rng.choice((1, 2, 2, 3, 3, 4))
        profile = Profile(service_ms=rng.uniform(300.0, 510.0), separate_routes=kind == "state-portal")
        if kind == "state-portal":
            rate = max(demand_per_s * rng.uniform(1.4, 2.9), 1.6) / endpoints
            profile = replace(profile, limit_per_s=max(rate, 0.5), span_ms=2000.0)
        elif kind == "county-office":
            profile = replace(profile, limit_per_s=max(demand_per_s * rng.uniform(0.99, 2.1), 1.7))
            profile = replace(profile, counts_refused=rng.random() < 0.3)
        capacity = max(demand_per_s * rng.uniform(1.2, 2.2), 1.5) * (1.0 if kind == "dealer" else 2.0)
        workers = max(round(capacity * profile.service_ms / 1000 / endpoints), 1)
        names = tuple(f"p{n}-{chr(97 + e)}" for e in range(endpoints))
        result.append(PartnerSpec(n, kind, replace(profile, workers=workers), names, shares[n]))
    return tuple(result)


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
    patterns = [pattern for pattern in TROUBLES if named in (ANY, pattern) and pattern not in (ANY, BUILDING)]
    changes: list[Change] = []
    if named == BUILDING and count:
        zone, begin, end = rng.choice(ZONES), *_trouble_window(rng, length_ms)
        for spec in specs:
            names = [name for name in spec.names if zones[name] == zone]
            changes += _condition_changes(names, Condition(Trouble.REFUSING), begin, end)
        return changes
    for spec in rng.sample(specs, min(count, len(specs))):
        pattern = rng.choice(patterns)
        severity = rng.uniform(*SEVERITY_RANGES.get(pattern, (1.0, 1.0)))
        begin, end = _trouble_window(rng, length_ms)
        if pattern == FLAPPING:
            while begin < end:
                duration_ms = rng.uniform(500.0, 2_000.0)
                changes += _condition_changes(
                    spec.names, Condition(Trouble.REFUSING), begin, begin + duration_ms
                )
                begin += duration_ms + rng.uniform(500.0, 2_000.0)
        elif pattern == COLD_AGAIN:
            middle = begin + 0.5 * (end - begin)
            again = middle + rng.uniform(1_000.0, 5_000.0)
            changes += _condition_changes(spec.names, Condition(Trouble.REFUSING), begin, middle)
            changes += _condition_changes(spec.names, Condition(Trouble.REFUSING), again, again + 3_000.0)
        else:
            changes += _condition_changes(spec.names, Condition(Trouble(pattern), severity), begin, end)
    return changes


def _trouble_window(rng: Random, length_ms: float) -> tuple[float, float]:
    begin = rng.uniform(0.15, 0.5) * length_ms
    return begin, begin + rng.uniform(5_000.0, min(20_000.0, max(0.35 * length_ms, 5_000.0)))


def _condition_changes(names: Sequence[str], condition: Condition, begin: float, end: float) -> list[Change]:
    changes = [Change(begin, name, condition) for name in names]
    return changes + [Change(end, name, Condition()) for name in names]


def _drains(
    seed: int, specs: tuple[PartnerSpec, ...], count: int, length_ms: float
) -> tuple[tuple[PartnerSpec, ...], list[Change]]:
    """Replace each endpoint of ``count`` partners: a new one is ready, the old one drains and goes."""
    rng = Random(f"{seed}/drains")
    chosen = {spec.group for spec in rng.sample(specs, min(count, len(specs)))}
    result, changes = [], []
    for spec in specs:
        if spec.group in chosen:
            later = tuple(f"{name}2" for name in spec.names)
            for old, new in zip(spec.names, later, strict=True):
                at = rng.uniform(0.2, 0.6) * length_ms
                changes.append(Change(at, new, state="ready"))
                changes.append(Change(at + 500.0, old, state="draining"))
                changes.append(Change(at + 5_000.0, old, state="gone"))
            spec = replace(spec, later=later)
        result.append(spec)
    return tuple(result), changes


def _at(change: Change) -> float:
    return change.at
