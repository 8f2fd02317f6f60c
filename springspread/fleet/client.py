"""An instance's driver for its wallet: it connects to the allotter, asks, reports and takes leases in.

While the allotter is away the instance goes on with the leases that it holds, to their ends, and then makes
no call to a limited destination: a floor of none is the one that keeps every limit, whatever their number.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Mapping
from pathlib import Path

from springspread.config import ConfigError
from springspread.core.clock import SYSTEM, Clock
from springspread.core.types import Load, Log, ServerLink
from springspread.fleet.wallet import Wallet
from springspread.fleet.wire import Asking, Granted, Hello, Limited, Lines, Unreadable, write
from springspread.net.threads import spawn

POLL_MS = 10.0
IDLE_MS = 250.0
AGAIN_MS = 100.0
REPEAT_MS = 150.0
LEASE_WAIT_MS = 120.0  # a call waits so long for a lease, on its slot; then its message is decided on anew


def key_of(link: ServerLink) -> str:
    """What a limit binds: the endpoint where routes are apart, else its destination."""
    return f"r{link.group}/{link.name}" if link.apart else f"g{link.group}"


class FleetShares:
    """Asked by ``core.clearance`` before each call, and by the loop for what to tell the decision module."""

    def __init__(self, path: Path, name: str, epoch: int, log: Log, clock: Clock = SYSTEM) -> None:
        self._path, self._hello, self._log, self._clock = path, Hello(name, epoch), log, clock
        self._wallet = Wallet()
        self._arrived = threading.Condition()
        self._ring = threading.Event()
        self._told: dict[str, float] = {}
        self._new: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._open = True
        spawn("fleet", self._run, log)

    def acquire(self, link: ServerLink) -> bool:
        """The right to one call now, or within ``LEASE_WAIT_MS``."""
        key, until = key_of(link), self._clock.now() + LEASE_WAIT_MS
        while self._wallet.take(key, now := self._clock.now()) > 0.0:
            self._ring.set()
            if now >= until:
                return False
            with self._arrived:
                self._arrived.wait(POLL_MS / 1000.0)
        return True

    def load(self, link: ServerLink, load: Load) -> Load:
        """What the decision module is told of a link's limit: this instance's part of it."""
        key = key_of(link)
        if load.limit_per_s and self._told.get(key) != load.limit_per_s:
            self._told[key] = self._new[key] = load.limit_per_s
            self._ring.set()
        rate = self._rates.get(key)
        return load if rate is None else Load(load.left_share, rate)

    def close(self) -> None:
        """Ask for nothing more."""
        self._open = False
        self._ring.set()

    def _run(self) -> None:
        while self._open:
            try:
                with socket.socket(socket.AF_UNIX) as sock:
                    sock.settimeout(2.0)
                    sock.connect(str(self._path))
                    sock.settimeout(None)
                    self._talk(sock)
            except (OSError, Unreadable) as exc:
                self._log.warning("no allotter", error=str(exc))
            self._clock.sleep(AGAIN_MS)

    def _talk(self, sock: socket.socket) -> None:
        sock.sendall(write(self._hello))
        self._new = dict(self._told)  # a new allotter knows none of it
        over = threading.Event()
        reader = threading.Thread(target=self._hear, args=(sock, over), name="fleet-hear", daemon=True)
        reader.start()
        asked: Mapping[str, int] = {}
        said_at = 0.0
        while self._open and not over.is_set():
            now = self._clock.now()
            wants, reports = self._wallet.wants(now), self._wallet.done(now)
            told, self._new = self._new, {}
            # What waits is said again now and then: the allotter forgets who is silent.
            if wants != asked or reports or told or (wants and now >= said_at + REPEAT_MS):
                said_at = now
                gone = dict.fromkeys(asked.keys() - wants.keys(), 0)
                sock.sendall(write(Asking({**gone, **wants}, reports, told)))
                asked = wants
            busy = bool(wants) or self._wallet.holding
            self._ring.wait((POLL_MS if busy else IDLE_MS) / 1000.0)
            self._ring.clear()

    def _hear(self, sock: socket.socket, over: threading.Event) -> None:
        lines = Lines()
        try:
            while data := sock.recv(65536):
                for message in lines.feed(data):
                    if isinstance(message, Limited):
                        self._wallet.limited(set(message.keys))
                    elif isinstance(message, Granted):
                        self._rates[message.lease.key] = message.per_s
                        self._wallet.received(message.lease, self._clock.now())
                with self._arrived:
                    self._arrived.notify_all()
        except (OSError, Unreadable) as exc:
            self._log.warning("allotter lost", error=str(exc))
        over.set()
        self._ring.set()


def from_environment(env: Mapping[str, str], log: Log) -> FleetShares:
    """The shares of the fleet that started this process; raises ``ConfigError`` for a faulty variable."""
    try:
        return FleetShares(
            Path(env["SPRINGSPREAD_FLEET"]), env["SPRINGSPREAD_INSTANCE"], int(env["SPRINGSPREAD_EPOCH"]), log
        )
    except KeyError as exc:
        raise ConfigError(f"{exc.args[0]}: not set, though SPRINGSPREAD_FLEET is") from exc
    except ValueError:
        raise ConfigError("SPRINGSPREAD_EPOCH: must be a whole number") from None
