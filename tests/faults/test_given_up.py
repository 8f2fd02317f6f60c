"""Reading calls that were given up from an instance's log."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from springspread.faults.hollow.given_up import given_up


def entry(event: str, result: str, second: int) -> str:
    stamp = f"2026-12-02T06:00:{second:02}.500000Z"
    return (
        json.dumps({"event": event, "result": result, "endpoint": f"s-{second}", "timestamp": stamp}) + "\n"
    )


def test_calls_that_were_not_sent_are_found_in_the_log_and_its_predecessor(tmp_path: Path) -> None:
    log = tmp_path / "log"
    (tmp_path / "log.1").write_text('n"}\n' + entry("call over", "NOT_SENT", 1))
    log.write_text(
        entry("call over", "DELIVERED", 2)
        + entry("attempt over", "NOT_SENT", 3)
        + entry("call over", "NOT_SENT", 4)
        + '{"event": "call over", "result": "NOT_S'
    )
    start_s = 1_796_191_200.0  # 2026-12-02T06:00:00Z
    found = list(given_up(log, start_s))
    assert [endpoint for _, endpoint in found] == ["s-1", "s-4"]
    assert [at for at, _ in found] == pytest.approx([1_500.0, 4_500.0])
    assert list(given_up(tmp_path / "none", start_s)) == []
