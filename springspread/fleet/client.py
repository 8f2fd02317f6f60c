"""An instance's connection to the allocator, and the checks that each call makes against it.

Theory of operation. One thread connects, writes the messages that are due, and reconnects after a failure;
each connection has a second thread that reads. ``sender_session`` and ``lease_cache`` hold the leases,
``policy_participant`` the policy. The sender's threads ask for the right to each call.

While the allocator is away, the instance uses its leases until they expire; after that it makes no calls to
limited destinations.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from functools import partial
from hashlib import blake2b
from math import inf
from pathlib import Path

from springspread.config import Config, ConfigError
from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Endpoint, Load, Log, NewPolicy
from springspread.fleet.lease_cache import LeaseCache
from springspread.fleet.limits import RIGHT_TTL_MS
from springspread.fleet.messages import MAX_KEY_CHARS, KeyStatuses, LeaseGrants, Welcome
from springspread.fleet.policy_participant import PolicyParticipant
from springspread.fleet.sender_session import POLL_MS, SenderSession
from springspread.fleet.wire import Lines, Message, PolicyMessage, Returning, Unreadable, encode
from springspread.net.threads import spawn

RECONNECT_MS = 100.0
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 1 << 16
POLICY_WAIT_MS = 120.0  # the longest that a call waits for its policy to be in force
LEASE_WAIT_MS = 120.0  # the longest that a call waits for a lease before its message is routed again


def key_of(endpoint: Endpoint) -> str:
    """The key of the limit for an endpoint: its own if its route is separate, else its destination's.

    A name that does not fit into a message is replaced by its hash; operators can't set limits for such keys.
    """
    if not endpoint.separate_routes:
        return f"g{endpoint.group}"
    key = f"r{endpoint.group}/{endpoint.name}"
    name = endpoint.name.encode(errors="surrogatepass")
    if len(key) <= MAX_KEY_CHARS and name == endpoint.name.encode(errors="replace"):
        return key
    return f"r{endpoint.group}/{blake2b(name, digest_size=16).hexdigest()}"


class FleetShares:
    """The instance's share of limits: ``core.clearance`` asks before each call, the loop for load reports."""

    def __init__(
        self,
        path: Path,
        name: str,
        epoch: int,
        log: Log,
        clock: Clock = SYSTEM,
        policy: int = 0,
        fleet: str = "",
    ) -> None:
        """``path``: the allocator's socket; ``name`` and ``epoch``: of this instance.

        ``policy``: the number of the policy that this process was started with; 0: none.
        ``fleet``: the identifier of its fleet.
        """
        self._path, self._log, self._clock = path, log, clock
        self._participant = PolicyParticipant(policy, log, clock)
        self._cache = LeaseCache()
        self.epoch = epoch
        self._session = SenderSession(name, epoch, fleet, self._cache)
        self._received = threading.Condition()  # notified after each batch of messages
        self._wake = threading.Event()  # set when there may be messages to write
        self._open = True
        self._start_report: Callable[[], Returning | None] = _no_start_report
        self._following = threading.Event()
        if not policy:
            self._following.set()
        spawn("fleet", self._run, log)

    def follow(
        self,
        build_config: Callable[[str], Config],
        deliver: Callable[[NewPolicy], None],
        start_report: Callable[[], Returning | None] | None = None,
    ) -> None:
        """Connect, and follow the fleet's policy.

        ``build_config`` makes a configuration from a policy's text or raises ``ConfigError``; ``deliver``
        gets each policy when it comes into force; ``start_report`` returns the progress of the start.
        """
        self._participant.follow(build_config, deliver)
        self._start_report = start_report or _no_start_report
        self._following.set()

    @property
    def policy(self) -> int:
        """The number of the policy that this process follows; 0: none."""
        return self._participant.version

    # Called from any thread

    def wait_for_policy(self, policy: int) -> bool:
        """Whether a call that was decided under a policy may begin; waits up to ``POLICY_WAIT_MS``."""
        until = self._clock.now() + POLICY_WAIT_MS
        while not self.may_begin(policy):
            if self._clock.now() >= until or policy != self.policy:
                return False
            self._wait_for_messages()
        return True

    def may_begin(self, policy: int) -> bool:
        """Whether a call that was decided under a policy may begin now."""
        return self._participant.may_begin(policy)

    def acquire(self, endpoint: Endpoint) -> float:
        """Acquire the right to one call; until when it is valid, or 0 if none came in ``LEASE_WAIT_MS``."""
        key, until = key_of(endpoint), self._clock.now() + LEASE_WAIT_MS
        waiting = False
        while self._cache.take(key, now := self._clock.now(), waiting) > 0.0:
            waiting = True
            self._wake.set()
            if now >= until:
                return 0.0
            self._wait_for_messages()
        if self._cache.reports_early:
            self._wake.set()
        return now + RIGHT_TTL_MS if self._cache.is_limited(key) else inf

    def _wait_for_messages(self) -> None:
        with self._received:
            self._received.wait(POLL_MS / 1000.0)

    def listed(self, endpoints: Sequence[Endpoint]) -> None:
        """Request in advance whether calls to listed endpoints need leases."""
        if self._session.add_keys(map(key_of, endpoints)):
            self._wake.set()

    def failed(self, endpoint: Endpoint) -> None:
        """Record a failed call to an endpoint."""
        self._cache.failed(key_of(endpoint))

    def served(self, endpoint: Endpoint) -> None:
        """Record a successful call to an endpoint."""
        if self._cache.served(key_of(endpoint)):
            self._wake.set()

    def load(self, endpoint: Endpoint, load: Load) -> Load:
        """The load for the decision module, with this instance's share of the endpoint's limit."""
        key = key_of(endpoint)
        if load.limit_per_s and self._session.set_partner_rate(key, load.limit_per_s):
            self._wake.set()
        rate = self._session.rate(key)
        return load if rate is None else Load(load.left_share, rate)

    def close(self) -> None:
        """Stop; the connection ends soon after."""
        self._open = False
        self._wake.set()

    # The connection

    def _run(self) -> None:
        self._following.wait()
        while self._open:
            try:
                with socket.socket(socket.AF_UNIX) as sock:
                    sock.settimeout(CONNECT_TIMEOUT_S)
                    sock.connect(str(self._path))
                    sock.settimeout(None)
                    self._use_connection(sock)
            except (OSError, Unreadable) as exc:
                self._log.warning("allocator unreachable", error=str(exc))
            # A policy that was granted before the connection broke still comes into force in time.
            self._clock.sleep(min(RECONNECT_MS, self._participant.advance(self._clock.now())))

    def _use_connection(self, sock: socket.socket) -> None:
        """Read and write until the connection ends; also waits for its reader thread to end."""
        self._participant.connected()
        sock.sendall(b"".join(map(encode, self._session.connected(self._clock.now()))))
        ended = threading.Event()
        reader = spawn("fleet-reader", partial(self._read, sock, ended), self._log, vital=False)
        try:
            self._write(sock, ended)
        finally:
            # An answer read after the next connection has begun would acknowledge reports resent there.
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            reader.join()

    def _write(self, sock: socket.socket, ended: threading.Event) -> None:
        """Write what is due until the connection has ended."""
        last_report: Returning | None = None
        while self._open and not ended.is_set():
            now = self._clock.now()
            due: list[Message] = [*self._participant.messages_due(now)]
            report = self._start_report()
            if report is not None and report != last_report:
                last_report = report
                due.append(report)
            due += self._session.due(now)
            if due:
                sock.sendall(b"".join(map(encode, due)))
            self._wake.wait(min(self._session.wait_ms(now), self._participant.advance(now)) / 1000.0)
            self._wake.clear()

    def _read(self, sock: socket.socket, ended: threading.Event) -> None:
        lines = Lines()
        try:
            while data := sock.recv(READ_BYTES):
                for message in lines.feed(data):
                    self._dispatch(message)
                with self._received:
                    self._received.notify_all()
        except (OSError, Unreadable) as exc:
            self._log.warning("connection to allocator lost", error=str(exc))
        finally:  # after any error, or the connection would stay open without a reader
            ended.set()
            self._wake.set()

    def _dispatch(self, message: Message) -> None:
        """Pass a message to the session or the participant; raises ``Unreadable`` for any other."""
        if isinstance(message, Welcome | KeyStatuses | LeaseGrants):
            self._session.received(self._clock.now(), message)
        elif isinstance(message, PolicyMessage):
            self._participant.received(message)
            self._wake.set()
        else:
            raise Unreadable(f"unexpected message: {type(message).__name__}")


def _no_start_report() -> None:
    """There are no start reports before ``follow``."""


def from_environment(env: Mapping[str, str], log: Log) -> FleetShares:
    """Connect to the fleet that started this process; raises ``ConfigError`` for an invalid variable."""
    try:
        path, name = Path(env["SPRINGSPREAD_FLEET"]), env["SPRINGSPREAD_INSTANCE"]
        epoch, policy = int(env["SPRINGSPREAD_EPOCH"]), int(env.get("SPRINGSPREAD_POLICY", "0"))
        fleet = env.get("SPRINGSPREAD_FLEET_ID", "")
        return FleetShares(path, name, epoch, log, policy=policy, fleet=fleet)
    except KeyError as exc:
        raise ConfigError(f"{exc.args[0]}: not set, though SPRINGSPREAD_FLEET is") from exc
    except ValueError:
        raise ConfigError("SPRINGSPREAD_EPOCH, SPRINGSPREAD_POLICY: must be integers") from None
