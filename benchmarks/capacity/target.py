"""The target size of the fleet and derived figures."""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Target:
    """Sizes and budgets of the fleet. Bytes and shares are per sender."""

    senders: int = 1_100
    events_per_s: float = 200_000.0
    destinations: int = 140_000
    down_share: float = 0.028
    backlog: float = 3.5e9
    regions: int = 4
    zones: int = 14
    changes_per_day: float = 1_600.0
    force_ms: float = 7_000.0
    control_core_share: float = 0.038
    control_memory_bytes: float = 128e6
    control_bytes_per_s: float = 6_000.0
    header_bytes: float = 60.0
    control_machines: int = 12
    cores: int = 8
    restarts_per_day: float = 250.0
    ready_ms: float = 10_000.0
    held_up_share: float = 0.001

    @property
    def events_per_sender(self) -> float:
        """Events per second and sender."""
        return self.events_per_s / self.senders

    @property
    def control_ms_per_s(self) -> float:
        """CPU time for control per second and sender."""
        return 1_000.0 * self.control_core_share

    @property
    def bytes_per_event(self) -> float:
        """Control bytes per event."""
        return self.control_bytes_per_s / self.events_per_sender

    @property
    def sender_us_per_event(self) -> float:
        """CPU time of a sender's control per event."""
        return 1_000.0 * self.control_ms_per_s / self.events_per_sender

    @property
    def machines_us_per_event(self) -> float:
        """CPU time of all control machines per event."""
        return 1e6 * self.control_machines * self.cores / self.events_per_s

    @property
    def down(self) -> float:
        """Destinations that are down at any time."""
        return self.down_share * self.destinations

    @property
    def events_per_destination(self) -> float:
        """Mean events per second and destination."""
        return self.events_per_s / self.destinations

    @property
    def backlog_per_sender(self) -> float:
        """Undelivered messages per sender."""
        return self.backlog / self.senders

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / DAY_S


TARGET = Target()
