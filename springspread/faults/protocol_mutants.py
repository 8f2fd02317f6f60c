"""Mutants of the policy protocol with one fault each; the model checker must reject them all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from springspread.faults.model_checker import TIMES, Machine, altered
from springspread.rollout.coordinator import Coordinator, History, Step
from springspread.rollout.participant import Participant
from springspread.rollout.protocol import Begun, Decided, Effect, Grant, Prepare, Proposed, Send, Vote, Write

Original = Callable[..., Any]


def _map_grants(step: Step, change: Callable[[Coordinator, Grant], Grant]) -> Step:
    state, effects = step
    changed: list[Effect] = []
    for effect in effects:
        if isinstance(effect, Send) and isinstance(effect.message, Grant):
            effect = Send(effect.owner, change(state, effect.message))
        changed.append(effect)
    return state, changed


def _acts_on_prepare(
    original: Original, state: Participant, prepare: Prepare, fault: str
) -> tuple[Participant, Vote | None]:
    after, vote = original(state, prepare, fault)
    if vote is not None and vote.yes:
        grant = Grant(prepare.serial, prepare.number, prepare.cut, prepare.cut + TIMES.lease_ms)
        after = replace(after, grants=(*after.grants, grant))
    return after, vote


def _keeps_its_grant(
    original: Original, state: Participant, prepare: Prepare, fault: str
) -> tuple[Participant, Vote | None]:
    after, vote = original(state, prepare, fault)
    return replace(after, grants=state.grants), vote


def _has_no_barrier(
    original: Original, state: Participant, prepare: Prepare, fault: str
) -> tuple[Participant, Vote | None]:
    after, vote = original(state, prepare, fault)
    return replace(after, barrier=state.barrier), vote


def _ignores_unexpired_grants(original: Original, state: Coordinator, now: float, *rest: object) -> Step:
    forgetful = replace(state, grant_ends={}) if state.pending else state
    return original(forgetful, now, *rest)  # type: ignore[no-any-return]


def _extends_old_grants(original: Original, state: Coordinator, now: float, *rest: object) -> Step:
    def longer(after: Coordinator, grant: Grant) -> Grant:
        old = grant.version == after.history.previous
        return replace(grant, until=now + TIMES.lease_ms) if old else grant

    return _map_grants(original(state, now, *rest), longer)


def _grants_while_asking(original: Original, state: Coordinator, now: float, *rest: object) -> Step:
    after, effects = original(state, now, *rest)
    if after.pending is not None and after.history.in_force:
        for owner in sorted(after.connected):
            after = replace(after, count=after.count + 1)
            grant = Grant(after.serial, after.history.in_force, 0.0, now + TIMES.lease_ms)
            effects = [*effects, Send(owner, grant)]
    return after, effects


def _starts_new_policy_at_once(original: Original, state: Coordinator, now: float, *rest: object) -> Step:
    return _map_grants(original(state, now, *rest), lambda _, grant: replace(grant, since=0.0))


def _counts_any_vote(
    original: Original, state: Coordinator, now: float, owner: tuple[str, int], vote: Vote
) -> Step:
    number = state.pending.number if state.pending else vote.number
    return original(state, now, owner, replace(vote, number=number))  # type: ignore[no-any-return]


def _begins_without_waiting_for_leases(
    original: Original, times: object, history: History, now: float, alive: object
) -> Step:
    return original(times, replace(history, lease_ms=0.0), now, alive)  # type: ignore[no-any-return]


def _applies_undecided_proposals(
    original: Original, times: object, history: History, now: float, alive: object
) -> Step:
    state, effects = original(times, replace(history, undecided=()), now, alive)
    for number in history.undecided:  # puts it in force without a record
        state = replace(state, history=replace(state.history, in_force=number, since=now))
    return state, effects


def _reuses_numbers(
    original: Original, state: Coordinator, now: float, digest: str, lead_ms: float = 0.0
) -> Step:
    history = replace(state.history, last_number=state.history.in_force)
    return original(replace(state, history=history), now, digest, lead_ms)  # type: ignore[no-any-return]


def _extends_grants_on_arrival(
    original: Original, state: Participant, grant: Grant, now: float
) -> Participant:
    late = replace(grant, until=max(grant.until, now + TIMES.lease_ms))
    return original(state, late, now)  # type: ignore[no-any-return]


def _sends_before_it_writes(original: Original, state: Coordinator, now: float, *rest: object) -> Step:
    after, effects = original(state, now, *rest)
    return after, sorted(effects, key=lambda effect: isinstance(effect, Write))


def _altered_granting(machine: Machine, replacement: Original) -> Machine:
    return altered(machine, voted=replacement, tick=replacement, joined=replacement)


CORRECT = Machine()
MUTANTS: dict[str, Machine] = {
    "act on prepare": altered(CORRECT, prepared=_acts_on_prepare),
    "a yes keeps its grant": altered(CORRECT, prepared=_keeps_its_grant),
    "a yes leaves no barrier": altered(CORRECT, prepared=_has_no_barrier),
    "the silent are not waited out": altered(
        CORRECT, voted=_ignores_unexpired_grants, tick=_ignores_unexpired_grants
    ),
    "grants go past the border": _altered_granting(CORRECT, _extends_old_grants),
    "grants go on while it asks": altered(CORRECT, joined=_grants_while_asking),
    "the new one begins at once": _altered_granting(CORRECT, _starts_new_policy_at_once),
    "votes on anything count": altered(CORRECT, voted=_counts_any_vote),
    "a new daemon waits for nobody": altered(CORRECT, begin=_begins_without_waiting_for_leases),
    "a new daemon follows what was only proposed": altered(CORRECT, begin=_applies_undecided_proposals),
    "a number is used again": altered(CORRECT, propose=_reuses_numbers),
    "a grant counts from its arrival": altered(CORRECT, granted=_extends_grants_on_arrival),
    "a decision is told before it is on record": altered(
        CORRECT, voted=_sends_before_it_writes, tick=_sends_before_it_writes
    ),
    "a decision is not synced": replace(CORRECT, synced=lambda entry: not isinstance(entry, Decided)),
    "a proposal is not synced": replace(CORRECT, synced=lambda entry: not isinstance(entry, Proposed)),
    "a generation is not synced": replace(CORRECT, synced=lambda entry: not isinstance(entry, Begun)),
}
"""The mutants, by the name of their fault."""
