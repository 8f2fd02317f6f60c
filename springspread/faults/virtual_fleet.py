"""Simulates policy changes of a fleet of any size in virtual time, and measures their traffic and duration.

Coordinator, participants and encoded lines are real; sockets, threads and the disk are modelled as delays.
The daemon writes one line after the other; each line has a latency of its own.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from random import Random

from springspread.fleet.policy_changes import TICK_MS
from springspread.fleet.policy_participant import REPORT_INTERVAL_MS
from springspread.fleet.wire import Document, Lines, Message, encode
from springspread.rollout import coordinator, participant
from springspread.rollout.coordinator import Coordinator, History, Step, Timings
from springspread.rollout.document import Policy
from springspread.rollout.participant import Participant
from springspread.rollout.protocol import Acting, Decided, Owner, Prepare, Proposed, Write


@dataclass(frozen=True, slots=True)
class Costs:
    """Milliseconds for the daemon to write a line, for a line's latency (from, to) and for a sync."""

    line: float = 0.05
    latency: tuple[float, float] = (0.1, 2.0)
    sync: float = 4.0


COSTS, TIMES = Costs(), Timings()


@dataclass(slots=True)
class Traffic:
    """Lines and bytes in both directions."""

    lines: int = 0
    bytes: int = 0


class VirtualFleet:
    """A daemon and its instances."""

    def __init__(
        self,
        instances: int,
        policy: Policy,
        deaf: int = 0,
        seed: int = 1,
        costs: Costs = COSTS,
        times: Timings = TIMES,
    ) -> None:
        """``deaf``: how many instances receive nothing after their first grants."""
        self.policy, self.costs = policy, costs
        self.now, self.traffic = 0.0, Traffic()
        self._rng, self._sequence = Random(f"{seed}/virtual"), count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._owners: list[Owner] = [(f"n{n:04}", 1) for n in range(instances)]
        self._participants = dict.fromkeys(self._owners, Participant())
        self._documents_sent: dict[Owner, set[int]] = {owner: set() for owner in self._owners}
        self._deaf: set[Owner] = set()
        self._busy_until = 0.0
        history = History().with_entry(Proposed(1, self.policy.digest)).with_entry(Decided(1, 0.0))
        self._state: Coordinator
        self._carry_out(coordinator.begin(times, history, self.now, []))
        for owner in self._owners:
            self._carry_out(coordinator.joined(self._state, self.now, owner))
            self._after(self._rng.uniform(0.0, REPORT_INTERVAL_MS), partial(self._report, owner))
        self._after(TICK_MS, self._tick)
        self.run(1_000.0)
        self._deaf = set(self._rng.sample(self._owners, deaf))

    def run(self, for_ms: float) -> None:
        """Advance the time."""
        end = self.now + for_ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def change(self) -> float:
        """Make one policy change; returns the time (ms) from its proposal until it is in force."""
        start = self.now
        self._carry_out(coordinator.propose(self._state, self.now, self.policy.digest))
        while self._state.pending is not None:
            self.run(1.0)
        since = self._state.history.since
        self.run(max(since - self.now, 0.0) + 50.0)
        return since - start

    def acting(self) -> dict[int, int]:
        """The number of instances that may act under each policy now; 0 stands for none."""
        found: dict[int, int] = {}
        for participant_state in self._participants.values():
            version = participant_state.version(self.now)
            found[version] = found.get(version, 0) + 1
        return found

    def _after(self, ms: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + ms, next(self._sequence), callback))

    def _tick(self) -> None:
        self._carry_out(coordinator.tick(self._state, self.now))
        self._after(TICK_MS, self._tick)

    def _report(self, owner: Owner) -> None:
        self._count(Acting(self._participants[owner].version(self.now)))
        self._after(REPORT_INTERVAL_MS, partial(self._report, owner))

    def _count(self, message: Message) -> Message:
        line = encode(message)
        self.traffic.lines += 1
        self.traffic.bytes += len(line)
        return Lines().feed(line)[0]

    def _carry_out(self, step: Step) -> None:
        self._state, effects = step
        for effect in effects:
            self._busy_until = max(self._busy_until, self.now)
            if isinstance(effect, Write):
                self._busy_until += self.costs.sync
                continue
            message, owner = effect.message, effect.owner
            number = message.number if isinstance(message, Prepare) else message.version
            if number not in self._documents_sent[owner]:
                self._documents_sent[owner].add(number)
                self._send(owner, Document(number, self.policy.settings_text))
            self._send(owner, message)

    def _send(self, owner: Owner, message: Message) -> None:
        received = self._count(message)
        self._busy_until += self.costs.line
        if owner not in self._deaf:
            latency = self._rng.uniform(*self.costs.latency)
            self._after(self._busy_until - self.now + latency, lambda: self._receive(owner, received))

    def _receive(self, owner: Owner, message: Message) -> None:
        participant_state = self._participants[owner]
        if isinstance(message, Prepare):
            self._participants[owner], vote = participant.prepared(participant_state, message, "")
            if vote is not None:
                self._count(vote)
                latency = self._rng.uniform(*self.costs.latency)
                self._after(
                    latency, lambda: self._carry_out(coordinator.voted(self._state, self.now, owner, vote))
                )
        elif not isinstance(message, Document):
            self._participants[owner] = participant.granted(
                participant_state,
                message,  # type: ignore[arg-type]
                self.now,
            )
