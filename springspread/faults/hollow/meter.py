"""Traffic and CPU time of one process of the fleet."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

HEADER_BYTES = 60  # TCP, IP and Ethernet headers of a write


@dataclass(slots=True)
class Volume:
    """Traffic in one direction; ``bytes`` counts the payload only."""

    writes: int = 0
    messages: int = 0
    bytes: int = 0

    def add(self, messages: int, size: int) -> None:
        """Count one write."""
        self.writes += 1
        self.messages += messages
        self.bytes += size

    def since(self, before: Volume) -> Volume:
        """The difference to an earlier copy."""
        return Volume(self.writes - before.writes, self.messages - before.messages, self.bytes - before.bytes)

    def plus(self, other: Volume) -> Volume:
        """The sum of both."""
        return Volume(self.writes + other.writes, self.messages + other.messages, self.bytes + other.bytes)

    @property
    def wire_bytes(self) -> int:
        """Bytes including the headers of each write."""
        return self.bytes + HEADER_BYTES * self.writes


@dataclass(slots=True)
class Meter:
    """Traffic in both directions as the process sees it, and the CPU time of its control code."""

    sent: Volume = field(default_factory=Volume)
    received: Volume = field(default_factory=Volume)
    cpu_ns: int = 0

    def copy(self) -> Meter:
        """A snapshot."""
        return Meter(replace(self.sent), replace(self.received), self.cpu_ns)

    def since(self, before: Meter) -> Meter:
        """The difference to an earlier copy."""
        sent, received = self.sent.since(before.sent), self.received.since(before.received)
        return Meter(sent, received, self.cpu_ns - before.cpu_ns)

    def plus(self, other: Meter) -> Meter:
        """The sum of both."""
        sent, received = self.sent.plus(other.sent), self.received.plus(other.received)
        return Meter(sent, received, self.cpu_ns + other.cpu_ns)
