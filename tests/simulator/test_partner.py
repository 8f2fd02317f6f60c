"""The partner model alone: limits, workers, faults and warm-up."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import inf
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.simulator.partner import Condition, End, Endpoint, Limit, Partner, Profile, Trouble

PROFILE = Profile(service_ms=100.0, spread=0.0, workers=2, queue=2)


def endpoint(profile: Profile = PROFILE, limit: Limit | None = None) -> Endpoint:
    return Endpoint("s-1", profile, Random(1), limit)


def test_calls_take_workers_then_queue_then_are_rejected() -> None:
    it = endpoint()
    answers = [it.arrive(0.0) for _ in range(7)]
    assert [answer.at for answer in answers[:4]] == [100.0, 100.0, 200.0, 200.0]
    assert answers[-1].end is End.FULL and not answers[-1].ran
    assert it.arrive(150.0).end is End.DONE  # two workers are free


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.floats(0, 500), min_size=1, max_size=200), st.integers(1, 20))
def test_no_span_takes_more_calls_than_its_count(gaps: list[float], per_s: int) -> None:
    limit, now, taken = Limit(per_s, 2000.0), 0.0, Counter[int]()
    for gap in gaps:
        now += gap
        taken[int(now / 2000.0)] += limit.take(now)
    assert max(taken.values()) <= 2 * per_s


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.floats(0, 500), min_size=1, max_size=200), st.integers(1, 20))
def test_a_plain_rate_is_never_passed_by_more_than_its_burst(gaps: list[float], per_s: int) -> None:
    limit, now, taken = Limit(per_s), 0.0, 0
    for gap in gaps:
        now += gap
        taken += limit.take(now)
        assert taken <= max(per_s * 0.5, 1.0) + per_s * now / 1000 + 1e-6


def test_rejected_calls_use_up_a_limit_that_counts_them() -> None:
    served = {}
    for counts in (False, True):
        profile = replace(PROFILE, workers=50, limit_per_s=20.0, counts_refused=counts)
        partner = Partner(1, profile, ["a"], "seed")
        ends = [partner.endpoints["a"].arrive(25.0 * n).end for n in range(400)]  # 40 a second
        served[counts] = ends.count(End.DONE)
    assert served[False] >= 200 and served[True] <= 50


def test_a_limit_drops_and_recovers() -> None:
    partner = Partner(1, replace(PROFILE, workers=50, limit_per_s=30.0), ["a", "b"], "seed")
    limit = partner.endpoints["b"].limit
    partner.scale_limit(1 / 3)
    assert limit is not None and limit.per_s == 10.0
    partner.scale_limit(1.0)
    assert limit.per_s == 30.0


def test_endpoints_share_a_limit_unless_they_are_separate_routes() -> None:
    profile = replace(PROFILE, limit_per_s=1.0, span_ms=2000.0, workers=50)
    for separate_routes, served in ((False, 2), (True, 4)):
        partner = Partner(1, replace(profile, separate_routes=separate_routes), ["a", "b"], "seed")
        ends = [it.arrive(0.0).end for _ in range(5) for it in partner.endpoints.values()]
        assert ends.count(End.DONE) == served


def test_each_fault_has_its_own_outcome() -> None:
    it = endpoint()
    seen = {}
    for trouble in (Trouble.REFUSING, Trouble.SILENT, Trouble.SHUT, Trouble.FAILING, Trouble.NONE):
        it.condition = Condition(trouble)
        answer = it.arrive(0.0)
        seen[trouble] = answer.end
        assert (answer.at == inf) == (trouble is Trouble.SILENT)
    assert list(seen.values()) == [End.REFUSED, End.SILENT, End.FULL, End.FAILED, End.DONE]


def test_a_returning_endpoint_is_cold_and_fails_when_overloaded() -> None:
    for calls, survives in ((3, True), (40, False)):
        it = endpoint(replace(PROFILE, workers=4, queue=100))
        it.set_condition(0.0, Condition(Trouble.REFUSING))
        it.set_condition(10_000.0, Condition())
        assert it.warmth(10_000.0) == it.profile.cold_share
        for n in range(calls):
            it.arrive(10_000.0 + n)
        assert it.overloaded is not survives
        assert it.warmth(30_000.0) == 1.0
