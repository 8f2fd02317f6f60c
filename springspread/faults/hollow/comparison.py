"""Validates hollow senders against real ones: lines and bytes of the same small day, side by side.

First the real daemon and its instances run a day on sockets; a relay in front of each instance counts lines,
and calls are recorded as they arrive at partners. Then as many hollow senders make the same calls at the same
times, in virtual time, with one allocator on the same host. Calls that real senders gave up without a lease
are taken from their logs. One difference remains: a real sender requests a lease shortly before its call
arrives at the partner, a hollow one at the arrival. Lines about limits are also counted by kind of message.
"""

from __future__ import annotations

import json
import os
import time
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import numpy as np
from numpy.typing import NDArray

from springspread.core.clock import SYSTEM
from springspread.faults.daemon import relay_path
from springspread.faults.hollow.fleet import FleetSize, HollowFleet
from springspread.faults.hollow.given_up import given_up
from springspread.faults.hollow.meter import Volume
from springspread.faults.hollow.report import Row
from springspread.faults.hollow.traffic import Calls, TrafficModel
from springspread.faults.relay import Direction, Relay
from springspread.fleet.client import LEASE_WAIT_MS
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.messages import LeaseRequest
from springspread.fleet.wire import Lines
from springspread.rollout.document import Policy
from springspread.simulator.checker import SPAN_MS
from springspread.simulator.day import Day
from springspread.simulator.fleet import instance_name
from springspread.simulator.partner import Answer
from springspread.simulator.polling import AcceptedConnection
from springspread.simulator.sockets import SocketSimulation

WARMUP_MS = 10_000.0
HOLLOW_START_MS = 1_000.0  # offset of hollow calls from recorded ones
AMPLE_LIMIT_PER_S = 1_000.0


@dataclass(slots=True)
class RecordedTraffic:
    """A day's calls as a source for hollow senders, and their outcomes; times in ms of the day."""

    keys: list[str]
    limits: list[Limit]
    calls: list[tuple[float, int, int]] = field(default_factory=list)  # time, sender, destination
    failures: list[tuple[float, int, int]] = field(default_factory=list)
    successes: list[tuple[float, int, int]] = field(default_factory=list)
    partner_rates: list[tuple[float, int, int, float]] = field(default_factory=list)
    down: NDArray[np.bool_] = field(init=False)  # all false: failures are recorded one by one

    def __post_init__(self) -> None:
        self.down = np.zeros(len(self.keys), dtype=bool)

    def draw(self, begin: float, length_ms: float) -> Calls:
        """The calls of an interval of the hollow fleet's time."""
        first = bisect_left(self.calls, (begin - HOLLOW_START_MS,))
        last = bisect_left(self.calls, (begin + length_ms - HOLLOW_START_MS,))
        found = self.calls[first:last]
        times = [when + HOLLOW_START_MS for when, _, _ in found]
        return Calls(times, [sender for _, sender, _ in found], [number for _, _, number in found])

    def limit(self, destination: int) -> Limit:
        """The limit of a destination."""
        return self.limits[destination]

    def scale_demand(self, destination: int, factor: float) -> None:
        """Recorded demand is not scaled."""

    def recover(self, destination: int) -> None:
        """No destination is marked as down in a record."""


class RecordedTown(SocketSimulation):
    """A day on sockets that records its calls."""

    def __init__(self, day: Day, folder: Path, mode: LimitMode) -> None:
        super().__init__(day, folder, mode)
        groups = {self._limit_key(self._key(name)): group for name, group in self._group.items()}
        limits = {key: self._limit(group, mode) for key, group in groups.items()}
        self.recorded = RecordedTraffic(list(limits), list(limits.values()))
        self._number_of = {key: number for number, key in enumerate(limits)}
        self._record_calls()

    def _limit(self, group: int, mode: LimitMode) -> Limit:
        per_s = self._partners[group].profile.limit_per_s
        if not per_s:
            raise ValueError(f"partner {group} has no limit")
        return Limit.of_rate(per_s, SPAN_MS, mode)

    def _record_calls(self) -> None:
        call, failed, done = self.checker.call, self.checker.failed, self.checker.done

        def recorded_call(at: float, sender: str, endpoint: str, group: int, key: str, ids: Any) -> None:
            self.recorded.calls.append((at, int(sender[1:]), self._number(endpoint)))
            call(at, sender, endpoint, group, key, ids)

        def recorded_failure(at: float, sender: str, endpoint: str) -> None:
            self.recorded.failures.append((at, int(sender[1:]), self._number(endpoint)))
            failed(at, sender, endpoint)

        def recorded_end(at: float, sender: str, key: str, ids: Any, outcome: str, ran: bool) -> None:
            if outcome == "delivered":
                self.recorded.successes.append((at, int(sender[1:]), self._number_of[self._limit_key(key)]))
            done(at, sender, key, ids, outcome, ran)

        vars(self.checker).update(call=recorded_call, failed=recorded_failure, done=recorded_end)

    def record_given_up(self) -> int:
        """Add the calls that were given up to the record; returns their number."""
        wall_s = time.time() - self._now() / 1000.0
        found = [
            (max(at - LEASE_WAIT_MS, 0.0), number, self._number(endpoint))
            for number in range(self.day.senders)
            for at, endpoint in given_up(self._folder / "fleet" / instance_name(number) / "log", wall_s)
        ]
        self.recorded.calls += found
        return len(found)

    def _number(self, endpoint: str) -> int:
        return self._number_of[self._limit_key(self._key(endpoint))]

    def _send_answer(
        self, name: str, connection: AcceptedConnection, ids: list[str], answer: Answer, bundle: bool
    ) -> None:
        if answer.limit_per_s:
            sender = int(self.checker.sender_of(ids[0])[1:])
            entry = (self._now(), sender, self._number(name), answer.limit_per_s)
            self.recorded.partner_rates.append(entry)
        super()._send_answer(name, connection, ids, answer, bundle)


@dataclass(slots=True)
class DirectionVolumes:
    """Traffic of one kind, by direction."""

    up: Volume = field(default_factory=Volume)
    down: Volume = field(default_factory=Volume)


KINDS = (
    "Register",
    "LeaseRequest that asks",
    "LeaseRequest that reports and takes back",
    "LeaseRequest that reports",
    "LeaseRequest that takes back",
    "UseReport",
    "Welcome",
    "KeyStatuses",
    "LeaseGrants",
)
"""Kinds of messages about limits, with lease requests by purpose."""


def kind_of(line: bytes) -> str:
    """The kind, one of ``KINDS``, of a line about limits; raises ``Unreadable``."""
    (message,) = Lines().feed(line)
    if not isinstance(message, LeaseRequest):
        return type(message).__name__
    if any(message.demands.values()):
        return "LeaseRequest that asks"
    if message.reports:
        return "LeaseRequest that reports" + (" and takes back" if message.demands else "")
    return "LeaseRequest that takes back"


class LineCounts:
    """Counts a sender's lines while ``counting``: about limits, about policies, and about limits by kind."""

    def __init__(self) -> None:
        self.counting = False
        self.limits, self.policies = DirectionVolumes(), DirectionVolumes()
        self.kinds = {kind: Volume() for kind in KINDS}

    def count_line(self, way: Direction, line: bytes) -> None:
        """Count a line that passes the relay."""
        if not self.counting:
            return
        of_limits = line.startswith(b"[")
        counts = self.limits if of_limits else self.policies
        (counts.up if way is Direction.UP else counts.down).add(1, len(line))
        if of_limits:
            self.kinds[kind_of(line)].add(1, len(line))


def with_limits(day: Day) -> Day:
    """The day with a limit for each partner; one without a limit gets one that it never reaches."""
    specs = []
    for spec in day.partners:
        if not spec.profile.limit_per_s:
            spec = replace(spec, profile=replace(spec.profile, limit_per_s=AMPLE_LIMIT_PER_S))
        specs.append(spec)
    return replace(day, partners=tuple(specs))


def compare(day: Day, folder: Path, mode: LimitMode) -> list[Row]:
    """Run a day with real and with hollow instances; raises ``RuntimeError`` if the fleet does not start."""
    os.environ["RELAY_LOG_LEVEL"] = "debug"  # logs calls that are given up
    town = RecordedTown(with_limits(day), folder, mode)
    relays, counts = [], []
    for number in range(day.senders):
        place = folder / "fleet"
        relay, count = Relay(relay_path(place, instance_name(number)), place / "allot"), LineCounts()
        relay.line_listener = count.count_line
        relays.append(relay)
        counts.append(count)
    window: list[tuple[float, float]] = []  # time of day and clock, at the begin and the end

    def each_s(at: float, *_: object) -> None:
        counting = WARMUP_MS <= at < day.length_ms
        if counting is not counts[0].counting:
            window.append((at, SYSTEM.now()))
        for count in counts:
            count.counting = counting

    try:
        live = town.play(each_s)
    finally:
        town.close()
        for relay in relays:
            relay.close()
    begin, end = window[0][0], window[1][0]
    calls_made, calls_given_up = len(town.recorded.calls), town.record_given_up()
    policy = Policy(json.loads((folder / "sender.json").read_text())["settings"], {})
    hollow = run_hollow(day.senders, town.recorded, policy, mode, begin, end)
    seconds = (end - begin) / 1000.0
    rows = [Row("real", "town late", "p99", live.late_ms[0], "ms")]
    rows.append(Row("real", "calls", "per second", calls_made / day.length_ms * 1000.0, "1/s"))
    rows.append(Row("real", "calls given up", "per second", calls_given_up / day.length_ms * 1000.0, "1/s"))
    return rows + _rows(counts, hollow, seconds) + _kind_rows(counts, hollow, seconds)


def run_hollow(
    senders: int, recorded: RecordedTraffic, policy: Policy, mode: LimitMode, begin: float, end: float
) -> list[LineCounts]:
    """Make the recorded calls with hollow senders; returns the lines of each one from begin to end."""
    recorded.calls.sort()
    model = TrafficModel(len(recorded.keys), 0.0, mode=mode)
    size, uptime_ms = FleetSize(senders, 1, model), SYSTEM.now()
    fleet = HollowFleet(size, policy, traffic=recorded, one_host=True, uptime_ms=uptime_ms)
    for when, sender, destination in recorded.failures:
        fleet.queue.at(when + HOLLOW_START_MS, fleet.call_failed, sender, destination)
    for when, sender, destination in recorded.successes:
        fleet.queue.at(when + HOLLOW_START_MS, fleet.call_served, sender, destination)
    for when, sender, destination, per_s in recorded.partner_rates:
        fleet.queue.at(when + HOLLOW_START_MS, fleet.partner_rate_received, sender, destination, per_s)
    counts = [LineCounts() for _ in range(senders)]
    for hollow, count in zip(fleet.senders, counts, strict=True):
        assert hollow is not None  # all have started, and none is killed
        hollow.line_listener = count.count_line
    fleet.run_until(HOLLOW_START_MS + begin)
    policies = [meter.copy() for meter in fleet.policy_meters]
    for count in counts:
        count.counting = True
    fleet.run_until(HOLLOW_START_MS + end)
    for count, now, then in zip(counts, fleet.policy_meters, policies, strict=True):
        delta = now.since(then)
        count.policies = DirectionVolumes(delta.sent, delta.received)
    return counts


def _rows(real: list[LineCounts], hollow: list[LineCounts], seconds: float) -> list[Row]:
    """Means over senders, real and hollow, and their ratio."""
    rows = []
    for name in ("limits", "policies", "all"):
        for direction in ("up", "down"):
            volumes = [_volumes(one, name, direction) for one in (real, hollow)]
            rows += _side_by_side(f"about {name} {direction}", volumes, len(real) * seconds)
    return rows


def _kind_rows(real: list[LineCounts], hollow: list[LineCounts], seconds: float) -> list[Row]:
    """The lines about limits by kind of message."""
    rows = []
    for kind in KINDS:
        volumes = [[count.kinds[kind] for count in one] for one in (real, hollow)]
        rows += _side_by_side(f"of {kind}", volumes, len(real) * seconds)
    return rows


def _volumes(counts: list[LineCounts], name: str, direction: str) -> list[Volume]:
    volumes = []
    for count in counts:
        kinds = {"limits": [count.limits], "policies": [count.policies]}.get(
            name, [count.limits, count.policies]
        )
        volumes += [one.up if direction == "up" else one.down for one in kinds]
    return volumes


def _side_by_side(what: str, volumes: list[list[Volume]], sender_seconds: float) -> list[Row]:
    """Mean lines and bytes per second of a sender, real and hollow, and their ratio."""
    rows = []
    for unit, per in (("lines", "1/s"), ("bytes", "B/s")):
        real, hollow = (
            sum(one.messages if unit == "lines" else one.bytes for one in some) / sender_seconds
            for some in volumes
        )
        rows.append(Row("real", f"{unit} {what}", "mean of senders", real, per))
        rows.append(Row("hollow", f"{unit} {what}", "mean of senders", hollow, per))
        rows.append(Row("hollow", f"{unit} {what}", "by real", hollow / real if real else 1.0, "1"))
    return rows
