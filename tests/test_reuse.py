"""Reuse of kept connections: the risk of a stale one, and which calls accept it."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.core.reuse import DECAY_MS, IDLE_BUCKETS_MS, Bounds, Reuse

BOUNDS = Bounds(once=0.03, repeat=0.25)
ENDPOINT, OTHER = 1, 2


def with_breaks(breaks_from: float, calls: int = 30, endpoint: int = ENDPOINT) -> Reuse:
    """Statistics in which every second call after ``breaks_from`` ms or more of idleness met a break."""
    reuse = Reuse(BOUNDS)
    for n in range(calls):
        reuse.note(endpoint, None, False, 0.0)
        for idle in (5.0, 150.0, 1000.0):
            reuse.note(endpoint, idle, idle >= breaks_from and n % 2 == 0, 0.0)
    return reuse


def test_without_statistics_every_call_reuses_a_connection() -> None:
    reuse = Reuse(BOUNDS)
    assert all(
        reuse.allows(ENDPOINT, idle, once, 0.0) for idle in (0.0, 100.0, 3000.0) for once in (True, False)
    )


def test_after_a_break_unsafe_calls_avoid_connections_idle_as_long() -> None:
    reuse = Reuse(BOUNDS)
    reuse.note(ENDPOINT, 150.0, True, 0.0)
    assert not reuse.allows(ENDPOINT, 150.0, True, 0.0)
    assert not reuse.allows(ENDPOINT, 3000.0, True, 0.0)
    assert reuse.allows(ENDPOINT, 10.0, True, 0.0)
    assert reuse.allows(ENDPOINT, 150.0, False, 0.0)  # one break does not justify a handshake for each


def test_repeatable_calls_stop_reusing_where_breaks_are_frequent() -> None:
    reuse = with_breaks(100.0)
    assert not reuse.allows(ENDPOINT, 150.0, False, 0.0) and reuse.allows(ENDPOINT, 5.0, False, 0.0)
    assert not reuse.allows(OTHER, 150.0, False, 0.0)  # without statistics it is rated like the others


def test_an_endpoint_without_breaks_is_rated_by_its_own_calls() -> None:
    reuse = with_breaks(100.0)
    for _ in range(200):
        reuse.note(OTHER, 150.0, False, 0.0)
    assert reuse.risk(OTHER, 150.0, 0.0) < reuse.risk(ENDPOINT, 150.0, 0.0) / 4


def test_breaks_as_frequent_on_new_connections_are_not_attributed_to_idleness() -> None:
    reuse = Reuse(BOUNDS)
    for n in range(300):
        for idle in (None, 5.0, 150.0):
            reuse.note(ENDPOINT, idle, n % 10 == 0, 0.0)
    assert reuse.allows(ENDPOINT, 150.0, True, 0.0)


def test_statistics_decay_and_are_dropped_with_their_endpoint() -> None:
    reuse = with_breaks(100.0)
    assert reuse.allows(ENDPOINT, 1000.0, False, 3 * DECAY_MS)
    reuse.forget(ENDPOINT)
    assert not reuse._endpoints


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(st.integers(1, 3), st.none() | st.floats(0, 5000), st.booleans(), st.floats(0, 1000)),
        max_size=80,
    )
)
def test_risk_is_a_probability_that_never_falls_with_idleness(
    history: list[tuple[int, float | None, bool, float]],
) -> None:
    reuse, now = Reuse(BOUNDS), 0.0
    for endpoint, idle, broke, later in history:
        now += later
        reuse.note(endpoint, idle, broke, now)
    for endpoint in (1, 2, 3, 4):
        risks = [reuse.risk(endpoint, idle, now) for idle in (0.0, *IDLE_BUCKETS_MS)]
        assert risks == sorted(risks) and risks[0] >= 0.0 and risks[-1] <= 1.0
