"""Calls that a real instance gave up for want of a right, from its log at the level of debug.

No partner sees them, and each asked for a lease: without them hollow senders would ask less often.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from springspread.core.types import Result


def given_up(log: Path, begun_wall_s: float) -> Iterator[tuple[float, str]]:
    """When each such call ended, in ms since a moment of the wall clock, and its endpoint."""
    for path in (log.with_suffix(".1"), log):
        if not path.exists():
            continue
        for line in path.read_text(errors="replace").splitlines():
            if '"call over"' not in line:
                continue
            try:
                entry = json.loads(line)
            except ValueError:
                continue  # torn as the log was turned over
            if entry.get("result") == Result.NOT_SENT.name:
                at_s = datetime.fromisoformat(entry["timestamp"]).timestamp()
                yield 1000.0 * (at_s - begun_wall_s), str(entry["endpoint"])
