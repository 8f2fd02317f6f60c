"""No call begins at a drained endpoint later than the grace after its sender counts as notified, whatever
becomes of list requests, system calls and the sender's own time. Real processes over loopback.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from springspread.core.types import clock
from springspread.faults.failing_calls import VARIABLE, Fault, encoded
from tests.list_service import Behavior, CallLog, ListRequest, ListService, wait_for
from tests.peer import Program
from tests.test_config import SETTINGS

GRACE_MS = 500.0 + 50.0  # of the settings, and what the protocol adds on sockets
NOTIFIED_MS = 6000.0  # after discovery had it and could be reached
NOTIFIED_WAIT_MS = 2000.0  # after a silent watch's wait
MOVED_MS = 4000.0  # after SIGHUP; the page names it where lists are pushed
HELD_UP_S = 0.15  # allowed for between a look at the clock and what follows
MODULE = "springspread.faults.failing_calls"


class World:
    """One sender, one endpoint that is to drain, and a client that never stops."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folder = folder
        self.endpoint = CallLog()
        self.service = ListService({"s-0": self.endpoint.line("s-0")})
        self._monkeypatch = monkeypatch
        self._stop = threading.Event()
        self._client: threading.Thread | None = None

    def start(self, *faults: Fault, discovery: str = "ask", senders: int = 2) -> None:
        self._monkeypatch.setenv(VARIABLE, encoded(faults))
        self._monkeypatch.setitem(SETTINGS, "discovery", discovery)
        self._monkeypatch.setitem(SETTINGS, "balancers", senders)
        lines = self.service.snapshot()
        self.program = Program(self.folder, self.service, known=lines, module=MODULE)
        wait_for(lambda: self.service.list_requests, "the first list request")

    def gate(self, name: str) -> Path:
        """A file that puts a fault in force while it exists."""
        return self.folder / name

    def load(self) -> None:
        """Hand messages in, one after the other, until the world is closed."""

        def run() -> None:
            for number in itertools.count():
                if self._stop.wait(0.02):
                    return
                self.program.hand_in(f"m{number}", left=1500)

        self._client = threading.Thread(target=run, daemon=True)
        self._client.start()
        wait_for(lambda: len(self.endpoint.calls) > 5, "calls")

    def new_watch(self) -> ListRequest:
        """Have the open watch answered, so that another begins."""
        seen = len(self.service.list_requests)
        self.service.change("s-0", "Ready")
        wait_for(lambda: len(self.service.list_requests) > seen, "the next watch")
        return self.service.list_requests[seen]

    def in_force(self, version: int) -> None:
        """Wait until the sender has a version, and asks for what is newer."""
        wait_for(
            lambda: any(one.since and one.since >= version for one in list(self.service.list_requests)), "it"
        )

    def close(self) -> None:
        self._stop.set()
        if self._client is not None:
            self._client.join(10.0)
        self.program.process.kill()
        self.program.process.wait(10.0)
        self.service.close()
        self.endpoint.close()


@pytest.fixture
def world(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    made = World(tmp_path, monkeypatch)
    yield made
    made.close()


def test_what_a_silent_watch_missed_is_known_in_time_although_the_next_requests_are_refused(
    world: World,
) -> None:
    """Evidence 2: the refusal's own deadline must not replace the one that the silent watch left."""
    world.start()
    world.load()
    world.service.plan = [Behavior.SILENT, Behavior.REFUSE, Behavior.REFUSE]
    begun = world.new_watch()
    world.service.change("s-0", "Terminating")
    drained = world.service.version
    notified = max(begun.at + NOTIFIED_MS, begun.at + begun.wait_ms + NOTIFIED_WAIT_MS)
    world.in_force(drained)
    assert not world.endpoint.after(notified + GRACE_MS)


def test_what_a_silent_watch_missed_is_known_in_time_although_the_next_request_is_silent_too(
    world: World,
) -> None:
    world.start()
    world.load()
    world.service.plan = [Behavior.SILENT, Behavior.SILENT]
    begun = world.new_watch()
    world.service.change("s-0", "Terminating")
    world.in_force(world.service.version)
    notified = max(begun.at + NOTIFIED_MS, begun.at + begun.wait_ms + NOTIFIED_WAIT_MS)
    assert not world.endpoint.after(notified + GRACE_MS)


@pytest.mark.parametrize("first", [Behavior.SILENT, Behavior.RESET, Behavior.REFUSE])
def test_what_a_new_address_tells_is_known_in_time_although_its_first_request_fails(
    world: World, first: Behavior
) -> None:
    world.start()
    world.load()
    moved_to = ListService({"s-0": world.endpoint.line("s-0", status="Terminating")}, version=2, plan=[first])
    moved_at = clock()
    world.program.move(moved_to)
    wait_for(lambda: any(one.since == 2 for one in list(moved_to.list_requests)), "its list is in force")
    moved_to.close()
    assert not world.endpoint.after(moved_at + MOVED_MS + GRACE_MS)


def test_a_drain_is_in_force_before_the_next_call_where_lists_are_pushed(world: World) -> None:
    """What the agent has counts as told, whether or not its last answer got through."""
    world.start(discovery="push")
    world.load()
    drained = world.service.reset_watches()
    world.service.change("s-0", "Terminating")
    world.in_force(world.service.version)
    assert not world.endpoint.after(drained + GRACE_MS)


def test_a_change_is_known_in_time_although_the_senders_own_connects_fail_for_a_moment(world: World) -> None:
    """Discovery is there all along: only this sender's system calls fail."""
    gate = world.gate("no-route")
    port = world.service.port
    world.start(
        Fault("connect", str(gate), port=port, thread="discovery", times=6, error="ENETUNREACH"),
    )
    world.load()
    gate.touch()
    broken = world.service.reset_watches()
    world.service.change("s-0", "Terminating")
    world.in_force(world.service.version)
    assert not world.endpoint.after(broken + NOTIFIED_MS + GRACE_MS)


def test_a_call_that_is_held_up_keeps_the_grace(world: World) -> None:
    """It still connects as the drain comes; the sender is held up as it reads the list and as it writes."""
    connecting, held_up = world.gate("connecting"), world.gate("held-up")
    port = world.endpoint.port
    world.start(
        Fault("connect", str(connecting), port=port, until_file_gone=True),
        Fault("recv", str(held_up), thread="discovery", pause_s=HELD_UP_S, after=True),
        Fault("sendall", str(held_up), port=port, pause_s=HELD_UP_S),
    )
    connecting.touch()
    held_up.touch()
    assert world.program.hand_in("one", left=2500) == 202
    wait_for(lambda: faults(world, "connect"), "its call to connect")
    world.service.change("s-0", "Terminating")
    drained = world.service.version
    wait_for(lambda: world.service.answered(drained), "the drain's answer")
    written = next(one.answered_at for one in world.service.list_requests if one.version >= drained)
    wait_for(lambda: clock() >= written + GRACE_MS - 50.0, "the last of the grace")
    connecting.unlink()
    wait_for(lambda: world.endpoint.calls or world.service.finals, "its end")
    assert not world.endpoint.after(written + GRACE_MS)


def faults(world: World, call: str) -> list[object]:
    return [line for line in world.program.log if line["event"] == "fault" and line["call"] == call]
