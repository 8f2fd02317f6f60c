"""Reports on each instance: its process, its membership, and its recovery after a start.

Each report is a JSON object. Times are milliseconds unless a key ends with ``_s``.
"""

from __future__ import annotations

from typing import Any

from springspread.fleet.members import Row
from springspread.fleet.wire import Returning


def instance_status(row: Row, connected: bool, policy: int, now: float) -> dict[str, Any]:
    """One instance. ``connected``: to the allocator; ``policy``: the number of the one it acts under."""
    return {
        "name": row.name,
        "want": row.desired.value,
        "pid": row.pid,
        "epoch": row.epoch,
        "listen": row.listen,
        "up_s": _seconds(now - row.started_at) if row.pid else 0.0,
        "in_fleet": connected,
        "deaths": row.deaths,
        "policy": policy,
    }


def recovery_status(row: Row, report: Returning, now: float) -> dict[str, Any]:
    """The recovery progress of an instance, by its latest report."""
    return {
        "name": row.name,
        "want": row.desired.value,
        "damaged": report.damaged,
        "gate": report.gate,
        "for_s": _seconds(now - report.since),
        "owed": report.owed,
        "ended": report.at_start - report.owed,
        "expected_s": _expected_s(report, now - row.started_at),
    }


def unreported_recovery(row: Row, pending: int, now: float) -> dict[str, Any]:
    """The same for an instance that has not reported; ``pending``: messages in its journal."""
    return {
        "name": row.name,
        "want": row.desired.value,
        "damaged": None,
        "gate": "starting" if row.pid else "away",
        "for_s": _seconds(now - row.started_at) if row.pid else 0.0,
        "owed": pending,
        "ended": 0,
        "expected_s": None,
    }


def _expected_s(report: Returning, up_ms: float) -> float | None:
    """Seconds until its pending messages have ended, at the rate so far; ``None`` where none has ended."""
    if not report.owed:
        return 0.0
    ended = report.at_start - report.owed
    return _seconds(report.owed * up_ms / ended) if ended else None


def _seconds(ms: float) -> float:
    return round(ms / 1000.0, 1)
