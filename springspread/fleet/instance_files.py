"""Reads the folder of one instance for the daemon: its configuration, journal and log."""

from __future__ import annotations

import json
import os
import shutil
from contextlib import suppress
from math import inf
from pathlib import Path

from springspread.core.journal_ownership import read_pending

LOG_BYTES = 4 << 20
LOG_TAIL_BYTES = 1 << 18  # the ready line is searched for in the last part of a log


def policy_started_with(place: Path) -> int:
    """The number of the policy that its configuration was last written for; 0 where it names none."""
    try:
        return int(json.loads((place / "config.json").read_text()).get("policy", 0))
    except (OSError, ValueError, TypeError, AttributeError):
        return 0


def pending_messages(place: Path) -> int:
    """How many messages without an end its journal holds; 1 where it can't be read at the moment."""
    if not (state := place / "state").is_dir():
        return 0
    with suppress(OSError):  # its process clears files away
        return len(read_pending(state))
    return 1


def first_deadline(place: Path) -> float:
    """The first deadline of its pending messages (Unix time, ms); inf where it has none."""
    with suppress(OSError):
        pending = read_pending(place / "state")
        return min((message.deadline_wall for message in pending.values()), default=inf)
    return inf


def listen_address(place: Path, pid: int) -> str:
    """The ``host:port`` in the ready line that its process logged; empty where there is none yet."""
    log = place / "log"
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
                return str(ready["listen"]) if ready.get("pid", pid) == pid else ""
    return ""


def rotate_log(place: Path) -> None:
    """Move a log over ``LOG_BYTES`` to ``log.1``, in place of the one there, and empty it."""
    log = place / "log"
    with suppress(FileNotFoundError):
        if log.stat().st_size > LOG_BYTES:
            shutil.copyfile(log, log.with_suffix(".1"))
            os.truncate(log, 0)  # its process opened it to append, so it goes on at the beginning
