"""Every interleaving of a change of policy, on the real machines, with small whole times.

Messages are never taken away once they are sent: each may be heard at any moment, any number of times, or
never, so one set covers loss, delay, doubling, reordering and a process that is frozen. Processes die at any
moment, the daemon also between any two of its effects. After each event every instance is taken to begin
calls under whatever it may, and the promises are looked at.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from springspread.rollout import coordinator, participant
from springspread.rollout.coordinator import Coordinator, History, Step, Timings
from springspread.rollout.participant import Participant
from springspread.rollout.protocol import (
    Begun,
    Decided,
    Effect,
    Entry,
    Grant,
    Owner,
    Prepare,
    Proposed,
    Send,
    Vote,
    Write,
)

TIMES = Timings(lease_ms=3.0, vote_ms=1.0, cut_ms=2.0, lead_ms=0.0, slack_ms=0.0)


@dataclass(frozen=True, slots=True)
class Machine:
    """The functions under search; a planted fault replaces some of them."""

    begin: Callable[..., Step] = coordinator.begin
    propose: Callable[..., Step] = coordinator.propose
    voted: Callable[..., Step] = coordinator.voted
    tick: Callable[..., Step] = coordinator.tick
    joined: Callable[..., Step] = coordinator.joined
    granted: Callable[..., Participant] = participant.granted
    prepared: Callable[..., tuple[Participant, Vote | None]] = participant.prepared
    synced: Callable[[Entry], bool] = lambda entry: True


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may happen: instances, moments, proposals, deaths of instances and of the daemon."""

    instances: int = 3
    moments: int = 7
    proposals: int = 2
    deaths: int = 1
    daemon_deaths: int = 1
    refusals: int = 1


@dataclass(frozen=True, slots=True)
class World:
    """One moment of the whole fleet."""

    now: int = 0
    daemon: Coordinator | None = None
    record: tuple[Entry, ...] = ()  # synced
    loose: tuple[Entry, ...] = ()  # written, and lost with the power
    parts: tuple[tuple[int, Participant | None], ...] = ()  # epoch and state of each; None: down
    sent: frozenset[Send] = frozenset()
    votes: frozenset[tuple[Owner, Vote]] = frozenset()
    acted: int = 0  # the highest policy that anybody may have acted under
    told: frozenset[int] = frozenset()  # changes whose proposers were told yes
    left: Bounds = Bounds()

    @property
    def key(self) -> int:
        """Two worlds alike have the same key."""
        daemon = self.daemon
        known = () if daemon is None else (
            daemon.history, daemon.count, daemon.pending, tuple(sorted(daemon.grant_ends.items())),
            daemon.connected, daemon.renew_at,
        )  # fmt: skip
        rest = (self.record, self.loose, self.parts, self.sent, self.votes, self.acted, self.told, self.left)
        return hash((self.now, known, rest))


@dataclass(slots=True)
class SearchResult:
    """What a search came to: worlds seen, and where a promise broke the shortest way there."""

    worlds: int = 0
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    decided: int = 0  # worlds in which a change had been decided


def started(bounds: Bounds, machine: Machine) -> World:
    """A fleet that has been acting under policy 1 for a while: everybody is connected and holds a grant."""
    owners = [(f"n{n}", 0) for n in range(bounds.instances)]
    record = (Begun(1, TIMES.lease_ms), Proposed(1, "p"), Decided(1, 0.0))
    history = History(1, 1, generation=1, lease_ms=TIMES.lease_ms)
    daemon = Coordinator(TIMES, history, connected=frozenset(owners))
    daemon, effects = machine.tick(daemon, 0.0)
    parts = []
    for owner in owners:
        state = Participant()
        for effect in effects:
            if isinstance(effect, Send) and effect.owner == owner and isinstance(effect.message, Grant):
                state = machine.granted(state, effect.message, 0.0)
        parts.append((0, state))
    return World(daemon=daemon, record=record, parts=tuple(parts), acted=1, left=bounds)


def search(
    bounds: Bounds, machine: Machine | None = None, max_worlds: int = 100_000, running: bool = False
) -> SearchResult:
    """Look at up to ``max_worlds`` worlds, the nearest first, and stop at the first broken promise.

    It begins before the first daemon, or, ``running``, in a fleet that acts under policy 1.
    """
    machine = machine or Machine()
    empty = World(parts=tuple((0, Participant()) for _ in range(bounds.instances)), left=bounds)
    first = started(bounds, machine) if running else empty
    found, seen = SearchResult(), {first.key: ("", 0)}
    line = deque([first])
    while line and found.worlds < max_worlds:
        world = line.popleft()
        found.worlds += 1
        found.decided += any(isinstance(one, Decided) for one in world.record)
        for name, after in events(world, machine):
            after, broken = judged(after)
            key = after.key
            if key in seen:
                continue
            seen[key] = (name, world.key)
            if broken:
                found.violation = broken
                at = key
                while at != first.key:
                    step, at = seen[at]
                    found.trace.insert(0, step)
                return found
            line.append(after)
    return found


def judged(world: World) -> tuple[World, str]:
    """All act under what they may; which promise that breaks, if any."""
    entries = world.record + world.loose
    decided = {one.number for one in entries if isinstance(one, Decided)}
    numbers = [one.number for one in entries if isinstance(one, Proposed)]
    acts = {
        grant.version
        for _, state in world.parts
        if state is not None
        for grant in state.grants
        if grant.since <= world.now < grant.until
    }
    broken = ""
    if any(version < world.acted for version in acts) or len(acts) > 1:
        broken = f"a mixture: {sorted(acts)} after {world.acted}"
    elif not acts <= decided:
        broken = f"acted under {sorted(acts - decided)}, which was not decided"
    elif not world.told <= decided:
        broken = f"{sorted(world.told - decided)} was told as decided and is not"
    elif len(numbers) != len(set(numbers)):
        broken = "a number was used twice"
    return replace(world, acted=max([world.acted, *acts])), broken


def _carried(world: World, step: Step, machine: Machine) -> Iterator[tuple[str, World]]:
    """A step of the daemon, whole, and cut off by its death after each of its effects."""
    state, effects = step
    if world.left.daemon_deaths:
        for count in range(len(effects)):
            cut = replace(_done(world, effects[:count], machine), daemon=None, loose=())
            left = replace(world.left, daemon_deaths=world.left.daemon_deaths - 1)
            yield f", dies after {count} effects", replace(cut, left=left)
    yield "", replace(_done(world, effects, machine), daemon=state)


def _done(world: World, effects: list[Effect], machine: Machine) -> World:
    for effect in effects:
        if isinstance(effect, Send):
            world = replace(world, sent=world.sent | {effect})
        elif machine.synced(effect.entry):
            world = replace(world, record=world.record + world.loose + (effect.entry,), loose=())
        else:
            world = replace(world, loose=(*world.loose, effect.entry))
        if isinstance(effect, Write) and isinstance(effect.entry, Decided):
            world = replace(world, told=world.told | {effect.entry.number})
    return world


def events(world: World, machine: Machine) -> Iterator[tuple[str, World]]:
    """Everything that may happen next."""
    now, daemon, left = float(world.now), world.daemon, world.left
    owners = [(f"n{n}", epoch) for n, (epoch, state) in enumerate(world.parts) if state is not None]

    def daemon_does(name: str, step: Step) -> Iterator[tuple[str, World]]:
        for cut, after in _carried(world, step, machine):
            yield f"{world.now}: daemon {name}{cut}", after

    if world.now < left.moments:
        yield f"{world.now}: time", replace(world, now=world.now + 1)
    if daemon is None:
        history = History()
        for entry in world.record:
            history = history.with_entry(entry)
        yield from daemon_does("begins", machine.begin(TIMES, history, now, owners))
    else:
        if left.daemon_deaths:
            fewer = replace(left, daemon_deaths=left.daemon_deaths - 1)
            yield f"{world.now}: daemon dies", replace(world, daemon=None, loose=(), left=fewer)
        if left.proposals and daemon.pending is None and daemon.settled(now):
            fewer = replace(left, proposals=left.proposals - 1)
            step = machine.propose(daemon, now, f"p{left.proposals}")
            for cut, after in _carried(replace(world, left=fewer), step, machine):
                yield f"{world.now}: proposal{cut}", after
        for owner in owners:
            if owner not in daemon.connected:
                yield from daemon_does(f"hears {owner} join", machine.joined(daemon, now, owner))
        for owner, vote in sorted(world.votes, key=repr):
            step = machine.voted(daemon, now, owner, vote)
            if step[0] is not daemon:
                yield from daemon_does(f"hears {owner} {vote}", step)
        ticked = machine.tick(daemon, now)
        if ticked[1]:
            yield from daemon_does("looks", ticked)
        for owner in sorted(set(daemon.grant_ends) - set(owners)):
            yield from daemon_does(f"sees {owner} dead", coordinator.died(daemon, now, owner))
    for n, (epoch, state) in enumerate(world.parts):
        yield from _instance(world, machine, n, epoch, state)


def _instance(
    world: World, machine: Machine, n: int, epoch: int, state: Participant | None
) -> Iterator[tuple[str, World]]:
    now, left = float(world.now), world.left

    def part(after: Participant | None, epoch: int) -> tuple[tuple[int, Participant | None], ...]:
        return world.parts[:n] + ((epoch, after),) + world.parts[n + 1 :]

    if state is None:
        yield f"{world.now}: n{n} starts", replace(world, parts=part(Participant(), epoch + 1))
        return
    if left.deaths:
        fewer = replace(left, deaths=left.deaths - 1)
        yield f"{world.now}: n{n} dies", replace(world, parts=part(None, epoch), left=fewer)
    owner = (f"n{n}", epoch)
    for tell in sorted((one for one in world.sent if one.owner == owner), key=lambda one: one.message.serial):
        message = tell.message
        if not isinstance(message, Prepare):
            after = machine.granted(state, message, now)
            if after != state:
                yield f"{world.now}: n{n} hears {message}", replace(world, parts=part(after, epoch))
            continue
        for fault in ("", "no")[: 1 + bool(left.refusals)]:
            after, vote = machine.prepared(state, message, fault)
            if vote is None or (owner, vote) in world.votes:
                continue
            fewer = replace(left, refusals=left.refusals - bool(fault))
            told = replace(world, votes=world.votes | {(owner, vote)}, parts=part(after, epoch), left=fewer)
            yield f"{world.now}: n{n} hears {message} and says {vote.yes}", told


def altered(machine: Machine, **parts: Any) -> Machine:
    """The machine with some parts replaced, each given the part that it replaces."""
    return replace(machine, **{name: partial(made, getattr(machine, name)) for name, made in parts.items()})
