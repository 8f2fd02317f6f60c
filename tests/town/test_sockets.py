"""The town on sockets: real sender processes keep every promise, and the driver says whether it kept up."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from springspread.town.day import draw
from springspread.town.sockets import Live, SocketTown


def play(folder: Path, **knobs: float) -> Live:
    day = draw(3, senders=2, partners=6, length_ms=4_000.0, per_s=20.0, troubles=1, drains=2)
    town = SocketTown(replace(day, **knobs), folder)  # type: ignore[arg-type]
    try:
        return town.play()
    finally:
        town.close()


def test_real_senders_are_acquitted_on_a_day_of_troubles_and_drains(tmp_path: Path) -> None:
    live = play(tmp_path)
    assert live.checker.faults == []
    assert live.checker.tally.messages > 40 and live.checker.tally.service > 0.7
    assert live.late_ms[0] <= live.late_ms[1]
