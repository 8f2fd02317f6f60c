"""A hollow sender: the real session, lease cache, encoding and policy participant, without a data plane.

It keeps one connection to each shard's allocator and writes like ``fleet.client``: immediately when a call
gets no lease, otherwise when the session's wait ends. A call without a lease retries on every message and
every ``POLL_MS`` and is given up after ``LEASE_WAIT_MS``. A call to a destination that is down fails at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from time import perf_counter_ns

from springspread.faults.hollow.allocator import FLEET
from springspread.faults.hollow.connection import Acceptor, Connection
from springspread.faults.hollow.events import EventQueue
from springspread.faults.hollow.meter import Meter
from springspread.faults.hollow.network import Network, Zone
from springspread.faults.relay import Direction
from springspread.fleet.client import LEASE_WAIT_MS, RECONNECT_MS
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.messages import KeyStatuses, LeaseGrants, Welcome
from springspread.fleet.sender_session import POLL_MS, SenderSession
from springspread.fleet.wire import encode


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a lease."""

    destination: int
    key: str
    since: float


"""Called when a call begins, with the time and the destination."""

LineListener = Callable[[Direction, bytes], None]
"""Called with the direction and each line about limits."""

WaitListener = Callable[["HollowSender", WaitingCall, float, bool], None]
"""Called when a call has waited, with the time and whether it began or was given up."""


class ShardSession:
    """A sender's session with the allocator of one shard, across reconnections."""

    __slots__ = ("_connection", "_send_at", "cache", "sender", "session", "shard", "waiting", "zone")

    def __init__(self, sender: HollowSender, shard: Acceptor, cache: LeaseCache) -> None:
        self.sender, self.shard, self.cache = sender, shard, cache
        self.zone = sender.zone
        self.session = SenderSession(sender.name, sender.epoch, FLEET, cache)
        self.waiting: list[WaitingCall] = []
        self._connection: Connection | None = None
        self._send_at = inf
        self._connect()

    def _connect(self) -> None:
        if self.sender.alive:
            Connection(self.sender.queue, self.sender.network, self, self.shard)

    def opened(self, connection: Connection) -> None:
        """The connection is open: register, and repeat what the last connection may have lost."""
        if not self.sender.alive:
            connection.close()
            return
        self._connection = connection
        queue, meter = self.sender.queue, self.sender.meter
        start_ns = perf_counter_ns()
        messages = self.session.connected(queue.clock)
        data = b"".join(map(encode, messages))
        meter.cpu_ns += perf_counter_ns() - start_ns
        meter.sent.add(len(messages), len(data))
        self.sender.observe_lines(Direction.UP, data)
        connection.send_up(data)
        self._schedule_send(queue.now)

    def lost(self) -> None:
        """The connection was lost: reconnect after ``RECONNECT_MS``."""
        self._connection = None
        self._send_at = inf
        self.sender.queue.at(self.sender.queue.now + RECONNECT_MS, self._connect)

    def close(self) -> None:
        """Drop waiting calls and the connection, as the process is killed."""
        self.waiting.clear()
        if self._connection is not None:
            self._connection.close()

    def _schedule_send(self, at: float) -> None:
        if at < self._send_at:
            self._send_at = at
            self.sender.queue.at(at, self._send_due, at)

    def _send_due(self, planned: float) -> None:
        connection, sender = self._connection, self.sender
        if planned != self._send_at:
            return  # superseded by an earlier send
        self._send_at = inf
        if connection is None:
            return  # scheduled again when a connection opens
        clock, meter = sender.queue.clock, sender.meter
        start_ns = perf_counter_ns()
        due = self.session.due(clock)
        data = b"".join(map(encode, due))
        wait_ms = self.session.wait_ms(clock)
        meter.cpu_ns += perf_counter_ns() - start_ns
        if due:
            meter.sent.add(len(due), len(data))
            sender.observe_lines(Direction.UP, data)
            connection.send_up(data)
        self._schedule_send(sender.queue.now + max(wait_ms, 0.1))

    def data_received(self, connection: Connection, data: bytes) -> None:
        """Handle bytes from the allocator."""
        sender = self.sender
        clock, meter = sender.queue.clock, sender.meter
        start_ns = perf_counter_ns()
        messages = connection.down_lines.feed(data)
        for message in messages:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(clock, message)
        meter.cpu_ns += perf_counter_ns() - start_ns
        meter.received.add(len(messages), len(data))
        sender.observe_lines(Direction.DOWN, data)
        for call in list(self.waiting):
            self._try(call)

    def partner_rate_received(self, key: str, per_s: float) -> None:
        """A partner has announced its limit (calls per second)."""
        if self.session.set_partner_rate(key, per_s):
            self._schedule_send(self.sender.queue.now)

    def served(self, key: str) -> None:
        """A call was served."""
        if self.cache.served(key):
            self._schedule_send(self.sender.queue.now)

    def call(self, destination: int, key: str) -> bool:
        """Whether a call may begin now; otherwise it waits."""
        now, clock = self.sender.queue.now, self.sender.queue.clock
        start_ns = perf_counter_ns()
        wait_ms = self.cache.take(key, clock)
        early = self.cache.reports_early
        self.sender.meter.cpu_ns += perf_counter_ns() - start_ns
        if early:
            self._schedule_send(now)
        if wait_ms == 0.0:
            return True
        call = WaitingCall(destination, key, now)
        self.waiting.append(call)
        self._schedule_send(now)
        self.sender.queue.at(now + POLL_MS, self._retry, call)
        return False

    def _retry(self, call: WaitingCall) -> None:
        if call in self.waiting and not self._try(call):
            self.sender.queue.at(self.sender.queue.now + POLL_MS, self._retry, call)

    def _try(self, call: WaitingCall) -> bool:
        """Retry a waiting call; whether it has start_ns or was given up."""
        now, clock = self.sender.queue.now, self.sender.queue.clock
        start_ns = perf_counter_ns()
        wait_ms = self.cache.take(call.key, clock, waiting=True)
        self.sender.meter.cpu_ns += perf_counter_ns() - start_ns
        if wait_ms > 0.0:
            self._schedule_send(now)
            if now < call.since + LEASE_WAIT_MS:
                return False
        self.waiting.remove(call)
        self.sender.wait_ended(self.sender, call, now, wait_ms == 0.0)
        return True


class HollowSender:
    """One process of a sender; a restart makes another one with the next epoch and the same meter."""

    def __init__(
        self,
        queue: EventQueue,
        network: Network,
        number: int,
        epoch: int,
        zone: Zone,
        shards: list[Acceptor],
        meter: Meter,
        wait_ended: WaitListener,
    ) -> None:
        """``shards``: the allocators, in the order of ``sessions``."""
        self.queue, self.network, self.zone, self.meter = queue, network, zone, meter
        self.number, self.name, self.epoch = number, f"n{number:04}", epoch
        self.wait_ended = wait_ended
        self.line_listener: LineListener | None = None
        self.alive = True
        self.sessions = [ShardSession(self, shard, LeaseCache()) for shard in shards]

    def observe_lines(self, way: Direction, data: bytes) -> None:
        """Pass lines about limits to the listener."""
        if self.line_listener is not None:
            for line in data.splitlines(keepends=True):
                self.line_listener(way, line)

    def kill(self) -> None:
        """End the process: its connections break, its leases and unreported calls are lost."""
        self.alive = False
        for session in self.sessions:
            session.close()
