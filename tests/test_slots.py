"""All destinations share the slots: how many a slow one may take."""

from __future__ import annotations

from heapq import heappop, heappush

import pytest

from springspread import interface as i
from springspread.policy import Dispatcher

NOTE = i.ClassSpec("note", 1000.0, 8000.0, 1.0, 0.1, i.Effect.SAFE)
FAST, SLOW = 1, 2


def play(took: dict[int, list[float]], slots: int, each_ms: float) -> tuple[Dispatcher, dict[int, int], int]:
    """Play ten seconds in which each destination gets a message every ``each_ms``.

    ``took`` holds, by destination, how long a call takes by the number of others open (the last for more).
    """
    rules = i.Rules(cold_share=0.13, warm_within_ms=12_000.0, fall_multiple=2.5, fall_ms=2000.0)
    settings = i.Settings(
        (NOTE,), (i.KindSpec("dealer"),), slots=slots, max_held=2000, max_attempts=8, rules=rules
    )
    sender = Dispatcher(settings, seed=7)
    routes = tuple(i.RouteEntry(n, 0, 0, n, i.RouteState.READY, 500.0) for n in (FAST, SLOW))
    sender.handle(0.0, [i.Listed(i.ListScope.WHOLE, 1, routes)])
    due: list[tuple[float, int, i.Ended]] = []
    served, out, most = {FAST: 0, SLOW: 0}, {FAST: 0, SLOW: 0}, 0
    now, next_at, number = 0.0, 0.0, 0
    while now < 10_000.0:
        now += 5.0
        events: list[i.Event] = []
        while due and due[0][0] <= now:
            end = heappop(due)[2]
            out[end.route] -= 1
            served[end.route] += 1
            events.append(end)
        while next_at <= now:
            next_at += each_ms
            for dest in (FAST, SLOW):
                number += 1
                events.append(i.Taken(number, dest, 0, now + 8000.0))
        for action in sender.handle(now, events):
            if isinstance(action, i.Send):
                times = took[action.route]
                wait = times[min(out[action.route], len(times) - 1)]
                out[action.route] += 1
                attempt = sender.pending[action.message].attempts - 1
                end = i.Ended(action.message, attempt, action.route, i.Outcome.SERVED, wait, True)
                heappush(due, (now + wait, number * 100 + len(due), end))
        if now > 5000.0:
            most = max(most, out[SLOW])
    return sender, served, most


def test_short_calls_come_before_long_ones_where_slots_are_short() -> None:
    _, served, _ = play({FAST: [40.0], SLOW: [400.0]}, slots=6, each_ms=12.0)
    assert served[FAST] > 0.9 * 10_000.0 / 12.0  # they would fill 3.3 of the 6 slots


def test_a_route_that_queues_calls_gets_no_more_of_them() -> None:
    # Each further open call takes 100 ms more: more than one gains nothing.
    queueing = [100.0 * n for n in range(1, 20)]
    sender, served, most = play({FAST: [100.0], SLOW: queueing}, slots=16, each_ms=50.0)
    assert most <= 4
    assert served[FAST] > 0.9 * 10_000.0 / 50.0
    assert sender.routes[FAST].window > 2.0


class Driver:
    """Drives a dispatcher with one destination and one route."""

    def __init__(self, effect: i.Effect = i.Effect.SAFE) -> None:
        spec = i.ClassSpec("note", 1000.0, 12_000.0, 1.0, 0.1, effect)
        rules = i.Rules(cold_share=0.13, warm_within_ms=12_000.0, fall_multiple=2.5, fall_ms=2000.0)
        settings = i.Settings(
            (spec,), (i.KindSpec("dealer"),), slots=20, max_held=2000, max_attempts=8, rules=rules
        )
        self.sender = Dispatcher(settings, seed=7)
        route = i.RouteEntry(1, 0, 0, 1, i.RouteState.READY, 500.0)
        self.sender.handle(0.0, [i.Listed(i.ListScope.WHOLE, 1, (route,))])
        self.now, self.number = 0.0, 0

    def step(self, *events: i.Event, after: float = 40.0) -> list[i.Send]:
        self.now += after
        return [action for action in self.sender.handle(self.now, list(events)) if isinstance(action, i.Send)]

    def message(self) -> i.Taken:
        self.number += 1
        return i.Taken(self.number, 1, 0, self.now + 12_000.0)

    def end(self, send: i.Send, outcome: i.Outcome, took: float = 40.0) -> i.Ended:
        attempt = self.sender.pending[send.message].attempts - 1
        return i.Ended(send.message, attempt, send.route, outcome, took, outcome is i.Outcome.SERVED)

    def serve(self, count: int) -> int:
        """Submit messages, each served after 40 ms; return how many were sent."""
        out: list[i.Send] = []
        served = 0
        for _ in range(count):
            ends = [self.end(send, i.Outcome.SERVED) for send in out]
            served += len(ends)
            out = self.step(self.message(), *ends)
        self.step(*(self.end(send, i.Outcome.SERVED) for send in out))
        return served + len(out)


def test_calls_on_silent_connections_do_not_block_the_window() -> None:
    driver = Driver()
    assert driver.serve(20) >= 19
    silent = driver.step(driver.message())
    while more := driver.step(driver.message(), after=1.0):
        silent += more
    assert len(silent) == int(driver.sender.routes[1].window)  # all of it hangs
    driver.step(after=500.0)
    assert driver.serve(60) >= 55


def test_unsafe_messages_do_not_probe_a_silent_route() -> None:
    driver = Driver(i.Effect.UNSAFE)
    assert driver.serve(20) >= 19
    silent = [send for _ in range(30) for send in driver.step(driver.message(), after=1.0)]
    for _ in range(100):
        silent += driver.step(driver.message())
    assert len(silent) <= int(driver.sender.routes[1].window)


@pytest.mark.parametrize(("every", "outage"), [(10, False), (1, True)])
def test_occasional_resets_are_no_outage_and_constant_ones_are(every: int, outage: bool) -> None:
    driver = Driver()
    assert driver.serve(20) >= 19
    ends: list[i.Ended] = []
    for _ in range(200):
        sends = driver.step(driver.message(), *ends)
        broken = [driver.number % every == 0 and send.message == driver.number for send in sends]
        if every == 1:
            broken = [True] * len(sends)
        outcomes = [i.Outcome.RESET if breaks else i.Outcome.SERVED for breaks in broken]
        ends = [driver.end(send, outcome, 5.0) for send, outcome in zip(sends, outcomes, strict=True)]
    assert (driver.sender.routes[1].limiter.outage_seen_at > float("-inf")) == outage


@pytest.mark.parametrize(
    ("idle", "took", "counted"), [(2000.0, 5.0, True), (2000.0, 39.0, False), (50.0, 5.0, False)]
)
def test_only_a_quick_reset_after_idleness_counts_against_idle_connections(
    idle: float, took: float, counted: bool
) -> None:
    driver = Driver()
    assert driver.serve(20) >= 19
    (send,) = driver.step(driver.message(), after=idle)
    again = driver.step(driver.end(send, i.Outcome.RESET, took), after=took)
    while not again:
        again = driver.step()
    driver.step(driver.end(again[0], i.Outcome.SERVED))
    assert (driver.sender.idle_failures > 0.0) == counted
