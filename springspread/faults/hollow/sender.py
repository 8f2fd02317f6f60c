"""A hollow sender: the real session, lease cache, coding and policy participant, without a data plane.

It talks to each shard's allocator over a connection of its own, as ``fleet.client`` does with the one that
it has: what is due is written at once when a call gets no right, else when the session's wait is over. A
call without a right asks again when anything arrives, and every ``POLL_MS``, for ``LEASE_WAIT_MS``; then it
is given up. A call to a destination that is down fails at once.
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
    """A call that got no right at first."""

    destination: int
    key: str
    since: float


CallListener = Callable[[float, int], None]
"""Is told of a call that begins: when, and its destination."""

LineListener = Callable[[Direction, bytes], None]
"""Is told of each line about limits, with its direction."""

WaitListener = Callable[["HollowSender", WaitingCall, float, bool], None]
"""Is told how a held-up call ended: when, and whether it began or was given up."""


class ShardSession:
    """One sender's talk with one shard's allocator, over one connection after the other."""

    __slots__ = ("_connection", "_wake_at", "cache", "sender", "session", "shard", "waiting", "zone")

    def __init__(self, sender: HollowSender, shard: Acceptor, cache: LeaseCache) -> None:
        self.sender, self.shard, self.cache = sender, shard, cache
        self.zone = sender.zone
        self.session = SenderSession(sender.name, sender.epoch, FLEET, cache)
        self.waiting: list[WaitingCall] = []
        self._connection: Connection | None = None
        self._wake_at = inf
        self._connect()

    def _connect(self) -> None:
        if self.sender.alive:
            Connection(self.sender.queue, self.sender.network, self, self.shard)

    def opened(self, connection: Connection) -> None:
        """The connection is open: register, and say again what the one before may have lost."""
        if not self.sender.alive:
            connection.close()
            return
        self._connection = connection
        queue, meter = self.sender.queue, self.sender.meter
        begun = perf_counter_ns()
        messages = self.session.connected(queue.clock)
        data = b"".join(map(encode, messages))
        meter.cpu_ns += perf_counter_ns() - begun
        meter.sent.add(len(messages), len(data))
        self.sender.lines_pass(Direction.UP, data)
        connection.send_up(data)
        self._wake(queue.now)

    def lost(self) -> None:
        """There is no connection; the next try comes after a while."""
        self._connection = None
        self._wake_at = inf
        self.sender.queue.at(self.sender.queue.now + RECONNECT_MS, self._connect)

    def close(self) -> None:
        """The process is killed."""
        self.waiting.clear()
        if self._connection is not None:
            self._connection.close()

    def _wake(self, at: float) -> None:
        if at < self._wake_at:
            self._wake_at = at
            self.sender.queue.at(at, self._talk, at)

    def _talk(self, planned: float) -> None:
        connection, sender = self._connection, self.sender
        if planned != self._wake_at:
            return  # it woke before
        self._wake_at = inf
        if connection is None:
            return  # it wakes as the next one opens
        clock, meter = sender.queue.clock, sender.meter
        begun = perf_counter_ns()
        due = self.session.due(clock)
        data = b"".join(map(encode, due))
        wait_ms = self.session.wait_ms(clock)
        meter.cpu_ns += perf_counter_ns() - begun
        if due:
            meter.sent.add(len(due), len(data))
            sender.lines_pass(Direction.UP, data)
            connection.send_up(data)
        self._wake(sender.queue.now + max(wait_ms, 0.1))

    def arrived(self, connection: Connection, data: bytes) -> None:
        """Bytes of the allocator have come in."""
        sender = self.sender
        clock, meter = sender.queue.clock, sender.meter
        begun = perf_counter_ns()
        messages = connection.down_lines.feed(data)
        for message in messages:
            assert isinstance(message, Welcome | KeyStatuses | LeaseGrants)
            self.session.received(clock, message)
        meter.cpu_ns += perf_counter_ns() - begun
        meter.received.add(len(messages), len(data))
        sender.lines_pass(Direction.DOWN, data)
        for call in list(self.waiting):
            self._try(call)

    def partner_told(self, key: str, per_s: float) -> None:
        """A partner tells its limit (calls a second)."""
        if self.session.set_partner_rate(key, per_s):
            self._wake(self.sender.queue.now)

    def served(self, key: str) -> None:
        """A call was served."""
        if self.cache.served(key):
            self._wake(self.sender.queue.now)

    def call(self, destination: int, key: str) -> bool:
        """A call wants to begin; whether it does now. Otherwise it waits."""
        now, clock = self.sender.queue.now, self.sender.queue.clock
        begun = perf_counter_ns()
        wait_ms = self.cache.take(key, clock)
        early = self.cache.reports_early
        self.sender.meter.cpu_ns += perf_counter_ns() - begun
        if early:
            self._wake(now)
        if wait_ms == 0.0:
            return True
        call = WaitingCall(destination, key, now)
        self.waiting.append(call)
        self._wake(now)
        self.sender.queue.at(now + POLL_MS, self._retry, call)
        return False

    def _retry(self, call: WaitingCall) -> None:
        if call in self.waiting and not self._try(call):
            self.sender.queue.at(self.sender.queue.now + POLL_MS, self._retry, call)

    def _try(self, call: WaitingCall) -> bool:
        """Whether a waiting call has come to its end."""
        now, clock = self.sender.queue.now, self.sender.queue.clock
        begun = perf_counter_ns()
        wait_ms = self.cache.take(call.key, clock, waiting=True)
        self.sender.meter.cpu_ns += perf_counter_ns() - begun
        if wait_ms > 0.0:
            self._wake(now)
            if now < call.since + LEASE_WAIT_MS:
                return False
        self.waiting.remove(call)
        self.sender.wait_ended(self.sender, call, now, wait_ms == 0.0)
        return True


class HollowSender:
    """One process of a sender; a restart is another one with the next epoch and the same meter."""

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
        """``shards``: the allocators, in the order in which ``sessions`` is indexed."""
        self.queue, self.network, self.zone, self.meter = queue, network, zone, meter
        self.number, self.name, self.epoch = number, f"n{number:04}", epoch
        self.wait_ended = wait_ended
        self.line_listener: LineListener | None = None
        self.alive = True
        self.sessions = [ShardSession(self, shard, LeaseCache()) for shard in shards]

    def lines_pass(self, way: Direction, data: bytes) -> None:
        """Lines about limits are written or read."""
        if self.line_listener is not None:
            for line in data.splitlines(keepends=True):
                self.line_listener(way, line)

    def kill(self) -> None:
        """The process ends: its connections break, its leases and unreported calls are lost."""
        self.alive = False
        for session in self.sessions:
            session.close()
