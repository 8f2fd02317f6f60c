"""A model checker for policy changes: explores interleavings of the real protocol code in discrete time.

Sent messages stay in a set and may be received at any time, any number of times, or never, which covers
loss, delay, duplication, reordering and frozen processes. Processes die at any time, the daemon also
between any two of its effects. After each event every instance is assumed to call under whatever it may,
and the promises are checked.
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
    """The protocol's functions; a mutant replaces some of them."""

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
    """Bounds of a search: instances, time, and how often each kind of event may occur."""

    instances: int = 3
    moments: int = 7
    proposals: int = 2
    deaths: int = 1
    daemon_deaths: int = 1
    refusals: int = 1


@dataclass(frozen=True, slots=True)
class World:
    """A state of the whole fleet."""

    now: int = 0
    daemon: Coordinator | None = None
    record: tuple[Entry, ...] = ()  # synced
    unsynced: tuple[Entry, ...] = ()  # written, and lost if the daemon dies
    participants: tuple[tuple[int, Participant | None], ...] = ()  # epoch and state; None if down
    sent: frozenset[Send] = frozenset()
    votes: frozenset[tuple[Owner, Vote]] = frozenset()
    highest_acted: int = 0  # the highest policy that any instance may have acted under
    confirmed: frozenset[int] = frozenset()  # changes that were reported as decided
    budget: Bounds = Bounds()

    @property
    def key(self) -> int:
        """Equal worlds have the same key."""
        daemon = self.daemon
        known = () if daemon is None else (
            daemon.history, daemon.count, daemon.pending, tuple(sorted(daemon.grant_ends.items())),
            daemon.connected, daemon.renew_at,
        )  # fmt: skip
        rest = (
            self.record,
            self.unsynced,
            self.participants,
            self.sent,
            self.votes,
            self.highest_acted,
            self.confirmed,
            self.budget,
        )
        return hash((self.now, known, rest))


@dataclass(slots=True)
class SearchResult:
    """The result of a search: worlds visited, and the shortest trace to a violation."""

    worlds: int = 0
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    decided: int = 0  # worlds with a decided change


def running_world(bounds: Bounds, machine: Machine) -> World:
    """A fleet that acts under policy 1: all instances are connected and hold grants."""
    owners = [(f"n{n}", 0) for n in range(bounds.instances)]
    record = (Begun(1, TIMES.lease_ms), Proposed(1, "p"), Decided(1, 0.0))
    history = History(1, 1, generation=1, lease_ms=TIMES.lease_ms)
    daemon = Coordinator(TIMES, history, connected=frozenset(owners))
    daemon, effects = machine.tick(daemon, 0.0)
    participants = []
    for owner in owners:
        state = Participant()
        for effect in effects:
            if isinstance(effect, Send) and effect.owner == owner and isinstance(effect.message, Grant):
                state = machine.granted(state, effect.message, 0.0)
        participants.append((0, state))
    return World(
        daemon=daemon, record=record, participants=tuple(participants), highest_acted=1, budget=bounds
    )


def search(
    bounds: Bounds, machine: Machine | None = None, max_worlds: int = 100_000, running: bool = False
) -> SearchResult:
    """Search breadth-first up to ``max_worlds`` worlds, and stop at the first violation.

    The search starts before the first daemon or, with ``running``, in a fleet that acts under policy 1.
    """
    machine = machine or Machine()
    empty = World(participants=tuple((0, Participant()) for _ in range(bounds.instances)), budget=bounds)
    first = running_world(bounds, machine) if running else empty
    result, seen = SearchResult(), {first.key: ("", 0)}
    queue = deque([first])
    while queue and result.worlds < max_worlds:
        world = queue.popleft()
        result.worlds += 1
        result.decided += any(isinstance(entry, Decided) for entry in world.record)
        for name, after in events(world, machine):
            after, violation = check_promises(after)
            key = after.key
            if key in seen:
                continue
            seen[key] = (name, world.key)
            if violation:
                result.violation = violation
                at = key
                while at != first.key:
                    step, at = seen[at]
                    result.trace.insert(0, step)
                return result
            queue.append(after)
    return result


def check_promises(world: World) -> tuple[World, str]:
    """Let all instances act under what they may; returns the promise that this violates, if any."""
    entries = world.record + world.unsynced
    decided = {entry.number for entry in entries if isinstance(entry, Decided)}
    numbers = [entry.number for entry in entries if isinstance(entry, Proposed)]
    versions = {
        grant.version
        for _, state in world.participants
        if state is not None
        for grant in state.grants
        if grant.since <= world.now < grant.until
    }
    violation = ""
    if any(version < world.highest_acted for version in versions) or len(versions) > 1:
        violation = f"a mixture: {sorted(versions)} after {world.highest_acted}"
    elif not versions <= decided:
        violation = f"acted under {sorted(versions - decided)}, which was not decided"
    elif not world.confirmed <= decided:
        violation = f"{sorted(world.confirmed - decided)} was told as decided and is not"
    elif len(numbers) != len(set(numbers)):
        violation = "a number was used twice"
    return replace(world, highest_acted=max([world.highest_acted, *versions])), violation


def _daemon_steps(world: World, step: Step, machine: Machine) -> Iterator[tuple[str, World]]:
    """A step of the daemon: whole, and cut short by its death after each number of effects."""
    state, effects = step
    if world.budget.daemon_deaths:
        for count in range(len(effects)):
            cut = replace(_apply_effects(world, effects[:count], machine), daemon=None, unsynced=())
            budget = replace(world.budget, daemon_deaths=world.budget.daemon_deaths - 1)
            yield f", dies after {count} effects", replace(cut, budget=budget)
    yield "", replace(_apply_effects(world, effects, machine), daemon=state)


def _apply_effects(world: World, effects: list[Effect], machine: Machine) -> World:
    for effect in effects:
        if isinstance(effect, Send):
            world = replace(world, sent=world.sent | {effect})
        elif machine.synced(effect.entry):
            world = replace(world, record=world.record + world.unsynced + (effect.entry,), unsynced=())
        else:
            world = replace(world, unsynced=(*world.unsynced, effect.entry))
        if isinstance(effect, Write) and isinstance(effect.entry, Decided):
            world = replace(world, confirmed=world.confirmed | {effect.entry.number})
    return world


def events(world: World, machine: Machine) -> Iterator[tuple[str, World]]:
    """All events that may happen next."""
    now, daemon, budget = float(world.now), world.daemon, world.budget
    owners = [(f"n{n}", epoch) for n, (epoch, state) in enumerate(world.participants) if state is not None]

    def daemon_step(name: str, step: Step) -> Iterator[tuple[str, World]]:
        for cut, after in _daemon_steps(world, step, machine):
            yield f"{world.now}: daemon {name}{cut}", after

    if world.now < budget.moments:
        yield f"{world.now}: time", replace(world, now=world.now + 1)
    if daemon is None:
        history = History()
        for entry in world.record:
            history = history.with_entry(entry)
        yield from daemon_step("begins", machine.begin(TIMES, history, now, owners))
    else:
        if budget.daemon_deaths:
            reduced = replace(budget, daemon_deaths=budget.daemon_deaths - 1)
            yield f"{world.now}: daemon dies", replace(world, daemon=None, unsynced=(), budget=reduced)
        if budget.proposals and daemon.pending is None and daemon.settled(now):
            reduced = replace(budget, proposals=budget.proposals - 1)
            step = machine.propose(daemon, now, f"p{budget.proposals}")
            for cut, after in _daemon_steps(replace(world, budget=reduced), step, machine):
                yield f"{world.now}: proposal{cut}", after
        for owner in owners:
            if owner not in daemon.connected:
                yield from daemon_step(f"hears {owner} join", machine.joined(daemon, now, owner))
        for owner, vote in sorted(world.votes, key=repr):
            step = machine.voted(daemon, now, owner, vote)
            if step[0] is not daemon:
                yield from daemon_step(f"hears {owner} {vote}", step)
        ticked = machine.tick(daemon, now)
        if ticked[1]:
            yield from daemon_step("looks", ticked)
        for owner in sorted(set(daemon.grant_ends) - set(owners)):
            yield from daemon_step(f"sees {owner} dead", coordinator.died(daemon, now, owner))
    for n, (epoch, state) in enumerate(world.participants):
        yield from _instance(world, machine, n, epoch, state)


def _instance(
    world: World, machine: Machine, n: int, epoch: int, state: Participant | None
) -> Iterator[tuple[str, World]]:
    now, budget = float(world.now), world.budget

    def with_participant(after: Participant | None, epoch: int) -> tuple[tuple[int, Participant | None], ...]:
        return world.participants[:n] + ((epoch, after),) + world.participants[n + 1 :]

    if state is None:
        yield (
            f"{world.now}: n{n} starts",
            replace(world, participants=with_participant(Participant(), epoch + 1)),
        )
        return
    if budget.deaths:
        reduced = replace(budget, deaths=budget.deaths - 1)
        yield (
            f"{world.now}: n{n} dies",
            replace(world, participants=with_participant(None, epoch), budget=reduced),
        )
    owner = (f"n{n}", epoch)
    for send_effect in sorted(
        (send for send in world.sent if send.owner == owner), key=lambda send: send.message.serial
    ):
        message = send_effect.message
        if not isinstance(message, Prepare):
            after = machine.granted(state, message, now)
            if after != state:
                yield (
                    f"{world.now}: n{n} hears {message}",
                    replace(world, participants=with_participant(after, epoch)),
                )
            continue
        for fault in ("", "no")[: 1 + bool(budget.refusals)]:
            after, vote = machine.prepared(state, message, fault)
            if vote is None or (owner, vote) in world.votes:
                continue
            reduced = replace(budget, refusals=budget.refusals - bool(fault))
            after_vote = replace(
                world,
                votes=world.votes | {(owner, vote)},
                participants=with_participant(after, epoch),
                budget=reduced,
            )
            yield f"{world.now}: n{n} hears {message} and says {vote.yes}", after_vote


def altered(machine: Machine, **replacements: Any) -> Machine:
    """A machine with some functions replaced; each replacement gets the original as its first argument."""
    return replace(
        machine,
        **{name: partial(replacement, getattr(machine, name)) for name, replacement in replacements.items()},
    )
