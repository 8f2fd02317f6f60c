"""What time it is in the world, where the machine's own clock may have come up wrong. No I/O.

Theory of operation. Deadlines on record are Unix times, as a later process reads them. After a power loss the
machine's clock may stand in 1970, an hour early or an hour late; whoever believes it gives up what has time
left, or delivers what has none. What is known, the best first:

    the world's time    from an answer to a call of ours: true to a second, and to the call's own length
    the machine's       true as far as nothing says otherwise
    the record's        the latest write to the journal: it can't be earlier than that

    the world's time    machine's clock             what counts
    told                off by > ``TOLERANCE_MS``   the world's
    told                within ``TOLERANCE_MS``     the machine's: it is finer
    not told            before the record's         the record's, as if no time had passed since
    not told            not before it               the machine's

From then on the time goes by a clock that never steps, so that a machine's clock that is set right later
moves no deadline. A message may be late by ``TOLERANCE_MS`` at most where the world told its time; else by as
much as the machine's clock is wrong, and never by more than its class's own time.
"""

from __future__ import annotations

TOLERANCE_MS = 2_000.0  # the world tells whole seconds, and an answer is on its way for a while


def offset(machine: float, world: float | None, record: float) -> float:
    """What is to be added to the machine's clock (ms); ``world`` and ``record`` as they would stand now."""
    if world is not None:
        return world - machine if abs(world - machine) > TOLERANCE_MS else 0.0
    return max(record - machine, 0.0)


def parse_date(date: str) -> float | None:
    """The Unix time (ms) of an answer's ``Date``, in the middle of its second; none where it tells none."""
    from email.utils import parsedate_to_datetime  # a sender that asks no gate loads nothing of it

    try:
        return parsedate_to_datetime(date).timestamp() * 1000.0 + 500.0
    except (ValueError, OverflowError):
        return None
