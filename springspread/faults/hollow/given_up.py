"""Reads the calls that a real instance gave up without a lease from its log at debug level.

Partners never see these calls, but each one requested a lease: hollow senders have to make them too.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from springspread.core.types import Result


def given_up(log: Path, start_wall_s: float) -> Iterator[tuple[float, str]]:
    """End time (ms since ``start_wall_s`` of the wall clock) and endpoint of each such call."""
    for path in (log.with_suffix(".1"), log):
        if not path.exists():
            continue
        for line in path.read_text(errors="replace").splitlines():
            if '"call over"' not in line:
                continue
            try:
                entry = json.loads(line)
            except ValueError:
                continue  # line truncated by log rotation
            if entry.get("result") == Result.NOT_SENT.name:
                at_s = datetime.fromisoformat(entry["timestamp"]).timestamp()
                yield 1000.0 * (at_s - start_wall_s), str(entry["endpoint"])
