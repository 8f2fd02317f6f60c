"""Policy distribution to hollow senders: the real coordinator, participants and encoding.

One process beside the allocators renews each sender's grant and rolls out changes; each sender reports its
policy version every ``REPORT_INTERVAL_MS``. A write of the record takes ``SYNC_MS``.
"""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns

from springspread.faults.hollow.allocator import FLEET
from springspread.faults.hollow.connection import Connection
from springspread.faults.hollow.events import EventQueue
from springspread.faults.hollow.meter import Meter
from springspread.faults.hollow.network import Zone
from springspread.faults.hollow.sender import HollowSender
from springspread.fleet.client import RECONNECT_MS
from springspread.fleet.limits import Owner
from springspread.fleet.messages import PROTOCOL_VERSION, Register
from springspread.fleet.policy_changes import TICK_MS
from springspread.fleet.policy_participant import REPORT_INTERVAL_MS
from springspread.fleet.wire import Document, Message, encode
from springspread.rollout import coordinator, participant
from springspread.rollout.coordinator import Coordinator, History, Step, Timings
from springspread.rollout.document import Policy
from springspread.rollout.participant import Participant
from springspread.rollout.protocol import Acting, Decided, Grant, Prepare, Proposed, Vote, Write

SYNC_MS = 4.0  # time until a record is on disk
LEAD_MS = 50.0  # above the longest latency between two processes


class PolicyProcess:
    """The coordinator's process."""

    def __init__(self, queue: EventQueue, zone: Zone, policy: Policy) -> None:
        self._queue, self.zone, self._policy = queue, zone, policy
        self.alive = True
        self.meter = Meter()
        self.connections: dict[Connection, None] = {}
        self._by_owner: dict[Owner, Connection] = {}
        self._documents: dict[Owner, set[int]] = {}  # versions whose text an owner already has
        history = History().with_entry(Proposed(1, policy.digest)).with_entry(Decided(1, queue.clock))
        times = Timings(lead_ms=LEAD_MS)
        self._state: Coordinator
        self._apply(coordinator.begin(times, history, queue.clock, []))
        self._tick()

    def propose(self) -> None:
        """Propose a change: the same text under the next number."""
        self._timed_step(lambda: coordinator.propose(self._state, self._queue.clock, self._policy.digest))

    @property
    def in_force(self) -> tuple[int, float]:
        """The number of the policy in force, and since when."""
        return self._state.history.in_force, self._state.history.since

    def accept(self, connection: Connection) -> None:
        """A connection is open; its sender is unknown until it registers."""

    def data_received(self, connection: Connection, data: bytes) -> None:
        """Handle bytes from a sender."""
        start_ns = perf_counter_ns()
        messages = connection.up_lines.feed(data)
        self.meter.cpu_ns += perf_counter_ns() - start_ns
        self.meter.received.add(len(messages), len(data))
        for message in messages:
            self._handle(connection, message)

    def _handle(self, connection: Connection, message: Message) -> None:
        clock = self._queue.clock
        if isinstance(message, Register):
            owner = connection.owner = (message.name, message.epoch)
            self._by_owner[owner] = connection
            self._documents[owner] = set()
            self._timed_step(lambda: coordinator.joined(self._state, clock, owner))
        elif isinstance(message, Vote) and connection.owner is not None:
            voter = connection.owner
            self._timed_step(lambda: coordinator.voted(self._state, clock, voter, message))

    def closed(self, connection: Connection) -> None:
        """A connection has ended."""
        owner = connection.owner
        if owner is not None and self._by_owner.get(owner) is connection:
            del self._by_owner[owner]
            self._state = coordinator.left(self._state, owner)

    def _tick(self) -> None:
        self._timed_step(lambda: coordinator.tick(self._state, self._queue.clock))
        self._queue.at(self._queue.now + TICK_MS, self._tick)

    def _timed_step(self, step: Callable[[], Step]) -> None:
        start_ns = perf_counter_ns()
        result = step()
        self.meter.cpu_ns += perf_counter_ns() - start_ns
        self._apply(result)

    def _apply(self, step: Step) -> None:
        self._state, effects = step
        wait_ms = 0.0
        for effect in effects:
            if isinstance(effect, Write):
                wait_ms += SYNC_MS
            else:
                self._queue.at(self._queue.now + wait_ms, self._send, effect.owner, effect.message)

    def _send(self, owner: Owner, message: Grant | Prepare) -> None:
        connection = self._by_owner.get(owner)
        if connection is None:
            return
        number = message.number if isinstance(message, Prepare) else message.version
        messages: list[Message] = [message]
        if number not in self._documents[owner]:
            self._documents[owner].add(number)
            messages = [Document(number, self._policy.text), message]
        for one in messages:
            start_ns = perf_counter_ns()
            data = encode(one)
            self.meter.cpu_ns += perf_counter_ns() - start_ns
            self.meter.sent.add(1, len(data))
            connection.send_down(data)


class PolicySession:
    """A hollow sender's session with the coordinator."""

    def __init__(self, sender: HollowSender, process: PolicyProcess, meter: Meter) -> None:
        self._sender, self._process, self._meter = sender, process, meter
        self.zone = sender.zone
        self._participant = Participant()
        self._connection: Connection | None = None
        self._connect()

    def _connect(self) -> None:
        if self._sender.alive:
            Connection(self._sender.queue, self._sender.network, self, self._process)

    def opened(self, connection: Connection) -> None:
        """The connection is open: register, and start to report the policy version."""
        self._connection = connection
        self._write(connection, Register(PROTOCOL_VERSION, FLEET, self._sender.name, self._sender.epoch))
        self._report_version(connection)

    def _report_version(self, connection: Connection) -> None:
        if not self._sender.alive:
            connection.close()
        if connection.open:
            self._write(connection, Acting(self._participant.version(self._sender.queue.clock)))
            self._sender.queue.at(
                self._sender.queue.now + REPORT_INTERVAL_MS, self._report_version, connection
            )

    def _write(self, connection: Connection, message: Message) -> None:
        meter = self._meter
        start_ns = perf_counter_ns()
        data = encode(message)
        meter.cpu_ns += perf_counter_ns() - start_ns
        meter.sent.add(1, len(data))
        connection.send_up(data)

    def lost(self) -> None:
        """The connection was lost: reconnect after ``RECONNECT_MS``."""
        self._connection = None
        self._sender.queue.at(self._sender.queue.now + RECONNECT_MS, self._connect)

    def data_received(self, connection: Connection, data: bytes) -> None:
        """Handle bytes from the coordinator."""
        clock, meter = self._sender.queue.clock, self._meter
        start_ns = perf_counter_ns()
        messages = connection.down_lines.feed(data)
        votes: list[Vote] = []
        for message in messages:
            if isinstance(message, Grant):
                self._participant = participant.granted(self._participant, message, clock)
            elif isinstance(message, Prepare):
                self._participant, vote = participant.prepared(self._participant, message, "")
                votes += [vote] if vote is not None else []
        meter.cpu_ns += perf_counter_ns() - start_ns
        meter.received.add(len(messages), len(data))
        for vote in votes:
            self._write(connection, vote)

    def version(self) -> int:
        """The policy version that the sender may act under now; 0: none."""
        return self._participant.version(self._sender.queue.clock)
