"""What coordinator, participants and the record exchange. Times are milliseconds of the clock that all
share.
"""

from __future__ import annotations

from dataclasses import dataclass

Owner = tuple[str, int]
"""An instance and its epoch: each start of an instance is another owner."""

Serial = tuple[int, int]
"""The daemon's generation and a count within it: any two of them tell which was said later."""


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to begin calls under a policy from ``since`` until just before ``until``."""

    serial: Serial
    version: int
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Prepare:
    """May policy ``number`` take hold? A yes gives up every earlier grant from ``cut`` on."""

    serial: Serial
    number: int
    cut: float


@dataclass(frozen=True, slots=True)
class Vote:
    """A participant's answer to ``Prepare``; ``fault`` says why it is no."""

    number: int
    yes: bool
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Acting:
    """What a participant acts under, said now and then for who looks on; 0: it holds. No decision uses it."""

    version: int


@dataclass(frozen=True, slots=True)
class Proposed:
    """On record: this number is used, whatever becomes of it."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class Decided:
    """On record: the policy holds from ``since``; nobody acts under an earlier one from then on."""

    number: int
    since: float


@dataclass(frozen=True, slots=True)
class Refused:
    """On record: the policy never holds. ``by`` is an instance, or empty for the daemon itself."""

    number: int
    by: str
    fault: str


@dataclass(frozen=True, slots=True)
class Begun:
    """On record: a daemon began under this generation, and grants last so long at most."""

    generation: int
    lease_ms: float


Entry = Proposed | Decided | Refused | Begun


@dataclass(frozen=True, slots=True)
class Write:
    """Put an entry on record and sync it, before any effect that follows in the list."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to an owner; it may get lost, come late or come twice."""

    owner: Owner
    message: Grant | Prepare


Effect = Write | Tell
