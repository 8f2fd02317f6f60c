"""The instance's side of a policy change: which policy it follows, and which messages it writes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from springspread.config import Config, ConfigError
from springspread.core.types import NewPolicy
from springspread.fleet.policy_participant import MAX_TEXTS, REPORT_INTERVAL_MS, PolicyParticipant
from springspread.fleet.sender_session import IDLE_MS
from springspread.fleet.wire import Document, Fit, Question
from springspread.rollout.protocol import Acting, Grant, Prepare, Vote

CONFIG = cast(Config, object())


class Recorder:
    """A participant with a manual clock, recorded log events and recorded policies."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events: list[str] = []
        self.delivered: list[NewPolicy] = []
        log: Any = SimpleNamespace(info=self.note, error=self.note)
        clock: Any = SimpleNamespace(now=lambda: self.time)
        self.participant = PolicyParticipant(1, log, clock)
        self.participant.follow(self.build, self.delivered.append)

    def note(self, event: str, **values: object) -> None:
        self.events.append(event)

    def build(self, text: str) -> Config:
        if text == "faulty":
            raise ConfigError("settings.x: faulty")
        return CONFIG

    def grant(self, count: int, version: int, since: float, until: float) -> None:
        self.participant.received(Grant((1, count), version, since, until))


@pytest.fixture
def recorder() -> Recorder:
    return Recorder()


def test_policy_is_followed_from_its_start_and_delivered_once(recorder: Recorder) -> None:
    participant = recorder.participant
    recorder.grant(1, 1, 0.0, 100.0)
    participant.received(Document(2, "two"))
    recorder.grant(2, 2, 100.0, 500.0)
    assert 90.0 < participant.advance(10.0) < 91.0 and participant.version == 1
    assert participant.advance(100.0) == IDLE_MS and participant.version == 2
    participant.advance(110.0)
    assert recorder.delivered == [NewPolicy(2, CONFIG)] and recorder.events == []
    recorder.time = 100.0
    assert participant.may_begin(2) and not participant.may_begin(1)


def test_holding_is_reported_at_once_and_the_policy_at_an_interval(recorder: Recorder) -> None:
    participant = recorder.participant
    recorder.grant(1, 1, 0.0, 2_000.0)
    participant.advance(0.0)
    assert participant.messages_due(0.0) == [Acting(1)]
    assert participant.messages_due(REPORT_INTERVAL_MS - 1.0) == []
    assert participant.messages_due(REPORT_INTERVAL_MS) == [Acting(1)]
    participant.advance(2_000.0)
    assert participant.messages_due(2_000.0) == [Acting(0)]
    recorder.time = 2_001.0
    recorder.grant(2, 1, 0.0, 3_000.0)
    participant.advance(2_001.0)
    assert participant.messages_due(2_001.0) == [Acting(1)] and recorder.events == ["holding", "acting"]


def test_unusable_policy_is_refused_and_logged_once(recorder: Recorder) -> None:
    participant = recorder.participant
    participant.received(Document(2, "faulty"))
    participant.received(Prepare((1, 1), 2, 50.0))
    participant.received(Prepare((1, 2), 3, 50.0))
    participant.received(Question(7, "faulty"))
    faulty = "settings.x: faulty"
    assert participant.messages_due(0.0)[:3] == [
        Vote(2, False, faulty),
        Vote(3, False, "its text did not arrive"),
        Fit(7, faulty),
    ]
    recorder.grant(3, 2, 0.0, 500.0)
    participant.advance(1.0)
    participant.advance(2.0)
    assert recorder.events.count("policy can't be used here") == 1
    assert participant.version == 1 and recorder.delivered == []


def test_new_connection_drops_replies_and_reports_the_policy(recorder: Recorder) -> None:
    participant = recorder.participant
    participant.messages_due(0.0)
    participant.received(Question(7, "two"))
    participant.connected()
    assert participant.messages_due(1.0) == [Acting(1)]


def test_only_the_latest_texts_are_stored(recorder: Recorder) -> None:
    participant = recorder.participant
    for number in range(2, 3 + MAX_TEXTS):
        participant.received(Document(number, "text"))
    for number in (2, 3):
        participant.received(Prepare((1, number), number, 50.0))
    votes = [message for message in participant.messages_due(0.0) if isinstance(message, Vote)]
    assert [vote.yes for vote in votes] == [False, True]
