"""Types that the core exchanges with its drivers. Times are monotonic milliseconds unless named wall."""

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
    """Monotonic milliseconds of the system clock; for drivers, which run in real time."""
    return SYSTEM.now()


class Verdict(Enum):
    """The answer to a client that hands a message in."""

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
        """Whether it indicates trouble at the endpoint."""
        return self in (Result.ERROR, Result.REJECTED, Result.TIMED_OUT, Result.NOT_CONNECTED, Result.BROKEN)

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the message was not processed."""
        return self in (Result.REJECTED, Result.NOT_CONNECTED, Result.NOT_SENT)


class EndpointState(Enum):
    """An endpoint's state on discovery's list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Scope(Enum):
    """How an update relates to the known list."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


def _ignore_verdict(message: Message) -> None:
    """For a message that was not handed in by a client."""


@dataclass(slots=True, eq=False)
class Message:
    """A message that a client hands in. ``on_verdict`` is called once, by the core's thread.

    The core's verdict may race with the client API's time-out. The first one wins and is final:
    no client is refused whose message has been accepted.
    """

    id: str
    cls: str
    group: int
    deadline: float
    body: bytes
    again: bool = False
    orphan: bool = False
    idempotency_key: str = ""  # the client's, by which endpoints know a repeat
    ordering_key: str = ""  # in a class that keeps order, messages of one key go one at a time
    number: int = 0  # of the accepted message that it belongs to; 0: none yet
    verdict: Verdict | None = None
    retry_after_ms: float = 0.0  # told with a refusal; 0: not told
    on_verdict: Callable[[Message], None] = _ignore_verdict
    _verdict_lock: threading.Lock = field(default_factory=threading.Lock, repr=False)
    _withdrawn: bool = False

    def answer(self, verdict: Verdict) -> bool:
        """Set the verdict; false where the client API has stopped waiting: it may not be accepted."""
        with self._verdict_lock:
            if self._withdrawn:
                return False
            self.verdict = verdict
        self.on_verdict(self)
        return True

    def withdraw(self) -> bool:
        """Stop waiting for the verdict; false if it is already set."""
        with self._verdict_lock:
            self._withdrawn = self.verdict is None
            return self._withdrawn


@dataclass(frozen=True, slots=True)
class Member:
    """One line of discovery's list."""

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
    """An update of discovery's list; with scope FAILED a request failed and there are no members."""

    scope: Scope
    version: int = 0
    members: tuple[Member, ...] = ()
    notified_at: float = 0.0  # when it was received
    date: str = ""  # the answer's ``Date``
    ask_by: float = float("inf")  # after a failure: the latest time of the next request
    outdated_period: OutdatedPeriod = NEVER_OUTDATED  # after a failure: when no call may begin


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
    leaving_at: float = float("inf")  # when it was notified as draining or gone
    address_lost: bool = False  # another endpoint is listed at its address

    @property
    def retry_after_key(self) -> tuple[int, int]:
        """What a retry-after applies to: the endpoint if routes are separate, else its destination."""
        return (self.group, self.number if self.separate_routes else -1)

    @property
    def retry_after_name(self) -> str:
        """The same, valid across processes."""
        return f"{self.group}/{self.name if self.separate_routes else ''}"


@dataclass(frozen=True, slots=True)
class Load:
    """What an answer reported about the endpoint's limit."""

    left_share: float | None = None
    limit_per_s: float | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one message."""

    number: int  # of its message
    index: int  # among its message's attempts
    id: str
    body: bytes
    until: float
    may_repeat: bool
    done: bool = False
    cls: str = ""  # of its message
    idempotency_key: str = ""  # of its message


@dataclass(slots=True, eq=False)
class Call:
    """Attempts that share one HTTP exchange and one slot. Without any it is a probe."""

    endpoint: Endpoint
    attempts: Sequence[Attempt]
    sent_at: float
    cancelled: threading.Event = field(default_factory=threading.Event)
    policy: int = 0  # under which it was decided
    address: tuple[str, int] | None = None  # that its connection goes to; None: not known yet

    @property
    def once(self) -> bool:
        """Whether any attempt may run only once."""
        return not all(attempt.may_repeat for attempt in self.attempts)

    @property
    def until(self) -> float:
        """When the call times out as a whole."""
        return min(attempt.until for attempt in self.attempts)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """An attempt's end. ``final``: the endpoint reported that no further attempt is needed."""

    call: Call
    attempt: Attempt
    result: Result
    at: float
    wait_ms: float = 0.0
    load: Load = Load()
    final: bool = False


@dataclass(frozen=True, slots=True)
class ProbeEnd:
    """A probe's end."""

    endpoint: Endpoint
    result: Result
    took_ms: float
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client disconnected before it read the verdict on its message."""

    message: Message


@dataclass(frozen=True, slots=True)
class NoticesDelivered:
    """The platform accepted the notices of these messages."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class NewPolicy:
    """The fleet has changed to another policy: its number and the resulting configuration."""

    number: int
    config: Config


@dataclass(frozen=True, slots=True)
class Stop:
    """A request to shut down."""


@dataclass(frozen=True, slots=True)
class Notice:
    """The final status of a message that was accepted and not delivered."""

    number: int
    id: str
    deferred: bool
    again_ms: float = 0.0


CoreEvent = Message | ListUpdate | AttemptEnd | ProbeEnd | ClientLeft | NoticesDelivered | NewPolicy | Stop


class Executor(Protocol):
    """Executes calls on other threads and puts their ends on the core's queue."""

    def start(self, call: Call) -> None:
        """Begin a call, or a probe where it has no attempts."""

    def cancel(self, call: Call) -> None:
        """Close the call's connection."""

    def grow(self, slots: int) -> None:
        """Allow at least ``slots`` concurrent calls."""


class Discovery(Protocol):
    """Discovery, as the core uses it."""

    def watch(self, active: bool) -> None:
        """Begin or end the watch; beginning has no effect on a running one."""

    def fetch(self) -> None:
        """Request the whole list once."""


class NoticeSink(Protocol):
    """Receives notices for the platform."""

    def deliver(self, notice: Notice) -> None:
        """Send it, and retry until the platform has accepted it."""


class Shares(Protocol):
    """An instance's share of its partners' limits, and its fleet's policy."""

    def wait_for_policy(self, policy: int) -> bool:
        """Whether a call that was decided under a policy may begin; may block for a bounded time."""

    def may_begin(self, policy: int) -> bool:
        """Whether it may begin now."""

    def acquire(self, endpoint: Endpoint) -> float:
        """Until when (ms) a lease allows one call to an endpoint to begin; 0: not at all.

        May block for a bounded time.
        """

    def load(self, endpoint: Endpoint, load: Load) -> Load:
        """The endpoint's limit for the decision module: this instance's share of it."""

    def listed(self, endpoints: Sequence[Endpoint]) -> None:
        """Endpoints are on the list, so calls to them may follow."""

    def failed(self, endpoint: Endpoint) -> None:
        """An attempt at an endpoint failed or was rejected."""

    def served(self, endpoint: Endpoint) -> None:
        """An attempt at an endpoint succeeded."""


class Log(Protocol):
    """The part of a structlog logger that the program uses."""

    def debug(self, event: str, **values: object) -> object:
        """A step of one message."""

    def info(self, event: str, **values: object) -> object:
        """A notable event."""

    def warning(self, event: str, **values: object) -> object:
        """An external fault."""

    def error(self, event: str, **values: object) -> object:
        """An internal fault."""
