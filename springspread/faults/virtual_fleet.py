"""The machine of a change in virtual time with any number of instances: what it says, and how long it takes.

The coordinator and participants are the real ones, and so are the lines; sockets, threads and the disk are
stood for by times. The daemon says one line after the other; each line takes its own way to an instance.
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
    """Milliseconds: for the daemon to write a line, for its way (from, to), and for a sync of the record."""

    line: float = 0.05
    way: tuple[float, float] = (0.1, 2.0)
    sync: float = 4.0


COSTS, TIMES = Costs(), Timings()


@dataclass(slots=True)
class Said:
    """Lines and bytes, both ways."""

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
        """``deaf`` of the instances hear nothing after their first grants."""
        self.policy, self.costs = policy, costs
        self.now, self.traffic = 0.0, Said()
        self._rng, self._order = Random(f"{seed}/virtual"), count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._owners: list[Owner] = [(f"n{n:04}", 1) for n in range(instances)]
        self._rights = dict.fromkeys(self._owners, Participant())
        self._told: dict[Owner, set[int]] = {owner: set() for owner in self._owners}
        self._silent: set[Owner] = set()
        self._busy = 0.0  # until when the daemon writes
        history = History().with_entry(Proposed(1, self.policy.digest)).with_entry(Decided(1, 0.0))
        self._state: Coordinator
        self._carry_out(coordinator.begin(times, history, self.now, []))
        for owner in self._owners:
            self._carry_out(coordinator.joined(self._state, self.now, owner))
            self._after(self._rng.uniform(0.0, REPORT_INTERVAL_MS), partial(self._say, owner))
        self._after(TICK_MS, self._tick)
        self.run(1_000.0)
        self._silent = set(self._rng.sample(self._owners, deaf))

    def run(self, for_ms: float) -> None:
        """Let time go by."""
        end = self.now + for_ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = end

    def change(self) -> float:
        """Make one change, and let it take hold; from its proposal until then (ms)."""
        start = self.now
        self._carry_out(coordinator.propose(self._state, self.now, self.policy.digest))
        while self._state.pending is not None:
            self.run(1.0)
        since = self._state.history.since
        self.run(max(since - self.now, 0.0) + 50.0)
        return since - start

    def acting(self) -> dict[int, int]:
        """How many instances may act under which policy now; 0: under none."""
        found: dict[int, int] = {}
        for rights in self._rights.values():
            version = rights.version(self.now)
            found[version] = found.get(version, 0) + 1
        return found

    def _after(self, ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + ms, next(self._order), what))

    def _tick(self) -> None:
        self._carry_out(coordinator.tick(self._state, self.now))
        self._after(TICK_MS, self._tick)

    def _say(self, owner: Owner) -> None:
        self._count(Acting(self._rights[owner].version(self.now)))
        self._after(REPORT_INTERVAL_MS, partial(self._say, owner))

    def _count(self, message: Message) -> Message:
        line = encode(message)
        self.traffic.lines += 1
        self.traffic.bytes += len(line)
        return Lines().feed(line)[0]

    def _carry_out(self, step: Step) -> None:
        self._state, effects = step
        for effect in effects:
            self._busy = max(self._busy, self.now)
            if isinstance(effect, Write):
                self._busy += self.costs.sync
                continue
            message, owner = effect.message, effect.owner
            number = message.number if isinstance(message, Prepare) else message.version
            if number not in self._told[owner]:
                self._told[owner].add(number)
                self._send(owner, Document(number, self.policy.settings_text))
            self._send(owner, message)

    def _send(self, owner: Owner, message: Message) -> None:
        read = self._count(message)
        self._busy += self.costs.line
        if owner not in self._silent:
            way = self._rng.uniform(*self.costs.way)
            self._after(self._busy - self.now + way, lambda: self._hear(owner, read))

    def _hear(self, owner: Owner, message: Message) -> None:
        rights = self._rights[owner]
        if isinstance(message, Prepare):
            self._rights[owner], vote = participant.prepared(rights, message, "")
            if vote is not None:
                self._count(vote)
                way = self._rng.uniform(*self.costs.way)
                self._after(
                    way, lambda: self._carry_out(coordinator.voted(self._state, self.now, owner, vote))
                )
        elif not isinstance(message, Document):
            self._rights[owner] = participant.granted(rights, message, self.now)  # type: ignore[arg-type]
