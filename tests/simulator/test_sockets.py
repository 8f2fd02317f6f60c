"""Short days on sockets around real processes, and a driver that is itself late."""

from __future__ import annotations

import http.client
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from springspread.simulator.checker import Checker
from springspread.simulator.day import Change, Day, Outage, SenderOutage, Service, StopMode, draw
from springspread.simulator.partner import Condition, Trouble
from springspread.simulator.sockets import RunResult, SocketSimulation
from tests.peer import WAIT_S


def play(folder: Path, day: Day, stall_ms: float = 0.0) -> RunResult:
    """Play a day; ``stall_ms``: for how long its driver stands still, once, a second into the day."""
    stalled_at: list[float] = []

    def stall_once(now: float, checker: Checker, troubles: dict[str, str]) -> None:
        if not stalled_at:
            stalled_at.append(now)
            time.sleep(stall_ms / 1000.0)  # holds the driver's lock

    simulation = SocketSimulation(day, folder)
    try:
        return simulation.play(stall_once if stall_ms else None, tail_ms=5_000.0)
    finally:
        simulation.close()


def test_a_day_on_sockets_passes_every_check(tmp_path: Path) -> None:
    result = play(tmp_path, draw(1, senders=2, length_ms=3_000.0, troubles=2, drains=2))
    assert result.checker.faults == []
    assert result.checker.tally.messages > 60 and result.checker.tally.service > 0.6


def test_reset_connections_and_malformed_answers(tmp_path: Path) -> None:
    day = draw(2, senders=1, length_ms=2_500.0, troubles=5, trouble="spoilt")
    resetting = Condition(Trouble.RESETTING, 0.3)
    resets = [Change(200.0, name, resetting) for spec in day.partners[:3] for name in spec.names]
    result = play(tmp_path, replace(day, changes=(*resets, *day.changes)))
    assert result.checker.faults == [] and result.checker.tally.service > 0.5


# Guards against answers told apart by when they come: copies of earlier ones come at any moment.
def test_answers_written_twice_at_any_moment_break_no_promise(tmp_path: Path) -> None:
    day = draw(4, senders=3, length_ms=8_000.0, troubles=3, trouble="shut", copies=0.3)
    result = play(tmp_path, day)
    assert result.checker.faults == [] and result.checker.tally.service > 0.5


def test_fleet_senders_that_are_killed_terminated_and_frozen(tmp_path: Path) -> None:
    """With reused addresses, and outages of the directory and the platform."""
    day = draw(3, senders=3, length_ms=7_000.0, drains=8, takeovers=3, shared=True)
    stops = (
        SenderOutage(1_000.0, 0, 1_800.0, StopMode.KILL),
        SenderOutage(1_500.0, 1, 3_500.0, StopMode.FREEZE),
        SenderOutage(2_500.0, 2, 4_000.0, StopMode.TERM),
    )
    outages = (Outage(Service.DIRECTORY, 2_000.0, 3_000.0), Outage(Service.PLATFORM, 3_000.0, 5_000.0))
    result = play(tmp_path, replace(day, deaths=stops, outages=outages))
    assert result.checker.faults == []
    assert result.checker.tally.limit_ratio <= 1.0 and result.checker.tally.service > 0.5


def test_a_late_driver_reports_an_invalid_run(tmp_path: Path) -> None:
    result = play(tmp_path, draw(1, senders=1, length_ms=2_000.0), stall_ms=900.0)
    assert not result.valid and result.late_ms[1] > 500.0


def request(port: int, head: str, body: bytes = b"") -> int:
    """The status of the answer to a request at an endpoint's port."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    method, path, *id = head.split()
    connection.request(method, path, body, {"X-Correlation-Id": id[0]} if id else {})
    status = connection.getresponse().status
    connection.close()
    return status


def test_an_unexpected_request_gets_404_and_a_call_with_an_unknown_message_is_a_fault(
    tmp_path: Path,
) -> None:
    switch_s = sys.getswitchinterval()
    simulation = SocketSimulation(draw(1, senders=1, length_ms=2_000.0), tmp_path)
    port = next(iter(simulation._ports.values()))
    assert request(port, "GET /endpoints?since=1") == 404
    assert [unexpected.split(" at ")[0] for unexpected in simulation.unexpected_requests] == [
        "GET /endpoints?since=1"
    ]
    assert simulation.checker.faults == []
    assert request(port, "POST /events nobody-1") == 404
    assert request(port, "POST /events/bundle", b"[]") == 404
    assert [fault.rule for fault in simulation.checker.faults] == ["unknown", "unknown"]
    simulation.close()
    assert sys.getswitchinterval() == switch_s
    with pytest.raises(OSError):
        request(port, "GET /endpoints")
