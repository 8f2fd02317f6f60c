"""Zones, regions, the latencies between them, and network partitions.

The one-way latencies are assumptions for four regions on two continents.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

WITHIN_HOST_MS = 0.1
WITHIN_ZONE_MS = 0.2
WITHIN_REGION_MS = 0.6
BETWEEN_REGIONS_MS = (
    (0.0, 8.0, 30.0, 40.0),
    (8.0, 0.0, 25.0, 35.0),
    (30.0, 25.0, 0.0, 10.0),
    (40.0, 35.0, 10.0, 0.0),
)
ZONES_BY_REGION = (4, 4, 3, 3)
MAX_JITTER = 0.1  # fraction of the latency


@dataclass(frozen=True, slots=True)
class Zone:
    """One zone of a region."""

    number: int
    region: int


ZONES = tuple(
    Zone(number, region)
    for number, region in enumerate(
        region for region, zones in enumerate(ZONES_BY_REGION) for _ in range(zones)
    )
)


class Network:
    """Reachability and latency between zones."""

    def __init__(self, seed: int, one_host: bool = False) -> None:
        """``one_host``: everything runs on one machine."""
        self._one_host = one_host
        self._rng = Random(f"{seed}/network")
        self._isolated: list[frozenset[int]] = []  # sets of zones, each cut off from all others

    def isolate(self, zones: frozenset[int]) -> None:
        """Cut zones off from all others; they stay connected among themselves."""
        self._isolated.append(zones)

    def heal(self, zones: frozenset[int]) -> None:
        """End an isolation."""
        self._isolated.remove(zones)

    def reachable(self, one: Zone, other: Zone) -> bool:
        """Whether two zones can reach each other now."""
        return all((one.number in zones) is (other.number in zones) for zones in self._isolated)

    def latency_ms(self, one: Zone, other: Zone) -> float:
        """One-way latency between two zones, without jitter."""
        if self._one_host:
            return WITHIN_HOST_MS
        if one.number == other.number:
            return WITHIN_ZONE_MS
        if one.region == other.region:
            return WITHIN_REGION_MS
        return BETWEEN_REGIONS_MS[one.region][other.region]

    def jitter(self) -> float:
        """A random factor for the latency of one message."""
        return 1.0 + MAX_JITTER * self._rng.random()


def zone_of(number: int) -> Zone:
    """The zone of a sender or control process: round-robin by number."""
    return ZONES[number % len(ZONES)]
