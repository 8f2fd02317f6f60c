"""Cost of independent health detection at each sender: the decision module in virtual time.

One destination with one endpoint is down for a while. The total traffic to it is constant (1.4 events/s, the
mean at full size), so the more senders there are, the less often each one calls it. Every attempt opens a
connection, which fails.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import mean

from benchmarks.capacity.measurement import Measurement, Values
from springspread import interface as i
from springspread.policy import Dispatcher

EVENTS_PER_S = 1.4
WARMUP_MS, OUTAGE_MS = 60_000.0, 900_000.0
ANSWER_MS, REFUSED_MS = 80.0, 3.0
AIM_MS, DEADLINE_MS = 1_000.0, 8_000.0
OUTAGES = 6


def settings(senders: int) -> i.Settings:
    """Settings of each sender."""
    return i.Settings(
        (i.ClassSpec("notice", AIM_MS, DEADLINE_MS, 1.0, 0.1, i.Effect.SAFE),),
        (i.KindSpec("any", False, 1),),
        slots=6,
        max_held=1_000,
        senders=senders,
        rules=i.Rules(drain_grace_ms=500.0, cold_share=0.2, warm_within_ms=10_000.0, fall_ms=2_000.0),
        max_attempts=8,
    )


def outage(senders: int, seed: int) -> tuple[int, int, float, float]:
    """Events and attempts in an outage, the fraction of senders affected, and the mean time to detection (s).

    Senders that never detect the outage count with its full length.
    """
    rng = Random(f"{senders}/{seed}")
    fleet = [Dispatcher(settings(senders), rng.getrandbits(60)) for _ in range(senders)]
    end, order, numbers = WARMUP_MS + OUTAGE_MS, count(), count(1)
    events: list[tuple[float, int, int, i.Event | None]] = []
    listing = i.Listed(i.ListScope.WHOLE, 1, (i.RouteEntry(1, 0, 0, 1, i.RouteState.READY, 100.0),))
    for number in range(senders):
        heappush(events, (0.0, next(order), number, listing))
    heappush(events, (1.0, next(order), -1, None))
    attempt_numbers: dict[int, int] = {}
    first_attempt_ms: dict[int, float] = {}
    offered = attempts = 0
    while events and events[0][0] < end:
        now, _, sender, event = heappop(events)
        down = now >= WARMUP_MS
        if sender < 0:
            sender = rng.randrange(senders)
            event = i.Taken(next(numbers), 1, 0, now + DEADLINE_MS)
            offered += down
            heappush(events, (now + rng.expovariate(EVENTS_PER_S) * 1_000.0, next(order), -1, None))
        for action in fleet[sender].handle(now, [event] if event is not None else []):
            if isinstance(action, i.Wake):
                heappush(events, (now + action.after_ms, next(order), sender, i.Woken(action.token)))
            elif isinstance(action, i.Send):
                attempt = attempt_numbers[action.message] = attempt_numbers.get(action.message, -1) + 1
                attempts += down
                if down:
                    first_attempt_ms.setdefault(sender, now - WARMUP_MS)
                outcome = i.Outcome.CONNECT_FAILED if down else i.Outcome.SERVED
                duration_ms = REFUSED_MS if down else ANSWER_MS
                ended = i.Ended(action.message, attempt, action.route, outcome, duration_ms, not down)
                heappush(events, (now + duration_ms, next(order), sender, ended))
    known_s = mean(first_attempt_ms.get(number, OUTAGE_MS) for number in range(senders)) / 1_000.0
    return offered, attempts, len(first_attempt_ms) / senders, known_s


def by_senders(senders: int) -> Values:
    """Outages of a destination, by the number of senders that share its traffic."""
    outages = [outage(senders, seed) for seed in range(OUTAGES)]
    length_s = OUTAGE_MS / 1_000.0
    return {
        "attempts_by_senders": mean(one[1] for one in outages) / length_s,
        "attempts_per_event_by_senders": sum(one[1] for one in outages) / sum(one[0] for one in outages),
        "handshakes_by_senders": mean(one[1] for one in outages) / length_s,
        "met_by_senders": mean(one[2] for one in outages),
        "time_to_know_by_senders": mean(one[3] for one in outages),
    }


MEASUREMENTS = (
    Measurement(
        "by_senders",
        "senders",
        (3, 10, 30, 100, 200),
        (3, 5, 10, 20),
        {
            "attempts_by_senders": "1/s and destination",
            "attempts_per_event_by_senders": "attempts",
            "handshakes_by_senders": "1/s and destination",
            "met_by_senders": "part of the senders",
            "time_to_know_by_senders": "s",
        },
        by_senders,
        300.0,
    ),
)
