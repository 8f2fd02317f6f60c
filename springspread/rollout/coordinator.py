"""The coordinator of a change of policy: which policy each instance may act under, and until when.

Theory of operation. An instance begins a call only under a grant: the right to act under one policy between
two moments. The coordinator renews grants every quarter of their length, and keeps for each owner the end of
its latest one. A change of policy:

    state     event                              on record   sent                          next state
    idle      a proposal                         Proposed    Prepare to all connected      voting
    voting    a vote of yes                                  nothing                       voting
    voting    a vote of no                       Refused     grants of the old policy      idle
    voting    all have voted, or the time is up  Decided     grants up to and from A       settling
    settling  A is reached                                   grants of the new policy      idle
    any       another proposal, while not idle               an error that says why        the same
    any       the daemon dies                                                              down
    down      a start; Proposed, not decided     Begun,      grants of the old policy      idle
                                                 Refused
    down      a start; Decided with A to come    Begun       grants up to and from A       settling

A vote of yes gives up all earlier grants from ``cut`` on, and the coordinator grants nothing while it waits
for votes. So A, the moment from which the new policy is in force, is the latest of ``cut`` and the ends of
the grants of those who did not vote. An instance that receives the decision gets a grant up to A and one from
A on; one that does not (it is down, frozen or cut off) has no grant past A. Hence no instance acts under the
old policy at or after A, or under the new one before it, whichever messages are lost, late or duplicated. All
processes share the machine's clock, and no call needs a message to the daemon.

An entry is synced to the record before any message that relies on it is sent. A new coordinator does not know
the grants of its predecessor: it assumes that every owner that may be alive has one of full length.

States are immutable; each step takes one and returns the next, with the effects to carry out in order. Times
are milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

from springspread.fleet.limits import HELD_UP_MS
from springspread.rollout.protocol import (
    Begun,
    Decided,
    Effect,
    Entry,
    Grant,
    Owner,
    Prepare,
    Proposed,
    Refused,
    Send,
    Serial,
    Vote,
    Write,
)


@dataclass(frozen=True, slots=True)
class Timings:
    """The durations of the protocol (milliseconds)."""

    lease_ms: float = 5_000.0  # the length of a grant
    vote_ms: float = 300.0  # the timeout for votes
    cut_ms: float = 500.0  # from a proposal to the moment from which a yes gives up earlier grants
    lead_ms: float = 50.0  # the time to send a decision to all instances
    slack_ms: float = HELD_UP_MS + 20.0  # from an instance's last check of its grant to a call's first byte


@dataclass(frozen=True, slots=True)
class History:
    """The state after all entries of the record.

    ``since``: when ``in_force`` came or comes into force, on the clock of this boot; -inf: before this boot.
    """

    last_number: int = 0  # the highest number of any proposal
    in_force: int = 0
    previous: int = 0  # the policy in force until ``since``
    since: float = -inf
    undecided: tuple[int, ...] = ()
    generation: int = 0
    lease_ms: float = 0.0  # the longest grants of earlier daemons since boot

    def with_entry(self, entry: Entry) -> History:
        """The history with one more entry."""
        match entry:
            case Proposed(number):
                return replace(
                    self, last_number=max(self.last_number, number), undecided=(*self.undecided, number)
                )
            case Decided(number, since):
                history = self._without_undecided(number)
                return replace(history, previous=self.in_force, in_force=number, since=since)
            case Refused(number):
                return self._without_undecided(number)
            case Begun(generation, lease_ms):
                return replace(self, generation=generation, lease_ms=max(self.lease_ms, lease_ms))

    def _without_undecided(self, number: int) -> History:
        return replace(self, undecided=tuple(other for other in self.undecided if other != number))


@dataclass(frozen=True, slots=True)
class Pending:
    """A proposal that is being voted on.

    ``cut``: from when on votes of yes give up earlier grants; ``until``: when voting ends; ``lead_ms``: the
    least time from the decision until the policy is in force.
    """

    number: int
    cut: float
    until: float
    awaited: frozenset[Owner]  # those who have not voted
    yes: frozenset[Owner] = frozenset()
    lead_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Coordinator:
    """The state of one coordinator."""

    timings: Timings
    history: History
    count: int = 0
    pending: Pending | None = None
    grant_ends: Mapping[Owner, float] = field(default_factory=dict)  # of the latest grants
    connected: frozenset[Owner] = frozenset()
    renew_at: float = -inf
    # Owners that did not vote on the last decision; their grants end before it is in force.
    awaited: frozenset[Owner] = field(default=frozenset(), compare=False)

    @property
    def serial(self) -> Serial:
        """The serial of the latest message."""
        return (self.history.generation, self.count)

    def settled(self, now: float) -> bool:
        """Whether the latest decided policy is in force."""
        return now >= self.history.since


Step = tuple[Coordinator, list[Effect]]


def begin(timings: Timings, history: History, now: float, alive: Iterable[Owner]) -> Step:
    """Start from a record; ``alive``: the owners whose processes may still run."""
    effects: list[Effect] = [Write(Begun(history.generation + 1, timings.lease_ms))]
    for number in history.undecided:  # safe: no decision was reported to the proposer
        effects.append(Write(Refused(number, "", "the daemon ended before it was decided")))
    latest_end = now + history.lease_ms
    state = Coordinator(
        timings, history, grant_ends=dict.fromkeys(alive, latest_end) if history.lease_ms else {}
    )
    return _with_recorded(state, effects), effects


def propose(state: Coordinator, now: float, digest: str, lead_ms: float = 0.0) -> Step:
    """Start a vote on a proposal; its number is the new state's ``history.last_number``.

    Raises ``ValueError`` while another change is in progress.
    """
    if state.pending is not None:
        raise ValueError(f"change {state.pending.number} is being decided; one change at a time")
    if not state.settled(now):
        wait = (state.history.since - now) / 1000.0
        raise ValueError(
            f"change {state.history.in_force} comes into force in {wait:.1f} s; one change at a time"
        )
    number, timings = state.history.last_number + 1, state.timings
    effects: list[Effect] = [Write(Proposed(number, digest))]
    state = replace(_with_recorded(state, effects), count=state.count + 1)
    cut = now + timings.cut_ms
    awaited = state.connected
    state = replace(state, pending=Pending(number, cut, now + timings.vote_ms, awaited, lead_ms=lead_ms))
    effects += [Send(owner, Prepare(state.serial, number, cut)) for owner in sorted(awaited)]
    return state, effects


def voted(state: Coordinator, now: float, owner: Owner, vote: Vote) -> Step:
    """Handle a vote; one on another proposal, or by an owner that is not awaited, is ignored."""
    pending = state.pending
    if pending is None or vote.number != pending.number or owner not in pending.awaited:
        return state, []
    if not vote.yes:
        return _refuse(state, now, owner[0], vote.fault)
    pending = replace(pending, awaited=pending.awaited - {owner}, yes=pending.yes | {owner})
    return tick(replace(state, pending=pending), now)


def joined(state: Coordinator, now: float, owner: Owner) -> Step:
    """Handle a new connection: the owner gets its grants, unless a vote is open."""
    state = replace(state, connected=state.connected | {owner})
    return _grant(state, now, [owner]) if state.pending is None else (state, [])


def left(state: Coordinator, owner: Owner) -> Coordinator:
    """Handle the loss of a connection; the owner's grant stays valid."""
    return replace(state, connected=state.connected - {owner})


def died(state: Coordinator, now: float, owner: Owner) -> Step:
    """Handle the certain end of an owner's process, and with it of its grants."""
    grant_ends = {other: end for other, end in state.grant_ends.items() if other != owner}
    state = replace(left(state, owner), grant_ends=grant_ends)
    if state.pending is not None:
        awaited = state.pending.awaited - {owner}
        state = replace(state, pending=replace(state.pending, awaited=awaited))
    return tick(state, now)


def tick(state: Coordinator, now: float) -> Step:
    """Decide a vote that is complete or has timed out; renew grants when due."""
    pending = state.pending
    if pending is not None:
        return _decide(state, now) if not pending.awaited or now >= pending.until else (state, [])
    return _grant(state, now, sorted(state.connected)) if now >= state.renew_at else (state, [])


def _refuse(state: Coordinator, now: float, by: str, fault: str) -> Step:
    assert state.pending is not None
    effects: list[Effect] = [Write(Refused(state.pending.number, by, fault))]
    state = replace(_with_recorded(state, effects), pending=None)
    state, grants = _grant(state, now, sorted(state.connected))
    return state, effects + grants


def _decide(state: Coordinator, now: float) -> Step:
    pending, timings = state.pending, state.timings
    assert pending is not None
    unvoted_ends = {owner: end for owner, end in state.grant_ends.items() if owner not in pending.yes}
    # No grant of the old policy is valid after this moment, so the two policies never overlap.
    last_end = max([now + timings.lead_ms, *unvoted_ends.values(), *([pending.cut] if pending.yes else [])])
    since = last_end + timings.slack_ms + pending.lead_ms
    effects: list[Effect] = [Write(Decided(pending.number, since))]
    awaited = frozenset(owner for owner, end in unvoted_ends.items() if end > now)
    state = replace(_with_recorded(state, effects), pending=None, awaited=awaited)
    state, grants = _grant(state, now, sorted(state.connected))
    return state, effects + grants


def _grant(state: Coordinator, now: float, owners: Iterable[Owner]) -> Step:
    """Grant owners the policy in force; until a decided one is in force, both the old and the new one."""
    history, grant_ends, count = state.history, dict(state.grant_ends), state.count
    effects: list[Effect] = []
    until = now + state.timings.lease_ms
    old_until = history.since - state.timings.slack_ms
    for owner in owners:
        if now < old_until and history.previous:
            count += 1
            old = Grant((history.generation, count), history.previous, 0.0, min(until, old_until))
            effects.append(Send(owner, old))
        if history.in_force and until > history.since:
            count += 1
            new = Grant((history.generation, count), history.in_force, max(history.since, 0.0), until)
            effects.append(Send(owner, new))
        grant_ends[owner] = max(grant_ends.get(owner, now), until)
    renew_at = min(now + state.timings.lease_ms / 4.0, history.since if history.since > now else inf)
    return replace(state, count=count, grant_ends=grant_ends, renew_at=renew_at), effects


def _with_recorded(state: Coordinator, effects: list[Effect]) -> Coordinator:
    """The state with the entries that its effects write."""
    for effect in effects:
        if isinstance(effect, Write):
            state = replace(state, history=state.history.with_entry(effect.entry))
    return state
