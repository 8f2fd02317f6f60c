"""Load on a cold destination that recovers from an outage, relative to the load that the settings allow.

    python -m benchmarks.cold_returns [--returns 50] [--senders 3 20 30 200] [--csv FILE]

Fleets of independent senders in virtual time: one destination is down, returns cold and warms up. Limit,
rating, outage, budget and the senders' shares of the traffic are generated from the seed. The result is the
peak number of calls in a window of the settings' length while it is cold, divided by N + 2 sqrt(N) + 2, where
N is the number that the settings allow: ``aware`` for windows in which two thirds of the calls came from
senders that saw the outage, ``all`` for any window. Endpoints with separate limits are counted separately.
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

from benchmarks.tables import print_peaks, write_table
from springspread import interface as i
from springspread.policy import Dispatcher

ANSWER_MS, REJECTED_MS, OBSERVED_MS = 80.0, 3.0, 12_000.0
DOWN_AT = 15_000.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """The generated parameters of one outage and return."""

    limit: float
    rating: float
    outage_ms: float
    rules: i.Rules
    separate_limits: bool
    endpoints: int

    def capacity_share(self, since_ms: float) -> float:
        """Return the share of the limit available at a time after the return; 1 before the outage."""
        cold, warm_ms = self.rules.cold_share, self.rules.warm_within_ms
        return min(cold + (1.0 - cold) * since_ms / warm_ms, 1.0) if since_ms >= 0.0 else 1.0

    def allowed_calls(self, since_ms: float, limit: float) -> float:
        """Return the calls allowed in one window at a time after the return."""
        n = limit * self.rules.fall_multiple * self.capacity_share(since_ms) * self.rules.fall_ms / 1000.0
        return n + 2.0 * sqrt(n) + 2.0

    def peak_ratios(
        self, calls: list[tuple[float, bool]], return_at: float, limit: float
    ) -> tuple[float, float]:
        """Return the peak ratio of calls to allowed calls, for windows of aware senders and for any."""
        aware = peak = 0.0
        first = 0
        for n, (at, _) in enumerate(calls):
            if at - return_at > self.rules.warm_within_ms:
                break  # warm
            while calls[first][0] <= at - self.rules.fall_ms:
                first += 1
            awareness = [knew for _, knew in calls[first : n + 1]]
            ratio = len(awareness) / self.allowed_calls(at - return_at, limit)
            peak = max(peak, ratio)
            if sum(awareness) * 3 >= len(awareness) * 2:
                aware = max(aware, ratio)
        return aware, peak


def generate(rng: Random) -> Scenario:
    """Generate the scenario of a seed."""
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
    return Scenario(limit, rating, outage_ms, rules, rng.random() < 0.5, rng.choice((1, 2, 3)))


def simulate(senders: int, seed: int) -> dict[str, object]:
    """Simulate one return for a fleet."""
    rng = Random(f"{senders}/{seed}")
    scenario = generate(rng)
    return_at = DOWN_AT + scenario.outage_ms
    end = return_at + OBSERVED_MS
    settings = i.Settings(
        (
            i.ClassSpec("brief", 1_000.0, 8_000.0, 1.0, 0.1, i.Effect.SAFE),
            i.ClassSpec("once", 4_000.0, 28_000.0, 2.0, 0.5, i.Effect.UNSAFE),
        ),
        (i.KindSpec("any", scenario.separate_limits, 1),),
        slots=6,
        max_held=60,
        senders=senders,
        rules=scenario.rules,
        rating=i.Rating.ROUGH,
        max_attempts=8,
    )
    fleet = [Dispatcher(settings, rng.getrandbits(60)) for _ in range(senders)]
    limit_count = scenario.endpoints if scenario.separate_limits else 1
    route_rating, limit = scenario.rating / limit_count, scenario.limit / limit_count
    entries = tuple(
        i.RouteEntry(n + 1, 0, 0, 1, i.RouteState.READY, route_rating) for n in range(scenario.endpoints)
    )
    weights = [rng.lognormvariate(0.0, 0.6) for _ in fleet]
    sequence, events, message_ids = count(), list[tuple[float, int, int, i.Event | None]](), count(1)
    for n in range(senders):
        heappush(events, (0.0, next(sequence), n, i.Listed(i.ListScope.WHOLE, 1, entries)))
    heappush(events, (rng.expovariate(0.8 * scenario.limit) * 1000.0, next(sequence), -1, None))
    sent: list[list[tuple[float, bool]]] = [[] for _ in range(limit_count)]
    saw_outage: set[tuple[int, int]] = set()
    full_until = [0.0] * limit_count  # until when the limit is used up
    attempts: dict[tuple[int, int], int] = {}
    while events and events[0][0] < end:
        now, _, sender, event = heappop(events)
        if sender < 0:
            cls = int(rng.random() < 0.3)
            sender = rng.choices(range(senders), weights)[0]
            event = i.Taken(next(message_ids), 1, cls, now + settings.classes[cls].deadline_ms)
            heappush(events, (now + rng.expovariate(0.8 * scenario.limit) * 1000.0, next(sequence), -1, None))
        for action in fleet[sender].handle(now, [event] if event is not None else []):
            if isinstance(action, i.Wake):
                heappush(events, (now + action.after_ms, next(sequence), sender, i.Woken(action.token)))
            elif isinstance(action, i.Send):
                attempt = attempts[sender, action.message] = attempts.get((sender, action.message), -1) + 1
                down, at = DOWN_AT <= now < return_at, (action.route - 1) % limit_count
                if down:
                    saw_outage.add((sender, at))
                elif now >= return_at:
                    sent[at].append((now, (sender, at) in saw_outage))
                full = not down and now < full_until[at]
                if not (down or full):  # within the limit, averaged over 0.5 s
                    full_until[at] = max(full_until[at], now - 500.0) + 1000.0 / (
                        limit * scenario.capacity_share(now - return_at)
                    )
                outcome = i.Outcome.CONNECT_FAILED if down else i.Outcome.FULL if full else i.Outcome.SERVED
                took = ANSWER_MS if outcome is i.Outcome.SERVED else REJECTED_MS
                over = outcome is i.Outcome.SERVED
                ended = i.Ended(action.message, attempt, action.route, outcome, took, over)
                heappush(events, (now + took, next(sequence), sender, ended))
    peaks = [scenario.peak_ratios(calls, return_at, limit) for calls in sent]
    aware, peak = (max(ratios) for ratios in zip(*peaks, strict=True))
    return {
        "senders": senders,
        "seed": seed,
        "limit": round(scenario.limit, 1),
        "multiple": scenario.rules.fall_multiple,
        "cold_share": round(scenario.rules.cold_share, 3),
        "outage_ms": round(scenario.outage_ms),
        "calls": sum(map(len, sent)),
        "aware": round(aware, 3),
        "all": round(peak, 3),
    }


def main() -> None:
    """Simulate the returns and print the peaks of each fleet size."""
    parser = argparse.ArgumentParser(description="Load of a fleet on cold destinations.")
    parser.add_argument("--returns", type=int, default=50)
    parser.add_argument("--senders", type=int, nargs="+", default=[3, 20, 30, 200])
    parser.add_argument("--csv", type=Path)
    args = parser.parse_args()
    rows = []
    with ProcessPoolExecutor() as pool:
        for size in args.senders:
            found = list(pool.map(simulate, [size] * args.returns, range(args.returns)))
            rows += found
            print_peaks(size, found)
    write_table(args.csv, rows)


if __name__ == "__main__":
    main()
