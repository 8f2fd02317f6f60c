"""Slots are what all destinations share: what a slow one may take of them."""

from __future__ import annotations

from heapq import heappop, heappush

import pytest

from springspread import interface as i
from springspread.policy import Dispatcher

NOTE = i.ClassSpec("note", 1000.0, 8000.0, 1.0, 0.1, i.Effect.SAFE)
FAST, SLOW = 1, 2


def play(took: dict[int, list[float]], slots: int, each_ms: float) -> tuple[Dispatcher, dict[int, int], int]:
    """Ten seconds in which both destinations get a message every so often.

    ``took`` holds, by destination, how long a call takes with so many others out (the last for any more).
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
    # One call takes 100 ms and each further one 100 ms more: any above the first gains nothing.
    crowd = [100.0 * n for n in range(1, 20)]
    sender, served, most = play({FAST: [100.0], SLOW: crowd}, slots=16, each_ms=50.0)
    assert most <= 4
    assert served[FAST] > 0.9 * 10_000.0 / 50.0
    assert sender.routes[FAST].window > 2.0


class Line:
    """One destination with one route, driven a message at a time."""

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
        """Hand in so many, each served after 40 ms; how many went out."""
        out: list[i.Send] = []
        served = 0
        for _ in range(count):
            ends = [self.end(send, i.Outcome.SERVED) for send in out]
            served += len(ends)
            out = self.step(self.message(), *ends)
        self.step(*(self.end(send, i.Outcome.SERVED) for send in out))
        return served + len(out)


def test_calls_on_silent_connections_do_not_block_the_window() -> None:
    line = Line()
    assert line.serve(20) >= 19
    silent = line.step(line.message())
    while more := line.step(line.message(), after=1.0):
        silent += more
    assert len(silent) == int(line.sender.routes[1].window)  # all of it hangs
    line.step(after=500.0)
    assert line.serve(60) >= 55


def test_unsafe_messages_do_not_probe_a_silent_route() -> None:
    line = Line(i.Effect.UNSAFE)
    assert line.serve(20) >= 19
    silent = [send for _ in range(30) for send in line.step(line.message(), after=1.0)]
    for _ in range(100):
        silent += line.step(line.message())
    assert len(silent) <= int(line.sender.routes[1].window)


@pytest.mark.parametrize(("every", "outage"), [(10, False), (1, True)])
def test_occasional_resets_are_no_outage_and_constant_ones_are(every: int, outage: bool) -> None:
    line = Line()
    assert line.serve(20) >= 19
    ends: list[i.Ended] = []
    for _ in range(200):
        sends = line.step(line.message(), *ends)
        broken = [line.number % every == 0 and send.message == line.number for send in sends]
        if every == 1:
            broken = [True] * len(sends)
        outcomes = [i.Outcome.RESET if breaks else i.Outcome.SERVED for breaks in broken]
        ends = [line.end(send, outcome, 5.0) for send, outcome in zip(sends, outcomes, strict=True)]
    assert (line.sender.routes[1].limiter.outage_seen_at > float("-inf")) == outage


@pytest.mark.parametrize(
    ("idle", "took", "doubted"), [(2000.0, 5.0, True), (2000.0, 39.0, False), (50.0, 5.0, False)]
)
def test_only_a_quick_reset_after_idleness_counts_against_idle_connections(
    idle: float, took: float, doubted: bool
) -> None:
    line = Line()
    assert line.serve(20) >= 19
    (send,) = line.step(line.message(), after=idle)
    again = line.step(line.end(send, i.Outcome.RESET, took), after=took)
    while not again:
        again = line.step()
    line.step(line.end(again[0], i.Outcome.SERVED))
    assert (line.sender.idle_failures > 0.0) == doubted
