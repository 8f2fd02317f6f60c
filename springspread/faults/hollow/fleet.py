"""A hollow fleet: traffic, senders, allocators by shard, and policy distribution, in virtual time.

Calls are drawn in batches from ``traffic`` and merged with the event queue, so that each one asks its
sender's lease cache at its own time, after all earlier events. ``ShardMap`` assigns keys to shards; senders
and allocators are spread round-robin over the zones. CPU time is measured around the control code alone,
without the simulator and the kernel. A seed determines the history of a run, but not its CPU times.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from springspread.faults.hollow.allocator import AllocatorProcess
from springspread.faults.hollow.connection import Acceptor
from springspread.faults.hollow.events import UPTIME_MS, EventQueue
from springspread.faults.hollow.faults import Fault, FaultKind
from springspread.faults.hollow.history import HeldUp, History
from springspread.faults.hollow.meter import Meter
from springspread.faults.hollow.network import Network, zone_of
from springspread.faults.hollow.policy import PolicyProcess, PolicySession
from springspread.faults.hollow.sender import HollowSender, WaitingCall
from springspread.faults.hollow.traffic import CallSource, Traffic, TrafficModel
from springspread.faults.hollow.waiting import PRIOR_FAILURES, WaitingCalls
from springspread.fleet.allocator_control import LEARNING_MS
from springspread.fleet.limits import Limit
from springspread.fleet.messages import fingerprint
from springspread.fleet.shard_map import ShardMap
from springspread.rollout.document import Policy

BATCH_MS = 100.0  # virtual time of the calls drawn at once
JOIN_MS = 1_000.0  # all senders start within this time


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size and traffic of a fleet, and the seed of its random draws."""

    senders: int
    allocators: int
    model: TrafficModel
    seed: int = 1


class HollowFleet:
    """The processes of a fleet and their event queue. Calls begin after ``JOIN_MS``."""

    def __init__(
        self,
        size: FleetSize,
        policy: Policy,
        faults: Sequence[Fault] = (),
        traffic: CallSource | None = None,
        one_host: bool = False,
        uptime_ms: float = UPTIME_MS,
    ) -> None:
        """``traffic``: replaces the calls drawn from the model of ``size``.

        ``one_host``: all processes run on one host. ``uptime_ms``: the clocks' value at time zero.
        """
        self.size, self.policy = size, policy
        self.queue, self.network = EventQueue(uptime_ms), Network(size.seed, one_host)
        self.traffic = traffic or Traffic(size.model, size.senders, size.seed)
        self.keys = self.traffic.keys
        fingerprints = {fingerprint(key): number for number, key in enumerate(self.keys)}
        self.history = History(fingerprints)
        self.limits: list[Limit] = [self.traffic.limit(number) for number in range(len(self.keys))]
        names = tuple(f"shard-{number:02}" for number in range(size.allocators))
        self.shard_map = ShardMap(1, names)
        number_of = {name: number for number, name in enumerate(names)}
        self.shard_of = [number_of[self.shard_map.owner(key)] for key in self.keys]
        self.allocators = [self._allocator(number, name) for number, name in enumerate(names)]
        self.coordinator = PolicyProcess(self.queue, zone_of(0), policy)
        self.meters = [Meter() for _ in range(size.senders)]  # messages about limits
        self.policy_meters = [Meter() for _ in range(size.senders)]  # messages about policies
        self.senders: list[HollowSender | None] = [None] * size.senders
        self.policy_sessions: list[PolicySession | None] = [None] * size.senders
        self._epochs = [0] * size.senders
        self._waiting_calls = WaitingCalls(self.queue, self._make_waiting_call)
        self._down_by_rank = np.flatnonzero(self.traffic.down).tolist()
        self._recovering = [
            self._down_destination(one.targets[0]) for one in faults if one.kind is FaultKind.RETURN
        ]
        self._recovered: set[int] = set()
        for sender in range(size.senders):
            self.queue.at(JOIN_MS * sender / size.senders, self._start, sender)
        for fault in faults:
            self.queue.at(fault.begin, self._begin_fault, fault)
            self.queue.at(fault.end, self._end_fault, fault)
        self.offered = self.without_sender = 0  # calls drawn, and those whose sender was down
        self.queue.run_until(JOIN_MS)

    def _allocator(self, number: int, name: str) -> AllocatorProcess:
        limits = {
            key: limit
            for key, limit, shard in zip(self.keys, self.limits, self.shard_of, strict=True)
            if shard == number
        }
        listener, mode = self.history.record_statuses, self.size.model.mode
        return AllocatorProcess(self.queue, name, zone_of(number), limits, mode, listener)

    # Senders

    def _start(self, number: int) -> None:
        self._epochs[number] += 1
        sender = HollowSender(
            self.queue,
            self.network,
            number,
            self._epochs[number],
            zone_of(number),
            list[Acceptor](self.allocators),
            self.meters[number],
            self._wait_ended,
        )
        self.senders[number] = sender
        self.policy_sessions[number] = PolicySession(sender, self.coordinator, self.policy_meters[number])
        for destination in self._recovering:
            for _ in range(PRIOR_FAILURES):
                self.call_failed(number, destination)

    def _kill(self, number: int) -> None:
        sender = self.senders[number]
        if sender is not None:
            sender.kill()
        self.senders[number] = None

    def _wait_ended(self, sender: HollowSender, call: WaitingCall, now: float, began: bool) -> None:
        held_up = HeldUp(sender.number, call.destination, call.since, now - call.since, began)
        self.history.held_up.append(held_up)
        if began:
            self._call_began(now, call.destination, sender.number)
        else:
            self._waiting_calls.given_up(sender.number, call.destination)

    def _call_began(self, now: float, destination: int, number: int) -> None:
        self.history.record_call(now, destination, number)
        if self.traffic.down[destination]:
            self.call_failed(number, destination)
        elif destination in self._recovered:
            self.call_served(number, destination)

    def call_served(self, number: int, destination: int) -> None:
        """A sender's call has succeeded."""
        sender = self.senders[number]
        if sender is not None:
            sender.sessions[self.shard_of[destination]].served(self.keys[destination])
            self._waiting_calls.served(number, destination)

    def _make_waiting_call(self, number: int, destination: int) -> None:
        sender = self.senders[number]
        self.offered += 1
        if sender is None:
            self.without_sender += 1
        elif sender.sessions[self.shard_of[destination]].call(destination, self.keys[destination]):
            self._call_began(self.queue.now, destination, number)

    def sender_meters(self) -> list[Meter]:
        """Total traffic and CPU time of each sender so far."""
        return [one.plus(other) for one, other in zip(self.meters, self.policy_meters, strict=True)]

    def partner_rate_received(self, number: int, destination: int, per_s: float) -> None:
        """A partner's answer tells a sender its limit (calls per second)."""
        sender = self.senders[number]
        if sender is not None:
            sender.sessions[self.shard_of[destination]].partner_rate_received(self.keys[destination], per_s)

    def call_failed(self, number: int, destination: int) -> None:
        """A sender's call has failed."""
        sender = self.senders[number]
        if sender is not None:
            sender.sessions[self.shard_of[destination]].cache.failed(self.keys[destination])

    # Faults

    def _begin_fault(self, fault: Fault) -> None:
        now = self.queue.now
        match fault.kind:
            case FaultKind.RESTART:
                for number in fault.targets:
                    self._kill(number)
            case FaultKind.CUT:
                self.network.isolate(frozenset(fault.targets))
                self._break_connections()
            case FaultKind.ALLOCATOR | FaultKind.ALLOCATOR_AMNESIA:
                self.allocators[fault.targets[0]].kill()
                self.history.takeovers.append((fault.targets[0], now, fault.end + LEARNING_MS))
            case FaultKind.JUMP:
                self.traffic.scale_demand(fault.targets[0], fault.factor)
                self.history.jumps.setdefault(fault.targets[0], []).append(now)
            case FaultKind.LIMIT:
                self._scale_limit(fault.targets[0], fault.factor)
            case FaultKind.RETURN:
                self._recover_destination(self._down_destination(fault.targets[0]), round(fault.factor))

    def _down_destination(self, rank: int) -> int:
        """The destination with this rank among those that are down at the start."""
        if rank >= len(self._down_by_rank):
            raise ValueError(f"{rank + 1} destinations must be down; number down: {len(self._down_by_rank)}")
        return int(self._down_by_rank[rank])

    def _recover_destination(self, destination: int, waiting: int) -> None:
        self.traffic.recover(destination)
        self._recovered.add(destination)
        self.history.returns[destination] = self.queue.now
        for number in range(self.size.senders):
            self._waiting_calls.add(number, destination, waiting)

    def _end_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.RESTART:
                for number in fault.targets:
                    self._start(number)
            case FaultKind.CUT:
                self.network.heal(frozenset(fault.targets))
            case FaultKind.ALLOCATOR | FaultKind.ALLOCATOR_AMNESIA:
                with_record = fault.kind is FaultKind.ALLOCATOR
                self.allocators[fault.targets[0]].start(successor=True, with_record=with_record)
            case FaultKind.JUMP:
                self.traffic.scale_demand(fault.targets[0], 1.0)
            case FaultKind.LIMIT:
                self._scale_limit(fault.targets[0], 1.0)

    def _break_connections(self) -> None:
        processes: list[Acceptor] = [*self.allocators, self.coordinator]
        for process in processes:
            for connection in list(process.connections):
                if not self.network.reachable(connection.connector.zone, process.zone):
                    connection.close()

    def _scale_limit(self, destination: int, factor: float) -> None:
        calls = max(round(self.limits[destination].calls * factor), 1)
        limit = Limit(calls, self.size.model.span_ms, self.size.model.mode)
        self.history.limits.setdefault(destination, []).append((self.queue.now, limit))
        self.allocators[self.shard_of[destination]].change_limit(self.keys[destination], limit)

    # Virtual time

    def run_until(self, end: float) -> None:
        """Run calls and events up to a time (ms), a multiple of ``BATCH_MS``."""
        while self.queue.now < end:
            self._run_batch(min(self.queue.now + BATCH_MS, end))

    def _run_batch(self, end: float) -> None:
        queue, senders, shard_of, keys = self.queue, self.senders, self.shard_of, self.keys
        calls = self.traffic.draw(queue.now, end - queue.now)
        self.offered += len(calls.times)
        next_at = queue.next_at
        for now, number, destination in zip(calls.times, calls.senders, calls.destinations, strict=True):
            if next_at <= now:
                queue.run_until(now)
            queue.now = now
            sender = senders[number]
            if sender is None:
                self.without_sender += 1
            elif sender.sessions[shard_of[destination]].call(destination, keys[destination]):
                self._call_began(now, destination, number)
            next_at = queue.next_at
        queue.run_until(end)
