"""What a cold destination is sent by all senders together as it returns, against what the settings allow it.

    python -m benchmarks.cold_returns [--returns 50] [--senders 3 20 30 200] [--csv FILE]

Fleets of senders that share nothing, in virtual time: one destination is down, comes back cold and warms
up. Each return draws its limit, rating, outage, budget and the senders' parts of the traffic from its seed.
Counted is the fullest span of the settings' length while it is cold, over N + 2 x root of N + 2, N being
what the settings allow it by then: ``aware`` where two thirds of that span came from senders that had met
the outage, ``all`` for any. Where routes stand apart, each endpoint has its own limit and is counted by
itself.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from math import sqrt
from pathlib import Path
from random import Random

from benchmarks.tables import tell_fullest, write_table
from springspread import interface as i
from springspread.policy import Dispatcher

ANSWER_MS, REFUSED_MS, AFTER_MS = 80.0, 3.0, 12_000.0
DOWN_AT = 15_000.0


@dataclass(frozen=True, slots=True)
class World:
    """One return, as drawn."""

    limit: float
    rating: float
    outage_ms: float
    rules: i.Rules
    apart: bool
    endpoints: int

    def warmth(self, since_ms: float) -> float:
        """The part of its limit that it can do, so long after its return; all of it before the outage."""
        cold, warm_ms = self.rules.cold_share, self.rules.warm_within_ms
        return min(cold + (1.0 - cold) * since_ms / warm_ms, 1.0) if since_ms >= 0.0 else 1.0

    def allowed(self, since_ms: float, limit: float) -> float:
        """How many calls may be sent in a span of the settings' length, so long after the return."""
        n = limit * self.rules.fall_multiple * self.warmth(since_ms) * self.rules.fall_ms / 1000.0
        return n + 2.0 * sqrt(n) + 2.0

    def fullest(self, calls: list[tuple[float, bool]], back: float, limit: float) -> tuple[float, float]:
        """The fullest span's part of what is allowed: of those two thirds of which the aware sent, of all."""
        aware = most = 0.0
        first = 0
        for n, (at, _) in enumerate(calls):
            if at - back > self.rules.warm_within_ms:
                break  # it is warm, and falls no more
            while calls[first][0] <= at - self.rules.fall_ms:
                first += 1
            knew = [knows for _, knows in calls[first : n + 1]]
            part = len(knew) / self.allowed(at - back, limit)
            most = max(most, part)
            if sum(knew) * 3 >= len(knew) * 2:
                aware = max(aware, part)
        return aware, most


def draw(rng: Random) -> World:
    """A return of a seed."""
    limit = rng.uniform(8.0, 90.0)
    rules = i.Rules(
        drain_grace_ms=500.0,
        cold_share=rng.uniform(0.13, 0.35),
        warm_within_ms=rng.uniform(9_200.0, 12_000.0),
        fall_multiple=rng.choice((1.5, 2.5)),
        fall_ms=2_000.0,
    )
    rating = limit * rng.uniform(1 / 1.5, 1.5)
    outage_ms = rng.uniform(3_000.0, 20_000.0)
    return World(limit, rating, outage_ms, rules, rng.random() < 0.5, rng.choice((1, 2, 3)))


def play(senders: int, seed: int) -> dict[str, object]:
    """One return of a fleet."""
    rng = Random(f"{senders}/{seed}")
    world = draw(rng)
    back = DOWN_AT + world.outage_ms
    end = back + AFTER_MS
    settings = i.Settings(
        (
            i.ClassSpec("brief", 1_000.0, 8_000.0, 1.0, 0.1, i.Effect.SAFE),
            i.ClassSpec("once", 4_000.0, 28_000.0, 2.0, 0.5, i.Effect.UNSAFE),
        ),
        (i.KindSpec("any", world.apart, 1),),
        slots=6,
        max_held=60,
        senders=senders,
        rules=world.rules,
        rating=i.Rating.ROUGH,
        max_attempts=8,
    )
    fleet = [Dispatcher(settings, rng.getrandbits(60)) for _ in range(senders)]
    parts = world.endpoints if world.apart else 1
    per, limit = world.rating / parts, world.limit / parts
    entries = tuple(i.RouteEntry(n + 1, 0, 0, 1, i.RouteState.READY, per) for n in range(world.endpoints))
    weights = [rng.lognormvariate(0.0, 0.6) for _ in fleet]
    order, events, numbers = count(), list[tuple[float, int, int, i.Event | None]](), count(1)
    for n in range(senders):
        heappush(events, (0.0, next(order), n, i.Listed(i.ListScope.WHOLE, 1, entries)))
    heappush(events, (rng.expovariate(0.8 * world.limit) * 1000.0, next(order), -1, None))
    sent: list[list[tuple[float, bool]]] = [[] for _ in range(parts)]
    met: set[tuple[int, int]] = set()
    full_at = [0.0] * parts  # up to when what it takes is used up
    attempts: dict[tuple[int, int], int] = {}
    while events and events[0][0] < end:
        now, _, who, event = heappop(events)
        if who < 0:
            cls = int(rng.random() < 0.3)
            who = rng.choices(range(senders), weights)[0]
            event = i.Taken(next(numbers), 1, cls, now + settings.classes[cls].deadline_ms)
            heappush(events, (now + rng.expovariate(0.8 * world.limit) * 1000.0, next(order), -1, None))
        for action in fleet[who].handle(now, [event] if event is not None else []):
            if isinstance(action, i.Wake):
                heappush(events, (now + action.after_ms, next(order), who, i.Woken(action.token)))
            elif isinstance(action, i.Send):
                attempt = attempts[who, action.message] = attempts.get((who, action.message), -1) + 1
                down, at = DOWN_AT <= now < back, (action.route - 1) % parts
                if down:
                    met.add((who, at))
                elif now >= back:
                    sent[at].append((now, (who, at) in met))
                full = not down and now < full_at[at]
                if not (down or full):  # what it takes on stays within its limit, over half a second
                    full_at[at] = max(full_at[at], now - 500.0) + 1000.0 / (limit * world.warmth(now - back))
                outcome = i.Outcome.CONNECT_FAILED if down else i.Outcome.FULL if full else i.Outcome.SERVED
                took = ANSWER_MS if outcome is i.Outcome.SERVED else REFUSED_MS
                over = outcome is i.Outcome.SERVED
                ended = i.Ended(action.message, attempt, action.route, outcome, took, over)
                heappush(events, (now + took, next(order), who, ended))
    fullest = [world.fullest(calls, back, limit) for calls in sent]
    aware, most = (max(parts) for parts in zip(*fullest, strict=True))
    return {
        "senders": senders,
        "seed": seed,
        "limit": round(world.limit, 1),
        "multiple": world.rules.fall_multiple,
        "cold_share": round(world.rules.cold_share, 3),
        "outage_ms": round(world.outage_ms),
        "calls": sum(map(len, sent)),
        "aware": round(aware, 3),
        "all": round(most, 3),
    }


def main() -> None:
    """Play the returns and tell the fullest of each size."""
    parser = argparse.ArgumentParser(description="What cold destinations are sent by a whole fleet.")
    parser.add_argument("--returns", type=int, default=50)
    parser.add_argument("--senders", type=int, nargs="+", default=[3, 20, 30, 200])
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows = []
    with ProcessPoolExecutor() as pool:
        for size in args.senders:
            found = list(pool.map(play, [size] * args.returns, range(args.returns)))
            rows += found
            tell_fullest(size, found)
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
