"""The daemon's driver of policy changes: one thread owns the coordinator's state and record.

Theory of operation. Other threads queue events (connections, votes, proposals). The coordinator's thread
handles each: it steps the coordinator and carries out the effects in order. An entry that can't be written to
the record cancels the effects after it, so no message is sent that relies on an entry that is not on disk.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import count
from math import inf
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import NamedTuple

from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Log
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.wire import Document, Fit, Message, Question
from springspread.net.threads import spawn
from springspread.rollout import coordinator
from springspread.rollout.coordinator import Coordinator, Step, Timings
from springspread.rollout.document import Policy, PolicyError, lead_ms, validate_policy
from springspread.rollout.policy_record import DamagedRecord, PolicyRecord
from springspread.rollout.protocol import (
    Acting,
    Decided,
    Entry,
    Owner,
    Prepare,
    Proposed,
    Refused,
    Send,
    Vote,
)

TICK_MS = 20.0  # the interval of the coordinator's ticks
REPORT_VALID_MS = 2_500.0  # how long an instance's report of its policy is valid
LimitsReceiver = Callable[[Mapping[str, Limit], float, LimitMode], None]
"""Called with a policy's limits, the time (ms) from which they apply, and its default mode."""
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(slots=True)
class Proposal:
    """A proposal, and the coordinator's answer.

    ``answered`` is set once there is a ``number`` or, where it can't be voted on, a ``fault``.
    """

    policy: Policy
    number: int = 0
    fault: str = ""
    answered: threading.Event = field(default_factory=threading.Event)


class Outcome(NamedTuple):
    """``state``: "in force", "decided", "pending" or "refused"; ``detail``: the reason or what is awaited."""

    state: str
    detail: str = ""


class PolicyChanges:
    """The policies of a fleet, and changes of them, until ``close``.

    Raises ``DamagedRecord`` or ``OSError`` where the record can't be used.
    """

    def __init__(
        self, folder: Path, first: Policy, log: Log, clock: Clock = SYSTEM, timings: Timings | None = None
    ) -> None:
        """``first`` is in force at once where the record is empty; raises ``PolicyError``."""
        self._log, self._clock, self._timings = log, clock, timings or Timings()
        self.record = PolicyRecord(folder, BOOT_ID.read_text().strip())
        if not self.record.history.in_force:
            self._record_first(first)
        self._inbox: SimpleQueue[Callable[[float], Step]] = SimpleQueue()
        self._state: Coordinator | None = None
        self._answers: dict[int, dict[Owner, str | None]] = {}  # by question, then owner
        self._question_ids = count(1)
        self._texts_sent: dict[Owner, set[int]] = {}  # numbers of the policies sent on an owner's connection
        self._reported: dict[Owner, tuple[int, float]] = {}  # the version, and when it was received
        self._send: Callable[[Owner, Message], None] = _discard_message
        self._apply_limits: LimitsReceiver = _ignore_limits
        self._closed = threading.Event()

    def _record_first(self, first: Policy) -> None:
        validate_policy(first, None)
        number = self.record.history.last_number + 1  # an earlier first start may have proposed
        self.record.store(number, first)
        self.record.append(Proposed(number, first.digest))
        self.record.append(Decided(number, self._clock.now()))

    def begin(
        self,
        alive: Iterable[Owner],
        send: Callable[[Owner, Message], None],
        apply_limits: LimitsReceiver,
    ) -> None:
        """Start the coordinator.

        ``alive``: the owners whose processes may run; ``send`` sends a message to an owner; ``apply_limits``
        is called with the limits of each decided policy. Raises ``DamagedRecord``.
        """
        self._send, self._apply_limits = send, apply_limits
        self._carry_out(coordinator.begin(self._timings, self.record.history, self._clock.now(), alive))
        self._thread = spawn("fleet-policy", self._run, self._log)

    # Called from any thread

    def received(self, owner: Owner, message: Vote | Acting | Fit | None, connected: bool) -> None:
        """Handle an owner's message; ``None``: its connection has begun or, not ``connected``, ended."""
        match message:
            case Acting(version):
                self._reported[owner] = (version, self._clock.now())
            case Fit(id, fault):
                answers = self._answers.get(id)
                if answers is not None and owner in answers:
                    answers[owner] = fault
            case Vote() as vote:
                self._inbox.put(lambda now: coordinator.voted(self._current, now, owner, vote))
            case None if connected:
                self._inbox.put(lambda now: self._joined(now, owner))
            case None:
                self._inbox.put(lambda now: (coordinator.left(self._current, owner), []))

    def died(self, owner: Owner) -> None:
        """Handle the certain end of an owner's process."""
        self._inbox.put(lambda now: self._died(now, owner))

    def propose(self, policy: Policy) -> Proposal:
        """Put a policy to the vote; ``outcome`` gives the result once the proposal has its number."""
        proposal = Proposal(policy)
        self._inbox.put(lambda now: self._propose(now, proposal))
        return proposal

    def query_compatibility(self, policy: Policy, owners: Iterable[Owner]) -> dict[Owner, str | None]:
        """Ask instances whether they could use a policy; changes nothing.

        Returns each one's fault: empty for none, ``None`` where it did not answer in time.
        """
        id = next(self._question_ids)
        answers: dict[Owner, str | None] = dict.fromkeys(owners)
        self._answers[id] = answers
        for owner in list(answers):
            self._send(owner, Question(id, policy.settings_text))
        end = self._clock.now() + self._timings.vote_ms
        while None in list(answers.values()) and self._clock.now() < end:
            self._clock.sleep(TICK_MS / 2.0)
        del self._answers[id]
        return answers

    # Queries, from any thread

    @property
    def _current(self) -> Coordinator:
        assert self._state is not None
        return self._state

    @property
    def in_force(self) -> int:
        """The number of the policy in force now."""
        history = self._current.history
        return history.in_force if self._current.settled(self._clock.now()) else history.previous

    def policy(self, number: int) -> Policy:
        """A policy by its number; raises ``DamagedRecord``."""
        return self.record.policy(number)

    def outcome(self, number: int) -> Outcome:
        """The outcome of a proposal; "in force" and "refused" are final, also for a policy since replaced."""
        match self.record.outcomes.get(number):
            case Refused(_, by, fault):
                return Outcome("refused", f"{by}: {fault}" if by else fault)
            case Decided(_, since) if since > (now := self._clock.now()):
                names = ", ".join(name for name, _ in self.awaited) or "its start time"
                return Outcome("decided", f"{names}, {(since - now) / 1000:.1f} s")
            case Decided():
                return Outcome("in force")
        return Outcome("pending", ", ".join(name for name, _ in self.awaited))

    @property
    def pending(self) -> int:
        """The number of the policy that is voted on, or decided but not yet in force; 0: none."""
        state = self._current
        if state.pending is not None:
            return state.pending.number
        return 0 if state.settled(self._clock.now()) else state.history.in_force

    @property
    def awaited(self) -> list[Owner]:
        """The owners whose votes or ends of grants are awaited."""
        state = self._current
        if state.pending is not None:
            return sorted(state.pending.awaited)
        if state.settled(self._clock.now()):
            return []
        return sorted(state.awaited)

    def reported_version(self, owner: Owner) -> int:
        """The policy that an owner reported to act under; 0: it begins no calls, or no recent report."""
        version, received_at = self._reported.get(owner, (0, -inf))
        return version if self._clock.now() < received_at + REPORT_VALID_MS else 0

    def close(self) -> None:
        """Stop the thread after its current step, and close the record."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._thread.join()
        self.record.close()

    # The coordinator's thread

    def _run(self) -> None:
        while not self._closed.is_set():
            try:
                event = self._inbox.get(timeout=TICK_MS / 1000.0)
            except Empty:
                event = self._tick
            try:
                self._carry_out(event(self._clock.now()))
                self._carry_out(self._tick(self._clock.now()))
            except DamagedRecord as exc:
                # The record's content is unknown, so no message may rely on it any more.
                self._log.error("policy record unusable; no more grants", error=str(exc))
                return

    def _tick(self, now: float) -> Step:
        return coordinator.tick(self._current, now)

    def _joined(self, now: float, owner: Owner) -> Step:
        self._texts_sent[owner] = set()
        return coordinator.joined(self._current, now, owner)

    def _died(self, now: float, owner: Owner) -> Step:
        self._texts_sent.pop(owner, None)
        self._reported.pop(owner, None)
        return coordinator.died(self._current, now, owner)

    def _propose(self, now: float, proposal: Proposal) -> Step:
        state = self._current
        baseline = self.record.baseline
        assert baseline is not None  # the first policy is on record since ``__init__``
        try:
            validate_policy(proposal.policy, baseline)
            lead = lead_ms(baseline.latest, proposal.policy)
            step = coordinator.propose(state, now, proposal.policy.digest, lead)
            proposal.number = step[0].history.last_number
            self.record.store(proposal.number, proposal.policy)
        except (PolicyError, ValueError, OSError) as exc:
            proposal.number, proposal.fault = 0, str(exc)
            step = (state, [])
        proposal.answered.set()
        return step

    def _carry_out(self, step: Step) -> None:
        before, (after, effects) = self._state, step
        for effect in effects:
            if isinstance(effect, Send):
                self._send_with_text(effect)
                continue
            try:
                self.record.append(effect.entry)
            except OSError as exc:
                self._refuse_unrecorded(before, effect.entry, str(exc))
                return
            self._after_record(effect.entry)
        self._state = after

    def _after_record(self, entry: Entry) -> None:
        if isinstance(entry, Decided):
            policy = self.record.policy(entry.number)
            self._apply_limits(policy.limits, entry.since, policy.default_mode)
        self._log.info("policy entry recorded", entry=repr(entry))

    def _send_with_text(self, effect: Send) -> None:
        """Send a message, preceded by its policy's text where this connection has not received it."""
        message = effect.message
        number = message.number if isinstance(message, Prepare) else message.version
        sent = self._texts_sent.setdefault(effect.owner, set())
        if number not in sent:
            sent.add(number)
            self._send(effect.owner, Document(number, self.record.policy(number).settings_text))
        self._send(effect.owner, message)

    def _refuse_unrecorded(self, before: Coordinator | None, entry: Entry, fault: str) -> None:
        """Refuse the proposal that an unwritten entry belongs to."""
        self._log.error("policy entry not recorded", entry=repr(entry), error=fault)
        if before is None:
            raise DamagedRecord(f"the daemon's start could not be recorded: {fault}")
        number = getattr(entry, "number", 0)
        self.record.add_refusal(number, f"could not be recorded: {fault}")
        self._state = Coordinator(
            before.timings, self.record.history, before.count + 1, None, before.grant_ends, before.connected
        )


def _discard_message(owner: Owner, message: Message) -> None:
    """Used before ``begin``, when there are no connections."""


def _ignore_limits(limits: Mapping[str, Limit], since: float, default_mode: LimitMode) -> None:
    """Used before ``begin``."""
