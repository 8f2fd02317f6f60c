"""Judges promises on a change of policy by what processes wrote into their logs, knowing nothing of the
machine.

Each call's first byte stands in an instance's log (level debug) with its policy and its moment on the clock
that all processes of the machine share.
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
SLACK_MS = 20.0  # from the last look to the first byte: stated in the design, and given to the machine


@dataclass(frozen=True, slots=True)
class Begun:
    """A call's first byte."""

    instance: str
    policy: int
    at: float


def call_starts(fleet: Path) -> list[Begun]:
    """Every first byte in the logs of a fleet's folder, in order of time."""
    found = []
    for log in sorted(fleet.glob("n*/log*")):
        for line in log.read_bytes().splitlines():
            if b'"begins"' not in line:
                continue
            try:
                raw = json.loads(line)
                found.append(Begun(log.parent.name, int(raw["policy"]), float(raw["at"])))
            except (ValueError, KeyError):
                continue  # torn as its process was killed
    return sorted(found, key=lambda one: one.at)


def gaps(calls: Iterable[Begun]) -> tuple[list[float], list[float]]:
    """Times (ms) between an instance's first bytes: those under one policy, and those over a change."""
    within: list[float] = []
    across: list[float] = []
    last: dict[str, Begun] = {}
    for call in calls:
        before = last.get(call.instance)
        if before is not None:
            (within if before.policy == call.policy else across).append(call.at - before.at)
        last[call.instance] = call
    return within, across


def borders(fleet: Path) -> list[tuple[float, int]]:
    """From when (ms) each policy holds, out of the daemon's log, in order of time."""
    found = {}
    for line in (fleet / "daemon.log").read_bytes().splitlines():
        if b"Decided(" in line:
            with suppress(ValueError, KeyError, AttributeError):
                number, since = DECIDED.search(json.loads(line)["entry"]).groups()  # type: ignore[union-attr]
                found[int(number)] = float(since)
    return sorted((since, number) for number, since in found.items())


def recorded(fleet: Path) -> list[dict[str, Any]]:
    """What is on record of policies, in order."""
    lines = (fleet / "policy" / "log").read_bytes().splitlines()
    return [json.loads(line.partition(b" ")[2]) for line in lines]


def nowhere(calls: Iterable[Begun], record: Iterable[Mapping[str, Any]]) -> list[str]:
    """Calls under a policy that was refused, or never decided."""
    held = {entry["number"] for entry in record if entry["kind"] == "decided"}
    return [
        f"{call.instance} began under {call.policy}, which never held"
        for call in calls
        if call.policy not in held
    ]


def interleaved(record: Iterable[Mapping[str, Any]]) -> list[str]:
    """Changes that began before the one before them had its end."""
    faults, under_way = [], 0
    for entry in record:
        if entry["kind"] == "proposed":
            if under_way:
                faults.append(f"change {entry['number']} began while {under_way} was under way")
            under_way = entry["number"]
        elif entry["kind"] in ("decided", "refused") and entry["number"] == under_way:
            under_way = 0
    return faults


def over_limit(
    arrivals: Sequence[float], held: Sequence[tuple[float, int]], limits: Mapping[int, tuple[int, float]]
) -> list[str]:
    """Spans with more calls than the limit that holds at their last call; where none does, all may pass.

    ``held``: from when each policy holds; ``limits``: calls and span (ms) by policy. Where a limit shrinks,
    a span that ends after the border has to keep the smaller one.
    """
    faults, since = [], [at for at, _ in held]
    for last, now in enumerate(arrivals):
        place = bisect_right(since, now) - 1
        number = held[place][1] if place >= 0 else 0
        if number not in limits:
            continue
        most, span = limits[number]
        first = bisect_right(arrivals, now - span, 0, last)
        if last - first + 1 > most:
            faults.append(
                f"{last - first + 1} calls in {span:g} ms under policy {number}, which allows {most}"
            )
    return faults


def peak_ratio(arrivals: Sequence[float], limit: tuple[int, float]) -> float:
    """The most calls in any span, over the limit (calls, span in ms)."""
    most, span = limit
    first = (bisect_right(arrivals, now - span, 0, last) for last, now in enumerate(arrivals))
    return max((last - place + 1 for last, place in enumerate(first)), default=0) / most


def mixtures(calls: Iterable[Begun]) -> list[str]:
    """Calls that began under an older policy after any began under a newer one."""
    faults, newest = [], Begun("", 0, 0.0)
    for call in calls:
        if call.policy < newest.policy:
            late = call.at - newest.at
            faults.append(
                f"{call.instance} began under {call.policy} {late:.1f} ms after"
                f" {newest.instance} under {newest.policy}"
            )
        elif call.policy > newest.policy:
            newest = call
    return faults
