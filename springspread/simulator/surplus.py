"""Second copies of answers: a share of all answers is written once more on its connection, at a drawn moment.

A copy may come right behind its answer, some time later, or only while the connection's next request arrives
or is processed. The last two can't be told from that request's answer by anything but the order of bytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

MAX_DELAY_MS = 50.0  # of a copy that comes some time after its answer
MAX_PROCESSING_MS = 4.0  # of a copy that comes after the next request


class CopyMoment(Enum):
    """When a copy is written."""

    BEHIND = "right behind its answer"
    LATER = "some time after its answer"
    REQUEST_BEGUN = "at the first bytes of the next request"
    REQUEST_COMPLETE = "after the last byte of the next request"


@dataclass(frozen=True, slots=True)
class Copy:
    """A copy to be written. ``delay_ms`` counts from the moment's event."""

    moment: CopyMoment
    delay_ms: float
    data: bytes


@dataclass(slots=True)
class AnswerCopier:
    """Draws which answers are copied, and when. ``moments``: those to draw from."""

    share: float
    random: Random
    moments: tuple[CopyMoment, ...] = tuple(CopyMoment)
    written: dict[CopyMoment, int] = field(default_factory=dict)

    def draw(self, data: bytes) -> Copy | None:
        """The copy that follows an answer, if there is one."""
        if self.random.random() >= self.share:
            return None
        moment = self.random.choice(self.moments)
        longest_ms = {CopyMoment.LATER: MAX_DELAY_MS, CopyMoment.REQUEST_COMPLETE: MAX_PROCESSING_MS}
        return Copy(moment, self.random.uniform(0.0, longest_ms.get(moment, 0.0)), data)

    def count(self, copy: Copy) -> None:
        """Count a copy that was written."""
        self.written[copy.moment] = self.written.get(copy.moment, 0) + 1
