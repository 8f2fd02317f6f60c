"""The six rules: a test for each, random event sequences under the monitor, and the monitor itself."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springspread import interface as i
from springspread.policy import Dispatcher
from tests.monitor import Monitor, RuleViolation, World

RULES = i.Rules(20.0, 250.0, 10000.0, 0.2, 10000.0, 2.0, 2000.0, 100.0)
SAFE = i.ClassSpec("safe", 1000.0, 8000.0, 1.0, 0.5, i.Effect.SAFE)
KEYED = i.ClassSpec("keyed", 1000.0, 12000.0, 1.0, 0.5, i.Effect.KEYED, i.Scope.ZONE, 4000.0)
UNSAFE = i.ClassSpec("unsafe", 2000.0, 12000.0, 3.0, 0.5, i.Effect.UNSAFE, in_order=True)
KEYED_ALL = i.ClassSpec("keyed all", 1000.0, 12000.0, 1.0, 0.5, i.Effect.KEYED, i.Scope.ALL, 4000.0)


def make_settings(**changes: object) -> i.Settings:
    base: dict[str, object] = {
        "classes": (SAFE, KEYED, UNSAFE, KEYED_ALL),
        "kinds": (i.KindSpec("apart", True), i.KindSpec("shared", False, 5)),
        "slots": 12,
        "max_held": 60,
        "rules": RULES,
        "rating": i.Rating.EXACT,
        "tick_ms": 5.0,
        "max_attempts": 5,
        "tells_retry_after": True,
        "max_retry_after_ms": 2000.0,
    }
    base.update(changes)
    return i.Settings(**base)  # type: ignore[arg-type]


def entries(*dests: tuple[int, int, int], rating: float = 20.0) -> tuple[i.RouteEntry, ...]:
    """Entries for (destination, routes, kind); routes get zones in turn."""
    made = []
    for dest, routes, kind in dests:
        for n in range(routes):
            made.append(i.RouteEntry(dest * 10 + n, n % 2, kind, dest, i.RouteState.READY, rating))
    return tuple(made)


def take(world: World, number: int, cls: int = 0, dest: int = 1, key: int = 0) -> i.Taken:
    spec = world.settings.classes[cls]
    return i.Taken(number, dest, cls, world.now + spec.deadline_ms, key=key)


def test_a_message_is_sent_once_over_the_best_route() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.step([take(world, 1)])
    world.run(1000)
    assert len(world.sends()) == 1
    assert not world.sender.pending


def test_a_fault_moves_a_message_to_the_next_route() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.outcomes = {10: i.Outcome.CONNECT_FAILED}
    for n in range(20):
        world.step([take(world, n)])
        world.run(400)
    assert not world.sender.pending
    assert {send.route for _, send in world.sends()} == {10, 11}
    assert not world.finals()


def test_rule_one_answer_in_time_if_no_route_responds() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.outcomes = {10: i.Outcome.TIMEOUT, 11: i.Outcome.TIMEOUT}
    world.step([take(world, n, n % 4) for n in range(12)])
    world.run(20000)
    assert not world.sender.pending


def test_rule_two_an_unsafe_message_that_may_have_run_is_failed_at_once() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.outcomes = {10: i.Outcome.ERROR, 11: i.Outcome.ERROR}
    world.step([take(world, 1, 2)])
    world.run(2000)
    assert len(world.sends()) == 1
    ((at, final),) = world.finals()
    assert isinstance(final, i.Fail)
    assert at <= 1000.0 + world.response_ms + world.settings.tick_ms


def test_rule_two_a_keyed_message_keeps_to_its_zone_and_window() -> None:
    world = World(make_settings(), 1, entries((1, 3, 0)))
    world.outcomes = dict.fromkeys((10, 11, 12), i.Outcome.ERROR)
    world.step([take(world, 1, 1)])
    world.run(15000)
    assert len({send.route % 2 for _, send in world.sends()}) == 1
    assert not world.sender.pending


def test_rule_three_nothing_new_to_a_draining_route() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0)))
    world.step([i.Listed(i.ListScope.CHANGES, 2, (i.RouteEntry(10, 0, 0, 1, i.RouteState.DRAINING, 20.0),))])
    world.run(300)
    world.step([take(world, 1)])
    world.run(10000)
    assert not world.sends()
    assert [type(final) for _, final in world.finals()] == [i.Refuse]


def test_rule_four_a_returning_destination_is_sent_little() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0), rating=5.0))
    world.outcomes = {10: i.Outcome.CONNECT_FAILED}
    world.step([take(world, n) for n in range(30)])
    world.run(3000)
    world.outcomes = {}
    world.monitor.mark_recovered(world.now, 10)
    for n in range(100, 160):
        world.step([take(world, n)])
        world.run(200)
    assert len(world.monitor.cold_sends[10]) > 3


def test_rule_four_after_refusals_as_after_failures() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0), rating=5.0))
    world.outcomes = {10: i.Outcome.FULL}
    world.step([take(world, n) for n in range(30)])
    world.run(6000)
    world.outcomes = {}
    world.monitor.mark_recovered(world.now, 10)
    for n in range(100, 160):
        world.step([take(world, n)])
        world.run(200)
    assert len(world.monitor.cold_sends[10]) > 3


def test_rule_five_a_key_is_sent_in_order_and_settles_after_a_fault() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.outcomes = {10: i.Outcome.RESET}
    world.step([take(world, n, 2, key=7) for n in range(5)])
    world.run(14000)
    assert not world.sender.pending
    assert len(world.sends()) >= 5


def test_rule_six_retry_after_is_respected() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0)))
    world.outcomes, world.retry_after_ms = {10: i.Outcome.FULL}, 3000.0
    world.step([take(world, 1)])
    world.run(2900)
    assert len(world.sends()) == 1
    world.outcomes = {}
    world.run(2000)
    assert len(world.sends()) == 2


def test_a_hung_destination_takes_at_most_half_of_the_slots() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0), (2, 2, 0)))
    world.outcomes = {10: i.Outcome.TIMEOUT, 11: i.Outcome.TIMEOUT}
    for n in range(20):
        world.step([take(world, n, dest=1)])
        world.run(50)
        assert world.sender.dests[1].calls <= 6
    world.step([take(world, 99, dest=2)])
    assert world.sends()[-1][1].route in (20, 21)


def test_events_of_unknown_messages_are_ignored() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0)))
    events: list[i.Event] = [
        i.Ended(77, 3, 10, i.Outcome.SERVED, 5.0, True),
        i.Withdrawn(78),
        i.Woken(9),
        i.Probed(10, i.Outcome.UNKNOWN, 1.0),
        i.Heard(2, b"hi"),
        i.Began(5, 0, 10, 3.0),
        i.Taken(5, 44, 99, world.now + 2000),
    ]
    assert not [a for a in world.sender.handle(world.now, events) if isinstance(a, i.Send)]
    done = world.sender.handle(world.now + 1990, [i.Woken(0)])
    assert [type(a) for a in done if isinstance(a, i.Refuse | i.Fail)] == [i.Refuse]


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"classes": ()}, "classes"), ({"slots": 0}, "slots"), ({"tick_ms": -1.0}, "tick_ms")],
)
def test_invalid_settings_name_the_field(changes: dict[str, object], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        make_settings(**changes)


OUTCOMES = [o for o in i.Outcome if o is not i.Outcome.CANCELLED]
STEP = st.tuples(
    st.integers(0, 3),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from(OUTCOMES),
    st.integers(0, 400),
    st.sampled_from([0, 0, 0, 1, 2]),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=50), st.integers(0, 9), st.sampled_from([2, 3, 12]))
def test_random_event_sequences_keep_the_rules(
    steps: list[tuple[int, int, int, i.Outcome, int, int]], seed: int, slots: int
) -> None:
    world = World(
        make_settings(slots=slots, max_held=12, may_cancel=True, senders=300 if seed % 2 else 1),
        seed,
        entries((1, 3, 0), (2, 2, 1)),
    )
    for number, (cls, dest, pick, outcome, pause, extra) in enumerate(steps):
        world.outcomes[dest * 10 + pick] = outcome
        world.retry_after_ms = pause if outcome is i.Outcome.FULL else 0.0
        events: list[i.Event] = [take(world, number, cls, dest, key=pick if cls == 2 else 0)]
        if extra == 1 and number:
            events.append(i.Withdrawn(number // 2))
            world.monitor.finished.add(number // 2)
        if extra == 2:
            state = i.RouteState(pick % 3)
            events.append(
                i.Listed(i.ListScope.CHANGES, number + 2, (i.RouteEntry(10, 0, 0, 1, state, 20.0),))
            )
        world.step(events)
        world.run(pause)
    world.run(30000)
    assert not world.sender.pending
    assert world.sender.calls == 0


def test_equal_events_give_equal_actions() -> None:
    def play() -> list[tuple[float, list[i.Action]]]:
        world = World(make_settings(), 3, entries((1, 3, 0), (2, 2, 1)))
        world.outcomes = {10: i.Outcome.FULL, 20: i.Outcome.ERROR}
        for n in range(40):
            world.step([take(world, n, n % 4, 1 + n % 2)])
            world.run(70)
        world.run(20000)
        return world.trace

    assert play() == play()


class TestMonitor:
    """The monitor detects each kind of violation."""

    def start(self) -> Monitor:
        monitor = Monitor(make_settings())
        monitor.event(0, i.Listed(i.ListScope.CACHED, 1, entries((1, 3, 0))))
        for n, cls in enumerate((0, 1, 2, 2)):
            monitor.event(0, i.Taken(n, 1, cls, 5000.0, key=9 if cls == 2 else 0))
        return monitor

    def test_late_answer(self) -> None:
        with pytest.raises(RuleViolation, match="late"):
            self.start().overdue(5021.0)

    def test_send_after_the_end(self) -> None:
        with pytest.raises(RuleViolation, match="sent after its end"):
            self.start().actions(1, [i.Fail(0), i.Send(0, 10, 0)])

    def test_second_answer(self) -> None:
        with pytest.raises(RuleViolation, match="second"):
            self.start().actions(1, [i.Fail(0), i.Refuse(0)])

    def test_two_open_attempts(self) -> None:
        with pytest.raises(RuleViolation, match="two attempts"):
            self.start().actions(1, [i.Send(0, 10, 0), i.Send(0, 11, 0)])

    def test_unsafe_repeated_or_refused(self) -> None:
        for last in (i.Send(2, 10, 0), i.Refuse(2)):
            monitor = self.start()
            monitor.actions(1, [i.Send(2, 10, 0)])
            monitor.event(2, i.Ended(2, 0, 10, i.Outcome.ERROR, 1, False))
            with pytest.raises(RuleViolation, match="twice"):
                monitor.actions(3, [last])

    def test_keyed_zone_and_window(self) -> None:
        for at, route in ((3, 11), (4002, 10)):
            monitor = self.start()
            monitor.actions(1, [i.Send(1, 10, 0)])
            monitor.event(2, i.Ended(1, 0, 10, i.Outcome.TIMEOUT, 1, False))
            with pytest.raises(RuleViolation, match="twice"):
                monitor.actions(at, [i.Send(1, route, 0)])

    def test_drain(self) -> None:
        monitor = self.start()
        entry = i.RouteEntry(10, 0, 0, 1, i.RouteState.GONE)
        monitor.event(0, i.Listed(i.ListScope.CHANGES, 2, (entry,)))
        with pytest.raises(RuleViolation, match="drain"):
            monitor.actions(251, [i.Send(0, 10, 0)])

    def test_wait(self) -> None:
        monitor = self.start()
        monitor.actions(1, [i.Send(0, 10, 0)])
        monitor.event(2, i.Ended(0, 0, 10, i.Outcome.FULL, 1, False, 100.0))
        with pytest.raises(RuleViolation, match="wait"):
            monitor.actions(50, [i.Send(0, 10, 0)])

    def test_order_and_settling(self) -> None:
        with pytest.raises(RuleViolation, match="order"):
            self.start().actions(1, [i.Send(3, 10, 0)])
        monitor = self.start()
        monitor.actions(1, [i.Send(2, 10, 0)])
        monitor.event(2, i.Ended(2, 0, 10, i.Outcome.RESET, 1, False))
        with pytest.raises(RuleViolation, match="has not settled"):
            monitor.actions(3, [i.Fail(2), i.Send(3, 10, 0)])

    def test_fail_back(self) -> None:
        monitor = Monitor(make_settings())
        monitor.event(0, i.Listed(i.ListScope.CACHED, 1, entries((1, 1, 0), rating=1.0)))
        monitor.mark_recovered(0, 10)
        with pytest.raises(RuleViolation, match="fail-back"):
            for n in range(3):
                monitor.event(n, i.Taken(n, 1, 0, 5000.0))
                monitor.actions(n, [i.Send(n, 10, 0)])


def test_a_later_refusal_does_not_shorten_an_earlier_retry_after() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0)))
    world.step([take(world, n) for n in range(2)])
    sender = world.sender
    sender.routes[10].window = 9.0
    sender.routes[10].limiter.tokens = 9.0
    world.run(5)
    world.step([take(world, 2)])
    long = i.Ended(0, 0, 10, i.Outcome.FULL, 5.0, False, 4000.0)
    short = i.Ended(2, 0, 10, i.Outcome.FULL, 5.0, False, 0.0)
    assert {send.message for _, send in world.sends()} >= {0}
    sender.handle(world.now, [long])
    sender.handle(world.now + 5, [short])
    assert sender.routes[10].limiter.shut_until >= world.now + 4000.0
    late = sender.handle(world.now + 3900, [])
    assert not [action for action in late if isinstance(action, i.Send)]


def test_timeouts_between_served_calls_neither_flag_nor_ramp() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0)))
    route = world.sender.routes[10]
    route.window = 9.0
    for n in range(8):
        route.limiter.tokens = 2.0
        world.step([take(world, 2 * n), take(world, 2 * n + 1)])
        first, second = [send.message for _, send in world.sends()[-2:]]
        attempts = [len(world.monitor.sends[m]) - 1 for m in (first, second)]
        world.scheduled = [c for c in world.scheduled if not isinstance(c[2], i.Ended)]
        world.now += 100
        route.health.served_sent_at = world.now
        lost = i.Ended(first, attempts[0], 10, i.Outcome.TIMEOUT, 100, True)
        served = i.Ended(second, attempts[1], 10, i.Outcome.SERVED, 100, True)
        world.step([lost, served])
    assert not route.health.flagged
    assert route.limiter.recovered_at < 0


def test_keyed_timeouts_leave_time_for_another_attempt() -> None:
    world = World(make_settings(), 1, entries((1, 3, 0)))
    world.outcomes = dict.fromkeys((10, 11, 12), i.Outcome.TIMEOUT)
    world.step([take(world, 1, 1)])
    assert world.sends()[0][1].timeout_ms < world.settings.classes[1].window_ms
    world.run(13000)
    assert len(world.sends()) >= 2


def test_a_failed_list_request_is_made_again_with_growing_pauses() -> None:
    sender = World(make_settings(must_ask=True), 1, entries((1, 1, 0))).sender
    now, asked = 1000.0, []
    for _ in range(4):
        sender.handle(now, [i.Listed(i.ListScope.FAILED)])
        while not any(isinstance(a, i.Watch) for a in sender.handle(now, [i.Woken(0)])):
            now += 50
        asked.append(now)
    pauses = [later - sooner for sooner, later in zip([1000.0, *asked], asked, strict=False)]
    assert pauses[0] < pauses[1] < pauses[2]
    assert max(pauses) <= RULES.ask_within_ms


def test_a_timer_that_fires_slightly_early_is_set_again() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0)))
    world.outcomes, world.retry_after_ms = {10: i.Outcome.FULL}, 3000.0
    world.step([take(world, 1)])
    world.run(70)
    early = world.sender.wake_at - 0.0005
    assert early > world.now
    again = world.sender.handle(early, [i.Woken(0)])
    assert [action for action in again if isinstance(action, i.Wake)]


def test_a_clock_that_jumps_far_ahead_is_handled() -> None:
    sender = World(make_settings(), 1, entries((1, 1, 0))).sender
    sender.handle(1.2e9, [i.Taken(1, 1, 0, 1.2e9 + 8000.0)])
    assert sender.in_flight
    sender.handle(1.2e9 + 60, [i.Ended(1, 0, 10, i.Outcome.SERVED, 60.0, True)])
    again = sender.handle(1.2e9 + 9000, [i.Taken(2, 1, 0, 1.2e9 + 17000.0)])
    assert [action for action in again if isinstance(action, i.Send)]


def test_a_class_that_fails_on_a_route_moves_without_the_others() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.response_ms = 20.0
    sender = world.sender
    sender.routes[10].tie_break, sender.routes[11].tie_break = 0.0, 1.0
    sender.routes[10].zone = sender.routes[11].zone
    for n in range(0, 120, 2):
        for number, cls in ((n, 0), (n + 1, 3)):
            world.step([take(world, number, cls)])
            sends = [(m, k) for m, k in sender.in_flight if m == number]
            for key in sends:
                route = sender.in_flight[key][1].route
                bad = route.id == 10 and cls == 0 and n > 40
                outcome = i.Outcome.ERROR if bad else i.Outcome.SERVED
                world.scheduled = [c for c in world.scheduled if getattr(c[2], "message", None) != number]
                world.schedule(20.0, i.Ended(number, key[1], route.id, outcome, 20.0, not bad))
            world.run(150)
    route = sender.routes[10]
    assert route.classes[0].success_share < 0.9 < route.classes[3].success_share
    late = [send for at, send in world.sends() if send.message > 100]
    assert {send.route for send in late if send.message % 2} == {10}
    assert {send.route for send in late if send.message % 2 == 0} == {11}
    assert not route.health.flagged
    assert route.classes[3].success_share > 0.99


def test_idle_connections_are_closed_only_on_evidence() -> None:
    world = World(make_settings(), 1, entries((1, 1, 0), (2, 1, 0)))
    closes: list[tuple[float, int]] = []

    def call(number: int, dest: int, outcome: i.Outcome, cls: int = 0) -> None:
        world.outcomes[dest * 10] = outcome
        world.step([take(world, number, cls, dest)])
        world.outcomes[dest * 10] = i.Outcome.SERVED
        world.run(3000)

    call(1, 1, i.Outcome.SERVED)
    call(2, 1, i.Outcome.SERVED)
    assert not [a for _, acts in world.trace for a in acts if isinstance(a, i.CloseIdle)]
    world.response_ms = 5.0  # a connection that the other side has closed resets at once
    call(3, 1, i.Outcome.RESET)
    world.response_ms = 60.0
    world.run(4000)
    call(4, 2, i.Outcome.SERVED)
    world.trace.clear()
    call(5, 2, i.Outcome.SERVED, 2)
    closes = [(at, a.route) for at, acts in world.trace for a in acts if isinstance(a, i.CloseIdle)]
    assert [route for _, route in closes] == [20]


def cold_fleet(count: int, heavy: int) -> tuple[float, float]:
    """Play a fleet against one destination that is down, then cold.

    Returns the largest used part of its budget, and the used part of its limit as it warmed up.
    """
    settings_ = make_settings(senders=count, slots=6, max_held=40)
    limit = 20.0
    worlds = [World(settings_, n, entries((1, 1, 0), rating=limit)) for n in range(count)]
    rate_per_s = 0.8 * limit
    number, rng = 0, worlds[0].rng
    sent: list[tuple[float, bool]] = []
    start, recovery, end = 20000.0, 30000.0, 44000.0
    clock = 0.0
    while clock < end:
        clock += 1000.0 / rate_per_s
        draw = rng.random()
        world = worlds[int(draw * 2 * heavy)] if draw < 0.5 else worlds[rng.randrange(count)]
        outcome = i.Outcome.CONNECT_FAILED if start <= clock < recovery else i.Outcome.SERVED
        for each in worlds if number % 5 == 0 else [world]:
            each.outcomes[10] = outcome
            each.run(1000.0 + clock - each.now)
        world.step([take(world, number)])
        number += 1
    for world in worlds:
        world.run(1000.0 + end - world.now)
        calls = [at - 1000.0 for at, _ in world.sends()]
        saw_outage = any(start < at < recovery - 100 for at in calls)
        sent += [(at, saw_outage) for at in calls if at >= recovery]
    worst = 0.0
    for at, _ in sent:
        warm = min(1.0, RULES.cold_share + (1 - RULES.cold_share) * (at - recovery) / RULES.warm_within_ms)
        budget = 1.0 + limit * 1.2 * RULES.fall_multiple * warm * RULES.fall_ms / 1000
        recent = [saw_outage for other, saw_outage in sent if at - RULES.fall_ms < other <= at]
        if at - recovery <= RULES.warm_within_ms and sum(recent) >= len(recent) * 2 / 3:
            worst = max(worst, len(recent) / max(budget, 3.0))
    assert len(sent) > limit
    warmed = sum(at < recovery + 8000 for at, _ in sent) / (8 * limit)
    return worst, warmed


@pytest.mark.parametrize(("count", "heavy"), [(3, 1), (20, 2), (30, 3), (40, 4), (200, 8)])
def test_a_fleet_keeps_the_fail_back_budget(count: int, heavy: int) -> None:
    worst, _ = cold_fleet(count, heavy)
    assert worst <= 1.0


def test_forty_senders_use_the_capacity_of_a_destination_as_it_warms_up() -> None:
    _, warmed = cold_fleet(40, 4)
    assert warmed >= 0.3


@pytest.mark.parametrize("rating", [0.0, 0.001, 5.0])
def test_more_senders_than_calls_and_odd_ratings_still_send(rating: float) -> None:
    world = World(make_settings(senders=600, slots=2, max_held=8), 1, entries((1, 2, 0), rating=rating))
    for n in range(20):
        world.step([take(world, n, n % 4)])
        world.run(400)
    world.run(15000)
    assert not world.sender.pending
    assert len(world.sends()) >= 2


def test_an_outcome_after_the_end_and_a_list_that_empties_or_repeats() -> None:
    world = World(make_settings(), 1, entries((1, 2, 0)))
    world.step([take(world, 1)])
    ((_, send),) = world.sends()
    world.step([i.Withdrawn(1)])
    same = entries((1, 1, 0))[0]
    world.step([i.Listed(i.ListScope.WHOLE, 3, (same, same))])
    assert list(world.sender.routes) == [10]
    assert [route.id for route in world.sender.dests[1].routes] == [10]
    world.step([i.Listed(i.ListScope.WHOLE, 4, ())])
    world.run(500)
    assert world.sender.calls == 0
    assert send.route in (10, 11)
    world.step([take(world, 2)])
    world.run(9000)
    assert [type(final) for _, final in world.finals()] == [i.Refuse]


def test_senders_with_the_same_long_retry_after_do_not_return_together() -> None:
    settings_ = make_settings(senders=60)
    returned = 0
    for seed in range(60):
        world = World(settings_, seed, entries((1, 1, 0), rating=10.0))
        for n in range(8):
            world.step([take(world, n)])
            world.run(500)
        world.outcomes, world.retry_after_ms = {10: i.Outcome.FULL}, 8000.0
        world.step([take(world, 8, 2)])
        world.run(8050)
        world.outcomes = {}
        before = len(world.sends())
        world.run(3000)
        returned += len(world.sends()) - before
    assert 0 < returned <= 20


def test_senders_refused_once_by_a_small_destination_retry_rarely() -> None:
    settings_ = make_settings(senders=300)
    again = 0
    for seed in range(60):
        world = World(settings_, seed, entries((1, 1, 0), rating=2.0))
        world.step([take(world, 0)])
        world.run(30000)
        world.outcomes = {10: i.Outcome.FULL}
        world.step([take(world, 1)])
        world.run(4000)
        again += len(world.sends()) - 2
    assert again <= 24  # each has a chance of one call during the warm-up


def sent_after_recovery(count: int, aware: int, outcome: i.Outcome, out_ms: float) -> int:
    """Senders see an outage and then wait with messages; returns the most sent in ``fall_ms`` after it."""
    settings_ = make_settings(senders=count, slots=3, max_held=8)
    sent: list[float] = []
    for seed in range(aware):
        world = World(settings_, seed, entries((1, 1, 0), rating=20.0))
        world.run(20000)
        start = world.now
        world.outcomes = {10: outcome}
        world.run(1000.0 * world.rng.random())
        number = 0
        while world.now < start + out_ms + 4000:
            world.step([take(world, number)])
            number += 1
            world.run(min(2000.0, max(start + out_ms - world.now, 0.0)) or 2000.0)
            if world.now >= start + out_ms:
                world.outcomes = {}
        sent += [at - start - out_ms for at, _ in world.sends() if at > start + out_ms]
    return max(
        sum(1 for at in sent if since <= at < since + RULES.fall_ms) for since in (0, *sent) if since <= 2000
    )


@pytest.mark.parametrize(
    ("aware", "outcome", "out_ms"),
    [
        (160, i.Outcome.CONNECT_FAILED, 14000.0),  # longer than the warm-up: the end of a ramp is no evidence
        (160, i.Outcome.CONNECT_FAILED, 18000.0),
        (60, i.Outcome.FULL, 7000.0),  # each sender is refused once, without retry-after
        (3, i.Outcome.CONNECT_FAILED, 14000.0),
    ],
)
def test_senders_that_saw_the_outage_keep_within_the_cold_budget(
    aware: int, outcome: i.Outcome, out_ms: float
) -> None:
    count = 3 if aware == 3 else 200
    budget = 20.0 * RULES.fall_multiple * RULES.cold_share * RULES.fall_ms / 1000
    most = sent_after_recovery(count, aware, outcome, out_ms)
    assert most <= budget + 2 * budget**0.5, most


def test_only_a_served_call_starts_the_ramp_of_a_light_sender() -> None:
    world = World(make_settings(senders=300), 1, entries((1, 1, 0)))
    world.outcomes = {10: i.Outcome.CONNECT_FAILED}
    world.step([take(world, 0)])
    world.run(200)
    limiter = world.sender.routes[10].limiter
    world.run(3 * RULES.warm_within_ms)
    assert world.sender._is_ramping(limiter)
    world.outcomes = {}
    for n in range(1, 60):
        world.step([take(world, n)])
        world.run(2000)
    assert not world.sender._is_ramping(limiter)


def outdated(world: World, begin: float, end: float) -> None:
    failed = i.Listed(i.ListScope.FAILED, outdated_from_ms=begin, outdated_until_ms=end)
    world.step([failed])


def test_nothing_is_sent_by_an_outdated_list_until_an_update() -> None:
    world = World(make_settings(must_ask=True), 1, entries((1, 1, 0)))
    outdated(world, world.now + 50.0, world.now + 6050.0)
    world.step([take(world, 1)])
    assert len(world.sends()) == 1  # not outdated yet
    world.run(100.0)
    world.step([take(world, 2)])
    world.run(1000.0)
    assert len(world.sends()) == 1
    world.step([i.Listed(i.ListScope.CHANGES, 2)])
    assert len(world.sends()) == 2


def test_an_outdated_list_is_used_again_after_its_period() -> None:
    world = World(make_settings(must_ask=True), 1, entries((1, 1, 0)))
    outdated(world, world.now, world.now + 1000.0)
    world.step([take(world, 1)])
    world.run(990.0)
    assert not world.sends()
    world.run(50.0)
    assert len(world.sends()) == 1


def test_a_message_delayed_by_an_outdated_list_ends_in_time() -> None:
    world = World(make_settings(must_ask=True), 1, entries((1, 1, 0)))
    outdated(world, world.now, world.now + 1e6)
    world.step([take(world, 1)])
    deadline = world.sender.pending[1].deadline
    world.run(deadline - world.now)
    assert 1 not in world.sender.pending


@pytest.mark.parametrize("left_ms", [4000.0, 8000.0])
def test_room_is_made_only_by_messages_that_had_most_of_their_time(left_ms: float) -> None:
    """A message that was not sent is not given up for another one before seven tenths of its time."""
    sender = Dispatcher(make_settings(max_held=8), 1)
    sender.handle(0.0, [i.Taken(n, 1, 0, left_ms) for n in range(6)])
    sender.handle(0.1 * left_ms, [i.Taken(6, 1, 0, left_ms)])
    for at in (0.1 * left_ms, 0.69 * left_ms):
        assert sender.refusal(at, 1, {}) is not None
        assert sender.refusal(at, 2, {}) is not None
    assert sender.refusal(0.71 * left_ms, 1, {}) is None
    assert sender.refusal(0.71 * left_ms, 1, {2: 5}) is None
    assert sender.refusal(0.71 * left_ms, 1, {2: 6}) is not None  # the seventh has time left
    (final,) = [
        action
        for action in sender.handle(0.71 * left_ms, [i.Taken(7, 1, 0, 2 * left_ms)])
        if isinstance(action, i.Refuse)
    ]
    assert final.message < 6 and final.reason is i.EndReason.EVICTED


def test_one_destination_leaves_places_to_the_others() -> None:
    """Guards against a slow destination whose waiting messages fill all places."""
    sender, accepted = Dispatcher(make_settings(max_held=41), 1), 0
    while sender.refusal(0.0, 1, {}) is None:
        sender.handle(0.0, [i.Taken(accepted, 1, 0, 8000.0)])
        accepted += 1
    assert 20 <= accepted < 40
    assert sender.refusal(0.0, 2, {}) is None
    refusal = sender.refusal(0.0, 1, {})
    assert refusal is not None and 0.0 < refusal.come_back_ms <= 2000.0


def test_message_that_waits_for_another_attempt_makes_no_room() -> None:
    """Guards a message that was sent once, and may be sent again, against eviction by a newcomer."""
    sender = Dispatcher(make_settings(max_held=8), 1)
    listed = i.Listed(i.ListScope.WHOLE, 1, entries((1, 1, 0)))
    actions = sender.handle(0.0, [listed, *(i.Taken(n, 1, 0, 8000.0) for n in range(7))])
    (send,) = [action for action in actions if isinstance(action, i.Send)]
    sender.handle(500.0, [i.Ended(send.message, 0, send.route, i.Outcome.TIMEOUT, 500.0, False)])
    assert send.message in sender.pending
    assert sender.refusal(500.0, 2, {}) is not None
