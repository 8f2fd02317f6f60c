"""What a fleet did, counted from its senders' logs: by destination and span of time, over all senders.

The logs are those of the program at level debug (``RELAY_LOG_LEVEL=debug``), one file a sender; a line may
have something in front of its JSON.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

COUNTED = {
    "taken": "taken",
    "call": "calls",
    "connecting": "handshakes",
    "list request": "list_requests",
    "discovery failed": "list_failures",
}
ENDS = {
    "DELIVERED": "served",
    "REJECTED": "refused",
    "ERROR": "errors",
    "NOT_CONNECTED": "unreached",
    "TIMED_OUT": "timed_out",
    "BROKEN": "broken",
}
COLUMNS = (
    "taken",
    "calls",
    "attempts",
    "served",
    "refused",
    "errors",
    "unreached",
    "timed_out",
    "broken",
    "handshakes",
    "list_requests",
    "list_failures",
)


@dataclass(slots=True)
class Cell:
    """One destination (none: discovery) in one span."""

    counts: Counter[str] = field(default_factory=Counter)
    limit: float = 0.0  # calls a second, as told last; the sum of routes apart is not told
    left: float = 0.0
    told: int = 0

    def note(self, line: dict[str, Any]) -> None:
        """Take in one line of a log."""
        event = str(line.get("event"))
        if event in COUNTED:
            self.counts[COUNTED[event]] += 1
        if event == "call":
            self.counts["attempts"] += int(line["attempts"])
        elif event == "call over":
            self.counts[ENDS.get(str(line["result"]), "other")] += 1
            if line.get("limit"):
                self.limit, self.told = float(line["limit"]), self.told + 1
                self.left += float(line["left"])


def read_lines(paths: Sequence[Path]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Every line of the logs with its Unix time in seconds; what is no such line is passed over."""
    for path in paths:
        with path.open(errors="replace") as lines:
            for text in lines:
                start = text.rfind('{"sender"')
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                    at = datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()
                except (ValueError, KeyError, AttributeError, TypeError):
                    continue
                yield at, line


def tally(paths: Sequence[Path], span_s: float) -> dict[tuple[int, int], Cell]:
    """Cells by destination (-1: discovery) and span, counted from the earliest line."""
    lines = [pair for pair in read_lines(paths) if str(pair[1].get("event")) in (*COUNTED, "call over")]
    begun = min((at for at, _ in lines), default=0.0)
    cells: dict[tuple[int, int], Cell] = {}
    for at, line in lines:
        key = (int(line.get("group", -1)), int((at - begun) / span_s))
        cells.setdefault(key, Cell()).note(line)
    return cells


def total(cells: dict[tuple[int, int], Cell]) -> Counter[str]:
    """Everything over the whole time."""
    whole: Counter[str] = Counter()
    for cell in cells.values():
        whole.update(cell.counts)
    return whole
