"""Whether hollow senders say what real ones do: one small day of both, lines and bytes side by side.

First the real daemon and its instances play a day on sockets; a relay before each instance counts lines, and
the calls are recorded as they come to partners. Then as many hollow senders make the same calls at the same
times, in virtual time, with one allocator on the same host. Calls that real senders asked a lease for and
gave up are taken from their logs, and asked for by the hollow ones, too. What may differ: a real sender asks
a little before its call arrives at the partner, the hollow ones at the arrival. Lines about limits are also
told by kind of message.
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
from springspread.faults.hollow.traffic import Calls, TrafficLaw
from springspread.faults.relay import Direction, Relay
from springspread.fleet.client import LEASE_WAIT_MS
from springspread.fleet.limits import Limit, LimitMode
from springspread.fleet.messages import LeaseRequest
from springspread.fleet.wire import Lines
from springspread.rollout.document import Policy
from springspread.simulator.checker import SPAN_MS
from springspread.simulator.day import Day
from springspread.simulator.fleet import name_of
from springspread.simulator.partner import Answer
from springspread.simulator.polling import Place
from springspread.simulator.sockets import SocketTown

WARM_MS = 10_000.0
HOLLOW_START_MS = 1_000.0  # hollow calls begin so much after the recorded ones' zero
AMPLE_PER_S = 1_000.0


@dataclass(slots=True)
class Recorded:
    """A day's calls as a source for hollow senders, and what else happened; ms of the day."""

    keys: list[str]
    limits: list[Limit]
    calls: list[tuple[float, int, int]] = field(default_factory=list)  # when, sender, destination
    failures: list[tuple[float, int, int]] = field(default_factory=list)
    successes: list[tuple[float, int, int]] = field(default_factory=list)
    partner_rates: list[tuple[float, int, int, float]] = field(default_factory=list)
    down: NDArray[np.bool_] = field(init=False)  # nobody: failures are recorded one by one

    def __post_init__(self) -> None:
        self.down = np.zeros(len(self.keys), dtype=bool)

    def draw(self, begin: float, length_ms: float) -> Calls:
        """The calls of a stretch of the hollow fleet's time."""
        first = bisect_left(self.calls, (begin - HOLLOW_START_MS,))
        last = bisect_left(self.calls, (begin + length_ms - HOLLOW_START_MS,))
        found = self.calls[first:last]
        times = [when + HOLLOW_START_MS for when, _, _ in found]
        return Calls(times, [sender for _, sender, _ in found], [number for _, _, number in found])

    def limit(self, destination: int) -> Limit:
        """The limit of a destination."""
        return self.limits[destination]

    def multiply(self, destination: int, factor: float) -> None:
        """Nothing multiplies what was recorded."""

    def serves_again(self, destination: int) -> None:
        """Nothing is down for good in what was recorded."""


class RecordedTown(SocketTown):
    """A day on sockets that is written down."""

    def __init__(self, day: Day, folder: Path, mode: LimitMode) -> None:
        super().__init__(day, folder, mode)
        groups = {self._limit_key(self._key(name)): group for name, group in self._group.items()}
        limits = {key: self._limit(group, mode) for key, group in groups.items()}
        self.recorded = Recorded(list(limits), list(limits.values()))
        self._number_of = {key: number for number, key in enumerate(limits)}
        self._record_calls()

    def _limit(self, group: int, mode: LimitMode) -> Limit:
        per_s = self._partners[group].habit.limit_per_s
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
        """Add the calls that were given up to those that were made; how many there are."""
        wall_s = time.time() - self._now() / 1000.0
        found = [
            (max(at - LEASE_WAIT_MS, 0.0), number, self._number(endpoint))
            for number in range(self.day.senders)
            for at, endpoint in given_up(self._folder / "fleet" / name_of(number) / "log", wall_s)
        ]
        self.recorded.calls += found
        return len(found)

    def _number(self, endpoint: str) -> int:
        return self._number_of[self._limit_key(self._key(endpoint))]

    def _told(self, name: str, place: Place, ids: list[str], answer: Answer, bundle: bool) -> None:
        if answer.limit_per_s:
            sender = int(self.checker.sender_of(ids[0])[1:])
            told = (self._now(), sender, self._number(name), answer.limit_per_s)
            self.recorded.partner_rates.append(told)
        super()._told(name, place, ids, answer, bundle)


@dataclass(slots=True)
class Counts:
    """Lines of one kind, by direction."""

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
"""Messages about limits; a request that asks for nothing says what was done with leases, or who waits no
more."""


def kind_of(line: bytes) -> str:
    """Which of ``KINDS`` a line about limits is; raises ``Unreadable``."""
    (message,) = Lines().feed(line)
    if not isinstance(message, LeaseRequest):
        return type(message).__name__
    if any(message.demands.values()):
        return "LeaseRequest that asks"
    if message.reports:
        return "LeaseRequest that reports" + (" and takes back" if message.demands else "")
    return "LeaseRequest that takes back"


class LineCounts:
    """The lines of one sender while ``counting``: about limits, about policies, and about limits by kind."""

    def __init__(self) -> None:
        self.counting = False
        self.limits, self.policies = Counts(), Counts()
        self.kinds = {kind: Volume() for kind in KINDS}

    def seen(self, way: Direction, line: bytes) -> None:
        """A line passes."""
        if not self.counting:
            return
        of_limits = line.startswith(b"[")
        counts = self.limits if of_limits else self.policies
        (counts.up if way is Direction.UP else counts.down).add(1, len(line))
        if of_limits:
            self.kinds[kind_of(line)].add(1, len(line))


def with_limits(day: Day) -> Day:
    """The day with a limit for each partner: one without any gets one that it never meets."""
    specs = []
    for spec in day.partners:
        if not spec.habit.limit_per_s:
            spec = replace(spec, habit=replace(spec.habit, limit_per_s=AMPLE_PER_S))
        specs.append(spec)
    return replace(day, partners=tuple(specs))


def compare(day: Day, folder: Path, mode: LimitMode) -> list[Row]:
    """A day of real instances and of hollow ones; raises ``RuntimeError`` where no fleet comes up."""
    os.environ["RELAY_LOG_LEVEL"] = "debug"  # for calls that are given up
    town = RecordedTown(with_limits(day), folder, mode)
    relays, counts = [], []
    for number in range(day.senders):
        place = folder / "fleet"
        relay, count = Relay(relay_path(place, name_of(number)), place / "allot"), LineCounts()
        relay.line_listener = count.seen
        relays.append(relay)
        counts.append(count)
    window: list[tuple[float, float]] = []  # the day's time and the clock's, at the begin and the end

    def each_s(at: float, *_: object) -> None:
        counting = WARM_MS <= at < day.length_ms
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
    made, gave_up = len(town.recorded.calls), town.record_given_up()
    policy = Policy(json.loads((folder / "sender.json").read_text())["settings"], {})
    hollow = play_hollow(day.senders, town.recorded, policy, mode, begin, end)
    seconds = (end - begin) / 1000.0
    rows = [Row("real", "town late", "p99", live.late_ms[0], "ms")]
    rows.append(Row("real", "calls", "per second", made / day.length_ms * 1000.0, "1/s"))
    rows.append(Row("real", "calls given up", "per second", gave_up / day.length_ms * 1000.0, "1/s"))
    return rows + _rows(counts, hollow, seconds) + _kind_rows(counts, hollow, seconds)


def play_hollow(
    senders: int, recorded: Recorded, policy: Policy, mode: LimitMode, begin: float, end: float
) -> list[LineCounts]:
    """The same calls by hollow senders; what each said of limits and of policies from begin to end."""
    recorded.calls.sort()
    law = TrafficLaw(len(recorded.keys), 0.0, mode=mode)
    size, booted_ms = FleetSize(senders, 1, law), SYSTEM.now()
    fleet = HollowFleet(size, policy, traffic=recorded, one_host=True, booted_ms=booted_ms)
    for when, sender, destination in recorded.failures:
        fleet.queue.at(when + HOLLOW_START_MS, fleet.call_failed, sender, destination)
    for when, sender, destination in recorded.successes:
        fleet.queue.at(when + HOLLOW_START_MS, fleet.call_served, sender, destination)
    for when, sender, destination, per_s in recorded.partner_rates:
        fleet.queue.at(when + HOLLOW_START_MS, fleet.partner_told, sender, destination, per_s)
    counts = [LineCounts() for _ in range(senders)]
    for hollow, count in zip(fleet.senders, counts, strict=True):
        assert hollow is not None  # all have begun, and none is killed
        hollow.line_listener = count.seen
    fleet.run_until(HOLLOW_START_MS + begin)
    policies = [meter.copy() for meter in fleet.policy_meters]
    for count in counts:
        count.counting = True
    fleet.run_until(HOLLOW_START_MS + end)
    for count, now, then in zip(counts, fleet.policy_meters, policies, strict=True):
        said = now.since(then)
        count.policies = Counts(said.sent, said.received)
    return counts


def _rows(real: list[LineCounts], hollow: list[LineCounts], seconds: float) -> list[Row]:
    """Means over senders, side by side, and their ratio."""
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
    """Lines and bytes a second of a mean sender, real and hollow, and their ratio."""
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
