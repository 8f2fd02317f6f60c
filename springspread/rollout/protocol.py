"""Messages between the coordinator and its participants, entries of the record, and effects.

Times are milliseconds on the machine's clock, which all processes share.
"""

from __future__ import annotations

from dataclasses import dataclass

Owner = tuple[str, int]
"""An instance's name and epoch: each start of an instance is a new owner."""

Serial = tuple[int, int]
"""The daemon's generation and a count within it: the order in which messages were sent."""


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to begin calls under a policy from ``since`` until just before ``until``."""

    serial: Serial
    version: int
    since: float
    until: float

    def valid(self, now: float) -> bool:
        """Whether calls may begin under it at ``now``."""
        return self.since <= now < self.until


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for a vote on policy ``number``. A yes gives up every earlier grant from ``cut`` on."""

    serial: Serial
    number: int
    cut: float


@dataclass(frozen=True, slots=True)
class Vote:
    """A participant's answer to ``Prepare``; ``fault``: the reason for a no."""

    number: int
    yes: bool
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Acting:
    """A participant's report of the policy that it acts under; 0: it begins no calls.

    It is for the operators' status alone.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Proposed:
    """Entry: a proposal with this number, and the digest of its text."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class Decided:
    """Entry: the policy is in force from ``since``; no instance acts under an earlier one from then on."""

    number: int
    since: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Entry: the policy never comes into force. ``by``: an instance, or empty for the daemon itself."""

    number: int
    by: str
    fault: str


@dataclass(frozen=True, slots=True)
class Begun:
    """Entry: a daemon began under this generation; its grants last ``lease_ms`` at most."""

    generation: int
    lease_ms: float


Entry = Proposed | Decided | Refused | Begun


@dataclass(frozen=True, slots=True)
class Write:
    """Effect: append an entry to the record and sync it, before any later effect of the same step."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: send a message to an owner; it may be lost, late or duplicated."""

    owner: Owner
    message: Grant | Prepare


Effect = Write | Send
