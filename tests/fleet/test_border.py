"""Limits at the border of two policies: the smaller one holds before it, a removed one to it."""

from __future__ import annotations

from pathlib import Path

from springspread.core.clock import SYSTEM
from springspread.fleet.server import AllotterServer
from springspread.fleet.shares import Limit
from tests.fleet.test_medium import Quiet
from tests.peer import until


def test_limits_change_at_the_border_and_the_smaller_one_before(tmp_path: Path) -> None:
    old = {"g1": Limit(40, 2000.0), "g2": Limit(10, 1000.0), "g4": Limit(3, 1000.0)}
    server = AllotterServer(tmp_path / "allot", tmp_path, old, Quiet())
    allotter = server._allotter
    since = SYSTEM.now() + 400.0
    server.follow({"g1": Limit(8, 2000.0), "g2": Limit(100, 1000.0), "g3": Limit(5, 1000.0)}, since)
    before = {key: allotter.limit(key) for key in ("g1", "g2", "g3", "g4")}
    assert SYSTEM.now() < since
    assert before == {
        "g1": Limit(8, 2000.0),
        "g2": Limit(10, 1000.0),
        "g3": Limit(5, 1000.0),
        "g4": Limit(3, 1000.0),
    }
    until(lambda: allotter.limit("g4") is None, "the border is reached")
    assert SYSTEM.now() >= since
    assert allotter.limit("g1") == Limit(8, 2000.0) and allotter.limit("g2") == Limit(100, 1000.0)
    server.close()
