"""The participant of an instance in policy changes: follows the policy in force and votes on proposals.

``rollout.participant`` decides; this class keeps its state, the policies' texts, and the messages to write to
the daemon. It does no I/O. Three kinds of threads use it:

    thread                      calls
    reader of a connection      received
    session (one, the writer)   connected, messages_due, advance
    any                         may_begin, version

The reader replaces the immutable state in one assignment, so the others read it without a lock.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from springspread.config import Config, ConfigError
from springspread.core.clock import Clock
from springspread.core.types import Log, NewPolicy
from springspread.fleet.sender_session import IDLE_MS
from springspread.fleet.wire import Document, Fit, PolicyMessage, Question
from springspread.rollout import participant
from springspread.rollout.participant import Participant
from springspread.rollout.protocol import Acting, Grant, Prepare, Vote

REPORT_INTERVAL_MS = 1_000.0  # the policy is reported this often, and when it changes
MAX_TEXTS = 3  # the policies in force, decided and proposed
WAKE_MARGIN_MS = 0.2  # added to a wait, so that the time has passed on waking
NOT_REPORTED = -1
HOLDING = 0  # the version that is reported while no call may begin


class PolicyParticipant:
    """Follows the fleet's policy from ``version`` on, the number that this process was started with.

    ``version`` 0: the process has no policy, and every call may begin.
    """

    def __init__(self, version: int, log: Log, clock: Clock) -> None:
        self._log, self._clock = log, clock
        self.version = version
        self._state = Participant()
        self._texts: dict[int, str] = {}
        self._texts_lock = threading.Lock()  # the reader adds texts, the session drops them
        self._holding = False
        self._unusable = 0  # the latest version whose fault was logged
        self._replies: deque[Vote | Fit] = deque()
        self._reported = NOT_REPORTED
        self._reported_at = 0.0
        self._build_config: Callable[[str], Config] = _no_config
        self._deliver: Callable[[NewPolicy], None] = _discard_policy

    def follow(self, build_config: Callable[[str], Config], deliver: Callable[[NewPolicy], None]) -> None:
        """Set the callbacks for policies, before the first connection.

        ``build_config`` makes a configuration from a policy's text or raises ``ConfigError``; ``deliver`` is
        called with each policy that comes into force.
        """
        self._build_config, self._deliver = build_config, deliver

    def may_begin(self, version: int) -> bool:
        """Whether a call that was decided under a policy may begin now."""
        return version == 0 or self._state.may_begin(version, self._clock.now())

    # Called by the session's thread

    def connected(self) -> None:
        """Handle a new connection: replies to messages of the previous one are dropped."""
        self._replies.clear()
        self._reported = NOT_REPORTED
        self._reported_at = 0.0

    def messages_due(self, now: float) -> list[Vote | Fit | Acting]:
        """The messages to write now."""
        messages: list[Vote | Fit | Acting] = []
        while self._replies:
            messages.append(self._replies.popleft())
        acting = HOLDING if self._holding else self.version
        report_due = acting != self._reported or now >= self._reported_at + REPORT_INTERVAL_MS
        if self.version and report_due:
            self._reported, self._reported_at = acting, now
            messages.append(Acting(acting))
        return messages

    def advance(self, now: float) -> float:
        """Follow the policy in force at ``now``; returns the time until another may be (milliseconds)."""
        version = self._state.version(now)
        self._adopt(version)
        self._update_holding(version)
        since = self._state.next_since(now)
        return IDLE_MS if since is None else max(since - now, 0.0) + WAKE_MARGIN_MS

    def _adopt(self, version: int) -> None:
        text = self._text(version)
        if version <= self.version or text is None:
            return
        try:
            config = self._build_config(text)
        except ConfigError as exc:
            if version != self._unusable:
                self._log.error("policy can't be used here", version=version, fault=str(exc))
            self._unusable = version
            return
        self.version = version
        with self._texts_lock:
            self._texts = {number: kept for number, kept in self._texts.items() if number > version}
        self._deliver(NewPolicy(version, config))

    def _update_holding(self, version: int) -> None:
        """Log when calls stop and resume; ``version``: the policy in force, 0 for none."""
        holding = self.version > 0 and version != self.version
        if holding != self._holding:
            self._holding = holding
            self._log.info("holding" if holding else "acting", version=self.version)

    # Called by the reader's thread

    def received(self, message: PolicyMessage) -> None:
        """Handle a message of the daemon; ``messages_due`` returns the replies."""
        match message:
            case Document(number, text):
                self._store_text(number, text)
            case Grant():
                self._state = participant.granted(self._state, message, self._clock.now())
            case Question(id, text):
                self._replies.append(Fit(id, self._fault(text)))
            case Prepare():
                self._vote(message)

    def _vote(self, prepare: Prepare) -> None:
        text = self._text(prepare.number)
        fault = "its text did not arrive" if text is None else self._fault(text)
        self._state, vote = participant.prepared(self._state, prepare, fault)
        if vote is not None:
            self._replies.append(vote)

    def _fault(self, text: str) -> str:
        """Why a policy can't be used here; empty if it can."""
        try:
            self._build_config(text)
        except ConfigError as exc:
            return str(exc)
        return ""

    def _store_text(self, number: int, text: str) -> None:
        with self._texts_lock:
            self._texts = dict(sorted({**self._texts, number: text}.items())[-MAX_TEXTS:])

    def _text(self, number: int) -> str | None:
        with self._texts_lock:
            return self._texts.get(number)


def _no_config(text: str) -> Config:
    raise ConfigError("policy: this process does not follow policies yet")


def _discard_policy(event: NewPolicy) -> None:
    """Used before ``follow``."""
