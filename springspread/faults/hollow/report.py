"""Measurements of a run of a hollow fleet, as rows of role, quantity, statistic, value and unit."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import sha256

import numpy as np

from springspread.faults.hollow.fleet import HollowFleet
from springspread.faults.hollow.history import HeldUp
from springspread.faults.hollow.memory import reachable_bytes
from springspread.faults.hollow.meter import Meter, Volume
from springspread.faults.hollow.spans import SpanClass, SpanStats, find_spans

SAMPLED_SENDERS = 12  # senders whose memory is measured
NOTICEABLE_MS = 50.0  # longer waits are counted separately


@dataclass(frozen=True, slots=True)
class Row:
    """One measured value."""

    role: str
    what: str
    statistic: str
    value: float
    unit: str


class Measurement:
    """Measures from its construction on."""

    def __init__(self, fleet: HollowFleet) -> None:
        self._fleet = fleet
        self._begin = fleet.queue.now
        self._senders = fleet.sender_meters()
        self._allocators = [allocator.meter.copy() for allocator in fleet.allocators]
        self._coordinator = fleet.coordinator.meter.copy()
        self._offered, self._without_sender = fleet.offered, fleet.without_sender
        self._causes = bindings_by_cause(fleet)

    def rows(self) -> list[Row]:
        """All values measured so far."""
        fleet = self._fleet
        seconds = (fleet.queue.now - self._begin) / 1000.0
        senders = [now.since(then) for now, then in zip(fleet.sender_meters(), self._senders, strict=True)]
        allocators = [
            now.meter.since(then) for now, then in zip(fleet.allocators, self._allocators, strict=True)
        ]
        coordinators = [fleet.coordinator.meter.since(self._coordinator)]
        return [
            *process_rows("sender", senders, seconds),
            *process_rows("allocator", allocators, seconds),
            *process_rows("policy", coordinators, seconds),
            *self._memory_rows(),
            *self._call_rows(seconds),
            *self._held_up_rows(),
            *self._span_rows(),
        ]

    def _memory_rows(self) -> list[Row]:
        fleet = self._fleet
        sender_states = []
        for sender in [sender for sender in fleet.senders if sender is not None][:SAMPLED_SENDERS]:
            sessions = [part for one in sender.sessions for part in (one.cache, one.session)]
            sender_states.append(reachable_bytes(sessions) / 1e6)
        allocator_states = [reachable_bytes([allocator.control]) / 1e6 for allocator in fleet.allocators]
        return [
            *distribution_rows("sender", "memory of control state", sender_states, "MB"),
            *distribution_rows("allocator", "memory of control state", allocator_states, "MB"),
        ]

    def _call_rows(self, seconds: float) -> list[Row]:
        fleet = self._fleet
        rows = [
            Row("fleet", "calls offered", "per second", (fleet.offered - self._offered) / seconds, "1/s"),
            Row(
                "fleet", "calls without a sender", "sum", fleet.without_sender - self._without_sender, "calls"
            ),
            Row("fleet", "limits bound", "at the end", bound_now(fleet), "limits"),
        ]
        for cause, count in bindings_by_cause(fleet).items():
            rate = (count - self._causes.get(cause, 0)) / seconds
            rows.append(Row("fleet", f"bindings: {cause}", "per second", rate, "1/s"))
        return rows

    def _held_up_rows(self) -> list[Row]:
        fleet = self._fleet
        held_up = [one for one in fleet.history.held_up if one.since >= self._begin]
        calls = max(fleet.offered - self._offered, 1)
        up = [one for one in held_up if not fleet.traffic.down[one.destination]]
        at_recovery = sum(one.destination in fleet.history.returns for one in held_up)
        waits = [one.wait_ms for one in held_up if one.began]
        noticeable = sum(one.wait_ms > NOTICEABLE_MS for one in up)
        rows = [
            Row("fleet", "calls held up", "part of all", len(held_up) / calls, "1"),
            Row("fleet", "calls held up, destination up", "part of all", len(up) / calls, "1"),
            Row("fleet", f"... for over {NOTICEABLE_MS:.0f} ms", "part of all", noticeable / calls, "1"),
            Row("fleet", "calls given up", "part of all", count_given_up(held_up) / calls, "1"),
            Row("fleet", "calls given up, destination up", "part of all", count_given_up(up) / calls, "1"),
            Row("fleet", "calls held up, at a return", "part of all", at_recovery / calls, "1"),
        ]
        return rows + (distribution_rows("fleet", "wait of calls held up", waits, "ms") if waits else [])

    def _span_rows(self) -> list[Row]:
        fleet = self._fleet
        spans = find_spans(fleet.history, fleet.limits, fleet.shard_of, fleet.size.model.span_ms)
        rows = []
        for one in SpanClass:
            rows += span_rows(f"spans {one.name.lower()}", spans.stats(one, self._begin))
        if fleet.history.returns:
            rows += span_rows("spans after a return", spans.stats_after(fleet.history.returns))
        return rows


def span_rows(name: str, found: SpanStats) -> list[Row]:
    """The statistics of one kind of span."""
    return [
        Row("limit", name, "count", found.spans, "spans"),
        Row("limit", name, "most calls by N", found.ratio, "1"),
        Row("limit", name, "most calls by N + 2 root N + 2", found.ratio_tolerated, "1"),
        Row("limit", name, "above N", found.above, "spans"),
        Row("limit", name, "above N + 2 root N + 2", found.above_tolerated, "spans"),
    ]


def count_given_up(held_up: Iterable[HeldUp]) -> int:
    """The number of held-up calls that never began."""
    return sum(not one.began for one in held_up)


def process_rows(role: str, meters: Sequence[Meter], seconds: float) -> list[Row]:
    """Traffic and CPU usage per second of the processes of one role."""
    rows = []
    for direction, volumes in (("up", [m.sent for m in meters]), ("down", [m.received for m in meters])):
        if role != "sender":
            direction = "sent" if direction == "up" else "received"
        rows += volume_rows(role, direction, volumes, seconds)
    both = [(m.sent.wire_bytes + m.received.wire_bytes) / seconds for m in meters]
    rows += distribution_rows(role, "bytes both ways with headers", both, "B/s")
    rows += distribution_rows(role, "processor", [m.cpu_ns / 1e7 / seconds for m in meters], "% of a core")
    return rows


def volume_rows(role: str, direction: str, volumes: Sequence[Volume], seconds: float) -> list[Row]:
    """Traffic per second in one direction."""
    return [
        *distribution_rows(role, f"messages {direction}", [v.messages / seconds for v in volumes], "1/s"),
        *distribution_rows(role, f"writes {direction}", [v.writes / seconds for v in volumes], "1/s"),
        *distribution_rows(role, f"payload {direction}", [v.bytes / seconds for v in volumes], "B/s"),
        *distribution_rows(
            role, f"bytes {direction} with headers", [v.wire_bytes / seconds for v in volumes], "B/s"
        ),
    ]


def distribution_rows(role: str, what: str, values: Sequence[float], unit: str) -> list[Row]:
    """Median, 99th percentile and maximum."""
    return [
        Row(role, what, "median", float(np.percentile(values, 50)), unit),
        Row(role, what, "p99", float(np.percentile(values, 99)), unit),
        Row(role, what, "most", float(max(values)), unit),
    ]


def bindings_by_cause(fleet: HollowFleet) -> dict[str, int]:
    """How often limits were bound, by cause, since the last start of each allocator."""
    found: dict[str, int] = {}
    for allocator in fleet.allocators:
        for cause, count in allocator.control.causes.items():
            found[cause.value] = found.get(cause.value, 0) + count
    return found


def bound_now(fleet: HollowFleet) -> int:
    """The number of limits that require leases now."""
    return sum(entries[-1][1] for entries in fleet.history.statuses.values())


def digest(fleet: HollowFleet) -> str:
    """SHA-256 of the history of a run, without CPU times: depends on the seed alone."""
    history, hasher = fleet.history, sha256()
    for values in (history.times, history.destinations, history.senders):
        hasher.update(values.tobytes())
    hasher.update(repr(history.held_up).encode())
    hasher.update(repr(sorted(history.statuses.items())).encode())
    hasher.update(repr([(meter.sent, meter.received) for meter in fleet.sender_meters()]).encode())
    return hasher.hexdigest()
