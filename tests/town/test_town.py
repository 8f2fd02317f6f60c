"""The town in virtual time: the real core is acquitted, sabotaged ones convicted, days repeat to the byte."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from springspread.town.day import Day, draw
from springspread.town.virtual import Knobs, Outcome, Town


def play(folder: Path, day: Day, **knobs: bool) -> Outcome:
    return Town(day, folder, Knobs(**knobs)).play()


def rules(outcome: Outcome) -> set[str]:
    return {fault.rule for fault in outcome.checker.faults}


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_the_sender_keeps_every_promise_through_troubles_and_drains(tmp_path: Path, seed: int) -> None:
    outcome = play(tmp_path, draw(seed, troubles=3, drains=4, length_ms=30_000.0))
    assert outcome.checker.faults == []
    assert outcome.checker.tally.service > 0.75
    assert outcome.checker.tally.delivered > 0.8 * outcome.checker.tally.messages


@pytest.mark.parametrize(
    ("sabotage", "rule"),
    [("ignore_drains", "drain"), ("drop_notices", "lost")],
)
def test_a_sabotaged_sender_is_convicted(tmp_path: Path, sabotage: str, rule: str) -> None:
    day = draw(5, load=1.3, troubles=3, drains=6, length_ms=30_000.0)
    assert rules(play(tmp_path / "good", day)) == set()
    assert rules(play(tmp_path / "bad", day, **{sabotage: True})) == {rule}


ONE_DAY = """
import sys
from pathlib import Path
from springspread.town.day import draw
from springspread.town.virtual import Town
outcome = Town(draw(7, troubles=3, drains=3, length_ms=10_000.0), Path(sys.argv[1])).play()
print(outcome.checker.digest)
"""


def test_the_same_seed_plays_the_same_day_under_any_hash_seed(tmp_path: Path) -> None:
    digests = set()
    for n, seed in enumerate(("0", "1", "4711")):
        env = {**os.environ, "PYTHONHASHSEED": seed}
        args = [sys.executable, "-c", ONE_DAY, str(tmp_path / str(n))]
        digests.add(subprocess.run(args, env=env, capture_output=True, text=True, check=True).stdout)
    assert len(digests) == 1 and len(digests.pop().strip()) == 32


def test_fifty_senders_play_in_one_process(tmp_path: Path) -> None:
    day = draw(8, senders=50, partners=20, per_s=100.0, length_ms=5_000.0)
    outcome = play(tmp_path, day)
    assert outcome.checker.faults == [] and outcome.checker.tally.service > 0.8
