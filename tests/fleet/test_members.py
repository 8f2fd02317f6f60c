"""When instances are started, ended, emptied and dropped."""

from __future__ import annotations

from dataclasses import replace

import pytest

from springspread.fleet.members import (
    DesiredState,
    Observation,
    RestartTimings,
    Row,
    Step,
    after_exit,
    restart_backoff,
    scaled,
    step,
)

TIMINGS = RestartTimings(first_ms=100.0, most_ms=1_000.0, settled_ms=5_000.0, stop_ms=4_000.0)
RUNNING = Row("n000", epoch=1, pid=77, started_at=0.0)
LEAVING = replace(RUNNING, desired=DesiredState.LEAVING)
EMPTYING = replace(LEAVING, emptying=True)
DOWN = Row("n000", epoch=1, died_at=0.0, deaths=1)


@pytest.mark.parametrize(
    ("row", "observed", "now", "expected"),
    [
        (Row("n000"), Observation(False), 0.0, Step.START),
        (RUNNING, Observation(True, 9), 10.0, None),
        (DOWN, Observation(False, 9), 99.0, None),
        (DOWN, Observation(False, 9), 100.0, Step.START),
        (replace(RUNNING, restart=True), Observation(True), 10.0, Step.TERM),
        (replace(RUNNING, restart=True, term_sent_at=10.0), Observation(True), 4_009.0, None),
        (replace(RUNNING, restart=True, term_sent_at=10.0), Observation(True), 4_010.0, Step.KILL),
        (LEAVING, Observation(True, 9), 10.0, Step.TERM),
        (replace(LEAVING, term_sent_at=10.0), Observation(True, 9), 20.0, None),
        (replace(LEAVING, term_sent_at=10.0), Observation(True, 9), 4_010.0, Step.KILL),
        (replace(LEAVING, pid=0), Observation(False, 9), 10.0, Step.EMPTY),
        (replace(LEAVING, pid=0), Observation(False, 0), 10.0, Step.DROP),
        (EMPTYING, Observation(True, 9), 10.0, None),
        (EMPTYING, Observation(True, 0), 10.0, Step.TERM),
        (replace(EMPTYING, term_sent_at=10.0), Observation(True, 9), 4_010.0, Step.KILL),
        (replace(DOWN, desired=DesiredState.LEAVING), Observation(False, 3), 50.0, None),
    ],
)
def test_step_for_each_state(row: Row, observed: Observation, now: float, expected: Step | None) -> None:
    assert step(row, observed, now, TIMINGS) is expected


def test_backoff_doubles_with_each_death_up_to_a_bound() -> None:
    row, backoffs = RUNNING, []
    for _ in range(6):
        row = after_exit(replace(row, pid=1, started_at=1_000.0), 1_100.0, TIMINGS)
        backoffs.append(restart_backoff(row, TIMINGS))
    assert backoffs == [100.0, 200.0, 400.0, 800.0, 1_000.0, 1_000.0]
    row = after_exit(replace(row, pid=1, started_at=0.0), 5_000.0, TIMINGS)
    assert restart_backoff(row, TIMINGS) == 100.0


def test_ordered_restart_has_no_backoff() -> None:
    row = after_exit(replace(RUNNING, restart=True, term_sent_at=10.0), 500.0, TIMINGS)
    assert step(row, Observation(False, 4), 500.0, TIMINGS) is Step.START and not row.restart


def test_scaling_adds_the_lowest_free_names_and_removes_the_highest() -> None:
    rows = scaled({}, 3)
    assert list(rows) == ["n000", "n001", "n002"]
    less = scaled(rows, 1)
    assert [name for name, row in less.items() if row.desired is DesiredState.LEAVING] == ["n001", "n002"]
    more = scaled(less, 2)  # a leaving instance is not reused
    assert [name for name, row in more.items() if row.desired is DesiredState.SERVING] == ["n000", "n003"]
    assert scaled(more, 0)["n000"].desired is DesiredState.LEAVING
