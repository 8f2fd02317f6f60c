"""The sans-I/O interface of the decision module: settings and events in, actions out.

All times are milliseconds on the host's clock. A *destination* is an outside receiver of messages; a *route*
is one of its endpoints; an *attempt* is one call that carries a message over one route.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class Effect(Enum):
    """What repeating a message does at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which routes of a destination drop a repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    ROUTE = "route"


class Fade(Enum):
    """How a message's worth declines after its aim."""

    LINEAR = "linear"
    HALVING = "halving"


class Rating(Enum):
    """How closely the rating of a listed route matches its limit."""

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
    SPOILT = "spoilt"  # it ran, and its answer is unreadable
    CANCELLED = "cancelled"
    MOOT = "moot"
    UNKNOWN = "unknown"


class EndReason(Enum):
    """Why a message ends undelivered."""

    EXPIRED = "expired"  # no attempt could end before its deadline
    EVICTED = "evicted"  # as many messages are held as the settings allow
    NO_ATTEMPTS_LEFT = "no attempts left"
    MAY_HAVE_RUN = "may have run"  # and its class forbids another attempt


class RouteState(Enum):
    """A route's state in the list; independent of its health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListScope(Enum):
    """How a list update relates to the current list."""

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
    """A tenant and its share of the traffic of all senders together."""

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
    """Points deducted from the result, each per first attempt or for all of the work or worth."""

    waste: float = 0.0
    late_fail: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    probe: float = 0.0
    refused: float = 0.0
    zone_fee: tuple[float, ...] = ()

    def fee_part(self, zone: int) -> float:
        """A zone's fee relative to the highest."""
        top = max(self.zone_fee, default=0.0)
        return self.zone_fee[zone] / top if top and zone < len(self.zone_fee) else 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the operators' rules."""

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
    """The settings of a sender. Invalid values raise ``ValueError`` naming the field."""

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
    confirms_ends: bool = False  # an ``EndConfirmed`` follows each message that is given up

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.kinds:
            raise ValueError("kinds: at least one is needed")
        for name in ("slots", "max_held", "senders", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for n, spec in enumerate(self.classes):
            if not 0 < spec.aim_ms <= spec.deadline_ms:
                raise ValueError(f"classes[{n}].aim_ms: must lie above 0 and within deadline_ms")
            for name in ("worth", "late_worth", "window_ms"):
                if getattr(spec, name) < 0:
                    raise ValueError(f"classes[{n}].{name}: must not be negative")
        for n, kind in enumerate(self.kinds):
            if kind.per_call < 1:
                raise ValueError(f"kinds[{n}].per_call: must be at least 1")
        for name in Rules.__slots__:
            if getattr(self.rules, name) < 0:
                raise ValueError(f"rules.{name}: must not be negative")
        for name in ("tick_ms", "connect_timeout_ms", "max_retry_after_ms", "over_share_worth"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """One entry of the list of routes."""

    route: int
    zone: int
    kind: int
    destination: int
    state: RouteState
    rating: float = 1.0
    added_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Report:
    """What an answer reported of the destination's limit; ``None``: not reported."""

    left_share: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Listed:
    """An update of the list, or with scope FAILED a failed request for it, without entries.

    ``ask_by_ms``: after a failure, the latest time of the next request. Between ``outdated_from_ms`` and
    ``outdated_until_ms`` no call may begin by the current list, unless an update arrives first.
    """

    scope: ListScope
    version: int = 0
    entries: tuple[RouteEntry, ...] = ()
    ask_by_ms: float = inf
    outdated_from_ms: float = inf
    outdated_until_ms: float = inf


@dataclass(frozen=True, slots=True)
class Taken:
    """The sender accepted a message; it has to give one final answer before ``deadline_ms``."""

    message: int
    destination: int
    cls: int
    deadline_ms: float
    tenant: int = 0
    key: int = 0
    again: bool = False
    orphan: bool = False
    attempts: int = 0  # made before a restart; none of them forbids another


@dataclass(frozen=True, slots=True)
class NoRoom:
    """A message can't be accepted; the client may submit it again after ``come_back_ms``."""

    come_back_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended. ``over``: the message is finished and needs no answer any more."""

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
    """The client withdrew the message; it needs no answer any more."""

    message: int


@dataclass(frozen=True, slots=True)
class EndConfirmed:
    """The platform has taken the final status of a message that was given up."""

    message: int


@dataclass(frozen=True, slots=True)
class Woken:
    """A timer set by ``Wake`` expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Began:
    """The answer to an attempt of a streamed class began; it cannot be retried any more."""

    message: int
    attempt: int
    route: int
    took_ms: float


@dataclass(frozen=True, slots=True)
class Heard:
    """A message from another sender; unused."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Changed:
    """New settings, in force from this tick on. Classes may only be appended; kinds stay the same."""

    settings: Settings


Event = Changed | Listed | Taken | Ended | Probed | Withdrawn | EndConfirmed | Woken | Began | Heard


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a route. Sends of one tick to one route share a call as far as its kind allows."""

    message: int
    route: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, safe to submit again after ``come_back_ms``."""

    message: int
    come_back_ms: float = 0.0
    reason: EndReason = EndReason.EXPIRED


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; whether it took effect is unknown."""

    message: int
    reason: EndReason = EndReason.EXPIRED


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
    """Subscribe to changes of the list, or unsubscribe."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request the whole list once."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Request a ``Woken`` event after a time."""

    after_ms: float
    token: int = 0


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to another sender, or to all of them (``None``); unused."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | CloseIdle | Watch | Fetch | Wake | Tell | Log
