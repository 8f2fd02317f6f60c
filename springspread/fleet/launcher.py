"""Starts an instance's process with its configuration, environment and log."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

from springspread.fleet.plan import FleetPlan
from springspread.rollout.document import Policy

SEED_STEP = 7919  # between the seeds of two instances
SEED_RANGE = 1 << 63
FLEET_ID_CHARS = 16
DAEMON_PREFIXES = ("RELAY_", "SPRINGSPREAD_")  # of variables that are not inherited, except for logging


@dataclass(frozen=True, slots=True)
class Start:
    """One start of an instance; ``emptying``: without clients, until its journal is empty."""

    name: str
    epoch: int
    emptying: bool
    policy_number: int
    policy: Policy


def fleet_id(folder: Path) -> str:
    """An identifier of the fleet, the same for each daemon of its folder."""
    return sha256(str(folder.resolve()).encode()).hexdigest()[:FLEET_ID_CHARS]


class Launcher:
    """Starts instances' processes."""

    def __init__(
        self,
        plan: FleetPlan,
        base: Mapping[str, Any],
        program: str,
        instance_settings: Callable[[str], dict[str, Any]],
        daemon_socket: Callable[[str], Path],
    ) -> None:
        """``base``: the shared configuration; ``program``: the module to run; the callables take a name.

        ``instance_settings`` returns additional configuration of one instance.
        """
        self._plan, self._base, self._program = plan, base, program
        self._instance_settings, self._daemon_socket = instance_settings, daemon_socket

    def prepare(self, start: Start) -> None:
        """Write the instance's configuration. Raises ``OSError``."""
        instance_folder = self._plan.folder / start.name
        (instance_folder / "state").mkdir(parents=True, exist_ok=True)
        (instance_folder / "config.json").write_text(json.dumps(self._configuration(start, instance_folder)))

    def launch(self, start: Start) -> subprocess.Popen[bytes]:
        """Start the process, after ``prepare`` and once its epoch is recorded. Raises ``OSError``."""
        instance_folder = self._plan.folder / start.name
        with (instance_folder / "log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", self._program],
                env=self._environment(start, instance_folder),
                stdin=subprocess.DEVNULL,
                stderr=log,
                start_new_session=True,
            )

    def _configuration(self, start: Start, instance_folder: Path) -> dict[str, Any]:
        number = int(start.name[1:])
        fixed_port = self._plan.first_port and not start.emptying
        port = self._plan.first_port + number if fixed_port else 0
        seed = int(str(self._base.get("seed", "0")), 16) + number * SEED_STEP + start.epoch
        return {
            **self._base,
            "name": start.name,
            "listen": f"{self._plan.host}:{port}",
            "epoch": start.epoch,
            "state": str(instance_folder / "state"),
            "seed": f"{seed % SEED_RANGE:x}",
            "recovery": self._plan.recovery.waits,
            **self._instance_settings(start.name),
            "settings": start.policy.settings,
            "policy": start.policy_number,
        }

    def _environment(self, start: Start, instance_folder: Path) -> dict[str, str]:
        inherited = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(DAEMON_PREFIXES) or "_LOG_" in key
        }
        return inherited | {
            "RELAY_CONFIG": str(instance_folder / "config.json"),
            "SPRINGSPREAD_FLEET": str(self._daemon_socket(start.name)),
            "SPRINGSPREAD_INSTANCE": start.name,
            "SPRINGSPREAD_EPOCH": str(start.epoch),
            "SPRINGSPREAD_POLICY": str(start.policy_number),
            "SPRINGSPREAD_FLEET_ID": fleet_id(self._plan.folder),
        }
