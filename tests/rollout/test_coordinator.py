"""The coordinator without processes, with many participants."""

from springspread.rollout import coordinator
from springspread.rollout.coordinator import History, Timings
from springspread.rollout.protocol import Decided, Grant, Proposed, Refused, Send, Vote, Write

HELD_UP_MS = 150.0  # allowed by the protocol between reading the clock and writing
OWNERS = [(f"n{n:03}", 1) for n in range(50)]


def test_one_no_of_fifty_votes_refuses_the_policy() -> None:
    history = History().with_entry(Proposed(1, "a")).with_entry(Decided(1, 0.0))
    state, _ = coordinator.begin(Timings(), history, 10.0, [])
    for owner in OWNERS:
        state, _ = coordinator.joined(state, 10.0, owner)
    state, _ = coordinator.propose(state, 20.0, "b")
    for owner in OWNERS[:-1]:
        state, effects = coordinator.voted(state, 30.0, owner, Vote(2, True))
        assert effects == []
    state, effects = coordinator.voted(state, 30.0, OWNERS[-1], Vote(2, False, "why"))
    assert effects[0] == Write(Refused(2, "n049", "why"))
    granted = {one.owner: one.message for one in effects if isinstance(one, Send)}
    assert set(granted) == set(OWNERS)
    assert all(isinstance(grant, Grant) and grant.version == 1 for grant in granted.values())
    assert state.pending is None and state.history.in_force == 1
    state, effects = coordinator.propose(state, 40.0, "c")  # numbers are not reused
    assert effects[0] == Write(Proposed(3, "c"))


def test_no_call_of_the_old_policy_is_sent_under_the_new_one_where_its_sender_is_held_up() -> None:
    """A sender may be held up between its last check of a grant and the call's first byte."""
    history = History().with_entry(Proposed(1, "a")).with_entry(Decided(1, 0.0))
    state, _ = coordinator.begin(Timings(), history, 10.0, [])
    state, _ = coordinator.joined(state, 10.0, OWNERS[0])
    state, _ = coordinator.propose(state, 20.0, "b")
    state, effects = coordinator.voted(state, 30.0, OWNERS[0], Vote(2, True))
    grants = [one.message for one in effects if isinstance(one, Send) and isinstance(one.message, Grant)]
    old_ends = max(grant.until for grant in grants if grant.version == 1)
    new_begins = min(grant.since for grant in grants if grant.version == 2)
    assert old_ends + HELD_UP_MS <= new_begins
