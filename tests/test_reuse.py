"""Reuse of kept connections: what is learnt of staleness, who takes a chance, and what is unlearnt again."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from springspread.core.reuse import DECAY_MS, IDLE_BUCKETS_MS, Bounds, Reuse

BOUNDS = Bounds(once=0.03, repeat=0.25)
LINK, OTHER = 1, 2


def learnt(breaks_from: float, calls: int = 30, endpoint: int = LINK) -> Reuse:
    """Every second call over a connection that stood idle for so long, or longer, met a break."""
    reuse = Reuse(BOUNDS)
    for n in range(calls):
        reuse.note(endpoint, None, False, 0.0)
        for idle in (5.0, 150.0, 1000.0):
            reuse.note(endpoint, idle, idle >= breaks_from and n % 2 == 0, 0.0)
    return reuse


def test_before_anything_is_seen_every_call_takes_a_kept_connection() -> None:
    reuse = Reuse(BOUNDS)
    assert all(
        reuse.allows_reuse(LINK, idle, once, 0.0) for idle in (0.0, 100.0, 3000.0) for once in (True, False)
    )


def test_after_a_break_unsafe_calls_leave_connections_idle_so_long_alone() -> None:
    reuse = Reuse(BOUNDS)
    reuse.note(LINK, 150.0, True, 0.0)
    assert not reuse.allows_reuse(LINK, 150.0, True, 0.0)
    assert not reuse.allows_reuse(LINK, 3000.0, True, 0.0)  # longer idleness is no safer
    assert reuse.allows_reuse(LINK, 10.0, True, 0.0)
    assert reuse.allows_reuse(LINK, 150.0, False, 0.0)  # one break is no reason for a handshake each


def test_calls_that_may_be_repeated_stop_where_breaks_are_many() -> None:
    reuse = learnt(100.0)
    assert not reuse.allows_reuse(LINK, 150.0, False, 0.0) and reuse.allows_reuse(LINK, 5.0, False, 0.0)
    assert not reuse.allows_reuse(
        OTHER, 150.0, False, 0.0
    )  # an endpoint not yet seen is taken to be like the others


def test_a_link_that_goes_on_serving_is_judged_by_what_it_shows() -> None:
    reuse = learnt(100.0)
    for _ in range(200):
        reuse.note(OTHER, 150.0, False, 0.0)
    assert reuse.risk(OTHER, 150.0, 0.0) < reuse.risk(LINK, 150.0, 0.0) / 4


def test_breaks_that_new_connections_meet_as_often_are_not_put_down_to_idleness() -> None:
    reuse = Reuse(BOUNDS)
    for n in range(300):
        for idle in (None, 5.0, 150.0):
            reuse.note(LINK, idle, n % 10 == 0, 0.0)
    assert reuse.allows_reuse(LINK, 150.0, True, 0.0)


def test_what_was_learnt_fades_and_is_forgotten_with_its_link() -> None:
    reuse = learnt(100.0)
    assert reuse.allows_reuse(LINK, 1000.0, False, 3 * DECAY_MS)
    reuse.forget(LINK)
    assert not reuse._endpoints


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.tuples(st.integers(1, 3), st.none() | st.floats(0, 5000), st.booleans(), st.floats(0, 1000)),
        max_size=80,
    )
)
def test_risk_is_a_chance_that_never_falls_with_idleness(
    history: list[tuple[int, float | None, bool, float]],
) -> None:
    reuse, now = Reuse(BOUNDS), 0.0
    for endpoint, idle, broke, later in history:
        now += later
        reuse.note(endpoint, idle, broke, now)
    for endpoint in (1, 2, 3, 4):
        risks = [reuse.risk(endpoint, idle, now) for idle in (0.0, *IDLE_BUCKETS_MS)]
        assert risks == sorted(risks) and risks[0] >= 0.0 and risks[-1] <= 1.0
