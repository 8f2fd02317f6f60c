"""The sans-I/O interface of springspread: settings and events in, actions out.

All times are milliseconds on the host's clock. A *destination* is an outside receiver of messages; a *route*
is one of its endpoints; an *attempt* is one call that carries a message over one route.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class Effect(Enum):
    """What a repeat of a message does at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which routes of a destination drop a repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    ROUTE = "route"


class Fade(Enum):
    """How a message's worth falls after its aim."""

    LINEAR = "linear"
    HALVING = "halving"


class Rating(Enum):
    """What the rating of a listed route says about its rate."""

    NONE = "none"
    EXACT = "exact"
    ROUGH = "rough"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    SPOILT = "spoilt"  # it ran, and its answer can't be read
    CANCELLED = "cancelled"
    MOOT = "moot"
    UNKNOWN = "unknown"


class RouteState(Enum):
    """What the list says of a route; it says nothing of its health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListScope(Enum):
    """How a list update relates to the list held."""

    CHANGES = 0
    WHOLE = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of messages."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    effect: Effect
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    in_order: bool = False


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant and the traffic of all senders together that is within its share."""

    name: str
    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class KindSpec:
    """A kind of destination."""

    name: str
    separate_routes: bool = False
    per_call: int = 1


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result; each for one first try, or for all of the work or worth."""

    waste: float = 0.0
    late_fail: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    probe: float = 0.0
    refused: float = 0.0
    zone_fee: tuple[float, ...] = ()

    def fee_part(self, zone: int) -> float:
        """A zone's fee as a part of the highest."""
        top = max(self.zone_fee, default=0.0)
        return self.zone_fee[zone] / top if top and zone < len(self.zone_fee) else 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules that the operators set."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    ask_within_ms: float = 0.0
    cold_share: float = 1.0
    warm_within_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0
    order_settle_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a sender is told at its start. Values that make no sense raise ``ValueError`` naming the field."""

    classes: tuple[ClassSpec, ...]
    kinds: tuple[KindSpec, ...]
    slots: int
    max_held: int
    senders: int = 1
    sender: int = 0
    zone: int = 0
    tenants: tuple[TenantSpec, ...] = ()
    rules: Rules = Rules()
    prices: Prices = Prices()
    fade: Fade = Fade.LINEAR
    rating: Rating = Rating.NONE
    must_ask: bool = False
    tick_ms: float = 1.0
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    connect_timeout_ms: float = 0.0
    tells_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    over_share_worth: float = 1.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.kinds:
            raise ValueError("kinds: at least one is needed")
        for name in ("slots", "max_held", "senders", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for i, spec in enumerate(self.classes):
            if not 0 < spec.aim_ms <= spec.deadline_ms:
                raise ValueError(f"classes[{i}].aim_ms: must lie above 0 and within deadline_ms")
            for name in ("worth", "late_worth", "window_ms"):
                if getattr(spec, name) < 0:
                    raise ValueError(f"classes[{i}].{name}: must not be negative")
        for i, kind in enumerate(self.kinds):
            if kind.per_call < 1:
                raise ValueError(f"kinds[{i}].per_call: must be at least 1")
        for name in Rules.__slots__:
            if getattr(self.rules, name) < 0:
                raise ValueError(f"rules.{name}: must not be negative")
        for name in ("tick_ms", "connect_timeout_ms", "max_retry_after_ms", "over_share_worth"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """One line of the list of routes."""

    route: int
    zone: int
    kind: int
    destination: int
    state: RouteState
    rating: float = 1.0
    added_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Report:
    """What a destination told of its limit in an answer; ``None`` where it told nothing."""

    left_share: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Listed:
    """News of the list; with scope FAILED a request for it failed and there are no entries.

    ``ask_by_ms``: after a failure, when the list has to be asked for again at the latest. Between
    ``outdated_from_ms`` and ``outdated_until_ms`` no call may begin by the list that is held, unless news of
    it comes first.
    """

    scope: ListScope
    version: int = 0
    entries: tuple[RouteEntry, ...] = ()
    ask_by_ms: float = inf
    outdated_from_ms: float = inf
    outdated_until_ms: float = inf


@dataclass(frozen=True, slots=True)
class Taken:
    """The sender took a message and owes it one final answer before ``deadline_ms``."""

    message: int
    destination: int
    cls: int
    deadline_ms: float
    tenant: int = 0
    key: int = 0
    again: bool = False
    orphan: bool = False
    attempts: int = 0  # begun before a restart; none of them forbids another


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended. ``over``: the message is finished, nothing more is owed for it."""

    message: int
    attempt: int
    route: int
    outcome: Outcome
    took_ms: float
    over: bool
    wait_ms: float = 0.0
    report: Report = Report()


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe."""

    route: int
    outcome: Outcome
    took_ms: float
    report: Report = Report()


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client took the message back; nothing more is owed for it."""

    message: int


@dataclass(frozen=True, slots=True)
class Woken:
    """A timer asked for by ``Wake`` came due."""

    token: int


@dataclass(frozen=True, slots=True)
class Began:
    """The answer to an attempt of a streamed class began; the attempt now belongs to the client."""

    message: int
    attempt: int
    route: int
    took_ms: float


@dataclass(frozen=True, slots=True)
class Heard:
    """A note from another sender; no decision uses it."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Changed:
    """New settings hold from this tick on. Classes keep their places, and new ones follow; kinds stay."""

    settings: Settings


Event = Changed | Listed | Taken | Ended | Probed | Withdrawn | Woken | Began | Heard


@dataclass(frozen=True, slots=True)
class Send:
    """Call a route with a message. Sends of one reply to one route share a call as far as its kind allows."""

    message: int
    route: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: handed back, harmless to hand in again after ``come_back_ms``."""

    message: int
    come_back_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is said of its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a route with a call that carries no message."""

    route: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a route."""

    route: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to (or leave) the changes of the list."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask once for the whole list."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a ``Woken`` event after a time."""

    after_ms: float
    token: int = 0


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a note to another sender, or to all of them (``None``); no decision does."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | CloseIdle | Watch | Fetch | Wake | Tell | Log
