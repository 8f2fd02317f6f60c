"""Policies and decisions on disk. An entry is synced, file and folder, before any message that relies on it.

    file        content
    log         one entry a line: its checksum, a space, JSON; append-only
    NUMBER      the text of that policy, written and synced before its ``Proposed`` entry

An incomplete last line was never relied on and is cut off. Any other damage raises ``Damaged`` with the file
and line. The moment of a decision is on a clock that starts with the machine: after another start of the
machine it lies in the past.
"""

from __future__ import annotations

import json
import os
import threading
from dataclasses import asdict
from hashlib import sha256
from math import inf
from pathlib import Path
from zlib import crc32

from springspread.core.files import sync_folder
from springspread.interface import Effect
from springspread.rollout.coordinator import History
from springspread.rollout.document import Past, Policy, PolicyFault, effects_of, parse_policy
from springspread.rollout.protocol import Begun, Decided, Entry, Proposed, Refused

KEPT_POLICIES = 3  # decoded, in memory: the one in force, the one before it, and one that is voted on
KINDS: dict[str, type[Entry]] = {kind.__name__.lower(): kind for kind in (Proposed, Decided, Refused, Begun)}


class Damaged(Exception):
    """A record that can't be used; the text names the file and what to do."""


class PolicyRecord:
    """The folder of a fleet's policies. Raises ``Damaged`` or ``OSError``.

    ``entries``: all of the log, in order; ``history``: what they add up to; ``ends``: the decision on each
    proposal, by its number; ``digests``: of the proposed policies, by number.
    """

    def __init__(self, folder: Path, boot: str) -> None:
        """``boot``: the identity of this start of the machine."""
        self._folder, self._boot = folder, boot
        folder.mkdir(mode=0o700, exist_ok=True)
        self._path = folder / "log"
        self.entries: list[Entry] = []
        self.history = History()
        self.ends: dict[int, Decided | Refused] = {}
        self.digests: dict[int, str] = {}
        self._policies_lock = threading.Lock()  # orders read policies from their own threads
        self._policies: dict[int, Policy] = {}  # the latest that were asked for
        self._effects: dict[str, Effect] = {}
        self._size = self._read()
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(self._file, self._size)
        os.fsync(self._file)
        sync_folder(self._folder)

    def _read(self) -> int:
        """Take in the log; returns the bytes of its complete lines."""
        data = self._path.read_bytes() if self._path.exists() else b""
        size = 0
        for number, line in enumerate(data.split(b"\n")[:-1], 1):
            self._add_entry(self._parse(number, line))
            size += len(line) + 1
        for entry in self.entries:
            if isinstance(entry, Proposed) and sha256(self._bytes(entry.number)).hexdigest() != entry.digest:
                raise Damaged(f"{self._folder / str(entry.number)}: is not what was proposed; {ADVICE}")
        for number in self.decided:
            self._effects.update(effects_of(json.loads(self._bytes(number))["settings"]))
        return size

    def _bytes(self, number: int) -> bytes:
        path = self._folder / str(number)
        try:
            return path.read_bytes()
        except OSError as exc:
            raise Damaged(f"{path}: {exc}; {ADVICE}") from exc

    def _parse(self, number: int, line: bytes) -> Entry:
        """An entry; moments of another start of the machine become ones long ago. Raises ``Damaged``."""
        checksum, _, text = line.partition(b" ")
        if checksum != b"%08x" % crc32(text):
            raise self._damaged(f"line {number} is damaged")
        try:
            raw = json.loads(text)
            kind, boot = KINDS[raw.pop("kind")], raw.pop("boot")
            entry = kind(**raw)
        except (ValueError, KeyError, TypeError) as exc:
            raise self._damaged(f"line {number} is of no kind that this program knows") from exc
        if boot == self._boot:
            return entry
        if isinstance(entry, Decided):
            return Decided(entry.number, -inf)
        if isinstance(entry, Begun):
            return Begun(entry.generation, 0.0)  # no process of another start of the machine lives
        return entry

    def _damaged(self, what: str) -> Damaged:
        return Damaged(f"{self._path}: {what}; {ADVICE}")

    def _add_entry(self, entry: Entry) -> None:
        self.entries.append(entry)
        if isinstance(entry, Decided | Refused):
            self.ends[entry.number] = entry
        elif isinstance(entry, Proposed):
            self.digests[entry.number] = entry.digest
        self.history = self.history.with_entry(entry)

    def policy(self, number: int) -> Policy:
        """A policy that was proposed, by its number."""
        policy = self._policies.get(number)
        if policy is None:
            try:
                policy = parse_policy(self._bytes(number).decode())
            except (ValueError, PolicyFault) as exc:
                raise Damaged(f"{self._folder / str(number)}: {exc}; {ADVICE}") from exc
        self._remember(number, policy)
        return policy

    def _remember(self, number: int, policy: Policy) -> None:
        """Guards memory: a policy of 140,000 limits takes some 30 MB, and a day may bring 1,600."""
        with self._policies_lock:
            self._policies.pop(number, None)
            self._policies[number] = policy
            while len(self._policies) > KEPT_POLICIES:
                del self._policies[next(iter(self._policies))]

    @property
    def past(self) -> Past | None:
        """What the next policy is checked against."""
        decided = self.decided
        return Past(self.policy(decided[-1]), self._effects) if decided else None

    @property
    def decided(self) -> list[int]:
        """The numbers of the policies that are or were in force, or are decided, oldest first."""
        return [entry.number for entry in self.entries if isinstance(entry, Decided)]

    def store(self, number: int, policy: Policy) -> None:
        """Write a policy's text, synced; its ``Proposed`` entry may follow."""
        path = self._folder / str(number)
        with path.open("wb") as file:
            file.write(policy.text.encode())
            file.flush()
            os.fsync(file.fileno())
        sync_folder(self._folder)
        self._remember(number, policy)

    def append(self, entry: Entry) -> None:
        """Put an entry on record, synced.

        Raises ``OSError`` where it is not on record, ``Damaged`` where it may or may not be.
        """
        kind = type(entry).__name__.lower()
        text = json.dumps({"kind": kind, "boot": self._boot, **asdict(entry)}).encode()
        line = b"%08x %s\n" % (crc32(text), text)
        try:
            if os.write(self._file, line) < len(line):
                raise OSError("written in part")
            os.fsync(self._file)
        except OSError as exc:
            self._remove_unsynced(exc)
            raise
        self._size += len(line)
        self._add_entry(entry)
        if isinstance(entry, Decided):
            self._effects.update(effects_of(self.policy(entry.number).settings))

    def _remove_unsynced(self, failure: OSError) -> None:
        """Cut off a line whose sync failed: a later sync could report success without it on disk."""
        try:
            os.ftruncate(self._file, self._size)
            os.fsync(self._file)
        except OSError as exc:
            advice = "end the daemon and start it anew"
            raise Damaged(f"{self._path}: {exc} after {failure}; {advice}") from failure

    def refused(self, number: int, fault: str) -> None:
        """Note a refusal that can't be written; the next daemon refuses what has no decision on record."""
        self._add_entry(Refused(number, "", fault))

    def close(self) -> None:
        """Close the log."""
        os.close(self._file)


ADVICE = "put the whole folder back from a good copy, or have another look before anything is deleted"
