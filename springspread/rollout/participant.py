"""A participant in policy changes: under which policy an instance may begin a call now.

Theory of operation. A participant has grants, each for one policy and with absolute bounds on the clock that
all processes of the machine share, so a late or duplicated message grants no more than the original. A call's
first byte is sent under a policy only while a grant of that policy is valid; this is checked just before the
byte is sent, so an instance that was frozen or cut off needs no message to stop. The transitions:

    message   its serial          its policy    result
    Grant     above the barrier                 it is added
    Grant     not above                         ignored: it is given up
    Prepare   above the barrier   usable        a vote of yes; earlier grants end at its ``cut``, and the
                                                barrier becomes its serial
    Prepare   above the barrier   not usable    a vote of no with the fault; nothing else changes
    Prepare   not above                         ignored: already answered

The state is not on disk: a process starts without grants and gets new ones when it connects.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from springspread.rollout.protocol import Grant, Prepare, Serial, Vote


@dataclass(frozen=True, slots=True)
class Participant:
    """The state of one process.

    ``grants``: in the order of their serials; ``barrier``: grants up to this serial are given up.
    """

    grants: tuple[Grant, ...] = ()
    barrier: Serial = (0, 0)

    def may_begin(self, version: int, now: float) -> bool:
        """Whether a call may begin under a policy at ``now`` (milliseconds)."""
        return any(grant.version == version and grant.valid(now) for grant in self.grants)

    def version(self, now: float) -> int:
        """The policy to act under at ``now``; 0 where there is none."""
        return max((grant.version for grant in self.grants if grant.valid(now)), default=0)

    def next_since(self, now: float) -> float | None:
        """When the next grant becomes valid; ``None`` where there is none."""
        return min((grant.since for grant in self.grants if grant.since > now), default=None)


def granted(state: Participant, grant: Grant, now: float) -> Participant:
    """Handle a grant."""
    if grant.serial <= state.barrier:
        return state
    kept = [other for other in state.grants if other.until > now and not _covers(grant, other)]
    if not any(_covers(other, grant) for other in kept) and grant.until > now:
        kept.append(grant)
    return replace(state, grants=tuple(sorted(kept, key=lambda grant: grant.serial)))


def prepared(state: Participant, prepare: Prepare, fault: str) -> tuple[Participant, Vote | None]:
    """Handle a proposal; ``fault``: why its policy can't be used here, empty if it can."""
    if prepare.serial <= state.barrier:
        return state, None
    if fault:
        return state, Vote(prepare.number, False, fault)
    shortened = [
        grant if grant.serial > prepare.serial else replace(grant, until=min(grant.until, prepare.cut))
        for grant in state.grants
    ]
    grants = tuple(grant for grant in shortened if grant.until > grant.since)
    return Participant(grants, prepare.serial), Vote(prepare.number, True)


def _covers(wide: Grant, narrow: Grant) -> bool:
    """Whether one grant includes another and is not older."""
    supersedes = wide.version == narrow.version and wide.serial >= narrow.serial
    return supersedes and wide.since <= narrow.since and wide.until >= narrow.until
