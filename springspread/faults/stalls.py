"""A sender that stalls between a call's admission and its first byte, as if frozen or starved of CPU time.

python -m springspread.faults.stalls
"""

from __future__ import annotations

import os
import time

import springspread.__main__ as program
from springspread.core import journal_ownership
from springspread.core.journal import Journal

PERIOD_S, STALL_S = 3.0, 0.9


class StallingJournal(Journal):
    """Delays each *begun* record in the last ``STALL_S`` of a period to the end of the period."""

    def record_begun(self, number: int, attempt: int) -> bool:
        """As ``Journal``, delayed."""
        left = PERIOD_S - time.monotonic() % PERIOD_S
        if left < STALL_S:
            time.sleep(left)
        return super().record_begun(number, attempt)


if __name__ == "__main__":
    vars(journal_ownership).update(Journal=StallingJournal)
    os._exit(program.main())
