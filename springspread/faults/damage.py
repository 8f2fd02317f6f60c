"""Folders that come back from a power loss damaged: one file, or two, torn, flipped, emptied or missing."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from springspread.faults.chaos import Chaos

OWED_S = 0.8
NOT_KEPT = {"daemon.log", "lock", "log", "given.json"}


def torn(path: Path) -> None:
    """Its second half is gone."""
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2])


def flipped(path: Path) -> None:
    """One bit in its middle is wrong."""
    data = bytearray(path.read_bytes())
    if data:
        data[len(data) // 2] ^= 0x10
    path.write_bytes(data)


def emptied(path: Path) -> None:
    """It is there, and has nothing in it."""
    path.write_bytes(b"")


def missing(path: Path) -> None:
    """It is not there."""
    path.unlink()


DAMAGE_KINDS: dict[str, Callable[[Path], None]] = {
    one.__name__: one for one in (torn, flipped, emptied, missing)
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a return. ``refused``: what the daemon said where it did not start, at first.

    ``lost``: messages without an end that an undamaged journal held; ``gone``: those of a damaged one.
    """

    refused: str
    lost: int
    gone: int
    unsafe_twice: int
    conflicting_outcomes: int

    @property
    def promise_violated(self) -> bool:
        """Whether a promise was."""
        return bool(self.lost or self.unsafe_twice or self.conflicting_outcomes)


class DamagedFleet(Chaos):
    """Made as ``Chaos`` with ``power``; any number of ``restart_damaged``, then ``close``."""

    @property
    def files(self) -> list[str]:
        """What is kept of the fleet and of its first instance, by the names in its folder."""
        own = (self._folder, self._folder / "n000", self._folder / "n000" / "state")
        kept = [path for place in own for path in place.iterdir() if path.name not in NOT_KEPT]
        kept += (self._folder / "policy").iterdir()
        return sorted(str(path.relative_to(self._folder)) for path in kept if path.is_file())

    def restart_damaged(self, damages: Sequence[tuple[str, str]]) -> Outcome:
        """Lose the power with messages owed, damage files (name, how), and return."""
        outside = self._outside
        self.result.accepted.clear()
        outside.shut.set()
        self.start_load()
        time.sleep(OWED_S)
        self._over.set()
        before = {name: (self._folder / name).read_bytes() for name, _ in damages}

        def damage() -> None:
            for name, how in damages:
                if (path := self._folder / name).exists():
                    before[name] = path.read_bytes()
                    DAMAGE_KINDS[how](path)

        self.power_cut(between=damage)
        refused = self._refused()
        if refused:  # as the page says: put the newest good copy back
            for name, data in before.items():
                (self._folder / name).write_bytes(data)
            self._again()
        outside.shut.clear()
        self.wait_until_ready()
        self.stop_load()
        held = {name.split("/")[0] for name, _ in damages if "/state/" in name}
        gone = {id for id in self.result.without_outcome if id.split("-")[0] in held}
        twice = sum(outside.call_counts[id] > 1 for id in self.unsafe)
        lost = len(self.result.without_outcome) - len(gone)
        return Outcome(refused, lost, len(gone), twice, len(self.result.conflicting_outcomes))

    def _refused(self) -> str:
        """Why the daemon did not start; empty where it did."""
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            if self._daemon.poll() is not None:
                lines = (self._folder / "daemon.log").read_text().splitlines()
                return lines[-1] if lines else "it says nothing"
            if self.recovery():
                return ""
            time.sleep(0.05)
        return ""
