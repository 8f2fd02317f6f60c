"""Policies and decisions on disk. An entry is synced, file and folder, before any message that relies on it.

    file        content
    log         one entry a line: its checksum, a space, JSON; append-only
    NUMBER      the text of that policy, written and synced before its ``Proposed`` entry

Nothing relies on an incomplete last line; it is cut off. Any other damage raises ``DamagedRecord`` with the
file and line. The time of a decision is on a clock that starts with the machine: after a reboot it lies in
the past.
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
from springspread.rollout.document import Policy, PolicyBaseline, PolicyError, class_effects, parse_policy
from springspread.rollout.protocol import Begun, Decided, Entry, Proposed, Refused

CACHED_POLICIES = 3  # decoded: the one in force, the one before it, and one that is voted on
ENTRY_TYPES: dict[str, type[Entry]] = {
    kind.__name__.lower(): kind for kind in (Proposed, Decided, Refused, Begun)
}


class DamagedRecord(Exception):
    """A record that can't be used; the text names the file and what to do."""


class PolicyRecord:
    """The folder of a fleet's policies. Raises ``DamagedRecord`` or ``OSError``.

    ``entries``: the whole log, in order; ``history``: the state after them; ``outcomes``: the decisions, by
    the number of the proposal; ``digests``: of the proposed policies, by number.
    """

    def __init__(self, folder: Path, boot_id: str) -> None:
        """``boot_id``: identifies this boot of the machine."""
        self._folder, self._boot_id = folder, boot_id
        folder.mkdir(mode=0o700, exist_ok=True)
        self._path = folder / "log"
        self.entries: list[Entry] = []
        self.history = History()
        self.outcomes: dict[int, Decided | Refused] = {}
        self.digests: dict[int, str] = {}
        self._policies_lock = threading.Lock()  # orders read policies from their own threads
        self._policies: dict[int, Policy] = {}  # the most recently used, oldest first
        self._effects: dict[str, Effect] = {}
        self._size = self._read()
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(self._file, self._size)
        os.fsync(self._file)
        sync_folder(self._folder)

    def _read(self) -> int:
        """Read the log; returns the size of its complete lines in bytes."""
        data = self._path.read_bytes() if self._path.exists() else b""
        size = 0
        for number, line in enumerate(data.split(b"\n")[:-1], 1):
            self._add_entry(self._decode(number, line))
            size += len(line) + 1
        for entry in self.entries:
            if (
                isinstance(entry, Proposed)
                and sha256(self._read_text(entry.number)).hexdigest() != entry.digest
            ):
                raise DamagedRecord(
                    f"{self._folder / str(entry.number)}: differs from its proposal; {REPAIR_ADVICE}"
                )
        for number in self.decided:
            self._effects.update(class_effects(json.loads(self._read_text(number))["settings"]))
        return size

    def _read_text(self, number: int) -> bytes:
        path = self._folder / str(number)
        try:
            return path.read_bytes()
        except OSError as exc:
            raise DamagedRecord(f"{path}: {exc}; {REPAIR_ADVICE}") from exc

    def _decode(self, number: int, line: bytes) -> Entry:
        """Decode an entry; times of an earlier boot become -inf. Raises ``DamagedRecord``."""
        checksum, _, text = line.partition(b" ")
        if checksum != b"%08x" % crc32(text):
            raise self._damaged(f"line {number} is damaged")
        try:
            raw = json.loads(text)
            kind, boot_id = ENTRY_TYPES[raw.pop("kind")], raw.pop("boot")
            entry = kind(**raw)
        except (ValueError, KeyError, TypeError) as exc:
            raise self._damaged(f"line {number} is not a known entry") from exc
        if boot_id == self._boot_id:
            return entry
        if isinstance(entry, Decided):
            return Decided(entry.number, -inf)
        if isinstance(entry, Begun):
            return Begun(entry.generation, 0.0)  # no process survives a reboot
        return entry

    def _damaged(self, what: str) -> DamagedRecord:
        return DamagedRecord(f"{self._path}: {what}; {REPAIR_ADVICE}")

    def _add_entry(self, entry: Entry) -> None:
        self.entries.append(entry)
        if isinstance(entry, Decided | Refused):
            self.outcomes[entry.number] = entry
        elif isinstance(entry, Proposed):
            self.digests[entry.number] = entry.digest
        self.history = self.history.with_entry(entry)

    def policy(self, number: int) -> Policy:
        """A policy that was proposed, by its number."""
        policy = self._policies.get(number)
        if policy is None:
            try:
                policy = parse_policy(self._read_text(number).decode())
            except (ValueError, PolicyError) as exc:
                raise DamagedRecord(f"{self._folder / str(number)}: {exc}; {REPAIR_ADVICE}") from exc
        self._cache(number, policy)
        return policy

    def _cache(self, number: int, policy: Policy) -> None:
        """Cache a policy, and evict the least recently used.

        A policy of 140,000 limits takes some 30 MB, and a day may bring 1,600 changes.
        """
        with self._policies_lock:
            self._policies.pop(number, None)
            self._policies[number] = policy
            while len(self._policies) > CACHED_POLICIES:
                del self._policies[next(iter(self._policies))]

    @property
    def baseline(self) -> PolicyBaseline | None:
        """What the next policy is checked against; ``None`` before the first."""
        decided = self.decided
        return PolicyBaseline(self.policy(decided[-1]), self._effects) if decided else None

    @property
    def decided(self) -> list[int]:
        """The numbers of the decided policies, oldest first: all that are, were or will be in force."""
        return [entry.number for entry in self.entries if isinstance(entry, Decided)]

    def store(self, number: int, policy: Policy) -> None:
        """Write and sync a policy's text, before its ``Proposed`` entry."""
        path = self._folder / str(number)
        with path.open("wb") as file:
            file.write(policy.text.encode())
            file.flush()
            os.fsync(file.fileno())
        sync_folder(self._folder)
        self._cache(number, policy)

    def append(self, entry: Entry) -> None:
        """Append and sync an entry.

        Raises ``OSError`` where it is not on disk, ``DamagedRecord`` where it may or may not be.
        """
        kind = type(entry).__name__.lower()
        text = json.dumps({"kind": kind, "boot": self._boot_id, **asdict(entry)}).encode()
        line = b"%08x %s\n" % (crc32(text), text)
        try:
            if os.write(self._file, line) < len(line):
                raise OSError("partial write")
            os.fsync(self._file)
        except OSError as exc:
            self._remove_unsynced(exc)
            raise
        self._size += len(line)
        self._add_entry(entry)
        if isinstance(entry, Decided):
            self._effects.update(class_effects(self.policy(entry.number).settings))

    def _remove_unsynced(self, failure: OSError) -> None:
        """Cut off a line whose sync failed: a later sync may succeed without writing it."""
        try:
            os.ftruncate(self._file, self._size)
            os.fsync(self._file)
        except OSError as exc:
            advice = "restart the daemon"
            raise DamagedRecord(f"{self._path}: {exc} after {failure}; {advice}") from failure

    def add_refusal(self, number: int, fault: str) -> None:
        """Add a refusal in memory only; the next daemon refuses every proposal that has no decision."""
        self._add_entry(Refused(number, "", fault))

    def close(self) -> None:
        """Close the log."""
        os.close(self._file)


REPAIR_ADVICE = "restore the whole folder from a good copy, and delete nothing until the cause is known"
