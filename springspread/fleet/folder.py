"""Reads a fleet's members from its folder and the system: the members' file, configurations, processes.

The members' file is JSON with a checksum over its rows, written to another name, synced, and renamed into its
place; the folder is synced after that. A file of the earlier format (rows alone, no checksum) is read
too.
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
from springspread.fleet.reconciliation import Running

NAME = re.compile(r"n\d{3,}")
MOMENTS = ("started_at", "term_sent_at", "died_at")  # of a clock that the next daemon may not share
DESIRED_KEY = "want"  # of the desired state, in the file
KEYS = {item.name for item in fields(Row)} - {*MOMENTS}


class Unusable(Exception):
    """A members' file that can't be read; the text says why."""


def read_members(path: Path) -> tuple[Row, ...] | None:
    """The rows as they were last written; ``None`` where there is no file. Raises ``Unusable``."""
    if not path.exists():
        return None
    try:
        raw = json.loads(path.read_bytes())
        if isinstance(raw, dict):
            if raw["check"] != _check(raw["rows"]):
                raise Unusable("its checksum is not that of its rows")
            raw = raw["rows"]
        return tuple(_row(entry) for entry in raw)
    except OSError as exc:
        raise Unusable(exc.strerror or str(exc)) from exc
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise Unusable(f"not a list of members: {exc!r}") from exc


def _row(raw: dict[str, Any]) -> Row:
    values = {key: value for key, value in raw.items() if key in KEYS}
    row = Row(**values | {"desired": DesiredState(raw[DESIRED_KEY])})
    if not (NAME.fullmatch(row.name) and isinstance(row.epoch, int) and isinstance(row.pid, int)):
        raise ValueError(f"not a member: {raw!r}")
    return row


def write_members(path: Path, rows: Iterable[Row]) -> None:
    """Replace the file by one with these rows, synced when this returns. Raises ``OSError``."""
    raw = [_raw(row) for row in rows]
    fresh = path.with_suffix(".new")
    with fresh.open("w") as file:
        file.write(json.dumps({"check": _check(raw), "rows": raw}))
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    sync_folder(path.parent)


def _raw(row: Row) -> dict[str, Any]:
    raw = asdict(row)
    del raw["desired"]
    for moment in MOMENTS:
        del raw[moment]
    return {**raw, DESIRED_KEY: row.desired.value}


def _check(rows: Any) -> str:
    return f"{crc32(json.dumps(rows, sort_keys=True).encode()):08x}"


def config_epochs(folder: Path) -> dict[str, int]:
    """The epoch that each instance's configuration was last written for; 0 where it does not say."""
    epochs = {}
    for place in folder.iterdir():
        if NAME.fullmatch(place.name) and place.is_dir():
            epochs[place.name] = 0
            with suppress(OSError, ValueError, TypeError, AttributeError, KeyError):
                epochs[place.name] = max(int(json.loads((place / "config.json").read_bytes())["epoch"]), 0)
    return epochs


def running(daemon_socket: Callable[[str], Path]) -> tuple[Running, ...]:
    """The processes of this fleet's instances, found by their environment.

    ``daemon_socket`` gives the socket at which an instance of a name finds its daemon.
    """
    processes = []
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        with suppress(OSError, ValueError, KeyError, UnicodeDecodeError):  # gone meanwhile, or not ours
            pairs = (entry / "environ").read_bytes().decode().split("\0")
            env = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
            name, pid = env["SPRINGSPREAD_INSTANCE"], int(entry.name)
            if (
                NAME.fullmatch(name)
                and env["SPRINGSPREAD_FLEET"] == str(daemon_socket(name))
                and (start := process_start_ticks(pid))
            ):
                processes.append(Running(name, int(env["SPRINGSPREAD_EPOCH"]), pid, start))
    return tuple(processes)


def process_start_ticks(pid: int) -> str:
    """When a process started, in the system's ticks since boot; empty for one that is dead."""
    try:
        values = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except (FileNotFoundError, ProcessLookupError):
        return ""
    return "" if values[0] in "ZX" else values[19]
