"""Notices to the platform about accepted messages that were not delivered."""

from __future__ import annotations

import json
from collections.abc import Iterable
from math import ceil

from springspread.core.types import Notice

PATH = "/v2/finals"


def encode_notices(notices: Iterable[Notice]) -> bytes:
    """Encode notices as JSON, one object per line."""
    lines = []
    for notice in notices:
        item: dict[str, object] = {"id": notice.id}
        item["status"] = "deferred" if notice.deferred else "undeliverable"
        if notice.deferred and notice.again_ms > 0:
            item["again_ms"] = ceil(notice.again_ms)
        lines.append(json.dumps(item, separators=(",", ":")) + "\n")
    return "".join(lines).encode()
