"""A modelled TCP connection between a sender and a control process: ordered bytes with latency."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from springspread.faults.hollow.events import EventQueue
from springspread.faults.hollow.network import Network, Zone
from springspread.fleet.limits import Owner
from springspread.fleet.wire import Lines


class Acceptor(Protocol):
    """A control process that senders connect to."""

    zone: Zone
    alive: bool
    connections: dict[Connection, None]

    def accept(self, connection: Connection) -> None:
        """A connection is open."""

    def data_received(self, connection: Connection, data: bytes) -> None:
        """Handle bytes from a sender."""

    def closed(self, connection: Connection) -> None:
        """A connection has ended."""


class Connector(Protocol):
    """A sender's end of its connections to one control process."""

    zone: Zone

    def opened(self, connection: Connection) -> None:
        """The requested connection is open."""

    def data_received(self, connection: Connection, data: bytes) -> None:
        """Handle bytes from the control process."""

    def lost(self) -> None:
        """The connection could not be made, or has ended."""


class Connection:
    """Both ends and the bytes in flight, which are lost when the connection ends."""

    __slots__ = (
        "_arrives_down",
        "_arrives_up",
        "_network",
        "_queue",
        "_transit_ms",
        "acceptor",
        "connector",
        "down_lines",
        "open",
        "owner",
        "up_lines",
    )

    def __init__(self, queue: EventQueue, network: Network, connector: Connector, acceptor: Acceptor) -> None:
        self._queue, self._network = queue, network
        self.connector, self.acceptor = connector, acceptor
        self.owner: Owner | None = None  # as the control process knows the sender
        self.up_lines, self.down_lines = Lines(), Lines()
        self._transit_ms = network.latency_ms(connector.zone, acceptor.zone)
        self._arrives_up = self._arrives_down = 0.0
        self.open = False
        queue.at(queue.now + 2.0 * self._transit_ms * network.jitter(), self._open)

    def _open(self) -> None:
        reachable = self._network.reachable(self.connector.zone, self.acceptor.zone)
        if not self.acceptor.alive or not reachable:
            self.connector.lost()
            return
        self.open = True
        self.acceptor.connections[self] = None
        self.acceptor.accept(self)
        self.connector.opened(self)

    def send_up(self, data: bytes) -> None:
        """Write from the sender."""
        self._arrives_up = self._arrival(self._arrives_up)
        self._queue.at(self._arrives_up, self._deliver, self.acceptor.data_received, data)

    def send_down(self, data: bytes) -> None:
        """Write from the control process."""
        self._arrives_down = self._arrival(self._arrives_down)
        self._queue.at(self._arrives_down, self._deliver, self.connector.data_received, data)

    def _arrival(self, earlier: float) -> float:
        return max(self._queue.now + self._transit_ms * self._network.jitter(), earlier)

    def _deliver(self, handler: Callable[[Connection, bytes], None], data: bytes) -> None:
        if self.open:
            handler(self, data)

    def close(self) -> None:
        """Break the connection; both ends notice immediately."""
        if self.open:
            self.open = False
            del self.acceptor.connections[self]
            self.acceptor.closed(self)
            self.connector.lost()
