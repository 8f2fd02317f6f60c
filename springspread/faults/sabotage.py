"""Builds of the real program with one fault each, for the observer to convict.

A fault is put into the daemon's process or into each instance's, by ``FAULTS_SABOTAGE``; the launchers
install it. The search plants its own faults in the machine alone (``protocol_mutants``).
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

VARIABLE = "FAULTS_SABOTAGE"
FOR_MS = 5_000.0
HALF_OPEN_AS_IT_DIES = (
    ScheduledFault(3_000.0, FaultKind.HALF_OPEN, 0, 4_000.0),
    ScheduledFault(3_100.0, FaultKind.DAEMON, 0, 150.0),
)
ALL_DIE = tuple(ScheduledFault(3_000.0 + 500.0 * n, FaultKind.KILL, n % 5, 100.0) for n in range(10))


@dataclass(frozen=True, slots=True)
class Sabotage:
    """``promise``: the number of the one that it breaks; ``sender``: whether it is put into instances.

    ``limited``: whether it shows under a limit; without leases a cut-off instance makes no calls there.
    ``faults``: the faults under which it shows, where it needs some of its own and no rival.
    """

    promise: int
    sender: bool
    install: Callable[[], None]
    limited: bool = False
    faults: tuple[ScheduledFault, ...] = ()


def _acts_on_a_proposal() -> None:
    real = participant.prepared

    def prepared(state: Participant, prepare: Prepare, fault: str) -> tuple[Participant, Vote | None]:
        after, vote = real(state, prepare, fault)
        grant = Grant(prepare.serial, prepare.number, 0.0, prepare.cut + FOR_MS)
        return replace(after, grants=(*after.grants, grant)), vote

    vars(participant).update(prepared=prepared)


def _keeps_its_grant() -> None:
    real = participant.prepared

    def prepared(state: Participant, prepare: Prepare, fault: str) -> tuple[Participant, Vote | None]:
        return state, real(state, prepare, fault)[1]

    vars(participant).update(prepared=prepared)


def _looks_no_more() -> None:
    setattr(FleetShares, "may_begin", lambda self, policy: True)  # noqa: B010


def _forgets_what_it_took() -> None:
    state = Path(str(load_raw(os.environ)["state"]))  # the folder stays: without it no instance ever serves
    for file in state.glob("*"):
        file.unlink()


def _forgets_the_silent() -> None:
    real = coordinator._decide

    def decide(state: coordinator.Coordinator, now: float) -> coordinator.Step:
        return real(replace(state, grant_ends={}), now)

    vars(coordinator).update(_decide=decide)


def _begins_without_waiting() -> None:
    real = coordinator.begin

    def begin(times: Any, history: coordinator.History, now: float, alive: Any) -> coordinator.Step:
        return real(times, replace(history, lease_ms=0.0), now, alive)

    vars(coordinator).update(begin=begin)


def _decides_off_the_record() -> None:
    real = PolicyRecord.append

    def append(self: PolicyRecord, entry: Entry) -> None:
        if isinstance(entry, Decided) and self.history.in_force:
            self._add_entry(entry)
        else:
            real(self, entry)

    setattr(PolicyRecord, "append", append)  # noqa: B010


def _changes_two_at_a_time() -> None:
    real = coordinator.propose

    def propose(state: coordinator.Coordinator, *rest: Any) -> coordinator.Step:
        return real(replace(state, pending=None), *rest)

    vars(coordinator).update(propose=propose)


def _raises_limits_at_once() -> None:
    real = AllocatorServer.schedule_limits

    def schedule_limits(
        self: AllocatorServer, limits: Mapping[str, Limit], since: float, default_mode: LimitMode
    ) -> None:
        doubled = {key: replace(limit, calls=limit.calls * 2) for key, limit in limits.items()}
        real(self, doubled, since, default_mode)

    setattr(AllocatorServer, "schedule_limits", schedule_limits)  # noqa: B010


SABOTAGES = {
    "acts on a proposal": Sabotage(1, True, _acts_on_a_proposal),
    "a yes keeps its grant": Sabotage(2, True, _keeps_its_grant),
    "gives out more than the limit": Sabotage(2, False, _raises_limits_at_once, True),
    "the silent are not waited out": Sabotage(3, False, _forgets_the_silent),
    "no last look": Sabotage(3, True, _looks_no_more),
    "a new daemon waits for nobody": Sabotage(3, False, _begins_without_waiting, faults=HALF_OPEN_AS_IT_DIES),
    "a decision is not on record": Sabotage(4, False, _decides_off_the_record),
    "an instance forgets what it took": Sabotage(5, True, _forgets_what_it_took, True, ALL_DIE),
    "two changes at a time": Sabotage(7, False, _changes_two_at_a_time),
}
"""By name. Promise 6 (nothing learnt is lost) is not to be seen from outside; the core's tests hold it."""
