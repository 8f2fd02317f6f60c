"""What fronts and drivers exchange with the core. Times are monotonic milliseconds unless named wall."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from springspread.core.clock import SYSTEM
from springspread.core.watch import NEVER_OUTDATED, OutdatedPeriod

if TYPE_CHECKING:
    from springspread.config import Config


def clock() -> float:
    """Milliseconds on the process's own clock, which never steps; for drivers, which live in real time."""
    return SYSTEM.now()


class Verdict(Enum):
    """What a client is told as it hands a message in."""

    ACCEPTED = "accepted"
    DELIVERED = "delivered"
    REFUSED = "refused"
    UNKNOWN_CLASS = "unknown class"
    UNKNOWN_GROUP = "unknown destination"
    CONFLICT = "conflict"


class Result(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def is_failure(self) -> bool:
        """Whether it tells of trouble at the endpoint."""
        return self in (Result.ERROR, Result.REJECTED, Result.TIMED_OUT, Result.NOT_CONNECTED, Result.BROKEN)

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the message was not applied."""
        return self in (Result.REJECTED, Result.NOT_CONNECTED, Result.NOT_SENT)


class EndpointState(Enum):
    """What discovery says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Scope(Enum):
    """How news of the list relates to what is held."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


def _nobody(message: Message) -> None:
    """Nobody waits on one that no front handed in."""


@dataclass(slots=True, eq=False)
class Message:
    """A message that a client hands in. ``on_verdict`` is called once, by the core's thread, at the verdict.

    Where two events cross: the core's verdict and the front's patience. Whichever settles it first holds,
    and the other is told so: nobody hears that he is refused whose message is taken on.
    """

    id: str
    cls: str
    group: int
    deadline: float
    body: bytes
    again: bool = False
    orphan: bool = False
    number: int = 0  # of the message that it speaks for, once that is taken on
    verdict: Verdict | None = None
    on_verdict: Callable[[Message], None] = _nobody
    _settling: threading.Lock = field(default_factory=threading.Lock, repr=False)
    _withdrawn: bool = False

    def answer(self, verdict: Verdict) -> bool:
        """Tell the front; false where it has stopped waiting, so that nothing may be taken on."""
        with self._settling:
            if self._withdrawn:
                return False
            self.verdict = verdict
        self.on_verdict(self)
        return True

    def withdraw(self) -> bool:
        """The front waits no longer; false where the verdict is there by now."""
        with self._settling:
            self._withdrawn = self.verdict is None
            return self._withdrawn


@dataclass(frozen=True, slots=True)
class Member:
    """One line of discovery's list, as it was read."""

    name: str
    host: str
    port: int
    group: int
    zone: int
    kind: int
    state: EndpointState
    rating: float
    since_wall: float


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """News of discovery's list; with scope FAILED a watch failed and there are no members."""

    scope: Scope
    version: int = 0
    members: tuple[Member, ...] = ()
    notified_at: float = 0.0  # when its bytes were there
    date: str = ""  # the world's time as the answer told it, at ``notified_at``
    ask_by: float = float("inf")  # after a failure: when to ask again at the latest
    outdated_period: OutdatedPeriod = (
        NEVER_OUTDATED  # after a failure: when no call may begin by the list that is held
    )


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint that calls can go to."""

    number: int
    name: str
    host: str
    port: int
    group: int
    separate_routes: bool
    per_call: int
    state: EndpointState = EndpointState.READY
    leaving_at: float = float("inf")  # when this sender was told that it drains or is gone

    @property
    def bar_key(self) -> tuple[int, int]:
        """What a told wait binds: the endpoint where routes are apart, else its whole destination."""
        return (self.group, self.number if self.separate_routes else -1)

    @property
    def bar_name(self) -> str:
        """The same, as other processes know it."""
        return f"{self.group}/{self.name if self.separate_routes else ''}"


@dataclass(frozen=True, slots=True)
class Load:
    """What an answer told of the endpoint's limit."""

    left_share: float | None = None
    limit_per_s: float | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one message."""

    number: int
    nth: int  # among its message's
    id: str
    body: bytes
    until: float
    may_repeat: bool
    done: bool = False
    cls: str = ""  # its message's class


@dataclass(slots=True, eq=False)
class Call:
    """Attempts that travel together, on one slot. Without any it is a probe."""

    endpoint: Endpoint
    attempts: Sequence[Attempt]
    sent_at: float
    cancelled: threading.Event = field(default_factory=threading.Event)
    policy: int = 0  # that it was decided under

    @property
    def once(self) -> bool:
        """Whether some of it may run only once."""
        return not all(attempt.may_repeat for attempt in self.attempts)

    @property
    def until(self) -> float:
        """When it is given up: whole, by closing its connection."""
        return min(attempt.until for attempt in self.attempts)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """An attempt's end. ``over``: the endpoint says that nothing more is owed for the message."""

    call: Call
    attempt: Attempt
    result: Result
    at: float
    wait_ms: float = 0.0
    load: Load = Load()
    over: bool = False


@dataclass(frozen=True, slots=True)
class ProbeEnd:
    """A probe's end."""

    endpoint: Endpoint
    result: Result
    took_ms: float
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client went away before it heard the verdict on its message."""

    message: Message


@dataclass(frozen=True, slots=True)
class NoticesDelivered:
    """The platform took the notices of these messages."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class NewPolicy:
    """From now on the fleet acts under another policy: its number, and the configuration that it makes."""

    number: int
    config: Config


@dataclass(frozen=True, slots=True)
class Stop:
    """The process is asked to end."""


@dataclass(frozen=True, slots=True)
class Notice:
    """The end of a message that was taken on and not delivered."""

    number: int
    id: str
    deferred: bool
    again_ms: float = 0.0


CoreEvent = Message | ListUpdate | AttemptEnd | ProbeEnd | ClientLeft | NoticesDelivered | NewPolicy | Stop


class Executor(Protocol):
    """Carries out calls on other threads and puts their ends on the core's queue."""

    def start(self, call: Call) -> None:
        """Begin a call, or a probe where it has no attempts."""

    def cancel(self, call: Call) -> None:
        """Close the call's connection."""

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the kept connections to an endpoint."""

    def grow(self, slots: int) -> None:
        """See to it that so many calls can be out at once."""


class Directory(Protocol):
    """Discovery, as the core sees it."""

    def watch(self, active: bool) -> None:
        """Begin or end the watch; a running one goes on."""

    def fetch(self) -> None:
        """Ask once for the whole list."""


class NoticeSink(Protocol):
    """Where final answers go."""

    def deliver(self, notice: Notice) -> None:
        """Tell it until the platform has taken it."""


class Shares(Protocol):
    """What a fleet's instance may use of its partners' limits."""

    def wait_for_policy(self, policy: int) -> bool:
        """Whether a call that was decided under a policy may begin; may wait for it, a bounded time."""

    def may_begin(self, policy: int) -> bool:
        """Whether it may begin at this very moment."""

    def acquire(self, endpoint: Endpoint) -> float:
        """Until when (ms) the right to begin one call to an endpoint is good; 0 where there is none.

        May wait for it, a bounded time.
        """

    def load(self, endpoint: Endpoint, load: Load) -> Load:
        """What the decision module is told of an endpoint's limit: the instance's part of it."""

    def listed(self, endpoints: Sequence[Endpoint]) -> None:
        """Endpoints are on the list: calls to them may follow."""

    def failed(self, endpoint: Endpoint) -> None:
        """An attempt at an endpoint failed or was rejected: its destination may be down or full."""

    def served(self, endpoint: Endpoint) -> None:
        """An attempt at an endpoint succeeded: its destination may be back."""


class Log(Protocol):
    """The part of a structlog logger that the program uses."""

    def debug(self, event: str, **values: object) -> object:
        """A step on a message's way, for who follows one."""

    def info(self, event: str, **values: object) -> object:
        """Something worth a line."""

    def warning(self, event: str, **values: object) -> object:
        """Something from outside went wrong."""

    def error(self, event: str, **values: object) -> object:
        """Something in here went wrong."""
