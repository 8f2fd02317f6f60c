"""Starts the process of an instance: its configuration, its environment, its log."""

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

SEED_STEP = 7919  # between the seeds of instances
SEED_RANGE = 1 << 63
FLEET_ID_CHARS = 16
OWN_VARIABLES = ("RELAY_", "SPRINGSPREAD_")  # of the daemon; only what sets its log is handed on


@dataclass(frozen=True, slots=True)
class Start:
    """One start of an instance: ``emptying`` without clients, until its journal holds nothing."""

    name: str
    epoch: int
    emptying: bool
    policy_number: int
    policy: Policy


def fleet_id(folder: Path) -> str:
    """What tells a fleet from others: the same for each daemon of its folder."""
    return sha256(str(folder.resolve()).encode()).hexdigest()[:FLEET_ID_CHARS]


class Launcher:
    """Makes processes of instances. What one needs beside the fleet's files comes from ``own_settings``."""

    def __init__(
        self,
        plan: FleetPlan,
        base: Mapping[str, Any],
        program: str,
        own_settings: Callable[[str], dict[str, Any]],
        daemon_socket: Callable[[str], Path],
    ) -> None:
        """``base``: the decoded configuration; ``program``: the module to run; callables take a name."""
        self._plan, self._base, self._program = plan, base, program
        self._own_settings, self._meeting_point = own_settings, daemon_socket

    def prepare(self, start: Start) -> None:
        """Write the instance's configuration. Raises ``OSError``."""
        place = self._plan.folder / start.name
        (place / "state").mkdir(parents=True, exist_ok=True)
        (place / "config.json").write_text(json.dumps(self._configuration(start, place)))

    def launch(self, start: Start) -> subprocess.Popen[bytes]:
        """Start the process, after ``prepare`` and once its epoch is on record. Raises ``OSError``."""
        place = self._plan.folder / start.name
        with (place / "log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", self._program],
                env=self._environment(start, place),
                stdin=subprocess.DEVNULL,
                stderr=log,
                start_new_session=True,
            )

    def _configuration(self, start: Start, place: Path) -> dict[str, Any]:
        number = int(start.name[1:])
        fixed_port = self._plan.first_port and not start.emptying
        port = self._plan.first_port + number if fixed_port else 0
        seed = int(str(self._base.get("seed", "0")), 16) + number * SEED_STEP + start.epoch
        return {
            **self._base,
            "name": start.name,
            "listen": f"{self._plan.host}:{port}",
            "epoch": start.epoch,
            "state": str(place / "state"),
            "seed": f"{seed % SEED_RANGE:x}",
            "recovery": self._plan.recovery.waits,
            **self._own_settings(start.name),
            "settings": start.policy.settings,
            "policy": start.policy_number,
        }

    def _environment(self, start: Start, place: Path) -> dict[str, str]:
        inherited = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(OWN_VARIABLES) or "_LOG_" in key
        }
        return inherited | {
            "RELAY_CONFIG": str(place / "config.json"),
            "SPRINGSPREAD_FLEET": str(self._meeting_point(start.name)),
            "SPRINGSPREAD_INSTANCE": start.name,
            "SPRINGSPREAD_EPOCH": str(start.epoch),
            "SPRINGSPREAD_POLICY": str(start.policy_number),
            "SPRINGSPREAD_FLEET_ID": fleet_id(self._plan.folder),
        }
