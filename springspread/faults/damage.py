"""Restarts after a power loss with damaged files: truncated, with a flipped bit, emptied or missing."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from springspread.faults.chaos import ChaosFleet

LOAD_S = 0.8
TRANSIENT_FILES = {"daemon.log", "lock", "log", "given.json"}


def torn(path: Path) -> None:
    """Cut off the second half."""
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2])


def flipped(path: Path) -> None:
    """Flip one bit in the middle."""
    data = bytearray(path.read_bytes())
    if data:
        data[len(data) // 2] ^= 0x10
    path.write_bytes(data)


def emptied(path: Path) -> None:
    """Remove the contents."""
    path.write_bytes(b"")


def missing(path: Path) -> None:
    """Remove the file."""
    path.unlink()


DAMAGE_KINDS: dict[str, Callable[[Path], None]] = {
    one.__name__: one for one in (torn, flipped, emptied, missing)
}


@dataclass(frozen=True, slots=True)
class DamageResult:
    """The result of one restart. ``startup_error``: the last log line of a daemon that did not start.

    ``lost`` counts messages without an outcome whose journal was intact,
    ``lost_with_journal`` those whose journal was damaged.
    """

    startup_error: str
    lost: int
    lost_with_journal: int
    unsafe_twice: int
    conflicting_outcomes: int

    @property
    def promise_violated(self) -> bool:
        """Whether a promise was violated."""
        return bool(self.lost or self.unsafe_twice or self.conflicting_outcomes)


class DamagedFleet(ChaosFleet):
    """A ``ChaosFleet`` with ``power``; call ``restart_damaged`` any number of times, then ``close``."""

    @property
    def files(self) -> list[str]:
        """Paths of the persistent files of the fleet and of its first instance, relative to its folder."""
        folders = (self._folder, self._folder / "n000", self._folder / "n000" / "state")
        paths = [path for folder in folders for path in folder.iterdir() if path.name not in TRANSIENT_FILES]
        paths += (self._folder / "policy").iterdir()
        return sorted(str(path.relative_to(self._folder)) for path in paths if path.is_file())

    def restart_damaged(self, damages: Sequence[tuple[str, str]]) -> DamageResult:
        """Cut the power while messages are pending, damage files (name, kind of damage) and restart."""
        services = self._services
        self.result.accepted.clear()
        services.rejecting.set()
        self.start_load()
        time.sleep(LOAD_S)
        self._load_stopped.set()
        before = {name: (self._folder / name).read_bytes() for name, _ in damages}

        def damage() -> None:
            for name, how in damages:
                if (path := self._folder / name).exists():
                    before[name] = path.read_bytes()
                    DAMAGE_KINDS[how](path)

        self.power_cut(between=damage)
        refused = self._startup_error()
        if refused:  # as the operator's page says: restore the newest intact copy
            for name, data in before.items():
                (self._folder / name).write_bytes(data)
            self._ensure_daemon()
        services.rejecting.clear()
        self.wait_until_ready()
        self.stop_load()
        damaged_instances = {name.split("/")[0] for name, _ in damages if "/state/" in name}
        gone = {id for id in self.result.without_outcome if id.split("-")[0] in damaged_instances}
        twice = sum(services.call_counts[id] > 1 for id in self.unsafe)
        lost = len(self.result.without_outcome) - len(gone)
        return DamageResult(refused, lost, len(gone), twice, len(self.result.conflicting_outcomes))

    def _startup_error(self) -> str:
        """The last log line of a daemon that did not start; empty if it started."""
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            if self._daemon.poll() is not None:
                lines = (self._folder / "daemon.log").read_text().splitlines()
                return lines[-1] if lines else "no log output"
            if self.recovery():
                return ""
            time.sleep(0.05)
        return ""
