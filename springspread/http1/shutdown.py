"""How a client's connection ends: the one table, without socket or clock. There is no other way to close.

Theory of operation. A close over bytes that nobody has read resets the connection, and takes with it an
answer that the other side has not read yet. So nothing is closed that may still be spoken on: the last
answer is written, our side is ended, and what still comes is read and dropped until the other side has
ended, too, or a bound of time and bytes is spent.

    state        read     used and sent on    written          left when
    open         yes      yes                 yes              either side ends, or it breaks
    half-closed  no more  what came whole     yes              the last answer is written
    draining     no       no                  the last answer  that is written
    lingering    dropped  never               no               the other side ends, or the bound is spent
    closed       no       no                  no               (never)

Half-closed: the other side has ended its sending. Draining: what is written now is the last.

Where two events cross: a request that arrives as our side ends finds the connection lingering, whichever of
the two the system took in first: what was read before the end is answered, what is read after it is dropped,
and its client, which hears an end and no answer, hands it in on a new connection.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """Where a connection stands on the way to its end."""

    OPEN = "open"
    HALF_CLOSED = "half-closed"
    DRAINING = "draining"
    LINGERING = "lingering"
    CLOSED = "closed"

    @property
    def hears(self) -> bool:
        """Whether a request that is read now may be sent on."""
        return self is State.OPEN

    @property
    def speaks(self) -> bool:
        """Whether anything may be written."""
        return self in (State.OPEN, State.HALF_CLOSED, State.DRAINING)


class Event(Enum):
    """What happens to it."""

    PEER_ENDED = "peer ended"  # the other side's last byte was read
    LAST = "last"  # what is written from here on is the last that we have to say, perhaps nothing
    WRITTEN = "written"  # all of that is with the system
    SPENT = "spent"  # the bound of time, bytes or room is reached
    BROKE = "broke"  # the system says that it is gone


TABLE: dict[tuple[State, Event], State] = {
    (State.OPEN, Event.PEER_ENDED): State.HALF_CLOSED,
    (State.OPEN, Event.LAST): State.DRAINING,
    (State.HALF_CLOSED, Event.LAST): State.HALF_CLOSED,
    (State.HALF_CLOSED, Event.WRITTEN): State.CLOSED,
    (State.HALF_CLOSED, Event.SPENT): State.CLOSED,
    (State.DRAINING, Event.PEER_ENDED): State.HALF_CLOSED,
    (State.DRAINING, Event.LAST): State.DRAINING,
    (State.DRAINING, Event.WRITTEN): State.LINGERING,
    (State.DRAINING, Event.SPENT): State.CLOSED,
    (State.LINGERING, Event.PEER_ENDED): State.CLOSED,
    (State.LINGERING, Event.SPENT): State.CLOSED,
}
"""What follows on what; from any state but the last, one that breaks is closed."""


class Misuse(Exception):
    """An event that the table does not name: a fault of the driver, never of the other side."""


class Ending:
    """One connection's. ``last``: the event that brought it where it stands."""

    __slots__ = ("last", "state")

    def __init__(self) -> None:
        self.state = State.OPEN
        self.last: Event | None = None

    def step(self, event: Event) -> State:
        """Note what happened; where it stands now."""
        after = TABLE.get((self.state, event))
        if event is Event.BROKE and self.state is not State.CLOSED:
            after = State.CLOSED
        if after is None:
            raise Misuse(f"no {event.value} while {self.state.value}")
        self.state, self.last = after, event
        return after
