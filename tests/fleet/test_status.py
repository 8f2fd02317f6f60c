"""The status of a recovering instance: by its report, or by its journal where there is none."""

from __future__ import annotations

from dataclasses import replace

from springspread.fleet.members import Row
from springspread.fleet.status import recovery_status, unreported_recovery
from springspread.fleet.wire import Returning

ROW = Row("n000", epoch=2, pid=77, started_at=1_000.0)


def test_expected_time_follows_the_rate_so_far() -> None:
    report = Returning("owed", since=2_000.0, owed=10, at_start=30, damaged=1)
    status = recovery_status(ROW, report, 5_000.0)
    assert (status["gate"], status["for_s"], status["damaged"]) == ("owed", 3.0, 1)
    assert (status["owed"], status["ended"], status["expected_s"]) == (10, 20, 2.0)
    assert recovery_status(ROW, replace(report, owed=30), 5_000.0)["expected_s"] is None
    assert recovery_status(ROW, replace(report, owed=0), 5_000.0)["expected_s"] == 0.0


def test_instance_without_a_report_is_starting_or_away() -> None:
    starting = unreported_recovery(ROW, 7, 2_500.0)
    assert (starting["gate"], starting["for_s"], starting["owed"]) == ("starting", 1.5, 7)
    away = unreported_recovery(replace(ROW, pid=0), 7, 2_500.0)
    assert (away["gate"], away["for_s"], away["expected_s"]) == ("away", 0.0, None)
