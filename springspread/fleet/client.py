"""An instance's driver for its session with the allocator: it connects, asks, reports and takes leases in.

While the allocator is away the instance goes on with the leases that it holds, to their ends, and then makes
no call to a limited destination: a floor of none is the one that keeps every limit, whatever their number.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
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
from springspread.fleet.messages import MAX_KEY_CHARS, KeyStatuses, LeaseGrants, Welcome
from springspread.fleet.sender_session import IDLE_MS, POLL_MS, SenderSession
from springspread.fleet.wire import (
    Document,
    Fit,
    Lines,
    Message,
    PolicyMessage,
    Question,
    Returning,
    Unreadable,
    write,
)
from springspread.net.threads import spawn
from springspread.rollout import participant
from springspread.rollout.participant import Participant
from springspread.rollout.terms import Acting, Grant, Prepare, Vote

AGAIN_MS = 100.0
SAY_MS = 1_000.0  # what it acts under is said this often, and when that changes
POLICY_WAIT_MS = 120.0  # and so long for the right to act under its policy
RIGHT_MS = 20.0  # a right is good for so long; with a held last byte less than the allocator's slack
LEASE_WAIT_MS = 120.0  # a call waits so long for a lease, on its slot; then its message is decided on anew


def key_of(endpoint: Endpoint) -> str:
    """What a limit binds: the endpoint where routes are apart, else its destination.

    A name that no message holds is replaced by its hash; operators can't name such a key.
    """
    if not endpoint.apart:
        return f"g{endpoint.group}"
    key = f"r{endpoint.group}/{endpoint.name}"
    name = endpoint.name.encode(errors="surrogatepass")
    if len(key) <= MAX_KEY_CHARS and name == endpoint.name.encode(errors="replace"):
        return key
    return f"r{endpoint.group}/{blake2b(name, digest_size=16).hexdigest()}"


class FleetShares:
    """Asked by ``core.clearance`` before each call, and by the loop for what to tell the decision module."""

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
        """``policy``: the number of the policy that this process was started with; 0: there is none.
        ``fleet``: the fleet that it belongs to, as the allocator knows it.
        """
        self._path, self._log, self._clock = path, log, clock
        self.policy = policy
        self._rights = Participant()
        self._texts: dict[int, str] = {}
        self._reading = threading.Lock()  # for the texts: one thread takes them in, another lets go of them
        self._holding, self._unfit = False, 0
        self._votes: deque[Vote | Fit] = deque()
        self._cache = LeaseCache()
        self._session = SenderSession(name, epoch, fleet, self._cache)
        self._arrived = threading.Condition()
        self._ring = threading.Event()
        self._open = True
        self._usable: Callable[[str], Config] = _nobody_asked
        self._put: Callable[[NewPolicy], None] = _nobody_hears
        self._returning: Callable[[], Returning | None] = _nothing_told
        self._begun = threading.Event()
        if not policy:
            self._begun.set()
        spawn("fleet", self._run, log)

    def follow(
        self,
        usable: Callable[[str], Config],
        put: Callable[[NewPolicy], None],
        returning: Callable[[], Returning | None] | None = None,
    ) -> None:
        """Begin to talk. ``usable`` makes a configuration of a policy's text, or raises ``ConfigError``.

        ``put`` is told when another policy holds; ``returning`` is asked how far the start has come.
        """
        self._usable, self._put = usable, put
        self._returning = returning or _nothing_told
        self._begun.set()

    def enter(self, policy: int) -> bool:
        """The right to begin a call that was decided under a policy, now or within ``POLICY_WAIT_MS``."""
        until = self._clock.now() + POLICY_WAIT_MS
        while not self.may(policy):
            if self._clock.now() >= until or policy != self.policy:
                return False
            with self._arrived:
                self._arrived.wait(POLL_MS / 1000.0)
        return True

    def may(self, policy: int) -> bool:
        """Whether a call of a policy may begin at this moment."""
        return policy == 0 or self._rights.may(policy, self._clock.now())

    def acquire(self, endpoint: Endpoint) -> float:
        """Until when the right to one call is good, got now or within ``LEASE_WAIT_MS``; 0: there is none."""
        key, until = key_of(endpoint), self._clock.now() + LEASE_WAIT_MS
        while self._cache.take(key, now := self._clock.now()) > 0.0:
            self._ring.set()
            if now >= until:
                return 0.0
            with self._arrived:
                self._arrived.wait(POLL_MS / 1000.0)
        return now + RIGHT_MS if self._cache.is_limited(key) else inf

    def listed(self, endpoints: Sequence[Endpoint]) -> None:
        """Endpoints are on the list: whether calls to them need rights is asked ahead."""
        if self._session.listed(map(key_of, endpoints)):
            self._ring.set()

    def failed(self, endpoint: Endpoint) -> None:
        """A call to an endpoint failed."""
        self._cache.failed(key_of(endpoint))

    def load(self, endpoint: Endpoint, load: Load) -> Load:
        """What the decision module is told of an endpoint's limit: this instance's part of it."""
        key = key_of(endpoint)
        if load.limit_per_s and self._session.partner_rate(key, load.limit_per_s):
            self._ring.set()
        rate = self._session.rate(key)
        return load if rate is None else Load(load.left_share, rate)

    def close(self) -> None:
        """Ask for nothing more."""
        self._open = False
        self._ring.set()

    def _run(self) -> None:
        self._begun.wait()
        while self._open:
            try:
                with socket.socket(socket.AF_UNIX) as sock:
                    sock.settimeout(2.0)
                    sock.connect(str(self._path))
                    sock.settimeout(None)
                    self._talk(sock)
            except (OSError, Unreadable) as exc:
                self._log.warning("no allocator", error=str(exc))
            # What was heard before the connection broke still takes hold at its moment.
            self._clock.sleep(min(AGAIN_MS, self._turn(self._clock.now())))

    def _talk(self, sock: socket.socket) -> None:
        self._votes.clear()  # of another connection: whoever asked has gone on
        sock.sendall(b"".join(map(write, self._session.connected(self._clock.now()))))
        over = threading.Event()
        reader = spawn("fleet-hear", partial(self._hear, sock, over), self._log, vital=False)
        try:
            self._write_until(sock, over)
        finally:
            # Guards freshness: an answer of this connection that is read after the next one has begun would
            # acknowledge what was sent again there.
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            reader.join()

    def _write_until(self, sock: socket.socket, over: threading.Event) -> None:
        """Write what is due until the connection is over."""
        said_at = 0.0
        said = -1  # what it acts under, as it was said then
        told_of: Returning | None = None
        while self._open and not over.is_set():
            now = self._clock.now()
            due: list[Message] = []
            while self._votes:
                due.append(self._votes.popleft())
            acting = 0 if self._holding else self.policy
            if self.policy and (acting != said or now >= said_at + SAY_MS):
                said, said_at = acting, now
                due.append(Acting(acting))
            if (start := self._returning()) is not None and start != told_of:
                told_of = start
                due.append(start)
            due += self._session.due(now)
            if due:
                sock.sendall(b"".join(map(write, due)))
            self._ring.wait(min(self._session.wait_ms(now), self._turn(now)) / 1000.0)
            self._ring.clear()

    def _turn(self, now: float) -> float:
        """Act under the policy that holds; how long until another one may (ms)."""
        number = self._rights.version(now)
        with self._reading:
            text = self._texts.get(number)
        if number > self.policy and text is not None:
            try:
                config = self._usable(text)
            except ConfigError as exc:
                if number != self._unfit:
                    self._log.error("policy can't be used here", version=number, fault=str(exc))
                self._unfit = number
            else:
                self.policy = number
                with self._reading:
                    self._texts = {other: kept for other, kept in self._texts.items() if other > number}
                self._put(NewPolicy(number, config))
        holding = self.policy > 0 and number != self.policy
        if holding != self._holding:
            self._holding = holding
            self._log.info("holding" if holding else "acting", version=self.policy)
        since = self._rights.next_since(now)
        return IDLE_MS if since is None else max(since - now, 0.0) + 0.2

    def _policy(self, message: PolicyMessage) -> None:
        if isinstance(message, Document):
            # Few at a time: the one that holds, the one that follows, and one that is asked about.
            with self._reading:
                self._texts = dict(sorted({**self._texts, message.number: message.text}.items())[-3:])
        elif isinstance(message, Grant):
            self._rights = participant.granted(self._rights, message, self._clock.now())
        elif isinstance(message, Question):
            self._votes.append(Fit(message.id, self._fault(message.text)))
        elif isinstance(message, Prepare):
            text = self._texts.get(message.number)
            fault = "its text did not arrive" if text is None else self._fault(text)
            self._rights, vote = participant.prepared(self._rights, message, fault)
            if vote is not None:
                self._votes.append(vote)
        self._ring.set()

    def _fault(self, text: str) -> str:
        """Why a policy can't be used here; empty if it can."""
        try:
            self._usable(text)
        except ConfigError as exc:
            return str(exc)
        return ""

    def _hear(self, sock: socket.socket, over: threading.Event) -> None:
        lines = Lines()
        try:
            while data := sock.recv(65536):
                for message in lines.feed(data):
                    if isinstance(message, Welcome | KeyStatuses | LeaseGrants):
                        self._session.received(self._clock.now(), message)
                    elif isinstance(message, PolicyMessage):
                        self._policy(message)
                    else:
                        raise Unreadable(f"not expected: {type(message).__name__}")
                with self._arrived:
                    self._arrived.notify_all()
        except (OSError, Unreadable) as exc:
            self._log.warning("allocator lost", error=str(exc))
        finally:  # whatever ended it: else the connection would live on with nobody who reads
            over.set()
            self._ring.set()


def _nothing_told() -> None:
    return None


def _nobody_asked(text: str) -> Config:
    raise ConfigError("policy: this process does not follow any yet")


def _nobody_hears(event: NewPolicy) -> None:
    """Nothing is told before ``follow``."""


def from_environment(env: Mapping[str, str], log: Log) -> FleetShares:
    """The shares of the fleet that started this process; raises ``ConfigError`` for a faulty variable."""
    try:
        path, name = Path(env["SPRINGSPREAD_FLEET"]), env["SPRINGSPREAD_INSTANCE"]
        epoch, policy = int(env["SPRINGSPREAD_EPOCH"]), int(env.get("SPRINGSPREAD_POLICY", "0"))
        fleet = env.get("SPRINGSPREAD_FLEET_ID", "")
        return FleetShares(path, name, epoch, log, policy=policy, fleet=fleet)
    except KeyError as exc:
        raise ConfigError(f"{exc.args[0]}: not set, though SPRINGSPREAD_FLEET is") from exc
    except ValueError:
        raise ConfigError("SPRINGSPREAD_EPOCH, SPRINGSPREAD_POLICY: must be whole numbers") from None
