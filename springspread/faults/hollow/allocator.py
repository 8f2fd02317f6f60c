"""An allocator process of the fleet: the real ``AllocatorControl`` and encoding, with modelled sockets.

It ticks like ``fleet.allocator_server``: on new input while no sender waits for a lease, otherwise every
``TICK_MS``. Its CPU time covers decoding, decisions and encoding, without the kernel and without writing the
record, which only the variant on real sockets includes.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from time import perf_counter_ns

from springspread.faults.hollow.connection import Connection
from springspread.faults.hollow.events import EventQueue
from springspread.faults.hollow.meter import Meter
from springspread.faults.hollow.network import Zone
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl
from springspread.fleet.allocator_server import IDLE_MS, TICK_MS
from springspread.fleet.limits import CALL_SLACK_MS, PARTNER_SPAN_MS, Lease, Limit, LimitMode, Owner
from springspread.fleet.messages import (
    PROTOCOL_VERSION,
    KeyStatuses,
    LeaseRequest,
    LimitMessage,
    Register,
    UseReport,
)
from springspread.fleet.wire import encode

FLEET = "hollow"
OBSERVER = Register(PROTOCOL_VERSION, FLEET, "observer", 0)  # receives statuses at no modelled cost

StatusListener = Callable[[float, KeyStatuses], None]


class AllocatorProcess:
    """The allocator of one shard, across restarts."""

    def __init__(
        self,
        queue: EventQueue,
        name: str,
        zone: Zone,
        limits: Mapping[str, Limit],
        default_mode: LimitMode,
        listener: StatusListener,
    ) -> None:
        """``listener`` gets every broadcast of statuses."""
        self._queue, self.name, self.zone = queue, name, zone
        self.limits, self._default_mode = dict(limits), default_mode
        self._listener = listener
        self.meter = Meter()
        self.connections: dict[Connection, None] = {}
        self._by_owner: dict[Owner, Connection] = {}
        self._record: list[Lease] = []
        self.alive = False
        self._tick_at = inf
        self._busy = False  # whether a sender was waiting at the last tick
        self.leases = self.leased_calls = 0
        self.start()

    def start(self, successor: bool = False, with_record: bool = True) -> None:
        """Start a process. A ``successor`` knows its predecessor's leases if started ``with_record``."""
        clock = self._queue.clock
        allocator = Allocator(slack_ms=CALL_SLACK_MS)
        if successor and with_record:
            allocator.restore(self._record)
        elif successor:
            allocator.assume_exhausted(clock)
        self.control = AllocatorControl(FLEET, self._default_mode, self.limits, allocator, clock, successor)
        self._observer = self.control.register(clock, OBSERVER)
        self.alive = True
        self._tick_at, self._busy = inf, False
        self._schedule(self._queue.now)

    def kill(self) -> None:
        """End the process without notice."""
        self.alive = False
        for connection in list(self.connections):
            connection.close()

    def change_limit(self, key: str, limit: Limit) -> None:
        """Change one limit immediately, as operators do."""
        self.limits[key] = limit
        self.control.set_limit(self._queue.clock, key, limit)
        self._request_tick()

    def accept(self, connection: Connection) -> None:
        """A connection is open; its sender is unknown until it registers."""

    def data_received(self, connection: Connection, data: bytes) -> None:
        """Handle bytes from a sender."""
        clock = self._queue.clock
        start_ns = perf_counter_ns()
        messages = connection.up_lines.feed(data)
        for message in messages:
            if isinstance(message, Register):
                connection.owner = self.control.register(clock, message)
                self._by_owner[connection.owner] = connection
            else:
                assert isinstance(message, LeaseRequest | UseReport) and connection.owner is not None
                self.control.received(clock, connection.owner, message)
        self.meter.cpu_ns += perf_counter_ns() - start_ns
        self.meter.received.add(len(messages), len(data))
        self._request_tick()

    def closed(self, connection: Connection) -> None:
        """A connection has ended."""
        owner = connection.owner
        if owner is not None and self._by_owner.get(owner) is connection:
            del self._by_owner[owner]
            self.control.unregister(owner)

    def _request_tick(self) -> None:
        if not self._busy:  # otherwise a tick is scheduled anyway
            self._schedule(self._queue.now)

    def _schedule(self, at: float) -> None:
        if at < self._tick_at:
            self._tick_at = at
            self._queue.at(at, self._tick, at)

    def _tick(self, planned: float) -> None:
        if planned != self._tick_at or not self.alive:
            return  # superseded by an earlier tick
        self._tick_at = inf
        now, clock = self._queue.now, self._queue.clock
        start_ns = perf_counter_ns()
        leases = self.control.tick(clock)
        self.control.grant(clock, leases)
        outgoing = self.control.take_messages()
        observed = outgoing.pop(self._observer, [])
        encoded = [(owner, b"".join(map(encode, messages))) for owner, messages in outgoing.items()]
        self.meter.cpu_ns += perf_counter_ns() - start_ns
        for owner, data in encoded:
            if (connection := self._by_owner.get(owner)) is not None:
                self.meter.sent.add(len(outgoing[owner]), len(data))
                connection.send_down(data)
        self._observe(now, observed)
        self._record_leases(clock, leases)
        self._busy = self.control.busy
        wait_ms = max(self.control.next_at - clock, TICK_MS)
        self._schedule(now + (TICK_MS if self._busy else min(wait_ms, IDLE_MS)))

    def _observe(self, now: float, messages: list[LimitMessage]) -> None:
        for message in messages:
            if isinstance(message, KeyStatuses):
                self._listener(now, message)

    def _record_leases(self, now: float, leases: list[Lease]) -> None:
        self.leases += len(leases)
        self.leased_calls += sum(lease.calls for lease in leases)
        self._record += leases
        if len(self._record) > 20_000:
            oldest = now - PARTNER_SPAN_MS - CALL_SLACK_MS
            self._record = [lease for lease in self._record if lease.until > oldest]
