"""The driver of a change of policy in the daemon: one thread that owns the coordinator and its record.

What others tell (who is there, votes, proposals) comes in through a queue; effects are carried out in
order, and an entry that can't be put on record stops what would have followed it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import count
from math import inf
from pathlib import Path
from queue import Empty, SimpleQueue

from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Log
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.wire import Document, Fit, Message, Question
from springspread.net.threads import spawn
from springspread.rollout import coordinator
from springspread.rollout.coordinator import Coordinator, Step, Times
from springspread.rollout.document import Policy, PolicyFault, check, lead_ms
from springspread.rollout.record import Damaged, PolicyRecord
from springspread.rollout.terms import Acting, Decided, Owner, Prepare, Proposed, Refused, Vote, Write

LOOK_MS = 20.0
HEARD_MS = 2_500.0  # an instance that has said nothing for so long is not known to act
LimitsReceiver = Callable[[Mapping[str, Limit], float, LimitMode], None]
"""Takes the limits and the default mode of a policy, and the moment (ms) from which they hold."""
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(slots=True)
class Proposal:
    """One proposal on its way: its number as soon as there is one, and how it ended."""

    policy: Policy
    number: int = 0
    fault: str = ""
    taken: threading.Event = field(default_factory=threading.Event)  # it has a number, or a fault


class Changes:
    """Runs until ``close``. Raises ``Damaged`` or ``OSError`` where the record can't be followed."""

    def __init__(
        self, folder: Path, first: Policy, log: Log, clock: Clock = SYSTEM, times: Times | None = None
    ) -> None:
        """``first`` holds at once where nothing is on record yet; raises ``PolicyFault``."""
        self._log, self._clock, self._times = log, clock, times or Times()
        self.record = PolicyRecord(folder, BOOT_ID.read_text().strip())
        if not self.record.history.in_force:
            check(first, [])
            number = self.record.history.last + 1  # an earlier first start may have died after its proposal
            self.record.keep(number, first)
            self.record.append(Proposed(number, first.digest))
            self.record.append(Decided(number, clock.now()))
        self._inbox: SimpleQueue[Callable[[float], Step]] = SimpleQueue()
        self._state: Coordinator | None = None
        self._asked: dict[int, dict[Owner, str | None]] = {}  # what is open, and who said what of it
        self._ids = count(1)
        self._told: dict[Owner, set[int]] = {}  # whose texts an owner's connection has had
        self._acting: dict[Owner, tuple[int, float]] = {}
        self._tell: Callable[[Owner, Message], None] = _nobody
        self._limits: LimitsReceiver = _no_limits
        self._over = threading.Event()

    def begin(
        self,
        alive: Iterable[Owner],
        tell: Callable[[Owner, Message], None],
        limits: LimitsReceiver,
    ) -> None:
        """Start deciding. ``alive``: whose processes may run; ``limits`` is told which hold from when."""
        self._tell, self._limits = tell, limits
        step = coordinator.begin(self._times, self.record.history, self._clock.now(), alive)
        self._carry_out(step)
        self._thread = spawn("fleet-policy", self._run, self._log)

    # Told by others, from any thread

    def received(self, owner: Owner, said: Vote | Acting | Fit | None, here: bool) -> None:
        """An owner has joined (or, not ``here``, left), votes, says what it acts under, or what would fit."""
        if isinstance(said, Acting):
            self._acting[owner] = (said.version, self._clock.now())
        elif isinstance(said, Fit):
            asked = self._asked.get(said.id)
            if asked is not None and owner in asked:
                asked[owner] = said.fault
        elif said is not None:
            vote = said
            self._inbox.put(lambda now: coordinator.voted(self._now_state, now, owner, vote))
        elif here:
            self._inbox.put(lambda now: self._joined(now, owner))
        else:
            self._inbox.put(lambda now: (coordinator.left(self._now_state, owner), []))

    def died(self, owner: Owner) -> None:
        """An owner's process is certainly over."""
        self._inbox.put(lambda now: self._died(now, owner))

    def propose(self, policy: Policy) -> Proposal:
        """Ask for a policy to take hold; what becomes of it is told by ``outcome``."""
        proposal = Proposal(policy)
        self._inbox.put(lambda now: self._propose(now, proposal))
        return proposal

    def would_fit(self, policy: Policy, owners: Iterable[Owner]) -> dict[Owner, str | None]:
        """Whether instances could use a policy; changes nothing. Their faults; ``None``: no answer."""
        id = next(self._ids)
        told: dict[Owner, str | None] = dict.fromkeys(owners)
        self._asked[id] = told
        for owner in list(told):
            self._tell(owner, Question(id, policy.settings_text))
        end = self._clock.now() + self._times.vote_ms
        while None in list(told.values()) and self._clock.now() < end:
            self._clock.sleep(LOOK_MS / 2.0)
        del self._asked[id]
        return told

    # What is known

    @property
    def _now_state(self) -> Coordinator:
        assert self._state is not None
        return self._state

    @property
    def in_force(self) -> int:
        """The policy that holds now."""
        history = self._now_state.history
        return history.in_force if self._now_state.settled(self._clock.now()) else history.before

    def policy(self, number: int) -> Policy:
        """A policy by its number."""
        return self.record.policy(number)

    def outcome(self, number: int) -> tuple[str, str]:
        """One answer for ever: in force, refused (with the fault), or pending (with what it waits for)."""
        match self.record.ends.get(number):
            case Refused(_, by, fault):
                return "refused", f"{by}: {fault}" if by else fault
            case Decided(_, since) if since > (now := self._clock.now()):
                names = ", ".join(name for name, _ in self.waits) or "its moment"
                return "decided", f"{names}, {(since - now) / 1000:.1f} s"
            case Decided():
                return "in force", ""
        return "pending", ", ".join(name for name, _ in self.waits)

    @property
    def pending(self) -> int:
        """The change that is under way; 0: none."""
        state = self._now_state
        if state.pending is not None:
            return state.pending.number
        return 0 if state.settled(self._clock.now()) else state.history.in_force

    @property
    def waits(self) -> list[Owner]:
        """Whose votes, or the ends of whose grants, are waited for."""
        state = self._now_state
        if state.pending is not None:
            return sorted(state.pending.waits)
        if state.settled(self._clock.now()):
            return []
        return sorted(state.silent)

    def acts_under(self, owner: Owner) -> int:
        """What an owner said lately that it acts under; 0: it holds, or nothing is heard of it."""
        version, at = self._acting.get(owner, (0, -inf))
        return version if self._clock.now() < at + HEARD_MS else 0

    def close(self) -> None:
        """Decide nothing more; what is being written is finished first."""
        if self._over.is_set():
            return
        self._over.set()
        self._thread.join()
        self.record.close()

    # The one thread

    def _run(self) -> None:
        while not self._over.is_set():
            try:
                event = self._inbox.get(timeout=LOOK_MS / 1000.0)
            except Empty:
                event = self._tick
            try:
                self._carry_out(event(self._clock.now()))
                self._carry_out(self._tick(self._clock.now()))
            except Damaged as exc:
                # Guards what was told: nobody knows what is on record, so nobody is told anything any more.
                self._log.error("policy record lost; nothing more is granted", error=str(exc))
                return

    def _tick(self, now: float) -> Step:
        return coordinator.tick(self._now_state, now)

    def _joined(self, now: float, owner: Owner) -> Step:
        self._told[owner] = set()
        return coordinator.joined(self._now_state, now, owner)

    def _died(self, now: float, owner: Owner) -> Step:
        self._told.pop(owner, None)
        self._acting.pop(owner, None)
        return coordinator.died(self._now_state, now, owner)

    def _propose(self, now: float, proposal: Proposal) -> Step:
        state = self._now_state
        past = [self.record.policy(number) for number in self.record.decided]
        try:
            check(proposal.policy, past)
            step = coordinator.propose(state, now, proposal.policy.digest, lead_ms(past[-1], proposal.policy))
            proposal.number = step[0].history.last
            self.record.keep(proposal.number, proposal.policy)
        except (PolicyFault, ValueError, OSError) as exc:
            proposal.number, proposal.fault = 0, str(exc)
            step = (state, [])
        proposal.taken.set()
        return step

    def _carry_out(self, step: Step) -> None:
        before, (after, effects) = self._state, step
        for effect in effects:
            if isinstance(effect, Write):
                try:
                    self.record.append(effect.entry)
                except OSError as exc:
                    self._not_written(before, effect, str(exc))
                    return
                if isinstance(effect.entry, Decided):
                    policy = self.record.policy(effect.entry.number)
                    self._limits(policy.limits, effect.entry.since, policy.default_mode)
                self._log.info("policy record", entry=repr(effect.entry))
                continue
            message = effect.message
            number = message.number if isinstance(message, Prepare) else message.version
            told = self._told.setdefault(effect.owner, set())
            if number not in told:
                told.add(number)
                self._tell(effect.owner, Document(number, self.record.policy(number).settings_text))
            self._tell(effect.owner, message)
        self._state = after

    def _not_written(self, before: Coordinator | None, effect: Write, fault: str) -> None:
        """Guards what was told: the entry is not there, so a proposal that it belongs to is refused."""
        self._log.error("not on record", entry=repr(effect.entry), error=fault)
        if before is None:
            raise Damaged(f"the daemon's start is not on record: {fault}")
        number = getattr(effect.entry, "number", 0)
        self.record.refused(number, f"not on record: {fault}")
        history = self.record.history
        self._state = coordinator.Coordinator(
            before.times, history, before.count + 1, None, before.ends, before.connected
        )


def _nobody(owner: Owner, message: Message) -> None:
    """Nothing is told before ``begin``."""


def _no_limits(limits: Mapping[str, Limit], since: float, default_mode: LimitMode) -> None:
    """Nothing is told before ``begin``."""
