"""The town's senders as a fleet: the real daemon, started as an operator does, and what it knows of them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from springspread.faults.daemon import instance_settings_path
from springspread.fleet.control_client import send_order
from springspread.fleet.limits import Limit, LimitMode

READY_S = 30.0
STOP_S = 15.0
LOOK_S = 0.5  # an answer about the fleet takes no longer


class TownFleet:
    """Runs until ``close``. Raises ``RuntimeError`` where the fleet does not come up."""

    def __init__(
        self, place: Path, senders: int, limits: Mapping[str, Limit], mode: LimitMode = LimitMode.EXACT
    ) -> None:
        """``place``: an empty folder. ``mode``: of destinations that have no limit here."""
        self._place, self._senders = place, senders
        self._file, self._folder = place / "fleet.toml", place / "fleet"
        self._folder.mkdir(parents=True, exist_ok=True)
        lines = ['folder = "fleet"', 'config = "sender.json"', f"instances = {senders}"]
        lines.append(f'default_mode = "{mode.value}"')
        for key, limit in limits.items():
            lines += [
                f"[limits.{json.dumps(key)}]",
                f"calls = {limit.calls}",
                f"span_ms = {float(limit.span_ms)}",
                f'mode = "{limit.mode.value}"',
            ]
        self._file.write_text("\n".join(lines) + "\n")
        self._pids: dict[int, int] = {}
        self._found: dict[int, tuple[str, int]] = {}
        self._gone: set[int] = set()  # processes that were ended, and may still be told of

    def start(self, config: Mapping[str, Any], directories: Mapping[int, int]) -> dict[int, tuple[str, int]]:
        """Start the daemon and wait for all; their addresses. ``directories``: the port that each asks."""
        (self._place / "sender.json").write_text(json.dumps(config))
        own = {name_of(n): {"discovery": f"127.0.0.1:{port}"} for n, port in directories.items()}
        instance_settings_path(self._folder).write_text(json.dumps(own))
        line = [sys.executable, "-m", "springspread.faults.daemon", str(self._file)]
        with (self._place / "daemon.log").open("wb") as log:
            self._daemon = subprocess.Popen(line, stderr=log, start_new_session=True)
        end = time.monotonic() + READY_S
        while len(found := self.addresses()) < self._senders:
            if self._daemon.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"no fleet: {(self._place / 'daemon.log').read_text()[-500:]}")
            time.sleep(0.05)
        return found

    def addresses(self) -> dict[int, tuple[str, int]]:
        """Of the instances that serve now; what was known where the daemon does not answer."""
        with suppress(OSError, ValueError):
            rows = send_order(self._folder / "control", {"do": "status"}, LOOK_S)["instances"]
            found = {}
            for row in rows:
                number = int(row["name"][1:])
                self._pids[number] = row["pid"]
                if row["listen"] and row["in_fleet"] and row["pid"] not in self._gone:
                    host, _, port = row["listen"].rpartition(":")
                    found[number] = (host, int(port))
            self._found = found
        return self._found

    def send(self, number: int, what: signal.Signals) -> None:
        """A signal to an instance's process; one that is ended by it is started again by the daemon."""
        pid = self._pids[number]
        if what in (signal.SIGKILL, signal.SIGTERM):
            self._gone.add(pid)
        with suppress(ProcessLookupError):
            os.kill(pid, what)

    def close(self) -> None:
        """End every process."""
        for number in self._pids:
            self.send(number, signal.SIGCONT)
        self._daemon.terminate()
        try:
            self._daemon.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self._daemon.kill()
            self._daemon.wait()


def name_of(number: int) -> str:
    """An instance's name in the daemon."""
    return f"n{number:03}"
