"""An instance's side of a change of policy: under which policy it may begin a call now.

Theory of operation. It holds grants, each of one policy and with absolute bounds on the clock that all
processes of the machine share, so one that comes late or twice gives no more than it said. A call's first
byte goes out under policy v only while a grant of v holds; this is looked at as the byte is about to go
out, so whoever was frozen or cut off finds out by itself. The transitions:

    message           when                                 then
    Grant             its serial is above the barrier      it is held
    Grant             its serial is not                    nothing: it was given up
    Prepare           its serial is above the barrier,     yes; grants said before it end at its cut, and
    its serial
                      and the policy can be used           is the barrier
    Prepare           ... and the policy can't be used     no, with the fault; nothing else changes
    Prepare           its serial is not                    nothing: it was answered

Nothing of this is on disk: a participant that dies acts under nothing, and its next start asks what holds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from springspread.rollout.terms import Grant, Prepare, Serial, Vote


@dataclass(frozen=True, slots=True)
class Participant:
    """One process's state."""

    grants: tuple[Grant, ...] = ()
    barrier: Serial = (0, 0)

    def may(self, version: int, now: float) -> bool:
        """Whether a call may begin under a policy now."""
        return any(one.version == version and one.since <= now < one.until for one in self.grants)

    def version(self, now: float) -> int:
        """The policy to act under now; 0 where there is none."""
        return max((one.version for one in self.grants if one.since <= now < one.until), default=0)

    def next_since(self, now: float) -> float | None:
        """When the next policy begins to hold, where that is known."""
        return min((one.since for one in self.grants if one.since > now), default=None)


def granted(state: Participant, grant: Grant, now: float) -> Participant:
    """A grant comes in."""
    if grant.serial <= state.barrier:
        return state
    kept = [one for one in state.grants if one.until > now and not _covers(grant, one)]
    if not any(_covers(one, grant) for one in kept) and grant.until > now:
        kept.append(grant)
    return replace(state, grants=tuple(sorted(kept, key=lambda one: one.serial)))


def prepared(state: Participant, prepare: Prepare, fault: str) -> tuple[Participant, Vote | None]:
    """A proposal comes in; ``fault`` says why its policy can't be used here, and is empty if it can."""
    if prepare.serial <= state.barrier:
        return state, None
    if fault:
        return state, Vote(prepare.number, False, fault)
    cut = [
        one if one.serial > prepare.serial else replace(one, until=min(one.until, prepare.cut))
        for one in state.grants
    ]
    grants = tuple(one for one in cut if one.until > one.since)
    return Participant(grants, prepare.serial), Vote(prepare.number, True)


def _covers(wide: Grant, narrow: Grant) -> bool:
    """Whether one grant gives all that another does, and was said later or at once."""
    same = wide.version == narrow.version and wide.serial >= narrow.serial
    return same and wide.since <= narrow.since and wide.until >= narrow.until
