"""Compares the calls in each span with the limit, by the status of the limit during the span.

A span covers the ``span_ms`` from a call on and counts the calls to its destination; spans that begin between
calls hold no more. Classes of spans:

    exposed   overlaps the ``EXPOSURE_MS`` after a binding, a jump of demand or a change of the limit
    takeover  overlaps the time in which the limit's allocator is down or learning
    bound     neither, and the limit is bound throughout
    free      all others
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

import numpy as np
from numpy.typing import NDArray

from springspread.faults.hollow.history import History
from springspread.fleet.lease_cache import FRESH_MS
from springspread.fleet.limits import Limit

EXPOSURE_MS = FRESH_MS


class SpanClass(IntEnum):
    """See the module's docstring."""

    FREE = 0
    BOUND = 1
    EXPOSED = 2
    TAKEOVER = 3


@dataclass(frozen=True, slots=True)
class SpanStats:
    """Number of spans, maximum ratio of calls to N and to ``Limit.tolerated``, and how many exceed each."""

    spans: int
    ratio: float
    ratio_tolerated: float
    above: int
    above_tolerated: int


@dataclass(frozen=True, slots=True)
class Spans:
    """Columns of all spans of a run: begin (ms), destination, calls, limit in force and class."""

    begins: NDArray[np.float64]
    destinations: NDArray[np.int64]
    calls: NDArray[np.int64]
    limits: NDArray[np.float64]
    classes: NDArray[np.int8]

    def stats(self, one: SpanClass, begin: float = 0.0, destination: int | None = None) -> SpanStats:
        """Statistics of one class of spans that begin from a time on, optionally for one destination."""
        chosen = (self.classes == one) & (self.begins >= begin)
        if destination is not None:
            chosen &= self.destinations == destination
        return self._stats(chosen)

    def stats_after(self, moments: Mapping[int, float]) -> SpanStats:
        """Statistics of the spans that begin at or after the moment given for each destination."""
        chosen = np.zeros(len(self.begins), dtype=np.bool_)
        for destination, moment in moments.items():
            chosen |= (self.destinations == destination) & (self.begins >= moment)
        return self._stats(chosen)

    def _stats(self, chosen: NDArray[np.bool_]) -> SpanStats:
        calls, limits = self.calls[chosen].astype(float), self.limits[chosen]
        if not len(calls):
            return SpanStats(0, 0.0, 0.0, 0, 0)
        tolerated = limits + 2.0 * np.sqrt(limits) + 2.0
        ratio, ratio_tolerated = calls / limits, calls / tolerated
        return SpanStats(
            len(calls),
            float(ratio.max()),
            float(ratio_tolerated.max()),
            int((ratio > 1.0).sum()),
            int((ratio_tolerated > 1.0).sum()),
        )


def find_spans(history: History, limits: list[Limit], shard_of: list[int], span_ms: float) -> Spans:
    """All spans of a run. ``limits`` (initial ones) and ``shard_of`` are by destination."""
    times = np.frombuffer(history.times, dtype=np.float64)
    unsorted = np.frombuffer(history.destinations, dtype=np.int64)
    order = np.lexsort((times, unsorted))
    begins, destinations = times[order], unsorted[order]
    stride = float(times.max() if len(times) else 0.0) + 10.0 * span_ms
    positions = destinations * stride + begins
    calls = np.searchsorted(positions, positions + span_ms - 1e-3, side="left") - np.arange(len(positions))
    limit_calls = np.array([limit.calls for limit in limits], dtype=float)[destinations]
    classes = np.full(len(positions), SpanClass.FREE, dtype=np.int8)
    spans = Spans(begins, destinations, calls, limit_calls, classes)
    for destination in history.statuses.keys() | history.jumps.keys() | history.limits.keys():
        _classify(history, spans, destination, span_ms)
    shards = np.array(shard_of)[destinations] if len(destinations) else destinations
    for shard, begin, end in history.takeovers:
        overlaps = (shards == shard) & (begins < end) & (begins + span_ms > begin)
        classes[overlaps] = SpanClass.TAKEOVER
    return spans


def _classify(history: History, spans: Spans, destination: int, span_ms: float) -> None:
    """Set the classes and changed limits of one destination's spans."""
    begin, end = np.searchsorted(spans.destinations, [destination, destination + 1])
    begins, classes = spans.begins[begin:end], spans.classes[begin:end]
    statuses = history.statuses.get(destination, [])
    changes = history.limits.get(destination, [])
    moments = [when for when, _ in statuses]
    for index, when in enumerate(begins):
        past = bisect_right(moments, when)
        if past and statuses[past - 1][1] and (past == len(moments) or moments[past] >= when + span_ms):
            classes[index] = SpanClass.BOUND
    exposed = [when for when, bound in statuses if bound]
    exposed += history.jumps.get(destination, [])
    exposed += [when for when, _ in changes]
    for when in exposed:
        classes[(begins < when + EXPOSURE_MS) & (begins + span_ms > when)] = SpanClass.EXPOSED
    for when, limit in changes:
        spans.limits[begin:end][begins >= when] = limit.calls
