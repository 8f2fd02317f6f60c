"""The daemon's side of a change of policy: who may act under which policy, until when, and when the next
one holds.

Theory of operation. An instance begins a call only under a grant: one policy, from a moment, until a
moment. The coordinator renews grants every quarter of their length, and keeps for each owner the end of the
latest one. A change:

    state     event                                   on record   told                        next
    idle      a proposal                              Proposed    Prepare, to all connected   asking
    asking    a yes                                               nothing                     asking
    asking    a no                                    Refused     grants of what holds        idle
    asking    all have voted, or the time is over     Decided     grants up to and from A     settled
    settled   A is reached                                        grants of the new one       idle
    any       another proposal, while not idle                    refused by name             the same
    any       the daemon dies                                                                 down
    down      a start; Proposed without an end        Begun,      grants of what holds        idle
                                                      Refused
    down      a start; Decided with A to come         Begun       grants up to and from A     settled

A yes gives up all earlier grants from ``cut`` on, and while it asks the coordinator grants nothing. So A,
the moment from which the new policy holds, is the latest of ``cut`` and the ends of the grants of those who
did not vote. Whoever hears the decision gets a grant up to A and one from A on; whoever does not holds no
grant past A, be it down, frozen or cut off. Hence no instance acts under the old policy at or after A, or
under the new one before it, whichever messages are lost, late or doubled. No clock but the one that all
processes of a machine share is needed, and nobody asks the daemon anything per call.

A grant is told only while the coordinator's record is as it believes: what is on record was synced first. A
daemon that begins knows nothing of grants that were out: it takes every owner that may live to hold one of
full length.

States are values; ``step`` functions take one and return the next with what has to be done, in order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

from springspread.rollout.terms import (
    Begun,
    Decided,
    Effect,
    Entry,
    Grant,
    Owner,
    Prepare,
    Proposed,
    Refused,
    Serial,
    Tell,
    Vote,
    Write,
)


@dataclass(frozen=True, slots=True)
class Times:
    """How long grants last, how long votes may take, and how soon a yes gives up its grant (milliseconds).

    ``lead_ms`` is what telling a decision may take; ``slack_ms`` is from the last look to the first byte.
    """

    lease_ms: float = 5_000.0
    vote_ms: float = 300.0
    cut_ms: float = 500.0
    lead_ms: float = 50.0
    slack_ms: float = 20.0


@dataclass(frozen=True, slots=True)
class History:
    """What the record says. ``since`` is in the clock of this start of the machine; -inf: long ago."""

    last: int = 0  # the highest number used
    in_force: int = 0
    before: int = 0  # what held until ``since``
    since: float = -inf
    unended: tuple[int, ...] = ()
    generation: int = 0
    lease_ms: float = 0.0  # of the longest grants that earlier daemons may have given

    def after(self, entry: Entry) -> History:
        """The history with one entry more."""
        match entry:
            case Proposed(number):
                return replace(self, last=max(self.last, number), unended=(*self.unended, number))
            case Decided(number, since):
                rest = tuple(one for one in self.unended if one != number)
                return replace(self, before=self.in_force, in_force=number, since=since, unended=rest)
            case Refused(number):
                return replace(self, unended=tuple(one for one in self.unended if one != number))
            case Begun(generation, lease_ms):
                return replace(self, generation=generation, lease_ms=max(self.lease_ms, lease_ms))


@dataclass(frozen=True, slots=True)
class Pending:
    """A proposal that is being voted on. ``lead_ms`` is asked for by what it changes."""

    number: int
    cut: float
    until: float
    waits: frozenset[Owner]
    yes: frozenset[Owner] = frozenset()
    lead_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Coordinator:
    """One daemon's state."""

    times: Times
    history: History
    count: int = 0
    pending: Pending | None = None
    ends: Mapping[Owner, float] = field(default_factory=dict)  # of the latest grants
    connected: frozenset[Owner] = frozenset()
    renew_at: float = -inf
    silent: frozenset[Owner] = field(default=frozenset(), compare=False)  # waited for since the last decision

    @property
    def serial(self) -> Serial:
        """What was said last."""
        return (self.history.generation, self.count)

    def settled(self, now: float) -> bool:
        """Whether the last decision holds already."""
        return now >= self.history.since


Step = tuple[Coordinator, list[Effect]]


def begin(times: Times, history: History, now: float, alive: Iterable[Owner]) -> Step:
    """A daemon starts on a record; ``alive`` are the owners whose processes may still run."""
    made: list[Effect] = [Write(Begun(history.generation + 1, times.lease_ms))]
    for number in history.unended:  # guards what was told: nobody has heard a yes of it
        made.append(Write(Refused(number, "", "the daemon ended before it was decided")))
    full = now + history.lease_ms
    state = Coordinator(times, history, ends=dict.fromkeys(alive, full) if history.lease_ms else {})
    return _noted(state, made), made


def propose(state: Coordinator, now: float, digest: str, lead_ms: float = 0.0) -> Step:
    """A proposal; raises ``ValueError`` where another change is under way. Its number is ``history.last``."""
    if state.pending is not None:
        raise ValueError(f"change {state.pending.number} is being decided; one change at a time")
    if not state.settled(now):
        wait = (state.history.since - now) / 1000.0
        raise ValueError(f"change {state.history.in_force} takes hold in {wait:.1f} s; one change at a time")
    number, times = state.history.last + 1, state.times
    made: list[Effect] = [Write(Proposed(number, digest))]
    state = replace(_noted(state, made), count=state.count + 1)
    cut = now + times.cut_ms
    waits = state.connected
    state = replace(state, pending=Pending(number, cut, now + times.vote_ms, waits, lead_ms=lead_ms))
    made += [Tell(owner, Prepare(state.serial, number, cut)) for owner in sorted(waits)]
    return state, made


def voted(state: Coordinator, now: float, owner: Owner, vote: Vote) -> Step:
    """A vote comes in; one on another proposal, or of one who was not asked, counts for nothing."""
    pending = state.pending
    if pending is None or vote.number != pending.number or owner not in pending.waits:
        return state, []
    if not vote.yes:
        return _refuse(state, now, owner[0], vote.fault)
    waits, yes = pending.waits - {owner}, pending.yes | {owner}
    return tick(replace(state, pending=replace(pending, waits=waits, yes=yes)), now)


def joined(state: Coordinator, now: float, owner: Owner) -> Step:
    """An instance has connected, or connected anew, and wants to know what holds."""
    state = replace(state, connected=state.connected | {owner})
    return _grant(state, now, [owner]) if state.pending is None else (state, [])


def left(state: Coordinator, owner: Owner) -> Coordinator:
    """Its connection is lost; its grant is not."""
    return replace(state, connected=state.connected - {owner})


def died(state: Coordinator, now: float, owner: Owner) -> Step:
    """Its process is certainly over: it acts under nothing any more."""
    ends = {other: end for other, end in state.ends.items() if other != owner}
    state = replace(left(state, owner), ends=ends)
    if state.pending is not None:
        waits = state.pending.waits - {owner}
        state = replace(state, pending=replace(state.pending, waits=waits))
    return tick(state, now)


def tick(state: Coordinator, now: float) -> Step:
    """Time goes on: a vote may be over, grants may have to be renewed."""
    pending = state.pending
    if pending is not None:
        return _decide(state, now) if not pending.waits or now >= pending.until else (state, [])
    return _grant(state, now, sorted(state.connected)) if now >= state.renew_at else (state, [])


def give_up(state: Coordinator, now: float, fault: str) -> Step:
    """The daemon itself refuses what is being decided (its record can't be written, say)."""
    return _refuse(state, now, "", fault) if state.pending is not None else (state, [])


def _refuse(state: Coordinator, now: float, by: str, fault: str) -> Step:
    assert state.pending is not None
    made: list[Effect] = [Write(Refused(state.pending.number, by, fault))]
    state = replace(_noted(state, made), pending=None)
    state, told = _grant(state, now, sorted(state.connected))
    return state, made + told


def _decide(state: Coordinator, now: float) -> Step:
    pending, times = state.pending, state.times
    assert pending is not None
    silent = [end for owner, end in state.ends.items() if owner not in pending.yes]
    # Guards against a mixture: nobody's right to the old policy goes beyond this moment.
    over = max([now + times.lead_ms, *silent, *([pending.cut] if pending.yes else [])])
    made: list[Effect] = [Write(Decided(pending.number, over + times.slack_ms + pending.lead_ms))]
    waited = frozenset(owner for owner, end in state.ends.items() if owner not in pending.yes and end > now)
    state = replace(_noted(state, made), pending=None, silent=waited)
    state, told = _grant(state, now, sorted(state.connected))
    return state, made + told


def _grant(state: Coordinator, now: float, owners: Iterable[Owner]) -> Step:
    """What owners may act under from now on; the old policy to the border, the new one from it."""
    history, made, ends, count = state.history, list[Effect](), dict(state.ends), state.count
    until = now + state.times.lease_ms
    border = history.since - state.times.slack_ms
    for owner in owners:
        if now < border and history.before:
            count += 1
            old = Grant((history.generation, count), history.before, 0.0, min(until, border))
            made.append(Tell(owner, old))
        if history.in_force and until > history.since:
            count += 1
            new = Grant((history.generation, count), history.in_force, max(history.since, 0.0), until)
            made.append(Tell(owner, new))
        ends[owner] = max(ends.get(owner, now), until)
    renew_at = min(now + state.times.lease_ms / 4.0, history.since if history.since > now else inf)
    return replace(state, count=count, ends=ends, renew_at=renew_at), made


def _noted(state: Coordinator, effects: list[Effect]) -> Coordinator:
    """The state as its record will be."""
    for effect in effects:
        if isinstance(effect, Write):
            state = replace(state, history=state.history.after(effect.entry))
    return state
