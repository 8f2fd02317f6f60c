"""The watch on discovery's list: one thread and one connection, without gaps while it goes well."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace

from springspread.config import Address, Limits, Names
from springspread.core.types import CoreEvent, HostGroups, Log, Scope, clock
from springspread.net.exchange import FAILURES, Caller, MovedError
from springspread.net.threads import spawn
from springspread.platform import catalog


class Watcher:
    """Watches once it is told to, and stops at a failure until it is told again.

    Moved to another address, it watches there at once.
    """

    def __init__(
        self,
        address: Address,
        names: Names,
        version: int | None,
        limits: Limits,
        put: Callable[[CoreEvent], None],
        log: Log,
    ) -> None:
        self._caller = Caller(address, limits)
        self._names, self._version, self._limits = names, version, limits
        self._put, self._log = put, log
        self._wake = threading.Event()
        self._watching = self._fetching = self._moved = False
        spawn("discovery", self._run, log)

    def watch(self, active: bool) -> None:
        """Begin or end the watch; a running one goes on."""
        self._watching = active
        self._wake.set()

    def fetch(self) -> None:
        """Ask once for the whole list."""
        self._fetching = True
        self._wake.set()

    def move(self, address: Address) -> None:
        """Ask another address from now on, also what was cut off at the old one."""
        self._caller.move(address)
        self._moved = self._watching = True
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._watching or self._fetching:
                fetch, self._fetching = self._fetching, False
                self._moved = False
                try:
                    # Guards discovery against a fleet that starts at once: no short watch goes before this.
                    since = None if fetch else self._version
                    self._put(self._ask(since, 0.0 if since is None else self._limits.watch_ms))
                except MovedError as exc:
                    self._log.info("discovery moved", cut_off=str(exc))
                    self._fetching |= fetch
                except (*FAILURES, catalog.Unreadable) as exc:
                    self._log.warning("discovery failed", error=repr(exc))
                    self._watching = self._moved
                    self._put(HostGroups(Scope.FAILED))

    def _ask(self, since: int | None, wait_ms: float) -> HostGroups:
        until = clock() + wait_ms + self._limits.watch_slack_ms
        self._log.debug("list query", since=since, wait_ms=wait_ms)
        answer = self._caller.call("GET", catalog.target(since, wait_ms), {}, b"", until)
        if answer.status != 200:
            raise catalog.Unreadable(f"status {answer.status}")
        news = catalog.read_list(answer.body, self._names, clock())
        # Guards the list against a service that counts anew, as another may: what it left out is not known.
        self._fetching |= since is not None and news.version < since
        self._version = news.version
        return replace(news, date=answer.headers.get("Date"))
