"""The town on sockets, round real processes: short days, also hard ones, and a town that is late itself."""

from __future__ import annotations

import http.client
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from springspread.simulator.day import Change, Day, Outage, SenderOutage, Service, StopMode, draw
from springspread.simulator.partner import Condition, Trouble
from springspread.simulator.sockets import Live, SocketSimulation
from tests.peer import WAIT_S


def play(folder: Path, day: Day, held_up_ms: float = 0.0) -> Live:
    town = SocketSimulation(day, folder)
    if held_up_ms:
        town._at(800.0, time.sleep, held_up_ms / 1000.0)
    try:
        return town.play(tail_ms=5_000.0)
    finally:
        town.close()


def test_a_day_on_sockets_keeps_every_promise_and_serves(tmp_path: Path) -> None:
    live = play(tmp_path, draw(1, senders=2, length_ms=3_000.0, troubles=2, drains=2))
    assert live.checker.faults == []
    assert live.checker.tally.messages > 60 and live.checker.tally.service > 0.6


def test_connections_that_break_and_answers_that_mean_nothing(tmp_path: Path) -> None:
    day = draw(2, senders=1, length_ms=2_500.0, troubles=5, trouble="spoilt")
    resetting = Condition(Trouble.RESETTING, 0.3)
    broken = [Change(200.0, name, resetting) for spec in day.partners[:3] for name in spec.names]
    live = play(tmp_path, replace(day, changes=(*broken, *day.changes)))
    assert live.checker.faults == [] and live.checker.tally.service > 0.5


def test_senders_that_are_killed_ended_and_frozen_as_a_fleet(tmp_path: Path) -> None:
    """With addresses that pass on, and a directory and a platform that are away for a while."""
    day = draw(3, senders=3, length_ms=7_000.0, drains=8, takeovers=3, shared=True)
    fates = (
        SenderOutage(1_000.0, 0, 1_800.0, StopMode.KILL),
        SenderOutage(1_500.0, 1, 3_500.0, StopMode.FREEZE),
        SenderOutage(2_500.0, 2, 4_000.0, StopMode.TERM),
    )
    outages = (Outage(Service.DIRECTORY, 2_000.0, 3_000.0), Outage(Service.PLATFORM, 3_000.0, 5_000.0))
    live = play(tmp_path, replace(day, deaths=fates, outages=outages))
    assert live.checker.faults == []
    assert live.checker.tally.limit_ratio <= 1.0 and live.checker.tally.service > 0.5


def test_a_town_that_is_late_itself_says_so(tmp_path: Path) -> None:
    live = play(tmp_path, draw(1, senders=1, length_ms=2_000.0), held_up_ms=900.0)
    assert not live.valid and live.late_ms[1] > 500.0


def request(port: int, head: str, body: bytes = b"") -> int:
    """The status of the answer to a request at one of the town's ports."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    method, path, *id = head.split()
    connection.request(method, path, body, {"X-Correlation-Id": id[0]} if id else {})
    status = connection.getresponse().status
    connection.close()
    return status


def test_a_request_of_another_program_is_turned_away_and_a_call_of_an_unknown_message_is_a_fault(
    tmp_path: Path,
) -> None:
    switch_s = sys.getswitchinterval()
    town = SocketSimulation(draw(1, senders=1, length_ms=2_000.0), tmp_path)
    port = next(iter(town._ports.values()))
    assert request(port, "GET /endpoints?since=1") == 404
    assert [stranger.split(" at ")[0] for stranger in town.strangers] == ["GET /endpoints?since=1"]
    assert town.checker.faults == []
    assert request(port, "POST /events nobody-1") == 404
    assert request(port, "POST /events/bundle", b"[]") == 404
    assert [fault.rule for fault in town.checker.faults] == ["unknown", "unknown"]
    town.close()
    assert sys.getswitchinterval() == switch_s
    with pytest.raises(OSError):
        request(port, "GET /endpoints")
