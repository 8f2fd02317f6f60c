"""Runs under random faults. To play more of them, from seed ``LATE_CALL_SEED`` (default 62) on:

LATE_CALL_DAYS=40 pytest -n 8 tests/faults/test_late_call_days.py
"""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.late_call_day import Day

FIRST = int(os.environ.get("LATE_CALL_SEED", "62"))
SEEDS = range(FIRST, FIRST + int(os.environ.get("LATE_CALL_DAYS", "1")))


@pytest.mark.parametrize("discovery", ["ask", "push"])
@pytest.mark.parametrize("seed", SEEDS)
def test_day_of_faults_has_no_call_after_the_grace(
    seed: int, discovery: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    day = Day(seed, tmp_path, monkeypatch, discovery)
    try:
        day.play()
        assert (day.late_calls(), day.without_outcome(), day.sent_twice()) == ([], [], []), day.schedule
    finally:
        day.close()
