"""No call begins at a drained endpoint after the grace while discovery answers late, one request after the
other: several senders share it, and all their watches fall silent at once. Real processes over loopback.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import pairwise
from pathlib import Path

import pytest

from springspread.core.types import clock
from tests.faults.test_late_calls import GRACE_MS, NOTIFIED_MS, NOTIFIED_WAIT_MS, World
from tests.list_service import Behavior, ListRequest, RequestQueue, wait_for

SENDERS = 6
TURN_MS = 400.0  # as the evidence of incident 40 shows it
PATIENCE_MS = 1000.0  # a request that waits longer for its turn is refused


@pytest.fixture
def worlds(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[int], list[World]]]:
    made: list[World] = []

    def make(count: int) -> list[World]:
        for number in range(count):
            (tmp_path / str(number)).mkdir()
            made.append(World(tmp_path / str(number), monkeypatch))
        return made

    yield make
    for one in made:
        one.close()


def open_watch(world: World) -> ListRequest | None:
    """The watch that waits now, if one does."""
    last = world.service.list_requests[-1]
    return last if last.wait_ms > NOTIFIED_MS / 10 and not last.answered_at else None


def silenced(world: World) -> float:
    """Have the open watch fall silent and then the endpoint drain: when that counts as notified (ms)."""
    wait_for(lambda: open_watch(world), "an open watch")
    silent_at = world.service.silence()
    watch = next(one for one in reversed(world.service.list_requests) if one.silent_at)
    world.service.change("s-0", "Terminating")
    return max(silent_at + NOTIFIED_MS, watch.at + watch.wait_ms + NOTIFIED_WAIT_MS)


def late(world: World, notified: float) -> list[float]:
    world.in_force(world.service.version)
    return world.endpoint.after(notified + GRACE_MS)


@pytest.mark.parametrize("patience_ms", [PATIENCE_MS, 1e9], ids=["refuses", "waits"])
def test_six_senders_whose_watches_fall_silent_together_know_of_a_drain_in_time(
    worlds: Callable[[int], list[World]], patience_ms: float
) -> None:
    fleet, line = worlds(SENDERS), RequestQueue(TURN_MS, patience_ms)
    for world in fleet:
        world.start(senders=SENDERS)
        world.load()
    for world in fleet:
        world.new_watch()  # news of all reach all at once, and their watches begin together
    for world in fleet:
        world.service.queue = line
    notified = [silenced(world) for world in fleet]
    assert [late(world, at) for world, at in zip(fleet, notified, strict=True)] == [[]] * SENDERS


@pytest.mark.parametrize("turn_ms", [1000.0, 2000.0])
def test_a_sender_whose_requests_are_answered_late_makes_no_call_on_a_list_that_is_overdue(
    worlds: Callable[[int], list[World]], turn_ms: float
) -> None:
    """Each answer takes longer than the program gives it at first: it must come to wait for one."""
    (world,) = worlds(1)
    world.start(senders=SENDERS)
    world.load()
    world.new_watch()
    world.service.queue = RequestQueue(turn_ms)
    assert not late(world, silenced(world))


@pytest.mark.parametrize("then", [Behavior.REFUSE, Behavior.RESET])
def test_a_sender_that_is_turned_away_after_a_silent_watch_makes_no_call_on_a_list_that_is_overdue(
    worlds: Callable[[int], list[World]], then: Behavior
) -> None:
    """Discovery is there: it refuses or resets all that this one asks, until others are served."""
    (world,) = worlds(1)
    world.start(senders=SENDERS)
    world.load()
    world.new_watch()
    notified = silenced(world)
    world.service.down = then
    wait_for(
        lambda: world.service.list_requests[-1].at > notified + GRACE_MS + 500.0, "a request after the grace"
    )
    world.service.down = None
    assert not late(world, notified)


def test_a_sender_goes_on_by_its_list_while_discovery_is_down(
    worlds: Callable[[int], list[World]],
) -> None:
    """Its watch is reset, its requests are refused: what it has can't be reached and does not count."""
    (world,) = worlds(1)
    world.start(senders=SENDERS)
    world.load()
    world.new_watch()
    world.service.down = Behavior.REFUSE
    down_at = world.service.reset_watches()
    wait_for(lambda: clock() > down_at + 2 * NOTIFIED_MS, "a long outage")
    ahead = clock()
    wait_for(lambda: world.endpoint.after(ahead), "calls go on")
    calls = [at for at in world.endpoint.calls if at > down_at]
    assert max(later - one for one, later in pairwise(calls)) < 1000.0
