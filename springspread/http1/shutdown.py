"""Graceful shutdown of a client's connection, as one transition table, without socket or clock.

Closing a socket that holds unread bytes resets the connection and discards an answer that the peer has not
read yet. So after the last answer our side is shut down, and input is read and dropped until the peer closes
its side, too, or a bound of time and bytes is reached. There is no other way to close.

    state        read     handled         written          left when
    open         yes      yes             yes              either side ends, or it breaks
    half-closed  no more  complete ones   yes              the last answer is written
    draining     no       no              the last answer  that is written
    lingering    dropped  never           no               the peer ends, or the bound is reached
    closed       no       no              no               (never)

Half-closed: the peer has closed its sending side. Draining: what is written now is the last.

A request that arrives after our side is shut down is dropped; its client sees the end of the connection
without an answer and retries on a new one.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """State of a connection on the way to its close."""

    OPEN = "open"
    HALF_CLOSED = "half-closed"
    DRAINING = "draining"
    LINGERING = "lingering"
    CLOSED = "closed"

    @property
    def accepts_requests(self) -> bool:
        """Whether a request that is read now may be handled."""
        return self is State.OPEN

    @property
    def writable(self) -> bool:
        """Whether anything may be written."""
        return self in (State.OPEN, State.HALF_CLOSED, State.DRAINING)


class Event(Enum):
    """What happens to a connection."""

    PEER_CLOSED = "peer closed"  # the end of the peer's input was read
    LAST_ANSWER = "last answer"  # what is queued for writing, perhaps nothing, is the last
    FLUSHED = "flushed"  # all of that was written to the socket
    LIMIT_REACHED = "limit reached"  # of time, bytes or connections
    BROKEN = "broken"  # the socket reported an error


TRANSITIONS: dict[tuple[State, Event], State] = {
    (State.OPEN, Event.PEER_CLOSED): State.HALF_CLOSED,
    (State.OPEN, Event.LAST_ANSWER): State.DRAINING,
    (State.HALF_CLOSED, Event.LAST_ANSWER): State.HALF_CLOSED,
    (State.HALF_CLOSED, Event.FLUSHED): State.CLOSED,
    (State.HALF_CLOSED, Event.LIMIT_REACHED): State.CLOSED,
    (State.DRAINING, Event.PEER_CLOSED): State.HALF_CLOSED,
    (State.DRAINING, Event.LAST_ANSWER): State.DRAINING,
    (State.DRAINING, Event.FLUSHED): State.LINGERING,
    (State.DRAINING, Event.LIMIT_REACHED): State.CLOSED,
    (State.LINGERING, Event.PEER_CLOSED): State.CLOSED,
    (State.LINGERING, Event.LIMIT_REACHED): State.CLOSED,
}
"""The next state by state and event; ``BROKEN`` closes from any state but ``CLOSED``."""


class InvalidTransition(Exception):
    """An event that the table does not allow in this state: a bug of the driver, never of the peer."""


class Shutdown:
    """The state of one connection. ``last``: the event that led to it."""

    __slots__ = ("last", "state")

    def __init__(self) -> None:
        self.state = State.OPEN
        self.last: Event | None = None

    def step(self, event: Event) -> State:
        """Apply an event; returns the new state."""
        after = TRANSITIONS.get((self.state, event))
        if event is Event.BROKEN and self.state is not State.CLOSED:
            after = State.CLOSED
        if after is None:
            raise InvalidTransition(f"no {event.value} while {self.state.value}")
        self.state, self.last = after, event
        return after
