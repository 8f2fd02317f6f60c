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

A vote of yes gives up all earlier grants from ``cut`` on, and while it waits for votes the coordinator grants
nothing. So A, the moment from which the new policy is in force, is the latest of ``cut`` and the ends of the
grants of those who did not vote. An instance that receives the decision gets a grant up to A and one from A
on; one that does not (it is down, frozen or cut off) holds no grant past A. Hence no instance acts under the
old policy at or after A, or under the new one before it, whichever messages are lost, late or duplicated. All
processes share the machine's clock, and no call needs a message to the daemon.

An entry is synced to the record before anything that relies on it is sent. A coordinator that begins does not
know the grants of the one before: it assumes that every owner that may be alive holds one of full length.

States are values; each step takes one and returns the next, with the effects to carry out in order. Times are
milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

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
    """The times of the protocol (milliseconds)."""

    lease_ms: float = 5_000.0  # the length of a grant
    vote_ms: float = 300.0  # the longest wait for votes
    cut_ms: float = 500.0  # from a proposal to the moment at which a yes gives up its earlier grants
    lead_ms: float = 50.0  # the time to send a decision to all instances
    slack_ms: float = 20.0  # from an instance's last check of its grant to a call's first byte


@dataclass(frozen=True, slots=True)
class History:
    """The state that the record's entries add up to.

    ``since``: when ``in_force`` came or comes into force, on the clock of this start of the machine; -inf:
    before it.
    """

    last_number: int = 0  # the highest number of any proposal
    in_force: int = 0
    previous: int = 0  # the policy in force until ``since``
    since: float = -inf
    undecided: tuple[int, ...] = ()
    generation: int = 0
    lease_ms: float = 0.0  # the longest grants of earlier daemons of this start of the machine

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

    ``cut``: when votes of yes give up earlier grants; ``until``: when voting ends; ``lead_ms``: how long the
    change has to be decided before it comes into force.
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

    times: Timings
    history: History
    count: int = 0
    pending: Pending | None = None
    grant_ends: Mapping[Owner, float] = field(default_factory=dict)  # of the latest grants
    connected: frozenset[Owner] = frozenset()
    renew_at: float = -inf
    # Those who did not vote on the last decision and whose grants it has to outlast.
    awaited: frozenset[Owner] = field(default=frozenset(), compare=False)

    @property
    def serial(self) -> Serial:
        """The serial of the latest message."""
        return (self.history.generation, self.count)

    def settled(self, now: float) -> bool:
        """Whether the policy of the last decision is in force."""
        return now >= self.history.since


Step = tuple[Coordinator, list[Effect]]


def begin(times: Timings, history: History, now: float, alive: Iterable[Owner]) -> Step:
    """Begin on a record; ``alive``: the owners whose processes may still run."""
    effects: list[Effect] = [Write(Begun(history.generation + 1, times.lease_ms))]
    for number in history.undecided:  # safe: its proposer was not told that it was decided
        effects.append(Write(Refused(number, "", "the daemon ended before it was decided")))
    full = now + history.lease_ms
    state = Coordinator(times, history, grant_ends=dict.fromkeys(alive, full) if history.lease_ms else {})
    return _recorded(state, effects), effects


def propose(state: Coordinator, now: float, digest: str, lead_ms: float = 0.0) -> Step:
    """Start a vote on a proposal; its number is the new state's ``history.last_number``.

    Raises ``ValueError`` where another change is under way.
    """
    if state.pending is not None:
        raise ValueError(f"change {state.pending.number} is being decided; one change at a time")
    if not state.settled(now):
        wait = (state.history.since - now) / 1000.0
        raise ValueError(f"change {state.history.in_force} takes hold in {wait:.1f} s; one change at a time")
    number, times = state.history.last_number + 1, state.times
    effects: list[Effect] = [Write(Proposed(number, digest))]
    state = replace(_recorded(state, effects), count=state.count + 1)
    cut = now + times.cut_ms
    awaited = state.connected
    state = replace(state, pending=Pending(number, cut, now + times.vote_ms, awaited, lead_ms=lead_ms))
    effects += [Send(owner, Prepare(state.serial, number, cut)) for owner in sorted(awaited)]
    return state, effects


def voted(state: Coordinator, now: float, owner: Owner, vote: Vote) -> Step:
    """Take in a vote; one on another proposal, or by an owner that is not awaited, is ignored."""
    pending = state.pending
    if pending is None or vote.number != pending.number or owner not in pending.awaited:
        return state, []
    if not vote.yes:
        return _refuse(state, now, owner[0], vote.fault)
    pending = replace(pending, awaited=pending.awaited - {owner}, yes=pending.yes | {owner})
    return tick(replace(state, pending=pending), now)


def joined(state: Coordinator, now: float, owner: Owner) -> Step:
    """An instance has connected; it gets its grants, unless a vote is open."""
    state = replace(state, connected=state.connected | {owner})
    return _grant(state, now, [owner]) if state.pending is None else (state, [])


def left(state: Coordinator, owner: Owner) -> Coordinator:
    """An owner's connection is lost; its grant stays valid."""
    return replace(state, connected=state.connected - {owner})


def died(state: Coordinator, now: float, owner: Owner) -> Step:
    """An owner's process has certainly ended, and with it the use of its grants."""
    grant_ends = {other: end for other, end in state.grant_ends.items() if other != owner}
    state = replace(left(state, owner), grant_ends=grant_ends)
    if state.pending is not None:
        awaited = state.pending.awaited - {owner}
        state = replace(state, pending=replace(state.pending, awaited=awaited))
    return tick(state, now)


def tick(state: Coordinator, now: float) -> Step:
    """Decide a vote whose time is up or that is complete, and renew grants when that is due."""
    pending = state.pending
    if pending is not None:
        return _decide(state, now) if not pending.awaited or now >= pending.until else (state, [])
    return _grant(state, now, sorted(state.connected)) if now >= state.renew_at else (state, [])


def give_up(state: Coordinator, now: float, fault: str) -> Step:
    """Refuse the proposal that is being voted on, on behalf of the daemon itself."""
    return _refuse(state, now, "", fault) if state.pending is not None else (state, [])


def _refuse(state: Coordinator, now: float, by: str, fault: str) -> Step:
    assert state.pending is not None
    effects: list[Effect] = [Write(Refused(state.pending.number, by, fault))]
    state = replace(_recorded(state, effects), pending=None)
    state, grants = _grant(state, now, sorted(state.connected))
    return state, effects + grants


def _decide(state: Coordinator, now: float) -> Step:
    pending, times = state.pending, state.times
    assert pending is not None
    unvoted_ends = {owner: end for owner, end in state.grant_ends.items() if owner not in pending.yes}
    # Guards against a mixture: nobody's right to act under the old policy goes beyond this moment.
    last_end = max([now + times.lead_ms, *unvoted_ends.values(), *([pending.cut] if pending.yes else [])])
    since = last_end + times.slack_ms + pending.lead_ms
    effects: list[Effect] = [Write(Decided(pending.number, since))]
    awaited = frozenset(owner for owner, end in unvoted_ends.items() if end > now)
    state = replace(_recorded(state, effects), pending=None, awaited=awaited)
    state, grants = _grant(state, now, sorted(state.connected))
    return state, effects + grants


def _grant(state: Coordinator, now: float, owners: Iterable[Owner]) -> Step:
    """Grant owners the policy in force; while a decision settles, the old and the new one."""
    history, grant_ends, count = state.history, dict(state.grant_ends), state.count
    effects: list[Effect] = []
    until = now + state.times.lease_ms
    old_until = history.since - state.times.slack_ms
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
    renew_at = min(now + state.times.lease_ms / 4.0, history.since if history.since > now else inf)
    return replace(state, count=count, grant_ends=grant_ends, renew_at=renew_at), effects


def _recorded(state: Coordinator, effects: list[Effect]) -> Coordinator:
    """The state after its effects are on record."""
    for effect in effects:
        if isinstance(effect, Write):
            state = replace(state, history=state.history.with_entry(effect.entry))
    return state
