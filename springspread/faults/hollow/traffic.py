"""The traffic model: times, senders and destinations of calls, and the limits of destinations.

Calls are a Poisson process. Destinations follow Zipf's law: the one of rank k has a weight of k to the power
of -``exponent``, and no destination gets more than ``hottest_share`` of all calls. Senders are drawn
uniformly. A limit is ``headroom`` times the mean demand of its destination per ``span_ms``, and at least
``min_calls``; a ``tight_fraction`` of the destinations has ``tight_headroom`` instead. Destinations that are
down are drawn uniformly over all ranks; senders make ``down_attempts`` of the calls to them, and all of these
fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import numpy as np
from numpy.typing import NDArray

from springspread.fleet.limits import Limit, LimitMode


@dataclass(frozen=True, slots=True)
class TrafficModel:
    """Parameters of the model; see the module's docstring."""

    destinations: int
    per_s: float
    down_fraction: float = 0.028
    down_attempts: float = 0.5
    exponent: float = 0.9
    hottest_share: float = 0.005
    headroom: float = 2.0
    tight_fraction: float = 0.0
    tight_headroom: float = 1.2
    min_calls: int = 10
    span_ms: float = 2_000.0
    mode: LimitMode = LimitMode.ADAPTIVE


@dataclass(frozen=True, slots=True)
class Calls:
    """Calls of an interval, in order: times (ms), numbers of senders and destinations."""

    times: list[float]
    senders: list[int]
    destinations: list[int]


class CallSource(Protocol):
    """Source of a fleet's calls and limits; ``keys`` is indexed by destination."""

    keys: list[str]
    down: NDArray[np.bool_]

    def draw(self, begin: float, length_ms: float) -> Calls:
        """The calls of an interval."""

    def limit(self, destination: int) -> Limit:
        """The limit of a destination."""

    def scale_demand(self, destination: int, factor: float) -> None:
        """Scale a destination's mean demand from the next interval on."""

    def recover(self, destination: int) -> None:
        """A destination is no longer down from the next interval on."""


class Traffic:
    """Draws calls for consecutive intervals. ``down`` flags the destinations that are down."""

    def __init__(self, model: TrafficModel, senders: int, seed: int) -> None:
        self.model, self._senders = model, senders
        self.keys = [key_of(number) for number in range(model.destinations)]
        self._rng = np.random.default_rng([seed, 1])
        setup_rng = np.random.default_rng([seed, 2])
        ranks = np.arange(1, model.destinations + 1, dtype=float)
        share = _capped(ranks**-model.exponent, model.hottest_share)
        self.rates: NDArray[np.float64] = model.per_s * share  # calls/s by destination
        self.down = np.zeros(model.destinations, dtype=bool)
        count = round(model.down_fraction * model.destinations)
        self.down[setup_rng.choice(model.destinations, count, replace=False)] = True
        self._tight = setup_rng.random(model.destinations) < model.tight_fraction
        self._factors: dict[int, float] = {}
        self._update_rates()

    def scale_demand(self, destination: int, factor: float) -> None:
        """Scale a destination's mean demand from the next interval on."""
        self._factors[destination] = factor
        self._update_rates()

    def recover(self, destination: int) -> None:
        """A destination is no longer down from the next interval on."""
        self.down[destination] = False
        self._update_rates()

    def _update_rates(self) -> None:
        rates = self.rates.copy()
        for destination, factor in self._factors.items():
            rates[destination] *= factor
        rates[self.down] *= self.model.down_attempts
        self._total = float(rates.sum())
        self._cumulative = np.cumsum(rates) / self._total

    def draw(self, begin: float, length_ms: float) -> Calls:
        """The calls of an interval."""
        rng = self._rng
        count = int(rng.poisson(self._total * length_ms / 1000.0))
        times = np.sort(rng.uniform(begin, begin + length_ms, count))
        senders = rng.integers(0, self._senders, count)
        drawn = np.searchsorted(self._cumulative, rng.random(count), side="right")
        destinations = np.minimum(drawn, self.model.destinations - 1)
        return Calls(times.tolist(), senders.tolist(), destinations.tolist())

    def limit(self, destination: int) -> Limit:
        """The limit of a destination, from its mean demand."""
        model = self.model
        headroom = model.tight_headroom if self._tight[destination] else model.headroom
        calls = headroom * float(self.rates[destination]) * model.span_ms / 1000.0
        return Limit(max(model.min_calls, round(calls)), model.span_ms, model.mode)


def key_of(destination: int) -> str:
    """The key of a destination's limit, as ``fleet.client.key_of`` makes it."""
    return f"g{destination}"


def _capped(weights: NDArray[np.float64], max_share: float) -> NDArray[np.float64]:
    """Shares that sum to one, none above ``max_share`` if possible."""
    share: NDArray[np.float64] = weights / weights.sum()
    max_share = max(max_share, 1.5 / len(share))
    for _ in range(100):
        above = share > max_share
        if not above.any():
            break
        rest = share[~above].sum()
        share[~above] *= (1.0 - max_share * above.sum()) / rest
        share[above] = max_share
    return share
