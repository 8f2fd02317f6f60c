"""The real daemon whose instances find it through relays.

``python -m springspread.faults.daemon FLEET.toml`` runs it.

Each instance may be given a configuration of its own (its directory, say) in ``given.json``.

With ``AT DEED FILE`` behind it, it meets its end, or a full disk, at a named moment of a change (``steps``).
"""

from __future__ import annotations

import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from springspread.faults.failpoints import Disk, FailpointAction, Steps
from springspread.faults.sabotage import SABOTAGES, VARIABLE
from springspread.fleet import daemon as daemon_module
from springspread.fleet.allocator_server import AllocatorServer
from springspread.fleet.daemon import Daemon
from springspread.fleet.limits import Owner
from springspread.fleet.plan import read_fleet
from springspread.fleet.wire import Message
from springspread.logs import make_log
from springspread.rollout import policy_record

PROGRAM = "FAULTS_PROGRAM"  # what instances run, in place of the program
ENDS = (signal.SIGTERM, signal.SIGINT)


class RelayedDaemon(Daemon):
    """All of it is the daemon's own, but for the socket that instances are told of."""

    steps: Steps | None = None

    def daemon_socket(self, name: str) -> Path:
        """The instance's relay, where there is one."""
        path = relay_path(self.folder, name)
        return path if path.exists() else super().daemon_socket(name)

    def instance_settings(self, name: str) -> dict[str, Any]:
        """What a file in the fleet's folder says of the instance."""
        path = instance_settings_path(self.folder)
        return dict(json.loads(path.read_text()).get(name, {})) if path.exists() else {}

    def propose(self, text: str, within_s: float) -> dict[str, Any]:
        """As the daemon's; moments are counted from the first one on."""
        if self.steps is not None:
            self.steps.arm()
        return super().propose(text, within_s)


def relay_path(folder: Path, name: str) -> Path:
    """Where an instance's relay stands."""
    return folder / f"relay.{name}"


def instance_settings_path(folder: Path) -> Path:
    """The file with what instances' configurations have of their own, by name."""
    return folder / "given.json"


def install(steps: Steps) -> None:
    """Put the moments in, for this process."""

    class Server(AllocatorServer):
        def send(self, owner: Owner, message: Message) -> None:
            what = f"{type(message).__name__.lower()} to {owner[0]}"
            steps.moment(f"before {what}", False)
            super().send(owner, message)
            steps.moment(f"after {what}", False)

    RelayedDaemon.steps = steps
    vars(daemon_module).update(AllocatorServer=Server)
    vars(policy_record).update(os=Disk(steps))


def main() -> None:
    """Run until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDS)
    log, sink = make_log("fleet", 1000)
    if sabotage := SABOTAGES.get(os.environ.get(VARIABLE, "")):
        if sabotage.sender:
            RelayedDaemon.program = "springspread.faults.sender"
        else:
            sabotage.install()
    RelayedDaemon.program = os.environ.get(PROGRAM, RelayedDaemon.program)
    if len(sys.argv) == 5:
        install(Steps(int(sys.argv[2]), FailpointAction(sys.argv[3]), Path(sys.argv[4])))
    daemon = RelayedDaemon(read_fleet(Path(sys.argv[1])), log)
    signal.sigwait(ENDS)
    daemon.stop()
    sink.flush()


if __name__ == "__main__":
    main()
