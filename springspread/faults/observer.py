"""Checks the promises of policy changes by the logs of processes alone, independent of the protocol's code.

An instance's log (level debug) has a line for each call's first byte, with its policy and its time on the
machine's monotonic clock.
"""

from __future__ import annotations

import json
import re
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DECIDED = re.compile(r"Decided\(number=(\d+), since=([\d.]+)\)")


@dataclass(frozen=True, slots=True)
class CallStart:
    """The first byte of a call."""

    instance: str
    policy: int
    at: float


def call_starts(fleet: Path) -> list[CallStart]:
    """Read the starts of all calls from the logs in a fleet's folder, in order of time."""
    starts = []
    for log in sorted(fleet.glob("n*/log*")):
        for line in log.read_bytes().splitlines():
            if b'"begins"' not in line:
                continue
            try:
                raw = json.loads(line)
                starts.append(CallStart(log.parent.name, int(raw["policy"]), float(raw["at"])))
            except (ValueError, KeyError):
                continue  # truncated when its process was killed
    return sorted(starts, key=lambda start: start.at)


def gaps(calls: Iterable[CallStart]) -> tuple[list[float], list[float]]:
    """Times (ms) between an instance's calls: within one policy, and across a change."""
    within: list[float] = []
    across: list[float] = []
    last: dict[str, CallStart] = {}
    for call in calls:
        before = last.get(call.instance)
        if before is not None:
            (within if before.policy == call.policy else across).append(call.at - before.at)
        last[call.instance] = call
    return within, across


def policy_starts(fleet: Path) -> list[tuple[float, int]]:
    """Read from the daemon's log since when (ms) each policy is in force, in order of time."""
    found = {}
    for line in (fleet / "daemon.log").read_bytes().splitlines():
        if b"Decided(" in line:
            with suppress(ValueError, KeyError, AttributeError):
                number, since = DECIDED.search(json.loads(line)["entry"]).groups()  # type: ignore[union-attr]
                found[int(number)] = float(since)
    return sorted((since, number) for number, since in found.items())


def read_policy_record(fleet: Path) -> list[dict[str, Any]]:
    """Read the entries of the policy record, in order."""
    lines = (fleet / "policy" / "log").read_bytes().splitlines()
    return [json.loads(line.partition(b" ")[2]) for line in lines]


def undecided_policy_calls(calls: Iterable[CallStart], record: Iterable[Mapping[str, Any]]) -> list[str]:
    """Calls under a policy that was refused, or never decided."""
    decided = {entry["number"] for entry in record if entry["kind"] == "decided"}
    return [
        f"{call.instance} began under {call.policy}, which was never in force"
        for call in calls
        if call.policy not in decided
    ]


def overlapping_changes(record: Iterable[Mapping[str, Any]]) -> list[str]:
    """Changes that began before the previous one ended."""
    violations, under_way = [], 0
    for entry in record:
        if entry["kind"] == "proposed":
            if under_way:
                violations.append(f"change {entry['number']} began while {under_way} was under way")
            under_way = entry["number"]
        elif entry["kind"] in ("decided", "refused") and entry["number"] == under_way:
            under_way = 0
    return violations


def spans_over_limit(
    arrivals: Sequence[float], policies: Sequence[tuple[float, int]], limits: Mapping[int, tuple[int, float]]
) -> list[str]:
    """Spans with more calls than the limit in force at their last call.

    ``policies``: since when each policy is in force; ``limits``: calls and span (ms) by policy; a policy
    without one is unlimited. After a limit shrinks, spans that began before the change must keep the
    smaller one.
    """
    violations, since = [], [at for at, _ in policies]
    for last, now in enumerate(arrivals):
        index = bisect_right(since, now) - 1
        number = policies[index][1] if index >= 0 else 0
        if number not in limits:
            continue
        allowed, span = limits[number]
        first = bisect_right(arrivals, now - span, 0, last)
        if last - first + 1 > allowed:
            violations.append(
                f"{last - first + 1} calls in {span:g} ms under policy {number}, which allows {allowed}"
            )
    return violations


def peak_ratio(arrivals: Sequence[float], limit: tuple[int, float]) -> float:
    """The highest number of calls in any span, as a ratio of the limit (calls, span in ms)."""
    allowed, span = limit
    first = (bisect_right(arrivals, now - span, 0, last) for last, now in enumerate(arrivals))
    return max((last - first_call + 1 for last, first_call in enumerate(first)), default=0) / allowed


def mixtures(calls: Iterable[CallStart]) -> list[str]:
    """Calls that began under an older policy after any began under a newer one."""
    violations, newest = [], CallStart("", 0, 0.0)
    for call in calls:
        if call.policy < newest.policy:
            late = call.at - newest.at
            violations.append(
                f"{call.instance} began under {call.policy} {late:.1f} ms after"
                f" {newest.instance} under {newest.policy}"
            )
        elif call.policy > newest.policy:
            newest = call
    return violations
