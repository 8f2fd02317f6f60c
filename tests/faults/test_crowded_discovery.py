"""No call begins at a drained endpoint after the grace while several senders share a discovery that answers
requests late, one at a time, and all watches fall silent at once. Real processes over loopback.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import pairwise
from pathlib import Path

import pytest

from springspread.core.types import clock
from tests.faults.test_late_calls import GRACE_MS, NOTIFIED_MS, NOTIFIED_WAIT_MS, Scenario
from tests.list_service import Behavior, ListRequest, RequestQueue, wait_for

SENDERS = 6
SERVICE_MS = 400.0
MAX_WAIT_MS = 1000.0  # longer waiting requests are refused


@pytest.fixture
def scenarios(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[int], list[Scenario]]]:
    created: list[Scenario] = []

    def make(count: int) -> list[Scenario]:
        for number in range(count):
            (tmp_path / str(number)).mkdir()
            created.append(Scenario(tmp_path / str(number), monkeypatch))
        return created

    yield make
    for created_scenario in created:
        created_scenario.close()


def open_watch(scenario: Scenario) -> ListRequest | None:
    """The waiting watch, if there is one."""
    last = scenario.service.list_requests[-1]
    return last if last.wait_ms > NOTIFIED_MS / 10 and not last.answered_at else None


def silence_and_drain(scenario: Scenario) -> float:
    """Silence the open watch, then drain the endpoint; returns when the sender counts as notified (ms)."""
    wait_for(lambda: open_watch(scenario), "an open watch")
    silent_at = scenario.service.silence()
    watch = next(request for request in reversed(scenario.service.list_requests) if request.silent_at)
    scenario.service.change("s-0", "Terminating")
    return max(silent_at + NOTIFIED_MS, watch.at + watch.wait_ms + NOTIFIED_WAIT_MS)


def late_calls(scenario: Scenario, notified: float) -> list[float]:
    scenario.wait_until_in_force(scenario.service.version)
    return scenario.endpoint.after(notified + GRACE_MS)


@pytest.mark.parametrize("max_wait_ms", [MAX_WAIT_MS, 1e9], ids=["refuses", "waits"])
def test_senders_with_silent_watches_know_of_a_drain_in_time(
    scenarios: Callable[[int], list[Scenario]], max_wait_ms: float
) -> None:
    fleet, queue = scenarios(SENDERS), RequestQueue(SERVICE_MS, max_wait_ms)
    for scenario in fleet:
        scenario.start(senders=SENDERS)
        scenario.start_client()
    for scenario in fleet:
        scenario.renew_watch()  # so that all watches begin together
    for scenario in fleet:
        scenario.service.queue = queue
    notified = [silence_and_drain(scenario) for scenario in fleet]
    assert [late_calls(scenario, at) for scenario, at in zip(fleet, notified, strict=True)] == [[]] * SENDERS


@pytest.mark.parametrize("service_ms", [1000.0, 2000.0])
def test_sender_with_late_answers_makes_no_call_on_an_overdue_list(
    scenarios: Callable[[int], list[Scenario]], service_ms: float
) -> None:
    """Each answer takes longer than the initial timeout, so the sender has to extend it."""
    (scenario,) = scenarios(1)
    scenario.start(senders=SENDERS)
    scenario.start_client()
    scenario.renew_watch()
    scenario.service.queue = RequestQueue(service_ms)
    assert not late_calls(scenario, silence_and_drain(scenario))


@pytest.mark.parametrize("failure", [Behavior.REFUSE, Behavior.RESET])
def test_sender_that_is_rejected_after_a_silent_watch_makes_no_call_on_an_overdue_list(
    scenarios: Callable[[int], list[Scenario]], failure: Behavior
) -> None:
    """Discovery is available but refuses or resets all requests of this sender for a while."""
    (scenario,) = scenarios(1)
    scenario.start(senders=SENDERS)
    scenario.start_client()
    scenario.renew_watch()
    notified = silence_and_drain(scenario)
    scenario.service.down = failure
    wait_for(
        lambda: scenario.service.list_requests[-1].at > notified + GRACE_MS + 500.0,
        "a request after the grace",
    )
    scenario.service.down = None
    assert not late_calls(scenario, notified)


def test_sender_keeps_its_list_while_discovery_is_down(
    scenarios: Callable[[int], list[Scenario]],
) -> None:
    """Its watch is reset and its requests are refused: changes at an unreachable discovery do not count."""
    (scenario,) = scenarios(1)
    scenario.start(senders=SENDERS)
    scenario.start_client()
    scenario.renew_watch()
    scenario.service.down = Behavior.REFUSE
    down_at = scenario.service.reset_watches()
    wait_for(lambda: clock() > down_at + 2 * NOTIFIED_MS, "a long outage")
    resumed_from = clock()
    wait_for(lambda: scenario.endpoint.after(resumed_from), "calls go on")
    calls = [at for at in scenario.endpoint.calls if at > down_at]
    assert max(later - earlier for earlier, later in pairwise(calls)) < 1000.0
