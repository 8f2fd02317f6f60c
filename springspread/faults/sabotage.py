"""Variants of the real program with one fault each, which the observer must detect.

``FAULTS_SABOTAGE`` names the fault; the launchers install it in the daemon or in each instance. The model
checker uses mutants of the protocol alone (``protocol_mutants``).
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from springspread.config import load_raw
from springspread.faults.schedule import FaultKind, ScheduledFault
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.client import FleetShares
from springspread.fleet.limits import Limit, LimitMode
from springspread.rollout import coordinator, participant
from springspread.rollout.participant import Participant
from springspread.rollout.policy_record import PolicyRecord
from springspread.rollout.protocol import Decided, Entry, Grant, Prepare, Vote

SABOTAGE_VARIABLE = "FAULTS_SABOTAGE"
GRANT_MS = 5_000.0
HALF_OPEN_AT_DAEMON_DEATH = (
    ScheduledFault(3_000.0, FaultKind.HALF_OPEN, 0, 4_000.0),
    ScheduledFault(3_100.0, FaultKind.DAEMON, 0, 150.0),
)
ALL_KILLED = tuple(ScheduledFault(3_000.0 + 500.0 * n, FaultKind.KILL, n % 5, 100.0) for n in range(10))


@dataclass(frozen=True, slots=True)
class Sabotage:
    """A fault that violates a promise, given by its number.

    ``sender``: whether instances have it, not the daemon. ``limited``: whether it takes a limit to show.
    ``faults``: the schedule under which it shows, without a rival; empty for the usual one.
    """

    promise: int
    sender: bool
    install: Callable[[], None]
    limited: bool = False
    faults: tuple[ScheduledFault, ...] = ()


def _acts_on_a_proposal() -> None:
    original = participant.prepared

    def prepared(state: Participant, prepare: Prepare, fault: str) -> tuple[Participant, Vote | None]:
        after, vote = original(state, prepare, fault)
        grant = Grant(prepare.serial, prepare.number, 0.0, prepare.cut + GRANT_MS)
        return replace(after, grants=(*after.grants, grant)), vote

    vars(participant).update(prepared=prepared)


def _keeps_its_grant() -> None:
    original = participant.prepared

    def prepared(state: Participant, prepare: Prepare, fault: str) -> tuple[Participant, Vote | None]:
        return state, original(state, prepare, fault)[1]

    vars(participant).update(prepared=prepared)


def _skips_the_last_check() -> None:
    setattr(FleetShares, "may_begin", lambda self, policy: True)  # noqa: B010


def _forgets_accepted_messages() -> None:
    state = Path(str(load_raw(os.environ)["state"]))  # the folder must exist for an instance to serve
    for file in state.glob("*"):
        file.unlink()


def _ignores_unexpired_grants() -> None:
    original = coordinator._decide

    def decide(state: coordinator.Coordinator, now: float) -> coordinator.Step:
        return original(replace(state, grant_ends={}), now)

    vars(coordinator).update(_decide=decide)


def _begins_without_waiting_for_leases() -> None:
    original = coordinator.begin

    def begin(times: Any, history: coordinator.History, now: float, alive: Any) -> coordinator.Step:
        return original(times, replace(history, lease_ms=0.0), now, alive)

    vars(coordinator).update(begin=begin)


def _decides_without_record() -> None:
    original = PolicyRecord.append

    def append(self: PolicyRecord, entry: Entry) -> None:
        if isinstance(entry, Decided) and self.history.in_force:
            self._add_entry(entry)
        else:
            original(self, entry)

    setattr(PolicyRecord, "append", append)  # noqa: B010


def _runs_two_changes_at_once() -> None:
    original = coordinator.propose

    def propose(state: coordinator.Coordinator, *rest: Any) -> coordinator.Step:
        return original(replace(state, pending=None), *rest)

    vars(coordinator).update(propose=propose)


def _doubles_limits() -> None:
    original = AllocatorServer.schedule_limits

    def schedule_limits(
        self: AllocatorServer, limits: Mapping[str, Limit], since: float, default_mode: LimitMode
    ) -> None:
        doubled = {key: replace(limit, calls=limit.calls * 2) for key, limit in limits.items()}
        original(self, doubled, since, default_mode)

    setattr(AllocatorServer, "schedule_limits", schedule_limits)  # noqa: B010


SABOTAGES = {
    "acts on a proposal": Sabotage(1, True, _acts_on_a_proposal),
    "a yes keeps its grant": Sabotage(2, True, _keeps_its_grant),
    "gives out more than the limit": Sabotage(2, False, _doubles_limits, True),
    "the silent are not waited out": Sabotage(3, False, _ignores_unexpired_grants),
    "no last look": Sabotage(3, True, _skips_the_last_check),
    "a new daemon waits for nobody": Sabotage(
        3, False, _begins_without_waiting_for_leases, faults=HALF_OPEN_AT_DAEMON_DEATH
    ),
    "a decision is not on record": Sabotage(4, False, _decides_without_record),
    "an instance forgets what it took": Sabotage(5, True, _forgets_accepted_messages, True, ALL_KILLED),
    "two changes at a time": Sabotage(7, False, _runs_two_changes_at_once),
}
"""By name. Promise 6 (nothing learnt is lost) cannot be observed from outside; the core's tests cover it."""
