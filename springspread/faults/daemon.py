"""Runs the real daemon with its instances connected through relays.

    python -m springspread.faults.daemon FLEET.toml [AT ACTION FILE]

``given.json`` may hold settings of single instances, such as their discovery address.

With ``AT ACTION FILE`` the daemon dies, or its disk fills up, at the ``AT``-th failpoint of a policy change
(``failpoints``), whose name is written to ``FILE``.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from springspread.faults.failpoints import FailpointAction, FailpointOs, Failpoints
from springspread.faults.sabotage import SABOTAGE_VARIABLE, SABOTAGES
from springspread.fleet import daemon as daemon_module
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.daemon import Daemon
from springspread.fleet.limits import Owner
from springspread.fleet.plan import read_fleet
from springspread.fleet.wire import Message
from springspread.logs import make_log
from springspread.rollout import policy_record

PROGRAM_VARIABLE = "FAULTS_PROGRAM"  # the module that instances run instead of the program
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RelayedDaemon(Daemon):
    """A daemon that gives its instances the sockets of their relays."""

    failpoints: Failpoints | None = None

    def daemon_socket(self, name: str) -> Path:
        """The socket of the instance's relay, if there is one."""
        path = relay_path(self.folder, name)
        return path if path.exists() else super().daemon_socket(name)

    def instance_settings(self, name: str) -> dict[str, Any]:
        """The instance's settings in ``given.json``."""
        path = instance_settings_path(self.folder)
        return dict(json.loads(path.read_text()).get(name, {})) if path.exists() else {}

    def propose(self, text: str, within_s: float) -> dict[str, Any]:
        """As ``Daemon``; failpoints are counted from the first proposal on."""
        if self.failpoints is not None:
            self.failpoints.arm()
        return super().propose(text, within_s)


def relay_path(folder: Path, name: str) -> Path:
    """The path of an instance's relay socket."""
    return folder / f"relay.{name}"


def instance_settings_path(folder: Path) -> Path:
    """The path of the file with settings of single instances, by name."""
    return folder / "given.json"


def install(failpoints: Failpoints) -> None:
    """Install the failpoints in this process."""

    class Server(AllocatorServer):
        def send(self, owner: Owner, message: Message) -> None:
            target = f"{type(message).__name__.lower()} to {owner[0]}"
            failpoints.reach(f"before {target}", False)
            super().send(owner, message)
            failpoints.reach(f"after {target}", False)

    RelayedDaemon.failpoints = failpoints
    vars(daemon_module).update(AllocatorServer=Server)
    vars(policy_record).update(os=FailpointOs(failpoints))


def main() -> None:
    """Run until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    log, sink = make_log("fleet", 1000)
    if sabotage := SABOTAGES.get(os.environ.get(SABOTAGE_VARIABLE, "")):
        if sabotage.sender:
            RelayedDaemon.program = "springspread.faults.sender"
        else:
            sabotage.install()
    RelayedDaemon.program = os.environ.get(PROGRAM_VARIABLE, RelayedDaemon.program)
    if len(sys.argv) == 5:
        install(Failpoints(int(sys.argv[2]), FailpointAction(sys.argv[3]), Path(sys.argv[4])))
    daemon = RelayedDaemon(read_fleet(Path(sys.argv[1])), log)
    signal.sigwait(STOP_SIGNALS)
    daemon.stop()
    sink.flush()


if __name__ == "__main__":
    main()
