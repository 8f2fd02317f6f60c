"""A sender that is held up now and then between a call's right and its first byte, as one that is frozen or
gets no processor: ``python -m springspread.faults.stalls``.
"""

from __future__ import annotations

import os
import time

import springspread.__main__ as program
from springspread.core import journal_ownership
from springspread.core.journal import Journal

EACH_S, STALL_S = 3.0, 0.9


class Stalling(Journal):
    """The journal, but that every *begun* of some spans comes at their end: its right was taken before."""

    def record_begun(self, number: int, attempt: int) -> bool:
        """As the journal's, later."""
        left = EACH_S - time.monotonic() % EACH_S
        if left < STALL_S:
            time.sleep(left)
        return super().record_begun(number, attempt)


if __name__ == "__main__":
    vars(journal_ownership).update(Journal=Stalling)
    os._exit(program.main())
