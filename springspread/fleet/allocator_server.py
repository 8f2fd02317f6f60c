"""Serves the allocator on a Unix socket: connections of instances, the lease record, and the ticking thread.

``allocator_control`` makes the decisions. A frozen instance blocks nobody: messages that its socket does not
accept are kept for ``STALLED_MS``, then its connection is closed and its leases expire.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Log
from springspread.fleet.allocator import Allocator
from springspread.fleet.allocator_control import AllocatorControl, RegisterRefused
from springspread.fleet.lease_record import LeaseRecord
from springspread.fleet.limits import CALL_SLACK_MS, PARTNER_SPAN_MS, Limit, LimitMode, Owner
from springspread.fleet.messages import LeaseRequest, Register, UseReport
from springspread.fleet.wire import Fit, Lines, Message, Returning, Unreadable, encode
from springspread.net.threads import spawn
from springspread.rollout.protocol import Acting, Vote

TICK_MS = 5.0
IDLE_MS = 200.0
STALLED_MS = 1_000.0  # an instance that reads nothing for so long is disconnected
ACCEPT_RETRY_MS = 100.0


@dataclass(slots=True, eq=False)
class InstanceConnection:
    """One instance's connection; it has no owner before it registers."""

    sock: socket.socket
    owner: Owner | None = None
    unsent: bytearray = field(default_factory=bytearray)  # bytes that its socket has not accepted yet
    sent_at: float = 0.0  # when its socket last accepted any of them


class AllocatorServer:
    """Serves until ``close``. ``limits`` are the operators'; partners announce others."""

    def __init__(
        self,
        path: Path,
        folder: Path,
        limits: Mapping[str, Limit],
        log: Log,
        clock: Clock = SYSTEM,
        on_event: Callable[[Owner, Vote | Acting | Fit | None, bool], None] | None = None,
        had_predecessor: bool = False,
        default_mode: LimitMode = LimitMode.EXACT,
        fleet: str = "",
    ) -> None:
        """``on_event`` gets the owner, its policy message if any, and whether it is connected.
        ``had_predecessor``: there were instances before, so that a missing record was lost.
        ``default_mode``: of keys that a sender does not know.
        ``fleet``: the identifier that instances have to send.

        Raises ``OSError`` where the socket or the record can't be opened."""
        self._log, self._clock = log, clock
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._connections: dict[Owner, InstanceConnection] = {}
        self._blocked: dict[InstanceConnection, None] = {}  # those with unsent bytes
        self._on_event = on_event
        self._start_reports: dict[str, tuple[int, Returning]] = {}  # by instance, with its epoch
        longest = max([PARTNER_SPAN_MS, *(limit.span_ms for limit in limits.values())])
        self._record = LeaseRecord(folder, longest + CALL_SLACK_MS)
        self.control = self._control(fleet, default_mode, limits, had_predecessor)
        self.path = path
        path.unlink(missing_ok=True)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(path))
        path.chmod(0o600)
        self._listener.listen(1024)
        self._open = True
        spawn("fleet-accept", self._accept, log)
        spawn("fleet-allocate", self._run, log)

    def _control(
        self, fleet: str, default_mode: LimitMode, limits: Mapping[str, Limit], had_predecessor: bool
    ) -> AllocatorControl:
        now, record = self._clock.now(), self._record
        allocator = Allocator(slack_ms=CALL_SLACK_MS)
        allocator.restore(record.earlier)
        if not record.complete or (had_predecessor and not record.existed):
            # After a power loss or the loss of the record, any lease may have been granted.
            self._log.warning("lease record lost or damaged; counting all limits as used up")
            record.append([allocator.assume_exhausted(now)], now)
        learning = had_predecessor or record.existed
        return AllocatorControl(fleet, default_mode, limits, allocator, now, learning)

    @property
    def members(self) -> list[Owner]:
        """The owners that are connected."""
        with self._lock:
            return sorted(self._connections)

    def limits_status(self, most: int) -> dict[str, Any]:
        """The number of limits and of bound adaptive ones, and at most ``most`` of these by key."""
        with self._lock:
            bound = self.control.bound_limits(most)
            return {
                "limits": self.control.limit_count,
                "adaptive_bound": self.control.adaptive_bound,
                "bound": {key: cause.value for key, cause in bound.items()},
            }

    def start_progress(self, owner: Owner) -> Returning | None:
        """The last report of an instance on the progress of its start."""
        epoch, report = self._start_reports.get(owner[0], (-1, None))
        return report if epoch == owner[1] else None

    def _accept(self) -> None:
        while self._open:
            try:
                sock, _ = self._listener.accept()
            except OSError as exc:
                if self._open:  # too many open files, or the peer has disconnected already
                    self._log.warning("accept failed", error=str(exc))
                    self._clock.sleep(ACCEPT_RETRY_MS)
                continue
            spawn("fleet-member", partial(self._serve, InstanceConnection(sock)), self._log, vital=False)

    def _serve(self, connection: InstanceConnection) -> None:
        lines = Lines()
        try:
            while self._open and (data := connection.sock.recv(65536)):
                for message in lines.feed(data):
                    self._handle(connection, message)
        except Unreadable as exc:
            self._log.warning("closing connection to instance", owner=connection.owner, fault=str(exc))
        except OSError:
            pass
        finally:
            with self._lock:
                self._blocked.pop(connection, None)
                known = connection.owner is not None and self._connections.get(connection.owner) is connection
                if known and connection.owner is not None:
                    del self._connections[connection.owner]
                    self.control.unregister(connection.owner)
            if known and connection.owner is not None and self._on_event is not None:
                self._on_event(connection.owner, None, False)
            connection.sock.close()

    def _handle(self, connection: InstanceConnection, message: Message) -> None:
        with self._lock:
            if isinstance(message, Register):
                self._register(connection, message)
                return
            owner = connection.owner
            if owner is None:
                raise Unreadable(f"message before registration: {type(message).__name__}")
            match message:
                case LeaseRequest() | UseReport():
                    self._handle_limit_message(owner, message)
                case Vote() | Acting() | Fit():
                    if self._on_event is not None:
                        self._on_event(owner, message, True)
                case Returning():
                    self._start_reports[owner[0]] = (owner[1], message)
                case _:
                    raise Unreadable(f"unexpected message: {type(message).__name__}")

    def _register(self, connection: InstanceConnection, message: Register) -> None:
        if connection.owner is not None:
            raise Unreadable("already registered")
        try:
            owner = self.control.register(self._clock.now(), message)
        except RegisterRefused as exc:
            raise Unreadable(str(exc)) from exc
        for (name, _), replaced in self._connections.items():
            if name == owner[0]:
                self._drop(replaced)  # it gets no notifications any more
        connection.owner = owner
        self._connections[owner] = connection
        self._wake.set()
        if self._on_event is not None:
            self._on_event(owner, None, True)

    def _handle_limit_message(self, owner: Owner, message: LeaseRequest | UseReport) -> None:
        try:
            self.control.received(self._clock.now(), owner, message)
        except RegisterRefused as exc:
            raise Unreadable(str(exc)) from exc
        self._wake.set()

    def send(self, owner: Owner, message: Message) -> None:
        """Send a message to an instance if it is connected, without blocking."""
        with self._lock:
            connection = self._connections.get(owner)
            if connection is not None:
                self._write(connection, [message])
                if connection.unsent:
                    self._wake.set()

    def schedule_limits(
        self, limits: Mapping[str, Limit], since: float, default_mode: LimitMode | None = None
    ) -> None:
        """Set the operators' limits that apply from ``since`` on; until then the stricter ones apply."""
        with self._lock:
            self.control.schedule_limits(self._clock.now(), limits, since, default_mode)
            longest = max((limit.span_ms for limit in limits.values()), default=0.0)
            self._record.extend_retention(longest + CALL_SLACK_MS)
            # Before any sender is granted the policy of these limits.
            self._send_notifications()
        self._wake.set()

    def _run(self) -> None:
        while self._open:
            with self._lock:
                self._wake.clear()
                self._tick(self._clock.now())
                busy = self.control.busy or bool(self._blocked)
                wait_ms = min(IDLE_MS, max(self.control.next_at - self._clock.now(), TICK_MS))
            if busy:
                self._clock.sleep(TICK_MS)
            else:
                self._wake.wait(wait_ms / 1000.0)

    def _tick(self, now: float) -> None:
        for connection in list(self._blocked):
            self._send_pending(connection, now)
        leases = self.control.tick(now)
        try:
            if leases:
                self._record.append(leases, now)
            self.control.grant(now, leases)
        except OSError as exc:
            # A successor would not know of these leases, so they expire without being sent.
            self._log.error("cannot write lease record; leases withheld", error=str(exc))
        self._send_notifications()

    def _send_notifications(self) -> None:
        for owner, messages in self.control.take_messages().items():
            connection = self._connections.get(owner)
            if connection is not None:
                self._write(connection, messages)

    def _write(self, connection: InstanceConnection, messages: Iterable[Message]) -> None:
        """Write without blocking; what the socket does not accept is sent in a later tick."""
        now = self._clock.now()
        if not connection.unsent:
            connection.sent_at = now
        connection.unsent += b"".join(map(encode, messages))
        self._send_pending(connection, now)

    def _send_pending(self, connection: InstanceConnection, now: float) -> None:
        try:
            sent = connection.sock.send(connection.unsent, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._drop(connection)
            return
        del connection.unsent[:sent]
        if sent:
            connection.sent_at = now
        if not connection.unsent:
            self._blocked.pop(connection, None)
        elif now < connection.sent_at + STALLED_MS:
            self._blocked[connection] = None
        else:
            self._drop(connection)

    def _drop(self, connection: InstanceConnection) -> None:
        """Shut a connection down; its reader cleans up."""
        connection.unsent.clear()
        self._blocked.pop(connection, None)
        with suppress(OSError):  # it may be closed already
            connection.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close every connection; instances go on with their leases and reconnect."""
        self._open = False
        self._wake.set()
        with suppress(OSError):  # wakes the thread that waits in ``accept``
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections.values())
        for connection in connections:
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
