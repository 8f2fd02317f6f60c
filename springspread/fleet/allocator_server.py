"""The allocator's driver: a Unix socket that instances connect to, a record on disk, and a thread that ticks.

What is decided stands in ``allocator_control``. A frozen instance blocks nobody: what its socket does not
take is kept for ``STALLED_MS`` and then dropped with its connection, and its leases run out.
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
from springspread.fleet.limits import PARTNER_SPAN_MS, Limit, LimitMode, Owner
from springspread.fleet.messages import LeaseRequest, Register, UseReport
from springspread.fleet.record import LeaseRecord
from springspread.fleet.wire import Fit, Lines, Message, Returning, Unreadable, encode
from springspread.net.threads import spawn
from springspread.rollout.terms import Acting, Vote

TICK_MS = 5.0
IDLE_MS = 200.0
STALLED_MS = 1_000.0  # an instance that reads nothing for so long loses its connection
ACCEPT_AGAIN_MS = 100.0
SLACK_MS = 75.0  # from a call's right to its last byte at the partner: a held last byte and the way there


@dataclass(slots=True, eq=False)
class Member:
    """One instance's connection; without an owner until it has registered."""

    sock: socket.socket
    owner: Owner | None = None
    unsent: bytearray = field(default_factory=bytearray)  # what its socket has not taken yet
    sent_at: float = 0.0  # when it last took anything, while there is more


class AllocatorServer:
    """Serves until ``close``. ``limits`` are the operator's; others are taken from what partners tell."""

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
        """``on_event`` is told who joined (true) or left (false), votes, and what they act under.
        ``had_predecessor``: there were instances before, so that no record is a lost one.
        ``default_mode``: how keys that a sender knows nothing of are treated.
        ``fleet``: what instances have to name as theirs.

        Raises ``OSError`` where the socket or the record can't be opened."""
        self._log, self._clock = log, clock
        self._lock = threading.Lock()
        self._news = threading.Event()
        self._members: dict[Owner, Member] = {}
        self._unsent: dict[Member, None] = {}  # those whose socket has not taken all
        self._on_event = on_event
        self._returning: dict[str, tuple[int, Returning]] = {}  # by instance: its epoch, and what it said
        longest = max([PARTNER_SPAN_MS, *(limit.span_ms for limit in limits.values())])
        self._record = LeaseRecord(folder, longest + SLACK_MS)
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
        allocator = Allocator(slack_ms=SLACK_MS)
        allocator.restore(record.earlier)
        if not record.complete or (had_predecessor and not record.existed):
            # Guards limits after a power loss, or a record that is lost: anything may have been given out.
            self._log.warning("leases not known; limits count as used up")
            record.append([allocator.assume_exhausted(now)], now)
        learning = had_predecessor or record.existed
        return AllocatorControl(fleet, default_mode, limits, allocator, now, learning)

    @property
    def members(self) -> list[Owner]:
        """Who is connected."""
        with self._lock:
            return sorted(self._members)

    def limits_status(self, most: int) -> dict[str, Any]:
        """How many limits there are and how many adaptive ones are bound; at most so many of them by key."""
        with self._lock:
            bound = self.control.bound_limits(most)
            return {
                "limits": self.control.limit_count,
                "adaptive_bound": self.control.adaptive_bound,
                "bound": {key: cause.value for key, cause in bound.items()},
            }

    def start_progress(self, owner: Owner) -> Returning | None:
        """How far an instance's start has come, as it last said."""
        epoch, said = self._returning.get(owner[0], (-1, None))
        return said if epoch == owner[1] else None

    def _accept(self) -> None:
        while self._open:
            try:
                sock, _ = self._listener.accept()
            except OSError as exc:
                if self._open:  # too many open files, or a peer that is gone already
                    self._log.warning("no instance accepted", error=str(exc))
                    self._clock.sleep(ACCEPT_AGAIN_MS)
                continue
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
                self._unsent.pop(member, None)
                known = member.owner is not None and self._members.get(member.owner) is member
                if known and member.owner is not None:
                    del self._members[member.owner]
                    self.control.unregister(member.owner)
            if known and member.owner is not None and self._on_event is not None:
                self._on_event(member.owner, None, False)
            member.sock.close()

    def _take(self, member: Member, message: Message) -> None:
        with self._lock:
            if isinstance(message, Register):
                self._register(member, message)
                return
            owner = member.owner
            if owner is None:
                raise Unreadable(f"not expected before it registers: {type(message).__name__}")
            match message:
                case LeaseRequest() | UseReport():
                    self._received(owner, message)
                case Vote() | Acting() | Fit():
                    if self._on_event is not None:
                        self._on_event(owner, message, True)
                case Returning():
                    self._returning[owner[0]] = (owner[1], message)
                case _:
                    raise Unreadable(f"not expected: {type(message).__name__}")

    def _register(self, member: Member, message: Register) -> None:
        if member.owner is not None:
            raise Unreadable("it has registered already")
        try:
            owner = self.control.register(self._clock.now(), message)
        except RegisterRefused as exc:
            raise Unreadable(str(exc)) from exc
        for (name, _), replaced in self._members.items():
            if name == owner[0]:
                self._drop(replaced)  # nobody would tell it of any limit from now on
        member.owner = owner
        self._members[owner] = member
        self._news.set()
        if self._on_event is not None:
            self._on_event(owner, None, True)

    def _received(self, owner: Owner, message: LeaseRequest | UseReport) -> None:
        try:
            self.control.received(self._clock.now(), owner, message)
        except RegisterRefused as exc:
            raise Unreadable(str(exc)) from exc
        self._news.set()

    def send(self, owner: Owner, message: Message) -> None:
        """Send a message to an instance, if it is connected. Never waits."""
        with self._lock:
            member = self._members.get(owner)
            if member is not None:
                self._send(member, [message])
                if member.unsent:
                    self._news.set()

    def schedule_limits(
        self, limits: Mapping[str, Limit], since: float, default_mode: LimitMode | None = None
    ) -> None:
        """Other limits of the operators hold from a moment on; until then the stricter ones."""
        with self._lock:
            self.control.schedule_limits(self._clock.now(), limits, since, default_mode)
            longest = max((limit.span_ms for limit in limits.values()), default=0.0)
            self._record.extend_retention(longest + SLACK_MS)
            # Guards the limits against a sender that may act under their policy and has not heard of them.
            self._send_news()
        self._news.set()

    def _run(self) -> None:
        while self._open:
            with self._lock:
                self._news.clear()
                self._tick(self._clock.now())
                busy = self.control.busy or bool(self._unsent)
                wait_ms = min(IDLE_MS, max(self.control.next_at - self._clock.now(), TICK_MS))
            if busy:
                self._clock.sleep(TICK_MS)
            else:
                self._news.wait(wait_ms / 1000.0)

    def _tick(self, now: float) -> None:
        for blocked in list(self._unsent):
            self._send_rest(blocked, now)
        leases = self.control.tick(now)
        try:
            if leases:
                self._record.append(leases, now)
            self.control.grant(now, leases)
        except OSError as exc:
            # Guards the limit against a successor that would not know of them: they run out untold.
            self._log.error("leases not on record", error=str(exc))
        self._send_news()

    def _send_news(self) -> None:
        for owner, messages in self.control.take_messages().items():
            member = self._members.get(owner)
            if member is not None:
                self._send(member, messages)

    def _send(self, member: Member, messages: Iterable[Message]) -> None:
        """Never waits: what the socket does not take goes out in a later tick."""
        now = self._clock.now()
        if not member.unsent:
            member.sent_at = now
        member.unsent += b"".join(map(encode, messages))
        self._send_rest(member, now)

    def _send_rest(self, member: Member, now: float) -> None:
        try:
            sent = member.sock.send(member.unsent, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._drop(member)
            return
        del member.unsent[:sent]
        if sent:
            member.sent_at = now
        if not member.unsent:
            self._unsent.pop(member, None)
        elif now < member.sent_at + STALLED_MS:
            self._unsent[member] = None
        else:
            self._drop(member)

    def _drop(self, member: Member) -> None:
        """End its connection; its reader does the rest."""
        member.unsent.clear()
        self._unsent.pop(member, None)
        with suppress(OSError):  # it may be gone already
            member.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """End every connection; instances go on with what they hold and connect anew."""
        self._open = False
        self._news.set()
        with suppress(OSError):  # Guards against a thread that would wait in ``accept`` for ever
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            members = list(self._members.values())
        for member in members:
            with suppress(OSError):
                member.sock.shutdown(socket.SHUT_RDWR)
