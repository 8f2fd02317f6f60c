"""Reads a fleet's members from its folder and the system: the members' file, configurations, processes.

The members' file is JSON with a checksum over its rows. It is replaced atomically: written under a temporary
name, synced and renamed, then the folder is synced. The earlier format (rows alone, no checksum) is read too.
"""

from __future__ import annotations

import json
import os
import re
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any
from zlib import crc32

from springspread.core.files import sync_folder
from springspread.fleet.members import DesiredState, Row
from springspread.fleet.reconciliation import InstanceProcess

INSTANCE_NAME = re.compile(r"n\d{3,}")
UNSAVED_TIMES = ("started_at", "term_sent_at", "died_at")  # the next daemon may run on another clock
DESIRED_KEY = "want"  # the file's key for the desired state
SAVED_FIELDS = {item.name for item in fields(Row)} - {*UNSAVED_TIMES}


class MembersFileError(Exception):
    """A members' file that can't be read; the message says why."""


def read_members(path: Path) -> tuple[Row, ...] | None:
    """The rows in the file; ``None`` where there is no file. Raises ``MembersFileError``."""
    if not path.exists():
        return None
    try:
        raw = json.loads(path.read_bytes())
        if isinstance(raw, dict):
            if raw["check"] != _checksum(raw["rows"]):
                raise MembersFileError("checksum mismatch")
            raw = raw["rows"]
        return tuple(_decode_row(entry) for entry in raw)
    except OSError as exc:
        raise MembersFileError(exc.strerror or str(exc)) from exc
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise MembersFileError(f"not a list of members: {exc!r}") from exc


def _decode_row(raw: dict[str, Any]) -> Row:
    values = {key: value for key, value in raw.items() if key in SAVED_FIELDS}
    row = Row(**values | {"desired": DesiredState(raw[DESIRED_KEY])})
    if not (INSTANCE_NAME.fullmatch(row.name) and isinstance(row.epoch, int) and isinstance(row.pid, int)):
        raise ValueError(f"not a member: {raw!r}")
    return row


def write_members(path: Path, rows: Iterable[Row]) -> None:
    """Replace the file with these rows, synced. Raises ``OSError``."""
    raw = [_encode_row(row) for row in rows]
    temporary = path.with_suffix(".new")
    with temporary.open("w") as file:
        file.write(json.dumps({"check": _checksum(raw), "rows": raw}))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def _encode_row(row: Row) -> dict[str, Any]:
    raw = asdict(row)
    del raw["desired"]
    for key in UNSAVED_TIMES:
        del raw[key]
    return {**raw, DESIRED_KEY: row.desired.value}


def _checksum(rows: Any) -> str:
    return f"{crc32(json.dumps(rows, sort_keys=True).encode()):08x}"


def config_epochs(folder: Path) -> dict[str, int]:
    """The epoch in the configuration of each instance; 0 where it has none."""
    epochs = {}
    for instance_folder in folder.iterdir():
        if INSTANCE_NAME.fullmatch(instance_folder.name) and instance_folder.is_dir():
            epochs[instance_folder.name] = 0
            with suppress(OSError, ValueError, TypeError, AttributeError, KeyError):
                epochs[instance_folder.name] = max(
                    int(json.loads((instance_folder / "config.json").read_bytes())["epoch"]), 0
                )
    return epochs


def find_processes(daemon_socket: Callable[[str], Path]) -> tuple[InstanceProcess, ...]:
    """The processes of this fleet's instances, found by their environment.

    ``daemon_socket`` returns the socket at which the instance of a name connects to its daemon.
    """
    processes = []
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        with suppress(OSError, ValueError, KeyError, UnicodeDecodeError):  # it ended, or it is no instance
            pairs = (entry / "environ").read_bytes().decode().split("\0")
            env = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
            name, pid = env["SPRINGSPREAD_INSTANCE"], int(entry.name)
            if (
                INSTANCE_NAME.fullmatch(name)
                and env["SPRINGSPREAD_FLEET"] == str(daemon_socket(name))
                and (start := process_start_ticks(pid))
            ):
                processes.append(InstanceProcess(name, int(env["SPRINGSPREAD_EPOCH"]), pid, start))
    return tuple(processes)


def process_start_ticks(pid: int) -> str:
    """When a process started, in system ticks since boot; empty for a dead one."""
    try:
        values = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except (FileNotFoundError, ProcessLookupError):
        return ""
    return "" if values[0] in "ZX" else values[19]
