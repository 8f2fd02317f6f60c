"""The wall-clock time to use when the system clock may be wrong. No I/O.

Theory of operation. Deadlines in the journal are Unix times, as a later process reads them. After a power
loss the system clock may show 1970, or be an hour off; a sender that trusts it ends messages that have time
left, or delivers expired ones. The sources, best first:

    date      from discovery's answer: exact to a second, plus the duration of the call
    system    the system clock: taken to be right unless something contradicts it
    record    the latest write to the journal: the time can't be earlier

    date       system clock                        used
    known      off by more than ``TOLERANCE_MS``   the date
    known      within ``TOLERANCE_MS``             the system clock, which is finer
    unknown    before the record                   the record, as if no time had passed since
    unknown    not before it                       the system clock

From then on a monotonic clock is added, so that a later correction of the system clock moves no deadline. A
message may be late by ``TOLERANCE_MS`` at most where a date is known; else by the error of the system clock,
but never by more than its class's deadline.
"""

from __future__ import annotations

TOLERANCE_MS = 2_000.0  # a date has whole seconds, and its answer takes time to arrive


def offset(system: float, reference: float | None, record: float) -> float:
    """The correction of the system clock (ms); ``reference`` and ``record``: what they would show now."""
    if reference is not None:
        return reference - system if abs(reference - system) > TOLERANCE_MS else 0.0
    return max(record - system, 0.0)


def parse_date(date: str) -> float | None:
    """The Unix time (ms) of an answer's ``Date``, at the middle of its second; ``None``: it has none."""
    from email.utils import parsedate_to_datetime  # not loaded by a sender without startup stages

    try:
        return parsedate_to_datetime(date).timestamp() * 1000.0 + 500.0
    except (ValueError, OverflowError):
        return None
