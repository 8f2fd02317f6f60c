"""Reads an instance's folder for the daemon: its configuration, journal and log."""

from __future__ import annotations

import json
import os
import shutil
from contextlib import suppress
from math import inf
from pathlib import Path

from springspread.core.journal_ownership import read_pending

MAX_LOG_BYTES = 4 << 20
LOG_TAIL_BYTES = 1 << 18  # the end of a log, which is searched for the ready line


def policy_started_with(folder: Path) -> int:
    """The number of the policy in its configuration; 0 where it names none."""
    try:
        return int(json.loads((folder / "config.json").read_text()).get("policy", 0))
    except (OSError, ValueError, TypeError, AttributeError):
        return 0


def pending_messages(folder: Path) -> int:
    """The number of messages pending in its journal; 1 where it can't be read at the moment."""
    if not (state := folder / "state").is_dir():
        return 0
    with suppress(OSError):  # its process deletes files
        return len(read_pending(state))
    return 1


def first_deadline(folder: Path) -> float:
    """The earliest deadline of its pending messages (Unix time, ms); inf where there is none."""
    with suppress(OSError):
        pending = read_pending(folder / "state")
        return min((message.deadline_wall for message in pending.values()), default=inf)
    return inf


def listen_address(folder: Path, pid: int, epoch: int) -> str:
    """The ``host:port`` in the ready line that its process logged; empty where there is none yet.

    An earlier process may have had the same process id, but not the same epoch.
    """
    log = folder / "log"
    try:
        with log.open("rb") as source:
            source.seek(max(log.stat().st_size - LOG_TAIL_BYTES, 0))
            lines = source.read().splitlines()
    except OSError:
        return ""
    for line in reversed(lines):
        if b'"event": "ready"' in line:
            with suppress(ValueError, KeyError):
                ready = json.loads(line)
                own = ready.get("pid", pid) == pid and ready.get("epoch", epoch) == epoch
                return str(ready["listen"]) if own else ""
    return ""


def rotate_log(folder: Path) -> None:
    """Copy a log over ``MAX_LOG_BYTES`` to ``log.1`` and truncate it."""
    log = folder / "log"
    with suppress(FileNotFoundError):
        if log.stat().st_size > MAX_LOG_BYTES:
            shutil.copyfile(log, log.with_suffix(".1"))
            os.truncate(log, 0)  # its process appends, so it continues at offset 0
