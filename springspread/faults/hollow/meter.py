"""What one process of the fleet has written, read and computed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

HEADER_BYTES = 60  # of TCP, IP and Ethernet, for each write


@dataclass(slots=True)
class Volume:
    """One direction. ``bytes`` is payload alone."""

    writes: int = 0
    messages: int = 0
    bytes: int = 0

    def add(self, messages: int, size: int) -> None:
        """One write of so many messages and bytes."""
        self.writes += 1
        self.messages += messages
        self.bytes += size

    def since(self, before: Volume) -> Volume:
        """What was added after an earlier state."""
        return Volume(self.writes - before.writes, self.messages - before.messages, self.bytes - before.bytes)

    def plus(self, other: Volume) -> Volume:
        """Both together."""
        return Volume(self.writes + other.writes, self.messages + other.messages, self.bytes + other.bytes)

    @property
    def wire_bytes(self) -> int:
        """Bytes with the headers of each write."""
        return self.bytes + HEADER_BYTES * self.writes


@dataclass(slots=True)
class Meter:
    """Both directions as the process sees them, and the nanoseconds that its control code took."""

    sent: Volume = field(default_factory=Volume)
    received: Volume = field(default_factory=Volume)
    cpu_ns: int = 0

    def copy(self) -> Meter:
        """Its state now."""
        return Meter(replace(self.sent), replace(self.received), self.cpu_ns)

    def since(self, before: Meter) -> Meter:
        """What was added after an earlier state."""
        sent, received = self.sent.since(before.sent), self.received.since(before.received)
        return Meter(sent, received, self.cpu_ns - before.cpu_ns)

    def plus(self, other: Meter) -> Meter:
        """Both together."""
        sent, received = self.sent.plus(other.sent), self.received.plus(other.received)
        return Meter(sent, received, self.cpu_ns + other.cpu_ns)
