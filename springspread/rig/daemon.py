"""The real daemon whose instances find it through relays: ``python -m springspread.rig.daemon
FLEET.toml``.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from springspread.fleet.daemon import Daemon
from springspread.fleet.plan import read_fleet
from springspread.logs import make_log

ENDS = (signal.SIGTERM, signal.SIGINT)


class RelayedDaemon(Daemon):
    """All of it is the daemon's own, but for the socket that instances are told of."""

    def meeting_point(self, name: str) -> Path:
        """The instance's relay."""
        return relay_path(self.folder, name)


def relay_path(folder: Path, name: str) -> Path:
    """Where an instance's relay stands."""
    return folder / f"relay.{name}"


def main() -> None:
    """Run until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDS)
    log, sink = make_log("fleet", 1000)
    daemon = RelayedDaemon(read_fleet(Path(sys.argv[1])), log)
    signal.sigwait(ENDS)
    daemon.stop()
    sink.flush()


if __name__ == "__main__":
    main()
