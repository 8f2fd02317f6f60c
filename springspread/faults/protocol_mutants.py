"""Faults put into the machine of a change on purpose, one by one: the search must find each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from springspread.faults.model_checker import TIMES, Machine, altered
from springspread.rollout.coordinator import Coordinator, History, Step
from springspread.rollout.participant import Participant
from springspread.rollout.protocol import Begun, Decided, Effect, Grant, Prepare, Proposed, Send, Vote, Write

Real = Callable[..., Any]


def _grants(step: Step, change: Callable[[Coordinator, Grant], Grant]) -> Step:
    state, effects = step
    made: list[Effect] = []
    for one in effects:
        if isinstance(one, Send) and isinstance(one.message, Grant):
            one = Send(one.owner, change(state, one.message))
        made.append(one)
    return state, made


def _acts_on_prepare(
    real: Real, state: Participant, prepare: Prepare, fault: str
) -> tuple[Participant, Vote | None]:
    after, vote = real(state, prepare, fault)
    if vote is not None and vote.yes:
        grant = Grant(prepare.serial, prepare.number, prepare.cut, prepare.cut + TIMES.lease_ms)
        after = replace(after, grants=(*after.grants, grant))
    return after, vote


def _keeps_its_grant(
    real: Real, state: Participant, prepare: Prepare, fault: str
) -> tuple[Participant, Vote | None]:
    after, vote = real(state, prepare, fault)
    return replace(after, grants=state.grants), vote


def _has_no_barrier(
    real: Real, state: Participant, prepare: Prepare, fault: str
) -> tuple[Participant, Vote | None]:
    after, vote = real(state, prepare, fault)
    return replace(after, barrier=state.barrier), vote


def _forgets_the_silent(real: Real, state: Coordinator, now: float, *rest: object) -> Step:
    forgetful = replace(state, grant_ends={}) if state.pending else state
    return real(forgetful, now, *rest)  # type: ignore[no-any-return]


def _grants_past_the_border(real: Real, state: Coordinator, now: float, *rest: object) -> Step:
    def longer(after: Coordinator, grant: Grant) -> Grant:
        old = grant.version == after.history.previous
        return replace(grant, until=now + TIMES.lease_ms) if old else grant

    return _grants(real(state, now, *rest), longer)


def _grants_while_asking(real: Real, state: Coordinator, now: float, *rest: object) -> Step:
    after, effects = real(state, now, *rest)
    if after.pending is not None and after.history.in_force:
        for owner in sorted(after.connected):
            after = replace(after, count=after.count + 1)
            grant = Grant(after.serial, after.history.in_force, 0.0, now + TIMES.lease_ms)
            effects = [*effects, Send(owner, grant)]
    return after, effects


def _begins_the_new_at_once(real: Real, state: Coordinator, now: float, *rest: object) -> Step:
    return _grants(real(state, now, *rest), lambda _, grant: replace(grant, since=0.0))


def _counts_any_vote(real: Real, state: Coordinator, now: float, owner: tuple[str, int], vote: Vote) -> Step:
    number = state.pending.number if state.pending else vote.number
    return real(state, now, owner, replace(vote, number=number))  # type: ignore[no-any-return]


def _begins_without_waiting(real: Real, times: object, history: History, now: float, alive: object) -> Step:
    return real(times, replace(history, lease_ms=0.0), now, alive)  # type: ignore[no-any-return]


def _goes_on_with_what_was_proposed(
    real: Real, times: object, history: History, now: float, alive: object
) -> Step:
    state, effects = real(times, replace(history, undecided=()), now, alive)
    for number in history.undecided:  # in force, and nothing is on record
        state = replace(state, history=replace(state.history, in_force=number, since=now))
    return state, effects


def _reuses_numbers(real: Real, state: Coordinator, now: float, digest: str, lead_ms: float = 0.0) -> Step:
    history = replace(state.history, last_number=state.history.in_force)
    return real(replace(state, history=history), now, digest, lead_ms)  # type: ignore[no-any-return]


def _counts_from_arrival(real: Real, state: Participant, grant: Grant, now: float) -> Participant:
    late = replace(grant, until=max(grant.until, now + TIMES.lease_ms))
    return real(state, late, now)  # type: ignore[no-any-return]


def _tells_before_it_writes(real: Real, state: Coordinator, now: float, *rest: object) -> Step:
    after, effects = real(state, now, *rest)
    return after, sorted(effects, key=lambda one: isinstance(one, Write))


def _every(machine: Machine, made: Real) -> Machine:
    return altered(machine, voted=made, tick=made, joined=made)


REAL = Machine()
MUTANTS: dict[str, Machine] = {
    "act on prepare": altered(REAL, prepared=_acts_on_prepare),
    "a yes keeps its grant": altered(REAL, prepared=_keeps_its_grant),
    "a yes leaves no barrier": altered(REAL, prepared=_has_no_barrier),
    "the silent are not waited out": altered(REAL, voted=_forgets_the_silent, tick=_forgets_the_silent),
    "grants go past the border": _every(REAL, _grants_past_the_border),
    "grants go on while it asks": altered(REAL, joined=_grants_while_asking),
    "the new one begins at once": _every(REAL, _begins_the_new_at_once),
    "votes on anything count": altered(REAL, voted=_counts_any_vote),
    "a new daemon waits for nobody": altered(REAL, begin=_begins_without_waiting),
    "a new daemon follows what was only proposed": altered(REAL, begin=_goes_on_with_what_was_proposed),
    "a number is used again": altered(REAL, propose=_reuses_numbers),
    "a grant counts from its arrival": altered(REAL, granted=_counts_from_arrival),
    "a decision is told before it is on record": altered(
        REAL, voted=_tells_before_it_writes, tick=_tells_before_it_writes
    ),
    "a decision is not synced": replace(REAL, synced=lambda entry: not isinstance(entry, Decided)),
    "a proposal is not synced": replace(REAL, synced=lambda entry: not isinstance(entry, Proposed)),
    "a generation is not synced": replace(REAL, synced=lambda entry: not isinstance(entry, Begun)),
}
"""By name: the machine with that one fault."""
