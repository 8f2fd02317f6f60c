"""The allocator's driver: a Unix socket that instances connect to, a record on disk, and a thread that ticks.

A frozen instance blocks nobody: what it does not read is dropped with its connection, and its leases run out.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Log
from springspread.fleet.allocator import Allocator, Owner
from springspread.fleet.limits import Limit
from springspread.fleet.record import Record
from springspread.fleet.wire import (
    Fit,
    LeaseGrant,
    LeaseRequest,
    LimitedKeys,
    Lines,
    Message,
    Register,
    Returning,
    Unreadable,
    write,
)
from springspread.net.threads import spawn
from springspread.rollout.terms import Acting, Vote

TICK_MS = 5.0
IDLE_MS = 200.0
SLACK_MS = 75.0  # from a call's right to its last byte at the partner: a held last byte and the way there
TOLD_SPAN_MS = 2_000.0  # a limit that a partner tells as a rate is counted over this


@dataclass(slots=True, eq=False)
class Member:
    """One instance's connection; without an owner until it has said hello."""

    sock: socket.socket
    owner: Owner | None = None


class AllocatorServer:
    """Serves until ``close``. ``limits`` are the operator's; others are taken from what partners tell."""

    def __init__(
        self,
        path: Path,
        folder: Path,
        limits: Mapping[str, Limit],
        log: Log,
        clock: Clock = SYSTEM,
        heard: Callable[[Owner, Vote | Acting | Fit | None, bool], None] | None = None,
        began_before: bool = False,
    ) -> None:
        """``heard`` is told who joined (true) or left (false), votes, and what they act under.
        ``began_before``: there were instances before, so that no record is a lost one.

        Raises ``OSError`` where the socket or the record can't be opened."""
        self._log, self._clock = log, clock
        self._lock = threading.Lock()
        self._asked = threading.Event()
        self._members: dict[Owner, Member] = {}
        self._heard = heard
        self._returning: dict[str, tuple[int, Returning]] = {}  # by instance: its epoch, and what it said
        self._next: tuple[float, Mapping[str, Limit]] | None = None
        self._fixed = set(limits)
        self._partners: dict[str, Limit] = {}  # as partners told them, last
        longest = max([TOLD_SPAN_MS, *(limit.span_ms for limit in limits.values())])
        self._record = Record(folder, longest + SLACK_MS)
        self._allocator = Allocator(slack_ms=SLACK_MS)
        self._allocator.restore(self._record.before)
        if not self._record.whole or (began_before and not self._record.found):
            # Guards limits after a power loss, or a record that is lost: anything may have been given out.
            log.warning("leases not known; limits count as used up")
            self._allocator.presume(clock.now())
        for key, limit in limits.items():
            self._allocator.limited(key, limit)
        path.unlink(missing_ok=True)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(path))
        path.chmod(0o600)
        self._listener.listen(256)
        self._open = True
        spawn("fleet-accept", self._accept, log)
        spawn("fleet-allocate", self._allocate, log)

    @property
    def members(self) -> list[Owner]:
        """Who is connected."""
        with self._lock:
            return sorted(self._members)

    def returning(self, owner: Owner) -> Returning | None:
        """How far an instance's start has come, as it last said."""
        epoch, said = self._returning.get(owner[0], (-1, None))
        return said if epoch == owner[1] else None

    def _accept(self) -> None:
        while self._open:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            spawn("fleet-member", partial(self._serve, Member(sock)), self._log, vital=False)

    def _serve(self, member: Member) -> None:
        lines = Lines()
        try:
            while self._open and (data := member.sock.recv(65536)):
                for message in lines.feed(data):
                    self._take(member, message)
        except Unreadable as exc:
            self._log.warning("instance not understood", owner=member.owner, fault=str(exc))
        except OSError:
            pass
        finally:
            with self._lock:
                known = member.owner is not None and self._members.get(member.owner) is member
                if known and member.owner is not None:
                    del self._members[member.owner]
            if known and member.owner is not None and self._heard is not None:
                self._heard(member.owner, None, False)
            member.sock.close()

    def _take(self, member: Member, message: Message) -> None:
        with self._lock:
            if isinstance(message, Register):
                owner = (message.name, message.epoch)
                if not self._allocator.joined(owner):
                    raise Unreadable(f"{message.name}: a later start of it is known than {message.epoch}")
                member.owner = owner
                self._members[owner] = member
                self._send(member, LimitedKeys(self._allocator.keys))
                if self._heard is not None:
                    self._heard(owner, None, True)
            elif (
                isinstance(message, Vote | Acting | Fit)
                and member.owner is not None
                and self._heard is not None
            ):
                self._heard(member.owner, message, True)
            elif isinstance(message, Returning) and member.owner is not None:
                self._returning[member.owner[0]] = (member.owner[1], message)
            elif isinstance(message, LeaseRequest) and member.owner is not None:
                self._asking(member.owner, message)
            else:
                raise Unreadable(f"not expected: {type(message).__name__}")

    def tell(self, owner: Owner, message: Message) -> None:
        """Send a message to an instance, if it is connected. Never waits."""
        with self._lock:
            member = self._members.get(owner)
            if member is not None:
                self._send(member, message)

    def follow(self, limits: Mapping[str, Limit], since: float) -> None:
        """Other operators' limits hold from a moment on. Until then each key keeps the smaller one."""
        with self._lock:
            for key, limit in limits.items():
                held = self._allocator.limit(key)
                smaller = held is None or limit.calls * held.span_ms <= held.calls * limit.span_ms
                if smaller:
                    self._allocator.limited(key, limit)
            self._next = (since, limits)
            self._fixed |= limits.keys()
            self._record.counts_for(max((limit.span_ms for limit in limits.values()), default=0.0) + SLACK_MS)
            self._limits_told()
        self._asked.set()

    def _followed(self, now: float) -> None:
        if self._next is None or now < self._next[0]:
            return
        limits, self._next = self._next[1], None
        for key, limit in limits.items():
            self._allocator.limited(key, limit)
        for key in self._fixed - limits.keys():
            if key in self._partners:  # what the partner told binds again
                self._allocator.limited(key, self._partners[key])
            else:
                self._allocator.unlimited(key)
        self._fixed = set(limits)
        self._limits_told()

    def _limits_told(self) -> None:
        for member in self._members.values():
            self._send(member, LimitedKeys(self._allocator.keys))

    def _asking(self, owner: Owner, message: LeaseRequest) -> None:
        now = self._clock.now()
        for one in message.reports:
            self._allocator.report(now, owner, one.key, one.serial, one.made, one.last_at)
        known = set(self._allocator.keys)
        for key, per_s in message.told.items():
            if per_s > 0:
                self._partners[key] = Limit.of_rate(per_s, TOLD_SPAN_MS)
                if key not in self._fixed:
                    self._allocator.limited(key, self._partners[key])
        for key, calls in message.wants.items():
            self._allocator.ask(now, owner, key, calls)
        if set(self._allocator.keys) != known:
            self._limits_told()
        self._asked.set()

    def _allocate(self) -> None:
        while self._open:
            with self._lock:
                now = self._clock.now()
                self._followed(now)
                leases = self._allocator.allocate(now)
                try:
                    if leases:
                        self._record.append(leases, now)
                except OSError as exc:
                    # Guards the limit against a successor that would not know of them: they run out untold.
                    self._log.error("leases not on record", error=str(exc))
                    leases = []
                for lease in leases:
                    member = self._members.get(lease.owner)
                    if member is not None:
                        per_s = self._allocator.rate(now, lease.key, lease.owner)
                        self._send(member, LeaseGrant(lease, per_s))
                waiting = self._allocator.waiting or self._next is not None
                self._asked.clear()
            if waiting:
                self._clock.sleep(TICK_MS)
            else:
                self._asked.wait(IDLE_MS / 1000.0)

    def _send(self, member: Member, message: Message) -> None:
        """Never waits: whoever does not read loses its connection."""
        try:
            data = write(message)
            if member.sock.send(data, socket.MSG_DONTWAIT) < len(data):
                raise BlockingIOError
        except OSError:
            with suppress(OSError):  # it may be gone already
                member.sock.shutdown(socket.SHUT_RDWR)  # its reader ends the rest

    def close(self) -> None:
        """End every connection; instances go on with what they hold and connect anew."""
        self._open = False
        self._asked.set()
        self._listener.close()
        with self._lock:
            members = list(self._members.values())
        for member in members:
            with suppress(OSError):
                member.sock.shutdown(socket.SHUT_RDWR)
