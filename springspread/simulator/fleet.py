"""Runs the simulated senders as a fleet under the real daemon, started as an operator does."""

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
STATUS_TIMEOUT_S = 0.5


class FleetProcess:
    """A daemon and its instances. ``start`` raises ``RuntimeError`` if the fleet does not start."""

    def __init__(
        self, root: Path, senders: int, limits: Mapping[str, Limit], mode: LimitMode = LimitMode.EXACT
    ) -> None:
        """``root``: an empty folder. ``mode``: the default for destinations without a limit here."""
        self._root, self._senders = root, senders
        self._plan_file, self._folder = root / "fleet.toml", root / "fleet"
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
        self._plan_file.write_text("\n".join(lines) + "\n")
        self._pids: dict[int, int] = {}
        self._last_addresses: dict[int, tuple[str, int]] = {}
        self._stopped_pids: set[int] = set()  # stopped, but perhaps still in the daemon's status

    def start(self, config: Mapping[str, Any], directories: Mapping[int, int]) -> dict[int, tuple[str, int]]:
        """Start the daemon; the addresses when all serve. ``directories``: the instances' discovery ports."""
        (self._root / "sender.json").write_text(json.dumps(config))
        own = {instance_name(n): {"discovery": f"127.0.0.1:{port}"} for n, port in directories.items()}
        instance_settings_path(self._folder).write_text(json.dumps(own))
        command = [sys.executable, "-m", "springspread.faults.daemon", str(self._plan_file)]
        with (self._root / "daemon.log").open("wb") as log:
            self._daemon = subprocess.Popen(command, stderr=log, start_new_session=True)
        end = time.monotonic() + READY_S
        while len(found := self.addresses()) < self._senders:
            if self._daemon.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"fleet did not start: {(self._root / 'daemon.log').read_text()[-500:]}")
            time.sleep(0.05)
        return found

    def addresses(self) -> dict[int, tuple[str, int]]:
        """Addresses of the serving instances; the last known ones if the daemon does not answer."""
        with suppress(OSError, ValueError):
            rows = send_order(self._folder / "control", {"do": "status"}, STATUS_TIMEOUT_S)["instances"]
            found = {}
            for row in rows:
                number = int(row["name"][1:])
                self._pids[number] = row["pid"]
                if row["listen"] and row["in_fleet"] and row["pid"] not in self._stopped_pids:
                    host, _, port = row["listen"].rpartition(":")
                    found[number] = (host, int(port))
            self._last_addresses = found
        return self._last_addresses

    def send(self, number: int, signum: signal.Signals) -> None:
        """Send a signal to an instance's process; the daemon restarts a stopped one."""
        pid = self._pids[number]
        if signum in (signal.SIGKILL, signal.SIGTERM):
            self._stopped_pids.add(pid)
        with suppress(ProcessLookupError):
            os.kill(pid, signum)

    def close(self) -> None:
        """Stop the daemon and its instances."""
        for number in self._pids:
            self.send(number, signal.SIGCONT)
        self._daemon.terminate()
        try:
            self._daemon.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self._daemon.kill()
            self._daemon.wait()


def instance_name(number: int) -> str:
    """An instance's name in the daemon."""
    return f"n{number:03}"
