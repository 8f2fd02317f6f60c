"""Policies and decisions on disk. An entry is synced, file and folder, before anything that follows is told.

    file        holds
    log         one entry a line: a checksum, a space, JSON; only ever appended to
    NUMBER      the text of that policy, written and synced before its *proposed*

A torn last line was never told: it is cut off. Any other damage is told by file and line, and nothing is
begun over it. A decision's moment is of a clock that starts with the machine: after another start it lies
in the past.
"""

from __future__ import annotations

import json
import os
from dataclasses import asdict
from math import inf
from pathlib import Path
from zlib import crc32

from springspread.core.files import sync_folder
from springspread.rollout.coordinator import History
from springspread.rollout.document import Policy, PolicyFault, parsed
from springspread.rollout.terms import Begun, Decided, Entry, Proposed, Refused

KINDS: dict[str, type[Entry]] = {kind.__name__.lower(): kind for kind in (Proposed, Decided, Refused, Begun)}


class Damaged(Exception):
    """A record that can't be followed; the text names the file and what to do."""


class PolicyRecord:
    """The folder of a fleet's policies. Raises ``Damaged`` or ``OSError``."""

    def __init__(self, folder: Path, boot: str) -> None:
        """``boot`` names this start of the machine."""
        self._folder, self._boot = folder, boot
        folder.mkdir(mode=0o700, exist_ok=True)
        self._path = folder / "log"
        self.entries: list[Entry] = []
        self.history = History()
        self.ends: dict[int, Decided | Refused] = {}  # what became of each proposal
        self._policies: dict[int, Policy] = {}
        good = self._read()
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self._size = good
        os.ftruncate(self._file, good)
        os.fsync(self._file)
        sync_folder(self._folder)

    def _read(self) -> int:
        data = self._path.read_bytes() if self._path.exists() else b""
        at = 0
        for number, line in enumerate(data.split(b"\n")[:-1], 1):
            check, _, rest = line.partition(b" ")
            if check != b"%08x" % crc32(rest):
                raise self._damaged(f"line {number} is damaged")
            try:
                raw = json.loads(rest)
                kind, boot = KINDS[raw.pop("kind")], raw.pop("boot")
                entry = kind(**raw)
            except (ValueError, KeyError, TypeError) as exc:
                raise self._damaged(f"line {number} is of no kind that this program knows") from exc
            if isinstance(entry, Decided) and boot != self._boot:
                entry = Decided(entry.number, -inf)
            if isinstance(entry, Begun) and boot != self._boot:
                entry = Begun(entry.generation, 0.0)  # no process of another start of the machine lives
            self._note(entry)
            at += len(line) + 1
        for entry in self.entries:
            if isinstance(entry, Proposed) and self.policy(entry.number).digest != entry.digest:
                raise Damaged(f"{self._folder / str(entry.number)}: is not what was proposed; {ADVICE}")
        return at

    def _damaged(self, what: str) -> Damaged:
        return Damaged(f"{self._path}: {what}; {ADVICE}")

    def _note(self, entry: Entry) -> None:
        self.entries.append(entry)
        if isinstance(entry, Decided | Refused):
            self.ends[entry.number] = entry
        self.history = self.history.after(entry)

    def policy(self, number: int) -> Policy:
        """A policy that was proposed."""
        if number not in self._policies:
            path = self._folder / str(number)
            try:
                self._policies[number] = parsed(path.read_text())
            except (OSError, ValueError, PolicyFault) as exc:
                raise Damaged(f"{path}: {exc}; {ADVICE}") from exc
        return self._policies[number]

    @property
    def decided(self) -> list[int]:
        """The policies that hold or held, the oldest first."""
        return [entry.number for entry in self.entries if isinstance(entry, Decided)]

    def keep(self, number: int, policy: Policy) -> None:
        """Write a policy's text, synced; its *proposed* may follow."""
        path = self._folder / str(number)
        with path.open("wb") as file:
            file.write(policy.text.encode())
            file.flush()
            os.fsync(file.fileno())
        sync_folder(self._folder)
        self._policies[number] = policy

    def append(self, entry: Entry) -> None:
        """Put an entry on record, synced. On ``OSError`` it is not there; on ``Damaged`` nobody knows."""
        kind = type(entry).__name__.lower()
        rest = json.dumps({"kind": kind, "boot": self._boot, **asdict(entry)}).encode()
        line = b"%08x %s\n" % (crc32(rest), rest)
        try:
            if os.write(self._file, line) < len(line):
                raise OSError("written in part")
            os.fsync(self._file)
        except OSError as exc:
            # Guards against a failed sync that a later one would make look like a success.
            try:
                os.ftruncate(self._file, self._size)
                os.fsync(self._file)
            except OSError as again:
                raise Damaged(f"{self._path}: {again} after {exc}; end the daemon and start it anew") from exc
            raise
        self._size += len(line)
        self._note(entry)

    def refused(self, number: int, fault: str) -> None:
        """A proposal is refused as the disk takes nothing more: the next daemon refuses what has no end."""
        self._note(Refused(number, "", fault))

    def close(self) -> None:
        """Let go of the file."""
        os.close(self._file)


ADVICE = "put the whole folder back from a good copy, or have another look before anything is deleted"
