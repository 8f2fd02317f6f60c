"""Counts the activity of a fleet from its senders' logs, by destination and time span.

Reads logs at level debug (``RELAY_LOG_LEVEL=debug``), one file per sender; lines may have a prefix
before their JSON.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

EVENT_COLUMNS = {
    "taken": "taken",
    "call": "calls",
    "connecting": "handshakes",
    "list request": "list_requests",
    "discovery failed": "list_failures",
}
RESULT_COLUMNS = {
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
    """Counts of one destination, or of discovery, in one time span."""

    counts: Counter[str] = field(default_factory=Counter)
    limit: float = 0.0  # calls per second, as last reported
    left_sum: float = 0.0
    limit_reports: int = 0

    def count(self, line: dict[str, Any]) -> None:
        """Count one log line."""
        event = str(line.get("event"))
        if event in EVENT_COLUMNS:
            self.counts[EVENT_COLUMNS[event]] += 1
        if event == "call":
            self.counts["attempts"] += int(line["attempts"])
        elif event == "call over":
            self.counts[RESULT_COLUMNS.get(str(line["result"]), "other")] += 1
            if line.get("limit"):
                self.limit, self.limit_reports = float(line["limit"]), self.limit_reports + 1
                self.left_sum += float(line["left"])


def read_lines(paths: Sequence[Path]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield every log line with its Unix time in seconds; other lines are skipped."""
    for path in paths:
        with path.open(errors="replace") as lines:
            for text in lines:
                start = text.rfind('{"sender"')
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                    time_s = datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()
                except (ValueError, KeyError, AttributeError, TypeError):
                    continue
                yield time_s, line


def tally(paths: Sequence[Path], span_s: float) -> dict[tuple[int, int], Cell]:
    """Return cells by destination (-1: discovery) and span index, counted from the earliest line."""
    lines = [pair for pair in read_lines(paths) if str(pair[1].get("event")) in (*EVENT_COLUMNS, "call over")]
    start = min((time_s for time_s, _ in lines), default=0.0)
    cells: dict[tuple[int, int], Cell] = {}
    for time_s, line in lines:
        key = (int(line.get("group", -1)), int((time_s - start) / span_s))
        cells.setdefault(key, Cell()).count(line)
    return cells


def total(cells: dict[tuple[int, int], Cell]) -> Counter[str]:
    """Sum the counts of all cells."""
    totals: Counter[str] = Counter()
    for cell in cells.values():
        totals.update(cell.counts)
    return totals
